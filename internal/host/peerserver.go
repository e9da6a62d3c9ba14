package host

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/transport"
	"fuchsiaflow/routing"
)

// peerServer implements the service that hosts offer each other.
type peerServer struct {
	rpc.UnimplementedPeerServer
	domain   string
	addr     string
	server   *grpc.Server
	groups   *groups
	local    map[string]*group.Group
	config   *configService
	executor *executor
	targets  *targetService
	payloads *payloadStore
	work     *workService
	orders   *orderService
	inflight *inflight
	log      *slog.Logger
	stopping atomic.Bool
}

// Start implements kernel.Service.
func (s *peerServer) Start(_ context.Context, k *kernel.Kernel) error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return &errs.Unavailable{Resource: "peer address " + s.addr, Reason: err.Error()}
	}
	rpc.RegisterPeerServer(s.server, s)
	k.Go("peer/serve", func(context.Context) error {
		if err := s.server.Serve(listener); err != nil {
			return &errs.Unavailable{Resource: "peer server", Reason: err.Error()}
		}
		return nil
	})
	return nil
}

// streamGrace is the time that the open streams of consensus messages get to end after the
// last request. They carry nothing that consensus does not repeat.
const streamGrace = 300 * time.Millisecond

// Stop implements kernel.Service. It waits for the requests in progress until ctx ends.
func (s *peerServer) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.inflight.Wait(ctx)
	abort := time.AfterFunc(streamGrace, s.server.Stop)
	defer abort.Stop()
	s.server.GracefulStop()
	return nil
}

// Raft implements rpc.PeerServer.
func (s *peerServer) Raft(stream grpc.BidiStreamingServer[rpc.RaftRequest, rpc.RaftReply]) error {
	return transport.Receive(stream, func(name string) (transport.Replica, bool) {
		g, ok := s.local[name]
		return g, ok
	}, s.stopping.Load)
}

// Propose implements rpc.PeerServer.
func (s *peerServer) Propose(ctx context.Context, r *rpc.ProposeRequest) (*rpc.ProposeReply, error) {
	result, err := s.groups.proposeLocal(ctx, r.Group, r.Command)
	if err != nil {
		return nil, err
	}
	return &rpc.ProposeReply{Result: result}, nil
}

// compressAbove is the size from which the answer to a read is compressed. Whole
// configurations are above it. Each host reads one at each change, and uncompressed at 46,000
// changes a day they alone take more than the 5 KB/s that a host may spend on control.
const compressAbove = 1 << 10

// Read implements rpc.PeerServer.
func (s *peerServer) Read(ctx context.Context, r *rpc.ReadRequest) (*rpc.ReadReply, error) {
	result, err := s.groups.readLocal(ctx, r.Group, r.Query)
	if err != nil {
		return nil, err
	}
	if len(result) > compressAbove {
		_ = grpc.SetSendCompressor(ctx, gzip.Name) // fails when the caller cannot decompress
	}
	return &rpc.ReadReply{Result: result}, nil
}

// ChangeMember implements rpc.PeerServer.
func (s *peerServer) ChangeMember(ctx context.Context, r *rpc.ChangeMemberRequest) (*rpc.ChangeMemberReply, error) {
	return s.groups.changeLocal(ctx, r)
}

// catchUp makes a request wait until the sender's configuration is in force here, and counts
// it as in progress.
func (s *peerServer) catchUp(ctx context.Context) (done func(), err error) {
	done, err = s.inflight.Begin()
	if err != nil {
		return nil, err
	}
	sender, _ := rpc.SenderFrom(ctx)
	if err := s.config.CatchUp(ctx, sender.ConfigVersion); err != nil {
		done()
		return nil, err
	}
	return done, nil
}

// Generate implements rpc.PeerServer.
func (s *peerServer) Generate(r *rpc.GenerateRequest, stream grpc.ServerStreamingServer[rpc.GenerateChunk]) error {
	ctx, cancel := context.WithTimeout(stream.Context(), timeoutOf(r.TimeoutMs))
	defer cancel()
	done, err := s.catchUp(ctx)
	if err != nil {
		return err
	}
	defer done()
	return s.executor.Generate(ctx, &job{GenerateRequest: r, kind: routing.Desk}, stream.Send)
}

// Call implements rpc.PeerServer.
func (s *peerServer) Call(ctx context.Context, r *rpc.CallRequest) (*rpc.CallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(r.TimeoutMs))
	defer cancel()
	done, err := s.catchUp(ctx)
	if err != nil {
		return nil, err
	}
	defer done()
	return s.executor.Call(ctx, r)
}

func timeoutOf(ms int64) time.Duration {
	if ms <= 0 {
		return api.DefaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// LeaseWork implements rpc.PeerServer.
func (s *peerServer) LeaseWork(ctx context.Context, r *rpc.LeaseWorkRequest) (*rpc.LeaseWorkReply, error) {
	if s.work == nil || r.Domain != s.domain {
		return nil, s.groups.elsewhere(domainGroup(r.Domain))
	}
	sender, _ := rpc.SenderFrom(ctx)
	return s.work.LeaseWork(sender.Host, r)
}

// ReportWork implements rpc.PeerServer.
func (s *peerServer) ReportWork(ctx context.Context, r *rpc.ReportWorkRequest) (*rpc.ReportWorkReply, error) {
	if s.work == nil || r.Domain != s.domain {
		return nil, s.groups.elsewhere(domainGroup(r.Domain))
	}
	return s.work.ReportWork(ctx, r)
}

// PutPayload implements rpc.PeerServer.
func (s *peerServer) PutPayload(_ context.Context, r *rpc.PutPayloadRequest) (*rpc.PutPayloadReply, error) {
	for _, p := range r.Payloads {
		if payloadDigest(p.Data).String() != p.Digest {
			return nil, &errs.Corrupt{What: "payload " + p.Digest, Detail: "the digest does not match"}
		}
		if err := s.payloads.Put(p.Digest, p.Data); err != nil {
			return nil, err
		}
	}
	return &rpc.PutPayloadReply{}, nil
}

// GetPayload implements rpc.PeerServer.
func (s *peerServer) GetPayload(_ context.Context, r *rpc.GetPayloadRequest) (*rpc.GetPayloadReply, error) {
	reply := &rpc.GetPayloadReply{}
	for _, digest := range r.Digests {
		if data, ok := s.payloads.Get(digest); ok {
			reply.Payloads = append(reply.Payloads, &rpc.Payload{Digest: digest, Data: data})
		}
	}
	return reply, nil
}

// DropPayload implements rpc.PeerServer.
func (s *peerServer) DropPayload(_ context.Context, r *rpc.DropPayloadRequest) (*rpc.DropPayloadReply, error) {
	s.payloads.Drop(r.Digests)
	return &rpc.DropPayloadReply{}, nil
}

// Announce implements rpc.PeerServer.
func (s *peerServer) Announce(_ context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceReply, error) {
	if r.LeavingTarget != "" {
		return &rpc.AnnounceReply{}, s.targets.acceptLeave(r.LeavingTarget, r.LeavingIncarnation)
	}
	var a api.Announcement
	if err := json.Unmarshal(r.Announcement, &a); err != nil {
		return nil, &errs.Corrupt{What: "announcement", Detail: err.Error()}
	}
	return &rpc.AnnounceReply{}, s.targets.accept(a)
}

// CacheEvents implements rpc.PeerServer.
func (s *peerServer) CacheEvents(_ context.Context, r *rpc.CacheEventsRequest) (*rpc.CacheEventsReply, error) {
	var e api.CacheEvents
	if err := json.Unmarshal(r.Events, &e); err != nil {
		return nil, &errs.Corrupt{What: "cache events", Detail: err.Error()}
	}
	s.targets.acceptCacheEvents(r.Target, e)
	return &rpc.CacheEventsReply{}, nil
}

// ReportTargets implements rpc.PeerServer.
func (s *peerServer) ReportTargets(ctx context.Context, r *rpc.ReportTargetsRequest) (*rpc.ReportTargetsReply, error) {
	if s.orders == nil {
		return nil, s.groups.elsewhere(domainGroup(s.domain))
	}
	sender, _ := rpc.SenderFrom(ctx)
	return s.orders.Report(sender.Host, r)
}

// stampCommand sets the time of domain commands on the leader.
func stampCommand(name string, command []byte) []byte {
	if name == controlGroup {
		return command
	}
	return domainstate.Stamp(command, time.Now().UnixMilli())
}
