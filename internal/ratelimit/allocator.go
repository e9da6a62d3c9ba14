// Package ratelimit keeps the requests that all hosts together send to a target within the limit that the target
// states. The leader of the state group grants the requests of all targets with a limit (Allocator). Every host asks
// it before it sends (Limiter); only to targets that state a limit, and on demand, since hundreds of hosts share a
// few requests a second, so that any fixed part of a host would be too small for one request.
package ratelimit

import (
	"sync"
	"time"

	"fuchsiaflow/capacity"
	"fuchsiaflow/fleet"
	"fuchsiaflow/limits"
)

const (
	// quotaPeriod is the time for which a quota is granted: longer means a better use of small limits, shorter means
	// smaller bursts.
	quotaPeriod = 2 * time.Second
	// LeaseTTL is the time for which a host may use what it was granted. It exceeds a round trip between failure
	// domains and the pauses of a process with a fraction of a core.
	LeaseTTL = 200 * time.Millisecond
	// driftMargin covers the drift of clocks over LeaseTTL.
	driftMargin = 20 * time.Millisecond
	// rateTolerance is the relative change of a rate up to which the quota stays.
	rateTolerance = 0.1
	// idleTime is the time without a demand after which the state of a quota is dropped. All that was granted is out of
	// the window by then, also for the smallest rate.
	idleTime = 30 * time.Second
	// askerRetention is the time for which a host that was refused counts as one that asks.
	askerRetention = 2 * time.Second
)

// Demand is a message of a host to the leader: what it has learned of limits, and the share that it asks for.
type Demand struct {
	// Limits are statements of targets that this host has seen.
	Limits []fleet.RateLimit `cbor:"1,keyasint,omitempty"`
	// Limit is the limit of which a share is wanted; nil if the message only tells of limits.
	Limit *fleet.RateLimit `cbor:"2,keyasint,omitempty"`
	// Share is the demand for a share of Limit.
	Share limits.Demand `cbor:"3,keyasint"`
	// Capacity is what the host has learned of targets that it used, capacity.MaxStatements at most. Hosts of earlier builds
	// ignore it.
	Capacity []capacity.Statement `cbor:"4,keyasint,omitempty"`
}

// Grant is the answer to a Demand.
type Grant struct {
	Share limits.Share `cbor:"1,keyasint"`
	// Askers is the number of hosts that were refused requests of the quota lately.
	Askers int `cbor:"2,keyasint"`
}

// key names the quota of an incarnation of a target. It is the same for all of its rates.
type key struct {
	target      string
	incarnation int64
}

// quotaKey is the key within the allocator of one quota.
const quotaKey = "target"

// quota is the state of one limit.
type quota struct {
	rate      float64
	allocator *limits.Allocator
	usedAt    time.Time
	askers    map[string]time.Time // when each host was last refused
}

// Allocator grants the requests that targets with a limit take. Only the leader of the state group may use it, while
// it has a lease of its leadership. It is safe for concurrent use.
type Allocator struct {
	mu         sync.Mutex
	leadership Leadership // in which the quotas were made
	quotas     map[key]*quota
}

// NewAllocator returns an allocator that has granted nothing.
func NewAllocator() *Allocator { return &Allocator{quotas: make(map[key]*quota)} }

// quotaOf returns the requests that a rate allows in a window, and the length of the window.
func quotaOf(rate float64) (limits.Amount, time.Duration) {
	requests := max(int64(rate*quotaPeriod.Seconds()), 1)
	return limits.Amount{Requests: requests}, time.Duration(float64(requests) / rate * float64(time.Second))
}

// Leadership is the leadership under which an Allocator grants. Earlier leaders grant nothing from Since on.
type Leadership struct {
	Term  uint64
	Since time.Time
}

// Lease grants a host a share of a limit.
func (a *Allocator) Lease(now time.Time, by Leadership, host string, l *fleet.RateLimit, d limits.Demand) (Grant, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if by.Term != a.leadership.Term {
		a.leadership, a.quotas = by, make(map[key]*quota)
	}
	q := a.quotaFor(now, l)
	q.usedAt = now
	name := d.Key
	d.Key = quotaKey
	share, err := q.allocator.Lease(now, host, d)
	if err != nil {
		return Grant{}, err
	}
	share.Key = name
	q.recordAsker(now, host, !share.Held.Covers(d.Want))
	return Grant{Share: share, Askers: len(q.askers)}, nil
}

// quotaFor returns the quota of a limit.
func (a *Allocator) quotaFor(now time.Time, l *fleet.RateLimit) *quota {
	k := key{l.Target, l.Incarnation}
	q := a.quotas[k]
	if q != nil && l.Rate <= q.rate*(1+rateTolerance) && l.Rate >= q.rate*(1-rateTolerance) {
		return q
	}
	next := newQuota(l.Rate)
	if q != nil {
		next.askers = q.askers
		next.allocator.Charge(now, quotaKey, q.allocator.InUse(now, quotaKey))
	} else {
		a.dropIdle(now)
		a.chargeEarlierGrants(now, next)
	}
	a.quotas[k] = next
	return next
}

func newQuota(rate float64) *quota {
	amount, window := quotaOf(rate)
	return &quota{rate: rate, askers: make(map[string]time.Time), allocator: limits.NewAllocator(limits.AllocatorConfig{
		Quotas: map[string]limits.Amount{quotaKey: amount}, Window: window, LeaseTTL: LeaseTTL, DriftMargin: driftMargin})}
}

// chargeEarlierGrants charges what an earlier leader may have granted, which this one does not know, as if it had granted
// the whole quota evenly. Charging all of it at the end of the earlier leadership would refuse all requests for a
// window after each election.
func (a *Allocator) chargeEarlierGrants(now time.Time, q *quota) {
	amount, window := quotaOf(q.rate)
	lastUse := a.leadership.Since.Add(LeaseTTL)
	if !now.Before(lastUse.Add(window)) {
		return
	}
	parts := min(amount.Requests, maxChargeParts)
	part := limits.Amount{Requests: (amount.Requests + parts - 1) / parts}
	for i := parts - 1; i >= 0; i-- {
		q.allocator.Charge(lastUse.Add(-time.Duration(i)*window/time.Duration(parts)), quotaKey, part)
	}
}

// maxChargeParts bounds the parts in which the grants of an earlier leader are charged.
const maxChargeParts = 50

// dropIdle drops the quotas that nobody has asked for in idleTime.
func (a *Allocator) dropIdle(now time.Time) {
	for k, q := range a.quotas {
		if now.Sub(q.usedAt) > idleTime {
			delete(a.quotas, k)
		}
	}
}

// recordAsker records whether a host was refused requests, and forgets hosts that no longer ask.
func (q *quota) recordAsker(now time.Time, host string, refused bool) {
	if refused {
		q.askers[host] = now
	}
	for h, at := range q.askers {
		if now.Sub(at) > askerRetention {
			delete(q.askers, h)
		}
	}
}
