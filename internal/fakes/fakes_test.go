package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newEngine(t *testing.T, o EngineOptions) (*Engine, *engine.Client) {
	t.Helper()
	if o.Models == nil {
		o.Models = map[string]uint64{"m": 1}
	}
	e, err := NewEngine(o)
	if err != nil {
		t.Fatal(err)
	}
	c := engine.New(engine.Options{ProgressTimeout: 200 * time.Millisecond})
	t.Cleanup(func() { c.Close(); e.Close() })
	return e, c
}

// generate generates an output to its end and calls onChunk, unless nil, with the number of chunks
// after each one.
func generate(c *engine.Client, e *Engine, id string, tokens uint32, onChunk func(n int)) (*engine.Assembler, error) {
	a, n := engine.NewAssembler(id, 0), 0
	err := c.Generate(context.Background(), e.Addr(), engine.Request{RequestID: id, Model: "m", Prompt: "p", MaxTokens: tokens}, func(chunk engine.Chunk) error {
		_, err := a.Add(chunk)
		if n++; onChunk != nil {
			onChunk(n)
		}
		return err
	})
	return a, err
}

func loadOrder(version, fence uint64) engine.Order {
	return engine.Order{Kind: engine.OrderLoad, Model: "m", Version: version, Fence: fence, ExpiresAt: time.Now().Add(time.Minute)}
}

// Guards against a client and a fake engine that disagree on timeouts, resuming or version labels. The
// connection is blackholed and the weights change in mid-stream; the output must be complete and
// correctly labelled after a single execution.
func TestBlackholeDuringSwap(t *testing.T) {
	truth := NewVersionRecorder()
	e, c := newEngine(t, EngineOptions{VersionRecorder: truth, TokenInterval: time.Millisecond})
	a, err := generate(c, e, "long-43", 300, func(n int) {
		if n == 2 {
			e.Blackhole()
			if err := c.Order(t.Context(), e.Addr(), loadOrder(2, 1)); err != nil {
				t.Error(err)
			}
		}
	})
	if err != nil || !a.Complete() || !IsCompleteOutput("p", 300, a.Text(), uint32(a.Tokens())) {
		t.Fatalf("err %v, complete %v", err, a.Complete())
	}
	if a.Uncertain() || !truth.Matches("long-43", uint32(a.Tokens()), a.Versions()) {
		t.Errorf("label %v", a.Versions())
	}
	if e.Executions("long-43") != 1 || e.ExecutionsOfInput("p") != 1 {
		t.Errorf("%d executions", e.Executions("long-43"))
	}
}

// Guards against a client that resumes on another blackholed connection: it has two idle connections,
// both blackholed, and may resume only once.
func TestBlackholedIdleConnections(t *testing.T) {
	e, _ := newEngine(t, EngineOptions{TokenInterval: time.Millisecond})
	c := engine.New(engine.Options{FirstChunkTimeout: 100 * time.Millisecond, MaxResumes: 1})
	defer c.Close()
	if _, err := generate(c, e, "outer", 8, func(n int) {
		if n == 1 {
			if _, err := generate(c, e, "inner", 8, nil); err != nil {
				t.Error(err)
			}
		}
	}); err != nil {
		t.Fatal(err)
	}
	e.Blackhole()
	began := time.Now()
	r := engine.Request{RequestID: "r", Model: "m", MaxTokens: 8, Resumable: true}
	if err := c.Generate(t.Context(), e.Addr(), r, func(engine.Chunk) error { return nil }); err != nil || time.Since(began) < 100*time.Millisecond {
		t.Errorf("err %v after %s; a blackholed connection must time out first", err, time.Since(began))
	}
}

// Guards against a cancelled stream that continues, and against a version change by an order whose
// engine crashed during the load.
func TestCancelAndCrashDuringSwap(t *testing.T) {
	e, c := newEngine(t, EngineOptions{SwapDuration: time.Hour, TokenInterval: 20 * time.Millisecond})
	a, err := generate(c, e, "long-43", 300, func(n int) {
		if n == 1 {
			if err := c.Cancel(t.Context(), e.Addr(), "long-43"); err != nil {
				t.Error(err)
			}
		}
	})
	if errs.OutcomeOf(err) != errs.Unknown || a.Complete() {
		t.Errorf("cancelled stream: %v", err)
	}
	ordered := make(chan error, 1)
	go func() { ordered <- c.Order(context.Background(), e.Addr(), loadOrder(2, 1)) }()
	for len(e.Orders()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.Crash()
	if err := <-ordered; errs.OutcomeOf(err) != errs.Unknown || len(e.VersionChanges()) != 0 {
		t.Errorf("crashed swap: %v, changes %v", err, e.VersionChanges())
	}
}

// Guards against an engine that accepts outdated fence numbers, reports a version after a failed load,
// or keeps a loaded version after a crash.
func TestEngineOrders(t *testing.T) {
	e, c := newEngine(t, EngineOptions{CheckFence: true})
	e.FailNextSwaps(1)
	if err := c.Order(t.Context(), e.Addr(), loadOrder(2, 5)); errs.OutcomeOf(err) != errs.Unknown {
		t.Errorf("failed swap: %v", err)
	}
	s, err := c.State(t.Context(), e.Addr())
	if diff := cmp.Diff([]string{"m"}, s.Uncertain); diff != "" || err != nil || len(s.Loaded) != 0 {
		t.Error(diff, err, s)
	}
	if a, err := generate(c, e, "r1", 8, nil); err != nil || !a.Uncertain() {
		t.Errorf("output after a failed swap: %v, uncertain %v", err, a.Uncertain())
	}
	if err := c.Order(t.Context(), e.Addr(), loadOrder(2, 4)); errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("old fence: %v", err)
	}
	if err := c.Order(t.Context(), e.Addr(), loadOrder(2, 6)); err != nil {
		t.Error(err)
	}
	if n := len(e.VersionChanges()); n != 2 {
		t.Errorf("%d changes, want 2", n)
	}
	e.Crash()
	if _, err := c.State(t.Context(), e.Addr()); errs.OutcomeOf(err) != errs.NotRun {
		t.Errorf("crashed engine: %v", err)
	}
	c.Close() // an idle connection from before the crash may still look usable
	if err := e.Restart(); err != nil || e.Incarnation() != 2 {
		t.Errorf("restart: %v, incarnation %d", err, e.Incarnation())
	}
	if a, err := generate(c, e, "r2", 8, nil); err != nil || !cmp.Equal(a.Versions(), []uint64{1}) {
		t.Errorf("restarted engine: %v, versions %v", err, a.Versions())
	}
}

// Guards against a resume that restarts an unknown stream, and against an imported KV cache that does
// not let another engine resume the stream.
func TestResumeAfterKVImport(t *testing.T) {
	e, c := newEngine(t, EngineOptions{})
	other, _ := newEngine(t, EngineOptions{Models: map[string]uint64{"m": 7}})
	if _, err := generate(c, e, "r", 300, nil); err != nil {
		t.Fatal(err)
	}
	kv, err := c.ExportKV(t.Context(), e.Addr(), "r")
	if err != nil {
		t.Fatal(err)
	}
	resume := engine.Request{RequestID: "r", Model: "m", Prompt: "p", MaxTokens: 300, Offset: 5}
	ignore := func(engine.Chunk) error { return nil }
	if err := c.Generate(t.Context(), other.Addr(), resume, ignore); errs.OutcomeOf(err) != errs.Unknown {
		t.Errorf("resume of an unknown stream: %v", err)
	}
	if err := c.ImportKV(t.Context(), other.Addr(), kv); err != nil {
		t.Fatal(err)
	}
	if err := c.Generate(t.Context(), other.Addr(), resume, ignore); err != nil || other.Executions("r") != 0 {
		t.Errorf("resume after import: %v, %d executions", err, other.Executions("r"))
	}
	if _, err := generate(c, e, "r", 300, func(int) { e.Crash() }); err != nil && errs.OutcomeOf(err) != errs.Unknown {
		t.Errorf("crash: %v", err)
	}
}

// Guards against a weight store that ignores its limits, and against an interrupted download after
// which the engine still reports a certain version.
func TestStore(t *testing.T) {
	s, err := NewStore(StoreOptions{Size: 1000, BytesPerSecond: 10_000, MaxDownloads: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	e, c := newEngine(t, EngineOptions{StoreURL: s.URL()})
	began := time.Now()
	if err := c.Order(t.Context(), e.Addr(), loadOrder(2, 1)); err != nil || time.Since(began) < 100*time.Millisecond {
		t.Errorf("err %v after %s, want 100 ms for 1000 bytes", err, time.Since(began))
	}
	s.SetRate(1) // downloads from here on do not complete during the test
	slow, _ := newEngine(t, EngineOptions{StoreURL: s.URL()})
	ordered := make(chan error, 1)
	go func() { ordered <- c.Order(context.Background(), slow.Addr(), loadOrder(2, 1)) }()
	for s.Stats().Active == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := c.Order(t.Context(), e.Addr(), loadOrder(3, 2)); err == nil || s.Stats().Refused != 1 {
		t.Errorf("second download: %v, %+v", err, s.Stats())
	}
	s.Crash()
	if err := <-ordered; err == nil || len(slow.certainModels()) != 0 || !cmp.Equal(e.certainModels(), map[string]uint64{"m": 2}) {
		t.Errorf("err %v, loaded %v and %v", err, slow.certainModels(), e.certainModels())
	}
}

// Guards against a service that miscounts executions, or answers not_run to a call that ran.
func TestService(t *testing.T) {
	s, err := NewService(TargetOptions{ID: "s"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := engine.New(engine.Options{})
	defer c.Close()
	call := func(id string) error {
		body := json.RawMessage(`{"entry":1}`)
		r, err := c.Call(t.Context(), s.Addr(), engine.CallRequest{RequestID: id, Body: body, Unsafe: true})
		if err == nil && !IsCorrectAnswer(body, r.Body) {
			t.Errorf("answer %s", r.Body)
		}
		return err
	}
	s.RefuseNext(1)
	if err := call("r1"); errs.OutcomeOf(err) != errs.NotRun || s.Executions("r1") != 0 {
		t.Errorf("refused: %v", err)
	}
	s.BreakNext(1)
	if err := call("r1"); errs.OutcomeOf(err) != errs.Unknown || s.Executions("r1") != 1 {
		t.Errorf("broken: %v", err)
	}
	if err := call("r2"); err != nil || s.ExecutionsOfInput(`{ "entry": 1 }`) != 2 {
		t.Errorf("call: %v, %d executions", err, s.ExecutionsOfInput(`{"entry":1}`))
	}
}

// Guards against a target that announces itself to one host only, or still announces itself after
// Leave.
func TestAnnouncements(t *testing.T) {
	var mu sync.Mutex
	var requests []string
	host := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			requests = append(requests, name+r.URL.Path)
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	s, err := NewService(TargetOptions{ID: "s", Hosts: []string{host("a"), host("b")}, AnnounceInterval: 5 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	count := func(want string) (n int) {
		mu.Lock()
		defer mu.Unlock()
		for _, request := range requests {
			if request == want {
				n++
			}
		}
		return n
	}
	for count("a/v1/targets/announce") < 2 || count("b/v1/targets/announce") < 2 {
		time.Sleep(time.Millisecond)
	}
	if err := s.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	before := count("a/v1/targets/announce") + count("b/v1/targets/announce")
	time.Sleep(30 * time.Millisecond)
	after := count("a/v1/targets/announce") + count("b/v1/targets/announce")
	if left := count("a/v1/targets/s/leave") + count("b/v1/targets/s/leave"); left != 1 || before != after {
		t.Errorf("left %d times, %d announcements after that", left, after-before)
	}
	mu.Lock()
	defer mu.Unlock()
	if last := requests[len(requests)-1]; !strings.HasSuffix(last, "/leave") {
		t.Errorf("the last request is %s, want that of the departure", last)
	}
}

// Guards against counters that miss a violation: each case injects one fault into the answers of an
// otherwise correct host.
func TestTrainerDetectsViolations(t *testing.T) {
	for fault, want := range map[string]TrainerStats{
		"":          {Requested: 3, Delivered: 3},
		"lost":      {Requested: 3, Delivered: 2, Lost: 1},
		"duplicate": {Requested: 3, Delivered: 3, Duplicated: 1},
		"stale":     {Requested: 3, Delivered: 3, Stale: 1},
		"label":     {Requested: 3, Delivered: 3, Mislabelled: 1},
		"cut":       {Requested: 3, Delivered: 3, Wrong: 1},
		"skip":      {Requested: 3, Delivered: 3, OutOfOrder: 1},
		"answers":   {Requested: 3, Delivered: 3},
	} {
		truth := NewVersionRecorder()
		version := uint64(9)
		if fault == "stale" {
			version = 6
		}
		var samples []Sample
		for slot := range 3 {
			id := fmt.Sprint("r", slot)
			s := Sample{Slot: slot, Versions: []uint64{9}}
			s.Output, s.Tokens = Output("p", id, 50)
			if slot == 1 {
				s.Versions[0] = version
			}
			for i := range int(s.Tokens) {
				truth.record(id, i, s.Versions[0])
			}
			samples = append(samples, s)
		}
		first, second := samples[:2], samples[2:]
		switch fault {
		case "lost":
			second = nil
		case "duplicate":
			second = samples[1:]
		case "label":
			first[0].Versions = []uint64{9, 8}
		case "cut":
			first[0].Output = strings.TrimSuffix(first[0].Output, " ")
		}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var f FetchRequest
			if !strings.HasSuffix(r.URL.Path, "/fetch") || !decodeRequest(w, r, &f) {
				return
			}
			b := map[uint64]Batch{0: {Batch: 1, Samples: first}, 1: {Batch: 2, Samples: second, Complete: true}}[f.Ack]
			if fault == "skip" && f.Ack == 1 {
				b.Batch = 3
			}
			b.Complete = f.Ack >= 1
			writeJSON(w, http.StatusOK, b)
		}))
		o := TrainerOptions{Hosts: []string{s.URL}, StalenessBound: 2, VersionRecorder: truth, Seed: 1}
		if fault == "answers" {
			o.AnswerLossRate = 0.5
		}
		tr := NewTrainer(o)
		if err := tr.Publish(t.Context(), 9); err != nil {
			t.Fatal(err)
		}
		if err := tr.RunStep(t.Context(), "s", []Group{{Prompt: "p", Samples: 3, MaxTokens: 50}}, time.Minute); err != nil {
			t.Fatal(err)
		}
		got := tr.Stats()
		if (got.Resent > 0) != (fault == "answers") {
			t.Errorf("%s: %d resent", fault, got.Resent)
		}
		got.Staleness, got.IdleTime, got.Resent = nil, 0, 0
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("fault %q: %s", fault, diff)
		}
		tr.Close()
		s.Close()
	}
}

// Guards against a desk that repeats a request that must not be repeated, or misses a wrong answer, a
// second execution, or an execution of a request reported as not_run.
func TestDeskDetectsViolations(t *testing.T) {
	var mu sync.Mutex // the handler of an aborted answer may still run when the resend arrives
	runs := map[string]int{}
	answers := map[string]func(w http.ResponseWriter, n int, r DeskRequest){
		"good": func(w http.ResponseWriter, n int, r DeskRequest) {
			writeJSON(w, http.StatusOK, DeskAnswer{Body: ServiceAnswer(r.Body, "r")})
		},
		"wrong": func(w http.ResponseWriter, n int, r DeskRequest) {
			writeJSON(w, http.StatusOK, DeskAnswer{Body: ServiceAnswer(json.RawMessage(`"good"`), "r")})
		},
		"lost": func(w http.ResponseWriter, n int, r DeskRequest) {
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
			writeJSON(w, http.StatusOK, DeskAnswer{Body: ServiceAnswer(r.Body, "r")})
		},
		"not run": func(w http.ResponseWriter, n int, r DeskRequest) {
			var e errorResponse
			e.Error.Code, e.Error.Outcome = errs.CodeOverloaded, errs.NotRun
			writeJSON(w, http.StatusServiceUnavailable, e)
		},
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req DeskRequest
		var name string
		if decodeRequest(w, r, &req) && json.Unmarshal(req.Body, &name) == nil {
			mu.Lock()
			runs[string(req.Body)]++
			n := runs[string(req.Body)]
			mu.Unlock()
			answers[strings.Trim(name, "!")](w, n, req)
		}
	}))
	defer s.Close()
	d := NewDesk(DeskOptions{Hosts: []string{s.URL}, Pool: "intake", MaxResends: 2})
	defer d.Close()
	for _, r := range []DeskRequest{
		{Body: json.RawMessage(`"good"`)},
		{Body: json.RawMessage(`"wrong"`)},
		{Body: json.RawMessage(`"lost"`), Unsafe: true, IdempotencyKey: "k"}, // resent, and the host runs it again
		{Body: json.RawMessage(`"lost!"`), Unsafe: true},                     // not resent
		{Body: json.RawMessage(`"not run"`), Unsafe: true},
	} {
		_, _ = d.Do(t.Context(), r)
	}
	got := d.Audit(func(input string) int { return runs[input] })
	want := DeskStats{Requests: 5, Answers: 3, Wrong: 1, NotRun: 1, Unknown: 1, Resent: 3, UnsafeTwice: 2, RanAfterNotRun: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
