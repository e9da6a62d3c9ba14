package clusterview

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/routes"
)

// The times of a View.
const (
	// targetExpiry is the silence after which a target is forgotten. Targets that are cut off
	// from the store hosts for some seconds still serve.
	targetExpiry = 20 * time.Second
	// targetRefresh bounds how old the age of a silent target is at other hosts.
	targetRefresh = 5 * time.Second
	// relayRefresh is the same for what another store host has passed on. It leaves a host that
	// hears of a target only by relays some time before the target expires.
	relayRefresh = 15 * time.Second
	// storeExpiry is how long a store host that is no seed is watched without a sign of it.
	storeExpiry = 30 * time.Second
)

// View is what one host knows. It is safe for concurrent use.
type View struct {
	log   *slog.Logger
	seeds []string
	table atomic.Pointer[routes.Table]

	mu       sync.Mutex
	config   Config
	registry *fleet.Registry
	stores   map[string]storeSeen // by IP
	leader   string
	term     uint64
	led      time.Time            // when a host last said that it knows the leader
	voters   []string             // of the state group, by the newest term
	said     map[string]time.Time // when a store host last sent an event, by IP
	changed  chan struct{}        // closed at each change
}

type storeSeen struct {
	StoreHost
	heard time.Time
}

// NewView returns a view that knows only the addresses of the seeds.
func NewView(log *slog.Logger, seeds []string) *View {
	return &View{log: log, seeds: seeds, registry: fleet.NewRegistry(targetExpiry, targetRefresh, relayRefresh),
		stores: make(map[string]storeSeen), said: make(map[string]time.Time), changed: make(chan struct{})}
}

// notify wakes all waiters; the caller holds the lock.
func (v *View) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// SetSeeds replaces the addresses of the seeds.
func (v *View) SetSeeds(seeds []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seeds = seeds
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Table returns the routes in force, or nil before the first configuration is known.
func (v *View) Table() *routes.Table { return v.table.Load() }

// ApplyConfig puts a committed configuration into force unless a version at least as high is.
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
	v.log.Info("configuration in force", "version", c.Version, "previous", v.config.Version, "from", from, "routes", len(decoded.Routes))
	v.config = c
	v.table.Store(routes.NewTable(decoded))
	v.notify()
}

// Merge takes in an event of a watch.
func (v *View) Merge(e *Event) {
	if e.Config != nil {
		v.ApplyConfig(*e.Config, e.From.ReplicaID)
	}
	now := bootclock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.seeStore(now, e.From)
	for _, s := range e.Stores {
		changed = v.seeStore(now, s) || changed
	}
	v.said[e.From.IP()] = now
	if e.Leader != "" && e.Term >= v.term {
		v.led = now
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
	if changed {
		v.notify()
	}
}

func (v *View) seeStore(now time.Time, s StoreHost) bool {
	if s.ReplicaID == "" {
		return false
	}
	old, known := v.stores[s.IP()]
	v.stores[s.IP()] = storeSeen{s, now}
	return !known || old.ReplicaID != s.ReplicaID
}

// mergeTarget logs what other decisions depend on; the caller holds the lock.
func (v *View) mergeTarget(now time.Time, t fleet.Target, from string, merge func(time.Time, fleet.Target) bool) bool {
	old, known := v.registry.Get(t.ID)
	before := v.registry.Revision()
	if !merge(now, t) {
		return false
	}
	current, _ := v.registry.Get(t.ID)
	if !known || old.State != current.State || old.Incarnation != current.Incarnation {
		v.log.Info("target changed", "target", t.ID, "service", t.Service, "address", t.Address, "state", current.State,
			"previous", old.State, "sequence", t.Sequence, "age_ms", t.Age.Milliseconds(), "from", from)
	}
	return v.registry.Revision() != before
}

// UpdateTarget takes in a statement that a target made to this host.
func (v *View) UpdateTarget(t fleet.Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.mergeTarget(bootclock.Now(), t, "itself", v.registry.Update) {
		v.notify()
	}
}

// MarkTargetGone takes in that a target ends. It reports whether the target is known.
func (v *View) MarkTargetGone(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.registry.Revision()
	known := v.registry.MarkGone(bootclock.Now(), id)
	if v.registry.Revision() != before {
		v.log.Info("target changed", "target", id, "state", fleet.Gone, "from", "itself")
		v.notify()
	}
	return known
}

// Expire forgets targets and store hosts that have been silent for long.
func (v *View) Expire() {
	now := bootclock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range v.registry.Expire(now) {
		v.log.Info("target forgotten", "target", id, "silence_ms", targetExpiry.Milliseconds())
	}
	maps.DeleteFunc(v.stores, func(_ string, s storeSeen) bool { return now.Sub(s.heard) > storeExpiry })
}

// Serving lists the targets of a service that take new work.
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

// Target returns what is known of a target.
func (v *View) Target(id string) (fleet.Target, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.Get(id)
}

// TargetsSince lists targets for a watch; see fleet.Registry.ChangesSince.
func (v *View) TargetsSince(rev uint64) ([]fleet.Target, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.registry.ChangesSince(bootclock.Now(), rev)
}

// ConfigAfter returns the configuration in force if it is newer than version.
func (v *View) ConfigAfter(version uint64) *Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config.Version <= version {
		return nil
	}
	c := v.config
	return &c
}

// SetLeader records the leader that this host's own replica knows.
func (v *View) SetLeader(id string, term uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if id == "" || term < v.term || (id == v.leader && term == v.term) {
		return
	}
	v.log.Info("leader of the state group changed", "leader", id, "term", term, "previous", v.leader, "from", "own replica")
	v.leader, v.term = id, term
	v.notify()
}

// Leader returns the replica that leads in the newest term that is known, or "".
func (v *View) Leader() (id string, term uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader, v.term
}

// LeaderAge returns the time since a store host last said that it knows the leader of the newest
// term.
func (v *View) LeaderAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.led.IsZero() {
		return targetExpiry
	}
	return bootclock.Now().Sub(v.led)
}

// LeaderReported tells whether a store host has said since the start of this host that it knows a
// leader.
func (v *View) LeaderReported() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.led.IsZero()
}

// MajorityAge returns the time since more than half of the voters of the state group were last
// heard. A host that hears fewer is cut off from the others, while one that hears most of them
// may see the next leader soon.
func (v *View) MajorityAge() time.Duration {
	now := bootclock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	ages := make([]time.Duration, 0, len(v.voters))
	for _, id := range v.voters {
		age := targetExpiry
		if at, ok := v.said[ReplicaIP(id)]; ok {
			age = now.Sub(at)
		}
		ages = append(ages, age)
	}
	if len(ages) == 0 {
		return targetExpiry
	}
	slices.Sort(ages)
	return ages[len(ages)/2]
}

// StoreIPs lists the addresses of the seeds, the leader, the voters and the other known store
// hosts, in a stable order. After a restart of all hosts the leader may be no seed, and only its
// events name the store hosts that do not vote.
func (v *View) StoreIPs() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	ips := slices.Clone(v.seeds)
	for ip := range v.stores {
		ips = append(ips, ip)
	}
	for _, id := range v.voters {
		ips = append(ips, ReplicaIP(id))
	}
	if v.leader != "" {
		ips = append(ips, ReplicaIP(v.leader))
	}
	slices.Sort(ips)
	return slices.Compact(ips)
}

// RecordStore takes in that a store host has announced itself to this host.
func (v *View) RecordStore(s StoreHost) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.seeStore(bootclock.Now(), s) {
		v.notify()
	}
}

// WaitConfig waits until a configuration is known or ctx ends.
func (v *View) WaitConfig(ctx context.Context) *routes.Table {
	for {
		changed := v.Changed()
		if t := v.Table(); t != nil {
			return t
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
