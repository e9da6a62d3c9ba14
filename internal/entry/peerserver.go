package entry

import (
	"context"

	"google.golang.org/grpc"

	"fuchsiaflow/bootstrap"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootstraprpc"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rolehost"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/storestate"
)

// peerServer implements the methods of the gRPC service Peer that other hosts call on a seed: any host that serves the
// control interface may be one.
type peerServer struct {
	rpc.UnimplementedPeerServer
	e    *Entry
	grpc *grpc.Server
	done chan struct{} // closed when the host stops
}

func newPeerServer(e *Entry) *peerServer { return &peerServer{e: e, done: make(chan struct{})} }

// Start implements kernel.Service.
func (p *peerServer) Start(_ context.Context, k *kernel.Kernel) error {
	s := p.e.opts.Settings
	if s.Listen.Control == "" {
		return nil
	}
	p.grpc = rolehost.NewGRPCServer(p.e.opts.Log, p.e.opts.Tracing)
	return rolehost.ServePeers(k, s, p.grpc, p)
}

// Stop implements kernel.Service. Nothing that the server sends is needed later.
func (p *peerServer) Stop(context.Context) error {
	close(p.done)
	if p.grpc != nil {
		p.grpc.Stop()
	}
	return nil
}

// Watch implements rpc.PeerServer.
func (p *peerServer) Watch(r *rpc.WatchRequest, stream grpc.ServerStreamingServer[rpc.WatchEvent]) error {
	return clusterview.ServeDirectory(p.e.view, r, stream, p.done)
}

// Propose implements rpc.PeerServer.
func (p *peerServer) Propose(_ context.Context, r *rpc.ProposeRequest) (*rpc.ProposeReply, error) {
	return nil, p.notLeader(r.Group)
}

// Read implements rpc.PeerServer.
func (p *peerServer) Read(_ context.Context, r *rpc.ReadRequest) (*rpc.ReadReply, error) {
	return nil, p.notLeader(r.Group)
}

// notLeader returns errs.NotLeader with the address of the leader that this host knows.
func (p *peerServer) notLeader(group string) error {
	leader, _ := p.e.view.Leader()
	return &errs.NotLeader{Group: group, Leader: clusterview.ReplicaIP(leader)}
}

// Present implements rpc.PeerServer.
func (p *peerServer) Present(context.Context, *rpc.PresentRequest) (*rpc.PresentReply, error) {
	return nil, p.notLeader(storestate.Group)
}

// DemandShare implements rpc.PeerServer.
func (p *peerServer) DemandShare(context.Context, *rpc.DemandShareRequest) (*rpc.DemandShareReply, error) {
	return nil, p.notLeader(storestate.Group)
}

// newSeed returns the seed of a host. Its state ends with the process, so it takes part in the choice of the initial voters of the
// state group only in the process that the first start of the system has started.
func newSeed(s *settings.Role) *bootstraprpc.Seed {
	var state *bootstrap.AcceptorState
	if s.Bootstrap && s.IsSeed() {
		state = &bootstrap.AcceptorState{ID: clusterview.RandomIdentity()}
	}
	return bootstraprpc.NewSeed(state, nil)
}

// Bootstrap implements rpc.PeerServer.
func (p *peerServer) Bootstrap(ctx context.Context, r *rpc.BootstrapRequest) (*rpc.BootstrapReply, error) {
	return p.e.seed.Serve(ctx, r)
}
