package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// leftReplica lets a model replica deregister. It gets the acknowledgement, sends no more heartbeats, and goes
// on serving for some seconds. Then all store processes are killed and are back within a second. The last
// heartbeat that the replica sent before arrives seconds late. No item may reach the replica any more.
func leftReplica(c *cluster, trouble bool) (outcome, error) {
	const (
		replicas = 6
		items    = 48
		drainMs  = 2 * time.Second // DrainMs
		// lateness of the heartbeat, and the time of the job: ContactMs and more after the processes are back.
		lateness = 3 * time.Second
		jobAfter = 6500 * time.Millisecond
	)
	log := &runLog{runs: make(map[int64]*run)}
	var engines []*engine
	for i := range replicas {
		e, err := newEngine(c.rec, log, fmt.Sprintf("i-engine-%d", i), "models", 10, 50*time.Millisecond)
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
	time.Sleep(5 * time.Second)
	leaving := engines[0]
	close(leaving.down) // ends the heartbeats; the engine goes on serving
	time.Sleep(1500 * time.Millisecond)
	sent := time.Now()
	late, _ := json.Marshal(leaving.heartbeat(leaving.nextSequence()))
	if err := c.control("/Instances.Deregister/"+leaving.id, struct{}{}, 10*time.Second); err != nil {
		return outcome{}, err
	}
	acknowledged := time.Now()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		for _, s := range c.stores {
			c.kill(s)
		}
		time.Sleep(700 * time.Millisecond)
		for _, s := range c.stores {
			if err := c.start(s); err != nil {
				return outcome{}, err
			}
		}
	}
	time.Sleep(time.Until(sent.Add(lateness)))
	status, _ := call(oneShot, http.MethodPost, c.controlAddr(c.stores[0]), "/Instances.Heartbeat/"+leaving.id, map[string]string{"Content-Type": "application/json"}, late, time.Second)
	c.rec.logf("the late heartbeat of %s: %s -> %d", leaving.id, late, status)
	time.Sleep(time.Until(acknowledged.Add(jobAfter)))
	var list []item
	for i := range items {
		list = append(list, item{ID: fmt.Sprintf("item%04d", i), Path: "/roll/gen", Body: "prompt", Group: fmt.Sprintf("g%02d", i/4)})
	}
	if err := c.submit("job0001", "/roll/", jobDoc(0, 1, items/4, list), 20*time.Second); err != nil {
		return outcome{}, err
	}
	results := c.readAll("job0001", items, 20*time.Second)
	log.mu.Lock()
	defer log.mu.Unlock()
	out := outcome{note: fmt.Sprintf("%d runs, %d of %d results", len(log.runs), len(results), items)}
	for _, r := range log.runs {
		if after := r.at.Sub(acknowledged); r.engine == leaving && after > drainMs {
			out.broken = append(out.broken, fmt.Sprintf("DRAIN: item %s reached replica %s %.1f s after the acknowledgement that it is gone", r.item, leaving.id, after.Seconds()))
		}
	}
	return out, nil
}
