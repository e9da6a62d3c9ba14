// Package balance chooses the target of a plain request and learns from the results. The load it
// answers: few requests at each of many entry hosts, so that a host sees a target rarely, while
// targets crash, turn slow or fail part of their requests although they look healthy.
//
// The package is pure: time is an argument. A Balancer is not safe for concurrent use.
package balance

import (
	"slices"
	"strings"
	"time"

	"fuchsiaflow/fleet"
)

const (
	// firstPause is the time for which a target is avoided after a failure; it doubles with
	// each failure in a row up to maxPause.
	firstPause = 300 * time.Millisecond
	maxPause   = 2 * time.Second
	// lostAfter is the number of failures in a row after which a paused target is not tried
	// even when there is no other.
	lostAfter = 2
	// shedPause is the time for which a target that was full is avoided.
	shedPause = 30 * time.Millisecond
	// latencyShare is the weight of a new measurement in the average latency.
	latencyShare = 0.2
	// priorLatency stands for the latency of a target without a measurement.
	priorLatency = 30 * time.Millisecond
	// loadAge is how long a reported load is trusted; it counts less the older it is.
	loadAge = 500 * time.Millisecond
	// otherDomain is the cost of leaving the own failure domain, and coldConnection that of a
	// new connection, both as a share of the latency.
	otherDomain    = 0.05
	coldConnection = 0.15
	// silentDomain is the cost of leaving the own failure domain for a request that has waited in
	// vain for a target of another one: the own domain may be cut off from all others.
	silentDomain = 1.0
)

// LoadReport is what a target reported about itself.
type LoadReport struct{ Running, Waiting, Slots int }

// Outcome is how a request at a target ended.
type Outcome int

// The outcomes.
const (
	OK Outcome = iota
	// Shed requests were refused by the target as not run.
	Shed
	// Failed requests got a failure, a broken answer or none.
	Failed
	// Cancelled requests were given up before the target answered.
	Cancelled
)

type stats struct {
	inflight    int
	failures    int
	pausedUntil time.Time
	latency     time.Duration
	load        LoadReport
	loadAt      time.Time
}

// Balancer holds what is known of the targets by their ids.
type Balancer struct {
	Domain string // own failure domain
	stats  map[string]*stats
}

// New returns a balancer without knowledge.
func New(domain string) *Balancer { return &Balancer{Domain: domain, stats: make(map[string]*stats)} }

func (b *Balancer) of(id string) *stats {
	s := b.stats[id]
	if s == nil {
		s = &stats{}
		b.stats[id] = s
	}
	return s
}

// Candidate is a target that may be chosen.
type Candidate struct {
	fleet.Target
	// Connected tells that a connection to the target is open.
	Connected bool
}

// Pick returns the candidate with the least expected latency. Targets that failed recently are
// used only when there is no other, and those that failed several times in a row not before
// their pause ends. Without a candidate ok is false, and wait tells when one can be tried again;
// 0 if there is none.
func (b *Balancer) Pick(now time.Time, list []Candidate, tried []string) (c Candidate, wait time.Duration, ok bool) {
	best := -1
	var bestScore float64
	leave := b.costToLeave(list, tried)
	for i, cand := range list {
		if slices.Contains(tried, cand.ID) {
			continue
		}
		if s := b.of(cand.ID); s.failures >= lostAfter && now.Before(s.pausedUntil) {
			if left := s.pausedUntil.Sub(now); wait == 0 || left < wait {
				wait = left
			}
			continue
		}
		score := b.score(now, &cand, leave)
		if best < 0 || score < bestScore || score == bestScore && strings.Compare(cand.ID, list[best].ID) < 0 {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return Candidate{}, wait, false
	}
	return list[best], 0, true
}

// costToLeave returns the cost of a target in another failure domain for a request that was sent to
// the tried targets before.
func (b *Balancer) costToLeave(list []Candidate, tried []string) float64 {
	for _, c := range list {
		if c.Domain != b.Domain && slices.Contains(tried, c.ID) {
			return silentDomain
		}
	}
	return otherDomain
}

// penalty puts paused targets behind all others.
const penalty = 1e6

func (b *Balancer) score(now time.Time, c *Candidate, leave float64) float64 {
	s := b.of(c.ID)
	latency := s.latency
	if latency == 0 {
		latency = priorLatency
	}
	factor := 1.0
	if c.Domain != b.Domain {
		factor += leave
	}
	if !c.Connected {
		factor += coldConnection
	}
	slots := max(c.Slots, 1)
	busy := float64(s.inflight)
	if age := now.Sub(s.loadAt); age < loadAge && s.load.Slots > 0 {
		fresh := 1 - float64(age)/float64(loadAge)
		busy = max(busy, fresh*float64(s.load.Running+s.load.Waiting))
	}
	score := latency.Seconds() * (factor + busy/float64(slots))
	if c.WarmupRemaining > 0 {
		score *= 2
	}
	if now.Before(s.pausedUntil) {
		score += penalty + s.pausedUntil.Sub(now).Seconds()
	}
	return score
}

// Started counts a request at a target.
func (b *Balancer) Started(id string) { b.of(id).inflight++ }

// RecordLoad takes in the load that a target reported.
func (b *Balancer) RecordLoad(now time.Time, id string, l LoadReport) {
	s := b.of(id)
	s.load, s.loadAt = l, now
}

// Finished takes in the end of a request.
func (b *Balancer) Finished(now time.Time, id string, o Outcome, latency time.Duration) {
	s := b.of(id)
	s.inflight--
	switch o {
	case OK:
		s.failures = 0
		s.pausedUntil = time.Time{}
		s.learn(latency)
	case Cancelled:
		// The target had not answered by then, so its latency is at least this.
		s.learn(max(latency, s.latency))
	case Shed:
		s.pausedUntil = now.Add(shedPause)
	case Failed:
		s.pausedUntil = now.Add(min(firstPause<<min(s.failures, 5), maxPause))
		s.failures++
	}
}

func (s *stats) learn(latency time.Duration) {
	if s.latency == 0 {
		s.latency = priorLatency
	}
	s.latency += time.Duration(latencyShare * float64(latency-s.latency))
}

// Retain forgets all targets but the given ones.
func (b *Balancer) Retain(ids []string) {
	for id, s := range b.stats {
		if s.inflight == 0 && !slices.Contains(ids, id) {
			delete(b.stats, id)
		}
	}
}
