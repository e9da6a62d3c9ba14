// Package control serves the calls of operators, trainers and targets. Any host takes calls of operators and trainers,
// and passes them to the leader of the state group. Store hosts record the reports of targets, and other hosts redirect
// them there.
package control

import (
	"context"
	"log/slog"
	"time"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/stateclient"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/routes"
)

// callTimeout bounds a call of an operator or trainer. Callers try another host after a second without
// an answer.
const callTimeout = 950 * time.Millisecond

// Options configures a Control. All fields are required unless their comment says otherwise.
type Options struct {
	View   *clusterview.View
	Client *stateclient.Client // calls the leader of the state group
	SelfIP string              // IP address of this host
	// Port is the port of these calls, the same on all hosts that take them.
	Port string
	// Leads reports whether this host leads the state group.
	Leads func() bool
	// Stopping reports whether this host takes no more calls.
	Stopping func() bool
	// Departures are those that the state group is known to have stored. It is nil on a host without a replica, which
	// redirects the reports of targets to store hosts.
	Departures *Departures
	Log        *slog.Logger
	Metrics    *observe.Metrics
}

// Control implements the calls of operators, trainers and targets on one host.
type Control struct {
	opts    Options
	metrics *callMetrics
	started time.Time
}

// New returns the calls of a host.
func New(o Options) *Control {
	return &Control{opts: o, metrics: newCallMetrics(o.Metrics), started: bootclock.Now()}
}

// Logger returns the logger for these calls.
func (c *Control) Logger() *slog.Logger { return c.opts.Log }

// Stopping reports whether the host is shutting down and takes no more calls.
func (c *Control) Stopping() bool { return c.opts.Stopping() }

// PutConfig puts a configuration into force. source is the document as the operator sent it.
func (c *Control) PutConfig(ctx context.Context, cfg *routes.Config, source []byte) error {
	if err := cfg.Validate(); err != nil {
		c.opts.Log.Warn("configuration refused", "version", cfg.Version, "error", err)
		return err
	}
	put := storestate.PutConfig{Version: cfg.Version, Body: clusterview.EncodeConfig(cfg), Source: source}
	var reply storestate.Reply
	call, err := c.do(ctx, callPutConfig, func(ctx context.Context) (err error) {
		reply, err = c.opts.Client.PutConfig(ctx, put)
		return err
	})
	call.finish("configuration stored", err, "version", cfg.Version, "changed", reply.Changed, "in_force", reply.Version, "routes", len(cfg.Routes))
	return err
}

// Config returns the configuration in force as the operator sent it.
func (c *Control) Config(ctx context.Context) (source []byte, err error) {
	call, err := c.do(ctx, callReadConfig, func(ctx context.Context) error {
		stored, err := c.opts.Client.Config(ctx)
		source = stored.Source
		return err
	})
	call.finishRead("configuration read", err)
	return source, err
}

// PutVersion stores a weight version of a model unless the same or a higher one is stored.
func (c *Control) PutVersion(ctx context.Context, model string, version uint64) error {
	call, err := c.do(ctx, callPutVersion, func(ctx context.Context) error {
		return c.opts.Client.PutVersion(ctx, model, version)
	})
	call.finish("weight version stored", err, "model", model, "version", version)
	return err
}

// Retire starts the retirement of a store host, after which it holds no replica of the state.
func (c *Control) Retire(ctx context.Context, host string) error {
	call, err := c.do(ctx, callRetire, func(ctx context.Context) error { return c.opts.Client.Retire(ctx, host) })
	call.finish("store host retirement requested", err, "store", host)
	return err
}

// IsRetired reports whether a store host that is being retired holds no replica any more.
func (c *Control) IsRetired(ctx context.Context, host string) (retired bool, err error) {
	call, err := c.do(ctx, callReadRetire, func(ctx context.Context) (err error) {
		retired, err = c.opts.Client.Retired(ctx, host)
		return err
	})
	call.finishRead("store host retirement read", err, "store", host)
	return retired, err
}
