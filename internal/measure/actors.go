package measure

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiaflow/errs"
	"fuchsiaflow/routing"
)

// metrics holds the raw measurements of a run.
type metrics struct {
	deskLatency  *hdrhistogram.Histogram // desk requests to the model pool, in microseconds; unanswered ones count as the deadline
	staleness    *hdrhistogram.Histogram // of samples, in versions
	deskRequests int
	deskFailures int
	overBound    int
	duplicated   int
	lost         int
	discarded    int
	refusals     int
	failedSwaps  int
	samples      int
	steps        int
	idleTime     time.Duration
	trainingTime time.Duration
	goodTokens   []int // tokens answered in time, by second of completion
	arrived      []int // desk requests to the model pool, by second of arrival
	answered     []int // those answered in time, by second of arrival
}

// growTo extends s with zeros so that index i exists.
func growTo(s []int, i int) []int {
	for len(s) <= i {
		s = append(s, 0)
	}
	return s
}

// secondOf returns the number of whole seconds from the start of the run to t.
func (sim *simulation) secondOf(t time.Time) int { return int(t.Sub(sim.started) / time.Second) }

// warmedUp reports whether the warm-up, which the figures leave out, has ended.
func (sim *simulation) warmedUp() bool { return sim.now.Sub(sim.started) >= sim.scenario.Warmup }

// trainer is a simulated trainer. It trains on a step while the samples of the next one are generated.
type trainer struct {
	sim              *simulation
	tenancy          string
	model            string
	homeDomain       string
	step             int // number of the step whose samples are generated
	received         map[int]int
	requested        int
	opened           time.Time
	training         bool
	idleSince        time.Time
	publishedVersion uint64
	stepComplete     bool // all samples of the step have arrived
}

func (sim *simulation) startTrainers() {
	if !sim.scenario.Trainers {
		return
	}
	for i := range sim.deployment.Trainers {
		t := &trainer{sim: sim, tenancy: fmt.Sprint("trainer-", i), model: sim.modelName(i),
			homeDomain: sim.deployment.Domains[i%len(sim.deployment.Domains)], idleSince: sim.now}
		sim.trainers = append(sim.trainers, t)
		// Trainers of independent teams do not start at the same time.
		sim.after(time.Duration(i)*trainDuration/time.Duration(sim.deployment.Trainers), t.openStep)
	}
}

func (t *trainer) openStep() {
	t.step++
	t.stepComplete = false
	t.received = make(map[int]int)
	t.requested = samplesPerCycle / t.sim.deployment.Trainers
	t.opened = t.sim.now
	s := Step{Tenancy: t.tenancy, Model: t.model, HomeDomain: t.homeDomain, Number: t.step, StalenessBound: t.sim.deployment.StalenessBound, Deadline: t.sim.now.Add(stepDeadline)}
	for i := range t.requested {
		id := promptID(t.tenancy, t.step, i/groupSize)
		s.Slots = append(s.Slots, Slot{Prompt: id, MaxTokens: maxTokens(t.sim.rng.seed, id)})
	}
	t.sim.scheduler.OpenStep(t.sim.now, s)
}

// receiveSample counts a delivered sample. It checks for duplicates and staleness independently of the
// scheduler.
func (t *trainer) receiveSample(j *job, staleness uint64) {
	if j.work.Step != t.step {
		t.sim.metrics.duplicated++
		return
	}
	t.received[j.work.Slot]++
	if t.received[j.work.Slot] > 1 {
		t.sim.metrics.duplicated++
		return
	}
	if actual := t.publishedVersion - min(j.oldestVersion, t.publishedVersion); actual > t.sim.deployment.StalenessBound || actual != staleness {
		t.sim.metrics.overBound++
	}
	t.sim.metrics.samples++
	if t.sim.warmedUp() {
		_ = t.sim.metrics.staleness.RecordValue(int64(staleness))
	}
	if len(t.received) == t.requested {
		t.stepComplete = true
		t.train()
	}
}

// train starts training and opens the next step if the current step is complete and the previous
// training has ended.
func (t *trainer) train() {
	if t.training || !t.stepComplete {
		return
	}
	t.training = true
	if t.sim.warmedUp() {
		t.sim.metrics.idleTime += t.sim.now.Sub(t.idleSince)
		t.sim.metrics.trainingTime += t.sim.scenario.TrainDuration
		t.sim.metrics.steps++
	}
	t.sim.after(t.sim.scenario.TrainDuration, func() {
		t.training = false
		t.idleSince = t.sim.now
		t.publish()
		t.train()
	})
	t.openStep()
}

// publish publishes the next version to the scheduler and to the planners that the trainer can reach.
func (t *trainer) publish() {
	t.publishedVersion++
	t.sim.scheduler.Publish(t.sim.now, t.model, t.publishedVersion)
	for d, p := range t.sim.planners {
		if t.sim.reachable(d, t.homeDomain) {
			p.Desire(t.sim.now, t.model, t.publishedVersion)
		}
	}
}

// recordEnd completes the metrics at the end of a run: the slots missing from overdue steps are lost,
// and trainers that wait are idle until now.
func (sim *simulation) recordEnd() {
	for _, t := range sim.trainers {
		if !t.stepComplete && sim.now.Sub(t.opened) > 2*stepDeadline {
			sim.metrics.lost += t.requested - len(t.received)
		}
		if !t.training && sim.warmedUp() {
			sim.metrics.idleTime += sim.now.Sub(t.idleSince)
		}
	}
}

func (sim *simulation) startDesks() {
	for _, pool := range []string{modelPool, deskPool} {
		sim.scheduleArrival(pool)
	}
}

// scheduleArrival schedules the next desk request of a pool. Arrivals form an open loop: they do not
// depend on the answers.
func (sim *simulation) scheduleArrival(pool string) {
	if sim.scenario.DeskRate <= 0 {
		return
	}
	rate := sim.scenario.DeskRate
	if sim.scenario.LoadFactor != nil {
		rate *= sim.scenario.LoadFactor(sim.now.Sub(sim.started))
	}
	sim.after(seconds(sim.rng.arrival.ExpFloat64()/rate), func() {
		sim.startDeskRequest(pool)
		sim.scheduleArrival(pool)
	})
}

func (sim *simulation) startDeskRequest(pool string) {
	r := sim.rng.arrival
	req := &deskRequest{arrived: sim.now, deadline: sim.now.Add(deskDeadline), pool: pool,
		domain: sim.deployment.Domains[r.IntN(len(sim.deployment.Domains))], model: sim.modelName(r.IntN(sim.deployment.Trainers)),
		prompt: prompt{uint64(r.IntN(deskPromptCount)) + 1, deskPromptTokens}, tokens: lognormal(r, deskMedianTokens, deskSigma, deskMaxTokens)}
	s := sim.secondOf(sim.now)
	sim.metrics.arrived, sim.metrics.answered = growTo(sim.metrics.arrived, s), growTo(sim.metrics.answered, s)
	if pool == modelPool {
		sim.metrics.arrived[s]++
	}
	sim.at(req.deadline, func() { sim.endDeskRequest(req, false) })
	sim.sendDeskRequest(req)
}

func (sim *simulation) sendDeskRequest(req *deskRequest) {
	if req.ended {
		return
	}
	req.attempts++
	j := sim.newJob()
	j.kind, j.tenancy, j.pool, j.model = routing.Desk, "desk", req.pool, req.model
	j.deadline, j.domain, j.deskRequest = req.deadline, req.domain, req
	j.prompt, j.tokens, j.expectedTokens = req.prompt, req.tokens, deskExpectedTokens
	req.job = j
	if err := sim.router.submit(j); err != nil {
		sim.handleRefusal(j, errs.RetryAfterOf(err))
	}
}

func (sim *simulation) retryDeskRequest(req *deskRequest, after time.Duration) {
	if req.attempts >= deskAttempts {
		sim.endDeskRequest(req, false)
		return
	}
	backoff := seconds(0.1 * float64(int(1)<<req.attempts) * (0.5 + sim.rng.policy.Float64()))
	sim.after(max(after, backoff), func() { sim.sendDeskRequest(req) })
}

// endDeskRequest ends a request, either answered in time or failed, and cancels the running attempt of
// a failed one.
func (sim *simulation) endDeskRequest(req *deskRequest, answered bool) {
	if req.ended {
		return
	}
	req.ended = true
	if !answered && req.job != nil {
		req.job.cancelled = true
		sim.router.cancel(req.job)
		if req.job.engine != nil {
			req.job.engine.cancel(req.job)
		}
	}
	if req.pool != modelPool {
		return
	}
	if sim.warmedUp() {
		sim.metrics.deskRequests++
		if answered {
			_ = sim.metrics.deskLatency.RecordValue(max(1, sim.now.Sub(req.arrived).Microseconds()))
		} else {
			sim.metrics.deskFailures++
			_ = sim.metrics.deskLatency.RecordValue(deskDeadline.Microseconds())
		}
	}
	if answered {
		sim.metrics.answered[sim.secondOf(req.arrived)]++
		sim.metrics.goodTokens = growTo(sim.metrics.goodTokens, sim.secondOf(sim.now))
		sim.metrics.goodTokens[sim.secondOf(sim.now)] += req.tokens
	}
}

const (
	maxPartition     = 3 * time.Minute
	maxCrashInterval = 5 * time.Minute // mean time between crashes of engines in the deployment
)

// startFaults schedules engine crashes, a slow engine and a network partition.
func (sim *simulation) startFaults() {
	sim.scheduleCrash()
	duration := sim.scenario.Duration
	slow := sim.engineList[1]
	sim.after(duration*2/10, func() { slow.setSlowdown(4) })
	sim.after(duration*5/10, func() { slow.setSlowdown(1) })
	sim.after(duration*6/10, func() { sim.partition(sim.deployment.Domains[2], min(maxPartition, duration/10)) })
}

func (sim *simulation) scheduleCrash() {
	interval := min(maxCrashInterval, sim.scenario.Duration/12)
	sim.after(seconds(interval.Seconds()*sim.rng.fault.ExpFloat64()), func() {
		sim.engineList[sim.rng.fault.IntN(len(sim.engineList))].crash(time.Minute)
		sim.scheduleCrash()
	})
}

// setSlowdown multiplies the time per token by factor.
func (e *engine) setSlowdown(factor float64) {
	e.advance()
	e.slowdown = factor
	e.schedule()
}
