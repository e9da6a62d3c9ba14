package runner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/duty"
	"fuchsiaflow/internal/forward"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
	"fuchsiaflow/routes"
	"fuchsiaflow/storage"
)

var clusterHeaders = dialect.Headers{RequestID: "Id", Deadline: "Deadline-Ms", ExpectedInstance: "Expect-Instance", NotRun: "Not-Run", WeightVersion: "Versions",
	WeightVersionField: "versions", LastEventID: "Last-Event-Id", ServerStamp: "Stamp", RetryAfter: "Retry-After", Load: "Load", Leaving: []string{"Leaving"}, RateLimit: []string{"Limit"}}

// testCluster is a group of one replica with an engine and a scoring target. crash replaces the runner
// by a new one with the committed state, as after an election.
type testCluster struct {
	t            *testing.T
	view         *clusterview.View
	group        *group.Group
	stateMachine *StateMachine
	kernel       *kernel.Kernel
	runner       *Runner

	mu          sync.Mutex
	generations int // complete runs of the item at the engine
	calls       int // scoring calls that reached the target
	early       int // calls that arrived before the text was complete
	// afterText is called when the engine has sent the last event, before the stream ends; onCall handles a
	// scoring call and reports whether it answered.
	afterText func()
	onCall    func(n int, w http.ResponseWriter) bool
}

type noOrders struct{}

func (noOrders) FetchReport(context.Context, string, string) (dialect.EngineReport, error) {
	return dialect.EngineReport{}, nil
}

func (noOrders) SendOrder(context.Context, string, dialect.Order) (dialect.OrderResult, error) {
	return dialect.OrderAlreadyDone, nil
}

func newTestCluster(t *testing.T) *testCluster {
	log := slog.New(slog.DiscardHandler)
	c := &testCluster{t: t, view: clusterview.NewView(log, nil), afterText: func() {}, onCall: func(int, http.ResponseWriter) bool { return false }}
	c.stateMachine = NewStateMachine(func(clusterview.Config) {}, func(fleet.Departure) {})
	var err error
	c.group, err = group.Open(group.Options{Group: storestate.Group, ID: "127.0.0.1", Voters: []string{"127.0.0.1"}, Start: storage.Bootstrap, FS: storage.OS{}, Dir: t.TempDir(),
		StateMachine: c.stateMachine, Rand: rand.New(rand.NewPCG(1, 1)), Logger: log, HeartbeatInterval: 10 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = c.group.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	c.applyConfig(1, true)
	c.addTarget("e", "engines", c.serveEngine)
	c.startRunner()
	t.Cleanup(c.stopRunner)
	return c
}

// applyConfig applies a configuration with or without the route of the scoring calls.
func (c *testCluster) applyConfig(version uint64, withScoring bool) {
	cfg := &routes.Config{Version: version, Services: []routes.Service{{Name: "engines", Slots: 2, KVCacheTokens: 10000, Models: []string{"m"}, Scale: &routes.Scale{Min: 1, Max: 2}}, {Name: "scoring"}},
		Routes: []routes.Route{{Name: "g", Host: "h", Prefix: "/gen/", Kind: routes.Batch, Timeout: 10 * time.Second, MaxAttempts: 2,
			Destinations: []routes.Destination{{Service: "engines", Weight: 1}}, CompletionWindow: 7 * time.Second, MaxAge: time.Minute}}}
	if withScoring {
		cfg.Routes = append(cfg.Routes, routes.Route{Name: "s", Host: "h", Prefix: "/score/", Kind: routes.Idempotent, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 3,
			Destinations: []routes.Destination{{Service: "scoring", Weight: 1}}})
	}
	c.view.ApplyConfig(clusterview.Config{Version: version, Body: clusterview.EncodeConfig(cfg)}, "test")
}

func (c *testCluster) addTarget(id, service string, h http.HandlerFunc) {
	s := httptest.NewServer(h)
	c.t.Cleanup(s.Close)
	c.view.UpdateTarget(fleet.Target{ID: id, Service: service, Address: s.Listener.Addr().String(), Domain: "d", State: fleet.Ready, Slots: 4, Sequence: 1,
		Weights: map[string]uint64{"m": 1}})
}

func (c *testCluster) serveEngine(w http.ResponseWriter, r *http.Request) {
	(&fakeEngine{totalEvents: 3, version: 1}).ServeHTTP(w, r)
	_ = http.NewResponseController(w).Flush()
	c.mu.Lock()
	c.generations++
	hook := c.afterText
	c.mu.Unlock()
	hook()
}

func (c *testCluster) serveScoring(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	c.mu.Lock()
	c.calls++
	n, hook := c.calls, c.onCall
	if c.generations == 0 {
		c.early++
	}
	c.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Stamp", fmt.Sprint("score", n))
	if !hook(n, w) {
		_, _ = io.WriteString(w, "ok")
	}
}

func (c *testCluster) startRunner() {
	log := slog.New(slog.DiscardHandler)
	c.kernel = kernel.New(log)
	allocator := ratelimit.NewAllocator()
	grant := func(d ratelimit.Demand) (ratelimit.Grant, error) {
		if d.Limit == nil {
			return ratelimit.Grant{}, nil
		}
		return allocator.Lease(bootclock.Now(), ratelimit.Leadership{}, "h", d.Limit, d.Share)
	}
	leader := ratelimit.Leader{Local: grant, Call: func(_ context.Context, d ratelimit.Demand) (ratelimit.Grant, error) { return grant(d) }}
	limiter := ratelimit.New(c.view, leader, log, observe.NewMetrics())
	f := forward.New(clusterHeaders, c.view, limiter, "d", log, observe.NewMetrics(), observe.NewNoopTracing())
	c.runner = New(Options{Group: c.group, StateMachine: c.stateMachine, View: c.view, EngineClient: noOrders{}, Headers: clusterHeaders, Forwarder: f, Limiter: limiter, Holder: "h",
		Tenure:      duty.NewTenure(c.group, "h", 0),
		KeepResults: time.Minute, Log: log, Metrics: observe.NewMetrics(), Tracing: observe.NewNoopTracing()})
	if err := c.kernel.Register("runner", c.runner); err != nil {
		c.t.Fatal(err)
	}
	if err := c.kernel.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
}

func (c *testCluster) stopRunner() { _ = c.kernel.Stop(context.Background()) }

func (c *testCluster) crash() {
	c.stopRunner()
	c.startRunner()
}

func (c *testCluster) propose(cmd *storestate.Command) {
	c.t.Helper()
	data := storestate.EncodeCommand(cmd)
	c.await("a committed command", func() bool {
		_, err := c.group.Propose(c.t.Context(), data)
		return err == nil
	})
}

// submit submits job j with item "item", which is scored by call "call".
func (c *testCluster) submit() {
	c.t.Helper()
	c.submitJob("j", "call")
}

// submitJob submits a job with item "item", which is scored by the given call.
func (c *testCluster) submitJob(id, call string) {
	c.t.Helper()
	c.propose(&storestate.Command{SubmitJob: &jobs.Job{ID: id, Host: "h", Path: "/gen/j", Model: "m", MinVersion: 1, WantedGroups: 1, Items: []jobs.Item{
		{ID: "item", Path: "/gen/1", Body: []byte("b"), Group: "g", Scoring: &jobs.ScoringRequest{ID: call, Host: "h", Path: "/score/1", Body: []byte("x")}}}}})
}

func (c *testCluster) results() []jobs.Result { return c.resultsOf("j") }

func (c *testCluster) resultsOf(job string) []jobs.Result {
	var list []jobs.Result
	c.stateMachine.View(func(s *storestate.State) {
		page, _ := s.Jobs().Read(jobs.Key{ID: job}, 0, 1<<20)
		list = page.Results
	})
	return list
}

func (c *testCluster) textIsCommitted() bool {
	complete := false
	c.stateMachine.View(func(s *storestate.State) {
		p, ok := s.Jobs().PartialText(jobs.Key{ID: "item"})
		complete = ok && p.Complete
	})
	return complete
}

func (c *testCluster) counts() (generations, calls, early int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generations, c.calls, c.early
}

// hooks sets the hooks of the servers.
func (c *testCluster) hooks(afterText func(), onCall func(n int, w http.ResponseWriter) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if afterText != nil {
		c.afterText = afterText
	}
	if onCall != nil {
		c.onCall = onCall
	}
}

func (c *testCluster) await(what string, ok func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	generations, calls, _ := c.counts()
	c.t.Fatalf("no %s within 10s; %d generations, %d calls", what, generations, calls)
}

// once returns a function that signals the first call on the channel and then does not block.
func once(ch chan<- struct{}) func() {
	var o sync.Once
	return func() { o.Do(func() { close(ch) }) }
}

// checkResult waits for the result and checks that it is complete, scored, and follows the text.
func (c *testCluster) checkResult(maxGenerations int) {
	c.t.Helper()
	c.await("result", func() bool { return len(c.results()) == 1 })
	r := c.results()[0]
	text, err := r.Text.Bytes()
	if err != nil || r.State != jobs.Completed || string(text) != "e1\ne2\ne3" || r.Score == "" {
		c.t.Errorf("result %+v with text %q, error %v; want a complete text with a score", r, text, err)
	}
	generations, calls, early := c.counts()
	if generations > maxGenerations || early > 0 {
		c.t.Errorf("%d generations, want at most %d; %d of %d calls before the text was complete", generations, maxGenerations, early, calls)
	}
}
