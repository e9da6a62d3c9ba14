package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"fuchsiaflow/internal/host"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
)

type runCommand struct {
	Settings string `required:"" type:"existingfile" help:"Settings file in JSON."`
}

// Run runs a host until SIGTERM, SIGINT, a drain requested by an operator or a fatal error, and then shuts
// it down gracefully.
func (c *runCommand) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log := observe.NewLogger(os.Stderr, s.Log.Level, s.Host)
	h, err := host.New(host.Options{Settings: s, Log: log, SpanWriter: os.Stdout})
	if err != nil {
		return err
	}
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := h.Start(context.Background()); err != nil {
		return err
	}
	failure := waitForStop(signals, h, log)
	ctx, cancel := context.WithTimeout(context.Background(), 2*s.Timing.DrainTimeout)
	defer cancel()
	if err := h.Shutdown(ctx); failure == nil {
		return err
	}
	return failure
}

// waitForStop waits for a signal, a drain or a fatal error of the host, which it returns.
func waitForStop(signals context.Context, h *host.Host, log *slog.Logger) error {
	select {
	case <-signals.Done():
		log.Info("stop signal received")
		return nil
	case <-h.Drained():
		return nil
	case err := <-h.Failed():
		return err
	}
}
