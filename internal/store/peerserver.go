package store

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rolehost"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/internal/transport"
)

// maxResultWait bounds the wait of a query for a result.
const maxResultWait = time.Second

// peerServer implements the methods of the gRPC service Peer that store hosts provide.
type peerServer struct {
	rpc.UnimplementedPeerServer
	st *Store
}

// Start implements kernel.Service.
func (p peerServer) Start(_ context.Context, k *kernel.Kernel) error {
	return rolehost.ServePeers(k, p.st.opts.Settings, p.st.grpc, p)
}

// streamCloseTimeout is how long Stop waits for open streams. Everything they carry is sent again.
const streamCloseTimeout = 200 * time.Millisecond

// Stop implements kernel.Service.
func (p peerServer) Stop(context.Context) error {
	abort := time.AfterFunc(streamCloseTimeout, p.st.grpc.Stop)
	defer abort.Stop()
	p.st.grpc.GracefulStop()
	return nil
}

// Raft implements rpc.PeerServer.
func (p peerServer) Raft(stream grpc.BidiStreamingServer[rpc.RaftRequest, rpc.RaftReply]) error {
	return transport.Receive(stream, func(name string) (transport.Replica, bool) {
		return p.st.group, name == storestate.Group
	}, p.st.stopping)
}

// Propose implements rpc.PeerServer.
func (p peerServer) Propose(ctx context.Context, r *rpc.ProposeRequest) (*rpc.ProposeReply, error) {
	if r.Group != storestate.Group {
		return nil, &errs.NotFound{Kind: "group", ID: r.Group}
	}
	out, err := p.st.Propose(ctx, r.Command)
	if err != nil {
		return nil, err
	}
	return &rpc.ProposeReply{Result: out}, nil
}

// Read implements rpc.PeerServer.
func (p peerServer) Read(ctx context.Context, r *rpc.ReadRequest) (*rpc.ReadReply, error) {
	if r.Group != storestate.Group {
		return nil, &errs.NotFound{Kind: "group", ID: r.Group}
	}
	out, err := p.st.Read(ctx, r.Query)
	if err != nil {
		return nil, err
	}
	return &rpc.ReadReply{Result: out}, nil
}

// Watch implements rpc.PeerServer.
func (p peerServer) Watch(r *rpc.WatchRequest, stream grpc.ServerStreamingServer[rpc.WatchEvent]) error {
	return clusterview.Serve(p.st.view, r, stream, p.st)
}

// Describe implements clusterview.Source. Only the leader knows which store hosts are live.
func (st *Store) Describe(e *clusterview.Event) {
	e.From = st.self()
	e.Voters = st.group.Status().Voters
	if st.group.IsLeader() {
		e.Stores = st.stores.live()
	}
}

// Done implements clusterview.Source.
func (st *Store) Done() <-chan struct{} { return st.done }

// Present implements rpc.PeerServer.
func (p peerServer) Present(ctx context.Context, r *rpc.PresentRequest) (*rpc.PresentReply, error) {
	s, err := clusterview.Decode[clusterview.StoreHost]("store host", r.Store)
	if err != nil {
		return nil, err
	}
	if err := p.st.Present(ctx, s); err != nil {
		return nil, err
	}
	return &rpc.PresentReply{}, nil
}

// Propose implements stateclient.LocalReplica.
func (st *Store) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if !st.group.IsLeader() || st.stopping() {
		return nil, st.notLeader()
	}
	if err := st.admitCommand(command); err != nil {
		return nil, err
	}
	return st.group.Propose(ctx, command)
}

// notLeader returns errs.NotLeader with the address of the leader, or without one if the known leader is
// this replica itself.
func (st *Store) notLeader() error {
	leader, _, _ := st.group.Leader()
	if leader == st.replicaID {
		leader = ""
	}
	return &errs.NotLeader{Group: storestate.Group, Leader: clusterview.ReplicaIP(leader)}
}

// Read implements stateclient.LocalReplica.
func (st *Store) Read(ctx context.Context, query []byte) ([]byte, error) {
	q, err := clusterview.Decode[storestate.Query]("query", query)
	if err != nil {
		return nil, err
	}
	if q.Results != nil && q.Results.WaitMs > 0 {
		st.waitForResult(ctx, q.Results)
	}
	if !st.group.IsLeader() || st.stopping() {
		return nil, st.notLeader()
	}
	if err := st.group.Barrier(ctx); err != nil {
		return nil, err
	}
	var a storestate.Answer
	var out []byte
	st.stateMachine.View(func(s *storestate.State) {
		a = s.Answer(&q)
		if q.Retirement == nil {
			out = storestate.Encode(a)
		}
	})
	if q.Retirement != nil {
		if err := st.answerRetire(&a, q.Retirement.Host); err != nil {
			return nil, err
		}
		out = storestate.Encode(a)
	}
	return out, nil
}

// waitForResult waits until there is a result at the position, none can follow any more, the wait has
// expired, the host stops, or this replica no longer leads.
func (st *Store) waitForResult(ctx context.Context, q *storestate.ReadPage) {
	timer := time.NewTimer(min(time.Duration(q.WaitMs)*time.Millisecond, maxResultWait))
	defer timer.Stop()
	for st.group.IsLeader() {
		changed := st.stateMachine.Changed()
		done := true
		st.stateMachine.View(func(s *storestate.State) {
			if e, ok := s.Jobs().Find(q.Key()); ok {
				done = q.Position < len(e.Results) || !e.IsOpen()
			}
		})
		if done {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-st.done:
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// answerRetire completes the answer to a ReadRetirement with what the leader knows about the host. Whether
// the host is empty is decided by the committed membership alone, because a new leader has not
// received the announcements of all hosts yet.
func (st *Store) answerRetire(a *storestate.Answer, host string) error {
	if a.Retiring {
		a.Emptied = hasNoReplica(a.Address, st.group.Status())
		return nil
	}
	since := st.leaderSince.Load()
	if since == 0 || bootclock.Now().Sub(time.Unix(0, since)) < newLeaderDelay {
		return &errs.Unavailable{Resource: "list of store hosts", Reason: "the leader was elected recently", Outcome: errs.NotRun}
	}
	s, known := st.stores.latest(host)
	if !known {
		a.NotFound = true
		return nil
	}
	a.Address = s.IP()
	var retiring map[string]string
	st.stateMachine.View(func(s *storestate.State) { retiring = s.Retiring() })
	others := 0
	for _, other := range st.stores.live() {
		if other.Host != host && retiring[other.Host] == "" {
			others++
		}
	}
	a.TooFew = others < st.opts.Settings.VoterCount()
	return nil
}

// hasNoReplica reports whether the committed membership has no replica on the host at address. It is
// false while a membership change is not committed, because an earlier membership may be in force.
func hasNoReplica(address string, s consensus.Status) bool {
	onHost := func(id string) bool { return clusterview.ReplicaIP(id) == address }
	return s.ConfCommitted && !slices.ContainsFunc(s.Voters, onHost) && !slices.ContainsFunc(s.Learners, onHost)
}
