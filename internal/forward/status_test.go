package forward

import (
	"fmt"
	"net/http"
	"testing"

	"fuchsiaflow/routes"
)

// rawAnswer answers with a status line and otherwise like a target that leaves, has a limit and did not run the request.
func rawAnswer(status, more string) targetBehavior {
	return func(w http.ResponseWriter, r *http.Request, run func()) {
		run()
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\nStamp: s\r\n%sContent-Length: 2\r\n\r\nok", status, r.Header.Get("Id"), more)
	}
}

// Guards against statuses that no caller can be given: a closed connection, a response with the signature of the target,
// or a loss of the answer that another target has; and against trust in what else such a response says.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "099 x", "600", "999", "00 X", "0200", "-20", "2OO", "101 Switching Protocols"} {
		bad, plain := rawAnswer(status, "Not-Run: 1\r\nLeaving: 1\r\nLimit: 1\r\n"), rawAnswer(status, "")
		for _, c := range []struct {
			kind      routes.Kind
			behaviors []targetBehavior
			status    int
		}{
			{routes.Idempotent, []targetBehavior{bad, answer}, http.StatusOK},
			{routes.Idempotent, []targetBehavior{bad, bad}, http.StatusBadGateway},
			{routes.Unsafe, []targetBehavior{bad, bad}, http.StatusBadGateway},
			{routes.Stream, []targetBehavior{bad, bad}, http.StatusBadGateway},
			{routes.Unsafe, []targetBehavior{plain}, http.StatusBadGateway},
			{routes.Stream, []targetBehavior{plain}, http.StatusBadGateway},
		} {
			f, _ := newForwarder(t, c.behaviors...)
			resp, _, err := exchange(t, f, newRoute(c.kind, 2))
			if err != nil || resp.StatusCode != c.status || c.status != http.StatusOK && resp.Header.Get("Stamp") != "" {
				t.Errorf("%s after %q: status %d, %v, header %v", c.kind, status, resp.StatusCode, err, resp.Header)
			}
			for _, target := range f.view.Serving("s") {
				if _, limited := f.view.RateLimit(target.ID, target.Incarnation); limited || !f.view.Accepts(target.ID, target.Incarnation) {
					t.Errorf("%s after %q: what the response says about the target is believed", c.kind, status)
				}
			}
		}
	}
}

// Guards against a response without a body, or with a status line of an unusual form, that callers do not get.
func TestUnusualStatusesArePassedOn(t *testing.T) {
	for status, want := range map[string]int{"200": 200, "204 No Content": 204, "304 Not Modified": 304, "599 X": 599, "100 Continue\r\n\r\nHTTP/1.1 200 OK": 200} {
		for _, kind := range []routes.Kind{routes.Unsafe, routes.Stream} {
			f, _ := newForwarder(t, rawAnswer(status, ""))
			resp, body, err := exchange(t, f, newRoute(kind, 1))
			wantBody := "ok"
			if want == http.StatusNoContent || want == http.StatusNotModified {
				wantBody = ""
			}
			if err != nil || resp.StatusCode != want || body != wantBody || resp.Header.Get("Stamp") != "s" {
				t.Errorf("%s after %q: status %d with %q, %v", kind, status, resp.StatusCode, body, err)
			}
		}
	}
}
