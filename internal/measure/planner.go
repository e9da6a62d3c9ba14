package measure

import (
	"slices"
	"time"
)

// SwapOrder tells a target to load a version.
type SwapOrder struct {
	Target  string
	Model   string
	Version uint64
}

// Planner plans the weight swaps of one failure domain. It can be implemented with weights.Planner.
type Planner interface {
	Desire(now time.Time, model string, version uint64)
	Report(now time.Time, target string, loaded map[string]uint64)
	Tick(now time.Time) []SwapOrder
	Result(now time.Time, o SwapOrder, ok bool)
}

// rollingPlanner is the simple Planner. It lets at most maxUnavailable targets swap at once.
type rollingPlanner struct {
	maxUnavailable int
	desired        map[string]uint64
	models         []string
	targets        []string
	loaded         map[string]map[string]uint64
	busy           map[string]bool
}

func newRollingPlanner(maxUnavailable int) *rollingPlanner {
	return &rollingPlanner{maxUnavailable: maxUnavailable, desired: make(map[string]uint64),
		loaded: make(map[string]map[string]uint64), busy: make(map[string]bool)}
}

// Desire implements Planner.
func (p *rollingPlanner) Desire(_ time.Time, model string, version uint64) {
	if !slices.Contains(p.models, model) {
		p.models = append(p.models, model)
	}
	p.desired[model] = max(version, p.desired[model])
}

// Report implements Planner.
func (p *rollingPlanner) Report(_ time.Time, target string, loaded map[string]uint64) {
	if p.loaded[target] == nil {
		p.targets = append(p.targets, target)
	}
	p.loaded[target] = loaded
}

// Tick implements Planner.
func (p *rollingPlanner) Tick(time.Time) []SwapOrder {
	var orders []SwapOrder
	for _, m := range p.models {
		for _, t := range p.targets {
			if len(p.busy) >= p.maxUnavailable {
				return orders
			}
			if !p.busy[t] && p.loaded[t][m] < p.desired[m] {
				p.busy[t] = true
				orders = append(orders, SwapOrder{t, m, p.desired[m]})
			}
		}
	}
	return orders
}

// Result implements Planner.
func (p *rollingPlanner) Result(_ time.Time, o SwapOrder, ok bool) {
	delete(p.busy, o.Target)
	if ok {
		p.loaded[o.Target][o.Model] = o.Version
	}
}
