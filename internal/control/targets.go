package control

import (
	"context"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
)

// HandleHeartbeat processes a heartbeat of a target. If the target is draining, it returns errs.Unavailable
// unless the departure is stored and reaches the other hosts, so that the target also tells another host.
func (c *Control) HandleHeartbeat(ctx context.Context, t fleet.Target) error {
	if !c.recordsTargets() {
		return c.redirect(t.ID)
	}
	c.opts.View.UpdateTarget(t)
	if t.State == fleet.Ready {
		return nil
	}
	return c.storeDeparture(ctx, fleet.Departure{Target: t.ID, Incarnation: t.Incarnation})
}

// DeregisterTarget processes the deregistration of a target. It returns errs.Unavailable for an unknown target, so
// that the target tries a host that knows it, and if the departure is not stored or does not reach the other hosts.
// The same holds for a target that has just started anew, since the call may be a late one of its earlier incarnation.
func (c *Control) DeregisterTarget(ctx context.Context, id string) error {
	if !c.recordsTargets() {
		return c.redirect(id)
	}
	if c.opts.View.JustRestarted(id) {
		return c.refuseDeparture(fleet.Departure{Target: id}, "the target has just started anew; its earlier incarnation may have sent the call")
	}
	d, known := c.opts.View.MarkTargetGone(id)
	if !known {
		return &errs.Unavailable{Resource: "target " + id, Reason: "it is not registered on this host", Outcome: errs.NotRun}
	}
	return c.storeDeparture(ctx, d)
}

// refuseDeparture logs why a departure is not acknowledged, and returns the error for the target.
func (c *Control) refuseDeparture(d fleet.Departure, reason string) error {
	c.opts.Log.Warn("departure of a target not acknowledged", "target", d.Target, "incarnation", d.Incarnation, "reason", reason,
		"majority_age_ms", c.opts.View.MajorityAge().Milliseconds())
	return &errs.Unavailable{Resource: "departure of target " + d.Target, Reason: reason, Outcome: errs.NotRun}
}

// storeDeparture stores a departure in the state group. What is acknowledged to the target must outlive a
// restart of all hosts: a late heartbeat would bring the target back.
func (c *Control) storeDeparture(ctx context.Context, d fleet.Departure) error {
	if !c.opts.View.Publishes(c.opts.SelfIP) {
		return c.refuseDeparture(d, "this host reaches no voter")
	}
	if c.opts.View.UsesLater(d) {
		return c.refuseDeparture(d, "a later start of the target is in use")
	}
	if c.opts.Departures.Covers(d) {
		return nil
	}
	call, err := c.do(ctx, callDepartTarget, func(ctx context.Context) error { return c.opts.Client.DepartTarget(ctx, d) })
	if err == nil {
		c.opts.Departures.Add(d)
	}
	call.finish("target departure stored", err, "target", d.Target, "incarnation", d.Incarnation)
	return err
}
