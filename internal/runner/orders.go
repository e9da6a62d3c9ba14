package runner

import (
	"context"
	"time"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/schedule"
)

// orderTimeout bounds one order, including the request for the engine's report if there is one.
const orderTimeout = 800 * time.Millisecond

// orderState is what the leader knows about the orders that one incarnation of an engine has accepted.
type orderState struct {
	incarnation int64 // start of the incarnation, Unix milliseconds
	// accepted is the engine's count of accepted orders. It is valid only if countKnown is set;
	// otherwise the engine is asked for a report before the next order.
	accepted   uint64
	countKnown bool
	// fenced is set when the engine has rejected this term's fencing token, because a newer
	// leader has sent it an order.
	fenced bool
	// pending is the number of orders in progress.
	pending int
}

// isPending reports whether an order to the engine is in progress. The state may be nil.
func (s *orderState) isPending() bool { return s != nil && s.pending > 0 }

// issueOrders sends engines the orders to load weights that the scheduler asks for. A new leader
// first waits until orders of an earlier leader can no longer arrive.
func (r *Runner) issueOrders(now time.Time) {
	if !r.opts.Tenure.Settled(now) {
		return
	}
	for _, load := range r.sched.PlanLoads(now, r.publishedVersions) {
		t, known := r.opts.View.Target(load.Engine)
		st := r.orderStates[load.Engine]
		if known && (st == nil || st.incarnation != t.Incarnation) {
			st = &orderState{incarnation: t.Incarnation}
			r.orderStates[load.Engine] = st
		}
		if !known || st.fenced || !r.opts.View.Accepts(t.ID, t.Incarnation) {
			r.sched.RecordLoadOrder(now, load, false)
			continue
		}
		st.pending++
		r.issueOrder(load, t.Address, *st)
	}
}

// issueOrder sends one order in its own goroutine.
func (r *Runner) issueOrder(load schedule.LoadOrder, address string, st orderState) {
	o := dialect.Order{Instance: load.Engine, Model: load.Model, Version: load.Version, KeepRuns: r.allowsMixedVersions(load.Model), Holder: r.opts.Holder, Fence: r.term}
	ctx, term := r.ctx, r.term
	accepts := func() bool { return r.opts.View.Accepts(load.Engine, st.incarnation) }
	admit := func(ctx context.Context) error { return r.opts.Limiter.Wait(ctx, load.Engine, st.incarnation) }
	r.kernel.Go("runner/order", func(context.Context) error {
		weights := make(map[string]uint64)
		answer, err := r.sendOrder(ctx, address, &o, &st, weights, accepts, admit)
		r.enqueue(term, func(now time.Time) { r.handleOrderReply(now, load, o, st, answer, weights, err) })
		return nil
	})
}

// allowsMixedVersions reports whether running items of a model may continue under a new weight
// version. They may not if an open job requires a single version.
func (r *Runner) allowsMixedVersions(model string) bool {
	for _, j := range r.jobs {
		if j.Model == model && j.SingleVersion {
			return false
		}
	}
	return true
}

// sendOrder sends an order. If the engine's order count is unknown, it requests a report first. It
// checks the leader lease immediately before sending, so that two hosts never send orders at once.
// It adds the versions that the engine reports to weights. It returns Changed without sending the order
// if the engine is executing another order, no longer accepts work, states a limit that leaves no room, or the lease
// is too short; the order count is then handled as unknown. admit waits for room at the engine.
func (r *Runner) sendOrder(ctx context.Context, address string, o *dialect.Order, st *orderState, weights map[string]uint64, accepts func() bool, admit func(context.Context) error) (dialect.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !st.countKnown {
		if err := admit(ctx); err != nil {
			return dialect.OrderConflict, nil
		}
		report, err := r.opts.EngineClient.FetchReport(ctx, address, o.Instance)
		if err != nil {
			return dialect.OrderUnknown, err
		}
		st.accepted, st.countKnown = report.AcceptedOrders, true
		for model, v := range report.Weights {
			weights[model] = v
		}
		if weights[o.Model] >= o.Version {
			return dialect.OrderAlreadyDone, nil
		}
		if report.Busy {
			st.countKnown = false
			return dialect.OrderConflict, nil
		}
	}
	if err := admit(ctx); err != nil {
		return dialect.OrderConflict, nil
	}
	if !r.opts.Tenure.Leased(bootclock.Now()) || !accepts() {
		return dialect.OrderConflict, nil
	}
	o.ExpectedOrders = st.accepted
	return r.opts.EngineClient.SendOrder(ctx, address, *o)
}

// handleOrderReply records the answer to an order and the weights that the engine reported.
func (r *Runner) handleOrderReply(now time.Time, load schedule.LoadOrder, o dialect.Order, st orderState, answer dialect.OrderResult, weights map[string]uint64, err error) {
	args := []any{"engine", load.Engine, "model", load.Model, "version", load.Version, "fence", o.Fence, "orders", st.accepted, "keep_runs", o.KeepRuns,
		"acceptance", answer.String()}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	r.opts.Log.Info("order result", args...)
	r.metrics.orders.Inc(answer.String())
	switch answer {
	case dialect.OrderAccepted:
		st.accepted++
	case dialect.OrderFenced:
		st.fenced = true
	case dialect.OrderAlreadyDone:
	default:
		st.countKnown = false
	}
	if current := r.orderStates[load.Engine]; current != nil && current.incarnation == st.incarnation {
		st.pending = current.pending - 1
		*current = st
	}
	for model, v := range weights {
		r.sched.RecordLoaded(now, load.Engine, model, v)
	}
	if answer == dialect.OrderAlreadyDone {
		r.sched.RecordLoaded(now, load.Engine, load.Model, load.Version)
	}
	r.sched.RecordLoadOrder(now, load, answer == dialect.OrderAccepted)
}
