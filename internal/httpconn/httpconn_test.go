package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/fakes"
)

// startTarget starts a target and returns its address. respond writes the raw response to request n,
// counted from 1, to the connection.
func startTarget(t *testing.T, respond func(n int, r *http.Request, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		var n atomic.Int64
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
					respond(int(n.Add(1)), req, c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// lastID is the last ID that newID has returned.
var lastID atomic.Int64

func newID() string { return fmt.Sprint("q", lastID.Add(1)) }

func get(t *testing.T, p *Pool, addr, path string) (string, error) {
	t.Helper()
	_, body, err := getAs(t, p, addr, path, newID())
	return body, err
}

// getAs sends a request with an ID, which is empty if it has none. The response is nil if there is none.
func getAs(t *testing.T, p *Pool, addr, path, id string) (*Response, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, addr, &Request{ID: id, Method: "GET", RequestURI: path, Host: "h", Header: http.Header{"Id": {id}}})
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against opening a connection for each request, and against a modified request URI.
func TestConnectionIsReused(t *testing.T) {
	var uris []string
	addr := startTarget(t, func(_ int, r *http.Request, c net.Conn) {
		uris = append(uris, r.RequestURI)
		_, _ = io.WriteString(c, okResponse)
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
	for _, uri := range uris {
		if uri != "/a%2Fb//c?x=%41&y" {
			t.Errorf("request URI %q", uri)
		}
	}
}

// Guards against taking extra bytes after a response for the response to the next request.
func TestConnectionWithExtraDataIsNotReused(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "late": 20 * time.Millisecond} {
		addr := startTarget(t, func(n int, _ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, okResponse)
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

// Guards against reusing a connection that the target closes after the response or after the idle
// timeout that it sends.
func TestClosingConnectionIsNotReused(t *testing.T) {
	for name, response := range map[string]string{
		"idle timeout":      "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
		"connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
	} {
		addr := startTarget(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, response) })
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

// Guards against sending a request on a connection that the target closed while this machine was
// suspended. A request that must not run twice cannot be retried then.
func TestConnectionsExpireDuringSuspension(t *testing.T) {
	addr := startTarget(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, okResponse) })
	p := NewPool(2)
	var suspended time.Duration
	realNow := p.now
	p.now = func() time.Time { return realNow().Add(suspended) }
	if got, err := get(t, p, addr, "/"); got != "ok" || err != nil {
		t.Fatalf("%q, %v", got, err)
	}
	if !p.HasIdle(addr) {
		t.Fatal("the connection is not kept")
	}
	suspended = defaultIdleTimeout
	if p.HasIdle(addr) {
		t.Error("the connection counts as idle after the target's idle timeout")
	}
	if _, err := get(t, p, addr, "/"); err != nil || p.Dialed() != 2 {
		t.Errorf("%d connections, %v, want a new one", p.Dialed(), err)
	}
}

// Guards against taking a truncated response for a complete one, and against a wrong report of
// whether the request may have reached the target.
func TestErrorsReportWhetherTheRequestWasSent(t *testing.T) {
	addr := startTarget(t, func(_ int, _ *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort")
		_ = c.Close()
	})
	if _, err := get(t, NewPool(2), addr, "/"); errs.OutcomeOf(err) != errs.Unknown {
		t.Errorf("a truncated response: %v", err)
	}
	refusing, err := fakes.NewRefusingPort()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = refusing.Close() })
	if _, err := get(t, NewPool(2), refusing.Address, "/"); errs.OutcomeOf(err) != errs.NotRun {
		t.Errorf("a refused connection: %v", err)
	}
}

// Guards against a connection that stays open after the request's context has ended.
func TestContextAbortsTheRequest(t *testing.T) {
	disconnected := make(chan struct{})
	addr := startTarget(t, func(_ int, _ *http.Request, c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		close(disconnected)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := NewPool(2).Do(ctx, addr, &Request{Method: "POST", RequestURI: "/", Host: "h", Header: http.Header{}, Body: strings.NewReader("x"), ContentLength: 1})
	if err == nil {
		t.Fatal("the request succeeds")
	}
	select {
	case <-disconnected:
	case <-time.After(time.Second):
		t.Error("the connection stays open")
	}
}

// Guards against reusing a connection after a response to a partially sent request, because the
// target would read the rest of the body as the next request.
func TestConnectionAfterEarlyResponseIsNotReused(t *testing.T) {
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
				_, _ = io.WriteString(c, okResponse)
				time.Sleep(100 * time.Millisecond)
				_, _ = io.Copy(io.Discard, c)
			}()
		}
	}()
	p := NewPool(2)
	blockedBody, bodyWriter := io.Pipe()
	defer func() { _ = bodyWriter.Close() }()
	resp, err := p.Do(t.Context(), l.Addr().String(), &Request{Method: "POST", RequestURI: "/", Host: "h", Header: http.Header{}, Body: blockedBody, ContentLength: 1 << 20})
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

// Guards against closing the connection after a complete response because the goroutine that sent a
// longer request has not yet reported its result.
func TestConnectionIsReusedAfterLongRequest(t *testing.T) {
	addr := startTarget(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, okResponse) })
	p := NewPool(2)
	body := strings.Repeat("x", 4*maxInlineBodyBytes)
	for range 50 {
		resp, err := p.Do(t.Context(), addr, &Request{ID: newID(), Method: "POST", RequestURI: "/", Host: "h", Header: http.Header{}, Body: bytes.NewReader([]byte(body)), ContentLength: int64(len(body))})
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
