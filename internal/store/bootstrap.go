package store

import (
	"context"
	"slices"

	"fuchsiaflow/bootstrap"
	"fuchsiaflow/internal/bootstraprpc"
	"fuchsiaflow/internal/rpc"
)

// newSeed returns the seed of this host. If the host is not one of the seeds, it only tells candidates what it knows.
func (st *Store) newSeed() *bootstraprpc.Seed {
	record := st.record.get()
	seed := bootstraprpc.NewSeed(record.acceptor(), func(s *bootstrap.AcceptorState) error {
		return st.record.update(func(r *replicaRecord) { r.setAcceptor(s) })
	})
	if len(record.Voters) > 0 {
		seed.Learn(record.Voters)
	}
	return seed
}

// newCandidate returns the service that finds out the initial voters of the state group.
func (st *Store) newCandidate(seeds []string) *bootstraprpc.Candidate {
	s := st.opts.Settings
	return bootstraprpc.NewCandidate(bootstraprpc.Options{
		Self:      bootstrap.Candidate{ID: st.replicaID, Domain: s.FailureDomain, IsSeed: slices.Contains(seeds, s.IP)},
		SelfIP:    s.IP,
		Seeds:     seeds,
		Policy:    bootstrap.Policy{Voters: s.VoterCount(), Domains: s.FailureDomains},
		LocalSeed: st.seed, Peer: st.peer, GroupExists: st.groupExists, Decided: st.becomeVoter, Join: st.joinGroup, Log: st.opts.Log})
}

// groupExists reports whether the state group is known to have a leader, or has sent its log to this replica.
func (st *Store) groupExists() bool {
	return st.view.LeaderReported() || len(st.group.Status().Voters) > 0
}

// becomeVoter bootstraps this replica if it is one of the initial voters. The list is durable before the replica votes.
func (st *Store) becomeVoter(ctx context.Context, voters []string) error {
	if !slices.Contains(voters, st.replicaID) {
		return st.joinGroup()
	}
	err := st.record.update(func(r *replicaRecord) {
		r.Voters = voters
		r.endCandidacy()
	})
	if err != nil {
		return err
	}
	return st.group.Bootstrap(ctx, voters)
}

// joinGroup lets this replica wait until the leader adds it to the group.
func (st *Store) joinGroup() error {
	return st.record.update((*replicaRecord).endCandidacy)
}

// Bootstrap implements rpc.PeerServer.
func (p peerServer) Bootstrap(ctx context.Context, r *rpc.BootstrapRequest) (*rpc.BootstrapReply, error) {
	return p.st.seed.Serve(ctx, r)
}
