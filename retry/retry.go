// Package retry decides whether a failed call may be repeated. It holds the retry budget, the
// backoff, the decision on a single failure, and the replicated table of claims that keeps an
// unsafe request from running twice. The package is pure: time and randomness are arguments.
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

// CombineOutcomes returns what is known about a request after two attempts. NotRun survives only if
// neither attempt may have run; otherwise the refusal would not be honest.
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

// Bounds of the backoff.
const (
	BackoffBase = 25 * time.Millisecond
	BackoffMax  = 2 * time.Second
	// DefaultMaxAttempts bounds the attempts of one call, the first one included.
	DefaultMaxAttempts = 4
)

// Backoff returns the delay before the next attempt; attempt counts the attempts made so far
// and starts at 1. The delay is drawn from the upper half of an exponentially growing range,
// so that calls that failed together do not return together.
func Backoff(rng *rand.Rand, attempt int) time.Duration {
	limit := BackoffMax
	if shift := max(attempt, 1) - 1; shift < 16 {
		limit = min(BackoffBase<<shift, BackoffMax)
	}
	return limit/2 + time.Duration(rng.Int64N(int64(limit/2)+1))
}

// Call describes a call at the time of a decision.
type Call struct {
	// Idempotent states that the call may run more than once.
	Idempotent bool
	// Claimed states that an unsafe call holds a claim. An unsafe call without a claim has
	// exactly one dispatch.
	Claimed  bool
	Deadline time.Time // zero: none
	// Attempt counts the attempts made so far and starts at 1.
	Attempt     int
	MaxAttempts int // zero: DefaultMaxAttempts
	// Expected is the expected service time of another attempt.
	Expected time.Duration
	// EarlierOutcome is the combined outcome of the attempts before the one that failed.
	EarlierOutcome Outcome
	// Started is the start of the running attempt, and HedgeAfter the age at which a second
	// attempt beside it is worth its cost. Zero turns hedging off.
	Started    time.Time
	HedgeAfter time.Duration
	// Budget and Rand are required for calls that may be repeated.
	Budget *Budget
	Rand   *rand.Rand
}

// Decision tells what to do with a call.
type Decision struct {
	// Retry asks for another attempt after After.
	Retry bool
	After time.Duration
	// Hedge asks for a second attempt beside the running one.
	Hedge bool
	// FinalOutcome is the outcome to report if Retry is false and the call has failed.
	FinalOutcome Outcome
}

// Decide decides on a failed call, or, without a failure, on hedging a running call. A granted
// retry or hedge is taken from the budget, unless the failed attempt reached nobody.
func Decide(now time.Time, c Call, failure error) Decision {
	if failure == nil {
		return Decision{Hedge: c.hedge(now)}
	}
	outcome := errs.OutcomeOf(failure)
	refuse := Decision{FinalOutcome: CombineOutcomes(c.EarlierOutcome, outcome)}
	if !c.repeatable(outcome) || final(errs.CodeOf(failure)) || c.exhausted() {
		return refuse
	}
	after := max(Backoff(c.Rand, c.Attempt), errs.RetryAfterOf(failure))
	if !c.fits(now.Add(after)) || !reachedNobody(failure) && !c.Budget.Allow(now) {
		return refuse
	}
	return Decision{Retry: true, After: after}
}

// reachedNobody reports whether an attempt ended before it could load a pool. The budget keeps
// retries from loading a slow pool further, so it does not count such attempts.
func reachedNobody(failure error) bool {
	return errs.CodeOf(failure) == errs.CodeUnavailable && errs.OutcomeOf(failure) == NotRun
}

func (c Call) repeatable(outcome Outcome) bool {
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

func (c Call) exhausted() bool {
	limit := c.MaxAttempts
	if limit == 0 {
		limit = DefaultMaxAttempts
	}
	return c.Attempt >= limit
}

// fits reports whether an attempt that starts at the given time is expected to end in time.
func (c Call) fits(start time.Time) bool {
	return c.Deadline.IsZero() || !start.Add(c.Expected).After(c.Deadline)
}

func (c Call) hedge(now time.Time) bool {
	if !c.Idempotent || c.HedgeAfter <= 0 || c.Budget == nil || c.exhausted() {
		return false
	}
	return now.Sub(c.Started) >= c.HedgeAfter && c.fits(now) && c.Budget.Allow(now)
}

// final reports whether another attempt would meet the same answer.
func final(code errs.Code) bool {
	switch code {
	case errs.CodeInvalid, errs.CodeUnauthenticated, errs.CodeForbidden, errs.CodeNotFound,
		errs.CodeConflict, errs.CodeTooLarge, errs.CodeQuotaExceeded:
		return true
	}
	return false
}
