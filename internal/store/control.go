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

// callTimeout bounds a call of an operator or trainer. They turn to another host after a second
// without an answer.
const callTimeout = 950 * time.Millisecond

// Control carries out the calls of operators, trainers and targets.
type Control struct{ st *Store }

// Logger returns the logger for the lines of these calls.
func (c *Control) Logger() *slog.Logger { return c.st.o.Log }

// Stopping tells whether the host is about to end and takes no more calls.
func (c *Control) Stopping() bool { return c.st.stopping() }

// PutConfig puts a configuration into force. source is the document as the operator sent it.
func (c *Control) PutConfig(ctx context.Context, cfg *routes.Config, source []byte) error {
	if err := cfg.Validate(); err != nil {
		c.st.o.Log.Warn("configuration refused", "version", cfg.Version, "error", err)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.st.calls.PutConfig(ctx, storestate.PutConfig{Version: cfg.Version, Body: clusterview.EncodeConfig(cfg), Source: source})
	c.log("configuration stored", err, "version", cfg.Version, "changed", reply.Changed, "in_force", reply.Version, "routes", len(cfg.Routes))
	return err
}

// log writes one line for a call that changes what the hosts believe.
func (c *Control) log(message string, err error, args ...any) {
	if err != nil {
		c.st.o.Log.Warn(message, append(args, "error", err.Error())...)
		return
	}
	c.st.o.Log.Info(message, args...)
}

// Config returns the newest configuration as the operator sent it.
func (c *Control) Config(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, err := c.st.calls.Config(ctx)
	return p.Source, err
}

// PutVersion names a weight version of a model.
func (c *Control) PutVersion(ctx context.Context, model string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.st.calls.PutVersion(ctx, model, version)
	c.log("weight version named", err, "model", model, "version", version)
	return err
}

// Retire starts to empty a store host.
func (c *Control) Retire(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.st.calls.Retire(ctx, host)
	c.log("store host is to be emptied", err, "store", host)
	return err
}

// IsRetired tells whether a store host is empty.
func (c *Control) IsRetired(ctx context.Context, host string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.st.calls.Retired(ctx, host)
}

// HandleHeartbeat takes in the heartbeat of a target.
func (c *Control) HandleHeartbeat(t fleet.Target) { c.st.view.UpdateTarget(t) }

// DeregisterTarget takes in that a target ends. A target that is not known is refused, so that it turns to
// a host that knows it.
func (c *Control) DeregisterTarget(id string) error {
	if !c.st.view.MarkTargetGone(id) {
		return &errs.Unavailable{Resource: "target " + id, Reason: "it is not known here", Result: errs.NotRun}
	}
	return nil
}
