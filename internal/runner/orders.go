package runner

import (
	"context"
	"time"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/schedule"
)

const (
	// orderTimeout bounds one call to an engine.
	orderTimeout = 800 * time.Millisecond
	// leaseReserve is the least time that the lease must still run when an order is sent.
	leaseReserve = 150 * time.Millisecond
)

// orderState is what is known of an engine's orders.
type orderState struct {
	born int64
	// orders is the engine's count of accepted orders; it is asked for when not known.
	orders uint64
	known  bool
	// fenced is set when the engine refused the fencing token of this term: another leader has
	// given it orders.
	fenced bool
}

// giveOrders orders engines to load weights. A new leader first waits until orders of an earlier
// one cannot arrive any more.
func (r *Runner) giveOrders(now time.Time) {
	if r.term > 0 && now.Sub(r.since) < r.o.OrderWait && r.term > firstTerm {
		return
	}
	for _, l := range r.sched.PlanLoads(now, r.named) {
		t, known := r.o.View.Target(l.Engine)
		st := r.orders[l.Engine]
		if known && (st == nil || st.born != t.Incarnation) {
			st = &orderState{born: t.Incarnation}
			r.orders[l.Engine] = st
		}
		if !known || st.fenced {
			r.sched.RecordLoadOrder(now, l, false)
			continue
		}
		r.order(l, t.Address, *st)
	}
}

// firstTerm is the first term that can have a leader, so that no earlier one gave orders.
const firstTerm = 2

// order gives one order in a duty of its own.
func (r *Runner) order(l schedule.LoadOrder, address string, st orderState) {
	o := dialect.Order{Instance: l.Engine, Model: l.Model, Version: l.Version, KeepRuns: r.mayMix(l.Model), Holder: r.o.Holder, Fence: r.term}
	ctx, term := r.ctx, r.term
	r.kern.Go("runner/order", func(context.Context) error {
		weights := make(map[string]uint64)
		acceptance, err := r.send(ctx, address, &o, &st, weights)
		r.post(term, func(now time.Time) { r.ordered(now, l, o, st, acceptance, weights, err) })
		return nil
	})
}

// mayMix tells whether runs of a model may go on under a new version.
func (r *Runner) mayMix(model string) bool {
	for _, j := range r.jobs {
		if j.Model == model && j.SingleVersion {
			return false
		}
	}
	return true
}

// send asks for the engine's count of orders if it is not known, and sends the order. It checks
// the lease just before it sends.
func (r *Runner) send(ctx context.Context, address string, o *dialect.Order, st *orderState, weights map[string]uint64) (dialect.Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if !st.known {
		report, err := r.o.Calls.Report(ctx, address, o.Instance)
		if err != nil {
			return dialect.Unclear, err
		}
		st.orders, st.known = report.Orders, true
		for model, v := range report.Weights {
			weights[model] = v
		}
		if weights[o.Model] >= o.Version {
			return dialect.Held, nil
		}
		if report.Busy {
			st.known = false
			return dialect.Changed, nil
		}
	}
	now := bootclock.Now()
	if until, ok := r.o.Group.Lease(now); !ok || until.Sub(now) < leaseReserve {
		return dialect.Changed, nil
	}
	o.Orders = st.orders
	return r.o.Calls.Order(ctx, address, *o)
}

func (r *Runner) ordered(now time.Time, l schedule.LoadOrder, o dialect.Order, st orderState, a dialect.Acceptance, weights map[string]uint64, err error) {
	args := []any{"engine", l.Engine, "model", l.Model, "version", l.Version, "fence", o.Fence, "orders", st.orders, "keep_runs", o.KeepRuns,
		"acceptance", a.String()}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	r.o.Log.Info("order given", args...)
	r.metrics.orders.Inc(a.String())
	switch a {
	case dialect.Accepted:
		st.orders++
	case dialect.Fenced:
		st.fenced = true
	case dialect.Held:
	default:
		st.known = false
	}
	if current := r.orders[l.Engine]; current != nil && current.born == st.born {
		*current = st
	}
	for model, v := range weights {
		r.sched.RecordLoaded(now, l.Engine, model, v)
	}
	if a == dialect.Held {
		r.sched.RecordLoaded(now, l.Engine, l.Model, l.Version)
	}
	r.sched.RecordLoadOrder(now, l, a == dialect.Accepted)
}
