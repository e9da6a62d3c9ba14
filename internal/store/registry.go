package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/quorum"
)

// storeRegistry holds the announcements of store hosts that the leader has received.
type storeRegistry struct {
	mu        sync.Mutex
	byReplica map[string]announcedStore // by replica ID
}

// announcedStore is the last announcement of a replica.
type announcedStore struct {
	clusterview.StoreHost
	announcedAt time.Time
}

func newStoreRegistry() *storeRegistry {
	return &storeRegistry{byReplica: make(map[string]announcedStore)}
}

// record stores an announcement and reports whether it is the first of the replica.
func (r *storeRegistry) record(s clusterview.StoreHost) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.byReplica[s.ReplicaID]
	r.byReplica[s.ReplicaID] = announcedStore{s, bootclock.Now()}
	return !known
}

// live returns the hosts that announced themselves within unavailableAfter, sorted by replica ID.
func (r *storeRegistry) live() []clusterview.StoreHost {
	now := bootclock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []clusterview.StoreHost
	for _, s := range r.byReplica {
		if now.Sub(s.announcedAt) < unavailableAfter {
			list = append(list, s.StoreHost)
		}
	}
	slices.SortFunc(list, func(a, b clusterview.StoreHost) int { return strings.Compare(a.ReplicaID, b.ReplicaID) })
	return list
}

// latest returns the last announcement of a host, which may have had several replicas.
func (r *storeRegistry) latest(host string) (s clusterview.StoreHost, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newest time.Time
	for _, announced := range r.byReplica {
		if announced.Host == host && !announced.announcedAt.Before(newest) {
			s, ok, newest = announced.StoreHost, true, announced.announcedAt
		}
	}
	return s, ok
}

// replicaStatuses returns the status of each announced replica, most recent announcement first. It
// removes the replicas whose last announcement is older than storeExpiry.
func (r *storeRegistry) replicaStatuses(now time.Time, retiring map[string]string) []quorum.ReplicaStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []quorum.ReplicaStatus
	for id, s := range r.byReplica {
		if now.Sub(s.announcedAt) > storeExpiry {
			delete(r.byReplica, id)
			continue
		}
		list = append(list, quorum.ReplicaStatus{ID: id, Address: s.IP(), Domain: s.Domain, SinceAnnouncement: now.Sub(s.announcedAt), Retiring: retiring[s.Host] != ""})
	}
	slices.SortFunc(list, func(a, b quorum.ReplicaStatus) int { return int(a.SinceAnnouncement - b.SinceAnnouncement) })
	return list
}

// Present implements stateclient.LocalReplica. The leader records the announcement of a store host.
func (st *Store) Present(_ context.Context, s clusterview.StoreHost) error {
	if !st.group.IsLeader() {
		return st.notLeader()
	}
	st.view.RecordStore(s)
	if st.stores.record(s) {
		st.opts.Log.Info("store host announced itself", "store", s.Host, "replica", s.ReplicaID, "domain", s.Domain)
	}
	return nil
}
