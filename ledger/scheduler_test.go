package ledger

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_700_000_000, 0)

type fixture struct {
	l *Ledger
	s *Scheduler
}

func newFixture(cfg SchedulerConfig) *fixture {
	f := &fixture{New(), NewScheduler(cfg)}
	f.s.Rebuild(t0, 1, f.l)
	return f
}

func (f *fixture) apply(now time.Time, c Command) (Result, []Cancel) {
	r := f.l.Apply(c)
	return r, f.s.Observe(now, c, r)
}

func (f *fixture) lease(now time.Time, host string, n int) []Work {
	return f.s.Lease(now, host, []Capacity{{Pool: "p", Model: "sorter", FreeSlots: n}})
}

func (f *fixture) finish(now time.Time, w Work, tokens uint32, versions ...uint64) Verdict {
	r, _ := f.apply(now, accept(AttemptOutput{Tenancy: w.Tenancy, Step: w.Step, Slot: w.Slot, Attempt: w.Attempt, Versions: versions, Tokens: tokens, Holders: []string{"h"}}))
	return r.Verdicts[0]
}

// Guards against groups that are split between hosts without need, and against short
// groups that start before long ones.
func TestLeaseOrder(t *testing.T) {
	f := newFixture(SchedulerConfig{})
	f.apply(t0, publish(1))
	f.apply(t0, open("s", 1, Group{Prompt: "short", Samples: 4, MaxTokens: 10}, Group{Prompt: "long", Samples: 4, MaxTokens: 100}))
	a, b := f.lease(t0, "a", 2), f.lease(t0, "b", 2)
	if a[0].Prompt != "long" || b[0].Prompt != "short" {
		t.Fatalf("first groups are %s and %s, want long and short", a[0].Prompt, b[0].Prompt)
	}
	if more := f.lease(t0, "a", 1); more[0].Prompt != "long" {
		t.Error("host a was moved to another group while its own has open slots")
	}
}

// Guards against a tenancy that takes more than its weighted share of tokens, and against
// a later deadline that is served first.
func TestFairnessAndDeadline(t *testing.T) {
	f := newFixture(SchedulerConfig{})
	f.s.SetPolicy("heavy", SchedulingPolicy{Weight: 3})
	tokens := map[string]int{}
	for _, tenancy := range []string{"heavy", "light"} {
		f.apply(t0, Command{Publish: &Publish{Tenancy: tenancy, Model: "sorter", Version: 1}})
		for i, step := range []string{"late", "early"} {
			groups := make([]Group, 100)
			for j := range groups {
				groups[j] = Group{Samples: 2, MaxTokens: 10}
			}
			f.apply(t0, Command{OpenStep: &OpenStep{Tenancy: tenancy, Step: step, Model: "sorter", StalenessBound: 1, DeadlineMs: int64(9000 - i), Groups: groups}})
		}
	}
	for range 100 {
		for _, w := range f.lease(t0, "h", 2) {
			tokens[w.Tenancy] += w.MaxTokens
			if w.Step != "early" {
				t.Fatalf("step %s was served before an earlier deadline", w.Step)
			}
		}
	}
	if tokens["heavy"] != 1500 || tokens["light"] != 500 {
		t.Errorf("tokens = %v, want 1500 and 500", tokens)
	}
}

// Guards against a slot that is lost with its host, its failure report or its lease, and
// against a new leader that reuses an attempt number.
func TestSlotsReturn(t *testing.T) {
	f := newFixture(SchedulerConfig{MinLease: time.Second, MaxLease: time.Second})
	f.apply(t0, publish(1))
	f.apply(t0, open("s", 1, Group{Samples: 4, MaxTokens: 10}))
	first := f.lease(t0, "a", 4)
	if len(f.lease(t0, "b", 4)) != 0 {
		t.Fatal("a leased slot was leased again")
	}
	f.s.HostLost("a")
	second := f.lease(t0, "b", 3)
	w := second[0]
	f.s.AttemptFailed(SlotID{Tenancy: w.Tenancy, Step: w.Step, Slot: w.Slot}, w.Attempt)
	if n := len(f.lease(t0, "c", 9)); n != 2 {
		t.Fatalf("%d slots after a failure, want 2", n)
	}
	if n := len(f.lease(t0.Add(time.Second), "d", 9)); n != 4 {
		t.Fatalf("%d slots after the leases, want 4", n)
	}
	f.finish(t0, first[0], 5, 1)
	f.s.Rebuild(t0, 2, f.l)
	rebuilt := f.lease(t0, "e", 9)
	if len(rebuilt) != 3 || rebuilt[0].Attempt>>attemptTermShift != 2 {
		t.Errorf("after a leader change: %+v", rebuilt)
	}
}

// Guards against second attempts without gain, without bound, or on the same host, and
// against a loser that is not cancelled.
func TestHedge(t *testing.T) {
	f := newFixture(SchedulerConfig{SecondsPerToken: 1, MinLease: time.Hour, MaxLease: time.Hour})
	f.s.SetPolicy("kolfe", SchedulingPolicy{IdleWeight: 1})
	f.apply(t0, publish(1))
	f.apply(t0, open("s", 9, Group{Samples: 10, MaxTokens: 20}))
	work := f.lease(t0, "a", 10)
	if n := len(f.lease(t0.Add(29*time.Second), "b", 10)); n != 0 {
		t.Fatalf("%d second attempts before the straggler limit of 30 s", n)
	}
	late := t0.Add(31 * time.Second)
	if n := len(f.lease(late, "a", 10)); n != 0 {
		t.Fatalf("%d second attempts on the same host", n)
	}
	hedges := f.lease(late, "b", 10)
	if len(hedges) != 1 || !hedges[0].Hedge || hedges[0].Slot != work[0].Slot {
		t.Fatalf("second attempts = %+v, want one of the oldest slot", hedges)
	}
	w := hedges[0]
	_, cancels := f.apply(late, accept(AttemptOutput{Tenancy: w.Tenancy, Step: w.Step, Slot: w.Slot, Attempt: w.Attempt, Versions: []uint64{1}, Tokens: 10}))
	if len(cancels) != 1 || cancels[0].Attempt != work[0].Attempt {
		t.Errorf("cancels = %+v", cancels)
	}
}

// Guards against work that is certain or expected to be too old when it finishes, and
// against a hold that never ends while the trainer waits.
func TestStalenessAdmission(t *testing.T) {
	for _, c := range []struct {
		policy SchedulingPolicy
		after  time.Duration
		want   int
	}{
		{SchedulingPolicy{StalenessWeight: 1}, 0, 1},                  // 10 s of work, next version in 100 s
		{SchedulingPolicy{StalenessWeight: 1}, 95 * time.Second, 0},   // would finish after the next version
		{SchedulingPolicy{IdleWeight: 1}, 95 * time.Second, 1},        // idle time counts more
		{SchedulingPolicy{StalenessWeight: 1}, 1000 * time.Second, 1}, // the trainer publishes no more
	} {
		f := newFixture(SchedulerConfig{SecondsPerToken: 1})
		f.s.SetPolicy("kolfe", c.policy)
		f.apply(t0.Add(-100*time.Second), publish(1))
		f.apply(t0, publish(2))
		f.apply(t0, open("s", 0, Group{Samples: 1, MaxTokens: 20}))
		if w := f.s.Lease(t0, "h", []Capacity{{Model: "sorter", Version: 1, FreeSlots: 1}}); len(w) != 0 {
			t.Fatal("work was given to a target outside the bound")
		}
		if c.after > 100*time.Second {
			// The hold of one publication interval starts with the first skip.
			if n := len(f.lease(t0.Add(c.after-100*time.Second), "h", 1)); n != 0 {
				t.Error("work started although a publication is overdue")
			}
		}
		if n := len(f.lease(t0.Add(c.after), "h", 1)); n != c.want {
			t.Errorf("policy %+v after %s: %d leases, want %d", c.policy, c.after, n, c.want)
		}
	}
}

// Guards against leasing the same free windows once per model of a pool, and to the first
// model's tenancies only.
func TestModelsOfAPoolShareItsRoom(t *testing.T) {
	l := New()
	for _, name := range []string{"a", "b"} {
		l.Apply(Command{Publish: &Publish{Tenancy: name, Model: "model-" + name, Version: 1}})
		r := l.Apply(Command{OpenStep: &OpenStep{Tenancy: name, Step: "s", Model: "model-" + name, DeadlineMs: 1 << 50,
			Groups: groupsOf(16)}})
		if r.Failure != nil {
			t.Fatal(r.Failure)
		}
	}
	now := time.UnixMilli(0)
	s := NewScheduler(SchedulerConfig{})
	s.Rebuild(now, 1, l)
	count := make(map[string]int)
	for _, w := range s.Lease(now, "h", []Capacity{{Pool: "p", Model: "model-a", FreeSlots: 8}, {Pool: "p", Model: "model-b", FreeSlots: 8}}) {
		count[w.Tenancy]++
	}
	if count["a"] != 4 || count["b"] != 4 {
		t.Errorf("leased %v, want 4 each of 8 free windows", count)
	}
}

// Guards against work of a step that asks for one pool being leased to another.
func TestStepRunsInItsPool(t *testing.T) {
	l := New()
	l.Apply(Command{Publish: &Publish{Tenancy: "a", Model: "m", Version: 1}})
	l.Apply(Command{OpenStep: &OpenStep{Tenancy: "a", Step: "s", Model: "m", Pool: "p", DeadlineMs: 1 << 50, Groups: groupsOf(4)}})
	now := time.UnixMilli(0)
	s := NewScheduler(SchedulerConfig{})
	s.Rebuild(now, 1, l)
	if got := s.Lease(now, "h", []Capacity{{Pool: "q", Model: "m", FreeSlots: 4}}); len(got) != 0 {
		t.Errorf("leased %d slots to another pool", len(got))
	}
	if got := s.Lease(now, "h", []Capacity{{Pool: "p", Model: "m", FreeSlots: 4}}); len(got) != 4 {
		t.Errorf("leased %d slots, want 4", len(got))
	}
}

// groupsOf returns n groups of one sample, so that the turn changes after each slot.
func groupsOf(n int) []Group {
	groups := make([]Group, n)
	for i := range groups {
		groups[i] = Group{Prompt: "p", Samples: 1, MaxTokens: 16}
	}
	return groups
}
