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
	// MaxMessageBytes is the default size limit of a message in either direction.
	MaxMessageBytes = 16 << 20

	keepAliveTime    = 10 * time.Second // the minimum that a grpc-go client accepts
	keepAliveTimeout = 3 * time.Second  // grpc-go also sets TCP_USER_TIMEOUT to it
	minPingInterval  = 5 * time.Second  // half of keepAliveTime; clients that ping more often are disconnected

	// maxMetadataBytes limits the metadata of a call. Hosts send some hundred bytes.
	maxMetadataBytes = 16 << 10
)

// ServerOptions configures NewServer. Token and Log are required.
type ServerOptions struct {
	Token          string
	Log            *slog.Logger
	TracerProvider trace.TracerProvider // nil: no spans
	// BeforeHandler runs before each handler except health checks. It allows a host to
	// catch up with a sender that has a newer configuration. An error rejects the call.
	BeforeHandler func(context.Context, Sender) error
	// MaxMessageBytes overrides the default if positive.
	MaxMessageBytes int
	// KeepAliveTime and KeepAliveTimeout override the defaults if positive. grpc-go raises values
	// below one second to one second.
	KeepAliveTime, KeepAliveTimeout time.Duration
}

// NewServer returns a gRPC server that checks the cluster token, adds the Sender to the context,
// converts errors and serves the health checks of Pool. The caller registers the Peer service.
func NewServer(o ServerOptions) *grpc.Server {
	maxBytes := intOrDefault(o.MaxMessageBytes, MaxMessageBytes)
	s := grpc.NewServer(
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    durationOrDefault(o.KeepAliveTime, keepAliveTime),
			Timeout: durationOrDefault(o.KeepAliveTimeout, keepAliveTimeout),
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.MaxRecvMsgSize(maxBytes),
		grpc.MaxSendMsgSize(maxBytes),
		grpc.MaxHeaderListSize(maxMetadataBytes),
		grpc.StaticStreamWindowSize(flowControlWindowBytes),
		grpc.StaticConnWindowSize(flowControlWindowBytes),
		grpc.StatsHandler(otelgrpc.NewServerHandler(traceOptions(o.TracerProvider)...)),
		grpc.ChainUnaryInterceptor(o.interceptUnary),
		grpc.ChainStreamInterceptor(o.interceptStream),
	)
	grpc_health_v1.RegisterHealthServer(s, health.NewServer())
	return s
}

// admit authenticates a call, runs BeforeHandler and returns a context with the sender.
func (o ServerOptions) admit(ctx context.Context, method string) (context.Context, error) {
	sender, err := authenticateSender(ctx, o.Token)
	if err != nil {
		return nil, err
	}
	// BeforeHandler may take long. If health checks waited for it, the connection would look
	// unresponsive.
	if o.BeforeHandler != nil && method != grpc_health_v1.Health_Check_FullMethodName {
		if err := o.BeforeHandler(ctx, sender); err != nil {
			return nil, err
		}
	}
	return context.WithValue(ctx, senderKey{}, sender), nil
}

func (o ServerOptions) interceptUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (reply any, err error) {
	defer func() { err = errs.ToGRPC(err) }()
	defer o.recoverPanic(info.FullMethod, &err)
	if ctx, err = o.admit(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func (o ServerOptions) interceptStream(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
	defer func() { err = errs.ToGRPC(err) }()
	defer o.recoverPanic(info.FullMethod, &err)
	ctx, err := o.admit(ss.Context(), info.FullMethod)
	if err != nil {
		return err
	}
	return next(srv, &serverStream{ServerStream: ss, ctx: ctx})
}

// recoverPanic converts a panic of a handler into an error of its call.
func (o ServerOptions) recoverPanic(method string, err *error) {
	if v := recover(); v != nil {
		o.Log.Error("handler panicked", "method", method, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
		*err = &PanicError{Method: method, Value: fmt.Sprint(v)}
	}
}

// serverStream overrides the context of a stream.
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

func intOrDefault(v, defaultValue int) int {
	if v > 0 {
		return v
	}
	return defaultValue
}

func durationOrDefault(v, defaultValue time.Duration) time.Duration {
	if v > 0 {
		return v
	}
	return defaultValue
}
