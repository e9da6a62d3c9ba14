package joined

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that runs are reproducible. Command-line flags take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261204", "checks": "20", "steps": "60", "shrinktime": "3s", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	// recoveryTimeout covers the longest recovery after the faults end: a host loss, an election,
	// the wait for the old leader's lease, the swap of all engines and the remaining samples.
	recoveryTimeout = 40 * time.Second
	// requestDrainTime is longer than any request takes, so that a request in progress at the end
	// of the faults is completed, and found if it runs after it was reported as not run.
	requestDrainTime = 9 * time.Second
)

func draw[T any](t *rapid.T, label string, values []T) T {
	return rapid.SampledFrom(values).Draw(t, label)
}

func (sim *simulation) drawHost(t *rapid.T) string {
	return draw(t, "host", slices.Sorted(maps.Keys(sim.hosts)))
}
func (sim *simulation) drawEngine(t *rapid.T) string {
	return draw(t, "engine", slices.Sorted(maps.Keys(sim.engines)))
}

// advance runs the simulation for a random time.
func (sim *simulation) advance(t *rapid.T) {
	sim.net.Run(time.Duration(rapid.IntRange(50, 1500).Draw(t, "pass")) * time.Millisecond)
}

func (sim *simulation) sendDeskRequest(t *rapid.T, unsafe bool) {
	s := &submission{id: fmt.Sprintf("desk%d", sim.nextID()), home: draw(t, "home", domains)}
	if s.prompt = s.id + "?"; unsafe {
		s.key = s.id
		sim.unsafeRequests[s.key] = s
	}
	sim.submit(s, sim.drawHost(t))
}

// resend sends an earlier unsafe request again, through any host.
func (sim *simulation) resend(t *rapid.T) {
	if len(sim.unsafeRequests) == 0 {
		return
	}
	first := sim.unsafeRequests[draw(t, "key", slices.Sorted(maps.Keys(sim.unsafeRequests)))]
	again := *first
	again.id = fmt.Sprintf("%s-again%d", first.id, sim.nextID())
	sim.submit(&again, sim.drawHost(t))
}

// burst sends several requests without time in between.
func (sim *simulation) burst(t *rapid.T) {
	for range 3 {
		sim.sendDeskRequest(t, false)
		sim.sendDeskRequest(t, true)
		sim.resend(t)
	}
}

// applyRacingConfigs proposes two configurations with the same next version and then one with an
// older version.
func (sim *simulation) applyRacingConfigs(t *rapid.T) {
	version := sim.configStore.Current().Version + 1
	sim.applyConfig(version, draw(t, "retire", append(slices.Sorted(maps.Keys(sim.engines)), "")))
	sim.applyConfig(version, sim.drawEngine(t))
	sim.applyConfig(version-1, "")
}

// runFaultyScenario runs a simulation under random faults, ends the faults, checks the final state
// and returns the simulation. brokenGuarantee names the guarantee to break on purpose, or is "".
func runFaultyScenario(t *rapid.T, brokenGuarantee string) *simulation {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), brokenGuarantee)
	sim.net.Run(4 * time.Second)
	sim.net.Loss, sim.net.Duplicate = draw(t, "loss", []float64{0.01, 0.03, 0.1}), 0.05
	sim.net.MaxDelay = draw(t, "delay", []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond})
	step := func(action func(t *rapid.T)) func(*rapid.T) { return func(t *rapid.T) { action(t); sim.advance(t) } }
	t.Repeat(map[string]func(*rapid.T){
		"openStep": step(func(t *rapid.T) { sim.openStep(rapid.IntRange(1, 3).Draw(t, "groups"), 3) }),
		"publish":  step(func(*rapid.T) { sim.publish() }),
		"desk":     step(func(t *rapid.T) { sim.sendDeskRequest(t, false) }), "burst": step(sim.burst),
		"unsafe": step(func(t *rapid.T) { sim.sendDeskRequest(t, true) }), "resend": step(sim.resend), "resend2": step(sim.resend),
		"crashHost": step(func(t *rapid.T) { sim.crashHost(sim.drawHost(t)) }),
		"startHost": step(sim.restartHost), "startHost2": step(sim.restartHost),
		"drain":       step(func(t *rapid.T) { sim.hosts[sim.drawHost(t)].draining = true }),
		"crashEngine": step(func(t *rapid.T) { sim.engines[sim.drawEngine(t)].up = false }),
		"startEngine": step(sim.restartEngine), "startEngine2": step(sim.restartEngine),
		"leave":   step(func(t *rapid.T) { sim.engines[sim.drawEngine(t)].leaving = true }),
		"lead":    step(sim.changeLeader),
		"cut":     step(func(t *rapid.T) { sim.net.Partition(draw(t, "cut", domains), draw(t, "from", domains)) }),
		"isolate": step(func(t *rapid.T) { sim.net.Isolate(sim.drawHost(t)) }),
		"heal":    step(func(*rapid.T) { sim.net.Heal() }), "heal2": step(func(*rapid.T) { sim.net.Heal() }),
		"configure": step(sim.applyRacingConfigs),
	})
	sim.healAndSettle()
	sim.checkFinalState()
	return sim
}

// restartHost restarts a host, preferably one that is down.
func (sim *simulation) restartHost(t *rapid.T) {
	name := sim.drawHost(t)
	for _, n := range slices.Sorted(maps.Keys(sim.hosts)) {
		if sim.hosts[name].up && !sim.hosts[name].draining && !sim.hosts[n].up {
			name = n
		}
	}
	sim.crashHost(name)
	sim.startHost(name)
}

// restartEngine restarts an engine, preferably one that is down or leaving.
func (sim *simulation) restartEngine(t *rapid.T) {
	name := sim.drawEngine(t)
	for _, n := range slices.Sorted(maps.Keys(sim.engines)) {
		if e := sim.engines[n]; sim.engines[name].up && !sim.engines[name].leaving && (!e.up || e.leaving) {
			name = n
		}
	}
	sim.engines[name].up = false
	sim.startEngine(name)
}

func (sim *simulation) changeLeader(t *rapid.T) {
	if name := sim.drawHost(t); sim.hosts[name].up {
		sim.groups[Domain(name)].setLeader(name)
	}
}

// healAndSettle ends all faults, restarts what is down and runs until the simulation is settled or
// recoveryTimeout has passed.
func (sim *simulation) healAndSettle() {
	sim.net.Heal()
	sim.net.Loss, sim.net.Duplicate, sim.net.MaxDelay = 0, 0, 2*time.Millisecond
	sim.applyConfig(sim.configStore.Current().Version+1, "")
	for _, name := range slices.Sorted(maps.Keys(sim.hosts)) {
		if h := sim.hosts[name]; !h.up || h.draining {
			sim.crashHost(name)
			sim.startHost(name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sim.engines)) {
		sim.engines[name].up = false
		sim.startEngine(name)
	}
	sim.net.Run(requestDrainTime)
	for end := sim.now().Add(recoveryTimeout); !sim.settled() && sim.now().Before(end); {
		sim.net.Run(time.Second)
	}
}

// settled reports whether all hosts are idle with the newest configuration and all steps are
// complete.
func (sim *simulation) settled() bool {
	for _, h := range sim.hosts {
		if h.activeConfig().Version != sim.configStore.Current().Version || !h.idle() {
			return false
		}
	}
	return !slices.ContainsFunc(sim.steps, func(s *trainerStep) bool { return !s.done })
}

// Guards against violations of P1 to P9 by the interaction of packages that keep them in
// isolation, under network faults, crashes, leader changes and racing operators.
func TestJoinedCores(t *testing.T) {
	events := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		sim := runFaultyScenario(t, "")
		for name, n := range sim.eventCounts {
			events[name] += n
		}
		if len(sim.violations) > 0 {
			t.Fatalf("violated guarantees: %v", sim.violations)
		}
	})
	t.Logf("events: %v", events)
}

// casesAfterFirstViolation is the number of cases, counted from the first one with a violation, in
// which a deliberate fault must cause no violation of another guarantee.
const casesAfterFirstViolation = 5

// Guards against checks that cannot fail: a deliberate fault in the test code that connects the
// packages must violate the guarantee that it is meant to break, and no other.
func TestDeliberateFaults(t *testing.T) {
	for _, guarantee := range []string{"P1", "P2", "P3", "P4", "P5", "P6", "P7", "P8", "P9"} {
		t.Run(guarantee, func(t *testing.T) {
			t.Parallel()
			violations, remaining := make(map[string]string), casesAfterFirstViolation
			rapid.Check(t, func(t *rapid.T) {
				if len(violations) > 0 {
					remaining--
				}
				if remaining > 0 {
					maps.Copy(violations, runFaultyScenario(t, guarantee).violations)
				}
			})
			if got := slices.Sorted(maps.Keys(violations)); !slices.Equal(got, []string{guarantee}) {
				t.Errorf("violated guarantees %v, want only %s: %v", got, guarantee, violations)
			}
		})
	}
}
