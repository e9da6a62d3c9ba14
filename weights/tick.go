package weights

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

func uitoa(v uint64) string { return strconv.FormatUint(v, 10) }

// Tick returns the orders to send now. Without a valid lease it returns none. Swaps ordered
// under a former term of this planner are forgotten without counting as failures; their
// targets are out of service until they report again.
func (p *Planner) Tick(now time.Time, a Authority) []Order {
	p.fill(now)
	if len(p.behind) == 0 {
		return nil
	}
	expires, ok := p.authority(now, a)
	if !ok {
		p.stats.NoAuthority++
		return nil
	}
	candidates := p.candidates()
	p.expire(now, candidates)
	var orders []Order
	for _, t := range candidates {
		if t.lastFence > Fence(a.Term, maxSequence) {
			continue // a newer leader gave this target orders
		}
		if o, ok := p.orderFor(now, t, expires); ok {
			orders = append(orders, o)
		}
	}
	return orders
}

// authority adopts the term and returns the expiry of orders given now.
func (p *Planner) authority(now time.Time, a Authority) (expires time.Time, ok bool) {
	if !a.OK || a.Term < p.term || a.Term >= 1<<(64-fenceTermShift) {
		return time.Time{}, false
	}
	if a.Term > p.term {
		p.term, p.seq = a.Term, 0
		p.forgetOrders()
	}
	expires = now.Add(p.cfg.OrderTimeout)
	if limit := a.LeaseUntil.Add(-p.cfg.LeaseMargin); limit.Before(expires) {
		expires = limit
	}
	return expires, expires.After(now) && p.seq < maxSequence
}

func (p *Planner) forgetOrders() {
	for t := range p.behind {
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

// candidates lists the targets with something to swap: first those that are out of service
// already, then idle ones, then by name.
func (p *Planner) candidates() []*target {
	list := slices.Collect(maps.Keys(p.behind))
	slices.SortFunc(list, func(a, b *target) int {
		if a.out != b.out {
			return rank(b.out) - rank(a.out)
		}
		return cmp.Or(rank(a.busy)-rank(b.busy), cmp.Compare(a.id, b.id))
	})
	return list
}

func rank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// expire fails swaps whose version was not reported in time.
func (p *Planner) expire(now time.Time, candidates []*target) {
	for _, t := range candidates {
		for _, name := range slices.Sorted(maps.Keys(t.models)) {
			if m := t.models[name]; m.order != nil {
				p.timeout(now, m)
			}
		}
		p.refresh(t)
	}
}

// orderFor repeats the order of a target or gives it a new one. A target has one order at a
// time, so that a failure concerns one model.
func (p *Planner) orderFor(now time.Time, t *target, expires time.Time) (Order, bool) {
	names := slices.Sorted(maps.Keys(t.models))
	for _, name := range names {
		m := t.models[name]
		if m.order == nil {
			continue
		}
		if m.order.done || now.Before(m.order.last.Add(p.cfg.RepeatInterval)) {
			return Order{}, false
		}
		p.stats.Repeats++
		return p.give(now, t, m, expires, true), true
	}
	for _, name := range names {
		m := t.models[name]
		if !p.wants(name, m) || !m.mayOrder(now, p.desired[name]) {
			continue
		}
		if p.tokens < 1 || !t.out && !p.mayStop(t.pool) {
			return Order{}, false
		}
		p.tokens--
		m.order = &outstanding{version: p.desired[name], first: now}
		o := p.give(now, t, m, expires, false)
		p.refresh(t)
		return o, true
	}
	return Order{}, false
}

func (p *Planner) give(now time.Time, t *target, m *model, expires time.Time, repeat bool) Order {
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
