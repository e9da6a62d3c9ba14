package headguard

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// ordinaryHead is a head as callers send it.
const ordinaryHead = "GET /office/x HTTP/1.1\r\nHost: soak.example\r\nUser-Agent: trainer/1.2\r\nAccept: application/json\r\nAccept-Encoding: gzip\r\n" +
	"Api-Key: 0123456789abcdef0123456789abcdef\r\nX-Request-Id: 12e8db2455cb41cf\r\nX-Deadline-Ms: 1500\r\nTraceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01\r\n\r\n"

// repeatConn is a connection of a client that sends one request again and again, each after the answer to the one
// before, and then leaves.
type repeatConn struct {
	net.Conn
	head  string
	left  int
	ready chan struct{} // the client has the answer
	past  chan struct{} // receives when a pending read has to end
}

func (c *repeatConn) Read(p []byte) (int, error) {
	if len(p) == 1 { // the server looks whether the client leaves
		<-c.past
		return 0, &net.OpError{Op: "read", Err: timeoutError{}}
	}
	if c.left == 0 {
		return 0, io.EOF
	}
	c.left--
	return copy(p, c.head), nil
}

type timeoutError struct{}

func (timeoutError) Error() string   { return "timeout" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

func (c *repeatConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.past <- struct{}{}
	}
	return nil
}

func (c *repeatConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *repeatConn) SetWriteDeadline(time.Time) error { return nil }
func (c *repeatConn) SetDeadline(time.Time) error      { return nil }
func (c *repeatConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *repeatConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *repeatConn) Close() error                     { close(c.ready); return nil }

// oneListener accepts one connection.
type oneListener struct{ conns chan net.Conn }

func (l oneListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (oneListener) Close() error   { return nil }
func (oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// BenchmarkOrdinaryHead measures an ordinary request on a persistent connection, with and without the guard.
func BenchmarkOrdinaryHead(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "guarded"}[guarded], func(b *testing.B) {
			b.ReportAllocs()
			s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), IdleTimeout: time.Minute, ReadHeaderTimeout: 10 * time.Second}
			c := &repeatConn{head: ordinaryHead, left: b.N, ready: make(chan struct{}), past: make(chan struct{}, 1)}
			var l net.Listener = oneListener{make(chan net.Conn, 1)}
			l.(oneListener).conns <- c
			close(l.(oneListener).conns)
			if guarded {
				l = newTestGuard(LimitsFor(0, 0)).Protect("test", s, l)
			}
			_ = s.Serve(l)
			<-c.ready
		})
	}
}

// BenchmarkOrdinaryHeadTCP measures the same with a real connection, one request at a time.
func BenchmarkOrdinaryHeadTCP(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "guarded"}[guarded], func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), IdleTimeout: time.Minute, ReadHeaderTimeout: 10 * time.Second}
			if guarded {
				l = newTestGuard(LimitsFor(0, 0)).Protect("test", s, l)
			}
			go func() { _ = s.Serve(l) }()
			defer func() { _ = s.Close() }()
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			answer := make([]byte, 1<<10)
			for b.Loop() {
				if _, err := io.WriteString(conn, ordinaryHead); err != nil {
					b.Fatal(err)
				}
				if _, err := conn.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
