package routing

import (
	"slices"
	"time"
)

// average is an exponentially weighted moving average; zero means no value yet.
type average struct{ value float64 }

func (a *average) add(v, weight float64) {
	if a.value == 0 {
		a.value = v
		return
	}
	a.value += weight * (v - a.value)
}

const (
	sampleWeight     = 0.2 // weight of a new measurement of one target
	poolWeight       = 0.05
	windowDecrease   = 0.85
	firstTokenFactor = 4
	// queueShare is the part of the service time by which first tokens may be late before the
	// window shrinks. Prefill alone varies by several tenths of a second with cache hits; with
	// 0.1 targets with cold caches shrank to a window of one.
	queueShare      = 0.5
	failuresAllowed = 3 // consecutive failures that suspend a target
	probesToReturn  = 2 // consecutive good probes that end a suspension
	goodProbeFactor = 2 // a good probe's time per token, relative to the pool
	stallFactor     = 6 // heavy-tailed outputs run several times longer than expected
	recentDone      = 64
)

// span is the time that a finished request spent on a target.
type span struct{ from, to time.Time }

// Endpoint is the dispatcher's view of a target.
type Endpoint struct {
	state TargetState
	cfg   *Config
	pool  *pool
	gone  bool

	window     float64
	inflight   []*item
	foreign    int // work in the last report that this dispatcher did not send
	done       [recentDone]span
	doneNext   int
	freeIndex  int // index in pool.free, or -1
	quiet      bool
	heard      time.Time // last report or result
	measured   time.Time // when the newest report was measured
	tokenTime  average   // seconds per token
	firstToken average   // seconds
	service    average   // seconds
	bestFirst  float64
	adjusted   time.Time // last decrease of the window
	changed    time.Time // last change of the loaded models, during which the target may pause

	suspended  bool
	failures   int
	goodProbes int
	probing    int
	probeAt    time.Time
	probeDelay time.Duration

	match         float64
	matchDecision uint64
	view          *prefixView
	cacheSeq      uint64
	gapAt         time.Time
	clearedAt     time.Time
}

// ID returns the target's name.
func (e *Endpoint) ID() string { return e.state.ID }

// Domain returns the target's failure domain.
func (e *Endpoint) Domain() string { return e.state.Domain }

// Version returns the loaded version of a model.
func (e *Endpoint) Version(model string) (uint64, bool) {
	v, ok := e.state.Loaded[model]
	return v, ok
}

// Load returns the requests believed to be on the target: those sent from here, which are
// known exactly, and those of others according to the last report.
func (e *Endpoint) Load() int { return len(e.inflight) + e.foreign }

// Window returns the number of requests that may be on the target at once.
func (e *Endpoint) Window() int { return max(1, int(e.window)) }

func (e *Endpoint) maxWindow() int {
	if e.state.Slots > 0 {
		return e.state.Slots
	}
	return e.cfg.MaxWindow
}

// Room returns how many more requests of a kind fit into the window.
func (e *Endpoint) Room(k Kind) int {
	limit := e.Window()
	if k == Sample && e.quiet {
		limit = min(limit, max(1, e.pool.quietLimit))
	}
	return max(0, limit-e.Load())
}

// Healthy reports whether the target may receive ordinary work.
func (e *Endpoint) Healthy(now time.Time) bool {
	return !e.gone && !e.state.Leaving && !e.suspended && !e.silent(now)
}

func (e *Endpoint) silent(now time.Time) bool { return now.Sub(e.heard) > e.cfg.SilentAfter }

// PrefixMatch returns the share of the current request's prompt that the target is believed
// to hold, reduced by the age of that belief.
func (e *Endpoint) PrefixMatch() float64 {
	if e.matchDecision != e.view.decision {
		return 0
	}
	return e.match
}

// report corrects a lagging report by the requests sent from here: what the report counts
// and this dispatcher did not have on the target at that time belongs to others.
func (e *Endpoint) report(now time.Time, l LoadReport) {
	at := l.MeasuredAt
	if at.IsZero() {
		at = now.Add(-e.cfg.ReportLag)
	}
	e.heard = now
	if at.Before(e.measured) {
		return // an older report that arrived late
	}
	e.measured = at
	own := 0
	for _, it := range e.inflight {
		if !it.started.After(at) {
			own++
		}
	}
	for _, s := range e.done {
		if !s.from.IsZero() && !s.from.After(at) && s.to.After(at) {
			own++
		}
	}
	e.foreign = max(0, l.Running+l.Queued-own)
	if l.Queued > 0 {
		e.shrink(now) // the engine runs fewer requests at once than the window allows
	}
}

func (e *Endpoint) remove(now time.Time, it *item) {
	if i := slices.Index(e.inflight, it); i >= 0 {
		e.inflight = slices.Delete(e.inflight, i, i+1)
	}
	e.done[e.doneNext] = span{it.started, now}
	e.doneNext = (e.doneNext + 1) % recentDone
}

// observe learns from a finished request.
func (e *Endpoint) observe(now time.Time, it *item, r Result) {
	switch r.Kind {
	case ResultCancelled:
		return
	case ResultRefused:
		e.heard = now
		e.shrink(now)
		return
	case ResultFailed, ResultTimeout:
		e.failures++
		e.goodProbes = 0
		if e.failures >= failuresAllowed || r.Kind == ResultTimeout {
			e.suspend(now)
		}
		return
	}
	e.heard, e.failures = now, 0
	if !it.started.After(e.changed) {
		return
	}
	// A plain service reports no tokens; its whole answer counts as one.
	perToken := max(r.Duration-r.TimeToFirstToken, time.Microsecond).Seconds() / float64(max(1, r.Tokens))
	e.observeTokenTime(now, perToken, it.probe)
	e.service.add(r.Duration.Seconds(), sampleWeight)
	e.observeFirstToken(now, r.TimeToFirstToken.Seconds())
}

func (e *Endpoint) observeTokenTime(now time.Time, seconds float64, probe bool) {
	if e.suspended {
		if probe {
			e.judgeProbe(seconds)
		}
		return
	}
	e.tokenTime.add(seconds, sampleWeight)
	ref := e.pool.tokenTime.value
	if ref > 0 && len(e.pool.endpoints) > 1 && e.tokenTime.value > e.cfg.SlowFactor*ref {
		e.suspend(now)
		return
	}
	e.pool.observeTokenTime(seconds, float64(e.Load()))
}

func (e *Endpoint) judgeProbe(seconds float64) {
	if ref := e.pool.tokenTime.value; ref > 0 && seconds > goodProbeFactor*ref {
		e.goodProbes = 0
		return
	}
	e.goodProbes++
	e.probeDelay = e.cfg.ProbeInterval
	if e.goodProbes < probesToReturn {
		return
	}
	e.suspended, e.failures, e.goodProbes = false, 0, 0
	e.tokenTime, e.firstToken = average{}, average{}
	e.window = float64(max(1, e.maxWindow()/4))
}

// observeFirstToken adapts the window: a late first token means that requests queue in the
// engine, where their order can no longer be chosen.
func (e *Endpoint) observeFirstToken(now time.Time, seconds float64) {
	e.firstToken.add(seconds, sampleWeight)
	e.pool.firstToken.add(seconds, poolWeight)
	if e.bestFirst == 0 || seconds < e.bestFirst {
		e.bestFirst = seconds
	} else {
		e.bestFirst += 0.002 * (seconds - e.bestFirst) // lets the best value follow lasting change
	}
	if e.Load()+1 < e.Window() {
		return // the window does not limit the target
	}
	if e.firstToken.value > firstTokenFactor*e.bestFirst+queueShare*e.service.value {
		e.shrink(now)
		return
	}
	if now.Sub(e.adjusted) > time.Second {
		e.window = min(float64(e.maxWindow()), e.window+1)
	}
}

func (e *Endpoint) shrink(now time.Time) {
	if now.Sub(e.adjusted) < time.Second {
		return
	}
	e.adjusted = now
	e.window = max(1, e.window*windowDecrease)
}

func (e *Endpoint) suspend(now time.Time) {
	if !e.suspended {
		e.suspended = true
		e.goodProbes = 0
		e.probeDelay = e.cfg.ProbeInterval
		e.probeAt = now.Add(e.probeDelay)
	}
	e.pool.track(e)
}

// probeDue reports whether a suspended or silent target may receive a probe.
func (e *Endpoint) probeDue(now time.Time) bool {
	return !e.gone && !e.state.Leaving && e.probing == 0 && !now.Before(e.probeAt)
}

// stalled reports whether the target has produced nothing for much longer than its oldest
// request should have taken.
func (e *Endpoint) stalled(now time.Time) bool {
	if len(e.inflight) == 0 || e.pool.tokenTime.value == 0 {
		return false
	}
	for _, it := range e.inflight {
		since := it.started
		if it.progressAt.After(since) {
			since = it.progressAt
		}
		if now.Sub(since) < time.Duration(stallFactor)*e.pool.expected(it.req.ExpectedTokens)+e.cfg.SilentAfter {
			return false
		}
	}
	return true
}
