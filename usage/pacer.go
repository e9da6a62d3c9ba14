package usage

import (
	"math/rand/v2"
	"time"

	"fuchsiaflow/retry"
)

// Limits of the calls to the platform.
const (
	// defaultInterval is the time between two calls if the platform states no limit.
	defaultInterval = 100 * time.Millisecond
	// minTimeout and maxTimeout bound the time that a call may take. A call takes less than minTimeout
	// in normal operation; a platform that is slow needs more.
	minTimeout = 2 * time.Second
	maxTimeout = 12 * time.Second
	// timeoutFactor is the ratio of the time that a call may take to that of the last successful one.
	timeoutFactor = 4
)

// Pacer decides when the next call to the platform is made and how long it may take. Calls never use more than half of
// what the platform accepts. It is not safe for concurrent use.
type Pacer struct {
	interval time.Duration // least time between the starts of two calls
	rng      *rand.Rand
	begun    time.Time
	next     time.Time // earliest start of the next call
	failures int       // since the last success
	timeout  time.Duration
}

// NewPacer returns a pacer for a platform that accepts the given number of calls a second; 0 means that it is not known.
func NewPacer(callsPerSecond float64, rng *rand.Rand) *Pacer {
	p := &Pacer{interval: defaultInterval, rng: rng, timeout: minTimeout}
	if callsPerSecond > 0 {
		p.interval = time.Duration(2 / callsPerSecond * float64(time.Second))
	}
	return p
}

// Begin starts a call and returns the time that it may take. ok is false if it is too early for one.
func (p *Pacer) Begin(now time.Time) (timeout time.Duration, ok bool) {
	if now.Before(p.next) {
		return 0, false
	}
	p.begun, p.next = now, now.Add(p.interval)
	return p.timeout, true
}

// Succeeded records that the call that has begun was successful.
func (p *Pacer) Succeeded(now time.Time) {
	p.failures = 0
	p.timeout = min(max(timeoutFactor*now.Sub(p.begun), minTimeout), maxTimeout)
}

// Failed records that the call that has begun has failed. The next one waits longer with each failure. A call that took
// all its time suggests that the platform is slow: the next one may take longer.
func (p *Pacer) Failed(now time.Time) {
	p.failures++
	if now.Sub(p.begun) >= p.timeout {
		p.timeout = min(2*p.timeout, maxTimeout)
	}
	if next := now.Add(retry.Backoff(p.rng, p.failures)); next.After(p.next) {
		p.next = next
	}
}
