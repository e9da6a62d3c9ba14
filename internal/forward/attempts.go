package forward

import (
	"context"
	"time"

	"fuchsiaflow/internal/observe"
)

// attemptSet has the attempts of a request whose response is read before it is passed on. It belongs to the goroutine of the
// request.
type attemptSet struct {
	*call
	results  chan *attemptResult
	pending  int            // attempts in progress
	fallback *attemptResult // failure of a target that is passed on if no attempt succeeds; nil if there is none
}

// roundTrip runs attempts until one succeeds or no more are allowed, and responds to the caller. A
// retryable request that is slow is also sent to a second target (a hedged request).
func (c *call) roundTrip(ctx context.Context) error {
	a := &attemptSet{call: c, results: make(chan *attemptResult, c.route.AttemptLimit()+1)}
	defer a.close()
	first, ok := c.pickFirstTarget(ctx)
	if !ok {
		c.failExhausted()
		return nil
	}
	a.send(ctx, first)
	hedgeTimer := time.NewTimer(max(time.Duration(hedgeFraction*float64(c.objective())), minHedgeDelay))
	defer hedgeTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return a.endInTime(ctx)
		case <-hedgeTimer.C:
			a.hedge(ctx)
		case res := <-a.results:
			a.pending--
			if res.kind == resultAnswered {
				return c.writeResponse(ctx, res)
			}
			a.keep(res)
			if !a.goesOn(ctx) {
				return a.end(ctx)
			}
		}
	}
}

// send starts an attempt at a target.
func (a *attemptSet) send(ctx context.Context, cand choice) {
	a.attempts++
	a.possibleRuns++ // decremented if the target reports that it did not run the request
	a.pending++
	window := a.usage.attemptSent()
	ctx, span := a.startSpan(ctx, cand.ID)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		res := a.attempt(ctx, cancel, cand)
		res.window = window
		observe.EndSpan(span, res.err)
		a.results <- res
	}()
}

// sendToNext starts an attempt at the next target. It returns false if there is none.
func (a *attemptSet) sendToNext(ctx context.Context) bool {
	cand, ok := a.pickTarget(ctx)
	if ok {
		a.send(ctx, cand)
	}
	return ok
}

// hedge starts a second attempt beside one in progress, if that is allowed.
func (a *attemptSet) hedge(ctx context.Context) {
	if a.pending == 0 || a.suspicion.careful || !a.retryable() {
		return
	}
	if cand, ok := a.pickForHedge(); ok {
		a.send(ctx, cand)
	}
}

// keep records an attempt that did not succeed. The first failure of a target that may be passed on becomes the fallback.
func (a *attemptSet) keep(res *attemptResult) {
	a.recordFailure(res)
	if res.kind == resultFailure && a.fallback == nil && a.mayPassOn(res.resp.StatusCode) {
		a.fallback = res
		return
	}
	res.close()
}

// goesOn reports whether an attempt is in progress, and starts one if that is allowed.
func (a *attemptSet) goesOn(ctx context.Context) bool {
	if a.pending > 0 && a.suspicion.careful {
		return true // at one target at a time
	}
	return a.retryable() && (a.sendToNext(ctx) || a.sendWhenFree(ctx)) || a.pending > 0
}

// sendWhenFree waits for capacity after all targets have rejected the request, and starts an attempt. It returns false if it starts
// none.
func (a *attemptSet) sendWhenFree(ctx context.Context) bool {
	return a.possibleRuns == 0 && a.pending == 0 && a.waitForCapacity(ctx) && a.sendToNext(ctx)
}

// end responds to the caller when no more attempts are possible.
func (a *attemptSet) end(ctx context.Context) error {
	if a.fallback != nil {
		return a.writeResponse(ctx, a.fallback)
	}
	a.failExhausted()
	return nil
}

// endInTime responds to the caller when the time is over.
func (a *attemptSet) endInTime(ctx context.Context) error {
	if a.fallback != nil {
		return a.writeResponse(ctx, a.fallback)
	}
	return a.failTimeout()
}

// close releases the attempts that were not passed on, also those that are still in progress.
func (a *attemptSet) close() {
	if a.fallback != nil {
		a.fallback.close()
	}
	go a.closePending()
}

// closePending waits for the attempts that are still in progress and closes their results. Nothing else uses the call
// meanwhile.
func (a *attemptSet) closePending() {
	for range a.pending {
		res := <-a.results
		if res.kind == resultNotRun {
			a.usage.attemptNotRun(res.window)
		}
		res.close()
	}
}
