// Package bootclock reads time that goes on while the machine is suspended and never jumps.
// Leases and expiries are measured with it: Go's own monotonic clock stands still during a
// suspension, and the time of day may be set.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, as an offset from the Unix epoch. It may
// only be compared with other results of Now on the same machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The kernel lacks the clock; suspensions then go unnoticed.
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Clock is a group.Clock that uses Now.
type Clock struct{}

// Now returns the time of this clock.
func (Clock) Now() time.Time { return Now() }

// Ticker delivers ticks until stop is called.
func (Clock) Ticker(interval time.Duration) (ticks <-chan time.Time, stop func()) {
	t := time.NewTicker(interval)
	return t.C, t.Stop
}
