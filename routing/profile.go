package routing

import (
	"math/rand/v2"
	"time"
)

// Filter drops the endpoints that must not receive a request. It may reuse the slice.
type Filter interface {
	Filter(now time.Time, r *Request, eps []*Endpoint) []*Endpoint
}

// Scorer rates an endpoint for a request; higher is better, within 0 to 1.
type Scorer interface {
	Score(now time.Time, r *Request, ep *Endpoint) float64
}

// Candidate is an endpoint with its total score.
type Candidate struct {
	Endpoint *Endpoint
	Score    float64
}

// Picker selects one of the candidates by index. There is at least one.
type Picker interface {
	Pick(candidates []Candidate, random *rand.Rand) int
}

// WeightedScorer is a Scorer with its weight in the total.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Profile composes filters, scorers and a picker into a choice.
type Profile struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker

	scratch []Candidate
}

// DefaultProfile weighs free window, prefix cache and speed. The load of a target counts
// more than a full prefix match, so that a popular prompt spreads before it queues.
func DefaultProfile() *Profile {
	return &Profile{
		Filters: []Filter{HealthFilter{}, VersionFilter{}, WindowFilter{}},
		Scorers: []WeightedScorer{{QueueScorer{}, 2}, {PrefixScorer{}, 1}, {SpeedScorer{}, 1}},
		Picker:  BestPicker{},
	}
}

// eligible applies the filters; it overwrites eps.
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
	p.scratch = p.scratch[:0]
	for _, ep := range eps {
		score := 0.0
		for _, s := range p.Scorers {
			score += s.Weight * s.Scorer.Score(now, r, ep)
		}
		p.scratch = append(p.scratch, Candidate{ep, score})
	}
	return p.scratch[p.Picker.Pick(p.scratch, random)].Endpoint
}

func keep(eps []*Endpoint, ok func(*Endpoint) bool) []*Endpoint {
	kept := eps[:0]
	for _, ep := range eps {
		if ok(ep) {
			kept = append(kept, ep)
		}
	}
	return kept
}

// HealthFilter drops targets that are leaving, suspended or silent, and for desk requests
// those that are about to pause.
type HealthFilter struct{}

// Filter implements Filter.
func (HealthFilter) Filter(now time.Time, r *Request, eps []*Endpoint) []*Endpoint {
	return keep(eps, func(ep *Endpoint) bool {
		return ep.Healthy(now) && !(r.Kind == Desk && ep.state.PausePending)
	})
}

// VersionFilter drops targets without the model or with a version below the minimum.
type VersionFilter struct{}

// Filter implements Filter.
func (VersionFilter) Filter(_ time.Time, r *Request, eps []*Endpoint) []*Endpoint {
	if r.Model == "" {
		return eps
	}
	return keep(eps, func(ep *Endpoint) bool {
		v, ok := ep.Version(r.Model)
		return ok && v >= r.MinVersion
	})
}

// WindowFilter drops targets whose dispatch window has no room for the kind of request.
type WindowFilter struct{}

// Filter implements Filter.
func (WindowFilter) Filter(_ time.Time, r *Request, eps []*Endpoint) []*Endpoint {
	return keep(eps, func(ep *Endpoint) bool { return ep.Room(r.Kind) > 0 })
}

// QueueScorer prefers targets with the smallest share of their slots in use.
type QueueScorer struct{}

// Score implements Scorer.
func (QueueScorer) Score(_ time.Time, r *Request, ep *Endpoint) float64 {
	return max(0, 1-float64(ep.Load())/float64(max(1, ep.maxWindow())))
}

// PrefixScorer prefers targets that are believed to hold the longest part of the prompt.
type PrefixScorer struct{}

// Score implements Scorer.
func (PrefixScorer) Score(_ time.Time, _ *Request, ep *Endpoint) float64 { return ep.PrefixMatch() }

// SpeedScorer prefers targets with a short time per token compared with their pool.
type SpeedScorer struct{}

// Score implements Scorer.
func (SpeedScorer) Score(_ time.Time, _ *Request, ep *Endpoint) float64 {
	ref := ep.pool.tokenTime.value
	if ref == 0 || ep.tokenTime.value == 0 {
		return 0.5
	}
	return min(1, ref/ep.tokenTime.value/2)
}

// BestPicker picks the highest score; equal scores are drawn at random.
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

// RandomPicker picks any candidate with equal chance.
type RandomPicker struct{}

// Pick implements Picker.
func (RandomPicker) Pick(cs []Candidate, random *rand.Rand) int { return random.IntN(len(cs)) }
