package rpc

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
)

// The presets of Options. A connection with waiting calls is probed after one second
// without an answer and replaced one second later. The keep-alive of grpc-go alone needs
// at least ten seconds to start a ping.
const (
	silenceBeforeProbe = time.Second
	probeTimeout       = time.Second
	checkInterval      = 250 * time.Millisecond
	dialTimeout        = 2 * time.Second
	maxDialBackoff     = 2 * time.Second // a peer that returns is tried again within this time
	firstDialBackoff   = 100 * time.Millisecond
	dialBackoffFactor  = 1.6
	dialBackoffJitter  = 0.2
	// windowBytes is the flow control window of a stream and of a connection. A fixed one keeps
	// grpc-go from measuring the link with a ping for each message: most messages between hosts are
	// smaller than these pings. It covers a round trip of 10 ms at 800 Mbit/s.
	windowBytes = 1 << 20
)

// Options configures a Pool. Self, Token, Address and Log are required.
type Options struct {
	// Self returns the identity that goes with each call.
	Self  func() Sender
	Token string
	// Address returns the IP:port of a host.
	Address        func(host string) (string, bool)
	Log            *slog.Logger
	TracerProvider trace.TracerProvider // nil: no spans
	Now            func() time.Time     // nil: time.Now
	// The fields below replace the constants when positive.
	MaxMessageBytes                  int
	SilenceBeforeProbe, ProbeTimeout time.Duration
	DialTimeout                      time.Duration
	FirstDialBackoff, MaxDialBackoff time.Duration
}

// Pool holds one connection for each peer. It implements kernel.Service; without Start,
// Check must be called regularly for silent connections to be replaced.
type Pool struct {
	o Options

	mu     sync.Mutex
	conns  map[string]*conn
	closed bool
}

type conn struct {
	host, addr string
	cc         *grpc.ClientConn
	traffic    *traffic
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Pool{o: o, conns: make(map[string]*conn)}
}

// Start implements kernel.Service.
func (p *Pool) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("peers/check", checkInterval, p.Check)
	return nil
}

// Stop implements kernel.Service.
func (p *Pool) Stop(context.Context) error {
	p.Close()
	return nil
}

// Peer returns a client of host. The connection is made by the first call. The failures
// of all calls are errs.Failure; a call that was never handed to a connection did not run.
func (p *Pool) Peer(host string) (PeerClient, error) {
	addr, ok := p.o.Address(host)
	if !ok {
		return nil, &errs.NotFound{Kind: "host", ID: host}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &errs.Unavailable{Resource: "peer " + host, Reason: "the pool is closed"}
	}
	c := p.conns[host]
	if c != nil && c.addr != addr {
		_ = c.cc.Close()
		c = nil
	}
	if c == nil {
		var err error
		if c, err = p.open(host, addr); err != nil {
			return nil, err
		}
		p.conns[host] = c
	}
	return NewPeerClient(c.cc), nil
}

func (p *Pool) open(host, addr string) (*conn, error) {
	t := &traffic{now: p.o.Now}
	limit := orInt(p.o.MaxMessageBytes, MaxMessageBytes)
	cc, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepAliveTime, Timeout: keepAliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: orDuration(p.o.DialTimeout, dialTimeout),
			Backoff: backoff.Config{BaseDelay: orDuration(p.o.FirstDialBackoff, firstDialBackoff), Multiplier: dialBackoffFactor,
				Jitter: dialBackoffJitter, MaxDelay: orDuration(p.o.MaxDialBackoff, maxDialBackoff)},
		}),
		// Retries are the caller's decision, because only it knows what is safe to repeat.
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(limit), grpc.MaxCallSendMsgSize(limit)),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler(traceOptions(p.o.TracerProvider)...)),
		grpc.WithStatsHandler(t),
		grpc.WithChainUnaryInterceptor(p.unary),
		grpc.WithChainStreamInterceptor(p.stream),
	)
	if err != nil {
		return nil, &errs.Unavailable{Resource: "peer " + host, Reason: err.Error()}
	}
	return &conn{host: host, addr: addr, cc: cc, traffic: t}, nil
}

// Check probes the connections whose calls wait without an answer, and closes those that
// do not answer the probe either. The calls on them fail as unknown; the next call opens a
// new connection. It returns after all probes have ended.
func (p *Pool) Check(ctx context.Context) {
	limit := orDuration(p.o.SilenceBeforeProbe, silenceBeforeProbe)
	var probes sync.WaitGroup
	for _, c := range p.snapshot() {
		if c.traffic.silentFor() >= limit {
			probes.Go(func() { p.probe(ctx, c) })
		}
	}
	probes.Wait()
}

func (p *Pool) snapshot() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*conn, 0, len(p.conns))
	for _, c := range p.conns {
		out = append(out, c)
	}
	return out
}

// probe asks for any answer. A refusal also proves that the connection works.
func (p *Pool) probe(ctx context.Context, c *conn) {
	before := c.traffic.heard.Load()
	ctx, cancel := context.WithTimeout(ctx, orDuration(p.o.ProbeTimeout, probeTimeout))
	defer cancel()
	_, err := grpc_health_v1.NewHealthClient(c.cc).Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	if err == nil || c.traffic.heard.Load() != before || errs.CodeOf(err) != errs.CodeDeadline {
		return
	}
	p.mu.Lock()
	if p.conns[c.host] == c {
		delete(p.conns, c.host)
	}
	p.mu.Unlock()
	p.o.Log.Warn("connection is silent and is replaced", "host", c.host, "address", c.addr)
	_ = c.cc.Close()
}

// Redial gives up the connection to a host if its last dials failed, so that the next call dials
// anew. Without it, calls to a host that has come back fail until the backoff of the earlier dials
// is over. (*grpc.ClientConn).ResetConnectBackoff cannot be used: it races with new connections.
func (p *Pool) Redial(host string) {
	p.mu.Lock()
	c := p.conns[host]
	failing := c != nil && c.cc.GetState() == connectivity.TransientFailure
	if failing {
		delete(p.conns, host)
	}
	p.mu.Unlock()
	if failing {
		_ = c.cc.Close()
	}
}

// Close closes all connections. Later calls of Peer fail.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.cc.Close()
	}
}
