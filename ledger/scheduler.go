package ledger

import (
	"cmp"
	"container/heap"
	"container/list"
	"maps"
	"slices"
	"time"
)

// SchedulerConfig holds the parameters of a Scheduler. Zero fields take their default.
type SchedulerConfig struct {
	MinLease               time.Duration // lower bound of a work lease
	MaxLease               time.Duration // upper bound of a work lease
	LeaseFactor            float64       // work lease as a multiple of the estimated time to generate MaxTokens
	InitialSecondsPerToken float64       // estimate for a model until one of its samples completes
	InitialOutputRatio     float64       // estimated tokens as a fraction of MaxTokens until a sample completes
	StragglerFactor        float64       // a straggler has run longer than this multiple of its expected duration
	MaxHedgeShare          float64       // limit of second attempts in flight, as a fraction of a step's slots; one is always allowed
	HedgeCostFactor        float64       // seconds of waiting that a second attempt must save per second of engine time
}

const (
	defaultMinLease               = 20 * time.Second
	defaultMaxLease               = 10 * time.Minute
	defaultLeaseFactor            = 2.0
	defaultInitialSecondsPerToken = 0.02 // 50 tokens/s per stream
	defaultInitialOutputRatio     = 0.5
	defaultStragglerFactor        = 3.0
	defaultMaxHedgeShare          = 0.02
	defaultHedgeCostFactor        = 0.5
	// smoothingFactor is the weight of a new observation in the exponential moving averages.
	smoothingFactor = 0.1
	// priorWeight is the weight of the initial estimate of a group's output length, in
	// accepted samples.
	priorWeight = 1.0
	// maxStragglerScan is the number of attempts that a search for stragglers examines,
	// oldest first.
	maxStragglerScan = 256
	// stragglerScanInterval is the delay after a search of a step that found no straggler.
	// Without it, a call of Lease took 238 us when all slots of 8 steps were in flight,
	// which is 5% of a core at 210 calls/s.
	stragglerScanInterval = 250 * time.Millisecond
	// attemptTermShift places the leader's term in the high bits of attempt numbers, so
	// that attempts of different leaders never have the same number.
	attemptTermShift = 32
)

// SchedulingPolicy is the scheduling policy of a tenancy: its share of the capacity, and how it trades
// idle time against stale samples.
type SchedulingPolicy struct {
	Pool            string  // only pool that may run the work; empty means any pool
	Weight          float64 // share of generated tokens relative to other tenancies; 0 means 1
	IdleWeight      float64 // relative importance of short steps
	StalenessWeight float64 // relative importance of fresh samples
}

// stalenessShare returns 0 for a tenancy that only avoids idle time, 1 for one that only
// avoids stale samples, and a value in between for a mix.
func (p SchedulingPolicy) stalenessShare() float64 {
	if p.IdleWeight+p.StalenessWeight <= 0 {
		return 0.5
	}
	return p.StalenessWeight / (p.IdleWeight + p.StalenessWeight)
}

// Capacity is the number of free slots of a host's targets in one pool for one model.
type Capacity struct {
	Pool      string
	Model     string
	Version   uint64 // newest version that the targets have loaded; 0 when unknown
	FreeSlots int
}

// Work is a leased attempt to generate the sample of a slot.
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
	MinVersion   uint64 // output of an older version would be rejected
	Expiry       time.Time
	StepDeadline time.Time
	Hedge        bool // second attempt, started while the first one still runs
}

// Cancellation identifies an attempt in flight whose output is no longer needed.
type Cancellation struct {
	SlotID
	Attempt uint64
	Host    string
}

// SchedulerStats counts events since the last Rebuild. OpenSlots and InFlight are current values.
type SchedulerStats struct {
	Leased    uint64
	Hedged    uint64
	HedgeWins uint64
	Expired   uint64
	Failed    uint64 // attempts ended by HostLost, by Scheduler.AttemptFailed or by a rejected output
	Deferred  uint64 // times that Lease held back the work of a step because of its staleness bound
	OpenSlots int
	InFlight  int
}

// Scheduler leases open slots to hosts. It is soft state of the leader: a new leader rebuilds
// it from the ledger, and only the ledger decides which output is accepted. It is not safe
// for concurrent use.
type Scheduler struct {
	cfg            SchedulerConfig
	ledger         *Ledger
	term           uint64
	attemptSeq     uint64
	tenancies      map[string]*tenancyWork
	policies       map[string]SchedulingPolicy
	attempts       map[uint64]*attempt
	attemptsByHost map[string]map[uint64]*attempt
	expiryQueue    expiryHeap
	estimates      map[string]*modelEstimate // by model name
	stats          SchedulerStats
}

// tenancyWork is the unfinished work of a tenancy.
type tenancyWork struct {
	name         string
	servedTokens float64                     // leased tokens divided by the tenancy's weight
	steps        []*stepWork                 // by deadline, then name
	publications map[string]*publicationRate // by model name
	outputRatio  float64                     // moving average of tokens / MaxTokens
}

// publicationRate is the newest version of a model and the mean time between its publications.
type publicationRate struct {
	version      uint64
	publishedAt  time.Time
	meanInterval time.Duration // moving average; 0 until two versions were published
}

type modelEstimate struct{ secondsPerToken float64 }

// attempt is a leased attempt at a slot that has not ended.
type attempt struct {
	number         uint64
	step           *stepWork
	slot           int
	host           string
	startedAt      time.Time
	expiry         time.Time
	chargedTokens  float64 // charged to the tenancy
	hedge          bool
	runningElement *list.Element // in stepWork.running
	heapIndex      int           // in Scheduler.expiryQueue
}

// NewScheduler returns a scheduler without work. The caller must call Rebuild when the host
// becomes leader.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	cfg.MinLease = cmp.Or(cfg.MinLease, defaultMinLease)
	cfg.MaxLease = cmp.Or(cfg.MaxLease, defaultMaxLease)
	cfg.LeaseFactor = cmp.Or(cfg.LeaseFactor, defaultLeaseFactor)
	cfg.InitialSecondsPerToken = cmp.Or(cfg.InitialSecondsPerToken, defaultInitialSecondsPerToken)
	cfg.InitialOutputRatio = cmp.Or(cfg.InitialOutputRatio, defaultInitialOutputRatio)
	cfg.StragglerFactor = cmp.Or(cfg.StragglerFactor, defaultStragglerFactor)
	cfg.MaxHedgeShare = cmp.Or(cfg.MaxHedgeShare, defaultMaxHedgeShare)
	cfg.HedgeCostFactor = cmp.Or(cfg.HedgeCostFactor, defaultHedgeCostFactor)
	s := &Scheduler{cfg: cfg, policies: map[string]SchedulingPolicy{}}
	s.reset(New(), 0)
	return s
}

func (s *Scheduler) reset(l *Ledger, term uint64) {
	s.ledger, s.term, s.attemptSeq = l, term, 0
	s.tenancies = map[string]*tenancyWork{}
	s.attempts = map[uint64]*attempt{}
	s.attemptsByHost = map[string]map[uint64]*attempt{}
	s.estimates = map[string]*modelEstimate{}
	s.expiryQueue = nil
	s.stats = SchedulerStats{}
}

// SetPolicy sets the policy of a tenancy. Rebuild keeps it.
func (s *Scheduler) SetPolicy(tenancy string, p SchedulingPolicy) { s.policies[tenancy] = p }

// Rebuild discards all attempts and enqueues every slot for which the ledger has not accepted
// an output. The term must be that of the new leadership; it becomes part of the attempt
// numbers.
func (s *Scheduler) Rebuild(now time.Time, term uint64, l *Ledger) {
	s.reset(l, term)
	for _, name := range slices.Sorted(maps.Keys(l.state.Tenancies)) {
		t := l.state.Tenancies[name]
		for _, model := range slices.Sorted(maps.Keys(t.NewestVersions)) {
			s.recordPublication(now, name, model, t.NewestVersions[model])
		}
		for _, id := range slices.Sorted(maps.Keys(t.Steps)) {
			if st := t.Steps[id]; !st.Closed {
				s.addStep(name, id, st)
			}
		}
	}
}

// Observe updates the scheduler after the ledger has applied a command. It returns the
// attempts in flight whose output is no longer needed.
func (s *Scheduler) Observe(now time.Time, c Command, r Result) []Cancellation {
	var cancellations []Cancellation
	switch {
	case c.OpenStep != nil && r.Opened != nil && !r.Opened.Repeated:
		if _, st := s.ledger.findStep(c.OpenStep.Tenancy, c.OpenStep.Step); st != nil && !st.Closed {
			s.addStep(c.OpenStep.Tenancy, c.OpenStep.Step, st)
		}
	case c.Publish != nil && r.Failure == nil:
		s.recordPublication(now, c.Publish.Tenancy, c.Publish.Model, r.NewestVersion)
	case c.Fetch != nil && r.NewestVersion > 0:
		if st := s.findStep(c.Fetch.Tenancy, c.Fetch.Step); st != nil {
			s.recordPublication(now, c.Fetch.Tenancy, st.model, r.NewestVersion)
		}
		if r.Batch != nil && r.Batch.Complete {
			cancellations = s.removeStep(c.Fetch.Tenancy, c.Fetch.Step)
		}
	case c.Accept != nil:
		for i, verdict := range r.Verdicts {
			cancellations = s.recordVerdict(now, &c.Accept.Produced[i], verdict, cancellations)
		}
	case c.CloseStep != nil && r.Closed != nil:
		cancellations = s.removeStep(c.CloseStep.Tenancy, c.CloseStep.Step)
	}
	for _, id := range r.ReopenedSlots {
		if st := s.findStep(id.Tenancy, id.Step); st != nil {
			st.reopenSlot(id.Slot)
		}
	}
	return cancellations
}

// recordVerdict ends the attempt that produced an output. If the output was accepted, it also
// ends all other attempts at the slot and appends them to cancellations.
func (s *Scheduler) recordVerdict(now time.Time, output *AttemptOutput, verdict Verdict, cancellations []Cancellation) []Cancellation {
	a := s.attempts[output.Attempt]
	if a != nil && (a.slot != output.Slot || a.step.id != output.Step || a.step.tenancy.name != output.Tenancy) {
		a = nil
	}
	st := s.findStep(output.Tenancy, output.Step)
	if verdict != Accepted {
		if a != nil {
			s.endAttempt(a)
			s.stats.Failed++
		}
		return cancellations
	}
	if st == nil {
		return cancellations
	}
	if a != nil {
		s.updateEstimates(now, a, float64(output.Tokens))
		if a.hedge {
			s.stats.HedgeWins++
		}
	}
	st.markAccepted(output.Slot, float64(output.Tokens))
	for _, other := range st.attemptsOf(output.Slot) {
		if other.number != output.Attempt {
			cancellations = append(cancellations, other.cancellation())
		}
		s.endAttempt(other)
	}
	return cancellations
}

// updateEstimates updates the moving averages and corrects the tokens charged to the tenancy
// from the estimate to the actual number.
func (s *Scheduler) updateEstimates(now time.Time, a *attempt, tokens float64) {
	t := a.step.tenancy
	t.servedTokens += (tokens - a.chargedTokens) / s.weightOf(t.name)
	estimate := s.estimateFor(a.step.model)
	if elapsed := now.Sub(a.startedAt).Seconds(); tokens > 0 && elapsed > 0 {
		estimate.secondsPerToken += smoothingFactor * (elapsed/tokens - estimate.secondsPerToken)
	}
	maxTokens := float64(a.step.groups[a.step.groupOfSlot(a.slot)].maxTokens)
	t.outputRatio += smoothingFactor * (min(tokens/maxTokens, 1) - t.outputRatio)
}

func (s *Scheduler) estimateFor(name string) *modelEstimate {
	estimate := s.estimates[name]
	if estimate == nil {
		estimate = &modelEstimate{secondsPerToken: s.cfg.InitialSecondsPerToken}
		s.estimates[name] = estimate
	}
	return estimate
}

func (s *Scheduler) weightOf(tenancy string) float64 {
	if w := s.policies[tenancy].Weight; w > 0 {
		return w
	}
	return 1
}

// AttemptFailed ends an attempt that reported a failure, so that its slot can be leased again.
func (s *Scheduler) AttemptFailed(id SlotID, number uint64) {
	a := s.attempts[number]
	if a != nil && a.slot == id.Slot && a.step.id == id.Step && a.step.tenancy.name == id.Tenancy {
		s.endAttempt(a)
		s.stats.Failed++
	}
}

// HostLost ends all attempts of a host and lets other hosts continue its groups.
func (s *Scheduler) HostLost(host string) {
	for _, number := range slices.Sorted(maps.Keys(s.attemptsByHost[host])) {
		s.endAttempt(s.attempts[number])
		s.stats.Failed++
	}
	for _, t := range s.tenancies {
		for _, st := range t.steps {
			st.releaseGroupsOf(host)
		}
	}
}

// Expire ends the attempts whose lease has expired. Lease calls it.
func (s *Scheduler) Expire(now time.Time) {
	for len(s.expiryQueue) > 0 && !s.expiryQueue[0].expiry.After(now) {
		s.endAttempt(s.expiryQueue[0])
		s.stats.Expired++
	}
}

// endAttempt removes an attempt. Its slot becomes open again if no other attempt at it is
// running and the ledger has not accepted an output for it.
func (s *Scheduler) endAttempt(a *attempt) {
	heap.Remove(&s.expiryQueue, a.heapIndex)
	delete(s.attempts, a.number)
	delete(s.attemptsByHost[a.host], a.number)
	if len(s.attemptsByHost[a.host]) == 0 {
		delete(s.attemptsByHost, a.host)
	}
	a.step.removeAttempt(a)
}

func (a *attempt) cancellation() Cancellation {
	return Cancellation{SlotID: SlotID{Tenancy: a.step.tenancy.name, Step: a.step.id, Slot: a.slot}, Attempt: a.number, Host: a.host}
}

// Stats returns the event counts and the current load.
func (s *Scheduler) Stats() SchedulerStats {
	stats := s.stats
	stats.InFlight = len(s.attempts)
	for _, t := range s.tenancies {
		for _, st := range t.steps {
			stats.OpenSlots += st.openCount
		}
	}
	return stats
}

func (s *Scheduler) recordPublication(now time.Time, tenancy, model string, version uint64) {
	t := s.tenancyFor(tenancy)
	rate := t.publications[model]
	if rate == nil {
		t.publications[model] = &publicationRate{version: version, publishedAt: now}
		return
	}
	if version <= rate.version {
		return
	}
	interval := now.Sub(rate.publishedAt) / time.Duration(min(version-rate.version, 1<<20))
	if rate.meanInterval == 0 {
		rate.meanInterval = interval
	}
	rate.meanInterval += time.Duration(smoothingFactor * float64(interval-rate.meanInterval))
	rate.version, rate.publishedAt = version, now
	for _, st := range t.steps {
		if st.model == model {
			st.deferredSince = time.Time{}
		}
	}
}

func (s *Scheduler) tenancyFor(name string) *tenancyWork {
	t := s.tenancies[name]
	if t == nil {
		t = &tenancyWork{name: name, publications: map[string]*publicationRate{}, outputRatio: s.cfg.InitialOutputRatio}
		s.tenancies[name] = t
	}
	return t
}

func (s *Scheduler) findStep(tenancy, id string) *stepWork {
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

// addStep enqueues the open slots of a step. A tenancy that had no work starts with at least
// the token count of the least served tenancy with work, so that it earns no credit for the
// time it was idle.
func (s *Scheduler) addStep(tenancy, id string, st *step) {
	t := s.tenancyFor(tenancy)
	if len(t.steps) == 0 {
		least, found := 0.0, false
		for _, other := range s.tenancies {
			if len(other.steps) > 0 && (!found || other.servedTokens < least) {
				least, found = other.servedTokens, true
			}
		}
		t.servedTokens = max(t.servedTokens, least)
	}
	t.steps = append(t.steps, newStepWork(t, id, st, s.cfg.InitialOutputRatio))
	slices.SortFunc(t.steps, func(a, b *stepWork) int {
		return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.id, b.id))
	})
}

func (s *Scheduler) removeStep(tenancy, id string) (cancellations []Cancellation) {
	st := s.findStep(tenancy, id)
	if st == nil {
		return nil
	}
	for e := st.running.Front(); e != nil; e = st.running.Front() {
		a := e.Value.(*attempt)
		cancellations = append(cancellations, a.cancellation())
		s.endAttempt(a)
	}
	t := st.tenancy
	t.steps = slices.DeleteFunc(t.steps, func(o *stepWork) bool { return o == st })
	return cancellations
}
