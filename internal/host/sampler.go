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
	// leaseInterval is the interval at which free capacity is offered to a home domain. Each home
	// domain has its own goroutine, so that an unreachable one does not delay the others.
	leaseInterval = 50 * time.Millisecond
	// leaseIdleInterval replaces leaseInterval while a home domain has no work for the free
	// capacity.
	leaseIdleInterval = 500 * time.Millisecond
	// reportBatchInterval is how long results are collected for one report, so that one log entry
	// covers many samples.
	reportBatchInterval = 25 * time.Millisecond
	// maxReportResults limits the number of results in one report.
	maxReportResults = 512
	// reportQueueSize limits the number of results that wait to be reported, by home domain.
	reportQueueSize = 4096
	// reportRetryInterval is the delay before a failed report is sent again.
	reportRetryInterval = 200 * time.Millisecond
)

// samplerService leases sample slots from the home domains for the free capacity of this host's
// targets, generates the samples, and reports the results to the home domain.
type samplerService struct {
	config     *configService
	quota      *quotaService
	dispatcher *dispatcher
	executor   *executor
	payloads   *payloadService
	groups     *groupClient
	work       *workService
	self       string
	domains    []string
	peer       func(host string) (rpc.PeerClient, error)
	log        *slog.Logger
	metrics    *hostMetrics

	kernel       *kernel.Kernel
	reportQueues map[string]*kernel.Ring[attemptReport]

	mu       sync.Mutex
	draining bool
	running  map[attemptID]context.CancelFunc
	// waitingForQuota has the number of attempts that wait for the quota of their tenancy, by pool.
	// They will need capacity that the dispatcher still reports as free.
	waitingForQuota map[string]int
	// unreported is the number of attempts that are running or not reported yet.
	unreported int
}

// attemptReport is a result that must be reported to the home domain before its lease ends.
type attemptReport struct {
	result   *rpc.AttemptResult
	leaseEnd time.Time
}

func (s *samplerService) init() {
	s.waitingForQuota = make(map[string]int)
	s.running = make(map[attemptID]context.CancelFunc)
	s.reportQueues = make(map[string]*kernel.Ring[attemptReport])
	for _, domain := range s.domains {
		s.reportQueues[domain] = kernel.NewRing[attemptReport]("sampler/reports/"+domain, reportQueueSize, kernel.Block)
	}
}

// Start implements kernel.Service.
func (s *samplerService) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	for _, domain := range s.domains {
		k.Go("sampler/lease/"+domain, func(ctx context.Context) error { return s.leaseLoop(ctx, domain) })
		k.Go("sampler/report/"+domain, func(ctx context.Context) error { return s.reportLoop(ctx, domain) })
	}
	return nil
}

// Stop implements kernel.Service.
func (s *samplerService) Stop(context.Context) error { return nil }

// Drain stops leasing and waits until all attempts have ended and are reported, or ctx ends.
func (s *samplerService) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for !s.idle() {
		if !sleep(ctx, reportBatchInterval) {
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
	var lastRequest time.Time
	for {
		wait := leaseIdleInterval
		if s.mayHaveWork(domain) {
			capacity := s.freeCapacity()
			// Without free capacity, the home domain is only asked for attempts to cancel.
			// The capacity is still checked at leaseInterval, so that capacity that becomes
			// free is used soon.
			wait = leaseInterval
			if len(capacity) > 0 || time.Since(lastRequest) >= leaseIdleInterval {
				lastRequest = time.Now()
				wait = s.leaseWork(ctx, domain, capacity)
			}
		}
		if !sleep(ctx, wait) {
			return nil
		}
	}
}

// mayHaveWork reports whether to ask a home domain for work: it is the home of a trainer tenancy,
// and this host is not draining.
func (s *samplerService) mayHaveWork(domain string) bool {
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

// leaseWork leases work from a home domain, starts it, and returns the time until the next check of
// the capacity.
func (s *samplerService) leaseWork(ctx context.Context, domain string, capacity []*rpc.PoolCapacity) time.Duration {
	request := &rpc.LeaseWorkRequest{Domain: domain, Capacity: capacity}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reply, err := s.leaseFrom(ctx, domain, request)
	if err != nil {
		s.log.Debug("cannot lease work", "domain", domain, "error", err)
		return leaseIdleInterval
	}
	s.cancelAttempts(domain, reply.Cancelled)
	for _, work := range reply.Work {
		s.startAttempt(domain, work)
	}
	if len(reply.Work) == 0 && len(capacity) > 0 {
		return leaseIdleInterval
	}
	return leaseInterval
}

// freeCapacity returns the free capacity by pool and model, sorted, without the capacity that
// attempts waiting for quota will need.
func (s *samplerService) freeCapacity() []*rpc.PoolCapacity {
	list := s.dispatcher.SampleCapacity()
	sort.Slice(list, func(i, j int) bool {
		return list[i].pool+"/"+list[i].model < list[j].pool+"/"+list[j].model
	})
	free := make([]*rpc.PoolCapacity, 0, len(list))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list {
		if slots := c.free - s.waitingForQuota[c.pool]; slots > 0 {
			free = append(free, &rpc.PoolCapacity{Pool: c.pool, Model: c.model, Free: uint32(slots), Version: c.version})
		}
	}
	return free
}

func (s *samplerService) leaseFrom(ctx context.Context, domain string, request *rpc.LeaseWorkRequest) (*rpc.LeaseWorkReply, error) {
	var reply *rpc.LeaseWorkReply
	err := s.callHomeLeader(ctx, domain, func(ctx context.Context, peer rpc.PeerClient) (err error) {
		if peer == nil {
			reply, err = s.work.LeaseWork(s.self, request)
		} else {
			reply, err = peer.LeaseWork(ctx, request)
		}
		return err
	})
	return reply, err
}

// callHomeLeader calls the leader of a domain group. The peer is nil if this host is the leader.
func (s *samplerService) callHomeLeader(ctx context.Context, domain string, call func(ctx context.Context, peer rpc.PeerClient) error) error {
	_, err := s.groups.callLeader(ctx, domainGroup(domain), false, func(ctx context.Context, host string) ([]byte, error) {
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

// attemptID identifies an attempt in the whole system. Each home domain numbers its own attempts,
// so equal numbers of two home domains are different attempts.
type attemptID struct {
	home   string
	number uint64
}

// requestID returns the ID of the attempt's request to its target.
func (a attemptID) requestID() string {
	return "sample/" + a.home + "/" + strconv.FormatUint(a.number, 16)
}

// startAttempt runs one attempt in its own goroutine until its lease ends.
func (s *samplerService) startAttempt(domain string, work *rpc.Work) {
	lease := time.Duration(work.LeaseMs) * time.Millisecond
	leaseEnd := time.Now().Add(lease)
	ctx, cancel := context.WithDeadline(s.kernel.Context(), leaseEnd)
	s.mu.Lock()
	id := attemptID{domain, work.Attempt}
	s.running[id] = cancel
	s.unreported++
	s.mu.Unlock()
	s.kernel.Go("sampler/attempt", func(context.Context) error {
		defer cancel()
		result := s.runAttempt(ctx, id, work)
		_ = s.reportQueues[domain].Push(s.kernel.Context(), attemptReport{result: result, leaseEnd: leaseEnd})
		s.mu.Lock()
		delete(s.running, id)
		s.mu.Unlock()
		return nil
	})
}

func (s *samplerService) runAttempt(ctx context.Context, attempt attemptID, work *rpc.Work) *rpc.AttemptResult {
	result := &rpc.AttemptResult{Tenancy: work.Tenancy, Step: work.Step, Slot: work.Slot, Attempt: work.Attempt}
	if err := s.generateSample(ctx, attempt.requestID(), work, result); err != nil {
		result.Failure = string(errs.CodeOf(err))
		s.log.Debug("sample attempt failed", "tenancy", work.Tenancy, "step", work.Step, "slot", work.Slot, "error", err)
	}
	s.metrics.recordAttempt(result.Failure)
	return result
}

// generateSample generates one sample and stores its payload. An incomplete output, or one with an
// uncertain weight version, is discarded.
func (s *samplerService) generateSample(ctx context.Context, id string, work *rpc.Work, result *rpc.AttemptResult) error {
	cfg := s.config.Current()
	t := cfg.Tenancy(work.Tenancy)
	if t == nil {
		return &errs.NotFound{Kind: "tenancy", ID: work.Tenancy}
	}
	if err := s.reserveQuota(ctx, id, t, work); err != nil {
		return err
	}
	answer := newAnswerStream(id, id, nil)
	err := s.executor.Generate(ctx, s.dispatchRequest(id, work), answer.add)
	if err != nil {
		if errs.OutcomeOf(err) == errs.NotRun {
			s.quota.Settle(id, 0)
		}
		return err
	}
	s.quota.Settle(id, len(work.Prompt)/bytesPerToken+int(answer.assembler.Tokens()))
	if !answer.assembler.Complete() || answer.assembler.Uncertain() {
		return &uncertainOutputError{Step: work.Step, Slot: int(work.Slot)}
	}
	return s.storeOutput(ctx, work, answer, result)
}

// maxQuotaRetryInterval limits the delay between two reservations of a waiting attempt, because
// other hosts may return a part of the quota early.
const maxQuotaRetryInterval = 5 * time.Second

// reserveQuota reserves the tokens of a sample. If the quota is exceeded, the attempt waits until
// its lease ends. If it failed immediately, its slot would be leased again and again.
func (s *samplerService) reserveQuota(ctx context.Context, id string, t *confstate.Tenancy, work *rpc.Work) error {
	if t.Limits == nil {
		return nil
	}
	s.addWaitingForQuota(work.Pool, 1)
	defer s.addWaitingForQuota(work.Pool, -1)
	for {
		err := s.quota.Reserve(ctx, id, t, len(work.Prompt)/bytesPerToken+int(work.MaxTokens))
		if err == nil || errs.CodeOf(err) != errs.CodeQuotaExceeded {
			return err
		}
		if !sleep(ctx, min(max(errs.RetryAfterOf(err), reservePollInterval), maxQuotaRetryInterval)) {
			return err
		}
	}
}

func (s *samplerService) addWaitingForQuota(pool string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingForQuota[pool] += n
}

func (s *samplerService) dispatchRequest(id string, work *rpc.Work) *dispatchRequest {
	return &dispatchRequest{
		GenerateRequest: &rpc.GenerateRequest{
			RequestId: id, Tenancy: work.Tenancy, Pool: work.Pool, Model: work.Model, Prompt: work.Prompt, MaxTokens: work.MaxTokens,
		},
		kind:         routing.Sample,
		minVersion:   work.MinVersion,
		group:        work.Tenancy + "/" + work.Step + "/" + strconv.Itoa(int(work.Group)),
		stepDeadline: time.UnixMilli(work.StepDeadlineUnixMs),
	}
}

func (s *samplerService) storeOutput(ctx context.Context, work *rpc.Work, answer *answerStream, result *rpc.AttemptResult) error {
	data, err := encodePayload(samplePayload{
		Tenancy: work.Tenancy, Step: work.Step, Slot: int(work.Slot), Attempt: work.Attempt, Output: answer.assembler.Text(),
	})
	if err != nil {
		return err
	}
	digest, holders, err := s.payloads.Store(ctx, data)
	if err != nil {
		return err
	}
	result.Versions = answer.assembler.Versions()
	result.Digest = digest.String()
	result.Tokens = uint32(answer.assembler.Tokens())
	result.Holders = holders
	return nil
}

// uncertainOutputError reports an output that is incomplete, or for which the weight version of a
// part is uncertain.
type uncertainOutputError struct {
	Step string
	Slot int
}

func (e *uncertainOutputError) Error() string {
	return "output of slot " + strconv.Itoa(e.Slot) + " of step " + e.Step + " has no certain weight version"
}

// FailureCode implements errs.Failure.
func (e *uncertainOutputError) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *uncertainOutputError) FailureOutcome() errs.Outcome { return errs.Ran }

// reportLoop collects results in batches and reports them to a home domain.
func (s *samplerService) reportLoop(ctx context.Context, domain string) error {
	ring := s.reportQueues[domain]
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-ring.C():
			batch := s.collectBatch(ctx, ring, first)
			s.reportBatch(ctx, domain, batch)
			s.mu.Lock()
			s.unreported -= len(batch)
			s.mu.Unlock()
		}
	}
}

// collectBatch collects results until reportBatchInterval has passed or the batch is full.
func (s *samplerService) collectBatch(ctx context.Context, ring *kernel.Ring[attemptReport], first attemptReport) []attemptReport {
	batch := []attemptReport{first}
	timer := time.NewTimer(reportBatchInterval)
	defer timer.Stop()
	for len(batch) < maxReportResults {
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

// reportBatch sends a report until the home domain answers or the leases have ended. A repeated
// report has no further effect, because an attempt is accepted only once. Payloads of rejected
// results are dropped.
func (s *samplerService) reportBatch(ctx context.Context, domain string, batch []attemptReport) {
	for len(batch) > 0 && ctx.Err() == nil {
		request := &rpc.ReportWorkRequest{Domain: domain}
		for _, r := range batch {
			request.Results = append(request.Results, r.result)
		}
		reply, err := s.sendReport(ctx, domain, request)
		if err == nil {
			s.payloads.store.Drop(reply.Rejected)
			return
		}
		s.log.Warn("cannot report samples yet", "domain", domain, "count", len(batch), "error", err)
		if !sleep(ctx, reportRetryInterval) {
			return
		}
		batch = reportable(batch, time.Now())
	}
}

// reportable returns the results that are worth reporting again: the successful ones whose lease
// has not ended.
func reportable(batch []attemptReport, now time.Time) []attemptReport {
	var kept []attemptReport
	for _, r := range batch {
		if now.Before(r.leaseEnd) && r.result.Failure == "" {
			kept = append(kept, r)
		}
	}
	return kept
}

func (s *samplerService) sendReport(ctx context.Context, domain string, request *rpc.ReportWorkRequest) (*rpc.ReportWorkReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*attemptTimeout)
	defer cancel()
	var reply *rpc.ReportWorkReply
	err := s.callHomeLeader(ctx, domain, func(ctx context.Context, peer rpc.PeerClient) (err error) {
		if peer == nil {
			reply, err = s.work.ReportWork(ctx, request)
		} else {
			reply, err = peer.ReportWork(ctx, request)
		}
		return err
	})
	return reply, err
}
