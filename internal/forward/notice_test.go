package forward

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaflow/balance"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/routes"
)

// leavingTarget counts the requests that reach it and adds headers to its answers.
type leavingTarget struct {
	requests atomic.Int64
	header   map[string]string
	then     targetBehavior
}

func (l *leavingTarget) serve(w http.ResponseWriter, r *http.Request, run func()) {
	l.requests.Add(1)
	for name, value := range l.header {
		w.Header().Set(name, value)
	}
	l.then(w, r, run)
}

func wholeStream(w http.ResponseWriter, r *http.Request, run func()) {
	run()
	writeStream(w, r.Header.Get("Id"), "s", http.StatusOK, "id: 1\ndata: one\n\n")
}

// sendUntilNoticed sends requests until one has reached the target.
func sendUntilNoticed(t *testing.T, l *leavingTarget, do func()) {
	t.Helper()
	for range 50 {
		if do(); l.requests.Load() > 0 {
			return
		}
	}
	t.Fatal("no request reached the target")
}

// doCall sends a scoring call.
func doCall(t *testing.T, f *Forwarder, r *routes.Route) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, err := f.Do(ctx, &Request{ID: "q1", Host: "h", Path: "/x", Timeout: time.Second}, r, 1); err != nil {
		t.Fatal(err)
	}
}

// Guards against requests that a target gets after it announced in an answer that it leaves: as first or next
// attempt of each kind, after late heartbeats of its own and of other hosts, and after a new configuration. A new
// incarnation is used.
func TestNoRequestAfterNotice(t *testing.T) {
	notice := map[string]string{"Leaving": "1"}
	streamRoute := newRoute(routes.Stream, 2)
	streamRoute.Resumable = true
	for name, c := range map[string]struct {
		then  targetBehavior // of the leaving target
		other targetBehavior
		do    func(f *Forwarder)
	}{
		"idempotent":          {answer, answer, func(f *Forwarder) { send(t, f, newRoute(routes.Idempotent, 2)) }},
		"idempotent, refused": {full, answer, func(f *Forwarder) { send(t, f, newRoute(routes.Idempotent, 2)) }},
		"idempotent, retry":   {answer, abortConnection, func(f *Forwarder) { send(t, f, newRoute(routes.Idempotent, 2)) }},
		"unsafe":              {answer, answer, func(f *Forwarder) { send(t, f, newRoute(routes.Unsafe, 2)) }},
		"stream":              {wholeStream, wholeStream, func(f *Forwarder) { send(t, f, streamRoute) }},
		"stream, resumed":     {wholeStream, interruptedStream, func(f *Forwarder) { _, _, _ = exchange(t, f, streamRoute) }},
		"scoring call":        {answer, answer, func(f *Forwarder) { doCall(t, f, newRoute(routes.Idempotent, 2)) }},
	} {
		t.Run(name, func(t *testing.T) {
			leaving := &leavingTarget{header: notice, then: c.then}
			f, _ := newForwarder(t, leaving.serve, c.other)
			sendUntilNoticed(t, leaving, func() { c.do(f) })
			reached := leaving.requests.Load()
			known, _ := f.view.Target("a")
			late := known
			late.Sequence++
			f.view.UpdateTarget(late)
			late.Sequence++
			f.view.Merge(&clusterview.Event{From: clusterview.StoreHost{ReplicaID: "10.0.0.1~x"}, Leader: "10.0.0.1~x", Term: 9, Targets: []fleet.Target{late}})
			f.view.ApplyConfig(clusterview.Config{Version: 5, Body: clusterview.EncodeConfig(&routes.Config{Version: 5})}, "test")
			for range 10 {
				c.do(f)
			}
			if got := leaving.requests.Load(); got != reached {
				t.Errorf("%d requests reached the target after its notice", got-reached)
			}
			next := known
			next.Incarnation++
			f.view.UpdateTarget(next)
			if got := len(f.view.Serving("s")); got != 2 {
				t.Errorf("%d targets serve after a new start of the target, want 2", got)
			}
		})
	}
}

// Guards against a sound target that is taken out of use by something that is no notice of its own.
func TestWhatIsNoNotice(t *testing.T) {
	for name, l := range map[string]*leavingTarget{
		"another value":    {header: map[string]string{"Leaving": "2"}, then: answer},
		"another request":  {header: map[string]string{"Leaving": "1"}, then: mismatchedID},
		"no signature":     {header: map[string]string{"Leaving": "1"}, then: func(w http.ResponseWriter, r *http.Request, _ func()) { w.Header().Set("Id", r.Header.Get("Id")) }},
		"another instance": {header: map[string]string{"Leaving": "1", "Id": "q1"}, then: func(w http.ResponseWriter, _ *http.Request, _ func()) { w.WriteHeader(http.StatusMisdirectedRequest) }},
		"refusal without request": {header: map[string]string{"Leaving": "1", "Not-Run": "1"},
			then: func(w http.ResponseWriter, _ *http.Request, _ func()) { w.WriteHeader(http.StatusServiceUnavailable) }},
		"no answer": {header: map[string]string{"Leaving": "1"}, then: abortConnection},
	} {
		f, _ := newForwarder(t, l.serve)
		send(t, f, newRoute(routes.Idempotent, 2))
		if l.requests.Load() == 0 || len(f.view.Serving("s")) != 1 {
			t.Errorf("%s: the target is out of use after %d requests", name, l.requests.Load())
		}
	}
}

// Guards against a notice that does not reach the caller, and against a caller that waits for its deadline, or gets
// no time to come back, when all targets leave.
func TestAllTargetsLeave(t *testing.T) {
	leaving := &leavingTarget{header: map[string]string{"Leaving": "1"}, then: answer}
	f, _ := newForwarder(t, leaving.serve)
	f.started = f.started.Add(-time.Minute)
	send(t, f, newRoute(routes.Idempotent, 2))
	begin := time.Now()
	status, _, retryAfter := send(t, f, newRoute(routes.Idempotent, 2))
	if took := time.Since(begin); status != http.StatusServiceUnavailable || retryAfter == "" || took > 300*time.Millisecond || leaving.requests.Load() != 1 {
		t.Errorf("status %d, Retry-After %q after %s and %d requests; want 503 at once", status, retryAfter, took, leaving.requests.Load())
	}
}

// Guards against a request that is sent to a target which announced its departure while the connection was opened.
func TestNoticeWhileConnecting(t *testing.T) {
	var reached atomic.Int64
	f, _ := newForwarder(t, func(http.ResponseWriter, *http.Request, func()) { reached.Add(1) })
	target, _ := f.view.Target("a")
	cand := newChoice(balance.Candidate{Target: target}, fleet.RateLimit{})
	f.view.RecordNotice(fleet.Departure{Target: "a", Incarnation: target.Incarnation}, "test")
	_, err := f.pool.Do(t.Context(), target.Address, &httpconn.Request{Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{},
		Body: io.Reader(strings.NewReader("x")), ContentLength: 1, BeforeSend: func() error { return f.checkAccepts(cand) }})
	if failure, ok := err.(*httpconn.RequestError); !ok || failure.Sent || reached.Load() > 0 {
		t.Errorf("error %v after %d requests, want one that says not sent", err, reached.Load())
	}
}

// BenchmarkPickTarget measures the choice among 40 targets on a host that has seen no notice.
func BenchmarkPickTarget(b *testing.B) {
	f := benchmarkForwarder(40)
	c := f.newCall(nil, &http.Request{Header: http.Header{}}, newRoute(routes.Idempotent, 2), 1)
	b.ReportAllocs()
	for b.Loop() {
		c.tried = c.tried[:0]
		c.pickTarget(context.Background())
	}
}

// benchmarkForwarder returns a forwarder that knows n targets.
func benchmarkForwarder(n int) *Forwarder {
	log := slog.New(slog.DiscardHandler)
	view := clusterview.NewView(log, nil)
	for i := range n {
		view.UpdateTarget(fleet.Target{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), Domain: "d", State: fleet.Ready, Slots: 6, Sequence: 1})
	}
	return newTestForwarder(view, log)
}
