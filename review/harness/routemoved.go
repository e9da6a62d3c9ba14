package main

import (
	"fmt"
	"time"
)

// moveSetup is a deployment in which a batch job runs at a service that it is to leave.
type moveSetup struct {
	log       *runLog
	old       []*engine // replicas of the old service
	items     []item
	submitted time.Time
}

const (
	oldReplicas = 6
	newReplicas = 2
	oldService  = "old-service"
	newService  = "new-service"
)

// startJob starts the replicas of both services and submits a job whose route leads to the old one.
func startJob(c *cluster, items, events int, gap time.Duration) (*moveSetup, error) {
	m := &moveSetup{log: &runLog{runs: make(map[int64]*run)}}
	for i := range oldReplicas + newReplicas {
		service := oldService
		if i >= oldReplicas {
			service = newService
		}
		e, err := newEngine(c.rec, m.log, fmt.Sprintf("i-%s-%d", service, i), service, events, gap)
		if err != nil {
			return nil, err
		}
		if service == oldService {
			m.old = append(m.old, e)
		}
		go e.heartbeats(c)
	}
	if err := c.control("/Configuration.Replace", moveConfig(1, oldService, oldService, newService), 30*time.Second); err != nil {
		return nil, err
	}
	if err := c.waitReady(30 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	for i := range items {
		m.items = append(m.items, item{ID: fmt.Sprintf("item%04d", i), Path: "/roll/gen", Body: "prompt", Group: fmt.Sprintf("g%d", i/4)})
	}
	m.submitted = time.Now()
	if err := c.submit("job0001", "/roll/", jobDoc(0, 1, items/4, m.items), 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	return m, nil
}

// moveConfig returns a configuration whose route leads to a service.
func moveConfig(version int, service string, services ...string) map[string]any {
	slots := make(map[string]int)
	for _, s := range services {
		slots[s] = 12
	}
	return configDoc(version, []map[string]any{route("r-roll", "/roll/", "rollout", service)}, slots)
}

// routeMoved moves the route of a running batch job to another service. Later than ConfigApplyMs after the
// acknowledgement a replica of the old service crashes: one of six, within the share of 0.17 that the pages
// allow. The items that it ran have to go on at the new service.
func routeMoved(c *cluster, trouble bool) (outcome, error) {
	m, err := startJob(c, 12, 60, 100*time.Millisecond)
	if err != nil {
		return outcome{}, err
	}
	if err := c.control("/Configuration.Replace", moveConfig(2, newService, oldService, newService), 10*time.Second); err != nil {
		return outcome{}, err
	}
	acknowledged := time.Now()
	inForce := acknowledged.Add(2 * time.Second) // ConfigApplyMs
	time.Sleep(time.Until(inForce) + 700*time.Millisecond)
	if trouble {
		busiest(m.old, m.log).crash()
	}
	results := c.readAll("job0001", len(m.items), 30*time.Second)
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	out := outcome{note: fmt.Sprintf("%d runs, %d of %d results", len(m.log.runs), len(results), len(m.items))}
	for _, r := range m.log.runs {
		if r.engine.service == oldService && r.at.After(inForce) {
			out.broken = append(out.broken, fmt.Sprintf("CONFIG: item %s reached replica %s of the old service %.1f s after the acknowledgement of version 2",
				r.item, r.engine.id, r.at.Sub(acknowledged).Seconds()))
		}
	}
	if len(results) < len(m.items) {
		return out, fmt.Errorf("only %d of %d results", len(results), len(m.items))
	}
	return out, nil
}

// serviceRemoved moves the route of a running batch job to another service and removes the old one from the
// configuration. A second later a replica of the old service crashes, one of six. The items that it ran have
// to go on at the new service.
func serviceRemoved(c *cluster, trouble bool) (outcome, error) {
	const (
		runDeadline = 7500 * time.Millisecond
		idleLimit   = 5 * time.Second
	)
	m, err := startJob(c, 12, 40, 100*time.Millisecond)
	if err != nil {
		return outcome{}, err
	}
	if err := c.control("/Configuration.Replace", moveConfig(2, newService, newService), 10*time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(time.Second)
	if trouble {
		busiest(m.old, m.log).crash()
	}
	end := m.submitted.Add(runDeadline)
	time.Sleep(time.Until(end))
	out := outcome{broken: idleItems(m.log, m.items, end, idleLimit)}
	completed := 0
	results := c.readAll("job0001", len(m.items), 45*time.Second)
	for _, r := range results {
		if r.State == "completed" {
			completed++
		}
	}
	out.note = fmt.Sprintf("%d of %d items completed, %d listed, %.0f s after the job was sent", completed, len(m.items), len(results), time.Since(m.submitted).Seconds())
	return out, nil
}

// busiest returns the engine that began the most runs.
func busiest(engines []*engine, log *runLog) *engine {
	log.mu.Lock()
	defer log.mu.Unlock()
	counts := make(map[*engine]int)
	for _, r := range log.runs {
		counts[r.engine]++
	}
	best := engines[0]
	for _, e := range engines {
		if counts[e] > counts[best] {
			best = e
		}
	}
	return best
}
