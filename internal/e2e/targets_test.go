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

// maxDispatchAfterLeave is the time after which a leaving target must get no new requests (P7).
const maxDispatchAfterLeave = 2 * time.Second

// TestEngineCrashDuringSwap guards P1 and P2 when an engine crashes while it loads a version and
// when loading fails midway. No sample may be labelled with a version that did not produce it.
func TestEngineCrashDuringSwap(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{targetsPerDomain: 2, tokenInterval: 2 * time.Millisecond})
	tr := c.newTrainer(demo.TrainerToken, c.domainURLs(""))
	desk := c.startLoad("swap", c.domainURLs(""))
	rounds := 2
	if longTests() {
		rounds = 10
	}
	for round := range rounds {
		crash, fail := c.engines[round%len(c.engines)], c.engines[(round+1)%len(c.engines)]
		crash.SetSwapDuration(2 * time.Second)
		fail.FailNextSwaps(1)
		orders := len(crash.Orders())
		step := c.startStep(tr, fmt.Sprintf("step-%d", round), promptGroups(fmt.Sprintf("swap %d", round), 30, 64))
		if err := tr.Publish(c.ctx, uint64(round+2)); err != nil {
			t.Fatal(err)
		}
		c.eventually("the engine starts to load the version", func() string {
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
	c.finishLoad(desk)
	c.checkTrainer(tr)
}

// TestLeavingTargets guards P7: a target that leaves, and a target that a configuration retires,
// must get no new requests after 2 s.
func TestLeavingTargets(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{targetsPerDomain: 2})
	desk := c.startLoad("leaving", c.domainURLs(""))
	for _, leave := range []func() error{
		func() error { return c.engines[0].Leave(c.ctx) },
		func() error { return c.services[0].Leave(c.ctx) },
	} {
		if err := leave(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(maxDispatchAfterLeave + time.Second)
	for _, delays := range [][]time.Duration{c.engines[0].DelaysAfterLeave(), c.services[0].DelaysAfterLeave()} {
		for _, d := range delays {
			if d > maxDispatchAfterLeave {
				t.Errorf("P7: a target got a request %s after it left", d)
			}
		}
	}
	retired := testConfig(2)
	retired.Pools[0].Targets.Retire = []string{c.engines[1].ID()}
	retired.Pools[1].Targets.Retire = []string{c.services[1].ID()}
	c.mustApply("akaki-2", retired)
	c.awaitConfig(retired, c.hostNames...)
	time.Sleep(maxDispatchAfterLeave)
	after := c.startLoad("retired", c.domainURLs(""))
	time.Sleep(2 * time.Second)
	_, unsafe := c.finishLoad(after)
	for i := range unsafe.Requests {
		prompt, body := safeRequest(fmt.Sprintf("retired arrival %d", i)).Prompt, string(unsafeRequest(fmt.Sprintf("retired-%d", i)).Body)
		if n := c.engines[1].ExecutionsOfInput(prompt) + c.services[1].ExecutionsOfInput(body); n != 0 {
			t.Errorf("P7: a retired target got request %d more than %s after its retirement was in force", i, maxDispatchAfterLeave)
		}
	}
	c.finishLoad(desk)
}

// TestUnsafeResentDuringRun guards P6: an unsafe request that is resent through any host while
// it runs must run once, and both callers must get the same answer.
func TestUnsafeResentDuringRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{targetsPerDomain: 1})
	c.setTargetDelay(time.Second)
	for i, hosts := range [][]string{{"akaki-2", "kolfe-2"}, {"yeka-1", "akaki-1"}, {"kolfe-2", "kolfe-2"}} {
		r := unsafeRequest(fmt.Sprintf("resent-%d", i))
		first, second := make(chan fakes.DeskAnswer, 1), make(chan fakes.DeskAnswer, 1)
		send := func(host string, to chan<- fakes.DeskAnswer) {
			a, err := c.newDesk(demo.DeskToken, "intake-log", c.hostURLs(host)).Do(c.ctx, r)
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
		if n := c.executionCount(string(r.Body)); n != 1 {
			t.Errorf("P6: the request ran %d times", n)
		}
		c.checkConflictingKey(hosts[1], r.IdempotencyKey)
	}
}

// checkConflictingKey checks that a different body under a used key is refused and does not run.
func (c *cluster) checkConflictingKey(host, key string) {
	c.t.Helper()
	a, err := c.call(host, http.MethodPost, "/v1/desk/intake-log", demo.DeskToken, []byte(`{"body":{"other":"`+key+`"}}`),
		"Idempotency-Key", key, "X-Unsafe", "true")
	if err != nil || a.status != http.StatusConflict {
		c.t.Errorf("another body under key %s: %v %s", key, err, a.body)
	}
	if n := c.executionCount(`{"other":"` + key + `"}`); n != 0 {
		c.t.Errorf("another body under key %s ran", key)
	}
}

// TestSuspendedClaimHolder guards P6 when a host is suspended during an unsafe request until the
// others declare it dead, and then resumes. If it returns the answer to its caller, a resend
// through another host must get the same answer.
func TestSuspendedClaimHolder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{targetsPerDomain: 1})
	c.setTargetDelay(time.Second)
	holder := c.processes["yeka-2"]
	r := unsafeRequest("suspended")
	r.Timeout = 2 * waitTimeout
	first := make(chan error, 1)
	var a fakes.DeskAnswer
	go func() {
		var err error
		a, err = c.newDesk(demo.DeskToken, "intake-log", c.hostURLs(holder.name)).Do(c.ctx, r)
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
	c.awaitLiveHosts("akaki-1", len(c.hostNames)-1)
	holder.signal(syscall.SIGCONT)
	firstErr := <-first
	b, err := c.newDesk(demo.DeskToken, "intake-log", c.hostURLs("akaki-1")).Do(c.ctx, r)
	switch {
	case firstErr != nil && errs.OutcomeOf(firstErr) != errs.Unknown:
		t.Errorf("P5: the request ran, but its caller was told %v", firstErr)
	case firstErr == nil && (err != nil || string(b.Body) != string(a.Body)):
		t.Errorf("P6: the acknowledged answer was %s, the resend got %s: %v", a.Body, b.Body, err)
	}
	if n := c.executionCount(string(r.Body)); n != 1 {
		t.Errorf("P6: the request ran %d times", n)
	}
}
