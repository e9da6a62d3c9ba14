package capacity

import (
	"math"
	"time"
)

const (
	// initialTrust is the trust in the statements of a target before any result has confirmed or refuted them.
	initialTrust = 0.8
	// trustLoss and trustGain are the changes of the trust with a result that a statement predicted worse, or better,
	// than results alone. It is lost faster, so that a false statement does no harm for long.
	trustLoss = 0.2
	trustGain = 0.05
	// minPredictionGap is the least difference of the logarithms of two predictions from which a result changes the trust.
	minPredictionGap = 0.15
	// averageWeight is the weight of a statement in the average that stands in for one that is out of date.
	averageWeight = 0.2
	// maxStatedRequests bounds the requests that a target states.
	maxStatedRequests = 1000
)

// stated is what a target last stated, and how far it is believed.
type stated struct {
	at            time.Time
	others        float64 // requests beside those of this host
	average       float64 // moving average of others
	percent       float64 // slowness as a factor; 0 if not stated
	loadTrust     float64
	slownessTrust float64
}

func newStated() stated { return stated{loadTrust: initialTrust, slownessTrust: initialTrust} }

// RecordLoad records the load that the target states while this host has own requests in progress there.
func (e *Estimator) RecordLoad(now time.Time, own int, l Load) {
	s := &e.stated
	s.at = now
	s.others = min(max(float64(l.Running)+float64(l.Waiting)-float64(own), 0), maxStatedRequests)
	s.average += averageWeight * (s.others - s.average)
	s.percent = 0
	if l.SlownessPercent > 0 {
		s.percent = min(max(float64(l.SlownessPercent)/100, minSlowness), maxSlowness)
	}
	if l.Slots > 0 && e.curve.slots != float64(l.Slots) {
		e.curve.slots = float64(l.Slots)
		e.curve.compute(now, e.priorKnee(now))
	}
}

// othersAt returns the number of requests of other hosts that are expected at the target: as last stated, and their average
// once that is out of date, because hosts that see an idle target at the same time would all use it.
func (s *stated) othersAt(now time.Time) float64 {
	age := now.Sub(s.at)
	if s.average == 0 || age >= maxAge {
		return 0
	}
	weight := linearWeight(age, statedAge)
	return s.loadTrust * (weight*s.others + (1-weight)*ageWeight(age)*s.average)
}

// slownessAt returns the slowness that the target states as far as it is believed, as a factor.
func (s *stated) slownessAt(now time.Time) float64 {
	if s.percent == 0 {
		return 1
	}
	return 1 + (s.percent-1)*s.slownessTrust*linearWeight(now.Sub(s.at), statedAge)
}

// updateTrust compares a result with the predictions with and without the statements, and changes the trust in them.
func (s *stated) updateTrust(now time.Time, e *Estimator, own, seconds float64) {
	if e.count < reliableCount || now.Sub(s.at) >= statedAge {
		return
	}
	without := e.base * e.curve.growthAt(own)
	if s.percent > 0 {
		s.slownessTrust = adjustTrust(s.slownessTrust, seconds, without*s.percent, without)
	}
	if s.others > 0 {
		without *= e.Slowness(now)
		withOthers := without * e.curve.growthAt(own+s.others) / e.curve.growthAt(own)
		s.loadTrust = adjustTrust(s.loadTrust, seconds, withOthers, without)
	}
}

// adjustTrust returns the trust in a statement after a result that took some seconds, with the predictions with the statement
// and without it.
func adjustTrust(trust, seconds, with, without float64) float64 {
	if math.Abs(math.Log(with/without)) < minPredictionGap {
		return trust
	}
	if math.Abs(math.Log(seconds/with)) <= math.Abs(math.Log(seconds/without)) {
		return min(trust+trustGain, 1)
	}
	return max(trust-trustLoss, 0)
}
