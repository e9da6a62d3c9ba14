// Package retry decides whether a failed call may be retried. It contains the retry budget, the
// backoff, the decision on a single failure, and the replicated table of claims that prevents a
// non-idempotent request from running twice. The package performs no I/O; time and randomness are
// arguments.
package retry

import (
	"math/rand/v2"
	"time"

	"fuchsiaflow/errs"
)

// Outcome states what is known about the execution of a request.
type Outcome = errs.Outcome

// The outcomes of a request.
const (
	Ran     = errs.Ran
	NotRun  = errs.NotRun
	Unknown = errs.Unknown
)

// CombineOutcomes returns what is known about a request after two attempts. The result is NotRun only if
// neither attempt can have run. An empty outcome stands for no attempt.
func CombineOutcomes(a, b Outcome) Outcome {
	switch {
	case a == "" || a == b:
		return b
	case b == "":
		return a
	case a == Ran || b == Ran:
		return Ran
	}
	return Unknown
}

// Limits of the backoff.
const (
	BackoffBase = 25 * time.Millisecond
	BackoffMax  = 2 * time.Second
	// DefaultMaxAttempts limits the attempts of one call, including the first one.
	DefaultMaxAttempts = 4
)

// Backoff returns the delay before the next attempt, where attempt is the number of attempts made
// so far, starting at 1. The delay is drawn from the upper half of an exponentially growing range,
// so that calls that failed at the same time are not retried at the same time.
func Backoff(rng *rand.Rand, attempt int) time.Duration {
	limit := BackoffMax
	if shift := max(attempt, 1) - 1; shift < 16 {
		limit = min(BackoffBase<<shift, BackoffMax)
	}
	return limit/2 + time.Duration(rng.Int64N(int64(limit/2)+1))
}

// Call describes a call for which Decide makes a decision.
type Call struct {
	// Idempotent states that the call is idempotent: it may run more than once.
	Idempotent bool
	// Claimed states that a non-idempotent call holds a claim. Without a claim, a non-idempotent
	// call is dispatched only once.
	Claimed  bool
	Deadline time.Time // zero means no deadline
	// Attempt is the number of attempts made so far, starting at 1.
	Attempt     int
	MaxAttempts int // zero means DefaultMaxAttempts
	// ExpectedDuration is the expected service time of another attempt.
	ExpectedDuration time.Duration
	// EarlierOutcome is the combined outcome of the attempts before the one that failed.
	EarlierOutcome Outcome
	// Started is the start of the running attempt. HedgeAfter is the time after which a second,
	// concurrent attempt is worth its cost; zero disables hedging.
	Started    time.Time
	HedgeAfter time.Duration
	// Budget and Rand are required for calls that may be retried or hedged.
	Budget *Budget
	Rand   *rand.Rand
}

// Decision states how to continue with a call.
type Decision struct {
	// Retry requests another attempt after the delay After.
	Retry bool
	After time.Duration
	// Hedge requests a second attempt concurrent with the running one.
	Hedge bool
	// FinalOutcome is the outcome to report if the call has failed and Retry is false.
	FinalOutcome Outcome
}

// Decide decides whether to retry a failed call or, if failure is nil, whether to hedge a running
// call. A retry or hedge is taken from the budget, except a retry of an attempt that was not
// dispatched.
func Decide(now time.Time, c Call, failure error) Decision {
	if failure == nil {
		return Decision{Hedge: c.shouldHedge(now)}
	}
	outcome := errs.OutcomeOf(failure)
	noRetry := Decision{FinalOutcome: CombineOutcomes(c.EarlierOutcome, outcome)}
	if !c.retryable(outcome) || permanent(errs.CodeOf(failure)) || c.attemptsExhausted() {
		return noRetry
	}
	delay := max(Backoff(c.Rand, c.Attempt), errs.RetryAfterOf(failure))
	if !c.fitsDeadline(now.Add(delay)) || !notDispatched(failure) && !c.Budget.Allow(now) {
		return noRetry
	}
	return Decision{Retry: true, After: delay}
}

// notDispatched reports whether an attempt failed before it reached a pool. The budget protects
// slow pools from further load, so it does not count such attempts.
func notDispatched(failure error) bool {
	return errs.CodeOf(failure) == errs.CodeUnavailable && errs.OutcomeOf(failure) == NotRun
}

// retryable reports whether the outcome of the last attempt permits another one.
func (c Call) retryable(outcome Outcome) bool {
	if c.Rand == nil || c.Budget == nil {
		return false
	}
	switch outcome {
	case NotRun:
		return c.Idempotent || c.Claimed && (c.EarlierOutcome == "" || c.EarlierOutcome == NotRun)
	case Unknown:
		return c.Idempotent
	}
	return false
}

func (c Call) attemptsExhausted() bool {
	limit := c.MaxAttempts
	if limit == 0 {
		limit = DefaultMaxAttempts
	}
	return c.Attempt >= limit
}

// fitsDeadline reports whether an attempt that starts at the given time is expected to end before
// the deadline.
func (c Call) fitsDeadline(start time.Time) bool {
	return c.Deadline.IsZero() || !start.Add(c.ExpectedDuration).After(c.Deadline)
}

func (c Call) shouldHedge(now time.Time) bool {
	if !c.Idempotent || c.HedgeAfter <= 0 || c.Budget == nil || c.attemptsExhausted() {
		return false
	}
	return now.Sub(c.Started) >= c.HedgeAfter && c.fitsDeadline(now) && c.Budget.Allow(now)
}

// permanent reports whether another attempt would fail with the same code.
func permanent(code errs.Code) bool {
	switch code {
	case errs.CodeInvalid, errs.CodeUnauthenticated, errs.CodeForbidden, errs.CodeNotFound,
		errs.CodeConflict, errs.CodeTooLarge, errs.CodeQuotaExceeded:
		return true
	}
	return false
}
