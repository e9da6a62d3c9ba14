package replay

import (
	"fmt"
	"maps"
	"time"

	"fuchsiaflow/weights"
)

// Engine sets the state of a stand-in for a target, as after a start.
type Engine struct {
	ID          string            `json:"id"`
	Incarnation uint64            `json:"incarnation"`
	Pool        string            `json:"pool"`
	ChecksFence bool              `json:"checks_fence"`
	Loaded      map[string]uint64 `json:"loaded"`
}

// Pool names the models of a pool to a leader.
type Pool struct {
	Leader string   `json:"leader"`
	Name   string   `json:"name"`
	Models []string `json:"models"`
}

// Desire raises the desired version at a leader.
type Desire struct {
	Leader  string `json:"leader"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// ReportTargets tells a leader the present state of targets.
type ReportTargets struct {
	Leader  string   `json:"leader"`
	Targets []string `json:"targets"`
}

// Tick asks a leader for orders. Its lease ends at the offset lease_until_ms, as it believes.
// As names the orders in order.
type Tick struct {
	Leader       string   `json:"leader"`
	Term         uint64   `json:"term"`
	LeaseUntilMS int64    `json:"lease_until_ms"`
	As           []string `json:"as"`
}

// Deliver brings an order to its target. Fails states that the swap fails partway.
type Deliver struct {
	Order string `json:"order"`
	Fails bool   `json:"fails"`
}

// Answer brings the answer to a delivered order back to its leader.
type Answer struct {
	Order string `json:"order"`
}

var weightsEvents = map[string]func() any{
	"engine": new1[Engine], "pool": new1[Pool], "desire": new1[Desire], "report": new1[ReportTargets], "tick": new1[Tick],
	"deliver": new1[Deliver], "answer": new1[Answer],
}

// engine is a stand-in for a target. Version 0 of a model is uncertain.
type engine struct {
	Engine
	fence uint64
}

// sentOrder is an order with the answer of its target.
type sentOrder struct {
	weights.Order
	leader string
	result weights.OrderResult
}

type weightsMachine struct {
	planners map[string]*weights.Planner
	engines  map[string]*engine
	orders   map[string]*sentOrder
	tally    map[string]int
}

func newWeightsMachine() machine {
	return &weightsMachine{planners: map[string]*weights.Planner{}, engines: map[string]*engine{},
		orders: map[string]*sentOrder{}, tally: map[string]int{}}
}

func (m *weightsMachine) planner(leader string) *weights.Planner {
	p := m.planners[leader]
	if p == nil {
		p = weights.NewPlanner(weights.Config{})
		m.planners[leader] = p
	}
	return p
}

func (m *weightsMachine) play(now time.Time, event any) (string, error) {
	switch e := event.(type) {
	case *Engine:
		fresh := &engine{Engine: *e}
		fresh.Loaded = maps.Clone(e.Loaded)
		m.engines[e.ID] = fresh
		return "started", nil
	case *Pool:
		m.planner(e.Leader).SetPool(e.Name, weights.PoolConfig{Models: e.Models})
		return "set", nil
	case *Desire:
		m.planner(e.Leader).SetDesired(now, e.Model, e.Version)
		return fmt.Sprintf("desired %d", m.planner(e.Leader).Desired(e.Model)), nil
	case *ReportTargets:
		return m.report(now, e)
	case *Tick:
		return m.tick(now, e), nil
	case *Deliver:
		return m.deliver(now, e)
	default:
		return m.answer(now, event.(*Answer).Order)
	}
}

func (m *weightsMachine) report(now time.Time, e *ReportTargets) (string, error) {
	for _, id := range e.Targets {
		t := m.engines[id]
		if t == nil {
			return unknownName("target", id)
		}
		certain := maps.Clone(t.Loaded)
		maps.DeleteFunc(certain, func(_ string, version uint64) bool { return version == 0 })
		m.planner(e.Leader).UpdateTarget(now, weights.TargetReport{ID: id, Incarnation: t.Incarnation, Pool: t.Pool,
			Loaded: certain, LastFence: t.fence})
	}
	return "reported", nil
}

func (m *weightsMachine) tick(now time.Time, e *Tick) string {
	lease := weights.LeaderLease{Term: e.Term, ExpiresAt: start.Add(time.Duration(e.LeaseUntilMS) * time.Millisecond), Valid: true}
	var given []string
	for i, o := range m.planner(e.Leader).Tick(now, lease) {
		m.tally["orders"]++
		given = append(given, fmt.Sprintf("%s@%d", o.Target, o.Version))
		if i < len(e.As) {
			m.orders[e.As[i]] = &sentOrder{Order: o, leader: e.Leader}
		}
	}
	return "orders " + list(given)
}

// deliver carries out an order by the rules of the target protocol: not after its expiry, and
// not with an old fence if the target checks it.
func (m *weightsMachine) deliver(now time.Time, e *Deliver) (string, error) {
	o := m.orders[e.Order]
	if o == nil {
		return unknownName("order", e.Order)
	}
	t := m.engines[o.Target]
	if t == nil {
		return unknownName("target", o.Target)
	}
	o.result = weights.OrderResult{Target: o.Target, Model: o.Model, Version: o.Version, Fence: o.Fence}
	verdict := m.obey(now, t, o, e.Fails)
	m.tally[verdict]++
	return verdict, nil
}

func (m *weightsMachine) obey(now time.Time, t *engine, o *sentOrder, fails bool) string {
	switch {
	case now.After(o.ExpiresAt):
		o.result.Reason = "the order has expired"
		return "expired"
	case t.ChecksFence && o.Fence < t.fence:
		o.result.OldFence = true
		return "old_fence"
	}
	t.fence = max(t.fence, o.Fence)
	if fails {
		t.Loaded[o.Model] = 0
		o.result.Reason = "the swap failed partway"
		return "failed"
	}
	if o.Version < t.Loaded[o.Model] {
		m.tally["reverted"]++
	}
	t.Loaded[o.Model] = o.Version
	o.result.OK = true
	return "loaded"
}

func (m *weightsMachine) answer(now time.Time, name string) (string, error) {
	o := m.orders[name]
	if o == nil || o.result.Target == "" {
		return unknownName("delivered order", name)
	}
	m.planner(o.leader).RecordResult(now, o.result)
	return "received", nil
}

func (m *weightsMachine) counts() map[string]int {
	counts := maps.Clone(m.tally)
	for leader, p := range m.planners {
		counts["behind_"+leader] = p.Stats().Behind
		counts["quarantined"] += len(p.Quarantined())
	}
	for _, t := range m.engines {
		for _, version := range t.Loaded {
			if version == 0 {
				counts["uncertain"]++
			}
		}
	}
	return counts
}
