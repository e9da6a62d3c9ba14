package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/routing"
)

// dispatchTick is the interval at which the queue is examined without an event, for
// deadlines and probes.
const dispatchTick = 20 * time.Millisecond

// dispatcher joins the routing core with the goroutines of waiting requests.
type dispatcher struct {
	random *rand.Rand

	mu      sync.Mutex
	core    *routing.Dispatcher
	pools   map[string]bool
	waiting map[string]*waiter
	targets map[string]routing.TargetState
}

// waiter is a queued request. Since is when its pool was last seen without a target.
type waiter struct {
	verdict     chan verdict
	pool, model string
	since       time.Time
}

// orphanWait is how long a request stays queued while its pool has no target on this host,
// as after a change of owners. It is then refused, so that the entry host can try another
// owner.
const orphanWait = 300 * time.Millisecond

// verdict is what a waiting request receives.
type verdict struct {
	assignment routing.Assignment
	err        error
}

func newDispatcher(random *rand.Rand) *dispatcher {
	return &dispatcher{
		random:  random,
		core:    routing.NewDispatcher(routing.Config{}, random),
		pools:   make(map[string]bool),
		waiting: make(map[string]*waiter),
		targets: make(map[string]routing.TargetState),
	}
}

// Start implements kernel.Service.
func (d *dispatcher) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("dispatcher/tick", dispatchTick, func(context.Context) {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		d.refuseOrphans(now)
		d.pump(now)
	})
	return nil
}

// Stop implements kernel.Service.
func (d *dispatcher) Stop(context.Context) error { return nil }

// SetConfig applies the queue bounds and the tenancies' weights.
func (d *dispatcher) SetConfig(cfg *confstate.Config) {
	weights := make(map[string]float64, len(cfg.Tenancies))
	for _, t := range cfg.Tenancies {
		weights[t.Name] = t.Weight
	}
	limit := cfg.Queues.Desk + cfg.Queues.Samples
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetLimits(int(limit), float64(cfg.Queues.Samples)/float64(max(1, limit)), weights)
}

// grant is the permission to send one request to one target.
type grant struct {
	d       *dispatcher
	request string
	Target  string
	at      time.Time
}

// Acquire waits until the request may be sent to a target. A failure has outcome not_run.
func (d *dispatcher) Acquire(ctx context.Context, r routing.Request) (*grant, error) {
	wait := make(chan verdict, 1)
	d.mu.Lock()
	now := time.Now()
	if err := d.core.Enqueue(now, r); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	d.waiting[r.ID] = &waiter{verdict: wait, pool: r.Pool, model: r.Model}
	d.pump(now)
	d.mu.Unlock()
	select {
	case v := <-wait:
		return d.granted(r.ID, v)
	case <-ctx.Done():
		return nil, d.abandon(ctx, r.ID, wait)
	}
}

func (d *dispatcher) granted(request string, v verdict) (*grant, error) {
	if v.err != nil {
		return nil, v.err
	}
	return &grant{d: d, request: request, Target: v.assignment.Target, at: time.Now()}, nil
}

// abandon takes a request back. If it was assigned in the meantime, the place is freed.
func (d *dispatcher) abandon(ctx context.Context, request string, wait chan verdict) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	delete(d.waiting, request)
	if !d.core.Cancel(now, request) {
		select {
		case v := <-wait:
			if v.err == nil {
				d.core.Done(now, request, routing.Result{Kind: routing.ResultCancelled})
			}
		default:
		}
	}
	d.pump(now)
	if ctx.Err() == context.Canceled {
		return &errs.Unavailable{Resource: "caller", Reason: "the request was cancelled before dispatch"}
	}
	return &errs.Deadline{Operation: "queue", Result: errs.NotRun}
}

// Progress records the tokens produced so far.
func (g *grant) Progress(tokens int) {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	g.d.core.RecordProgress(time.Now(), g.request, tokens)
}

// Done frees the place of the request on its target.
func (g *grant) Done(kind routing.ResultKind, tokens int, firstToken time.Duration) {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	now := time.Now()
	g.d.core.Done(now, g.request, routing.Result{
		Tokens: tokens, Kind: kind, TimeToFirstToken: firstToken, Duration: now.Sub(g.at),
	})
	g.d.pump(now)
}

// pump hands out assignments and refusals. The caller holds the lock.
func (d *dispatcher) pump(now time.Time) {
	for _, a := range d.core.Next(now) {
		d.answer(a.RequestID, verdict{assignment: a})
	}
	for _, r := range d.core.TakeRefusals() {
		d.answer(r.RequestID, verdict{err: r.Err})
	}
}

func (d *dispatcher) answer(request string, v verdict) {
	if w, ok := d.waiting[request]; ok {
		delete(d.waiting, request)
		w.verdict <- v
	}
}

// refuseOrphans refuses the requests whose pool has no target here any more. The caller
// holds the lock.
func (d *dispatcher) refuseOrphans(now time.Time) {
	for id, w := range d.waiting {
		switch {
		case d.serves(w.pool, w.model):
			w.since = time.Time{}
		case w.since.IsZero():
			w.since = now
		case now.Sub(w.since) >= orphanWait && d.core.Cancel(now, id):
			d.answer(id, verdict{err: &errs.Unavailable{Resource: "pool " + w.pool, Reason: "this host owns no target of it"}})
		}
	}
}

func (d *dispatcher) serves(pool, model string) bool {
	for _, t := range d.targets {
		if t.Pool != pool || t.Leaving {
			continue
		}
		if _, loaded := t.Loaded[model]; loaded || model == "" {
			return true
		}
	}
	return false
}

// UpsertTarget adds or updates a target.
func (d *dispatcher) UpsertTarget(s routing.TargetState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.targets[s.ID] = s
	d.pools[s.Pool] = true
	d.core.UpsertTarget(now, s)
	d.pump(now)
}

// RemoveTarget forgets a target.
func (d *dispatcher) RemoveTarget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.targets, id)
	d.core.RemoveTarget(time.Now(), id)
}

// CacheEvent records a change of a target's prefix cache.
func (d *dispatcher) CacheEvent(id string, e routing.CacheEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.ApplyCacheEvent(time.Now(), id, e)
}

// capacity is the room of this host for samples of one pool and model.
type capacity struct {
	pool, model string
	version     uint64
	free        int
}

// Capacity lists the free room by pool and model. Models of a pool share its room, so the
// sum over the models can exceed it; the sampler divides it.
func (d *dispatcher) Capacity() []capacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var list []capacity
	for pool := range d.pools {
		free := d.core.FreeSampleSlots(now, pool)
		if free <= 0 {
			continue
		}
		for model, version := range d.versions(pool) {
			list = append(list, capacity{pool: pool, model: model, version: version, free: free})
		}
	}
	return list
}

func (d *dispatcher) versions(pool string) map[string]uint64 {
	versions := make(map[string]uint64)
	for _, t := range d.targets {
		if t.Pool != pool || t.Leaving {
			continue
		}
		for model, version := range t.Loaded {
			versions[model] = max(versions[model], version)
		}
	}
	return versions
}

// Summary returns the state that is told to the other hosts. A pool whose targets are all
// suspended is announced as full with room for one: it is chosen only when no other host has
// room, and the requests that arrive then probe its targets.
func (d *dispatcher) Summary() summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	pools := make(map[string]routing.PoolSummary, len(d.pools))
	for pool := range d.pools {
		s := d.core.Summary(now, pool)
		if versions := d.versions(pool); s.Capacity == 0 && (len(versions) > 0 || d.serves(pool, "")) {
			s = routing.PoolSummary{Capacity: 1, Load: max(1, s.Load), Versions: versions}
		}
		if s.Capacity > 0 {
			pools[pool] = s
		}
	}
	return summary{Pools: pools}
}

// Queued returns the number of waiting requests of all pools by kind.
func (d *dispatcher) Queued() (desk, samples int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for pool := range d.pools {
		desk += d.core.Queued(pool, routing.Desk)
		samples += d.core.Queued(pool, routing.Sample)
	}
	return desk, samples
}
