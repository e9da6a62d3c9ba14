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

// memoryGroup is a group of one replica without a log. While lose is positive, it applies
// commands and reports an unknown outcome. The embedded interface stands for what claims do
// not use.
type memoryGroup struct {
	localGroup
	mu    sync.Mutex
	state *domainstate.State
	index uint64
	lose  int
}

func (g *memoryGroup) Propose(_ context.Context, command []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index++
	result := g.state.Apply(g.index, command)
	if g.lose > 0 {
		g.lose--
		return nil, &errs.Interrupted{Operation: "propose", Reason: "the answer is lost"}
	}
	return result, nil
}

func (g *memoryGroup) Barrier(context.Context) error { return nil }
func (g *memoryGroup) IsLeader() bool                { return true }
func (g *memoryGroup) Leader() (string, uint64, bool) {
	return "", 1, false
}

func (g *memoryGroup) Status() consensus.Status { return consensus.Status{} }

func newClaimHosts(t *testing.T, names ...string) (*memoryGroup, map[string]*claimService) {
	t.Helper()
	state, err := domainstate.New(domainstate.NewClaims())
	if err != nil {
		t.Fatal(err)
	}
	g := &memoryGroup{state: state}
	hosts := make(map[string]*claimService)
	for _, name := range names {
		gs := newGroups(name, map[string][]string{"domain/d": {name}}, nil, func(string) []string { return nil })
		gs.addLocal("domain/d", replica{group: g, query: state.Query})
		k := kernel.New(slog.New(slog.DiscardHandler))
		c := newClaimService(name, 1, gs, slog.New(slog.DiscardHandler))
		if err := k.Register("claims", c); err != nil {
			t.Fatal(err)
		}
		if err := k.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = k.Stop(context.Background()) })
		hosts[name] = c
	}
	return g, hosts
}

func claimFor(key, digest string) claimRequest {
	return claimRequest{claimID: claimID{tenancy: "t", key: key}, home: "d", digest: digest}
}

func deadline(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a second run of a request whose answer is too large to be stored (P6).
func TestTooLargeAnswerIsNotRunAgain(t *testing.T) {
	_, hosts := newClaimHosts(t, "a", "b")
	var runs atomic.Int32
	run := func(context.Context) ([]byte, error) {
		runs.Add(1)
		return make([]byte, retry.MaxAnswerBytes+1), nil
	}
	if _, _, err := hosts["a"].Do(deadline(t), claimFor("k", "x"), run); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a", "b"} {
		_, _, err := hosts[name].Do(deadline(t), claimFor("k", "x"), run)
		if errs.OutcomeOf(err) != errs.Unknown {
			t.Errorf("resend through %s: %v", name, err)
		}
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// Guards against two runs when a request is resent through another host during its first
// run, and against a resend that does not get the answer (P6).
func TestResendDuringTheRunJoins(t *testing.T) {
	_, hosts := newClaimHosts(t, "a", "b")
	var runs atomic.Int32
	started, finish := make(chan struct{}), make(chan struct{})
	run := func(context.Context) ([]byte, error) {
		runs.Add(1)
		close(started)
		<-finish
		return []byte("answer"), nil
	}
	answers := make(chan string, 3)
	do := func(name string) {
		answer, _, err := hosts[name].Do(deadline(t), claimFor("k", "x"), run)
		if err != nil {
			t.Error(err)
		}
		answers <- string(answer)
	}
	go do("a")
	<-started
	go do("a")
	go do("b")
	time.Sleep(3 * claimPoll)
	close(finish)
	for range 3 {
		if got := <-answers; got != "answer" {
			t.Errorf("answer %q", got)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("%d runs, want 1", runs.Load())
	}
	if _, _, err := hosts["b"].Do(deadline(t), claimFor("k", "other"), run); errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("other body under the same key: %v", err)
	}
}

// Guards against a request that never runs, or runs twice, after the answer to its claim or
// to its record was lost.
func TestLostAnswersOfTheHome(t *testing.T) {
	for _, lose := range []int{1, 2, 3} {
		g, hosts := newClaimHosts(t, "a", "b")
		g.lose = lose
		var runs atomic.Int32
		run := func(context.Context) ([]byte, error) {
			runs.Add(1)
			return []byte("answer"), nil
		}
		if _, _, err := hosts["a"].Do(deadline(t), claimFor("k", "x"), run); err != nil {
			t.Fatalf("%d lost answers: %v", lose, err)
		}
		answer, repeated, err := hosts["b"].Do(deadline(t), claimFor("k", "x"), run)
		if err != nil || !repeated || string(answer) != "answer" {
			t.Errorf("%d lost answers: resend got %q, %v, %v", lose, answer, repeated, err)
		}
		if runs.Load() != 1 {
			t.Errorf("%d lost answers: %d runs", lose, runs.Load())
		}
	}
}

// Guards against a key that stays blocked after a run that truly did not happen.
func TestNotRunFreesTheKey(t *testing.T) {
	_, hosts := newClaimHosts(t, "a", "b")
	refuse := func(context.Context) ([]byte, error) {
		return nil, &errs.Unavailable{Resource: "pool", Reason: "test"}
	}
	if _, _, err := hosts["a"].Do(deadline(t), claimFor("k", "x"), refuse); errs.OutcomeOf(err) != errs.NotRun {
		t.Fatal(err)
	}
	answer, _, err := hosts["b"].Do(deadline(t), claimFor("k", "x"), func(context.Context) ([]byte, error) { return []byte("ok"), nil })
	if err != nil || string(answer) != "ok" {
		t.Errorf("resend after not run: %q, %v", answer, err)
	}
}
