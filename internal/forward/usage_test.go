package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/routes"
)

// fakeUsage keeps counts by account and window. The window is set by the test.
type fakeUsage struct {
	now    atomic.Uint64
	mu     sync.Mutex
	counts map[string]int
}

func (u *fakeUsage) Window() uint64                       { return u.now.Load() }
func (u *fakeUsage) Add(window uint64, account string)    { u.change(window, account, 1) }
func (u *fakeUsage) Remove(window uint64, account string) { u.change(window, account, -1) }

func (u *fakeUsage) change(window uint64, account string, by int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := fmt.Sprintf("%s in %d", account, window)
	if u.counts[key] += by; u.counts[key] == 0 {
		delete(u.counts, key)
	}
}

// Guards against requests that are counted without having run, twice, in the window of an attempt that was rejected, or
// for nobody. The window changes while the first target has the request.
func TestRequestsAreCountedOnce(t *testing.T) {
	var u *fakeUsage
	nextWindow := func(b targetBehavior) targetBehavior {
		return func(w http.ResponseWriter, r *http.Request, run func()) {
			u.now.Store(2)
			b(w, r, run)
		}
	}
	events := func(w http.ResponseWriter, _ *http.Request, run func()) {
		run()
		writeStream(w, "q1", "s", http.StatusOK, ": comment\n\n")
		u.now.Store(2)
		_, _ = fmt.Fprint(w, firstEvent+"id: 2\ndata: two\n\n")
	}
	comment := func(w http.ResponseWriter, _ *http.Request, run func()) {
		run()
		writeStream(w, "q1", "s", http.StatusOK, ": comment\n\n")
		panic(http.ErrAbortHandler)
	}
	failure := func(w http.ResponseWriter, _ *http.Request, run func()) {
		run()
		writeStream(w, "q1", "s", http.StatusInternalServerError, "")
	}
	second := make(chan struct{})
	rejectsLate := func(w http.ResponseWriter, r *http.Request, run func()) { <-second; full(w, r, run) }
	answersLate := func(w http.ResponseWriter, r *http.Request, run func()) {
		close(second)
		time.Sleep(50 * time.Millisecond) // the rejection arrives first
		answer(w, r, run)
	}
	for _, c := range []struct {
		name, account string
		kind          routes.Kind
		behaviors     []targetBehavior // of the first, second target that is tried
		lastEventID   string
		want          map[string]int
	}{
		{"answered", "a", routes.Unsafe, []targetBehavior{nextWindow(answer)}, "", map[string]int{"a in 1": 1}},
		{"without an account", "", routes.Unsafe, []targetBehavior{answer}, "", map[string]int{}},
		{"rejected, then run", "a", routes.Unsafe, []targetBehavior{nextWindow(full), answer}, "", map[string]int{"a in 2": 1}},
		{"rejected by all", "a", routes.Unsafe, []targetBehavior{nextWindow(full), full}, "", map[string]int{}},
		{"run, then run again", "a", routes.Idempotent, []targetBehavior{nextWindow(abortConnection), answer}, "", map[string]int{"a in 1": 1}},
		{"failed, then run", "a", routes.Idempotent, []targetBehavior{nextWindow(failure), answer}, "", map[string]int{"a in 1": 1}},
		{"hedged, first rejected late", "a", routes.Idempotent, []targetBehavior{nextWindow(rejectsLate), answersLate}, "", map[string]int{"a in 2": 1}},
		{"no answer", "a", routes.Unsafe, []targetBehavior{hang}, "", map[string]int{"a in 1": 1}},
		{"stream", "a", routes.Stream, []targetBehavior{events}, "", map[string]int{"a in 2": 1}},
		{"stream without an event", "a", routes.Stream, []targetBehavior{comment}, "", map[string]int{}},
		{"stream taken up by its caller", "a", routes.Stream, []targetBehavior{events}, "1", map[string]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tries atomic.Int64
			next := func(w http.ResponseWriter, r *http.Request, run func()) {
				c.behaviors[min(int(tries.Add(1)), len(c.behaviors))-1](w, r, run)
			}
			targets := make([]targetBehavior, len(c.behaviors))
			for i := range targets {
				targets[i] = next
			}
			f, _ := newForwarder(t, targets...)
			u = &fakeUsage{counts: make(map[string]int)}
			u.now.Store(1)
			f.UseUsageCounter(u)
			req := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
			req.Header.Set("Id", "q1")
			req.Header.Set("Deadline-Ms", "700")
			req.Header.Set("Last-Event-Id", c.lastEventID)
			func() {
				defer func() { _ = recover() }() // a stream that breaks off
				f.Serve(httptest.NewRecorder(), req, newRoute(c.kind, 2), 1, Caller{Account: c.account})
			}()
			u.mu.Lock()
			defer u.mu.Unlock()
			if d := cmp.Diff(c.want, u.counts); d != "" {
				t.Error(d)
			}
		})
	}
}

// Guards against a scoring call that is counted, and against a request that stays counted although its attempt, which was
// still in progress when the caller got a response, turns out not to have run.
func TestScoringCallsAndPendingAttemptsDoNotCount(t *testing.T) {
	u := &fakeUsage{counts: make(map[string]int)}
	f, runs := newForwarder(t, answer)
	f.UseUsageCounter(u)
	reply, err := f.Do(t.Context(), &Request{ID: "q1", Host: "h", Path: "/x", Timeout: time.Second}, newRoute(routes.Idempotent, 1), 1)
	if err != nil || reply.Status != http.StatusOK || runs.Load() != 1 {
		t.Fatalf("scoring call: %+v, %v", reply, err)
	}
	c := &call{forwarder: f, usage: f.newUsageCount("a")}
	res := c.newResult(nil, func() {})
	res.kind, res.window = resultNotRun, c.usage.attemptSent()
	results := make(chan *attemptResult, 1)
	results <- res
	(&attemptSet{call: c, results: results, pending: 1}).closePending()
	if len(u.counts) > 0 {
		t.Errorf("counts %v", u.counts)
	}
}
