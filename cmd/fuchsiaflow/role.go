package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/entry"
	"fuchsiaflow/internal/gctuner"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/store"
	"fuchsiaflow/platform"
	"fuchsiaflow/storage"
)

const (
	// memoryLimitFraction is the garbage collector's soft limit as a fraction of the memory limit of
	// the process. The rest is for memory that the Go runtime does not count, such as socket buffers.
	// The limit must be well above the size of a store's state, because a live heap near the limit
	// causes continuous collections.
	memoryLimitFraction = 0.8
	// exitReserve is the part of the grace period that remains after the shutdown for the process to
	// exit.
	exitReserve = 500 * time.Millisecond
	// settingsPollInterval is how often the settings file is checked, since it may change without a
	// signal.
	settingsPollInterval = time.Second
	// platformIdleTimeout and maxPlatformIdleConns bound the idle connections to the platform's API. A link that stands
	// still is given up between two reports.
	platformIdleTimeout  = 3 * time.Second
	maxPlatformIdleConns = 2
	// maxEngineHeaderBytes is the maximum size of the header of an engine's answer to an order, and of
	// an answer of the platform.
	maxEngineHeaderBytes = 64 << 10
)

// roleFlags are the flags of all roles.
type roleFlags struct {
	Settings      string            `type:"existingfile" help:"Settings file of the platform; by default the one that the environment names."`
	TraceExporter settings.Exporter `enum:"none,stdout,otlp" default:"none" help:"Where spans go: ${enum}. With stdout they are written to standard error, because standard output has the log."`
	TraceEndpoint string            `help:"IP:port of the OTLP gRPC collector."`
}

type entryCommand struct {
	roleFlags
}

type storeCommand struct {
	roleFlags
	PeerListenPort int `help:"Port on which to listen for other hosts, if it is not the one that they call, because a proxy or an address translation stands between."`
}

// roleHost is a host that runs one role of the service.
type roleHost interface {
	Start(ctx context.Context) error
	Failed() <-chan error
	Shutdown(ctx context.Context) error
	Reload(s *settings.Role)
}

// Run runs an entry host until the process is told to stop.
func (c *entryCommand) Run() error {
	return runRole("entry", c.roleFlags, func(s *settings.Role, log *slog.Logger, m *observe.Metrics, t *observe.Tracing) (roleHost, error) {
		return entry.New(entry.Options{Settings: s, Headers: platform.Headers, Front: platform.NewFrontHandler, Ready: platform.NewReadinessHandler,
			Control: platform.NewControlHandler, EngineClient: newEngineClient(), Log: log, Metrics: m, Tracing: t})
	})
}

// newEngineClient returns a client of engines. Each call has a connection of its own: nothing in an answer tells a late second
// copy of the answer before it from the answer that is due.
func newEngineClient() platform.EngineClient {
	return platform.EngineClient{Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxEngineHeaderBytes}}}
}

// newPlatformClient returns a client of the platform's API. A redirect is an unexpected answer, not followed.
func newPlatformClient(s *settings.Role) platform.PlatformClient {
	refuse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return platform.PlatformClient{Address: s.Platform.Address, Client: &http.Client{CheckRedirect: refuse,
		Transport: &http.Transport{IdleConnTimeout: platformIdleTimeout, MaxIdleConnsPerHost: maxPlatformIdleConns, MaxResponseHeaderBytes: maxEngineHeaderBytes}}}
}

// Run runs a store host until the process is told to stop.
func (c *storeCommand) Run() error {
	return runRole("store", c.roleFlags, func(s *settings.Role, log *slog.Logger, m *observe.Metrics, t *observe.Tracing) (roleHost, error) {
		if s.DataDir == "" {
			return nil, &errs.Invalid{Path: "$.data_dir", Want: "a folder", Got: "none"}
		}
		s.PeerListenPort = c.PeerListenPort
		return store.New(store.Options{Settings: s, Headers: platform.Headers, EngineClient: newEngineClient(), Platform: newPlatformClient(s), Control: platform.NewControlHandler,
			Log: log, Metrics: m, Tracing: t, FS: storage.OS{}})
	})
}

// runRole runs the host that open returns until SIGTERM, SIGINT or a fatal error.
func runRole(role string, flags roleFlags, open func(*settings.Role, *slog.Logger, *observe.Metrics, *observe.Tracing) (roleHost, error)) error {
	path := flags.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	limitMemory(s)
	out := observe.NewAsyncWriter(os.Stdout)
	defer func() { _ = out.Close() }()
	log := observe.NewLogger(out, s.Log.Level, s.Host).With("role", role)
	metrics := observe.NewMetrics()
	metrics.GaugeFunc("log_lines_dropped", "Number of log lines dropped since the start.", func() float64 { return float64(out.Dropped()) })
	tracing, err := newRoleTracing(flags, s, log)
	if err != nil {
		return err
	}
	host, err := open(s, log, metrics, tracing)
	if err != nil {
		log.Error("host cannot start", "error", err)
		return err
	}
	log.Info("starting host", "version", version, "failure_domain", s.FailureDomain, "ip", s.IP, "seeds", s.Seeds, "first_start", s.Bootstrap,
		"voters", s.VoterCount(), "pid", os.Getpid())
	if err := host.Start(context.Background()); err != nil {
		log.Error("host cannot start", "error", err)
		return err
	}
	failure := waitForRoleStop(host, log, path)
	ctx, cancel := context.WithTimeout(context.Background(), max(s.Timing.Grace-exitReserve, exitReserve))
	defer cancel()
	begin := time.Now()
	err = host.Shutdown(ctx)
	log.Info("host stopped", "took_ms", time.Since(begin).Milliseconds(), "lines_dropped", out.Dropped(), "error", errorText(err), "failure", errorText(failure))
	if failure != nil {
		return failure
	}
	return nil
}

// newRoleTracing returns the tracing of a host. Without an exporter it creates no spans, because these
// hosts pay for CPU time and memory.
func newRoleTracing(flags roleFlags, s *settings.Role, log *slog.Logger) (*observe.Tracing, error) {
	if flags.TraceExporter == settings.ExporterNone {
		return observe.NewNoopTracing(), nil
	}
	observe.LogExportErrors(log)
	return observe.NewTracing(context.Background(), settings.Trace{Exporter: flags.TraceExporter, Endpoint: flags.TraceEndpoint},
		s.Host, s.FailureDomain, os.Stderr)
}

// limitMemory configures the garbage collector for a process that is killed if it exceeds its memory
// limit. Package gctuner changes the growth of the heap later.
func limitMemory(s *settings.Role) {
	debug.SetGCPercent(gctuner.MinPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	}
}

// errorText returns the message of an error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// waitForRoleStop waits for a stop signal or a fatal error of the host, which it returns. Until then it
// reloads the settings on SIGHUP and when the settings file changes.
func waitForRoleStop(host roleHost, log *slog.Logger, path string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	watcher := newFileWatcher(path)
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				log.Info("stopping host", "signal", sig.String())
				return nil
			}
			watcher.changed() // so that the next poll does not reload the same change
			reload(host, log, path, "signal")
		case <-poll.C:
			if watcher.changed() {
				reload(host, log, path, "file changed")
			}
		case err := <-host.Failed():
			log.Error("stopping host after a failure", "error", err)
			return err
		}
	}
}

// reload applies the settings file to the host. If the file is invalid, the current settings stay in force.
func reload(host roleHost, log *slog.Logger, path, reason string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		log.Error("settings not reloaded", "reason", reason, "error", err)
		return
	}
	host.Reload(s)
	log.Info("settings reloaded", "reason", reason, "seeds", s.Seeds)
}

// fileWatcher detects changes of a file by polling.
type fileWatcher struct {
	path string
	last os.FileInfo // nil until the file could be read for the first time
}

func newFileWatcher(path string) *fileWatcher {
	w := &fileWatcher{path: path}
	w.changed()
	return w
}

// changed reports whether the file has changed since the last call. It compares modification time, size
// and identity, so that it also detects a replaced file. A file that is temporarily missing while it is
// replaced does not count as changed.
func (w *fileWatcher) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	old := w.last
	w.last = info
	return old != nil && (!os.SameFile(old, info) || !old.ModTime().Equal(info.ModTime()) || old.Size() != info.Size())
}
