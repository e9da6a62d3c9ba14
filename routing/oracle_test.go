package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/faultcheck"
)

// TestMain fixes the seed of the state machine tests, so that their results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "100"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fault is a defect that the test injects between the dispatcher and the oracle.
type fault int

const (
	noFault           fault = iota
	dispatchTwice           // an assignment is returned again
	ignoreRemoval           // the removal of a target is not passed on
	ignoreVersion           // the version filter is disabled
	dropRefusal             // a refusal is not reported
	queueDeskAsSample       // desk requests are queued as samples
	ignoreLimit             // the queue limit is ten times as high
	ignoreHealth            // the health filter is disabled
)

// oracleTarget is the expected state of a target.
type oracleTarget struct {
	version   uint64
	slots     int
	leaving   bool
	lastHeard time.Time
	inflight  int
}

// oracle is a reference model of the dispatcher: it tracks queued requests and requests in flight, and
// checks the rules for assignments.
type oracle struct {
	dispatcher      *Dispatcher
	fault           fault
	now             time.Time
	lastID          int
	targets         map[string]*oracleTarget
	queued          map[string]Request
	inflight        map[string]string // target by request ID
	queueLimit      int
	lastAssignments []Assignment
}

const oracleSilentAfter = 3 * time.Second

func newOracle(f fault) *oracle {
	o := &oracle{fault: f, now: testStart, queueLimit: 8, targets: map[string]*oracleTarget{},
		queued: map[string]Request{}, inflight: map[string]string{}}
	cfg := Config{QueueLimit: o.queueLimit, SilentAfter: oracleSilentAfter, RandomCandidates: 2, MaxPrefixKeys: 50}
	p := DefaultProfile()
	switch f {
	case ignoreLimit:
		cfg.QueueLimit *= 10
	case ignoreVersion:
		p.Filters = []Filter{HealthFilter{}, WindowFilter{}}
	case ignoreHealth:
		p.Filters = []Filter{VersionFilter{}, WindowFilter{}}
	}
	cfg.Profile = p
	o.dispatcher = NewDispatcher(cfg, rand.New(rand.NewPCG(3, 4)))
	return o
}

func (o *oracle) enqueue(t *rapid.T) {
	o.lastID++
	r := Request{ID: fmt.Sprint("r", o.lastID), Pool: "p", Model: "m",
		Kind:           rapid.SampledFrom([]Kind{Desk, Sample}).Draw(t, "kind"),
		Tenancy:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenancy"),
		MinVersion:     rapid.Uint64Range(0, 3).Draw(t, "version"),
		ExpectedTokens: rapid.IntRange(1, 500).Draw(t, "tokens"),
		PrefixKeys:     rapid.SliceOfN(rapid.Uint64Range(1, 100), 0, 4).Draw(t, "keys")}
	if rapid.Bool().Draw(t, "has deadline") {
		r.Deadline = o.now.Add(time.Duration(rapid.Int64Range(0, 8000).Draw(t, "deadline")) * time.Millisecond)
	}
	sent := r
	if o.fault == queueDeskAsSample {
		sent.Kind = Sample
	}
	err := o.dispatcher.Enqueue(o.now, sent)
	if err == nil {
		o.queued[r.ID] = r
	} else if errs.OutcomeOf(err) != errs.NotRun {
		t.Fatalf("request was refused without outcome not_run: %v", err)
	} else if errs.CodeOf(err) == errs.CodeOverloaded && errs.RetryAfterOf(err) <= 0 {
		t.Fatalf("overloaded without a retry delay: %v", err)
	}
	if len(o.queued) > o.queueLimit {
		t.Fatalf("%d requests are queued, the limit is %d", len(o.queued), o.queueLimit)
	}
	if err == nil && o.dispatcher.Enqueue(o.now, sent) == nil {
		t.Fatalf("request %s was accepted twice", r.ID)
	}
}

func (o *oracle) dispatch(t *rapid.T) {
	assignments := slices.Clone(o.dispatcher.Next(o.now))
	if o.fault == dispatchTwice {
		assignments = append(assignments, o.lastAssignments...)
	}
	o.lastAssignments = assignments
	sampleSeen := false
	for _, a := range assignments {
		r, ok := o.queued[a.RequestID]
		if !ok {
			t.Fatalf("%s was dispatched, but it was not queued", a.RequestID)
		}
		delete(o.queued, a.RequestID)
		o.inflight[a.RequestID] = a.Target
		o.checkTarget(t, r, a)
		if r.Kind == Desk && sampleSeen {
			t.Fatalf("desk request %s was dispatched after a sample", r.ID)
		}
		sampleSeen = sampleSeen || (r.Kind == Sample && !a.Probe)
	}
	for _, refusal := range o.dispatcher.TakeRefusals() {
		r, ok := o.queued[refusal.RequestID]
		if !ok || r.Deadline.IsZero() || errs.OutcomeOf(refusal.Err) != errs.NotRun {
			t.Fatalf("unexpected refusal of %s: %v", refusal.RequestID, refusal.Err)
		}
		if o.fault != dropRefusal {
			delete(o.queued, refusal.RequestID)
		}
	}
	if got := o.dispatcher.Queued("p", Desk) + o.dispatcher.Queued("p", Sample); got != len(o.queued) {
		t.Fatalf("dispatcher has %d queued requests, oracle has %d", got, len(o.queued))
	}
	for id, r := range o.queued {
		if !r.Deadline.IsZero() && r.Deadline.Before(o.now) {
			t.Fatalf("%s is still queued after its deadline", id)
		}
	}
}

func (o *oracle) checkTarget(t *rapid.T, r Request, a Assignment) {
	target := o.targets[a.Target]
	if target == nil || target.leaving {
		t.Fatalf("%s was sent to %s, which is leaving or was removed", r.ID, a.Target)
	}
	if target.version < r.MinVersion {
		t.Fatalf("%s requires version %d, but %s has loaded %d", r.ID, r.MinVersion, a.Target, target.version)
	}
	if o.now.Sub(target.lastHeard) > oracleSilentAfter && !a.Probe {
		t.Fatalf("%s was sent to %s, which is silent", r.ID, a.Target)
	}
	target.inflight++
	if target.inflight > target.slots && !a.Probe {
		t.Fatalf("%s has %d requests in flight, but only %d slots", a.Target, target.inflight, target.slots)
	}
}

func (o *oracle) finish(t *rapid.T) {
	if len(o.inflight) == 0 {
		t.Skip()
	}
	ids := make([]string, 0, len(o.inflight))
	for id := range o.inflight {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "id")
	kind := rapid.SampledFrom([]ResultKind{ResultOK, ResultOK, ResultOK, ResultFailed, ResultTimeout, ResultRefused}).Draw(t, "result")
	perToken := time.Duration(rapid.IntRange(1, 100).Draw(t, "ms per token")) * time.Millisecond
	o.dispatcher.Done(o.now, id, Result{Tokens: 10, Kind: kind, TimeToFirstToken: perToken, Duration: 11 * perToken})
	o.dispatcher.Done(o.now, id, Result{Kind: ResultOK}) // a repeated call must have no effect
	if target := o.targets[o.inflight[id]]; target != nil {
		target.inflight--
		if kind == ResultOK || kind == ResultRefused {
			target.lastHeard = o.now
		}
	}
	delete(o.inflight, id)
}

// upsert announces a target. The incarnation does not change, so requests in flight still count.
func (o *oracle) upsert(t *rapid.T) {
	id := fmt.Sprint("t", rapid.IntRange(1, 5).Draw(t, "target"))
	target := o.targets[id]
	if target == nil {
		target = &oracleTarget{slots: rapid.IntRange(1, 4).Draw(t, "slots")}
		o.targets[id] = target
	}
	target.version = max(target.version, rapid.Uint64Range(0, 3).Draw(t, "version"))
	target.leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
	target.lastHeard = o.now
	s := testTarget(id, target.slots, target.version)
	s.Leaving = target.leaving
	o.dispatcher.UpsertTarget(o.now, s)
}

func (o *oracle) actions() map[string]func(*rapid.T) {
	anyTarget := rapid.IntRange(1, 5)
	return map[string]func(*rapid.T){
		"enqueue":  o.enqueue,
		"dispatch": o.dispatch,
		"finish":   o.finish,
		"upsert":   o.upsert,
		"remove": func(t *rapid.T) {
			id := fmt.Sprint("t", anyTarget.Draw(t, "target"))
			delete(o.targets, id)
			if o.fault != ignoreRemoval {
				o.dispatcher.RemoveTarget(o.now, id)
			}
		},
		"report": func(t *rapid.T) {
			id := fmt.Sprint("t", anyTarget.Draw(t, "target"))
			if target := o.targets[id]; target != nil {
				target.lastHeard = o.now
				o.dispatcher.ReportLoad(o.now, id, LoadReport{Running: rapid.IntRange(0, 6).Draw(t, "running")})
			}
		},
		"cancel": func(t *rapid.T) {
			id := fmt.Sprint("r", rapid.IntRange(1, max(1, o.lastID)).Draw(t, "id"))
			_, queued := o.queued[id]
			if got := o.dispatcher.Cancel(o.now, id); got != queued {
				t.Fatalf("cancel %s: got %v, want %v", id, got, queued)
			}
			delete(o.queued, id)
		},
		"cache": func(t *rapid.T) {
			o.dispatcher.ApplyCacheEvent(o.now, fmt.Sprint("t", anyTarget.Draw(t, "target")), CacheEvent{
				Seq:  rapid.Uint64Range(1, 200).Draw(t, "seq"),
				Kind: rapid.SampledFrom([]CacheEventKind{CacheStored, CacheEvicted, CacheCleared}).Draw(t, "kind"),
				Keys: rapid.SliceOfN(rapid.Uint64Range(1, 100), 1, 20).Draw(t, "keys")})
			if n := len(o.dispatcher.prefixes.entries); n > 50 {
				t.Fatalf("the prefix index has %d keys, the limit is 50", n)
			}
		},
		"wait": func(t *rapid.T) {
			o.now = o.now.Add(time.Duration(rapid.Int64Range(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// Guards against requests that are lost or dispatched twice; requests for a target that was removed,
// is leaving, is silent or has an older version; exceeded queue limits and dispatch windows; samples
// that are dispatched before desk requests; and unbounded memory for cache events.
func TestDispatcherMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(noFault)
		t.Repeat(o.actions())
	})
}

// Guards against an oracle that does not detect defects: each injected fault must fail the test.
func TestInjectedFaultsAreDetected(t *testing.T) {
	faults := map[string]fault{"dispatch twice": dispatchTwice, "ignore removal": ignoreRemoval, "ignore version": ignoreVersion,
		"drop refusal": dropRefusal, "queue desk requests as samples": queueDeskAsSample, "ignore limit": ignoreLimit, "ignore health": ignoreHealth}
	for name, f := range faults {
		if faultcheck.FailureMessage(t, func(t *rapid.T) {
			o := newOracle(f)
			t.Repeat(o.actions())
		}) == "" {
			t.Errorf("fault %q was not detected", name)
		}
	}
}
