package routing

import (
	"slices"
	"time"
)

// movingAverage is an exponentially weighted moving average. Its value is zero until the first
// measurement.
type movingAverage struct{ value float64 }

func (a *movingAverage) add(v, weight float64) {
	if a.value == 0 {
		a.value = v
		return
	}
	a.value += weight * (v - a.value)
}

const (
	endpointAverageWeight = 0.2 // weight of a new measurement in an average of one target
	poolAverageWeight     = 0.05
	windowDecreaseFactor  = 0.85 // the window decreases multiplicatively and grows by one
	firstTokenFactor      = 4    // tolerated ratio of the average to the minimum time to first token
	// firstTokenSlackShare is the part of the service time by which the first token may be delayed
	// before the window shrinks. Cache hits alone change the prefill time by several tenths of a
	// second; at 0.1, the windows of targets with cold caches shrank to one request.
	firstTokenSlackShare = 0.5
	suspendAfterFailures = 3 // consecutive failures after which a target is suspended
	resumeAfterProbes    = 2 // consecutive successful probes that end a suspension
	maxProbeSlowdown     = 2 // maximum time per token of a successful probe, relative to the pool average
	// stallFactor is the multiple of the expected service time without progress after which a request
	// is stalled. Output lengths are heavy-tailed: some requests run several times longer than expected.
	stallFactor      = 6
	finishedRingSize = 64 // finished requests that are kept to interpret delayed load reports
)

// serviceInterval is the period that a finished request spent on a target.
type serviceInterval struct{ from, to time.Time }

// Endpoint is the dispatcher's view of a target.
type Endpoint struct {
	state   TargetState
	cfg     *Config
	pool    *pool
	removed bool

	window          float64
	inflight        []*pendingRequest
	externalLoad    int // requests in the last load report that other dispatchers sent
	finished        [finishedRingSize]serviceInterval
	finishedNext    int
	freeIndex       int           // index in pool.free, or -1
	reserved        bool          // for desk requests; see pool.chooseReserved
	lastHeard       time.Time     // time of the last load report, progress report or result
	loadMeasuredAt  time.Time     // measurement time of the newest load report
	tokenTime       movingAverage // seconds per token
	firstToken      movingAverage // seconds
	serviceTime     movingAverage // seconds
	minFirstToken   float64       // seconds
	windowShrunkAt  time.Time     // time of the last window decrease
	modelsChangedAt time.Time     // last change of the loaded models; requests sent before may include a pause

	suspended      bool
	failures       int // consecutive failed requests
	goodProbes     int // consecutive successful probes of a suspended target
	probesInFlight int
	nextProbeAt    time.Time
	probeDelay     time.Duration

	prefixMatch    float64
	matchLookup    uint64 // value of prefixIndex.lookup for which prefixMatch holds
	prefixes       *prefixIndex
	cacheSeq       uint64    // highest sequence number of an applied cache event
	eventsLostAt   time.Time // time at which the last gap in the cache events was detected
	cacheClearedAt time.Time
}

// ID returns the target's name.
func (e *Endpoint) ID() string { return e.state.ID }

// Domain returns the target's failure domain.
func (e *Endpoint) Domain() string { return e.state.Domain }

// Version returns the loaded version of a model and whether the model is loaded.
func (e *Endpoint) Version(model string) (uint64, bool) {
	v, ok := e.state.Loaded[model]
	return v, ok
}

// Load returns the estimated number of requests on the target: the exact number sent by this
// dispatcher plus the number sent by others according to the last load report.
func (e *Endpoint) Load() int { return len(e.inflight) + e.externalLoad }

// Window returns the dispatch window: the maximum number of concurrent requests on the target.
func (e *Endpoint) Window() int { return max(1, int(e.window)) }

func (e *Endpoint) maxWindow() int {
	if e.state.Slots > 0 {
		return e.state.Slots
	}
	return e.cfg.MaxWindow
}

// FreeWindow returns the number of requests of a kind that may be added to those on the target.
func (e *Endpoint) FreeWindow(k Kind) int {
	limit := e.Window()
	if k == Sample && e.reserved {
		limit = min(limit, max(1, e.pool.reservedLoadLimit))
	}
	return max(0, limit-e.Load())
}

// Healthy reports whether the target may receive requests other than probes.
func (e *Endpoint) Healthy(now time.Time) bool {
	return !e.removed && !e.state.Leaving && !e.suspended && !e.silent(now)
}

func (e *Endpoint) silent(now time.Time) bool { return now.Sub(e.lastHeard) > e.cfg.SilentAfter }

// PrefixMatch returns the estimated fraction of the current request's prompt that is in the target's
// prefix cache, multiplied by the confidence in the prefix entry.
func (e *Endpoint) PrefixMatch() float64 {
	if e.matchLookup != e.prefixes.lookup {
		return 0
	}
	return e.prefixMatch
}

// applyLoadReport derives the load caused by other dispatchers from a load report: it subtracts the
// requests that this dispatcher had on the target at the time of the measurement.
func (e *Endpoint) applyLoadReport(now time.Time, l LoadReport) {
	at := l.MeasuredAt
	if at.IsZero() {
		at = now.Add(-e.cfg.ReportLag)
	}
	e.lastHeard = now
	if at.Before(e.loadMeasuredAt) {
		return // reports may arrive out of order
	}
	e.loadMeasuredAt = at
	own := 0
	for _, pr := range e.inflight {
		if !pr.dispatchedAt.After(at) {
			own++
		}
	}
	for _, s := range e.finished {
		if !s.from.IsZero() && !s.from.After(at) && s.to.After(at) {
			own++
		}
	}
	e.externalLoad = max(0, l.Running+l.Queued-own)
	if l.Queued > 0 {
		e.shrinkWindow(now) // the window exceeds the number of requests that the engine runs at once
	}
}

func (e *Endpoint) removeInflight(now time.Time, pr *pendingRequest) {
	if i := slices.Index(e.inflight, pr); i >= 0 {
		e.inflight = slices.Delete(e.inflight, i, i+1)
	}
	e.finished[e.finishedNext] = serviceInterval{pr.dispatchedAt, now}
	e.finishedNext = (e.finishedNext + 1) % finishedRingSize
}

// recordResult updates the statistics and the health of the target with a finished request.
func (e *Endpoint) recordResult(now time.Time, pr *pendingRequest, r Result) {
	switch r.Kind {
	case ResultCancelled:
		return
	case ResultRefused:
		e.lastHeard = now
		e.shrinkWindow(now)
		return
	case ResultFailed, ResultTimeout:
		e.failures++
		e.goodProbes = 0
		if e.failures >= suspendAfterFailures || r.Kind == ResultTimeout {
			e.suspend(now)
		}
		return
	}
	e.lastHeard, e.failures = now, 0
	if !pr.dispatchedAt.After(e.modelsChangedAt) {
		return
	}
	// A service without models reports no tokens; its answer counts as one token.
	perToken := max(r.Duration-r.TimeToFirstToken, time.Microsecond).Seconds() / float64(max(1, r.Tokens))
	e.recordTokenTime(now, perToken, pr.probe)
	e.serviceTime.add(r.Duration.Seconds(), endpointAverageWeight)
	e.recordFirstToken(now, r.TimeToFirstToken.Seconds())
}

// recordTokenTime adds a time per token to the averages of the target and the pool, and suspends the
// target if it is much slower than the pool. On a suspended target, only probes are evaluated.
func (e *Endpoint) recordTokenTime(now time.Time, seconds float64, probe bool) {
	if e.suspended {
		if probe {
			e.evaluateProbe(seconds)
		}
		return
	}
	e.tokenTime.add(seconds, endpointAverageWeight)
	average := e.pool.tokenTime.value
	if average > 0 && len(e.pool.endpoints) > 1 && e.tokenTime.value > e.cfg.SlowFactor*average {
		e.suspend(now)
		return
	}
	e.pool.recordTokenTime(seconds, float64(e.Load()))
}

// evaluateProbe ends the suspension after enough successful probes. The target starts again with a
// small window and without statistics.
func (e *Endpoint) evaluateProbe(seconds float64) {
	if average := e.pool.tokenTime.value; average > 0 && seconds > maxProbeSlowdown*average {
		e.goodProbes = 0
		return
	}
	e.goodProbes++
	e.probeDelay = e.cfg.ProbeInterval
	if e.goodProbes < resumeAfterProbes {
		return
	}
	e.suspended, e.failures, e.goodProbes = false, 0, 0
	e.tokenTime, e.firstToken = movingAverage{}, movingAverage{}
	e.window = float64(max(1, e.maxWindow()/4))
}

// recordFirstToken adapts the window to the time to first token. A late first token indicates that
// requests are queued in the engine, where they can no longer be reordered.
func (e *Endpoint) recordFirstToken(now time.Time, seconds float64) {
	e.firstToken.add(seconds, endpointAverageWeight)
	e.pool.firstToken.add(seconds, poolAverageWeight)
	if e.minFirstToken == 0 || seconds < e.minFirstToken {
		e.minFirstToken = seconds
	} else {
		e.minFirstToken += 0.002 * (seconds - e.minFirstToken) // drifts upwards, to follow permanent changes
	}
	if e.Load()+1 < e.Window() {
		return // the window is not the limiting factor
	}
	if e.firstToken.value > firstTokenFactor*e.minFirstToken+firstTokenSlackShare*e.serviceTime.value {
		e.shrinkWindow(now)
		return
	}
	if now.Sub(e.windowShrunkAt) > time.Second {
		e.window = min(float64(e.maxWindow()), e.window+1)
	}
}

// shrinkWindow decreases the window at most once per second.
func (e *Endpoint) shrinkWindow(now time.Time) {
	if now.Sub(e.windowShrunkAt) < time.Second {
		return
	}
	e.windowShrunkAt = now
	e.window = max(1, e.window*windowDecreaseFactor)
}

func (e *Endpoint) suspend(now time.Time) {
	if !e.suspended {
		e.suspended = true
		e.goodProbes = 0
		e.probeDelay = e.cfg.ProbeInterval
		e.nextProbeAt = now.Add(e.probeDelay)
	}
	e.pool.addProbeCandidate(e)
}

// probeDue reports whether it is time to send a probe to a suspended or silent target.
func (e *Endpoint) probeDue(now time.Time) bool {
	return !e.removed && !e.state.Leaving && e.probesInFlight == 0 && !now.Before(e.nextProbeAt)
}

// stalled reports whether the target has requests in flight and each of them has been without progress
// for much longer than its expected service time.
func (e *Endpoint) stalled(now time.Time) bool {
	if len(e.inflight) == 0 || e.pool.tokenTime.value == 0 {
		return false
	}
	for _, pr := range e.inflight {
		since := pr.dispatchedAt
		if pr.lastProgressAt.After(since) {
			since = pr.lastProgressAt
		}
		if now.Sub(since) < time.Duration(stallFactor)*e.pool.expectedServiceTime(pr.req.ExpectedTokens)+e.cfg.SilentAfter {
			return false
		}
	}
	return true
}
