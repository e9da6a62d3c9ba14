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

// Proxy forwards TCP connections on loopback to an address. It stands for what lies between
// two ends and can cut connections or lose track of them.
type Proxy struct {
	l        net.Listener
	to       string
	k        *kernel.Kernel
	accepted atomic.Int64
	upstream atomic.Int64

	mu      sync.Mutex
	conns   []*proxied
	blocked bool // new connections are silent
}

// proxied is a pair of connections.
type proxied struct {
	in, out net.Conn
	silent  atomic.Bool
}

// NewProxy starts a proxy on a port of 127.0.0.1.
func NewProxy(to string) (*Proxy, error) {
	return NewProxyAt(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, to)
}

// NewProxyAt starts a proxy on a loopback address.
func NewProxyAt(at *net.TCPAddr, to string) (*Proxy, error) {
	l, err := net.ListenTCP("tcp", at)
	if err != nil {
		return nil, &errs.Unavailable{Resource: "loopback port", Reason: err.Error()}
	}
	p := &Proxy{l: l, to: to, k: kernel.New(slog.New(slog.NewJSONHandler(io.Discard, nil)))}
	p.k.Go("accept", p.accept)
	return p, nil
}

// Addr returns the IP:port of the proxy.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

// Accepted returns the number of connections so far.
func (p *Proxy) Accepted() int64 { return p.accepted.Load() }

// Upstream returns the number of bytes received from clients so far.
func (p *Proxy) Upstream() int64 { return p.upstream.Load() }

func (p *Proxy) accept(context.Context) error {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return nil // closed
		}
		p.accepted.Add(1)
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &proxied{in: in, out: out}
		p.mu.Lock()
		c.silent.Store(p.blocked)
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		p.k.Go("upstream", func(context.Context) error { c.forward(out, in, &p.upstream); return nil })
		p.k.Go("downstream", func(context.Context) error { c.forward(in, out, new(atomic.Int64)); return nil })
	}
}

// forward ends when either side closes. A silent pair stays open.
func (c *proxied) forward(to, from net.Conn, count *atomic.Int64) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		count.Add(int64(n))
		if c.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = c.in.Close()
			_ = c.out.Close()
			return
		}
	}
}

// Silence makes the open connections lose what is sent. New connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent.Store(true)
	}
}

// Block makes the open connections and, until it is called with false, the new ones lose what
// is sent, as between two ends that are cut off from each other.
func (p *Proxy) Block(on bool) {
	p.mu.Lock()
	p.blocked = on
	p.mu.Unlock()
	if on {
		p.Silence()
	}
}

// Cut closes the open connections. New connections work.
func (p *Proxy) Cut() {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.in.Close()
		_ = c.out.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// A connection accepted just before the listener closed may appear after the first cut.
	p.k.Every("cut", time.Millisecond, func(context.Context) { p.Cut() })
	p.Cut()
	_ = p.k.Stop(ctx)
	p.Cut()
}
