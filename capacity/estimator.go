package capacity

import (
	"math"
	"time"
)

const (
	// windowSize is the number of results whose median is the present latency. With 5, two expensive requests in a row
	// do not make a target slow, and the third slow result does.
	windowSize = 5
	// minWindow is the number of values of which a median is taken at least; the usual latency stands in for those that
	// are missing, so that one expensive request never makes a target slow.
	minWindow = 3
	// separationAge is the age of the last result up to which the median separates slowness from growth.
	separationAge = 1500 * time.Millisecond
	// statedAge is how long a statement of the target counts; its weight decreases linearly. It is short because load and
	// slowness change many times a second.
	statedAge = 500 * time.Millisecond
	// resultWeight is the least weight of a result in the moving averages. The first results weigh more.
	resultWeight = 0.1
	// maxInfluence bounds the logarithm of a result's ratio to the expected latency: a result moves an average by no
	// more than one that took 1.65 times as long.
	maxInfluence = 0.5
	// reliableCount is the number of results from which a latency is reliable.
	reliableCount = 5
	// oldOwnWeight is the weight of own results that are older than any weight of a shared statement, and
	// referenceWeight that of the latency of the other targets. With both, a target that was slow is tried again.
	oldOwnWeight    = 0.1
	referenceWeight = 0.05
	// usualRange is the factor up to which the median is above or below the usual latency by chance. Only what exceeds it
	// is slowness.
	usualRange = 1.15
	// minSlowness and maxSlowness bound the stated and the learned slowness, as factors.
	minSlowness = 0.1
	maxSlowness = 20
	// refusedGrowth is the assumed growth of the latency at a number of requests at which the target refuses more.
	refusedGrowth = 2
)

// Load is the load that a target states: its running and waiting requests and its slots. SlownessPercent is how long work
// takes on its machine at this moment, 100 as usual, and 0 if the target does not state it.
type Load struct{ Running, Waiting, Slots, SlownessPercent int }

// sample is the result of one request, scaled to one request at a time.
type sample struct {
	seconds float64
	at      time.Time
}

// Estimator estimates the capacity of one incarnation of a target. The zero value is not usable; see NewEstimator.
type Estimator struct {
	curve curve

	base     float64 // usual latency at one request in seconds, a moving average; 0 without a result
	count    int     // results
	resultAt time.Time
	// usual has the logarithms of latencies scaled to one request and to the usual speed, and slowdown those of latencies
	// at the usual speed, by the number of requests.
	usual, slowdown evidence

	window [windowSize]sample
	next   int     // index in window of the next result
	recent float64 // slowness by the median of the window, as a factor of base

	stated stated
	shared Statement // of other hosts
	// sharedAt is when the newest evidence of shared was observed.
	sharedAt time.Time
}

// NewEstimator returns an estimator without a result for a target with a number of slots, 0 if it is not known.
// fullSlowdown is the assumed relative increase of the latency when all slots are in use, which results replace.
func NewEstimator(slots int, fullSlowdown float64) *Estimator {
	e := &Estimator{recent: 1, stated: newStated()}
	e.curve = newCurve(slots, fullSlowdown)
	return e
}

// SetSlots sets the number of slots that the target is known to have, if it has not stated any.
func (e *Estimator) SetSlots(slots int) {
	if e.stated.at.IsZero() && slots > 0 && e.curve.slots != float64(slots) {
		e.curve.slots = float64(slots)
		e.curve.computedAt = time.Time{}
	}
}

// RecordResult records that a request took a latency while concurrency requests, itself included, were in progress.
func (e *Estimator) RecordResult(now time.Time, concurrency float64, latency time.Duration) {
	if latency <= 0 {
		return
	}
	e.stated.updateTrust(now, e, concurrency, latency.Seconds())
	concurrency += e.stated.othersAt(now)
	e.record(now, concurrency, latency.Seconds())
}

// RecordBound records that a request was cancelled, so that it would have taken longer than latency. It says nothing if that
// is less than expected.
func (e *Estimator) RecordBound(now time.Time, concurrency float64, latency time.Duration) {
	concurrency += e.stated.othersAt(now)
	if e.count == 0 || latency.Seconds() <= e.base*e.Slowness(now)*e.curve.growthAt(concurrency) {
		return
	}
	e.record(now, concurrency, latency.Seconds())
	e.addToWindow(now, latency.Seconds()/e.curve.growthAt(concurrency)) // counts twice, as it took longer than that
}

// RecordRefusal records that the target refused a request, which was the given one of those in progress.
func (e *Estimator) RecordRefusal(now time.Time, concurrency float64) {
	e.curve.recordAtLeast(now, concurrency+e.stated.othersAt(now), refusedGrowth)
	e.curve.compute(now, e.priorKnee(now))
}

// record adds a result at a number of requests that includes those of other hosts.
func (e *Estimator) record(now time.Time, concurrency, seconds float64) {
	slowness := e.windowSlowness(now, e.Slowness(now))
	growth := e.curve.growthAt(concurrency)
	scaled := seconds / growth
	if e.base > 0 {
		e.curve.record(now, concurrency, clip(math.Log(scaled/(e.base*slowness))))
	}
	e.recordEvidence(concurrency, seconds/e.stated.slownessAt(now), growth)
	e.recordBase(scaled/e.stated.slownessAt(now), 1/math.Sqrt(max(concurrency, 1)))
	e.addToWindow(now, scaled)
	e.resultAt = now
	e.curve.compute(now, e.priorKnee(now))
}

// recordEvidence adds the latency of a result, scaled to the usual speed, to the averages that tell targets apart. Learned
// growth counts only if the evidence for it exceeds chance.
func (e *Estimator) recordEvidence(concurrency, seconds, growth float64) {
	e.slowdown.add(concurrency, math.Log(seconds))
	if e.slowdown.increases() {
		seconds /= growth
	}
	e.usual.add(0, math.Log(seconds))
}

// recordBase adds the latency of a result, scaled to one request and to the usual speed, to the moving average. influence is
// less than 1 for a result at many requests, since it depends on the learned growth.
func (e *Estimator) recordBase(seconds, influence float64) {
	e.count++
	if e.count == 1 {
		e.base = seconds
		return
	}
	weight := influence * max(resultWeight, 1/float64(e.count))
	distance := clip(math.Log(seconds / e.base))
	e.base *= math.Exp(weight * distance)
}

// clip bounds the logarithm of a ratio by maxInfluence.
func clip(logRatio float64) float64 { return min(max(logRatio, -maxInfluence), maxInfluence) }

// addToWindow adds a result to the window and computes the slowness.
func (e *Estimator) addToWindow(now time.Time, seconds float64) {
	e.window[e.next] = sample{seconds, now}
	e.next = (e.next + 1) % windowSize
	var values [windowSize]float64
	n := 0
	for _, s := range e.window {
		if !s.at.IsZero() && now.Sub(s.at) < maxAge {
			values[n] = s.seconds
			n++
		}
	}
	for n < minWindow {
		values[n] = e.base
		n++
	}
	ratio := min(max(median(values[:n])/e.base, minSlowness), maxSlowness)
	switch {
	case ratio > usualRange:
		e.recent = ratio / usualRange
	case ratio < 1/usualRange:
		e.recent = ratio * usualRange
	default:
		e.recent = 1
	}
}

// median returns the median of a few values, which it sorts; of an even number the smaller one in the middle.
func median(values []float64) float64 {
	for i := 1; i < len(values); i++ {
		for k := i; k > 0 && values[k] < values[k-1]; k-- {
			values[k], values[k-1] = values[k-1], values[k]
		}
	}
	return values[(len(values)-1)/2]
}

// windowSlowness returns the slowness by which growth is separated from slowness: that of recent results if there are
// any, else the given one.
func (e *Estimator) windowSlowness(now time.Time, slowness float64) float64 {
	if now.Sub(e.resultAt) < separationAge {
		return e.recent
	}
	return slowness
}

// Slowness returns how many times longer than usual a request takes now, by results and by what the target states.
func (e *Estimator) Slowness(now time.Time) float64 {
	own := 1 + (e.recent-1)*ageWeight(now.Sub(e.resultAt))
	if e.stated.percent == 0 {
		return own
	}
	weight := e.stated.slownessTrust * linearWeight(now.Sub(e.stated.at), statedAge)
	return weight*e.stated.percent + (1-weight)*own
}

// linearWeight decreases linearly with the age, from 1 to 0 at maxAge.
func linearWeight(age, maxAge time.Duration) float64 {
	if age >= maxAge {
		return 0
	}
	return 1 - float64(max(age, 0))/float64(maxAge)
}

// HasEvidence reports whether own results or a statement of another host tell the latency of the target.
func (e *Estimator) HasEvidence(now time.Time) bool {
	return e.count > 0 || e.sharedWeight(now) > 0
}

// Latency returns the expected latency at one request, in seconds. reference is the latency of the other targets, which
// stands in for missing evidence.
func (e *Estimator) Latency(now time.Time, reference float64) float64 {
	return e.BaseLatency(now, reference) * e.Slowness(now)
}

// UsualLatency returns the latency at one request at the usual speed of the target by own results, in seconds; 0 if there
// are less than reliableCount.
func (e *Estimator) UsualLatency() float64 {
	if e.count < reliableCount {
		return 0
	}
	return e.base
}

// BaseLatency returns the expected latency at one request at the usual speed of the target, in seconds, by own results and
// statements of other hosts. reference is as in Latency.
func (e *Estimator) BaseLatency(now time.Time, reference float64) float64 {
	if e.count == 0 && e.sharedAt.IsZero() {
		return reference
	}
	age := now.Sub(e.resultAt)
	own := 0.0
	if e.count > 0 {
		own = min(float64(e.count)/reliableCount, 1) * max(ageWeight(age), oldOwnWeight)
	}
	shared := e.sharedWeight(now)
	other := referenceWeight * (1 - max(ageWeight(age), shared))
	if own+shared == 0 {
		return reference
	}
	if reference == 0 {
		other = 0
	}
	return (own*e.base + shared*e.shared.Latency.Seconds() + other*reference) / (own + shared + other)
}

// Expected returns the expected time of a request that starts now at the target beside own requests of this host and those
// of others that the target states, in seconds: the latency at that number of requests, with the time in queue beyond the
// knee. reference is as in Latency.
func (e *Estimator) Expected(now time.Time, own int, reference float64) float64 {
	return e.Latency(now, reference) * e.curve.growthAt(e.Concurrency(now, own)+1)
}

// Concurrency returns the expected number of requests in progress at the target if this host has the given number.
func (e *Estimator) Concurrency(now time.Time, own int) float64 {
	return float64(own) + e.stated.othersAt(now)
}

// Growth returns how many times longer a request takes at a number of concurrent requests than alone.
func (e *Estimator) Growth(concurrency float64) float64 { return e.curve.growthAt(concurrency) }

// Knee returns the number of concurrent requests beyond which a further one adds less than a quarter of the throughput of
// the first.
func (e *Estimator) Knee() float64 { return e.curve.knee }

// SlowsDown reports whether results show that the target slows down before its slots are in use.
func (e *Estimator) SlowsDown() bool { return e.curve.slowsDown() && e.slowdown.increases() }

// StatesSlowness reports whether the target states its slowness.
func (e *Estimator) StatesSlowness() bool { return e.stated.percent > 0 }

// isComparable reports whether there are enough results to tell the target from another one; see differsFrom.
func (e *Estimator) isComparable() bool { return e.count >= minComparable }

// differsFrom reports whether results show that the usual latencies of two targets differ by more than the factor.
func (e *Estimator) differsFrom(o *Estimator, factor float64) bool {
	return e.isComparable() && o.isComparable() && e.usual.distance(&o.usual) > math.Log(factor)
}

// Refresh updates the growth and the knee for the present age of the results behind them.
func (e *Estimator) Refresh(now time.Time) {
	if now.Sub(e.curve.computedAt) >= refreshInterval {
		e.curve.compute(now, e.priorKnee(now))
	}
}

// refreshInterval is how often the age of results is taken into account.
const refreshInterval = 250 * time.Millisecond
