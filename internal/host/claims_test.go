package host

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/retry"
)

// memoryGroup is a consensus group of one replica without a log. It applies all commands, but returns
// an unknown outcome for the next repliesToLose of them. The embedded nil interface provides the
// methods that claims don't call.
type memoryGroup struct {
	consensusGroup
	mu            sync.Mutex
	state         *domainstate.State
	index         uint64
	repliesToLose int
}

func (g *memoryGroup) Propose(_ context.Context, command []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index++
	result := g.state.Apply(g.index, command)
	if g.repliesToLose > 0 {
		g.repliesToLose--
		return nil, &errs.Interrupted{Operation: "propose", Reason: "the reply is lost"}
	}
	return result, nil
}

func (g *memoryGroup) Barrier(context.Context) error { return nil }
func (g *memoryGroup) IsLeader() bool                { return true }
func (g *memoryGroup) Leader() (string, uint64, bool) {
	return "", 1, false
}

func (g *memoryGroup) Status() consensus.Status { return consensus.Status{} }

func newClaimServices(t *testing.T, names ...string) (*memoryGroup, map[string]*claimService) {
	t.Helper()
	state, err := domainstate.New(domainstate.NewClaims())
	if err != nil {
		t.Fatal(err)
	}
	g := &memoryGroup{state: state}
	services := make(map[string]*claimService)
	for _, name := range names {
		groups := newGroupClient(name, map[string][]string{"domain/d": {name}}, nil, func(string) []string { return nil })
		groups.addLocal("domain/d", replica{group: g, query: state.Query})
		k := kernel.New(slog.New(slog.DiscardHandler))
		service := newClaimService(name, 1, groups, slog.New(slog.DiscardHandler))
		if err := k.Register("claims", service); err != nil {
			t.Fatal(err)
		}
		if err := k.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = k.Stop(context.Background()) })
		services[name] = service
	}
	return g, services
}

func newClaimRequest(key, digest string) claimRequest {
	return claimRequest{claimID: claimID{tenancy: "t", key: key}, homeDomain: "d", digest: digest}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a second run of a request whose answer is too large to store (P6).
func TestRequestWithOversizedAnswerIsNotRunAgain(t *testing.T) {
	_, services := newClaimServices(t, "a", "b")
	var runs atomic.Int32
	run := func(context.Context) ([]byte, error) {
		runs.Add(1)
		return make([]byte, retry.MaxAnswerBytes+1), nil
	}
	if _, _, err := services["a"].Do(testContext(t), newClaimRequest("k", "x"), run); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a", "b"} {
		_, _, err := services[name].Do(testContext(t), newClaimRequest("k", "x"), run)
		if errs.OutcomeOf(err) != errs.Unknown {
			t.Errorf("request resent through %s: got error %v, want an unknown outcome", name, err)
		}
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// Guards against a second run of a request that is resent, through the same or another host, while
// it runs, and against a resent request that does not get the answer (P6).
func TestResentRequestWaitsForRunInProgress(t *testing.T) {
	_, services := newClaimServices(t, "a", "b")
	var runs atomic.Int32
	started, finish := make(chan struct{}), make(chan struct{})
	run := func(context.Context) ([]byte, error) {
		runs.Add(1)
		close(started)
		<-finish
		return []byte("answer"), nil
	}
	answers := make(chan string, 3)
	send := func(name string) {
		answer, _, err := services[name].Do(testContext(t), newClaimRequest("k", "x"), run)
		if err != nil {
			t.Error(err)
		}
		answers <- string(answer)
	}
	go send("a")
	<-started
	go send("a")
	go send("b")
	time.Sleep(3 * claimPollInterval)
	close(finish)
	for range 3 {
		if got := <-answers; got != "answer" {
			t.Errorf("got answer %q, want \"answer\"", got)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("%d runs, want 1", runs.Load())
	}
	if _, _, err := services["b"].Do(testContext(t), newClaimRequest("k", "other"), run); errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("other body under the same key: got error %v, want a conflict", err)
	}
}

// Guards against a request that never runs, or runs twice, after the reply to its claim or to the
// record of its outcome was lost.
func TestClaimSurvivesLostReplies(t *testing.T) {
	for _, lost := range []int{1, 2, 3} {
		g, services := newClaimServices(t, "a", "b")
		g.repliesToLose = lost
		var runs atomic.Int32
		run := func(context.Context) ([]byte, error) {
			runs.Add(1)
			return []byte("answer"), nil
		}
		if _, _, err := services["a"].Do(testContext(t), newClaimRequest("k", "x"), run); err != nil {
			t.Fatalf("%d lost replies: %v", lost, err)
		}
		answer, repeated, err := services["b"].Do(testContext(t), newClaimRequest("k", "x"), run)
		if err != nil || !repeated || string(answer) != "answer" {
			t.Errorf("%d lost replies: resent request got %q, repeated %v, error %v", lost, answer, repeated, err)
		}
		if runs.Load() != 1 {
			t.Errorf("%d lost replies: %d runs, want 1", lost, runs.Load())
		}
	}
}

// Guards against a key that stays claimed although the request was not run.
func TestNotRunReleasesKey(t *testing.T) {
	_, services := newClaimServices(t, "a", "b")
	refuse := func(context.Context) ([]byte, error) {
		return nil, &errs.Unavailable{Resource: "pool", Reason: "test"}
	}
	if _, _, err := services["a"].Do(testContext(t), newClaimRequest("k", "x"), refuse); errs.OutcomeOf(err) != errs.NotRun {
		t.Fatal(err)
	}
	answer, _, err := services["b"].Do(testContext(t), newClaimRequest("k", "x"), func(context.Context) ([]byte, error) { return []byte("ok"), nil })
	if err != nil || string(answer) != "ok" {
		t.Errorf("request resent after not_run: got %q, %v", answer, err)
	}
}
