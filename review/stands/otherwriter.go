package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["otherwriter"] = otherWriterCase }

const (
	// stepDue is RunDeadlineMs of the route.
	stepDue = 7500 * time.Millisecond
	// waitLimit is the time at no replica after which an item of a step that runs out of time is lost.
	waitLimit = 5 * time.Second
	// writerDelay is the time from the acceptance of the batch job to the heartbeats of the other writer.
	writerDelay = 700 * time.Millisecond
	// fewSlots makes the step take some seconds on three engines.
	fewSlots = 4
)

// otherWriterCase lets a trainer submit a step. While it runs, another writer sends one heartbeat under the ID of each engine, in which
// fields are missing and which names an address where nobody listens.
func otherWriterCase(ctx context.Context, binary, dir string, rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(binary, dir, rec, 3, usualStatusS)
	if err != nil {
		return nil, err
	}
	defer c.stop()
	var engines []*replica
	for i := range 3 {
		e, err := newReplica(ctx, c, engineName, fmt.Sprintf("i-engine%d", i), zones[i], 100+i, []string{modelName}, fewSlots)
		if err != nil {
			return nil, err
		}
		defer e.stop()
		e.gap = 40 * time.Millisecond
		engines = append(engines, e)
	}
	if err := c.waitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(2 * beatInterval) // all hosts know all engines
	const job = "step00"
	submitted := rec.since()
	if r := c.submit(ctx, c.entries[0], job, jobDocument(job, groups, []byte("prompt"))); r.status != http.StatusAccepted {
		return nil, &unusable{"the batch job is not accepted: " + strconv.Itoa(r.status)}
	}
	time.Sleep(writerDelay)
	if trouble {
		c.sendForeignBeats(ctx, engines)
	}
	time.Sleep(time.Until(rec.begin.Add(submitted + stepDue)))
	p, r := c.results(ctx, c.entries[1], job, 0)
	rec.add("due", "job", job, "status", strconv.Itoa(r.status), "results", strconv.Itoa(len(p.Results)), "of", strconv.Itoa(p.TotalCount))
	if !r.ok() {
		return nil, &unusable{"the batch job cannot be read"}
	}
	return judgeStep(job, engines, submitted+stepDue), nil
}

// sendForeignBeats sends a heartbeat of another writer for each engine. It has no Slots, Version, ColdRemainingMs, Stage and Models.
func (c *cluster) sendForeignBeats(ctx context.Context, engines []*replica) {
	for i, e := range engines {
		data, _ := json.Marshal(map[string]any{"Service": engineName, "Address": fmt.Sprintf("%s.%d:9", c.prefix, 150+i), "Zone": e.zone, "State": "ready", "Sequence": 1,
			"born": time.Now().UnixMilli()})
		r := c.control(ctx, http.MethodPost, "/Instances.Heartbeat/"+e.id, data, 1)
		c.record.add("other beat", "id", e.id, "body", string(data), "status", strconv.Itoa(r.status), "answer", strings.TrimSpace(string(r.body)))
	}
}

// judgeStep names the items of a step that no replica has finished when the step is due, and that have been at no replica for waitLimit.
func judgeStep(job string, engines []*replica, due time.Duration) (broken []string) {
	lost, begun := 0, 0
	for g := range groups {
		for i := range groupSize {
			id := fmt.Sprintf("%s-%d-%d", job, g, i)
			last, finished := time.Duration(0), false
			for _, e := range engines {
				l, f := e.lastAt(id, due)
				last, finished = max(last, l), finished || f
			}
			if last > 0 {
				begun++
			}
			if !finished && due-last > waitLimit {
				lost++
			}
		}
	}
	if lost > 0 && begun > 0 {
		broken = append(broken, fmt.Sprintf("LOST: step %s runs out of time; %d of its items, which no replica has finished or failed, have been at no replica for 5 s, and %d had begun", job, lost, begun))
	}
	return broken
}

// lastAt returns when a request was at the replica last, by the time now, and whether it was finished there.
func (r *replica) lastAt(id string, now time.Duration) (last time.Duration, finished bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.runs {
		if u.id != id {
			continue
		}
		finished = finished || u.finished
		if u.endedAt == 0 {
			return now, finished
		}
		last = max(last, u.endedAt)
	}
	return last, finished
}
