package rpc

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	metricnoop "go.opentelemetry.io/otel/metric/noop"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	tracenoop "go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"fuchsiaflow/errs"
)

const (
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes = 16 << 20

	keepAliveTime    = 10 * time.Second // the least that a grpc-go client accepts
	keepAliveTimeout = 3 * time.Second  // also the TCP user timeout, which grpc-go sets from it
	minPingInterval  = 5 * time.Second  // half of keepAliveTime; a client that pings more often is disconnected
)

// ServerOptions configures NewServer. Token and Log are required.
type ServerOptions struct {
	Token          string
	Log            *slog.Logger
	TracerProvider trace.TracerProvider // nil: no spans
	// OnSender runs before each handler. The host uses it to catch up with a sender that has
	// a newer configuration. A failure refuses the call.
	OnSender func(context.Context, Sender) error
	// MaxMessageBytes replaces the constant when positive.
	MaxMessageBytes int
	// KeepAliveTime and KeepAliveTimeout replace the constants when positive. grpc-go raises
	// times below one second to one second.
	KeepAliveTime, KeepAliveTimeout time.Duration
}

// NewServer returns a gRPC server that checks the cluster token, puts the Sender into the
// context, converts failures and answers the probes of Pool. The caller registers Peer.
func NewServer(o ServerOptions) *grpc.Server {
	limit := orInt(o.MaxMessageBytes, MaxMessageBytes)
	s := grpc.NewServer(
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    orDuration(o.KeepAliveTime, keepAliveTime),
			Timeout: orDuration(o.KeepAliveTimeout, keepAliveTimeout),
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.MaxRecvMsgSize(limit),
		grpc.MaxSendMsgSize(limit),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.StatsHandler(otelgrpc.NewServerHandler(traceOptions(o.TracerProvider)...)),
		grpc.ChainUnaryInterceptor(o.unary),
		grpc.ChainStreamInterceptor(o.stream),
	)
	grpc_health_v1.RegisterHealthServer(s, health.NewServer())
	return s
}

func (o ServerOptions) admit(ctx context.Context, method string) (context.Context, error) {
	sender, err := incoming(ctx, o.Token)
	if err != nil {
		return nil, err
	}
	// Catching up may take long; a probe that waits for it would look like a silent connection.
	if o.OnSender != nil && method != grpc_health_v1.Health_Check_FullMethodName {
		if err := o.OnSender(ctx, sender); err != nil {
			return nil, err
		}
	}
	return context.WithValue(ctx, senderKey{}, sender), nil
}

func (o ServerOptions) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (reply any, err error) {
	defer func() { err = errs.GRPC(err) }()
	defer o.recover(info.FullMethod, &err)
	if ctx, err = o.admit(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func (o ServerOptions) stream(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
	defer func() { err = errs.GRPC(err) }()
	defer o.recover(info.FullMethod, &err)
	ctx, err := o.admit(ss.Context(), info.FullMethod)
	if err != nil {
		return err
	}
	return next(srv, &serverStream{ServerStream: ss, ctx: ctx})
}

// recover turns a panic of a handler into a failure of that call only.
func (o ServerOptions) recover(method string, err *error) {
	if v := recover(); v != nil {
		o.Log.Error("handler panicked", "method", method, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
		*err = &Panicked{Method: method, Value: fmt.Sprint(v)}
	}
}

type serverStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (s *serverStream) Context() context.Context { return s.ctx }

func traceOptions(tp trace.TracerProvider) []otelgrpc.Option {
	if tp == nil {
		tp = tracenoop.NewTracerProvider()
	}
	return []otelgrpc.Option{
		otelgrpc.WithTracerProvider(tp),
		otelgrpc.WithMeterProvider(metricnoop.NewMeterProvider()),
		otelgrpc.WithPropagators(propagation.TraceContext{}),
		otelgrpc.WithFilter(func(i *stats.RPCTagInfo) bool {
			return i.FullMethodName != grpc_health_v1.Health_Check_FullMethodName
		}),
	}
}

func orInt(v, preset int) int {
	if v > 0 {
		return v
	}
	return preset
}

func orDuration(v, preset time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return preset
}
