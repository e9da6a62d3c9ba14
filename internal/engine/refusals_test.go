package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fuchsiaflow/errs"
)

// Guards against a late second copy of a target's refusal that is taken for a refusal of the next request on the connection, which
// runs (P5).
func TestLateRefusalDoesNotEndTheNextCall(t *testing.T) {
	const refusal = "HTTP/1.1 503 x\r\nContent-Length: 16\r\n\r\n{\"not_run\":true}"
	addr := startRawTarget(t, func(n int, c net.Conn) {
		in := bufio.NewReader(c)
		for k := 0; ; k++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if n == 1 {
				_, _ = io.WriteString(c, refusal)
			}
			if n > 1 || k > 0 {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"request_id\":\"r\"}")
			}
		}
	})
	c := newClient(t, Options{})
	_, err := c.Call(t.Context(), addr, CallRequest{RequestID: "q", Body: json.RawMessage(`1`)})
	wantFailure(t, err, errs.CodeUnavailable, errs.NotRun)
	if _, err = c.Call(t.Context(), addr, CallRequest{RequestID: "r", Body: json.RawMessage(`1`)}); err != nil {
		t.Errorf("the second call ran and gets %v", err)
	}
}

// Guards against targets that get a new connection for each request long after a refusal, and against addresses that are kept.
func TestRefusalsAreForgotten(t *testing.T) {
	var r refusals
	now := time.Now()
	r.record("a", now)
	if !r.recent("a", now.Add(refusedFor-1)) || r.recent("a", now.Add(refusedFor)) || r.recent("b", now) {
		t.Error("a refusal counts for another time or target")
	}
	r.record("b", now.Add(refusedFor))
	if len(r.until) != 1 {
		t.Errorf("%d addresses are kept, want 1", len(r.until))
	}
}
