package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestDispatcher(cfg Config) *Dispatcher {
	return NewDispatcher(cfg, rand.New(rand.NewPCG(1, 2)))
}

func testTarget(id string, slots int, version uint64) TargetState {
	return TargetState{ID: id, Pool: "p", Slots: slots, Loaded: map[string]uint64{"m": version}}
}

func testSample(id, tenancy string, tokens int) Request {
	return Request{ID: id, Kind: Sample, Tenancy: tenancy, Pool: "p", Model: "m", ExpectedTokens: tokens}
}

func mustEnqueue(t *testing.T, d *Dispatcher, now time.Time, r Request) {
	t.Helper()
	if err := d.Enqueue(now, r); err != nil {
		t.Fatalf("enqueue %s: %v", r.ID, err)
	}
}

func completeRequest(d *Dispatcher, now time.Time, id string, perToken time.Duration) {
	d.Done(now, id, Result{Tokens: 100, Kind: ResultOK, TimeToFirstToken: 10 * time.Millisecond, Duration: 100*perToken + 10*time.Millisecond})
}

// Guards against an unbounded queue, and against samples that use the part of the queue that is reserved
// for desk requests.
func TestFullQueueRefusesRequests(t *testing.T) {
	d := newTestDispatcher(Config{QueueLimit: 8, SampleShare: 0.5})
	var err error
	for i := range 5 {
		err = d.Enqueue(testStart, testSample(fmt.Sprint(i), "a", 10))
	}
	var overloaded *errs.Overloaded
	if !errors.As(err, &overloaded) || overloaded.After <= 0 || errs.OutcomeOf(err) != errs.NotRun {
		t.Fatalf("fifth sample: got %v, want overloaded with a retry delay", err)
	}
	mustEnqueue(t, d, testStart, Request{ID: "desk", Kind: Desk, Tenancy: "d", Pool: "p", Model: "m"})
}

// Guards against requests that are queued or dispatched although they cannot meet their deadlines.
func TestUnreachableDeadlineIsRefused(t *testing.T) {
	d := newTestDispatcher(Config{})
	d.UpsertTarget(testStart, testTarget("t1", 1, 1))
	mustEnqueue(t, d, testStart, testSample("warm", "a", 100))
	d.Next(testStart)
	now := testStart.Add(2 * time.Second)
	completeRequest(d, now, "warm", 10*time.Millisecond)
	late := testSample("late", "a", 1000)
	late.Deadline = now.Add(time.Second)
	if err := d.Enqueue(now, late); errs.CodeOf(err) != errs.CodeDeadline || errs.OutcomeOf(err) != errs.NotRun {
		t.Fatalf("got %v, want a deadline error with outcome not_run", err)
	}
	waiting := testSample("waiting", "a", 100)
	waiting.Deadline = now.Add(2 * time.Second)
	mustEnqueue(t, d, now, testSample("first", "a", 100))
	d.Next(now)
	mustEnqueue(t, d, now, waiting)
	d.Next(now.Add(1500 * time.Millisecond))
	if r := d.TakeRefusals(); len(r) != 1 || r[0].RequestID != "waiting" || errs.OutcomeOf(r[0].Err) != errs.NotRun {
		t.Fatalf("refused %v, want only the waiting request", r)
	}
}

// runSlowTarget simulates four targets for four minutes. Target t0 is ten times slower in the first two
// minutes. The results are the numbers of requests on t0 in the second and in the last minute.
func runSlowTarget(t *testing.T, cfg Config) (whileSlow, afterRecovery int) {
	d := newTestDispatcher(cfg)
	for i := range 4 {
		d.UpsertTarget(testStart, testTarget(fmt.Sprint("t", i), 4, 1))
	}
	for second := range 240 {
		now := testStart.Add(time.Duration(second) * time.Second)
		for i := 0; d.Queued("p", Sample) < 20; i++ {
			mustEnqueue(t, d, now, testSample(fmt.Sprint(second, "/", i), "a", 100))
		}
		for _, a := range d.Next(now) {
			perToken := 10 * time.Millisecond
			if a.Target == "t0" && second < 120 {
				perToken *= 10
			}
			completeRequest(d, now, a.RequestID, perToken)
			if a.Target == "t0" && second >= 60 && second < 120 {
				whileSlow++
			}
			if a.Target == "t0" && second >= 180 {
				afterRecovery++
			}
		}
		for i := range 4 {
			d.ReportLoad(now, fmt.Sprint("t", i), LoadReport{})
		}
	}
	return whileSlow, afterRecovery
}

// Guards against a slow target that is not suspended, and against one that stays suspended after it has
// recovered.
func TestSlowTargetIsSuspendedAndRecovers(t *testing.T) {
	const maxProbes = 8 // per minute, at intervals of 8 to 16 s
	if whileSlow, afterRecovery := runSlowTarget(t, Config{}); whileSlow > maxProbes || afterRecovery < 60 {
		t.Errorf("%d requests were sent to the target while it was slow, %d after it recovered", whileSlow, afterRecovery)
	}
	if whileSlow, _ := runSlowTarget(t, Config{SlowFactor: 1000}); whileSlow <= maxProbes {
		t.Error("the check passes with SlowFactor 1000, although slow targets are then not suspended")
	}
}

// fairnessError returns the difference between the tokens of tenancy b and twice the tokens of tenancy
// a. It is small if b has twice the weight of a.
func fairnessError(t *testing.T, cfg Config) int {
	d := newTestDispatcher(cfg)
	d.UpsertTarget(testStart, testTarget("t1", 1, 1))
	for i := range 600 {
		mustEnqueue(t, d, testStart, testSample(fmt.Sprint("a", i), "a", 300))
		mustEnqueue(t, d, testStart, testSample(fmt.Sprint("b", i), "b", 100))
	}
	tokens := map[byte]int{}
	for i := range 400 {
		now := testStart.Add(time.Duration(i) * time.Millisecond)
		for _, a := range d.Next(now) {
			cost := 300
			if a.RequestID[0] == 'b' {
				cost = 100
			}
			tokens[a.RequestID[0]] += cost
			d.Done(now, a.RequestID, Result{Tokens: cost, Kind: ResultOK, TimeToFirstToken: 1, Duration: time.Millisecond})
		}
	}
	diff := tokens['b'] - 2*tokens['a']
	return max(diff, -diff)
}

// Guards against a tenancy with many requests that takes the share of another one.
func TestFairShareByTokens(t *testing.T) {
	const bound = 2*300 + 100 // a schedule by whole requests may be off by one request of each tenancy
	if got := fairnessError(t, Config{TenancyWeights: map[string]float64{"b": 2}}); got > bound {
		t.Errorf("difference of %d tokens from the fair shares, want at most %d", got, bound)
	}
	if fairnessError(t, Config{}) <= bound {
		t.Error("the check passes without weights, although the shares are then wrong")
	}
}

// Guards against a choice that ignores the prompt prefix, overloads a host because of the prefix, stays
// in a full failure domain, returns to an unreachable host, or fails on empty or stale summaries.
func TestPickHost(t *testing.T) {
	summary := func(host, domain string, load int, age time.Duration) HostSummary {
		return HostSummary{Host: host, Domain: domain, ReceivedAt: testStart.Add(-age),
			Pools: map[string]PoolSummary{"p": {Capacity: 10, Load: load, Versions: map[string]uint64{"m": 2}}}}
	}
	r := testSample("r", "a", 10)
	r.Domain, r.PrefixKeys = "d1", []uint64{42}
	random := rand.New(rand.NewPCG(1, 2))
	pick := func(hosts ...HostSummary) string {
		h, ok := PickHost(testStart, r, hosts, random)
		if ok != (h != "") {
			t.Fatalf("PickHost returned host %q with ok = %v", h, ok)
		}
		return h
	}
	preferred := pick(summary("a", "d1", 2, 0), summary("b", "d1", 2, 0), summary("c", "d2", 0, 0))
	other := map[string]string{"a": "b", "b": "a"}[preferred]
	if other == "" {
		t.Fatalf("picked %s, but a host in the request's failure domain has free capacity", preferred)
	}
	cases := []struct {
		name, want string
		hosts      []HostSummary
	}{
		{"load bound", other, []HostSummary{summary(preferred, "d1", 9, 0), summary(other, "d1", 1, 0)}},
		{"full domain", "c", []HostSummary{summary(preferred, "d1", 10, 0), summary(other, "d1", 10, 0), summary("c", "d2", 3, 0)}},
		{"all full", other, []HostSummary{summary(preferred, "d1", 30, 0), summary(other, "d1", 12, 0), summary("c", "d2", 15, 0)}},
		{"stale", preferred, []HostSummary{summary(preferred, "d1", 9, time.Hour), summary(other, "d1", 1, time.Hour), summary("c", "d2", 0, time.Hour)}},
		{"empty", "", nil},
	}
	for _, c := range cases {
		if got := pick(c.hosts...); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
	r.AvoidHosts = []string{preferred}
	if got := pick(summary(preferred, "d1", 0, 0), summary("c", "d2", 9, 0)); got != "c" {
		t.Errorf("picked %q, want c, because %s is to be avoided", got, preferred)
	}
	if got := pick(summary(preferred, "d1", 0, 0)); got != preferred {
		t.Errorf("picked %q, want %s, the only known host", got, preferred)
	}
	r.MinVersion = 3
	if got := pick(summary("a", "d1", 0, 0)); got != "" {
		t.Errorf("picked %q, which does not have the required version", got)
	}
}

// Guards against dispatching a later training step before an earlier one of the same tenancy.
func TestEarliestStepDeadlineFirst(t *testing.T) {
	d := newTestDispatcher(Config{})
	for i, minutes := range []int{3, 1, 2} {
		r := testSample(fmt.Sprint("r", minutes), "a", 10)
		r.StepDeadline = testStart.Add(time.Duration(minutes) * time.Minute)
		r.MinVersion = uint64(i % 2) // the requests are in two model queues
		mustEnqueue(t, d, testStart, r)
	}
	d.UpsertTarget(testStart, testTarget("t1", 6, 1))
	got := ""
	for _, a := range d.Next(testStart) {
		got += a.RequestID
	}
	if got != "r1r2r3" {
		t.Errorf("dispatched in order %s, want r1r2r3", got)
	}
}

// Guards against a prefix index that ignores cache events, lost events or the age of entries.
func TestPrefixIndexAppliesEvents(t *testing.T) {
	d := newTestDispatcher(Config{SilentAfter: time.Hour})
	for i := range 8 {
		d.UpsertTarget(testStart, testTarget(fmt.Sprint("t", i), 4, 1))
	}
	keys := []uint64{1, 2, 3, 4}
	confidence := func(now time.Time) float64 {
		d.prefixes.scoreHolders(now, keys)
		return d.targets["t5"].PrefixMatch()
	}
	d.ApplyCacheEvent(testStart, "t5", CacheEvent{Seq: 1, Kind: CacheStored, Keys: keys})
	r := testSample("r", "a", 10)
	r.PrefixKeys = keys
	mustEnqueue(t, d, testStart, r)
	if a := d.Next(testStart); len(a) != 1 || a[0].Target != "t5" {
		t.Errorf("assigned %v, want the holder of the prefix", a)
	}
	full := confidence(testStart)
	if aged := confidence(testStart.Add(defaultPrefixHalfLife)); aged > 0.6*full {
		t.Errorf("prefix match %.2f after one half-life, was %.2f", aged, full)
	}
	now := testStart.Add(time.Second)
	d.ApplyCacheEvent(now, "t5", CacheEvent{Seq: 9, Kind: CacheStored, Keys: []uint64{9}})
	if afterGap := confidence(now); afterGap > 0.6*full || afterGap == 0 {
		t.Errorf("prefix match %.2f after lost events, was %.2f", afterGap, full)
	}
	d.ApplyCacheEvent(now, "t5", CacheEvent{Seq: 10, Kind: CacheEvicted, Keys: keys})
	if evicted := confidence(now); evicted != 0 {
		t.Errorf("prefix match %.2f after eviction", evicted)
	}
	d.ApplyCacheEvent(now, "t5", CacheEvent{Seq: 100, Kind: CacheCleared})
	d.ApplyCacheEvent(now.Add(time.Second), "t5", CacheEvent{Seq: 3, Kind: CacheStored, Keys: keys})
	if late := confidence(now.Add(time.Second)); late != 0 {
		t.Errorf("prefix match %.2f after an outdated event", late)
	}
}

// Guards against a target that stays suspended after failures because it reports no tokens. Services
// without models report none.
func TestServiceWithoutModelsRecoversAfterFailures(t *testing.T) {
	d := newTestDispatcher(Config{})
	d.UpsertTarget(testStart, TargetState{ID: "s", Pool: "p", Slots: 1})
	nonProbes := 0
	for second := range 60 {
		now := testStart.Add(time.Duration(second) * time.Second)
		d.ReportLoad(now, "s", LoadReport{})
		result := ResultFailed
		if second >= 10 {
			result = ResultOK
		}
		mustEnqueue(t, d, now, Request{ID: fmt.Sprint(second), Kind: Desk, Tenancy: "desk", Pool: "p"})
		for _, a := range d.Next(now) {
			d.Done(now, a.RequestID, Result{Kind: result, Duration: time.Millisecond})
			if second >= 40 && !a.Probe {
				nonProbes++
			}
		}
	}
	if nonProbes < 20 {
		t.Errorf("%d requests that are not probes in the last 20 s, want one per second", nonProbes)
	}
}

// Guards against counting the dispatcher's own requests twice, as sent and as reported by the target.
func TestLoadReportExcludesOwnRequests(t *testing.T) {
	d := newTestDispatcher(Config{})
	d.UpsertTarget(testStart, testTarget("t1", 16, 1))
	mustEnqueue(t, d, testStart, testSample("before", "a", 10))
	d.Next(testStart)
	at := testStart.Add(time.Second)
	mustEnqueue(t, d, at.Add(1), testSample("after", "a", 10))
	d.Next(at.Add(1))
	d.ReportLoad(at.Add(2), "t1", LoadReport{Running: 4, MeasuredAt: at})
	d.ReportLoad(at.Add(3), "t1", LoadReport{Running: 9, MeasuredAt: testStart}) // out of order
	if got := d.targets["t1"].Load(); got != 5 {
		t.Errorf("load %d, want 5: 2 requests of this dispatcher and 3 of others", got)
	}
}
