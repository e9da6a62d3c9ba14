package capacity

import (
	"math"
	"time"
)

const (
	// defaultSlots is the assumed number of slots of a target that states none.
	defaultSlots = 4
	// minGain is the throughput that a further request must add at the knee, as a part of the throughput of one request
	// alone. A target with a constant latency up to its slots has the knee there; one whose latency increases by a part
	// s of the latency alone with each request has it where the latency has doubled.
	minGain = 0.25
	// gainSpan is the part of a number of requests over which the gain is taken, so that single results matter less.
	gainSpan = 0.25
	// kneeStep is the largest step upward of the knee with one result.
	kneeStep = 0.2
	// kneeDeadBand is the difference from which the knee moves down, so that it does not follow single results.
	kneeDeadBand = 0.75
	// growthHalfLife is the age at which the learned growth at a number of requests counts half. It decays towards the
	// assumed growth, so that a target which recovered gets more requests again.
	growthHalfLife = 8 * time.Second
	// reliableGrowth is the number of results from which the growth at a number of requests counts in full.
	reliableGrowth = 4
	// maxLogGrowth bounds the learned growth.
	maxLogGrowth = 4
)

// levels are the numbers of concurrent requests for which the growth of the latency is learned.
var levels = [...]int{1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 16, 20, 24, 28, 32, 40, 48, 56, 64}

const (
	levelCount = len(levels)
	maxLevel   = 64
)

// levelOf holds the index of the largest level that does not exceed a number of requests.
var levelOf = func() (index [maxLevel + 1]int) {
	for i, n := range levels {
		for k := n; k <= maxLevel; k++ {
			index[k] = i
		}
	}
	return index
}()

// nearestLevel returns the index of the level closest to a number of requests.
func nearestLevel(concurrency float64) int {
	if concurrency >= maxLevel {
		return levelCount - 1
	}
	n := max(concurrency, 1)
	i := levelOf[int(n)]
	if i+1 < levelCount && float64(levels[i+1])-n < n-float64(levels[i]) {
		i++
	}
	return i
}

// cell is the learned growth at one level.
type cell struct {
	logGrowth float64 // logarithm of the latency at the level relative to that at one request
	count     int
	at        time.Time
}

// curve is how the latency of a target grows with the number of concurrent requests.
type curve struct {
	slots        float64 // 0 if not known
	fullSlowdown float64
	cells        [levelCount]cell
	growth       [levelCount]float64 // as computed from the cells
	knee         float64
	learned      bool // the knee rests on results, not only on the assumed growth
	computedAt   time.Time
}

func newCurve(slots int, fullSlowdown float64) curve {
	c := curve{slots: float64(max(slots, 0)), fullSlowdown: fullSlowdown}
	c.compute(time.Time{}, c.assumedSlots())
	c.knee = c.assumedSlots()
	return c
}

// assumedSlots returns the number of slots, or defaultSlots.
func (c *curve) assumedSlots() float64 {
	if c.slots == 0 {
		return defaultSlots
	}
	return c.slots
}

// assumed returns the growth at a number of requests without results, if requests beyond the given knee queue.
func (c *curve) assumed(n, knee float64) float64 {
	within := min(n, knee)
	growth := 1.0
	if knee > 1 {
		growth += c.fullSlowdown * (within - 1) / (knee - 1)
	}
	return growth * n / within
}

// growthAt returns the growth at a number of requests.
func (c *curve) growthAt(n float64) float64 {
	switch {
	case n <= 1:
		return 1
	case n >= maxLevel:
		return c.growth[levelCount-1] * n / maxLevel
	}
	i := levelOf[int(n)]
	lower, upper := float64(levels[i]), float64(levels[i+1])
	return c.growth[i] + (c.growth[i+1]-c.growth[i])*(n-lower)/(upper-lower)
}

// record adds a result. logRatio is the logarithm of its ratio to the growth that was expected at the number of requests.
func (c *curve) record(now time.Time, concurrency, logRatio float64) {
	i := nearestLevel(concurrency)
	if i == 0 {
		return // the growth at one request is 1 by definition
	}
	cl := c.current(now, i)
	weight := max(resultWeight, 1/float64(cl.count+2))
	cl.logGrowth = min(max(cl.logGrowth+weight*logRatio, 0), maxLogGrowth)
	cl.count++
}

// recordAtLeast records that the growth at a number of requests is no less than the given one.
func (c *curve) recordAtLeast(now time.Time, concurrency, growth float64) {
	i := nearestLevel(concurrency)
	if i == 0 {
		return
	}
	cl := c.current(now, i)
	cl.logGrowth, cl.count = max(cl.logGrowth, math.Log(growth)), max(cl.count+1, reliableGrowth)
}

// current returns the cell of a level, with the growth that holds now.
func (c *curve) current(now time.Time, i int) *cell {
	cl := &c.cells[i]
	cl.logGrowth = math.Log(max(c.growth[i], 1))
	cl.at = now
	return cl
}

// confidence returns the weight of the learned growth in the effective one.
func (cl *cell) confidence(now time.Time) float64 {
	if cl.count == 0 {
		return 0
	}
	age := now.Sub(cl.at).Seconds() / growthHalfLife.Seconds()
	return min(float64(cl.count)/reliableGrowth, 1) / (1 + age*age)
}

// compute computes the growth at all levels and the knee. priorKnee is the knee that is assumed where there are no
// results. Beyond the knee requests queue.
func (c *curve) compute(now time.Time, priorKnee float64) {
	c.computedAt = now
	var weights [levelCount]float64
	c.growth[0], weights[0] = 1, exactWeight
	for i := 1; i < levelCount; i++ {
		n, previous := float64(levels[i]), float64(levels[i-1])
		c.growth[i] = c.growth[i-1] * c.assumed(n, priorKnee) / c.assumed(previous, priorKnee)
		weights[i] = assumedWeight
		if w := c.cells[i].confidence(now); w > 0 {
			c.growth[i] += w * (math.Exp(c.cells[i].logGrowth) - c.growth[i])
			weights[i] += w
		}
	}
	poolDecreases(&c.growth, &weights)
	knee := c.findKnee(now)
	c.queueBeyond(now, knee)
	c.moveKnee(float64(levels[knee]))
}

const (
	// exactWeight is the weight of the growth at one request, which is known, and assumedWeight that of an assumed one,
	// beside the confidence in a learned one.
	exactWeight   = 1000
	assumedWeight = 0.05
)

// poolDecreases replaces values that decrease by their weighted mean, since the latency does not decrease with the number of
// requests. Unlike the greatest value so far, the mean does not grow with the noise of the results.
func poolDecreases(values, weights *[levelCount]float64) {
	var lengths [levelCount]int
	var means, sums [levelCount]float64
	blocks := 0
	for i, v := range values {
		means[blocks], sums[blocks], lengths[blocks] = v, weights[i], 1
		for blocks > 0 && means[blocks-1] > means[blocks] {
			total := sums[blocks-1] + sums[blocks]
			means[blocks-1] = (means[blocks-1]*sums[blocks-1] + means[blocks]*sums[blocks]) / total
			sums[blocks-1] = total
			lengths[blocks-1] += lengths[blocks]
			blocks--
		}
		blocks++
	}
	i := 0
	for b := range blocks {
		for range lengths[b] {
			values[i] = means[b]
			i++
		}
	}
}

// findKnee returns the index of the level of the knee, and records whether results show it.
func (c *curve) findKnee(now time.Time) int {
	for i := 1; i < levelCount; i++ {
		if c.gain(i) < minGain {
			c.learned = c.cells[i].count >= reliableGrowth && c.cells[i].confidence(now) > 0.5
			return i - 1
		}
	}
	c.learned = false
	return levelCount - 1
}

// queueBeyond lets requests beyond the knee queue at levels without results.
func (c *curve) queueBeyond(now time.Time, knee int) {
	for i := knee + 1; i < levelCount; i++ {
		if queued := c.growth[i-1] * float64(levels[i]) / float64(levels[i-1]); queued > c.growth[i] {
			c.growth[i] += (1 - c.cells[i].confidence(now)) * (queued - c.growth[i])
		}
	}
}

// gain returns the throughput that the last requests at a level add, each as a part of the throughput of one alone.
func (c *curve) gain(i int) float64 {
	n := float64(levels[i])
	from := levelOf[int(n-max(1, gainSpan*n))]
	start := float64(levels[from])
	return (n/c.growth[i] - start/c.growth[from]) / (n - start)
}

// moveKnee moves the knee towards a new one: upward in small steps, down at once.
func (c *curve) moveKnee(to float64) {
	switch {
	case to > c.knee:
		c.knee = min(to, c.knee+kneeStep)
	case to <= c.knee-kneeDeadBand:
		c.knee = to
	}
}

// slowsDown reports whether results put the knee at less than three quarters of the slots.
func (c *curve) slowsDown() bool { return c.learned && c.knee < 0.75*c.assumedSlots() }
