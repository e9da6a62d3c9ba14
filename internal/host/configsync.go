package host

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/controlstate"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/internal/kernel"
)

// catchUpTimeout bounds how long a request waits for a configuration that its sender
// already has.
const catchUpTimeout = 2 * time.Second

// controlWait bounds how long a restarted host waits for the control group's newest version.
// After it the failure domain counts as cut off and goes on with its last configuration.
const controlWait = 5 * time.Second

// configService keeps the configuration in force on this host. A version is activated only
// after it is committed in the host's domain group.
type configService struct {
	domain string
	poll   time.Duration
	groups *groups
	log    *slog.Logger

	current atomic.Pointer[confstate.Config]
	ready   atomic.Bool
	wake    *kernel.Ring[struct{}]

	// Only the duty that follows the domain group uses these.
	started     time.Time
	newest      uint64 // version of the control group after the start
	newestKnown bool

	mu          sync.Mutex
	activator   *confstate.Activator
	subscribers []func(*confstate.Config)
	changed     chan struct{}
}

func newConfigService(domain string, poll time.Duration, g *groups, log *slog.Logger) *configService {
	return &configService{
		domain:    domain,
		poll:      poll,
		groups:    g,
		log:       log,
		wake:      kernel.NewRing[struct{}]("config/wake", 1, kernel.DropOldest),
		activator: confstate.NewActivator(),
		changed:   make(chan struct{}),
	}
}

// Start implements kernel.Service.
func (c *configService) Start(_ context.Context, k *kernel.Kernel) error {
	c.started = time.Now()
	k.Go("config/follow", c.follow)
	k.Every("config/relay", c.poll, c.relay)
	return nil
}

// Stop implements kernel.Service.
func (c *configService) Stop(context.Context) error { return nil }

// Current returns the configuration in force, or nil before the first one.
func (c *configService) Current() *confstate.Config { return c.current.Load() }

// Version returns the version in force, or 0.
func (c *configService) Version() uint64 {
	if cfg := c.Current(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// Ready reports whether the newest version has been confirmed since the host started.
func (c *configService) Ready() bool { return c.ready.Load() }

// Subscribe calls fn for the configuration in force and for each later one.
func (c *configService) Subscribe(fn func(*confstate.Config)) {
	c.mu.Lock()
	c.subscribers = append(c.subscribers, fn)
	c.mu.Unlock()
	if cfg := c.Current(); cfg != nil {
		fn(cfg)
	}
}

// Active returns the entry in force.
func (c *configService) Active() confstate.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activator.Active()
}

// CatchUp waits until the version is in force here, for a request whose sender already
// works with it.
func (c *configService) CatchUp(ctx context.Context, version uint64) error {
	if c.Version() >= version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for {
		// The channel is taken before the version is looked at, so that an activation in
		// between is not missed.
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		if c.Version() >= version {
			return nil
		}
		_ = c.wake.Push(ctx, struct{}{})
		select {
		case <-changed:
		case <-ctx.Done():
			return &errs.Unavailable{Resource: "host", Reason: "its configuration is older than the sender's"}
		}
	}
}

// follow reads the newest version of the domain group at each poll interval, and at once
// when another host is known to have a newer one.
func (c *configService) follow(ctx context.Context) error {
	ticker := time.NewTicker(c.poll)
	defer ticker.Stop()
	for {
		c.fetch(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.wake.C():
		}
	}
}

func (c *configService) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(c.poll, attemptTimeout))
	defer cancel()
	entry, err := c.readDomain(ctx, c.Version())
	if err != nil {
		c.log.Debug("configuration is not available", "error", err)
		return
	}
	if !c.Ready() && !c.caughtUp(ctx, entry.Version) {
		return
	}
	c.confirm(entry)
}

// caughtUp reports whether a version of the domain group is new enough for a host that has
// just started. A domain group whose voters were all down lags behind the control group until
// its leader has copied the newest version.
func (c *configService) caughtUp(ctx context.Context, version uint64) bool {
	if !c.newestKnown {
		entry, err := c.readControl(ctx, version)
		if err != nil {
			c.log.Debug("control group does not answer", "error", err)
			return time.Since(c.started) > controlWait
		}
		c.newest, c.newestKnown = entry.Version, true
	}
	return version >= c.newest || time.Since(c.started) > controlWait
}

// readControl reads the newest version of the control group. The entry has no body when its
// version is known.
func (c *configService) readControl(ctx context.Context, known uint64) (confstate.Entry, error) {
	data, err := c.groups.Read(ctx, controlGroup, controlstate.EncodeQuery(controlstate.Query{Known: known}))
	if err != nil {
		return confstate.Entry{}, err
	}
	return controlstate.DecodeEntry(data)
}

// readDomain reads the newest version of the domain group. The entry has no body when its
// version is known.
func (c *configService) readDomain(ctx context.Context, known uint64) (confstate.Entry, error) {
	query, err := domainstate.EncodeConfigQuery(known)
	if err != nil {
		return confstate.Entry{}, err
	}
	data, err := c.groups.Read(ctx, domainGroup(c.domain), query)
	if err != nil {
		return confstate.Entry{}, err
	}
	cfg, err := domainstate.DecodeConfig(data)
	if errs.CodeOf(err) == errs.CodeNotFound && err != nil {
		return confstate.Entry{}, nil
	}
	if err != nil {
		return confstate.Entry{}, err
	}
	return confstate.Entry{Version: cfg.Version, Digest: cfg.Digest, Body: cfg.Body, Index: cfg.Index}, nil
}

func (c *configService) confirm(entry confstate.Entry) {
	c.mu.Lock()
	if entry.Version != 0 && entry.Version == c.activator.Active().Version {
		entry = c.activator.Active()
	}
	changed, err := c.activator.Confirm(entry)
	c.mu.Unlock()
	if err != nil {
		c.log.Error("configuration is refused", "version", entry.Version, "error", err)
		return
	}
	if changed {
		c.activate(entry)
	}
	c.ready.Store(true)
}

func (c *configService) activate(entry confstate.Entry) {
	cfg, err := entry.Config()
	if err != nil {
		c.log.Error("configuration cannot be decoded", "version", entry.Version, "error", err)
		return
	}
	c.current.Store(cfg)
	c.mu.Lock()
	subscribers := append([]func(*confstate.Config){}, c.subscribers...)
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	for _, fn := range subscribers {
		fn(cfg)
	}
	c.log.Info("configuration is in force", "version", entry.Version, "digest", entry.Digest)
}

// relay copies a newer version of the control group into the domain group. Only the leader
// of the domain group does it, so one host per failure domain asks the control group.
func (c *configService) relay(ctx context.Context) {
	local, ok := c.groups.localReplica(domainGroup(c.domain))
	if !ok || !local.group.IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	have, err := c.readDomain(ctx, c.Version()) // only the version is needed
	if err != nil {
		return
	}
	newest, err := c.readControl(ctx, have.Version)
	if err != nil {
		c.log.Debug("control group does not answer", "error", err)
		return
	}
	if newest.Version <= have.Version {
		return
	}
	c.copyToDomain(ctx, newest)
}

func (c *configService) copyToDomain(ctx context.Context, entry confstate.Entry) {
	command, err := domainstate.EncodeConfig(domainstate.Config{
		Version: entry.Version, Digest: entry.Digest, Body: entry.Body, Index: entry.Index,
	})
	if err == nil {
		_, err = c.groups.ProposeIdempotent(ctx, domainGroup(c.domain), command)
	}
	if err != nil {
		c.log.Warn("configuration is not copied to the domain group", "version", entry.Version, "error", err)
		return
	}
	_ = c.wake.Push(ctx, struct{}{})
}
