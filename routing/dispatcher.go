package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiaflow/errs"
)

const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// Dispatcher queues the requests for the targets that a host owns and decides which request
// goes to which target when. A request is assigned at most once per Enqueue.
type Dispatcher struct {
	cfg     Config
	random  *rand.Rand
	pools   map[string]*pool
	order   []*pool // in order of creation, so that runs are repeatable
	items   map[string]*item
	targets map[string]*Endpoint
	view    *prefixView
	refused []Refusal
	out     []Assignment
	scratch []*Endpoint
	seq     uint64
	round   uint64
}

// NewDispatcher returns a dispatcher without targets.
func NewDispatcher(cfg Config, random *rand.Rand) *Dispatcher {
	cfg = cfg.withDefaults()
	return &Dispatcher{
		cfg:     cfg,
		random:  random,
		pools:   make(map[string]*pool),
		items:   make(map[string]*item),
		targets: make(map[string]*Endpoint),
		view:    newPrefixView(cfg.PrefixEntries, cfg.PrefixHalfLife),
	}
}

func (d *Dispatcher) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{name: name, slowdown: d.cfg.DeskSlowdown}
		d.pools[name] = p
		d.order = append(d.order, p)
	}
	return p
}

// release forgets a pool that has neither endpoints nor requests.
func (d *Dispatcher) release(p *pool) {
	if d.pools[p.name] == p && len(p.endpoints) == 0 && p.queued() == 0 {
		delete(d.pools, p.name)
		d.order = slices.DeleteFunc(d.order, func(q *pool) bool { return q == p })
	}
}

// Enqueue accepts a request or returns why it did not: errs.Conflict where the ID is queued
// or in flight, errs.Overloaded where the queue is full or too long for the deadline, and
// errs.Deadline where even an idle target could not meet the deadline. None of them ran.
func (d *Dispatcher) Enqueue(now time.Time, r Request) error {
	if _, ok := d.items[r.ID]; ok {
		return &errs.Conflict{Kind: "request", ID: r.ID, Have: "a request in progress", Got: "the same ID again"}
	}
	p := d.pool(r.Pool)
	if err := d.admit(now, p, &r); err != nil {
		d.release(p)
		return err
	}
	if len(r.PrefixKeys) == 0 && r.Group != "" {
		r.PrefixKeys = []uint64{xxhash.Sum64String(r.Pool + "/" + r.Group)}
	}
	r.ExpectedTokens = max(1, r.ExpectedTokens)
	d.seq++
	it := &item{req: r, seq: d.seq, pool: p, lateIndex: -1}
	weight := d.cfg.Weights[r.Tenancy]
	if weight <= 0 {
		weight = 1
	}
	p.class(r.Kind).push(it, weight)
	if !r.Deadline.IsZero() {
		it.latest = r.Deadline.Add(-p.expected(r.ExpectedTokens))
		heap.Push(&p.late, it)
	}
	if r.Kind == Sample {
		p.sampleSeen = now
	}
	d.items[r.ID] = it
	return nil
}

func (d *Dispatcher) admit(now time.Time, p *pool, r *Request) error {
	limit := d.cfg.QueueLimit
	if r.Kind == Sample {
		limit = int(float64(limit) * d.cfg.SampleShare)
	}
	wait := p.wait(r.Kind)
	held := p.queued() + len(d.refused)
	if r.Kind == Sample {
		held = p.sample.queued + len(d.refused)
	}
	if held >= limit || p.queued()+len(d.refused) >= d.cfg.QueueLimit {
		return &errs.Overloaded{Resource: "queue of pool " + r.Pool, After: clampDelay(wait)}
	}
	if r.Deadline.IsZero() {
		return nil
	}
	finish := now.Add(p.expected(r.ExpectedTokens))
	if finish.After(r.Deadline) {
		return tooLate()
	}
	if over := finish.Add(wait).Sub(r.Deadline); over > 0 {
		return &errs.Overloaded{Resource: "queue of pool " + r.Pool, After: clampDelay(over)}
	}
	return nil
}

func clampDelay(d time.Duration) time.Duration { return min(max(d, minRetryDelay), maxRetryDelay) }

// Next returns the requests that are to be sent now. The slice is valid until the next call.
func (d *Dispatcher) Next(now time.Time) []Assignment {
	d.out = d.out[:0]
	for _, p := range d.order {
		d.refuseLate(now, p)
		p.tick(now)
		d.round++
		d.dispatchClass(now, p, &p.desk)
		d.dispatchProbes(now, p)
		d.dispatchClass(now, p, &p.sample)
	}
	return d.out
}

// TakeRefusals returns and forgets the queued requests that were dropped before dispatch. They
// count towards the queue bound until they are taken.
func (d *Dispatcher) TakeRefusals() []Refusal {
	r := d.refused
	d.refused = nil
	return r
}

func (d *Dispatcher) refuseLate(now time.Time, p *pool) {
	for len(p.late) > 0 && p.late[0].latest.Before(now) {
		it := p.late[0]
		// The estimate may have improved since the request was queued.
		if latest := it.req.Deadline.Add(-p.expected(it.req.ExpectedTokens)); latest.After(now) {
			it.latest = latest
			heap.Fix(&p.late, 0)
			continue
		}
		d.unqueue(it)
		delete(d.items, it.req.ID)
		d.refused = append(d.refused, Refusal{it.req.ID, tooLate()})
	}
}

func (d *Dispatcher) unqueue(it *item) {
	it.pool.class(it.req.Kind).remove(it)
	if it.lateIndex >= 0 {
		heap.Remove(&it.pool.late, it.lateIndex)
	}
}

func (d *Dispatcher) dispatchClass(now time.Time, p *pool, c *class) {
	for c.queued > 0 && len(p.free) > 0 {
		f := c.next(d.round)
		if f == nil {
			return
		}
		it := f.items[0]
		ep := d.choose(now, it)
		if ep == nil {
			f.blocked = d.round
			continue
		}
		d.send(now, it, ep, false)
	}
}

// choose returns the endpoint for a request, or nil where none is eligible.
func (d *Dispatcher) choose(now time.Time, it *item) *Endpoint {
	p, profile := it.pool, d.cfg.Profile
	holders := d.view.match(now, it.req.PrefixKeys)
	eps := d.scratch[:0]
	if len(p.free) <= d.cfg.Candidates {
		eps = append(eps, p.free...)
	} else {
		for _, h := range holders {
			if h.ep.freeIndex >= 0 && h.ep.pool == p {
				eps = append(eps, h.ep)
			}
		}
		for range d.cfg.Candidates {
			eps = append(eps, p.free[d.random.IntN(len(p.free))])
		}
	}
	d.scratch = eps
	eps = profile.eligible(now, &it.req, eps)
	if len(eps) == 0 && len(p.free) > d.cfg.Candidates {
		d.scratch = append(d.scratch[:0], p.free...)
		eps = profile.eligible(now, &it.req, d.scratch)
	}
	if len(eps) == 0 {
		return nil
	}
	return profile.choose(now, &it.req, eps, d.random)
}

func (d *Dispatcher) send(now time.Time, it *item, ep *Endpoint, probe bool) {
	p := it.pool
	d.unqueue(it)
	p.class(it.req.Kind).charge(it)
	it.endpoint, it.started, it.progressAt, it.probe = ep, now, now, probe
	ep.inflight = append(ep.inflight, it)
	if it.req.Kind == Desk {
		p.deskFlight++
		p.deskPeak = max(p.deskPeak, float64(p.deskFlight))
	}
	if probe {
		ep.probing++
		ep.probeAt = now.Add(ep.probeDelay)
		ep.probeDelay = min(d.cfg.MaxProbeInterval, 2*max(ep.probeDelay, d.cfg.ProbeInterval))
	}
	d.view.learn(now, ep, 0, it.req.PrefixKeys)
	p.place(ep)
	d.out = append(d.out, Assignment{RequestID: it.req.ID, Target: ep.state.ID, Probe: probe})
}

// dispatchProbes sends one request to each suspended or silent endpoint that is due. Samples
// are used where the pool has had any lately, because their delay harms least.
func (d *Dispatcher) dispatchProbes(now time.Time, p *pool) {
	for _, ep := range p.probes {
		if !ep.probeDue(now) || ep.Healthy(now) {
			continue
		}
		c := &p.sample
		if c.queued == 0 && (now.Sub(p.sampleSeen) > 4*d.cfg.ProbeInterval || !p.healthy(now)) {
			c = &p.desk
		}
		if it := d.probeFor(now, c, ep); it != nil {
			d.send(now, it, ep, true)
		}
	}
}

// probeFor returns the first queued request that passes the profile's filters for the
// endpoint, apart from those that keep ordinary work away from it.
func (d *Dispatcher) probeFor(now time.Time, c *class, ep *Endpoint) *item {
	for _, t := range c.tenants {
		for _, f := range t.flows {
			it, one := f.items[0], []*Endpoint{ep}
			for _, filter := range d.cfg.Profile.Filters {
				switch filter.(type) {
				case HealthFilter, WindowFilter:
				default:
					one = filter.Filter(now, &it.req, one)
				}
			}
			if len(one) > 0 {
				return it
			}
		}
	}
	return nil
}

// Done records how a dispatched request ended and frees its place in the window.
func (d *Dispatcher) Done(now time.Time, requestID string, r Result) {
	it := d.items[requestID]
	if it == nil || it.endpoint == nil {
		return
	}
	delete(d.items, requestID)
	ep := it.endpoint
	ep.remove(now, it)
	if it.probe {
		ep.probing--
	}
	if it.req.Kind == Desk {
		it.pool.deskFlight--
	}
	if r.Kind == ResultOK && r.Tokens > 0 {
		it.tenant.virtual += float64(r.Tokens-it.req.ExpectedTokens) / it.tenant.weight
	}
	if !ep.gone {
		ep.observe(now, it, r)
	}
	it.pool.place(ep)
	d.release(it.pool)
}

// RecordProgress records that a dispatched request has produced tokens in total so far. It shows
// that a target is slow or has stopped before a request on it ends.
func (d *Dispatcher) RecordProgress(now time.Time, requestID string, tokens int) {
	it := d.items[requestID]
	if it == nil || it.endpoint == nil || tokens <= it.progress || it.endpoint.gone {
		return
	}
	if it.progress > 0 && it.progressAt.After(it.endpoint.changed) {
		it.endpoint.observeTokenTime(now, now.Sub(it.progressAt).Seconds()/float64(tokens-it.progress), false)
	}
	it.progress, it.progressAt = tokens, now
	it.endpoint.heard = now
	it.pool.place(it.endpoint)
}

// Cancel removes a queued request and reports whether it did; the request then did not run.
// A request in flight stays until Done.
func (d *Dispatcher) Cancel(_ time.Time, requestID string) bool {
	it := d.items[requestID]
	if it == nil || it.endpoint != nil {
		return false
	}
	d.unqueue(it)
	delete(d.items, requestID)
	d.release(it.pool)
	return true
}

// Queued returns the number of queued requests of a kind in a pool.
func (d *Dispatcher) Queued(pool string, k Kind) int {
	if p := d.pools[pool]; p != nil {
		return p.class(k).queued
	}
	return 0
}
