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
	// claimTTL is how long a key is protected. A caller that resends later than this may run
	// its request a second time; docs/api.md says so.
	claimTTL = 24 * time.Hour
	// claimPoll is the interval at which a request waits for a run on another host.
	claimPoll = 100 * time.Millisecond
	// finishWait bounds how long an answer waits for its record. A later resend gets an
	// unknown outcome if the record is lost, never a second run.
	finishWait = 2 * time.Second
	// outcomeWait bounds how long a request waits after its deadline for the outcome of its run.
	outcomeWait = time.Second
	// claimRetry is the pause between attempts to record an outcome.
	claimRetry = 500 * time.Millisecond
)

// claimID names an unsafe request: its key is scoped by tenancy.
type claimID struct{ tenancy, key string }

// claimRequest is an unsafe request with a key.
type claimRequest struct {
	claimID
	home   string
	digest string
}

// claimRun is a run of an unsafe request by this host. It stays registered until its
// outcome is recorded, so that no second run of the key can start here meanwhile.
type claimRun struct {
	digest string
	done   chan struct{}
	answer []byte
	err    error
	// repeated is set when the answer comes from an earlier run.
	repeated bool
}

// claimService runs unsafe requests with a key at most once across all hosts.
type claimService struct {
	self   string
	groups *groups
	log    *slog.Logger

	mu          sync.Mutex
	incarnation uint64
	runs        map[claimID]*claimRun
	kern        *kernel.Kernel
}

func newClaimService(self string, incarnation uint64, g *groups, log *slog.Logger) *claimService {
	return &claimService{self: self, groups: g, log: log, incarnation: incarnation, runs: make(map[claimID]*claimRun)}
}

// Start implements kernel.Service.
func (c *claimService) Start(_ context.Context, k *kernel.Kernel) error {
	c.kern = k
	return nil
}

// Stop implements kernel.Service.
func (c *claimService) Stop(context.Context) error { return nil }

// Do runs the request unless its key has been claimed, and returns the stored answer or
// joins the running attempt if it has. The run goes on when the caller gives up.
func (c *claimService) Do(ctx context.Context, r claimRequest, run func(ctx context.Context) ([]byte, error)) (answer []byte, repeated bool, err error) {
	c.mu.Lock()
	attempt, joined := c.runs[r.claimID]
	if !joined {
		attempt = &claimRun{digest: r.digest, done: make(chan struct{})}
		c.runs[r.claimID] = attempt
		c.start(ctx, r, attempt, run)
	}
	c.mu.Unlock()
	if joined && attempt.digest != r.digest {
		return nil, false, keyConflict(r.key)
	}
	select {
	case <-attempt.done:
		return attempt.answer, joined || attempt.repeated, attempt.err
	case <-ctx.Done():
	}
	if !joined {
		// The run has the same deadline, so its own outcome, which may be not run, is near.
		select {
		case <-attempt.done:
			return attempt.answer, attempt.repeated, attempt.err
		case <-time.After(outcomeWait):
		}
	}
	return nil, false, &errs.Deadline{Operation: "unsafe request", Result: errs.Unknown}
}

func keyConflict(key string) error {
	return &errs.Conflict{Kind: "idempotency key", ID: key, Have: "another request body", Got: "this one"}
}

func (c *claimService) start(ctx context.Context, r claimRequest, a *claimRun, run func(context.Context) ([]byte, error)) {
	deadline, _ := ctx.Deadline()
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	c.kern.Go("claims/run", func(kernelCtx context.Context) error {
		defer cancel()
		c.execute(runCtx, kernelCtx, r, a, run)
		c.mu.Lock()
		delete(c.runs, r.claimID)
		c.mu.Unlock()
		return nil
	})
}

// execute claims the key, runs the request and records the outcome. It returns once the
// outcome is recorded or the host stops.
func (c *claimService) execute(ctx, kernelCtx context.Context, r claimRequest, a *claimRun, run func(context.Context) ([]byte, error)) {
	result, err := c.begin(ctx, r)
	if err != nil {
		a.err = &errs.Unavailable{Resource: "home " + r.home + " of tenancy " + r.tenancy, Reason: err.Error()}
		close(a.done)
		// The claim may have been recorded although the answer was lost. Nothing was
		// dispatched, so it is released.
		c.release(kernelCtx, r)
		return
	}
	if result.Status != retry.Granted {
		a.answer, a.err = claimAnswer(r.key, result)
		a.repeated = true
		close(a.done)
		return
	}
	a.answer, a.err = run(ctx)
	c.record(kernelCtx, r, a, result)
}

// record stores the outcome. The answer is given once it is stored, or after finishWait. When
// this host was declared lost meanwhile, the claim has ended as unknown for every resend, so the
// caller is told the same.
func (c *claimService) record(ctx context.Context, r claimRequest, a *claimRun, granted retry.ClaimResult) {
	command := c.command(retry.Finish, r)
	command.Incarnation = granted.Incarnation
	command.GrantID = granted.GrantID
	command.Outcome = retry.Ran
	command.Answer = a.answer
	if a.err != nil {
		command.Outcome = errs.OutcomeOf(a.err)
		command.Answer = nil
	}
	if len(command.Answer) > retry.MaxAnswerBytes {
		// The answer cannot be stored but is given to this caller. The key stays used, and a
		// resend learns that the outcome is unknown, because it must not run again.
		c.log.Warn("answer of an unsafe request is too large to be stored", "tenancy", r.tenancy, "bytes", len(a.answer))
		command.Outcome, command.Answer = retry.Unknown, nil
	}
	timer := time.AfterFunc(finishWait, func() { close(a.done) })
	result, applied := c.untilApplied(ctx, r.home, command)
	if !timer.Stop() {
		return
	}
	if command.Outcome == retry.Ran && applied && result.Status != retry.Done {
		a.answer, a.err = nil, &errs.Interrupted{Operation: "unsafe request", Reason: "the home declared this host lost during the run"}
	}
	close(a.done)
}

// release gives a key free that this host may hold without having dispatched anything.
func (c *claimService) release(ctx context.Context, r claimRequest) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		result, err := c.claim(attempt, r.home, c.command(retry.Begin, r))
		cancel()
		if err == nil {
			if c.ownedHere(result) {
				command := c.command(retry.Finish, r)
				command.Incarnation, command.GrantID, command.Outcome = result.Incarnation, result.GrantID, retry.NotRun
				c.untilApplied(ctx, r.home, command)
			}
			return
		}
		pause(ctx, claimRetry)
	}
}

// untilApplied repeats a command until it is applied or ctx ends.
func (c *claimService) untilApplied(ctx context.Context, home string, command retry.ClaimCommand) (result retry.ClaimResult, applied bool) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		result, err := c.claim(attempt, home, command)
		cancel()
		if err == nil && result.Status == retry.ClaimInvalid {
			// A refused record would leave the key open for another run.
			command.Outcome, command.Answer = retry.Unknown, nil
			continue
		}
		if err == nil {
			return result, true
		}
		c.log.Warn("outcome of an unsafe request is not recorded yet", "tenancy", command.Tenancy, "error", err)
		pause(ctx, claimRetry)
	}
	return retry.ClaimResult{}, false
}

// begin claims the key. While another host runs the request, it waits for the outcome. Once
// another run is known, a failure to ask again must not be reported as not run.
func (c *claimService) begin(ctx context.Context, r claimRequest) (retry.ClaimResult, error) {
	running := false
	for {
		result, err := c.claim(ctx, r.home, c.command(retry.Begin, r))
		if err != nil && running {
			return retry.ClaimResult{Status: retry.ClaimUnknown}, nil
		}
		if err != nil {
			return result, err
		}
		running = running || result.Status == retry.InProgress
		switch {
		case c.ownedHere(result):
			result.Status = retry.Granted
			return result, nil
		case result.Status == retry.Stale:
			c.raiseIncarnation(result.Incarnation)
		case result.Status != retry.InProgress:
			return result, nil
		}
		if !pause(ctx, claimPoll) {
			return retry.ClaimResult{Status: retry.ClaimUnknown}, nil
		}
	}
}

// ownedHere reports whether this process holds the claim. A claim in progress under its own
// name can only be one whose grant was lost on the way back, because a key has at most one
// run here.
func (c *claimService) ownedHere(result retry.ClaimResult) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := result.Status == retry.Granted || result.Status == retry.InProgress
	return held && result.Host == c.self && result.Incarnation == c.incarnation
}

// raiseIncarnation starts a new claim incarnation after the home has declared this host
// lost up to the given one, which happens when it was cut off for a while.
func (c *claimService) raiseIncarnation(lost uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnation = max(uint64(time.Now().UnixMilli()), c.incarnation+1, lost+1)
}

func (c *claimService) command(kind retry.CommandKind, r claimRequest) retry.ClaimCommand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return retry.ClaimCommand{
		Kind: kind, Tenancy: r.tenancy, Key: r.key, Digest: r.digest, Host: c.self,
		Incarnation: c.incarnation, TTLMillis: claimTTL.Milliseconds(),
	}
}

func (c *claimService) claim(ctx context.Context, home string, command retry.ClaimCommand) (retry.ClaimResult, error) {
	data, err := domainstate.EncodeClaim(command)
	if err != nil {
		return retry.ClaimResult{}, err
	}
	data, err = c.groups.ProposeIdempotent(ctx, domainGroup(home), data)
	if err != nil {
		return retry.ClaimResult{}, err
	}
	return domainstate.DecodeClaim(data)
}

// claimAnswer turns the state of a claim into the answer to a resent request.
func claimAnswer(key string, r retry.ClaimResult) ([]byte, error) {
	switch r.Status {
	case retry.Done:
		return r.Answer, nil
	case retry.ClaimConflict:
		return nil, keyConflict(key)
	default:
		return nil, &errs.Interrupted{Operation: "unsafe request", Reason: "an earlier run of this key has no known outcome"}
	}
}

// pause waits and reports whether ctx is still valid.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
