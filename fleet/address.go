package fleet

import "time"

// addressEvidence is how long a target must go on reporting to keep an address, or get one, that another target
// holds or claims. It is longer than a heartbeat is late.
const addressEvidence = 2 * time.Second

// resolveAddress decides whether t, whose known report is old, uses its address, and sets its state to Superseded if
// not. A later start decides at first, since addresses are used again; then the target that goes on reporting
// does, since one statement of a foreign sender must not end the use of a target. It returns since when t reports
// without having the address; zero if it has it.
func (r *Registry) resolveAddress(now time.Time, old *record, t *Target) (contestedAt time.Time) {
	if t.State.hasEnded() || r.IsConfigured != nil && !r.IsConfigured(t.Service) {
		return time.Time{}
	}
	known := old != nil && old.Incarnation == t.Incarnation && old.Address == t.Address
	switch {
	case known && old.State != Superseded:
		t.HoldsAddress = t.HoldsAddress || old.HoldsAddress
	case known && !t.HoldsAddress:
		contestedAt = old.contestedAt
		if contestedAt.IsZero() {
			contestedAt = now
		}
		t.HoldsAddress = now.Sub(contestedAt) >= addressEvidence
	}
	if r.claimAddress(now, t) {
		return time.Time{}
	}
	t.State = Superseded
	return contestedAt
}

// claimAddress makes t the user of its address, and marks the previous user as Superseded. It returns false,
// without a change, if the previous user was started later or has kept the address against a claim before.
func (r *Registry) claimAddress(now time.Time, t *Target) bool {
	id := r.byAddress[t.Address]
	other := r.records[id]
	if other != nil && id != t.ID && other.Address == t.Address && !other.State.hasEnded() {
		if !t.HoldsAddress && (other.HoldsAddress || other.Incarnation > t.Incarnation) {
			return false
		}
		other.State, other.HoldsAddress, other.contestedAt = Superseded, false, time.Time{}
		r.bumpUrgentRevision(now, other)
	}
	r.byAddress[t.Address] = t.ID
	return true
}
