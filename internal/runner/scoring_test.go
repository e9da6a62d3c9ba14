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
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/forward"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
	"fuchsiaflow/routes"
	"fuchsiaflow/storage"
)

var scoringHeaders = dialect.Headers{RequestID: "Id", Deadline: "Deadline-Ms", ExpectedInstance: "Expect-Instance", NotRun: "Not-Run", WeightVersion: "Versions",
	WeightVersionField: "versions", LastEventID: "Last-Event-Id", ServerStamp: "Stamp", RetryAfter: "Retry-After", Load: "Load", Leaving: []string{"Leaving"}}

// scoringCluster is a group of one replica with an engine and a scoring target. crash replaces the runner
// by a new one with the committed state, as after an election.
type scoringCluster struct {
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

func newScoringCluster(t *testing.T) *scoringCluster {
	log := slog.New(slog.DiscardHandler)
	c := &scoringCluster{t: t, view: clusterview.NewView(log, nil), afterText: func() {}, onCall: func(int, http.ResponseWriter) bool { return false }}
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
func (c *scoringCluster) applyConfig(version uint64, withScoring bool) {
	cfg := &routes.Config{Version: version, Services: []routes.Service{{Name: "engines", Slots: 2, KVCacheTokens: 10000, Models: []string{"m"}}, {Name: "scoring"}},
		Routes: []routes.Route{{Name: "g", Host: "h", Prefix: "/gen/", Kind: routes.Batch, Timeout: 10 * time.Second, MaxAttempts: 2,
			Destinations: []routes.Destination{{Service: "engines", Weight: 1}}, CompletionWindow: 7 * time.Second, MaxAge: time.Minute}}}
	if withScoring {
		cfg.Routes = append(cfg.Routes, routes.Route{Name: "s", Host: "h", Prefix: "/score/", Kind: routes.Idempotent, Timeout: time.Second, LatencyObjective: time.Second, MaxAttempts: 3,
			Destinations: []routes.Destination{{Service: "scoring", Weight: 1}}})
	}
	c.view.ApplyConfig(clusterview.Config{Version: version, Body: clusterview.EncodeConfig(cfg)}, "test")
}

func (c *scoringCluster) addTarget(id, service string, h http.HandlerFunc) {
	s := httptest.NewServer(h)
	c.t.Cleanup(s.Close)
	c.view.UpdateTarget(fleet.Target{ID: id, Service: service, Address: s.Listener.Addr().String(), Domain: "d", State: fleet.Ready, Slots: 4, Sequence: 1,
		Weights: map[string]uint64{"m": 1}})
}

func (c *scoringCluster) serveEngine(w http.ResponseWriter, r *http.Request) {
	(&fakeEngine{totalEvents: 3, version: 1}).ServeHTTP(w, r)
	_ = http.NewResponseController(w).Flush()
	c.mu.Lock()
	c.generations++
	hook := c.afterText
	c.mu.Unlock()
	hook()
}

func (c *scoringCluster) serveScoring(w http.ResponseWriter, r *http.Request) {
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

func (c *scoringCluster) startRunner() {
	log := slog.New(slog.DiscardHandler)
	c.kernel = kernel.New(log)
	f := forward.New(scoringHeaders, c.view, "d", log, observe.NewMetrics(), observe.NewNoopTracing())
	c.runner = New(Options{Group: c.group, StateMachine: c.stateMachine, View: c.view, EngineClient: noOrders{}, Headers: scoringHeaders, Forwarder: f, Holder: "h",
		KeepResults: time.Minute, Log: log, Metrics: observe.NewMetrics(), Tracing: observe.NewNoopTracing()})
	if err := c.kernel.Register("runner", c.runner); err != nil {
		c.t.Fatal(err)
	}
	if err := c.kernel.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
}

func (c *scoringCluster) stopRunner() { _ = c.kernel.Stop(context.Background()) }

func (c *scoringCluster) crash() {
	c.stopRunner()
	c.startRunner()
}

func (c *scoringCluster) propose(cmd *storestate.Command) {
	c.t.Helper()
	data := storestate.EncodeCommand(cmd)
	c.await("a committed command", func() bool {
		_, err := c.group.Propose(c.t.Context(), data)
		return err == nil
	})
}

// submit submits job j with item "item", which is scored by call "call".
func (c *scoringCluster) submit() {
	c.t.Helper()
	c.submitJob("j", "call")
}

// submitJob submits a job with item "item", which is scored by the given call.
func (c *scoringCluster) submitJob(id, call string) {
	c.t.Helper()
	c.propose(&storestate.Command{SubmitJob: &jobs.Job{ID: id, Host: "h", Path: "/gen/j", Model: "m", MinVersion: 1, WantedGroups: 1, Items: []jobs.Item{
		{ID: "item", Path: "/gen/1", Body: []byte("b"), Group: "g", Scoring: &jobs.ScoringRequest{ID: call, Host: "h", Path: "/score/1", Body: []byte("x")}}}}})
}

func (c *scoringCluster) results() []jobs.Result { return c.resultsOf("j") }

func (c *scoringCluster) resultsOf(job string) []jobs.Result {
	var list []jobs.Result
	c.stateMachine.View(func(s *storestate.State) {
		page, _ := s.Jobs().Read(job, 0, 1<<20)
		list = page.Results
	})
	return list
}

func (c *scoringCluster) textIsCommitted() bool {
	complete := false
	c.stateMachine.View(func(s *storestate.State) {
		p, ok := s.Jobs().PartialText("item")
		complete = ok && p.Complete
	})
	return complete
}

func (c *scoringCluster) counts() (generations, calls, early int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generations, c.calls, c.early
}

// hooks sets the hooks of the servers.
func (c *scoringCluster) hooks(afterText func(), onCall func(n int, w http.ResponseWriter) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if afterText != nil {
		c.afterText = afterText
	}
	if onCall != nil {
		c.onCall = onCall
	}
}

func (c *scoringCluster) await(what string, ok func() bool) {
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
func (c *scoringCluster) checkResult(maxGenerations int) {
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

// Guards, for a leader that is lost at each point of the second stage of an item, against a result
// without a score, a text that is generated again although it was committed, a call before the text is
// complete, and a call after the score is committed.
func TestScoringSurvivesLossOfLeader(t *testing.T) {
	t.Run("before the text is committed", func(t *testing.T) {
		c := newScoringCluster(t)
		c.addTarget("s", "scoring", c.serveScoring)
		reached, release := make(chan struct{}), make(chan struct{})
		signal := once(reached)
		c.hooks(func() { signal(); <-release }, nil)
		c.submit()
		<-reached
		go func() { time.Sleep(20 * time.Millisecond); close(release) }()
		c.crash()
		c.checkResult(2)
	})
	t.Run("between text and call", func(t *testing.T) {
		c := newScoringCluster(t) // without a scoring target
		c.submit()
		c.await("committed text", c.textIsCommitted)
		c.crash()
		c.addTarget("s", "scoring", c.serveScoring)
		c.checkResult(1)
	})
	t.Run("during the call", func(t *testing.T) {
		c := newScoringCluster(t)
		c.addTarget("s", "scoring", c.serveScoring)
		reached, release := make(chan struct{}), make(chan struct{})
		t.Cleanup(func() { close(release) })
		c.hooks(nil, func(n int, _ http.ResponseWriter) bool {
			if n == 1 {
				close(reached)
				<-release
			}
			return false
		})
		c.submit()
		<-reached
		c.crash()
		c.checkResult(1)
		if r := c.results()[0]; r.Score == "score1" {
			t.Error("the score of a call without an answer is listed")
		}
	})
	t.Run("between answer and commit", func(t *testing.T) {
		c := newScoringCluster(t)
		c.addTarget("s", "scoring", c.serveScoring)
		answered := make(chan struct{})
		signal := once(answered)
		c.hooks(nil, func(_ int, w http.ResponseWriter) bool {
			_, _ = io.WriteString(w, "ok")
			signal()
			return true
		})
		c.submit()
		<-answered
		c.crash()
		c.checkResult(1)
	})
	t.Run("after the commit", func(t *testing.T) {
		c := newScoringCluster(t)
		c.addTarget("s", "scoring", c.serveScoring)
		c.submit()
		c.checkResult(1)
		_, before, _ := c.counts()
		c.crash()
		time.Sleep(10 * tickInterval)
		if _, calls, _ := c.counts(); calls != before {
			t.Errorf("%d calls after the score was committed", calls-before)
		}
	})
}

// Guards against an item whose call always fails and that is terminated before its route's number of
// answers with status 500, or never.
func TestItemWithFailingScoringIsTerminated(t *testing.T) {
	c := newScoringCluster(t)
	c.addTarget("s", "scoring", c.serveScoring)
	c.hooks(nil, func(_ int, w http.ResponseWriter) bool {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	})
	c.submit()
	c.await("result", func() bool { return len(c.results()) == 1 })
	if r := c.results()[0]; r.State != jobs.Terminated || r.Score != "" {
		t.Errorf("result %+v, want terminated", r)
	}
	if generations, calls, _ := c.counts(); calls != 3 || generations != 1 {
		t.Errorf("%d calls and %d generations, want 3 and 1", calls, generations)
	}
}

// Guards against calls after the end of a job, whose trainer no longer waits.
func TestEndOfJobStopsScoring(t *testing.T) {
	c := newScoringCluster(t)
	c.addTarget("s", "scoring", c.serveScoring)
	c.hooks(nil, func(_ int, w http.ResponseWriter) bool {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	c.submit()
	c.await("call", func() bool { _, calls, _ := c.counts(); return calls > 0 })
	c.propose(&storestate.Command{EndJob: &storestate.EndJob{Job: "j"}})
	time.Sleep(10 * tickInterval)
	_, before, _ := c.counts()
	time.Sleep(20 * tickInterval)
	if _, calls, _ := c.counts(); calls != before || len(c.results()) != 0 {
		t.Errorf("%d calls after the end of the job, results %+v", calls-before, c.results())
	}
}

// Guards against an item that is lost, or listed without a score, while a configuration without the route
// of its call is in force.
func TestScoringWaitsForItsRoute(t *testing.T) {
	c := newScoringCluster(t)
	c.addTarget("s", "scoring", c.serveScoring)
	c.applyConfig(2, false)
	c.submit()
	c.await("committed text", c.textIsCommitted)
	time.Sleep(10 * tickInterval)
	if _, calls, _ := c.counts(); calls > 0 || len(c.results()) > 0 {
		t.Fatalf("%d calls without a route, results %+v", calls, c.results())
	}
	c.applyConfig(3, true)
	c.checkResult(1)
}

// Guards against an item that is never scored because another open job has stored the complete text of the
// same item first.
func TestItemOfTwoOpenJobsIsScoredInBoth(t *testing.T) {
	c := newScoringCluster(t)
	c.addTarget("s", "scoring", c.serveScoring)
	c.hooks(nil, func(int, http.ResponseWriter) bool {
		c.await("second text", func() bool { generations, _, _ := c.counts(); return generations >= 2 })
		time.Sleep(100 * time.Millisecond) // the second text is proposed while the first one is stored
		return false
	})
	for _, job := range []string{"j", "j2"} {
		c.submitJob(job, "call of "+job)
	}
	for _, job := range []string{"j", "j2"} {
		c.await("result of job "+job, func() bool { return len(c.resultsOf(job)) == 1 })
		if r := c.resultsOf(job)[0]; r.State != jobs.Completed || r.Score == "" {
			t.Errorf("job %s: result %+v, want a complete text with a score", job, r)
		}
	}
}

// Guards against an item that is never scored because the complete text that kept its own from being stored was the
// one of another job, and that job got its result before this one used the text.
func TestRefusedTextIsStoredAgain(t *testing.T) {
	c := newScoringCluster(t)
	c.addTarget("s", "scoring", c.serveScoring)
	running, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	signal := once(running)
	c.hooks(func() { signal(); <-release }, nil)
	c.submit()
	<-running
	_, term, _ := c.group.Leader()
	c.runner.enqueue(term, func(time.Time) {
		j := c.runner.jobs["j"]
		text := &partialText{text: []byte("e1\ne2\ne3"), eventCount: 3, lastEventID: 3, versions: []uint64{1}}
		c.runner.scoreStoredText(j, j.items["item"], text)
	})
	c.checkResult(1)
}
