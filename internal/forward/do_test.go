package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"fuchsiaflow/routes"
)

func serverError(w http.ResponseWriter, r *http.Request, run func()) {
	run()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Stamp", "s")
	w.WriteHeader(http.StatusInternalServerError)
}

// endlessBody answers with a success whose body never ends.
func endlessBody(w http.ResponseWriter, r *http.Request, run func()) {
	answer(w, r, run)
	for r.Context().Err() == nil {
		if _, err := w.Write(make([]byte, 64<<10)); err != nil {
			return
		}
	}
}

func newScoringRequest() *Request {
	return &Request{ID: "call", Host: "h.example", Path: "/score/1", Body: []byte("text"), Timeout: time.Second}
}

// Guards, for requests that the system sends itself, against a signature without an answer, wrong counts
// of server errors, and an unsafe route that prevents the retry of a repeatable request.
func TestDo(t *testing.T) {
	for _, c := range []struct {
		name         string
		targets      []targetBehavior
		stamp        string
		status       int
		serverErrors int
	}{
		{"answered", []targetBehavior{answer}, "s", 200, 0},
		{"retried after a reset", []targetBehavior{abortConnection, answer}, "s", 200, 0},
		{"retried after a server error", []targetBehavior{serverError, answer}, "s", 200, 1},
		{"server errors", []targetBehavior{serverError, serverError}, "s", 500, 2},
		{"full", []targetBehavior{full}, "", 503, 0},
		{"answer of another request", []targetBehavior{mismatchedID}, "", 502, 0},
		{"no target", nil, "", 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, _ := newForwarder(t, c.targets...)
			f.started = time.Now().Add(-time.Hour) // after the warmup
			reply, err := f.Do(t.Context(), newScoringRequest(), newRoute(routes.Unsafe, 2), 1)
			if err != nil || reply.ServerStamp != c.stamp || reply.Status != c.status {
				t.Fatalf("reply %+v, error %v; want stamp %q and status %d", reply, err, c.stamp, c.status)
			}
			if reply.ServerErrors > c.serverErrors || c.serverErrors == 2 && reply.ServerErrors != 2 {
				t.Errorf("%d server errors, want %d", reply.ServerErrors, c.serverErrors)
			}
		})
	}
}

// Guards against a request that reaches a target changed.
func TestDoSendsRequestUnchanged(t *testing.T) {
	var method, uri, host, id, deadline string
	f, _ := newForwarder(t, func(w http.ResponseWriter, r *http.Request, run func()) {
		method, uri, host, id, deadline = r.Method, r.RequestURI, r.Host, r.Header.Get("Id"), r.Header.Get("Deadline-Ms")
		answer(w, r, run)
	})
	if _, err := f.Do(t.Context(), newScoringRequest(), newRoute(routes.Idempotent, 2), 1); err != nil {
		t.Fatal(err)
	}
	if method != "POST" || uri != "/score/1" || host != "h.example" || id != "call" || deadline == "" {
		t.Errorf("target gets %s %s of %s, ID %s, deadline %q", method, uri, host, id, deadline)
	}
}

// Guards against a body without end that counts as an answer, holds the caller beyond its timeout, or
// whose connection stays open.
func TestDoEndsEndlessBody(t *testing.T) {
	closed := make(chan struct{})
	f, _ := newForwarder(t, func(w http.ResponseWriter, r *http.Request, run func()) {
		endlessBody(w, r, run)
		close(closed)
	})
	start := time.Now()
	reply, err := f.Do(t.Context(), newScoringRequest(), newRoute(routes.Idempotent, 1), 1)
	if err == nil && reply.Status == http.StatusOK {
		t.Errorf("an endless body is an answer: %+v", reply)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the call ends after %s, its timeout is 1s", took)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection to the target is still open")
	}
}

// Guards against work that goes on at a target after the call was cancelled.
func TestDoEndsWithContext(t *testing.T) {
	ended := make(chan struct{})
	f, _ := newForwarder(t, func(w http.ResponseWriter, r *http.Request, run func()) {
		_, _ = io.Copy(io.Discard, r.Body)
		hang(w, r, run)
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := f.Do(ctx, newScoringRequest(), newRoute(routes.Idempotent, 1), 1); err == nil {
		t.Error("a cancelled call returns no error")
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the target still works on a cancelled call")
	}
}
