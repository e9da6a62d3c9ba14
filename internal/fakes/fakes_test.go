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

// generateWhole generates a whole output; during runs after each chunk.
func generateWhole(c *engine.Client, e *Engine, id string, tokens uint32, during func(n int)) (*engine.Assembler, error) {
	a, n := engine.NewAssembler(id, 0), 0
	err := c.Generate(context.Background(), e.Addr(), engine.Request{RequestID: id, Model: "m", Prompt: "p", MaxTokens: tokens}, func(chunk engine.Chunk) error {
		_, err := a.Add(chunk)
		if n++; during != nil {
			during(n)
		}
		return err
	})
	return a, err
}

func load(version, fence uint64) engine.Order {
	return engine.Order{Kind: engine.OrderLoad, Model: "m", Version: version, Fence: fence, ExpiresAt: time.Now().Add(time.Minute)}
}

// Guards against a client and an engine that disagree on silence, resuming and labels: the
// stream is made silent, the weights change, and the answer must still be whole.
func TestEngineSilenceAndSwap(t *testing.T) {
	truth := NewTruth()
	e, c := newEngine(t, EngineOptions{Truth: truth, TokenInterval: time.Millisecond})
	a, err := generateWhole(c, e, "long-43", 300, func(n int) {
		if n == 2 {
			e.Silence()
			if err := c.Order(t.Context(), e.Addr(), load(2, 1)); err != nil {
				t.Error(err)
			}
		}
	})
	if err != nil || !a.Complete() || !Whole("p", 300, a.Text(), uint32(a.Tokens())) {
		t.Fatalf("err %v, complete %v", err, a.Complete())
	}
	if a.Uncertain() || !truth.Matches("long-43", uint32(a.Tokens()), a.Versions()) {
		t.Errorf("label %v", a.Versions())
	}
	if e.Executions("long-43") != 1 || e.ExecutionsOf("p") != 1 {
		t.Errorf("%d executions", e.Executions("long-43"))
	}
}

// Guards against resuming on another connection that went silent at the same time: the
// client has two idle ones and may resume once only.
func TestSilentIdleConnections(t *testing.T) {
	e, _ := newEngine(t, EngineOptions{TokenInterval: time.Millisecond})
	c := engine.New(engine.Options{FirstChunkTimeout: 100 * time.Millisecond, MaxResumes: 1})
	defer c.Close()
	if _, err := generateWhole(c, e, "outer", 8, func(n int) {
		if n == 1 {
			if _, err := generateWhole(c, e, "inner", 8, nil); err != nil {
				t.Error(err)
			}
		}
	}); err != nil {
		t.Fatal(err)
	}
	e.Silence()
	began := time.Now()
	r := engine.Request{RequestID: "r", Model: "m", MaxTokens: 8, Resumable: true}
	if err := c.Generate(t.Context(), e.Addr(), r, func(engine.Chunk) error { return nil }); err != nil || time.Since(began) < 100*time.Millisecond {
		t.Errorf("err %v after %s; a silent connection does not answer", err, time.Since(began))
	}
}

// Guards against a cancelled stream that goes on, and against weights that change after the
// engine that loaded them crashed.
func TestEngineCancelAndCrashedSwap(t *testing.T) {
	e, c := newEngine(t, EngineOptions{SwapDuration: time.Hour, TokenInterval: 20 * time.Millisecond})
	a, err := generateWhole(c, e, "long-43", 300, func(n int) {
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
	go func() { ordered <- c.Order(context.Background(), e.Addr(), load(2, 1)) }()
	for len(e.Orders()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.Crash()
	if err := <-ordered; errs.OutcomeOf(err) != errs.Unknown || len(e.Changes()) != 0 {
		t.Errorf("crashed swap: %v, changes %v", err, e.Changes())
	}
}

// Guards against fakes that do not fail in the way a test asks for.
func TestEngineOrders(t *testing.T) {
	e, c := newEngine(t, EngineOptions{CheckFence: true})
	e.FailSwaps(1)
	if err := c.Order(t.Context(), e.Addr(), load(2, 5)); errs.OutcomeOf(err) != errs.Unknown {
		t.Errorf("failed swap: %v", err)
	}
	s, err := c.State(t.Context(), e.Addr())
	if diff := cmp.Diff([]string{"m"}, s.Uncertain); diff != "" || err != nil || len(s.Loaded) != 0 {
		t.Error(diff, err, s)
	}
	if a, err := generateWhole(c, e, "r1", 8, nil); err != nil || !a.Uncertain() {
		t.Errorf("output after a failed swap: %v, uncertain %v", err, a.Uncertain())
	}
	if err := c.Order(t.Context(), e.Addr(), load(2, 4)); errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("old fence: %v", err)
	}
	if err := c.Order(t.Context(), e.Addr(), load(2, 6)); err != nil {
		t.Error(err)
	}
	if n := len(e.Changes()); n != 2 {
		t.Errorf("%d changes, want 2", n)
	}
	e.Crash()
	if _, err := c.State(t.Context(), e.Addr()); errs.OutcomeOf(err) != errs.NotRun {
		t.Errorf("crashed engine: %v", err)
	}
	c.Close() // an idle connection of before the crash may look usable for a moment
	if err := e.Restart(); err != nil || e.Incarnation() != 2 {
		t.Errorf("restart: %v, incarnation %d", err, e.Incarnation())
	}
	if a, err := generateWhole(c, e, "r2", 8, nil); err != nil || !cmp.Equal(a.Versions(), []uint64{1}) {
		t.Errorf("restarted engine: %v, versions %v", err, a.Versions())
	}
}

// Guards against a resume that starts a lost stream again, and against KV cache that does
// not carry a stream to another engine.
func TestEngineCrashAndMove(t *testing.T) {
	e, c := newEngine(t, EngineOptions{})
	other, _ := newEngine(t, EngineOptions{Models: map[string]uint64{"m": 7}})
	if _, err := generateWhole(c, e, "r", 300, nil); err != nil {
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
	if _, err := generateWhole(c, e, "r", 300, func(int) { e.Crash() }); err != nil && errs.OutcomeOf(err) != errs.Unknown {
		t.Errorf("crash: %v", err)
	}
}

// Guards against a weight store that ignores its limits, and against a broken download that
// leaves weights of a certain version.
func TestStore(t *testing.T) {
	s, err := NewStore(StoreOptions{Size: 1000, Rate: 10_000, MaxActive: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	e, c := newEngine(t, EngineOptions{Store: s.URL()})
	began := time.Now()
	if err := c.Order(t.Context(), e.Addr(), load(2, 1)); err != nil || time.Since(began) < 100*time.Millisecond {
		t.Errorf("err %v after %s, want 100 ms for 1000 bytes", err, time.Since(began))
	}
	s.SetRate(1) // from here on downloads do not end
	slow, _ := newEngine(t, EngineOptions{Store: s.URL()})
	ordered := make(chan error, 1)
	go func() { ordered <- c.Order(context.Background(), slow.Addr(), load(2, 1)) }()
	for s.Tally().Active == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := c.Order(t.Context(), e.Addr(), load(3, 2)); err == nil || s.Tally().Refused != 1 {
		t.Errorf("second download: %v, %+v", err, s.Tally())
	}
	s.Crash()
	if err := <-ordered; err == nil || len(slow.certain()) != 0 || !cmp.Equal(e.certain(), map[string]uint64{"m": 2}) {
		t.Errorf("err %v, loaded %v and %v", err, slow.certain(), e.certain())
	}
}

// Guards against a service that loses count, or claims not_run for a call that ran.
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
		if err == nil && !WholeAnswer(body, r.Body) {
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
	if err := call("r2"); err != nil || s.ExecutionsOf(`{ "entry": 1 }`) != 2 {
		t.Errorf("call: %v, %d executions", err, s.ExecutionsOf(`{"entry":1}`))
	}
}

// Guards against a target that stays with one host, or keeps announcing itself after it
// left.
func TestAnnouncements(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	host := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, name+r.URL.Path)
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	s, err := NewService(TargetOptions{ID: "s", Hosts: []string{host("a"), host("b")}, Interval: 5 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	count := func(want string) (n int) {
		mu.Lock()
		defer mu.Unlock()
		for _, p := range seen {
			if p == want {
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
	time.Sleep(5 * time.Millisecond) // an announcement under way may still arrive
	before := count("a/v1/targets/announce") + count("b/v1/targets/announce")
	time.Sleep(30 * time.Millisecond)
	after := count("a/v1/targets/announce") + count("b/v1/targets/announce")
	if left := count("a/v1/targets/s/leave") + count("b/v1/targets/s/leave"); left != 1 || before != after {
		t.Errorf("left %d times, %d announcements after that", left, after-before)
	}
}

// Guards against tallies that overlook what they are there to find: each fault is injected
// into the answers of a host that is otherwise correct.
func TestTrainerTally(t *testing.T) {
	for fault, want := range map[string]TrainerTally{
		"":          {Requested: 3, Delivered: 3},
		"lost":      {Requested: 3, Delivered: 2, Lost: 1},
		"duplicate": {Requested: 3, Delivered: 3, Duplicated: 1},
		"stale":     {Requested: 3, Delivered: 3, Stale: 1},
		"label":     {Requested: 3, Delivered: 3, Mislabelled: 1},
		"cut":       {Requested: 3, Delivered: 3, Wrong: 1},
		"skip":      {Requested: 3, Delivered: 3, OutOfOrder: 1},
		"answers":   {Requested: 3, Delivered: 3},
	} {
		truth := NewTruth()
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
				truth.produce(id, i, s.Versions[0])
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
			var f Fetch
			if !strings.HasSuffix(r.URL.Path, "/fetch") || !decode(w, r, &f) {
				return
			}
			b := map[uint64]Batch{0: {Batch: 1, Samples: first}, 1: {Batch: 2, Samples: second, Complete: true}}[f.Ack]
			if fault == "skip" && f.Ack == 1 {
				b.Batch = 3
			}
			b.Complete = f.Ack >= 1
			reply(w, http.StatusOK, b)
		}))
		o := TrainerOptions{Hosts: []string{s.URL}, Bound: 2, Truth: truth, Seed: 1}
		if fault == "answers" {
			o.LoseAnswers = 0.5
		}
		tr := NewTrainer(o)
		if err := tr.Publish(t.Context(), 9); err != nil {
			t.Fatal(err)
		}
		if err := tr.RunStep(t.Context(), "s", []Group{{Prompt: "p", Samples: 3, MaxTokens: 50}}, time.Minute); err != nil {
			t.Fatal(err)
		}
		got := tr.Tally()
		if (got.Resent > 0) != (fault == "answers") {
			t.Errorf("%s: %d resent", fault, got.Resent)
		}
		got.Staleness, got.Idle, got.Resent = nil, 0, 0
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("fault %q: %s", fault, diff)
		}
		tr.Close()
		s.Close()
	}
}

// Guards against a desk that repeats what may not be repeated, or overlooks a wrong answer,
// a second execution, or a not_run that ran.
func TestDeskTally(t *testing.T) {
	var mu sync.Mutex // an aborted answer and the resend are not ordered otherwise
	runs := map[string]int{}
	answers := map[string]func(w http.ResponseWriter, n int, r DeskRequest){
		"good": func(w http.ResponseWriter, n int, r DeskRequest) {
			reply(w, http.StatusOK, DeskAnswer{Body: Answer(r.Body, "r")})
		},
		"wrong": func(w http.ResponseWriter, n int, r DeskRequest) {
			reply(w, http.StatusOK, DeskAnswer{Body: Answer(json.RawMessage(`"good"`), "r")})
		},
		"lost": func(w http.ResponseWriter, n int, r DeskRequest) {
			if n == 1 {
				panic(http.ErrAbortHandler)
			}
			reply(w, http.StatusOK, DeskAnswer{Body: Answer(r.Body, "r")})
		},
		"not run": func(w http.ResponseWriter, n int, r DeskRequest) {
			var e refusal
			e.Error.Code, e.Error.Outcome = errs.CodeOverloaded, errs.NotRun
			reply(w, http.StatusServiceUnavailable, e)
		},
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var req DeskRequest
		var name string
		if decode(w, r, &req) && json.Unmarshal(req.Body, &name) == nil {
			mu.Lock()
			runs[string(req.Body)]++
			n := runs[string(req.Body)]
			mu.Unlock()
			answers[strings.Trim(name, "!")](w, n, req)
		}
	}))
	defer s.Close()
	d := NewDesk(DeskOptions{Hosts: []string{s.URL}, Pool: "intake", Resends: 2})
	defer d.Close()
	for _, r := range []DeskRequest{
		{Body: json.RawMessage(`"good"`)},
		{Body: json.RawMessage(`"wrong"`)},
		{Body: json.RawMessage(`"lost"`), Unsafe: true, Key: "k"}, // resent, and the host runs it again
		{Body: json.RawMessage(`"lost!"`), Unsafe: true},          // not resent
		{Body: json.RawMessage(`"not run"`), Unsafe: true},
	} {
		_, _ = d.Do(t.Context(), r)
	}
	got := d.Audit(func(input string) int { return runs[input] })
	want := DeskTally{Requests: 5, Answers: 3, Wrong: 1, NotRun: 1, Unknown: 1, Resent: 3, UnsafeTwice: 2, RanAfterNotRun: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
