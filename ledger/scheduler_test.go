package ledger

import (
	"testing"
	"time"
)

var startTime = time.Unix(1_700_000_000, 0)

type fixture struct {
	ledger    *Ledger
	scheduler *Scheduler
}

func newFixture(cfg SchedulerConfig) *fixture {
	f := &fixture{New(), NewScheduler(cfg)}
	f.scheduler.Rebuild(startTime, 1, f.ledger)
	return f
}

func (f *fixture) apply(now time.Time, c Command) (Result, []Cancellation) {
	r := f.ledger.Apply(c)
	return r, f.scheduler.Observe(now, c, r)
}

func (f *fixture) lease(now time.Time, host string, n int) []Work {
	return f.scheduler.Lease(now, host, []Capacity{{Pool: "p", Model: "sorter", FreeSlots: n}})
}

func (f *fixture) completeWork(now time.Time, w Work, tokens uint32, versions ...uint64) Verdict {
	r, _ := f.apply(now, acceptCommand(AttemptOutput{Tenancy: w.Tenancy, Step: w.Step, Slot: w.Slot, Attempt: w.Attempt, Versions: versions, Tokens: tokens, Holders: []string{"h"}}))
	return r.Verdicts[0]
}

// Guards against splitting a group between hosts without need, and against starting groups with
// short outputs before those with long ones.
func TestLeaseOrder(t *testing.T) {
	f := newFixture(SchedulerConfig{})
	f.apply(startTime, publishCommand(1))
	f.apply(startTime, openStepCommand("s", 1, Group{Prompt: "short", Samples: 4, MaxTokens: 10}, Group{Prompt: "long", Samples: 4, MaxTokens: 100}))
	a, b := f.lease(startTime, "a", 2), f.lease(startTime, "b", 2)
	if a[0].Prompt != "long" || b[0].Prompt != "short" {
		t.Fatalf("first groups are %s and %s, want long and short", a[0].Prompt, b[0].Prompt)
	}
	if more := f.lease(startTime, "a", 1); more[0].Prompt != "long" {
		t.Error("host a got a slot of another group although its own has open slots")
	}
}

// Guards against a tenancy that gets more than its weighted share of tokens, and against serving
// a step before one with an earlier deadline.
func TestFairnessAndDeadline(t *testing.T) {
	f := newFixture(SchedulerConfig{})
	f.scheduler.SetPolicy("heavy", SchedulingPolicy{Weight: 3})
	tokens := map[string]int{}
	for _, tenancy := range []string{"heavy", "light"} {
		f.apply(startTime, Command{Publish: &Publish{Tenancy: tenancy, Model: "sorter", Version: 1}})
		for i, step := range []string{"late", "early"} {
			groups := make([]Group, 100)
			for j := range groups {
				groups[j] = Group{Samples: 2, MaxTokens: 10}
			}
			f.apply(startTime, Command{OpenStep: &OpenStep{Tenancy: tenancy, Step: step, Model: "sorter", StalenessBound: 1, DeadlineMs: int64(9000 - i), Groups: groups}})
		}
	}
	for range 100 {
		for _, w := range f.lease(startTime, "h", 2) {
			tokens[w.Tenancy] += w.MaxTokens
			if w.Step != "early" {
				t.Fatalf("step %s was served before one with an earlier deadline", w.Step)
			}
		}
	}
	if tokens["heavy"] != 1500 || tokens["light"] != 500 {
		t.Errorf("tokens = %v, want 1500 and 500", tokens)
	}
}

// Guards against slots that are not leased again after the loss of the host, a failure report or
// the end of the lease, and against a new leader that reuses attempt numbers.
func TestLostSlotsAreLeasedAgain(t *testing.T) {
	f := newFixture(SchedulerConfig{MinLease: time.Second, MaxLease: time.Second})
	f.apply(startTime, publishCommand(1))
	f.apply(startTime, openStepCommand("s", 1, Group{Samples: 4, MaxTokens: 10}))
	first := f.lease(startTime, "a", 4)
	if len(f.lease(startTime, "b", 4)) != 0 {
		t.Fatal("a leased slot was leased again")
	}
	f.scheduler.HostLost("a")
	second := f.lease(startTime, "b", 3)
	w := second[0]
	f.scheduler.AttemptFailed(SlotID{Tenancy: w.Tenancy, Step: w.Step, Slot: w.Slot}, w.Attempt)
	if n := len(f.lease(startTime, "c", 9)); n != 2 {
		t.Fatalf("%d slots leased after a failure, want 2", n)
	}
	if n := len(f.lease(startTime.Add(time.Second), "d", 9)); n != 4 {
		t.Fatalf("%d slots leased after the leases expired, want 4", n)
	}
	f.completeWork(startTime, first[0], 5, 1)
	f.scheduler.Rebuild(startTime, 2, f.ledger)
	rebuilt := f.lease(startTime, "e", 9)
	if len(rebuilt) != 3 || rebuilt[0].Attempt>>attemptTermShift != 2 {
		t.Errorf("after a leader change: %+v", rebuilt)
	}
}

// Guards against second attempts that are too early, too many or on the same host, and against
// a superfluous attempt that is not cancelled.
func TestHedge(t *testing.T) {
	f := newFixture(SchedulerConfig{InitialSecondsPerToken: 1, MinLease: time.Hour, MaxLease: time.Hour})
	f.scheduler.SetPolicy("kolfe", SchedulingPolicy{IdleWeight: 1})
	f.apply(startTime, publishCommand(1))
	f.apply(startTime, openStepCommand("s", 9, Group{Samples: 10, MaxTokens: 20}))
	work := f.lease(startTime, "a", 10)
	if n := len(f.lease(startTime.Add(29*time.Second), "b", 10)); n != 0 {
		t.Fatalf("%d second attempts before the straggler threshold of 30 s", n)
	}
	afterThreshold := startTime.Add(31 * time.Second)
	if n := len(f.lease(afterThreshold, "a", 10)); n != 0 {
		t.Fatalf("%d second attempts on the same host", n)
	}
	hedges := f.lease(afterThreshold, "b", 10)
	if len(hedges) != 1 || !hedges[0].Hedge || hedges[0].Slot != work[0].Slot {
		t.Fatalf("second attempts = %+v, want one at the slot of the oldest attempt", hedges)
	}
	w := hedges[0]
	_, cancellations := f.apply(afterThreshold, acceptCommand(AttemptOutput{Tenancy: w.Tenancy, Step: w.Step, Slot: w.Slot, Attempt: w.Attempt, Versions: []uint64{1}, Tokens: 10}))
	if len(cancellations) != 1 || cancellations[0].Attempt != work[0].Attempt {
		t.Errorf("cancellations = %+v", cancellations)
	}
}

// Guards against leasing work that is certain or expected to be stale when it finishes, and
// against holding back work forever while the trainer waits for it.
func TestStalenessAdmission(t *testing.T) {
	for _, c := range []struct {
		policy SchedulingPolicy
		after  time.Duration
		want   int
	}{
		{SchedulingPolicy{StalenessWeight: 1}, 0, 1},                  // 10 s of work, next version in 100 s
		{SchedulingPolicy{StalenessWeight: 1}, 95 * time.Second, 0},   // would finish after the next version
		{SchedulingPolicy{IdleWeight: 1}, 95 * time.Second, 1},        // the policy prefers to avoid idle time
		{SchedulingPolicy{StalenessWeight: 1}, 1000 * time.Second, 1}, // the trainer has stopped publishing
	} {
		f := newFixture(SchedulerConfig{InitialSecondsPerToken: 1})
		f.scheduler.SetPolicy("kolfe", c.policy)
		f.apply(startTime.Add(-100*time.Second), publishCommand(1))
		f.apply(startTime, publishCommand(2))
		f.apply(startTime, openStepCommand("s", 0, Group{Samples: 1, MaxTokens: 20}))
		if w := f.scheduler.Lease(startTime, "h", []Capacity{{Model: "sorter", Version: 1, FreeSlots: 1}}); len(w) != 0 {
			t.Fatal("work was leased to a target whose version is outside the staleness bound")
		}
		if c.after > 100*time.Second {
			// Work is held back for one publication interval, counted from the first deferral.
			if n := len(f.lease(startTime.Add(c.after-100*time.Second), "h", 1)); n != 0 {
				t.Error("work was not held back although a publication is overdue")
			}
		}
		if n := len(f.lease(startTime.Add(c.after), "h", 1)); n != c.want {
			t.Errorf("policy %+v after %s: %d leases, want %d", c.policy, c.after, n, c.want)
		}
	}
}

// Guards against leasing the free slots of a pool once per model, and against leasing them only
// to the tenancies of the first model.
func TestModelsShareFreeSlotsOfPool(t *testing.T) {
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
		t.Errorf("leased %v, want 4 for each tenancy of 8 free slots", count)
	}
}

// Guards against leasing work of a step that requests one pool to another pool.
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

// groupsOf returns n groups of one sample each, so that the next tenancy is served after each
// slot.
func groupsOf(n int) []Group {
	groups := make([]Group, n)
	for i := range groups {
		groups[i] = Group{Prompt: "p", Samples: 1, MaxTokens: 16}
	}
	return groups
}
