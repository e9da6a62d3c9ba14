package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// foreignBeats lets another writer send heartbeats of a service that is not configured, with ids of its own,
// from the machines of the model replicas. The replicas go on working and sending their own heartbeats. All
// items of the step have to be finished in time.
func foreignBeats(c *cluster, trouble bool) (outcome, error) {
	const (
		replicas    = 6
		items       = 64
		events      = 16
		gap         = 100 * time.Millisecond
		runDeadline = 7500 * time.Millisecond
		idleLimit   = 5 * time.Second
	)
	log := &runLog{runs: make(map[int64]*run)}
	var engines []*engine
	for i := range replicas {
		e, err := newEngine(c.rec, log, fmt.Sprintf("i-engine-%d", i), "models", events, gap)
		if err != nil {
			return outcome{}, err
		}
		engines = append(engines, e)
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
	var list []item
	for i := range items {
		list = append(list, item{ID: fmt.Sprintf("item%04d", i), Path: "/roll/gen", Body: "prompt", Group: fmt.Sprintf("g%02d", i/4)})
	}
	submitted := time.Now()
	if err := c.submit("job0001", "/roll/", jobDoc(0, 1, items/4, list), 10*time.Second); err != nil {
		return outcome{}, err
	}
	var beats sync.WaitGroup
	if trouble {
		beats.Go(func() {
			time.Sleep(500 * time.Millisecond)
			for i, e := range engines {
				c.foreignBeat(i, e.addr)
			}
		})
	}
	time.Sleep(time.Until(submitted.Add(runDeadline)))
	beats.Wait()
	results := c.readAll("job0001", items, 5*time.Second)
	out := outcome{note: fmt.Sprintf("%d of %d results at the end of the step and 5 s later", len(results), items)}
	out.broken = idleItems(log, list, submitted.Add(runDeadline), idleLimit)
	return out, nil
}

// foreignBeat sends one heartbeat of the other writer for the address.
func (c *cluster) foreignBeat(i int, address string) {
	doc, _ := json.Marshal(map[string]any{"Service": "agent-of-others", "Address": address, "Zone": "z0", "Version": "v9", "Slots": 1, "State": "ready", "ColdRemainingMs": 0,
		"Sequence": 1, "born": time.Now().UnixMilli()})
	path := fmt.Sprintf("/Instances.Heartbeat/x-agent-%d", i)
	status, answer := call(oneShot, http.MethodPost, c.controlAddr(c.stores[i%3]), path, map[string]string{"Content-Type": "application/json"}, doc, time.Second)
	c.rec.logf("other writer: POST %s %s at %s -> %d %s", path, doc, c.stores[i%3].name, status, strings.TrimSpace(string(answer)))
}

// idleItems returns the items that no replica had finished at the end of the step, and that had been at no
// replica for longer than the limit then.
func idleItems(log *runLog, list []item, end time.Time, limit time.Duration) []string {
	log.mu.Lock()
	defer log.mu.Unlock()
	latest := make(map[string]*run)
	begun := 0
	for _, r := range log.runs {
		if latest[r.item] == nil || r.at.After(latest[r.item].at) {
			latest[r.item] = r
		}
	}
	begun = len(latest)
	var broken []string
	for _, it := range list {
		r := latest[it.ID]
		if r == nil && begun > 0 {
			broken = append(broken, fmt.Sprintf("LOST: item %s was at no replica in all of the step (%d others had begun)", it.ID, begun))
		} else if r != nil && !r.complete && end.Sub(r.endedAt) > limit && !r.endedAt.IsZero() {
			broken = append(broken, fmt.Sprintf("LOST: item %s has been at no replica for %.1f s", it.ID, end.Sub(r.endedAt).Seconds()))
		}
	}
	return broken
}
