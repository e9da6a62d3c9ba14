package runner

import (
	"io"
	"net/http"
	"testing"
	"time"

	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
)

// Guards, for a leader that is lost at each point of the second stage of an item, against a result
// without a score, a text that is generated again although it was committed, a call before the text is
// complete, and a call after the score is committed.
func TestScoringSurvivesLossOfLeader(t *testing.T) {
	t.Run("before the text is committed", func(t *testing.T) {
		c := newTestCluster(t)
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
		c := newTestCluster(t) // without a scoring target
		c.submit()
		c.await("committed text", c.textIsCommitted)
		c.crash()
		c.addTarget("s", "scoring", c.serveScoring)
		c.checkResult(1)
	})
	t.Run("during the call", func(t *testing.T) {
		c := newTestCluster(t)
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
		c := newTestCluster(t)
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
		c := newTestCluster(t)
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
	c := newTestCluster(t)
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
	c := newTestCluster(t)
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
	c := newTestCluster(t)
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
	c := newTestCluster(t)
	c.addTarget("s", "scoring", c.serveScoring)
	bothRun := func() { // no text is complete before both jobs generate one
		c.await("second text", func() bool { generations, _, _ := c.counts(); return generations >= 2 })
	}
	c.hooks(bothRun, func(int, http.ResponseWriter) bool {
		bothRun()
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
	c := newTestCluster(t)
	c.addTarget("s", "scoring", c.serveScoring)
	running, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	signal := once(running)
	c.hooks(func() { signal(); <-release }, nil)
	c.submit()
	<-running
	_, term, _ := c.group.Leader()
	c.runner.enqueue(term, func(time.Time) {
		j := c.runner.jobs[schedulerID(jobs.Key{ID: "j"})]
		text := &partialText{text: []byte("e1\ne2\ne3"), eventCount: 3, lastEventID: 3, versions: []uint64{1}}
		c.runner.scoreStoredText(j, j.items["item"], text)
	})
	c.checkResult(1)
}
