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

// TestMain fixes the seed, so that every run gives the same result. Flags on the command line
// take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261204", "checks": "300", "steps": "80", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is a deliberate error that breaks one guarantee.
type fault struct {
	wantFailure   string // part of the failure message of the check that must find the fault
	mutatePlanner func(p *Planner)
	mutateOrder   func(o *Order)
	mutateLease   func(a *LeaderLease)
}

// simEngine is a simulated target. It checks either the fencing tokens of orders or their
// expiries.
type simEngine struct {
	id             string
	incarnation    uint64
	version        uint64 // 0 while uncertain
	loading        uint64 // version that is being loaded, or 0
	order          Order
	fence          uint64
	highestVersion uint64 // highest version accepted in this incarnation
	lastTerm       uint64 // term of the last accepted order
	startedLate    bool   // has started an order after its expiry, contrary to what the planner assumes
}

type simLeader struct {
	planner    *Planner
	term       uint64
	leaseUntil time.Time
	loads      int
	electedAt  time.Time
}

// simulation has a leader, isolated former leaders that keep issuing orders, and engines that
// receive orders late, repeatedly and in any order. If fenced is set, engines check fencing
// tokens but not expiries, and the leases of former leaders never end. Otherwise engines check
// expiries but not fencing tokens.
type simulation struct {
	*rapid.T
	fault         fault
	fenced        bool
	now           time.Time
	desired       uint64
	engines       []*simEngine
	leader        *simLeader
	formerLeaders []*simLeader
	inTransit     []Order
}

var simConfig = Config{MaxUnavailable: 0.4, StoreRate: 0.5, StoreBurst: 3, SwapTimeout: 20 * time.Second}

const simLeaseDuration = 3 * time.Second

func newSimulation(t *rapid.T, f fault, fenced bool) *simulation {
	s := &simulation{T: t, fault: f, fenced: fenced, now: t0, desired: 1}
	for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
		s.engines = append(s.engines, &simEngine{id: fmt.Sprint("e", i), incarnation: 1, version: 1})
	}
	s.electLeader()
	return s
}

// electLeader starts a new leader, which knows the committed desired version and gets the
// reports of all engines.
func (s *simulation) electLeader() {
	next := &simLeader{planner: NewPlanner(simConfig), term: 1, electedAt: s.now}
	if s.leader != nil {
		s.formerLeaders = append(s.formerLeaders, s.leader)
		next.term = s.leader.term + 1
		if s.now.Before(s.leader.leaseUntil) {
			s.now = s.leader.leaseUntil // a new leader waits for the end of the former lease
		}
	}
	s.leader = next
	next.planner.SetDesired(s.now, "m", s.desired)
	for _, e := range s.engines {
		s.report(e)
	}
	s.renewLease()
}

func (s *simulation) renewLease() { s.leader.leaseUntil = s.now.Add(simLeaseDuration) }

func (s *simulation) report(e *simEngine) {
	version := e.version
	if e.loading != 0 {
		version = 0
	}
	s.leader.planner.UpdateTarget(s.now, TargetReport{ID: e.id, Incarnation: e.incarnation, Pool: "p", Loaded: map[string]uint64{"m": version}, LastFence: e.fence})
}

func (s *simulation) drawEngine() *simEngine { return rapid.SampledFrom(s.engines).Draw(s.T, "engine") }

func (s *simulation) publishVersion() {
	s.desired++
	s.leader.planner.SetDesired(s.now, "m", s.desired)
}

func (s *simulation) advanceClock() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(s.T, "ms")) * time.Millisecond)
	if rapid.Bool().Draw(s.T, "renewed") {
		s.renewLease()
	}
}

func (s *simulation) tick() { s.tickLeader(s.leader, s.leader.leaseUntil) }

func (s *simulation) tickFormer() {
	if len(s.formerLeaders) == 0 {
		s.Skip("no former leader")
	}
	l := rapid.SampledFrom(s.formerLeaders).Draw(s.T, "former")
	lease := l.leaseUntil
	if s.fenced {
		lease = s.now.Add(time.Hour) // as if the clock of the former leader had stopped
	}
	s.tickLeader(l, lease)
}

func (s *simulation) tickLeader(l *simLeader, lease time.Time) {
	a := LeaderLease{Term: l.term, ExpiresAt: lease, Valid: true}
	if s.fault.mutateLease != nil {
		s.fault.mutateLease(&a)
	}
	before := s.unavailable(l)
	for _, o := range l.planner.Tick(s.now, a) {
		if s.fault.mutateOrder != nil {
			s.fault.mutateOrder(&o)
		}
		if !s.now.Before(o.ExpiresAt) || !o.ExpiresAt.Before(lease) {
			s.Fatalf("order %+v at %s outside the lease until %s", o, s.now, lease)
		}
		if !o.Resend {
			l.loads++
		}
		s.inTransit = append(s.inTransit, o)
	}
	if s.fault.mutatePlanner != nil {
		s.fault.mutatePlanner(l.planner)
	}
	limit := max(int(simConfig.MaxUnavailable*float64(len(s.engines))), before, min(1, len(s.engines)))
	if quarantined := len(l.planner.Quarantined()); quarantined > 0 {
		limit = max(limit, min(before, quarantined)+1)
	}
	if n := s.unavailable(l); n > limit {
		s.Fatalf("%d targets are unavailable, limit %d", n, limit)
	}
	if allowed := simConfig.StoreBurst + s.now.Sub(l.electedAt).Seconds()*simConfig.StoreRate; float64(l.loads) > allowed {
		s.Fatalf("%d loads, the weight store allows %.1f", l.loads, allowed)
	}
	s.checkServing()
}

func (s *simulation) unavailable(l *simLeader) (n int) {
	for _, e := range s.engines {
		if _, ok := l.planner.ServingVersion(e.id, "m"); !ok {
			n++
		}
	}
	return n
}

// checkServing compares the leader's view with the engines. It skips swaps that a former leader
// started, because the leader learns of them only from the next report.
func (s *simulation) checkServing() {
	for _, e := range s.engines {
		uncertain := (e.loading != 0 || e.version == 0) && e.lastTerm == s.leader.term && !e.startedLate
		if v, ok := s.leader.planner.ServingVersion(e.id, "m"); ok && uncertain {
			s.Fatalf("engine %s serves version %d while its version is uncertain", e.id, v)
		}
	}
}

// deliver picks an order in transit and either loses it or delivers it to its engine. A delivered
// order may stay in transit, so that it is delivered again.
func (s *simulation) deliver() {
	if len(s.inTransit) == 0 {
		s.Skip("no order")
	}
	i := rapid.IntRange(0, len(s.inTransit)-1).Draw(s.T, "order")
	o := s.inTransit[i]
	switch rapid.IntRange(0, 4).Draw(s.T, "fate") {
	case 0:
		s.inTransit = slices.Delete(s.inTransit, i, i+1)
		return
	case 1: // delivered again later
	default:
		s.inTransit = slices.Delete(s.inTransit, i, i+1)
	}
	for _, e := range s.engines {
		if e.id == o.Target {
			s.receive(e, o)
		}
	}
	s.checkServing()
}

func (s *simulation) receive(e *simEngine, o Order) {
	term := o.Fence >> fenceTermShift
	r := OrderResult{Target: o.Target, Model: "m", Version: o.Version, Fence: o.Fence}
	if s.fenced && o.Fence < e.fence {
		r.OldFence = true
		s.sendResult(r)
		return
	}
	if !s.fenced && s.now.After(o.ExpiresAt) {
		r.Reason = "order expired"
		return
	}
	if o.Version < e.highestVersion {
		s.Fatalf("engine %s is downgraded from version %d to %d by %+v", e.id, e.highestVersion, o.Version, o)
	}
	if !s.fenced && term < s.leader.term {
		s.Fatalf("engine %s accepts an order of term %d in term %d", e.id, term, s.leader.term)
	}
	e.fence, e.highestVersion, e.lastTerm, e.startedLate = max(e.fence, o.Fence), o.Version, term, e.startedLate || s.now.After(o.ExpiresAt)
	if e.version == o.Version && e.loading == 0 {
		r.OK = true
		s.sendResult(r)
		return
	}
	e.loading, e.order = o.Version, o
}

func (s *simulation) sendResult(r OrderResult) {
	if r.Fence>>fenceTermShift == s.leader.term {
		s.leader.planner.RecordResult(s.now, r)
	}
}

func (s *simulation) finishSwap() {
	e := s.drawEngine()
	if e.loading == 0 {
		s.Skip("no swap")
	}
	s.completeSwap(e, rapid.IntRange(0, 3).Draw(s.T, "success") > 0)
	if rapid.Bool().Draw(s.T, "reported") {
		s.report(e)
	}
	s.checkServing()
}

func (s *simulation) completeSwap(e *simEngine, success bool) {
	r := OrderResult{Target: e.id, Model: "m", Version: e.loading, Fence: e.order.Fence, OK: success}
	e.version, e.loading = e.loading, 0
	if !success {
		e.version, r.Reason = 0, "load failed"
	}
	s.sendResult(r)
}

func (s *simulation) restartEngine() {
	e := s.drawEngine()
	version := rapid.SampledFrom([]uint64{0, 1}).Draw(s.T, "version")
	*e = simEngine{id: e.id, incarnation: e.incarnation + 1, version: version, fence: e.fence, highestVersion: version}
	s.report(e)
}

// converge runs the leader and the engines without faults. All engines must then serve the
// desired version.
func (s *simulation) converge() {
	s.publishVersion() // a newer version ends quarantines
	s.inTransit = nil
	for range 300 {
		s.now = s.now.Add(time.Second)
		s.renewLease()
		s.tick()
		for _, o := range s.inTransit {
			for _, e := range s.engines {
				if e.id == o.Target {
					s.receive(e, o)
				}
			}
		}
		s.inTransit = nil
		for _, e := range s.engines {
			if e.loading != 0 {
				s.completeSwap(e, true)
			}
			s.report(e)
		}
	}
	for _, e := range s.engines {
		if v, ok := s.leader.planner.ServingVersion(e.id, "m"); !ok || v != s.desired || e.version != s.desired {
			s.Fatalf("engine %s stays at version %d, want %d", e.id, e.version, s.desired)
		}
	}
}

func checkSimulation(f fault, fenced bool) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(t, f, fenced)
		t.Repeat(map[string]func(*rapid.T){
			"desire": func(*rapid.T) { s.publishVersion() }, "advance": func(*rapid.T) { s.advanceClock() }, "elect": func(*rapid.T) { s.electLeader() },
			"tick": func(*rapid.T) { s.tick() }, "tick2": func(*rapid.T) { s.tick() }, "tickFormer": func(*rapid.T) { s.tickFormer() },
			"deliver": func(*rapid.T) { s.deliver() }, "deliver2": func(*rapid.T) { s.deliver() }, "finish": func(*rapid.T) { s.finishSwap() },
			"report": func(*rapid.T) { s.report(s.drawEngine()) }, "crash": func(*rapid.T) { s.restartEngine() },
		})
		s.converge()
	}
}

// Guards against an isolated former leader that downgrades an engine which checks fencing
// tokens.
func TestFencedTargetsNeverDowngrade(t *testing.T) { rapid.Check(t, checkSimulation(fault{}, true)) }

// Guards against orders that are valid after the end of the lease. Engines that do not check
// fencing tokens would accept them.
func TestUnfencedTargetsFollowLease(t *testing.T) { rapid.Check(t, checkSimulation(fault{}, false)) }

// Guards against checks that cannot fail: each deliberate fault must make its check fail.
func TestDeliberateFaultsAreFound(t *testing.T) {
	eachModel := func(p *Planner, change func(*modelState)) {
		for _, t := range p.targets {
			for _, m := range t.models {
				change(m)
			}
			p.updateIndexes(t)
		}
	}
	faults := map[string]struct {
		fault
		fenced bool
	}{
		"fencing token without term":      {fault{wantFailure: "is downgraded", mutateOrder: func(o *Order) { o.Fence &= maxSequence }}, true},
		"fencing token does not increase": {fault{wantFailure: "is downgraded", mutateOrder: func(o *Order) { o.Fence = Fence(1, 1) }}, true},
		"lease is extended":               {fault{wantFailure: "outside the lease", mutateLease: func(a *LeaderLease) { a.ExpiresAt = a.ExpiresAt.Add(time.Hour) }}, false},
		"expiry beyond the lease":         {fault{wantFailure: "outside the lease", mutateOrder: func(o *Order) { o.ExpiresAt = o.ExpiresAt.Add(simLeaseDuration) }}, false},
		"pool limit is ignored":           {fault{wantFailure: "targets are unavailable", mutatePlanner: func(p *Planner) { p.pool("p").maxUnavailable = 1 }}, false},
		"store rate is ignored":           {fault{wantFailure: "the weight store allows", mutatePlanner: func(p *Planner) { p.tokens = 100 }}, false},
		"order is never sent again": {fault{wantFailure: "stays at version", mutatePlanner: func(p *Planner) {
			eachModel(p, func(m *modelState) {
				if m.order != nil {
					m.order.firstIssued, m.order.lastIssued = t0.Add(time.Hour), t0.Add(time.Hour)
				}
			})
		}}, false},
		"uncertain version is served": {fault{wantFailure: "while its version is uncertain", mutatePlanner: func(p *Planner) { eachModel(p, func(m *modelState) { m.version = max(m.version, 1) }) }}, false},
		"target serves during a swap": {fault{wantFailure: "while its version is uncertain", mutatePlanner: func(p *Planner) { eachModel(p, func(m *modelState) { m.order = nil }) }}, false},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			if got := faultcheck.FailureMessage(t, checkSimulation(f.fault, f.fenced)); !strings.Contains(got, f.wantFailure) {
				t.Errorf("failure message = %q, want it to contain %q", got, f.wantFailure)
			}
		})
	}
}
