package runner

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
)

// leavingEngine answers its first run with a notice and breaks off in the middle of it.
type leavingEngine struct {
	runs atomic.Int64
}

func (l *leavingEngine) serve(w http.ResponseWriter, r *http.Request) {
	l.runs.Add(1)
	w.Header().Set("Leaving", "1")
	(&fakeEngine{totalEvents: 3, breakAfter: 1, version: 1}).ServeHTTP(w, r)
}

// Guards against items that are sent to an engine, from their start or to resume, after it announced in an answer
// that it leaves, and against items that are lost when an engine has left between its choice and the start of a run.
func TestNoItemAfterNotice(t *testing.T) {
	c := newTestCluster(t) // with engine "e"
	leaving := new(leavingEngine)
	c.addTarget("a", "engines", leaving.serve)
	for n := range 6 {
		job := fmt.Sprint("j", n)
		items := []jobs.Item{{ID: job + "-1", Path: "/gen/1", Group: "g"}, {ID: job + "-2", Path: "/gen/1", Group: "g"}}
		c.propose(&storestate.Command{SubmitJob: &jobs.Job{ID: job, Host: "h", Path: "/gen/j", Model: "m", MinVersion: 1, WantedGroups: 1, Items: items}})
		c.await("results of "+job, func() bool { return len(c.resultsOf(job)) == len(items) })
		for _, r := range c.resultsOf(job) {
			if text, _ := r.Text.Bytes(); string(text) != "e1\ne2\ne3" {
				t.Errorf("item %s has the text %q", r.ID, text)
			}
		}
	}
	// The two slots of the engine may both have been in use before its first answer.
	if n := leaving.runs.Load(); n < 1 || n > 2 {
		t.Errorf("%d runs at the engine that leaves, want 1 or 2", n)
	}
	known, _ := c.view.Target("a")
	if known.State != fleet.Ready || c.view.Accepts("a", known.Incarnation) {
		t.Errorf("target %+v accepts work: %t; want one that others take for ready", known, c.view.Accepts("a", known.Incarnation))
	}
}

// Guards against an item that fails at each run and runs MaxAttempts times under each new leader.
func TestFailuresAreCountedAcrossLeaders(t *testing.T) {
	c := newTestCluster(t)
	var runs atomic.Int64
	lost := make(chan struct{})
	c.view.MarkTargetGone("e")
	c.addTarget("f", "engines", func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 2 {
			<-lost
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.WriteHeader(http.StatusInternalServerError)
	})
	c.submit() // the route allows two attempts
	c.await("stored failure", func() bool {
		stored := 0
		c.stateMachine.View(func(s *storestate.State) {
			e, _ := s.Jobs().Entry(jobs.Key{ID: "j"})
			stored = e.Failures["item"]
		})
		return stored > 0
	})
	c.crash()
	close(lost)
	c.await("result", func() bool { return len(c.results()) == 1 })
	// The second run was cut off with the leader and has not failed.
	if r := c.results()[0]; r.State != jobs.Terminated || runs.Load() > 3 {
		t.Errorf("state %s after %d runs, want terminated after 3", r.State, runs.Load())
	}
}
