package measure

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFull runs the whole measurement and prints it. It takes tens of seconds, so it runs only when
// FUCHSIAFLOW_MEASURE is set.
func TestFull(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("FUCHSIAFLOW_MEASURE"), 10, 64)
	if err != nil {
		t.Skip("set FUCHSIAFLOW_MEASURE to a seed to run the whole measurement")
	}
	began := time.Now()
	if err := Run(Config{Seed: seed}).WriteText(os.Stdout); err != nil {
		t.Fatal(err)
	}
	t.Log(time.Since(began))
}

// shortRun simulates all kinds of faults in a run that is short enough for the default tests.
func shortRun(p policy) *metrics {
	return simulate(Deployments()[0], Scenario{Duration: 3 * time.Minute, Trainers: true, TrainDuration: 30 * time.Second,
		Faults: true, DeskRate: deskRate, SwapFailureRate: 0.2}, p, 1)
}

func violations(m *metrics) int { return m.lost + m.duplicated + m.overBound }

// Guards against lost, duplicated or too stale samples under any policy.
func TestGuaranteesHold(t *testing.T) {
	t.Parallel()
	for _, p := range policies() {
		if m := shortRun(p); violations(m) != 0 || m.samples == 0 {
			t.Errorf("%s: %d violations in %d samples", p.name, violations(m), m.samples)
		}
	}
}

// Guards against results that differ between runs with the same seed.
func TestRunsAreRepeatable(t *testing.T) {
	t.Parallel()
	first, second := shortRun(policies()[0]), shortRun(policies()[0])
	if diff := cmp.Diff(figures(first), figures(second)); diff != "" {
		t.Fatal(diff)
	}
}

func figures(m *metrics) []any {
	return []any{m.samples, m.discarded, m.idleTime, m.refusals, m.deskFailures, m.deskLatency.Mean(), m.goodTokens, m.answered, m.staleness.Mean()}
}

// Guards against a goodput that drops under overload, and against a queue that stays long after it.
func TestRecoveryFromOverload(t *testing.T) {
	t.Parallel()
	d := Deployments()[0]
	rate := overloadRate / float64(d.ModelReplicas) * 3
	d.ModelReplicas = 3 // three of ten, to keep the default tests short
	own := simulate(d, Scenario{Duration: overloadDuration, DeskRate: rate, LoadFactor: overloadFactor}, policies()[0], 1)
	peak := meanPerSecond(own.goodTokens, peakStart+10*time.Second, overloadStart)
	if goodput := meanPerSecond(own.goodTokens, overloadStart+10*time.Second, overloadEnd); goodput < minGoodput*peak {
		t.Errorf("goodput falls from %.0f to %.0f tokens a second", peak, goodput)
	}
	if recovery := recoverySeconds(own); recovery < 0 || recovery > deskDeadline.Seconds() {
		t.Errorf("recovered after %.0f s, want at most one deadline", recovery)
	}
}

// trustingScheduler ignores the decision of the scheduler and accepts every result.
type trustingScheduler struct{ Scheduler }

func (s trustingScheduler) Accept(now time.Time, work *Work, oldest uint64) (bool, uint64) {
	_, staleness := s.Scheduler.Accept(now, work, oldest)
	return true, staleness
}

// lossyScheduler never leases slot 0, so that each step loses a sample.
type lossyScheduler struct{ Scheduler }

func (s lossyScheduler) Lease(now time.Time, n int, reachable func(string) bool) []Work {
	return slices.DeleteFunc(s.Scheduler.Lease(now, n, reachable), func(work Work) bool { return work.Slot == 0 })
}

// unboundedScheduler applies a staleness bound that is never reached.
type unboundedScheduler struct{ Scheduler }

func (s unboundedScheduler) OpenStep(now time.Time, step Step) {
	step.StalenessBound = 1000
	s.Scheduler.OpenStep(now, step)
}

// Guards against counters that miss violations: each injected scheduler fault must be counted.
func TestViolationsAreCounted(t *testing.T) {
	t.Parallel()
	p := policies()[0]
	p.scheduler = func(s Scheduler) Scheduler { return trustingScheduler{s} }
	if m := shortRun(p); m.duplicated == 0 {
		t.Error("a scheduler that accepts everything duplicated no sample")
	}
	p.scheduler = func(s Scheduler) Scheduler { return lossyScheduler{s} }
	sc := Scenario{Duration: 11 * time.Minute, Trainers: true, TrainDuration: 30 * time.Second}
	if m := simulate(Deployments()[0], sc, p, 1); m.lost == 0 {
		t.Error("a scheduler that loses a slot of each step lost no sample")
	}
	p.scheduler = func(s Scheduler) Scheduler { return unboundedScheduler{s} }
	d := Deployments()[0]
	d.StalenessBound = 0
	if m := simulate(d, Scenario{Duration: 5 * time.Minute, Trainers: true, TrainDuration: 30 * time.Second}, p, 1); m.overBound == 0 {
		t.Error("a scheduler without a staleness bound delivered no sample over it")
	}
}
