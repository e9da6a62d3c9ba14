package clusterview

import (
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
)

// mergeTarget merges a target report with merge and logs changes that affect decisions. It reports
// whether there is something to pass on at once; ages wait for the next heartbeat of a watch. The caller
// holds the lock.
func (v *View) mergeTarget(now time.Time, t fleet.Target, from string, merge func(time.Time, fleet.Target) bool) bool {
	if err := t.Validate(); err != nil {
		v.log.Warn("target report ignored", "target", t.ID, "from", from, "error", err.Error())
		return false
	}
	t.Source = from
	old, known := v.registry.Get(t.ID)
	before := v.registry.UrgentRevision()
	if !merge(now, t) {
		return false
	}
	current, _ := v.registry.Get(t.ID)
	if !known || old.State != current.State || old.Incarnation != current.Incarnation {
		v.log.Info("target changed", "target", t.ID, "service", t.Service, "address", t.Address, "state", current.State,
			"previous", old.State, "incarnation", t.Incarnation, "sequence", t.Sequence, "age_ms", t.Age.Milliseconds(), "from", from)
	}
	return v.registry.UrgentRevision() != before
}

// UpdateTarget records a report that a target sent directly to this host.
func (v *View) UpdateTarget(t fleet.Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.mergeTarget(bootclock.Now(), t, "itself", v.registry.Update) {
		v.changed.Announce()
	}
}

// MarkTargetGone records that a target is terminating, and returns its departure. known is false if there is
// no report of the target.
func (v *View) MarkTargetGone(id string) (d fleet.Departure, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.registry.Revision()
	d, known = v.registry.MarkGone(bootclock.Now(), id)
	if v.registry.Revision() != before {
		v.log.Info("target changed", "target", id, "incarnation", d.Incarnation, "state", fleet.Gone, "from", "itself")
		v.changed.Announce()
	}
	return d, known
}

// JustRestarted reports whether a deregistration of the target may be a late one of its earlier incarnation.
func (v *View) JustRestarted(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.JustRestarted(bootclock.Now(), id)
}

// RecordDeparture records that a target has announced that it leaves. The parameter from names the source in
// the log.
func (v *View) RecordDeparture(d fleet.Departure, from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recordDeparture(bootclock.Now(), d, from) {
		v.changed.Announce()
	}
}

// recordDeparture implements RecordDeparture and reports whether the departure is news to pass on. The caller holds
// the lock.
func (v *View) recordDeparture(now time.Time, d fleet.Departure, from string) (isNew bool) {
	isNew = !v.registry.HasDeparted(d)
	if v.registry.Depart(now, d) {
		v.log.Info("target changed", "target", d.Target, "incarnation", d.Incarnation, "state", fleet.Draining, "previous", fleet.Ready, "from", from)
	}
	return isNew
}

// DeparturesSince returns the departures to send in a watch stream; see fleet.Registry.DeparturesSince.
func (v *View) DeparturesSince(revision uint64) ([]fleet.Departure, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.DeparturesSince(revision, maxSentDepartures)
}

// RecordNotice records that a target has announced in an answer to this host that it leaves. The parameter source
// names the kind of the answer. It is for this host alone; OnNotice is called for each new notice.
func (v *View) RecordNotice(d fleet.Departure, source string) {
	v.mu.Lock()
	isNew := v.registry.Notice(d)
	if isNew {
		v.log.Info("target announced that it leaves", "target", d.Target, "incarnation", d.Incarnation, "source", source)
		v.changed.Announce()
	}
	v.mu.Unlock()
	if isNew && v.OnNotice != nil {
		v.OnNotice(d, source)
	}
}

// Accepts reports whether an incarnation of a target may get new work as far as this host knows.
func (v *View) Accepts(id string, incarnation int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Accepts(id, incarnation)
}

// UsesLater reports whether a later incarnation of the target than the one that leaves accepts new work.
func (v *View) UsesLater(d fleet.Departure) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.UsesLater(d)
}

// HasDeparted reports whether the departure of an incarnation of a target is known to more than this host.
func (v *View) HasDeparted(d fleet.Departure) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.HasDeparted(d)
}

// Serving returns the targets of a service that accept new work. An empty service selects all.
func (v *View) Serving(service string) []fleet.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Serving(service)
}

// CountTargets returns the number of targets in a state.
func (v *View) CountTargets(state fleet.State) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Count(state)
}

// Target returns the target with the given ID, if it is known.
func (v *View) Target(id string) (fleet.Target, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Get(id)
}

// TargetsSince returns the targets to send in a watch stream; see fleet.Registry.ChangesSince.
func (v *View) TargetsSince(rev uint64) ([]fleet.Target, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.ChangesSince(bootclock.Now(), rev)
}
