package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/routing"
)

const (
	modelPool = "model"
	deskPool  = "desk"
	// refusalDelay is the retry delay after an engine's refusal, which does not state one.
	refusalDelay = 200 * time.Millisecond
)

// router is a routing policy under measurement.
type router interface {
	// sampleCapacity returns the number of samples that the hosts of a domain can lease now.
	sampleCapacity(domain string) int
	submit(j *job) error
	requestDone(j *job, r routing.Result)
	progress(j *job, tokens int)
	cancel(j *job)
	updateTarget(s routing.TargetState)
	removeTarget(domain, id string)
	reportLoad(e *engine, l routing.LoadReport)
	cacheEvent(e *engine, ev routing.CacheEvent)
	tick()
}

// fuchsiaflowRouter is the policy under test: a routing.Dispatcher per failure domain, and
// routing.PickHost to choose the domain of a desk request.
type fuchsiaflowRouter struct {
	sim         *simulation
	dispatchers map[string]*routing.Dispatcher
	domains     []string
	jobs        map[string]*job
	ownerDomain map[string]string // by job ID
	summaries   []routing.HostSummary
	random      *rand.Rand
}

func newFuchsiaflowRouter(sim *simulation) *fuchsiaflowRouter {
	f := &fuchsiaflowRouter{sim: sim, dispatchers: make(map[string]*routing.Dispatcher), domains: sim.deployment.Domains,
		jobs: make(map[string]*job), ownerDomain: make(map[string]string), random: sim.rng.policy}
	for _, d := range f.domains {
		limit := sim.scenario.QueueBound * max(1, sim.modelReplicas(d))
		f.dispatchers[d] = routing.NewDispatcher(routing.Config{QueueLimit: limit}, sim.rng.policy)
	}
	return f
}

func (f *fuchsiaflowRouter) sampleCapacity(domain string) int {
	return f.dispatchers[domain].FreeSampleSlots(f.sim.now, modelPool)
}

func (f *fuchsiaflowRouter) submit(j *job) error {
	r := routing.Request{ID: j.id, Kind: j.kind, Tenancy: j.tenancy, Pool: j.pool, Model: j.model, MinVersion: j.minVersion,
		PrefixKeys: j.prompt.prefixKeys(), ExpectedTokens: j.expectedTokens, Deadline: j.deadline, StepDeadline: j.stepDeadline, Domain: j.domain}
	domain := j.domain
	if j.kind == routing.Desk {
		reachable := make([]routing.HostSummary, 0, len(f.summaries))
		for _, s := range f.summaries {
			if f.sim.reachable(j.domain, s.Domain) {
				reachable = append(reachable, s)
			}
		}
		if picked, ok := routing.PickHost(f.sim.now, r, reachable, f.random); ok {
			domain = picked
		}
	}
	if err := f.dispatchers[domain].Enqueue(f.sim.now, r); err != nil {
		return err
	}
	f.jobs[j.id], f.ownerDomain[j.id] = j, domain
	f.dispatch(domain)
	return nil
}

func (f *fuchsiaflowRouter) dispatch(domain string) {
	d := f.dispatchers[domain]
	for _, a := range slices.Clone(d.Next(f.sim.now)) {
		j := f.jobs[a.RequestID]
		if !f.sim.engines[a.Target].enqueue(j) {
			f.endJob(j, routing.Result{Kind: routing.ResultRefused})
			f.sim.handleRefusal(j, refusalDelay)
		}
	}
	for _, r := range d.TakeRefusals() {
		j := f.jobs[r.RequestID]
		delete(f.jobs, j.id)
		delete(f.ownerDomain, j.id)
		f.sim.handleRefusal(j, errs.RetryAfterOf(r.Err))
	}
}

func (f *fuchsiaflowRouter) requestDone(j *job, r routing.Result) {
	if domain := f.endJob(j, r); domain != "" {
		f.dispatch(domain)
	}
}

// endJob reports the result of a job to its dispatcher and returns the dispatcher's domain, or "" if
// the job is unknown.
func (f *fuchsiaflowRouter) endJob(j *job, r routing.Result) string {
	domain := f.ownerDomain[j.id]
	delete(f.jobs, j.id)
	delete(f.ownerDomain, j.id)
	if domain != "" {
		f.dispatchers[domain].Done(f.sim.now, j.id, r)
	}
	return domain
}

func (f *fuchsiaflowRouter) progress(j *job, tokens int) {
	if d := f.ownerDomain[j.id]; d != "" {
		f.dispatchers[d].RecordProgress(f.sim.now, j.id, tokens)
	}
}

func (f *fuchsiaflowRouter) cancel(j *job) {
	domain := f.ownerDomain[j.id]
	if domain == "" {
		return
	}
	if !f.dispatchers[domain].Cancel(f.sim.now, j.id) {
		f.dispatchers[domain].Done(f.sim.now, j.id, routing.Result{Kind: routing.ResultCancelled})
	}
	delete(f.jobs, j.id)
	delete(f.ownerDomain, j.id)
}

func (f *fuchsiaflowRouter) updateTarget(s routing.TargetState) {
	f.dispatchers[s.Domain].UpsertTarget(f.sim.now, s)
}

func (f *fuchsiaflowRouter) removeTarget(domain, id string) {
	f.dispatchers[domain].RemoveTarget(f.sim.now, id)
}

func (f *fuchsiaflowRouter) reportLoad(e *engine, l routing.LoadReport) {
	f.dispatchers[e.domain].ReportLoad(f.sim.now, e.id, l)
}

func (f *fuchsiaflowRouter) cacheEvent(e *engine, ev routing.CacheEvent) {
	f.dispatchers[e.domain].ApplyCacheEvent(f.sim.now, e.id, ev)
}

func (f *fuchsiaflowRouter) tick() {
	for _, d := range f.domains {
		f.dispatch(d)
	}
	if f.sim.now.UnixMilli()%1000 != 0 {
		return
	}
	f.summaries = f.summaries[:0]
	for _, d := range f.domains {
		f.summaries = append(f.summaries, routing.HostSummary{Host: d, Domain: d, ReceivedAt: f.sim.now,
			Pools: map[string]routing.PoolSummary{
				modelPool: f.dispatchers[d].Summary(f.sim.now, modelPool),
				deskPool:  f.dispatchers[d].Summary(f.sim.now, deskPool),
			}})
	}
}

// picker selects one of the targets; there is at least one.
type picker func(b *baseline, targets []*targetView) *targetView

// targetView is what a baseline knows of a target.
type targetView struct {
	state        routing.TargetState
	reportedLoad int // running and queued requests in the last report
}

// baseline is a load balancer without a queue: it sends each request to a target on arrival. It knows
// the targets of all domains.
type baseline struct {
	sim         *simulation
	pick        picker
	targets     []*targetView
	outstanding map[string]int    // samples in progress, by leasing domain
	leasedBy    map[string]string // domain by job ID
	nextIndex   int
	candidates  []*targetView
}

func newBaseline(sim *simulation, c picker) *baseline {
	return &baseline{sim: sim, pick: c, outstanding: make(map[string]int), leasedBy: make(map[string]string)}
}

func pickRandom(b *baseline, ts []*targetView) *targetView { return ts[b.sim.rng.policy.IntN(len(ts))] }

func pickRoundRobin(b *baseline, ts []*targetView) *targetView {
	b.nextIndex++
	return ts[b.nextIndex%len(ts)]
}

func pickLeastReported(b *baseline, ts []*targetView) *targetView {
	best, ties := ts[0], 1
	for _, t := range ts[1:] {
		switch {
		case t.reportedLoad < best.reportedLoad:
			best, ties = t, 1
		case t.reportedLoad == best.reportedLoad:
			ties++
			if b.sim.rng.policy.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

func (b *baseline) sampleCapacity(domain string) int {
	n := 0
	for _, t := range b.targets {
		if t.state.Domain == domain && t.state.Pool == modelPool {
			n += engineSlots + b.sim.scenario.QueueBound
		}
	}
	return max(0, n-b.outstanding[domain])
}

func (b *baseline) submit(j *job) error {
	b.candidates = b.candidates[:0]
	for _, t := range b.targets {
		v, ok := t.state.Loaded[j.model]
		if t.state.Pool == j.pool && ok && v >= j.minVersion && b.sim.reachable(j.domain, t.state.Domain) {
			b.candidates = append(b.candidates, t)
		}
	}
	if len(b.candidates) == 0 || !b.sim.engines[b.pick(b, b.candidates).state.ID].enqueue(j) {
		return &errs.Overloaded{Resource: "target", After: refusalDelay}
	}
	if j.work != nil {
		b.outstanding[j.domain]++
		b.leasedBy[j.id] = j.domain
	}
	return nil
}

func (b *baseline) requestDone(j *job, _ routing.Result) {
	if d, ok := b.leasedBy[j.id]; ok {
		b.outstanding[d]--
		delete(b.leasedBy, j.id)
	}
}

func (b *baseline) progress(*job, int) {}

func (b *baseline) cancel(j *job) { b.requestDone(j, routing.Result{}) }

func (b *baseline) updateTarget(s routing.TargetState) {
	for _, t := range b.targets {
		if t.state.ID == s.ID {
			t.state = s
			return
		}
	}
	b.targets = append(b.targets, &targetView{state: s, reportedLoad: s.Load.Running + s.Load.Queued})
}

func (b *baseline) removeTarget(_, id string) {
	b.targets = slices.DeleteFunc(b.targets, func(t *targetView) bool { return t.state.ID == id })
}

func (b *baseline) reportLoad(e *engine, l routing.LoadReport) {
	for _, t := range b.targets {
		if t.state.ID == e.id {
			t.reportedLoad = l.Running + l.Queued
		}
	}
}

func (b *baseline) cacheEvent(*engine, routing.CacheEvent) {}

func (b *baseline) tick() {}
