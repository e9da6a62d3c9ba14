package measure

import (
	"maps"
	"time"

	"fuchsiaflow/routing"
)

const (
	engineSlots      = 16
	baseTokenTime    = 0.010 // seconds per token of a lone request
	batchSlowdown    = 0.04  // added share of the token time per further request in the batch
	prefillTokenTime = 0.00025
	cachedPrompts    = 24
	prefixBlocks     = 4
)

// prompt is the input of a request; samples of a group share one.
type prompt struct {
	id     uint64
	tokens int
}

func (p prompt) keys() []uint64 {
	keys := make([]uint64, prefixBlocks)
	for i := range keys {
		keys[i] = p.id*prefixBlocks + uint64(i) + 1
	}
	return keys
}

// job is one attempt of a request.
type job struct {
	id       string
	kind     routing.Kind
	tenancy  string
	pool     string
	model    string
	version  uint64 // minimum
	prompt   prompt
	tokens   int // true output length, unknown to the policies
	expected int
	deadline time.Time
	due      time.Time // step deadline
	domain   string    // of the entry host, or of the tenancy's home
	work     *Work     // samples
	desk     *deskCall // desk requests

	engine    *engine
	sent      time.Time
	firstAt   time.Time
	milestone float64 // engine work at which the next stage ends
	prefill   bool
	oldest    uint64 // oldest version that produced tokens
	cancelled bool
}

// engine is a fake model engine: continuous batching whose rate per request falls with
// concurrency, admission in arrival order, and a prefix cache in limited memory.
type engine struct {
	w        *world
	id       string
	domain   string
	pool     string
	base     float64
	slow     float64
	up       bool
	paused   bool
	pausing  bool // a swap waits for desk requests to end
	inc      uint64
	versions map[string]uint64
	running  []*job
	queue    []*job
	work     float64 // token equivalents produced per running request so far
	updated  time.Time
	timer    uint64
	cache    []uint64 // prompt IDs, least recently used first
	cacheSeq uint64
}

func (e *engine) tokenTime() float64 {
	return e.base * e.slow * (1 + batchSlowdown*float64(max(0, len(e.running)-1)))
}

// advance brings the work done up to date; it is called before every change.
func (e *engine) advance() {
	if e.up && !e.paused && len(e.running) > 0 {
		e.work += e.w.now.Sub(e.updated).Seconds() / e.tokenTime()
	}
	e.updated = e.w.now
}

// schedule sets the timer for the next stage that ends.
func (e *engine) schedule() {
	e.timer++
	if !e.up || e.paused || len(e.running) == 0 {
		return
	}
	next := e.running[0].milestone
	for _, j := range e.running[1:] {
		next = min(next, j.milestone)
	}
	timer := e.timer
	e.w.after(seconds(max(0, next-e.work)*e.tokenTime())+time.Microsecond, func() {
		if timer == e.timer {
			e.fire()
		}
	})
}

func (e *engine) fire() {
	e.advance()
	var finished []*job
	kept := e.running[:0]
	for _, j := range e.running {
		switch {
		case j.milestone > e.work:
			kept = append(kept, j)
		case j.prefill:
			j.prefill = false
			j.firstAt = e.w.now
			j.milestone += float64(j.tokens)
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
		e.w.finished(j, routing.ResultOK)
	}
}

// submit hands a request to the engine. It returns false where the engine refuses: it is
// down, or its queue is full.
func (e *engine) submit(j *job) bool {
	if !e.up || len(e.queue) >= e.w.sc.QueueBound {
		return false
	}
	e.advance()
	j.engine, j.sent = e, e.w.now
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
		j.oldest = e.versions[j.model]
		j.milestone = e.work + e.prefillWork(j.prompt)
		e.running = append(e.running, j)
	}
}

// prefillWork looks the prompt up in the cache and returns the work to be done, in tokens.
func (e *engine) prefillWork(p prompt) float64 {
	for i, id := range e.cache {
		if id == p.id {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), id)
			return 1
		}
	}
	e.cache = append(e.cache, p.id)
	e.w.cacheEvent(e, routing.CacheStored, p.id)
	if len(e.cache) > cachedPrompts {
		e.w.cacheEvent(e, routing.CacheEvicted, e.cache[0])
		e.cache = e.cache[1:]
	}
	return 1 + float64(p.tokens)*prefillTokenTime/baseTokenTime
}

func remove(jobs []*job, j *job) []*job {
	for i := range jobs {
		if jobs[i] == j {
			return append(jobs[:i], jobs[i+1:]...)
		}
	}
	return jobs
}

// cancel ends a request without a result.
func (e *engine) cancel(j *job) {
	e.advance()
	e.running, e.queue = remove(e.running, j), remove(e.queue, j)
	e.admit()
	e.schedule()
}

// crash loses all requests and the cache; the engine returns after a while.
func (e *engine) crash(down time.Duration) {
	if !e.up {
		return
	}
	e.advance()
	lost := append(e.running, e.queue...)
	e.running, e.queue, e.cache = nil, nil, nil
	e.up = false
	e.schedule()
	for _, j := range lost {
		e.w.finished(j, routing.ResultFailed)
	}
	e.w.after(down, func() {
		e.up, e.paused = true, false
		e.inc++
		e.updated = e.w.now
		e.w.announce(e)
	})
}

// drainThenSwap waits for the desk requests on the engine to end, for a bounded time. The
// announcement keeps new ones away.
func (e *engine) drainThenSwap(o SwapOrder, deadline time.Time, done func(ok bool)) {
	if e.up && !e.paused && e.desks() > 0 && e.w.now.Before(deadline) {
		if !e.pausing {
			e.pausing = true
			e.w.announce(e)
		}
		e.w.after(pullInterval, func() { e.drainThenSwap(o, deadline, done) })
		return
	}
	e.swap(o.Model, o.Version, swapTime, done)
}

func (e *engine) desks() (n int) {
	for _, j := range e.running {
		if j.kind == routing.Desk {
			n++
		}
	}
	return n
}

// swap pauses the engine while it loads a version. Requests in progress continue on it and
// keep the older version in their label.
func (e *engine) swap(model string, version uint64, d time.Duration, done func(ok bool)) {
	if !e.up || e.paused {
		e.pausing = false
		done(false)
		return
	}
	e.advance()
	e.paused, e.pausing = true, false
	e.schedule()
	e.w.announce(e)
	inc := e.inc
	e.w.after(d, func() {
		if inc != e.inc || !e.up {
			done(false)
			return
		}
		e.advance()
		e.paused = false
		failed := e.w.rng.swap.Float64() < e.w.sc.SwapFailure
		if !failed {
			e.versions[model] = max(version, e.versions[model])
		}
		e.admit()
		e.schedule()
		e.w.announce(e)
		done(!failed)
	})
}

// state is the announcement of the engine; a paused engine offers no model.
func (e *engine) state() routing.TargetState {
	s := routing.TargetState{ID: e.id, Incarnation: e.inc, Domain: e.domain, Pool: e.pool, Slots: engineSlots}
	s.PausePending = e.pausing
	if !e.paused {
		s.Loaded = maps.Clone(e.versions)
	}
	s.Load = routing.LoadReport{Running: len(e.running), Queued: len(e.queue), MeasuredAt: e.w.now}
	return s
}
