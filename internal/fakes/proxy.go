package fakes

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
)

const proxyBuffer = 4 << 10

// Proxy forwards TCP connections from a loopback address to an upstream address. It simulates
// failures of the network between them by closing or blackholing connections.
type Proxy struct {
	listener      net.Listener
	upstreamAddr  string
	kernel        *kernel.Kernel
	accepted      atomic.Int64
	upstreamBytes atomic.Int64

	mu          sync.Mutex
	conns       []*connPair
	partitioned bool // new connections are blackholed
}

// connPair is a client's connection and the one to the upstream address.
type connPair struct {
	downstream, upstream net.Conn
	blackholed           atomic.Bool
}

// NewProxy starts a proxy on a port of 127.0.0.1.
func NewProxy(upstreamAddr string) (*Proxy, error) {
	return NewProxyAt(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, upstreamAddr)
}

// NewProxyAt starts a proxy on a loopback address.
func NewProxyAt(listenAddr *net.TCPAddr, upstreamAddr string) (*Proxy, error) {
	l, err := net.ListenTCP("tcp", listenAddr)
	if err != nil {
		return nil, &errs.Unavailable{Resource: "loopback port", Reason: err.Error()}
	}
	p := &Proxy{listener: l, upstreamAddr: upstreamAddr, kernel: kernel.New(slog.New(slog.NewJSONHandler(io.Discard, nil)))}
	p.kernel.Go("accept", p.accept)
	return p, nil
}

// Addr returns the IP:port of the proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// AcceptedConnections returns the number of connections accepted so far.
func (p *Proxy) AcceptedConnections() int64 { return p.accepted.Load() }

// UpstreamBytes returns the number of bytes received from clients so far.
func (p *Proxy) UpstreamBytes() int64 { return p.upstreamBytes.Load() }

func (p *Proxy) accept(context.Context) error {
	for {
		downstream, err := p.listener.Accept()
		if err != nil {
			return nil // closed
		}
		p.accepted.Add(1)
		upstream, err := net.Dial("tcp", p.upstreamAddr)
		if err != nil {
			_ = downstream.Close()
			continue
		}
		c := &connPair{downstream: downstream, upstream: upstream}
		p.mu.Lock()
		c.blackholed.Store(p.partitioned)
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		p.kernel.Go("upstream", func(context.Context) error { c.forward(upstream, downstream, &p.upstreamBytes); return nil })
		p.kernel.Go("downstream", func(context.Context) error { c.forward(downstream, upstream, new(atomic.Int64)); return nil })
	}
}

// forward copies data from src to dst and adds the bytes read to count. It closes both connections
// when either side closes, except that a blackholed pair stays open.
func (c *connPair) forward(dst, src net.Conn, count *atomic.Int64) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := src.Read(buf)
		count.Add(int64(n))
		if c.blackholed.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := dst.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = c.downstream.Close()
			_ = c.upstream.Close()
			return
		}
	}
}

// Blackhole drops all data on the open connections from now on. New connections work.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.blackholed.Store(true)
	}
}

// SetPartitioned drops all data on the open connections and, until it is called with false, on new ones, as in
// a network partition.
func (p *Proxy) SetPartitioned(on bool) {
	p.mu.Lock()
	p.partitioned = on
	p.mu.Unlock()
	if on {
		p.Blackhole()
	}
}

// CloseConnections closes the open connections. New connections work.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.downstream.Close()
		_ = c.upstream.Close()
	}
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// A connection accepted just before the listener closed may be added after the first CloseConnections.
	p.kernel.Every("cut", time.Millisecond, func(context.Context) { p.CloseConnections() })
	p.CloseConnections()
	_ = p.kernel.Stop(ctx)
	p.CloseConnections()
}
