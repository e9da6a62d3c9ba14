// Package fleet maintains a host's registry of targets: which exist, where they are, and whether they
// accept new work. Reports arrive from targets and from other hosts in any order. The newest report of
// a target about itself wins, so that hosts with the same reports converge to the same state. Within an
// incarnation the state only advances: a target that has announced that it leaves is never Ready again.
//
// The package is deterministic and does no I/O: time is an argument.
package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// State is the state that a target reports: whether it accepts new work.
type State string

// The states of a target.
const (
	Ready State = "ready"
	// Draining targets finish their current work and accept no new work.
	Draining State = "draining"
	// Gone targets have terminated or are about to.
	Gone State = "gone"
	// Superseded targets have lost their address to a target that was started later.
	Superseded State = "superseded"
)

// announcesDeparture reports whether a target in the state has announced that it leaves.
func (s State) announcesDeparture() bool { return s == Draining || s == Gone }

// Target is a report of a target about itself.
type Target struct {
	ID          string `cbor:"1,keyasint"`
	Service     string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Domain      string `cbor:"4,keyasint"`
	State       State  `cbor:"5,keyasint"`
	Slots       int    `cbor:"6,keyasint"`
	Release     string `cbor:"7,keyasint,omitempty"`
	Incarnation int64  `cbor:"8,keyasint"` // start of this incarnation, in Unix milliseconds
	Sequence    uint64 `cbor:"9,keyasint"` // increases with each report of an incarnation
	// Weights holds the version of each model that the target has loaded.
	Weights map[string]uint64 `cbor:"10,keyasint,omitempty"`
	// WarmupRemaining is the remaining time for which the target is slow after its start.
	WarmupRemaining time.Duration `cbor:"11,keyasint,omitempty"`
	// Age is the time since the target made the report. It is relative because the clocks of
	// hosts are not synchronized.
	Age time.Duration `cbor:"12,keyasint,omitempty"`
	// HoldsAddress is set by a host that has seen the target go on reporting after another one, which claims to be
	// started later, has claimed its address.
	HoldsAddress bool `cbor:"13,keyasint,omitempty"`
	// Spot is set if the target may be taken away at any time.
	Spot bool `cbor:"14,keyasint,omitempty"`
	// LeavesIn is the time from the report until a draining target ends; 0 if it is not known.
	LeavesIn time.Duration `cbor:"15,keyasint,omitempty"`
	// Source names where this host has the report from, and ReportedAt is when the target made it, by the clock of
	// this host. Both are local.
	Source     string    `cbor:"-"`
	ReportedAt time.Time `cbor:"-"`
}

// newerThan reports whether t is a later report of the same target than old.
func (t *Target) newerThan(old *Target) bool {
	if t.Incarnation != old.Incarnation {
		return t.Incarnation > old.Incarnation
	}
	return t.Sequence > old.Sequence
}

// record is the newest report of a target with its local bookkeeping.
type record struct {
	Target
	revisedAt time.Time // when revision was last set
	// contestedAt is when the first report after the loss of the address arrived; zero before it.
	contestedAt time.Time
	// restartedAt is when this incarnation took the place of an earlier one in the registry; zero if it did not.
	restartedAt time.Time
	revision    uint64 // Registry.revision at the last change to pass on
}

// Registry is the set of targets that a host knows. It is not safe for concurrent use.
type Registry struct {
	// Expiry is the time without a report after which a target is dropped. It is long because a
	// target that is disconnected from the control plane still serves requests.
	Expiry time.Duration
	// Refresh is how often the host that receives the reports of a target passes on its age and
	// weights while nothing else changes, and RelayRefresh how often other hosts relay them. A host that
	// receives only relayed reports needs a RelayRefresh below Refresh.
	Refresh, RelayRefresh time.Duration
	// IsConfigured reports whether a service is configured; nil means all are. A target of another service claims
	// no address: it may be the entry of a foreign sender.
	IsConfigured func(service string) bool

	records    map[string]*record
	byAddress  map[string]string // address to ID of the target that uses it now
	departures *Departures       // kept longer than the records of the targets
	noticed    *Departures       // departures that only this host has seen; they are not passed on
	revision   uint64
	// urgentRevision is the revision of the last change that other hosts must learn at once.
	urgentRevision uint64
}

// NewRegistry returns an empty registry.
func NewRegistry(expiry, refresh, relayRefresh time.Duration) *Registry {
	return &Registry{Expiry: expiry, Refresh: refresh, RelayRefresh: relayRefresh, records: make(map[string]*record), byAddress: make(map[string]string),
		departures: NewDepartures(nil), noticed: NewDepartures(nil)}
}

// Update records a report that a target sent to this host. It returns whether the report was accepted as
// newer than the known one.
func (r *Registry) Update(now time.Time, t Target) bool { return r.merge(now, t, r.Refresh, true) }

// Merge records a report that another host relayed. It returns whether the report was accepted as newer
// than the known one.
func (r *Registry) Merge(now time.Time, t Target) bool { return r.merge(now, t, r.RelayRefresh, false) }

// merge implements Update and Merge. Within an incarnation, a report that the target leaves is accepted
// whatever its sequence number, and a report that it is ready does not undo that. Urgent changes get a new
// revision at once, a change of weights only if the report is direct, and anything else only if the last
// revision is at least refresh old.
func (r *Registry) merge(now time.Time, t Target, refresh time.Duration, direct bool) bool {
	t.ReportedAt = now.Add(-t.Age)
	if t.State.announcesDeparture() {
		r.departures.Add(Departure{t.ID, t.Incarnation})
	} else if r.departures.Covers(t.ID, t.Incarnation) {
		t.State = Draining
	}
	old := r.records[t.ID]
	if old != nil && !acceptsReport(&old.Target, &t) {
		return false
	}
	contestedAt := r.resolveAddress(now, old, &t)
	rec := &record{Target: t, contestedAt: contestedAt}
	if old != nil {
		rec.revisedAt, rec.revision, rec.restartedAt = old.revisedAt, old.revision, old.restartedAt
		if old.Incarnation != t.Incarnation {
			rec.restartedAt = now
		}
	}
	r.records[t.ID] = rec
	switch {
	case old == nil || urgentChange(&old.Target, &t) || direct && weightsDiffer(&old.Target, &t):
		r.bumpUrgentRevision(now, rec)
	case now.Sub(rec.revisedAt) >= refresh:
		r.bumpRevision(now, rec)
	}
	return true
}

// acceptsReport reports whether t replaces the known report old of the same target.
func acceptsReport(old, t *Target) bool {
	if t.Incarnation != old.Incarnation {
		return t.Incarnation > old.Incarnation
	}
	if old.State == Gone {
		return false // late report of an incarnation that has terminated
	}
	return t.newerThan(old) || t.State == Gone || t.State == Draining && old.State == Ready
}

// hasEnded reports whether a target in the state serves no requests as far as is known.
func (s State) hasEnded() bool { return s == Gone || s == Superseded }

// bumpRevision gives a record a new revision, so that ChangesSince returns it.
func (r *Registry) bumpRevision(now time.Time, rec *record) {
	r.revision++
	rec.revision, rec.revisedAt = r.revision, now
}

// bumpUrgentRevision is bumpRevision for a change that other hosts must learn at once.
func (r *Registry) bumpUrgentRevision(now time.Time, rec *record) {
	r.bumpRevision(now, rec)
	r.urgentRevision = r.revision
}

// urgentChange reports whether the change must reach other hosts at once, even through relays.
func urgentChange(a, b *Target) bool {
	return a.State != b.State || a.Address != b.Address || a.Incarnation != b.Incarnation || a.Service != b.Service
}

func weightsDiffer(a, b *Target) bool { return !maps.Equal(a.Weights, b.Weights) }

// MarkGone records that a target has terminated or is about to, and returns its departure. known is false,
// without a change, if there is no report of the target.
func (r *Registry) MarkGone(now time.Time, id string) (d Departure, known bool) {
	rec := r.records[id]
	if rec == nil {
		return Departure{}, false
	}
	d = Departure{id, rec.Incarnation}
	r.departures.Add(d)
	if rec.State != Gone {
		rec.State = Gone
		rec.ReportedAt = now
		r.bumpUrgentRevision(now, rec)
	}
	return d, true
}

// JustRestarted reports whether a target has started anew within lateDeregistration. A deregistration, which names no
// incarnation, may then be a late one of the incarnation before.
func (r *Registry) JustRestarted(now time.Time, id string) bool {
	rec := r.records[id]
	return rec != nil && !rec.restartedAt.IsZero() && now.Sub(rec.restartedAt) < lateDeregistration
}

// lateDeregistration is how late a deregistration may arrive after the next start of its target was reported.
const lateDeregistration = 5 * time.Second

// DeparturesSince returns the newest departures, at most limit, that were recorded after a revision, the oldest first,
// and the revision to pass to the next call. Unlike ChangesSince it includes targets of which there is no report.
func (r *Registry) DeparturesSince(revision uint64, limit int) ([]Departure, uint64) {
	added := r.departures.AddedAfter(revision)
	return slices.Clone(added[max(len(added)-limit, 0):]), r.departures.Revision()
}

// Depart records a departure that did not come with a report of the target. It returns whether the target
// was Ready until now.
func (r *Registry) Depart(now time.Time, d Departure) bool {
	r.departures.Add(d)
	rec := r.records[d.Target]
	if rec == nil || rec.State != Ready || rec.Incarnation > d.Incarnation {
		return false
	}
	rec.State = Draining
	r.bumpUrgentRevision(now, rec)
	return true
}

// Notice records that this host has seen in an answer that a target leaves. The host does not use the incarnation
// any more, whatever is reported of it, but it passes nothing on: it may be wrong. Notice returns false if the host
// knew it already.
func (r *Registry) Notice(d Departure) bool {
	return !r.departures.Covers(d.Target, d.Incarnation) && r.noticed.Add(d)
}

// Accepts reports whether an incarnation of a target may get new work as far as this host knows. Unlike Serving
// it does not require a report of the target.
func (r *Registry) Accepts(id string, incarnation int64) bool {
	return !r.departures.Covers(id, incarnation) && !r.noticed.Covers(id, incarnation)
}

// UsesLater reports whether a later incarnation of the target than the one that leaves accepts new work as far as is
// known. The departure then does not end the use of the target.
func (r *Registry) UsesLater(d Departure) bool {
	rec := r.records[d.Target]
	return rec != nil && rec.State == Ready && rec.Incarnation > d.Incarnation
}

// HasDeparted reports whether the departure of an incarnation of a target is known to more than this host.
func (r *Registry) HasDeparted(d Departure) bool { return r.departures.Covers(d.Target, d.Incarnation) }

// Expire drops the targets whose last report is at least Expiry old, and returns the IDs of those that
// had not ended, sorted.
func (r *Registry) Expire(now time.Time) (dropped []string) {
	for id, rec := range r.records {
		if now.Sub(rec.ReportedAt) < r.Expiry {
			continue
		}
		delete(r.records, id)
		if r.byAddress[rec.Address] == id {
			delete(r.byAddress, rec.Address)
		}
		if !rec.State.hasEnded() {
			dropped = append(dropped, id)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// Get returns the newest report of a target.
func (r *Registry) Get(id string) (Target, bool) {
	rec, ok := r.records[id]
	if !ok {
		return Target{}, false
	}
	return rec.Target, true
}

// Serving returns the targets of a service that accept new work, ordered by ID. An empty service
// selects all services.
func (r *Registry) Serving(service string) []Target {
	var list []Target
	for _, rec := range r.records {
		if rec.State == Ready && (service == "" || rec.Service == service) && !r.noticed.Covers(rec.ID, rec.Incarnation) {
			list = append(list, rec.Target)
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Count returns the number of targets in a state.
func (r *Registry) Count(state State) int {
	n := 0
	for _, rec := range r.records {
		if rec.State == state {
			n++
		}
	}
	return n
}

// ChangesSince returns the targets that changed after a revision, with Age updated to the present, and
// the revision to pass to the next call.
func (r *Registry) ChangesSince(now time.Time, rev uint64) ([]Target, uint64) {
	var list []Target
	for _, rec := range r.records {
		if rec.revision <= rev {
			continue
		}
		t := rec.Target
		t.Age = max(now.Sub(rec.ReportedAt), 0)
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return list, r.revision
}

// Revision returns the current revision, which increases with each change to pass on to other hosts.
func (r *Registry) Revision() uint64 { return r.revision }

// UrgentRevision returns the revision of the last change to pass on at once. Later revisions only update
// ages.
func (r *Registry) UrgentRevision() uint64 { return r.urgentRevision }
