package weights

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiaflow/internal/faultcheck"
)

// TestMain fixes the seed, so that every run gives the same verdict. Flags on the command
// line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261204", "checks": "300", "steps": "80", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault breaks one guarantee on purpose.
type fault struct {
	want    string // part of the message of the check that must fail
	planner func(p *Planner)
	order   func(o *Order)
	lease   func(a *LeaderLease)
}

// engine is a target. It honors either fencing numbers or expiries.
type engine struct {
	id          string
	incarnation uint64
	version     uint64 // 0 while uncertain
	swapping    uint64 // version that is being loaded
	by          Order
	fence       uint64
	highest     uint64 // newest version it accepted in this incarnation
	term        uint64 // of the last accepted order
	late        bool   // it started an order after its expiry, which the planner does not allow for
}

type leader struct {
	p     *Planner
	term  uint64
	lease time.Time
	fresh int
	since time.Time
}

// fleetWorld has a leader, former leaders that are isolated but go on, and engines that
// receive orders late and in any order. Fenced engines ignore expiries, and their former
// leaders believe in their leases forever. Other engines ignore fences and honor expiries.
type fleetWorld struct {
	*rapid.T
	f       fault
	fenced  bool
	now     time.Time
	desired uint64
	engines []*engine
	leader  *leader
	former  []*leader
	network []Order
}

var fuzzConfig = Config{MaxUnavailable: 0.4, StoreRate: 0.5, StoreBurst: 3, SwapTimeout: 20 * time.Second}

const fuzzLease = 3 * time.Second

func newFleetWorld(t *rapid.T, f fault, fenced bool) *fleetWorld {
	w := &fleetWorld{T: t, f: f, fenced: fenced, now: t0, desired: 1}
	for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
		w.engines = append(w.engines, &engine{id: fmt.Sprint("e", i), incarnation: 1, version: 1})
	}
	w.elect()
	return w
}

// elect makes a new leader. It knows the committed desired version and gets full reports.
func (w *fleetWorld) elect() {
	next := &leader{p: NewPlanner(fuzzConfig), term: 1, since: w.now}
	if w.leader != nil {
		w.former = append(w.former, w.leader)
		next.term = w.leader.term + 1
		if w.now.Before(w.leader.lease) {
			w.now = w.leader.lease // a new leader waits out the old lease
		}
	}
	w.leader = next
	next.p.SetDesired(w.now, "m", w.desired)
	for _, e := range w.engines {
		w.report(e)
	}
	w.renew()
}

func (w *fleetWorld) renew() { w.leader.lease = w.now.Add(fuzzLease) }

func (w *fleetWorld) report(e *engine) {
	version := e.version
	if e.swapping != 0 {
		version = 0
	}
	w.leader.p.UpdateTarget(w.now, TargetReport{ID: e.id, Incarnation: e.incarnation, Pool: "p", Loaded: map[string]uint64{"m": version}, LastFence: e.fence})
}

func (w *fleetWorld) pick() *engine { return rapid.SampledFrom(w.engines).Draw(w.T, "engine") }

func (w *fleetWorld) desire() {
	w.desired++
	w.leader.p.SetDesired(w.now, "m", w.desired)
}

func (w *fleetWorld) advance() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(w.T, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(w.T, "renewed") {
		w.renew()
	}
}

func (w *fleetWorld) tick() { w.tickOf(w.leader, w.leader.lease) }

func (w *fleetWorld) tickFormer() {
	if len(w.former) == 0 {
		w.Skip("no former leader")
	}
	l := rapid.SampledFrom(w.former).Draw(w.T, "former")
	lease := l.lease
	if w.fenced {
		lease = w.now.Add(time.Hour) // a clock that stands still, for example
	}
	w.tickOf(l, lease)
}

func (w *fleetWorld) tickOf(l *leader, lease time.Time) {
	a := LeaderLease{Term: l.term, ExpiresAt: lease, Valid: true}
	if w.f.lease != nil {
		w.f.lease(&a)
	}
	before := w.out(l)
	for _, o := range l.p.Tick(w.now, a) {
		if w.f.order != nil {
			w.f.order(&o)
		}
		if !w.now.Before(o.ExpiresAt) || !o.ExpiresAt.Before(lease) {
			w.Fatalf("order %+v at %s outside the lease until %s", o, w.now, lease)
		}
		if !o.Repeat {
			l.fresh++
		}
		w.network = append(w.network, o)
	}
	if w.f.planner != nil {
		w.f.planner(l.p)
	}
	limit := max(int(fuzzConfig.MaxUnavailable*float64(len(w.engines))), before, min(1, len(w.engines)))
	if quarantined := len(l.p.Quarantined()); quarantined > 0 {
		limit = max(limit, min(before, quarantined)+1)
	}
	if out := w.out(l); out > limit {
		w.Fatalf("%d targets out of service, limit %d", out, limit)
	}
	if allowed := fuzzConfig.StoreBurst + w.now.Sub(l.since).Seconds()*fuzzConfig.StoreRate; float64(l.fresh) > allowed {
		w.Fatalf("%d loads, the store allows %.1f", l.fresh, allowed)
	}
	w.checkServing()
}

func (w *fleetWorld) out(l *leader) (n int) {
	for _, e := range w.engines {
		if _, ok := l.p.Serving(e.id, "m"); !ok {
			n++
		}
	}
	return n
}

// checkServing compares the leader's view with the engines. Engines that a former leader
// swaps are known to the leader only after their next report.
func (w *fleetWorld) checkServing() {
	for _, e := range w.engines {
		uncertain := (e.swapping != 0 || e.version == 0) && e.term == w.leader.term && !e.late
		if v, ok := w.leader.p.Serving(e.id, "m"); ok && uncertain {
			w.Fatalf("engine %s is uncertain and serves version %d", e.id, v)
		}
	}
}

// deliver hands any order of the network to its engine, and maybe loses or repeats it.
func (w *fleetWorld) deliver() {
	if len(w.network) == 0 {
		w.Skip("no order")
	}
	i := rapid.IntRange(0, len(w.network)-1).Draw(w.T, "order")
	o := w.network[i]
	switch rapid.IntRange(0, 4).Draw(w.T, "fate") {
	case 0:
		w.network = slices.Delete(w.network, i, i+1)
		return
	case 1: // delivered again later
	default:
		w.network = slices.Delete(w.network, i, i+1)
	}
	for _, e := range w.engines {
		if e.id == o.Target {
			w.receive(e, o)
		}
	}
	w.checkServing()
}

func (w *fleetWorld) receive(e *engine, o Order) {
	term := o.Fence >> fenceTermShift
	r := OrderResult{Target: o.Target, Model: "m", Version: o.Version, Fence: o.Fence}
	if w.fenced && o.Fence < e.fence {
		r.OldFence = true
		w.answer(r)
		return
	}
	if !w.fenced && w.now.After(o.ExpiresAt) {
		r.Reason = "order expired"
		return
	}
	if o.Version < e.highest {
		w.Fatalf("engine %s goes back from %d to %d by %+v", e.id, e.highest, o.Version, o)
	}
	if !w.fenced && term < w.leader.term {
		w.Fatalf("engine %s obeys term %d in term %d", e.id, term, w.leader.term)
	}
	e.fence, e.highest, e.term, e.late = max(e.fence, o.Fence), o.Version, term, e.late || w.now.After(o.ExpiresAt)
	if e.version == o.Version && e.swapping == 0 {
		r.OK = true
		w.answer(r)
		return
	}
	e.swapping, e.by = o.Version, o
}

func (w *fleetWorld) answer(r OrderResult) {
	if r.Fence>>fenceTermShift == w.leader.term {
		w.leader.p.RecordResult(w.now, r)
	}
}

func (w *fleetWorld) finish() {
	e := w.pick()
	if e.swapping == 0 {
		w.Skip("no swap")
	}
	w.finishOf(e, rapid.IntRange(0, 3).Draw(w.T, "success") > 0)
	if rapid.Bool().Draw(w.T, "reported") {
		w.report(e)
	}
	w.checkServing()
}

func (w *fleetWorld) finishOf(e *engine, success bool) {
	r := OrderResult{Target: e.id, Model: "m", Version: e.swapping, Fence: e.by.Fence, OK: success}
	e.version, e.swapping = e.swapping, 0
	if !success {
		e.version, r.Reason = 0, "load failed"
	}
	w.answer(r)
}

func (w *fleetWorld) crash() {
	e := w.pick()
	version := rapid.SampledFrom([]uint64{0, 1}).Draw(w.T, "version")
	*e = engine{id: e.id, incarnation: e.incarnation + 1, version: version, fence: e.fence, highest: version}
	w.report(e)
}

// converge lets the leader and the engines work without faults.
func (w *fleetWorld) converge() {
	w.desire() // a newer version releases quarantines
	w.network = nil
	for range 300 {
		w.now = w.now.Add(time.Second)
		w.renew()
		w.tick()
		for _, o := range w.network {
			for _, e := range w.engines {
				if e.id == o.Target {
					w.receive(e, o)
				}
			}
		}
		w.network = nil
		for _, e := range w.engines {
			if e.swapping != 0 {
				w.finishOf(e, true)
			}
			w.report(e)
		}
	}
	for _, e := range w.engines {
		if v, ok := w.leader.p.Serving(e.id, "m"); !ok || v != w.desired || e.version != w.desired {
			w.Fatalf("engine %s stays at version %d, want %d", e.id, e.version, w.desired)
		}
	}
}

func property(f fault, fenced bool) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newFleetWorld(t, f, fenced)
		t.Repeat(map[string]func(*rapid.T){
			"desire": func(*rapid.T) { w.desire() }, "advance": func(*rapid.T) { w.advance() }, "elect": func(*rapid.T) { w.elect() },
			"tick": func(*rapid.T) { w.tick() }, "tick2": func(*rapid.T) { w.tick() }, "tickFormer": func(*rapid.T) { w.tickFormer() },
			"deliver": func(*rapid.T) { w.deliver() }, "deliver2": func(*rapid.T) { w.deliver() }, "finish": func(*rapid.T) { w.finish() },
			"report": func(*rapid.T) { w.report(w.pick()) }, "crash": func(*rapid.T) { w.crash() },
		})
		w.converge()
	}
}

// Guards against an isolated former leader that makes an engine with fence checks go back.
func TestFencedProperty(t *testing.T) { rapid.Check(t, property(fault{}, true)) }

// Guards against orders outside a valid lease, which engines that ignore fences would obey.
func TestLeaseProperty(t *testing.T) { rapid.Check(t, property(fault{}, false)) }

// Guards against checks that cannot fail: each deliberate fault must be found.
func TestDeliberateFaults(t *testing.T) {
	eachModel := func(p *Planner, change func(*model)) {
		for _, t := range p.targets {
			for _, m := range t.models {
				change(m)
			}
			p.refresh(t)
		}
	}
	faults := map[string]struct {
		fault
		fenced bool
	}{
		"fence without term":      {fault{want: "goes back", order: func(o *Order) { o.Fence &= maxSequence }}, true},
		"fence does not rise":     {fault{want: "goes back", order: func(o *Order) { o.Fence = Fence(1, 1) }}, true},
		"lease is ignored":        {fault{want: "outside the lease", lease: func(a *LeaderLease) { a.ExpiresAt = a.ExpiresAt.Add(time.Hour) }}, false},
		"expiry beyond the lease": {fault{want: "outside the lease", order: func(o *Order) { o.ExpiresAt = o.ExpiresAt.Add(fuzzLease) }}, false},
		"wave takes the pool":     {fault{want: "out of service", planner: func(p *Planner) { p.pool("p").share = 1 }}, false},
		"store rate is ignored":   {fault{want: "the store allows", planner: func(p *Planner) { p.tokens = 100 }}, false},
		"order is never repeated": {fault{want: "stays at version", planner: func(p *Planner) {
			eachModel(p, func(m *model) {
				if m.order != nil {
					m.order.first, m.order.last = t0.Add(time.Hour), t0.Add(time.Hour)
				}
			})
		}}, false},
		"half-done swaps serve":    {fault{want: "is uncertain", planner: func(p *Planner) { eachModel(p, func(m *model) { m.version = max(m.version, 1) }) }}, false},
		"order does not stop work": {fault{want: "is uncertain", planner: func(p *Planner) { eachModel(p, func(m *model) { m.order = nil }) }}, false},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			if got := faultcheck.Failure(t, property(f.fault, f.fenced)); !strings.Contains(got, f.want) {
				t.Errorf("the check says %q, want %q", got, f.want)
			}
		})
	}
}
