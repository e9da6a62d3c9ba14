package runner

import (
	"context"
	"time"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/schedule"
)

const (
	// orderTimeout bounds one order, including the report that may precede it.
	orderTimeout = 800 * time.Millisecond
	// minLeaseRemaining is the minimum remaining leader lease for sending an order.
	minLeaseRemaining = 150 * time.Millisecond
)

// orderState is the known order state of one incarnation of an engine.
type orderState struct {
	born int64 // start of the incarnation, Unix milliseconds
	// accepted is the engine's count of accepted orders. It is valid only if countKnown is set;
	// otherwise the engine is asked for a report before the next order.
	accepted   uint64
	countKnown bool
	// fenced is set when the engine has rejected this term's fencing token, because a newer
	// leader has sent it an order.
	fenced bool
}

// issueOrders sends engines the orders to load weights that the scheduler asks for. A new leader
// first waits for OrderWait, after which orders of an earlier leader can no longer arrive.
func (r *Runner) issueOrders(now time.Time) {
	if r.term > 0 && now.Sub(r.electedAt) < r.opts.OrderWait && r.term > firstLeaderTerm {
		return
	}
	for _, l := range r.sched.PlanLoads(now, r.publishedVersions) {
		t, known := r.opts.View.Target(l.Engine)
		st := r.orderStates[l.Engine]
		if known && (st == nil || st.born != t.Incarnation) {
			st = &orderState{born: t.Incarnation}
			r.orderStates[l.Engine] = st
		}
		if !known || st.fenced {
			r.sched.RecordLoadOrder(now, l, false)
			continue
		}
		r.issueOrder(l, t.Address, *st)
	}
}

// firstLeaderTerm is the first term that can have a leader. In it no earlier leader can have sent
// orders, so that the wait is skipped.
const firstLeaderTerm = 2

// issueOrder sends one order in its own goroutine.
func (r *Runner) issueOrder(l schedule.LoadOrder, address string, st orderState) {
	o := dialect.Order{Instance: l.Engine, Model: l.Model, Version: l.Version, KeepRuns: r.allowsMixedVersions(l.Model), Holder: r.opts.Holder, Fence: r.term}
	ctx, term := r.ctx, r.term
	r.kernel.Go("runner/order", func(context.Context) error {
		weights := make(map[string]uint64)
		acceptance, err := r.sendOrder(ctx, address, &o, &st, weights)
		r.enqueue(term, func(now time.Time) { r.handleOrderReply(now, l, o, st, acceptance, weights, err) })
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

// sendOrder sends an order, after a request for the engine's order count if that is unknown. It
// checks the leader lease immediately before sending, so that two hosts never send orders at once.
// It adds the versions that the engine reports to weights.
func (r *Runner) sendOrder(ctx context.Context, address string, o *dialect.Order, st *orderState, weights map[string]uint64) (dialect.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !st.countKnown {
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
	now := bootclock.Now()
	if until, ok := r.opts.Group.Lease(now); !ok || until.Sub(now) < minLeaseRemaining {
		return dialect.OrderConflict, nil
	}
	o.ExpectedOrders = st.accepted
	return r.opts.EngineClient.SendOrder(ctx, address, *o)
}

// handleOrderReply records the answer to an order and the weights that the engine reported.
func (r *Runner) handleOrderReply(now time.Time, l schedule.LoadOrder, o dialect.Order, st orderState, a dialect.OrderResult, weights map[string]uint64, err error) {
	args := []any{"engine", l.Engine, "model", l.Model, "version", l.Version, "fence", o.Fence, "orders", st.accepted, "keep_runs", o.KeepRuns,
		"acceptance", a.String()}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	r.opts.Log.Info("order result", args...)
	r.metrics.orders.Inc(a.String())
	switch a {
	case dialect.OrderAccepted:
		st.accepted++
	case dialect.OrderFenced:
		st.fenced = true
	case dialect.OrderAlreadyDone:
	default:
		st.countKnown = false
	}
	if current := r.orderStates[l.Engine]; current != nil && current.born == st.born {
		*current = st
	}
	for model, v := range weights {
		r.sched.RecordLoaded(now, l.Engine, model, v)
	}
	if a == dialect.OrderAlreadyDone {
		r.sched.RecordLoaded(now, l.Engine, l.Model, l.Version)
	}
	r.sched.RecordLoadOrder(now, l, a == dialect.OrderAccepted)
}
