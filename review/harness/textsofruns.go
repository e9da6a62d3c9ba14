package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// textsOfRuns lets all store hosts lose power as a trainer ends a batch job. The trainer gets no
// acknowledgement at its three attempts and asks for the next step, which has the incomplete groups again
// under the same ids. So both jobs are open and run the same items. No text may join pieces of two runs.
func textsOfRuns(c *cluster, trouble bool) (outcome, error) {
	const (
		replicas = 9
		events   = 32
		gap      = 125 * time.Millisecond
		outage   = 5 * time.Second // the default of for_s
	)
	log := &runLog{runs: make(map[int64]*run)}
	for i := range replicas {
		e, err := newEngine(c.rec, log, fmt.Sprintf("i-engine-%d", i), "models", events, gap)
		if err != nil {
			return outcome{}, err
		}
		e.spread = true
		go e.heartbeats(c)
	}
	config := configDoc(1, []map[string]any{route("r-roll", "/roll/", "rollout", "models")}, map[string]int{"models": 4})
	if err := c.control("/Configuration.Replace", config, 30*time.Second); err != nil {
		return outcome{}, err
	}
	if err := c.waitReady(30 * time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(3 * time.Second)
	group := func(from, to int) []item {
		var list []item
		for g := from; g < to; g++ {
			for i := range 4 {
				list = append(list, item{ID: fmt.Sprintf("item%02d%02d", g, i), Path: "/roll/gen", Body: "prompt", Group: fmt.Sprintf("g%02d", g)})
			}
		}
		return list
	}
	// 36 slots run the first 9 groups of 13. The trainer waits for 9.
	first := group(0, 13)
	if err := c.submit("job0001", "/roll/", jobDoc(1, 0, 9, first), 10*time.Second); err != nil {
		return outcome{}, err
	}
	done := c.readAll("job0001", 36, 20*time.Second)
	var back sync.WaitGroup
	if trouble {
		c.powerLoss(outage, &back)
	}
	c.endJob("job0001", 3)
	carried := incomplete(first, done)
	time.Sleep(time.Second) // training
	if err := c.control("/version-put", map[string]any{"Model": model, "Version": 2}, 30*time.Second); err != nil {
		return outcome{}, err
	}
	second := append(carried, group(20, 20+len(carried)/4)...)
	if err := c.submit("job0002", "/roll/", jobDoc(2, 1, 2*len(carried)/4, second), 30*time.Second); err != nil {
		return outcome{}, err
	}
	back.Wait()
	results := map[string][]result{"job0002": c.readAll("job0002", len(second), 40*time.Second), "job0001": c.readAll("job0001", len(first), 3*time.Second)}
	out := outcome{note: fmt.Sprintf("%d carried items, %d and %d results", len(carried), len(results["job0001"]), len(results["job0002"]))}
	for job, list := range results {
		for _, r := range list {
			if why := checkText(log, r, events); why != "" {
				out.broken = append(out.broken, fmt.Sprintf("ORDER: job %s item %s: %s", job, r.ID, why))
			}
		}
	}
	if len(results["job0002"]) < len(second) {
		return out, fmt.Errorf("only %d of %d results of the second job", len(results["job0002"]), len(second))
	}
	return out, nil
}

// powerLoss kills all store hosts at once and starts them again after a while.
func (c *cluster) powerLoss(outage time.Duration, back *sync.WaitGroup) {
	for _, s := range c.stores {
		c.kill(s)
	}
	back.Go(func() {
		time.Sleep(outage)
		for _, s := range c.stores {
			if err := c.start(s); err != nil {
				c.rec.logf("%s does not start: %v", s.name, err)
			}
		}
	})
}

// endJob sends the end of a job until it is acknowledged or the attempts are used up.
func (c *cluster) endJob(id string, attempts int) {
	for i := range attempts {
		status, _ := call(oneShot, http.MethodDelete, c.frontAddr(c.entries[i%2]), "/lots/"+id, nil, nil, 1500*time.Millisecond)
		c.rec.logf("trainer: DELETE job %s at %s -> %d", id, c.entries[i%2].name, status)
		if status == http.StatusOK {
			return
		}
	}
}

// incomplete returns the items of the groups of which not all items have a result.
func incomplete(items []item, done []result) []item {
	missing := make(map[string]bool)
	for _, it := range items {
		missing[it.Group] = missing[it.Group] || !contains(done, it.ID)
	}
	var list []item
	for _, it := range items {
		if missing[it.Group] {
			list = append(list, it)
		}
	}
	return list
}

func contains(list []result, id string) bool {
	for _, r := range list {
		if r.ID == id {
			return true
		}
	}
	return false
}

// checkText returns why a text is not one that the runs of its item can have made, or "".
func checkText(log *runLog, r result, events int) string {
	if r.State != "completed" {
		return ""
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	lines := strings.Split(r.Text, "\n")
	previous := int64(0)
	for i, line := range lines {
		var id string
		var n int
		var serial int64
		if _, err := fmt.Sscanf(line, "%s %d %d", &id, &n, &serial); err != nil || id != r.ID {
			return fmt.Sprintf("line %d is %q", i+1, line)
		}
		if n != i+1 {
			return fmt.Sprintf("event %d stands at position %d", n, i+1)
		}
		if serial != previous && log.runs[serial].lastEventID != n-1 {
			return fmt.Sprintf("after event %d of run %d it goes on with run %d, which was asked with Last-Event-Id %d", n-1, previous, serial, log.runs[serial].lastEventID)
		}
		previous = serial
	}
	if len(lines) != events {
		return fmt.Sprintf("it has %d events of %d", len(lines), events)
	}
	return ""
}
