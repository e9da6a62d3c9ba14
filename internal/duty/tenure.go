package duty

import (
	"sync"
	"time"

	"fuchsiaflow/internal/dialect"
)

const (
	// minLeaseRemaining is the minimum remaining leader lease for a call.
	minLeaseRemaining = 150 * time.Millisecond
	// firstLeaderTerm is the first term that can have a leader, because term 1 is the bootstrap term. In it no earlier
	// leader can have made calls, so that the wait is skipped.
	firstLeaderTerm = 2
)

// Group is this host's replica of the state group, as group.Group implements it.
type Group interface {
	IsLeader() bool
	Leader() (id string, term uint64, known bool)
	// Lease returns the time until which no other replica can hold the leader lease. ok is false if this replica does
	// not hold it.
	Lease(now time.Time) (until time.Time, ok bool)
}

// LeaderTenure is the Tenure of the leader of the state group. Its methods must be called every few milliseconds, so that
// it sees when this replica becomes the leader; later calls only prolong the wait. It is safe for concurrent use.
type LeaderTenure struct {
	group  Group
	holder string
	wait   time.Duration

	mu        sync.Mutex
	term      uint64 // in which this replica leads; 0 if it does not
	electedAt time.Time
}

// NewTenure returns the tenure of a replica. holder is the name of its host in tokens. wait is how long a new leader waits
// before its first call, so that calls of an earlier leader can no longer arrive.
func NewTenure(g Group, holder string, wait time.Duration) *LeaderTenure {
	return &LeaderTenure{group: g, holder: holder, wait: wait}
}

// Leadership returns the term in which this replica leads and when that was first seen. leads is false if it does not
// lead.
func (t *LeaderTenure) Leadership(now time.Time) (term uint64, electedAt time.Time, leads bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, term, _ = t.group.Leader()
	if !t.group.IsLeader() {
		t.term = 0
		return 0, time.Time{}, false
	}
	if t.term != term {
		t.term, t.electedAt = term, now
	}
	return term, t.electedAt, true
}

// Settled reports whether this replica leads and calls of an earlier leader can no longer arrive.
func (t *LeaderTenure) Settled(now time.Time) bool {
	term, electedAt, leads := t.Leadership(now)
	return leads && (term <= firstLeaderTerm || now.Sub(electedAt) >= t.wait)
}

// Leased reports whether the leader lease lasts long enough for a call that is made at once.
func (t *LeaderTenure) Leased(now time.Time) bool {
	until, ok := t.group.Lease(now)
	return ok && until.Sub(now) >= minLeaseRemaining
}

// Token implements Tenure. The fencing token is the term.
func (t *LeaderTenure) Token(now time.Time) (dialect.DutyToken, bool) {
	term, _, _ := t.Leadership(now)
	if !t.Settled(now) || !t.Leased(now) {
		return dialect.DutyToken{}, false
	}
	// A new term may have begun meanwhile, whose wait is not over.
	if again, _, leads := t.Leadership(now); !leads || again != term {
		return dialect.DutyToken{}, false
	}
	return dialect.DutyToken{Holder: t.holder, Fence: term}, true
}
