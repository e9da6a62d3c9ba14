package ratelimit

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/limits"
)

const (
	// demandTimeout limits one demand. A request waits for it, so that it is a small part of the latency that callers
	// expect.
	demandTimeout = 80 * time.Millisecond
	// unansweredBackoff is how long no share of any quota is asked for after a demand without an answer.
	unansweredBackoff = 250 * time.Millisecond
	// MinAskInterval and maxAskInterval bound the time after a refusal in which no share of the quota is asked for.
	MinAskInterval = 50 * time.Millisecond
	maxAskInterval = 500 * time.Millisecond
	// maxReservationIDs bounds the IDs that a limits.Limiter keeps. Each reservation has an ID of its own.
	maxReservationIDs = 64
	// pruneInterval is how often the state of limits that have ended is dropped.
	pruneInterval = time.Second
)

// The results of asking for a request to a target with a limit, as label values.
const (
	resultAdmitted   = "admitted"
	resultRefused    = "refused"
	resultUnanswered = "unanswered"
)

// Refused is the error of a request that a target with a limit does not take now. It was not sent.
type Refused struct {
	Target string
	After  time.Duration // time until another request may be admitted
}

func (e *Refused) Error() string {
	return "target " + e.Target + " takes no more requests for " + e.After.String()
}

// FailureCode implements errs.Failure.
func (e *Refused) FailureCode() errs.Code { return errs.CodeFull }

// FailureOutcome implements errs.Failure.
func (e *Refused) FailureOutcome() errs.Outcome { return errs.NotRun }

// RetryAfter implements errs.Retryable.
func (e *Refused) RetryAfter() time.Duration { return e.After }

// Leader reaches the leader of the state group.
type Leader struct {
	// Call sends a demand to the leader.
	Call func(ctx context.Context, d Demand) (Grant, error)
	// Local passes a demand to the replica of this host, which answers without waiting; nil on a host without one. It
	// returns an error unless the replica leads.
	Local func(d Demand) (Grant, error)
}

// targetState is what a host knows of the quota of one target.
type targetState struct {
	refusedUntil time.Time     // no share is asked for before
	askers       int           // as last told by the leader
	pending      chan struct{} // closed when the demand in progress has ended; nil if there is none
}

// Limiter admits the requests of this host to targets with a limit. It is safe for concurrent use and implements
// kernel.Service.
type Limiter struct {
	view    *clusterview.View
	leader  Leader
	log     *slog.Logger
	results *observe.Counter
	queue   *kernel.Ring[fleet.RateLimit]

	mu sync.Mutex
	// unansweredUntil is when the leader may be asked again after a demand without an answer.
	unansweredUntil time.Time
	shares          *limits.Limiter
	targets         map[key]*targetState
	returns         map[string]*limits.Returns // by service
	lastID          uint64
}

// New returns a limiter of the targets of a view.
func New(view *clusterview.View, leader Leader, log *slog.Logger, m *observe.Metrics) *Limiter {
	l := &Limiter{view: view, leader: leader, log: log, targets: make(map[key]*targetState), returns: make(map[string]*limits.Returns),
		queue: kernel.NewRing[fleet.RateLimit]("limits", tellQueueSize, kernel.DropOldest),
		shares: limits.NewLimiter(limits.LimiterConfig{Incarnation: uint64(bootclock.Now().UnixNano()), MaxIDs: maxReservationIDs, OnDemand: true,
			MinRetryAfter: MinAskInterval})}
	l.results = m.Counter("target_limit_requests_total", "Requests of this host to targets with a limit, by result.",
		observe.Label{Name: "result", Values: []string{resultAdmitted, resultRefused, resultUnanswered}})
	view.OnRateLimit = func(limit fleet.RateLimit, _ string) { _ = l.queue.Push(context.Background(), limit) } // never blocks
	return l
}

// Start implements kernel.Service.
func (l *Limiter) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("limits/tell", func(ctx context.Context) error { return l.queue.Consume(ctx, l.tell) })
	k.Every("limits/prune", pruneInterval, func(context.Context) { l.prune() })
	return nil
}

// Stop implements kernel.Service.
func (l *Limiter) Stop(context.Context) error { return nil }

// prune drops the state of limits that have ended.
func (l *Limiter) prune() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k, s := range l.targets {
		if _, ok := l.view.RateLimit(k.target, k.incarnation); !ok && s.pending == nil {
			delete(l.targets, k)
			l.shares.Remove(k.String())
		}
	}
	if len(l.targets) == 0 {
		clear(l.returns)
	}
}

// String returns the name of the quota in demands.
func (k key) String() string { return k.target + "@" + strconv.FormatInt(k.incarnation, 10) }

// state returns the state of a target and creates it if necessary. The caller holds the lock.
func (l *Limiter) state(k key) *targetState {
	s := l.targets[k]
	if s == nil {
		s = &targetState{}
		l.targets[k] = s
	}
	return s
}

// oneRequest is the amount of a reservation.
var oneRequest = limits.Amount{Requests: 1}

// take uses a request that this host was granted. The caller holds the lock.
func (l *Limiter) take(now time.Time, k key) bool {
	if !l.shares.Covers(now, k.String(), oneRequest) {
		return false
	}
	l.lastID++
	_ = l.shares.Reserve(now, strconv.FormatUint(l.lastID, 10), k.String(), oneRequest.Requests, 0) // covered
	l.results.Inc(resultAdmitted)
	return true
}

// RefusedFor returns the time for which a target is known to take no more requests of this host; limited is false if
// it states no limit.
func (l *Limiter) RefusedFor(target string, incarnation int64) (wait time.Duration, limited bool) {
	if _, limited = l.view.RateLimit(target, incarnation); !limited {
		return 0, false
	}
	now := bootclock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{target, incarnation}
	s := l.targets[k]
	if s == nil {
		s = &targetState{}
	}
	if l.shares.Covers(now, k.String(), oneRequest) {
		return 0, true
	}
	return max(l.refusedUntil(s).Sub(now), 0), true
}

// refusedUntil returns the time before which no share for a target is asked for. The caller holds the lock.
func (l *Limiter) refusedUntil(s *targetState) time.Time {
	if l.unansweredUntil.After(s.refusedUntil) {
		return l.unansweredUntil
	}
	return s.refusedUntil
}

// isRefused reports whether a request to a target is refused without asking the leader. The caller holds the lock.
func (l *Limiter) isRefused(s *targetState) bool { return bootclock.Now().Before(l.refusedUntil(s)) }

// Acquire admits one request to a target. It returns *Refused if the target states a limit that leaves no room for
// it. It waits for the leader, for demandTimeout at most.
func (l *Limiter) Acquire(ctx context.Context, target string, incarnation int64) error {
	limit, ok := l.view.RateLimit(target, incarnation)
	if !ok {
		return nil
	}
	k := key{target, incarnation}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.take(bootclock.Now(), k) {
		return nil
	}
	if err := l.await(ctx, k, limit); err != nil {
		return err
	}
	if l.take(bootclock.Now(), k) {
		return nil
	}
	return l.refuse(k)
}

// await asks the leader for a request and waits for its answer. The caller holds the lock, which is released while it
// waits.
func (l *Limiter) await(ctx context.Context, k key, limit fleet.RateLimit) error {
	s := l.state(k)
	if l.isRefused(s) {
		return l.refuse(k)
	}
	l.recordWant(k)
	for {
		own := s.pending == nil
		if own {
			s.pending = make(chan struct{})
			go l.ask(k, s, l.demand(k, limit))
		}
		if !l.wait(ctx, s.pending) {
			return l.refuse(k)
		}
		// The demand of another request may have been sent before this one was recorded.
		if own || l.isRefused(s) || l.shares.Covers(bootclock.Now(), k.String(), oneRequest) {
			return nil
		}
	}
}

// wait waits without the lock until a demand has ended. It returns false if ctx is done before.
func (l *Limiter) wait(ctx context.Context, pending <-chan struct{}) bool {
	l.mu.Unlock()
	defer l.mu.Lock()
	select {
	case <-ctx.Done():
		return false
	case <-pending:
		return true
	}
}

// recordWant records a request that no share of this host covers for the next demand. The caller holds the lock.
func (l *Limiter) recordWant(k key) {
	_ = l.shares.Reserve(bootclock.Now(), "", k.String(), oneRequest.Requests, 0) // not covered
}

// demand returns the demand for the requests of a quota that were refused. The caller holds the lock.
func (l *Limiter) demand(k key, limit fleet.RateLimit) Demand {
	return Demand{Limits: l.statements(k.target), Limit: &limit, Share: l.shares.Demand(bootclock.Now(), k.String())}
}

// ask sends a demand to the leader and applies its answer.
func (l *Limiter) ask(k key, s *targetState, d Demand) {
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	g, err := l.leader.Call(ctx, d)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(s.pending)
	s.pending = nil
	l.apply(k, s, &d, g, err)
}

// apply applies the answer to a demand. The caller holds the lock.
func (l *Limiter) apply(k key, s *targetState, d *Demand, g Grant, err error) {
	now := bootclock.Now()
	if err != nil {
		l.unansweredUntil = now.Add(unansweredBackoff)
		l.results.Inc(resultUnanswered)
		l.log.Warn("no share of a limit", "target", k.target, "rate", d.Limit.Rate, "error", err.Error())
		return
	}
	s.askers = g.Askers
	l.shares.ApplyShare(now, g.Share)
	if wanted := d.Share.Want.Requests; g.Share.Held.Requests < wanted {
		s.refusedUntil = now.Add(min(max(g.Share.RetryAfter, MinAskInterval), maxAskInterval))
		l.log.Info("share of a limit", "target", k.target, "rate", d.Limit.Rate, "wanted", wanted, "granted", g.Share.Held.Requests,
			"retry_after_ms", g.Share.RetryAfter.Milliseconds(), "hosts", g.Askers)
	}
}

// TryAcquire is Acquire for a host whose replica leads: it does not wait. It returns *Refused on any other host.
func (l *Limiter) TryAcquire(target string, incarnation int64) error {
	limit, ok := l.view.RateLimit(target, incarnation)
	if !ok {
		return nil
	}
	k := key{target, incarnation}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(k)
	if l.take(bootclock.Now(), k) {
		return nil
	}
	if s.pending != nil || l.leader.Local == nil || l.isRefused(s) {
		return l.refuse(k)
	}
	l.recordWant(k)
	d := l.demand(k, limit)
	g, err := l.leader.Local(d)
	l.apply(k, s, &d, g, err)
	if l.take(bootclock.Now(), k) {
		return nil
	}
	return l.refuse(k)
}

// refuse counts a refusal and returns its error. The caller holds the lock.
func (l *Limiter) refuse(k key) error {
	l.results.Inc(resultRefused)
	return &Refused{Target: k.target, After: max(l.refusedUntil(l.state(k)).Sub(bootclock.Now()), MinAskInterval)}
}

// Wait is Acquire, but waits until the target has room or ctx is done.
func (l *Limiter) Wait(ctx context.Context, target string, incarnation int64) error {
	for {
		err := l.Acquire(ctx, target, incarnation)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(errs.RetryAfterOf(err)):
		}
	}
}
