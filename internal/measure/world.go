package measure

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiaflow/errs"
	"fuchsiaflow/routing"
)

// Scenario holds the parameters of one simulated run.
type Scenario struct {
	Duration        time.Duration
	Warmup          time.Duration
	Trainers        bool
	TrainDuration   time.Duration
	Faults          bool
	DeskRate        float64 // requests per second to each pool
	LoadFactor      func(since time.Duration) float64
	QueueBound      int // requests queued per target
	SwapFailureRate float64
}

const (
	reportInterval = time.Second
	reportDelay    = 300 * time.Millisecond
	targetLease    = 3 * time.Second
	pollInterval   = 50 * time.Millisecond
	swapDuration   = 4 * time.Second
	maxDrainTime   = 6 * time.Second // wait for desk requests before a swap
	hedgeAfter     = time.Minute
	reassignAfter  = 10 * time.Second // after which attempts of unreachable hosts are planned again
)

// deskRequest is a request of a desk with the state of its attempts.
type deskRequest struct {
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

// simulation is a deployment simulated under one policy.
type simulation struct {
	clock
	deployment      Deployment
	scenario        Scenario
	rng             randomStreams
	started         time.Time
	engines         map[string]*engine
	engineList      []*engine
	leaseEnds       map[string]time.Time
	listed          map[string]bool
	router          router
	scheduler       Scheduler
	planners        map[string]Planner
	trainers        []*trainer
	drainBeforeSwap bool   // swaps wait for desk requests
	partitioned     string // domain that is separated from the others, or ""
	undelivered     []*job // finished samples whose home domain is unreachable
	jobCount        int
	metrics         metrics
}

// policy is a router with its order of slots and whether swaps wait for desk requests. scheduler, if
// not nil, wraps the simple scheduler.
type policy struct {
	name            string
	longestFirst    bool
	drainBeforeSwap bool
	router          func(*simulation) router
	scheduler       func(simple Scheduler) Scheduler
}

// baselineCount is the number of plain baselines, which follow the first policy. The last policy is the
// baseline that usually performs best, with the first policy's order of slots and draining before
// swaps; it shows how much of the difference comes from these two.
const baselineCount = 3

func policies() []policy {
	return []policy{
		{"fuchsiaflow", true, true, func(sim *simulation) router { return newFuchsiaflowRouter(sim) }, nil},
		{"random", false, false, func(sim *simulation) router { return newBaseline(sim, pickRandom) }, nil},
		{"round robin", false, false, func(sim *simulation) router { return newBaseline(sim, pickRoundRobin) }, nil},
		{"least reported load", false, false, func(sim *simulation) router { return newBaseline(sim, pickLeastReported) }, nil},
		{"least reported load, own order", true, true, func(sim *simulation) router { return newBaseline(sim, pickLeastReported) }, nil},
	}
}

func newSimulation(deployment Deployment, scenario Scenario, p policy, seed uint64) *simulation {
	sim := &simulation{deployment: deployment, scenario: scenario, rng: newRandomStreams(seed), engines: make(map[string]*engine),
		leaseEnds: make(map[string]time.Time), listed: make(map[string]bool),
		planners: make(map[string]Planner)}
	sim.started = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sim.now = sim.started
	sim.metrics.deskLatency = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	sim.metrics.staleness = hdrhistogram.New(0, 1000, 3)
	sim.drainBeforeSwap = p.drainBeforeSwap
	sim.scheduler = newListScheduler(p.longestFirst, hedgeAfter)
	if p.scheduler != nil {
		sim.scheduler = p.scheduler(sim.scheduler)
	}
	for _, d := range deployment.Domains {
		sim.planners[d] = newRollingPlanner(1)
	}
	sim.addEngines(modelPool, deployment.ModelReplicas)
	sim.addEngines(deskPool, deployment.DeskReplicas)
	sim.router = p.router(sim)
	sim.startEngines()
	sim.startTrainers()
	sim.startDesks()
	if scenario.Faults {
		sim.startFaults()
	}
	sim.every(0, pollInterval, sim.leaseSamples)
	return sim
}

func (sim *simulation) modelName(trainer int) string { return fmt.Sprint("m", trainer) }

func (sim *simulation) addEngines(pool string, n int) {
	for i := range n {
		e := &engine{sim: sim, id: fmt.Sprintf("%s-%d", pool, i), domain: sim.deployment.Domains[i%len(sim.deployment.Domains)], pool: pool,
			baseTokenSeconds: baseTokenSeconds, slowdown: 1, up: true, incarnation: 1, versions: make(map[string]uint64), updated: sim.now}
		for t := range sim.deployment.Trainers {
			e.versions[sim.modelName(t)] = 0
		}
		sim.engines[e.id] = e
		sim.engineList = append(sim.engineList, e)
	}
}

func (sim *simulation) modelReplicas(domain string) (n int) {
	for _, e := range sim.engineList {
		if e.domain == domain && e.pool == modelPool {
			n++
		}
	}
	return n
}

func (sim *simulation) startEngines() {
	for i, e := range sim.engineList {
		sim.announce(e)
		sim.every(time.Duration(i)*reportInterval/time.Duration(len(sim.engineList)), reportInterval, func() { sim.reportLoad(e) })
	}
	sim.every(reportInterval, reportInterval, sim.expireTargets)
	for _, d := range sim.deployment.Domains {
		sim.every(reportInterval, 250*time.Millisecond, func() { sim.startSwaps(d) })
	}
}

// announce renews the lease of an engine and reports its state to the router and the planner.
func (sim *simulation) announce(e *engine) {
	sim.leaseEnds[e.id], sim.listed[e.id] = sim.now.Add(targetLease), true
	sim.router.updateTarget(e.targetState())
	if e.pool == modelPool && !e.paused {
		sim.planners[e.domain].Report(sim.now, e.id, e.targetState().Loaded)
	}
}

// reportLoad reports the progress of streams at once and the load after reportDelay.
func (sim *simulation) reportLoad(e *engine) {
	if !e.up {
		return
	}
	e.advance()
	for _, j := range e.running {
		if !j.prefill {
			sim.router.progress(j, max(1, j.tokens-int(j.stageEnd-e.workDone)))
		}
	}
	l := routing.LoadReport{Running: len(e.running), Queued: len(e.queue), MeasuredAt: sim.now}
	incarnation := e.incarnation
	sim.after(reportDelay, func() {
		if e.incarnation != incarnation || !sim.listed[e.id] {
			return
		}
		sim.leaseEnds[e.id] = sim.now.Add(targetLease)
		sim.router.reportLoad(e, l)
	})
}

// expireTargets removes targets whose lease has ended.
func (sim *simulation) expireTargets() {
	for _, e := range sim.engineList {
		if sim.listed[e.id] && sim.now.After(sim.leaseEnds[e.id]) {
			sim.listed[e.id] = false
			sim.router.removeTarget(e.domain, e.id)
		}
	}
}

// cacheEvent delivers a cache event with a delay, or drops it with a probability of one in ten.
func (sim *simulation) cacheEvent(e *engine, kind routing.CacheEventKind, id uint64) {
	e.cacheSeq++
	ev := routing.CacheEvent{Seq: e.cacheSeq, Kind: kind, Keys: prompt{id: id}.prefixKeys()}
	delay := seconds(0.2 + 1.8*sim.rng.cache.Float64())
	if sim.rng.cache.IntN(10) > 0 {
		sim.after(delay, func() { sim.router.cacheEvent(e, ev) })
	}
}

// startSwaps executes the swap orders of a domain's planner.
func (sim *simulation) startSwaps(domain string) {
	p := sim.planners[domain]
	for _, o := range p.Tick(sim.now) {
		deadline := sim.now
		if sim.drainBeforeSwap {
			deadline = sim.now.Add(maxDrainTime)
		}
		sim.engines[o.Target].drainAndSwap(o, deadline, func(ok bool) {
			if !ok {
				sim.metrics.failedSwaps++
			}
			p.Result(sim.now, o, ok)
		})
	}
}

func (sim *simulation) reachable(a, b string) bool {
	return a == b || (a != sim.partitioned && b != sim.partitioned)
}

// leaseSamples leases samples up to the free capacity of each domain.
func (sim *simulation) leaseSamples() {
	for _, d := range sim.deployment.Domains {
		n := sim.router.sampleCapacity(d)
		if n == 0 {
			continue
		}
		for _, work := range sim.scheduler.Lease(sim.now, n, func(homeDomain string) bool { return sim.reachable(d, homeDomain) }) {
			sim.submitSample(d, work)
		}
	}
	sim.router.tick()
}

func (sim *simulation) newJob() *job {
	sim.jobCount++
	return &job{id: fmt.Sprint("j", sim.jobCount)}
}

func (sim *simulation) submitSample(domain string, work Work) {
	j := sim.newJob()
	j.kind, j.tenancy, j.pool, j.model = routing.Sample, work.Tenancy, modelPool, work.Model
	j.minVersion, j.stepDeadline, j.domain, j.work = work.MinVersion, work.Deadline, domain, &work
	j.prompt = prompt{work.Prompt, samplePromptTokens}
	j.tokens = outputLength(sim.rng.seed, work.Prompt, work.Slot)
	j.expectedTokens = sampleExpectedTokens
	if err := sim.router.submit(j); err != nil {
		sim.handleRefusal(j, errs.RetryAfterOf(err))
	}
}

// handleRefusal returns a sample that did not run to the scheduler, or retries a desk request, after a
// delay.
func (sim *simulation) handleRefusal(j *job, after time.Duration) {
	if j.work != nil {
		sim.after(max(after, refusalDelay), func() { sim.scheduler.Failed(sim.now, j.work) })
		return
	}
	sim.metrics.refusals++
	j.deskRequest.job = nil
	sim.retryDeskRequest(j.deskRequest, after)
}

// handleFinished handles the end of a request on an engine.
func (sim *simulation) handleFinished(j *job, kind routing.ResultKind) {
	if j.cancelled {
		return
	}
	r := routing.Result{Kind: kind, Tokens: j.tokens, Duration: sim.now.Sub(j.sentAt), TimeToFirstToken: j.firstTokenAt.Sub(j.sentAt)}
	if kind != routing.ResultOK {
		r.Tokens = 0
	}
	sim.router.requestDone(j, r)
	switch {
	case j.deskRequest != nil && kind == routing.ResultOK:
		sim.endDeskRequest(j.deskRequest, true)
	case j.deskRequest != nil:
		j.deskRequest.job = nil
		sim.retryDeskRequest(j.deskRequest, 0)
	case kind != routing.ResultOK:
		sim.scheduler.Failed(sim.now, j.work)
	case !sim.reachable(j.domain, j.work.HomeDomain):
		sim.undelivered = append(sim.undelivered, j)
	default:
		sim.deliver(j)
	}
}

// deliver passes a finished sample to its trainer if the scheduler accepts it.
func (sim *simulation) deliver(j *job) {
	accepted, staleness := sim.scheduler.Accept(sim.now, j.work, j.oldestVersion)
	if !accepted {
		sim.metrics.discarded++
		return
	}
	for _, t := range sim.trainers {
		if t.tenancy == j.work.Tenancy {
			t.receiveSample(j, staleness)
		}
	}
}

// partition separates a domain from the others for a while. Afterwards the planners learn the newest
// versions and the undelivered samples are delivered.
func (sim *simulation) partition(domain string, d time.Duration) {
	sim.partitioned = domain
	sim.after(reassignAfter, func() {
		for _, e := range sim.engineList {
			for _, j := range append(append([]*job(nil), e.running...), e.queue...) {
				if j.work != nil && !sim.reachable(j.domain, j.work.HomeDomain) {
					sim.scheduler.Failed(sim.now, j.work)
				}
			}
		}
	})
	sim.after(d, func() {
		sim.partitioned = ""
		for _, t := range sim.trainers {
			for _, d := range sim.deployment.Domains {
				sim.planners[d].Desire(sim.now, t.model, t.publishedVersion)
			}
		}
		pending := sim.undelivered
		sim.undelivered = nil
		for _, j := range pending {
			sim.deliver(j)
		}
	})
}
