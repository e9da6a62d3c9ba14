package joined

import (
	"maps"
	"time"

	"fuchsiaflow/internal/engine"
	"fuchsiaflow/membership"
	"fuchsiaflow/weights"
)

const (
	chunkInterval    = 120 * time.Millisecond
	swapDuration     = 300 * time.Millisecond
	engineSlots      = 3
	announceInterval = 700 * time.Millisecond
)

// fakeEngine generates the expected text of a prompt in chunks with its current model version.
// While the network has faults, it occasionally sends the last chunk of another request too.
type fakeEngine struct {
	sim          *simulation
	name         string
	incarnation  uint64
	up, leaving  bool
	version      uint64 // actually loaded, also while unknown to the engine
	versionKnown bool   // false after a failed swap
	fence        uint64
	running      int
	lastChunk    engine.Chunk // last chunk sent, of any request
}

func (sim *simulation) startEngine(name string) {
	e := &fakeEngine{sim: sim, name: name, up: true, version: 1, versionKnown: true, incarnation: 1}
	if old := sim.engines[name]; old != nil {
		e.incarnation, e.version = old.incarnation+1, old.version
	}
	sim.engines[name] = e
	e.announce()
}

// announce sends the engine's state to a host of its domain and reschedules itself.
func (e *fakeEngine) announce() {
	if !e.up {
		return
	}
	e.sim.net.After(announceInterval, e.announce)
	to := e.sim.hostsOf(Domain(e.name))[e.sim.random.IntN(2)]
	if e.leaving {
		e.sim.net.Send(e.name, to, func() { e.sim.hosts[to].handleLeave(e.name, e.incarnation, true) })
	}
	a := membership.Announcement{ID: e.name, Incarnation: e.incarnation, Domain: Domain(e.name), Pool: pool, Kind: "engine",
		Slots: engineSlots, Running: e.running, Loaded: map[string]uint64{model: e.reportedVersion()}}
	fence := e.fence
	e.sim.net.Send(e.name, to, func() { e.sim.hosts[to].handleAnnouncement(a, fence, true) })
}

// reportedVersion returns the version that the engine reports and labels its output with, or 0
// while it is unknown.
func (e *fakeEngine) reportedVersion() uint64 {
	if !e.versionKnown {
		return 0
	}
	return e.version
}

// load handles a swap order. While the network has faults, a swap occasionally fails and leaves
// either version loaded.
func (e *fakeEngine) load(o weights.Order) weights.OrderResult {
	r := weights.OrderResult{Target: e.name, Model: o.Model, Version: o.Version, Fence: o.Fence}
	if o.Fence < e.fence || e.sim.now().After(o.ExpiresAt) {
		r.OldFence, r.Reason = o.Fence < e.fence, "refused"
		return r
	}
	e.fence, r.OK = o.Fence, true
	if e.version == o.Version && e.versionKnown {
		return r
	}
	fails := e.sim.net.Loss > 0 && e.sim.random.IntN(8) == 0
	e.sim.net.After(swapDuration, func() {
		if e.versionKnown = !fails; e.versionKnown || e.sim.random.IntN(2) == 0 {
			e.version = o.Version
		}
	})
	return r
}

// start executes a request, or calls refuse if the engine does not execute it.
func (e *fakeEngine) start(request, key, prompt string, emit func(engine.Chunk), refuse func()) {
	if !e.up || e.leaving || e.running >= 2*engineSlots {
		refuse()
		return
	}
	e.sim.recordExecution(request, key)
	e.running++
	text := []rune(expectedText(prompt))
	e.generate(request, text, 0, emit)
}

func (e *fakeEngine) generate(request string, text []rune, from int, emit func(engine.Chunk)) {
	e.sim.net.After(chunkInterval, func() {
		if !e.up {
			return
		}
		to := min(from+(len(text)+3)/4, len(text))
		e.sim.usedVersions[request][e.version] = true
		c := engine.Chunk{RequestID: request, Offset: uint64(from), Text: string(text[from:to]), Tokens: 1, Version: e.reportedVersion(),
			Done: to == len(text)}
		if c.Done {
			c.Total = uint64(to)
			e.running--
		} else {
			e.generate(request, text, to, emit)
		}
		if emit(c); e.sim.net.Loss > 0 && e.sim.random.IntN(10) == 0 {
			emit(e.lastChunk)
		}
		e.lastChunk = c
	})
}

// handleAnnouncement registers a target of this host, or forwards the announcement to the owner
// of the target.
func (h *host) handleAnnouncement(a membership.Announcement, fence uint64, forward bool) {
	if !h.up {
		return
	}
	if owner := membership.Owner(a.ID, h.liveHosts()); owner != h.name && forward {
		h.sim.net.Send(h.name, owner, func() { h.sim.hosts[owner].handleAnnouncement(a, fence, false) })
		return
	}
	now := h.sim.now()
	err := h.registry.Announce(now, a)
	if err == nil {
		if a.Incarnation > h.targets[a.ID].Incarnation {
			delete(h.leavingSince, a.ID)
		}
		h.targets[a.ID] = a
		h.updateTarget(a.ID)
	}
	h.sim.sendToLeader(h.name, h.domain, func(g *domainGroup) func() {
		g.planner.UpdateTarget(g.sim.now(), weights.TargetReport{ID: a.ID, Incarnation: a.Incarnation, Pool: a.Pool, Loaded: maps.Clone(a.Loaded),
			LastFence: fence, Busy: a.Running > 0})
		return nil
	})
}

// handleLeave stops dispatching to a target, and with forward set notifies the other hosts.
func (h *host) handleLeave(id string, incarnation uint64, forward bool) {
	if !h.up {
		return
	}
	if _, known := h.leavingSince[id]; !known && h.targets[id].Incarnation == incarnation {
		h.leavingSince[id] = h.sim.now()
		h.sim.eventCounts["left"]++
	}
	if h.sim.brokenGuarantee != "P7" {
		if h.registry.Leave(h.sim.now(), id, incarnation) != nil {
			return // sent by an earlier incarnation
		}
		h.updateTarget(id)
	}
	for _, peer := range h.liveHosts() {
		if forward && peer != h.name {
			h.sim.net.Send(h.name, peer, func() { h.sim.hosts[peer].handleLeave(id, incarnation, false) })
		}
	}
}
