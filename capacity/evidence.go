package capacity

import "math"

const (
	// evidenceWeight is the least weight of a result in the averages behind a comparison. They are longer than those of the
	// estimates, since choices among many targets that are alike would otherwise use estimates because one of them
	// differs by chance.
	evidenceWeight = 0.01
	// comparisonErrors is the number of standard errors by which a difference must exceed its bound. A host compares the
	// extremes of many targets, several times a second.
	comparisonErrors = 5
	// minComparable is the number of results from which they are compared.
	minComparable = 20
)

// evidence holds moving averages of results: the mean and the variance of y, and its covariance with x.
type evidence struct {
	count                    int
	x, y                     float64
	varX, varY, covarianceXY float64
}

// add adds a result.
func (v *evidence) add(x, y float64) {
	v.count++
	weight := v.weight()
	dx, dy := x-v.x, y-v.y
	v.x += weight * dx
	v.y += weight * dy
	v.varX = (1 - weight) * (v.varX + weight*dx*dx)
	v.varY = (1 - weight) * (v.varY + weight*dy*dy)
	v.covarianceXY = (1 - weight) * (v.covarianceXY + weight*dx*dy)
}

// weight returns the weight of the last result.
func (v *evidence) weight() float64 { return max(evidenceWeight, 1/float64(max(v.count, 1))) }

// results returns the number of results that the averages rest on.
func (v *evidence) results() float64 { return min(float64(v.count), 2/evidenceWeight-1) }

// increases reports whether y increases with x by more than chance.
func (v *evidence) increases() bool {
	const factor = comparisonErrors * comparisonErrors
	// The slope exceeds its standard error by comparisonErrors, with both sides squared and multiplied by both variances.
	exceeds := v.covarianceXY*v.covarianceXY*(v.results()+factor) > factor*v.varX*v.varY
	return v.count >= minComparable && v.covarianceXY > 0 && exceeds
}

// distance returns the least distance of the means of y of two targets that is not chance; 0 if there is none.
func (v *evidence) distance(o *evidence) float64 {
	variance := max(v.varY, o.varY) // of a few results, it may be small by chance
	uncertainty := comparisonErrors * math.Sqrt(variance*(1/v.results()+1/o.results()))
	return max(math.Abs(v.y-o.y)-uncertainty, 0)
}

// Extremes finds the fastest and the slowest of several targets. The zero value has none.
type Extremes struct {
	fastest, slowest *Estimator
	least, most      float64
}

// Add adds a target with a latency, unless it has too few results to be compared.
func (x *Extremes) Add(e *Estimator, latency float64) {
	if !e.isComparable() {
		return
	}
	if x.fastest == nil || latency < x.least {
		x.fastest, x.least = e, latency
	}
	if x.slowest == nil || latency > x.most {
		x.slowest, x.most = e, latency
	}
}

// Differ reports whether results show that the usual latencies of the two targets differ by more than the factor.
func (x *Extremes) Differ(factor float64) bool {
	return x.fastest != x.slowest && x.fastest.differsFrom(x.slowest, factor)
}
