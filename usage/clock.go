package usage

import "time"

const (
	// stepAge is the time for which a step of the time of day is not followed. Steps that are undone sooner have no
	// effect.
	stepAge = 20 * time.Second
	// maxSlew is the largest change of the time of day between two readings that counts as an adjustment and is followed
	// at once. It covers a pause of the process between the readings of the two clocks.
	maxSlew = 250 * time.Millisecond
)

// Reading is the reading of two clocks at one moment.
type Reading struct {
	// Wall is the time of day, without a monotonic reading.
	Wall time.Time
	// Steady is a clock that never steps, with any origin.
	Steady time.Time
}

// Clock derives true time from the time of day, which may step by seconds and back. A step is not followed until it is
// stepAge old. A Clock must be read every few seconds, so that it sees when a step occurs. Its zero value accepts the
// first reading. It is not safe for concurrent use.
type Clock struct {
	started bool
	offset  time.Duration // true time minus steady time
	// A step that is not followed yet: the offset after it and the steady time at which it was first seen.
	stepping   bool
	stepOffset time.Duration
	steppedAt  time.Time
}

// At returns the true time at a reading. Readings are given in their order.
func (c *Clock) At(r Reading) time.Time {
	c.follow(r.Steady, r.Wall.Sub(r.Steady))
	return r.Steady.Add(c.offset)
}

// follow takes over an offset that was read, unless it is that of a recent step.
func (c *Clock) follow(steady time.Time, offset time.Duration) {
	switch {
	case !c.started || near(offset, c.offset):
		c.started, c.stepping, c.offset = true, false, offset
	case !c.stepping || !near(offset, c.stepOffset):
		c.stepping, c.stepOffset, c.steppedAt = true, offset, steady
	case steady.Sub(c.steppedAt) >= stepAge:
		c.stepping, c.offset = false, offset
	default:
		c.stepOffset = offset
	}
}

// near reports whether two offsets differ by an adjustment, not by a step.
func near(a, b time.Duration) bool { return (a - b).Abs() <= maxSlew }
