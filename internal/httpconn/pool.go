package httpconn

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/internal/bootclock"
)

// dialTimeout bounds the dial within a region, where a round trip takes a few milliseconds. A
// lost SYN is retransmitted only after a second.
const dialTimeout = 250 * time.Millisecond

// Pool is a pool of idle connections by address. It is safe for concurrent use.
type Pool struct {
	// MaxIdlePerAddress is the maximum number of idle connections of an address.
	MaxIdlePerAddress int

	// now includes the time during which this machine is suspended, because targets close idle
	// connections meanwhile.
	now func() time.Time

	mu     sync.Mutex
	idle   map[string][]*conn
	dialed uint64
}

// NewPool returns an empty pool.
func NewPool(maxIdle int) *Pool {
	return &Pool{MaxIdlePerAddress: maxIdle, now: bootclock.Now, idle: make(map[string][]*conn)}
}

// Dialed returns the number of dial attempts.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// HasIdle reports whether an unexpired idle connection to the address exists.
func (p *Pool) HasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	return len(list) > 0 && p.now().Before(list[len(list)-1].expiresAt)
}

// takeIdle removes and returns a usable idle connection that may carry a request with an ID, the latest first. It returns
// nil if there is none.
func (p *Pool) takeIdle(addr, id string) *conn {
	for {
		c := p.removeIdle(addr, id)
		if c == nil || p.now().Before(c.expiresAt) && c.noPendingInput() {
			return c
		}
		_ = c.Close()
	}
}

// removeIdle removes and returns the latest idle connection that may carry a request with an ID; nil if there is none.
func (p *Pool) removeIdle(addr, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i, c := range slices.Backward(list) {
		if c.carried.allows(id) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// putIdle adds an idle connection, or closes it if the address has enough. The caller must not use it any more.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.MaxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the expired idle connections.
func (p *Pool) CloseExpired() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// open opens a connection.
func (p *Pool) open(ctx context.Context, addr string) (net.Conn, error) {
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	nc, err := p.open(ctx, addr)
	if err != nil {
		return nil, &RequestError{Address: addr, Phase: phaseDial, Cause: shortCause(err)}
	}
	return newConn(nc, addr), nil
}

// Refuses reports whether an address refuses connections: no process listens there. A connection that is opened instead
// is kept for reuse.
func (p *Pool) Refuses(ctx context.Context, addr string) bool {
	nc, err := p.open(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c := newConn(nc, addr)
	c.expiresAt = p.now().Add(defaultIdleTimeout)
	p.putIdle(c)
	return false
}
