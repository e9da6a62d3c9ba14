package replay

import (
	"fmt"
	"maps"
	"time"

	"fuchsiaflow/weights"
)

// Engine sets the state of a simulated target, as after a start.
type Engine struct {
	ID          string            `json:"id"`
	Incarnation uint64            `json:"incarnation"`
	Pool        string            `json:"pool"`
	ChecksFence bool              `json:"checks_fence"`
	Loaded      map[string]uint64 `json:"loaded"`
}

// Pool sets the models of a pool at a leader.
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

// ReportTargets reports the current state of targets to a leader.
type ReportTargets struct {
	Leader  string   `json:"leader"`
	Targets []string `json:"targets"`
}

// Tick makes a leader plan orders. The leader assumes that its lease ends at the offset
// lease_until_ms. OrderNames are the names by which later events refer to the orders, in order.
type Tick struct {
	Leader       string   `json:"leader"`
	Term         uint64   `json:"term"`
	LeaseUntilMS int64    `json:"lease_until_ms"`
	OrderNames   []string `json:"as"`
}

// Deliver delivers an order to its target. Fails means that the swap fails midway.
type Deliver struct {
	Order string `json:"order"`
	Fails bool   `json:"fails"`
}

// Answer delivers the result of an order to its leader.
type Answer struct {
	Order string `json:"order"`
}

var weightsEvents = map[string]func() any{
	"engine": newEvent[Engine], "pool": newEvent[Pool], "desire": newEvent[Desire], "report": newEvent[ReportTargets], "tick": newEvent[Tick],
	"deliver": newEvent[Deliver], "answer": newEvent[Answer],
}

// engineState is a simulated target. Version 0 of a model means an uncertain version.
type engineState struct {
	Engine
	fence uint64
}

// plannedOrder is an order of a leader with the result from its target, once delivered.
type plannedOrder struct {
	weights.Order
	leader string
	result weights.OrderResult
}

// weightsReplayer replays a weights.Planner per leader against simulated targets.
type weightsReplayer struct {
	planners map[string]*weights.Planner
	engines  map[string]*engineState
	orders   map[string]*plannedOrder
	counters map[string]int
}

func newWeightsReplayer() replayer {
	return &weightsReplayer{planners: map[string]*weights.Planner{}, engines: map[string]*engineState{},
		orders: map[string]*plannedOrder{}, counters: map[string]int{}}
}

func (rp *weightsReplayer) planner(leader string) *weights.Planner {
	p := rp.planners[leader]
	if p == nil {
		p = weights.NewPlanner(weights.Config{})
		rp.planners[leader] = p
	}
	return p
}

func (rp *weightsReplayer) handle(now time.Time, event any) (string, error) {
	switch e := event.(type) {
	case *Engine:
		fresh := &engineState{Engine: *e}
		fresh.Loaded = maps.Clone(e.Loaded)
		rp.engines[e.ID] = fresh
		return "started", nil
	case *Pool:
		rp.planner(e.Leader).SetPool(e.Name, weights.PoolConfig{Models: e.Models})
		return "set", nil
	case *Desire:
		rp.planner(e.Leader).SetDesired(now, e.Model, e.Version)
		return fmt.Sprintf("desired %d", rp.planner(e.Leader).Desired(e.Model)), nil
	case *ReportTargets:
		return rp.report(now, e)
	case *Tick:
		return rp.tick(now, e), nil
	case *Deliver:
		return rp.deliver(now, e)
	default:
		return rp.answer(now, event.(*Answer).Order)
	}
}

func (rp *weightsReplayer) report(now time.Time, e *ReportTargets) (string, error) {
	for _, id := range e.Targets {
		t := rp.engines[id]
		if t == nil {
			return unknownReference("target", id)
		}
		certain := maps.Clone(t.Loaded)
		maps.DeleteFunc(certain, func(_ string, version uint64) bool { return version == 0 })
		rp.planner(e.Leader).UpdateTarget(now, weights.TargetReport{ID: id, Incarnation: t.Incarnation, Pool: t.Pool,
			Loaded: certain, LastFence: t.fence})
	}
	return "reported", nil
}

func (rp *weightsReplayer) tick(now time.Time, e *Tick) string {
	lease := weights.LeaderLease{Term: e.Term, ExpiresAt: startTime.Add(time.Duration(e.LeaseUntilMS) * time.Millisecond), Valid: true}
	var formatted []string
	for i, o := range rp.planner(e.Leader).Tick(now, lease) {
		rp.counters["orders"]++
		formatted = append(formatted, fmt.Sprintf("%s@%d", o.Target, o.Version))
		if i < len(e.OrderNames) {
			rp.orders[e.OrderNames[i]] = &plannedOrder{Order: o, leader: e.Leader}
		}
	}
	return "orders " + formatList(formatted)
}

// deliver executes an order by the rules of the target protocol: not after its expiry, and not with an
// outdated fence number if the target checks it.
func (rp *weightsReplayer) deliver(now time.Time, e *Deliver) (string, error) {
	o := rp.orders[e.Order]
	if o == nil {
		return unknownReference("order", e.Order)
	}
	t := rp.engines[o.Target]
	if t == nil {
		return unknownReference("target", o.Target)
	}
	o.result = weights.OrderResult{Target: o.Target, Model: o.Model, Version: o.Version, Fence: o.Fence}
	verdict := rp.execute(now, t, o, e.Fails)
	rp.counters[verdict]++
	return verdict, nil
}

func (rp *weightsReplayer) execute(now time.Time, t *engineState, o *plannedOrder, fails bool) string {
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
		rp.counters["reverted"]++
	}
	t.Loaded[o.Model] = o.Version
	o.result.OK = true
	return "loaded"
}

func (rp *weightsReplayer) answer(now time.Time, name string) (string, error) {
	o := rp.orders[name]
	if o == nil || o.result.Target == "" {
		return unknownReference("delivered order", name)
	}
	rp.planner(o.leader).RecordResult(now, o.result)
	return "received", nil
}

func (rp *weightsReplayer) counts() map[string]int {
	counts := maps.Clone(rp.counters)
	for leader, p := range rp.planners {
		counts["behind_"+leader] = p.Stats().Behind
		counts["quarantined"] += len(p.Quarantined())
	}
	for _, t := range rp.engines {
		for _, version := range t.Loaded {
			if version == 0 {
				counts["uncertain"]++
			}
		}
	}
	return counts
}
