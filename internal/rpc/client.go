package rpc

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"fuchsiaflow/errs"
)

// call records whether a call was handed to a connection.
type call struct{ sent atomic.Bool }

type callKey struct{}

// failure converts the error of a call. As long as no header was handed to a connection,
// the peer cannot have started the call.
func (c *call) failure(operation string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	if c.sent.Load() {
		return errs.FromGRPC(operation, err)
	}
	var f errs.Failure
	if errors.As(err, &f) {
		return err
	}
	st := status.Convert(err)
	if st.Code() == codes.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded) {
		return &errs.Deadline{Operation: operation, Result: errs.NotRun}
	}
	return &errs.Unavailable{Resource: "peer for " + operation, Reason: st.Message(), Result: errs.NotRun}
}

// traffic observes the calls of one connection. It implements stats.Handler.
type traffic struct {
	now     func() time.Time
	pending atomic.Int64
	heard   atomic.Int64 // when the peer last answered or the last idle period ended, Unix nanoseconds
}

// TagRPC implements stats.Handler.
func (t *traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (t *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *traffic) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (t *traffic) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, _ := ctx.Value(callKey{}).(*call)
	switch s.(type) {
	case *stats.OutHeader:
		// A transparent retry hands the same call over twice but ends once.
		if c != nil && c.sent.CompareAndSwap(false, true) && t.pending.Add(1) == 1 {
			t.heard.Store(t.now().UnixNano())
		}
	case *stats.InHeader, *stats.InPayload, *stats.InTrailer:
		t.heard.Store(t.now().UnixNano())
	case *stats.End:
		if c != nil && c.sent.Load() {
			t.pending.Add(-1)
		}
	}
}

// silentFor returns how long calls have been waiting without any answer from the peer.
func (t *traffic) silentFor() time.Duration {
	if t.pending.Load() == 0 {
		return 0
	}
	return t.now().Sub(time.Unix(0, t.heard.Load()))
}

func (p *Pool) unary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	if err := p.checkSize(method, req); err != nil {
		return err
	}
	c := &call{}
	ctx = context.WithValue(outgoing(ctx, p.o.Self(), p.o.Token), callKey{}, c)
	return c.failure(method, invoke(ctx, method, req, reply, cc, opts...))
}

func (p *Pool) stream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	c := &call{}
	ctx = context.WithValue(outgoing(ctx, p.o.Self(), p.o.Token), callKey{}, c)
	s, err := open(ctx, desc, cc, method, opts...)
	if err != nil {
		return nil, c.failure(method, err)
	}
	return &clientStream{ClientStream: s, pool: p, call: c, method: method}, nil
}

// checkSize refuses a message that the peer would refuse, before anything is sent.
func (p *Pool) checkSize(method string, m any) error {
	limit := orInt(p.o.MaxMessageBytes, MaxMessageBytes)
	if pm, ok := m.(proto.Message); ok && proto.Size(pm) > limit {
		return &errs.TooLarge{What: "message of " + method, Limit: int64(limit)}
	}
	return nil
}

// clientStream converts the failures of a stream.
type clientStream struct {
	grpc.ClientStream
	pool   *Pool
	call   *call
	method string
}

// SendMsg implements grpc.ClientStream.
func (s *clientStream) SendMsg(m any) error {
	if err := s.pool.checkSize(s.method, m); err != nil {
		return err
	}
	return s.call.failure(s.method, s.ClientStream.SendMsg(m))
}

// RecvMsg implements grpc.ClientStream.
func (s *clientStream) RecvMsg(m any) error {
	return s.call.failure(s.method, s.ClientStream.RecvMsg(m))
}

// CloseSend implements grpc.ClientStream.
func (s *clientStream) CloseSend() error {
	return s.call.failure(s.method, s.ClientStream.CloseSend())
}
