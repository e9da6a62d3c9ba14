package routing

import (
	"slices"
	"time"
)

const (
	tickInterval = time.Second
	// deskDecay is the share of the observed desk concurrency that is kept per tick; with one
	// tick a second it halves in about 30 s.
	deskDecay = 0.977
	// deskPerQuiet is the desk concurrency that one quiet target is kept for.
	deskPerQuiet = 4
	// bestDrift lets the best time per token follow a lasting change of the targets.
	bestDrift = 0.0005
)

// pool is the queue and the endpoints of one pool.
type pool struct {
	name      string
	slowdown  float64
	endpoints []*Endpoint
	free      []*Endpoint // endpoints with room for a desk request
	probes    []*Endpoint // suspended and silent endpoints
	desk      class
	sample    class
	late      lateHeap

	tokenTime  average
	firstToken average
	bestToken  float64 // best time per token, in seconds
	quietLimit float64 // requests on a quiet target above which it gets no samples
	deskFlight int
	deskPeak   float64
	slots      int // sum of the windows of healthy endpoints at the last tick
	ticked     time.Time
	sampleSeen time.Time
}

func (p *pool) class(k Kind) *class {
	if k == Desk {
		return &p.desk
	}
	return &p.sample
}

func (p *pool) queued() int { return p.desk.queued + p.sample.queued }

// expected is the service time of a request in this pool.
func (p *pool) expected(tokens int) time.Duration {
	return time.Duration((p.firstToken.value + p.tokenTime.value*float64(tokens)) * float64(time.Second))
}

// wait estimates how long a new request of a kind stays in the queue: the queued work ahead
// of it, served at the pool's rate.
func (p *pool) wait(k Kind) time.Duration {
	requests, tokens := p.desk.queued, p.desk.tokens
	if k == Sample {
		requests, tokens = p.queued(), tokens+p.sample.tokens
	}
	if requests == 0 || p.tokenTime.value == 0 {
		return 0
	}
	work := p.firstToken.value*float64(requests) + p.tokenTime.value*float64(tokens)
	return time.Duration(work / float64(max(1, p.slots)) * float64(time.Second))
}

// place keeps the list of free endpoints in step with an endpoint's room.
func (p *pool) place(ep *Endpoint) {
	free := !ep.gone && !ep.state.Leaving && !ep.suspended && ep.Room(Desk) > 0
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

// track lists an endpoint for probes.
func (p *pool) track(ep *Endpoint) {
	if !slices.Contains(p.probes, ep) {
		p.probes = append(p.probes, ep)
	}
}

func (p *pool) remove(ep *Endpoint) {
	p.endpoints = slices.DeleteFunc(p.endpoints, func(e *Endpoint) bool { return e == ep })
	p.probes = slices.DeleteFunc(p.probes, func(e *Endpoint) bool { return e == ep })
	p.place(ep)
}

// tick finds endpoints that became silent or stalled and chooses the quiet ones.
func (p *pool) tick(now time.Time) {
	if now.Sub(p.ticked) < tickInterval {
		return
	}
	p.ticked = now
	p.slots = 0
	for _, ep := range p.endpoints {
		if !ep.suspended && ep.stalled(now) {
			ep.suspend(now)
		}
		if ep.silent(now) {
			p.track(ep)
		}
		if ep.Healthy(now) {
			p.slots += ep.Window()
		}
		p.place(ep)
	}
	p.probes = slices.DeleteFunc(p.probes, func(ep *Endpoint) bool { return ep.Healthy(now) })
	p.deskPeak = max(p.deskPeak*deskDecay, float64(p.deskFlight+p.desk.queued))
	p.chooseQuiet(now)
	p.adaptQuiet()
}

func (p *pool) observeTokenTime(seconds float64) {
	p.tokenTime.add(seconds, poolWeight)
	if p.bestToken == 0 || seconds < p.bestToken {
		p.bestToken = seconds
	} else {
		p.bestToken += bestDrift * (seconds - p.bestToken)
	}
}

// adaptQuiet moves the limit of samples on quiet targets to where their time per token stays
// within the allowed slowdown, because how much a batch slows requests differs by engine.
func (p *pool) adaptQuiet() {
	sum, n, top := 0.0, 0.0, 1.0
	for _, ep := range p.endpoints {
		top = max(top, float64(ep.maxWindow()))
		if ep.quiet && ep.tokenTime.value > 0 {
			sum += ep.tokenTime.value
			n++
		}
	}
	switch {
	case p.quietLimit == 0:
		p.quietLimit = top / 2
	case n > 0 && sum/n > p.slowdown*p.bestToken:
		p.quietLimit = max(1, p.quietLimit-1)
	case n > 0:
		p.quietLimit = min(top, p.quietLimit+0.25)
	}
}

// chooseQuiet marks as many endpoints as the recent desk concurrency needs. Desk requests
// find a short batch there, while the other endpoints run full batches of samples.
func (p *pool) chooseQuiet(now time.Time) {
	need := 0.0
	if p.deskPeak >= 0.5 && now.Sub(p.sampleSeen) < time.Minute {
		need = p.deskPeak
	}
	left := len(p.endpoints) / 2
	for _, ep := range p.endpoints {
		ep.quiet = need > 0 && left > 0 && ep.Healthy(now) && len(ep.state.Loaded) > 0
		if ep.quiet {
			need -= deskPerQuiet
			left--
		}
		p.place(ep)
	}
}
