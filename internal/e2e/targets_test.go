package e2e

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/demo"
	"fuchsiaflow/internal/fakes"
)

// leaveBound is the time after which a leaving target gets no new work (P7).
const leaveBound = 2 * time.Second

// TestEngineCrashDuringSwap guards P1 and P2 against an engine that crashes while it loads a
// version, and against a load that fails halfway. No sample may carry a version that did not
// produce it.
func TestEngineCrashDuringSwap(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{targets: 2, tokenTime: 2 * time.Millisecond})
	tr := c.trainer(demo.TrainerToken, c.urls(""))
	desk := c.startLoad("swap", c.urls(""))
	rounds := 2
	if long() {
		rounds = 10
	}
	for round := range rounds {
		crash, fail := c.engines[round%len(c.engines)], c.engines[(round+1)%len(c.engines)]
		crash.SetSwapDuration(2 * time.Second)
		fail.FailNextSwaps(1)
		orders := len(crash.Orders())
		step := c.runStep(tr, fmt.Sprintf("step-%d", round), groups(fmt.Sprintf("swap %d", round), 30, 64))
		if err := tr.Publish(c.ctx, uint64(round+2)); err != nil {
			t.Fatal(err)
		}
		c.eventually("the engine loads the version", func() string {
			if len(crash.Orders()) == orders {
				return "no order"
			}
			return ""
		})
		crash.Crash()
		crash.SetSwapDuration(100 * time.Millisecond)
		if err := crash.Restart(); err != nil {
			t.Fatal(err)
		}
		c.awaitStep(step)
	}
	c.finish(desk)
	c.checkTrainer(tr)
}

// TestLeavingTargets guards P7: a target that leaves, and a target that is retired by a
// configuration, get no new work after 2 s.
func TestLeavingTargets(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{targets: 2})
	desk := c.startLoad("leaving", c.urls(""))
	for _, leave := range []func() error{
		func() error { return c.engines[0].Leave(c.ctx) },
		func() error { return c.services[0].Leave(c.ctx) },
	} {
		if err := leave(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(leaveBound + time.Second)
	for _, late := range [][]time.Duration{c.engines[0].DelaysAfterLeave(), c.services[0].DelaysAfterLeave()} {
		for _, d := range late {
			if d > leaveBound {
				t.Errorf("P7: a target got work %s after it left", d)
			}
		}
	}
	retired := config(2)
	retired.Pools[0].Targets.Retire = []string{c.engines[1].ID()}
	retired.Pools[1].Targets.Retire = []string{c.services[1].ID()}
	c.mustApply("akaki-2", retired)
	c.awaitConfig(retired, c.order...)
	time.Sleep(leaveBound)
	after := c.startLoad("retired", c.urls(""))
	time.Sleep(2 * time.Second)
	_, unsafe := c.finish(after)
	for i := range unsafe.Requests {
		prompt, body := generation(fmt.Sprintf("retired arrival %d", i)).Prompt, string(entry(fmt.Sprintf("retired-%d", i)).Body)
		if n := c.engines[1].ExecutionsOfInput(prompt) + c.services[1].ExecutionsOfInput(body); n != 0 {
			t.Errorf("P7: a retired target got request %d more than %s after its retirement was in force", i, leaveBound)
		}
	}
	c.finish(desk)
}

// TestUnsafeResentDuringRun guards P6: an unsafe request that is resent through another host
// during its first run must run once, and both callers must get the same answer.
func TestUnsafeResentDuringRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{targets: 1})
	c.setDelay(time.Second)
	for i, hosts := range [][]string{{"akaki-2", "kolfe-2"}, {"yeka-1", "akaki-1"}, {"kolfe-2", "kolfe-2"}} {
		r := entry(fmt.Sprintf("resent-%d", i))
		first, second := make(chan fakes.DeskAnswer, 1), make(chan fakes.DeskAnswer, 1)
		send := func(host string, to chan<- fakes.DeskAnswer) {
			a, err := c.desk(demo.DeskToken, "intake-log", c.url(host)).Do(c.ctx, r)
			if err != nil {
				t.Errorf("through %s: %v", host, err)
			}
			to <- a
		}
		go send(hosts[0], first)
		c.eventually("the first run is under way", func() string {
			for _, s := range c.services {
				if s.InFlight() > 0 {
					return ""
				}
			}
			return "no service runs it"
		})
		go send(hosts[1], second)
		a, b := <-first, <-second
		if string(a.Body) != string(b.Body) || len(a.Body) == 0 {
			t.Errorf("P6: different answers through %s: %s and %s", hosts, a.Body, b.Body)
		}
		if n := c.executions(string(r.Body)); n != 1 {
			t.Errorf("P6: the request ran %d times", n)
		}
		c.conflictingKey(hosts[1], r.IdempotencyKey)
	}
}

// conflictingKey checks that another body under a used key is refused and does not run.
func (c *cluster) conflictingKey(host, key string) {
	c.t.Helper()
	a, err := c.call(host, http.MethodPost, "/v1/desk/intake-log", demo.DeskToken, []byte(`{"body":{"other":"`+key+`"}}`),
		"Idempotency-Key", key, "X-Unsafe", "true")
	if err != nil || a.status != http.StatusConflict {
		c.t.Errorf("another body under key %s: %v %s", key, err, a.body)
	}
	if n := c.executions(`{"other":"` + key + `"}`); n != 0 {
		c.t.Errorf("another body under key %s ran", key)
	}
}

// TestSuspendedClaimHolder guards P6 against a host that stands still during the run of an
// unsafe request for so long that the others declare it dead, and then goes on. If it gives
// the answer to its caller, a resend through another host must get the same answer.
func TestSuspendedClaimHolder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{targets: 1})
	c.setDelay(time.Second)
	holder := c.procs["yeka-2"]
	r := entry("suspended")
	r.Timeout = 2 * waitLimit
	first := make(chan error, 1)
	var a fakes.DeskAnswer
	go func() {
		var err error
		a, err = c.desk(demo.DeskToken, "intake-log", c.url(holder.name)).Do(c.ctx, r)
		first <- err
	}()
	c.eventually("the first run is under way", func() string {
		for _, s := range c.services {
			if s.InFlight() > 0 {
				return ""
			}
		}
		return "no service runs it"
	})
	holder.signal(syscall.SIGSTOP)
	c.awaitMembers("akaki-1", len(c.order)-1)
	holder.signal(syscall.SIGCONT)
	firstErr := <-first
	b, err := c.desk(demo.DeskToken, "intake-log", c.url("akaki-1")).Do(c.ctx, r)
	switch {
	case firstErr != nil && errs.OutcomeOf(firstErr) != errs.Unknown:
		t.Errorf("P5: the request ran, but its caller was told %v", firstErr)
	case firstErr == nil && (err != nil || string(b.Body) != string(a.Body)):
		t.Errorf("P6: the acknowledged answer was %s, the resend got %s: %v", a.Body, b.Body, err)
	}
	if n := c.executions(string(r.Body)); n != 1 {
		t.Errorf("P6: the request ran %d times", n)
	}
}
