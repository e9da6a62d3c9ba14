package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

const anyPort = "127.0.0.1:0"

// listener accepts connections that can be made silent: they stay open, but nothing gets
// through any more in either direction, while new connections work.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

type conn struct {
	net.Conn
	l      *listener
	silent atomic.Bool
}

// listen listens on addr, or on another port of 127.0.0.1 when addr is taken or empty.
func listen(addr string) (*listener, error) {
	if addr == "" {
		addr = anyPort
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		l, err = net.Listen("tcp", anyPort)
	}
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, conns: make(map[*conn]struct{})}, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w := &conn{Conn: c, l: l}
	l.mu.Lock()
	l.conns[w] = struct{}{}
	l.mu.Unlock()
	return w, nil
}

func (l *listener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// Read implements net.Conn. On a silent connection it loses what arrives.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silent connection it loses what is sent.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. The peer of a silent connection does not learn of it, so the
// socket stays open until the fake crashes or closes.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// drop closes all connections, the silent ones too.
func (l *listener) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
	}
	clear(l.conns)
}
