package httpconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaflow/errs"
)

// Guards against a response whose status is none: no caller could be given it, and nothing else of it can be trusted.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "099", "099 x", "600", "600 Sure", "999", "00 X", "0200", "-20", "+20", "2OO", "", "1e2", "20", "2000 OK",
		"101 Switching Protocols"} {
		addr := startTarget(t, func(_ int, _ *http.Request, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
		})
		p := NewPool(1)
		begin := time.Now()
		_, err := get(t, p, addr, "/")
		if err == nil || errs.OutcomeOf(err) != errs.Unknown || time.Since(begin) > time.Second {
			t.Errorf("status %q: error %v after %s, want one with an unknown outcome at once", status, err, time.Since(begin))
		}
		if p.HasIdle(addr) {
			t.Errorf("status %q: the connection is kept", status)
		}
	}
}

// Guards against the loss of responses that are valid though unusual, and against a body where none is allowed.
func TestUnusualStatusesAreResponses(t *testing.T) {
	for _, c := range []struct {
		response, body string
		status         int
	}{
		{"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		{"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "ok", 200},
		{"HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nok", "ok", 599},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199\r\n\r\nHTTP/1.1 102 Processing\r\nA: b\r\n\r\n" + okResponse, "ok", 200},
		{"HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok", "", 204},
		{"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "", 304},
	} {
		addr := startTarget(t, func(_ int, _ *http.Request, conn net.Conn) { _, _ = io.WriteString(conn, c.response) })
		for range 2 { // a body where none is allowed must not be taken for the next response
			resp, err := NewPool(1).Do(t.Context(), addr, &Request{Method: "GET", RequestURI: "/", Host: "h", Header: http.Header{}})
			if err != nil {
				t.Errorf("%q: %v", c.response, err)
				continue
			}
			body, err := io.ReadAll(resp.Body)
			if resp.StatusCode != c.status || string(body) != c.body || err != nil {
				t.Errorf("%q: status %d with %q, %v", c.response, resp.StatusCode, body, err)
			}
			_ = resp.Body.Close()
		}
	}
}

// Guards against heads of very many lines, which take far more memory than bytes, and against the refusal of a head for
// the lines of the body after it.
func TestLinesOfHeadAreLimited(t *testing.T) {
	lines := func(n int) string { return strings.Repeat("a:\r\n", n) }
	for _, c := range []struct {
		name, response string
		ok             bool
	}{
		{"allowed", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + lines(990) + "\r\nok", true},
		{"too many", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + lines(1010) + "\r\nok", false},
		{"too many after an interim response", "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + lines(1010) + "\r\nok", false},
		{"in the body", "HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("\n", 4000), true},
	} {
		addr := startTarget(t, func(_ int, _ *http.Request, conn net.Conn) { _, _ = io.WriteString(conn, c.response) })
		if _, err := get(t, NewPool(1), addr, "/"); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
