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

// call records whether the headers of a call were handed to a connection.
type call struct{ sent atomic.Bool }

type callKey struct{}

// convertError converts the error of a call to an errs.Failure. If the headers were not handed to a
// connection, the peer cannot have started the call, and the outcome is errs.NotRun. nil and io.EOF
// are returned unchanged.
func (c *call) convertError(operation string, err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	if c.sent.Load() {
		return errs.FromGRPC(operation, err)
	}
	var failure errs.Failure
	if errors.As(err, &failure) {
		return err
	}
	st := status.Convert(err)
	if st.Code() == codes.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded) {
		return &errs.Deadline{Operation: operation, Outcome: errs.NotRun}
	}
	return &errs.Unavailable{Resource: "peer for " + operation, Reason: st.Message(), Outcome: errs.NotRun}
}

// connActivity tracks the pending calls and the responses of a connection. It implements
// stats.Handler.
type connActivity struct {
	now          func() time.Time
	pending      atomic.Int64 // calls that were sent and have not ended
	lastActivity atomic.Int64 // last response or end of an idle period, Unix nanoseconds
	// unreachable is set when a call ends without having been handed to a connection, and cleared by the
	// next call that is.
	unreachable atomic.Bool
}

// TagRPC implements stats.Handler.
func (t *connActivity) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (t *connActivity) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (t *connActivity) HandleConn(context.Context, stats.ConnStats) {}

// HandleRPC implements stats.Handler.
func (t *connActivity) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, _ := ctx.Value(callKey{}).(*call)
	switch s := s.(type) {
	case *stats.OutHeader:
		t.unreachable.Store(false)
		// A transparent retry sends the headers of the same call twice, but the call ends once.
		if c != nil && c.sent.CompareAndSwap(false, true) && t.pending.Add(1) == 1 {
			t.lastActivity.Store(t.now().UnixNano())
		}
	case *stats.InHeader, *stats.InPayload, *stats.InTrailer:
		t.lastActivity.Store(t.now().UnixNano())
	case *stats.End:
		switch {
		case c != nil && c.sent.Load():
			t.pending.Add(-1)
		case status.Code(s.Error) == codes.Unavailable:
			t.unreachable.Store(true)
		}
	}
}

// unansweredFor returns how long the pending calls have been waiting without any response from the
// peer.
func (t *connActivity) unansweredFor() time.Duration {
	if t.pending.Load() == 0 {
		return 0
	}
	return t.now().Sub(time.Unix(0, t.lastActivity.Load()))
}

func (p *Pool) interceptUnary(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	if err := p.checkSize(method, req); err != nil {
		return err
	}
	c := &call{}
	ctx = context.WithValue(withSenderMetadata(ctx, p.options.Self(), p.options.Token), callKey{}, c)
	return c.convertError(method, invoke(ctx, method, req, reply, cc, opts...))
}

func (p *Pool) interceptStream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	c := &call{}
	ctx = context.WithValue(withSenderMetadata(ctx, p.options.Self(), p.options.Token), callKey{}, c)
	s, err := open(ctx, desc, cc, method, opts...)
	if err != nil {
		return nil, c.convertError(method, err)
	}
	return &clientStream{ClientStream: s, pool: p, call: c, method: method}, nil
}

// checkSize rejects a message that the peer would reject for its size, before anything is sent.
func (p *Pool) checkSize(method string, m any) error {
	maxBytes := intOrDefault(p.options.MaxMessageBytes, MaxMessageBytes)
	if pm, ok := m.(proto.Message); ok && proto.Size(pm) > maxBytes {
		return &errs.TooLarge{What: "message of " + method, Limit: int64(maxBytes)}
	}
	return nil
}

// clientStream checks message sizes and converts the errors of a stream.
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
	return s.call.convertError(s.method, s.ClientStream.SendMsg(m))
}

// RecvMsg implements grpc.ClientStream.
func (s *clientStream) RecvMsg(m any) error {
	return s.call.convertError(s.method, s.ClientStream.RecvMsg(m))
}

// CloseSend implements grpc.ClientStream.
func (s *clientStream) CloseSend() error {
	return s.call.convertError(s.method, s.ClientStream.CloseSend())
}
