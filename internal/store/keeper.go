package store

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"fuchsiaflow/consensus"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/quorum"
)

// Intervals and timeouts of the group membership.
const (
	// announceInterval is how often a store host announces itself to the leader.
	announceInterval = 250 * time.Millisecond
	// reconcileInterval is how often the leader checks the membership.
	reconcileInterval = 100 * time.Millisecond
	// unavailableAfter is the time without an announcement after which a voter is replaced. It covers
	// several announcements and exceeds the duration of an election.
	unavailableAfter = 1500 * time.Millisecond
	// replaceAnywhereAfter is the time without an announcement after which a voter is replaced even by
	// a host of a failure domain that has enough voters.
	replaceAnywhereAfter = 8 * time.Second
	// newLeaderDelay is how long a new leader waits for the announcements of the other hosts before it
	// changes the membership or answers whether a host may be retired.
	newLeaderDelay = time.Second
	// changeTimeout bounds an announcement and a membership change.
	changeTimeout = 2 * time.Second
	// storeExpiry is how long the leader remembers a store host without announcements.
	storeExpiry = 5 * time.Minute
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

// membershipController announces this host to the leader and, on the leader, carries out the membership
// changes that package quorum decides.
type membershipController struct {
	st          *Store
	term        uint64    // in which this replica leads; 0 if it does not
	leaderSince time.Time // when it was first seen to lead in that term
}

// Start implements kernel.Service.
func (c *membershipController) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("keeper/announce", announceInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		_ = c.st.leaderClient.Present(ctx, c.st.self()) // sent again; the leader detects a host without announcements
	})
	k.Every("keeper/membership", reconcileInterval, c.reconcile)
	return nil
}

// Stop implements kernel.Service.
func (c *membershipController) Stop(context.Context) error { return nil }

// reconcile carries out the next membership change if this replica is the leader and holds the lease.
func (c *membershipController) reconcile(ctx context.Context) {
	st, now := c.st, bootclock.Now()
	status := st.group.Status()
	if _, leased := st.group.Lease(now); status.Role != consensus.Leader || !leased || st.stopping() {
		c.term = 0
		return
	}
	if c.term != status.Term {
		c.term, c.leaderSince = status.Term, now
	}
	if now.Sub(c.leaderSince) < newLeaderDelay {
		return
	}
	action := quorum.NextAction(c.policy(), c.groupMembership(status), c.replicaStatuses(now, status))
	if action.Kind == quorum.None {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := c.apply(ctx, action)
	args := []any{"change", action.Kind.String(), "replica", action.ID, "reason", action.Reason, "voters", status.Voters,
		"learners", status.Learners, "term", status.Term}
	if err != nil {
		st.opts.Log.Warn("membership not changed", append(args, "error", err.Error())...)
		return
	}
	st.opts.Log.Info("membership changed", args...)
}

func (c *membershipController) policy() quorum.Policy {
	return quorum.Policy{Voters: c.st.opts.Settings.VoterCount(), UnavailableAfter: unavailableAfter, ReplaceAnywhereAfter: replaceAnywhereAfter, AddressOf: clusterview.ReplicaIP}
}

// groupMembership returns the membership as package quorum needs it.
func (c *membershipController) groupMembership(s consensus.Status) quorum.Group {
	g := quorum.Group{Leader: s.ID, Voters: s.Voters, Learners: s.Learners}
	for _, id := range s.Learners {
		if s.Match[id] > 0 && s.Match[id] >= s.Commit {
			g.CaughtUp = append(g.CaughtUp, id)
		}
	}
	return g
}

// replicaStatuses returns the announced replicas and the members of the group that have not announced
// themselves to this leader. The latter count as silent since it became the leader.
func (c *membershipController) replicaStatuses(now time.Time, s consensus.Status) []quorum.ReplicaStatus {
	var retiring map[string]string
	c.st.stateMachine.View(func(state *storestate.State) { retiring = state.Retiring() })
	list := c.st.stores.replicaStatuses(now, retiring)
	for _, id := range slices.Concat(s.Voters, s.Learners) {
		known := slices.ContainsFunc(list, func(r quorum.ReplicaStatus) bool { return r.ID == id })
		if !known && id != s.ID {
			list = append(list, quorum.ReplicaStatus{ID: id, Address: clusterview.ReplicaIP(id), SinceAnnouncement: now.Sub(c.leaderSince)})
		}
	}
	return list
}

// apply carries out a membership change or a transfer of leadership.
func (c *membershipController) apply(ctx context.Context, a quorum.Action) error {
	g := c.st.group
	switch a.Kind {
	case quorum.AddLearner:
		return g.ChangeMember(ctx, consensus.ConfChange{Type: consensus.AddLearner, ID: a.ID})
	case quorum.Promote:
		return g.ChangeMember(ctx, consensus.ConfChange{Type: consensus.Promote, ID: a.ID})
	case quorum.Remove:
		return g.ChangeMember(ctx, consensus.ConfChange{Type: consensus.Remove, ID: a.ID})
	}
	return g.TransferLeadership(ctx)
}
