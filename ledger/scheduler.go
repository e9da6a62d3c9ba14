package ledger

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"
)

// SchedulerConfig sets the limits of a Scheduler. Zero fields take the defaults below.
type SchedulerConfig struct {
	MinLease        time.Duration // shortest work lease
	MaxLease        time.Duration // longest work lease
	LeaseFactor     float64       // work lease as a multiple of the longest possible duration
	SecondsPerToken float64       // assumed until samples of the model are completed
	OutputShare     float64       // assumed tokens as a share of MaxTokens until samples are completed
	HedgeAfter      float64       // a straggler runs longer than this multiple of its expected duration
	HedgeShare      float64       // second attempts in flight as a share of the slots of a step
	HedgeCost       float64       // seconds of waiting that one second of engine time is worth
}

const (
	defaultMinLease        = 20 * time.Second
	defaultMaxLease        = 10 * time.Minute
	defaultLeaseFactor     = 2.0
	defaultSecondsPerToken = 0.02 // 50 tokens/s per stream
	defaultOutputShare     = 0.5
	defaultHedgeAfter      = 3.0
	defaultHedgeShare      = 0.02
	defaultHedgeCost       = 0.5
	// estimateGain is the weight of a new observation in the moving averages.
	estimateGain = 0.1
	// priorWeight is the number of completed samples that the estimate from MaxTokens counts
	// for in the estimate of a group.
	priorWeight = 1.0
	// hedgeScan bounds how many of the oldest attempts a call of Lease examines.
	hedgeScan = 256
	// hedgeRescan is the pause after a search for stragglers without result. Without it a
	// call of Lease with 8 full steps took 238 us, 5% of a core at 210 calls/s.
	hedgeRescan = 250 * time.Millisecond
	// attemptTermShift places the leader's term in the high bits of attempt numbers, so
	// that attempts of different leaders never share a number.
	attemptTermShift = 32
)

// SchedulingPolicy is the freshness policy of a tenancy.
type SchedulingPolicy struct {
	Pool            string  // pool that may run the work; empty means any
	Weight          float64 // share of tokens relative to other tenancies; 0 means 1
	IdleWeight      float64 // value of a short step
	StalenessWeight float64 // value of fresh samples
}

// stalenessShare is 0 for a tenancy that only avoids idle time and 1 for one that only
// avoids stale samples.
func (p SchedulingPolicy) stalenessShare() float64 {
	if p.IdleWeight+p.StalenessWeight <= 0 {
		return 0.5
	}
	return p.StalenessWeight / (p.IdleWeight + p.StalenessWeight)
}

// Capacity is the free room of a host's targets for one pool and model.
type Capacity struct {
	Pool      string
	Model     string
	Version   uint64 // newest version that the targets have loaded; 0 when it is not known
	FreeSlots int
}

// Work is one attempt at a slot.
type Work struct {
	Tenancy      string
	Step         string
	Slot         int
	Attempt      uint64
	Group        int
	Pool         string
	Model        string
	Prompt       string
	MaxTokens    int
	MinVersion   uint64 // output of an older version is rejected
	Expiry       time.Time
	StepDeadline time.Time
	Hedge        bool // a second attempt at the slot
}

// Cancel names an attempt in flight that has become useless.
type Cancel struct {
	SlotID
	Attempt uint64
	Host    string
}

// SchedulerStats count events since the last Rebuild.
type SchedulerStats struct {
	Leased    uint64
	Hedged    uint64
	HedgeWins uint64
	Expired   uint64
	Returned  uint64 // attempts ended by HostLost, Failed or a rejected output
	Deferred  uint64 // Lease calls that skipped a step because of its staleness bound
	OpenSlots int
	InFlight  int
}

// Scheduler hands out open slots. It is soft state of the leader: all of it is rebuilt from
// the ledger, and only the ledger decides what is accepted. It is not safe for concurrent
// use.
type Scheduler struct {
	cfg       SchedulerConfig
	ledger    *Ledger
	term      uint64
	seq       uint64
	tenancies map[string]*tenantWork
	policies  map[string]SchedulingPolicy
	attempts  map[uint64]*attempt
	hosts     map[string]map[uint64]*attempt
	expiry    expiryHeap
	models    map[string]*modelEstimate // by model
	stats     SchedulerStats
}

// tenantWork is the work of a tenancy. served is its weighted count of leased tokens.
type tenantWork struct {
	name    string
	served  float64
	steps   []*stepWork // by deadline, then name
	newest  map[string]*publishRate
	outputs float64 // moving average of tokens / MaxTokens
}

type publishRate struct {
	version  uint64
	at       time.Time
	interval time.Duration // moving average; 0 until two versions were published
}

type modelEstimate struct{ secondsPerToken float64 }

type attempt struct {
	number   uint64
	step     *stepWork
	slot     int
	host     string
	start    time.Time
	expiry   time.Time
	tokens   float64 // charged to the tenancy
	hedge    bool
	element  *list.Element // in stepWork.running
	position int           // in Scheduler.expiry
}

// NewScheduler returns a scheduler without work. Call Rebuild when the host becomes leader.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	cfg.MinLease = cmp.Or(cfg.MinLease, defaultMinLease)
	cfg.MaxLease = cmp.Or(cfg.MaxLease, defaultMaxLease)
	cfg.LeaseFactor = cmp.Or(cfg.LeaseFactor, defaultLeaseFactor)
	cfg.SecondsPerToken = cmp.Or(cfg.SecondsPerToken, defaultSecondsPerToken)
	cfg.OutputShare = cmp.Or(cfg.OutputShare, defaultOutputShare)
	cfg.HedgeAfter = cmp.Or(cfg.HedgeAfter, defaultHedgeAfter)
	cfg.HedgeShare = cmp.Or(cfg.HedgeShare, defaultHedgeShare)
	cfg.HedgeCost = cmp.Or(cfg.HedgeCost, defaultHedgeCost)
	s := &Scheduler{cfg: cfg, policies: map[string]SchedulingPolicy{}}
	s.reset(New(), 0)
	return s
}

func (s *Scheduler) reset(l *Ledger, term uint64) {
	s.ledger, s.term, s.seq = l, term, 0
	s.tenancies = map[string]*tenantWork{}
	s.attempts = map[uint64]*attempt{}
	s.hosts = map[string]map[uint64]*attempt{}
	s.models = map[string]*modelEstimate{}
	s.expiry = nil
	s.stats = SchedulerStats{}
}

// SetPolicy sets the policy of a tenancy. It holds across Rebuild.
func (s *Scheduler) SetPolicy(tenancy string, p SchedulingPolicy) { s.policies[tenancy] = p }

// Rebuild forgets all attempts and plans every slot that the ledger has not accepted. Term
// must be the term of the new leadership; attempt numbers start with it.
func (s *Scheduler) Rebuild(now time.Time, term uint64, l *Ledger) {
	s.reset(l, term)
	for _, name := range slices.Sorted(maps.Keys(l.state.Tenancies)) {
		t := l.state.Tenancies[name]
		for _, model := range slices.Sorted(maps.Keys(t.Newest)) {
			s.published(now, name, model, t.Newest[model])
		}
		for _, id := range slices.Sorted(maps.Keys(t.Steps)) {
			if st := t.Steps[id]; !st.Closed {
				s.addStep(name, id, st)
			}
		}
	}
}

// Observe follows a command that the ledger applied. The returned attempts are useless now.
func (s *Scheduler) Observe(now time.Time, c Command, r Result) []Cancel {
	var cancels []Cancel
	switch {
	case c.OpenStep != nil && r.Opened != nil && !r.Opened.Repeated:
		if _, st := s.ledger.step(c.OpenStep.Tenancy, c.OpenStep.Step); st != nil && !st.Closed {
			s.addStep(c.OpenStep.Tenancy, c.OpenStep.Step, st)
		}
	case c.Publish != nil && r.Failure == nil:
		s.published(now, c.Publish.Tenancy, c.Publish.Model, r.NewestVersion)
	case c.Fetch != nil && r.NewestVersion > 0:
		if st := s.find(c.Fetch.Tenancy, c.Fetch.Step); st != nil {
			s.published(now, c.Fetch.Tenancy, st.model, r.NewestVersion)
		}
		if r.Batch != nil && r.Batch.Complete {
			cancels = s.removeStep(c.Fetch.Tenancy, c.Fetch.Step)
		}
	case c.Accept != nil:
		for i, v := range r.Verdicts {
			cancels = s.settle(now, &c.Accept.Produced[i], v, cancels)
		}
	case c.CloseStep != nil && r.Closed != nil:
		cancels = s.removeStep(c.CloseStep.Tenancy, c.CloseStep.Step)
	}
	for _, id := range r.ReopenedSlots {
		if st := s.find(id.Tenancy, id.Step); st != nil {
			st.reopen(id.Slot)
		}
	}
	return cancels
}

// settle ends the attempt of an output and, when the slot is decided, all other attempts.
func (s *Scheduler) settle(now time.Time, p *AttemptOutput, v Verdict, cancels []Cancel) []Cancel {
	a := s.attempts[p.Attempt]
	if a != nil && (a.slot != p.Slot || a.step.id != p.Step || a.step.tenant.name != p.Tenancy) {
		a = nil
	}
	st := s.find(p.Tenancy, p.Step)
	if v != Accepted {
		if a != nil {
			s.end(a)
			s.stats.Returned++
		}
		return cancels
	}
	if st == nil {
		return cancels
	}
	if a != nil {
		s.learn(now, a, float64(p.Tokens))
		if a.hedge {
			s.stats.HedgeWins++
		}
	}
	st.complete(p.Slot, float64(p.Tokens))
	for _, other := range st.attemptsOf(p.Slot) {
		if other.number != p.Attempt {
			cancels = append(cancels, other.cancel())
		}
		s.end(other)
	}
	return cancels
}

// learn updates the moving averages and replaces the charged tokens by the real ones.
func (s *Scheduler) learn(now time.Time, a *attempt, tokens float64) {
	t := a.step.tenant
	t.served += (tokens - a.tokens) / s.weight(t.name)
	m := s.model(a.step.model)
	if elapsed := now.Sub(a.start).Seconds(); tokens > 0 && elapsed > 0 {
		m.secondsPerToken += estimateGain * (elapsed/tokens - m.secondsPerToken)
	}
	limit := float64(a.step.groups[a.step.groupOfSlot(a.slot)].maxTokens)
	t.outputs += estimateGain * (min(tokens/limit, 1) - t.outputs)
}

func (s *Scheduler) model(name string) *modelEstimate {
	m := s.models[name]
	if m == nil {
		m = &modelEstimate{secondsPerToken: s.cfg.SecondsPerToken}
		s.models[name] = m
	}
	return m
}

func (s *Scheduler) weight(tenancy string) float64 {
	if w := s.policies[tenancy].Weight; w > 0 {
		return w
	}
	return 1
}

// AttemptFailed ends an attempt that reported a failure; its slot is planned again.
func (s *Scheduler) AttemptFailed(id SlotID, number uint64) {
	a := s.attempts[number]
	if a != nil && a.slot == id.Slot && a.step.id == id.Step && a.step.tenant.name == id.Tenancy {
		s.end(a)
		s.stats.Returned++
	}
}

// HostLost ends all attempts of a host.
func (s *Scheduler) HostLost(host string) {
	for _, number := range slices.Sorted(maps.Keys(s.hosts[host])) {
		s.end(s.attempts[number])
		s.stats.Returned++
	}
	for _, t := range s.tenancies {
		for _, st := range t.steps {
			st.disown(host)
		}
	}
}

// Expire ends the attempts whose lease is over. Lease calls it.
func (s *Scheduler) Expire(now time.Time) {
	for len(s.expiry) > 0 && !s.expiry[0].expiry.After(now) {
		s.end(s.expiry[0])
		s.stats.Expired++
	}
}

// end forgets an attempt. Its slot is open again when no other attempt runs and the ledger
// has not accepted one.
func (s *Scheduler) end(a *attempt) {
	s.expiry.remove(a)
	delete(s.attempts, a.number)
	delete(s.hosts[a.host], a.number)
	if len(s.hosts[a.host]) == 0 {
		delete(s.hosts, a.host)
	}
	a.step.ended(a)
}

func (a *attempt) cancel() Cancel {
	return Cancel{SlotID: SlotID{Tenancy: a.step.tenant.name, Step: a.step.id, Slot: a.slot}, Attempt: a.number, Host: a.host}
}

// Stats returns the counts of events and the present load.
func (s *Scheduler) Stats() SchedulerStats {
	st := s.stats
	st.InFlight = len(s.attempts)
	for _, t := range s.tenancies {
		for _, w := range t.steps {
			st.OpenSlots += w.open
		}
	}
	return st
}

func (s *Scheduler) published(now time.Time, tenancy, model string, version uint64) {
	t := s.tenant(tenancy)
	p := t.newest[model]
	if p == nil {
		t.newest[model] = &publishRate{version: version, at: now}
		return
	}
	if version <= p.version {
		return
	}
	gap := now.Sub(p.at) / time.Duration(min(version-p.version, 1<<20))
	if p.interval == 0 {
		p.interval = gap
	}
	p.interval += time.Duration(estimateGain * float64(gap-p.interval))
	p.version, p.at = version, now
	for _, st := range t.steps {
		if st.model == model {
			st.deferredSince = time.Time{}
		}
	}
}

func (s *Scheduler) tenant(name string) *tenantWork {
	t := s.tenancies[name]
	if t == nil {
		t = &tenantWork{name: name, newest: map[string]*publishRate{}, outputs: s.cfg.OutputShare}
		s.tenancies[name] = t
	}
	return t
}

func (s *Scheduler) find(tenancy, id string) *stepWork {
	t := s.tenancies[tenancy]
	if t == nil {
		return nil
	}
	for _, st := range t.steps {
		if st.id == id {
			return st
		}
	}
	return nil
}

// addStep plans the open slots of a step. A tenancy that had no work starts at the count of
// the least served one, so that it cannot claim tokens for the time without work.
func (s *Scheduler) addStep(tenancy, id string, st *step) {
	t := s.tenant(tenancy)
	if len(t.steps) == 0 {
		least, found := 0.0, false
		for _, o := range s.tenancies {
			if len(o.steps) > 0 && (!found || o.served < least) {
				least, found = o.served, true
			}
		}
		t.served = max(t.served, least)
	}
	t.steps = append(t.steps, newStepWork(t, id, st, s.cfg.OutputShare))
	slices.SortFunc(t.steps, func(a, b *stepWork) int {
		return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.id, b.id))
	})
}

func (s *Scheduler) removeStep(tenancy, id string) (cancels []Cancel) {
	st := s.find(tenancy, id)
	if st == nil {
		return nil
	}
	for e := st.running.Front(); e != nil; e = st.running.Front() {
		a := e.Value.(*attempt)
		cancels = append(cancels, a.cancel())
		s.end(a)
	}
	t := st.tenant
	t.steps = slices.DeleteFunc(t.steps, func(o *stepWork) bool { return o == st })
	return cancels
}
