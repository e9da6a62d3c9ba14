package schedule

import (
	"cmp"
	"slices"
	"time"

	"fuchsiaflow/fleet"
)

// Engine describes a target that generates text.
type Engine struct {
	fleet.Target
	// KVCacheTokens is the size of its KV cache; 0 when unknown.
	KVCacheTokens int
	// Models are the models that the engines of its service share.
	Models []string
}

type engine struct {
	Engine
	model   string // the model that it is meant for
	runs    map[Key]*run
	tokens  int
	groups  map[string]int // runs of a prompt group
	weights map[string]uint64

	speed        speed
	failures     int // runs in a row that broke off
	pausedUntil  time.Time
	loading      *load
	draining     bool
	orderBackoff time.Time
}

func (e *engine) free() int { return e.Slots - len(e.runs) }

// lostAfter is the number of failures in a row after which other engines take over the model of
// an engine.
const lostAfter = 3

// lost tells whether the engine cannot be reached or does not work, as far as its runs show.
func (e *engine) lost() bool { return e.failures >= lostAfter }

func (e *engine) add(now time.Time, r *run) {
	e.runs[r.task.Key()] = r
	e.tokens += r.task.footprint()
	e.groups[r.task.Group]++
	if e.loading != nil && r.task.Model == e.loading.model {
		e.loading.trial = r
		e.loading.nextTrial = now.Add(refusedPause)
	}
}

func (e *engine) remove(r *run) {
	if e.runs[r.task.Key()] != r {
		return
	}
	delete(e.runs, r.task.Key())
	e.tokens -= r.task.footprint()
	if e.groups[r.task.Group]--; e.groups[r.task.Group] <= 0 {
		delete(e.groups, r.task.Group)
	}
	if e.loading != nil && e.loading.trial == r {
		e.loading.trial = nil
	}
}

// usable tells whether the engine can take the task now.
func (e *engine) usable(now time.Time, t *Task) bool {
	switch {
	case e.draining, e.Service != t.Service, e.free() <= 0, now.Before(e.pausedUntil):
		return false
	case e.KVCacheTokens > 0 && len(e.runs) > 0 && e.tokens+t.footprint() > e.KVCacheTokens:
		return false
	case e.failures > 0 && len(e.runs) > 0:
		return false // one trial run after a failure
	}
	return e.fits(now, t)
}

// fits tells whether the weights of the engine allow the task now.
func (e *engine) fits(now time.Time, t *Task) bool {
	if e.loading != nil && e.loading.model == t.Model && (e.loading.trial != nil || now.Before(e.loading.nextTrial)) {
		return false
	}
	version := e.version(t.Model)
	if t.PinnedVersion > 0 && version != t.PinnedVersion {
		return false
	}
	return t.Model == "" || version >= t.MinVersion
}

// version returns the version of a model that the engine has or loads.
func (e *engine) version(model string) uint64 {
	if e.loading != nil && e.loading.model == model {
		return e.loading.version
	}
	return e.weights[model]
}

// expected scores how long the task would take; lower is better.
func (e *engine) expected(now time.Time, t *Task, typical float64) float64 {
	score := 1 + spreadGain*e.occupancy(1)
	if e.groups[t.Group] > 0 {
		score -= groupGain
	}
	if e.model != t.Model {
		score += spreadGain // leave it to its own model
	}
	return score * e.speed.gap(now, typical)
}

// occupancy is the share of slots in use with some runs more.
func (e *engine) occupancy(more int) float64 {
	return float64(len(e.runs)+more) / float64(max(e.Slots, 1))
}

func (e *engine) took(now time.Time, o Outcome) {
	switch o {
	case Finished, Failed:
		e.failures = 0
	case Refused:
		e.pausedUntil = now.Add(refusedPause)
	case Broken:
		pause := min(failedPause<<min(e.failures, 6), maxPause)
		e.failures++
		e.pausedUntil = now.Add(pause)
	}
}

// SetEngines replaces the list of engines. Those that are left out take no new work; their runs
// go on.
func (s *Scheduler) SetEngines(list []Engine) {
	present := make(map[string]bool, len(list))
	for _, d := range list {
		present[d.ID] = true
		e := s.engines[d.ID]
		if e == nil || e.Incarnation != d.Incarnation {
			e = &engine{runs: make(map[Key]*run), groups: make(map[string]int), weights: make(map[string]uint64)}
			if old := s.engines[d.ID]; old != nil {
				e.model = old.model
			}
			s.engines[d.ID] = e
			s.list = nil
		}
		e.Engine, e.draining = d, d.State != fleet.Ready
		for model, v := range d.Weights {
			s.loaded(e, model, v)
		}
	}
	for id, e := range s.engines {
		if present[id] {
			continue
		}
		e.draining = true
		if len(e.runs) == 0 {
			delete(s.engines, id)
			s.list = nil
		}
	}
	s.assign()
}

// RecordDemand takes in the tokens of a whole job of a model, whether or not it still needs work.
// The average of each model decides about its share of the engines.
func (s *Scheduler) RecordDemand(service, model string, tokens int) {
	const share = 0.5 // weight of the newest job
	if s.demand[service] == nil {
		s.demand[service] = make(map[string]float64)
	}
	sum := float64(tokens)
	if old := s.demand[service][model]; old > 0 {
		sum = old + share*(sum-old)
	}
	s.demand[service][model] = sum
}

// assign gives each engine a model, in proportion to the demand. An engine changes its model
// only when the shares are clearly wrong, because it must then load other weights.
func (s *Scheduler) assign() {
	byService := make(map[string][]*engine)
	for _, e := range s.sorted() {
		if e.lost() {
			e.model = "" // it gets one when it works again
		}
		if len(e.Models) > 0 && !e.draining && !e.lost() {
			byService[e.Service] = append(byService[e.Service], e)
		}
	}
	for service, engines := range byService {
		s.assignService(engines, engines[0].Models, s.demand[service])
	}
}

// gainToMove is by how much the shares of two models must differ, in engines, before an engine
// changes its model. With more than one engine each move makes the shares fit better, so that
// the moves end.
const gainToMove = 1.2

func (s *Scheduler) assignService(engines []*engine, models []string, demand map[string]float64) {
	want := shares(models, demand, len(engines))
	have := make(map[string]int)
	for _, e := range engines {
		if e.model != "" && slices.Contains(models, e.model) {
			have[e.model]++
		} else {
			e.model = ""
		}
	}
	lack := func(m string) float64 { return want[m] - float64(have[m]) }
	neediest := func() string {
		return slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(lack(a), lack(b)) })
	}
	for _, e := range engines {
		if e.model == "" {
			e.model = s.fittest(e, models, lack, engines)
			have[e.model]++
		}
	}
	for {
		to := neediest()
		from := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(lack(a), lack(b)) })
		if lack(to)-lack(from) < gainToMove || have[from] <= 1 {
			return
		}
		i := slices.IndexFunc(engines, func(e *engine) bool { return e.model == from && e.loading == nil })
		if i < 0 {
			return
		}
		engines[i].model = to
		have[from]--
		have[to]++
	}
}

// fittest returns the model for an engine without one, among those that lack engines: the one
// whose weights on the engine are the least behind, so that a new leader leaves engines to the
// models that they serve; then the one with the fewest engines in the failure domain, so that
// the loss of a domain takes a part of each model's engines; then the one that lacks most.
func (s *Scheduler) fittest(e *engine, models []string, lack func(string) float64, engines []*engine) string {
	near, newest := make(map[string]int), make(map[string]uint64)
	for _, o := range engines {
		if o.Domain == e.Domain && o.model != "" {
			near[o.model]++
		}
		for _, m := range models {
			newest[m] = max(newest[m], o.weights[m])
		}
	}
	needs := func(m string) int {
		if lack(m) > needed {
			return 1
		}
		return 0
	}
	behind := func(m string) int { return int(newest[m] - e.weights[m]) }
	return slices.MaxFunc(models, func(a, b string) int {
		return cmp.Or(needs(a)-needs(b), behind(b)-behind(a), near[b]-near[a], cmp.Compare(lack(a), lack(b)))
	})
}

// needed is the part of an engine that a model must lack to get another.
const needed = 0.3

// shares splits n engines over the models in proportion to their demand, with at least one for
// each as long as there are enough.
func shares(models []string, demand map[string]float64, n int) map[string]float64 {
	total := 0.0
	for _, m := range models {
		total += demand[m]
	}
	out := make(map[string]float64, len(models))
	for _, m := range models {
		out[m] = float64(n) / float64(len(models))
		if total > 0 && allKnown(models, demand) {
			out[m] = max(float64(n)*demand[m]/total, 1)
		}
	}
	return out
}

func allKnown(models []string, demand map[string]float64) bool {
	return !slices.ContainsFunc(models, func(m string) bool { return demand[m] == 0 })
}

// EngineState describes an engine for the log.
type EngineState struct {
	ID, Model                     string
	Running, Slots                int
	ExpectedTokens, KVCacheTokens int // expected use and size of the KV cache
	Failures                      int
	Paused, Loading               bool
	Version                       uint64  // of the model that it is meant for
	EventGapMs                    float64 // average pause between events of a run
}

// EngineStates describes the engines in the order of their ids.
func (s *Scheduler) EngineStates(now time.Time) []EngineState {
	var out []EngineState
	for _, e := range s.sorted() {
		out = append(out, EngineState{ID: e.ID, Model: e.model, Running: len(e.runs), Slots: e.Slots, ExpectedTokens: e.tokens, KVCacheTokens: e.Engine.KVCacheTokens,
			Failures: e.failures, Paused: now.Before(e.pausedUntil), Loading: e.loading != nil, Version: e.weights[e.model],
			EventGapMs: e.speed.average * 1000})
	}
	return out
}
