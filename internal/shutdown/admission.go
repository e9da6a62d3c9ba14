// Package shutdown decides which requests a host accepts while it stops, and ends those that are left when its time
// is up. A host that stops accepts only what it expects to finish: its callers reach another host at once, while a
// request that is cut may have run and is not repeated.
package shutdown

import "time"

const (
	// unknownDuration is the expected duration of a request of a route whose requests were not observed.
	unknownDuration = 4500 * time.Millisecond
	// durationMargin is the factor between the longest observed duration and the expected one.
	durationMargin = 1.25
	// durationWindow is the time after which longest forgets a duration, at the latest after twice that time.
	durationWindow = 30 * time.Second
)

// period is the time in which a host stops.
type period struct {
	// removed is when the load balancer has removed the host. Callers that are refused before may reach it again.
	removed time.Time
	end     time.Time // when the requests that are left are ended
}

// admits reports whether a host that stops accepts a request. longest is the longest known duration of the requests
// of the same route, 0 if none is known.
func (p *period) admits(now, deadline time.Time, longest time.Duration) bool {
	if !deadline.After(p.end) {
		return true
	}
	if now.After(p.removed) {
		return false
	}
	expected := unknownDuration
	if longest > 0 {
		expected = time.Duration(durationMargin * float64(longest))
	}
	return !now.Add(expected).After(p.end)
}

// durations holds the longest recent duration of the requests of each route. It is deterministic: time is an
// argument.
type durations struct {
	startedAt         time.Time // of current
	current, previous map[string]time.Duration
}

// record records the duration of a request.
func (d *durations) record(now time.Time, route string, took time.Duration) {
	d.rotate(now)
	if d.current == nil {
		d.current = make(map[string]time.Duration)
	}
	d.current[route] = max(d.current[route], took)
}

// longest returns the longest recent duration of the requests of a route, 0 if there were none.
func (d *durations) longest(now time.Time, route string) time.Duration {
	d.rotate(now)
	return max(d.current[route], d.previous[route])
}

// rotate starts a new window if the current one is over.
func (d *durations) rotate(now time.Time) {
	age := now.Sub(d.startedAt)
	if age < durationWindow {
		return
	}
	d.previous, d.current = d.current, nil
	if age >= 2*durationWindow {
		d.previous = nil
	}
	d.startedAt = now
}
