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
	hostTick  = 200 * time.Millisecond
	peerTime  = 1500 * time.Millisecond // a peer that is silent for longer owns no target
	runTime   = 2 * time.Second         // a dispatched request without an end is given up
	attemptIn = 3 * time.Second         // an entry host waits this long for an owner
)

// host is one process of the system; a restart makes a new one.
type host struct {
	w                    *world
	name, domain         string
	incarnation, demands uint64
	claimIncarnation     uint64
	up, draining         bool
	ticks                int
	serving              int // desk requests that callers sent here and that are not answered
	heard                map[string]time.Time
	activator            *confstate.Activator
	retired              map[string]time.Time // since when the configuration retires a target
	departed             map[string]time.Time
	registry             *membership.TargetRegistry
	targets              map[string]membership.Announcement
	dispatcher           *routing.Dispatcher
	flights              map[string]*flight
	reports              map[uint64]*report
	payloads             map[ledger.Digest]string
	claims               map[string]*claimRun
	budget               *retry.Budget
	random               *rand.Rand
}

// flight is a request that this host runs on one of its targets.
type flight struct {
	id, key, prompt, target string
	out                     *engine.Assembler
	done                    func(text string, out *engine.Assembler, err error)
}

// report is the result of a sample attempt that has not reached the home.
type report struct {
	work     ledger.Work
	produced *ledger.AttemptOutput // nil after a failure
}

func (w *world) startHost(name string) {
	random := rand.New(rand.NewPCG(w.random.Uint64(), 2))
	h := &host{
		w: w, name: name, domain: Domain(name), up: true, incarnation: uint64(w.now().UnixMilli()),
		heard: make(map[string]time.Time), activator: confstate.NewActivator(), retired: make(map[string]time.Time),
		departed: make(map[string]time.Time), registry: membership.NewTargetRegistry(membership.TargetRegistryConfig{}),
		targets: make(map[string]membership.Announcement), dispatcher: routing.NewDispatcher(routing.Config{}, random),
		flights: make(map[string]*flight), reports: make(map[uint64]*report), payloads: make(map[ledger.Digest]string),
		claims: make(map[string]*claimRun), budget: retry.NewBudget(1), random: random,
	}
	if old := w.hosts[name]; old != nil {
		h.incarnation = max(h.incarnation, old.claimIncarnation+1)
	}
	h.claimIncarnation = h.incarnation
	w.hosts[name] = h
	w.net.After(0, h.tick)
}

func (w *world) crashHost(name string) {
	w.hosts[name].up = false
	delete(w.open, name)
}

func (h *host) tick() {
	if !h.up {
		return
	}
	if h.draining && (h.idle() || h.w.fault == "P8") {
		h.up = false
		h.w.stopped(h.name)
		return
	}
	h.w.net.After(hostTick, h.tick)
	if h.ticks++; h.ticks%2 == 0 {
		h.beat()
		h.readConfig()
	}
	h.sweep()
	h.lease()
	h.report()
	h.pump()
	if h.w.random.IntN(10) == 0 {
		h.w.quota(h)
	}
}

func (h *host) idle() bool {
	return len(h.flights)+len(h.reports)+len(h.claims)+len(h.w.open[h.name]) == 0
}

// beat tells the peers and the home that this host lives; a draining host leaves the peers.
func (h *host) beat() {
	for _, peer := range h.w.hostsOf(h.domain) {
		if peer != h.name && !h.draining {
			h.w.net.Send(h.name, peer, func() { h.w.hosts[peer].heard[h.name] = h.w.now() })
		}
	}
	for _, d := range domains {
		h.w.ask(h.name, d, func(g *group) func() {
			if h.up {
				g.hears(h.name, h.incarnation)
			}
			return nil
		})
	}
}

// live lists the hosts of the domain that own targets, in the view of this host.
func (h *host) live() []string {
	var live []string
	for _, name := range h.w.hostsOf(h.domain) {
		if at, ok := h.heard[name]; name == h.name && !h.draining || ok && h.w.now().Sub(at) < peerTime {
			live = append(live, name)
		}
	}
	if len(live) == 0 {
		return []string{h.name}
	}
	return live
}

func (h *host) active() confstate.Entry {
	if !h.up || !h.activator.Ready() {
		return confstate.Entry{}
	}
	return h.activator.Active()
}

// readConfig reads the configuration of the domain group. Replies can overtake each other.
func (h *host) readConfig() {
	h.w.ask(h.name, h.domain, func(g *group) func() {
		c := g.state.Config()
		e := confstate.Entry{Version: c.Version, Digest: c.Digest, Body: c.Body, Index: c.Index}
		return func() { h.activate(e) }
	})
}

func (h *host) activate(e confstate.Entry) {
	if !h.up {
		return
	}
	if h.w.fault == "P9" && e.Version != h.active().Version {
		h.activator = confstate.NewActivator()
	}
	change := h.activator.Confirm
	if h.activator.Ready() {
		change = func(e confstate.Entry) (bool, error) { return h.activator.Offer(e, true) }
	}
	changed, err := change(e)
	if err != nil {
		h.w.violated("P9", "host %s: %v", h.name, err)
	}
	if !h.activator.Ready() || h.active().Version == 0 {
		return
	}
	h.w.inForce(h.name, h.active())
	if !changed {
		return
	}
	cfg := must(h.active().Config())
	h.registry.SetPolicy(h.w.now(), cfg.Admits)
	for id := range h.retired {
		if cfg.Admits(pool, id) {
			delete(h.retired, id)
		}
	}
	for id := range h.targets {
		if _, known := h.retired[id]; !known && !cfg.Admits(pool, id) {
			h.retired[id] = h.w.now()
			h.w.seen["retired"]++
		}
	}
	h.sweep()
}

func (h *host) updateTarget(id string) {
	a, ok := h.targets[id]
	if !ok {
		return
	}
	h.dispatcher.UpsertTarget(h.w.now(), routing.TargetState{
		ID: id, Incarnation: a.Incarnation, Domain: a.Domain, Pool: a.Pool, Slots: a.Slots, Loaded: a.Loaded,
		Leaving: !h.registry.Dispatchable(h.w.now(), id), Load: routing.LoadReport{Running: a.Running},
	})
}

func (h *host) sweep() {
	expired := h.registry.Expire(h.w.now())
	for _, id := range h.ownedTargets() {
		if slices.Contains(expired, id) || membership.Owner(id, h.live()) != h.name {
			delete(h.targets, id)
			h.dispatcher.RemoveTarget(h.w.now(), id)
			continue
		}
		if !h.registry.Dispatchable(h.w.now(), id) {
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

// lease asks the home for sample work for the free windows.
func (h *host) lease() {
	free := h.dispatcher.FreeSampleSlots(h.w.now(), pool)
	if h.draining || h.active().Version == 0 || free == 0 {
		return
	}
	capacity := ledger.Capacity{Pool: pool, Model: model, FreeSlots: min(free, 4)}
	for _, a := range h.targets {
		capacity.Version = max(capacity.Version, a.Loaded[model])
	}
	h.w.ask(h.name, home, func(g *group) func() {
		work := g.scheduler.Lease(g.w.now(), h.name, []ledger.Capacity{capacity})
		return func() {
			for _, wk := range work {
				h.sample(wk)
			}
		}
	})
}

func attemptID(attempt uint64) string { return "sample/" + strconv.FormatUint(attempt, 16) }

func (h *host) sample(work ledger.Work) {
	if !h.up || h.draining || h.reports[work.Attempt] != nil || h.flights[attemptID(work.Attempt)] != nil || !h.w.now().Before(work.Expiry) {
		return
	}
	h.w.accepted(h.name, attemptID(work.Attempt))
	f := &flight{id: attemptID(work.Attempt), prompt: work.Prompt}
	f.done = func(text string, out *engine.Assembler, err error) {
		r := &report{work: work}
		h.reports[work.Attempt] = r
		if err != nil || out.Uncertain() {
			return
		}
		r.produced = &ledger.AttemptOutput{Tenancy: work.Tenancy, Step: work.Step, Slot: work.Slot, Attempt: work.Attempt,
			Versions: out.Versions(), Tokens: uint32(out.Tokens()), Digest: sha256.Sum256([]byte(f.id + text))}
		if h.w.fault == "P1" {
			r.produced.Versions = []uint64{slices.Max(out.Versions())}
		}
		for _, name := range h.w.hostsOf(h.domain) {
			if to := h.w.hosts[name]; to.up && h.w.net.Connected(h.name, name) {
				to.payloads[r.produced.Digest] = text
				r.produced.Holders = append(r.produced.Holders, name)
			}
		}
	}
	h.run(f, routing.Request{Kind: routing.Sample, Tenancy: work.Tenancy, MinVersion: work.MinVersion, StepDeadline: work.StepDeadline, Deadline: work.Expiry})
}

// report repeats each result until the home has it or its lease is over.
func (h *host) report() {
	attempts := make([]uint64, 0, len(h.reports))
	for n := range h.reports {
		attempts = append(attempts, n)
	}
	slices.Sort(attempts)
	for _, n := range attempts {
		r := h.reports[n]
		reported := func() {
			if h.up {
				delete(h.reports, n)
				h.w.settled(h.name, attemptID(n))
			}
		}
		if h.w.now().After(r.work.Expiry) {
			reported()
			continue
		}
		h.w.ask(h.name, home, func(g *group) func() {
			if r.produced == nil {
				g.scheduler.AttemptFailed(ledger.SlotID{Tenancy: r.work.Tenancy, Step: r.work.Step, Slot: r.work.Slot}, n)
			} else {
				g.ledger(ledger.Command{Accept: &ledger.Accept{Produced: []ledger.AttemptOutput{*r.produced}}})
			}
			return reported
		})
	}
}

// run queues a request for the targets of this host.
func (h *host) run(f *flight, r routing.Request) {
	r.ID, r.Pool, r.Model, r.ExpectedTokens = f.id, pool, model, 4
	f.out = engine.NewAssembler(f.id, 0)
	h.flights[f.id] = f
	if err := h.dispatcher.Enqueue(h.w.now(), r); err != nil {
		h.end(f, err)
		return
	}
	h.w.net.After(runTime, func() {
		switch {
		case !h.up || h.flights[f.id] != f:
		case f.target == "":
			h.dispatcher.Cancel(h.w.now(), f.id)
			h.end(f, &errs.Deadline{Operation: "queue", Outcome: errs.NotRun})
		default:
			h.dispatcher.Done(h.w.now(), f.id, routing.Result{Kind: routing.ResultTimeout})
			h.end(f, &errs.Interrupted{Operation: "generate", Reason: "no progress"})
		}
	})
	h.pump()
}

func (h *host) end(f *flight, err error) {
	delete(h.flights, f.id)
	f.done(f.out.Text(), f.out, err)
}

func (h *host) pump() {
	for _, a := range slices.Clone(h.dispatcher.Next(h.w.now())) {
		if f := h.flights[a.RequestID]; f != nil {
			h.dispatch(f, a.Target)
		}
	}
	for _, r := range h.dispatcher.TakeRefusals() {
		if f := h.flights[r.RequestID]; f != nil {
			h.end(f, r.Err)
		}
	}
}

func (h *host) dispatch(f *flight, target string) {
	refused := func() {
		if h.up && h.flights[f.id] == f {
			h.dispatcher.Done(h.w.now(), f.id, routing.Result{Kind: routing.ResultRefused})
			h.end(f, &errs.Unavailable{Resource: target, Reason: "it did not start the request"})
		}
	}
	f.target = target
	if !h.registry.Dispatchable(h.w.now(), target) {
		refused()
		return
	}
	now := h.w.now()
	for _, since := range []map[string]time.Time{h.departed, h.retired} {
		at, known := since[target]
		h.w.dispatched(now, target, at, known)
	}
	h.w.net.Stream(h.name, target, func() {
		emit := func(c engine.Chunk) { h.w.net.Send(target, h.name, func() { h.chunk(f, c) }) }
		h.w.engines[target].start(f.id, f.key, f.prompt, emit, func() { h.w.net.Stream(target, h.name, refused) })
	})
}

func (h *host) chunk(f *flight, c engine.Chunk) {
	if !h.up || h.flights[f.id] != f {
		return
	}
	if _, err := f.out.Add(c); err != nil {
		h.w.violated("P4", "request %s: %v", f.id, err)
	}
	sample := f.id[0] == 's'
	if f.out.Complete() || h.w.fault == "P4" && c.Done && c.RequestID == f.id && !sample {
		h.dispatcher.Done(h.w.now(), f.id, routing.Result{Kind: routing.ResultOK, Tokens: 4, Duration: time.Second, TimeToFirstToken: chunkTime})
		h.end(f, nil)
		h.pump()
	}
}
