package clusterview

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaflow/accounts"
	"fuchsiaflow/capacity"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/broadcast"
	"fuchsiaflow/quarantine"
	"fuchsiaflow/routes"
)

// Timeouts and intervals of a View.
const (
	// targetExpiry is the time without a report after which a target is removed. It exceeds a
	// few seconds because targets that lose the store hosts for that long still serve.
	targetExpiry = 20 * time.Second
	// targetRefresh limits how outdated the report age of a target is at other hosts while
	// nothing else about the target changes.
	targetRefresh = 5 * time.Second
	// relayRefresh is the same for reports relayed by another store host. It is less than
	// targetRefresh, so that each refresh is passed on: most hosts of a large system receive only
	// relayed reports.
	relayRefresh = 4 * time.Second
	// maxSentDepartures is the number of departures sent when a watch starts. Older ones concern targets that every
	// host has forgotten.
	maxSentDepartures = 1024
	// storeExpiry is the time for which a store host that is not a seed is watched after it was
	// last reported.
	storeExpiry = 30 * time.Second
)

// View is the state of the system as known to one host. It is safe for concurrent use.
type View struct {
	// OnNotice is called with each new notice that RecordNotice records; nil if nobody needs them. It must be set
	// before the view is used.
	OnNotice func(d fleet.Departure, source string)
	// OnRateLimit is called with each change of a limit that RecordRateLimit records; nil if nobody needs them. It must
	// be set before the view is used.
	OnRateLimit func(l fleet.RateLimit, source string)

	log   *slog.Logger
	seeds []string
	// tables are those of config; nil before the first configuration is known.
	tables atomic.Pointer[Tables]

	mu          sync.Mutex
	config      Config
	registry    *fleet.Registry
	rateLimits  *fleet.RateLimits
	capacity    *capacity.Table
	quarantine  *quarantine.Records
	stores      map[string]storeEntry // by IP
	leader      string
	term        uint64
	leaderHeard time.Time            // when a store host last reported the leader
	voters      []string             // of the state group in the latest term
	lastEvent   map[string]time.Time // time of the last event by IP of the store host
	changed     broadcast.Signal
}

// Tables are the look-up tables of one configuration.
type Tables struct {
	Routes   *routes.Table
	Accounts *accounts.Table
}

// NewView returns a view that knows only the IP addresses of the seeds.
func NewView(log *slog.Logger, seeds []string) *View {
	v := &View{log: log, seeds: seeds, registry: fleet.NewRegistry(targetExpiry, targetRefresh, relayRefresh),
		rateLimits: fleet.NewRateLimits(), capacity: capacity.NewTable(), quarantine: quarantine.NewRecords(), stores: make(map[string]storeEntry), lastEvent: make(map[string]time.Time)}
	v.registry.IsConfigured = v.isConfigured
	return v
}

// isConfigured reports whether the configuration in force has a service.
func (v *View) isConfigured(service string) bool {
	table := v.Table()
	if table == nil {
		return false
	}
	_, ok := table.Service(service)
	return ok
}

// SetSeeds replaces the IP addresses of the seeds.
func (v *View) SetSeeds(seeds []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seeds = seeds
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} { return v.changed.Next() }

// Tables returns the tables of the configuration in force, or nil before the first one is known.
func (v *View) Tables() *Tables { return v.tables.Load() }

// Table returns the routing table in force, or nil before the first configuration is known.
func (v *View) Table() *routes.Table {
	if t := v.tables.Load(); t != nil {
		return t.Routes
	}
	return nil
}

// ApplyConfig applies a committed configuration if its version is higher than that in force. The
// parameter from names its source in the log.
func (v *View) ApplyConfig(c Config, from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Version <= v.config.Version {
		return
	}
	decoded, err := decodeConfig(c.Body)
	if err != nil {
		v.log.Error("configuration cannot be decoded", "version", c.Version, "from", from, "error", err)
		return
	}
	v.log.Info("configuration in force", "version", c.Version, "previous", v.config.Version, "from", from, "routes", len(decoded.Routes), "accounts", len(decoded.Accounts))
	v.config = c
	v.tables.Store(&Tables{Routes: routes.NewTable(decoded), Accounts: accounts.NewTable(decoded.Accounts)})
	v.changed.Announce()
}

// Merge merges an event received from a store host.
func (v *View) Merge(e *Event) {
	if e.Config != nil {
		v.ApplyConfig(*e.Config, e.From.ReplicaID)
	}
	now := bootclock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.recordStore(now, e.From)
	for _, s := range e.Stores {
		changed = v.recordStore(now, s) || changed
	}
	if !e.isDirectory() {
		v.lastEvent[e.From.IP()] = now
	}
	if e.Leader != "" && e.Term >= v.term {
		v.leaderHeard = now
		if len(e.Voters) > 0 {
			v.voters = e.Voters
		}
	}
	if e.Leader != "" && e.Term >= v.term && (e.Leader != v.leader || e.Term != v.term) {
		v.log.Info("leader of the state group changed", "leader", e.Leader, "term", e.Term, "previous", v.leader, "from", e.From.ReplicaID)
		v.leader, v.term, changed = e.Leader, e.Term, true
	}
	for _, t := range e.Targets {
		changed = v.mergeTarget(now, t, e.From.ReplicaID, v.registry.Merge) || changed
	}
	for _, l := range e.RateLimits {
		changed = v.mergeRateLimit(now, l, e.From.ReplicaID) || changed
	}
	v.replaceCapacity(now, e.Capacity)
	for _, q := range e.Quarantine {
		changed = v.mergeQuarantine(now, q, e.From.ReplicaID) || changed
	}
	for _, d := range e.Departures {
		changed = v.recordDeparture(now, d, e.From.ReplicaID) || changed
	}
	if changed {
		v.changed.Announce()
	}
}

// Expire removes targets and store hosts that have not been reported within their expiry time.
func (v *View) Expire() {
	now := bootclock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range v.registry.Expire(now) {
		v.log.Info("target forgotten", "target", id, "silence_ms", targetExpiry.Milliseconds())
	}
	v.rateLimits.Expire(now, func(target string) bool {
		_, known := v.registry.Get(target)
		return known
	})
	v.capacity.Expire(now)
	maps.DeleteFunc(v.stores, func(_ string, s storeEntry) bool { return now.Sub(s.lastSeen) > storeExpiry })
}

// ConfigAfter returns the configuration in force if it is newer than version, or nil.
func (v *View) ConfigAfter(version uint64) *Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config.Version <= version {
		return nil
	}
	c := v.config
	return &c
}

// WaitConfig waits until a configuration is known and returns its tables, or nil if ctx is
// done first.
func (v *View) WaitConfig(ctx context.Context) *Tables {
	for {
		changed := v.Changed()
		if t := v.Tables(); t != nil {
			return t
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
