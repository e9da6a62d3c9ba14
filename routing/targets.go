package routing

import (
	"maps"
	"time"
)

// UpsertTarget adds a target or replaces its state. A state with an older incarnation is ignored.
// A new incarnation starts with an empty cache and no statistics; requests on the previous one
// stay in flight until Done.
func (d *Dispatcher) UpsertTarget(now time.Time, s TargetState) {
	old := d.targets[s.ID]
	if old != nil && s.Incarnation < old.state.Incarnation {
		return
	}
	s.Loaded = maps.Clone(s.Loaded)
	if old != nil && (s.Incarnation > old.state.Incarnation || s.Pool != old.state.Pool) {
		d.RemoveTarget(now, s.ID)
		old = nil
	}
	if old == nil {
		d.addTarget(now, s)
		return
	}
	if !maps.Equal(old.state.Loaded, s.Loaded) {
		old.modelsChangedAt = now
	}
	old.state = s
	old.window = min(old.window, float64(old.maxWindow()))
	old.applyLoadReport(now, s.Load)
	old.pool.updateFree(old)
}

func (d *Dispatcher) addTarget(now time.Time, s TargetState) {
	p := d.ensurePool(s.Pool)
	ep := &Endpoint{state: s, cfg: &d.cfg, pool: p, prefixes: d.prefixes, freeIndex: -1, probeDelay: d.cfg.ProbeInterval}
	ep.window = float64(max(1, ep.maxWindow()/2))
	ep.applyLoadReport(now, s.Load)
	d.targets[s.ID] = ep
	p.endpoints = append(p.endpoints, ep)
	p.totalWindow += ep.Window()
	p.updateFree(ep)
}

// RemoveTarget removes a target, which receives no further requests. Requests in flight on it are
// kept until Done.
func (d *Dispatcher) RemoveTarget(_ time.Time, id string) {
	ep := d.targets[id]
	if ep == nil {
		return
	}
	delete(d.targets, id)
	ep.removed = true
	ep.pool.remove(ep)
	d.removeIfEmpty(ep.pool)
}

// ReportLoad applies a load report of a target.
func (d *Dispatcher) ReportLoad(now time.Time, id string, l LoadReport) {
	if ep := d.targets[id]; ep != nil {
		ep.applyLoadReport(now, l)
		ep.pool.updateFree(ep)
	}
}

// ApplyCacheEvent applies a change of a target's prefix cache to the prefix index.
func (d *Dispatcher) ApplyCacheEvent(now time.Time, id string, ev CacheEvent) {
	if ep := d.targets[id]; ep != nil {
		d.prefixes.applyEvent(now, ep, ev)
	}
}

// FreeSampleSlots returns the number of samples that a pool could dispatch at once in addition to the
// queued requests: the free windows of its healthy targets less the length of the queue.
func (d *Dispatcher) FreeSampleSlots(now time.Time, pool string) int {
	p := d.pools[pool]
	if p == nil {
		return 0
	}
	free := 0
	for _, ep := range p.free {
		if ep.Healthy(now) {
			free += ep.FreeWindow(Sample)
		}
	}
	return max(0, free-p.queued())
}

// Summary returns the state of a pool that the host publishes to other hosts for PickHost.
func (d *Dispatcher) Summary(now time.Time, pool string) PoolSummary {
	s := PoolSummary{Versions: make(map[string]uint64)}
	p := d.pools[pool]
	if p == nil {
		return s
	}
	s.Load = p.queued()
	for _, ep := range p.endpoints {
		s.Load += len(ep.inflight)
		if !ep.Healthy(now) {
			continue
		}
		s.Capacity += ep.Window()
		for m, v := range ep.state.Loaded {
			s.Versions[m] = max(v, s.Versions[m])
		}
	}
	return s
}
