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

// dispatchInterval is the interval at which the queue is checked for expired deadlines and due
// probes, in addition to the checks after each event.
const dispatchInterval = 20 * time.Millisecond

// dispatcher connects the single-threaded routing core with the goroutines of waiting requests.
type dispatcher struct {
	random *rand.Rand

	mu      sync.Mutex
	core    *routing.Dispatcher
	pools   map[string]bool
	waiting map[string]*waiter
	targets map[string]routing.TargetState
}

// waiter is a queued request. noTargetSince is the time since which this host has had no target for
// it, or zero if it has one.
type waiter struct {
	result        chan dispatchResult
	pool, model   string
	noTargetSince time.Time
}

// noTargetTimeout is how long a request stays queued while this host has no target for it, as after
// a change of target owners. The request is then refused, so that the entry host can try another
// owner.
const noTargetTimeout = 300 * time.Millisecond

// dispatchResult is the assignment of a queued request to a target, or the reason for its refusal.
type dispatchResult struct {
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
	k.Every("dispatcher/tick", dispatchInterval, func(context.Context) {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := time.Now()
		d.refuseWithoutTarget(now)
		d.dispatchQueued(now)
	})
	return nil
}

// Stop implements kernel.Service.
func (d *dispatcher) Stop(context.Context) error { return nil }

// SetConfig applies the queue limits and the weights of the tenancies.
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

// permit allows one request to be sent to one target and occupies a slot there until Done.
type permit struct {
	dispatcher *dispatcher
	request    string
	Target     string
	assignedAt time.Time
}

// Acquire waits until the request may be sent to a target. All its errors have the outcome not_run.
func (d *dispatcher) Acquire(ctx context.Context, r routing.Request) (*permit, error) {
	result := make(chan dispatchResult, 1)
	d.mu.Lock()
	now := time.Now()
	if err := d.core.Enqueue(now, r); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	d.waiting[r.ID] = &waiter{result: result, pool: r.Pool, model: r.Model}
	d.dispatchQueued(now)
	d.mu.Unlock()
	select {
	case v := <-result:
		return d.newPermit(r.ID, v)
	case <-ctx.Done():
		return nil, d.abandon(ctx, r.ID, result)
	}
}

func (d *dispatcher) newPermit(request string, v dispatchResult) (*permit, error) {
	if v.err != nil {
		return nil, v.err
	}
	return &permit{dispatcher: d, request: request, Target: v.assignment.Target, assignedAt: time.Now()}, nil
}

// abandon removes a request from the queue and returns the reason why it ended. If it was assigned
// in the meantime, its slot is released.
func (d *dispatcher) abandon(ctx context.Context, request string, result chan dispatchResult) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	delete(d.waiting, request)
	if !d.core.Cancel(now, request) {
		select {
		case v := <-result:
			if v.err == nil {
				d.core.Done(now, request, routing.Result{Kind: routing.ResultCancelled})
			}
		default:
		}
	}
	d.dispatchQueued(now)
	if ctx.Err() == context.Canceled {
		return &errs.Unavailable{Resource: "caller", Reason: "the request was cancelled before dispatch"}
	}
	return &errs.Deadline{Operation: "queue", Outcome: errs.NotRun}
}

// RecordProgress records the number of tokens generated so far.
func (p *permit) RecordProgress(tokens int) {
	p.dispatcher.mu.Lock()
	defer p.dispatcher.mu.Unlock()
	p.dispatcher.core.RecordProgress(time.Now(), p.request, tokens)
}

// Done records the result of the request and releases its slot on the target.
func (p *permit) Done(kind routing.ResultKind, tokens int, firstToken time.Duration) {
	p.dispatcher.mu.Lock()
	defer p.dispatcher.mu.Unlock()
	now := time.Now()
	p.dispatcher.core.Done(now, p.request, routing.Result{
		Tokens: tokens, Kind: kind, TimeToFirstToken: firstToken, Duration: now.Sub(p.assignedAt),
	})
	p.dispatcher.dispatchQueued(now)
}

// dispatchQueued delivers new assignments and refusals to the waiting requests. The caller must
// hold d.mu.
func (d *dispatcher) dispatchQueued(now time.Time) {
	for _, a := range d.core.Next(now) {
		d.deliver(a.RequestID, dispatchResult{assignment: a})
	}
	for _, r := range d.core.TakeRefusals() {
		d.deliver(r.RequestID, dispatchResult{err: r.Err})
	}
}

func (d *dispatcher) deliver(request string, v dispatchResult) {
	if w, ok := d.waiting[request]; ok {
		delete(d.waiting, request)
		w.result <- v
	}
}

// refuseWithoutTarget refuses the requests for which this host has had no target for
// noTargetTimeout. The caller must hold d.mu.
func (d *dispatcher) refuseWithoutTarget(now time.Time) {
	for id, w := range d.waiting {
		switch {
		case d.hasTarget(w.pool, w.model):
			w.noTargetSince = time.Time{}
		case w.noTargetSince.IsZero():
			w.noTargetSince = now
		case now.Sub(w.noTargetSince) >= noTargetTimeout && d.core.Cancel(now, id):
			d.deliver(id, dispatchResult{err: &errs.Unavailable{Resource: "pool " + w.pool, Reason: "this host owns no target of it"}})
		}
	}
}

// hasTarget reports whether this host has a target of the pool that is not leaving and has loaded
// the model. An empty model matches every target.
func (d *dispatcher) hasTarget(pool, model string) bool {
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
	d.dispatchQueued(now)
}

// RemoveTarget removes a target.
func (d *dispatcher) RemoveTarget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.targets, id)
	d.core.RemoveTarget(time.Now(), id)
}

// ApplyCacheEvent records a change in a target's prefix cache.
func (d *dispatcher) ApplyCacheEvent(id string, e routing.CacheEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.ApplyCacheEvent(time.Now(), id, e)
}

// sampleCapacity is the number of free slots for samples of one pool and model on this host, with
// the newest loaded version of the model.
type sampleCapacity struct {
	pool, model string
	version     uint64
	free        int
}

// SampleCapacity lists the free slots by pool and model. The models of a pool share its slots, so
// the sum over the models can exceed the free slots of the pool.
func (d *dispatcher) SampleCapacity() []sampleCapacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var list []sampleCapacity
	for pool := range d.pools {
		free := d.core.FreeSampleSlots(now, pool)
		if free <= 0 {
			continue
		}
		for model, version := range d.loadedVersions(pool) {
			list = append(list, sampleCapacity{pool: pool, model: model, version: version, free: free})
		}
	}
	return list
}

// loadedVersions returns the newest loaded version of each model of a pool.
func (d *dispatcher) loadedVersions(pool string) map[string]uint64 {
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

// Summary returns the state that this host publishes to the other hosts. A pool whose targets are
// all suspended is published as full with a capacity of 1: it is chosen only if no other host has
// free capacity, and the requests that arrive then probe its targets.
func (d *dispatcher) Summary() hostSummary {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	pools := make(map[string]routing.PoolSummary, len(d.pools))
	for pool := range d.pools {
		s := d.core.Summary(now, pool)
		if versions := d.loadedVersions(pool); s.Capacity == 0 && (len(versions) > 0 || d.hasTarget(pool, "")) {
			s = routing.PoolSummary{Capacity: 1, Load: max(1, s.Load), Versions: versions}
		}
		if s.Capacity > 0 {
			pools[pool] = s
		}
	}
	return hostSummary{Pools: pools}
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
