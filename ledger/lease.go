package ledger

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"
)

// Lease assigns open slots to the free capacity of a host. It serves the tenancy with the
// fewest leased tokens relative to its weight first; within a tenancy the step with the
// earliest deadline, and within a step the group with the longest expected output. When no
// open slot can be leased, stragglers of steps without open slots get second attempts.
func (s *Scheduler) Lease(now time.Time, host string, capacity []Capacity) []Work {
	s.Expire(now)
	var out []Work
	for _, p := range mergeByPool(capacity) {
		for free := p.freeSlots; free > 0; {
			leased := s.leaseNext(now, host, p, free, &out)
			if leased == 0 {
				break
			}
			free -= leased
		}
	}
	return out
}

// poolCapacity is the capacity of a host's targets in one pool, shared by the models of the
// pool.
type poolCapacity struct {
	name      string
	freeSlots int
	models    map[string]Capacity
}

// mergeByPool merges the capacities of a pool's models. Each model reports the same free
// slots, so leasing for each model separately would assign them several times and would
// prefer the tenancies of the first model.
func mergeByPool(capacity []Capacity) []*poolCapacity {
	var pools []*poolCapacity
	index := make(map[string]*poolCapacity)
	for _, c := range capacity {
		p := index[c.Pool]
		if p == nil {
			p = &poolCapacity{name: c.Pool, models: make(map[string]Capacity)}
			index[c.Pool] = p
			pools = append(pools, p)
		}
		p.freeSlots = max(p.freeSlots, c.FreeSlots)
		p.models[c.Model] = c
	}
	return pools
}

// capacityFor returns the capacity for a step and whether the pool may run it: its model must
// be loaded, and the step must request this pool or none.
func (p *poolCapacity) capacityFor(st *stepWork) (Capacity, bool) {
	c, ok := p.models[st.model]
	return c, ok && (st.pool == "" || st.pool == p.name)
}

// leaseNext appends slots of one group, or one second attempt, to out. It returns the number of
// leased slots, which is at most free.
func (s *Scheduler) leaseNext(now time.Time, host string, p *poolCapacity, free int, out *[]Work) int {
	tenancies := s.tenanciesByServedTokens(p.name)
	for _, t := range tenancies {
		for _, st := range t.steps {
			c, ok := p.capacityFor(st)
			if !ok || st.openCount == 0 {
				continue
			}
			if g := s.chooseGroup(now, host, st, c); g != nil {
				return s.leaseFromGroup(now, host, c, st, g, free, out)
			}
		}
	}
	for _, t := range tenancies {
		for _, st := range t.steps {
			c, ok := p.capacityFor(st)
			if !ok || st.openCount > 0 {
				continue
			}
			if a := s.findStraggler(now, host, st, c); a != nil {
				*out = append(*out, s.startAttempt(now, host, c, st, st.groups[st.groupOfSlot(a.slot)], a.slot, true))
				return 1
			}
		}
	}
	return 0
}

// tenanciesByServedTokens returns the tenancies with work that may use a pool, the least
// served first.
func (s *Scheduler) tenanciesByServedTokens(pool string) []*tenancyWork {
	var list []*tenancyWork
	for _, name := range slices.Sorted(maps.Keys(s.tenancies)) {
		if allowed := s.policies[name].Pool; len(s.tenancies[name].steps) > 0 && (allowed == "" || allowed == pool) {
			list = append(list, s.tenancies[name])
		}
	}
	slices.SortStableFunc(list, func(a, b *tenancyWork) int { return cmp.Compare(a.servedTokens, b.servedTokens) })
	return list
}

// leaseFromGroup leases up to free open slots of a group and returns their number.
func (s *Scheduler) leaseFromGroup(now time.Time, host string, c Capacity, st *stepWork, g *groupWork, free int, out *[]Work) int {
	n := min(free, len(g.openSlots))
	for range n {
		*out = append(*out, s.startAttempt(now, host, c, st, g, st.takeSlot(g, host), false))
	}
	return n
}

// startAttempt registers an attempt and charges its expected tokens to the tenancy.
func (s *Scheduler) startAttempt(now time.Time, host string, c Capacity, st *stepWork, g *groupWork, slot int, hedge bool) Work {
	s.attemptSeq++
	a := &attempt{number: s.term<<attemptTermShift | s.attemptSeq, step: st, slot: slot, host: host, startedAt: now,
		expiry: now.Add(s.leaseDuration(st, g)), chargedTokens: g.expectedTokens(), hedge: hedge}
	s.attempts[a.number] = a
	if s.attemptsByHost[host] == nil {
		s.attemptsByHost[host] = map[uint64]*attempt{}
	}
	s.attemptsByHost[host][a.number] = a
	heap.Push(&s.expiryQueue, a)
	st.addAttempt(a)
	st.tenancy.servedTokens += a.chargedTokens / s.weightOf(st.tenancy.name)
	s.stats.Leased++
	if hedge {
		s.stats.Hedged++
	}
	return Work{Tenancy: st.tenancy.name, Step: st.id, Slot: slot, Attempt: a.number, Group: g.index, Pool: c.Pool,
		Model: st.model, Prompt: g.prompt, MaxTokens: g.maxTokens, MinVersion: s.minVersion(st), Expiry: a.expiry,
		StepDeadline: st.deadline, Hedge: hedge}
}

// leaseDuration returns the lease of an attempt, which depends on the time to generate the
// maximum number of tokens.
func (s *Scheduler) leaseDuration(st *stepWork, g *groupWork) time.Duration {
	maxSeconds := s.expectedSeconds(st, float64(g.maxTokens))
	return min(max(time.Duration(maxSeconds*s.cfg.LeaseFactor*float64(time.Second)), s.cfg.MinLease), s.cfg.MaxLease)
}

func (s *Scheduler) expectedSeconds(st *stepWork, tokens float64) float64 {
	return tokens * s.estimateFor(st.model).secondsPerToken
}

// minVersion returns the oldest version within the staleness bound of a step.
func (s *Scheduler) minVersion(st *stepWork) uint64 {
	rate := st.tenancy.publications[st.model]
	if rate == nil || rate.version <= st.stalenessBound {
		return 1
	}
	return rate.version - st.stalenessBound
}

// tokenBudget returns the greatest expected length, in tokens, of a sample that may start now
// on the capacity's version so that it finishes within the staleness bound. If that version is
// too old already, the budget is negative infinity and the step is not marked as deferred.
//
// Otherwise the budget depends on the mean publication interval and on the tenancy's policy.
// Its staleness share sets how many publications beyond the bound are tolerated, and for which
// fraction of an interval work may be held back. That time is limited because a trainer that
// waits for the step publishes nothing.
func (s *Scheduler) tokenBudget(now time.Time, st *stepWork, c Capacity) float64 {
	rate := st.tenancy.publications[st.model]
	if rate == nil {
		return math.Inf(-1) // no version is published, so the ledger would reject any output
	}
	version := rate.version
	if c.Version != 0 {
		version = min(version, c.Version)
	}
	if version < s.minVersion(st) {
		return math.Inf(-1)
	}
	share := s.policies[st.tenancy.name].stalenessShare()
	interval := rate.meanInterval.Seconds()
	if interval <= 0 || share == 0 {
		return math.Inf(1)
	}
	if !st.deferredSince.IsZero() && now.Sub(st.deferredSince).Seconds() >= share*interval {
		return math.Inf(1)
	}
	publications := float64(st.stalenessBound) - float64(rate.version-version) + 2 - share
	return (publications*interval - now.Sub(rate.publishedAt).Seconds()) / s.expectedSeconds(st, 1)
}

// chooseGroup returns the group to lease from, or nil if no group fits the token budget. It
// marks the step as deferred if the budget excludes the first group of the queue.
func (s *Scheduler) chooseGroup(now time.Time, host string, st *stepWork, c Capacity) *groupWork {
	budget := s.tokenBudget(now, st, c)
	g := st.nextGroup(host, budget)
	if g == nil || st.groupQueue[0].expectedTokens() > budget {
		if !math.IsInf(budget, -1) && st.deferredSince.IsZero() {
			st.deferredSince = now
		}
		s.stats.Deferred++
	}
	return g
}

// findStraggler returns the oldest attempt of another host for which a second attempt pays
// off, or nil. An attempt that has run for time t is expected to run for about t more, as
// durations are heavy-tailed. The gain is the waiting time that a new attempt saves, the cost
// is its engine time. Second attempts bias the output towards shorter samples, so
// MaxHedgeShare keeps them rare.
func (s *Scheduler) findStraggler(now time.Time, host string, st *stepWork, c Capacity) *attempt {
	if float64(st.hedgeCount) >= max(1, s.cfg.MaxHedgeShare*float64(st.slotCount)) || now.Before(st.nextStragglerScan) {
		return nil
	}
	foundOwn := false
	budget := s.tokenBudget(now, st, c)
	idleShare := 1 - s.policies[st.tenancy.name].stalenessShare()
	examined := 0
	for e := st.running.Front(); e != nil && examined < maxStragglerScan; e = e.Next() {
		a := e.Value.(*attempt)
		examined++
		if len(st.attemptsBySlot[a.slot]) > 1 {
			continue
		}
		g := st.groups[st.groupOfSlot(a.slot)]
		expectedDuration := s.expectedSeconds(st, g.expectedTokens())
		elapsed := now.Sub(a.startedAt).Seconds()
		gain := (elapsed - expectedDuration) * idleShare
		if elapsed > s.cfg.StragglerFactor*expectedDuration && gain > expectedDuration*s.cfg.HedgeCostFactor && g.expectedTokens() <= budget {
			if a.host != host {
				return a
			}
			foundOwn = true
		}
	}
	if !foundOwn {
		st.nextStragglerScan = now.Add(stragglerScanInterval)
	}
	return nil
}
