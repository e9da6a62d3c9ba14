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

// TestSilentConnections guards P3, P4 and P6 against open connections between hosts that
// stop responding for ever while new ones work. It fails when a host waits on a silent
// connection, or repeats an unsafe request that was on one.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{network: true, targets: 1, tokenTime: 5 * time.Millisecond})
	tr := c.trainer(demo.TrainerToken, c.urls(""))
	desk := c.startLoad("silent", c.urls(""))
	step := c.runStep(tr, "step-1", groups("silent", 30, 64))
	c.awaitDelivered(tr, midStep)
	c.net.silence()
	c.mustApply("yeka-2", config(2))
	c.awaitStep(step)
	c.awaitConfig(config(2), c.order...)
	c.awaitStep(c.runStep(tr, "step-2", groups("after", 4, 64)))
	c.finish(desk)
	c.checkTrainer(tr)
}

// TestIsolatedDomain guards P5 and P9 when a failure domain is cut off. It must go on
// serving the desk and the trainer that are homed there, refuse as not run what is homed
// elsewhere, and have the newest configuration soon after the cut is healed.
func TestIsolatedDomain(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{network: true, targets: 1, tokenTime: 2 * time.Millisecond})
	inside, outside := []string{"akaki-1", "akaki-2"}, c.except("akaki-1", "akaki-2")
	own, foreign := c.trainer(akakiTrainerToken, c.urls("akaki")), c.trainer(demo.TrainerToken, c.urls("akaki"))
	stop := c.watchConfig(c.order...)
	c.net.isolate("akaki")
	for _, name := range inside {
		c.awaitMembers(name, len(inside))
	}
	c.mustApply(outside[1], config(2))
	c.awaitConfig(config(2), outside...)

	desk := c.startLoad("inside", c.urls("akaki"))
	c.awaitStep(c.runStep(own, "step-1", groups("inside", 10, 64)))
	if safe, unsafe := c.finish(desk); safe.Answers != safe.Requests || unsafe.Answers != unsafe.Requests {
		t.Errorf("the cut-off domain did not serve its own desk: safe %+v, unsafe %+v", safe, unsafe)
	}
	refused := c.refusedAsNotRun()
	for _, name := range inside {
		if v, _ := c.inForce(name); v != 1 {
			t.Errorf("P9: cut-off host %s has configuration %d", name, v)
		}
	}

	c.net.heal("akaki")
	c.awaitConfig(config(2), c.order...)
	c.awaitStep(c.runStep(foreign, "step-2", groups("healed", 10, 64)))
	stop()
	for _, input := range refused {
		if n := c.executions(input); n != 0 {
			t.Errorf("P5: %s ran %d times after it was refused as not run", input, n)
		}
	}
	if a, err := c.call("kolfe-2", http.MethodGet, "/v1/steps/refused", demo.TrainerToken, nil); err != nil || a.status != http.StatusNotFound {
		t.Errorf("P5: the step that was refused as not run exists: %v %s", err, a.body)
	}
	c.checkTrainer(own)
	c.checkTrainer(foreign)
}

// awaitMembers waits until a host counts the given number of live hosts.
func (c *cluster) awaitMembers(name string, want int) {
	c.t.Helper()
	c.eventually(name+" notices the other hosts", func() string {
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

// refusedAsNotRun sends requests of tenancies homed elsewhere to the cut-off domain and
// returns the desk requests that were refused as not run. A first request may end as unknown,
// because it may be on a connection that became silent.
func (c *cluster) refusedAsNotRun() []string {
	c.t.Helper()
	var refused []string
	attempt := 0
	c.eventually("the cut-off domain refuses a desk homed elsewhere as not run", func() string {
		attempt++
		r := entry(fmt.Sprintf("foreign-%d", attempt))
		body := fmt.Sprintf(`{"body":%s}`, r.Body)
		a, err := c.call("akaki-2", http.MethodPost, "/v1/desk/intake-log", kolfeDeskToken, []byte(body),
			"Idempotency-Key", r.IdempotencyKey, "X-Unsafe", "true", "X-Timeout-Ms", "3000")
		if err != nil || a.refusal().Error.Outcome != errs.NotRun {
			return fmt.Sprintf("%v %s", err, a.body)
		}
		refused = append(refused, string(r.Body))
		return ""
	})
	step := `{"step":"refused","model":"sorter","pool":"sorting","groups":[{"prompt":"p","samples":1,"max_tokens":8}],"timeout_ms":60000}`
	a, err := c.call("akaki-2", http.MethodPost, "/v1/steps", demo.TrainerToken, []byte(step))
	if err != nil || a.refusal().Error.Outcome != errs.NotRun {
		c.t.Errorf("P5: a step homed elsewhere is not refused as not run: %v %s", err, a.body)
	}
	return refused
}
