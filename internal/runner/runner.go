// Package runner runs the items of batch jobs on the leader of the store hosts' state group. It
// carries out the decisions of package schedule: it streams items from engines, commits their
// results, and gives engines the orders to load weights. Orders are given only under a lease, so
// that two hosts never give orders at a time.
package runner

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/mesh"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/schedule"
)

// Limits of the runner.
const (
	// tickInterval bounds the delay of a decision that no event triggers, such as the end of a
	// pause.
	tickInterval = 25 * time.Millisecond
	// reviewInterval is how often engines, moves and orders are looked at; they change more
	// slowly than runs end.
	reviewInterval = 50 * time.Millisecond
	// eventRing holds the ends of runs and orders that wait for the duty.
	eventRing = 4096
	// maxIdleConns bounds the idle connections to one engine; one run needs one.
	maxIdleConns = 16
	// giveUpSlack is added to the age at which an item may be given up, because the age is
	// measured from the moment at which this replica learned of the job.
	giveUpSlack = time.Second
	// keepSlack is added to the time for which results are kept, for the same reason.
	keepSlack = 20 * time.Second
	// partialAge is how long the text of a run that was stopped is kept for a later job.
	partialAge = 60 * time.Second
	// housekeeping is how often old jobs and texts are looked for.
	housekeeping = time.Second
)

// Options sets up a Runner. All fields are required.
type Options struct {
	Group        *group.Group
	StateMachine *StateMachine
	View         *mesh.View
	Calls        dialect.EngineCalls
	Headers      dialect.Headers
	// Holder names this replica in orders.
	Holder string
	// OrderWait is the time that a new leader waits before its first order.
	OrderWait time.Duration
	// KeepResults is how long results stay readable after the submission of their job.
	KeepResults time.Duration
	Log         *slog.Logger
	Metrics     *observe.Metrics
	Tracing     *observe.Tracing
}

// Runner is the duty. It implements kernel.Service.
type Runner struct {
	o       Options
	pool    *httpconn.Pool
	metrics *metrics
	events  *kernel.Ring[func(now time.Time)]
	kern    *kernel.Kernel

	first map[string]time.Time // when this replica learned of a job

	elected   uint64        // term in which this replica was last seen to lead
	since     time.Time     // when that was noticed
	confirmed atomic.Uint64 // term in which all earlier entries are applied
	nextDrop  atomic.Int64  // nanoseconds until the oldest job is dropped, at the last look

	// The fields below belong to one period of leadership.
	term     uint64
	ctx      context.Context
	cancel   context.CancelFunc
	sched    *schedule.Scheduler
	jobs     map[string]*openJob
	runs     map[schedule.Key]*run
	partials map[string]*partial // by item
	known    map[string]bool     // items of earlier jobs
	orders   map[string]*orderState
	named    map[string]uint64
	applied  uint64 // revision of the machine that was taken in
	routes   uint64 // version of the configuration that was taken in
	noted    uint64 // order of the newest job whose demand was noted
	cleaned  time.Time
	reviewed time.Time // when engines, moves and orders were last looked at
	stored   time.Time // when texts of runs were last committed
	measured time.Time // when the speed of the engines was last measured
}

// New returns a runner.
func New(o Options) *Runner {
	r := &Runner{o: o, pool: httpconn.NewPool(maxIdleConns), first: make(map[string]time.Time),
		events: kernel.NewRing[func(time.Time)]("runner/events", eventRing, kernel.Block)}
	r.metrics = newMetrics(o.Metrics, r.pool)
	return r
}

// Start implements kernel.Service.
func (r *Runner) Start(_ context.Context, k *kernel.Kernel) error {
	r.kern = k
	k.Go("runner", r.loop)
	return nil
}

// Stop implements kernel.Service.
func (r *Runner) Stop(context.Context) error { return nil }

func (r *Runner) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer r.standDown("stop")
	for {
		changed := r.o.StateMachine.Changed()
		r.turn()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-changed:
		case e := <-r.events.C():
			e(bootclock.Now())
			r.drain()
		}
	}
}

func (r *Runner) drain() {
	for {
		select {
		case e := <-r.events.C():
			e(bootclock.Now())
		default:
			return
		}
	}
}

// post hands the end of a run or an order over to the duty.
func (r *Runner) post(term uint64, e func(now time.Time)) {
	guarded := func(now time.Time) {
		if r.term == term && r.sched != nil {
			e(now)
		}
	}
	_ = r.events.Push(r.kern.Context(), guarded) // fails only when the host stops
}

// turn makes all decisions that are due.
func (r *Runner) turn() {
	now := bootclock.Now()
	r.noteJobs(now)
	if !r.lead(now) {
		return
	}
	r.takeIn(now)
	review := now.Sub(r.reviewed) >= reviewInterval
	if review {
		r.reviewed = now
		r.sched.SetEngines(r.engines())
	}
	for _, a := range r.sched.AssignTasks(now) {
		r.start(now, a)
	}
	r.measure(now)
	if review {
		for _, m := range r.sched.PlanMoves(now) {
			r.stopRun(m.Key, "moved to a faster engine")
		}
		r.giveOrders(now)
	}
	r.storeProgress(now)
	r.clean(now)
}

// lead starts and ends the period of leadership. It reports whether the replica leads and has
// applied all that earlier leaders committed. Runs need no lease, because an item may run more
// than once; orders do, see giveOrders.
func (r *Runner) lead(now time.Time) bool {
	_, term, _ := r.o.Group.Leader()
	if !r.o.Group.IsLeader() {
		r.standDown("leadership lost")
		r.elected = 0
		return false
	}
	if r.elected != term {
		r.standDown("new term")
		r.elected, r.since = term, now
		r.confirm(term)
	}
	if r.sched != nil || r.confirmed.Load() != term {
		return r.sched != nil
	}
	r.term = term
	r.ctx, r.cancel = context.WithCancel(r.kern.Context())
	r.sched = schedule.New()
	r.jobs, r.runs = make(map[string]*openJob), make(map[schedule.Key]*run)
	r.partials, r.known = make(map[string]*partial), make(map[string]bool)
	r.orders, r.named = make(map[string]*orderState), nil
	r.applied, r.routes, r.noted = 0, 0, 0
	r.o.Log.Info("runner starts", "term", term, "holder", r.o.Holder, "elected_ms_ago", now.Sub(r.since).Milliseconds())
	return true
}

// confirm waits until this replica has applied all that was committed before it led.
func (r *Runner) confirm(term uint64) {
	r.kern.Go("runner/confirm", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		for r.o.Group.IsLeader() && ctx.Err() == nil {
			if err := r.o.Group.Barrier(ctx); err == nil {
				r.confirmed.Store(term)
				return nil
			}
			time.Sleep(tickInterval)
		}
		return nil
	})
}

// confirmTimeout bounds the wait of a new leader; a leader that cannot commit an entry for so
// long has lost its leadership.
const confirmTimeout = 30 * time.Second

// standDown stops all runs. Their results are made again by the next leader.
func (r *Runner) standDown(reason string) {
	if r.sched == nil {
		return
	}
	r.o.Log.Info("runner stops", "term", r.term, "reason", reason, "runs", len(r.runs))
	r.cancel()
	r.sched = nil
}

// engines lists the targets that generate text, with what the routes say of their service.
func (r *Runner) engines() []schedule.Engine {
	table := r.o.View.Table()
	if table == nil {
		return nil
	}
	var list []schedule.Engine
	for _, t := range r.o.View.Serving("") {
		service, ok := table.Service(t.Service)
		if !ok || service.Slots == 0 {
			continue
		}
		t.Slots = service.Slots
		t.State = fleet.Ready
		list = append(list, schedule.Engine{Target: t, KVCacheTokens: service.KVCacheTokens, Models: service.Models})
	}
	return list
}

// TimeUntilNextDrop returns the time until the oldest job is dropped; 0 or less when that is not known.
func (r *Runner) TimeUntilNextDrop() time.Duration { return time.Duration(r.nextDrop.Load()) }

// clean gives up items that are too old and drops what is no longer needed.
func (r *Runner) clean(now time.Time) {
	if now.Sub(r.cleaned) < housekeeping {
		return
	}
	r.cleaned = now
	r.pool.Sweep()
	for item, p := range r.partials {
		if now.Sub(p.at) > partialAge {
			delete(r.partials, item)
		}
	}
	for _, j := range r.jobs {
		if j.giveUp.IsZero() || now.Before(j.giveUp) {
			continue
		}
		for item := range j.items {
			r.terminate(schedule.Key{Job: j.ID, Item: item}, "too old")
		}
	}
	oldest := now
	for id, first := range r.first {
		if first.Before(oldest) {
			oldest = first
		}
		if r.jobs[id] == nil && now.Sub(first) > r.o.KeepResults+keepSlack {
			delete(r.first, id)
			r.propose(&storestate.Command{Drop: &storestate.Drop{Job: id}}, func(time.Time, storestate.Reply) {})
		}
	}
	r.nextDrop.Store(int64(oldest.Add(r.o.KeepResults + keepSlack).Sub(now)))
	r.metrics.state(r.sched)
	for _, e := range r.sched.EngineStates(now) {
		r.o.Log.Debug("engine", "engine", e.ID, "model", e.Model, "version", e.Version, "running", e.Running, "slots", e.Slots, "tokens", e.ExpectedTokens,
			"limit", e.KVCacheTokens, "failures", e.Failures, "paused", e.Paused, "loading", e.Loading, "gap_ms", e.EventGapMs)
	}
	for _, m := range r.sched.ModelStates() {
		if m.Waiting+m.Running > 0 || m.Unavailable > 0 {
			r.o.Log.Info("engines and work", "model", m.Model, "waiting", m.Waiting, "running", m.Running, "engines", m.Engines,
				"slots", m.Slots, "loading", m.Loading, "lost", m.Unavailable, "named", r.named[m.Model])
		}
	}
}
