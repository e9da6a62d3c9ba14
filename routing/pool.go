package routing

import (
	"slices"
	"time"
)

const (
	refreshInterval = time.Second
	// deskConcurrencyDecay is the factor by which the peak desk concurrency decays in each refresh.
	// With one refresh per second, the peak halves in about 30 s.
	deskConcurrencyDecay = 0.977
	// deskPerReservedTarget is the number of concurrent desk requests for which one target is reserved.
	// At 4, reserved targets took so much capacity from samples that trainers waited 1.5 times as long.
	deskPerReservedTarget = 6
)

// pool holds the queues, the endpoints and the statistics of a pool of targets.
type pool struct {
	name            string
	maxDeskSlowdown float64
	endpoints       []*Endpoint
	free            []*Endpoint // endpoints that are not leaving or suspended and have room in their window
	probeCandidates []*Endpoint // suspended and silent endpoints
	desk            classQueue
	sample          classQueue
	expiry          expiryHeap

	tokenTime         movingAverage // seconds per token
	firstToken        movingAverage // seconds
	tokenTimeFit      linearFit     // seconds per token as a function of the load of a target
	reservedLoadLimit int           // load below which a reserved target receives samples
	deskInflight      int
	deskConcurrency   float64 // decaying maximum of the queued and running desk requests
	totalWindow       int     // sum of the windows of healthy endpoints at the last refresh
	refreshedAt       time.Time
	lastSampleAt      time.Time
}

func (p *pool) queueFor(k Kind) *classQueue {
	if k == Desk {
		return &p.desk
	}
	return &p.sample
}

func (p *pool) queued() int { return p.desk.queued + p.sample.queued }

// expectedServiceTime returns the expected time from dispatch to the end of a request in this pool.
func (p *pool) expectedServiceTime(tokens int) time.Duration {
	return time.Duration((p.firstToken.value + p.tokenTime.value*float64(tokens)) * float64(time.Second))
}

// expectedWait estimates how long a new request of a kind stays in the queue, from the work queued
// ahead of it and the number of requests that the pool serves concurrently.
func (p *pool) expectedWait(k Kind) time.Duration {
	requests, tokens := p.desk.queued, p.desk.queuedTokens
	if k == Sample {
		requests, tokens = p.queued(), tokens+p.sample.queuedTokens
	}
	if requests == 0 || p.tokenTime.value == 0 {
		return 0
	}
	work := p.firstToken.value*float64(requests) + p.tokenTime.value*float64(tokens)
	return time.Duration(work / float64(max(1, p.totalWindow)) * float64(time.Second))
}

// updateFree adds an endpoint to the list of free endpoints or removes it, as its state requires.
func (p *pool) updateFree(ep *Endpoint) {
	free := !ep.removed && !ep.state.Leaving && !ep.suspended && ep.FreeWindow(Desk) > 0
	switch {
	case free && ep.freeIndex < 0:
		ep.freeIndex = len(p.free)
		p.free = append(p.free, ep)
	case !free && ep.freeIndex >= 0:
		last := len(p.free) - 1
		p.free[ep.freeIndex] = p.free[last]
		p.free[ep.freeIndex].freeIndex = ep.freeIndex
		p.free[last] = nil
		p.free = p.free[:last]
		ep.freeIndex = -1
	}
}

// addProbeCandidate adds an endpoint to those that receive probes.
func (p *pool) addProbeCandidate(ep *Endpoint) {
	if !slices.Contains(p.probeCandidates, ep) {
		p.probeCandidates = append(p.probeCandidates, ep)
	}
}

func (p *pool) remove(ep *Endpoint) {
	p.endpoints = slices.DeleteFunc(p.endpoints, func(e *Endpoint) bool { return e == ep })
	p.probeCandidates = slices.DeleteFunc(p.probeCandidates, func(e *Endpoint) bool { return e == ep })
	p.updateFree(ep)
}

// refresh finds endpoints that became silent or stalled, and chooses the endpoints that are reserved
// for desk requests. It runs at most once per refreshInterval.
func (p *pool) refresh(now time.Time) {
	if now.Sub(p.refreshedAt) < refreshInterval {
		return
	}
	p.refreshedAt = now
	p.totalWindow = 0
	for _, ep := range p.endpoints {
		if !ep.suspended && ep.stalled(now) {
			ep.suspend(now)
		}
		if ep.silent(now) {
			p.addProbeCandidate(ep)
		}
		if ep.Healthy(now) {
			p.totalWindow += ep.Window()
		}
		p.updateFree(ep)
	}
	p.probeCandidates = slices.DeleteFunc(p.probeCandidates, func(ep *Endpoint) bool { return ep.Healthy(now) })
	p.deskConcurrency = max(p.deskConcurrency*deskConcurrencyDecay, float64(p.deskInflight+p.desk.queued))
	p.chooseReserved(now)
	p.updateReservedLimit()
}

// recordTokenTime records a time per token and the load of the target at the time of the
// measurement.
func (p *pool) recordTokenTime(seconds, load float64) {
	p.tokenTime.add(seconds, poolAverageWeight)
	p.tokenTimeFit.add(load, seconds)
}

// updateReservedLimit sets the load below which reserved targets receive samples, so that the time
// per token stays within maxDeskSlowdown. The limit is derived from measurements because the effect
// of the batch size on the time per token differs between engines.
func (p *pool) updateReservedLimit() {
	slots := 1
	for _, ep := range p.endpoints {
		slots = max(slots, ep.maxWindow())
	}
	p.reservedLoadLimit = max(1, min(slots, p.tokenTimeFit.maxLoad(p.maxDeskSlowdown, slots)))
}

// linearFit is a running linear regression of the time per token (y) on the load (x). It yields the
// time per token of a single request even if no target ever runs only one.
type linearFit struct{ count, meanX, meanY, meanXX, meanXY float64 }

// fitObservations bounds the number of observations that the regression averages over. A target with
// a full batch adds one observation per second for each request in the batch.
const fitObservations = 2000

func (f *linearFit) add(x, y float64) {
	f.count++
	w := 1 / min(f.count, fitObservations)
	f.meanX += w * (x - f.meanX)
	f.meanY += w * (y - f.meanY)
	f.meanXX += w * (x*x - f.meanXX)
	f.meanXY += w * (x*y - f.meanXY)
}

// maxLoad returns the load at which the time per token is factor times that of a single request. It
// returns half of the slots if there are too few observations or the load varies too little.
func (f *linearFit) maxLoad(factor float64, slots int) int {
	variance := f.meanXX - f.meanX*f.meanX
	if f.count < 20 || variance < 0.5 {
		return slots / 2
	}
	slope := (f.meanXY - f.meanX*f.meanY) / variance
	single := f.meanY - slope*(f.meanX-1)
	if slope <= 0 || single <= 0 {
		return slots
	}
	return int(1 + (factor-1)*single/slope)
}

// chooseReserved reserves as many endpoints as the recent desk concurrency requires, at most half of
// the pool. Batches on reserved endpoints stay small, which keeps desk requests fast, while the other
// endpoints run full batches of samples.
func (p *pool) chooseReserved(now time.Time) {
	concurrency := 0.0
	if p.deskConcurrency >= 0.5 && now.Sub(p.lastSampleAt) < time.Minute {
		concurrency = p.deskConcurrency
	}
	available := len(p.endpoints) / 2
	for _, ep := range p.endpoints {
		ep.reserved = concurrency > 0 && available > 0 && ep.Healthy(now) && !ep.state.PausePending && len(ep.state.Loaded) > 0
		if ep.reserved {
			concurrency -= deskPerReservedTarget
			available--
		}
		p.updateFree(ep)
	}
}

// hasHealthyEndpoint reports whether any endpoint may receive requests other than probes.
func (p *pool) hasHealthyEndpoint(now time.Time) bool {
	for _, ep := range p.endpoints {
		if ep.Healthy(now) {
			return true
		}
	}
	return false
}
