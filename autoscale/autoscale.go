// Package autoscale decides how many targets of a service are ordered from the platform, by failure domain and kind. It is
// designed for engines that run periodic steps of trainers, where a step that is late costs far more than a target, and
// where spot targets are cheap but are taken away at times, all of a failure domain at once.
//
// The package is deterministic and does no I/O: time is an argument. A Planner is not safe for concurrent use.
package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/routes"
)

const (
	// discoveryDelay is the time after the first evaluation until the reports of all targets can have arrived: store hosts
	// pass reports on every 4 to 5 s.
	discoveryDelay = 6 * time.Second
	// surplusTime is how long there must be more targets than needed before the number is reduced.
	surplusTime = 10 * time.Second
	// needMemory is the time over which the greatest need decides on reductions.
	needMemory = 60 * time.Second
	// idleModelTime is the time after the first look from which a model without jobs counts as unused.
	idleModelTime = 60 * time.Second
	// maxOrders bounds the orders of one evaluation.
	maxOrders = 4
	// returnPause is how long the number is not reduced after a target was seen again: flapping reports would otherwise cause
	// alternating orders.
	returnPause = 60 * time.Second
	// reductionShare is the share of the targets that are given up at once.
	reductionShare = 1.0 / 6
	// minSaving is the part of the price that another mix must save before it is ordered, and changePause the least time
	// between two such changes.
	minSaving   = 0.1
	changePause = 30 * time.Second
	// marginShare is the share of the need by which orders exceed it, so that a need that varies a little does not cause
	// an order each time.
	marginShare = 0.05
)

// Result is the result of an order.
type Result int

// The results of orders.
const (
	// sent orders have no result yet.
	sent Result = iota
	// Accepted orders are being carried out.
	Accepted
	// Unavailable orders were rejected, because none is available there now.
	Unavailable
	// Unanswered orders may have been carried out, or are carried out later.
	Unanswered
	// NotSent orders have not reached the platform and never will.
	NotSent
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	return [...]string{"sent", "accepted", "unavailable", "unanswered", "not_sent"}[r]
}

// Reason tells why an order is given.
type Reason string

// The reasons of orders.
const (
	// TooFew means that steps would be late, now or after the loss of the spot targets of one failure domain.
	TooFew Reason = "too few for the work"
	// BelowMinimum means that a failure domain has fewer targets than the configuration asks for.
	BelowMinimum Reason = "fewer than the minimum"
	// Cheaper means that the targets will take the place of more expensive ones.
	Cheaper Reason = "cheaper than others"
	// Surplus means that targets are given up.
	Surplus Reason = "more than the work needs"
)

// Order asks for a total number of targets of one kind in a failure domain.
type Order struct {
	Service string
	Cell
	Count int
	// Present is the number that is expected there without the order.
	Present int
	Reason  Reason
}

// Input is what a decision rests on.
type Input struct {
	Scale routes.Scale
	// Targets are the targets of the service with their newest reports, those that leave included.
	Targets []fleet.Target
	// Models are the models of the service.
	Models []string
	// Demand is the work of the service; nil while it is not known. Nothing is ordered then.
	Demand *Demand
}

// Planner decides on the orders for one service. It must see the targets also while its host may give no orders.
type Planner struct {
	service      string
	startedAt    time.Time // first look
	targets      map[string]*target
	cells        map[Cell]*cellState
	needs        []needSample // of needMemory, the oldest first
	surplusSince time.Time    // zero unless targets could be given up
	returnedAt   time.Time    // when a target was last seen again after it had been lost; zero if none was
	mixChangedAt time.Time    // when targets were last ordered for their price
	lateness     lateness
	need         int // at the last decision; 0 if it was not known
}

// needSample is a need and when it was computed.
type needSample struct {
	at   time.Time
	need int
}

// New returns a planner that has not seen a target.
func New(service string) *Planner {
	return &Planner{service: service, targets: make(map[string]*target), cells: make(map[Cell]*cellState)}
}

// Plan returns the orders to send now. Each is reported back with Record.
func (p *Planner) Plan(now time.Time, in *Input) []Order {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.observe(now, in)
	if !in.Demand.isKnown(now) || in.Scale.Max <= 0 {
		p.need, p.needs, p.surplusSince = 0, nil, time.Time{}
		return nil
	}
	needed := in.Demand.targets(now, in.Scale.BootTime)
	p.lateness.observe(now, in.Demand, p.serving() >= p.lateness.raise(needed))
	p.need = p.lateness.raise(needed)
	p.needs = append(p.needs, needSample{now, p.need})
	p.needs = slices.DeleteFunc(p.needs, func(s needSample) bool { return now.Sub(s.at) > needMemory })
	if now.Sub(p.startedAt) < discoveryDelay {
		return nil
	}
	low, likely, high := p.counts(now)
	cm := p.newCostModel(now, in, high)
	if list := p.replenish(cm, low, likely); len(list) > 0 {
		p.surplusSince = time.Time{}
		return p.send(now, list)
	}
	return p.send(now, p.save(now, in, cm, low, likely))
}

// serving returns the number of targets that serve.
func (p *Planner) serving() int {
	n := 0
	for _, c := range p.cells {
		n += c.serving
	}
	return n
}

// counts returns the least, the expected and the greatest number of targets after the orders that were sent.
func (p *Planner) counts(now time.Time) (low, likely, high mix) {
	low, likely, high = make(mix), make(mix), make(mix)
	for id, c := range p.cells {
		r := c.count(now)
		low[id], likely[id], high[id] = r.low, r.likely, r.high
	}
	return low, likely, high
}

func (p *Planner) newCostModel(now time.Time, in *Input, high mix) *costModel {
	domains := make(map[string]bool)
	for d := range in.Scale.DomainPrices {
		domains[d] = true
	}
	for c := range p.cells {
		domains[c.Domain] = true
	}
	uncertain := make(mix)
	for id, c := range p.cells {
		uncertain[id] = c.uncertain
	}
	return &costModel{scale: &in.Scale, domains: slices.Sorted(maps.Keys(domains)), high: high, uncertain: uncertain,
		isOpen: func(c Cell) bool { return p.cell(c).isOpen(now, in.Scale.BootTime) }}
}

// margin returns by how much orders exceed a need.
func margin(need int) int { return max(int(marginShare*float64(need)), 1) }

// replenish returns orders for what is missing. Orders without an answer count as carried out for the targets that are
// kept against a loss. Targets that the work needs now are ordered once more elsewhere.
func (p *Planner) replenish(cm *costModel, low, likely mix) []Order {
	needed, certain := p.need, low.size()
	if missing := p.need - certain; missing > 0 && likely.size() > certain {
		atMost := p.need + missing + likely.size() - likely.safe()
		needed = max(needed, min(likely.safe()+missing, atMost))
	}
	if likely.safe() < needed {
		return p.increases(cm, likely, cm.extend(likely, needed+margin(p.need)), TooFew)
	}
	// The work does not wait for these, so that one kind is tried at a time.
	calm := *cm
	calm.isOpen = func(c Cell) bool { return cm.isOpen(c) && cm.isOpen(c.other()) }
	return p.increases(cm, likely, calm.extend(likely, 0), BelowMinimum)
}

// increases returns the orders that lead to a larger mix, the largest increase first. A count includes the targets that
// the platform may have although they are out of sight, since a lower one would end them.
func (p *Planner) increases(cm *costModel, likely, wanted mix, reason Reason) []Order {
	var list []Order
	for _, c := range cm.cells() {
		o := c.other()
		count := max(wanted[c], likely[c]+cm.uncertain[c])
		if wanted[c] > likely[c] && count+max(wanted[o], cm.high[o]+cm.uncertain[o]) <= cm.scale.Max {
			list = append(list, Order{Service: p.service, Cell: c, Count: count, Present: likely[c], Reason: reason})
		}
	}
	slices.SortStableFunc(list, func(a, b Order) int { return cmp.Compare(b.Count-b.Present, a.Count-a.Present) })
	return list
}

// save returns orders that reduce the price once there was a surplus for surplusTime.
func (p *Planner) save(now time.Time, in *Input, cm *costModel, low, likely mix) []Order {
	need := p.recentNeed()
	need += margin(need)
	if !p.maySave(now, in) {
		p.surplusSince = time.Time{}
		return nil
	}
	limit := max(int(reductionShare*float64(likely.size())), cm.excess(low), 1)
	reduced := cm.reduce(low, need, limit)
	cheaper := p.cheaperTargets(now, cm, likely, need)
	if maps.Equal(reduced, low) && len(cheaper) == 0 {
		p.surplusSince = time.Time{}
		return nil
	}
	if p.surplusSince.IsZero() {
		p.surplusSince = now
	}
	if now.Sub(p.surplusSince) < surplusTime {
		return nil
	}
	p.surplusSince = time.Time{}
	if len(cheaper) > 0 {
		p.mixChangedAt = now
		return cheaper
	}
	var list []Order
	for _, c := range cm.cells() {
		if reduced[c] < low[c] && reduced.domain(c.Domain) <= in.Scale.Max {
			list = append(list, Order{Service: p.service, Cell: c, Count: reduced[c], Present: low[c], Reason: Surplus})
		}
	}
	return list
}

// maySave reports whether enough is known to reduce the number of targets. No order may be under way, since its effect is
// not visible yet, no target out of sight, and no step late.
func (p *Planner) maySave(now time.Time, in *Input) bool {
	if !p.lateness.lateAt.IsZero() && now.Sub(p.lateness.lateAt) < needMemory {
		return false
	}
	if !p.returnedAt.IsZero() && now.Sub(p.returnedAt) < returnPause {
		return false
	}
	for _, c := range p.cells {
		if c.pending != nil || c.uncertain > 0 || now.Before(c.lateUntil) {
			return false
		}
	}
	return in.Demand.isSettled(in.Models, now.Sub(p.startedAt) >= idleModelTime)
}

// recentNeed returns the greatest need within needMemory.
func (p *Planner) recentNeed() int {
	need := 0
	for _, s := range p.needs {
		need = max(need, s.need)
	}
	return need
}

// cheaperTargets returns orders for targets that will take the place of more expensive ones. These are given up later, as
// a surplus.
func (p *Planner) cheaperTargets(now time.Time, cm *costModel, likely mix, need int) []Order {
	if !p.mixChangedAt.IsZero() && now.Sub(p.mixChangedAt) < changePause {
		return nil
	}
	reduced := cm.reduce(likely, need, likely.size())
	ideal := cm.ideal(likely, need)
	if ideal.safe() < need || cm.cost(ideal) > (1-minSaving)*cm.cost(reduced) {
		return nil
	}
	wanted := maps.Clone(likely)
	for _, c := range cm.cells() {
		if cm.allows(c) {
			wanted[c] += min(max(ideal[c]-likely[c], 0), cm.room(wanted, c))
		}
	}
	return p.increases(cm, likely, wanted, Cheaper)
}

// send marks orders as sent and returns those that are.
func (p *Planner) send(now time.Time, list []Order) []Order {
	list = list[:min(len(list), maxOrders)]
	for i := range list {
		o := &list[i]
		p.cell(o.Cell).pending = &pendingOrder{count: o.Count, from: o.Present, sentAt: now}
	}
	return list
}

// Record reports the result of an order.
func (p *Planner) Record(now time.Time, o *Order, result Result) {
	p.cell(o.Cell).record(now, o, result)
}

// Status summarizes a planner for metrics.
type Status struct {
	// Need is the number of targets that the work needs; 0 if it is not known.
	Need int
	// Present and Wanted are the numbers of targets by kind that serve, and that are expected after the orders.
	Present, Wanted map[Kind]int
}

// Status returns the state after the last decision.
func (p *Planner) Status(now time.Time) Status {
	s := Status{Need: p.need, Present: make(map[Kind]int), Wanted: make(map[Kind]int)}
	for id, c := range p.cells {
		s.Present[id.Kind] += c.serving
		s.Wanted[id.Kind] += c.count(now).likely
	}
	return s
}
