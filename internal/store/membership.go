package store

import (
	"context"
	"slices"
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
