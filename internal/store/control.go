package store

import (
	"context"
	"log/slog"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/routes"
)

// callTimeout bounds a call of an operator or trainer. Callers try another host after a second without
// an answer.
const callTimeout = 950 * time.Millisecond

// Control implements the calls of operators, trainers and targets.
type Control struct{ st *Store }

// Logger returns the logger for these calls.
func (c *Control) Logger() *slog.Logger { return c.st.opts.Log }

// Stopping reports whether the host is shutting down and takes no more calls.
func (c *Control) Stopping() bool { return c.st.stopping() }

// PutConfig puts a configuration into force. source is the document as the operator sent it.
func (c *Control) PutConfig(ctx context.Context, cfg *routes.Config, source []byte) error {
	if err := cfg.Validate(); err != nil {
		c.st.opts.Log.Warn("configuration refused", "version", cfg.Version, "error", err)
		return err
	}
	put := storestate.PutConfig{Version: cfg.Version, Body: clusterview.EncodeConfig(cfg), Source: source}
	var reply storestate.Reply
	call, err := c.do(ctx, callPutConfig, func(ctx context.Context) (err error) {
		reply, err = c.st.leaderClient.PutConfig(ctx, put)
		return err
	})
	call.finish("configuration stored", err, "version", cfg.Version, "changed", reply.Changed, "in_force", reply.Version, "routes", len(cfg.Routes))
	return err
}

// Config returns the configuration in force as the operator sent it.
func (c *Control) Config(ctx context.Context) (source []byte, err error) {
	call, err := c.do(ctx, callReadConfig, func(ctx context.Context) error {
		stored, err := c.st.leaderClient.Config(ctx)
		source = stored.Source
		return err
	})
	call.finishRead("configuration read", err)
	return source, err
}

// PutVersion stores a weight version of a model unless the same or a higher one is stored.
func (c *Control) PutVersion(ctx context.Context, model string, version uint64) error {
	call, err := c.do(ctx, callPutVersion, func(ctx context.Context) error {
		return c.st.leaderClient.PutVersion(ctx, model, version)
	})
	call.finish("weight version stored", err, "model", model, "version", version)
	return err
}

// Retire starts the retirement of a store host, after which it holds no replica of the state.
func (c *Control) Retire(ctx context.Context, host string) error {
	call, err := c.do(ctx, callRetire, func(ctx context.Context) error { return c.st.leaderClient.Retire(ctx, host) })
	call.finish("store host retirement requested", err, "store", host)
	return err
}

// IsRetired reports whether a store host that is being retired holds no replica any more.
func (c *Control) IsRetired(ctx context.Context, host string) (retired bool, err error) {
	call, err := c.do(ctx, callReadRetire, func(ctx context.Context) (err error) {
		retired, err = c.st.leaderClient.Retired(ctx, host)
		return err
	})
	call.finishRead("store host retirement read", err, "store", host)
	return retired, err
}

// HandleHeartbeat processes a heartbeat of a target. If the target is draining, it returns errs.Unavailable
// unless the departure is stored and reaches the other hosts, so that the target also tells another host.
func (c *Control) HandleHeartbeat(ctx context.Context, t fleet.Target) error {
	c.st.view.UpdateTarget(t)
	if t.State == fleet.Ready {
		return nil
	}
	return c.storeDeparture(ctx, fleet.Departure{Target: t.ID, Incarnation: t.Incarnation})
}

// DeregisterTarget processes the deregistration of a target. It returns errs.Unavailable for an unknown target, so
// that the target tries a host that knows it, and if the departure is not stored or does not reach the other hosts.
// The same holds for a target that has just started anew, since the call may be a late one of its earlier incarnation.
func (c *Control) DeregisterTarget(ctx context.Context, id string) error {
	if c.st.view.JustRestarted(id) {
		return c.refuseDeparture(fleet.Departure{Target: id}, "the target has just started anew; its earlier incarnation may have sent the call")
	}
	d, known := c.st.view.MarkTargetGone(id)
	if !known {
		return &errs.Unavailable{Resource: "target " + id, Reason: "it is not registered on this host", Outcome: errs.NotRun}
	}
	return c.storeDeparture(ctx, d)
}

// refuseDeparture logs why a departure is not acknowledged, and returns the error for the target.
func (c *Control) refuseDeparture(d fleet.Departure, reason string) error {
	c.st.opts.Log.Warn("departure of a target not acknowledged", "target", d.Target, "incarnation", d.Incarnation, "reason", reason,
		"majority_age_ms", c.st.view.MajorityAge().Milliseconds())
	return &errs.Unavailable{Resource: "departure of target " + d.Target, Reason: reason, Outcome: errs.NotRun}
}

// storeDeparture stores a departure in the state group. What is acknowledged to the target must outlive a
// restart of all hosts: a late heartbeat would bring the target back.
func (c *Control) storeDeparture(ctx context.Context, d fleet.Departure) error {
	if !c.st.view.Publishes(c.st.opts.Settings.IP) {
		return c.refuseDeparture(d, "this host reaches no voter")
	}
	if c.st.view.UsesLater(d) {
		return c.refuseDeparture(d, "a later start of the target is in use")
	}
	if c.st.departures.covers(d) {
		return nil
	}
	call, err := c.do(ctx, callDepartTarget, func(ctx context.Context) error { return c.st.leaderClient.DepartTarget(ctx, d) })
	if err == nil {
		c.st.departures.add(d)
	}
	call.finish("target departure stored", err, "target", d.Target, "incarnation", d.Incarnation)
	return err
}
