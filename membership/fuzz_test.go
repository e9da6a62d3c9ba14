package membership

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiaflow/internal/faultcheck"
)

// TestMain fixes the random seed, so that the results are reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	faultHosts = 8
	// convergeLimit is the time within which the hosts must converge after the last fault: a
	// suspicion of 6 probe intervals, a probe round of 8, and two rounds of dissemination and
	// repair.
	convergeLimit = 45 * time.Second
)

// checkConvergence applies random crashes, restarts, departures, partitions, pauses and packet loss,
// then ends the faults and returns the disagreement that remains after convergeLimit.
func checkConvergence(t testing.TB, rt *rapid.T, fault string) string {
	sim := newNetwork(t, faultHosts, rapid.Uint64().Draw(rt, "seed"))
	sim.injectFault, sim.fault = injectedFaults[fault], fault
	sim.run(10 * time.Second)
	for range rapid.IntRange(2, 6).Draw(rt, "faults") {
		i := rapid.IntRange(0, faultHosts-1).Draw(rt, "host")
		h := sim.hosts[i]
		switch rapid.IntRange(0, 5).Draw(rt, "fault") {
		case 0:
			h.running = false
		case 1:
			sim.startHost(i)
		case 2:
			if !h.node.leaving {
				sim.send(h, h.node.Leave(sim.now))
			}
		case 3:
			for j := range faultHosts {
				sim.hosts[j].partition = j / (i + 1) % 2
			}
		case 4:
			sim.loss = rapid.Float64Range(0, 0.5).Draw(rt, "loss")
			sim.duplication = 0.2
			sim.maxDelay = time.Second
		case 5:
			h.paused = !h.paused
		}
		sim.run(time.Duration(rapid.IntRange(0, 20).Draw(rt, "seconds")) * time.Second)
		sim.recordDeaths()
	}
	sim.loss, sim.duplication, sim.maxDelay = 0, 0, simStep
	for i, h := range sim.hosts {
		h.partition, h.paused = 0, false
		if !h.running && i < 2 {
			sim.startHost(i) // the seeds must run, so that hosts can find each other
		}
	}
	_, bad := sim.converge(convergeLimit)
	return bad
}

// injectedFaults are deliberate faults that the test must detect. Each function is applied to a node
// before each tick; faults without a function are implemented in simNetwork.run.
var injectedFaults = map[string]func(*Node){
	"no refutation":             nil,
	"death taken for suspicion": nil,
	"no contact after a partition": func(n *Node) {
		if n.joined {
			n.nextSeed = n.lastRun.Add(time.Hour)
		}
		for _, r := range n.table.gone {
			r.State = Left
		}
	},
	"no suspicion":       func(n *Node) { n.probe = nil },
	"suspects never die": func(n *Node) { n.suspects = nil },
}

// Guards against live hosts that stay undiscovered, failed hosts that stay listed, and outdated
// incarnations after the faults have ended.
func TestMembershipConverges(t *testing.T) {
	run := func(rt *rapid.T, fault string) string { return checkConvergence(t, rt, fault) }
	faultcheck.Verify(t, run, slices.Sorted(maps.Keys(injectedFaults))...)
}

// targetModel is the expected state of one target.
type targetModel struct {
	latest, left uint64 // highest known incarnation, and highest one that left
	leaseUntil   time.Time
}

// checkTargets applies announcements, departures and policies in random order, including outdated ones.
func checkTargets(t *rapid.T, fault string) string {
	now := time.Unix(1000, 0)
	r := NewTargetRegistry(TargetRegistryConfig{Lease: 3 * time.Second, LeaveTimeout: 4 * time.Second})
	retired := map[string]bool{}
	admit := func(_, id string) bool { return !retired[id] }
	r.SetPolicy(now, admit)
	models := map[string]*targetModel{"a": {}, "b": {}}
	for range 80 {
		id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
		model := models[id]
		incarnation := rapid.Uint64Range(max(model.latest, 2)-1, model.latest+1).Draw(t, "incarnation")
		switch rapid.IntRange(0, 5).Draw(t, "action") {
		case 0, 1:
			listed := r.entries[id] != nil
			err := r.Announce(now, Announcement{ID: id, Incarnation: incarnation, Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")})
			current := incarnation >= model.latest && incarnation > model.left
			if (err == nil) != (current && !retired[id]) {
				return fmt.Sprintf("announcement of %s, incarnation %d, after %+v: %v", id, incarnation, model, err)
			}
			// Announcements renew the lease of a listed target even if it is retired, because it
			// still finishes its requests and may be admitted again.
			if current && (listed || !retired[id]) {
				model.latest, model.leaseUntil = incarnation, now.Add(3*time.Second)
			}
		case 2:
			if r.Leave(now, id, incarnation) == nil {
				model.latest, model.left = max(model.latest, incarnation), max(model.left, incarnation)
			}
		case 3:
			if retired[id] = !retired[id]; fault != "policy not applied" {
				r.SetPolicy(now, admit)
			}
		case 4:
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		case 5:
			r.Expire(now)
			if fault == "departures forgotten" {
				clear(r.tombstones)
			}
		}
		if fault == "lease not checked" && r.entries[id] != nil {
			r.entries[id].leaseUntil = now.Add(time.Second)
		}
		for id, model := range models {
			allowed := model.latest > model.left && !retired[id] && now.Before(model.leaseUntil)
			if got := r.Dispatchable(now, id); got && !allowed {
				return fmt.Sprintf("target %s is dispatchable after %+v, retired %v", id, model, retired[id])
			}
		}
	}
	return ""
}

// Guards against dispatch to a target that left, is retired or has an expired lease, in any order of
// messages (guarantee P7).
func TestLeftTargetIsNeverDispatchable(t *testing.T) {
	faultcheck.Verify(t, checkTargets, "policy not applied", "departures forgotten", "lease not checked")
}
