package limits

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"fuchsiaflow/errs"
)

// Amount is a number of requests and tokens.
type Amount struct {
	Requests int64
	Tokens   int64
}

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount { return Amount{a.Requests + b.Requests, a.Tokens + b.Tokens} }

// Sub returns the difference of two amounts.
func (a Amount) Sub(b Amount) Amount { return Amount{a.Requests - b.Requests, a.Tokens - b.Tokens} }

// Min returns the smaller number of each kind.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.Requests, b.Requests), min(a.Tokens, b.Tokens)}
}

// Max returns the larger number of each kind.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.Requests, b.Requests), max(a.Tokens, b.Tokens)}
}

// Covers reports whether b fits into a.
func (a Amount) Covers(b Amount) bool { return b.Requests <= a.Requests && b.Tokens <= a.Tokens }

// Scale returns the amount multiplied by f, rounded down.
func (a Amount) Scale(f float64) Amount {
	return Amount{int64(float64(a.Requests) * f), int64(float64(a.Tokens) * f)}
}

// Demand is a host's report and request to the home of a tenancy.
type Demand struct {
	Tenancy     string
	Incarnation uint64 // of the host
	Seq         uint64 // rises with every demand of the incarnation
	Applied     uint64 // Seq of the last share that the host applied
	Spent       Amount // leased amounts spent since the host started; a total, so that lost reports lose nothing
	Refund      Amount // reserved but not used, since the last demand; a lost refund stays charged
	Held        Amount // leased amount that the host keeps
	Want        Amount // amount that the host could use until its next demand, including Held
	Need        Amount // largest single reservation that was refused since the last demand
}

// Share is the answer to a demand: the lease on what the host holds is renewed until TTL
// after the demand was sent. Held replaces what the host believes to hold.
type Share struct {
	Tenancy string
	Seq     uint64 // of the demand
	Held    Amount // after the report and the grant
	TTL     time.Duration
	Quota   Amount
	// RetryAfter is when more can be granted at the earliest, where less than Want was.
	RetryAfter time.Duration
}

// Exceeded reports a reservation beyond the quota. Limit and Remaining are the values of the
// usual rate-limit headers.
type Exceeded struct {
	Tenancy   string
	Limit     Amount
	Remaining Amount
	After     time.Duration
}

func (e *Exceeded) Error() string {
	return fmt.Sprintf("quota of tenancy %q exceeded: %d requests and %d tokens a minute, %d and %d remaining here, retry after %s",
		e.Tenancy, e.Limit.Requests, e.Limit.Tokens, e.Remaining.Requests, e.Remaining.Tokens, e.After)
}

// FailureCode implements errs.Failure.
func (e *Exceeded) FailureCode() errs.Code { return errs.CodeQuotaExceeded }

// FailureOutcome implements errs.Failure.
func (e *Exceeded) FailureOutcome() errs.Outcome { return errs.NotRun }

// RateLimitHeaders returns the usual headers of an answer that refuses a request.
func (e *Exceeded) RateLimitHeaders() map[string]string {
	reset := strconv.FormatInt(int64(math.Ceil(e.After.Seconds())), 10)
	return map[string]string{
		"X-RateLimit-Limit-Requests":     strconv.FormatInt(e.Limit.Requests, 10),
		"X-RateLimit-Remaining-Requests": strconv.FormatInt(max(0, e.Remaining.Requests), 10),
		"X-RateLimit-Reset-Requests":     reset,
		"X-RateLimit-Limit-Tokens":       strconv.FormatInt(e.Limit.Tokens, 10),
		"X-RateLimit-Remaining-Tokens":   strconv.FormatInt(max(0, e.Remaining.Tokens), 10),
		"X-RateLimit-Reset-Tokens":       reset,
	}
}

// RetryAfter implements errs.Retryable.
func (e *Exceeded) RetryAfter() time.Duration { return e.After }
