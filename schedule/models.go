package schedule

import (
	"cmp"
	"slices"
)

// assignModels assigns a model to each engine, in proportion to the demand. An engine changes its
// model only for a gain of minReassignmentGain, because it must then load other weights.
func (s *Scheduler) assignModels() {
	byService := make(map[string][]*engine)
	for _, e := range s.enginesByID() {
		if e.unavailable() {
			e.assignedModel = "" // assigned anew once the engine works again
		}
		if len(e.Models) > 0 && !e.draining && !e.unavailable() {
			byService[e.Service] = append(byService[e.Service], e)
		}
	}
	for service, engines := range byService {
		s.assignServiceModels(engines, engines[0].Models, s.demand[service])
	}
}

// minReassignmentGain is the minimum difference between the deficits of two models at which an engine
// is reassigned. The deficit of a model is its share minus the capacity of the engines assigned to it. As the
// minimum exceeds one engine, each change reduces the imbalance, so that assignServiceModels terminates.
const minReassignmentGain = 1.2

// assignServiceModels assigns the models of one service to its engines.
func (s *Scheduler) assignServiceModels(engines []*engine, models []string, demand map[string]float64) {
	total := 0.0
	for _, e := range engines {
		total += e.capacity(s.runTime)
	}
	shares := engineShares(models, demand, total)
	assigned, count := make(map[string]float64), make(map[string]int)
	assign := func(e *engine, model string) {
		e.assignedModel = model
		assigned[model] += e.capacity(s.runTime)
		count[model]++
	}
	for _, e := range engines {
		if e.assignedModel == "" && e.loading != nil {
			e.assignedModel = e.loading.model // ordered by recoveryModel
		}
		if e.assignedModel != "" && slices.Contains(models, e.assignedModel) {
			assign(e, e.assignedModel)
		} else {
			e.assignedModel = ""
		}
	}
	deficit := func(m string) float64 { return shares[m] - assigned[m] }
	largestDeficit := func() string {
		return slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(deficit(a), deficit(b)) })
	}
	for _, e := range engines {
		if e.assignedModel == "" {
			assign(e, s.chooseModel(e, models, deficit, engines))
		}
	}
	for {
		to := largestDeficit()
		from := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(deficit(a), deficit(b)) })
		e := s.engineToReassign(engines, from, deficit(to)-deficit(from))
		if e == nil || count[from] <= 1 {
			return
		}
		assigned[from] -= e.capacity(s.runTime)
		count[from]--
		assign(e, to)
	}
}

// engineToReassign returns an engine of a model that is worth a reassignment to a model whose deficit is larger by a
// gap, or nil if there is none. Engines with a limit stay: they would spend it on the load.
func (s *Scheduler) engineToReassign(engines []*engine, from string, gap float64) *engine {
	for _, e := range engines {
		if e.assignedModel == from && e.loading == nil && e.RateLimit == 0 && gap >= minReassignmentGain {
			return e
		}
	}
	return nil
}

// chooseModel returns the model for an engine without one. Models with a deficit above minDeficit come
// first. Among equals it prefers the model whose weights on the engine are the fewest versions
// behind, so that a new leader keeps the engines on the models that they serve; then the model with
// the fewest engines in the failure domain, so that losing a domain removes only a part of each
// model's engines; then the model with the largest deficit.
func (s *Scheduler) chooseModel(e *engine, models []string, deficit func(string) float64, engines []*engine) string {
	inDomain, newest := make(map[string]int), make(map[string]uint64)
	for _, o := range engines {
		if o.Domain == e.Domain && o.assignedModel != "" {
			inDomain[o.assignedModel]++
		}
		for _, m := range models {
			newest[m] = max(newest[m], o.versions[m])
		}
	}
	underserved := func(m string) int {
		if deficit(m) > minDeficit {
			return 1
		}
		return 0
	}
	behind := func(m string) int { return int(newest[m] - e.versions[m]) }
	return slices.MaxFunc(models, func(a, b string) int {
		return cmp.Or(underserved(a)-underserved(b), behind(b)-behind(a), inDomain[b]-inDomain[a], cmp.Compare(deficit(a), deficit(b)))
	})
}

// minDeficit is the deficit, in engines, above which a model is preferred for an engine without one.
const minDeficit = 0.3

// engineShares divides the capacity of n engines among the models in proportion to their demand, but gives each model
// at least one, so that the sum may exceed n. The division is even while the demand of any model is
// unknown.
func engineShares(models []string, demand map[string]float64, n float64) map[string]float64 {
	total := 0.0
	for _, m := range models {
		total += demand[m]
	}
	shares := make(map[string]float64, len(models))
	for _, m := range models {
		shares[m] = n / float64(len(models))
		if total > 0 && allDemandKnown(models, demand) {
			shares[m] = max(n*demand[m]/total, 1)
		}
	}
	return shares
}

func allDemandKnown(models []string, demand map[string]float64) bool {
	return !slices.ContainsFunc(models, func(m string) bool { return demand[m] == 0 })
}
