package clusterview

import (
	"time"

	"fuchsiaflow/internal/bootclock"
)

// storeEntry is a store host and the time at which it was last reported.
type storeEntry struct {
	StoreHost
	lastSeen time.Time
}

func (v *View) recordStore(now time.Time, s StoreHost) bool {
	if s.ReplicaID == "" {
		return false
	}
	old, known := v.stores[s.IP()]
	if known && old.ReplicaID == s.ReplicaID && s.Domain == "" {
		s = old.StoreHost // an announcement by RecordStore may name the replica only
	}
	v.stores[s.IP()] = storeEntry{s, now}
	return !known || old.ReplicaID != s.ReplicaID
}

// StoreIPs returns the sorted IP addresses of the seeds, the leader, the voters and the other known
// store hosts. The leader is included because, after a restart of all hosts, it may not be a seed,
// and only its events list the non-voting store hosts.
func (v *View) StoreIPs() []string {
	in := v.sourceInput()
	return in.all()
}

// Sources returns the sorted IP addresses of the store hosts that the host at IP address self watches.
func (v *View) Sources(self, domain string, isStoreHost bool) []string {
	in := v.sourceInput()
	in.self, in.domain, in.isStoreHost = self, domain, isStoreHost
	in.hearsMajority = v.MajorityAge() < majorityTimeout
	return selectSources(&in)
}

// Publishes reports whether news that reaches the store host at IP address self reaches other hosts. A store
// host of a large system that hears no voter is watched by none, and must not acknowledge such news.
func (v *View) Publishes(self string) bool {
	in := v.sourceInput()
	in.self = self
	voterAge := targetExpiry
	if ages := v.voterAges(); len(ages) > 0 {
		voterAge = ages[0]
	}
	return publishes(&in, voterAge)
}

// sourceInput returns what the view knows of the store hosts.
func (v *View) sourceInput() sourceInput {
	v.mu.Lock()
	defer v.mu.Unlock()
	in := sourceInput{seeds: v.seeds}
	for _, s := range v.stores {
		in.stores = append(in.stores, s.StoreHost)
	}
	for _, id := range v.voters {
		in.voters = append(in.voters, ReplicaIP(id))
	}
	if v.leader != "" {
		in.leader = ReplicaIP(v.leader)
	}
	return in
}

// RecordStore records a store host that has announced itself to this host.
func (v *View) RecordStore(s StoreHost) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recordStore(bootclock.Now(), s) {
		v.changed.Announce()
	}
}
