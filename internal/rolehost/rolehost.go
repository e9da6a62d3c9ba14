// Package rolehost has what hosts of every role need: the gRPC server and client pool, HTTP
// servers, and the metrics address.
package rolehost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/settings"
)

const (
	// peerToken keeps out callers that are no hosts of the service. The deployment's network
	// keeps out the others; it gives hosts no secret.
	peerToken = "fuchsiaflow"
	// maxMessageBytes bounds a message between hosts: a snapshot with the results of some
	// minutes.
	maxMessageBytes = 64 << 20
	// silenceBeforeProbe and probeTimeout replace a silent connection within a second.
	silenceBeforeProbe = 500 * time.Millisecond
	probeTimeout       = 500 * time.Millisecond
	// dialTimeout bounds a new connection between hosts that are a few milliseconds apart. The
	// opening packet to a host without power is lost, and the kernel sends it again only after a
	// second.
	dialTimeout = 300 * time.Millisecond
	// maxDialBackoff bounds the pause between two attempts to connect to a host that is down.
	maxDialBackoff = 400 * time.Millisecond
	// idleTimeout is how long an HTTP server keeps an idle connection. It exceeds the longest
	// idle time that clients are told of, so that they never meet a closed connection.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds the reading of the head of a request.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// NewPool returns the client pool of a host.
func NewPool(s *settings.Role, self string, log *slog.Logger, tracing *observe.Tracing) *rpc.Pool {
	incarnation := rand.Uint64()
	return rpc.NewPool(rpc.Options{
		Self:    func() rpc.Sender { return rpc.Sender{Host: self, Incarnation: incarnation} },
		Token:   peerToken,
		Address: func(host string) (string, bool) { return clusterview.Address(host, s.PeerPort), true },
		Log:     log, MaxMessageBytes: maxMessageBytes, SilenceBeforeProbe: silenceBeforeProbe, ProbeTimeout: probeTimeout,
		DialTimeout: dialTimeout, MaxDialBackoff: maxDialBackoff, TracerProvider: tracing.Provider(),
	})
}

// NewServer returns the gRPC server of a host.
func NewServer(log *slog.Logger, tracing *observe.Tracing) *grpc.Server {
	return rpc.NewServer(rpc.ServerOptions{Token: peerToken, Log: log, MaxMessageBytes: maxMessageBytes, TracerProvider: tracing.Provider()})
}

// HTTPServer returns a server for a handler.
func HTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, IdleTimeout: idleTimeout, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
}

// Serve runs a server until it is shut down.
func Serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		return &errs.Unavailable{Resource: "HTTP server", Reason: err.Error()}
	}
	return nil
}

// StopServer ends a server after the requests in progress; nil is allowed.
func StopServer(ctx context.Context, s *http.Server) error {
	if s == nil {
		return nil
	}
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close()
		return &errs.Deadline{Operation: "shutdown of an HTTP server", Result: errs.Ran}
	}
	return nil
}

// ViewMetrics adds what a host believes about the others to its metrics.
func ViewMetrics(m *observe.Metrics, v *clusterview.View) {
	for _, state := range []fleet.State{fleet.Ready, fleet.Draining, fleet.Gone} {
		m.GaugeFunc("targets_"+string(state), "Known targets in the state "+string(state)+".", func() float64 { return float64(v.CountTargets(state)) })
	}
	m.GaugeFunc("leader_age_seconds", "Time since a store host last said that it knows the leader of the state group.",
		func() float64 { return v.LeaderAge().Seconds() })
	m.GaugeFunc("config_version", "Version of the configuration in force.", func() float64 {
		if t := v.Table(); t != nil {
			return float64(t.Config.Version)
		}
		return 0
	})
}

// metricsService serves metrics.
type metricsService struct {
	address string
	metrics *observe.Metrics
	server  *http.Server
}

// Metrics returns a service that serves metrics at an address; an empty one serves none.
func Metrics(address string, m *observe.Metrics) any {
	return &metricsService{address: address, metrics: m}
}

// Start implements kernel.Service.
func (s *metricsService) Start(_ context.Context, k *kernel.Kernel) error {
	if s.address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return &errs.Unavailable{Resource: "metrics address " + s.address, Reason: err.Error()}
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.metrics.Handler())
	s.server = HTTPServer(mux)
	k.Go("metrics/serve", func(context.Context) error { return Serve(s.server, listener) })
	return nil
}

// Stop implements kernel.Service.
func (s *metricsService) Stop(ctx context.Context) error { return StopServer(ctx, s.server) }
