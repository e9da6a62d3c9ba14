package entry

import (
	"context"
	"net"
	"net/http"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/control"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rolehost"
)

// newControl returns the calls of operators, trainers and targets. They are taken until the host stops, because the
// lists of callers lag.
func (e *Entry) newControl() *control.Control {
	never := func() bool { return false }
	s := e.opts.Settings
	return control.New(control.Options{View: e.view, Client: e.stateClient, SelfIP: s.IP, Port: s.Listen.ControlPort(), Leads: never, Stopping: never,
		Log: e.opts.Log, Metrics: e.opts.Metrics})
}

// controlService serves the control interface. It does nothing on a host without an address for it.
type controlService struct {
	e      *Entry
	server *http.Server
}

// Start implements kernel.Service.
func (c *controlService) Start(_ context.Context, k *kernel.Kernel) error {
	address := c.e.opts.Settings.Listen.Control
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &errs.Unavailable{Resource: "control address " + address, Reason: err.Error()}
	}
	c.server = rolehost.NewHTTPServer(c.e.opts.Control(c.e.newControl()))
	k.Go("control/serve", func(context.Context) error { return rolehost.Serve(c.e.guard, "control", c.server, listener) })
	return nil
}

// Stop implements kernel.Service.
func (c *controlService) Stop(ctx context.Context) error {
	return rolehost.ShutdownServer(ctx, c.server)
}
