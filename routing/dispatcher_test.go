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

func target(id string, slots int, version uint64) TargetState {
	return TargetState{ID: id, Pool: "p", Slots: slots, Loaded: map[string]uint64{"m": version}}
}

func sample(id, tenancy string, tokens int) Request {
	return Request{ID: id, Kind: Sample, Tenancy: tenancy, Pool: "p", Model: "m", ExpectedTokens: tokens}
}

func mustEnqueue(t *testing.T, d *Dispatcher, now time.Time, r Request) {
	t.Helper()
	if err := d.Enqueue(now, r); err != nil {
		t.Fatalf("enqueue %s: %v", r.ID, err)
	}
}

func finish(d *Dispatcher, now time.Time, id string, perToken time.Duration) {
	d.Done(now, id, Result{Tokens: 100, Kind: ResultOK, TimeToFirstToken: 10 * time.Millisecond, Duration: 100*perToken + 10*time.Millisecond})
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
	if r := d.TakeRefusals(); len(r) != 1 || r[0].RequestID != "waiting" || errs.OutcomeOf(r[0].Err) != errs.NotRun {
		t.Fatalf("refused = %v, want the waiting request", r)
	}
}

// slowTarget runs four targets for four minutes, of which t0 is ten times slower in the first
// two. It returns the requests on t0 in the second and in the last minute.
func slowTarget(t *testing.T, cfg Config) (slow, back int) {
	d := newTest(cfg)
	for i := range 4 {
		d.UpsertTarget(start, target(fmt.Sprint("t", i), 4, 1))
	}
	for n := range 240 {
		now := start.Add(time.Duration(n) * time.Second)
		for i := 0; d.Queued("p", Sample) < 20; i++ {
			mustEnqueue(t, d, now, sample(fmt.Sprint(n, "/", i), "a", 100))
		}
		for _, a := range d.Next(now) {
			per := 10 * time.Millisecond
			if a.Target == "t0" && n < 120 {
				per *= 10
			}
			finish(d, now, a.RequestID, per)
			if a.Target == "t0" && n >= 60 && n < 120 {
				slow++
			}
			if a.Target == "t0" && n >= 180 {
				back++
			}
		}
		for i := range 4 {
			d.ReportLoad(now, fmt.Sprint("t", i), LoadReport{})
		}
	}
	return slow, back
}

// Guards against a slow target that keeps receiving work, and against one that never returns.
func TestSlowTargetIsProbedAndReturns(t *testing.T) {
	const probes = 8 // one every 8 to 16 s
	if slow, back := slowTarget(t, Config{}); slow > probes || back < 60 {
		t.Errorf("%d requests on the slow target, %d after it recovered", slow, back)
	}
	if slow, _ := slowTarget(t, Config{SlowFactor: 1000}); slow <= probes {
		t.Error("the check does not find that slow targets are not suspended")
	}
}

// unfairness returns by how many tokens tenancy b, with twice the weight, is away from twice
// the service of a.
func unfairness(t *testing.T, cfg Config) int {
	d := newTest(cfg)
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
			d.Done(now, a.RequestID, Result{Tokens: n, Kind: ResultOK, TimeToFirstToken: 1, Duration: time.Millisecond})
		}
	}
	diff := tokens['b'] - 2*tokens['a']
	return max(diff, -diff)
}

// Guards against one tenancy's flood taking another's share.
func TestTenanciesShareByTokens(t *testing.T) {
	const bound = 2*300 + 100 // one request of each tenancy
	if got := unfairness(t, Config{Weights: map[string]float64{"b": 2}}); got > bound {
		t.Errorf("%d tokens away from the shares, at most %d are allowed", got, bound)
	}
	if unfairness(t, Config{}) <= bound {
		t.Error("the check does not find missing weights")
	}
}

// Guards against an entry host that ignores the prompt's prefix, overloads a host for its
// sake, stays in a full domain, returns to a host that it did not reach, or fails on empty and
// stale summaries.
func TestPickHost(t *testing.T) {
	summary := func(host, domain string, load int, age time.Duration) HostSummary {
		return HostSummary{Host: host, Domain: domain, ReceivedAt: start.Add(-age),
			Pools: map[string]PoolSummary{"p": {Capacity: 10, Load: load, Versions: map[string]uint64{"m": 2}}}}
	}
	r := sample("r", "a", 10)
	r.Domain, r.PrefixKeys = "d1", []uint64{42}
	random := rand.New(rand.NewPCG(1, 2))
	pick := func(hosts ...HostSummary) string {
		h, ok := PickHost(start, r, hosts, random)
		if ok != (h != "") {
			t.Fatalf("host %q, ok %v", h, ok)
		}
		return h
	}
	home := pick(summary("a", "d1", 2, 0), summary("b", "d1", 2, 0), summary("c", "d2", 0, 0))
	other := map[string]string{"a": "b", "b": "a"}[home]
	if other == "" {
		t.Fatalf("%s is outside the own domain, which has room", home)
	}
	cases := []struct {
		name, want string
		hosts      []HostSummary
	}{
		{"load bound", other, []HostSummary{summary(home, "d1", 9, 0), summary(other, "d1", 1, 0)}},
		{"full domain", "c", []HostSummary{summary(home, "d1", 10, 0), summary(other, "d1", 10, 0), summary("c", "d2", 3, 0)}},
		{"all full", other, []HostSummary{summary(home, "d1", 30, 0), summary(other, "d1", 12, 0), summary("c", "d2", 15, 0)}},
		{"stale", home, []HostSummary{summary(home, "d1", 9, time.Hour), summary(other, "d1", 1, time.Hour), summary("c", "d2", 0, time.Hour)}},
		{"empty", "", nil},
	}
	for _, c := range cases {
		if got := pick(c.hosts...); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
	r.AvoidHosts = []string{home}
	if got := pick(summary(home, "d1", 0, 0), summary("c", "d2", 9, 0)); got != "c" {
		t.Errorf("picked %q after an attempt that did not reach %s", got, home)
	}
	if got := pick(summary(home, "d1", 0, 0)); got != home {
		t.Errorf("picked %q, but only %s is known", got, home)
	}
	r.MinVersion = 3
	if got := pick(summary("a", "d1", 0, 0)); got != "" {
		t.Errorf("%s does not have the version", got)
	}
}

// Guards against a later step being served before an earlier one of the same tenancy.
func TestEarliestStepDeadlineFirst(t *testing.T) {
	d := newTest(Config{})
	for i, minutes := range []int{3, 1, 2} {
		r := sample(fmt.Sprint("r", minutes), "a", 10)
		r.StepDeadline = start.Add(time.Duration(minutes) * time.Minute)
		r.MinVersion = uint64(i % 2) // two flows of one tenancy
		mustEnqueue(t, d, start, r)
	}
	d.UpsertTarget(start, target("t1", 6, 1))
	got := ""
	for _, a := range d.Next(start) {
		got += a.RequestID
	}
	if got != "r1r2r3" {
		t.Errorf("order %s", got)
	}
}

// Guards against a picture of the caches that misses events or believes old ones.
func TestPrefixViewFollowsEvents(t *testing.T) {
	d := newTest(Config{SilentAfter: time.Hour})
	for i := range 8 {
		d.UpsertTarget(start, target(fmt.Sprint("t", i), 4, 1))
	}
	keys := []uint64{1, 2, 3, 4}
	strength := func(now time.Time) float64 {
		d.view.match(now, keys)
		return d.targets["t5"].PrefixMatch()
	}
	d.ApplyCacheEvent(start, "t5", CacheEvent{Seq: 1, Kind: CacheStored, Keys: keys})
	r := sample("r", "a", 10)
	r.PrefixKeys = keys
	mustEnqueue(t, d, start, r)
	if a := d.Next(start); len(a) != 1 || a[0].Target != "t5" {
		t.Errorf("assigned %v, want the holder of the prefix", a)
	}
	full := strength(start)
	if aged := strength(start.Add(defaultPrefixHalfLife)); aged > 0.6*full {
		t.Errorf("belief %.2f after one half-life, was %.2f", aged, full)
	}
	now := start.Add(time.Second)
	d.ApplyCacheEvent(now, "t5", CacheEvent{Seq: 9, Kind: CacheStored, Keys: []uint64{9}})
	if gapped := strength(now); gapped > 0.6*full || gapped == 0 {
		t.Errorf("belief %.2f after lost events, was %.2f", gapped, full)
	}
	d.ApplyCacheEvent(now, "t5", CacheEvent{Seq: 10, Kind: CacheEvicted, Keys: keys})
	if evicted := strength(now); evicted != 0 {
		t.Errorf("belief %.2f after eviction", evicted)
	}
	d.ApplyCacheEvent(now, "t5", CacheEvent{Seq: 100, Kind: CacheCleared})
	d.ApplyCacheEvent(now.Add(time.Second), "t5", CacheEvent{Seq: 3, Kind: CacheStored, Keys: keys})
	if late := strength(now.Add(time.Second)); late != 0 {
		t.Errorf("belief %.2f after an event that is too late", late)
	}
}

// Guards against a plain service, which reports no tokens, that never returns after failures.
func TestServiceReturnsAfterFailures(t *testing.T) {
	d := newTest(Config{})
	d.UpsertTarget(start, TargetState{ID: "s", Pool: "p", Slots: 1})
	sent := 0
	for n := range 60 {
		now := start.Add(time.Duration(n) * time.Second)
		d.ReportLoad(now, "s", LoadReport{})
		kind := ResultFailed
		if n >= 10 {
			kind = ResultOK
		}
		mustEnqueue(t, d, now, Request{ID: fmt.Sprint(n), Kind: Desk, Tenancy: "desk", Pool: "p"})
		for _, a := range d.Next(now) {
			d.Done(now, a.RequestID, Result{Kind: kind, Duration: time.Millisecond})
			if n >= 40 && !a.Probe {
				sent++
			}
		}
	}
	if sent < 20 {
		t.Errorf("%d ordinary requests in the last 20 s, want one a second", sent)
	}
}

// Guards against counting own requests twice, once as sent and once as reported.
func TestReportIsCorrectedByOwnRequests(t *testing.T) {
	d := newTest(Config{})
	d.UpsertTarget(start, target("t1", 16, 1))
	mustEnqueue(t, d, start, sample("before", "a", 10))
	d.Next(start)
	at := start.Add(time.Second)
	mustEnqueue(t, d, at.Add(1), sample("after", "a", 10))
	d.Next(at.Add(1))
	d.ReportLoad(at.Add(2), "t1", LoadReport{Running: 4, MeasuredAt: at})
	d.ReportLoad(at.Add(3), "t1", LoadReport{Running: 9, MeasuredAt: start}) // late
	if got := d.targets["t1"].Load(); got != 5 {
		t.Errorf("load %d, want 2 own and 3 of others", got)
	}
}
