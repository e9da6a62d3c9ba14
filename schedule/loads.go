package schedule

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstLoadTime is the assumed duration of a load before one has been seen.
	firstLoadTime = 800 * time.Millisecond
	// loadTimeout is the time after which a load that was accepted counts as failed.
	loadTimeout = 6 * time.Second
	// loadShare is the weight of a new measurement in the average duration.
	loadShare = 0.3
	// concurrentShare is the share of a service's engines that may load at once; at least two
	// may. The store of weights slows down beyond about that.
	concurrentShare = 0.2
	// orderPause is the pause after an order that was not accepted.
	orderPause = 500 * time.Millisecond
)

type load struct {
	model     string
	version   uint64
	ordered   time.Time
	nextTrial time.Time
	trial     *run
	accepted  bool
}

type loadTimes struct{ average time.Duration }

func (l *loadTimes) expected() time.Duration {
	if l.average == 0 {
		return firstLoadTime
	}
	return l.average
}

func (l *loadTimes) took(d time.Duration) {
	if l.average == 0 {
		l.average = d
		return
	}
	l.average += time.Duration(loadShare * float64(d-l.average))
}

// LoadOrder tells to order an engine to load a version of its model.
type LoadOrder struct {
	Engine  string
	Model   string
	Version uint64
}

// PlanLoads picks the engines that load a newer version now, a few at a time: those that are behind
// the named version of the model they are meant for. Engines whose weights the waiting items of
// their model do not allow come first, since every other load holds these items up; then the idle
// ones. The caller reports each order with Ordered.
func (s *Scheduler) PlanLoads(now time.Time, named map[string]uint64) []LoadOrder {
	s.expireLoads(now)
	loading := make(map[string]int)
	var behind []*engine
	for _, e := range s.sorted() {
		if e.loading != nil {
			// An engine that cannot be reached may hold its load for seconds; the others need not wait.
			if e.failures == 0 {
				loading[e.Service]++
			}
			continue
		}
		if !e.draining && e.failures == 0 && !now.Before(e.orderBackoff) && named[e.model] > e.weights[e.model] {
			behind = append(behind, e)
		}
	}
	wanted := s.wanted()
	blocked := func(e *engine) int {
		if wanted[e.model] > e.weights[e.model] {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(behind, func(a, b *engine) int { return cmp.Or(blocked(b)-blocked(a), len(a.runs)-len(b.runs)) })
	var out []LoadOrder
	for _, e := range behind {
		if loading[e.Service] >= s.concurrent(e.Service) {
			continue
		}
		loading[e.Service]++
		version := named[e.model]
		e.loading = &load{model: e.model, version: version, ordered: now, nextTrial: now.Add(loadTimeout)}
		out = append(out, LoadOrder{Engine: e.ID, Model: e.model, Version: version})
	}
	return out
}

// wanted returns the oldest version of each model that may run all its waiting items.
func (s *Scheduler) wanted() map[string]uint64 {
	wanted := make(map[string]uint64)
	for _, j := range s.jobs {
		for _, t := range j.waiting {
			wanted[t.Model] = max(wanted[t.Model], t.MinVersion)
		}
	}
	return wanted
}

func (s *Scheduler) concurrent(service string) int {
	n := 0
	for _, e := range s.engines {
		if e.Service == service {
			n++
		}
	}
	return max(2, int(concurrentShare*float64(n)))
}

// RecordLoadOrder takes in how an order of Loads went: accepted means that the engine carries it out.
func (s *Scheduler) RecordLoadOrder(now time.Time, l LoadOrder, accepted bool) {
	e := s.engines[l.Engine]
	if e == nil || e.loading == nil || e.loading.model != l.Model || e.loading.version != l.Version {
		return
	}
	if !accepted {
		e.loading = nil
		e.orderBackoff = now.Add(orderPause)
		return
	}
	e.loading.accepted, e.loading.ordered = true, now
	e.loading.nextTrial = now.Add(s.loads.expected())
}

// RecordLoaded takes in that an engine has at least a version of a model.
func (s *Scheduler) RecordLoaded(now time.Time, engineID, model string, version uint64) {
	e := s.engines[engineID]
	if e == nil {
		return
	}
	if l := e.loading; l != nil && l.model == model && l.accepted && version >= l.version {
		s.loads.took(now.Sub(l.ordered))
	}
	s.loaded(e, model, version)
}

func (s *Scheduler) loaded(e *engine, model string, version uint64) {
	if version > e.weights[model] {
		e.weights[model] = version
	}
	if l := e.loading; l != nil && l.model == model && version >= l.version {
		e.loading = nil
	}
}

func (s *Scheduler) expireLoads(now time.Time) {
	for _, e := range s.engines {
		if e.loading != nil && now.Sub(e.loading.ordered) > loadTimeout {
			e.loading = nil
			e.orderBackoff = now.Add(orderPause)
		}
	}
}
