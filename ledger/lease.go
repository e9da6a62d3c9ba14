package ledger

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Lease hands out attempts for the free room of a host. The tenancy with the fewest tokens
// for its weight is served first, then its earliest deadline, then the longest expected
// group. When a tenancy has no open slot left, its stragglers get second attempts.
func (s *Scheduler) Lease(now time.Time, host string, capacity []Capacity) []Work {
	s.Expire(now)
	var out []Work
	for _, p := range byPool(capacity) {
		for free := p.free; free > 0; {
			taken := s.leaseFrom(now, host, p, free, &out)
			if taken == 0 {
				break
			}
			free -= taken
		}
	}
	return out
}

// poolCapacity is the room of a host's targets in one pool, which its models share.
type poolCapacity struct {
	name   string
	free   int
	models map[string]Capacity
}

// byPool joins the capacities of a pool's models: the same windows are free for each of
// them, so leasing for each model alone would hand out the room several times, to the first
// model's tenancies first.
func byPool(capacity []Capacity) []*poolCapacity {
	var pools []*poolCapacity
	index := make(map[string]*poolCapacity)
	for _, c := range capacity {
		p := index[c.Pool]
		if p == nil {
			p = &poolCapacity{name: c.Pool, models: make(map[string]Capacity)}
			index[c.Pool] = p
			pools = append(pools, p)
		}
		p.free = max(p.free, c.FreeSlots)
		p.models[c.Model] = c
	}
	return pools
}

// serves returns the capacity for a step, if its model is loaded and the pool is the one
// that it asks for.
func (p *poolCapacity) serves(st *stepWork) (Capacity, bool) {
	c, ok := p.models[st.model]
	return c, ok && (st.pool == "" || st.pool == p.name)
}

// leaseFrom serves one group of the tenancy whose turn it is, or one second attempt.
func (s *Scheduler) leaseFrom(now time.Time, host string, p *poolCapacity, free int, out *[]Work) int {
	tenants := s.byService(p.name)
	for _, t := range tenants {
		for _, st := range t.steps {
			c, ok := p.serves(st)
			if !ok || st.open == 0 {
				continue
			}
			if g := s.choose(now, host, st, c); g != nil {
				return s.leaseGroup(now, host, c, st, g, free, out)
			}
		}
	}
	for _, t := range tenants {
		for _, st := range t.steps {
			c, ok := p.serves(st)
			if !ok || st.open > 0 {
				continue
			}
			if a := s.straggler(now, host, st, c); a != nil {
				*out = append(*out, s.begin(now, host, c, st, st.groups[st.groupOfSlot(a.slot)], a.slot, true))
				return 1
			}
		}
	}
	return 0
}

// byService returns the tenancies that may use a pool, the least served first.
func (s *Scheduler) byService(pool string) []*tenantWork {
	var list []*tenantWork
	for _, name := range slices.Sorted(maps.Keys(s.tenancies)) {
		if p := s.policies[name].Pool; len(s.tenancies[name].steps) > 0 && (p == "" || p == pool) {
			list = append(list, s.tenancies[name])
		}
	}
	slices.SortStableFunc(list, func(a, b *tenantWork) int { return cmp.Compare(a.served, b.served) })
	return list
}

func (s *Scheduler) leaseGroup(now time.Time, host string, c Capacity, st *stepWork, g *groupWork, free int, out *[]Work) int {
	n := min(free, len(g.open))
	for range n {
		*out = append(*out, s.begin(now, host, c, st, g, st.take(g, host), false))
	}
	return n
}

func (s *Scheduler) begin(now time.Time, host string, c Capacity, st *stepWork, g *groupWork, slot int, hedge bool) Work {
	s.seq++
	a := &attempt{number: s.term<<attemptTermShift | s.seq, step: st, slot: slot, host: host, start: now,
		expiry: now.Add(s.leaseOf(st, g)), tokens: g.expected(), hedge: hedge}
	s.attempts[a.number] = a
	if s.hosts[host] == nil {
		s.hosts[host] = map[uint64]*attempt{}
	}
	s.hosts[host][a.number] = a
	s.expiry.push(a)
	st.start(a)
	st.tenant.served += a.tokens / s.weight(st.tenant.name)
	s.stats.Leased++
	if hedge {
		s.stats.Hedged++
	}
	return Work{Tenancy: st.tenant.name, Step: st.id, Slot: slot, Attempt: a.number, Group: g.index, Pool: c.Pool,
		Model: st.model, Prompt: g.prompt, MaxTokens: g.maxTokens, MinVersion: s.minVersion(st), Expiry: a.expiry,
		StepDeadline: st.deadline, Hedge: hedge}
}

func (s *Scheduler) leaseOf(st *stepWork, g *groupWork) time.Duration {
	longest := s.seconds(st, float64(g.maxTokens))
	return min(max(time.Duration(longest*s.cfg.LeaseFactor*float64(time.Second)), s.cfg.MinLease), s.cfg.MaxLease)
}

func (s *Scheduler) seconds(st *stepWork, tokens float64) float64 {
	return tokens * s.model(st.model).secondsPerToken
}

func (s *Scheduler) minVersion(st *stepWork) uint64 {
	p := st.tenant.newest[st.model]
	if p == nil || p.version <= st.bound {
		return 1
	}
	return p.version - st.bound
}

// budget is the greatest expected number of tokens of a sample that starts now on the
// capacity's version and finishes inside the staleness bound. Work on a version that is too
// old already has a budget below any work and starts no hold. Otherwise the budget rests on the expected number of
// publications and on the tenancy's policy: the staleness share of its weights sets how many
// publications over the bound are tolerated, and for how much of a publication interval work
// may be held back. The hold is limited because a trainer that waits for the step publishes
// nothing.
func (s *Scheduler) budget(now time.Time, st *stepWork, c Capacity) float64 {
	p := st.tenant.newest[st.model]
	if p == nil {
		return math.Inf(-1) // nothing is published, so no output would be accepted
	}
	version := p.version
	if c.Version != 0 {
		version = min(version, c.Version)
	}
	if version < s.minVersion(st) {
		return math.Inf(-1)
	}
	share := s.policies[st.tenant.name].stalenessShare()
	interval := p.interval.Seconds()
	if interval <= 0 || share == 0 {
		return math.Inf(1)
	}
	if !st.deferredSince.IsZero() && now.Sub(st.deferredSince).Seconds() >= share*interval {
		return math.Inf(1)
	}
	publications := float64(st.bound) - float64(p.version-version) + 2 - share
	return (publications*interval - now.Sub(p.at).Seconds()) / s.seconds(st, 1)
}

// choose returns the group to lease from, or nil when no group fits the budget.
func (s *Scheduler) choose(now time.Time, host string, st *stepWork, c Capacity) *groupWork {
	budget := s.budget(now, st, c)
	g := st.next(host, budget)
	if g == nil || st.heap[0].expected() > budget {
		if !math.IsInf(budget, -1) && st.deferredSince.IsZero() {
			st.deferredSince = now
		}
		s.stats.Deferred++
	}
	return g
}

// straggler returns the oldest attempt that deserves a second one on another host. An
// attempt that ran for a time t is expected to run for about t more, which holds for
// durations with a heavy tail. The gain is the wait that a new attempt saves; the cost is
// its engine time. A second attempt favors the shorter of two samples, so HedgeShare keeps
// it rare.
func (s *Scheduler) straggler(now time.Time, host string, st *stepWork, c Capacity) *attempt {
	if float64(st.hedges) >= max(1, s.cfg.HedgeShare*float64(st.slots)) || now.Before(st.noStragglers) {
		return nil
	}
	own := false
	budget := s.budget(now, st, c)
	idleShare := 1 - s.policies[st.tenant.name].stalenessShare()
	seen := 0
	for e := st.running.Front(); e != nil && seen < hedgeScan; e = e.Next() {
		a := e.Value.(*attempt)
		seen++
		if len(st.live[a.slot]) > 1 {
			continue
		}
		g := st.groups[st.groupOfSlot(a.slot)]
		fresh := s.seconds(st, g.expected())
		elapsed := now.Sub(a.start).Seconds()
		gain := (elapsed - fresh) * idleShare
		if elapsed > s.cfg.HedgeAfter*fresh && gain > fresh*s.cfg.HedgeCost && g.expected() <= budget {
			if a.host != host {
				return a
			}
			own = true
		}
	}
	if !own {
		st.noStragglers = now.Add(hedgeRescan)
	}
	return nil
}
