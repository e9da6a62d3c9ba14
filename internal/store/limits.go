package store

import (
	"context"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/limits"
)

// DemandShare implements rpc.PeerServer.
func (p peerServer) DemandShare(ctx context.Context, r *rpc.DemandShareRequest) (*rpc.DemandShareReply, error) {
	d, err := clusterview.Decode[ratelimit.Demand]("demand for a share of a limit", r.Demand)
	if err != nil {
		return nil, err
	}
	sender, ok := rpc.SenderFromContext(ctx)
	if !ok {
		return nil, &errs.Unauthenticated{Realm: "peers"}
	}
	g, err := p.st.demandShare(sender.Host, &d)
	if err != nil {
		return nil, err
	}
	return &rpc.DemandShareReply{Grant: clusterview.Encode(g)}, nil
}

// DemandShare implements stateclient.LocalReplica.
func (st *Store) DemandShare(d ratelimit.Demand) (ratelimit.Grant, error) {
	return st.demandShare(st.replicaID, &d)
}

// demandShare records the limits and the capacity of targets that a host has learned of, and grants it a share of the one that it asks for. Only
// the holder of the leader lease grants, so that no two hosts grant the same requests.
func (st *Store) demandShare(host string, d *ratelimit.Demand) (ratelimit.Grant, error) {
	st.view.MergeRateLimits(d.Limits, host)
	if !st.group.IsLeader() || st.stopping() {
		return ratelimit.Grant{}, st.notLeader()
	}
	st.view.AddCapacity(d.Capacity)
	if d.Limit == nil {
		return ratelimit.Grant{}, nil
	}
	now := bootclock.Now()
	if _, ok := st.group.Lease(now); !ok {
		return ratelimit.Grant{}, &errs.Unavailable{Resource: "leader lease", Reason: "a new leader waits for it", Outcome: errs.NotRun}
	}
	limit, ok := st.view.RateLimit(d.Limit.Target, d.Limit.Incarnation)
	if !ok { // it has ended
		return ratelimit.Grant{Share: limits.Share{Key: d.Share.Key, Seq: d.Share.Seq, Held: d.Share.Want, TTL: ratelimit.LeaseTTL}}, nil
	}
	return st.rateLimits.Lease(now, st.leadership(), host, &limit, d.Share)
}

// leadership returns the present leadership of this replica. The lease of an earlier leader ends within electionTimeout
// after the election.
func (st *Store) leadership() ratelimit.Leadership {
	_, term, _ := st.group.Leader()
	return ratelimit.Leadership{Term: term, Since: time.Unix(0, st.leaderSince.Load()).Add(electionTimeout)}
}
