package measure

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fuchsiaflow/errs"
	"fuchsiaflow/routing"
)

// metrics are the raw figures of a run.
type metrics struct {
	desk        *hdrhistogram.Histogram // latency of answered desk requests to the model pool, in microseconds
	staleness   *hdrhistogram.Histogram
	deskCalls   int
	deskFailed  int
	overBound   int
	doubled     int
	lost        int
	discarded   int
	refusals    int
	failedSwaps int
	samples     int
	steps       int
	idle        time.Duration
	training    time.Duration
	good        []int // tokens answered in time, by second of completion
	arrived     []int // by second of arrival
	answered    []int // in time, by second of arrival
}

func grow(s []int, i int) []int {
	for len(s) <= i {
		s = append(s, 0)
	}
	return s
}

func (w *world) second(t time.Time) int { return int(t.Sub(w.started) / time.Second) }

func (w *world) warm() bool { return w.now.Sub(w.started) >= w.sc.Warmup }

// trainer trains on a step while the next one is generated.
type trainer struct {
	w         *world
	tenancy   string
	model     string
	home      string
	step      int // being generated
	received  map[int]int
	total     int
	opened    time.Time
	training  bool
	idleSince time.Time
	version   uint64
	ready     bool // the step in generation is complete
}

func (w *world) startTrainers() {
	if !w.sc.Trainers {
		return
	}
	for i := range w.dep.Trainers {
		t := &trainer{w: w, tenancy: fmt.Sprint("trainer-", i), model: w.model(i),
			home: w.dep.Domains[i%len(w.dep.Domains)], idleSince: w.now}
		w.trainers = append(w.trainers, t)
		// Trainers start apart, as teams do.
		w.after(time.Duration(i)*trainTime/time.Duration(w.dep.Trainers), t.open)
	}
}

func (t *trainer) open() {
	t.step++
	t.ready = false
	t.received = make(map[int]int)
	t.total = samplesPerCycle / t.w.dep.Trainers
	t.opened = t.w.now
	s := Step{Tenancy: t.tenancy, Model: t.model, Home: t.home, Number: t.step, Bound: t.w.dep.Bound, Deadline: t.w.now.Add(stepDeadline)}
	for i := range t.total {
		id := promptID(t.tenancy, t.step, i/groupSize)
		s.Slots = append(s.Slots, Slot{Prompt: id, MaxTokens: maxTokens(t.w.rng.seed, id)})
	}
	t.w.scheduler.OpenStep(t.w.now, s)
}

// receive is the trainer's own check of what it is given, independent of the scheduler.
func (t *trainer) receive(j *job, staleness uint64) {
	if j.work.Step != t.step {
		t.w.m.doubled++
		return
	}
	t.received[j.work.Slot]++
	if t.received[j.work.Slot] > 1 {
		t.w.m.doubled++
		return
	}
	if own := t.version - min(j.oldest, t.version); own > t.w.dep.Bound || own != staleness {
		t.w.m.overBound++
	}
	t.w.m.samples++
	if t.w.warm() {
		_ = t.w.m.staleness.RecordValue(int64(staleness))
	}
	if len(t.received) == t.total {
		t.ready = true
		t.train()
	}
}

// train starts training when the step is complete and the last training has ended.
func (t *trainer) train() {
	if t.training || !t.ready {
		return
	}
	t.training = true
	if t.w.warm() {
		t.w.m.idle += t.w.now.Sub(t.idleSince)
		t.w.m.training += t.w.sc.TrainTime
		t.w.m.steps++
	}
	t.w.after(t.w.sc.TrainTime, func() {
		t.training = false
		t.idleSince = t.w.now
		t.publish()
		t.train()
	})
	t.open()
}

func (t *trainer) publish() {
	t.version++
	t.w.scheduler.Publish(t.w.now, t.model, t.version)
	for d, p := range t.w.planners {
		if t.w.reachable(d, t.home) {
			p.Desire(t.w.now, t.model, t.version)
		}
	}
}

// close counts the slots of steps that should have been complete long ago.
func (w *world) close() {
	for _, t := range w.trainers {
		if !t.ready && w.now.Sub(t.opened) > 2*stepDeadline {
			w.m.lost += t.total - len(t.received)
		}
		if !t.training && w.warm() {
			w.m.idle += w.now.Sub(t.idleSince)
		}
	}
}

func (w *world) startDesks() {
	for _, pool := range []string{modelPool, deskPool} {
		w.nextArrival(pool)
	}
}

// nextArrival schedules the next desk request; arrivals do not depend on the answers.
func (w *world) nextArrival(pool string) {
	if w.sc.DeskRate <= 0 {
		return
	}
	rate := w.sc.DeskRate
	if w.sc.Load != nil {
		rate *= w.sc.Load(w.now.Sub(w.started))
	}
	w.after(seconds(w.rng.arrival.ExpFloat64()/rate), func() {
		w.arrive(pool)
		w.nextArrival(pool)
	})
}

func (w *world) arrive(pool string) {
	r := w.rng.arrival
	c := &deskCall{arrived: w.now, deadline: w.now.Add(deskDeadline), pool: pool,
		domain: w.dep.Domains[r.IntN(len(w.dep.Domains))], model: w.model(r.IntN(w.dep.Trainers)),
		prompt: prompt{uint64(r.IntN(deskPrompts)) + 1, deskPrompt}, tokens: lognormal(r, deskMedian, deskSigma, deskMax)}
	s := w.second(w.now)
	w.m.arrived, w.m.answered = grow(w.m.arrived, s), grow(w.m.answered, s)
	if pool == modelPool {
		w.m.arrived[s]++
	}
	w.at(c.deadline, func() { w.endDesk(c, false) })
	w.tryDesk(c)
}

func (w *world) tryDesk(c *deskCall) {
	if c.ended {
		return
	}
	c.attempts++
	j := w.newJob()
	j.kind, j.tenancy, j.pool, j.model = routing.Desk, "desk", c.pool, c.model
	j.deadline, j.domain, j.desk = c.deadline, c.domain, c
	j.prompt, j.tokens, j.expected = c.prompt, c.tokens, deskExpected
	c.job = j
	if err := w.router.submit(j); err != nil {
		w.refused(j, errs.RetryAfterOf(err))
	}
}

func (w *world) retryDesk(c *deskCall, after time.Duration) {
	if c.attempts >= deskAttempts {
		w.endDesk(c, false)
		return
	}
	backoff := seconds(0.1 * float64(int(1)<<c.attempts) * (0.5 + w.rng.policy.Float64()))
	w.after(max(after, backoff), func() { w.tryDesk(c) })
}

// endDesk ends a call, in time or not. What still runs for it is cancelled.
func (w *world) endDesk(c *deskCall, answered bool) {
	if c.ended {
		return
	}
	c.ended = true
	if !answered && c.job != nil {
		c.job.cancelled = true
		w.router.cancel(c.job)
		if c.job.engine != nil {
			c.job.engine.cancel(c.job)
		}
	}
	if c.pool != modelPool {
		return
	}
	if w.warm() {
		w.m.deskCalls++
		if answered {
			_ = w.m.desk.RecordValue(max(1, w.now.Sub(c.arrived).Microseconds()))
		} else {
			w.m.deskFailed++
			_ = w.m.desk.RecordValue(deskDeadline.Microseconds()) // an unanswered request counts as the deadline
		}
	}
	if answered {
		w.m.answered[w.second(c.arrived)]++
		w.m.good = grow(w.m.good, w.second(w.now))
		w.m.good[w.second(w.now)] += c.tokens
	}
}

const (
	maxCut           = 3 * time.Minute
	maxCrashInterval = 5 * time.Minute // mean time between crashes in the deployment
)

// startFaults schedules crashes, a slow target and a domain that is cut off.
func (w *world) startFaults() {
	w.nextCrash()
	length := w.sc.Duration
	slow := w.list[1]
	w.after(length*2/10, func() { slow.setSlow(4) })
	w.after(length*5/10, func() { slow.setSlow(1) })
	w.after(length*6/10, func() { w.isolate(w.dep.Domains[2], min(maxCut, length/10)) })
}

func (w *world) nextCrash() {
	interval := min(maxCrashInterval, w.sc.Duration/12)
	w.after(seconds(interval.Seconds()*w.rng.fault.ExpFloat64()), func() {
		w.list[w.rng.fault.IntN(len(w.list))].crash(time.Minute)
		w.nextCrash()
	})
}

func (e *engine) setSlow(f float64) {
	e.advance()
	e.slow = f
	e.schedule()
}
