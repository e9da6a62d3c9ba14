package ratelimit

import (
	"math/rand/v2"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/limits"
)

// RetryAfter returns when a caller shall return whose request no target of a service takes: when the first of them may
// have room, one caller after the other, at the rate that the limits leave to this host. The caller waits no longer than
// patience.
func (l *Limiter) RetryAfter(service string, targets []fleet.Target, patience time.Duration) time.Duration {
	now := bootclock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, askers := 0.0, 1
	earliest := time.Time{}
	for _, t := range targets {
		limit, ok := l.view.RateLimit(t.ID, t.Incarnation)
		if !ok {
			continue
		}
		rate += limit.Rate
		s := l.state(key{t.ID, t.Incarnation})
		askers = max(askers, s.askers)
		if until := l.refusedUntil(s); earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	interval := returnInterval(rate, askers)
	if first := now.Add(MinAskInterval); earliest.Before(first) {
		earliest = first
	}
	latest := now.Add(patience)
	if spread := min(interval, latest.Sub(earliest)); askers > 1 && spread > 0 { // hosts refuse at the same moment
		earliest = earliest.Add(rand.N(spread))
	}
	return l.returnsOf(service).Add(now, earliest, latest, interval)
}

// maxReturnInterval bounds the time between two returns.
const maxReturnInterval = time.Second

// returnInterval returns the time between two requests that return to a host, if targets take a rate of requests a
// second in all and a number of hosts ask for them.
func returnInterval(rate float64, askers int) time.Duration {
	if rate <= 0 {
		return maxReturnInterval
	}
	return min(time.Duration(float64(askers)/rate*float64(time.Second)), maxReturnInterval)
}

// returnsOf returns the returns of a service. The caller holds the lock.
func (l *Limiter) returnsOf(service string) *limits.Returns {
	r := l.returns[service]
	if r == nil {
		r = &limits.Returns{}
		l.returns[service] = r
	}
	return r
}
