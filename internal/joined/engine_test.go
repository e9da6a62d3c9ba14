package joined

import (
	"maps"
	"time"

	"fuchsiaflow/internal/engine"
	"fuchsiaflow/membership"
	"fuchsiaflow/weights"
)

const (
	chunkTime    = 120 * time.Millisecond
	swapTime     = 300 * time.Millisecond
	engineSlots  = 3
	announceTime = 700 * time.Millisecond
)

// fakeEngine generates the expected text of a prompt in chunks under its current version. At
// times it sends a chunk to the stream of another request.
type fakeEngine struct {
	w           *world
	name        string
	incarnation uint64
	up, leaving bool
	version     uint64 // truly loaded
	certain     bool   // whether the engine knows its version
	fence       uint64
	running     int
	last        engine.Chunk // of any request
}

func (w *world) startEngine(name string) {
	e := &fakeEngine{w: w, name: name, up: true, version: 1, certain: true, incarnation: 1}
	if old := w.engines[name]; old != nil {
		e.incarnation, e.version = old.incarnation+1, old.version
	}
	w.engines[name] = e
	e.announce()
}

func (e *fakeEngine) announce() {
	if !e.up {
		return
	}
	e.w.net.After(announceTime, e.announce)
	to := e.w.hostsOf(Domain(e.name))[e.w.random.IntN(2)]
	if e.leaving {
		e.w.net.Send(e.name, to, func() { e.w.hosts[to].targetLeaves(e.name, e.incarnation, true) })
	}
	a := membership.Announcement{ID: e.name, Incarnation: e.incarnation, Domain: Domain(e.name), Pool: pool, Kind: "engine",
		Slots: engineSlots, Running: e.running, Loaded: map[string]uint64{model: e.reported()}}
	fence := e.fence
	e.w.net.Send(e.name, to, func() { e.w.hosts[to].announced(a, fence, true) })
}

// reported is the label of the engine's output: 0 while the version is not certain.
func (e *fakeEngine) reported() uint64 {
	if !e.certain {
		return 0
	}
	return e.version
}

// load handles an order. A swap fails at times and leaves either version loaded.
func (e *fakeEngine) load(o weights.Order) weights.OrderResult {
	r := weights.OrderResult{Target: e.name, Model: o.Model, Version: o.Version, Fence: o.Fence}
	if o.Fence < e.fence || e.w.now().After(o.ExpiresAt) {
		r.OldFence, r.Reason = o.Fence < e.fence, "refused"
		return r
	}
	e.fence, r.OK = o.Fence, true
	if e.version == o.Version && e.certain {
		return r
	}
	fails := e.w.net.Loss > 0 && e.w.random.IntN(8) == 0
	e.w.net.After(swapTime, func() {
		if e.certain = !fails; e.certain || e.w.random.IntN(2) == 0 {
			e.version = o.Version
		}
	})
	return r
}

// start runs a request, unless the engine refuses it; refuse states that it did not run.
func (e *fakeEngine) start(request, key, prompt string, emit func(engine.Chunk), refuse func()) {
	if !e.up || e.leaving || e.running >= 2*engineSlots {
		refuse()
		return
	}
	e.w.executed(request, key)
	e.running++
	text := []rune(expected(prompt))
	e.generate(request, text, 0, emit)
}

func (e *fakeEngine) generate(request string, text []rune, from int, emit func(engine.Chunk)) {
	e.w.net.After(chunkTime, func() {
		if !e.up {
			return
		}
		to := min(from+(len(text)+3)/4, len(text))
		e.w.versions[request][e.version] = true
		c := engine.Chunk{RequestID: request, Offset: uint64(from), Text: string(text[from:to]), Tokens: 1, Version: e.reported(),
			Done: to == len(text)}
		if c.Done {
			c.Total = uint64(to)
			e.running--
		} else {
			e.generate(request, text, to, emit)
		}
		if emit(c); e.w.net.Loss > 0 && e.w.random.IntN(10) == 0 {
			emit(e.last)
		}
		e.last = c
	})
}

func (h *host) announced(a membership.Announcement, fence uint64, forward bool) {
	if !h.up {
		return
	}
	if owner := membership.Owner(a.ID, h.live()); owner != h.name && forward {
		h.w.net.Send(h.name, owner, func() { h.w.hosts[owner].announced(a, fence, false) })
		return
	}
	now := h.w.now()
	err := h.registry.Announce(now, a)
	if err == nil {
		if a.Incarnation > h.targets[a.ID].Incarnation {
			delete(h.departed, a.ID)
		}
		h.targets[a.ID] = a
		h.updateTarget(a.ID)
	}
	h.w.ask(h.name, h.domain, func(g *group) func() {
		g.planner.UpdateTarget(g.w.now(), weights.TargetReport{ID: a.ID, Incarnation: a.Incarnation, Pool: a.Pool, Loaded: maps.Clone(a.Loaded),
			LastFence: fence, Busy: a.Running > 0})
		return nil
	})
}

func (h *host) targetLeaves(id string, incarnation uint64, forward bool) {
	if !h.up {
		return
	}
	if _, known := h.departed[id]; !known && h.targets[id].Incarnation == incarnation {
		h.departed[id] = h.w.now()
		h.w.seen["left"]++
	}
	if h.w.fault != "P7" {
		if h.registry.Leave(h.w.now(), id, incarnation) != nil {
			return // the notice of an earlier incarnation
		}
		h.updateTarget(id)
	}
	for _, peer := range h.live() {
		if forward && peer != h.name {
			h.w.net.Send(h.name, peer, func() { h.w.hosts[peer].targetLeaves(id, incarnation, false) })
		}
	}
}
