package weights

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"strconv"
	"time"
)

func uitoa(v uint64) string { return strconv.FormatUint(v, 10) }

// Tick returns the orders to send now. Without a valid lease it returns none. Swaps ordered
// under a former term of this planner are forgotten without counting as failures; their
// targets are out of service until they report again.
func (p *Planner) Tick(now time.Time, a LeaderLease) []Order {
	p.fill(now)
	if len(p.waiting)+len(p.swapping) == 0 {
		return nil
	}
	expires, ok := p.authority(now, a)
	if !ok {
		p.stats.NoAuthority++
		return nil
	}
	orders := p.continueSwaps(now, expires)
	return append(orders, p.startSwaps(now, expires)...)
}

// authority adopts the term and returns the expiry of orders given now.
func (p *Planner) authority(now time.Time, a LeaderLease) (expires time.Time, ok bool) {
	if !a.Valid || a.Term < p.term || a.Term >= 1<<(64-fenceTermShift) {
		return time.Time{}, false
	}
	if a.Term > p.term {
		p.term, p.seq = a.Term, 0
		p.forgetOrders()
	}
	expires = now.Add(p.cfg.OrderTimeout)
	if limit := a.ExpiresAt.Add(-p.cfg.LeaseMargin); limit.Before(expires) {
		expires = limit
	}
	return expires, expires.After(now) && p.seq < maxSequence
}

func (p *Planner) forgetOrders() {
	for t := range p.swapping {
		for _, m := range t.models {
			if m.order != nil {
				m.end()
				m.version = 0
			}
		}
		p.refresh(t)
	}
}

func (p *Planner) fill(now time.Time) {
	if !p.refill.IsZero() && now.After(p.refill) {
		p.tokens = min(p.cfg.StoreBurst, p.tokens+now.Sub(p.refill).Seconds()*p.cfg.StoreRate)
	}
	if now.After(p.refill) {
		p.refill = now
	}
}

// continueSwaps fails the swaps whose version was not reported in time and repeats the orders
// of the others.
func (p *Planner) continueSwaps(now, expires time.Time) (orders []Order) {
	list := slices.SortedFunc(maps.Keys(p.swapping), func(a, b *target) int { return cmp.Compare(a.id, b.id) })
	for _, t := range list {
		for _, name := range slices.Sorted(maps.Keys(t.models)) {
			m := t.models[name]
			if m.order != nil {
				p.timeout(now, m)
			}
			if m.order != nil && !m.order.done && !now.Before(m.order.last.Add(p.cfg.RepeatInterval)) && p.commands(t) {
				p.stats.Repeats++
				orders = append(orders, p.give(t, m, now, expires, true))
			}
		}
		p.refresh(t)
	}
	return orders
}

// startSwaps gives new orders as far as the store's rate and the pools allow. A target has one
// order at a time, so that a failure concerns one model.
func (p *Planner) startSwaps(now, expires time.Time) (orders []Order) {
	if p.tokens < 1 {
		return nil
	}
	queue := p.candidates(now)
	for p.tokens >= 1 && len(queue) > 0 {
		t := heap.Pop(&queue).(*target)
		m := p.next(now, t)
		if m == nil || !t.out && !p.mayStop(t.pool) {
			continue
		}
		p.tokens--
		m.order = &outstanding{version: p.desired[m.name], first: now}
		orders = append(orders, p.give(t, m, now, expires, false))
		p.refresh(t)
	}
	return orders
}

// candidates returns the targets that may get a new order.
func (p *Planner) candidates(now time.Time) targetQueue {
	var queue targetQueue
	for t := range p.waiting {
		if (t.out || p.mayStop(t.pool)) && p.commands(t) {
			queue = append(queue, t)
		}
	}
	heap.Init(&queue)
	return queue
}

// commands reports whether no newer leader gave the target orders.
func (p *Planner) commands(t *target) bool { return t.lastFence <= Fence(p.term, maxSequence) }

// next returns the first model by name that needs an order now, or nil.
func (p *Planner) next(now time.Time, t *target) *model {
	var first *model
	for name, m := range t.models {
		if p.wants(name, m) && m.mayOrder(now, p.desired[name]) && (first == nil || name < first.name) {
			first = m
		}
	}
	return first
}

// targetQueue is a heap: first the targets that are out of service already, then idle ones,
// then by name.
type targetQueue []*target

func (q targetQueue) Len() int { return len(q) }

func (q targetQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.out != b.out {
		return a.out
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

func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (p *Planner) give(t *target, m *model, now, expires time.Time, repeat bool) Order {
	if t.lastFence>>fenceTermShift == p.term {
		p.seq = max(p.seq, t.lastFence&maxSequence)
	}
	p.seq++
	fence := Fence(p.term, p.seq)
	m.order.fences = append(m.order.fences, fence)
	m.order.last, m.order.expires = now, expires
	p.stats.Orders++
	return Order{Target: t.id, Model: m.name, Version: m.order.version, Fence: fence, ExpiresAt: expires, Repeat: repeat}
}
