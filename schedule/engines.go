package schedule

import (
	"time"

	"fuchsiaflow/capacity"
	"fuchsiaflow/fleet"
)

// Engine describes a target that serves models for text generation.
type Engine struct {
	fleet.Target
	// KVCacheTokens is the capacity of its KV cache in tokens; 0 when unknown.
	KVCacheTokens int
	// Models lists the models of its service. Each engine of a service has the same list and is
	// assigned one of these models.
	Models []string
	// RateLimit is the number of runs a second that the engine takes; 0 without a limit.
	RateLimit float64
}

// engine is the scheduler's state of one engine.
type engine struct {
	Engine
	assignedModel  string // model that the engine should serve; empty if none
	runs           map[Key]*run
	expectedTokens int               // expected KV cache usage of the runs
	runsByGroup    map[string]int    // number of runs per prompt group
	versions       map[string]uint64 // loaded weight version per model

	speed                 engineSpeed
	estimate              *capacity.Estimator // of the event gap
	reportedGap           float64             // usualGap as last returned by SpeedChanges, in seconds
	reportedKnee          float64             // knee as last returned by SpeedChanges
	unlike                bool                // the engines of the service are of unlike speed; see Scheduler.reviewSpeeds
	consecutiveFailures   int                 // Broken runs since the last Finished or Failed one
	backoffUntil          time.Time
	loading               *weightLoad // load in progress; nil if none
	draining              bool
	loadOrderBackoffUntil time.Time // no load order is sent before
}

func (e *engine) freeSlots() int { return e.Slots - len(e.runs) }

func (e *engine) hasFreeSlot() bool { return e.freeSlots() > 0 }

// minCapacity is the least capacity of an engine.
const minCapacity = 0.05

// capacity returns the part of the work of an engine without a limit that the engine can do, if runs last runTime.
func (e *engine) capacity(runTime time.Duration) float64 {
	if e.RateLimit == 0 {
		return 1
	}
	return min(max(e.RateLimit*runTime.Seconds()/float64(max(e.Slots, 1)), minCapacity), 1)
}

// unavailableAfter is the number of consecutive failures after which an engine loses its model, so
// that other engines take it over.
const unavailableAfter = 3

// unavailable reports whether the recent runs indicate that the engine is unreachable or broken.
func (e *engine) unavailable() bool { return e.consecutiveFailures >= unavailableAfter }

// add registers a run that starts now. While the engine loads weights of the task's model, the run is
// a probe: its outcome shows whether the load is complete.
func (e *engine) add(now time.Time, r *run) {
	e.runs[r.task.Key()] = r
	e.expectedTokens += r.task.averageKVTokens()
	e.runsByGroup[r.task.Group]++
	if e.loading != nil && r.task.Model == e.loading.model {
		e.loading.probe = r
		e.loading.nextProbe = now.Add(refusalBackoff)
	}
}

// remove releases the slot and the KV cache of a run. It does nothing if the run is not on the engine.
func (e *engine) remove(r *run) {
	if e.runs[r.task.Key()] != r {
		return
	}
	delete(e.runs, r.task.Key())
	e.expectedTokens -= r.task.averageKVTokens()
	if e.runsByGroup[r.task.Group]--; e.runsByGroup[r.task.Group] <= 0 {
		delete(e.runsByGroup, r.task.Group)
	}
	if e.loading != nil && e.loading.probe == r {
		e.loading.probe = nil
	}
}

// canStart reports whether the engine can start the task now.
func (e *engine) canStart(now time.Time, t *Task) bool {
	switch {
	case e.draining, e.Service != t.Service, e.freeSlots() <= 0, now.Before(e.backoffUntil):
		return false
	case e.KVCacheTokens > 0 && len(e.runs) > 0 && e.expectedTokens+t.averageKVTokens() > e.KVCacheTokens:
		return false
	case e.consecutiveFailures > 0 && len(e.runs) > 0:
		return false // after a failure, a single run probes the engine
	}
	return e.versionAllows(now, t)
}

// versionAllows reports whether the task accepts the weight version on the engine. While the engine
// loads weights of the task's model, it allows one probe run at a time, and none before the expected
// end of the load.
func (e *engine) versionAllows(now time.Time, t *Task) bool {
	if e.loading != nil && e.loading.model == t.Model && (e.loading.probe != nil || now.Before(e.loading.nextProbe)) {
		return false
	}
	version := e.version(t.Model)
	if t.PinnedVersion > 0 && version != t.PinnedVersion {
		return false
	}
	return t.Model == "" || version >= t.MinVersion
}

// version returns the version of a model that the engine has loaded or is loading; 0 if none.
func (e *engine) version(model string) uint64 {
	if e.loading != nil && e.loading.model == model {
		return e.loading.version
	}
	return e.versions[model]
}

// score estimates the relative run time of the task on this engine; lower is better. medianGap, in
// seconds, is used for an engine without a recent speed measurement.
func (e *engine) score(now time.Time, t *Task, medianGap float64) float64 {
	score := e.slowdownAt(len(e.runs) + 1)
	if e.runsByGroup[t.Group] > 0 {
		score -= cachedPromptBonus
	}
	if e.assignedModel != t.Model {
		score += fullOccupancySlowdown // prefer engines that are assigned to the model
	}
	return score * e.speed.expectedGap(now, medianGap) * t.restartFactor(e)
}

// recordOutcome updates the failure count and the backoff after a run has ended.
func (e *engine) recordOutcome(now time.Time, o Outcome) {
	switch o {
	case Finished, Failed:
		e.consecutiveFailures = 0
	case Refused:
		e.backoffUntil = now.Add(refusalBackoff)
	case Broken:
		backoff := min(initialFailureBackoff<<min(e.consecutiveFailures, 6), maxFailureBackoff)
		e.consecutiveFailures++
		e.backoffUntil = now.Add(backoff)
	}
}

// DelayEngine lets an engine get no new run for a time.
func (s *Scheduler) DelayEngine(now time.Time, id string, d time.Duration) {
	if e := s.engines[id]; e != nil && e.backoffUntil.Before(now.Add(d)) {
		e.backoffUntil = now.Add(d)
	}
}

// SetEngines replaces the list of engines and reassigns models to engines. Engines missing from the
// list start no new runs, and their current runs continue.
func (s *Scheduler) SetEngines(list []Engine) {
	present := make(map[string]bool, len(list))
	for _, update := range list {
		present[update.ID] = true
		e := s.engines[update.ID]
		if e == nil || e.Incarnation != update.Incarnation {
			e = &engine{runs: make(map[Key]*run), runsByGroup: make(map[string]int), versions: make(map[string]uint64),
				estimate: newEngineCapacity(update.Slots)}
			if old := s.engines[update.ID]; old != nil {
				e.assignedModel = old.assignedModel
			}
			s.engines[update.ID] = e
			s.sortedEngines = nil
		}
		e.Engine, e.draining = update, update.State != fleet.Ready
		for model, v := range update.Weights {
			s.recordVersion(e, model, v)
		}
	}
	for id, e := range s.engines {
		if present[id] {
			continue
		}
		e.draining = true
		if len(e.runs) == 0 {
			delete(s.engines, id)
			s.sortedEngines = nil
		}
	}
	s.assignModels()
}

// RecordDemand records the number of tokens of a whole job for a model, including items that are already
// complete. The moving average of each model determines its share of the engines.
func (s *Scheduler) RecordDemand(service, model string, tokens int) {
	const newestWeight = 0.5 // weight of the newest job in the moving average
	if s.demand[service] == nil {
		s.demand[service] = make(map[string]float64)
	}
	average := float64(tokens)
	if previous := s.demand[service][model]; previous > 0 {
		average = previous + newestWeight*(average-previous)
	}
	s.demand[service][model] = average
}

// EngineState describes an engine for log output.
type EngineState struct {
	ID, Model                     string
	Running, Slots                int
	ExpectedTokens, KVCacheTokens int // expected usage and capacity of the KV cache, in tokens
	Failures                      int
	InBackoff, Loading            bool    // in backoff after a refused or broken run; loading weights
	Version                       uint64  // loaded version of the assigned model
	Knee                          float64 // runs that are worthwhile at once, as far as results show
	EventGapMs                    float64 // average time between two output events of a run, scaled to an idle engine
}

// EngineStates returns the state of each engine, ordered by ID.
func (s *Scheduler) EngineStates(now time.Time) []EngineState {
	var out []EngineState
	for _, e := range s.enginesByID() {
		out = append(out, EngineState{ID: e.ID, Model: e.assignedModel, Running: len(e.runs), Slots: e.Slots, ExpectedTokens: e.expectedTokens, KVCacheTokens: e.Engine.KVCacheTokens,
			Failures: e.consecutiveFailures, InBackoff: now.Before(e.backoffUntil), Loading: e.loading != nil, Version: e.versions[e.assignedModel],
			EventGapMs: e.speed.averageGap * 1000, Knee: e.estimate.Knee()})
	}
	return out
}
