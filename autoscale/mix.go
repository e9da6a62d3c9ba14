package autoscale

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"fuchsiaflow/routes"
)

const (
	// priceHorizon is the time in seconds for which targets are expected to stay when the prices of mixes are compared.
	priceHorizon = 60
	// callPrice is the price of a call to the platform, and missingPrice that of a target that is missing, both in seconds
	// of a target at price 1.
	callPrice, missingPrice = 3, 1e6
	// maxDomainsPerOrder is about the number of failure domains over which new targets are spread.
	maxDomainsPerOrder = 3
	// stableShare is the share of the need that is served by on-demand targets, so that the loss of the spot targets of two
	// failure domains at once is within the headroom.
	stableShare = 0.5
)

// mix is a number of targets in each cell.
type mix map[Cell]int

// total returns the number of targets of a kind.
func (m mix) total(k Kind) int {
	n := 0
	for c, count := range m {
		if c.Kind == k {
			n += count
		}
	}
	return n
}

// size returns the number of targets.
func (m mix) size() int { return m.total(OnDemand) + m.total(Spot) }

// domain returns the number of targets in a failure domain.
func (m mix) domain(d string) int { return m[Cell{d, OnDemand}] + m[Cell{d, Spot}] }

// safe returns the number of targets that are left after the loss of all spot targets of any one failure domain.
func (m mix) safe() int {
	n, largest := 0, 0
	for c, count := range m {
		n += count
		if c.Kind == Spot {
			largest = max(largest, count)
		}
	}
	return n - largest
}

// stableTargets returns the number of on-demand targets among those that a need asks for.
func stableTargets(need int) int { return int(math.Ceil(stableShare * float64(need))) }

// costModel is what targets cost and where they may be ordered.
type costModel struct {
	scale   *routes.Scale
	domains []string // sorted
	// isOpen reports whether the cell may be changed; nil if all may.
	isOpen func(Cell) bool
	// high is the greatest number of targets possible in each cell, and uncertain the number of further ones that the
	// platform may count.
	high, uncertain mix
}

// cells returns all cells in a fixed order.
func (cm *costModel) cells() []Cell {
	var list []Cell
	for _, d := range cm.domains {
		for _, k := range Kinds {
			list = append(list, Cell{d, k})
		}
	}
	return list
}

// price returns the price of a target of a cell for a second.
func (cm *costModel) price(c Cell) float64 {
	price, ok := cm.scale.DomainPrices[c.Domain]
	if !ok {
		price = 1
	}
	if c.Kind == Spot {
		price *= cm.scale.SpotPrice
	}
	return price
}

// allows reports whether targets of the cell may be ordered.
func (cm *costModel) allows(c Cell) bool {
	return (c.Kind == OnDemand || cm.scale.SpotPrice > 0) && (cm.isOpen == nil || cm.isOpen(c))
}

// room returns how many targets a cell can get beyond the mix.
func (cm *costModel) room(m mix, c Cell) int {
	o := c.other()
	return max(cm.scale.Max-max(m[c], cm.high[c])-max(m[o], cm.high[o]+cm.uncertain[o]), 0)
}

// extend returns the cheapest mix with at least the targets of base and a safe number of at least need, or, if there is
// none, the one that misses the fewest.
func (cm *costModel) extend(base mix, need int) mix {
	var best mix
	bestPrice := math.Inf(1)
	levels := 0
	if cm.scale.SpotPrice > 0 {
		levels = cm.scale.Max
	}
	for level := 0; level <= levels; level++ {
		m := cm.fill(base, need, level)
		if price := cm.priceOf(base, m, need); price < bestPrice {
			best, bestPrice = m, price
		}
	}
	return best
}

// ideal returns the cheapest mix for a need if all targets in cells that may be changed could be chosen anew.
func (cm *costModel) ideal(present mix, need int) mix {
	anew := *cm
	anew.high = maps.Clone(cm.high)
	base := maps.Clone(present)
	for _, c := range cm.cells() {
		if cm.allows(c) {
			base[c], anew.high[c] = 0, 0
		}
	}
	return anew.extend(base, need)
}

// priceOf returns what a mix costs beyond its base, with what is missing in it.
func (cm *costModel) priceOf(base, m mix, need int) float64 {
	missing := max(need-m.safe(), 0)
	for _, d := range cm.domains {
		missing += max(cm.scale.Min-m.domain(d), 0)
	}
	price := missingPrice * float64(missing)
	// On-demand targets that are missing are replaced by spot targets only while there are none.
	price += 2 * priceHorizon * float64(max(stableTargets(need)-m.total(OnDemand), 0))
	for c, n := range m {
		if n > base[c] {
			price += callPrice + priceHorizon*cm.price(c)*float64(n-base[c])
		}
	}
	return price
}

// fill adds targets to base: spot targets up to a level in each failure domain, then as many on-demand targets as are
// missing.
func (cm *costModel) fill(base mix, need, spotLevel int) mix {
	m := maps.Clone(base)
	for _, d := range cm.domains {
		c := Cell{d, Spot}
		if cm.allows(c) {
			m[c] += min(max(spotLevel-m[c], 0), cm.room(m, c))
		}
	}
	for _, d := range cm.domains {
		c := Cell{d, OnDemand}
		if cm.allows(c) {
			m[c] += min(max(cm.scale.Min-m.domain(d), 0), cm.room(m, c))
		}
	}
	missing := max(need-m.safe(), stableTargets(need)-m.total(OnDemand))
	chunk := max((missing+maxDomainsPerOrder-1)/maxDomainsPerOrder, 1)
	for missing > 0 {
		c, ok := cm.cheapestOnDemand(m)
		if !ok {
			break
		}
		n := min(chunk, missing, cm.room(m, c))
		m[c] += n
		missing -= n
	}
	return m
}

// cheapestOnDemand returns the cell for the next on-demand targets. The price rises with the number of targets in the
// failure domain, so that they are spread.
func (cm *costModel) cheapestOnDemand(m mix) (best Cell, ok bool) {
	bestPrice := math.Inf(1)
	for _, d := range cm.domains {
		c := Cell{d, OnDemand}
		price := cm.price(c) * float64(m[c]+1)
		if cm.allows(c) && cm.room(m, c) > 0 && price < bestPrice {
			best, ok, bestPrice = c, true, price
		}
	}
	return best, ok
}

// reduce returns the mix without the targets, at most limit of them, that a need does not ask for: first those beyond the
// maximum of a failure domain, then the most expensive ones.
func (cm *costModel) reduce(base mix, need, limit int) mix {
	m := maps.Clone(base)
	for range limit {
		candidates := cm.removable(m, need)
		if len(candidates) == 0 {
			break
		}
		m[slices.MaxFunc(candidates, func(a, b Cell) int {
			return cmp.Or(cmp.Compare(cm.excessOf(m, a.Domain), cm.excessOf(m, b.Domain)), cmp.Compare(cm.price(a)*float64(m[a]), cm.price(b)*float64(m[b])), cmp.Compare(a.Domain, b.Domain))
		})]--
	}
	return m
}

// excessOf returns by how much a failure domain exceeds its maximum, as after a change of the configuration.
func (cm *costModel) excessOf(m mix, domain string) int { return max(m.domain(domain)-cm.scale.Max, 0) }

// excess returns by how much all failure domains together exceed their maximum.
func (cm *costModel) excess(m mix) int {
	n := 0
	for _, d := range cm.domains {
		n += cm.excessOf(m, d)
	}
	return n
}

// removable returns the cells that can lose a target.
func (cm *costModel) removable(m mix, need int) []Cell {
	var list []Cell
	for _, d := range cm.domains {
		if m.domain(d) <= cm.scale.Min {
			continue
		}
		for _, k := range Kinds {
			c := Cell{d, k}
			if m[c] == 0 || !cm.allowsReduction(c) || k == OnDemand && m.total(OnDemand) <= stableTargets(need) {
				continue
			}
			m[c]--
			if m.safe() >= need {
				list = append(list, c)
			}
			m[c]++
		}
	}
	return list
}

// allowsReduction reports whether the number of targets in the cell may be reduced.
func (cm *costModel) allowsReduction(c Cell) bool { return cm.isOpen == nil || cm.isOpen(c) }

// cost returns the price of a mix for a second.
func (cm *costModel) cost(m mix) float64 {
	sum := 0.0
	for c, n := range m {
		sum += cm.price(c) * float64(n)
	}
	return sum
}
