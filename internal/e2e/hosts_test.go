package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"fuchsiaflow/internal/demo"
	"fuchsiaflow/internal/fakes"
)

// midStepSamples is the number of delivered samples after which a step counts as in progress.
const midStepSamples = 24

// TestKillDuringStep guards P1 to P6 when a process is killed in the middle of a step: an entry
// host without data, the leader of the trainer's home domain, whose disk is kept, or the leader
// of the control group. It fails when a sample is lost, repeated or mislabelled, or when an
// unsafe request runs twice.
func TestKillDuringStep(t *testing.T) {
	t.Parallel()
	roles := []struct {
		name   string
		victim func(c *cluster) string
	}{
		{"entry host", func(*cluster) string { return "akaki-2" }},
		{"domain leader", func(c *cluster) string { return c.leader("domain/kolfe") }},
		{"control leader", func(c *cluster) string { return c.leader("control") }},
	}
	for _, role := range roles {
		t.Run(role.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterOptions{targetsPerDomain: 1, tokenInterval: 5 * time.Millisecond})
			tr := c.newTrainer(demo.TrainerToken, c.domainURLs(""))
			desk := c.startLoad("kill", c.domainURLs(""))
			rounds := 1
			if longTests() {
				rounds = 8
			}
			for round := range rounds {
				id := fmt.Sprintf("kill-%d", round)
				delivered := tr.Stats().Delivered
				step := c.startStep(tr, id, promptGroups(id, 30, 64))
				c.awaitDelivered(tr, delivered+midStepSamples)
				victim := c.processes[role.victim(c)]
				victim.kill()
				// Let the other hosts detect the loss before the process restarts.
				time.Sleep(time.Second)
				victim.start()
				c.awaitStep(step)
				c.awaitReady(c.hostNames...)
			}
			c.awaitStep(c.startStep(tr, "after", promptGroups("after", 4, 64)))
			c.finishLoad(desk)
			c.checkTrainer(tr)
			c.awaitConfig(testConfig(1), c.hostNames...)
		})
	}
}

// TestGracefulShutdown guards P8: on SIGTERM, the leader of the trainer's home domain and then
// that of the desk's must complete accepted safe and unsafe requests and samples in progress,
// and exit with status 0.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{allVoters: true, targetsPerDomain: 1, tokenInterval: 5 * time.Millisecond})
	for _, domain := range []string{"kolfe", "akaki"} {
		victim := c.processes[c.leader("domain/"+domain)]
		others := c.hostURLs(c.except(victim.name)...)
		tr := c.newTrainer(demo.TrainerToken, others)
		step := c.startStep(tr, "step-"+domain, promptGroups(domain, 30, 64))
		c.awaitDelivered(tr, midStepSamples)
		accepted := c.startRequests(victim.name, domain)
		victim.signal(syscall.SIGTERM)
		c.setTargetDelay(0)
		desk := c.startLoad("others-"+domain, others)
		for _, d := range accepted() {
			if got := c.checkDesk(d); got.Answers != got.Requests || got.Resent != 0 {
				t.Errorf("P8: %s answered %d of %d requests in progress, %d were resent", victim.name, got.Answers, got.Requests, got.Resent)
			}
		}
		if err := victim.awaitExit(waitTimeout); err != nil {
			t.Errorf("P8: %s: %v", victim.name, err)
		}
		c.awaitStep(step)
		safe, unsafe := c.finishLoad(desk)
		if safe.Unknown+unsafe.Unknown != 0 || safe.Answers != safe.Requests || unsafe.Answers != unsafe.Requests {
			t.Errorf("P8: through the other hosts: safe %+v, unsafe %+v", safe, unsafe)
		}
		c.checkTrainer(tr)
		victim.start()
		c.awaitReady(victim.name)
	}
}

// setTargetDelay sets the delay of all targets before they start a request.
func (c *cluster) setTargetDelay(d time.Duration) {
	for _, e := range c.engines {
		e.SetDelay(d)
	}
	for _, s := range c.services {
		s.SetDelay(d)
	}
}

// startRequests sends safe and unsafe requests to a host and returns when they are in progress.
// The returned function waits for their completion.
func (c *cluster) startRequests(name, label string) (wait func() []*fakes.Desk) {
	c.t.Helper()
	const requests = 8
	c.setTargetDelay(time.Second)
	desks := []*fakes.Desk{c.newDesk(demo.DeskToken, "sorting", c.hostURLs(name)), c.newDesk(demo.DeskToken, "intake-log", c.hostURLs(name))}
	var calls sync.WaitGroup
	for i := range requests {
		calls.Go(func() { _, _ = desks[0].Do(c.ctx, safeRequest(fmt.Sprintf("term %s %d", label, i))) })
		calls.Go(func() { _, _ = desks[1].Do(c.ctx, unsafeRequest(fmt.Sprintf("term-%s-%d", label, i))) })
	}
	c.eventually("requests are in progress on "+name, func() string {
		running, ran := 0, 0
		for _, s := range c.services {
			running += s.InFlight()
		}
		for i := range requests {
			ran += c.executionCount(string(unsafeRequest(fmt.Sprintf("term-%s-%d", label, i)).Body))
		}
		if running+ran < requests {
			return fmt.Sprintf("the services run %d requests", running)
		}
		if s, err := c.status(name); ran == 0 && (err != nil || s.Running.Requests <= 2*requests) {
			return fmt.Sprintf("%v %+v", err, s)
		}
		return ""
	})
	return func() []*fakes.Desk { calls.Wait(); return desks }
}

// TestSuspendedControlLeader guards P9 when the control leader is suspended by SIGSTOP while the
// other voters elect a new leader and accept newer configurations. After it resumes, it must
// neither accept an older configuration nor revert a host to one.
func TestSuspendedControlLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{})
	leader := c.processes[c.leader("control")]
	var others []string
	for _, name := range c.hostNames {
		if c.processes[name].domain != leader.domain {
			others = append(others, name)
		}
	}
	stop := c.watchConfig(others...)
	leader.signal(syscall.SIGSTOP)
	c.mustApply(others[0], testConfig(2))
	c.mustApply(others[1], testConfig(3))
	c.awaitConfig(testConfig(3), others...)
	leader.signal(syscall.SIGCONT)
	for _, old := range []int{1, 2, 3} {
		_, a, err := c.apply(leader.name, variantConfig(uint64(old), 1))
		if err == nil && a.status == http.StatusOK {
			t.Errorf("P9: %s accepted an older configuration: %s", leader.name, a.body)
		}
	}
	c.awaitConfig(testConfig(3), c.hostNames...)
	c.mustApply(leader.name, testConfig(4))
	c.awaitConfig(testConfig(4), c.hostNames...)
	stop()
}

// TestSecondVoterLost guards P3, P6 and P9 in a group of three voters when a second voter is
// killed right after the first has restarted. Acknowledged samples, stored answers and
// configurations must survive.
func TestSecondVoterLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterOptions{allVoters: true, targetsPerDomain: 1, tokenInterval: 5 * time.Millisecond})
	const group = "domain/kolfe"
	tr := c.newTrainer(demo.TrainerToken, c.domainURLs(""))
	desk := c.newDesk(kolfeDeskToken, "intake-log", c.domainURLs("akaki"))
	step := c.startStep(tr, "step-1", promptGroups("second", 40, 64))
	c.awaitDelivered(tr, midStepSamples)
	answers := make(map[string]string)
	acknowledge := func(key string) {
		a, err := desk.Do(c.ctx, unsafeRequest(key))
		if err == nil && len(a.Body) > 0 {
			answers[key] = string(a.Body)
		}
	}
	first := c.processes[c.leader(group)]
	acknowledge("before")
	first.kill()
	c.mustApply("akaki-2", testConfig(2))
	for i := range 5 {
		acknowledge(fmt.Sprintf("between-%d", i))
	}
	first.start()
	c.awaitReady(first.name)
	second := c.processes[c.leader(group)]
	second.kill()
	for key, want := range answers {
		if a, err := desk.Do(c.ctx, unsafeRequest(key)); err != nil || string(a.Body) != want {
			t.Errorf("P6: key %s: acknowledged answer %s, got %s on resend: %v", key, want, a.Body, err)
		}
	}
	if len(answers) == 0 {
		t.Error("no request was acknowledged")
	}
	c.awaitConfig(testConfig(2), c.except(second.name)...)
	c.awaitStep(step)
	second.start()
	c.awaitReady(second.name)
	c.awaitConfig(testConfig(2), c.hostNames...)
	c.checkTrainer(tr)
	c.checkDesk(desk)
}
