package balance

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/capacity"
)

const (
	// speedClassFactor is the factor between the latencies of two targets from which a service has several classes of
	// speed, so that choices use the estimates.
	speedClassFactor = 4.0 / 3
	// reviewInterval is how often a service is reviewed for that, and estimatesFor how long its choices use the
	// estimates after the last review that found a reason.
	reviewInterval = 200 * time.Millisecond
	estimatesFor   = 10 * time.Second
	// crowdingCost is the cost of a target whose requests reach its knee, as a multiple of the latency, for what a request
	// delays others. With a value below 1, many hosts that see few of the requests send too many of them to the fastest
	// target.
	crowdingCost = 2.0
	// probeInterval is how often a target gets a request that it is not expected to complete in time, because only
	// results can show that it would.
	probeInterval = 300 * time.Millisecond
	// minOverloadWait is the least time until an overloaded target is tried again.
	minOverloadWait = 20 * time.Millisecond
	// notableChange is the factor from which a changed estimate is reported by Changes, and maxChanges bounds a report.
	notableChange = 4.0 / 3
	maxChanges    = 16
)

// serviceState is what the choices among the targets of one service rest on.
type serviceState struct {
	usesEstimates bool
	until         time.Time // when choices stop using estimates unless a review finds a reason
	reviewedAt    time.Time
	reference     float64 // latency that is expected of a target without evidence, in seconds
}

// estimate is the estimated capacity of one incarnation of a target.
type estimate struct {
	*capacity.Estimator
	incarnation   int64
	shared        bool      // other hosts use what this one learns
	hasNewResults bool      // there were results since the last statement
	statedAt      time.Time // when the last statement was made
	base          float64   // latency at one request and usual speed as of the last review, in seconds; 0 after a later result
	sentAt        time.Time // when the last request was sent
	loggedKnee    float64   // as last reported by Changes; 0 before
	logged        float64   // latency in seconds as last reported by Changes
}

func newEstimate() estimate { return estimate{Estimator: capacity.NewEstimator(0, 0)} }

// record passes the outcome of a request on to the estimator. concurrency is the number of requests of this host that were
// in progress, this one included.
func (e *estimate) record(now time.Time, o Outcome, latency time.Duration, concurrency float64) {
	switch o {
	case OK:
		e.RecordResult(now, concurrency, latency)
		e.hasNewResults, e.base = true, 0
	case Cancelled:
		e.RecordBound(now, concurrency, latency)
		e.hasNewResults, e.base = true, 0
	case Shed:
		e.RecordRefusal(now, concurrency)
	case Failed: // says nothing about the capacity
	}
}

// completion returns the expected time of a request in seconds: the latency with the requests in progress, the time in
// queue beyond the knee included. cost is a fraction of the latency.
func (e *estimate) completion(now time.Time, inflight int, cost, reference float64) float64 {
	concurrency := e.Concurrency(now, inflight)
	growth := e.Growth(concurrency + 1)
	base := e.base
	if base == 0 {
		base = e.BaseLatency(now, reference)
	}
	return base * e.Slowness(now) * (growth + cost + crowdingCost*concurrency/e.Knee())
}

// overload returns how much longer than the time left a request is expected to take at the target; 0 if it may be sent.
func (e *estimate) overload(now time.Time, inflight int, left time.Duration, reference float64) time.Duration {
	if left <= 0 || !e.HasEvidence(now) || now.Sub(e.sentAt) >= probeInterval {
		return 0
	}
	excess := inDuration(e.Expected(now, inflight, reference)) - left
	if excess <= 0 {
		return 0
	}
	return max(excess, minOverloadWait)
}

// reviewService returns the state of the service of the candidates. From time to time it reviews whether their choice uses
// the estimates.
func (b *Balancer) reviewService(now time.Time, list []Candidate) *serviceState {
	if len(list) == 0 {
		return &noService
	}
	service := b.services[list[0].Service]
	if service == nil {
		service = &serviceState{}
		b.services[list[0].Service] = service
	}
	if !service.reviewedAt.IsZero() && now.Sub(service.reviewedAt) < reviewInterval {
		return service
	}
	service.reviewedAt = now
	b.review(now, service, list)
	return service
}

// noService is the state of a service without candidates.
var noService serviceState

// review decides whether choices among the candidates use the estimates: if a target states its slowness or slows down
// with load, or if two differ in speed.
func (b *Balancer) review(now time.Time, service *serviceState, list []Candidate) {
	var extremes capacity.Extremes
	reason, rates, known := false, 0.0, 0
	for i := range list {
		e := b.currentEstimate(now, &list[i])
		reason = reason || e.StatesSlowness() || e.SlowsDown()
		if !e.HasEvidence(now) {
			continue
		}
		latency := e.Latency(now, 0)
		rates += 1 / latency
		known++
		extremes.Add(e.Estimator, latency)
	}
	service.reference = defaultLatency.Seconds()
	if known > 0 {
		service.reference = float64(known) / rates
	}
	if reason || extremes.Differ(speedClassFactor) {
		service.until = now.Add(estimatesFor)
	}
	service.usesEstimates = now.Before(service.until)
	for i := range list {
		e := &b.statsFor(list[i].ID).estimate
		e.shared, e.base = service.usesEstimates, e.BaseLatency(now, service.reference)
	}
}

// currentEstimate returns the estimate of the incarnation of a candidate. What was learned of an earlier one is dropped.
func (b *Balancer) currentEstimate(now time.Time, c *Candidate) *estimate {
	e := &b.statsFor(c.ID).estimate
	if e.incarnation != c.Incarnation {
		if e.incarnation != 0 {
			e.Estimator = capacity.NewEstimator(c.Slots, 0)
		}
		e.incarnation = c.Incarnation
	}
	e.SetSlots(c.Slots)
	e.Refresh(now)
	return e
}

// Statements returns what this host has learned since its last statements of targets whose estimates are in use, at most
// capacity.MaxStatements, those that waited longest first.
func (b *Balancer) Statements(now time.Time) []capacity.Statement {
	var ids []string
	for id, s := range b.stats {
		if s.estimate.shared && s.estimate.hasNewResults && s.estimate.incarnation != 0 {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y string) int {
		return cmp.Or(b.stats[x].estimate.statedAt.Compare(b.stats[y].estimate.statedAt), strings.Compare(x, y))
	})
	var list []capacity.Statement
	for _, id := range ids[:min(len(ids), capacity.MaxStatements)] {
		e := &b.stats[id].estimate
		e.hasNewResults, e.statedAt = false, now
		if s, ok := e.Statement(now, id, e.incarnation); ok {
			list = append(list, s)
		}
	}
	return list
}

// Learn records what other hosts have learned of targets.
func (b *Balancer) Learn(now time.Time, list []capacity.Statement) {
	for _, s := range list {
		e := &b.statsFor(s.Target).estimate
		if e.incarnation == 0 {
			e.incarnation = s.Incarnation
		}
		if e.incarnation == s.Incarnation {
			e.Estimator.Learn(now, s)
		}
	}
}

// Change is an estimate that has changed notably since the last report, with its earlier values.
type Change struct {
	Target                    string
	Latency, PreviousLatency  time.Duration
	Knee, PreviousKnee        float64
	SlownessPercent, InFlight int
}

// Changes returns the estimates in use that have changed by notableChange since they were last returned, maxChanges at
// most, ordered by target.
func (b *Balancer) Changes(now time.Time) []Change {
	var list []Change
	for id, s := range b.stats {
		e := &s.estimate
		if !e.shared || !e.HasEvidence(now) {
			continue
		}
		latency, knee := e.Latency(now, 0), e.Knee()
		if !changedNotably(latency, e.logged) && !changedNotably(knee, e.loggedKnee) || len(list) >= maxChanges {
			continue
		}
		list = append(list, Change{Target: id, Latency: inDuration(latency), PreviousLatency: inDuration(e.logged), Knee: knee, PreviousKnee: e.loggedKnee,
			SlownessPercent: int(math.Round(100 * e.Slowness(now))), InFlight: s.inflight})
		e.logged, e.loggedKnee = latency, knee
	}
	slices.SortFunc(list, func(x, y Change) int { return strings.Compare(x.Target, y.Target) })
	return list
}

// changedNotably reports whether a value differs by notableChange from an earlier one.
func changedNotably(value, previous float64) bool {
	return value > previous*notableChange || value*notableChange < previous
}

func inDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second)).Round(time.Microsecond)
}

// EstimateCounts summarizes the estimates in use.
type EstimateCounts struct {
	// Targets is the number of targets with an estimate in use, Slow that of those which take 1.5 times as long as usual
	// now, and Narrow that of those whose knee is below three quarters of their slots.
	Targets, Slow, Narrow int
}

// slowFactor is the slowness from which a target counts as slow.
const slowFactor = 1.5

// CountEstimates returns the numbers of targets with an estimate in use.
func (b *Balancer) CountEstimates(now time.Time) (c EstimateCounts) {
	for _, s := range b.stats {
		if !s.estimate.shared {
			continue
		}
		c.Targets++
		if s.estimate.Slowness(now) >= slowFactor {
			c.Slow++
		}
		if s.estimate.SlowsDown() {
			c.Narrow++
		}
	}
	return c
}
