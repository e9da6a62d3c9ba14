package clusterview

import (
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
)

// RecordRateLimit records what a target has stated about its limit in an answer to this host; a rate of 0 means that
// it states none. The parameter source names the kind of the answer. OnRateLimit is called with each change that other
// hosts must learn of.
func (v *View) RecordRateLimit(l fleet.RateLimit, source string) {
	if v.addRateLimit(l, source) && v.OnRateLimit != nil {
		v.OnRateLimit(l, source)
	}
}

// MergeRateLimits records what targets have stated to the host named from.
func (v *View) MergeRateLimits(list []fleet.RateLimit, from string) {
	for _, l := range list {
		v.addRateLimit(l, from)
	}
}

// addRateLimit records a statement and reports whether other hosts must learn of the change.
func (v *View) addRateLimit(l fleet.RateLimit, from string) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed = v.mergeRateLimit(bootclock.Now(), l, from)
	if changed {
		v.changed.Announce()
	}
	return changed
}

// mergeRateLimit implements addRateLimit. The caller holds the lock and notifies.
func (v *View) mergeRateLimit(now time.Time, l fleet.RateLimit, from string) (changed bool) {
	previous, _ := v.rateLimits.Get(l.Target, l.Incarnation)
	if !v.rateLimits.Add(now, l) {
		return false
	}
	v.log.Info("limit of target changed", "target", l.Target, "incarnation", l.Incarnation, "rate", l.Rate, "previous", previous.Rate,
		"age_ms", l.Age.Milliseconds(), "from", from)
	return true
}

// RateLimit returns the limit that an incarnation of a target states. ok is false if it states none.
func (v *View) RateLimit(target string, incarnation int64) (l fleet.RateLimit, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rateLimits.Get(target, incarnation)
}

// Statement returns the newest statement of a target about its limit, also that it states none any more. ok is false
// if there is no statement.
func (v *View) Statement(target string) (l fleet.RateLimit, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rateLimits.Statement(bootclock.Now(), target)
}

// CountRateLimits returns the number of targets that state a limit.
func (v *View) CountRateLimits() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rateLimits.Count()
}

// RateLimitsSince returns the limits to send in a watch stream; see fleet.RateLimits.ChangedSince.
func (v *View) RateLimitsSince(revision uint64) ([]fleet.RateLimit, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rateLimits.ChangedSince(bootclock.Now(), revision)
}
