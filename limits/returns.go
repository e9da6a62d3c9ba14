package limits

import "time"

// Returns decides when refused requests return, so that they come back one after the other and no faster than a quota
// admits them. It is not safe for concurrent use.
type Returns struct{ last time.Time }

// Add returns the time after which one more refused request shall return: at the earliest time at which there may be
// room, or an interval after the request before it. A request that would return after the latest time at which its
// caller still waits shares a place with an earlier one, unless there is no room before.
func (r *Returns) Add(now, earliest, latest time.Time, interval time.Duration) time.Duration {
	at := r.last.Add(interval)
	if at.Before(earliest) || at.After(latest) {
		at = earliest
	}
	r.last = at
	return max(at.Sub(now), 0)
}
