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

// TestMain fixes the seed of the state machines, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "100"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fault is a deliberate defect between the dispatcher and the oracle.
type fault int

const (
	noFault          fault = iota
	dispatchTwice          // an assignment is handed out again
	keepRemoved            // the removal of a target is lost
	ignoreVersion          // the version filter is missing
	dropRefusal            // a refusal is not reported
	samplesFirst           // desk requests are queued as samples
	ignoreLimit            // the queue bound is ten times as high
	ignoreSuspension       // the health filter is missing
)

// oracleTarget is what the oracle knows about a target.
type oracleTarget struct {
	version  uint64
	slots    int
	leaving  bool
	heard    time.Time
	inflight int
}

// oracle is a simple model of the dispatcher: sets of IDs and the rules for an assignment.
type oracle struct {
	d       *Dispatcher
	f       fault
	now     time.Time
	next    int
	targets map[string]*oracleTarget
	queued  map[string]Request
	flying  map[string]string
	limit   int
	last    []Assignment
}

const testSilentAfter = 3 * time.Second

func newOracle(f fault) *oracle {
	o := &oracle{f: f, now: start, limit: 8, targets: map[string]*oracleTarget{},
		queued: map[string]Request{}, flying: map[string]string{}}
	cfg := Config{QueueLimit: o.limit, SilentAfter: testSilentAfter, Candidates: 2, PrefixEntries: 50}
	p := DefaultProfile()
	switch f {
	case ignoreLimit:
		cfg.QueueLimit *= 10
	case ignoreVersion:
		p.Filters = []Filter{HealthFilter{}, WindowFilter{}}
	case ignoreSuspension:
		p.Filters = []Filter{VersionFilter{}, WindowFilter{}}
	}
	cfg.Profile = p
	o.d = NewDispatcher(cfg, rand.New(rand.NewPCG(3, 4)))
	return o
}

func (o *oracle) enqueue(t *rapid.T) {
	o.next++
	r := Request{ID: fmt.Sprint("r", o.next), Pool: "p", Model: "m",
		Kind:           rapid.SampledFrom([]Kind{Desk, Sample}).Draw(t, "kind"),
		Tenancy:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenancy"),
		MinVersion:     rapid.Uint64Range(0, 3).Draw(t, "version"),
		ExpectedTokens: rapid.IntRange(1, 500).Draw(t, "tokens"),
		PrefixKeys:     rapid.SliceOfN(rapid.Uint64Range(1, 100), 0, 4).Draw(t, "keys")}
	if rapid.Bool().Draw(t, "has deadline") {
		r.Deadline = o.now.Add(time.Duration(rapid.Int64Range(0, 8000).Draw(t, "deadline")) * time.Millisecond)
	}
	sent := r
	if o.f == samplesFirst {
		sent.Kind = Sample
	}
	err := o.d.Enqueue(o.now, sent)
	if err == nil {
		o.queued[r.ID] = r
	} else if errs.OutcomeOf(err) != errs.NotRun {
		t.Fatalf("refusal without outcome not_run: %v", err)
	} else if errs.CodeOf(err) == errs.CodeOverloaded && errs.RetryAfterOf(err) <= 0 {
		t.Fatalf("overload without a retry delay: %v", err)
	}
	if len(o.queued) > o.limit {
		t.Fatalf("%d requests are queued, the limit is %d", len(o.queued), o.limit)
	}
	if err == nil && o.d.Enqueue(o.now, sent) == nil {
		t.Fatalf("request %s was accepted twice", r.ID)
	}
}

func (o *oracle) dispatch(t *rapid.T) {
	as := slices.Clone(o.d.Next(o.now))
	if o.f == dispatchTwice {
		as = append(as, o.last...)
	}
	o.last = as
	sampled := false
	for _, a := range as {
		r, ok := o.queued[a.RequestID]
		if !ok {
			t.Fatalf("%s was dispatched but is not queued", a.RequestID)
		}
		delete(o.queued, a.RequestID)
		o.flying[a.RequestID] = a.Target
		o.checkTarget(t, r, a)
		if r.Kind == Desk && sampled {
			t.Fatalf("desk request %s was dispatched after a sample", r.ID)
		}
		sampled = sampled || (r.Kind == Sample && !a.Probe)
	}
	for _, x := range o.d.TakeRefusals() {
		r, ok := o.queued[x.RequestID]
		if !ok || r.Deadline.IsZero() || errs.OutcomeOf(x.Err) != errs.NotRun {
			t.Fatalf("refusal of %s: %v", x.RequestID, x.Err)
		}
		if o.f != dropRefusal {
			delete(o.queued, x.RequestID)
		}
	}
	if got := o.d.Queued("p", Desk) + o.d.Queued("p", Sample); got != len(o.queued) {
		t.Fatalf("dispatcher has %d queued, oracle %d", got, len(o.queued))
	}
	for id, r := range o.queued {
		if !r.Deadline.IsZero() && r.Deadline.Before(o.now) {
			t.Fatalf("%s is queued after its deadline", id)
		}
	}
}

func (o *oracle) checkTarget(t *rapid.T, r Request, a Assignment) {
	e := o.targets[a.Target]
	if e == nil || e.leaving {
		t.Fatalf("%s was sent to %s, which left", r.ID, a.Target)
	}
	if e.version < r.MinVersion {
		t.Fatalf("%s wants version %d, %s has %d", r.ID, r.MinVersion, a.Target, e.version)
	}
	if o.now.Sub(e.heard) > testSilentAfter && !a.Probe {
		t.Fatalf("%s was sent to %s, which is silent", r.ID, a.Target)
	}
	e.inflight++
	if e.inflight > e.slots && !a.Probe {
		t.Fatalf("%s has %d requests in %d slots", a.Target, e.inflight, e.slots)
	}
}

func (o *oracle) finish(t *rapid.T) {
	if len(o.flying) == 0 {
		t.Skip()
	}
	ids := make([]string, 0, len(o.flying))
	for id := range o.flying {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := rapid.SampledFrom(ids).Draw(t, "id")
	kind := rapid.SampledFrom([]ResultKind{ResultOK, ResultOK, ResultOK, ResultFailed, ResultTimeout, ResultRefused}).Draw(t, "result")
	per := time.Duration(rapid.IntRange(1, 100).Draw(t, "ms per token")) * time.Millisecond
	o.d.Done(o.now, id, Result{Tokens: 10, Kind: kind, TimeToFirstToken: per, Duration: 11 * per})
	o.d.Done(o.now, id, Result{Kind: ResultOK}) // a repeated report changes nothing
	if e := o.targets[o.flying[id]]; e != nil {
		e.inflight--
		if kind == ResultOK || kind == ResultRefused {
			e.heard = o.now
		}
	}
	delete(o.flying, id)
}

// upsert announces a target. The incarnation stays the same, so requests in flight count on.
func (o *oracle) upsert(t *rapid.T) {
	id := fmt.Sprint("t", rapid.IntRange(1, 5).Draw(t, "target"))
	e := o.targets[id]
	if e == nil {
		e = &oracleTarget{slots: rapid.IntRange(1, 4).Draw(t, "slots")}
		o.targets[id] = e
	}
	e.version = max(e.version, rapid.Uint64Range(0, 3).Draw(t, "version"))
	e.leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
	e.heard = o.now
	s := target(id, e.slots, e.version)
	s.Leaving = e.leaving
	o.d.UpsertTarget(o.now, s)
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
			if o.f != keepRemoved {
				o.d.RemoveTarget(o.now, id)
			}
		},
		"report": func(t *rapid.T) {
			id := fmt.Sprint("t", anyTarget.Draw(t, "target"))
			if e := o.targets[id]; e != nil {
				e.heard = o.now
				o.d.ReportLoad(o.now, id, LoadReport{Running: rapid.IntRange(0, 6).Draw(t, "running")})
			}
		},
		"cancel": func(t *rapid.T) {
			id := fmt.Sprint("r", rapid.IntRange(1, max(1, o.next)).Draw(t, "id"))
			_, queued := o.queued[id]
			if got := o.d.Cancel(o.now, id); got != queued {
				t.Fatalf("cancel %s: %v, want %v", id, got, queued)
			}
			delete(o.queued, id)
		},
		"cache": func(t *rapid.T) {
			o.d.ApplyCacheEvent(o.now, fmt.Sprint("t", anyTarget.Draw(t, "target")), CacheEvent{
				Seq:  rapid.Uint64Range(1, 200).Draw(t, "seq"),
				Kind: rapid.SampledFrom([]CacheEventKind{CacheStored, CacheEvicted, CacheCleared}).Draw(t, "kind"),
				Keys: rapid.SliceOfN(rapid.Uint64Range(1, 100), 1, 20).Draw(t, "keys")})
			if n := len(o.d.view.entries); n > 50 {
				t.Fatalf("%d prefix keys are remembered, the limit is 50", n)
			}
		},
		"wait": func(t *rapid.T) {
			o.now = o.now.Add(time.Duration(rapid.Int64Range(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// Guards against a request that is dispatched twice or lost, work for a target that left, is
// silent or has an older version, an overfull queue or window, samples before desk requests,
// and unbounded memory for cache events.
func TestDispatcherMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(noFault)
		t.Repeat(o.actions())
	})
}

// Guards against a state machine that cannot fail: each deliberate fault must be found.
func TestDeliberateFaultsAreFound(t *testing.T) {
	faults := map[string]fault{"dispatch twice": dispatchTwice, "keep removed targets": keepRemoved, "ignore version": ignoreVersion,
		"drop refusals": dropRefusal, "samples first": samplesFirst, "ignore queue limit": ignoreLimit, "ignore silence": ignoreSuspension}
	for name, f := range faults {
		if faultcheck.Failure(t, func(t *rapid.T) {
			o := newOracle(f)
			t.Repeat(o.actions())
		}) == "" {
			t.Errorf("fault %q was not found", name)
		}
	}
}
