// Package balance selects the target of a plain request from past results and reported load. It is
// designed for many entry hosts with few requests each, so that a host has few samples of a target,
// while targets crash, become slow or fail some of their requests although they appear healthy.
//
// The package is deterministic: time is an argument. A Balancer is not safe for concurrent use.
package balance

import (
	"slices"
	"strings"
	"time"

	"fuchsiaflow/capacity"
	"fuchsiaflow/fleet"
)

const (
	// initialBackoff is how long a target is avoided after a failure. It doubles with each
	// consecutive failure, up to maxBackoff.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// unavailableAfter is the number of consecutive failures from which a target in backoff is not
	// tried even if there is no other.
	unavailableAfter = 2
	// shedBackoff is how long a target is avoided after it shed a request.
	shedBackoff = 30 * time.Millisecond
	// latencySampleWeight is the weight of a new sample in the moving average of the latency.
	latencySampleWeight = 0.2
	// defaultLatency is the assumed latency of a target without a sample.
	defaultLatency = 30 * time.Millisecond
	// maxLoadAge is how long a reported load is used; its weight decreases linearly with its age.
	maxLoadAge = 500 * time.Millisecond
	// crossDomainCost is the cost of a target in another failure domain, and newConnectionCost that of
	// a target without an open connection, both as a fraction of the latency.
	crossDomainCost   = 0.05
	newConnectionCost = 0.15
	// limitedCost is the cost of a target that states a limit, as a fraction of the latency: the host may have to ask
	// for the request first.
	limitedCost = 0.15
	// crossDomainRetryCost replaces crossDomainCost for a request that has already tried a target in
	// another failure domain, because a network partition may separate the own domain from the others.
	crossDomainRetryCost = 1.0
)

// LoadReport is the load that a target reported.
type LoadReport = capacity.Load

// Outcome is how a request at a target ended.
type Outcome int

// The outcomes of a request.
const (
	OK Outcome = iota
	// Shed requests were rejected by the target, which did not run them.
	Shed
	// Failed requests got an error, an invalid or incomplete response, or none.
	Failed
	// Cancelled requests were cancelled before the target responded.
	Cancelled
)

// targetStats holds the results, the load and the backoff of one target.
type targetStats struct {
	inflight            int
	consecutiveFailures int
	backoffUntil        time.Time
	latency             time.Duration // moving average; 0 without a sample
	load                LoadReport    // as last reported
	loadReportedAt      time.Time
	estimate            estimate
}

// Balancer selects targets and keeps statistics about them.
type Balancer struct {
	Domain   string                  // own failure domain
	stats    map[string]*targetStats // by target ID
	services map[string]*serviceState
}

// New returns a balancer without statistics for a host in the given failure domain.
func New(domain string) *Balancer {
	return &Balancer{Domain: domain, stats: make(map[string]*targetStats), services: make(map[string]*serviceState)}
}

// statsFor returns the statistics of a target and creates them if necessary.
func (b *Balancer) statsFor(id string) *targetStats {
	s := b.stats[id]
	if s == nil {
		s = &targetStats{estimate: newEstimate()}
		b.stats[id] = s
	}
	return s
}

// Candidate is a target that Pick may select.
type Candidate struct {
	fleet.Target
	// Connected is true if a connection to the target is open.
	Connected bool
	// Limited is true if the target states a limit of requests a second.
	Limited bool
	// Preferred is true if the request shall go to this target unless it is in backoff, to learn whether its limit
	// holds on.
	Preferred bool
}

// Pick returns the candidate with the lowest expected latency that is not in tried. Targets in backoff
// are used only if there is no other, and not at all after unavailableAfter consecutive failures. If
// no candidate is usable, ok is false and wait is the time until the first backoff ends, or 0 if no
// candidate is in backoff.
func (b *Balancer) Pick(now time.Time, list []Candidate, tried []string) (c Candidate, wait time.Duration, ok bool) {
	c, refusal, ok := b.PickWithin(now, list, tried, 0)
	return c, refusal.Wait, ok
}

// Refusal tells why no candidate is usable.
type Refusal struct {
	// Wait is the time until the first candidate may be usable, or 0 if that is not known.
	Wait time.Duration
	// Overloaded is set if a candidate works but would not complete the request in time.
	Overloaded bool
}

// PickWithin is Pick for a request that must be complete within the time left; 0 means that there is no such time. Where
// choices use estimates and there are several candidates, those that are not expected to complete it in time are not used.
func (b *Balancer) PickWithin(now time.Time, list []Candidate, tried []string, left time.Duration) (Candidate, Refusal, bool) {
	var no Refusal
	best := -1
	var bestStats *targetStats
	var bestScore float64
	domainCost := b.domainCost(list, tried)
	service := b.reviewService(now, list)
	for i := range list {
		cand := &list[i]
		if slices.Contains(tried, cand.ID) {
			continue
		}
		s := b.statsFor(cand.ID)
		if s.consecutiveFailures >= unavailableAfter && now.Before(s.backoffUntil) {
			no.wait(s.backoffUntil.Sub(now))
			continue
		}
		if service.usesEstimates && len(list) > 1 {
			if excess := s.estimate.overload(now, s.inflight, left, service.reference); excess > 0 {
				no.wait(excess)
				no.Overloaded = true
				continue
			}
		}
		score := b.score(now, cand, s, domainCost, service)
		if best < 0 || score < bestScore || score == bestScore && strings.Compare(cand.ID, list[best].ID) < 0 {
			best, bestScore, bestStats = i, score, s
		}
	}
	if best < 0 {
		return Candidate{}, no, false
	}
	bestStats.estimate.sentAt = now
	return list[best], Refusal{}, true
}

// wait records that a candidate may be usable after a time.
func (r *Refusal) wait(d time.Duration) {
	if r.Wait == 0 || d < r.Wait {
		r.Wait = d
	}
}

// domainCost returns the cost of targets in other failure domains for a request that was already sent
// to the tried targets.
func (b *Balancer) domainCost(list []Candidate, tried []string) float64 {
	for i := range list {
		if c := &list[i]; c.Domain != b.Domain && slices.Contains(tried, c.ID) {
			return crossDomainRetryCost
		}
	}
	return crossDomainCost
}

// backoffPenalty ranks targets in backoff below all others, and preferred targets above.
const backoffPenalty = 1e6

// score returns the expected completion time in seconds, adjusted by costs and penalties; lower is better.
func (b *Balancer) score(now time.Time, c *Candidate, s *targetStats, domainCost float64, service *serviceState) float64 {
	cost := 0.0
	if c.Domain != b.Domain {
		cost += domainCost
	}
	if !c.Connected {
		cost += newConnectionCost
	}
	if c.Limited {
		cost += limitedCost
	}
	score := 0.0
	if service.usesEstimates {
		score = s.estimate.completion(now, s.inflight, cost, service.reference)
	} else {
		score = s.averageCompletion(now, c.Slots, cost)
	}
	if c.WarmupRemaining > 0 {
		score *= 2
	}
	if now.Before(s.backoffUntil) {
		score += backoffPenalty + s.backoffUntil.Sub(now).Seconds()
	} else if c.Preferred {
		score -= backoffPenalty
	}
	return score
}

// averageCompletion returns the expected time of a request in seconds by the average latency, if it grows in proportion to
// the load of the slots. cost is a fraction of the latency.
func (s *targetStats) averageCompletion(now time.Time, slots int, cost float64) float64 {
	latency := s.latency
	if latency == 0 {
		latency = defaultLatency
	}
	load := float64(s.inflight)
	if age := now.Sub(s.loadReportedAt); age < maxLoadAge && s.load.Slots > 0 {
		weight := 1 - float64(age)/float64(maxLoadAge)
		load = max(load, weight*float64(s.load.Running+s.load.Waiting))
	}
	return latency.Seconds() * (1 + cost + load/float64(max(slots, 1)))
}

// Started records that a request is being sent to a target. It returns the number of requests of this host in progress
// there, this one included.
func (b *Balancer) Started(id string) int {
	s := b.statsFor(id)
	s.inflight++
	return s.inflight
}

// Withdrawn records that a request that was recorded with Started has not been sent.
func (b *Balancer) Withdrawn(id string) { b.statsFor(id).inflight-- }

// RecordLoad records the load that a target reported.
func (b *Balancer) RecordLoad(now time.Time, id string, l LoadReport) {
	s := b.statsFor(id)
	s.load, s.loadReportedAt = l, now
	s.estimate.RecordLoad(now, s.inflight, l)
}

// Finished records the outcome of a request that was recorded with Started. latency is used for OK and
// Cancelled.
func (b *Balancer) Finished(now time.Time, id string, o Outcome, latency time.Duration) {
	b.FinishedAmong(now, id, o, latency, b.statsFor(id).inflight)
}

// FinishedAmong is Finished for a request of which the result of Started is known: the latency depends on the requests in
// progress when it started as well as when it ended.
func (b *Balancer) FinishedAmong(now time.Time, id string, o Outcome, latency time.Duration, started int) {
	s := b.statsFor(id)
	s.estimate.record(now, o, latency, float64(started+s.inflight)/2)
	s.inflight--
	switch o {
	case OK:
		s.consecutiveFailures = 0
		s.backoffUntil = time.Time{}
		s.recordLatency(latency)
	case Cancelled:
		// The target had not responded yet, so its latency is at least this.
		s.recordLatency(max(latency, s.latency))
	case Shed:
		s.backoffUntil = now.Add(shedBackoff)
	case Failed:
		s.backoffUntil = now.Add(min(initialBackoff<<min(s.consecutiveFailures, 5), maxBackoff))
		s.consecutiveFailures++
	}
}

// recordLatency adds a sample to the moving average, which starts at defaultLatency.
func (s *targetStats) recordLatency(latency time.Duration) {
	if s.latency == 0 {
		s.latency = defaultLatency
	}
	s.latency += time.Duration(latencySampleWeight * float64(latency-s.latency))
}

// Retain drops the statistics of all targets except the given ones and those with requests in flight.
func (b *Balancer) Retain(ids []string) {
	for id, s := range b.stats {
		if s.inflight == 0 && !slices.Contains(ids, id) {
			delete(b.stats, id)
		}
	}
}
