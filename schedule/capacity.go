package schedule

import (
	"math"
	"slices"
	"time"

	"fuchsiaflow/capacity"
)

const (
	// speedClassFactor is the factor between the usual gaps of two engines of a service from which they are of unlike
	// speed.
	speedClassFactor = 4.0 / 3
	// unlikeFor is how long the engines of a service count as unlike after the last evidence of it.
	unlikeFor = 30 * time.Second
	// presentSpeedHorizon is how long a run is expected to go on at the present speed of its engine; then at the usual one.
	// Engines that share a machine are slow for periods of some 0.6 s.
	presentSpeedHorizon = 300 * time.Millisecond
	// moveTime is the time that a move costs: the stop of the run, the next assignment and the prefill of its text.
	moveTime = 120 * time.Millisecond
	// minMoveGain is the part of the rest of a run that a move must save, so that runs do not move back and forth.
	minMoveGain = 0.33
	// overrunShare is the part of the estimated length that is still expected of a run which has exceeded it.
	overrunShare = 0.25
)

// newEngineCapacity returns the estimator of the event gap of an engine.
func newEngineCapacity(slots int) *capacity.Estimator {
	return capacity.NewEstimator(slots, fullOccupancySlowdown)
}

// recordCapacity adds a measurement of the event gap to the estimate of the engine.
func (e *engine) recordCapacity(now time.Time, gap time.Duration) {
	e.estimate.SetSlots(e.Slots)
	e.estimate.RecordResult(now, float64(max(len(e.runs), 1)), gap)
}

// slowdownAt returns the factor by which the event gap grows while a number of runs is in progress: as results show if the
// engine slows down before its slots are in use, else fullOccupancySlowdown in proportion to the slots.
func (e *engine) slowdownAt(runs int) float64 {
	if e.unlike && e.estimate.SlowsDown() {
		return e.estimate.Growth(float64(runs))
	}
	return 1 + fullOccupancySlowdown*float64(runs)/float64(max(e.Slots, 1))
}

// hasRoom reports whether another run would find a slot and not exceed the knee of the engine, as far as results show one.
func (e *engine) hasRoom() bool {
	if !e.hasFreeSlot() {
		return false
	}
	return !e.unlike || !e.estimate.SlowsDown() || float64(len(e.runs)) < math.Round(e.estimate.Knee())
}

// reviewSpeeds records which services have engines of unlike speed, or engines that slow down before they are full. Without
// either, engines are chosen as if all were alike.
func (s *Scheduler) reviewSpeeds(now time.Time) {
	if s.ignoreSpeeds {
		return
	}
	extremes := make(map[string]*capacity.Extremes)
	for _, e := range s.enginesByID() {
		if e.estimate.SlowsDown() {
			s.unlikeUntil[e.Service] = now.Add(unlikeFor)
		}
		if !e.speed.fresh(now) {
			continue
		}
		if extremes[e.Service] == nil {
			extremes[e.Service] = new(capacity.Extremes)
		}
		extremes[e.Service].Add(e.estimate, e.usualGap())
	}
	for service, x := range extremes {
		if x.Differ(speedClassFactor) {
			s.unlikeUntil[service] = now.Add(unlikeFor)
		}
	}
	for _, e := range s.enginesByID() {
		e.unlike = s.isUnlike(now, e.Service)
	}
}

// isUnlike reports whether the engines of a service are of unlike speed.
func (s *Scheduler) isUnlike(now time.Time, service string) bool {
	return now.Before(s.unlikeUntil[service])
}

// usualGap returns the usual gap of the engine, scaled to one run, in seconds; 0 if it is not known.
func (e *engine) usualGap() float64 { return e.estimate.UsualLatency() }

// fastestGap returns the least planned gap of the engines that serve the model of a task, busy ones included, in seconds.
func (s *Scheduler) fastestGap(now time.Time, t *Task) float64 {
	fastest := math.Inf(1)
	for _, e := range s.enginesByID() {
		if e.serves(t) {
			fastest = min(fastest, s.plannedGap(now, e))
		}
	}
	return fastest
}

// plannedGap returns the gap that is expected of the engine over a run, scaled to an idle engine, in seconds.
func (s *Scheduler) plannedGap(now time.Time, e *engine) float64 {
	if usual := e.usualGap(); usual > 0 {
		return usual
	}
	return e.speed.expectedGap(now, s.medianGap)
}

// assignUnlike assigns the waiting tasks of the job, in start order, to free engines of unlike speed: the first ones, which
// have the longest expected rest, to fast engines, and the last ones to slow engines. Engines are filled beyond their knees
// only when none has room. It returns the tasks that remain.
func (a *jobAssigner) assignUnlike(free []*engine) []*Task {
	var fast, slow []*engine
	fastest := a.s.fastestGap(a.now, a.job.waiting[0])
	for _, e := range free {
		switch {
		case !e.hasRoom():
		case a.s.plannedGap(a.now, e) > speedClassFactor*fastest:
			slow = append(slow, e)
		default:
			fast = append(fast, e)
		}
	}
	remaining := a.assignInOrder(a.job.waiting, fast, (*engine).hasRoom)
	slices.Reverse(remaining)
	remaining = a.assignInOrder(remaining, slow, (*engine).hasRoom)
	slices.Reverse(remaining)
	free = slices.DeleteFunc(free, func(e *engine) bool { return !e.hasFreeSlot() })
	return a.assignInOrder(remaining, free, (*engine).hasFreeSlot)
}

// restTime returns the expected time for a number of events at the engine while the given number of runs is in progress, in
// seconds.
func (s *Scheduler) restTime(now time.Time, e *engine, events float64, runs int) float64 {
	slowdown := e.slowdownAt(runs)
	present, usual := e.speed.expectedGap(now, s.medianGap)*slowdown, s.plannedGap(now, e)*slowdown
	horizon := presentSpeedHorizon.Seconds()
	if soon := horizon / present; events > soon {
		return horizon + (events-soon)*usual
	}
	return events * present
}

// remainingEvents returns the expected number of events until the end of a run.
func (r *run) remainingEvents(now time.Time) float64 {
	tokens := r.task.RemainingTokens
	if tokens <= 0 {
		tokens = defaultOutputTokens
	}
	total := float64(tokens) / TokensPerEvent
	gap := r.engine.speed.averageGap * r.engine.slowdownAt(len(r.engine.runs))
	if gap <= 0 {
		return total
	}
	return max(total-now.Sub(r.startedAt).Seconds()/gap, overrunShare*total, 1)
}

// endsSooner reports whether a run ends sooner if it moves now to another engine, with the given number of other runs that
// move there.
func (s *Scheduler) endsSooner(now time.Time, r *run, task *Task, dest *engine, others int) bool {
	events := r.remainingEvents(now)
	here := s.restTime(now, r.engine, events, len(r.engine.runs))
	there := moveTime.Seconds() + s.restTime(now, dest, events*task.restartFactor(dest), len(dest.runs)+others+1)
	return there < (1-minMoveGain)*here
}

// mayEndSooner reports whether a run would end sooner at an idle engine with a gap, in seconds. It saves the search for an
// engine, which visits all of them.
func (s *Scheduler) mayEndSooner(now time.Time, r *run, gap float64) bool {
	events := r.remainingEvents(now)
	here := s.restTime(now, r.engine, events, len(r.engine.runs))
	return moveTime.Seconds()+events*gap < (1-minMoveGain)*here
}

// SpeedChange is an engine whose usual gap or knee has changed by a third, with the earlier values, 0 before the first.
type SpeedChange struct {
	Engine             string
	Gap, PreviousGap   time.Duration
	Knee, PreviousKnee float64
	Running            int
}

// SpeedChanges returns the engines of services with engines of unlike speed that have changed since they were last returned,
// ordered by ID.
func (s *Scheduler) SpeedChanges() []SpeedChange {
	var out []SpeedChange
	for _, e := range s.enginesByID() {
		gap, knee := e.usualGap(), e.estimate.Knee()
		if !e.unlike || gap == 0 || !differByAThird(gap, e.reportedGap) && !differByAThird(knee, e.reportedKnee) {
			continue
		}
		out = append(out, SpeedChange{Engine: e.ID, Gap: seconds(gap), PreviousGap: seconds(e.reportedGap), Knee: knee, PreviousKnee: e.reportedKnee, Running: len(e.runs)})
		e.reportedGap, e.reportedKnee = gap, knee
	}
	return out
}

// differByAThird reports whether one of two values exceeds the other by a third.
func differByAThird(a, b float64) bool { return 3*a > 4*b || 3*b > 4*a }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
