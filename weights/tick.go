package weights

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"strconv"
	"time"
)

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }

// Tick returns the orders to send now, or none without a valid lease. When the term changes, it
// drops the orders of the former term without counting them as failures. The versions on their
// targets are uncertain until the targets report again.
func (p *Planner) Tick(now time.Time, a LeaderLease) []Order {
	p.refillTokens(now)
	if len(p.pending)+len(p.swapping) == 0 {
		return nil
	}
	expires, ok := p.authorize(now, a)
	if !ok {
		p.stats.NoLease++
		return nil
	}
	orders := p.continueSwaps(now, expires)
	return append(orders, p.startSwaps(now, expires)...)
}

// authorize adopts the term of the lease and returns the expiry of orders issued now. ok is
// false if the lease has ended or belongs to a former term, or if no fencing tokens are left.
func (p *Planner) authorize(now time.Time, a LeaderLease) (expires time.Time, ok bool) {
	if !a.Valid || a.Term < p.term || a.Term >= 1<<(64-fenceTermShift) {
		return time.Time{}, false
	}
	if a.Term > p.term {
		p.term, p.seq = a.Term, 0
		p.dropOrders()
	}
	expires = now.Add(p.cfg.OrderTTL)
	if limit := a.ExpiresAt.Add(-p.cfg.LeaseMargin); limit.Before(expires) {
		expires = limit
	}
	return expires, expires.After(now) && p.seq < maxSequence
}

// dropOrders ends all outstanding orders. The versions on their targets are uncertain until the
// next reports.
func (p *Planner) dropOrders() {
	for t := range p.swapping {
		for _, m := range t.models {
			if m.order != nil {
				m.endOrder()
				m.version = 0
			}
		}
		p.updateIndexes(t)
	}
}

func (p *Planner) refillTokens(now time.Time) {
	if !p.lastRefill.IsZero() && now.After(p.lastRefill) {
		p.tokens = min(p.cfg.StoreBurst, p.tokens+now.Sub(p.lastRefill).Seconds()*p.cfg.StoreRate)
	}
	if now.After(p.lastRefill) {
		p.lastRefill = now
	}
}

// continueSwaps ends swaps that have timed out and sends the other unanswered orders again.
func (p *Planner) continueSwaps(now, expires time.Time) (orders []Order) {
	targets := slices.SortedFunc(maps.Keys(p.swapping), func(a, b *target) int { return cmp.Compare(a.id, b.id) })
	for _, t := range targets {
		for _, name := range slices.Sorted(maps.Keys(t.models)) {
			m := t.models[name]
			if m.order != nil {
				p.failIfTimedOut(now, m)
			}
			if m.order != nil && !m.order.succeeded && !now.Before(m.order.lastIssued.Add(p.cfg.ResendInterval)) && p.acceptsTerm(t) {
				p.stats.Resends++
				orders = append(orders, p.issue(t, m, now, expires, true))
			}
		}
		p.updateIndexes(t)
	}
	return orders
}

// startSwaps issues new orders within the limits of the weight store and the pools. A target
// has one order at a time, so that a failure affects only one model.
func (p *Planner) startSwaps(now, expires time.Time) (orders []Order) {
	if p.tokens < 1 {
		return nil
	}
	queue := p.candidates(now)
	for p.tokens >= 1 && len(queue) > 0 {
		t := heap.Pop(&queue).(*target)
		m := p.nextModel(now, t)
		if m == nil || !t.unavailable && !p.disruptionAllowed(t.pool) {
			continue
		}
		p.tokens--
		m.order = &outstandingOrder{version: p.desired[m.name], firstIssued: now}
		orders = append(orders, p.issue(t, m, now, expires, false))
		p.updateIndexes(t)
	}
	return orders
}

// candidates returns the targets that may get a new order, in a heap.
func (p *Planner) candidates(now time.Time) targetQueue {
	var queue targetQueue
	for t := range p.pending {
		if (t.unavailable || p.disruptionAllowed(t.pool)) && p.acceptsTerm(t) {
			queue = append(queue, t)
		}
	}
	heap.Init(&queue)
	return queue
}

// acceptsTerm reports whether the target has accepted no fencing token of a later term.
func (p *Planner) acceptsTerm(t *target) bool { return t.lastFence <= Fence(p.term, maxSequence) }

// nextModel returns the first model in order of names that can get an order now, or nil.
func (p *Planner) nextModel(now time.Time, t *target) *modelState {
	var first *modelState
	for name, m := range t.models {
		if p.needsSwap(name, m) && m.canOrder(now, p.desired[name]) && (first == nil || name < first.name) {
			first = m
		}
	}
	return first
}

// targetQueue is a heap of targets in the order in which they swap: targets that are already
// unavailable, then targets that are not busy, then the others, each group by ID.
type targetQueue []*target

func (q targetQueue) Len() int { return len(q) }

func (q targetQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.unavailable != b.unavailable {
		return a.unavailable
	}
	if a.busy != b.busy {
		return b.busy
	}
	return a.id < b.id
}

func (q targetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *targetQueue) Push(x any) { *q = append(*q, x.(*target)) }

// Pop implements heap.Interface.
func (q *targetQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	*q = (*q)[:last]
	return t
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// issue creates an order with a fencing token above all tokens of this term that are known to
// the planner or the target.
func (p *Planner) issue(t *target, m *modelState, now, expires time.Time, resend bool) Order {
	if t.lastFence>>fenceTermShift == p.term {
		p.seq = max(p.seq, t.lastFence&maxSequence)
	}
	p.seq++
	fence := Fence(p.term, p.seq)
	m.order.fences = append(m.order.fences, fence)
	m.order.lastIssued, m.order.expiresAt = now, expires
	p.stats.Orders++
	return Order{Target: t.id, Model: m.name, Version: m.order.version, Fence: fence, ExpiresAt: expires, Resend: resend}
}
