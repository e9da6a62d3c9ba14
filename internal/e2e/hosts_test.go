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

// midStep is how many delivered samples show that a step is under way.
const midStep = 24

// TestKillDuringStep guards P1 to P6 against the loss of a process in the middle of a step:
// an entry host without data, the leader of the trainer's home domain, whose disk is kept,
// and the leader of the control group. It fails when a sample is lost, repeated or
// mislabelled, or when an unsafe request runs twice.
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
			c := newCluster(t, options{targets: 1, tokenTime: 5 * time.Millisecond})
			tr := c.trainer(demo.TrainerToken, c.urls(""))
			desk := c.startLoad("kill", c.urls(""))
			rounds := 1
			if long() {
				rounds = 8
			}
			for round := range rounds {
				id := fmt.Sprintf("kill-%d", round)
				delivered := tr.Stats().Delivered
				step := c.runStep(tr, id, groups(id, 30, 64))
				c.awaitDelivered(tr, delivered+midStep)
				victim := c.procs[role.victim(c)]
				victim.kill()
				// The other hosts notice the loss before the process returns.
				time.Sleep(time.Second)
				victim.start()
				c.awaitStep(step)
				c.awaitReady(c.order...)
			}
			c.awaitStep(c.runStep(tr, "after", groups("after", 4, 64)))
			c.finish(desk)
			c.checkTrainer(tr)
			c.awaitConfig(config(1), c.order...)
		})
	}
}

// TestGracefulShutdown guards P8: a host that gets SIGTERM, here the leader of the home
// domain of the trainer and then that of the desk, finishes the safe and unsafe requests
// that it has accepted and the samples in progress, and exits without a failure.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{allVote: true, targets: 1, tokenTime: 5 * time.Millisecond})
	for _, domain := range []string{"kolfe", "akaki"} {
		victim := c.procs[c.leader("domain/"+domain)]
		others := c.url(c.except(victim.name)...)
		tr := c.trainer(demo.TrainerToken, others)
		step := c.runStep(tr, "step-"+domain, groups(domain, 30, 64))
		c.awaitDelivered(tr, midStep)
		accepted := c.inProgress(victim.name, domain)
		victim.signal(syscall.SIGTERM)
		c.setDelay(0)
		desk := c.startLoad("others-"+domain, others)
		for _, d := range accepted() {
			if got := c.checkDesk(d); got.Answers != got.Requests || got.Resent != 0 {
				t.Errorf("P8: %s answered %d of %d requests in progress, %d were resent", victim.name, got.Answers, got.Requests, got.Resent)
			}
		}
		if err := victim.exited(waitLimit); err != nil {
			t.Errorf("P8: %s: %v", victim.name, err)
		}
		c.awaitStep(step)
		safe, unsafe := c.finish(desk)
		if safe.Unknown+unsafe.Unknown != 0 || safe.Answers != safe.Requests || unsafe.Answers != unsafe.Requests {
			t.Errorf("P8: through the other hosts: safe %+v, unsafe %+v", safe, unsafe)
		}
		c.checkTrainer(tr)
		victim.start()
		c.awaitReady(victim.name)
	}
}

// setDelay makes each request wait at its target before it starts.
func (c *cluster) setDelay(d time.Duration) {
	for _, e := range c.engines {
		e.SetDelay(d)
	}
	for _, s := range c.services {
		s.SetDelay(d)
	}
}

// inProgress sends safe and unsafe requests to a host and returns while it runs them. The
// function that it returns waits for their end.
func (c *cluster) inProgress(name, label string) (wait func() []*fakes.Desk) {
	c.t.Helper()
	const requests = 8
	c.setDelay(time.Second)
	desks := []*fakes.Desk{c.desk(demo.DeskToken, "sorting", c.url(name)), c.desk(demo.DeskToken, "intake-log", c.url(name))}
	var calls sync.WaitGroup
	for i := range requests {
		calls.Go(func() { _, _ = desks[0].Do(c.ctx, generation(fmt.Sprintf("term %s %d", label, i))) })
		calls.Go(func() { _, _ = desks[1].Do(c.ctx, entry(fmt.Sprintf("term-%s-%d", label, i))) })
	}
	c.eventually("requests are in progress on "+name, func() string {
		calling, ran := 0, 0
		for _, s := range c.services {
			calling += s.InFlight()
		}
		for i := range requests {
			ran += c.executions(string(entry(fmt.Sprintf("term-%s-%d", label, i)).Body))
		}
		if calling+ran < requests {
			return fmt.Sprintf("the services run %d calls", calling)
		}
		if s, err := c.status(name); ran == 0 && (err != nil || s.Running.Requests <= 2*requests) {
			return fmt.Sprintf("%v %+v", err, s)
		}
		return ""
	})
	return func() []*fakes.Desk { calls.Wait(); return desks }
}

// TestSuspendedControlLeader guards P9 against a control leader that stands still, as under
// SIGSTOP, while the other voters elect a new leader and accept newer configurations. Once
// it runs again, it must neither accept an older configuration nor bring a host back to one.
func TestSuspendedControlLeader(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	leader := c.procs[c.leader("control")]
	var others []string
	for _, name := range c.order {
		if c.procs[name].domain != leader.domain {
			others = append(others, name)
		}
	}
	stop := c.watchConfig(others...)
	leader.signal(syscall.SIGSTOP)
	c.mustApply(others[0], config(2))
	c.mustApply(others[1], config(3))
	c.awaitConfig(config(3), others...)
	leader.signal(syscall.SIGCONT)
	for _, old := range []int{1, 2, 3} {
		_, a, err := c.apply(leader.name, altered(uint64(old), 1))
		if err == nil && a.status == http.StatusOK {
			t.Errorf("P9: %s accepted an older configuration: %s", leader.name, a.body)
		}
	}
	c.awaitConfig(config(3), c.order...)
	c.mustApply(leader.name, config(4))
	c.awaitConfig(config(4), c.order...)
	stop()
}

// TestSecondVoterLost guards P3, P6 and P9 in a domain group of three voters when a second
// voter is lost right after the first was repaired. Whatever was acknowledged before, samples,
// stored answers and a configuration, must survive.
func TestSecondVoterLost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{allVote: true, targets: 1, tokenTime: 5 * time.Millisecond})
	const group = "domain/kolfe"
	tr := c.trainer(demo.TrainerToken, c.urls(""))
	desk := c.desk(kolfeDeskToken, "intake-log", c.urls("akaki"))
	step := c.runStep(tr, "step-1", groups("second", 40, 64))
	c.awaitDelivered(tr, midStep)
	answers := make(map[string]string)
	acknowledge := func(key string) {
		a, err := desk.Do(c.ctx, entry(key))
		if err == nil && len(a.Body) > 0 {
			answers[key] = string(a.Body)
		}
	}
	first := c.procs[c.leader(group)]
	acknowledge("before")
	first.kill()
	c.mustApply("akaki-2", config(2))
	for i := range 5 {
		acknowledge(fmt.Sprintf("between-%d", i))
	}
	first.start()
	c.awaitReady(first.name)
	second := c.procs[c.leader(group)]
	second.kill()
	for key, want := range answers {
		if a, err := desk.Do(c.ctx, entry(key)); err != nil || string(a.Body) != want {
			t.Errorf("P6: key %s: the acknowledged answer was %s, now %s: %v", key, want, a.Body, err)
		}
	}
	if len(answers) == 0 {
		t.Error("no request was acknowledged")
	}
	c.awaitConfig(config(2), c.except(second.name)...)
	c.awaitStep(step)
	second.start()
	c.awaitReady(second.name)
	c.awaitConfig(config(2), c.order...)
	c.checkTrainer(tr)
	c.checkDesk(desk)
}
