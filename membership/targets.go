package membership

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/errs"
)

// Defaults and limits of the registry.
const (
	DefaultTargetLease  = 3 * time.Second
	DefaultLeaveTimeout = 30 * time.Second
	// tombstoneRetention is the time for which the incarnation of a removed target is kept after
	// the last message about it. It exceeds any delay of a message in the network.
	tombstoneRetention = 24 * time.Hour
)

// TargetRegistryConfig holds the settings of a registry.
type TargetRegistryConfig struct {
	// Lease is the time after an announcement for which a target may receive work.
	Lease time.Duration
	// LeaveTimeout is the time for which a target stays listed after it leaves, so that its
	// in-flight requests can finish.
	LeaveTimeout time.Duration
}

// TargetState is the state of a target in the registry.
type TargetState string

// The states of a target. Only Serving targets receive work.
const (
	Serving      TargetState = "serving"
	Retired      TargetState = "retired" // not admitted by the configuration
	Leaving      TargetState = "leaving"
	LeaseExpired TargetState = "silent"
)

// Announcement is the periodic report that a target sends about itself, about once per second.
type Announcement struct {
	ID          string
	Incarnation uint64
	Domain      string
	Pool        string
	Address     string
	Kind        string
	Slots       int
	Loaded      map[string]uint64 // loaded weight version by model
	Running     int
	Queued      int
}

// LoadReport updates the load of a target between announcements. It does not renew the lease.
type LoadReport struct {
	ID          string
	Incarnation uint64
	Running     int
	Queued      int
}

// Target is an entry of the registry.
type Target struct {
	Announcement
	State      TargetState
	LeaseUntil time.Time
}

// NotAdmitted is the error for a target that the configuration does not admit to its pool.
type NotAdmitted struct{ Pool, Target string }

func (e *NotAdmitted) Error() string {
	return fmt.Sprintf("pool %q does not admit target %q", e.Pool, e.Target)
}

// FailureCode implements errs.Failure.
func (e *NotAdmitted) FailureCode() errs.Code { return errs.CodeForbidden }

// FailureOutcome implements errs.Failure.
func (e *NotAdmitted) FailureOutcome() errs.Outcome { return errs.NotRun }

type targetEntry struct {
	Announcement
	leaseUntil time.Time
	leftAt     time.Time // zero unless the target left
	admitted   bool
}

func (e *targetEntry) left() bool { return !e.leftAt.IsZero() }

func (e *targetEntry) state(now time.Time) TargetState {
	switch {
	case e.left():
		return Leaving
	case !e.admitted:
		return Retired
	case !now.Before(e.leaseUntil):
		return LeaseExpired
	}
	return Serving
}

// tombstone remembers the incarnation of a target that is no longer listed. If the target left,
// announcements of the same incarnation are rejected too, otherwise only those of older ones.
type tombstone struct {
	incarnation uint64
	left        bool
	refreshed   time.Time
}

// TargetRegistry is the registry of the targets that a host owns. It is not safe for concurrent use.
type TargetRegistry struct {
	cfg        TargetRegistryConfig
	entries    map[string]*targetEntry
	pools      map[string][]string // sorted IDs
	tombstones map[string]tombstone
	admits     func(pool, id string) bool
}

// NewTargetRegistry returns an empty registry. It admits no target until SetPolicy is called.
func NewTargetRegistry(cfg TargetRegistryConfig) *TargetRegistry {
	if cfg.Lease <= 0 {
		cfg.Lease = DefaultTargetLease
	}
	if cfg.LeaveTimeout <= 0 {
		cfg.LeaveTimeout = DefaultLeaveTimeout
	}
	return &TargetRegistry{
		cfg: cfg, entries: map[string]*targetEntry{}, pools: map[string][]string{},
		tombstones: map[string]tombstone{}, admits: func(string, string) bool { return false },
	}
}

// Announce registers a target or renews its lease. It returns an error if the incarnation is older
// than the latest known one or has left, or if the policy does not admit the target.
func (t *TargetRegistry) Announce(now time.Time, a Announcement) error {
	if a.ID == "" || a.Pool == "" {
		return &errs.Invalid{Path: "$", Want: "an announcement with id and pool", Got: "an empty field"}
	}
	if err := t.checkIncarnation(now, a); err != nil {
		return err
	}
	admitted := t.admits(a.Pool, a.ID)
	e := t.entries[a.ID]
	if e == nil && !admitted {
		return &NotAdmitted{Pool: a.Pool, Target: a.ID}
	}
	if e == nil || e.Pool != a.Pool {
		t.removeEntry(a.ID)
		e = &targetEntry{}
		t.addEntry(a.ID, a.Pool, e)
	}
	if a.Incarnation > e.Incarnation {
		e.leaseUntil, e.leftAt = time.Time{}, time.Time{}
	}
	a.Loaded = maps.Clone(a.Loaded)
	e.Announcement, e.admitted = a, admitted
	if until := now.Add(t.cfg.Lease); until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
	delete(t.tombstones, a.ID)
	if !admitted {
		return &NotAdmitted{Pool: a.Pool, Target: a.ID}
	}
	return nil
}

func (t *TargetRegistry) checkIncarnation(now time.Time, a Announcement) error {
	have, left, known := t.lastIncarnation(a.ID)
	if !known || a.Incarnation > have || a.Incarnation == have && !left {
		return nil
	}
	if m, ok := t.tombstones[a.ID]; ok {
		m.refreshed = now
		t.tombstones[a.ID] = m
	}
	return staleIncarnation(a.ID, have, left, a.Incarnation)
}

// lastIncarnation returns the latest known incarnation of a target and whether that incarnation left.
func (t *TargetRegistry) lastIncarnation(id string) (incarnation uint64, left, ok bool) {
	if e := t.entries[id]; e != nil {
		return e.Incarnation, e.left(), true
	}
	m, ok := t.tombstones[id]
	return m.incarnation, m.left, ok
}

func staleIncarnation(id string, have uint64, left bool, got uint64) error {
	stored := fmt.Sprintf("incarnation %d", have)
	if left {
		stored += " that left"
	}
	return &errs.Conflict{Kind: "target", ID: id, Stored: stored, Received: fmt.Sprintf("incarnation %d", got)}
}

// RecordLoad updates the load of a target. It returns an error if the target is not listed in the
// reported incarnation.
func (t *TargetRegistry) RecordLoad(now time.Time, r LoadReport) error {
	e := t.entries[r.ID]
	if e == nil {
		return &errs.NotFound{Kind: "target", ID: r.ID}
	}
	if r.Incarnation != e.Incarnation {
		return staleIncarnation(r.ID, e.Incarnation, e.left(), r.Incarnation)
	}
	e.Running, e.Queued = r.Running, r.Queued
	return nil
}

// Leave stops dispatch to a target immediately. It may arrive before the announcement of the same
// incarnation, which is then rejected. It returns an error if the incarnation is older than the
// latest known one.
func (t *TargetRegistry) Leave(now time.Time, id string, incarnation uint64) error {
	have, left, known := t.lastIncarnation(id)
	if known && incarnation < have {
		return staleIncarnation(id, have, left, incarnation)
	}
	e := t.entries[id]
	switch {
	case e == nil:
		t.tombstones[id] = tombstone{incarnation: incarnation, left: true, refreshed: now}
	case !e.left() || incarnation > e.Incarnation:
		e.Incarnation, e.leftAt = incarnation, now
	}
	return nil
}

// SetPolicy replaces the admission policy and applies it to all listed targets immediately.
func (t *TargetRegistry) SetPolicy(now time.Time, admitted func(pool, id string) bool) {
	t.admits = admitted
	for id, e := range t.entries {
		e.admitted = admitted(e.Pool, id)
	}
}

// Dispatchable reports whether the target may receive new work.
func (t *TargetRegistry) Dispatchable(now time.Time, id string) bool {
	e := t.entries[id]
	return e != nil && e.state(now) == Serving
}

// List returns the targets of a pool in any state, ordered by ID.
func (t *TargetRegistry) List(now time.Time, pool string) []Target {
	ids := t.pools[pool]
	out := make([]Target, 0, len(ids))
	for _, id := range ids {
		e := t.entries[id]
		out = append(out, Target{Announcement: e.Announcement, State: e.state(now), LeaseUntil: e.leaseUntil})
	}
	return out
}

// Len returns the number of listed targets.
func (t *TargetRegistry) Len() int { return len(t.entries) }

// Expire removes targets whose lease has expired and targets that left at least LeaveTimeout ago.
// It returns their IDs in sorted order.
func (t *TargetRegistry) Expire(now time.Time) []string {
	var out []string
	for id, e := range t.entries {
		gone := !e.left() && !now.Before(e.leaseUntil) || e.left() && now.Sub(e.leftAt) >= t.cfg.LeaveTimeout
		if gone {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, strings.Compare)
	for _, id := range out {
		e := t.entries[id]
		t.tombstones[id] = tombstone{incarnation: e.Incarnation, left: e.left(), refreshed: now}
		t.removeEntry(id)
	}
	for id, m := range t.tombstones {
		if now.Sub(m.refreshed) >= tombstoneRetention {
			delete(t.tombstones, id)
		}
	}
	return out
}

func (t *TargetRegistry) addEntry(id, pool string, e *targetEntry) {
	t.entries[id] = e
	ids := t.pools[pool]
	i, _ := slices.BinarySearch(ids, id)
	t.pools[pool] = slices.Insert(ids, i, id)
}

func (t *TargetRegistry) removeEntry(id string) {
	e := t.entries[id]
	if e == nil {
		return
	}
	delete(t.entries, id)
	ids := t.pools[e.Pool]
	if i, ok := slices.BinarySearch(ids, id); ok {
		ids = slices.Delete(ids, i, i+1)
	}
	if t.pools[e.Pool] = ids; len(ids) == 0 {
		delete(t.pools, e.Pool)
	}
}
