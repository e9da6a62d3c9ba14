package joined

import (
	"crypto/sha256"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/engine"
	"fuchsiaflow/ledger"
	"fuchsiaflow/membership"
	"fuchsiaflow/retry"
	"fuchsiaflow/routing"
)

const (
	tickInterval     = 200 * time.Millisecond
	peerTimeout      = 1500 * time.Millisecond // a peer without a heartbeat for longer owns no targets
	executionTimeout = 2 * time.Second         // bounds the time of a request in the queue and on a target
	attemptTimeout   = 3 * time.Second         // bounds an entry host's wait for a target owner
)

// host is a simulated host process; a restart creates a new one.
type host struct {
	sim                        *simulation
	name, domain               string
	incarnation, quotaSequence uint64
	claimIncarnation           uint64
	up, draining               bool
	ticks                      int
	openDeskRequests           int // requests accepted from callers and not yet answered
	lastHeartbeat              map[string]time.Time
	activator                  *confstate.Activator
	retiredSince               map[string]time.Time // by target, since the configuration retires it
	leavingSince               map[string]time.Time
	registry                   *membership.TargetRegistry
	targets                    map[string]membership.Announcement
	dispatcher                 *routing.Dispatcher
	inFlight                   map[string]*inFlightRequest
	pendingReports             map[uint64]*pendingReport
	payloads                   map[ledger.Digest]string
	claims                     map[string]*claimedRequest
	budget                     *retry.Budget
	random                     *rand.Rand
}

// inFlightRequest is a request that is queued at this host or runs on one of its targets.
type inFlightRequest struct {
	id, key, prompt, target string
	assembler               *engine.Assembler
	done                    func(text string, out *engine.Assembler, err error)
}

// pendingReport is the result of a sample attempt that the trainer's home has not confirmed.
type pendingReport struct {
	work     ledger.Work
	produced *ledger.AttemptOutput // nil if the attempt failed
}

// startHost starts a host, or a new process of it after a crash or drain.
func (sim *simulation) startHost(name string) {
	random := rand.New(rand.NewPCG(sim.random.Uint64(), 2))
	h := &host{
		sim: sim, name: name, domain: Domain(name), up: true, incarnation: uint64(sim.now().UnixMilli()),
		lastHeartbeat: make(map[string]time.Time), activator: confstate.NewActivator(), retiredSince: make(map[string]time.Time),
		leavingSince: make(map[string]time.Time), registry: membership.NewTargetRegistry(membership.TargetRegistryConfig{}),
		targets: make(map[string]membership.Announcement), dispatcher: routing.NewDispatcher(routing.Config{}, random),
		inFlight: make(map[string]*inFlightRequest), pendingReports: make(map[uint64]*pendingReport), payloads: make(map[ledger.Digest]string),
		claims: make(map[string]*claimedRequest), budget: retry.NewBudget(1), random: random,
	}
	if old := sim.hosts[name]; old != nil {
		h.incarnation = max(h.incarnation, old.claimIncarnation+1)
	}
	h.claimIncarnation = h.incarnation
	sim.hosts[name] = h
	sim.net.After(0, h.tick)
}

func (sim *simulation) crashHost(name string) {
	sim.hosts[name].up = false
	delete(sim.openRequests, name)
}

func (h *host) tick() {
	if !h.up {
		return
	}
	if h.draining && (h.idle() || h.sim.brokenGuarantee == "P8") {
		h.up = false
		h.sim.checkDrained(h.name)
		return
	}
	h.sim.net.After(tickInterval, h.tick)
	if h.ticks++; h.ticks%2 == 0 {
		h.sendHeartbeats()
		h.readConfig()
	}
	h.refreshTargets()
	h.leaseSamples()
	h.sendReports()
	h.dispatchQueued()
	if h.sim.random.IntN(10) == 0 {
		h.sim.leaseQuota(h)
	}
}

func (h *host) idle() bool {
	return len(h.inFlight)+len(h.pendingReports)+len(h.claims)+len(h.sim.openRequests[h.name]) == 0
}

// sendHeartbeats sends heartbeats to the peers and to all domain groups. A draining host sends
// none to its peers, so that it stops owning targets.
func (h *host) sendHeartbeats() {
	for _, peer := range h.sim.hostsOf(h.domain) {
		if peer != h.name && !h.draining {
			h.sim.net.Send(h.name, peer, func() { h.sim.hosts[peer].lastHeartbeat[h.name] = h.sim.now() })
		}
	}
	for _, d := range domains {
		h.sim.sendToLeader(h.name, d, func(g *domainGroup) func() {
			if h.up {
				g.recordHeartbeat(h.name, h.incarnation)
			}
			return nil
		})
	}
}

// liveHosts returns the hosts of the domain that own targets, as this host sees them. It is never
// empty.
func (h *host) liveHosts() []string {
	var live []string
	for _, name := range h.sim.hostsOf(h.domain) {
		if at, ok := h.lastHeartbeat[name]; name == h.name && !h.draining || ok && h.sim.now().Sub(at) < peerTimeout {
			live = append(live, name)
		}
	}
	if len(live) == 0 {
		return []string{h.name}
	}
	return live
}

func (h *host) activeConfig() confstate.Entry {
	if !h.up || !h.activator.Ready() {
		return confstate.Entry{}
	}
	return h.activator.Active()
}

// readConfig requests the configuration from the domain group. Replies may arrive out of order.
func (h *host) readConfig() {
	h.sim.sendToLeader(h.name, h.domain, func(g *domainGroup) func() {
		c := g.state.Config()
		e := confstate.Entry{Version: c.Version, Digest: c.Digest, Body: c.Body, Index: c.Index}
		return func() { h.activate(e) }
	})
}

func (h *host) activate(e confstate.Entry) {
	if !h.up {
		return
	}
	if h.sim.brokenGuarantee == "P9" && e.Version != h.activeConfig().Version {
		h.activator = confstate.NewActivator()
	}
	change := h.activator.Confirm
	if h.activator.Ready() {
		change = func(e confstate.Entry) (bool, error) { return h.activator.Offer(e, true) }
	}
	changed, err := change(e)
	if err != nil {
		h.sim.recordViolation("P9", "host %s: %v", h.name, err)
	}
	if !h.activator.Ready() || h.activeConfig().Version == 0 {
		return
	}
	h.sim.checkActiveConfig(h.name, h.activeConfig())
	if !changed {
		return
	}
	cfg := must(h.activeConfig().Config())
	h.registry.SetPolicy(h.sim.now(), cfg.Admits)
	for id := range h.retiredSince {
		if cfg.Admits(pool, id) {
			delete(h.retiredSince, id)
		}
	}
	for id := range h.targets {
		if _, known := h.retiredSince[id]; !known && !cfg.Admits(pool, id) {
			h.retiredSince[id] = h.sim.now()
			h.sim.eventCounts["retired"]++
		}
	}
	h.refreshTargets()
}

func (h *host) updateTarget(id string) {
	a, ok := h.targets[id]
	if !ok {
		return
	}
	h.dispatcher.UpsertTarget(h.sim.now(), routing.TargetState{
		ID: id, Incarnation: a.Incarnation, Domain: a.Domain, Pool: a.Pool, Slots: a.Slots, Loaded: a.Loaded,
		Leaving: !h.registry.Dispatchable(h.sim.now(), id), Load: routing.LoadReport{Running: a.Running},
	})
}

func (h *host) refreshTargets() {
	expired := h.registry.Expire(h.sim.now())
	for _, id := range h.ownedTargets() {
		if slices.Contains(expired, id) || membership.Owner(id, h.liveHosts()) != h.name {
			delete(h.targets, id)
			h.dispatcher.RemoveTarget(h.sim.now(), id)
			continue
		}
		if !h.registry.Dispatchable(h.sim.now(), id) {
			h.updateTarget(id)
		}
	}
}

func (h *host) ownedTargets() []string {
	var ids []string
	for i := range 2 {
		if id := h.domain + "-engine" + strconv.Itoa(i+1); h.targets[id].ID != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// leaseSamples requests sample attempts from the trainer's home for free sample slots.
func (h *host) leaseSamples() {
	free := h.dispatcher.FreeSampleSlots(h.sim.now(), pool)
	if h.draining || h.activeConfig().Version == 0 || free == 0 {
		return
	}
	capacity := ledger.Capacity{Pool: pool, Model: model, FreeSlots: min(free, 4)}
	for _, a := range h.targets {
		capacity.Version = max(capacity.Version, a.Loaded[model])
	}
	h.sim.sendToLeader(h.name, trainerHome, func(g *domainGroup) func() {
		work := g.scheduler.Lease(g.sim.now(), h.name, []ledger.Capacity{capacity})
		return func() {
			for _, wk := range work {
				h.startSample(wk)
			}
		}
	})
}

func attemptID(attempt uint64) string { return "sample/" + strconv.FormatUint(attempt, 16) }

// startSample runs a leased sample attempt and stores its payload on all reachable hosts of the
// domain.
func (h *host) startSample(work ledger.Work) {
	if !h.up || h.draining || h.pendingReports[work.Attempt] != nil || h.inFlight[attemptID(work.Attempt)] != nil || !h.sim.now().Before(work.Expiry) {
		return
	}
	h.sim.requestAccepted(h.name, attemptID(work.Attempt))
	f := &inFlightRequest{id: attemptID(work.Attempt), prompt: work.Prompt}
	f.done = func(text string, out *engine.Assembler, err error) {
		r := &pendingReport{work: work}
		h.pendingReports[work.Attempt] = r
		if err != nil || out.Uncertain() {
			return
		}
		r.produced = &ledger.AttemptOutput{Tenancy: work.Tenancy, Step: work.Step, Slot: work.Slot, Attempt: work.Attempt,
			Versions: out.Versions(), Tokens: uint32(out.Tokens()), Digest: sha256.Sum256([]byte(f.id + text))}
		if h.sim.brokenGuarantee == "P1" {
			r.produced.Versions = []uint64{slices.Max(out.Versions())}
		}
		for _, name := range h.sim.hostsOf(h.domain) {
			if to := h.sim.hosts[name]; to.up && h.sim.net.Connected(h.name, name) {
				to.payloads[r.produced.Digest] = text
				r.produced.Holders = append(r.produced.Holders, name)
			}
		}
	}
	h.enqueue(f, routing.Request{Kind: routing.Sample, Tenancy: work.Tenancy, MinVersion: work.MinVersion, StepDeadline: work.StepDeadline, Deadline: work.Expiry})
}

// sendReports sends the pending results to the trainer's home. Each is repeated until it is
// confirmed or its lease has expired.
func (h *host) sendReports() {
	attempts := make([]uint64, 0, len(h.pendingReports))
	for n := range h.pendingReports {
		attempts = append(attempts, n)
	}
	slices.Sort(attempts)
	for _, n := range attempts {
		r := h.pendingReports[n]
		reported := func() {
			if h.up {
				delete(h.pendingReports, n)
				h.sim.requestCompleted(h.name, attemptID(n))
			}
		}
		if h.sim.now().After(r.work.Expiry) {
			reported()
			continue
		}
		h.sim.sendToLeader(h.name, trainerHome, func(g *domainGroup) func() {
			if r.produced == nil {
				g.scheduler.AttemptFailed(ledger.SlotID{Tenancy: r.work.Tenancy, Step: r.work.Step, Slot: r.work.Slot}, n)
			} else {
				g.applyLedger(ledger.Command{Accept: &ledger.Accept{Produced: []ledger.AttemptOutput{*r.produced}}})
			}
			return reported
		})
	}
}

// enqueue queues a request for the targets of this host and fails it after executionTimeout.
func (h *host) enqueue(f *inFlightRequest, r routing.Request) {
	r.ID, r.Pool, r.Model, r.ExpectedTokens = f.id, pool, model, 4
	f.assembler = engine.NewAssembler(f.id, 0)
	h.inFlight[f.id] = f
	if err := h.dispatcher.Enqueue(h.sim.now(), r); err != nil {
		h.finish(f, err)
		return
	}
	h.sim.net.After(executionTimeout, func() {
		switch {
		case !h.up || h.inFlight[f.id] != f:
		case f.target == "":
			h.dispatcher.Cancel(h.sim.now(), f.id)
			h.finish(f, &errs.Deadline{Operation: "queue", Outcome: errs.NotRun})
		default:
			h.dispatcher.Done(h.sim.now(), f.id, routing.Result{Kind: routing.ResultTimeout})
			h.finish(f, &errs.Interrupted{Operation: "generate", Reason: "no progress"})
		}
	})
	h.dispatchQueued()
}

func (h *host) finish(f *inFlightRequest, err error) {
	delete(h.inFlight, f.id)
	f.done(f.assembler.Text(), f.assembler, err)
}

func (h *host) dispatchQueued() {
	for _, a := range slices.Clone(h.dispatcher.Next(h.sim.now())) {
		if f := h.inFlight[a.RequestID]; f != nil {
			h.dispatch(f, a.Target)
		}
	}
	for _, r := range h.dispatcher.TakeRefusals() {
		if f := h.inFlight[r.RequestID]; f != nil {
			h.finish(f, r.Err)
		}
	}
}

func (h *host) dispatch(f *inFlightRequest, target string) {
	refused := func() {
		if h.up && h.inFlight[f.id] == f {
			h.dispatcher.Done(h.sim.now(), f.id, routing.Result{Kind: routing.ResultRefused})
			h.finish(f, &errs.Unavailable{Resource: target, Reason: "it did not start the request"})
		}
	}
	f.target = target
	if !h.registry.Dispatchable(h.sim.now(), target) {
		refused()
		return
	}
	now := h.sim.now()
	for _, since := range []map[string]time.Time{h.leavingSince, h.retiredSince} {
		at, known := since[target]
		h.sim.checkDispatch(now, target, at, known)
	}
	h.sim.net.SendOnce(h.name, target, func() {
		emit := func(c engine.Chunk) { h.sim.net.Send(target, h.name, func() { h.handleChunk(f, c) }) }
		h.sim.engines[target].start(f.id, f.key, f.prompt, emit, func() { h.sim.net.SendOnce(target, h.name, refused) })
	})
}

func (h *host) handleChunk(f *inFlightRequest, c engine.Chunk) {
	if !h.up || h.inFlight[f.id] != f {
		return
	}
	if _, err := f.assembler.Add(c); err != nil {
		h.sim.recordViolation("P4", "request %s: %v", f.id, err)
	}
	sample := f.id[0] == 's'
	if f.assembler.Complete() || h.sim.brokenGuarantee == "P4" && c.Done && c.RequestID == f.id && !sample {
		h.dispatcher.Done(h.sim.now(), f.id, routing.Result{Kind: routing.ResultOK, Tokens: 4, Duration: time.Second, TimeToFirstToken: chunkInterval})
		h.finish(f, nil)
		h.dispatchQueued()
	}
}
