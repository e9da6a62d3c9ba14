package host

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/broadcast"
	"fuchsiaflow/internal/controlstate"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/internal/kernel"
)

// versionWaitTimeout limits how long a request waits for a configuration version that its sender
// already has.
const versionWaitTimeout = 2 * time.Second

// controlGroupTimeout limits how long a restarted host waits for the newest version of the control
// group. After that, the failure domain is considered partitioned from it and continues with its
// last configuration.
const controlGroupTimeout = 5 * time.Second

// configService maintains the active configuration of this host. A version becomes active only
// after it is committed in the domain group of the host's failure domain.
type configService struct {
	domain string
	poll   time.Duration
	groups *groupClient
	log    *slog.Logger

	current atomic.Pointer[confstate.Config]
	ready   atomic.Bool
	wake    *kernel.Ring[struct{}]

	// Used only by pollLoop and the methods that it calls.
	started             time.Time
	controlVersion      uint64 // newest version in the control group when this host started
	controlVersionKnown bool

	mu          sync.Mutex
	activator   *confstate.Activator
	subscribers []func(*confstate.Config)
	activated   broadcast.Signal
}

func newConfigService(domain string, poll time.Duration, g *groupClient, log *slog.Logger) *configService {
	return &configService{
		domain:    domain,
		poll:      poll,
		groups:    g,
		log:       log,
		wake:      kernel.NewRing[struct{}]("config/wake", 1, kernel.DropOldest),
		activator: confstate.NewActivator(),
	}
}

// Start implements kernel.Service.
func (c *configService) Start(_ context.Context, k *kernel.Kernel) error {
	c.started = time.Now()
	k.Go("config/follow", c.pollLoop)
	k.Every("config/relay", c.poll, c.relay)
	return nil
}

// Stop implements kernel.Service.
func (c *configService) Stop(context.Context) error { return nil }

// Current returns the active configuration, or nil if there is none yet.
func (c *configService) Current() *confstate.Config { return c.current.Load() }

// Version returns the active version, or 0 if there is none yet.
func (c *configService) Version() uint64 {
	if cfg := c.Current(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// Ready reports whether the newest version has been confirmed since the host started.
func (c *configService) Ready() bool { return c.ready.Load() }

// Subscribe calls fn with the active configuration, if there is one, and with each later one.
func (c *configService) Subscribe(fn func(*confstate.Config)) {
	c.mu.Lock()
	c.subscribers = append(c.subscribers, fn)
	c.mu.Unlock()
	if cfg := c.Current(); cfg != nil {
		fn(cfg)
	}
}

// Active returns the entry of the active configuration, or a zero entry if there is none yet.
func (c *configService) Active() confstate.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activator.Active()
}

// WaitForVersion waits until this host has activated the version or a newer one, which the sender
// of a request already uses. It fails with errs.Unavailable after versionWaitTimeout.
func (c *configService) WaitForVersion(ctx context.Context, version uint64) error {
	if c.Version() >= version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, versionWaitTimeout)
	defer cancel()
	for {
		// The channel is read before the version, so that an activation in between is not
		// missed.
		activated := c.activated.Next()
		if c.Version() >= version {
			return nil
		}
		_ = c.wake.Push(ctx, struct{}{})
		select {
		case <-activated:
		case <-ctx.Done():
			return &errs.Unavailable{Resource: "host", Reason: "its configuration is older than the sender's"}
		}
	}
}

// pollLoop reads the newest version from the domain group at each poll interval, and immediately
// when another host is known to have a newer one.
func (c *configService) pollLoop(ctx context.Context) error {
	ticker := time.NewTicker(c.poll)
	defer ticker.Stop()
	for {
		c.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.wake.C():
		}
	}
}

func (c *configService) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(c.poll, attemptTimeout))
	defer cancel()
	entry, err := c.readDomain(ctx, c.Version())
	if err != nil {
		c.log.Debug("cannot read the configuration from the domain group", "error", err)
		return
	}
	if !c.Ready() && !c.caughtUp(ctx, entry.Version) {
		return
	}
	c.confirm(entry)
}

// caughtUp reports whether a host that has just started may use a version of the domain group. A
// domain group whose voters were all down lags behind the control group until its leader has
// copied the newest version. After controlGroupTimeout every version may be used.
func (c *configService) caughtUp(ctx context.Context, version uint64) bool {
	if !c.controlVersionKnown {
		entry, err := c.readControl(ctx, version)
		if err != nil {
			c.log.Debug("cannot read the configuration from the control group", "error", err)
			return time.Since(c.started) > controlGroupTimeout
		}
		c.controlVersion, c.controlVersionKnown = entry.Version, true
	}
	return version >= c.controlVersion || time.Since(c.started) > controlGroupTimeout
}

// readControl reads the newest version from the control group. The body of the entry is empty if
// its version is the known one.
func (c *configService) readControl(ctx context.Context, known uint64) (confstate.Entry, error) {
	data, err := c.groups.Read(ctx, controlGroup, controlstate.EncodeQuery(controlstate.Query{Known: known}))
	if err != nil {
		return confstate.Entry{}, err
	}
	return controlstate.DecodeEntry(data)
}

// readDomain reads the newest version from the domain group. The body of the entry is empty if
// its version is the known one. The entry is zero if the group has no configuration yet.
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
		c.log.Error("configuration refused", "version", entry.Version, "error", err)
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
		c.log.Error("cannot decode configuration", "version", entry.Version, "error", err)
		return
	}
	c.current.Store(cfg)
	c.mu.Lock()
	subscribers := append([]func(*confstate.Config){}, c.subscribers...)
	c.mu.Unlock()
	c.activated.Announce()
	for _, fn := range subscribers {
		fn(cfg)
	}
	c.log.Info("configuration activated", "version", entry.Version, "digest", entry.Digest)
}

// relay copies a newer version from the control group to the domain group. Only the leader of the
// domain group does so, so that one host per failure domain queries the control group.
func (c *configService) relay(ctx context.Context) {
	local, ok := c.groups.localReplica(domainGroup(c.domain))
	if !ok || !local.group.IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	current, err := c.readDomain(ctx, c.Version()) // only the version of the entry is used
	if err != nil {
		return
	}
	newest, err := c.readControl(ctx, current.Version)
	if err != nil {
		c.log.Debug("cannot read the configuration from the control group", "error", err)
		return
	}
	if newest.Version <= current.Version {
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
		c.log.Warn("cannot copy the configuration to the domain group", "version", entry.Version, "error", err)
		return
	}
	_ = c.wake.Push(ctx, struct{}{})
}
