package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTest(cfg Config) *Dispatcher { return NewDispatcher(cfg, rand.New(rand.NewPCG(1, 2))) }

func target(id string, slots int, version uint64) EndpointState {
	return EndpointState{ID: id, Pool: "p", Slots: slots, Loaded: map[string]uint64{"m": version}}
}

func sample(id, tenancy string, tokens int) Request {
	return Request{ID: id, Kind: Sample, Tenancy: tenancy, Pool: "p", Model: "m", Tokens: tokens}
}

func mustEnqueue(t *testing.T, d *Dispatcher, now time.Time, r Request) {
	t.Helper()
	if err := d.Enqueue(now, r); err != nil {
		t.Fatalf("enqueue %s: %v", r.ID, err)
	}
}

func finish(d *Dispatcher, now time.Time, id string, perToken time.Duration) {
	d.Done(now, id, Result{Tokens: 100, Err: ResultOK, FirstToken: 10 * time.Millisecond, Duration: 100*perToken + 10*time.Millisecond})
}

// Guards against an unbounded queue and against samples that use the desk's part of it.
func TestFullQueueRefusesAsNotRun(t *testing.T) {
	d := newTest(Config{QueueLimit: 8, SampleShare: 0.5})
	var refused error
	for i := range 5 {
		refused = d.Enqueue(start, sample(fmt.Sprint(i), "a", 10))
	}
	var over *errs.Overloaded
	if !errors.As(refused, &over) || over.After <= 0 || errs.OutcomeOf(refused) != errs.NotRun {
		t.Fatalf("fifth sample: got %v, want overloaded with a retry delay", refused)
	}
	mustEnqueue(t, d, start, Request{ID: "desk", Kind: Desk, Tenancy: "d", Pool: "p", Model: "m"})
}

// Guards against dispatch of work that must miss its deadline.
func TestHopelessDeadlineIsRefused(t *testing.T) {
	d := newTest(Config{})
	d.UpsertTarget(start, target("t1", 1, 1))
	mustEnqueue(t, d, start, sample("warm", "a", 100))
	d.Next(start)
	now := start.Add(2 * time.Second)
	finish(d, now, "warm", 10*time.Millisecond)
	late := sample("late", "a", 1000)
	late.Deadline = now.Add(time.Second)
	if err := d.Enqueue(now, late); errs.CodeOf(err) != errs.CodeDeadline || errs.OutcomeOf(err) != errs.NotRun {
		t.Fatalf("got %v, want deadline as not run", err)
	}
	waiting := sample("waiting", "a", 100)
	waiting.Deadline = now.Add(2 * time.Second)
	mustEnqueue(t, d, now, sample("first", "a", 100))
	d.Next(now)
	mustEnqueue(t, d, now, waiting)
	d.Next(now.Add(1500 * time.Millisecond))
	if r := d.Refused(); len(r) != 1 || r[0].RequestID != "waiting" || errs.OutcomeOf(r[0].Err) != errs.NotRun {
		t.Fatalf("refused = %v, want the waiting request", r)
	}
}

// Guards against a slow target that keeps receiving work, and against one that never returns.
func TestSlowTargetIsProbedAndReturns(t *testing.T) {
	d := newTest(Config{})
	for i := range 4 {
		d.UpsertTarget(start, target(fmt.Sprint("t", i), 4, 1))
	}
	now, n := start, 0
	slowUntil := start.Add(2 * time.Minute)
	counts := map[string]int{}
	late, back := 0, 0
	for now.Before(start.Add(4 * time.Minute)) {
		for d.Queued("p", Sample) < 20 {
			n++
			mustEnqueue(t, d, now, sample(fmt.Sprint(n), "a", 100))
		}
		for _, a := range d.Next(now) {
			counts[a.Target]++
			per := 10 * time.Millisecond
			if a.Target == "t0" && now.Before(slowUntil) {
				per *= 10
			}
			finish(d, now, a.RequestID, per)
			if a.Target == "t0" && now.After(start.Add(time.Minute)) && now.Before(slowUntil) {
				late++
			}
			if a.Target == "t0" && now.After(slowUntil.Add(time.Minute)) {
				back++
			}
		}
		now = now.Add(time.Second)
		for i := range 4 {
			d.ReportLoad(now, fmt.Sprint("t", i), Load{})
		}
	}
	if late > 8 {
		t.Errorf("slow target received %d requests in its second minute, want probes only", late)
	}
	if back < 60 {
		t.Errorf("recovered target received %d requests in the last minute", back)
	}
}

// Guards against one tenancy's flood taking another's share.
func TestTenanciesShareByTokens(t *testing.T) {
	d := newTest(Config{Weights: map[string]float64{"b": 2}})
	d.UpsertTarget(start, target("t1", 1, 1))
	for i := range 600 {
		mustEnqueue(t, d, start, sample(fmt.Sprint("a", i), "a", 300))
		mustEnqueue(t, d, start, sample(fmt.Sprint("b", i), "b", 100))
	}
	tokens := map[byte]int{}
	for i := range 400 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for _, a := range d.Next(now) {
			n := 300
			if a.RequestID[0] == 'b' {
				n = 100
			}
			tokens[a.RequestID[0]] += n
			d.Done(now, a.RequestID, Result{Tokens: n, Err: ResultOK, FirstToken: 1, Duration: time.Millisecond})
		}
	}
	if diff := tokens['b'] - 2*tokens['a']; diff > 700 || diff < -700 {
		t.Errorf("tokens = %v, want twice as many for b", tokens)
	}
}
