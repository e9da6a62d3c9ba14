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
	// deskPerQuiet is the desk concurrency that one quiet target is kept for. At 4, quiet
	// targets took so much from samples that trainers waited 1.5 times as long.
	deskPerQuiet = 6
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
	curve      curve
	quietLimit int // load of a quiet target up to which it gets samples
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
	p.limitQuiet()
}

// observeTokenTime records a time per token together with the load of the target it was
// measured on.
func (p *pool) observeTokenTime(seconds, load float64) {
	p.tokenTime.add(seconds, poolWeight)
	p.curve.add(load, seconds)
}

// limitQuiet sets the limit of samples on quiet targets to where the time per token stays
// within the allowed slowdown, because how much a batch slows its requests differs by engine.
func (p *pool) limitQuiet() {
	top := 1
	for _, ep := range p.endpoints {
		top = max(top, ep.maxWindow())
	}
	p.quietLimit = max(1, min(top, p.curve.limit(p.slowdown, top)))
}

// curve is a running linear fit of the time per token over the load. It shows the time on an
// idle target even where no target is ever idle.
type curve struct{ n, x, y, xx, xy float64 }

// curveMemory is how many observations the fit remembers; a full batch gives one per request
// and second.
const curveMemory = 2000

func (c *curve) add(x, y float64) {
	c.n++
	w := 1 / min(c.n, curveMemory)
	c.x += w * (x - c.x)
	c.y += w * (y - c.y)
	c.xx += w * (x*x - c.xx)
	c.xy += w * (x*y - c.xy)
}

// limit returns the load at which the time per token exceeds that of a lone request by factor,
// half of the slots where the fit says nothing.
func (c *curve) limit(factor float64, slots int) int {
	variance := c.xx - c.x*c.x
	if c.n < 20 || variance < 0.5 {
		return slots / 2
	}
	slope := (c.xy - c.x*c.y) / variance
	alone := c.y - slope*(c.x-1)
	if slope <= 0 || alone <= 0 {
		return slots
	}
	return int(1 + (factor-1)*alone/slope)
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
		ep.quiet = need > 0 && left > 0 && ep.Healthy(now) && !ep.state.PausePending && len(ep.state.Loaded) > 0
		if ep.quiet {
			need -= deskPerQuiet
			left--
		}
		p.place(ep)
	}
}

// healthy reports whether any endpoint may receive ordinary work.
func (p *pool) healthy(now time.Time) bool {
	for _, ep := range p.endpoints {
		if ep.Healthy(now) {
			return true
		}
	}
	return false
}
