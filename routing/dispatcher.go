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

// Dispatcher queues requests for the targets that a host owns and decides when each request is
// sent to which target. A request is assigned at most once per Enqueue.
type Dispatcher struct {
	cfg         Config
	random      *rand.Rand
	pools       map[string]*pool
	poolOrder   []*pool                    // in creation order, so that iteration is deterministic
	pending     map[string]*pendingRequest // queued and in flight, by request ID
	targets     map[string]*Endpoint
	prefixes    *prefixIndex
	refusals    []Refusal
	assignments []Assignment // result of Next, reused
	endpointBuf []*Endpoint  // candidates in chooseEndpoint, reused
	lastSeq     uint64       // sequence number of the last queued request
	round       uint64       // numbers the passes over the queues of the pools; see modelQueue.blockedRound
}

// NewDispatcher returns a dispatcher without targets.
func NewDispatcher(cfg Config, random *rand.Rand) *Dispatcher {
	cfg = cfg.withDefaults()
	return &Dispatcher{
		cfg:      cfg,
		random:   random,
		pools:    make(map[string]*pool),
		pending:  make(map[string]*pendingRequest),
		targets:  make(map[string]*Endpoint),
		prefixes: newPrefixIndex(cfg.MaxPrefixKeys, cfg.PrefixHalfLife),
	}
}

// ensurePool returns the pool with the given name and creates it if necessary.
func (d *Dispatcher) ensurePool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{name: name, maxDeskSlowdown: d.cfg.MaxDeskSlowdown}
		d.pools[name] = p
		d.poolOrder = append(d.poolOrder, p)
	}
	return p
}

// removeIfEmpty removes a pool that has no endpoints and no queued requests.
func (d *Dispatcher) removeIfEmpty(p *pool) {
	if d.pools[p.name] == p && len(p.endpoints) == 0 && p.queued() == 0 {
		delete(d.pools, p.name)
		d.poolOrder = slices.DeleteFunc(d.poolOrder, func(q *pool) bool { return q == p })
	}
}

// Enqueue queues a request. It returns an errs.Conflict if a request with the same ID is queued or
// in flight, an errs.Overloaded if the queue is full or too long for the deadline, and an
// errs.Deadline if even an idle target could not meet the deadline. A request that is refused
// has not run.
func (d *Dispatcher) Enqueue(now time.Time, r Request) error {
	if _, ok := d.pending[r.ID]; ok {
		return &errs.Conflict{Kind: "request", ID: r.ID, Stored: "a request in progress", Received: "another request with the same ID"}
	}
	p := d.ensurePool(r.Pool)
	if err := d.admit(now, p, &r); err != nil {
		d.removeIfEmpty(p)
		return err
	}
	if len(r.PrefixKeys) == 0 && r.Group != "" {
		r.PrefixKeys = []uint64{xxhash.Sum64String(r.Pool + "/" + r.Group)}
	}
	r.ExpectedTokens = max(1, r.ExpectedTokens)
	d.lastSeq++
	pr := &pendingRequest{req: r, seq: d.lastSeq, pool: p, expiryIndex: -1}
	weight := d.cfg.TenancyWeights[r.Tenancy]
	if weight <= 0 {
		weight = 1
	}
	p.queueFor(r.Kind).push(pr, weight)
	if !r.Deadline.IsZero() {
		pr.latestDispatch = r.Deadline.Add(-p.expectedServiceTime(r.ExpectedTokens))
		heap.Push(&p.expiry, pr)
	}
	if r.Kind == Sample {
		p.lastSampleAt = now
	}
	d.pending[r.ID] = pr
	return nil
}

// admit checks the queue limits and the deadline of a new request.
func (d *Dispatcher) admit(now time.Time, p *pool, r *Request) error {
	limit := d.cfg.QueueLimit
	if r.Kind == Sample {
		limit = int(float64(limit) * d.cfg.SampleShare)
	}
	wait := p.expectedWait(r.Kind)
	used := p.queued() + len(d.refusals)
	if r.Kind == Sample {
		used = p.sample.queued + len(d.refusals)
	}
	if used >= limit || p.queued()+len(d.refusals) >= d.cfg.QueueLimit {
		return &errs.Overloaded{Resource: "queue of pool " + r.Pool, After: clampRetryDelay(wait)}
	}
	if r.Deadline.IsZero() {
		return nil
	}
	finish := now.Add(p.expectedServiceTime(r.ExpectedTokens))
	if finish.After(r.Deadline) {
		return deadlineError()
	}
	if excess := finish.Add(wait).Sub(r.Deadline); excess > 0 {
		return &errs.Overloaded{Resource: "queue of pool " + r.Pool, After: clampRetryDelay(excess)}
	}
	return nil
}

func clampRetryDelay(d time.Duration) time.Duration { return min(max(d, minRetryDelay), maxRetryDelay) }

// Next returns the requests to send now. The slice is valid until the next call of Next.
func (d *Dispatcher) Next(now time.Time) []Assignment {
	d.assignments = d.assignments[:0]
	for _, p := range d.poolOrder {
		d.refuseExpired(now, p)
		p.refresh(now)
		d.round++
		d.dispatchQueue(now, p, &p.desk)
		d.dispatchProbes(now, p)
		d.dispatchQueue(now, p, &p.sample)
	}
	return d.assignments
}

// TakeRefusals returns the queued requests that were dropped since the last call. They count towards the
// queue limit until they are returned.
func (d *Dispatcher) TakeRefusals() []Refusal {
	r := d.refusals
	d.refusals = nil
	return r
}

// refuseExpired drops the queued requests that can no longer meet their deadlines.
func (d *Dispatcher) refuseExpired(now time.Time, p *pool) {
	for len(p.expiry) > 0 && p.expiry[0].latestDispatch.Before(now) {
		pr := p.expiry[0]
		// The estimated service time may have become shorter since the request was queued.
		if latest := pr.req.Deadline.Add(-p.expectedServiceTime(pr.req.ExpectedTokens)); latest.After(now) {
			pr.latestDispatch = latest
			heap.Fix(&p.expiry, 0)
			continue
		}
		d.dequeue(pr)
		delete(d.pending, pr.req.ID)
		d.refusals = append(d.refusals, Refusal{pr.req.ID, deadlineError()})
	}
}

// dequeue removes a request from the queue and from the expiry heap of its pool.
func (d *Dispatcher) dequeue(pr *pendingRequest) {
	pr.pool.queueFor(pr.req.Kind).remove(pr)
	if pr.expiryIndex >= 0 {
		heap.Remove(&pr.pool.expiry, pr.expiryIndex)
	}
}

// dispatchQueue dispatches queued requests of one kind until no free endpoint is eligible for any of
// them.
func (d *Dispatcher) dispatchQueue(now time.Time, p *pool, queue *classQueue) {
	for queue.queued > 0 && len(p.free) > 0 {
		q := queue.nextQueue(d.round)
		if q == nil {
			return
		}
		pr := q.requests[0]
		ep := d.chooseEndpoint(now, pr)
		if ep == nil {
			q.blockedRound = d.round
			continue
		}
		d.dispatch(now, pr, ep, false)
	}
}

// chooseEndpoint returns the endpoint for a request, or nil if no free endpoint is eligible. If many
// endpoints are free, it examines the holders of the prefix and a random sample first, and all free
// endpoints only if none of these is eligible.
func (d *Dispatcher) chooseEndpoint(now time.Time, pr *pendingRequest) *Endpoint {
	p, profile := pr.pool, d.cfg.Profile
	holders := d.prefixes.scoreHolders(now, pr.req.PrefixKeys)
	eps := d.endpointBuf[:0]
	if len(p.free) <= d.cfg.RandomCandidates {
		eps = append(eps, p.free...)
	} else {
		for _, h := range holders {
			if h.ep.freeIndex >= 0 && h.ep.pool == p {
				eps = append(eps, h.ep)
			}
		}
		for range d.cfg.RandomCandidates {
			eps = append(eps, p.free[d.random.IntN(len(p.free))])
		}
	}
	d.endpointBuf = eps
	eps = profile.eligible(now, &pr.req, eps)
	if len(eps) == 0 && len(p.free) > d.cfg.RandomCandidates {
		d.endpointBuf = append(d.endpointBuf[:0], p.free...)
		eps = profile.eligible(now, &pr.req, d.endpointBuf)
	}
	if len(eps) == 0 {
		return nil
	}
	return profile.choose(now, &pr.req, eps, d.random)
}

// dispatch moves a queued request to an endpoint and adds the assignment to the result of Next.
func (d *Dispatcher) dispatch(now time.Time, pr *pendingRequest, ep *Endpoint, probe bool) {
	p := pr.pool
	d.dequeue(pr)
	p.queueFor(pr.req.Kind).charge(pr)
	pr.endpoint, pr.dispatchedAt, pr.lastProgressAt, pr.probe = ep, now, now, probe
	ep.inflight = append(ep.inflight, pr)
	if pr.req.Kind == Desk {
		p.deskInflight++
		p.deskConcurrency = max(p.deskConcurrency, float64(p.deskInflight))
	}
	if probe {
		ep.probesInFlight++
		ep.nextProbeAt = now.Add(ep.probeDelay)
		ep.probeDelay = min(d.cfg.MaxProbeInterval, 2*max(ep.probeDelay, d.cfg.ProbeInterval))
	}
	d.prefixes.addHolder(now, ep, 0, pr.req.PrefixKeys)
	p.updateFree(ep)
	d.assignments = append(d.assignments, Assignment{RequestID: pr.req.ID, Target: ep.state.ID, Probe: probe})
}

// dispatchProbes sends one request to each suspended or silent endpoint whose probe is due. It prefers
// samples, because a slow probe does less harm to a sample than to a desk request. If no sample is
// queued, it uses a desk request, but only if the pool received no sample recently or has no healthy
// endpoint.
func (d *Dispatcher) dispatchProbes(now time.Time, p *pool) {
	for _, ep := range p.probeCandidates {
		if !ep.probeDue(now) || ep.Healthy(now) {
			continue
		}
		queue := &p.sample
		if queue.queued == 0 && (now.Sub(p.lastSampleAt) > 4*d.cfg.ProbeInterval || !p.hasHealthyEndpoint(now)) {
			queue = &p.desk
		}
		if pr := d.findProbeRequest(now, queue, ep); pr != nil {
			d.dispatch(now, pr, ep, true)
		}
	}
}

// findProbeRequest returns the first queued request for which the endpoint passes the profile's
// filters. HealthFilter and WindowFilter are skipped, because they would exclude the endpoint.
func (d *Dispatcher) findProbeRequest(now time.Time, queue *classQueue, ep *Endpoint) *pendingRequest {
	for _, t := range queue.tenancies {
		for _, q := range t.modelQueues {
			pr, eligible := q.requests[0], []*Endpoint{ep}
			for _, filter := range d.cfg.Profile.Filters {
				switch filter.(type) {
				case HealthFilter, WindowFilter:
				default:
					eligible = filter.Filter(now, &pr.req, eligible)
				}
			}
			if len(eligible) > 0 {
				return pr
			}
		}
	}
	return nil
}

// Done records how a dispatched request ended and frees its place in the dispatch window. Unknown
// request IDs are ignored, so that a repeated call has no effect.
func (d *Dispatcher) Done(now time.Time, requestID string, r Result) {
	pr := d.pending[requestID]
	if pr == nil || pr.endpoint == nil {
		return
	}
	delete(d.pending, requestID)
	ep := pr.endpoint
	ep.removeInflight(now, pr)
	if pr.probe {
		ep.probesInFlight--
	}
	if pr.req.Kind == Desk {
		pr.pool.deskInflight--
	}
	if r.Kind == ResultOK && r.Tokens > 0 {
		pr.tenancy.virtualTime += float64(r.Tokens-pr.req.ExpectedTokens) / pr.tenancy.weight
	}
	if !ep.removed {
		ep.recordResult(now, pr, r)
	}
	pr.pool.updateFree(ep)
	d.removeIfEmpty(pr.pool)
}

// RecordProgress records the total number of tokens that a dispatched request has produced so far, so that
// a slow or stalled target is detected before the request ends.
func (d *Dispatcher) RecordProgress(now time.Time, requestID string, tokens int) {
	pr := d.pending[requestID]
	if pr == nil || pr.endpoint == nil || tokens <= pr.producedTokens || pr.endpoint.removed {
		return
	}
	if pr.producedTokens > 0 && pr.lastProgressAt.After(pr.endpoint.modelsChangedAt) {
		pr.endpoint.recordTokenTime(now, now.Sub(pr.lastProgressAt).Seconds()/float64(tokens-pr.producedTokens), false)
	}
	pr.producedTokens, pr.lastProgressAt = tokens, now
	pr.endpoint.lastHeard = now
	pr.pool.updateFree(pr.endpoint)
}

// Cancel removes a queued request and reports whether it did. A request that was removed has not
// run; a request in flight is kept until Done.
func (d *Dispatcher) Cancel(_ time.Time, requestID string) bool {
	pr := d.pending[requestID]
	if pr == nil || pr.endpoint != nil {
		return false
	}
	d.dequeue(pr)
	delete(d.pending, requestID)
	d.removeIfEmpty(pr.pool)
	return true
}

// Queued returns the number of queued requests of a kind in a pool.
func (d *Dispatcher) Queued(pool string, k Kind) int {
	if p := d.pools[pool]; p != nil {
		return p.queueFor(k).queued
	}
	return 0
}
