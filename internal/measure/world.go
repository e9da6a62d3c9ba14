package measure

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiaflow/errs"
	"fuchsiaflow/routing"
)

// Scenario is one simulated run.
type Scenario struct {
	Duration    time.Duration
	Warmup      time.Duration
	Trainers    bool
	TrainTime   time.Duration
	Faults      bool
	DeskRate    float64 // requests per second and pool
	Load        func(since time.Duration) float64
	QueueBound  int // requests queued per target
	SwapFailure float64
}

const (
	reportInterval = time.Second
	reportDelay    = 300 * time.Millisecond
	targetLease    = 3 * time.Second
	pullInterval   = 50 * time.Millisecond
	swapTime       = 4 * time.Second
	maxDrain       = 6 * time.Second // of desk requests before a swap
	hedgeAfter     = time.Minute
	giveUpAfter    = 10 * time.Second // unreachable hosts' attempts are planned again
)

// deskCall is a desk's request with all its attempts.
type deskCall struct {
	arrived  time.Time
	deadline time.Time
	domain   string
	pool     string
	model    string
	prompt   prompt
	tokens   int
	attempts int
	job      *job
	ended    bool
}

// world is the simulated deployment under one policy.
type world struct {
	clock
	dep       Deployment
	sc        Scenario
	rng       streams
	started   time.Time
	engines   map[string]*engine
	list      []*engine
	leases    map[string]time.Time
	listed    map[string]bool
	router    router
	scheduler Scheduler
	planners  map[string]Planner
	trainers  []*trainer
	drains    bool   // swaps wait for desk requests
	cut       string // domain that is cut off
	outbox    []*job
	jobs      int
	m         metrics
}

// policy names a router and what belongs to it: the order of slots and whether swaps wait for
// desk requests. scheduler replaces the simple scheduler where it is not nil.
type policy struct {
	name         string
	longestFirst bool
	drains       bool
	router       func(*world) router
	scheduler    func(simple Scheduler) Scheduler
}

// baselines is how many of the policies after the first are plain baselines. The last policy
// is the usually best baseline with this policy's order of slots and waiting swaps, and shows
// how much of the difference comes from these.
const baselines = 3

func policies() []policy {
	return []policy{
		{"fuchsiaflow", true, true, func(w *world) router { return newFuchsia(w) }, nil},
		{"random", false, false, func(w *world) router { return newBaseline(w, chooseRandom) }, nil},
		{"round robin", false, false, func(w *world) router { return newBaseline(w, chooseRoundRobin) }, nil},
		{"least reported load", false, false, func(w *world) router { return newBaseline(w, chooseLeastReported) }, nil},
		{"least reported load, own order", true, true, func(w *world) router { return newBaseline(w, chooseLeastReported) }, nil},
	}
}

func newWorld(dep Deployment, sc Scenario, p policy, seed uint64) *world {
	w := &world{dep: dep, sc: sc, rng: newStreams(seed), engines: make(map[string]*engine),
		leases: make(map[string]time.Time), listed: make(map[string]bool),
		planners: make(map[string]Planner)}
	w.started = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w.now = w.started
	w.m.desk = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	w.m.staleness = hdrhistogram.New(0, 1000, 3)
	w.drains = p.drains
	w.scheduler = newListScheduler(p.longestFirst, hedgeAfter)
	if p.scheduler != nil {
		w.scheduler = p.scheduler(w.scheduler)
	}
	for _, d := range dep.Domains {
		w.planners[d] = newWavePlanner(1)
	}
	w.addEngines(modelPool, dep.ModelReplicas)
	w.addEngines(deskPool, dep.DeskReplicas)
	w.router = p.router(w)
	w.startEngines()
	w.startTrainers()
	w.startDesks()
	if sc.Faults {
		w.startFaults()
	}
	w.every(0, pullInterval, w.pull)
	return w
}

func (w *world) model(trainer int) string { return fmt.Sprint("m", trainer) }

func (w *world) addEngines(pool string, n int) {
	for i := range n {
		e := &engine{w: w, id: fmt.Sprintf("%s-%d", pool, i), domain: w.dep.Domains[i%len(w.dep.Domains)], pool: pool,
			base: baseTokenTime, slow: 1, up: true, inc: 1, versions: make(map[string]uint64), updated: w.now}
		for t := range w.dep.Trainers {
			e.versions[w.model(t)] = 0
		}
		w.engines[e.id] = e
		w.list = append(w.list, e)
	}
}

func (w *world) engineCount(domain string) (n int) {
	for _, e := range w.list {
		if e.domain == domain && e.pool == modelPool {
			n++
		}
	}
	return n
}

func (w *world) startEngines() {
	for i, e := range w.list {
		w.announce(e)
		w.every(time.Duration(i)*reportInterval/time.Duration(len(w.list)), reportInterval, func() { w.report(e) })
	}
	w.every(reportInterval, reportInterval, w.expire)
	for _, d := range w.dep.Domains {
		w.every(reportInterval, 250*time.Millisecond, func() { w.orders(d) })
	}
}

// announce makes a change of an engine known to its owner.
func (w *world) announce(e *engine) {
	w.leases[e.id], w.listed[e.id] = w.now.Add(targetLease), true
	w.router.upsert(e.state())
	if e.pool == modelPool && !e.paused {
		w.planners[e.domain].Report(w.now, e.id, e.state().Loaded)
	}
}

// report sends a load report, which arrives late, and the progress of streams.
func (w *world) report(e *engine) {
	if !e.up {
		return
	}
	e.advance()
	for _, j := range e.running {
		if !j.prefill {
			w.router.progress(j, max(1, j.tokens-int(j.milestone-e.work)))
		}
	}
	l := routing.LoadReport{Running: len(e.running), Queued: len(e.queue), MeasuredAt: w.now}
	inc := e.inc
	w.after(reportDelay, func() {
		if e.inc != inc || !w.listed[e.id] {
			return
		}
		w.leases[e.id] = w.now.Add(targetLease)
		w.router.load(e, l)
	})
}

func (w *world) expire() {
	for _, e := range w.list {
		if w.listed[e.id] && w.now.After(w.leases[e.id]) {
			w.listed[e.id] = false
			w.router.removed(e.domain, e.id)
		}
	}
}

// cacheEvent delivers an event late; one in ten is lost.
func (w *world) cacheEvent(e *engine, kind routing.CacheEventKind, id uint64) {
	e.cacheSeq++
	ev := routing.CacheEvent{Seq: e.cacheSeq, Kind: kind, Keys: prompt{id: id}.keys()}
	delay := seconds(0.2 + 1.8*w.rng.cache.Float64())
	if w.rng.cache.IntN(10) > 0 {
		w.after(delay, func() { w.router.cacheEvent(e, ev) })
	}
}

func (w *world) orders(domain string) {
	p := w.planners[domain]
	for _, o := range p.Tick(w.now) {
		wait := w.now
		if w.drains {
			wait = w.now.Add(maxDrain)
		}
		w.engines[o.Target].drainThenSwap(o, wait, func(ok bool) {
			if !ok {
				w.m.failedSwaps++
			}
			p.Result(w.now, o, ok)
		})
	}
}

func (w *world) reachable(a, b string) bool { return a == b || (a != w.cut && b != w.cut) }

// pull leases samples for the free windows of each domain.
func (w *world) pull() {
	for _, d := range w.dep.Domains {
		n := w.router.room(d)
		if n == 0 {
			continue
		}
		for _, work := range w.scheduler.Lease(w.now, n, func(home string) bool { return w.reachable(d, home) }) {
			w.submitSample(d, work)
		}
	}
	w.router.tick()
}

func (w *world) newJob() *job {
	w.jobs++
	return &job{id: fmt.Sprint("j", w.jobs)}
}

func (w *world) submitSample(domain string, work Work) {
	j := w.newJob()
	j.kind, j.tenancy, j.pool, j.model = routing.Sample, work.Tenancy, modelPool, work.Model
	j.version, j.due, j.domain, j.work = work.MinVer, work.Deadline, domain, &work
	j.prompt = prompt{work.Prompt, samplePrompt}
	j.tokens = slotLength(w.rng.seed, work.Prompt, work.Slot)
	j.expected = sampleExpected
	if err := w.router.submit(j); err != nil {
		w.refused(j, errs.RetryAfterOf(err))
	}
}

// refused handles a request that did not run.
func (w *world) refused(j *job, after time.Duration) {
	if j.work != nil {
		w.after(max(after, refusalDelay), func() { w.scheduler.Failed(w.now, j.work) })
		return
	}
	w.m.refusals++
	j.desk.job = nil
	w.retryDesk(j.desk, after)
}

// finished is called by an engine when a request ends on it.
func (w *world) finished(j *job, kind routing.ResultKind) {
	if j.cancelled {
		return
	}
	r := routing.Result{Kind: kind, Tokens: j.tokens, Duration: w.now.Sub(j.sent), TimeToFirstToken: j.firstAt.Sub(j.sent)}
	if kind != routing.ResultOK {
		r.Tokens = 0
	}
	w.router.done(j, r)
	switch {
	case j.desk != nil && kind == routing.ResultOK:
		w.endDesk(j.desk, true)
	case j.desk != nil:
		j.desk.job = nil
		w.retryDesk(j.desk, 0)
	case kind != routing.ResultOK:
		w.scheduler.Failed(w.now, j.work)
	case !w.reachable(j.domain, j.work.Home):
		w.outbox = append(w.outbox, j)
	default:
		w.deliver(j)
	}
}

// deliver offers a finished sample to its trainer.
func (w *world) deliver(j *job) {
	accepted, staleness := w.scheduler.Accept(w.now, j.work, j.oldest)
	if !accepted {
		w.m.discarded++
		return
	}
	for _, t := range w.trainers {
		if t.tenancy == j.work.Tenancy {
			t.receive(j, staleness)
		}
	}
}

// isolate cuts a domain off for a while.
func (w *world) isolate(domain string, d time.Duration) {
	w.cut = domain
	w.after(giveUpAfter, func() {
		for _, e := range w.list {
			for _, j := range append(append([]*job(nil), e.running...), e.queue...) {
				if j.work != nil && !w.reachable(j.domain, j.work.Home) {
					w.scheduler.Failed(w.now, j.work)
				}
			}
		}
	})
	w.after(d, func() {
		w.cut = ""
		for _, t := range w.trainers {
			for _, d := range w.dep.Domains {
				w.planners[d].Desire(w.now, t.model, t.version)
			}
		}
		held := w.outbox
		w.outbox = nil
		for _, j := range held {
			w.deliver(j)
		}
	})
}
