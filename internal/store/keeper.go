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

// Times of the membership.
const (
	// presentInterval is how often a store host announces itself to the leader.
	presentInterval = 250 * time.Millisecond
	// keepInterval is how often the leader looks at the membership.
	keepInterval = 100 * time.Millisecond
	// lostAfter is the silence after which a voter is replaced: several announcements, and
	// more than an election takes.
	lostAfter = 1500 * time.Millisecond
	// goneAfter is the silence after which a voter is replaced even by a host of a domain that
	// has enough voters.
	goneAfter = 8 * time.Second
	// settleTime is how long a new leader waits for the announcements of the others.
	settleTime = time.Second
	// changeTimeout bounds one membership change.
	changeTimeout = 2 * time.Second
	// forgetAfter is how long the leader remembers a store host that is silent.
	forgetAfter = 5 * time.Minute
)

// presence is what the leader has heard of the store hosts.
type presence struct {
	mu   sync.Mutex
	seen map[string]seenStore // by replica
}

type seenStore struct {
	clusterview.StoreHost
	heard time.Time
}

func newPresence() *presence { return &presence{seen: make(map[string]seenStore)} }

func (p *presence) hear(s clusterview.StoreHost) (fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.seen[s.ReplicaID]
	p.seen[s.ReplicaID] = seenStore{s, bootclock.Now()}
	return !known
}

// live lists the hosts that were heard of recently, in a stable order.
func (p *presence) live() []clusterview.StoreHost {
	now := bootclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []clusterview.StoreHost
	for _, s := range p.seen {
		if now.Sub(s.heard) < lostAfter {
			list = append(list, s.StoreHost)
		}
	}
	slices.SortFunc(list, func(a, b clusterview.StoreHost) int { return strings.Compare(a.ReplicaID, b.ReplicaID) })
	return list
}

// host returns what a host last said of itself.
func (p *presence) host(name string) (s clusterview.StoreHost, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var newest time.Time
	for _, seen := range p.seen {
		if seen.Host == name && !seen.heard.Before(newest) {
			s, ok, newest = seen.StoreHost, true, seen.heard
		}
	}
	return s, ok
}

func (p *presence) candidates(now time.Time, retiring map[string]string) []quorum.ReplicaStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []quorum.ReplicaStatus
	for id, s := range p.seen {
		if now.Sub(s.heard) > forgetAfter {
			delete(p.seen, id)
			continue
		}
		list = append(list, quorum.ReplicaStatus{ID: id, Address: s.IP(), Domain: s.Domain, SinceAnnouncement: now.Sub(s.heard), Retiring: retiring[s.Host] != ""})
	}
	slices.SortFunc(list, func(a, b quorum.ReplicaStatus) int { return int(a.SinceAnnouncement - b.SinceAnnouncement) })
	return list
}

// Present implements statecall.Local: it takes in the announcement of a store host.
func (st *Store) Present(_ context.Context, s clusterview.StoreHost) error {
	if !st.group.IsLeader() {
		return st.notLeader()
	}
	st.view.RecordStore(s)
	if st.present.hear(s) {
		st.o.Log.Info("store host announced itself", "store", s.Host, "replica", s.ReplicaID, "domain", s.Domain)
	}
	return nil
}

// keeper announces this host and, where the host leads, keeps the membership as package quorum
// decides.
type keeper struct {
	st    *Store
	term  uint64
	since time.Time
}

// Start implements kernel.Service.
func (k *keeper) Start(_ context.Context, kern *kernel.Kernel) error {
	kern.Every("keeper/announce", presentInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		_ = k.st.calls.Present(ctx, k.st.self()) // repeated; the leader notices a silent host
	})
	kern.Every("keeper/membership", keepInterval, k.keep)
	return nil
}

// Stop implements kernel.Service.
func (k *keeper) Stop(context.Context) error { return nil }

func (k *keeper) keep(ctx context.Context) {
	st, now := k.st, bootclock.Now()
	status := st.group.Status()
	if _, leased := st.group.Lease(now); status.Role != consensus.Leader || !leased || st.stopping() {
		k.term = 0
		return
	}
	if k.term != status.Term {
		k.term, k.since = status.Term, now
	}
	if now.Sub(k.since) < settleTime {
		return
	}
	action := quorum.NextAction(k.policy(), k.membership(status), k.candidates(now, status))
	if action.Kind == quorum.None {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := k.carryOut(ctx, action)
	args := []any{"change", action.Kind.String(), "replica", action.ID, "reason", action.Reason, "voters", status.Voters,
		"learners", status.Learners, "term", status.Term}
	if err != nil {
		st.o.Log.Warn("membership not changed", append(args, "error", err.Error())...)
		return
	}
	st.o.Log.Info("membership changed", args...)
}

func (k *keeper) policy() quorum.Policy {
	return quorum.Policy{Voters: k.st.o.Settings.Voters(), UnavailableAfter: lostAfter, ReplaceAnywhereAfter: goneAfter, AddressOf: clusterview.ReplicaIP}
}

func (k *keeper) membership(s consensus.Status) quorum.Group {
	g := quorum.Group{Leader: s.ID, Voters: s.Voters, Learners: s.Learners}
	for _, id := range s.Learners {
		if s.Match[id] > 0 && s.Match[id] >= s.Commit {
			g.CaughtUp = append(g.CaughtUp, id)
		}
	}
	return g
}

// candidates adds the members that have not announced themselves to this leader; they count as
// silent since it began to lead.
func (k *keeper) candidates(now time.Time, s consensus.Status) []quorum.ReplicaStatus {
	var retiring map[string]string
	k.st.machine.View(func(state *storestate.State) { retiring = state.Retiring() })
	list := k.st.present.candidates(now, retiring)
	for _, id := range slices.Concat(s.Voters, s.Learners) {
		known := slices.ContainsFunc(list, func(c quorum.ReplicaStatus) bool { return c.ID == id })
		if !known && id != s.ID {
			list = append(list, quorum.ReplicaStatus{ID: id, Address: clusterview.ReplicaIP(id), SinceAnnouncement: now.Sub(k.since)})
		}
	}
	return list
}

func (k *keeper) carryOut(ctx context.Context, a quorum.Action) error {
	g := k.st.group
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
