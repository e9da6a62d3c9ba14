package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"fuchsiaflow/routes"
)

const firstEvent = "id: 1\ndata: one\n\n"

// interruptedStream sends one event and breaks off within the second one.
func interruptedStream(w http.ResponseWriter, r *http.Request, run func()) {
	run()
	writeStream(w, r.Header.Get("Id"), "s", http.StatusOK, firstEvent+"id: 2\nda")
	panic(http.ErrAbortHandler)
}

func writeStream(w http.ResponseWriter, id, stamp string, status int, body string) {
	w.Header().Set("Id", id)
	if stamp != "" {
		w.Header().Set("Stamp", stamp)
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
	_ = http.NewResponseController(w).Flush()
}

// Guards, when a stream breaks off and the next target has no continuation, against the text of an error in the
// stream, against events that do not follow, and against a stream that ends as if it were complete.
func TestFailedResumptionAbortsTheStream(t *testing.T) {
	second := func(id, stamp string, status int, body string) targetBehavior {
		return func(w http.ResponseWriter, _ *http.Request, run func()) {
			run()
			writeStream(w, id, stamp, status, body)
		}
	}
	for name, next := range map[string]targetBehavior{
		"status 500":          second("q1", "s", 500, "Internal Server Error\n\n"),
		"status 502":          second("q1", "s", 502, "data: Bad Gateway\n\n"),
		"status 404":          second("q1", "s", 404, "not found\n\n"),
		"status 422":          second("q1", "s", 422, "id: 2\ndata: unprocessable\n\n"),
		"status 204":          second("q1", "s", 204, ""),
		"status 206":          second("q1", "s", 206, "id: 2\ndata: two\n\n"),
		"status 302":          second("q1", "s", 302, "moved\n\n"),
		"full":                full,
		"another request":     second("another", "s", 200, "id: 2\ndata: two\n\n"),
		"no signature":        second("q1", "", 200, "id: 2\ndata: two\n\n"),
		"text in place of it": second("q1", "s", 200, "HTTP/1.1 500 Internal Server Error\nServer: x\n\noverloaded\n\n"),
		"event without ID":    second("q1", "s", 200, "data: overloaded\n\n"),
		"missing event":       second("q1", "s", 200, "id: 3\ndata: three\n\n"),
		"missing event later": second("q1", "s", 200, "id: 4\ndata: four\n\nid: 5\ndata: five\n\n"),
		"hang":                hang,
		"abort":               abortConnection,
	} {
		t.Run(name, func(t *testing.T) {
			f, _ := newForwarder(t, interruptedStream, next)
			r := newRoute(routes.Stream, 2)
			r.Resumable = true
			// The balancer may pick the second target first: what it answers to the whole request is its own.
			interrupted := 0
			for range 8 {
				_, body, err := exchange(t, f, r)
				if !strings.HasPrefix(body, firstEvent) {
					continue
				}
				interrupted++
				if body != firstEvent {
					t.Fatalf("the caller gets %q, want only %q", body, firstEvent)
				}
				if err == nil {
					t.Fatal("the stream ends as if it were complete")
				}
			}
			if interrupted == 0 {
				t.Error("no stream was interrupted")
			}
		})
	}
}

// Guards against a request that runs twice, or is refused as not run while it runs, because a late second answer to
// another request is taken for its rejection.
func TestRejectionOfAnotherRequestIsNotBelieved(t *testing.T) {
	late := func(status int) targetBehavior {
		return func(w http.ResponseWriter, _ *http.Request, run func()) {
			run()
			w.Header().Set("Id", "earlier request")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(status)
		}
	}
	for _, kind := range []routes.Kind{routes.Unsafe, routes.Stream} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests} {
			f, runs := newForwarder(t, late(status), late(status))
			got, _, _ := send(t, f, newRoute(kind, 2))
			if got != http.StatusBadGateway || runs.Load() != 1 {
				t.Errorf("%s, late answer %d: status %d after %d runs, want 502 after 1", kind, status, got, runs.Load())
			}
		}
	}
}

// Guards against a stream that goes on at another target although events without IDs tell nobody where it was broken off.
func TestStreamOfEventsWithoutIDsIsNotResumed(t *testing.T) {
	for name, sent := range map[string]string{
		"no IDs":             "data: one\n\n",
		"ID, then without":   firstEvent + "data: one and a half\n\n",
		"without, then ID":   "data: one\n\n" + firstEvent,
		"comment beside one": ": alive\n\ndata: one\n\n",
		"text as a comment":  "event: x\ndata: one\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			// The balancer may pick either target first: both break off.
			breaksOff := func(w http.ResponseWriter, r *http.Request, run func()) {
				run()
				if last := r.Header.Get("Last-Event-Id"); last != "" {
					writeStream(w, "q1", "s", http.StatusOK, "id: 2\ndata: two\n\n")
					return
				}
				writeStream(w, r.Header.Get("Id"), "s", http.StatusOK, sent)
				panic(http.ErrAbortHandler)
			}
			f, _ := newForwarder(t, breaksOff, breaksOff)
			r := newRoute(routes.Stream, 2)
			r.Resumable = true
			if _, body, err := exchange(t, f, r); body != sent || err == nil {
				t.Errorf("the caller gets %q, error %v; want only %q, broken off", body, err, sent)
			}
		})
	}
}
