// Package weights plans the swap orders of one failure domain. Planner compares the versions
// that targets report with the desired version of each model and gives fenced, expiring
// orders in waves until they agree.
package weights

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Config sets the limits of a Planner. Zero fields take the defaults below.
type Config struct {
	MaxUnavailable           float64       // share of a pool's targets that may be out of service at once
	StoreRate                float64       // loads per second that the weight store allows this domain
	StoreBurst               float64       // loads that may start at once
	FailuresBeforeQuarantine int           // failed swaps to one version
	OrderTimeout             time.Duration // longest time in which a target may start an order
	SwapTimeout              time.Duration // time from the first order to the report of the version
	RepeatInterval           time.Duration // pause between repetitions of an order
	RetryDelay               time.Duration // pause after a failed swap
	LeaseMargin              time.Duration // an order expires this long before the lease
}

const (
	defaultMaxUnavailable = 0.25
	// defaultStoreRate swaps the 632 targets of a failure domain (12,000 in 19 domains)
	// within the 27 s of the capacity target.
	defaultStoreRate      = 24.0
	defaultStoreBurst     = 8.0
	defaultFailures       = 2
	defaultOrderTimeout   = 2 * time.Second
	defaultSwapTimeout    = 30 * time.Second
	defaultRepeatInterval = time.Second
	defaultRetryDelay     = time.Second
	defaultLeaseMargin    = 50 * time.Millisecond
	// fenceTermShift leaves 32 bits for the orders of one term.
	fenceTermShift = 32
	maxSequence    = math.MaxUint32
)

// Fence returns the fencing number of an order. It rises with the term and, within a term,
// with the sequence number.
func Fence(term, seq uint64) uint64 { return term<<fenceTermShift | min(seq, maxSequence) }

// LeaderLease is the right to give orders: the term of the leadership and the end of its
// lease.
type LeaderLease struct {
	Term      uint64
	ExpiresAt time.Time
	Valid     bool
}

// PoolConfig overrides Config for one pool.
type PoolConfig struct {
	MaxUnavailable float64  // 0 means Config.MaxUnavailable
	Models         []string // models that each target of the pool must hold
}

// TargetReport is the state that a target states about itself. Loaded maps each model to
// its version; 0 means that the version is uncertain. A model that is absent gets orders only
// when Pool.Models names it.
type TargetReport struct {
	ID          string
	Incarnation uint64
	Pool        string
	Loaded      map[string]uint64
	LastFence   uint64
	Busy        bool
}

// Order tells a target to load a version. The target must not start it after ExpiresAt.
type Order struct {
	Target    string
	Model     string
	Version   uint64
	Fence     uint64
	ExpiresAt time.Time
	Repeat    bool
}

// OrderResult is the answer of a target to an order.
type OrderResult struct {
	Target   string
	Model    string
	Version  uint64
	Fence    uint64
	OK       bool
	OldFence bool   // refused because the target knows a newer fencing number
	NotSent  bool   // no byte of the order reached the target
	Reason   string // why the swap failed
}

// Quarantine is a model on a target that gets no more orders.
type Quarantine struct {
	Target   string
	Model    string
	Version  uint64
	Reason   string
	Since    time.Time
	Failures int
}

// Stats count events since the planner was created.
type Stats struct {
	Orders      uint64
	Repeats     uint64
	Failures    uint64
	OldFences   uint64
	NoAuthority uint64 // calls of Tick without a usable lease while targets are behind
	Behind      int    // targets with a model to swap
	Swapping    int    // of these, targets with an outstanding order
}

// Planner gives swap orders. It is soft state of the domain leader and is not safe for
// concurrent use.
type Planner struct {
	cfg      Config
	desired  map[string]uint64
	pools    map[string]*pool
	targets  map[string]*target
	swapping map[*target]struct{} // targets with an outstanding order
	waiting  map[*target]struct{} // other targets with a model to swap
	term     uint64
	seq      uint64
	tokens   float64
	refill   time.Time
	stats    Stats
}

type pool struct {
	share   float64
	models  []string
	targets map[string]*target
	out     int // targets that are out of service
	idle    int // of these, targets whose only cause is a quarantine
}

type target struct {
	id          string
	incarnation uint64
	pool        *pool
	poolName    string
	models      map[string]*model
	lastFence   uint64
	busy        bool
	out         bool // counted in pool.out
	idle        bool // counted in pool.idle
}

// model is the state of one model on a target. version is 0 while it is uncertain.
type model struct {
	name     string
	version  uint64
	order    *outstanding
	failures int
	failedOn uint64 // version of the failures
	retryAt  time.Time
	unsure   time.Time // until then an order for version unsureOf that is over may still start
	unsureOf uint64
	reason   string
	since    time.Time // start of the quarantine
	quarant  bool
}

type outstanding struct {
	version uint64
	fences  []uint64 // of the order and its repetitions
	first   time.Time
	last    time.Time
	expires time.Time
	done    bool // the target answered that the swap succeeded
}

// NewPlanner returns a planner without targets.
func NewPlanner(cfg Config) *Planner {
	setDefault(&cfg.MaxUnavailable, defaultMaxUnavailable)
	setDefault(&cfg.StoreRate, defaultStoreRate)
	setDefault(&cfg.StoreBurst, defaultStoreBurst)
	setDefault(&cfg.FailuresBeforeQuarantine, defaultFailures)
	setDefault(&cfg.OrderTimeout, defaultOrderTimeout)
	setDefault(&cfg.SwapTimeout, defaultSwapTimeout)
	setDefault(&cfg.RepeatInterval, defaultRepeatInterval)
	setDefault(&cfg.RetryDelay, defaultRetryDelay)
	setDefault(&cfg.LeaseMargin, defaultLeaseMargin)
	return &Planner{cfg: cfg, desired: map[string]uint64{}, pools: map[string]*pool{}, targets: map[string]*target{},
		swapping: map[*target]struct{}{}, waiting: map[*target]struct{}{}, tokens: cfg.StoreBurst}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// SetPool sets the limits and models of a pool.
func (p *Planner) SetPool(name string, cfg PoolConfig) {
	pl := p.pool(name)
	pl.share, pl.models = cfg.MaxUnavailable, slices.Clone(cfg.Models)
	for _, t := range pl.targets {
		t.addModels(pl.models)
		p.refresh(t)
	}
}

func (p *Planner) pool(name string) *pool {
	pl := p.pools[name]
	if pl == nil {
		pl = &pool{targets: map[string]*target{}}
		p.pools[name] = pl
	}
	return pl
}

// mayStop reports whether one more target of a pool may go out of service. When quarantined
// targets alone exhaust the limit, one target at a time still swaps: otherwise the pool would
// stay on old weights until an operator acts.
func (p *Planner) mayStop(pl *pool) bool {
	share := pl.share
	if share == 0 {
		share = p.cfg.MaxUnavailable
	}
	return pl.out < int(share*float64(len(pl.targets))) || pl.out == pl.idle
}

// SetDesired raises the desired version of a model. A lower version has no effect. A newer
// version releases quarantines.
func (p *Planner) SetDesired(now time.Time, name string, version uint64) {
	if version <= p.desired[name] {
		return
	}
	p.desired[name] = version
	for _, t := range p.targets {
		m := t.models[name]
		if m == nil {
			continue
		}
		m.release()
		p.refresh(t)
	}
}

// Desired returns the desired version of a model, or 0.
func (p *Planner) Desired(name string) uint64 { return p.desired[name] }

// UpdateTarget takes the state of a target. A new incarnation forgets outstanding orders, failures
// and quarantines; an older incarnation is ignored.
func (p *Planner) UpdateTarget(now time.Time, r TargetReport) {
	t := p.targets[r.ID]
	if t != nil && r.Incarnation < t.incarnation {
		return
	}
	if t == nil || r.Incarnation > t.incarnation || t.poolName != r.Pool {
		t = p.replace(now, t, r)
	}
	t.busy, t.lastFence = r.Busy, max(t.lastFence, r.LastFence)
	for name, version := range r.Loaded {
		t.addModels([]string{name})
		p.reported(now, t.models[name], version)
	}
	for name, m := range t.models {
		if _, ok := r.Loaded[name]; ok {
			continue
		}
		if m.order == nil && !slices.Contains(t.pool.models, name) {
			delete(t.models, name)
			continue
		}
		p.reported(now, m, 0)
	}
	p.refresh(t)
}

// replace adds a target in place of its former incarnation. An order to the former one may
// still reach the new one until it expires; until then an older version counts as uncertain.
func (p *Planner) replace(now time.Time, old *target, r TargetReport) *target {
	p.RemoveTarget(r.ID)
	pl := p.pool(r.Pool)
	t := &target{id: r.ID, incarnation: r.Incarnation, pool: pl, poolName: r.Pool, models: map[string]*model{}}
	t.addModels(pl.models)
	p.targets[r.ID], pl.targets[r.ID] = t, t
	if old == nil {
		return t
	}
	for name, m := range old.models {
		m.end()
		if now.Before(m.unsure) {
			t.addModels([]string{name})
			t.models[name].unsureOf, t.models[name].unsure = m.unsureOf, m.unsure
		}
	}
	return t
}

// reported takes the reported version of a model. Its order is over when the version is
// loaded; otherwise it is repeated until it times out.
func (p *Planner) reported(now time.Time, m *model, version uint64) {
	m.version = version
	if version < m.unsureOf && now.Before(m.unsure) {
		m.version = 0
	}
	o := m.order
	if o == nil {
		return
	}
	if version >= o.version {
		m.end()
		m.failures = 0
		return
	}
	o.done = false
}

// timeout fails a swap whose version was not reported in time. The last reported version
// holds: the order expired long before, so the target cannot start it any more.
func (p *Planner) timeout(now time.Time, m *model) {
	if !now.After(m.order.first.Add(p.cfg.SwapTimeout)) || !now.After(m.order.expires) {
		return
	}
	version := m.version
	p.failed(now, m, "version "+uitoa(m.order.version)+" was not reported within "+p.cfg.SwapTimeout.String())
	m.version = version
}

// RemoveTarget forgets a target that left.
func (p *Planner) RemoveTarget(id string) {
	t := p.targets[id]
	if t == nil {
		return
	}
	p.count(t, false, false)
	delete(t.pool.targets, id)
	delete(p.targets, id)
	delete(p.swapping, t)
	delete(p.waiting, t)
}

func (t *target) addModels(names []string) {
	for _, name := range names {
		if t.models[name] == nil {
			t.models[name] = &model{name: name}
		}
	}
}

// RecordResult takes the answer to an order. Success is only trusted once the target reports the
// version. After a failure the caller must report the target again, even when its state did
// not change: until then its version counts as uncertain.
func (p *Planner) RecordResult(now time.Time, r OrderResult) {
	t := p.targets[r.Target]
	if t == nil {
		return
	}
	m := t.models[r.Model]
	if m == nil || m.order == nil || !slices.Contains(m.order.fences, r.Fence) {
		return
	}
	switch {
	case r.OK:
		m.order.done = true
	case r.NotSent:
		// The order is repeated; an earlier one may have arrived.
	case r.OldFence:
		p.stats.OldFences++
		if r.Fence == m.order.fences[len(m.order.fences)-1] {
			m.end()
			m.retryAt = now.Add(p.cfg.RetryDelay)
		} // otherwise a repetition overtook this order and may have started
	default:
		p.failed(now, m, r.Reason)
	}
	p.refresh(t)
}

// failed ends an order. The version stays uncertain until the target reports it again.
func (p *Planner) failed(now time.Time, m *model, reason string) {
	p.stats.Failures++
	if m.failedOn != m.order.version {
		m.failures, m.failedOn = 0, m.order.version
	}
	m.failures++
	m.end()
	m.version, m.reason = 0, reason
	m.retryAt = now.Add(p.cfg.RetryDelay)
	if m.failures >= p.cfg.FailuresBeforeQuarantine {
		m.quarant, m.since = true, now
	}
}

// end forgets the order. It or a repetition may still arrive until it expires.
func (m *model) end() {
	if m.order != nil {
		m.unsure, m.unsureOf, m.order = m.order.expires, m.order.version, nil
	}
}

// mayOrder reports whether an order for a version can be given. Two versions are never on
// the way at once: a target that ignores fencing numbers would obey the later arrival.
func (m *model) mayOrder(now time.Time, version uint64) bool {
	return !now.Before(m.retryAt) && (m.unsureOf == version || now.After(m.unsure))
}

func (m *model) release() {
	m.quarant, m.failures, m.reason, m.retryAt = false, 0, "", time.Time{}
}

// serving reports whether the version of the model is certain.
func (m *model) serving() bool { return m.version > 0 && m.order == nil }

// refresh restores the counts and indexes that depend on a target.
func (p *Planner) refresh(t *target) {
	out, active, swapping, wanted := false, false, false, false
	for name, m := range t.models {
		out = out || !m.serving()
		active = active || !m.serving() && !m.quarant
		swapping = swapping || m.order != nil
		wanted = wanted || p.wants(name, m)
	}
	p.count(t, out, out && !active)
	setMember(p.swapping, t, swapping)
	setMember(p.waiting, t, wanted && !swapping)
}

func setMember(set map[*target]struct{}, t *target, member bool) {
	if member {
		set[t] = struct{}{}
	} else {
		delete(set, t)
	}
}

func (p *Planner) count(t *target, out, idle bool) {
	t.pool.out += rank(out) - rank(t.out)
	t.pool.idle += rank(idle) - rank(t.idle)
	t.out, t.idle = out, idle
}

func (p *Planner) wants(name string, m *model) bool { return !m.quarant && m.version < p.desired[name] }

// Serving returns the version of a model that a target may serve. It is not ok while the
// version is uncertain or an order may change it.
func (p *Planner) Serving(id, name string) (version uint64, ok bool) {
	t := p.targets[id]
	if t == nil {
		return 0, false
	}
	m := t.models[name]
	if m == nil || !m.serving() {
		return 0, false
	}
	return m.version, true
}

// Quarantined lists the quarantines by target and model.
func (p *Planner) Quarantined() []Quarantine {
	var list []Quarantine
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		t := p.targets[id]
		for _, name := range slices.Sorted(maps.Keys(t.models)) {
			if m := t.models[name]; m.quarant {
				list = append(list, Quarantine{Target: id, Model: name, Version: m.failedOn, Reason: m.reason, Since: m.since, Failures: m.failures})
			}
		}
	}
	return list
}

// Stats returns the counts of events and the present state.
func (p *Planner) Stats() Stats {
	st := p.stats
	st.Swapping = len(p.swapping)
	st.Behind = len(p.waiting) + len(p.swapping)
	return st
}
