package headguard

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaflow/internal/observe"
)

func newTestGuard(l Limits) *Guard {
	return New(l, slog.New(slog.DiscardHandler), observe.NewMetrics())
}

// testServer is a guarded server whose handler answers with the body of the request. A path of /wait is answered when
// proceed is closed.
type testServer struct {
	guard   *Guard
	addr    string
	entered chan struct{}
	proceed chan struct{}
}

func newTestServer(t testing.TB, limits Limits) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ts := &testServer{guard: newTestGuard(limits), addr: l.Addr().String(), entered: make(chan struct{}, 100), proceed: make(chan struct{})}
	s := &http.Server{MaxHeaderBytes: 64 << 10, ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			ts.entered <- struct{}{}
			<-ts.proceed
		}
		if strings.HasPrefix(r.URL.Path, "/body") && ReserveBody(r.Context(), r.ContentLength) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		data, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%d lines, %s", len(r.Header), data)
	})}
	gl := ts.guard.Protect("test", s, l)
	go func() { _ = s.Serve(gl) }()
	t.Cleanup(func() { _ = s.Close() })
	return ts
}

// client is a connection to a testServer.
type client struct {
	t    testing.TB
	conn net.Conn
	r    *bufio.Reader
}

func (ts *testServer) dial(t testing.TB) *client {
	conn, err := net.Dial("tcp", ts.addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t, conn, bufio.NewReader(conn)}
}

func (c *client) send(parts ...string) {
	for _, part := range parts {
		if _, err := io.WriteString(c.conn, part); err != nil {
			c.t.Fatal(err)
		}
	}
}

// receive returns the status and the body of the next answer, or 0 and the error.
func (c *client) receive() (int, string, *http.Response) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err.Error(), nil
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(data), resp
}

func (c *client) want(status int, body string) {
	c.t.Helper()
	if got, text, _ := c.receive(); got != status || text != body {
		c.t.Errorf("status %d with %q, want %d with %q", got, text, status, body)
	}
}

const small = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// Guards against requests that the guard breaks: persistent and pipelined ones, bodies of both kinds, in parts of any
// size, with empty lines before them, and with Expect.
func TestRequestsPassUnchanged(t *testing.T) {
	ts := newTestServer(t, LimitsFor(0, 0))
	post := "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
	chunked := "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	large := "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n"
	for _, size := range []int{1 << 20, 700, 3, 1} {
		c := ts.dial(t)
		all := post + "\r\n" + small + chunked + small + large + post + chunked + large + small
		go func() {
			for rest := all; rest != ""; {
				part := rest[:min(size, len(rest))]
				if _, err := io.WriteString(c.conn, part); err != nil {
					return
				}
				rest = rest[len(part):]
			}
		}()
		for _, want := range []string{"1 lines, hello", "0 lines, ", "0 lines, hello", "0 lines, ", "1 lines, ", "1 lines, hello", "0 lines, hello", "1 lines, ", "0 lines, "} {
			c.want(http.StatusOK, want)
		}
	}
	c := ts.dial(t)
	c.send("POST /b HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n")
	if status, _, _ := c.receive(); status != http.StatusContinue {
		t.Errorf("status %d, want 100", status)
	}
	c.send("hello", small)
	c.want(http.StatusOK, "2 lines, hello")
	c.want(http.StatusOK, "0 lines, ")
	ts.awaitEmpty(t)
}

// awaitEmpty waits until the guard counts nothing but connections.
func (ts *testServer) awaitEmpty(t *testing.T) {
	t.Helper()
	var used int64
	for range 500 {
		ts.guard.mu.Lock()
		used = ts.guard.ledger.UsedBytes() + ts.guard.ledger.BodyBytes()
		ts.guard.mu.Unlock()
		if used == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d bytes are still in use", used)
}

// Guards against heads that are let in beyond the budget, refusals that a client may take for another outcome, costs that
// are not returned, and large heads that keep small ones out.
func TestHeadsBeyondTheBudgetAreRefused(t *testing.T) {
	large := "GET /wait HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
	limits := Limits{HeadBytes: 4 << 20, BodyBytes: 1 << 20, Connections: 100}
	ts := newTestServer(t, limits)
	const room = 4 // of 500 KB each in 9/16 of the budget
	var in []*client
	for range room {
		c := ts.dial(t)
		c.send(large)
		in = append(in, c)
		<-ts.entered
	}
	c := ts.dial(t)
	c.send(large)
	status, _, resp := c.receive()
	if status != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Fatalf("status %d with %+v", status, resp)
	}
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("the connection goes on: %v", err)
	}
	c = ts.dial(t)
	c.send(small)
	c.want(http.StatusOK, "0 lines, ")
	close(ts.proceed)
	for _, c := range in {
		c.want(http.StatusOK, "1 lines, ")
	}
	ts.awaitEmpty(t)
	c.send(large)
	c.want(http.StatusOK, "1 lines, ")
}

// Guards against heads that get past the budget behind a body of unknown length, with which the server reads them.
func TestHeadReadWithABodyIsCounted(t *testing.T) {
	ts := newTestServer(t, Limits{HeadBytes: 4 << 20, BodyBytes: 1 << 20, Connections: 100})
	c := ts.dial(t)
	c.send("POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /wait HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 50) + "\r\n")
	c.want(http.StatusOK, "0 lines, ")
	<-ts.entered
	ts.guard.mu.Lock()
	if used := ts.guard.ledger.UsedBytes(); used < 50*lineCost {
		t.Errorf("%d bytes in use", used)
	}
	ts.guard.mu.Unlock()
	close(ts.proceed)
	c.want(http.StatusOK, "1 lines, ")
	ts.awaitEmpty(t)
	c.send("POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n")
	c.want(http.StatusOK, "0 lines, ")
	c.send("hello")
	c.want(http.StatusOK, "1 lines, hello")
}

// Guards against heads that get past the budget behind an empty line after a body, which the server skips: the line is taken
// for the end of a head, so that the guard must not take what follows for a body.
func TestHeadAfterEmptyLineIsCounted(t *testing.T) {
	for name, post := range map[string]string{
		"chunked":      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"known length": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx",
		"no body":      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			ts := newTestServer(t, Limits{HeadBytes: 4 << 20, BodyBytes: 1 << 20, Connections: 100})
			c := ts.dial(t)
			c.send(post)
			c.receive()
			lines := strings.Repeat("a:\r\n", 2000)
			c.send("\r\n", "POST / HTTP/1.1\r\nHost: x\r\n", lines)
			ts.awaitUsed(t, int64(len(lines)))
			c.send("Content-Length: 5\r\n\r\nhello", small)
			c.want(http.StatusOK, "2 lines, hello")
			c.want(http.StatusOK, "0 lines, ")
			ts.awaitEmpty(t)
		})
	}
}

// awaitUsed waits until the guard counts a number of bytes or more.
func (ts *testServer) awaitUsed(t *testing.T, least int64) {
	t.Helper()
	var used int64
	for range 200 {
		ts.guard.mu.Lock()
		used = ts.guard.ledger.UsedBytes()
		ts.guard.mu.Unlock()
		if used >= least {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d bytes are in use, want %d", used, least)
}

// Guards against heads without an end, too many connections, and bodies beyond their budget.
func TestOtherBoundsRefuse(t *testing.T) {
	ts := newTestServer(t, Limits{HeadBytes: 4 << 20, BodyBytes: 400, Connections: 8})
	c := ts.dial(t)
	go func() { _, _ = io.WriteString(c.conn, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 20000)) }()
	if status, _, _ := c.receive(); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("a head without an end is answered %d", status)
	}
	c = ts.dial(t)
	c.send("POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101))
	c.want(http.StatusServiceUnavailable, "")
	c.send("POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
	c.want(http.StatusOK, "1 lines, x")
	ts.awaitEmpty(t)
	idle := ts.dial(t)
	for range 6 { // the share of one listener
		c := ts.dial(t)
		c.send("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
		<-ts.entered
	}
	if _, err := idle.r.ReadByte(); err == nil {
		t.Error("an idle connection stays open")
	}
	c = ts.dial(t)
	if status, _, _ := c.receive(); status != http.StatusServiceUnavailable {
		t.Errorf("one connection too many is answered %d", status)
	}
	close(ts.proceed)
}

// Guards against bodies that arrive so slowly that their connections never end.
func TestBodyDeadline(t *testing.T) {
	begun := time.Unix(0, 0)
	if got := bodyDeadline(begun, 0).Sub(begun); got != bodyGrace {
		t.Errorf("%s for the first byte", got)
	}
	if got := bodyDeadline(begun, 32<<20).Sub(begun); got != bodyGrace+(32<<10)*time.Second {
		t.Errorf("%s for 32 MiB", got)
	}
}

// FuzzGuard guards against requests that the guard hangs on or changes: whatever a client sends, in parts of any size,
// the server reads the same bytes or nothing more.
func FuzzGuard(f *testing.F) {
	for _, seed := range []string{small, small + small, "\r\n\n" + small, "POST / HTTP/1.1\r\n\r\r\nGET", "GET / HTTP/1.1\n\n" + small, "x", "", "\r", "a\r\n \r\n\r\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" + small, strings.Repeat("a:\r\n", 1100) + "\r\n"} {
		f.Add([]byte(seed), uint8(7), uint16(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, part uint8, body uint16) {
		g := newTestGuard(LimitsFor(0, 0))
		l := &listener{guard: g, name: "fuzz", maxHead: 64 << 10}
		c := &conn{Conn: &partsConn{data: data, part: int(part) + 1}, guard: g, listener: l}
		g.open(c, l.name)
		var got []byte
		p := make([]byte, bufferSize)
		for heads := 0; ; heads++ {
			n, err := c.Read(p)
			got = append(got, p[:n]...)
			if err != nil {
				break
			}
			for c.admit > 0 { // the server reads a head to its end
				n, _ := c.Read(p)
				got = append(got, p[:n]...)
			}
			c.left = int64(body)
			if n, err = c.Read(p); err != nil { // a part of the body
				break
			}
			got = append(got, p[:n]...)
			c.expectHead()
		}
		if !strings.HasPrefix(string(data), string(got)) {
			t.Fatalf("the server reads %q of %q", got, data)
		}
		_ = c.Close()
		if used := g.ledger.UsedBytes() + int64(g.ledger.Connections()); used != 0 {
			t.Fatalf("%d bytes are still in use", used)
		}
	})
}

// bufferSize is the size of the buffer of the server.
const bufferSize = 4 << 10

// partsConn is a connection of a client that sends data in parts.
type partsConn struct {
	net.Conn
	data []byte
	part int
}

func (c *partsConn) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.data[:min(c.part, len(c.data))])
	c.data = c.data[n:]
	return n, nil
}

func (c *partsConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *partsConn) Close() error                     { return nil }
func (c *partsConn) SetReadDeadline(time.Time) error  { return nil }
func (c *partsConn) SetWriteDeadline(time.Time) error { return nil }
