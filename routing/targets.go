package routing

import (
	"maps"
	"time"
)

// UpsertTarget adds a target or replaces what is known about it. A new incarnation has
// an empty cache and no history; requests on the old one stay in flight until Done.
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
		old.changed = now
	}
	old.state = s
	old.window = min(old.window, float64(old.maxWindow()))
	old.report(now, s.Load)
	old.pool.place(old)
}

func (d *Dispatcher) addTarget(now time.Time, s TargetState) {
	p := d.pool(s.Pool)
	ep := &Endpoint{state: s, cfg: &d.cfg, pool: p, view: d.view, freeIndex: -1, probeDelay: d.cfg.ProbeInterval}
	ep.window = float64(max(1, ep.maxWindow()/2))
	ep.report(now, s.Load)
	d.targets[s.ID] = ep
	p.endpoints = append(p.endpoints, ep)
	p.slots += ep.Window()
	p.place(ep)
}

// RemoveTarget forgets a target, which receives nothing new from then on. Requests in flight
// on it stay known until Done.
func (d *Dispatcher) RemoveTarget(_ time.Time, id string) {
	ep := d.targets[id]
	if ep == nil {
		return
	}
	delete(d.targets, id)
	ep.gone = true
	ep.pool.remove(ep)
	d.release(ep.pool)
}

// ReportLoad records a load report of a target.
func (d *Dispatcher) ReportLoad(now time.Time, id string, l LoadReport) {
	if ep := d.targets[id]; ep != nil {
		ep.report(now, l)
		ep.pool.place(ep)
	}
}

// ApplyCacheEvent records a change of a target's prefix cache.
func (d *Dispatcher) ApplyCacheEvent(now time.Time, id string, ev CacheEvent) {
	if ep := d.targets[id]; ep != nil {
		d.view.event(now, ep, ev)
	}
}

// FreeSampleSlots returns how many more samples a pool can take at once: the free windows of its
// targets, less what is queued already.
func (d *Dispatcher) FreeSampleSlots(now time.Time, pool string) int {
	p := d.pools[pool]
	if p == nil {
		return 0
	}
	free := 0
	for _, ep := range p.free {
		if ep.Healthy(now) {
			free += ep.Room(Sample)
		}
	}
	return max(0, free-p.queued())
}

// Summary returns what the host tells others about a pool, for PickHost.
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
