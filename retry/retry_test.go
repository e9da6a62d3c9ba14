package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaflow/errs"
)

var epoch = time.Unix(1e9, 0)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a second run of a non-idempotent call (P6), a call reported as not run that may
// have run (P5), and retries that cannot succeed.
func TestDecide(t *testing.T) {
	overloaded := &errs.Overloaded{Resource: "pool sorting", After: 100 * time.Millisecond}
	interrupted := &errs.Interrupted{Operation: "generate", Reason: "reset"}
	deadline := epoch.Add(time.Second)
	cases := []struct {
		name   string
		call   Call
		err    error
		retry  bool
		refuse Outcome
	}{
		{"idempotent, unknown", Call{Idempotent: true}, interrupted, true, ""},
		{"idempotent, not run", Call{Idempotent: true}, overloaded, true, ""},
		{"non-idempotent, unknown", Call{Claimed: true}, interrupted, false, Unknown},
		{"non-idempotent, claimed, not run", Call{Claimed: true}, overloaded, true, ""},
		{"non-idempotent, no claim, not run", Call{}, overloaded, false, NotRun},
		{"non-idempotent, earlier attempt unknown", Call{Claimed: true, EarlierOutcome: Unknown}, overloaded, false, Unknown},
		{"earlier attempt unknown, deadline too close", Call{Idempotent: true, EarlierOutcome: Unknown, ExpectedDuration: time.Second, Deadline: deadline}, overloaded, false, Unknown},
		{"ran", Call{Idempotent: true}, &errs.Unavailable{Outcome: Ran}, false, Ran},
		{"invalid", Call{Idempotent: true}, &errs.Invalid{}, false, NotRun},
		{"too many attempts", Call{Idempotent: true, Attempt: DefaultMaxAttempts}, overloaded, false, NotRun},
		{"delay beyond deadline", Call{Idempotent: true, ExpectedDuration: 901 * time.Millisecond, Deadline: deadline}, overloaded, false, NotRun},
		{"delay within deadline", Call{Idempotent: true, ExpectedDuration: 900 * time.Millisecond, Deadline: deadline}, overloaded, true, ""},
	}
	for _, c := range cases {
		c.call.Attempt = max(c.call.Attempt, 1)
		c.call.Budget, c.call.Rand = NewBudget(0.1), newRand()
		d := Decide(epoch, c.call, c.err)
		if d.Retry != c.retry || d.FinalOutcome != c.refuse || d.Hedge {
			t.Errorf("%s: %+v", c.name, d)
		}
		if d.Retry && d.After < errs.RetryAfterOf(c.err) {
			t.Errorf("%s: retry after %s", c.name, d.After)
		}
	}
}

// Guards against hedging a non-idempotent call, hedging too early and exceeding the budget.
func TestHedge(t *testing.T) {
	c := Call{Idempotent: true, Attempt: 1, Started: epoch, HedgeAfter: time.Second, Budget: NewBudget(0), Rand: newRand()}
	if Decide(epoch.Add(999*time.Millisecond), c, nil).Hedge {
		t.Error("hedged before HedgeAfter")
	}
	hedges := 0
	for range 10 {
		if Decide(epoch.Add(time.Second), c, nil).Hedge {
			hedges++
		}
	}
	if hedges != minRetries {
		t.Errorf("hedges = %d, want %d", hedges, minRetries)
	}
	c.Idempotent, c.Claimed, c.Budget = false, true, NewBudget(1)
	if Decide(epoch.Add(time.Second), c, nil).Hedge {
		t.Error("hedged a non-idempotent call")
	}
}

// Guards against retries that exceed their fraction of the requests, and against a budget that
// counts requests that have left the window.
func TestBudget(t *testing.T) {
	b := NewBudget(0.1)
	now := epoch
	granted := 0
	for i := range 10_000 {
		now = epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		b.RecordRequest(now)
		if b.Allow(now) {
			granted++
		}
	}
	if granted < 990 || granted > 1050 {
		t.Errorf("granted %d retries for 10000 requests, want about 1000", granted)
	}
	now = now.Add(time.Minute)
	for i := range minRetries + 1 {
		if got := b.Allow(now); got != (i < minRetries) {
			t.Errorf("retry %d without traffic: allowed = %v", i, got)
		}
	}
}

// Guards against a call that fails while other hosts could serve it: attempts that were not
// dispatched put no load on a pool, so a burst of them must not exhaust the budget.
func TestUndispatchedAttemptsDoNotUseBudget(t *testing.T) {
	b := NewBudget(0)
	c := Call{Idempotent: true, Attempt: 1, Budget: b, Rand: newRand()}
	for i := range 10 * minRetries {
		if !Decide(epoch, c, &errs.Unavailable{Resource: "peer e2", Reason: "connection refused"}).Retry {
			t.Fatalf("attempt %d was not retried", i)
		}
	}
	overloaded := &errs.Overloaded{Resource: "pool sorting"}
	for i := range minRetries + 1 {
		if got := Decide(epoch, c, overloaded).Retry; got != (i < minRetries) {
			t.Errorf("retry %d to an overloaded pool: %v", i, got)
		}
	}
}

// Guards against a delay outside the documented range.
func TestBackoff(t *testing.T) {
	r := newRand()
	for attempt := range 100 {
		limit := min(BackoffMax, BackoffBase<<max(0, min(attempt, 10)-1))
		if d := Backoff(r, attempt); d < limit/2 || d > limit {
			t.Errorf("attempt %d: %s, want %s to %s", attempt, d, limit/2, limit)
		}
	}
}

func beginCommand(key, digest, host string, incarnation uint64, at int64) ClaimCommand {
	return ClaimCommand{Kind: Begin, Tenancy: "desk", Key: key, Digest: digest, Host: host, Incarnation: incarnation, At: at, TTLMillis: 1000}
}

func finishCommand(key, host string, incarnation, grant uint64, o Outcome, answer string) ClaimCommand {
	return ClaimCommand{Kind: Finish, Tenancy: "desk", Key: key, Host: host, Incarnation: incarnation, GrantID: grant, Outcome: o, Answer: []byte(answer)}
}

// Guards against a second run of a non-idempotent request in specific sequences of commands (P6).
func TestClaimDecisions(t *testing.T) {
	c := NewClaimTable()
	steps := []struct {
		cmd  ClaimCommand
		want ClaimStatus
	}{
		{beginCommand("k", "d", "h1", 1, 0), Granted}, // grant 1
		{beginCommand("k", "d", "h1", 1, 0), InProgress},
		{beginCommand("k", "d", "h2", 1, 0), InProgress},
		{beginCommand("k", "x", "h2", 1, 0), ClaimConflict},
		{finishCommand("k", "h2", 1, 1, Ran, "no"), NotHolder},
		{finishCommand("k", "h1", 2, 1, Ran, "no"), NotHolder},
		{finishCommand("k", "h1", 1, 1, NotRun, ""), Released},
		{beginCommand("k", "x", "h1", 1, 1), Granted}, // grant 2
		{finishCommand("k", "h1", 1, 1, NotRun, ""), NotHolder},
		{finishCommand("k", "h1", 1, 2, Ran, "yes"), Done},
		{finishCommand("k", "h1", 1, 2, NotRun, ""), Done},
		{beginCommand("k", "x", "h3", 1, 2), Done},
		{beginCommand("m", "d", "h1", 1, 3), Granted}, // grant 3
		{ClaimCommand{Kind: HostLost, Host: "h1", Incarnation: 1}, Applied},
		{finishCommand("m", "h1", 1, 3, Ran, "late"), ClaimUnknown},
		{beginCommand("m", "d", "h2", 1, 4), ClaimUnknown},
		{beginCommand("n", "d", "h1", 1, 4), Stale},
		{beginCommand("n", "d", "h1", 2, 4), Granted}, // grant 4
		{ClaimCommand{Kind: Expire, At: 5000}, Applied},
		{beginCommand("n", "d", "h2", 1, 5000), ClaimUnknown},
		{beginCommand("m", "d", "h2", 1, 5000), ClaimUnknown},
		{beginCommand("k", "x", "h1", 2, 2), Stale},
		{beginCommand("k", "x", "h1", 2, 5000), Granted},
		{ClaimCommand{Kind: Begin, At: 1}, ClaimInvalid},
	}
	for i, step := range steps {
		if r := c.Apply(step.cmd); r.Status != step.want {
			t.Errorf("step %d: %s, want %s", i, r.Status, step.want)
		}
	}
}

func Example_claims() {
	c := NewClaimTable()
	r := c.Apply(beginCommand("order-1", "body", "host-1", 7, 0))
	fmt.Println(r.Status)
	fmt.Println(c.Apply(beginCommand("order-1", "body", "host-2", 3, 1)).Status)
	c.Apply(finishCommand("order-1", "host-1", 7, r.GrantID, Ran, "confirmed"))
	fmt.Println(string(c.Apply(beginCommand("order-1", "body", "host-2", 3, 2)).Answer))
	// Output:
	// granted
	// in_progress
	// confirmed
}
