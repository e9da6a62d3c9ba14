// Package fleet holds what a host believes about the targets: which exist, where they are, and
// whether they take new work. Knowledge arrives from targets and from other hosts in any order;
// the newest statement of a target about itself wins, so that hosts that hear the same
// statements agree.
//
// The package is pure: time is an argument, and there is no I/O.
package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// State is what a target said about taking work.
type State string

// The states of a target.
const (
	Ready State = "ready"
	// Draining targets finish what they have and take no new work.
	Draining State = "draining"
	// Gone targets have ended or are about to.
	Gone State = "gone"
)

// Target is the newest statement of a target about itself.
type Target struct {
	ID          string `cbor:"1,keyasint"`
	Service     string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
	Domain      string `cbor:"4,keyasint"`
	State       State  `cbor:"5,keyasint"`
	Slots       int    `cbor:"6,keyasint"`
	Release     string `cbor:"7,keyasint,omitempty"`
	Incarnation int64  `cbor:"8,keyasint"` // start of this incarnation, Unix milliseconds
	Sequence    uint64 `cbor:"9,keyasint"` // rises with each statement of an incarnation
	// Weights has the version of each model that the target has loaded.
	Weights map[string]uint64 `cbor:"10,keyasint,omitempty"`
	// WarmupRemaining is how much longer the target stays slow after its start.
	WarmupRemaining time.Duration `cbor:"11,keyasint,omitempty"`
	// Age is how long ago the target made the statement; it is relative, because hosts do
	// not share a clock.
	Age time.Duration `cbor:"12,keyasint,omitempty"`
}

// newer reports whether t is a later statement of the same target than old.
func (t *Target) newer(old *Target) bool {
	if t.Incarnation != old.Incarnation {
		return t.Incarnation > old.Incarnation
	}
	return t.Sequence > old.Sequence
}

type record struct {
	Target
	heard time.Time
	told  time.Time // when the record was last given a new revision
	rev   uint64
}

// Registry is the set of targets that a host knows. It is not safe for concurrent use.
type Registry struct {
	// Expiry is the silence after which a target is dropped. A target that is cut off from
	// this system's control still serves, so this is long.
	Expiry time.Duration
	// Refresh is how often the host that hears a target passes its age and weights on while
	// nothing else changes. Other hosts pass them on only every RelayRefresh: all hosts watch
	// that host themselves, so a relay matters only to those that are cut off from it.
	Refresh, RelayRefresh time.Duration

	records   map[string]*record
	byAddress map[string]string // address to id of the target that uses it now
	rev       uint64
}

// NewRegistry returns an empty registry.
func NewRegistry(expiry, refresh, relayRefresh time.Duration) *Registry {
	return &Registry{Expiry: expiry, Refresh: refresh, RelayRefresh: relayRefresh, records: make(map[string]*record), byAddress: make(map[string]string)}
}

// Update takes in a statement that a target made to this host. It reports whether it was newer than
// what was known.
func (r *Registry) Update(now time.Time, t Target) bool { return r.merge(now, t, r.Refresh, true) }

// Merge takes in a statement that another host passed on. It reports whether it was newer than
// what was known.
func (r *Registry) Merge(now time.Time, t Target) bool { return r.merge(now, t, r.RelayRefresh, false) }

func (r *Registry) merge(now time.Time, t Target, refresh time.Duration, heardHere bool) bool {
	heard := now.Add(-t.Age)
	old := r.records[t.ID]
	if old != nil {
		if old.State == Gone && t.Incarnation == old.Incarnation {
			return false // late statements of an incarnation that has ended
		}
		if !t.newer(&old.Target) && !(t.State == Gone && t.Incarnation == old.Incarnation) {
			return false
		}
	}
	if !r.takeAddress(now, &t) {
		t.State = Gone
	}
	rec := &record{Target: t, heard: heard}
	if old != nil {
		rec.told, rec.rev = old.told, old.rev
	}
	r.records[t.ID] = rec
	if old == nil || material(&old.Target, &t) || heardHere && weightsDiffer(&old.Target, &t) || now.Sub(rec.told) >= refresh {
		r.touch(now, rec)
	}
	return true
}

// takeAddress makes t the user of its address unless a target that was born later uses it. The
// earlier user has ended.
func (r *Registry) takeAddress(now time.Time, t *Target) bool {
	if t.State == Gone {
		return true
	}
	id := r.byAddress[t.Address]
	if other := r.records[id]; other != nil && id != t.ID && other.Address == t.Address && other.State != Gone {
		if other.Incarnation > t.Incarnation {
			return false
		}
		other.State = Gone
		r.touch(now, other)
	}
	r.byAddress[t.Address] = t.ID
	return true
}

func (r *Registry) touch(now time.Time, rec *record) {
	r.rev++
	rec.rev, rec.told = r.rev, now
}

// material reports whether other hosts must learn of the change at once, whoever tells them.
func material(a, b *Target) bool {
	return a.State != b.State || a.Address != b.Address || a.Incarnation != b.Incarnation || a.Service != b.Service
}

func weightsDiffer(a, b *Target) bool { return !maps.Equal(a.Weights, b.Weights) }

// MarkGone records that a target has ended or is about to. It reports whether the target is known.
func (r *Registry) MarkGone(now time.Time, id string) bool {
	rec := r.records[id]
	if rec == nil {
		return false
	}
	if rec.State != Gone {
		rec.State = Gone
		rec.heard = now
		r.touch(now, rec)
	}
	return true
}

// Expire drops the targets that were silent for too long.
func (r *Registry) Expire(now time.Time) (dropped []string) {
	for id, rec := range r.records {
		if now.Sub(rec.heard) < r.Expiry {
			continue
		}
		delete(r.records, id)
		if r.byAddress[rec.Address] == id {
			delete(r.byAddress, rec.Address)
		}
		if rec.State != Gone {
			dropped = append(dropped, id)
		}
	}
	slices.Sort(dropped)
	return dropped
}

// Get returns what is known of a target.
func (r *Registry) Get(id string) (Target, bool) {
	rec, ok := r.records[id]
	if !ok {
		return Target{}, false
	}
	return rec.Target, true
}

// Serving lists the targets of a service that take new work, in the order of their ids. An
// empty service selects all.
func (r *Registry) Serving(service string) []Target {
	var list []Target
	for _, rec := range r.records {
		if rec.State == Ready && (service == "" || rec.Service == service) {
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

// ChangesSince lists the targets that changed after a revision, with their age, and the revision to
// ask for next.
func (r *Registry) ChangesSince(now time.Time, rev uint64) ([]Target, uint64) {
	var list []Target
	for _, rec := range r.records {
		if rec.rev <= rev {
			continue
		}
		t := rec.Target
		t.Age = max(now.Sub(rec.heard), 0)
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return list, r.rev
}

// Revision rises with each change that other hosts must learn of.
func (r *Registry) Revision() uint64 { return r.rev }
