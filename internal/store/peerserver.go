package store

import (
	"context"
	"net"
	"slices"
	"time"

	"google.golang.org/grpc"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/internal/transport"
)

// maxWait bounds how long a query waits for a result.
const maxWait = time.Second

// peerServer implements the part of the service between hosts that store hosts offer.
type peerServer struct {
	rpc.UnimplementedPeerServer
	st *Store
}

// Start implements kernel.Service.
func (p peerServer) Start(_ context.Context, k *kernel.Kernel) error {
	s := p.st.o.Settings
	listener, err := net.Listen("tcp", clusterview.Address(s.IP, s.PeerListen()))
	if err != nil {
		return &errs.Unavailable{Resource: "peer address", Reason: err.Error()}
	}
	rpc.RegisterPeerServer(p.st.grpc, p)
	k.Go("peer/serve", func(context.Context) error {
		if err := p.st.grpc.Serve(listener); err != nil {
			return &errs.Unavailable{Resource: "peer server", Reason: err.Error()}
		}
		return nil
	})
	return nil
}

// streamGrace is the time that open streams get to end; they carry nothing that is not repeated.
const streamGrace = 200 * time.Millisecond

// Stop implements kernel.Service.
func (p peerServer) Stop(context.Context) error {
	abort := time.AfterFunc(streamGrace, p.st.grpc.Stop)
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

// Describe implements mesh.Source. Only the leader knows which store hosts live.
func (st *Store) Describe(e *clusterview.Event) {
	e.From = st.self()
	e.Voters = st.group.Status().Voters
	if st.group.IsLeader() {
		e.Stores = st.present.live()
	}
}

// Done implements mesh.Source.
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

// Propose implements statecall.Local.
func (st *Store) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if !st.group.IsLeader() || st.stopping() {
		return nil, st.notLeader()
	}
	if err := st.admit(command); err != nil {
		return nil, err
	}
	return st.group.Propose(ctx, command)
}

func (st *Store) notLeader() error {
	id, _, _ := st.group.Leader()
	if id == st.disk.ID {
		id = ""
	}
	return &errs.NotLeader{Group: storestate.Group, Leader: clusterview.ReplicaIP(id)}
}

// Read implements statecall.Local.
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
	st.machine.View(func(s *storestate.State) {
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

// waitForResult returns when there is a result at the position, when none can come any more, or
// when the wait is over.
func (st *Store) waitForResult(ctx context.Context, q *storestate.ReadPage) {
	timer := time.NewTimer(min(time.Duration(q.WaitMs)*time.Millisecond, maxWait))
	defer timer.Stop()
	for st.group.IsLeader() {
		changed := st.machine.Changed()
		ready := true
		st.machine.View(func(s *storestate.State) {
			if e, ok := s.Jobs().Entry(q.Job); ok {
				ready = q.Position < len(e.Results) || !e.IsOpen()
			}
		})
		if ready {
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

// answerRetire adds what the leader knows of a store host. Whether the host is empty follows from
// the committed membership alone: a new leader has not heard of all hosts yet.
func (st *Store) answerRetire(a *storestate.Answer, host string) error {
	if a.Retiring {
		a.Emptied = emptied(a.Address, st.group.Status())
		return nil
	}
	since := st.leaderSince.Load()
	if since == 0 || bootclock.Now().Sub(time.Unix(0, since)) < settleTime {
		return &errs.Unavailable{Resource: "list of store hosts", Reason: "the leader is new", Result: errs.NotRun}
	}
	s, known := st.present.host(host)
	if !known {
		a.NotFound = true
		return nil
	}
	a.Address = s.IP()
	var retiring map[string]string
	st.machine.View(func(s *storestate.State) { retiring = s.Retiring() })
	others := 0
	for _, o := range st.present.live() {
		if o.Host != host && retiring[o.Host] == "" {
			others++
		}
	}
	a.TooFew = others < st.o.Settings.Voters()
	return nil
}

// emptied tells whether no replica of the host at an address is a member of the group, and no
// membership in which one is can be in force.
func emptied(address string, s consensus.Status) bool {
	member := func(id string) bool { return clusterview.ReplicaIP(id) == address }
	return s.ConfCommitted && !slices.ContainsFunc(s.Voters, member) && !slices.ContainsFunc(s.Learners, member)
}
