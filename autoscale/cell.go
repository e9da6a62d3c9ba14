package autoscale

import (
	"time"

	"fuchsiaflow/fleet"
)

const (
	// arrivalSlack is the time beyond the boot time until the first report of a new target reaches this host, which is
	// often passed on by another store host.
	arrivalSlack = 3 * time.Second
	// lateExecution is how long an order without an answer may still be carried out.
	lateExecution = 15 * time.Second
	// firstRetry and maxRetry bound the pause after a rejection, which doubles with each rejection in succession.
	firstRetry = time.Second
	maxRetry   = 16 * time.Second
	// reclaimPause is the pause after targets were taken away: their kind is then scarce there.
	reclaimPause = 5 * time.Second
	// ownReduction is how long departures are taken for the effect of an own order that reduced the number.
	ownReduction = 30 * time.Second
	// silentAfter is the time without a report after which a target counts as lost. Reports that other store hosts pass on
	// are up to 5 s old.
	silentAfter = 8 * time.Second
	// failingFor is how long all runs on a target must fail until it counts as lost.
	failingFor = 2 * time.Second
	// uncertainFor is how long a target that was lost without a word may still be there: out of reach of the store hosts,
	// but counted by the platform.
	uncertainFor = 60 * time.Second
)

// Kind is the kind of a target by its price.
type Kind string

// The kinds of targets.
const (
	// OnDemand targets stay until they are given up.
	OnDemand Kind = "on_demand"
	// Spot targets cost less and may be taken away at any time, all of a failure domain at once.
	Spot Kind = "spot"
)

// Kinds are all kinds of targets.
var Kinds = []Kind{OnDemand, Spot}

// Cell is a failure domain and a kind: the targets that one order concerns.
type Cell struct {
	Domain string
	Kind   Kind
}

// other returns the cell of the other kind in the failure domain.
func (c Cell) other() Cell {
	if c.Kind == Spot {
		return Cell{c.Domain, OnDemand}
	}
	return Cell{c.Domain, Spot}
}

// pendingOrder is an order whose effect is not visible yet.
type pendingOrder struct {
	count, from int // wanted number, and number present when it was sent
	sentAt      time.Time
	result      Result
	arrived     int // targets first seen since
}

// cellState is what the planner knows of a cell.
type cellState struct {
	serving int
	// uncertain is the number of targets that do not serve as far as is known, but that the platform may count.
	uncertain int
	pending   *pendingOrder
	// late is the last order without an answer, which may be carried out until lateUntil.
	late      int
	lateUntil time.Time
	changedAt time.Time // when an order may last have changed the number
	reducedAt time.Time // when an order last reduced the number
	retryAt   time.Time // no order before
	failures  int       // rejections and orders without effect in succession
}

// countRange is a number of targets: the least and the greatest that is possible, and the one that is expected.
type countRange struct{ low, likely, high int }

// count returns the number of targets in the cell after the orders that were sent.
func (c *cellState) count(now time.Time) countRange {
	r := countRange{c.serving, c.serving, c.serving}
	switch p := c.pending; {
	case p == nil:
	case p.count > p.from:
		r.likely += max(p.count-p.from-p.arrived, 0)
		r.high = r.likely
		if p.result != Unanswered {
			r.low = r.likely
		}
	default:
		r.low = min(c.serving, p.count)
		r.likely = r.low
	}
	if now.Before(c.lateUntil) {
		r.low, r.high = min(r.low, c.late), max(r.high, c.late)
	}
	return r
}

// isOpen reports whether an order for the cell may be sent.
func (c *cellState) isOpen(now time.Time, bootTime time.Duration) bool {
	return c.pending == nil && !now.Before(c.retryAt) && (c.changedAt.IsZero() || now.Sub(c.changedAt) >= bootTime)
}

// settle ends the pending order once its effect is visible or can no longer be expected.
func (c *cellState) settle(now time.Time, bootTime time.Duration) {
	p := c.pending
	if p == nil || p.result == sent && now.Sub(p.sentAt) < bootTime+arrivalSlack {
		return
	}
	expired := now.Sub(p.sentAt) >= bootTime+arrivalSlack
	switch {
	case p.count > p.from && p.arrived >= p.count-p.from:
		c.pending, c.failures = nil, 0
	case p.count < p.from && c.serving <= p.count:
		c.pending = nil
	case expired:
		c.pending = nil
		if p.count > p.from && p.result == Accepted {
			c.backOff(now) // accepted without effect: probably none is available
		}
	}
}

// backOff delays the next order for the cell, longer with each failure in succession.
func (c *cellState) backOff(now time.Time) {
	pause := min(firstRetry<<min(c.failures, 5), maxRetry)
	c.failures++
	c.retryAt = now.Add(pause)
}

// record handles the result of the pending order.
func (c *cellState) record(now time.Time, o *Order, result Result) {
	if c.pending == nil || c.pending.count != o.Count {
		return
	}
	switch result {
	case Accepted, Unanswered:
		c.pending.result, c.changedAt = result, now
		if o.Count < o.Present {
			c.reducedAt = now
		}
		if result == Unanswered {
			c.late, c.lateUntil = o.Count, c.pending.sentAt.Add(lateExecution)
		} else {
			c.lateUntil = time.Time{} // the newer order replaces it
		}
	case Unavailable:
		c.pending = nil
		c.backOff(now)
	case NotSent:
		c.pending = nil
	}
}

// target is what the planner remembers of a target.
type target struct {
	cell         Cell
	firstSeen    time.Time
	servedAt     time.Time // when it last served
	failingSince time.Time // zero unless all recent runs have failed
	serving      bool
	left         bool // it has said that it leaves, or has left
}

// isUncertain reports whether a target that does not serve may still be there.
func (t *target) isUncertain(now time.Time) bool {
	return !t.serving && !t.left && !t.servedAt.IsZero() && now.Sub(t.servedAt) < uncertainFor
}

// cellOf returns the cell of a target.
func cellOf(t *fleet.Target) Cell {
	if t.Spot {
		return Cell{t.Domain, Spot}
	}
	return Cell{t.Domain, OnDemand}
}

// observe updates the cells from the targets present.
func (p *Planner) observe(now time.Time, in *Input) {
	failing := make(map[string]bool)
	if in.Demand != nil {
		for _, id := range in.Demand.Failing {
			failing[id] = true
		}
	}
	present := make(map[string]bool, len(in.Targets))
	for i := range in.Targets {
		t := &in.Targets[i]
		present[t.ID] = true
		p.observeTarget(now, t, failing[t.ID])
	}
	for _, c := range p.cells {
		c.serving, c.uncertain = 0, 0
	}
	for id, t := range p.targets {
		if !present[id] {
			t.serving = false // the registry has forgotten it
		}
		c := p.cell(t.cell)
		switch {
		case t.serving:
			c.serving++
		case t.isUncertain(now):
			c.uncertain++
		case !present[id]:
			delete(p.targets, id)
		}
	}
	for _, c := range p.cells {
		c.settle(now, in.Scale.BootTime)
	}
}

// observeTarget updates the record of a target.
func (p *Planner) observeTarget(now time.Time, t *fleet.Target, failing bool) {
	known, cell := p.targets[t.ID], cellOf(t)
	// Another machine may get the ID of an earlier one. The report of a target that leaves need not tell its kind.
	if known == nil || t.State == fleet.Ready && known.cell != cell {
		known = &target{cell: cell, firstSeen: now}
		p.targets[t.ID] = known
	}
	switch {
	case !failing:
		known.failingSince = time.Time{}
	case known.failingSince.IsZero():
		known.failingSince = now
	}
	lost := now.Sub(t.ReportedAt) >= silentAfter || failing && now.Sub(known.failingSince) >= failingFor
	left := t.State != fleet.Ready
	if left && !known.left && known.serving {
		p.targetLeft(now, known)
	}
	if !left && !lost && known.isUncertain(now) {
		p.returnedAt = now
	}
	known.left = left
	known.serving = !left && !lost
	if !known.serving {
		return
	}
	if c := p.cell(known.cell); known.servedAt.IsZero() && c.pending != nil && known.firstSeen.After(c.pending.sentAt) {
		c.pending.arrived++
	}
	known.servedAt = now
}

// targetLeft handles a target that leaves or was taken away. If that is not the effect of an own order, the cell gets a
// pause: others there may be about to be taken away too, and none is available.
func (p *Planner) targetLeft(now time.Time, t *target) {
	c := p.cell(t.cell)
	ownOrder := !c.reducedAt.IsZero() && now.Sub(c.reducedAt) < ownReduction
	if !ownOrder && c.retryAt.Before(now.Add(reclaimPause)) {
		c.retryAt = now.Add(reclaimPause)
	}
}

// cell returns the state of a cell.
func (p *Planner) cell(id Cell) *cellState {
	c := p.cells[id]
	if c == nil {
		c = &cellState{}
		p.cells[id] = c
	}
	return c
}
