// Package runner runs the items of batch jobs on the leader of the store hosts' state group. It
// executes the decisions of package schedule: it streams items from engines, commits their results,
// and orders engines to load weights. Orders are sent only while the leader lease is valid, so that
// two hosts never send orders at the same time.
package runner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/duty"
	"fuchsiaflow/internal/forward"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/identity"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
	"fuchsiaflow/schedule"
)

// Limits of the runner.
const (
	// tickInterval bounds the delay of decisions that no event triggers, such as using an engine
	// again after its pause.
	tickInterval = 25 * time.Millisecond
	// reviewInterval is how often the list of engines, moves of runs to faster engines and orders to
	// load weights are evaluated. They change less often than runs end.
	reviewInterval = 50 * time.Millisecond
	// eventQueueSize is the capacity of the queue of finished runs, orders and proposals.
	eventQueueSize = 4096
	// maxIdleConns bounds the idle connections to one engine. Each run uses one connection.
	maxIdleConns = 16
	// expirySlack is added to a route's maximum job age, because the age is measured from the
	// time at which this replica first saw the job.
	expirySlack = time.Second
	// retentionSlack is added to the retention of results for the same reason.
	retentionSlack = 20 * time.Second
	// maxPartialAge is how long the text of a stopped run is kept for a later job with the same item.
	maxPartialAge = 60 * time.Second
	// cleanupInterval is how often expired jobs and texts are removed.
	cleanupInterval = time.Second
)

// Options configures a Runner. All fields are required.
type Options struct {
	Group        *group.Group
	StateMachine *StateMachine
	View         *clusterview.View
	EngineClient dialect.EngineClient
	Headers      dialect.Headers
	// Forwarder sends the scoring calls.
	Forwarder *forward.Forwarder
	// Limiter admits runs and orders at engines that state a limit.
	Limiter *ratelimit.Limiter
	// Holder is the ID of this replica, sent with each order as the holder of the fencing token.
	Holder string
	// Tenure tells when this replica leads and may send orders.
	Tenure *duty.LeaderTenure
	// KeepResults is how long results remain readable after their job was submitted.
	KeepResults time.Duration
	Log         *slog.Logger
	Metrics     *observe.Metrics
	Tracing     *observe.Tracing
}

// Runner schedules and runs the items of batch jobs while this replica leads. Only the
// goroutine of loop accesses its state, except for the atomic fields. It implements kernel.Service.
type Runner struct {
	opts       Options
	pool       *httpconn.Pool
	identities *identity.Checker
	metrics    *metrics
	events     *kernel.Ring[func(now time.Time)]
	kernel     *kernel.Kernel

	firstSeen map[jobs.Key]time.Time // when this replica first saw each job

	electedTerm   uint64        // term in which this replica was elected, 0 if it does not lead
	caughtUpTerm  atomic.Uint64 // last term that this replica led and in which it has applied all earlier entries
	nextDropNanos atomic.Int64  // nanoseconds until the oldest job is dropped, as of the last cleanup
	demands       demandBoard

	// The fields below are reset in each period of leadership.
	term               uint64
	ctx                context.Context
	cancel             context.CancelFunc
	sched              *schedule.Scheduler
	jobs               map[string]*openJob // by schedulerID
	runs               map[schedule.Key]*activeRun
	partials           map[jobs.Key]*partialText // by item, while no run uses it
	knownItems         map[jobs.Key]bool         // items seen in earlier jobs
	scoringQueue       *schedule.ScoringQueue
	pendingScores      map[schedule.Key]*pendingScore // items whose call is in scoringQueue
	orderStates        map[string]*orderState         // by engine
	publishedVersions  map[string]uint64              // newest published weight version of each model
	syncedRevision     uint64                         // revision of the state machine at the last sync
	routesVersion      uint64                         // configuration version at the last sync
	lastDemandSequence uint64                         // sequence number of the newest job whose demand was reported
	revisionsInTerm    uint64                         // number of revisions that nextRevision has returned
	cleanedAt          time.Time
	reviewedAt         time.Time // last evaluation, see reviewInterval
	progressStoredAt   time.Time // when partial texts were last proposed
	measuredAt         time.Time // when the speed of the engines was last measured
}

// New returns a runner that is not started.
func New(o Options) *Runner {
	r := &Runner{opts: o, pool: httpconn.NewPool(maxIdleConns), firstSeen: make(map[jobs.Key]time.Time),
		events: kernel.NewRing[func(time.Time)]("runner/events", eventQueueSize, kernel.Block)}
	r.metrics = newMetrics(o.Metrics, r.pool)
	r.identities = identity.NewChecker(o.View, o.EngineClient, o.Log, o.Metrics)
	return r
}

// Start implements kernel.Service.
func (r *Runner) Start(_ context.Context, k *kernel.Kernel) error {
	r.kernel = k
	k.Go("runner", r.loop)
	return nil
}

// Stop implements kernel.Service.
func (r *Runner) Stop(context.Context) error { return nil }

// loop makes decisions at each tick, state change and event until ctx is done.
func (r *Runner) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.stepDown("stop")
	for {
		changed := r.opts.StateMachine.Changed()
		r.reconcile()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
		case event := <-r.events.C():
			event(bootclock.Now())
			r.drainEvents()
		}
	}
}

// drainEvents processes all queued events without blocking.
func (r *Runner) drainEvents() {
	for {
		select {
		case event := <-r.events.C():
			event(bootclock.Now())
		default:
			return
		}
	}
}

// enqueue queues an event for the runner's loop. The event is discarded if the leadership in term has
// ended by the time it is processed.
func (r *Runner) enqueue(term uint64, event func(now time.Time)) {
	guarded := func(now time.Time) {
		if r.term == term && r.sched != nil {
			event(now)
		}
	}
	_ = r.events.Push(r.kernel.Context(), guarded) // fails only when the host shuts down
}

// reconcile updates the scheduler from the committed state and executes all decisions that are due.
func (r *Runner) reconcile() {
	now := bootclock.Now()
	r.recordNewJobs(now)
	if !r.updateLeadership(now) {
		return
	}
	r.syncState(now)
	review := now.Sub(r.reviewedAt) >= reviewInterval
	if review {
		r.reviewedAt = now
		r.sched.SetEngines(r.engines())
		r.updateScoringSlots()
	}
	for _, a := range r.sched.AssignTasks(now) {
		r.startRun(now, a)
	}
	r.startScoring(now)
	r.measureSpeed(now)
	if review {
		for _, m := range r.sched.PlanMoves(now) {
			r.stopRun(m.Key, "moved to a faster engine")
		}
		r.issueOrders(now)
	}
	r.storeProgress(now)
	r.publishDemands(now)
	r.cleanUp(now)
}

// updateLeadership starts and ends periods of leadership. It reports whether this replica leads and
// has applied all entries that earlier leaders committed. Runs need no leader lease, because an item
// may run more than once. Orders do, see sendOrder.
func (r *Runner) updateLeadership(now time.Time) bool {
	term, electedAt, leads := r.opts.Tenure.Leadership(now)
	if !leads {
		r.stepDown("leadership lost")
		r.electedTerm = 0
		return false
	}
	if r.electedTerm != term {
		r.stepDown("new term")
		r.electedTerm = term
		r.awaitCatchUp(term)
	}
	if r.sched != nil || r.caughtUpTerm.Load() != term {
		return r.sched != nil
	}
	r.term = term
	r.ctx, r.cancel = context.WithCancel(r.kernel.Context())
	r.sched = schedule.New()
	r.jobs, r.runs = make(map[string]*openJob), make(map[schedule.Key]*activeRun)
	r.partials, r.knownItems = make(map[jobs.Key]*partialText), make(map[jobs.Key]bool)
	r.scoringQueue, r.pendingScores = schedule.NewScoringQueue(), make(map[schedule.Key]*pendingScore)
	r.orderStates, r.publishedVersions = make(map[string]*orderState), nil
	r.syncedRevision, r.routesVersion, r.lastDemandSequence, r.revisionsInTerm = 0, 0, 0, 0
	r.opts.Log.Info("runner became active", "term", term, "holder", r.opts.Holder, "elected_ms_ago", now.Sub(electedAt).Milliseconds())
	return true
}

// awaitCatchUp waits in its own goroutine until this replica has applied all entries that were
// committed before it became the leader, and then sets caughtUpTerm.
func (r *Runner) awaitCatchUp(term uint64) {
	r.kernel.Go("runner/confirm", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
		defer cancel()
		for r.opts.Group.IsLeader() && ctx.Err() == nil {
			if err := r.opts.Group.Barrier(ctx); err == nil {
				r.caughtUpTerm.Store(term)
				return nil
			}
			time.Sleep(tickInterval)
		}
		return nil
	})
}

// catchUpTimeout bounds the wait of a new leader to catch up. A leader that cannot commit an entry
// for that long has lost its leadership.
const catchUpTimeout = 30 * time.Second

// stepDown cancels all runs. The next leader runs their items again.
func (r *Runner) stepDown(reason string) {
	if r.sched == nil {
		return
	}
	r.opts.Log.Info("runner became inactive", "term", r.term, "reason", reason, "runs", len(r.runs))
	r.cancel()
	r.sched = nil
	r.demands.clear()
}

// engines returns the serving targets whose service is configured with slots, together with the cache
// size and the models of the service.
func (r *Runner) engines() []schedule.Engine {
	table := r.opts.View.Table()
	if table == nil {
		return nil
	}
	var list []schedule.Engine
	for _, t := range r.opts.View.Serving("") {
		service, ok := table.Service(t.Service)
		if !ok || service.Slots == 0 {
			continue
		}
		t.Slots = service.Slots
		t.State = fleet.Ready
		limit, _ := r.opts.View.RateLimit(t.ID, t.Incarnation)
		list = append(list, schedule.Engine{Target: t, KVCacheTokens: service.KVCacheTokens, Models: service.Models, RateLimit: limit.Rate})
	}
	return list
}

// TimeUntilNextDrop returns the time until the oldest job is dropped. It is 0
// before the first cleanup, and 0 or negative if the drop is overdue.
// It is safe for concurrent use.
func (r *Runner) TimeUntilNextDrop() time.Duration { return time.Duration(r.nextDropNanos.Load()) }

// cleanUp terminates expired items, drops jobs after their retention, and removes old partial texts and
// idle connections. It also updates gauges and logs the state of the engines.
func (r *Runner) cleanUp(now time.Time) {
	if now.Sub(r.cleanedAt) < cleanupInterval {
		return
	}
	r.cleanedAt = now
	r.pool.CloseExpired()
	for item, p := range r.partials {
		if now.Sub(p.updatedAt) > maxPartialAge {
			delete(r.partials, item)
		}
	}
	for _, j := range r.jobs {
		if j.expiresAt.IsZero() || now.Before(j.expiresAt) {
			continue
		}
		for item := range j.items {
			r.terminate(j.taskKey(item), "maximum age exceeded")
		}
	}
	oldest := now
	for key, first := range r.firstSeen {
		if first.Before(oldest) {
			oldest = first
		}
		if r.jobs[schedulerID(key)] == nil && now.Sub(first) > r.opts.KeepResults+retentionSlack {
			delete(r.firstSeen, key)
			r.propose(&storestate.Command{DropJob: &storestate.DropJob{Job: key.ID, Owner: key.Owner}}, func(time.Time, storestate.Reply) {})
		}
	}
	r.nextDropNanos.Store(int64(oldest.Add(r.opts.KeepResults + retentionSlack).Sub(now)))
	r.metrics.updateGauges(r.sched, r.scoringQueue)
	for _, e := range r.sched.EngineStates(now) {
		r.opts.Log.Debug("engine state", "engine", e.ID, "model", e.Model, "version", e.Version, "running", e.Running, "slots", e.Slots, "tokens", e.ExpectedTokens,
			"limit", e.KVCacheTokens, "failures", e.Failures, "paused", e.InBackoff, "loading", e.Loading, "gap_ms", e.EventGapMs, "knee", e.Knee)
	}
	for _, c := range r.sched.SpeedChanges() {
		r.opts.Log.Info("speed of engine changed", "engine", c.Engine, "gap_ms", c.Gap.Milliseconds(), "previous_ms", c.PreviousGap.Milliseconds(),
			"knee", c.Knee, "previous_knee", c.PreviousKnee, "running", c.Running)
	}
	for _, m := range r.sched.ModelStates() {
		if m.Waiting+m.Running > 0 || m.Unavailable > 0 {
			r.opts.Log.Info("scheduler state", "model", m.Model, "waiting", m.Waiting, "running", m.Running, "engines", m.Engines,
				"slots", m.Slots, "loading", m.Loading, "lost", m.Unavailable, "named", r.publishedVersions[m.Model])
		}
	}
}
