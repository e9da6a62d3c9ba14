package httpconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// writeAnswer writes an answer with a status to a request with an ID.
func writeAnswer(c net.Conn, status int, id string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d x\r\nId: %s\r\nContent-Length: 0\r\n\r\n", status, id)
}

// startRepeatingTarget starts a target that sends its first answer, with status 500, once more before its answer to the next
// request on that connection, and returns its address.
func startRepeatingTarget(t *testing.T) string {
	var faulty net.Conn
	first := ""
	return startTarget(t, func(n int, r *http.Request, c net.Conn) {
		if n == 1 {
			faulty, first = c, r.Header.Get("Id")
			writeAnswer(c, http.StatusInternalServerError, first)
			return
		}
		if c == faulty {
			writeAnswer(c, http.StatusInternalServerError, first)
		}
		writeAnswer(c, http.StatusOK, r.Header.Get("Id"))
	})
}

// Guards against a late second copy of an answer that is taken for the answer when the same request is sent again, or a
// request without an ID after another request, whose answer cannot be told from the copy.
func TestLateCopyIsNotTakenForTheNextAnswer(t *testing.T) {
	for name, ids := range map[string][2]string{"same ID": {"a", "a"}, "no ID": {"", ""}, "no ID after one": {"a", ""}} {
		addr, p := startRepeatingTarget(t), NewPool(2)
		if resp, _, err := getAs(t, p, addr, "/", ids[0]); err != nil || resp.StatusCode != http.StatusInternalServerError {
			t.Fatalf("%s: first answer %+v, %v", name, resp, err)
		}
		if resp, _, err := getAs(t, p, addr, "/", ids[1]); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: second answer %+v, %v; want status 200", name, resp, err)
		}
	}
}

// Guards against a new connection for a repeated request although another idle connection may carry it.
func TestRepeatedRequestUsesAnotherIdleConnection(t *testing.T) {
	addr := startTarget(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, okResponse) })
	p := NewPool(2)
	for k, c := range []struct {
		id          string
		connections uint64
	}{{"a", 1}, {"a", 2}, {"b", 2}, {"b", 2}, {"c", 2}, {"a", 3}} {
		if _, _, err := getAs(t, p, addr, "/", c.id); err != nil || p.Dialed() != c.connections {
			t.Errorf("request %d: %d connections, %v; want %d", k, p.Dialed(), err, c.connections)
		}
	}
}

// Guards against a connection whose memory of earlier requests grows without a bound.
func TestConnectionCarriesABoundedNumberOfRequests(t *testing.T) {
	addr := startTarget(t, func(_ int, _ *http.Request, c net.Conn) { _, _ = io.WriteString(c, okResponse) })
	p := NewPool(1)
	for range maxCarried + 1 {
		if _, err := get(t, p, addr, "/"); err != nil {
			t.Fatal(err)
		}
	}
	if p.Dialed() != 2 {
		t.Errorf("%d connections for %d requests, want 2", p.Dialed(), maxCarried+1)
	}
}
