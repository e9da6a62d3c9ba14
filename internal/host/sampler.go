package host

import (
	"context"
	"log/slog"
	"sort"
	"strconv"
	"sync"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/routing"
)

const (
	// leaseInterval is the interval at which free capacity is offered to a home. Each home
	// has its own duty, so that one that is cut off delays no other.
	leaseInterval = 50 * time.Millisecond
	// leaseIdleInterval replaces leaseInterval while a home has no work for free capacity.
	leaseIdleInterval = 500 * time.Millisecond
	// reportInterval is the time over which results are gathered into one report, so that
	// one log entry covers many samples.
	reportInterval = 25 * time.Millisecond
	// reportBatch bounds the results of one report.
	reportBatch = 512
	// reportRing bounds the results that wait for their report.
	reportRing = 4096
	// reportRetry is the pause after a report that failed.
	reportRetry = 200 * time.Millisecond
)

// samplerService leases sample slots for the free windows of this host's targets, runs
// them, and reports the outputs to the home of the tenancy.
type samplerService struct {
	config     *configService
	quota      *quotaService
	dispatcher *dispatcher
	executor   *executor
	payloads   *payloadService
	groups     *groups
	work       *workService
	self       string
	domains    []string
	peer       func(host string) (rpc.PeerClient, error)
	log        *slog.Logger
	metrics    *hostMetrics

	kern    *kernel.Kernel
	reports map[string]*kernel.Ring[attemptReport]

	mu       sync.Mutex
	draining bool
	running  map[attemptID]context.CancelFunc
	// waiting counts by pool the attempts that wait for their tenancy's quota. They will need
	// a window that the dispatcher still reports as free.
	waiting map[string]int
	// unreported counts the attempts that are not reported yet, running ones included.
	unreported int
}

// attemptReport is a result that must reach the home before its lease ends.
type attemptReport struct {
	result *rpc.AttemptResult
	until  time.Time
}

func (s *samplerService) init() {
	s.waiting = make(map[string]int)
	s.running = make(map[attemptID]context.CancelFunc)
	s.reports = make(map[string]*kernel.Ring[attemptReport])
	for _, domain := range s.domains {
		s.reports[domain] = kernel.NewRing[attemptReport]("sampler/reports/"+domain, reportRing, kernel.Block)
	}
}

// Start implements kernel.Service.
func (s *samplerService) Start(_ context.Context, k *kernel.Kernel) error {
	s.kern = k
	for _, domain := range s.domains {
		k.Go("sampler/lease/"+domain, func(ctx context.Context) error { return s.leaseLoop(ctx, domain) })
		k.Go("sampler/report/"+domain, func(ctx context.Context) error { return s.reportLoop(ctx, domain) })
	}
	return nil
}

// Stop implements kernel.Service.
func (s *samplerService) Stop(context.Context) error { return nil }

// Drain stops leasing and waits until all attempts have ended and are reported.
func (s *samplerService) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for !s.idle() {
		if !pause(ctx, reportInterval) {
			return
		}
	}
}

func (s *samplerService) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreported == 0
}

// Running returns the number of attempts in progress.
func (s *samplerService) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

func (s *samplerService) leaseLoop(ctx context.Context, domain string) error {
	var asked time.Time
	for {
		wait := leaseIdleInterval
		if s.wantsWork(domain) {
			capacity := s.freeCapacity()
			// A host without free capacity only asks for attempts to cancel, but looks for
			// capacity often: a window that becomes free must not stay empty.
			wait = leaseInterval
			if len(capacity) > 0 || time.Since(asked) >= leaseIdleInterval {
				asked = time.Now()
				wait = s.lease(ctx, domain, capacity)
			}
		}
		if !pause(ctx, wait) {
			return nil
		}
	}
}

// wantsWork reports whether a home can have work: a trainer lives there and the host is not
// draining.
func (s *samplerService) wantsWork(domain string) bool {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	cfg := s.config.Current()
	if draining || cfg == nil {
		return false
	}
	for _, t := range cfg.Tenancies {
		if t.Kind == confstate.Trainer && t.Home == domain {
			return true
		}
	}
	return false
}

// lease asks a home for work and returns the time until the next look for capacity.
func (s *samplerService) lease(ctx context.Context, domain string, capacity []*rpc.PoolCapacity) time.Duration {
	request := &rpc.LeaseWorkRequest{Domain: domain, Capacity: capacity}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reply, err := s.leaseFrom(ctx, domain, request)
	if err != nil {
		s.log.Debug("no work is leased", "domain", domain, "error", err)
		return leaseIdleInterval
	}
	s.cancelAttempts(domain, reply.Cancelled)
	for _, work := range reply.Work {
		s.start(domain, work)
	}
	if len(reply.Work) == 0 && len(capacity) > 0 {
		return leaseIdleInterval
	}
	return leaseInterval
}

// freeCapacity lists the free room less what runs already but is not queued yet.
func (s *samplerService) freeCapacity() []*rpc.PoolCapacity {
	list := s.dispatcher.Capacity()
	sort.Slice(list, func(i, j int) bool {
		return list[i].pool+"/"+list[i].model < list[j].pool+"/"+list[j].model
	})
	out := make([]*rpc.PoolCapacity, 0, len(list))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		if free := c.free - s.waiting[c.pool]; free > 0 {
			out = append(out, &rpc.PoolCapacity{Pool: c.pool, Model: c.model, Free: uint32(free), Version: c.version})
		}
	}
	return out
}

func (s *samplerService) leaseFrom(ctx context.Context, domain string, request *rpc.LeaseWorkRequest) (*rpc.LeaseWorkReply, error) {
	var reply *rpc.LeaseWorkReply
	err := s.toLeader(ctx, domain, func(ctx context.Context, peer rpc.PeerClient) (err error) {
		if peer == nil {
			reply, err = s.work.LeaseWork(s.self, request)
		} else {
			reply, err = peer.LeaseWork(ctx, request)
		}
		return err
	})
	return reply, err
}

// toLeader calls the leader of a domain group; peer is nil when this host is the leader.
func (s *samplerService) toLeader(ctx context.Context, domain string, call func(ctx context.Context, peer rpc.PeerClient) error) error {
	_, err := s.groups.toLeader(ctx, domainGroup(domain), false, func(ctx context.Context, host string) ([]byte, error) {
		if host == s.self {
			if s.work == nil || domain != s.work.domain {
				return nil, &errs.NotLeader{Group: domainGroup(domain)}
			}
			return nil, call(ctx, nil)
		}
		peer, err := s.peer(host)
		if err != nil {
			return nil, err
		}
		return nil, call(ctx, peer)
	})
	return err
}

func (s *samplerService) cancelAttempts(domain string, attempts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, attempt := range attempts {
		if cancel, ok := s.running[attemptID{domain, attempt}]; ok {
			cancel()
		}
	}
}

// attemptID names an attempt in the whole system. Each home numbers its own attempts, so equal
// numbers of two homes are different attempts.
type attemptID struct {
	home   string
	number uint64
}

// request returns the request id of the attempt at its target.
func (a attemptID) request() string {
	return "sample/" + a.home + "/" + strconv.FormatUint(a.number, 16)
}

// start runs one attempt in its own duty.
func (s *samplerService) start(domain string, work *rpc.Work) {
	lease := time.Duration(work.LeaseMs) * time.Millisecond
	until := time.Now().Add(lease)
	ctx, cancel := context.WithDeadline(s.kern.Context(), until)
	s.mu.Lock()
	id := attemptID{domain, work.Attempt}
	s.running[id] = cancel
	s.unreported++
	s.mu.Unlock()
	s.kern.Go("sampler/attempt", func(context.Context) error {
		defer cancel()
		result := s.run(ctx, id, work)
		_ = s.reports[domain].Push(s.kern.Context(), attemptReport{result: result, until: until})
		s.mu.Lock()
		delete(s.running, id)
		s.mu.Unlock()
		return nil
	})
}

func (s *samplerService) run(ctx context.Context, attempt attemptID, work *rpc.Work) *rpc.AttemptResult {
	result := &rpc.AttemptResult{Tenancy: work.Tenancy, Step: work.Step, Slot: work.Slot, Attempt: work.Attempt}
	if err := s.produce(ctx, attempt.request(), work, result); err != nil {
		result.Failure = string(errs.CodeOf(err))
		s.log.Debug("sample attempt failed", "tenancy", work.Tenancy, "step", work.Step, "slot", work.Slot, "error", err)
	}
	s.metrics.attempt(result.Failure)
	return result
}

// produce generates one sample and stores its payload. An output whose versions are not
// certain is discarded.
func (s *samplerService) produce(ctx context.Context, id string, work *rpc.Work, result *rpc.AttemptResult) error {
	cfg := s.config.Current()
	t := cfg.Tenancy(work.Tenancy)
	if t == nil {
		return &errs.NotFound{Kind: "tenancy", ID: work.Tenancy}
	}
	if err := s.reserve(ctx, id, t, work); err != nil {
		return err
	}
	out := newOutput(id, id, nil)
	err := s.executor.Generate(ctx, s.job(id, work), out.add)
	if err != nil {
		if errs.OutcomeOf(err) == errs.NotRun {
			s.quota.Settle(id, 0)
		}
		return err
	}
	s.quota.Settle(id, len(work.Prompt)/bytesPerToken+int(out.assembler.Tokens()))
	if !out.assembler.Complete() || out.assembler.Uncertain() {
		return &uncertainLabel{Step: work.Step, Slot: int(work.Slot)}
	}
	return s.store(ctx, work, out, result)
}

// maxQuotaPause bounds the pause between two reservations of a waiting attempt, because other
// hosts may return a part of the quota early.
const maxQuotaPause = 5 * time.Second

// reserve takes the sample's tokens from the quota. An attempt beyond the quota waits as long
// as its lease lasts: returned at once, its slot would be leased again and again.
func (s *samplerService) reserve(ctx context.Context, id string, t *confstate.Tenancy, work *rpc.Work) error {
	if t.Limits == nil {
		return nil
	}
	s.addWaiting(work.Pool, 1)
	defer s.addWaiting(work.Pool, -1)
	for {
		err := s.quota.Reserve(ctx, id, t, len(work.Prompt)/bytesPerToken+int(work.MaxTokens))
		if err == nil || errs.CodeOf(err) != errs.CodeQuotaExceeded {
			return err
		}
		if !pause(ctx, min(max(errs.RetryAfterOf(err), reservePause), maxQuotaPause)) {
			return err
		}
	}
}

func (s *samplerService) addWaiting(pool string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[pool] += n
}

func (s *samplerService) job(id string, work *rpc.Work) *job {
	return &job{
		GenerateRequest: &rpc.GenerateRequest{
			RequestId: id, Tenancy: work.Tenancy, Pool: work.Pool, Model: work.Model, Prompt: work.Prompt, MaxTokens: work.MaxTokens,
		},
		kind:         routing.Sample,
		minVersion:   work.MinVersion,
		group:        work.Tenancy + "/" + work.Step + "/" + strconv.Itoa(int(work.Group)),
		stepDeadline: time.UnixMilli(work.StepDeadlineUnixMs),
	}
}

func (s *samplerService) store(ctx context.Context, work *rpc.Work, out *output, result *rpc.AttemptResult) error {
	data, err := encodePayload(samplePayload{
		Tenancy: work.Tenancy, Step: work.Step, Slot: int(work.Slot), Attempt: work.Attempt, Output: out.assembler.Text(),
	})
	if err != nil {
		return err
	}
	digest, holders, err := s.payloads.Store(ctx, data)
	if err != nil {
		return err
	}
	result.Versions = out.assembler.Versions()
	result.Digest = digest.String()
	result.Tokens = uint32(out.assembler.Tokens())
	result.Holders = holders
	return nil
}

// uncertainLabel reports an output that does not state for every part which weight version
// made it.
type uncertainLabel struct {
	Step string
	Slot int
}

func (e *uncertainLabel) Error() string {
	return "output of slot " + strconv.Itoa(e.Slot) + " of step " + e.Step + " has no certain weight version"
}

// FailureCode implements errs.Failure.
func (e *uncertainLabel) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *uncertainLabel) FailureOutcome() errs.Outcome { return errs.Ran }

// reportLoop gathers results and reports them to a home.
func (s *samplerService) reportLoop(ctx context.Context, domain string) error {
	ring := s.reports[domain]
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-ring.C():
			batch := s.gather(ctx, ring, first)
			s.report(ctx, domain, batch)
			s.mu.Lock()
			s.unreported -= len(batch)
			s.mu.Unlock()
		}
	}
}

func (s *samplerService) gather(ctx context.Context, ring *kernel.Ring[attemptReport], first attemptReport) []attemptReport {
	batch := []attemptReport{first}
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for len(batch) < reportBatch {
		select {
		case r := <-ring.C():
			batch = append(batch, r)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// report repeats a report until the home answers or the leases are over. A repeated report
// has no further effect, because an attempt is accepted once.
func (s *samplerService) report(ctx context.Context, domain string, batch []attemptReport) {
	for len(batch) > 0 && ctx.Err() == nil {
		request := &rpc.ReportWorkRequest{Domain: domain}
		for _, r := range batch {
			request.Results = append(request.Results, r.result)
		}
		reply, err := s.reportTo(ctx, domain, request)
		if err == nil {
			s.payloads.store.Drop(reply.Rejected)
			return
		}
		s.log.Warn("samples are not reported yet", "domain", domain, "count", len(batch), "error", err)
		if !pause(ctx, reportRetry) {
			return
		}
		batch = unexpired(batch, time.Now())
	}
}

func unexpired(batch []attemptReport, now time.Time) []attemptReport {
	var kept []attemptReport
	for _, r := range batch {
		if now.Before(r.until) && r.result.Failure == "" {
			kept = append(kept, r)
		}
	}
	return kept
}

func (s *samplerService) reportTo(ctx context.Context, domain string, request *rpc.ReportWorkRequest) (*rpc.ReportWorkReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*attemptTimeout)
	defer cancel()
	var reply *rpc.ReportWorkReply
	err := s.toLeader(ctx, domain, func(ctx context.Context, peer rpc.PeerClient) (err error) {
		if peer == nil {
			reply, err = s.work.ReportWork(ctx, request)
		} else {
			reply, err = peer.ReportWork(ctx, request)
		}
		return err
	})
	return reply, err
}
