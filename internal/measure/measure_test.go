package measure

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFull runs the whole measurement when asked to; it takes tens of seconds.
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

// short is a run with all failures that is small enough for the default tests.
func short(p policy) *metrics {
	return simulate(Deployments()[0], Scenario{Duration: 3 * time.Minute, Trainers: true, TrainTime: 30 * time.Second,
		Faults: true, DeskRate: deskRate, SwapFailure: 0.2}, p, 1)
}

func broken(m *metrics) int { return m.lost + m.doubled + m.overBound }

// Guards against broken promises to trainers under any policy.
func TestPromisesAreKept(t *testing.T) {
	t.Parallel()
	for _, p := range policies() {
		if m := short(p); broken(m) != 0 || m.samples == 0 {
			t.Errorf("%s: %d broken promises in %d samples", p.name, broken(m), m.samples)
		}
	}
}

// Guards against a run that differs from another with the same seed.
func TestRunsAreRepeatable(t *testing.T) {
	t.Parallel()
	first, second := short(policies()[0]), short(policies()[0])
	if diff := cmp.Diff(figures(first), figures(second)); diff != "" {
		t.Fatal(diff)
	}
}

func figures(m *metrics) []any {
	return []any{m.samples, m.discarded, m.idle, m.refusals, m.deskFailed, m.desk.Mean(), m.good, m.answered, m.staleness.Mean()}
}

// Guards against a goodput that falls under overload and against a queue that stays long
// after it.
func TestOverloadEnds(t *testing.T) {
	t.Parallel()
	d := Deployments()[0]
	rate := overloadRate / float64(d.ModelReplicas) * 3
	d.ModelReplicas = 3 // three of ten, to keep the default tests short
	own := simulate(d, Scenario{Duration: overloadRunTime, DeskRate: rate, Load: overload}, policies()[0], 1)
	peak := mean(own.good, peakStart+10*time.Second, overloadStart)
	if good := mean(own.good, overloadStart+10*time.Second, overloadEnd); good < minGoodput*peak {
		t.Errorf("goodput falls from %.0f to %.0f tokens a second", peak, good)
	}
	if back := backToNormal(own); back < 0 || back > deskDeadline.Seconds() {
		t.Errorf("back to normal after %.0f s, want one deadline", back)
	}
}

// trusting accepts every result, as a ledger without checks would.
type trusting struct{ Scheduler }

func (s trusting) Accept(now time.Time, w *Work, oldest uint64) (bool, uint64) {
	_, staleness := s.Scheduler.Accept(now, w, oldest)
	return true, staleness
}

// lossy loses a slot of each step between scheduler and host.
type lossy struct{ Scheduler }

func (s lossy) Lease(now time.Time, n int, reachable func(string) bool) []Work {
	return slices.DeleteFunc(s.Scheduler.Lease(now, n, reachable), func(w Work) bool { return w.Slot == 0 })
}

// unbounded accepts samples of any age.
type unbounded struct{ Scheduler }

func (s unbounded) OpenStep(now time.Time, st Step) {
	st.Bound = 1000
	s.Scheduler.OpenStep(now, st)
}

// Guards against promise counters that cannot count: each deliberate fault must show.
func TestBrokenPromisesAreCounted(t *testing.T) {
	t.Parallel()
	p := policies()[0]
	p.scheduler = func(s Scheduler) Scheduler { return trusting{s} }
	if m := short(p); m.doubled == 0 {
		t.Error("a scheduler that accepts everything doubled no sample")
	}
	p.scheduler = func(s Scheduler) Scheduler { return lossy{s} }
	sc := Scenario{Duration: 11 * time.Minute, Trainers: true, TrainTime: 30 * time.Second}
	if m := simulate(Deployments()[0], sc, p, 1); m.lost == 0 {
		t.Error("a scheduler that loses a slot of each step lost no sample")
	}
	p.scheduler = func(s Scheduler) Scheduler { return unbounded{s} }
	d := Deployments()[0]
	d.Bound = 0
	if m := simulate(d, Scenario{Duration: 5 * time.Minute, Trainers: true, TrainTime: 30 * time.Second}, p, 1); m.overBound == 0 {
		t.Error("a scheduler without a staleness bound delivered no sample over it")
	}
}
