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
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/store"
	"fuchsiaflow/platform"
	"fuchsiaflow/storage"
)

const (
	// gcPercent keeps the heap small: these hosts pay for memory, and their heaps are a few MB.
	gcPercent = 15
	// memoryShare is the share of the process's memory from which the garbage collector works
	// harder. The rest is for what it does not count, such as bytes that wait in sockets. A heap
	// that lives near the limit is collected all the time, so the limit is well above the state
	// of a store.
	memoryShare = 0.8
	// stopReserve is the part of the grace period that is left for the end of the process.
	stopReserve = 500 * time.Millisecond
	// settingsInterval is how often the settings file is looked at: it may change without a signal.
	settingsInterval = time.Second
	// engineIdle is how long a connection for orders to an engine is kept.
	engineIdle = 3 * time.Second
)

// roleFlags are the flags of every role.
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

// roleHost is a host of one role.
type roleHost interface {
	Start(ctx context.Context) error
	Failed() <-chan error
	Shutdown(ctx context.Context) error
	Reload(s *settings.Role)
}

// Run serves callers until the process is told to stop.
func (c *entryCommand) Run() error {
	return runRole("entry", c.roleFlags, func(s *settings.Role, log *slog.Logger, m *observe.Metrics, t *observe.Tracing) (roleHost, error) {
		return entry.New(entry.Options{Settings: s, Headers: platform.Headers, Front: platform.Front, Ready: platform.Ready, Log: log, Metrics: m,
			Tracing: t})
	})
}

// Run keeps the state until the process is told to stop.
func (c *storeCommand) Run() error {
	return runRole("store", c.roleFlags, func(s *settings.Role, log *slog.Logger, m *observe.Metrics, t *observe.Tracing) (roleHost, error) {
		if s.DataDir == "" {
			return nil, &errs.Invalid{Path: "$.data_dir", Want: "a folder", Got: "none"}
		}
		s.PeerListenPort = c.PeerListenPort
		client := &http.Client{Transport: &http.Transport{IdleConnTimeout: engineIdle, MaxIdleConnsPerHost: 1}}
		return store.New(store.Options{Settings: s, Headers: platform.Headers, EngineCalls: platform.Engine{Client: client}, Control: platform.Control,
			Log: log, Metrics: m, Tracing: t, FS: storage.OS{}})
	})
}

// runRole runs a host until SIGTERM, SIGINT or a failure.
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
	out := observe.NewRingWriter(os.Stdout)
	defer func() { _ = out.Close() }()
	log := observe.NewLogger(out, s.Log.Level, s.Host).With("role", role)
	metrics := observe.NewMetrics()
	metrics.GaugeFunc("log_lines_dropped", "Log lines that were dropped since the start.", func() float64 { return float64(out.Dropped()) })
	tracing, err := roleTracing(flags, s, log)
	if err != nil {
		return err
	}
	host, err := open(s, log, metrics, tracing)
	if err != nil {
		log.Error("host cannot start", "error", err)
		return err
	}
	log.Info("host starts", "version", version, "failure_domain", s.FailureDomain, "ip", s.IP, "seeds", s.Seeds, "first_start", s.FirstStart,
		"voters", s.Voters(), "pid", os.Getpid())
	if err := host.Start(context.Background()); err != nil {
		log.Error("host cannot start", "error", err)
		return err
	}
	failure := waitRole(host, log, path)
	ctx, cancel := context.WithTimeout(context.Background(), max(s.Timing.Grace-stopReserve, stopReserve))
	defer cancel()
	begin := time.Now()
	err = host.Shutdown(ctx)
	log.Info("host stopped", "took_ms", time.Since(begin).Milliseconds(), "lines_dropped", out.Dropped(), "error", errText(err), "failure", errText(failure))
	if failure != nil {
		return failure
	}
	return nil
}

// roleTracing makes no spans unless they have somewhere to go: these hosts pay for processor time
// and memory.
func roleTracing(flags roleFlags, s *settings.Role, log *slog.Logger) (*observe.Tracing, error) {
	if flags.TraceExporter == settings.ExporterNone {
		return observe.NoTracing(), nil
	}
	observe.LogExportErrors(log)
	return observe.NewTracing(context.Background(), settings.Trace{Exporter: flags.TraceExporter, Endpoint: flags.TraceEndpoint},
		s.Host, s.FailureDomain, os.Stderr)
}

// limitMemory sets up the garbage collector for a process that is killed at a limit.
func limitMemory(s *settings.Role) {
	debug.SetGCPercent(gcPercent)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// waitRole returns when the host is to stop, with the failure of a duty if that is the reason.
func waitRole(host roleHost, log *slog.Logger, path string) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	look := time.NewTicker(settingsInterval)
	defer look.Stop()
	file := watchFile(path)
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				log.Info("host stops", "signal", sig.String())
				return nil
			}
			file.changed()
			reload(host, log, path, "signal")
		case <-look.C:
			if file.changed() {
				reload(host, log, path, "change of the file")
			}
		case err := <-host.Failed():
			log.Error("host stops", "error", err)
			return err
		}
	}
}

func reload(host roleHost, log *slog.Logger, path, reason string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		log.Error("settings not reloaded", "reason", reason, "error", err)
		return
	}
	host.Reload(s)
	log.Info("settings reloaded", "reason", reason, "seeds", s.Seeds)
}

// fileWatch tells whether a file has changed since the last look.
type fileWatch struct {
	path string
	seen os.FileInfo // nil while the file cannot be read
}

func watchFile(path string) *fileWatch {
	w := &fileWatch{path: path}
	w.changed()
	return w
}

// changed compares time, size and identity, so that a file that replaces another counts too. A file
// that is missing for a moment while it is replaced is not a change.
func (w *fileWatch) changed() bool {
	info, err := os.Stat(w.path)
	if err != nil {
		return false
	}
	old := w.seen
	w.seen = info
	return old != nil && (!os.SameFile(old, info) || !old.ModTime().Equal(info.ModTime()) || old.Size() != info.Size())
}
