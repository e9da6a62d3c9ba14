package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/demo"
	"fuchsiaflow/membership"
)

// TestSilentConnections guards P3, P4 and P6 when the open connections between hosts lose
// all data for good while new ones work. It fails when a host keeps waiting on such a
// connection, or repeats an unsafe request that was sent on one.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{proxied: true, targetsPerDomain: 1, tokenInterval: 5 * time.Millisecond})
	tr := c.newTrainer(demo.TrainerToken, c.domainURLs(""))
	desk := c.startLoad("silent", c.domainURLs(""))
	step := c.startStep(tr, "step-1", promptGroups("silent", 30, 64))
	c.awaitDelivered(tr, midStepSamples)
	c.network.blackholeConnections()
	c.mustApply("yeka-2", testConfig(2))
	c.awaitStep(step)
	c.awaitConfig(testConfig(2), c.hostNames...)
	c.awaitStep(c.startStep(tr, "step-2", promptGroups("after", 4, 64)))
	c.finishLoad(desk)
	c.checkTrainer(tr)
}

// TestIsolatedDomain guards P5 and P9 when a failure domain is partitioned from the others. It
// must keep serving the desk and the trainer homed there, refuse requests of tenancies homed
// elsewhere as not run, and get the newest configuration soon after the partition heals.
func TestIsolatedDomain(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{proxied: true, targetsPerDomain: 1, tokenInterval: 2 * time.Millisecond})
	inside, outside := []string{"akaki-1", "akaki-2"}, c.except("akaki-1", "akaki-2")
	own, foreign := c.newTrainer(akakiTrainerToken, c.domainURLs("akaki")), c.newTrainer(demo.TrainerToken, c.domainURLs("akaki"))
	stop := c.watchConfig(c.hostNames...)
	c.network.isolate("akaki")
	for _, name := range inside {
		c.awaitLiveHosts(name, len(inside))
	}
	c.mustApply(outside[1], testConfig(2))
	c.awaitConfig(testConfig(2), outside...)

	desk := c.startLoad("inside", c.domainURLs("akaki"))
	c.awaitStep(c.startStep(own, "step-1", promptGroups("inside", 10, 64)))
	if safe, unsafe := c.finishLoad(desk); safe.Answers != safe.Requests || unsafe.Answers != unsafe.Requests {
		t.Errorf("the isolated domain did not serve its own desk: safe %+v, unsafe %+v", safe, unsafe)
	}
	refused := c.checkForeignRequestsRefused()
	for _, name := range inside {
		if v, _ := c.activeConfig(name); v != 1 {
			t.Errorf("P9: isolated host %s has configuration %d", name, v)
		}
	}

	c.network.heal("akaki")
	c.awaitConfig(testConfig(2), c.hostNames...)
	c.awaitStep(c.startStep(foreign, "step-2", promptGroups("healed", 10, 64)))
	stop()
	for _, input := range refused {
		if n := c.executionCount(input); n != 0 {
			t.Errorf("P5: %s ran %d times after it was refused as not run", input, n)
		}
	}
	if a, err := c.call("kolfe-2", http.MethodGet, "/v1/steps/refused", demo.TrainerToken, nil); err != nil || a.status != http.StatusNotFound {
		t.Errorf("P5: the step that was refused as not run exists: %v %s", err, a.body)
	}
	c.checkTrainer(own)
	c.checkTrainer(foreign)
}

// awaitLiveHosts waits until a host reports the given number of live hosts, itself included.
func (c *cluster) awaitLiveHosts(name string, want int) {
	c.t.Helper()
	c.eventually(name+" detects the live hosts", func() string {
		s, err := c.status(name)
		if err != nil {
			return err.Error()
		}
		live := 0
		for _, h := range s.Hosts {
			if h.State == membership.Alive.String() || h.State == membership.Suspect.String() {
				live++
			}
		}
		if live != want {
			return fmt.Sprintf("%d live hosts", live)
		}
		return ""
	})
}

// checkForeignRequestsRefused sends requests of tenancies homed elsewhere to the isolated domain
// and returns the bodies of desk requests that were refused as not run. The first requests may
// have the outcome unknown, because they may use a connection that lost its peer.
func (c *cluster) checkForeignRequestsRefused() []string {
	c.t.Helper()
	var refused []string
	attempt := 0
	c.eventually("the isolated domain refuses a desk homed elsewhere as not run", func() string {
		attempt++
		r := unsafeRequest(fmt.Sprintf("foreign-%d", attempt))
		body := fmt.Sprintf(`{"body":%s}`, r.Body)
		a, err := c.call("akaki-2", http.MethodPost, "/v1/desk/intake-log", kolfeDeskToken, []byte(body),
			"Idempotency-Key", r.IdempotencyKey, "X-Unsafe", "true", "X-Timeout-Ms", "3000")
		if err != nil || a.errorReply().Error.Outcome != errs.NotRun {
			return fmt.Sprintf("%v %s", err, a.body)
		}
		refused = append(refused, string(r.Body))
		return ""
	})
	step := `{"step":"refused","model":"sorter","pool":"sorting","groups":[{"prompt":"p","samples":1,"max_tokens":8}],"timeout_ms":60000}`
	a, err := c.call("akaki-2", http.MethodPost, "/v1/steps", demo.TrainerToken, []byte(step))
	if err != nil || a.errorReply().Error.Outcome != errs.NotRun {
		c.t.Errorf("P5: a step homed elsewhere is not refused as not run: %v %s", err, a.body)
	}
	return refused
}
