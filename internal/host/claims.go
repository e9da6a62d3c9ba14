package host

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/retry"
)

const (
	// claimTTL is how long a key is protected. A request that is resent later than this may run
	// a second time, as docs/api.md states.
	claimTTL = 24 * time.Hour
	// claimPollInterval is the interval at which a claim is checked while another host runs the
	// request.
	claimPollInterval = 100 * time.Millisecond
	// maxRecordWait limits how long an answer is held back until its outcome is recorded. If the
	// record is lost, a resent request gets an unknown outcome, never a second run.
	maxRecordWait = 2 * time.Second
	// maxOutcomeWait limits how long a request waits after its deadline for the outcome of its run.
	maxOutcomeWait = time.Second
	// claimRetryInterval is the delay between attempts to record an outcome or release a key.
	claimRetryInterval = 500 * time.Millisecond
)

// claimID identifies a claim: an idempotency key within a tenancy.
type claimID struct{ tenancy, key string }

// claimRequest describes an unsafe request that has an idempotency key. The digest identifies its
// content.
type claimRequest struct {
	claimID
	homeDomain string
	digest     string
}

// claimExecution is the execution of an unsafe request on this host. It stays registered until its
// outcome is recorded, so that no second run of the key can start here in the meantime.
type claimExecution struct {
	digest string
	done   chan struct{}
	answer []byte
	err    error
	// repeated is true if the answer comes from an earlier run.
	repeated bool
}

// claimService runs each unsafe request with a key at most once across all hosts.
type claimService struct {
	self   string
	groups *groupClient
	log    *slog.Logger

	mu          sync.Mutex
	incarnation uint64
	executions  map[claimID]*claimExecution
	kernel      *kernel.Kernel
}

func newClaimService(self string, incarnation uint64, g *groupClient, log *slog.Logger) *claimService {
	return &claimService{self: self, groups: g, log: log, incarnation: incarnation, executions: make(map[claimID]*claimExecution)}
}

// Start implements kernel.Service.
func (c *claimService) Start(_ context.Context, k *kernel.Kernel) error {
	c.kernel = k
	return nil
}

// Stop implements kernel.Service.
func (c *claimService) Stop(context.Context) error { return nil }

// Do runs the request unless its key is already claimed, in which case it waits for the execution
// in progress or returns the stored answer. The execution continues after the caller gives up.
func (c *claimService) Do(ctx context.Context, r claimRequest, run func(ctx context.Context) ([]byte, error)) (answer []byte, repeated bool, err error) {
	c.mu.Lock()
	execution, joined := c.executions[r.claimID]
	if !joined {
		execution = &claimExecution{digest: r.digest, done: make(chan struct{})}
		c.executions[r.claimID] = execution
		c.startExecution(ctx, r, execution, run)
	}
	c.mu.Unlock()
	if joined && execution.digest != r.digest {
		return nil, false, keyConflictError(r.key)
	}
	select {
	case <-execution.done:
		return execution.answer, joined || execution.repeated, execution.err
	case <-ctx.Done():
	}
	if !joined {
		// The run has the same deadline, so its outcome, which may be not_run, is known shortly.
		select {
		case <-execution.done:
			return execution.answer, execution.repeated, execution.err
		case <-time.After(maxOutcomeWait):
		}
	}
	return nil, false, &errs.Deadline{Operation: "unsafe request", Outcome: errs.Unknown}
}

func keyConflictError(key string) error {
	return &errs.Conflict{Kind: "idempotency key", ID: key, Stored: "another request body", Received: "this one"}
}

func (c *claimService) startExecution(ctx context.Context, r claimRequest, execution *claimExecution, run func(context.Context) ([]byte, error)) {
	deadline, _ := ctx.Deadline()
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	c.kernel.Go("claims/run", func(kernelCtx context.Context) error {
		defer cancel()
		c.execute(runCtx, kernelCtx, r, execution, run)
		c.mu.Lock()
		delete(c.executions, r.claimID)
		c.mu.Unlock()
		return nil
	})
}

// execute claims the key, runs the request and records the outcome. It returns when the outcome
// is recorded or the host stops.
func (c *claimService) execute(ctx, kernelCtx context.Context, r claimRequest, execution *claimExecution, run func(context.Context) ([]byte, error)) {
	result, err := c.begin(ctx, r)
	if err != nil {
		execution.err = &errs.Unavailable{Resource: "home " + r.homeDomain + " of tenancy " + r.tenancy, Reason: err.Error()}
		close(execution.done)
		// The claim may have been recorded even though the reply was lost. Nothing was
		// dispatched, so it can be released.
		c.releaseKey(kernelCtx, r)
		return
	}
	if result.Status != retry.Granted {
		execution.answer, execution.err = answerFromResult(r.key, result)
		execution.repeated = true
		close(execution.done)
		return
	}
	execution.answer, execution.err = run(ctx)
	c.recordOutcome(kernelCtx, r, execution, result)
}

// recordOutcome stores the outcome in the home domain and completes the execution as soon as it is
// stored, or after maxRecordWait. If this host was declared lost in the meantime, resent requests
// get an unknown outcome, so this caller gets the same.
func (c *claimService) recordOutcome(ctx context.Context, r claimRequest, execution *claimExecution, granted retry.ClaimResult) {
	command := c.newCommand(retry.Finish, r)
	command.Incarnation = granted.Incarnation
	command.GrantID = granted.GrantID
	command.Outcome = retry.Ran
	command.Answer = execution.answer
	if execution.err != nil {
		command.Outcome = errs.OutcomeOf(execution.err)
		command.Answer = nil
	}
	if len(command.Answer) > retry.MaxAnswerBytes {
		// The answer cannot be stored but is returned to this caller. The key stays claimed: a
		// resent request gets an unknown outcome, because it must not run again.
		c.log.Warn("answer of an unsafe request is too large to store", "tenancy", r.tenancy, "bytes", len(execution.answer))
		command.Outcome, command.Answer = retry.Unknown, nil
	}
	timer := time.AfterFunc(maxRecordWait, func() { close(execution.done) })
	stored, applied := c.submitUntilApplied(ctx, r.homeDomain, command)
	if !timer.Stop() {
		return
	}
	if command.Outcome == retry.Ran && applied && stored.Status != retry.Done {
		execution.answer, execution.err = nil, &errs.Interrupted{Operation: "unsafe request", Reason: "the home domain declared this host lost during the run"}
	}
	close(execution.done)
}

// releaseKey releases a claim that this host may hold although it dispatched nothing.
func (c *claimService) releaseKey(ctx context.Context, r claimRequest) {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		result, err := c.submit(attemptCtx, r.homeDomain, c.newCommand(retry.Begin, r))
		cancel()
		if err == nil {
			if c.heldByThisProcess(result) {
				command := c.newCommand(retry.Finish, r)
				command.Incarnation, command.GrantID, command.Outcome = result.Incarnation, result.GrantID, retry.NotRun
				c.submitUntilApplied(ctx, r.homeDomain, command)
			}
			return
		}
		sleep(ctx, claimRetryInterval)
	}
}

// submitUntilApplied submits a command repeatedly until it is applied or ctx ends.
func (c *claimService) submitUntilApplied(ctx context.Context, homeDomain string, command retry.ClaimCommand) (result retry.ClaimResult, applied bool) {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		result, err := c.submit(attemptCtx, homeDomain, command)
		cancel()
		if err == nil && result.Status == retry.ClaimInvalid {
			// Without a recorded outcome, the key would be available for another run.
			command.Outcome, command.Answer = retry.Unknown, nil
			continue
		}
		if err == nil {
			return result, true
		}
		c.log.Warn("cannot record the outcome of an unsafe request yet", "tenancy", command.Tenancy, "error", err)
		sleep(ctx, claimRetryInterval)
	}
	return retry.ClaimResult{}, false
}

// begin claims the key. While another host runs the request, it waits for the outcome. After it
// has seen a run in progress, it reports failures as an unknown outcome, not as not_run.
func (c *claimService) begin(ctx context.Context, r claimRequest) (retry.ClaimResult, error) {
	running := false
	for {
		result, err := c.submit(ctx, r.homeDomain, c.newCommand(retry.Begin, r))
		if err != nil && running {
			return retry.ClaimResult{Status: retry.ClaimUnknown}, nil
		}
		if err != nil {
			return result, err
		}
		running = running || result.Status == retry.InProgress
		switch {
		case c.heldByThisProcess(result):
			result.Status = retry.Granted
			return result, nil
		case result.Status == retry.Stale:
			c.raiseIncarnation(result.Incarnation)
		case result.Status != retry.InProgress:
			return result, nil
		}
		if !sleep(ctx, claimPollInterval) {
			return retry.ClaimResult{Status: retry.ClaimUnknown}, nil
		}
	}
}

// heldByThisProcess reports whether this process holds the claim. A claim in progress with its own
// host name and incarnation is one whose grant was lost on the way back, because a key has at most
// one execution here.
func (c *claimService) heldByThisProcess(result retry.ClaimResult) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := result.Status == retry.Granted || result.Status == retry.InProgress
	return held && result.Host == c.self && result.Incarnation == c.incarnation
}

// raiseIncarnation starts a new claim incarnation. It is needed after the home domain has declared
// this host lost up to the given incarnation, as after a temporary network partition.
func (c *claimService) raiseIncarnation(lostIncarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnation = max(uint64(time.Now().UnixMilli()), c.incarnation+1, lostIncarnation+1)
}

func (c *claimService) newCommand(kind retry.CommandKind, r claimRequest) retry.ClaimCommand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return retry.ClaimCommand{
		Kind: kind, Tenancy: r.tenancy, Key: r.key, Digest: r.digest, Host: c.self,
		Incarnation: c.incarnation, TTLMillis: claimTTL.Milliseconds(),
	}
}

// submit sends a claim command to the domain group of the home domain.
func (c *claimService) submit(ctx context.Context, homeDomain string, command retry.ClaimCommand) (retry.ClaimResult, error) {
	data, err := domainstate.EncodeClaim(command)
	if err != nil {
		return retry.ClaimResult{}, err
	}
	data, err = c.groups.ProposeIdempotent(ctx, domainGroup(homeDomain), data)
	if err != nil {
		return retry.ClaimResult{}, err
	}
	return domainstate.DecodeClaim(data)
}

// answerFromResult returns the answer to a resent request from the state of its claim.
func answerFromResult(key string, r retry.ClaimResult) ([]byte, error) {
	switch r.Status {
	case retry.Done:
		return r.Answer, nil
	case retry.ClaimConflict:
		return nil, keyConflictError(key)
	default:
		return nil, &errs.Interrupted{Operation: "unsafe request", Reason: "an earlier run of this key has no known outcome"}
	}
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
