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

// peerServer serves the calls of other hosts. The fields work and loadOrders are nil on hosts that
// do not vote in their domain group.
type peerServer struct {
	rpc.UnimplementedPeerServer
	domain     string
	addr       string
	server     *grpc.Server
	groups     *groupClient
	local      map[string]*group.Group
	config     *configService
	executor   *executor
	targets    *targetService
	payloads   *payloadStore
	work       *workService
	loadOrders *loadOrderService
	inflight   *requestCounter
	log        *slog.Logger
	stopping   atomic.Bool
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

// streamCloseTimeout limits how long open Raft streams may take to end after the last request. They
// may be aborted safely, because the consensus protocol retransmits lost messages.
const streamCloseTimeout = 300 * time.Millisecond

// Stop implements kernel.Service. It waits until the requests in progress end or ctx ends.
func (s *peerServer) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.inflight.Wait(ctx)
	abort := time.AfterFunc(streamCloseTimeout, s.server.Stop)
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

// compressionThreshold is the size in bytes above which the answer to a read is compressed. Full
// configurations are larger. Each host reads one at each change: without compression, 46,000
// changes a day alone exceed the budget of 5 KB/s for control traffic per host.
const compressionThreshold = 1 << 10

// Read implements rpc.PeerServer.
func (s *peerServer) Read(ctx context.Context, r *rpc.ReadRequest) (*rpc.ReadReply, error) {
	result, err := s.groups.readLocal(ctx, r.Group, r.Query)
	if err != nil {
		return nil, err
	}
	if len(result) > compressionThreshold {
		_ = grpc.SetSendCompressor(ctx, gzip.Name) // fails if the caller doesn't support gzip
	}
	return &rpc.ReadReply{Result: result}, nil
}

// ChangeMember implements rpc.PeerServer.
func (s *peerServer) ChangeMember(ctx context.Context, r *rpc.ChangeMemberRequest) (*rpc.ChangeMemberReply, error) {
	return s.groups.changeLocal(ctx, r)
}

// beginRequest counts a request as in progress until done is called, and waits until this host has
// activated the configuration of the sender.
func (s *peerServer) beginRequest(ctx context.Context) (done func(), err error) {
	done, err = s.inflight.Begin()
	if err != nil {
		return nil, err
	}
	sender, _ := rpc.SenderFromContext(ctx)
	if err := s.config.WaitForVersion(ctx, sender.ConfigVersion); err != nil {
		done()
		return nil, err
	}
	return done, nil
}

// Generate implements rpc.PeerServer.
func (s *peerServer) Generate(r *rpc.GenerateRequest, stream grpc.ServerStreamingServer[rpc.GenerateChunk]) error {
	ctx, cancel := context.WithTimeout(stream.Context(), requestTimeout(r.TimeoutMs))
	defer cancel()
	done, err := s.beginRequest(ctx)
	if err != nil {
		return err
	}
	defer done()
	return s.executor.Generate(ctx, &dispatchRequest{GenerateRequest: r, kind: routing.Desk}, stream.Send)
}

// Call implements rpc.PeerServer.
func (s *peerServer) Call(ctx context.Context, r *rpc.CallRequest) (*rpc.CallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout(r.TimeoutMs))
	defer cancel()
	done, err := s.beginRequest(ctx)
	if err != nil {
		return nil, err
	}
	defer done()
	return s.executor.Call(ctx, r)
}

// requestTimeout converts a timeout from milliseconds. Values below 1 mean the default.
func requestTimeout(ms int64) time.Duration {
	if ms <= 0 {
		return api.DefaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// LeaseWork implements rpc.PeerServer.
func (s *peerServer) LeaseWork(ctx context.Context, r *rpc.LeaseWorkRequest) (*rpc.LeaseWorkReply, error) {
	if s.work == nil || r.Domain != s.domain {
		return nil, s.groups.notLeaderError(domainGroup(r.Domain))
	}
	sender, _ := rpc.SenderFromContext(ctx)
	return s.work.LeaseWork(sender.Host, r)
}

// ReportWork implements rpc.PeerServer.
func (s *peerServer) ReportWork(ctx context.Context, r *rpc.ReportWorkRequest) (*rpc.ReportWorkReply, error) {
	if s.work == nil || r.Domain != s.domain {
		return nil, s.groups.notLeaderError(domainGroup(r.Domain))
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
	return &rpc.AnnounceReply{}, s.targets.acceptAnnouncement(a)
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
	if s.loadOrders == nil {
		return nil, s.groups.notLeaderError(domainGroup(s.domain))
	}
	sender, _ := rpc.SenderFromContext(ctx)
	return s.loadOrders.Report(sender.Host, r)
}

// stampCommand sets the time of a command of a domain group. The leader calls it before it proposes
// the command.
func stampCommand(name string, command []byte) []byte {
	if name == controlGroup {
		return command
	}
	return domainstate.Stamp(command, time.Now().UnixMilli())
}
