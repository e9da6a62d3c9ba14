package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/fakes"
)

// target accepts connections and answers each request with the next of its answers, which are
// written byte by byte as they stand.
func target(t *testing.T, answer func(n int, r *http.Request, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		n := 0
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					n++
					answer(n, req, c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func get(t *testing.T, p *Pool, addr, path string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, &Request{Method: "GET", Target: path, Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

const plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a new connection for each request, and against a changed request target.
func TestConnectionIsUsedAgain(t *testing.T) {
	var targets []string
	addr := target(t, func(_ int, r *http.Request, c net.Conn) {
		targets = append(targets, r.RequestURI)
		_, _ = io.WriteString(c, plain)
	})
	p := NewPool(2)
	for range 3 {
		if got, err := get(t, p, addr, "/a%2Fb//c?x=%41&y"); got != "ok" || err != nil {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if p.Dialed() != 1 {
		t.Errorf("%d connections for three requests", p.Dialed())
	}
	for _, uri := range targets {
		if uri != "/a%2Fb//c?x=%41&y" {
			t.Errorf("request target %q", uri)
		}
	}
}

// Guards against bytes behind an answer that are taken for the answer to the next request.
func TestConnectionWithLeftoverIsNotUsedAgain(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "late": 20 * time.Millisecond} {
		addr := target(t, func(n int, _ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, plain)
			if n == 1 {
				time.Sleep(delay)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
			}
		})
		p := NewPool(2)
		for range 3 {
			if got, err := get(t, p, addr, "/"); got != "ok" || err != nil {
				t.Fatalf("%s: %q, %v", name, got, err)
			}
			time.Sleep(40 * time.Millisecond)
		}
	}
}

// Guards against a connection that is used again although the target has said that it closes it
// by then, or has closed it.
func TestClosedConnectionsAreNotUsedAgain(t *testing.T) {
	for name, answer := range map[string]string{
		"idle time over":    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
		"connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
	} {
		addr := target(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, answer) })
		p := NewPool(2)
		for range 2 {
			if got, err := get(t, p, addr, "/"); got != "ok" || err != nil {
				t.Fatalf("%s: %q, %v", name, got, err)
			}
		}
		if p.Dialed() != 2 {
			t.Errorf("%s: %d connections for two requests", name, p.Dialed())
		}
	}
}

// Guards against a request on a connection that the target has closed while this machine was
// suspended: a request that may run once is lost with it.
func TestConnectionsAgeDuringASuspension(t *testing.T) {
	addr := target(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, plain) })
	p := NewPool(2)
	var suspended time.Duration
	steady := p.now
	p.now = func() time.Time { return steady().Add(suspended) }
	if got, err := get(t, p, addr, "/"); got != "ok" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if !p.HasIdle(addr) {
		t.Fatal("the connection is not kept")
	}
	suspended = defaultIdle
	if p.HasIdle(addr) {
		t.Error("the connection counts as idle after the target's idle timeout")
	}
	if _, err := get(t, p, addr, "/"); err != nil || p.Dialed() != 2 {
		t.Errorf("%d connections, %v, want a new one", p.Dialed(), err)
	}
}

// Guards against an answer that breaks off and looks complete, and against a wrong statement
// about what the target may have seen.
func TestFailuresSayWhetherTheRequestWasSent(t *testing.T) {
	addr := target(t, func(_ int, _ *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort")
		_ = c.Close()
	})
	if _, err := get(t, NewPool(2), addr, "/"); errs.OutcomeOf(err) != errs.Unknown {
		t.Errorf("an answer that breaks off: %v", err)
	}
	closed, err := fakes.NewRefusing()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closed.Close() })
	if _, err := get(t, NewPool(2), closed.Address, "/"); errs.OutcomeOf(err) != errs.NotRun {
		t.Errorf("a refused connection: %v", err)
	}
}

// Guards against a request that goes on after its caller has given up.
func TestContextEndsTheRequest(t *testing.T) {
	gone := make(chan struct{})
	addr := target(t, func(_ int, _ *http.Request, c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		close(gone)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := NewPool(2).Do(ctx, addr, &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: strings.NewReader("x"), Length: 1})
	if err == nil {
		t.Fatal("no failure")
	}
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Error("the connection stays open")
	}
}

// Guards against an early answer to a long body, after which the rest of the body would be read
// as the next request.
func TestConnectionAfterAnEarlyAnswerIsNotUsedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 100))
				_, _ = io.WriteString(c, plain)
				time.Sleep(100 * time.Millisecond)
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	p := NewPool(2)
	block, unblock := io.Pipe()
	defer func() { _ = unblock.Close() }()
	resp, err := p.Do(t.Context(), l.Addr().String(), &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: block, Length: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(resp.Body); string(b) != "ok" || err != nil {
		t.Errorf("%q, %v", b, err)
	}
	if p.HasIdle(l.Addr().String()) {
		t.Error("the connection is kept although the body was not sent")
	}
}

// Guards against a connection that is closed after a complete answer, because the goroutine that
// sent a longer request had not reported its end yet.
func TestConnectionIsUsedAgainAfterALongerRequest(t *testing.T) {
	addr := target(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, plain) })
	p := NewPool(2)
	body := strings.Repeat("x", 4*shortBody)
	for range 50 {
		resp, err := p.Do(t.Context(), addr, &Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: bytes.NewReader([]byte(body)), Length: int64(len(body))})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
	}
	if p.Dialed() != 1 {
		t.Errorf("%d connections for 50 requests", p.Dialed())
	}
}
