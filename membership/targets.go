package membership

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/errs"
)

// Defaults and bounds of the registry.
const (
	DefaultTargetLease  = 3 * time.Second
	DefaultLeaveTimeout = 30 * time.Second
	// markRetention is the time after the last message about a gone target in which its
	// incarnation is remembered. No transport delays a message that long.
	markRetention = 24 * time.Hour
)

// TargetRegistryConfig holds the settings of a registry.
type TargetRegistryConfig struct {
	// Lease is the time after an announcement in which a target may receive work.
	Lease time.Duration
	// LeaveTimeout is the time after its departure in which a target stays listed, so that
	// its requests in flight can end.
	LeaveTimeout time.Duration
}

// TargetState is the state of a target in the registry.
type TargetState string

// The states of a target. Only Serving targets receive work.
const (
	Serving  TargetState = "serving"
	Retired  TargetState = "retired" // not admitted by the configuration
	Leaving  TargetState = "leaving"
	Silenced TargetState = "silent" // the lease ran out
)

// Announcement is what a target says about itself, about once per second.
type Announcement struct {
	ID          string
	Incarnation uint64
	Domain      string
	Pool        string
	Address     string
	Kind        string
	Slots       int
	Loaded      map[string]uint64 // weight version by model
	Running     int
	Queued      int
}

// LoadReport is the load of a target between announcements. It does not renew the lease.
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

// NotAdmitted reports an announcement that the configuration does not admit.
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
		return Silenced
	}
	return Serving
}

// mark remembers a target that is no longer listed. Left marks refuse announcements of the
// same incarnation; other marks refuse older ones only.
type mark struct {
	incarnation uint64
	left        bool
	touched     time.Time
}

// TargetRegistry is the registry of the targets that a host owns. It is not safe for concurrent use.
type TargetRegistry struct {
	cfg     TargetRegistryConfig
	entries map[string]*targetEntry
	pools   map[string][]string // sorted IDs
	marks   map[string]mark
	admit   func(pool, id string) bool
}

// NewTargetRegistry returns an empty registry that admits no target before SetPolicy.
func NewTargetRegistry(cfg TargetRegistryConfig) *TargetRegistry {
	if cfg.Lease <= 0 {
		cfg.Lease = DefaultTargetLease
	}
	if cfg.LeaveTimeout <= 0 {
		cfg.LeaveTimeout = DefaultLeaveTimeout
	}
	return &TargetRegistry{
		cfg: cfg, entries: map[string]*targetEntry{}, pools: map[string][]string{},
		marks: map[string]mark{}, admit: func(string, string) bool { return false },
	}
}

// Announce registers a target or renews its lease. It refuses an older incarnation, the
// incarnation of a target that left, and a target that the policy does not admit.
func (t *TargetRegistry) Announce(now time.Time, a Announcement) error {
	if a.ID == "" || a.Pool == "" {
		return &errs.Invalid{Path: "$", Want: "an announcement with id and pool", Got: "an empty field"}
	}
	if err := t.checkIncarnation(now, a); err != nil {
		return err
	}
	admitted := t.admit(a.Pool, a.ID)
	e := t.entries[a.ID]
	if e == nil && !admitted {
		return &NotAdmitted{Pool: a.Pool, Target: a.ID}
	}
	if e == nil || e.Pool != a.Pool {
		t.unlist(a.ID)
		e = &targetEntry{}
		t.list(a.ID, a.Pool, e)
	}
	if a.Incarnation > e.Incarnation {
		e.leaseUntil, e.leftAt = time.Time{}, time.Time{}
	}
	a.Loaded = maps.Clone(a.Loaded)
	e.Announcement, e.admitted = a, admitted
	if until := now.Add(t.cfg.Lease); until.After(e.leaseUntil) {
		e.leaseUntil = until
	}
	delete(t.marks, a.ID)
	if !admitted {
		return &NotAdmitted{Pool: a.Pool, Target: a.ID}
	}
	return nil
}

func (t *TargetRegistry) checkIncarnation(now time.Time, a Announcement) error {
	have, left, known := t.known(a.ID)
	if !known || a.Incarnation > have || a.Incarnation == have && !left {
		return nil
	}
	if m, ok := t.marks[a.ID]; ok {
		m.touched = now
		t.marks[a.ID] = m
	}
	return staleTarget(a.ID, have, left, a.Incarnation)
}

// known returns the newest incarnation of a target and whether that incarnation left.
func (t *TargetRegistry) known(id string) (incarnation uint64, left, ok bool) {
	if e := t.entries[id]; e != nil {
		return e.Incarnation, e.left(), true
	}
	m, ok := t.marks[id]
	return m.incarnation, m.left, ok
}

func staleTarget(id string, have uint64, left bool, got uint64) error {
	stored := fmt.Sprintf("incarnation %d", have)
	if left {
		stored += " that left"
	}
	return &errs.Conflict{Kind: "target", ID: id, Have: stored, Got: fmt.Sprintf("incarnation %d", got)}
}

// Load records the load of a target.
func (t *TargetRegistry) Load(now time.Time, r LoadReport) error {
	e := t.entries[r.ID]
	if e == nil {
		return &errs.NotFound{Kind: "target", ID: r.ID}
	}
	if r.Incarnation != e.Incarnation {
		return staleTarget(r.ID, e.Incarnation, e.left(), r.Incarnation)
	}
	e.Running, e.Queued = r.Running, r.Queued
	return nil
}

// Leave takes a target out of dispatch at once. It may arrive before the announcement of the
// same incarnation, which is then refused.
func (t *TargetRegistry) Leave(now time.Time, id string, incarnation uint64) error {
	have, left, known := t.known(id)
	if known && incarnation < have {
		return staleTarget(id, have, left, incarnation)
	}
	e := t.entries[id]
	switch {
	case e == nil:
		t.marks[id] = mark{incarnation: incarnation, left: true, touched: now}
	case !e.left() || incarnation > e.Incarnation:
		e.Incarnation, e.leftAt = incarnation, now
	}
	return nil
}

// SetPolicy replaces the admission policy and applies it to all targets at once.
func (t *TargetRegistry) SetPolicy(now time.Time, admitted func(pool, id string) bool) {
	t.admit = admitted
	for id, e := range t.entries {
		e.admitted = admitted(e.Pool, id)
	}
}

// Dispatchable reports whether the target may receive new work.
func (t *TargetRegistry) Dispatchable(now time.Time, id string) bool {
	e := t.entries[id]
	return e != nil && e.state(now) == Serving
}

// List returns the targets of a pool ordered by ID, in any state.
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

// Expire removes the targets whose lease ran out and those whose LeaveTimeout has passed. It
// returns their IDs in order.
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
		t.marks[id] = mark{incarnation: e.Incarnation, left: e.left(), touched: now}
		t.unlist(id)
	}
	for id, m := range t.marks {
		if now.Sub(m.touched) >= markRetention {
			delete(t.marks, id)
		}
	}
	return out
}

func (t *TargetRegistry) list(id, pool string, e *targetEntry) {
	t.entries[id] = e
	ids := t.pools[pool]
	i, _ := slices.BinarySearch(ids, id)
	t.pools[pool] = slices.Insert(ids, i, id)
}

func (t *TargetRegistry) unlist(id string) {
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
