// Package bootclock provides a monotonic clock that includes the time while the machine is
// suspended (CLOCK_BOOTTIME). Leases and expirations are measured with it: Go's monotonic clock
// stops during a suspension, and the wall clock may be set.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, as an offset from the Unix epoch. It may only
// be compared with other results of Now on the same machine since the same boot.
func Now() time.Time {
	var uptime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &uptime); err != nil {
		// The operating system lacks this clock; the time of a suspension is then not counted.
		return time.Now()
	}
	return time.Unix(uptime.Sec, uptime.Nsec)
}

// Clock is a group.Clock that uses Now.
type Clock struct{}

// Now implements group.Clock.
func (Clock) Now() time.Time { return Now() }

// Ticker implements group.Clock. It delivers ticks until stop is called.
func (Clock) Ticker(interval time.Duration) (ticks <-chan time.Time, stop func()) {
	ticker := time.NewTicker(interval)
	return ticker.C, ticker.Stop
}
