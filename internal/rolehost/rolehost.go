// Package rolehost has what hosts of all roles share: the gRPC server and client pool, HTTP
// servers and the metrics endpoint.
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
	"fuchsiaflow/internal/headguard"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/settings"
)

const (
	// peerToken rejects stray callers that are not hosts of this system. It is no secret: the
	// deployment provides none, and its network keeps other callers out.
	peerToken = "fuchsiaflow"
	// maxMessageBytes limits a message between hosts. The largest is a snapshot with the results
	// of some minutes.
	maxMessageBytes = 64 << 20
	// A connection that is silent for keepaliveTime is probed, and replaced if it stays silent for
	// keepaliveTimeout: within a second in total.
	keepaliveTime    = 500 * time.Millisecond
	keepaliveTimeout = 500 * time.Millisecond
	// dialTimeout limits connecting to a host, which is a few milliseconds away. The SYN to a host
	// that is powered off is lost, and the operating system retransmits it only after a second.
	dialTimeout = 300 * time.Millisecond
	// maxDialBackoff limits the delay between two attempts to connect to a host that is down.
	maxDialBackoff = 400 * time.Millisecond
	// idleTimeout is how long an HTTP server keeps an idle connection. It exceeds the longest idle
	// time announced to clients, so that they never reuse a closed connection.
	idleTimeout = 60 * time.Second
	// readHeaderTimeout limits the time for reading the header of a request.
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// NewClientPool returns the pool of gRPC clients to the other hosts.
func NewClientPool(s *settings.Role, self string, log *slog.Logger, tracing *observe.Tracing) *rpc.Pool {
	incarnation := rand.Uint64()
	return rpc.NewPool(rpc.Options{
		Self:    func() rpc.Sender { return rpc.Sender{Host: self, Incarnation: incarnation} },
		Token:   peerToken,
		Address: func(host string) (string, bool) { return clusterview.Address(host, s.PeerPort), true },
		Log:     log, MaxMessageBytes: maxMessageBytes, SilenceBeforeProbe: keepaliveTime, ProbeTimeout: keepaliveTimeout,
		DialTimeout: dialTimeout, MaxDialBackoff: maxDialBackoff, TracerProvider: tracing.Provider(),
	})
}

// NewGRPCServer returns the gRPC server of a host.
func NewGRPCServer(log *slog.Logger, tracing *observe.Tracing) *grpc.Server {
	return rpc.NewServer(rpc.ServerOptions{Token: peerToken, Log: log, MaxMessageBytes: maxMessageBytes, TracerProvider: tracing.Provider()})
}

// ServePeers serves the calls of other hosts with a gRPC server, in a task of the kernel.
func ServePeers(k *kernel.Kernel, s *settings.Role, server *grpc.Server, peers rpc.PeerServer) error {
	listener, err := net.Listen("tcp", clusterview.Address(s.IP, s.EffectivePeerListenPort()))
	if err != nil {
		return &errs.Unavailable{Resource: "peer address", Reason: err.Error()}
	}
	rpc.RegisterPeerServer(server, peers)
	k.Go("peer/serve", func(context.Context) error {
		if err := server.Serve(listener); err != nil {
			return &errs.Unavailable{Resource: "peer server", Reason: err.Error()}
		}
		return nil
	})
	return nil
}

// NewHTTPServer returns an HTTP server for a handler, with the limits that all roles share.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, IdleTimeout: idleTimeout, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
}

// NewGuard returns the guard of all HTTP servers of a host.
func NewGuard(s *settings.Role, log *slog.Logger, m *observe.Metrics) *headguard.Guard {
	return headguard.New(headguard.LimitsFor(s.MemoryBytes, s.MaxOpenFiles), log, m)
}

// Serve runs a server on a listener of the given name until it is shut down.
func Serve(g *headguard.Guard, name string, s *http.Server, l net.Listener) error {
	if err := s.Serve(g.Protect(name, s, l)); err != nil && err != http.ErrServerClosed {
		return &errs.Unavailable{Resource: "HTTP server", Reason: err.Error()}
	}
	return nil
}

// ShutdownServer shuts a server down after the requests in progress, or closes it when ctx ends. A nil
// server is ignored.
func ShutdownServer(ctx context.Context, s *http.Server) error {
	if s == nil {
		return nil
	}
	if err := s.Shutdown(ctx); err != nil {
		_ = s.Close()
		return &errs.Deadline{Operation: "shutdown of an HTTP server", Outcome: errs.Ran}
	}
	return nil
}

// RegisterViewMetrics adds gauges of a host's view of the cluster.
func RegisterViewMetrics(m *observe.Metrics, v *clusterview.View) {
	for _, state := range []fleet.State{fleet.Ready, fleet.Draining, fleet.Gone, fleet.Superseded} {
		m.GaugeFunc("targets_"+string(state), "Known targets in the state "+string(state)+".", func() float64 { return float64(v.CountTargets(state)) })
	}
	m.GaugeFunc("targets_limited", "Known targets that state a limit of requests a second.", func() float64 { return float64(v.CountRateLimits()) })
	m.GaugeFunc("leader_age_seconds", "Time since a store host last reported that it knows the leader of the state group.",
		func() float64 { return v.LeaderAge().Seconds() })
	m.GaugeFunc("config_version", "Version of the configuration in force.", func() float64 {
		if t := v.Table(); t != nil {
			return float64(t.Config.Version)
		}
		return 0
	})
}

// metricsService serves the metrics endpoint.
type metricsService struct {
	address string
	metrics *observe.Metrics
	guard   *headguard.Guard
	server  *http.Server
}

// NewMetricsService returns a service that serves GET /metrics at an address. With an empty address it does
// nothing.
func NewMetricsService(address string, m *observe.Metrics, g *headguard.Guard) any {
	return &metricsService{address: address, metrics: m, guard: g}
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
	s.server = NewHTTPServer(mux)
	k.Go("metrics/serve", func(context.Context) error { return Serve(s.guard, "metrics", s.server, listener) })
	return nil
}

// Stop implements kernel.Service.
func (s *metricsService) Stop(ctx context.Context) error { return ShutdownServer(ctx, s.server) }
