package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

const anyLoopbackPort = "127.0.0.1:0"

// listener accepts connections that can be blackholed: they stay open, but the data of both
// directions is dropped. Connections accepted later work.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

type conn struct {
	net.Conn
	listener   *listener
	blackholed atomic.Bool
}

// listen listens on addr, or on any port of 127.0.0.1 when addr is empty or in use.
func listen(addr string) (*listener, error) {
	if addr == "" {
		addr = anyLoopbackPort
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		l, err = net.Listen("tcp", anyLoopbackPort)
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
	wrapped := &conn{Conn: c, listener: l}
	l.mu.Lock()
	l.conns[wrapped] = struct{}{}
	l.mu.Unlock()
	return wrapped, nil
}

func (l *listener) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.blackholed.Store(true)
	}
}

// Read implements net.Conn. On a blackholed connection it drops what arrives.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a blackholed connection it drops what is sent.
func (c *conn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. It leaves the socket of a blackholed connection open until
// closeConns, so that the peer does not see the close.
func (c *conn) Close() error {
	if c.blackholed.Load() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// closeConns closes all connections, including the blackholed ones.
func (l *listener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Conn.Close()
	}
	clear(l.conns)
}
