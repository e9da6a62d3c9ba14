package forward

import (
	"context"
	"slices"
	"time"

	"fuchsiaflow/balance"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/routes"
)

// pickTarget selects a target that is not in tried and reports the start of an attempt to the balancer. A target that
// states a limit must admit the attempt.
func (c *call) pickTarget(ctx context.Context) (choice, bool) {
	for {
		cand, ok := c.chooseFrom(c.candidates())
		if !ok || !cand.Limited || c.admitted(ctx, &cand) {
			return cand, ok
		}
	}
}

// pickForHedge selects a target for a second attempt beside one in progress. Targets that state a limit are left to
// requests that need them.
func (c *call) pickForHedge() (choice, bool) {
	unlimited := slices.DeleteFunc(c.candidates(), func(cand balance.Candidate) bool { return cand.Limited })
	return c.chooseFrom(unlimited)
}

// candidates returns the targets that may be selected, without those that are known to have reached their limits, and
// sets limitWait.
func (c *call) candidates() []balance.Candidate {
	var list []balance.Candidate
	c.limitWait = 0
	for _, t := range c.forwarder.view.Serving(c.service) {
		if c.suspicion.excludes(&t) || !c.allows(t.Release) {
			continue
		}
		wait, limited := c.forwarder.limiter.RefusedFor(t.ID, t.Incarnation)
		if limited && slices.Contains(c.unadmitted, t.ID) {
			wait = max(wait, ratelimit.MinAskInterval)
		}
		if wait > 0 {
			if c.limitWait == 0 || wait < c.limitWait {
				c.limitWait = wait
			}
			continue
		}
		list = append(list, balance.Candidate{Target: t, Connected: c.forwarder.pool.HasIdle(t.Address), Limited: limited,
			Preferred: limited && c.checksLimit(t.ID)})
	}
	return list
}

// limitCheckEvery is the mean number of requests between two that prefer a target with a limit. Its answer tells
// whether the limit holds on, also while others take all requests.
const limitCheckEvery = 8

// checksLimit reports whether this request prefers a target if it states a limit.
func (c *call) checksLimit(target string) bool {
	return c.attempts == 0 && hashString(c.id+"/"+target)%limitCheckEvery == 0
}

// admitted asks for an attempt at a target with a limit. If the target has no room, the choice is withdrawn.
func (c *call) admitted(ctx context.Context, cand *choice) bool {
	err := c.forwarder.limiter.Acquire(ctx, cand.ID, cand.Incarnation)
	if err == nil {
		cand.admittedAt = bootclock.Now()
		return true
	}
	c.tried = slices.DeleteFunc(c.tried, func(id string) bool { return id == cand.ID })
	c.unadmitted = append(c.unadmitted, cand.ID)
	c.forwarder.mu.Lock()
	defer c.forwarder.mu.Unlock()
	c.forwarder.balancer.Withdrawn(cand.ID)
	return false
}

// chooseFrom selects a candidate that is not in tried and reports the start of an attempt to the balancer.
func (c *call) chooseFrom(list []balance.Candidate) (choice, bool) {
	c.forwarder.mu.Lock()
	defer c.forwarder.mu.Unlock()
	cand, refusal, ok := c.forwarder.balancer.PickWithin(bootclock.Now(), list, c.tried, c.timeLeft())
	c.retryWait, c.overloaded = refusal.Wait, refusal.Overloaded
	limit, _ := c.forwarder.view.RateLimit(cand.ID, cand.Incarnation)
	chosen := newChoice(cand, limit)
	if ok {
		c.tried = append(c.tried, cand.ID)
		chosen.inflight = c.forwarder.balancer.Started(cand.ID)
	}
	return chosen, ok
}

// pickFirstTarget selects the first target. If no target is known during the warmup period, it waits for
// one, because existing targets may not have announced themselves to this host yet.
func (c *call) pickFirstTarget(ctx context.Context) (choice, bool) {
	until := c.startedAt.Add(time.Duration(warmupFraction * float64(c.deadline.Sub(c.startedAt))))
	if end := c.forwarder.started.Add(warmupPeriod); end.Before(until) {
		until = end
	}
	for {
		changed := c.forwarder.view.Changed()
		cand, ok := c.pickTarget(ctx)
		remaining := until.Sub(bootclock.Now())
		if ok || c.retryWait > 0 || c.limitWait > 0 || remaining <= 0 {
			return cand, ok
		}
		select {
		case <-ctx.Done():
			return cand, false
		case <-changed:
		case <-time.After(remaining):
		}
	}
}

// timeLeft returns the time within which a request must be complete; 0 for a stream, which is of use before its end.
func (c *call) timeLeft() time.Duration {
	if c.route.Kind == routes.Stream {
		return 0
	}
	return max(c.deadline.Sub(bootclock.Now()), time.Millisecond)
}

// attemptFinished reports the outcome of an attempt to the balancer.
func (c *call) attemptFinished(cand choice, o balance.Outcome, took time.Duration) {
	c.forwarder.mu.Lock()
	defer c.forwarder.mu.Unlock()
	c.forwarder.balancer.FinishedAmong(bootclock.Now(), cand.ID, o, took, cand.inflight)
}
