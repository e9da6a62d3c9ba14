package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var t0 = time.Unix(100, 0)

// model is a target whose requests take 20 ms up to its knee and share it beyond.
type model struct{ knee, slowness float64 }

func (m model) latency(n int) time.Duration {
	return time.Duration(20e6 * m.slowness * max(1, float64(n)/m.knee))
}

// feed records a result every 10 ms for a time, at 1 to most requests in turn, with lengths that vary.
func feed(e *Estimator, from time.Time, d time.Duration, most int, m model) time.Time {
	rng := rand.New(rand.NewPCG(uint64(from.UnixNano()), 1))
	i := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(10 * time.Millisecond) {
		n := 1 + i%most
		i++
		latency := time.Duration(float64(m.latency(n)) * math.Exp(0.3*rng.NormFloat64()))
		e.RecordResult(now, float64(n), latency)
	}
	return from.Add(d)
}

// isNear reports whether two values differ by at most a part.
func isNear(got, want, part float64) bool { return math.Abs(got-want) <= part*want }

// Guards against an estimate that does not tell a target that slows down early from one that does not, and against a knee
// that is never learned, or follows single results once it is.
func TestKneeIsLearnedAndStays(t *testing.T) {
	for _, knee := range []float64{2, 3, 6, 12} {
		e := NewEstimator(12, 0)
		if e.Knee() != 12 || e.Latency(t0, 0.03) != 0.03 {
			t.Fatalf("without a result: knee %.1f, latency %.3f", e.Knee(), e.Latency(t0, 0.03))
		}
		now := feed(e, t0, 4*time.Second, 14, model{knee, 1})
		lowest, highest := e.Knee(), e.Knee()
		for range 20 {
			now = feed(e, now, 100*time.Millisecond, 14, model{knee, 1})
			lowest, highest = min(lowest, e.Knee()), max(highest, e.Knee())
		}
		t.Logf("knee %.0f: from %.1f to %.1f, latency %.4f s", knee, lowest, highest, e.Latency(now, 0))
		if lowest < 0.6*knee || highest > 1.7*knee || highest-lowest > 0.5*knee+0.5 {
			t.Errorf("knee %.0f: the estimate moves from %.1f to %.1f", knee, lowest, highest)
		}
		if slow := e.SlowsDown(); slow != (knee <= 6) {
			t.Errorf("knee %.0f of 12 slots: slows down: %t", knee, slow)
		}
	}
}

// Guards against a target that is still preferred after it has turned slow, or avoided after it has recovered, and against
// one expensive request that makes a target look slow.
func TestSlownessIsFollowedAndExpensiveRequestsAreNot(t *testing.T) {
	e := NewEstimator(6, 0)
	now := feed(e, t0, time.Second, 3, model{6, 1})
	before := e.Latency(now, 0)
	for range 2 {
		e.RecordResult(now, 1, 400*time.Millisecond)
	}
	if got := e.Latency(now, 0); got > 1.6*before {
		t.Errorf("two expensive requests change the latency from %.3f to %.3f s", before, got)
	}
	usual := e.UsualLatency()
	now = now.Add(maxAge + time.Second)
	e.RecordResult(now, 1, 10*time.Second)
	if got := e.UsualLatency(); got > 1.1*usual || e.Slowness(now) > 1.1 {
		t.Errorf("a request that takes 500 times as long after a pause changes the latency from %.3f to %.3f s, slowness %.2f", usual, got, e.Slowness(now))
	}
	now = feed(e, now, time.Second, 3, model{6, 1})
	now = feed(e, now, 60*time.Millisecond, 3, model{6, 2.5})
	if got := e.Latency(now, 0); got < 1.7*before {
		t.Errorf("after six results that took 2.5 times as long the latency changes from %.3f to %.3f s", before, got)
	}
	now = feed(e, now, 60*time.Millisecond, 3, model{6, 1})
	if got := e.Slowness(now); got > 1.4 {
		t.Errorf("after six usual results the slowness is %.2f", got)
	}
	for range 3 {
		e.RecordBound(now, 1, 10*time.Millisecond)
	}
	if got := e.Slowness(now); got > 1.4 {
		t.Errorf("requests that were cancelled early make the target slow: %.2f", got)
	}
	for range 2 {
		e.RecordBound(now, 1, 300*time.Millisecond)
	}
	if got := e.Slowness(now); got < 2 {
		t.Errorf("requests without an answer do not make the target slow: %.2f", got)
	}
	if got := e.Slowness(now.Add(maxAge)); got != 1 {
		t.Errorf("slowness %.2f after %s without a result, want 1", got, maxAge)
	}
}

// Guards against a target that never gets more requests after it has refused some, or slowed down, at a lower load.
func TestKneeIsRegained(t *testing.T) {
	e := NewEstimator(6, 0)
	now := feed(e, t0, 2*time.Second, 6, model{2, 1})
	e.RecordRefusal(now, 4)
	if e.Knee() > 3.5 {
		t.Fatalf("knee %.1f after a refusal at 4 requests", e.Knee())
	}
	for range 20 {
		now = feed(e, now, time.Second, 2, model{6, 1})
	}
	if e.Knee() < 5 {
		t.Errorf("knee %.1f after 20 s without slow results", e.Knee())
	}
}

// Guards against statements that are believed against results, or never.
func TestStatementsOfTargetsAreJudged(t *testing.T) {
	for _, c := range []struct {
		name     string
		stated   int
		slowness float64
		trusted  bool
	}{{"true", 250, 2.5, true}, {"complains", 400, 1, false}, {"boasts", 30, 1, false}} {
		e := NewEstimator(6, 0)
		now := feed(e, t0, time.Second, 1, model{6, 1})
		for range 15 {
			now = now.Add(100 * time.Millisecond)
			e.RecordLoad(now, 1, Load{Slots: 6, SlownessPercent: c.stated})
			e.RecordResult(now, 1, model{6, c.slowness}.latency(1))
		}
		if got := e.stated.slownessTrust > 0.5; got != c.trusted {
			t.Errorf("%s: trust %.2f", c.name, e.stated.slownessTrust)
		}
		if got := e.Latency(now, 0); !isNear(got, 0.02*c.slowness, 0.3) {
			t.Errorf("%s: latency %.4f s, want %.4f", c.name, got, 0.02*c.slowness)
		}
	}
}

func statement(target string, latency time.Duration, age time.Duration) Statement {
	return Statement{Target: target, Incarnation: 1, Latency: latency, Knee: 3, SlownessPercent: 100, Age: age}
}

// Guards against merged statements that depend on one host or on old results, that are returned for ever between two
// store hosts, or that concern an earlier start of the target.
func TestTableMergesByAge(t *testing.T) {
	table := NewTable()
	table.Add(t0, statement("a", 20*time.Millisecond, 9*time.Second))
	for range 4 {
		table.Add(t0, statement("a", 40*time.Millisecond, 0))
	}
	list, revision := table.ChangedSince(t0, 0)
	if len(list) != 1 || !isNear(list[0].Latency.Seconds(), 0.04, 0.1) || list[0].Age != 0 {
		t.Fatalf("merged: %+v", list)
	}
	relay := NewTable()
	relay.Replace(t0.Add(10*time.Millisecond), list[0])
	later := t0.Add(shareRefresh + time.Second)
	back, _ := relay.ChangedSince(later, 0)
	table.Replace(later.Add(10*time.Millisecond), back[0])
	if again, _ := table.ChangedSince(later.Add(10*time.Millisecond), revision); len(again) != 0 {
		t.Errorf("a statement that came back is passed on again: %+v", again)
	}
	earlier := statement("a", time.Second, 0)
	earlier.Incarnation = 0
	table.Add(t0, earlier)
	if again, _ := table.ChangedSince(t0, revision); len(again) != 0 {
		t.Errorf("a statement about an earlier incarnation is passed on: %+v", again)
	}
	table.Expire(t0.Add(maxAge + time.Second))
	if table.Count() != 0 {
		t.Error("statements outlive their use")
	}
}

// Guards against messages without a bound, and against statements that no message holds.
func TestMessagesAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 * MaxStatements {
		table.Add(t0, statement(string(rune('a'+i)), time.Millisecond, 0))
	}
	seen, revision := 0, uint64(0)
	for range 3 {
		var list []Statement
		list, revision = table.ChangedSince(t0, revision)
		if len(list) > MaxStatements {
			t.Fatalf("%d statements in a message", len(list))
		}
		seen += len(list)
	}
	if seen != 3*MaxStatements {
		t.Errorf("%d of %d statements are passed on", seen, 3*MaxStatements)
	}
	for _, s := range []Statement{{}, {Target: "x", Latency: -1, Knee: 1}, {Target: "x", Latency: 1, Knee: float32(math.NaN())}, {Target: "x", Latency: 1, Knee: 1, Age: -1}} {
		if s.IsValid() {
			t.Errorf("valid: %+v", s)
		}
	}
}

// Guards against a host that has no use of what others have learned, or believes it longer than its own results.
func TestSharedStatementsWearOff(t *testing.T) {
	if half, none := ageWeight(halfAge), ageWeight(maxAge); half != 0.5 || none != 0 || ageWeight(halfAge/2) != 0.75 {
		t.Errorf("weights %.2f after %s and %.2f after %s", half, halfAge, none, maxAge)
	}
	e := NewEstimator(6, 0)
	e.Learn(t0, statement("a", 50*time.Millisecond, 0))
	if got := e.Latency(t0, 0.02); !isNear(got, 0.05, 0.01) || e.Knee() > 6 {
		t.Errorf("latency %.4f s, want that of the other host", got)
	}
	now := feed(e, t0.Add(halfAge), time.Second, 1, model{6, 1})
	if got := e.Latency(now, 0.02); !isNear(got, 0.03, 0.3) {
		t.Errorf("latency %.4f s with own results and older ones of others", got)
	}
	if got := e.Latency(t0.Add(maxAge), 0); got > 0.03 {
		t.Errorf("latency %.4f s, the statement of another host does not wear off", got)
	}
}
