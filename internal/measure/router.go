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
	// refusalDelay is the retry delay of a baseline's refusal; engines do not state one.
	refusalDelay = 200 * time.Millisecond
)

// router is a routing policy under test.
type router interface {
	// room returns how many samples the hosts of a domain want to lease now.
	room(domain string) int
	submit(j *job) error
	done(j *job, r routing.Result)
	progress(j *job, tokens int)
	cancel(j *job)
	upsert(s routing.TargetState)
	removed(domain, id string)
	load(e *engine, l routing.LoadReport)
	cacheEvent(e *engine, ev routing.CacheEvent)
	tick()
}

// fuchsia drives one routing.Dispatcher per failure domain and routing.PickHost.
type fuchsia struct {
	w         *world
	hosts     map[string]*routing.Dispatcher
	domains   []string
	jobs      map[string]*job
	owner     map[string]string // job to domain
	summaries []routing.HostSummary
	random    *rand.Rand
}

func newFuchsia(w *world) *fuchsia {
	f := &fuchsia{w: w, hosts: make(map[string]*routing.Dispatcher), domains: w.dep.Domains,
		jobs: make(map[string]*job), owner: make(map[string]string), random: w.rng.policy}
	for _, d := range f.domains {
		limit := w.sc.QueueBound * max(1, w.engineCount(d))
		f.hosts[d] = routing.NewDispatcher(routing.Config{QueueLimit: limit}, w.rng.policy)
	}
	return f
}

func (f *fuchsia) room(domain string) int { return f.hosts[domain].FreeSampleSlots(f.w.now, modelPool) }

func (f *fuchsia) submit(j *job) error {
	r := routing.Request{ID: j.id, Kind: j.kind, Tenancy: j.tenancy, Pool: j.pool, Model: j.model, MinVersion: j.version,
		PrefixKeys: j.prompt.keys(), ExpectedTokens: j.expected, Deadline: j.deadline, StepDeadline: j.due, Domain: j.domain}
	domain := j.domain
	if j.kind == routing.Desk {
		reachable := make([]routing.HostSummary, 0, len(f.summaries))
		for _, s := range f.summaries {
			if f.w.reachable(j.domain, s.Domain) {
				reachable = append(reachable, s)
			}
		}
		if picked, ok := routing.PickHost(f.w.now, r, reachable, f.random); ok {
			domain = picked
		}
	}
	if err := f.hosts[domain].Enqueue(f.w.now, r); err != nil {
		return err
	}
	f.jobs[j.id], f.owner[j.id] = j, domain
	f.dispatch(domain)
	return nil
}

func (f *fuchsia) dispatch(domain string) {
	d := f.hosts[domain]
	for _, a := range slices.Clone(d.Next(f.w.now)) {
		j := f.jobs[a.RequestID]
		if !f.w.engines[a.Target].submit(j) {
			f.forget(j, routing.Result{Kind: routing.ResultRefused})
			f.w.refused(j, refusalDelay)
		}
	}
	for _, r := range d.TakeRefusals() {
		j := f.jobs[r.RequestID]
		delete(f.jobs, j.id)
		delete(f.owner, j.id)
		f.w.refused(j, errs.RetryAfterOf(r.Err))
	}
}

func (f *fuchsia) done(j *job, r routing.Result) {
	if domain := f.forget(j, r); domain != "" {
		f.dispatch(domain)
	}
}

func (f *fuchsia) forget(j *job, r routing.Result) string {
	domain := f.owner[j.id]
	delete(f.jobs, j.id)
	delete(f.owner, j.id)
	if domain != "" {
		f.hosts[domain].Done(f.w.now, j.id, r)
	}
	return domain
}

func (f *fuchsia) progress(j *job, tokens int) {
	if d := f.owner[j.id]; d != "" {
		f.hosts[d].RecordProgress(f.w.now, j.id, tokens)
	}
}

func (f *fuchsia) cancel(j *job) {
	domain := f.owner[j.id]
	if domain == "" {
		return
	}
	if !f.hosts[domain].Cancel(f.w.now, j.id) {
		f.hosts[domain].Done(f.w.now, j.id, routing.Result{Kind: routing.ResultCancelled})
	}
	delete(f.jobs, j.id)
	delete(f.owner, j.id)
}

func (f *fuchsia) upsert(s routing.TargetState) {
	f.hosts[s.Domain].UpsertTarget(f.w.now, s)
}

func (f *fuchsia) removed(domain, id string) { f.hosts[domain].RemoveTarget(f.w.now, id) }

func (f *fuchsia) load(e *engine, l routing.LoadReport) {
	f.hosts[e.domain].ReportLoad(f.w.now, e.id, l)
}

func (f *fuchsia) cacheEvent(e *engine, ev routing.CacheEvent) {
	f.hosts[e.domain].ApplyCacheEvent(f.w.now, e.id, ev)
}

func (f *fuchsia) tick() {
	for _, d := range f.domains {
		f.dispatch(d)
	}
	if f.w.now.UnixMilli()%1000 != 0 {
		return
	}
	f.summaries = f.summaries[:0]
	for _, d := range f.domains {
		f.summaries = append(f.summaries, routing.HostSummary{Host: d, Domain: d, ReceivedAt: f.w.now,
			Pools: map[string]routing.PoolSummary{
				modelPool: f.hosts[d].Summary(f.w.now, modelPool),
				deskPool:  f.hosts[d].Summary(f.w.now, deskPool),
			}})
	}
}

// chooser picks one of the targets; there is at least one.
type chooser func(b *baseline, targets []*known) *known

// known is a target as a baseline sees it.
type known struct {
	state routing.TargetState
	load  int // last reported
}

// baseline is a load balancer without a queue of its own: it hands a request to a target when
// it arrives. It sees the targets of all domains.
type baseline struct {
	w           *world
	choose      chooser
	targets     []*known
	outstanding map[string]int // samples by leasing domain
	leasedBy    map[string]string
	next        int
	scratch     []*known
}

func newBaseline(w *world, c chooser) *baseline {
	return &baseline{w: w, choose: c, outstanding: make(map[string]int), leasedBy: make(map[string]string)}
}

func chooseRandom(b *baseline, ts []*known) *known { return ts[b.w.rng.policy.IntN(len(ts))] }

func chooseRoundRobin(b *baseline, ts []*known) *known {
	b.next++
	return ts[b.next%len(ts)]
}

func chooseLeastReported(b *baseline, ts []*known) *known {
	best, ties := ts[0], 1
	for _, t := range ts[1:] {
		switch {
		case t.load < best.load:
			best, ties = t, 1
		case t.load == best.load:
			ties++
			if b.w.rng.policy.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best
}

func (b *baseline) room(domain string) int {
	n := 0
	for _, t := range b.targets {
		if t.state.Domain == domain && t.state.Pool == modelPool {
			n += engineSlots + b.w.sc.QueueBound
		}
	}
	return max(0, n-b.outstanding[domain])
}

func (b *baseline) submit(j *job) error {
	b.scratch = b.scratch[:0]
	for _, t := range b.targets {
		v, ok := t.state.Loaded[j.model]
		if t.state.Pool == j.pool && ok && v >= j.version && b.w.reachable(j.domain, t.state.Domain) {
			b.scratch = append(b.scratch, t)
		}
	}
	if len(b.scratch) == 0 || !b.w.engines[b.choose(b, b.scratch).state.ID].submit(j) {
		return &errs.Overloaded{Resource: "target", After: refusalDelay}
	}
	if j.work != nil {
		b.outstanding[j.domain]++
		b.leasedBy[j.id] = j.domain
	}
	return nil
}

func (b *baseline) done(j *job, _ routing.Result) {
	if d, ok := b.leasedBy[j.id]; ok {
		b.outstanding[d]--
		delete(b.leasedBy, j.id)
	}
}

func (b *baseline) progress(*job, int) {}

func (b *baseline) cancel(j *job) { b.done(j, routing.Result{}) }

func (b *baseline) upsert(s routing.TargetState) {
	for _, t := range b.targets {
		if t.state.ID == s.ID {
			t.state = s
			return
		}
	}
	b.targets = append(b.targets, &known{state: s, load: s.Load.Running + s.Load.Queued})
}

func (b *baseline) removed(_, id string) {
	b.targets = slices.DeleteFunc(b.targets, func(t *known) bool { return t.state.ID == id })
}

func (b *baseline) load(e *engine, l routing.LoadReport) {
	for _, t := range b.targets {
		if t.state.ID == e.id {
			t.load = l.Running + l.Queued
		}
	}
}

func (b *baseline) cacheEvent(*engine, routing.CacheEvent) {}

func (b *baseline) tick() {}
