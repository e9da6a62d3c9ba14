package clusterview

import (
	"slices"
	"strings"
	"time"

	"fuchsiaflow/internal/bootclock"
)

// SetLeader records the leader as known to the local replica.
func (v *View) SetLeader(id string, term uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if id == "" || term < v.term || (id == v.leader && term == v.term) {
		return
	}
	v.log.Info("leader of the state group changed", "leader", id, "term", term, "previous", v.leader, "from", "own replica")
	v.leader, v.term = id, term
	v.changed.Announce()
}

// Leader returns the leader of the latest known term, or "" if no leader is known.
func (v *View) Leader() (id string, term uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader, v.term
}

// LeaderAge returns the time since a store host last reported the leader of the latest known term,
// or targetExpiry if none has.
func (v *View) LeaderAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaderHeard.IsZero() {
		return targetExpiry
	}
	return bootclock.Now().Sub(v.leaderHeard)
}

// LeaderReported reports whether any store host has reported a leader since this host started.
func (v *View) LeaderReported() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.leaderHeard.IsZero()
}

// IsolationAge is the time without events from a majority of the voters after which a host counts as cut off from the
// state group: it can neither write nor read there. It exceeds an election.
const IsolationAge = 1500 * time.Millisecond

// IsIsolated reports whether this host, which has no replica, is cut off from the state group.
func (v *View) IsIsolated() bool { return v.MajorityAge() > IsolationAge }

// MajorityAge returns the time within which more than half of the voters of the state group have
// sent an event, or targetExpiry if no voter is known. A host that receives events from fewer voters
// is cut off from the state group, while one that receives them from a majority may learn of the next
// leader soon.
func (v *View) MajorityAge() time.Duration {
	ages := v.voterAges()
	if len(ages) == 0 {
		return targetExpiry
	}
	return ages[len(ages)/2]
}

// QuorumAge is MajorityAge for the store host at IP address self, which hears itself if it is a voter.
func (v *View) QuorumAge(self string) time.Duration {
	ages := v.voterAges()
	if len(ages) == 0 {
		return targetExpiry
	}
	heard := len(ages)/2 + 1
	if v.isVoter(self) {
		heard--
	}
	if heard == 0 {
		return 0
	}
	return ages[heard-1]
}

// isVoter reports whether a voter of the state group is on the host at an IP address.
func (v *View) isVoter(ip string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.voters, func(id string) bool { return ReplicaIP(id) == ip })
}

// voterAges returns the time since each voter of the state group sent an event, in ascending order.
func (v *View) voterAges() []time.Duration {
	now := bootclock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	ages := make([]time.Duration, 0, len(v.voters))
	for _, id := range v.voters {
		age := targetExpiry
		if at, ok := v.lastEvent[ReplicaIP(id)]; ok {
			age = now.Sub(at)
		}
		ages = append(ages, age)
	}
	slices.Sort(ages)
	return ages
}

// HeardStores returns the store hosts that sent an event to this host within maxAge, sorted by IP address.
func (v *View) HeardStores(maxAge time.Duration) []StoreHost {
	now := bootclock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []StoreHost
	for ip, s := range v.stores {
		if at, ok := v.lastEvent[ip]; ok && now.Sub(at) <= maxAge {
			list = append(list, s.StoreHost)
		}
	}
	slices.SortFunc(list, func(a, b StoreHost) int { return strings.Compare(a.IP(), b.IP()) })
	return list
}
