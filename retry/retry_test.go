package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaflow/errs"
)

var epoch = time.Unix(1e9, 0)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a repeated unsafe call (P6), a dishonest refusal (P5) and useless attempts.
func TestDecide(t *testing.T) {
	full := &errs.Overloaded{Resource: "pool sorting", After: 100 * time.Millisecond}
	broken := &errs.Interrupted{Operation: "generate", Reason: "reset"}
	deadline := epoch.Add(time.Second)
	cases := []struct {
		name   string
		call   Call
		err    error
		retry  bool
		refuse Outcome
	}{
		{"safe and unknown", Call{Idempotent: true}, broken, true, ""},
		{"safe and not run", Call{Idempotent: true}, full, true, ""},
		{"unsafe and unknown", Call{Claimed: true}, broken, false, Unknown},
		{"unsafe, claimed, not run", Call{Claimed: true}, full, true, ""},
		{"unsafe, no claim, not run", Call{}, full, false, NotRun},
		{"unsafe, earlier attempt unknown", Call{Claimed: true, EarlierOutcome: Unknown}, full, false, Unknown},
		{"earlier attempt unknown, no time", Call{Idempotent: true, EarlierOutcome: Unknown, Expected: time.Second, Deadline: deadline}, full, false, Unknown},
		{"ran", Call{Idempotent: true}, &errs.Unavailable{Result: Ran}, false, Ran},
		{"invalid", Call{Idempotent: true}, &errs.Invalid{}, false, NotRun},
		{"too many attempts", Call{Idempotent: true, Attempt: DefaultMaxAttempts}, full, false, NotRun},
		{"delay beyond deadline", Call{Idempotent: true, Expected: 901 * time.Millisecond, Deadline: deadline}, full, false, NotRun},
		{"delay within deadline", Call{Idempotent: true, Expected: 900 * time.Millisecond, Deadline: deadline}, full, true, ""},
	}
	for _, c := range cases {
		c.call.Attempt = max(c.call.Attempt, 1)
		c.call.Budget, c.call.Rand = NewBudget(0.1), rng()
		d := Decide(epoch, c.call, c.err)
		if d.Retry != c.retry || d.FinalOutcome != c.refuse || d.Hedge {
			t.Errorf("%s: %+v", c.name, d)
		}
		if d.Retry && d.After < errs.RetryAfterOf(c.err) {
			t.Errorf("%s: retry after %s", c.name, d.After)
		}
	}
}

// Guards against a hedge of an unsafe call, or one outside the budget.
func TestHedge(t *testing.T) {
	c := Call{Idempotent: true, Attempt: 1, Started: epoch, HedgeAfter: time.Second, Budget: NewBudget(0), Rand: rng()}
	if Decide(epoch.Add(999*time.Millisecond), c, nil).Hedge {
		t.Error("hedged too early")
	}
	hedges := 0
	for range 10 {
		if Decide(epoch.Add(time.Second), c, nil).Hedge {
			hedges++
		}
	}
	if hedges != budgetFloor {
		t.Errorf("hedges = %d, want %d", hedges, budgetFloor)
	}
	c.Idempotent, c.Claimed, c.Budget = false, true, NewBudget(1)
	if Decide(epoch.Add(time.Second), c, nil).Hedge {
		t.Error("hedged an unsafe call")
	}
}

// Guards against retries that outgrow their share of traffic, and against a budget that
// remembers traffic of an earlier period.
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
	for i := range budgetFloor + 1 {
		if got := b.Allow(now); got != (i < budgetFloor) {
			t.Errorf("retry %d without traffic: %v", i, got)
		}
	}
}

// Guards against refusals by a host while others could serve: attempts that reached nobody load
// no pool, and a burst of them must not use up the budget.
func TestAttemptsThatReachedNobodyAreNotCounted(t *testing.T) {
	b := NewBudget(0)
	c := Call{Idempotent: true, Attempt: 1, Budget: b, Rand: rng()}
	for i := range 10 * budgetFloor {
		if !Decide(epoch, c, &errs.Unavailable{Resource: "peer e2", Reason: "connection refused"}).Retry {
			t.Fatalf("attempt %d is not repeated", i)
		}
	}
	full := &errs.Overloaded{Resource: "pool sorting"}
	for i := range budgetFloor + 1 {
		if got := Decide(epoch, c, full).Retry; got != (i < budgetFloor) {
			t.Errorf("retry %d of a full pool: %v", i, got)
		}
	}
}

// Guards against delays outside their range.
func TestBackoff(t *testing.T) {
	r := rng()
	for attempt := range 100 {
		limit := min(BackoffMax, BackoffBase<<max(0, min(attempt, 10)-1))
		if d := Backoff(r, attempt); d < limit/2 || d > limit {
			t.Errorf("attempt %d: %s, want %s to %s", attempt, d, limit/2, limit)
		}
	}
}

func begin(key, digest, host string, inc uint64, at int64) ClaimCommand {
	return ClaimCommand{Kind: Begin, Tenancy: "desk", Key: key, Digest: digest, Host: host, Incarnation: inc, At: at, TTLMillis: 1000}
}

func finish(key, host string, inc, grant uint64, o Outcome, answer string) ClaimCommand {
	return ClaimCommand{Kind: Finish, Tenancy: "desk", Key: key, Host: host, Incarnation: inc, GrantID: grant, Outcome: o, Answer: []byte(answer)}
}

// Guards against a second run of an unsafe request, case by case (P6).
func TestClaimDecisions(t *testing.T) {
	c := NewClaimTable()
	steps := []struct {
		cmd  ClaimCommand
		want ClaimStatus
	}{
		{begin("k", "d", "h1", 1, 0), Granted}, // grant 1
		{begin("k", "d", "h1", 1, 0), InProgress},
		{begin("k", "d", "h2", 1, 0), InProgress},
		{begin("k", "x", "h2", 1, 0), ClaimConflict},
		{finish("k", "h2", 1, 1, Ran, "no"), NotHolder},
		{finish("k", "h1", 2, 1, Ran, "no"), NotHolder},
		{finish("k", "h1", 1, 1, NotRun, ""), Released},
		{begin("k", "x", "h1", 1, 1), Granted}, // grant 2
		{finish("k", "h1", 1, 1, NotRun, ""), NotHolder},
		{finish("k", "h1", 1, 2, Ran, "yes"), Done},
		{finish("k", "h1", 1, 2, NotRun, ""), Done},
		{begin("k", "x", "h3", 1, 2), Done},
		{begin("m", "d", "h1", 1, 3), Granted}, // grant 3
		{ClaimCommand{Kind: HostLost, Host: "h1", Incarnation: 1}, Applied},
		{finish("m", "h1", 1, 3, Ran, "late"), ClaimUnknown},
		{begin("m", "d", "h2", 1, 4), ClaimUnknown},
		{begin("n", "d", "h1", 1, 4), Stale},
		{begin("n", "d", "h1", 2, 4), Granted}, // grant 4
		{ClaimCommand{Kind: Expire, At: 5000}, Applied},
		{begin("n", "d", "h2", 1, 5000), ClaimUnknown},
		{begin("m", "d", "h2", 1, 5000), ClaimUnknown},
		{begin("k", "x", "h1", 2, 2), Stale},
		{begin("k", "x", "h1", 2, 5000), Granted},
		{ClaimCommand{Kind: Begin, At: 1}, ClaimInvalid},
	}
	for i, st := range steps {
		if r := c.Apply(st.cmd); r.Status != st.want {
			t.Errorf("step %d: %s, want %s", i, r.Status, st.want)
		}
	}
}

func ExampleClaims() {
	c := NewClaimTable()
	r := c.Apply(begin("order-1", "body", "host-1", 7, 0))
	fmt.Println(r.Status)
	fmt.Println(c.Apply(begin("order-1", "body", "host-2", 3, 1)).Status)
	c.Apply(finish("order-1", "host-1", 7, r.GrantID, Ran, "confirmed"))
	fmt.Println(string(c.Apply(begin("order-1", "body", "host-2", 3, 2)).Answer))
	// Output:
	// granted
	// in_progress
	// confirmed
}
