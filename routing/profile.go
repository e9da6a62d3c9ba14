package routing

import (
	"math/rand/v2"
	"time"
)

// Filter removes the endpoints that must not receive a request. It may overwrite eps.
type Filter interface {
	Filter(now time.Time, r *Request, eps []*Endpoint) []*Endpoint
}

// Scorer rates an endpoint for a request from 0 to 1; higher is better.
type Scorer interface {
	Score(now time.Time, r *Request, ep *Endpoint) float64
}

// Candidate is an endpoint with its total score.
type Candidate struct {
	Endpoint *Endpoint
	Score    float64
}

// Picker returns the index of the selected candidate. There is at least one candidate.
type Picker interface {
	Pick(candidates []Candidate, random *rand.Rand) int
}

// WeightedScorer is a Scorer with its weight in the total score.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Profile selects an endpoint by filters, weighted scorers and a picker. It is not safe for concurrent
// use.
type Profile struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker

	candidateBuf []Candidate
}

// DefaultProfile returns a profile that scores load, prefix cache and speed. The load has a higher
// weight than a full prefix match, so that requests with a popular prompt are spread over several
// targets before they queue.
func DefaultProfile() *Profile {
	return &Profile{
		Filters: []Filter{HealthFilter{}, VersionFilter{}, WindowFilter{}},
		Scorers: []WeightedScorer{{LoadScorer{}, 2}, {PrefixScorer{}, 1}, {SpeedScorer{}, 1}},
		Picker:  BestPicker{},
	}
}

// eligible returns the endpoints that pass all filters. It overwrites eps.
func (p *Profile) eligible(now time.Time, r *Request, eps []*Endpoint) []*Endpoint {
	for _, f := range p.Filters {
		if len(eps) == 0 {
			break
		}
		eps = f.Filter(now, r, eps)
	}
	return eps
}

// choose scores the eligible endpoints and picks one.
func (p *Profile) choose(now time.Time, r *Request, eps []*Endpoint, random *rand.Rand) *Endpoint {
	p.candidateBuf = p.candidateBuf[:0]
	for _, ep := range eps {
		score := 0.0
		for _, s := range p.Scorers {
			score += s.Weight * s.Scorer.Score(now, r, ep)
		}
		p.candidateBuf = append(p.candidateBuf, Candidate{ep, score})
	}
	return p.candidateBuf[p.Picker.Pick(p.candidateBuf, random)].Endpoint
}

// filterEndpoints returns the endpoints for which ok returns true. It overwrites eps.
func filterEndpoints(eps []*Endpoint, ok func(*Endpoint) bool) []*Endpoint {
	kept := eps[:0]
	for _, ep := range eps {
		if ok(ep) {
			kept = append(kept, ep)
		}
	}
	return kept
}

// HealthFilter removes targets that are leaving, suspended or silent, and for desk requests also
// targets that are about to pause.
type HealthFilter struct{}

// Filter implements Filter.
func (HealthFilter) Filter(now time.Time, r *Request, eps []*Endpoint) []*Endpoint {
	return filterEndpoints(eps, func(ep *Endpoint) bool {
		return ep.Healthy(now) && !(r.Kind == Desk && ep.state.PausePending)
	})
}

// VersionFilter removes targets that have not loaded the model, or only a version below the minimum.
type VersionFilter struct{}

// Filter implements Filter.
func (VersionFilter) Filter(_ time.Time, r *Request, eps []*Endpoint) []*Endpoint {
	if r.Model == "" {
		return eps
	}
	return filterEndpoints(eps, func(ep *Endpoint) bool {
		v, ok := ep.Version(r.Model)
		return ok && v >= r.MinVersion
	})
}

// WindowFilter removes targets whose dispatch window has no room for this kind of request.
type WindowFilter struct{}

// Filter implements Filter.
func (WindowFilter) Filter(_ time.Time, r *Request, eps []*Endpoint) []*Endpoint {
	return filterEndpoints(eps, func(ep *Endpoint) bool { return ep.FreeWindow(r.Kind) > 0 })
}

// LoadScorer prefers targets with a small fraction of their slots in use.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ time.Time, r *Request, ep *Endpoint) float64 {
	return max(0, 1-float64(ep.Load())/float64(max(1, ep.maxWindow())))
}

// PrefixScorer prefers targets that are likely to have a long prefix of the prompt in their cache.
type PrefixScorer struct{}

// Score implements Scorer.
func (PrefixScorer) Score(_ time.Time, _ *Request, ep *Endpoint) float64 { return ep.PrefixMatch() }

// SpeedScorer prefers targets with a short time per token relative to their pool's average.
type SpeedScorer struct{}

// Score implements Scorer.
func (SpeedScorer) Score(_ time.Time, _ *Request, ep *Endpoint) float64 {
	average := ep.pool.tokenTime.value
	if average == 0 || ep.tokenTime.value == 0 {
		return 0.5 // the score of a target with average speed
	}
	return min(1, average/ep.tokenTime.value/2)
}

// BestPicker picks the candidate with the highest score and breaks ties at random.
type BestPicker struct{}

// Pick implements Picker.
func (BestPicker) Pick(cs []Candidate, random *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(cs); i++ {
		switch {
		case cs[i].Score > cs[best].Score:
			best, ties = i, 1
		case cs[i].Score == cs[best].Score:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// RandomPicker picks a candidate uniformly at random.
type RandomPicker struct{}

// Pick implements Picker.
func (RandomPicker) Pick(cs []Candidate, random *rand.Rand) int { return random.IntN(len(cs)) }
