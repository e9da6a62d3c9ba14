package forward

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/crashes"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/quarantine"
	"fuchsiaflow/routes"
)

// crashGroup is a state group in the process.
type crashGroup struct {
	view  *clusterview.View
	delay time.Duration // until a crash is stored
	mu    sync.Mutex
	table *quarantine.Table
	index uint64
}

func (g *crashGroup) apply(change func(index uint64) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index++
	changed := change(g.index)
	g.view.MergeQuarantine(g.table.ChangedAfter(g.index-1), "test")
	return changed
}

func (g *crashGroup) ReportCrash(_ context.Context, c quarantine.Crash) error {
	time.Sleep(g.delay)
	g.apply(func(index uint64) bool { return g.table.RecordCrash(index, c) })
	return nil
}

func (g *crashGroup) ReportAnswer(_ context.Context, f quarantine.Fingerprint) error {
	g.apply(func(index uint64) bool { return g.table.RecordAnswer(index, f) })
	return nil
}

func (g *crashGroup) RequestTrial(_ context.Context, f quarantine.Fingerprint, revision uint64) (bool, error) {
	return g.apply(func(index uint64) bool { return g.table.GrantTrial(index, f, revision) }), nil
}

// crashes returns the crashes that count for the only request.
func (g *crashGroup) crashes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.table.All() {
		return e.Crashes
	}
	return 0
}

// errCrash is the value with which a behavior panics to crash its target.
var errCrash = errors.New("the target crashes")

// newCrashForwarder returns a forwarder with a state group and a target for each behavior. A target whose behavior is
// nil crashes when it runs a request: its process is gone.
func newCrashForwarder(t *testing.T, behaviors ...targetBehavior) (*Forwarder, *crashGroup, *atomic.Int64) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	view := clusterview.NewView(log, nil)
	g, runs := &crashGroup{view: view, table: quarantine.NewTable(nil)}, new(atomic.Int64)
	for i, b := range behaviors {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{}
		s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if b == nil {
				runs.Add(1)
				_ = s.Close()
				return
			}
			defer func() {
				if v := recover(); v == errCrash {
					_ = s.Close()
				} else if v != nil {
					panic(v)
				}
			}()
			b(w, r, func() { runs.Add(1) })
		})
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		view.UpdateTarget(fleet.Target{ID: string(rune('a' + i)), Service: "s", Address: l.Addr().String(), Domain: "d", State: fleet.Ready, Slots: 6, Sequence: 1, Release: "v1"})
	}
	f := newTestForwarder(view, log)
	reporter := crashes.NewReporter(view, g, log, observe.NewMetrics())
	f.UseCrashReporter(reporter)
	f.started = time.Now().Add(-time.Hour) // after the warmup
	return f, g, runs
}

// hearVoter makes a view one of a host that is not cut off from the state group.
func hearVoter(view *clusterview.View) {
	voter := clusterview.StoreHost{ReplicaID: "10.0.0.1~a"}
	view.Merge(&clusterview.Event{From: voter, Leader: voter.ReplicaID, Term: 1, Voters: []string{voter.ReplicaID}})
}

// newCaller returns a function that sends the same request again and returns the status, the body and Retry-After, and
// the address of the server.
func newCaller(t *testing.T, f *Forwarder, route *routes.Route) (post func() (status int, body, retryAfter string), host string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.Serve(w, r, route, 1, Caller{}) }))
	t.Cleanup(s.Close)
	return func() (int, string, string) {
		hearVoter(f.view)
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/x", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Id", "q")
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode, string(data), resp.Header.Get("Retry-After")
	}, s.Listener.Addr().String()
}

// Guards against a request that takes down more targets than quarantine.SuspectCrashes, and one that is held for
// connections that end while their targets go on.
func TestCrashesStopRequest(t *testing.T) {
	for _, c := range []struct {
		name         string
		kind         routes.Kind
		behaviors    []targetBehavior
		status       int
		runs         int64
		crashes      int
		refusedAfter bool
	}{
		{name: "all crash", kind: routes.Idempotent, behaviors: []targetBehavior{nil, nil, nil, nil}, status: 502, runs: 2, crashes: 2, refusedAfter: true},
		{name: "all crash, stream", kind: routes.Stream, behaviors: []targetBehavior{nil, nil, nil, nil}, status: 502, runs: 2, crashes: 2, refusedAfter: true},
		{name: "connections end, targets go on", kind: routes.Idempotent, behaviors: []targetBehavior{abortConnection, abortConnection, abortConnection}, status: 502, runs: 3},
		{name: "unsafe request", kind: routes.Unsafe, behaviors: []targetBehavior{nil, nil, nil}, status: 502, runs: 1, crashes: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, g, runs := newCrashForwarder(t, c.behaviors...)
			route := newRoute(c.kind, 4)
			route.Resumable = c.kind == routes.Stream
			post, _ := newCaller(t, f, route)
			if status, body, _ := post(); status != c.status || runs.Load() != c.runs || g.crashes() != c.crashes {
				t.Fatalf("status %d (%s), %d runs, %d crashes; want %d, %d, %d", status, body, runs.Load(), g.crashes(), c.status, c.runs, c.crashes)
			}
			if !c.refusedAfter {
				return
			}
			status, body, retryAfter := post()
			wait, err := strconv.ParseFloat(retryAfter, 64)
			if status != http.StatusServiceUnavailable || runs.Load() != c.runs || err != nil || wait <= 0 {
				t.Errorf("the next one is answered %d (%s), Retry-After %q; %d runs", status, body, retryAfter, runs.Load())
			}
		})
	}
}

// Guards against a sound request that is not served, or stays under suspicion, after a target has crashed under it.
func TestAnswerClearsRequest(t *testing.T) {
	f, g, _ := newCrashForwarder(t, nil, answer)
	k := kernel.New(slog.New(slog.DiscardHandler))
	if err := k.Register("crashes", f.crashes); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	post, _ := newCaller(t, f, newRoute(routes.Idempotent, 3))
	for range 20 { // the target that crashes is chosen in one of them
		if status, body, _ := post(); status != http.StatusOK {
			t.Fatalf("status %d: %s", status, body)
		}
	}
	for deadline := time.Now().Add(time.Second); g.crashes() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if len(g.table.All()) == 0 || f.crashes.HasSuspects() {
		t.Errorf("requests with a crash: %d; suspects after an answer: %t", len(g.table.All()), f.crashes.HasSuspects())
	}
}

// trialWait is longer than the time from a crash to the trial of a release of which no target has crashed.
const trialWait = 5200 * time.Millisecond

// Guards against a trial that reaches more than one target, or a target of a release that has crashed.
func TestTrialReachesOneTarget(t *testing.T) {
	f, g, runs := newCrashForwarder(t, nil, nil, nil)
	post, host := newCaller(t, f, newRoute(routes.Idempotent, 3))
	request := quarantine.Request{Method: http.MethodPost, Host: host, URI: "/x", Body: []byte("body"), Length: 4}
	for i := range 3 {
		_ = g.ReportCrash(t.Context(), quarantine.Crash{Fingerprint: request.Fingerprint(), Instance: quarantine.Instance{Target: strconv.Itoa(i), Release: "v0"}})
	}
	if status, _, _ := post(); status != http.StatusServiceUnavailable || runs.Load() != 0 {
		t.Fatalf("status %d with %d runs before the trial", status, runs.Load())
	}
	time.Sleep(trialWait)
	if status, _, _ := post(); status != http.StatusBadGateway || runs.Load() != 1 {
		t.Errorf("status %d with %d runs for the trial of another release, want 502 and 1", status, runs.Load())
	}
}

// Guards against a request that reaches a further target while its fate at another one, at another host, is not known yet.
func TestSuspectWaitsForItsOtherRun(t *testing.T) {
	const otherRun = 40 * time.Millisecond
	for _, c := range []struct {
		name   string
		ends   func(g *crashGroup, f quarantine.Fingerprint)
		status int
		runs   int64
	}{
		{"second crash", func(g *crashGroup, f quarantine.Fingerprint) {
			_ = g.ReportCrash(context.Background(), quarantine.Crash{Fingerprint: f, Instance: quarantine.Instance{Target: "y"}})
		}, http.StatusServiceUnavailable, 0},
		{"answer", func(g *crashGroup, f quarantine.Fingerprint) { _ = g.ReportAnswer(context.Background(), f) }, http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, g, runs := newCrashForwarder(t, answer)
			post, host := newCaller(t, f, newRoute(routes.Idempotent, 3))
			request := quarantine.Request{Method: http.MethodPost, Host: host, URI: "/x", Body: []byte("body"), Length: 4}
			_ = g.ReportCrash(t.Context(), quarantine.Crash{Fingerprint: request.Fingerprint(), Instance: quarantine.Instance{Target: "x"}})
			begin := time.Now()
			time.AfterFunc(otherRun, func() { c.ends(g, request.Fingerprint()) })
			status, body, _ := post()
			if took := time.Since(begin); status != c.status || runs.Load() != c.runs || took < otherRun {
				t.Errorf("status %d (%s), %d runs after %s; want %d and %d after %s", status, body, runs.Load(), took, c.status, c.runs, otherRun)
			}
		})
	}
}

// Guards against a failure that is answered before the crashes under its request are known elsewhere, and against one
// that comes late because they never are.
func TestFailureWaitsUntilCrashesAreStored(t *testing.T) {
	const deadline = 700 * time.Millisecond
	const wayBack = 200 * time.Millisecond // to the caller; without a bound the answer comes after crashReportWait
	for _, c := range []struct {
		name     string
		delay    time.Duration
		cutOff   bool
		min, max time.Duration
	}{
		{name: "slow state group", delay: 300 * time.Millisecond, min: 300 * time.Millisecond, max: deadline},
		{name: "no state group within the deadline", delay: 2 * time.Second, min: deadline - 2*failureReserve, max: deadline + wayBack},
		{name: "host cut off", delay: 2 * time.Second, cutOff: true, max: deadline / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, g, _ := newCrashForwarder(t, nil, nil, nil)
			g.delay = c.delay
			if !c.cutOff {
				hearVoter(g.view)
			}
			route := newRoute(routes.Idempotent, 3)
			route.Timeout = deadline
			begin := time.Now()
			resp, body, _ := exchange(t, f, route)
			if took := time.Since(begin); resp.StatusCode != http.StatusBadGateway || took < c.min || took > c.max {
				t.Errorf("status %d (%s) after %s, want 502 after %s to %s", resp.StatusCode, body, took, c.min, c.max)
			}
		})
	}
}

// Guards against a broken stream that ends before the crashes under its request are known where its caller comes next.
func TestBrokenStreamWaitsUntilCrashesAreStored(t *testing.T) {
	const delay = 300 * time.Millisecond
	crashMidway := func(w http.ResponseWriter, r *http.Request, run func()) {
		run()
		writeStream(w, r.Header.Get("Id"), "s", http.StatusOK, firstEvent)
		time.Sleep(20 * time.Millisecond) // the event arrives before the connection ends
		panic(errCrash)
	}
	f, g, runs := newCrashForwarder(t, crashMidway, crashMidway, crashMidway)
	g.delay = delay
	hearVoter(g.view)
	route := newRoute(routes.Stream, 3)
	route.Resumable = true
	begin := time.Now()
	_, body, err := exchange(t, f, route)
	if took := time.Since(begin); body != firstEvent || err == nil || runs.Load() != quarantine.SuspectCrashes || took < delay {
		t.Errorf("%q, error %v after %s and %d runs; want the first event, an end that is no regular one after %s, and %d runs", body, err, took, runs.Load(), delay, quarantine.SuspectCrashes)
	}
}
