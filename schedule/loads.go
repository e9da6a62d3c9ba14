package schedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultLoadDuration is the expected duration of a load before one has been measured.
	defaultLoadDuration = 800 * time.Millisecond
	// loadTimeout is the time after which a load that has not completed counts as failed.
	loadTimeout = 6 * time.Second
	// loadDurationWeight is the weight of a new measurement in the moving average.
	loadDurationWeight = 0.3
	// concurrentLoadFraction is the fraction of a service's engines that may load at the same time; at
	// least two may. The weight store slows down above about this fraction.
	concurrentLoadFraction = 0.2
	// loadOrderBackoff is how long an engine gets no load order after one was rejected or timed out.
	loadOrderBackoff = 500 * time.Millisecond
)

// weightLoad is a planned or accepted load of weights that has not completed.
type weightLoad struct {
	model     string
	version   uint64
	startedAt time.Time // time of the plan; once accepted, time of the acceptance
	nextProbe time.Time // earliest start of a run that probes whether the load is complete
	probe     *run      // probe in progress; nil if none
	accepted  bool
}

// loadDurationEstimate is the moving average of measured load durations.
type loadDurationEstimate struct{ average time.Duration }

// expected returns the average, or defaultLoadDuration before the first measurement.
func (l *loadDurationEstimate) expected() time.Duration {
	if l.average == 0 {
		return defaultLoadDuration
	}
	return l.average
}

func (l *loadDurationEstimate) record(d time.Duration) {
	if l.average == 0 {
		l.average = d
		return
	}
	l.average += time.Duration(loadDurationWeight * float64(d-l.average))
}

// LoadOrder is a request to an engine to load a version of its assigned model.
type LoadOrder struct {
	Engine  string
	Model   string
	Version uint64
}

// PlanLoads selects the engines that load a newer version now: those whose version of the assigned model
// is older than the published one, up to the limit of concurrent loads. Engines that cannot run the
// waiting items of their model until they load come first, since any other load delays these items;
// then those with the fewest runs; last those that have failed, see recoveryModel. The caller reports the
// result of each order with RecordLoadOrder.
func (s *Scheduler) PlanLoads(now time.Time, published map[string]uint64) []LoadOrder {
	s.expireLoads(now)
	loading := make(map[string]int)
	var outdated []*engine
	for _, e := range s.enginesByID() {
		if e.loading != nil {
			// A load on an unreachable engine may stay open until loadTimeout and must not block others.
			if e.consecutiveFailures == 0 {
				loading[e.Service]++
			}
			continue
		}
		if !e.draining && e.consecutiveFailures == 0 && !now.Before(e.loadOrderBackoffUntil) && published[e.assignedModel] > e.versions[e.assignedModel] {
			outdated = append(outdated, e)
		}
	}
	required := s.requiredVersions()
	blocked := func(e *engine) int {
		if required[e.assignedModel] > e.versions[e.assignedModel] {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(outdated, func(a, b *engine) int { return cmp.Or(blocked(b)-blocked(a), len(a.runs)-len(b.runs)) })
	var out []LoadOrder
	order := func(e *engine, model string) {
		if loading[e.Service] >= s.maxConcurrentLoads(e.Service) {
			return
		}
		loading[e.Service]++
		version := published[model]
		// RecordLoadOrder permits probes once the engine has accepted the order.
		e.loading = &weightLoad{model: model, version: version, startedAt: now, nextProbe: now.Add(loadTimeout)}
		out = append(out, LoadOrder{Engine: e.ID, Model: model, Version: version})
	}
	for _, e := range outdated {
		order(e, e.assignedModel)
	}
	for _, e := range s.enginesByID() {
		if model := s.recoveryModel(now, e); model != "" && published[model] > e.versions[model] {
			order(e, model)
		}
	}
	return out
}

// recoveryModel returns the model to load on an engine that has failed, or "" for none. A failed engine
// recovers with a run, but none can start on it if all waiting items require newer weights than it has. An
// order then takes the place of that run.
func (s *Scheduler) recoveryModel(now time.Time, e *engine) string {
	idle := e.consecutiveFailures > 0 && !e.draining && e.loading == nil && len(e.runs) == 0
	if !idle || now.Before(e.backoffUntil) || now.Before(e.loadOrderBackoffUntil) {
		return ""
	}
	model, mostWaiting := "", 0
	for _, id := range s.jobOrder {
		waiting := s.jobs[id].waiting
		if len(waiting) == 0 || waiting[0].Service != e.Service {
			continue
		}
		if e.versionAllows(now, waiting[0]) {
			return "" // a run can show whether the engine works
		}
		eligible := e.assignedModel == "" || e.assignedModel == waiting[0].Model
		if eligible && len(waiting) > mostWaiting {
			model, mostWaiting = waiting[0].Model, len(waiting)
		}
	}
	return model
}

// requiredVersions returns, for each model, the oldest version that all of its waiting items accept.
func (s *Scheduler) requiredVersions() map[string]uint64 {
	required := make(map[string]uint64)
	for _, j := range s.jobs {
		for _, t := range j.waiting {
			required[t.Model] = max(required[t.Model], t.MinVersion)
		}
	}
	return required
}

// maxConcurrentLoads returns how many engines of a service may load at the same time.
func (s *Scheduler) maxConcurrentLoads(service string) int {
	n := 0
	for _, e := range s.engines {
		if e.Service == service {
			n++
		}
	}
	return max(2, int(concurrentLoadFraction*float64(n)))
}

// RecordLoadOrder records whether the engine accepted an order that PlanLoads returned.
func (s *Scheduler) RecordLoadOrder(now time.Time, l LoadOrder, accepted bool) {
	e := s.engines[l.Engine]
	if e == nil || e.loading == nil || e.loading.model != l.Model || e.loading.version != l.Version {
		return
	}
	if !accepted {
		e.loading = nil
		e.loadOrderBackoffUntil = now.Add(loadOrderBackoff)
		if e.consecutiveFailures > 0 {
			e.loadOrderBackoffUntil = now.Add(maxFailureBackoff)
		}
		return
	}
	e.consecutiveFailures = min(e.consecutiveFailures, unavailableAfter-1) // it has answered; a run shows the rest
	e.loading.accepted, e.loading.startedAt = true, now
	e.loading.nextProbe = now.Add(s.loadDuration.expected())
}

// RecordLoaded records that an engine has loaded the given version of a model or a newer one.
func (s *Scheduler) RecordLoaded(now time.Time, engineID, model string, version uint64) {
	e := s.engines[engineID]
	if e == nil {
		return
	}
	if l := e.loading; l != nil && l.model == model && l.accepted && version >= l.version {
		s.loadDuration.record(now.Sub(l.startedAt))
	}
	s.recordVersion(e, model, version)
}

// recordVersion raises the loaded version of a model and ends a load that it satisfies.
func (s *Scheduler) recordVersion(e *engine, model string, version uint64) {
	if version > e.versions[model] {
		e.versions[model] = version
	}
	if l := e.loading; l != nil && l.model == model && version >= l.version {
		e.loading = nil
	}
}

// expireLoads drops the loads that have exceeded loadTimeout.
func (s *Scheduler) expireLoads(now time.Time) {
	for _, e := range s.engines {
		if e.loading != nil && now.Sub(e.loading.startedAt) > loadTimeout {
			e.loading = nil
			e.loadOrderBackoffUntil = now.Add(loadOrderBackoff)
		}
	}
}
