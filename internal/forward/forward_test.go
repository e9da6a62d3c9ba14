package forward

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/fakes"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/routes"
)

var headers = dialect.Headers{RequestID: "Id", Deadline: "Deadline-Ms", ExpectedInstance: "Expect-Instance", Instance: "Instance", ServerStamp: "Stamp",
	NotRun: "Not-Run", Load: "Load", WeightVersion: "Versions", LastEventID: "Last-Event-Id", Resumes: []string{"Resumes"}, RetryAfter: "Retry-After",
	Leaving: []string{"Leaving"}, RateLimit: []string{"Limit"}}

// targetBehavior handles a request at a test target. It calls run if the request runs.
type targetBehavior func(w http.ResponseWriter, r *http.Request, run func())

func answer(w http.ResponseWriter, r *http.Request, run func()) {
	run()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Stamp", "s")
	_, _ = io.WriteString(w, "answer")
}

func full(w http.ResponseWriter, r *http.Request, _ func()) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abortConnection(_ http.ResponseWriter, _ *http.Request, run func()) {
	run()
	panic(http.ErrAbortHandler)
}

func mismatchedID(w http.ResponseWriter, _ *http.Request, run func()) {
	run()
	w.Header().Set("Id", "another")
	w.Header().Set("Stamp", "s")
}

func hang(_ http.ResponseWriter, r *http.Request, run func()) {
	run()
	<-r.Context().Done()
}

// newForwarder returns a forwarder with one target for each behavior, and the number of requests that ran.
func newForwarder(t *testing.T, behaviors ...targetBehavior) (*Forwarder, *atomic.Int64) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	view := clusterview.NewView(log, nil)
	runs := new(atomic.Int64)
	for i, b := range behaviors {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			b(w, r, func() { runs.Add(1) })
		}))
		t.Cleanup(s.Close)
		view.UpdateTarget(fleet.Target{ID: string(rune('a' + i)), Service: "s", Address: s.Listener.Addr().String(), Domain: "d", State: fleet.Ready, Slots: 6, Sequence: 1})
	}
	return newTestForwarder(view, log), runs
}

// newTestForwarder returns a forwarder whose requests to targets with limits are granted by an allocator in the process.
func newTestForwarder(view *clusterview.View, log *slog.Logger) *Forwarder {
	m, allocator := observe.NewMetrics(), ratelimit.NewAllocator()
	grant := func(d ratelimit.Demand) (ratelimit.Grant, error) {
		if d.Limit == nil {
			return ratelimit.Grant{}, nil
		}
		return allocator.Lease(bootclock.Now(), ratelimit.Leadership{}, "host", d.Limit, d.Share)
	}
	limiter := ratelimit.New(view, ratelimit.Leader{Call: func(_ context.Context, d ratelimit.Demand) (ratelimit.Grant, error) { return grant(d) }}, log, m)
	return New(headers, view, limiter, "d", log, m, observe.NewNoopTracing())
}

func newRoute(kind routes.Kind, attempts int) *routes.Route {
	return &routes.Route{Name: "r", Kind: kind, Timeout: 2 * time.Second, LatencyObjective: 150 * time.Millisecond, MaxAttempts: attempts,
		Destinations: []routes.Destination{{Service: "s", Weight: 1}}}
}

// send forwards one request through a real server, so that aborted connections are detected.
func send(t *testing.T, f *Forwarder, r *routes.Route) (status int, body, retryAfter string) {
	t.Helper()
	resp, body, err := exchange(t, f, r)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, body, resp.Header.Get("Retry-After")
}

// exchange is send for a response that may be incomplete: err is that of its body.
func exchange(t *testing.T, f *Forwarder, r *routes.Route) (resp *http.Response, body string, err error) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { f.Serve(w, req, r, 1, Caller{}) }))
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "q1")
	req.Header.Set("Deadline-Ms", "700")
	if resp, err = http.DefaultClient.Do(req); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// Guards against retries of an unsafe request that may have run, a 503 for a request that ran, a failure
// that a retry would have avoided, and a response that belongs to another request.
func TestResponsesAndRetries(t *testing.T) {
	for _, c := range []struct {
		name      string
		kind      routes.Kind
		behaviors []targetBehavior
		status    int
		maxRuns   int64
	}{
		{"idempotent, first target aborts", routes.Idempotent, []targetBehavior{abortConnection, answer}, 200, 2},
		{"idempotent, mismatched request ID", routes.Idempotent, []targetBehavior{mismatchedID, answer}, 200, 2},
		{"idempotent, first target hangs", routes.Idempotent, []targetBehavior{hang, answer}, 200, 2},
		{"idempotent, all abort", routes.Idempotent, []targetBehavior{abortConnection, abortConnection}, 502, 2},
		{"idempotent, all full", routes.Idempotent, []targetBehavior{full, full}, 503, 0},
		{"unsafe, first target full", routes.Unsafe, []targetBehavior{full, answer}, 200, 1},
		{"unsafe, target aborts", routes.Unsafe, []targetBehavior{abortConnection, abortConnection}, 502, 1},
		{"unsafe, mismatched request ID", routes.Unsafe, []targetBehavior{mismatchedID, mismatchedID}, 502, 1},
		{"unsafe, target hangs", routes.Unsafe, []targetBehavior{hang, hang}, 504, 1},
		{"no target", routes.Unsafe, nil, 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, runs := newForwarder(t, c.behaviors...)
			status, body, retryAfter := send(t, f, newRoute(c.kind, 2))
			if status != c.status || runs.Load() > c.maxRuns {
				t.Errorf("status %d with %d runs, want %d with at most %d", status, runs.Load(), c.status, c.maxRuns)
			}
			if status == 200 && body != "answer" {
				t.Errorf("body %q, want the body from the target", body)
			}
			if status == 503 && retryAfter == "" {
				t.Error("status 503 without Retry-After")
			}
		})
	}
}

// Guards against delaying a request whose targets cannot be reached instead of refusing it at once.
func TestRequestIsRefusedAtOnceIfTargetsAreUnreachable(t *testing.T) {
	f, _ := newForwarder(t)
	for _, id := range []string{"a", "b"} {
		refusing, err := fakes.NewRefusingPort()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = refusing.Close() })
		f.view.UpdateTarget(fleet.Target{ID: id, Service: "s", Address: refusing.Address, State: fleet.Ready, Sequence: 1})
	}
	for i := range 3 {
		begin := time.Now()
		if status, _, retryAfter := send(t, f, newRoute(routes.Idempotent, 2)); status != 503 || retryAfter == "" {
			t.Errorf("request %d: status %d, Retry-After %q, want 503 with Retry-After", i, status, retryAfter)
		}
		if took := time.Since(begin); took > 300*time.Millisecond {
			t.Errorf("request %d was refused after %s, want at most 300ms", i, took)
		}
	}
}

// Guards against a missing, duplicated or truncated event when a stream is interrupted and another target
// resumes it, and against a stream that looks complete although it is not.
func TestStreamResumesAfterLastEvent(t *testing.T) {
	first := func(w http.ResponseWriter, r *http.Request, run func()) {
		run()
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: one\n\nid: 2\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	resumed := func(w http.ResponseWriter, r *http.Request, run func()) {
		run()
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Stamp", "s")
		if r.Header.Get("Last-Event-Id") == "1" {
			_, _ = io.WriteString(w, "id: 2\ndata: two\n\n")
		} else {
			_, _ = io.WriteString(w, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
		}
	}
	f, _ := newForwarder(t, first, resumed)
	r := newRoute(routes.Stream, 2)
	r.Resumable = true
	status, body, _ := send(t, f, r)
	if status != 200 || body != "id: 1\ndata: one\n\nid: 2\ndata: two\n\n" {
		t.Errorf("status %d, body %q, want 200 and both events once", status, body)
	}
}

// Guards against refusing a request on a host that has just started and learns of the target shortly
// afterwards, and against waiting for a target after the warmup period.
func TestRequestsWaitForTargetsOnlyDuringWarmup(t *testing.T) {
	f, _ := newForwarder(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answer(w, r, func() {}) }))
	defer s.Close()
	time.AfterFunc(100*time.Millisecond, func() {
		f.view.UpdateTarget(fleet.Target{ID: "late", Service: "s", Address: s.Listener.Addr().String(), State: fleet.Ready, Sequence: 1})
	})
	if status, _, _ := send(t, f, newRoute(routes.Unsafe, 1)); status != 200 {
		t.Errorf("status %d, want 200 from a host that learned of the target after 100 ms", status)
	}
	f, _ = newForwarder(t)
	f.started = f.started.Add(-warmupPeriod)
	begin := time.Now()
	if status, _, _ := send(t, f, newRoute(routes.Unsafe, 1)); status != 503 || time.Since(begin) > 300*time.Millisecond {
		t.Errorf("status %d after %s, want 503 at once", status, time.Since(begin))
	}
}
