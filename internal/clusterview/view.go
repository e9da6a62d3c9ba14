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

type storeEntry struct {
	StoreHost
	lastSeen time.Time
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

func (v *View) recordStore(now time.Time, s StoreHost) bool {
	if s.ReplicaID == "" {
		return false
	}
	old, known := v.stores[s.IP()]
	if known && old.ReplicaID == s.ReplicaID && s.Domain == "" {
		s = old.StoreHost // an announcement by RecordStore may name the replica only
	}
	v.stores[s.IP()] = storeEntry{s, now}
	return !known || old.ReplicaID != s.ReplicaID
}

// mergeTarget merges a target report with merge and logs changes that affect decisions. It reports
// whether there is something to pass on at once; ages wait for the next heartbeat of a watch. The caller
// holds the lock.
func (v *View) mergeTarget(now time.Time, t fleet.Target, from string, merge func(time.Time, fleet.Target) bool) bool {
	if err := t.Validate(); err != nil {
		v.log.Warn("target report ignored", "target", t.ID, "from", from, "error", err.Error())
		return false
	}
	t.Source = from
	old, known := v.registry.Get(t.ID)
	before := v.registry.UrgentRevision()
	if !merge(now, t) {
		return false
	}
	current, _ := v.registry.Get(t.ID)
	if !known || old.State != current.State || old.Incarnation != current.Incarnation {
		v.log.Info("target changed", "target", t.ID, "service", t.Service, "address", t.Address, "state", current.State,
			"previous", old.State, "incarnation", t.Incarnation, "sequence", t.Sequence, "age_ms", t.Age.Milliseconds(), "from", from)
	}
	return v.registry.UrgentRevision() != before
}

// UpdateTarget records a report that a target sent directly to this host.
func (v *View) UpdateTarget(t fleet.Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.mergeTarget(bootclock.Now(), t, "itself", v.registry.Update) {
		v.changed.Announce()
	}
}

// MarkTargetGone records that a target is terminating, and returns its departure. known is false if there is
// no report of the target.
func (v *View) MarkTargetGone(id string) (d fleet.Departure, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.registry.Revision()
	d, known = v.registry.MarkGone(bootclock.Now(), id)
	if v.registry.Revision() != before {
		v.log.Info("target changed", "target", id, "incarnation", d.Incarnation, "state", fleet.Gone, "from", "itself")
		v.changed.Announce()
	}
	return d, known
}

// JustRestarted reports whether a deregistration of the target may be a late one of its earlier incarnation.
func (v *View) JustRestarted(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.JustRestarted(bootclock.Now(), id)
}

// RecordDeparture records that a target has announced that it leaves. The parameter from names the source in
// the log.
func (v *View) RecordDeparture(d fleet.Departure, from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recordDeparture(bootclock.Now(), d, from) {
		v.changed.Announce()
	}
}

// recordDeparture implements RecordDeparture and reports whether the departure is news to pass on. The caller holds
// the lock.
func (v *View) recordDeparture(now time.Time, d fleet.Departure, from string) (isNew bool) {
	isNew = !v.registry.HasDeparted(d)
	if v.registry.Depart(now, d) {
		v.log.Info("target changed", "target", d.Target, "incarnation", d.Incarnation, "state", fleet.Draining, "previous", fleet.Ready, "from", from)
	}
	return isNew
}

// DeparturesSince returns the departures to send in a watch stream; see fleet.Registry.DeparturesSince.
func (v *View) DeparturesSince(revision uint64) ([]fleet.Departure, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.DeparturesSince(revision, maxSentDepartures)
}

// RecordNotice records that a target has announced in an answer to this host that it leaves. The parameter source
// names the kind of the answer. It is for this host alone; OnNotice is called for each new notice.
func (v *View) RecordNotice(d fleet.Departure, source string) {
	v.mu.Lock()
	isNew := v.registry.Notice(d)
	if isNew {
		v.log.Info("target announced that it leaves", "target", d.Target, "incarnation", d.Incarnation, "source", source)
		v.changed.Announce()
	}
	v.mu.Unlock()
	if isNew && v.OnNotice != nil {
		v.OnNotice(d, source)
	}
}

// Accepts reports whether an incarnation of a target may get new work as far as this host knows.
func (v *View) Accepts(id string, incarnation int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Accepts(id, incarnation)
}

// UsesLater reports whether a later incarnation of the target than the one that leaves accepts new work.
func (v *View) UsesLater(d fleet.Departure) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.UsesLater(d)
}

// HasDeparted reports whether the departure of an incarnation of a target is known to more than this host.
func (v *View) HasDeparted(d fleet.Departure) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.HasDeparted(d)
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

// Serving returns the targets of a service that accept new work. An empty service selects all.
func (v *View) Serving(service string) []fleet.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Serving(service)
}

// CountTargets returns the number of targets in a state.
func (v *View) CountTargets(state fleet.State) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Count(state)
}

// Target returns the target with the given ID, if it is known.
func (v *View) Target(id string) (fleet.Target, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Get(id)
}

// TargetsSince returns the targets to send in a watch stream; see fleet.Registry.ChangesSince.
func (v *View) TargetsSince(rev uint64) ([]fleet.Target, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.ChangesSince(bootclock.Now(), rev)
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

// StoreIPs returns the sorted IP addresses of the seeds, the leader, the voters and the other known
// store hosts. The leader is included because, after a restart of all hosts, it may not be a seed,
// and only its events list the non-voting store hosts.
func (v *View) StoreIPs() []string {
	in := v.sourceInput()
	return in.all()
}

// Sources returns the sorted IP addresses of the store hosts that the host at IP address self watches.
func (v *View) Sources(self, domain string, isStoreHost bool) []string {
	in := v.sourceInput()
	in.self, in.domain, in.isStoreHost = self, domain, isStoreHost
	in.hearsMajority = v.MajorityAge() < majorityTimeout
	return selectSources(&in)
}

// Publishes reports whether news that reaches the store host at IP address self reaches other hosts. A store
// host of a large system that hears no voter is watched by none, and must not acknowledge such news.
func (v *View) Publishes(self string) bool {
	in := v.sourceInput()
	in.self = self
	voterAge := targetExpiry
	if ages := v.voterAges(); len(ages) > 0 {
		voterAge = ages[0]
	}
	return publishes(&in, voterAge)
}

// sourceInput returns what the view knows of the store hosts.
func (v *View) sourceInput() sourceInput {
	v.mu.Lock()
	defer v.mu.Unlock()
	in := sourceInput{seeds: v.seeds}
	for _, s := range v.stores {
		in.stores = append(in.stores, s.StoreHost)
	}
	for _, id := range v.voters {
		in.voters = append(in.voters, ReplicaIP(id))
	}
	if v.leader != "" {
		in.leader = ReplicaIP(v.leader)
	}
	return in
}

// RecordStore records a store host that has announced itself to this host.
func (v *View) RecordStore(s StoreHost) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recordStore(bootclock.Now(), s) {
		v.changed.Announce()
	}
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
