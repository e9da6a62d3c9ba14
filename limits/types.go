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

// Min returns the smaller of the two request counts and of the two token counts.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.Requests, b.Requests), min(a.Tokens, b.Tokens)}
}

// Max returns the larger of the two request counts and of the two token counts.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.Requests, b.Requests), max(a.Tokens, b.Tokens)}
}

// Covers reports whether neither count of b exceeds that of a.
func (a Amount) Covers(b Amount) bool { return b.Requests <= a.Requests && b.Tokens <= a.Tokens }

// Scale returns the amount multiplied by factor, truncated toward zero.
func (a Amount) Scale(factor float64) Amount {
	return Amount{int64(float64(a.Requests) * factor), int64(float64(a.Tokens) * factor)}
}

// Demand reports a host's spending to the allocator of a quota and requests a share of the quota.
type Demand struct {
	Key         string `cbor:"Tenancy"` // names the quota
	Incarnation uint64 // of the host's process
	Seq         uint64 // increases with every demand of the incarnation
	Applied     uint64 // Seq of the last share that the host applied
	Spent       Amount // total spent from leases since the host started, so that a lost demand loses no spending
	Refund      Amount // reserved but not used since the last demand; a lost refund stays charged
	Held        Amount // leased amount that the host still holds
	Want        Amount // amount that the host expects to use until its next demand, Held included
	Need        Amount // largest single reservation refused since the last demand
}

// Share is the answer to a demand. It renews the host's lease until TTL after the demand was
// sent. Held replaces the amount that the host held when it sent the demand.
type Share struct {
	Key   string `cbor:"Tenancy"` // names the quota
	Seq   uint64 // Seq of the demand
	Held  Amount // held by the host after its report and the grant
	TTL   time.Duration
	Quota Amount
	// RetryAfter is the time until more can be granted. It is set only if less than Want was
	// granted.
	RetryAfter time.Duration
}

// Exceeded is the error of a reservation that exceeds the quota. Limit is the quota per window,
// Remaining the amount that this host may still reserve; both are sent in rate-limit headers.
type Exceeded struct {
	Key       string // names the quota
	Limit     Amount
	Remaining Amount
	After     time.Duration
}

func (e *Exceeded) Error() string {
	return fmt.Sprintf("quota %q exceeded: %d requests and %d tokens in a window, %d and %d remaining here, retry after %s",
		e.Key, e.Limit.Requests, e.Limit.Tokens, e.Remaining.Requests, e.Remaining.Tokens, e.After)
}

// FailureCode implements errs.Failure.
func (e *Exceeded) FailureCode() errs.Code { return errs.CodeQuotaExceeded }

// FailureOutcome implements errs.Failure.
func (e *Exceeded) FailureOutcome() errs.Outcome { return errs.NotRun }

// RateLimitHeaders returns the X-RateLimit headers of the response to a refused request.
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
