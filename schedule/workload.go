package schedule

import (
	"math"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/autoscale"
)

const (
	// maxArrivals is the number of the newest jobs of a model from which its demand is computed.
	maxArrivals = 16
	// idlePeriods and minIdleTime tell when a model without a new job is no longer in use: after that many periods, at
	// least after the time.
	idlePeriods = 4
	minIdleTime = 30 * time.Second
	// runHalfLife is the time after which a run has half of its weight in the averages.
	runHalfLife = 20 * time.Second
)

// arrival is a job when it was submitted.
type arrival struct {
	at     time.Time
	tokens int
}

// modelArrivals are the newest jobs of a model, the oldest first.
type modelArrivals struct {
	list   []arrival
	window time.Duration // of the newest job
}

// workload measures how much work comes and how fast engines do it. Its zero value is empty.
type workload struct {
	arrivals map[string]map[string]*modelArrivals // by service and model
	// runs, tokens, seconds and kvTokens are decaying sums over the finished runs; seconds are those that the runs would
	// have taken at full engines.
	runs, tokens, seconds, kvTokens float64
	recordedAt                      time.Time // end of the last run
}

// RecordArrival records that a job with a number of output tokens was submitted at a time. window is the time until its
// results are due. Models that the service does not list are given as one, "", since each model is kept. Jobs of a model that
// were first seen at the same time count as one, because their times are not known.
func (s *Scheduler) RecordArrival(at time.Time, service, model string, tokens int, window time.Duration) {
	if s.work.arrivals == nil {
		s.work.arrivals = make(map[string]map[string]*modelArrivals)
	}
	if s.work.arrivals[service] == nil {
		s.work.arrivals[service] = make(map[string]*modelArrivals)
	}
	m := s.work.arrivals[service][model]
	if m == nil {
		m = &modelArrivals{}
		s.work.arrivals[service][model] = m
	}
	m.window = window
	if n := len(m.list); n > 0 && !at.After(m.list[n-1].at) {
		m.list[n-1].tokens = max(m.list[n-1].tokens, tokens)
		return
	}
	m.list = append(m.list, arrival{at, tokens})
	m.list = m.list[max(len(m.list)-maxArrivals, 0):]
}

// OutputTokens returns the number of output tokens that are assumed for an item with an estimate, which may be missing.
func OutputTokens(estimate int) int {
	if estimate > 0 {
		return estimate
	}
	return defaultOutputTokens
}

// period returns the time between two jobs, or 0 while fewer than three are known. It is below the median, because jobs
// come later while the engines are too slow, which must not look like less work.
func (m *modelArrivals) period() time.Duration {
	var gaps []time.Duration
	for i := 1; i < len(m.list); i++ {
		gaps = append(gaps, m.list[i].at.Sub(m.list[i-1].at))
	}
	if len(gaps) < 2 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[max(len(gaps)/4, 1)]
}

// demand returns the demand of a model. ok is false if no jobs come any more.
func (m *modelArrivals) demand(now time.Time, model string) (d autoscale.ModelDemand, ok bool) {
	d = autoscale.ModelDemand{Model: model, Jobs: len(m.list), Period: m.period(), Window: m.window}
	if now.Sub(m.list[len(m.list)-1].at) > max(idlePeriods*d.Period, minIdleTime) {
		return d, false
	}
	for _, a := range m.list {
		d.MeanTokens += float64(a.tokens)
		d.MaxTokens = max(d.MaxTokens, float64(a.tokens))
	}
	d.MeanTokens /= float64(len(m.list))
	return d, true
}

// recordRun records a finished run, before it is removed from its engine.
func (w *workload) recordRun(now time.Time, r *run) {
	keep := math.Exp2(-now.Sub(w.recordedAt).Seconds() / runHalfLife.Seconds())
	toFull := r.engine.slowdownAt(r.engine.Slots) / r.engine.slowdownAt(len(r.engine.runs))
	w.runs = keep*w.runs + 1
	w.tokens = keep*w.tokens + float64(OutputTokens(r.task.RemainingTokens))
	w.seconds = keep*w.seconds + toFull*now.Sub(r.startedAt).Seconds()
	w.kvTokens = keep*w.kvTokens + float64(r.task.averageKVTokens())
	w.recordedAt = now
}

// runSpeed returns the tokens a second of a run on a full engine, in the units of the clients' estimates. Before a run has
// finished it follows from the gap between events.
func (s *Scheduler) runSpeed() float64 {
	if s.work.seconds > 0 {
		return s.work.tokens / s.work.seconds
	}
	return TokensPerEvent / (s.medianGap * (1 + fullOccupancySlowdown))
}

// concurrentRuns returns the number of runs on a full engine with a number of slots and a KV cache.
func (w *workload) concurrentRuns(slots, kvCacheTokens int) float64 {
	if kvCacheTokens == 0 || w.kvTokens == 0 {
		return float64(slots)
	}
	return min(float64(slots), float64(kvCacheTokens)*w.runs/w.kvTokens)
}

// Demand returns the work of a service whose engines have a number of slots and a KV cache.
func (s *Scheduler) Demand(now time.Time, service string, slots, kvCacheTokens int) *autoscale.Demand {
	speed := s.runSpeed()
	d := &autoscale.Demand{StatedAt: now, TokensPerSecond: speed * s.work.concurrentRuns(slots, kvCacheTokens)}
	for model, m := range s.work.arrivals[service] {
		if md, ok := m.demand(now, model); ok {
			d.Models = append(d.Models, md)
		}
	}
	slices.SortFunc(d.Models, func(a, b autoscale.ModelDemand) int { return strings.Compare(a.Model, b.Model) })
	for _, id := range s.jobOrder {
		if w := s.jobs[id].openWork(now, service, speed); w.Tokens > 0 {
			d.Open = append(d.Open, w)
		}
	}
	for _, e := range s.enginesByID() {
		if e.Service == service && e.unavailable() {
			d.Failing = append(d.Failing, e.ID)
		}
	}
	return d
}

// openWork returns the tokens of the job's tasks of a service that are still to be generated.
func (j *job) openWork(now time.Time, service string, speed float64) autoscale.OpenWork {
	var w autoscale.OpenWork
	add := func(t *Task, tokens float64) {
		if t.Service == service {
			w.Deadline = t.Deadline
			w.Tokens += max(tokens, 0)
		}
	}
	for _, t := range j.waiting {
		add(t, float64(OutputTokens(t.RemainingTokens)))
	}
	for _, r := range j.running {
		add(r.task, float64(OutputTokens(r.task.RemainingTokens))-speed*now.Sub(r.startedAt).Seconds())
	}
	return w
}
