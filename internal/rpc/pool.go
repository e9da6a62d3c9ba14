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

// Defaults of Options. A connection with pending calls is probed after one second without a response
// and replaced if the probe gets none within another second. The keepalive of grpc-go alone would
// send the first ping after ten seconds or more.
const (
	silenceBeforeProbe   = time.Second
	probeTimeout         = time.Second
	silenceCheckInterval = 250 * time.Millisecond
	dialTimeout          = 2 * time.Second
	maxDialBackoff       = 2 * time.Second // longest wait until a recovered peer is dialed again
	initialDialBackoff   = 100 * time.Millisecond
	dialBackoffFactor    = 1.6
	dialBackoffJitter    = 0.2
	// flowControlWindowBytes is the flow control window of a stream and of a connection. A static
	// window keeps grpc-go from sending a ping with each message to estimate the bandwidth; most
	// messages between hosts are smaller than these pings. It covers a round trip of 10 ms at
	// 800 Mbit/s.
	flowControlWindowBytes = 1 << 20
)

// Options configures a Pool. Self, Token, Address and Log are required.
type Options struct {
	// Self returns the sender that is attached to each call.
	Self  func() Sender
	Token string
	// Address returns the IP:port of a host.
	Address        func(host string) (string, bool)
	Log            *slog.Logger
	TracerProvider trace.TracerProvider // nil: no spans
	Now            func() time.Time     // nil: time.Now
	// The fields below override the defaults if positive.
	MaxMessageBytes                    int
	SilenceBeforeProbe, ProbeTimeout   time.Duration
	DialTimeout                        time.Duration
	InitialDialBackoff, MaxDialBackoff time.Duration
}

// Pool holds a connection to each peer. It implements kernel.Service. If Start is not used, Check
// must be called periodically to replace unresponsive connections.
type Pool struct {
	options Options

	mu     sync.Mutex
	conns  map[string]*conn
	closed bool
}

// conn is a client connection to a host.
type conn struct {
	host, addr string
	cc         *grpc.ClientConn
	activity   *connActivity
}

// dialFailed reports whether the last dial failed. grpc-go fails calls before it changes the connectivity
// state, so that a failed call also counts until the state shows a working connection.
func (c *conn) dialFailed() bool {
	state := c.cc.GetState()
	return state == connectivity.TransientFailure || state != connectivity.Ready && c.activity.unreachable.Load()
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Pool{options: o, conns: make(map[string]*conn)}
}

// Start implements kernel.Service.
func (p *Pool) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("peers/check", silenceCheckInterval, p.Check)
	return nil
}

// Stop implements kernel.Service.
func (p *Pool) Stop(context.Context) error {
	p.Close()
	return nil
}

// Peer returns a client for host. The first call establishes the connection. All errors of calls are
// errs.Failure; a call that was never handed to a connection has the outcome errs.NotRun.
func (p *Pool) Peer(host string) (PeerClient, error) {
	addr, ok := p.options.Address(host)
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
		if c, err = p.newConn(host, addr); err != nil {
			return nil, err
		}
		p.conns[host] = c
	}
	return NewPeerClient(c.cc), nil
}

func (p *Pool) newConn(host, addr string) (*conn, error) {
	activity := &connActivity{now: p.options.Now}
	maxBytes := intOrDefault(p.options.MaxMessageBytes, MaxMessageBytes)
	cc, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepAliveTime, Timeout: keepAliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: durationOrDefault(p.options.DialTimeout, dialTimeout),
			Backoff: backoff.Config{BaseDelay: durationOrDefault(p.options.InitialDialBackoff, initialDialBackoff), Multiplier: dialBackoffFactor,
				Jitter: dialBackoffJitter, MaxDelay: durationOrDefault(p.options.MaxDialBackoff, maxDialBackoff)},
		}),
		// Only the caller knows which calls are safe to retry.
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithStaticStreamWindowSize(flowControlWindowBytes),
		grpc.WithStaticConnWindowSize(flowControlWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxBytes), grpc.MaxCallSendMsgSize(maxBytes)),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler(traceOptions(p.options.TracerProvider)...)),
		grpc.WithStatsHandler(activity),
		grpc.WithChainUnaryInterceptor(p.interceptUnary),
		grpc.WithChainStreamInterceptor(p.interceptStream),
	)
	if err != nil {
		return nil, &errs.Unavailable{Resource: "peer " + host, Reason: err.Error()}
	}
	return &conn{host: host, addr: addr, cc: cc, activity: activity}, nil
}

// Check probes the connections whose calls have waited too long for a response and closes those that
// do not respond to the probe either. Their calls fail with the outcome errs.Unknown, and the next
// call opens a new connection. Check returns after all probes have ended.
func (p *Pool) Check(ctx context.Context) {
	threshold := durationOrDefault(p.options.SilenceBeforeProbe, silenceBeforeProbe)
	var probes sync.WaitGroup
	for _, c := range p.connections() {
		if c.activity.unansweredFor() >= threshold {
			probes.Go(func() { p.probe(ctx, c) })
		}
	}
	probes.Wait()
}

func (p *Pool) connections() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*conn, 0, len(p.conns))
	for _, c := range p.conns {
		conns = append(conns, c)
	}
	return conns
}

// probe closes a connection that does not respond to a health check. Any response shows that the
// connection works, also an error.
func (p *Pool) probe(ctx context.Context, c *conn) {
	before := c.activity.lastActivity.Load()
	ctx, cancel := context.WithTimeout(ctx, durationOrDefault(p.options.ProbeTimeout, probeTimeout))
	defer cancel()
	_, err := grpc_health_v1.NewHealthClient(c.cc).Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	if err == nil || c.activity.lastActivity.Load() != before || errs.CodeOf(err) != errs.CodeDeadline {
		return
	}
	p.mu.Lock()
	if p.conns[c.host] == c {
		delete(p.conns, c.host)
	}
	p.mu.Unlock()
	p.options.Log.Warn("closing unresponsive connection", "host", c.host, "address", c.addr)
	_ = c.cc.Close()
}

// Redial discards the connection to a host if its last dial failed, so that the next call dials
// again. Without it, calls to a host that has recovered fail until the dial backoff ends.
// (*grpc.ClientConn).ResetConnectBackoff cannot be used because it races with new connections.
func (p *Pool) Redial(host string) {
	p.mu.Lock()
	c := p.conns[host]
	failing := c != nil && c.dialFailed()
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
