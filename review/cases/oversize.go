package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	oversizeReplicas = 9
	replicaSlots     = 12
	// kvTokens is the memory of a replica of sites/caal-arada.toml.
	kvTokens = 26346
	// The step is of the size of those of sites/addis-drumworks.toml, whose steps have 12 groups of 8 items with a prompt of 1,016 tokens.
	oversizeGroups = 13
	groupSize      = 8
	ordinaryPrompt = 1016
	// longPrompt is longer than the memory of a replica.
	longPrompt = 27000
	// runDue is RunDeadlineMs. An item that has been at no replica for 5 s is then lost.
	runDue = 7500 * time.Millisecond
)

// runLog notes when items run.
type runLog struct {
	mu      sync.Mutex
	began   map[string]time.Time
	running int
	most    int // largest value of running
}

func (l *runLog) note(_, id string, began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !began {
		l.running--
		return
	}
	l.running++
	l.most = max(l.most, l.running)
	if l.began[id].IsZero() {
		l.began[id] = time.Now()
	}
}

// oversizeCase submits two steps of a trainer, one ahead. In the first, the prompt of one group is longer than the memory of a replica. The rule is
// LOST: a step runs out of time while an item has been at no replica for 5 s, others had begun, and the replicas were under half full.
func oversizeCase(log *record) (broken bool, err error) {
	p, err := newPlatform(caalArada, log)
	if err != nil {
		return false, err
	}
	defer p.stop()
	runs := &runLog{began: make(map[string]time.Time)}
	c, stop, err := startDeploymentWith(p, 3, 2, replicaOptions{service: service, model: model, slots: replicaSlots, kvTokens: kvTokens, gap: 43 * time.Millisecond,
		events: eventsOf, text: func(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }}, oversizeReplicas, runs.note)
	if err != nil {
		return false, err
	}
	defer stop()
	time.Sleep(5 * time.Second) // steady state
	var steps []*openStep
	for n := range 2 {
		st := newStep(n)
		st.submitted = time.Now()
		if !c.submit(st.id, st.job, 5*time.Second) {
			return false, fmt.Errorf("step %d was not accepted", n)
		}
		steps = append(steps, st)
		time.Sleep(time.Second)
	}
	for _, st := range steps {
		broken = st.awaitDeadline(c, runs) || broken
	}
	return broken, nil
}

// openStep is a step of the trainer.
type openStep struct {
	id        string
	job       *job
	ordinary  []string // items whose prompt fits into the memory of a replica
	submitted time.Time
}

// newStep returns a step of the trainer. In the first one the prompt of a group is longer than the memory of a replica.
func newStep(n int) *openStep {
	st := &openStep{id: fmt.Sprintf("7c41e09b52d6a3f%d", n), job: &job{TrainStep: n, Model: model, DesiredCount: oversizeGroups}}
	for k := range oversizeGroups * groupSize {
		id := fmt.Sprintf("%02x-e5b2907c14da6f%d", k, n)
		prompt := ordinaryPrompt
		if trouble() && n == 0 && k/groupSize == 0 {
			prompt = longPrompt
		} else {
			st.ordinary = append(st.ordinary, id)
		}
		it := newItem(id, []byte("prompt"), prompt, eventsOf(id)*43)
		it.Group = fmt.Sprintf("g%d-%d", n, k/groupSize)
		it.Headers["X-Fuchsiaflow-Prompt-Prefix"] = fmt.Sprintf("%x:%d,%x:16", 0x9c2e41+100*n+k/groupSize, prompt-16, 0x5d07b8+1000*n+k)
		st.job.Items = append(st.job.Items, it)
	}
	return st
}

// awaitDeadline reads the results of a step until its time is up, and reports whether the rule was broken.
func (st *openStep) awaitDeadline(c *clients, runs *runLog) bool {
	listed, most := 0, 0
	deadline := st.submitted.Add(runDue)
	for time.Now().Before(deadline) {
		if got, ok := c.read(st.id, time.Until(deadline), false); ok {
			listed = len(got.Results)
		}
		time.Sleep(100 * time.Millisecond)
	}
	runs.mu.Lock()
	defer runs.mu.Unlock()
	starved, begun := 0, 0
	for _, id := range st.ordinary {
		at := runs.began[id]
		if at.IsZero() {
			starved++
			c.log.printf("item %s has been at no replica", id)
			continue
		}
		begun++
		c.log.printf("item %s began to run %.3f s after its submission", id, at.Sub(st.submitted).Seconds())
	}
	most = runs.most
	c.log.printf("at its deadline %d of %d items of step %s were listed; of the %d with an ordinary prompt %d had begun to run and %d had been at no replica for %s; at most %d of %d places were taken",
		listed, len(st.job.Items), st.id, len(st.ordinary), begun, starved, runDue, most, oversizeReplicas*replicaSlots)
	return starved > 0 && begun > 0 && 2*most < oversizeReplicas*replicaSlots
}

// eventsOf returns the number of events of an item: 20 in the mean, with some items that are five times as long.
func eventsOf(id string) int {
	n := 0
	for _, b := range []byte(id[:2]) {
		n = n*31 + int(b)
	}
	if n%12 == 0 {
		return 75
	}
	return 10 + n%12
}
