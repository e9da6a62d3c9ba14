package measure

import (
	"maps"
	"time"

	"fuchsiaflow/routing"
)

const (
	engineSlots         = 16
	baseTokenSeconds    = 0.010 // time per token of a single request
	batchSlowdown       = 0.04  // relative increase of the time per token for each further request in the batch
	prefillTokenSeconds = 0.00025
	cachedPrompts       = 24 // capacity of the prefix cache
	prefixBlocks        = 4  // prefix keys per prompt
)

// prompt is the input of a request. The samples of a group share one prompt.
type prompt struct {
	id     uint64
	tokens int
}

func (p prompt) prefixKeys() []uint64 {
	keys := make([]uint64, prefixBlocks)
	for i := range keys {
		keys[i] = p.id*prefixBlocks + uint64(i) + 1
	}
	return keys
}

// job is one attempt of a request.
type job struct {
	id             string
	kind           routing.Kind
	tenancy        string
	pool           string
	model          string
	minVersion     uint64 // of the weights
	prompt         prompt
	tokens         int // actual output length, unknown to the policies
	expectedTokens int
	deadline       time.Time
	stepDeadline   time.Time    // of the sample's step
	domain         string       // of the host that submits it
	work           *Work        // nil for desk requests
	deskRequest    *deskRequest // nil for samples

	engine        *engine
	sentAt        time.Time
	firstTokenAt  time.Time
	stageEnd      float64 // value of engine.workDone at which the prefill or the generation ends
	prefill       bool
	oldestVersion uint64 // oldest version that produced tokens
	cancelled     bool
}

// engine is a simulated model engine: continuous batching whose rate per request decreases with the
// batch size, FIFO admission, and an LRU prefix cache.
type engine struct {
	sim              *simulation
	id               string
	domain           string
	pool             string
	baseTokenSeconds float64
	slowdown         float64
	up               bool
	paused           bool
	pausePending     bool // a swap waits for desk requests to end
	incarnation      uint64
	versions         map[string]uint64
	running          []*job
	queue            []*job
	workDone         float64 // tokens produced per running request so far, including the equivalent of the prefill
	updated          time.Time
	timerGeneration  uint64
	cache            []uint64 // prompt IDs, least recently used first
	cacheSeq         uint64
}

func (e *engine) tokenSeconds() float64 {
	return e.baseTokenSeconds * e.slowdown * (1 + batchSlowdown*float64(max(0, len(e.running)-1)))
}

// advance updates workDone to the current time. It must be called before every change of the engine's
// speed or batch.
func (e *engine) advance() {
	if e.up && !e.paused && len(e.running) > 0 {
		e.workDone += e.sim.now.Sub(e.updated).Seconds() / e.tokenSeconds()
	}
	e.updated = e.sim.now
}

// schedule sets the timer for the next end of a prefill or generation and invalidates the previous
// timer.
func (e *engine) schedule() {
	e.timerGeneration++
	if !e.up || e.paused || len(e.running) == 0 {
		return
	}
	next := e.running[0].stageEnd
	for _, j := range e.running[1:] {
		next = min(next, j.stageEnd)
	}
	generation := e.timerGeneration
	e.sim.after(seconds(max(0, next-e.workDone)*e.tokenSeconds())+time.Microsecond, func() {
		if generation == e.timerGeneration {
			e.completeStages()
		}
	})
}

// completeStages moves requests from prefill to generation and ends those that are complete.
func (e *engine) completeStages() {
	e.advance()
	var finished []*job
	kept := e.running[:0]
	for _, j := range e.running {
		switch {
		case j.stageEnd > e.workDone:
			kept = append(kept, j)
		case j.prefill:
			j.prefill = false
			j.firstTokenAt = e.sim.now
			j.stageEnd += float64(j.tokens)
			kept = append(kept, j)
		default:
			finished = append(finished, j)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.admit()
	e.schedule()
	for _, j := range finished {
		e.sim.handleFinished(j, routing.ResultOK)
	}
}

// enqueue adds a request to the queue. It returns false if the engine is down or its queue is full.
func (e *engine) enqueue(j *job) bool {
	if !e.up || len(e.queue) >= e.sim.scenario.QueueBound {
		return false
	}
	e.advance()
	j.engine, j.sentAt = e, e.sim.now
	e.queue = append(e.queue, j)
	e.admit()
	e.schedule()
	return true
}

func (e *engine) admit() {
	for !e.paused && len(e.queue) > 0 && len(e.running) < engineSlots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.prefill = true
		j.oldestVersion = e.versions[j.model]
		j.stageEnd = e.workDone + e.prefillWork(j.prompt)
		e.running = append(e.running, j)
	}
}

// prefillWork looks up the prompt in the cache, adds it, and returns the work of the prefill in tokens.
func (e *engine) prefillWork(p prompt) float64 {
	for i, id := range e.cache {
		if id == p.id {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), id)
			return 1
		}
	}
	e.cache = append(e.cache, p.id)
	e.sim.cacheEvent(e, routing.CacheStored, p.id)
	if len(e.cache) > cachedPrompts {
		e.sim.cacheEvent(e, routing.CacheEvicted, e.cache[0])
		e.cache = e.cache[1:]
	}
	return 1 + float64(p.tokens)*prefillTokenSeconds/baseTokenSeconds
}

func remove(jobs []*job, j *job) []*job {
	for i := range jobs {
		if jobs[i] == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// cancel removes a request without reporting a result.
func (e *engine) cancel(j *job) {
	e.advance()
	e.running, e.queue = remove(e.running, j), remove(e.queue, j)
	e.admit()
	e.schedule()
}

// crash fails all requests and clears the cache. The engine restarts after downtime.
func (e *engine) crash(downtime time.Duration) {
	if !e.up {
		return
	}
	e.advance()
	lost := append(e.running, e.queue...)
	e.running, e.queue, e.cache = nil, nil, nil
	e.up = false
	e.schedule()
	for _, j := range lost {
		e.sim.handleFinished(j, routing.ResultFailed)
	}
	e.sim.after(downtime, func() {
		e.up, e.paused = true, false
		e.incarnation++
		e.updated = e.sim.now
		e.sim.announce(e)
	})
}

// drainAndSwap waits until the running desk requests have ended or the deadline has passed, and then
// swaps. The announcement with PausePending keeps new desk requests away meanwhile.
func (e *engine) drainAndSwap(o SwapOrder, deadline time.Time, done func(ok bool)) {
	if e.up && !e.paused && e.deskRequests() > 0 && e.sim.now.Before(deadline) {
		if !e.pausePending {
			e.pausePending = true
			e.sim.announce(e)
		}
		e.sim.after(pollInterval, func() { e.drainAndSwap(o, deadline, done) })
		return
	}
	e.swap(o.Model, o.Version, swapDuration, done)
}

func (e *engine) deskRequests() (n int) {
	for _, j := range e.running {
		if j.kind == routing.Desk {
			n++
		}
	}
	return n
}

// swap pauses the engine for d while it loads a version. Running requests then continue on the new
// version and keep the older one in their label.
func (e *engine) swap(model string, version uint64, d time.Duration, done func(ok bool)) {
	if !e.up || e.paused {
		e.pausePending = false
		done(false)
		return
	}
	e.advance()
	e.paused, e.pausePending = true, false
	e.schedule()
	e.sim.announce(e)
	incarnation := e.incarnation
	e.sim.after(d, func() {
		if incarnation != e.incarnation || !e.up {
			done(false)
			return
		}
		e.advance()
		e.paused = false
		failed := e.sim.rng.swap.Float64() < e.sim.scenario.SwapFailureRate
		if !failed {
			e.versions[model] = max(version, e.versions[model])
		}
		e.admit()
		e.schedule()
		e.sim.announce(e)
		done(!failed)
	})
}

// targetState returns the announcement of the engine. A paused engine announces no models.
func (e *engine) targetState() routing.TargetState {
	s := routing.TargetState{ID: e.id, Incarnation: e.incarnation, Domain: e.domain, Pool: e.pool, Slots: engineSlots}
	s.PausePending = e.pausePending
	if !e.paused {
		s.Loaded = maps.Clone(e.versions)
	}
	s.Load = routing.LoadReport{Running: len(e.running), Queued: len(e.queue), MeasuredAt: e.sim.now}
	return s
}
