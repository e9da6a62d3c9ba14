// Package weights plans the rollout of model weights to the targets of one failure domain.
// Planner compares the versions that targets report with the desired version of each model. It
// issues orders with a fencing token and an expiry, a limited number at a time, until all
// targets have the desired versions.
package weights

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Config sets the limits of a Planner. Zero fields take the default values.
type Config struct {
	MaxUnavailable           float64       // share of a pool's targets that may be unavailable at once
	StoreRate                float64       // loads per second that this domain may request from the weight store
	StoreBurst               float64       // number of loads that may start at once
	FailuresBeforeQuarantine int           // failed swaps to one version that quarantine a model on a target
	OrderTTL                 time.Duration // time within which a target must start an order; shorter if the lease ends earlier
	SwapTimeout              time.Duration // limit from the first order to the report of the new version
	ResendInterval           time.Duration // interval at which an unanswered order is sent again
	RetryDelay               time.Duration // delay after a failed swap or an order refused for its fencing token
	LeaseMargin              time.Duration // orders expire at least this long before the lease
}

const (
	defaultMaxUnavailable = 0.25
	// defaultStoreRate swaps the 632 targets of a failure domain (12,000 in 19 domains)
	// within the 27 s of the capacity target.
	defaultStoreRate                = 24.0
	defaultStoreBurst               = 8.0
	defaultFailuresBeforeQuarantine = 2
	defaultOrderTTL                 = 2 * time.Second
	defaultSwapTimeout              = 30 * time.Second
	defaultResendInterval           = time.Second
	defaultRetryDelay               = time.Second
	defaultLeaseMargin              = 50 * time.Millisecond
	// fenceTermShift leaves the lower 32 bits of a fencing token for the sequence number.
	fenceTermShift = 32
	maxSequence    = math.MaxUint32
)

// Fence returns the fencing token of an order. Tokens increase with the term and, within a
// term, with the sequence number. Sequence numbers above 1<<32-1 all give the same token.
func Fence(term, seq uint64) uint64 { return term<<fenceTermShift | min(seq, maxSequence) }

// LeaderLease is the lease under which the leader issues orders. Valid is false if the caller
// does not hold the lease.
type LeaderLease struct {
	Term      uint64
	ExpiresAt time.Time
	Valid     bool
}

// PoolConfig is the configuration of one pool.
type PoolConfig struct {
	MaxUnavailable float64  // overrides Config.MaxUnavailable unless it is 0
	Models         []string // models that each target of the pool must have loaded
}

// TargetReport is the state of a target as reported by the target. Loaded maps each model to
// its version; 0 means that the version is uncertain. A model that is absent from Loaded gets
// orders only if it is in Pool.Models. LastFence is the highest fencing token that the target
// has accepted. Targets that are not Busy swap first.
type TargetReport struct {
	ID          string
	Incarnation uint64
	Pool        string
	Loaded      map[string]uint64
	LastFence   uint64
	Busy        bool
}

// Order tells a target to load a version of a model. The target must not start the load after
// ExpiresAt. Resend marks an order that was issued before with a lower fencing token.
type Order struct {
	Target    string
	Model     string
	Version   uint64
	Fence     uint64
	ExpiresAt time.Time
	Resend    bool
}

// OrderResult is the outcome of an order, successful if OK is set.
type OrderResult struct {
	Target   string
	Model    string
	Version  uint64
	Fence    uint64
	OK       bool
	OldFence bool   // refused because the target has accepted a higher fencing token
	NotSent  bool   // the target received no part of the order
	Reason   string // why the swap failed
}

// Quarantine describes a model on a target that gets no orders after repeated failures, until
// a newer version is desired or the target restarts.
type Quarantine struct {
	Target   string
	Model    string
	Version  uint64
	Reason   string
	Since    time.Time
	Failures int
}

// Stats holds counters since the creation of the planner and the current number of targets
// that need a swap.
type Stats struct {
	Orders    uint64
	Resends   uint64
	Failures  uint64
	OldFences uint64
	NoLease   uint64 // calls of Tick that needed to issue orders but had no usable lease
	Behind    int    // targets that need a swap or have an outstanding order
	Swapping  int    // of these, targets with an outstanding order
}

// Planner decides which targets swap weights and when. The leader of a failure domain keeps
// it in memory only; a new leader rebuilds it from reports. A Planner is not safe for
// concurrent use.
type Planner struct {
	cfg        Config
	desired    map[string]uint64
	pools      map[string]*pool
	targets    map[string]*target
	swapping   map[*target]struct{} // targets with an outstanding order
	pending    map[*target]struct{} // other targets that need a swap
	term       uint64
	seq        uint64
	tokens     float64
	lastRefill time.Time
	stats      Stats
}

type pool struct {
	maxUnavailable float64
	models         []string
	targets        map[string]*target
	unavailable    int // number of targets on which the version of some model is uncertain or being swapped
	quarantined    int // of these, targets that are unavailable only because of quarantines
}

type target struct {
	id          string
	incarnation uint64
	pool        *pool
	poolName    string
	models      map[string]*modelState
	lastFence   uint64
	busy        bool
	unavailable bool // counted in pool.unavailable
	quarantined bool // counted in pool.quarantined
}

// modelState is the state of one model on a target. The version is 0 while it is uncertain.
type modelState struct {
	name             string
	version          uint64
	order            *outstandingOrder
	failures         int
	failedVersion    uint64 // version to which the counted swaps failed
	retryAt          time.Time
	lateOrderExpires time.Time // until then the target may still start an ended order for lateOrderVersion
	lateOrderVersion uint64
	failureReason    string
	quarantinedAt    time.Time
	quarantined      bool
}

type outstandingOrder struct {
	version     uint64
	fences      []uint64 // fencing tokens of the order and of its resends
	firstIssued time.Time
	lastIssued  time.Time
	expiresAt   time.Time
	succeeded   bool // the target answered that the swap succeeded, but has not reported the version yet
}

// NewPlanner returns a planner without targets.
func NewPlanner(cfg Config) *Planner {
	cfg.MaxUnavailable = cmp.Or(cfg.MaxUnavailable, defaultMaxUnavailable)
	cfg.StoreRate = cmp.Or(cfg.StoreRate, defaultStoreRate)
	cfg.StoreBurst = cmp.Or(cfg.StoreBurst, defaultStoreBurst)
	cfg.FailuresBeforeQuarantine = cmp.Or(cfg.FailuresBeforeQuarantine, defaultFailuresBeforeQuarantine)
	cfg.OrderTTL = cmp.Or(cfg.OrderTTL, defaultOrderTTL)
	cfg.SwapTimeout = cmp.Or(cfg.SwapTimeout, defaultSwapTimeout)
	cfg.ResendInterval = cmp.Or(cfg.ResendInterval, defaultResendInterval)
	cfg.RetryDelay = cmp.Or(cfg.RetryDelay, defaultRetryDelay)
	cfg.LeaseMargin = cmp.Or(cfg.LeaseMargin, defaultLeaseMargin)
	return &Planner{cfg: cfg, desired: map[string]uint64{}, pools: map[string]*pool{}, targets: map[string]*target{},
		swapping: map[*target]struct{}{}, pending: map[*target]struct{}{}, tokens: cfg.StoreBurst}
}

// SetPool sets the configuration of a pool.
func (p *Planner) SetPool(name string, cfg PoolConfig) {
	pl := p.pool(name)
	pl.maxUnavailable, pl.models = cfg.MaxUnavailable, slices.Clone(cfg.Models)
	for _, t := range pl.targets {
		t.addModels(pl.models)
		p.updateIndexes(t)
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

// disruptionAllowed reports whether one more target of a pool may become unavailable. Even if
// quarantined targets alone reach the limit, one target at a time may swap. Otherwise the pool
// would keep its old weights until an operator intervenes.
func (p *Planner) disruptionAllowed(pl *pool) bool {
	maxShare := pl.maxUnavailable
	if maxShare == 0 {
		maxShare = p.cfg.MaxUnavailable
	}
	return pl.unavailable < int(maxShare*float64(len(pl.targets))) || pl.unavailable == pl.quarantined
}

// SetDesired sets the desired version of a model and ends the quarantines of the model. It has no
// effect unless the version is higher than the current one.
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
		m.clearQuarantine()
		p.updateIndexes(t)
	}
}

// Desired returns the desired version of a model, or 0 if none was set.
func (p *Planner) Desired(name string) uint64 { return p.desired[name] }

// UpdateTarget records the state of a target. A new incarnation clears outstanding orders, failures
// and quarantines. Reports of an older incarnation are ignored.
func (p *Planner) UpdateTarget(now time.Time, r TargetReport) {
	t := p.targets[r.ID]
	if t != nil && r.Incarnation < t.incarnation {
		return
	}
	if t == nil || r.Incarnation > t.incarnation || t.poolName != r.Pool {
		t = p.replaceTarget(now, t, r)
	}
	t.busy, t.lastFence = r.Busy, max(t.lastFence, r.LastFence)
	for name, version := range r.Loaded {
		t.addModels([]string{name})
		p.recordVersion(now, t.models[name], version)
	}
	for name, m := range t.models {
		if _, ok := r.Loaded[name]; ok {
			continue
		}
		if m.order == nil && !slices.Contains(t.pool.models, name) {
			delete(t.models, name)
			continue
		}
		p.recordVersion(now, m, 0)
	}
	p.updateIndexes(t)
}

// replaceTarget adds a target or replaces its former incarnation. An order to the former
// incarnation may still reach the new one until the order expires. Until then a version older
// than that of the order counts as uncertain.
func (p *Planner) replaceTarget(now time.Time, old *target, r TargetReport) *target {
	p.RemoveTarget(r.ID)
	pl := p.pool(r.Pool)
	t := &target{id: r.ID, incarnation: r.Incarnation, pool: pl, poolName: r.Pool, models: map[string]*modelState{}}
	t.addModels(pl.models)
	p.targets[r.ID], pl.targets[r.ID] = t, t
	if old == nil {
		return t
	}
	for name, m := range old.models {
		m.endOrder()
		if now.Before(m.lateOrderExpires) {
			t.addModels([]string{name})
			t.models[name].lateOrderVersion, t.models[name].lateOrderExpires = m.lateOrderVersion, m.lateOrderExpires
		}
	}
	return t
}

// recordVersion records the reported version of a model. The outstanding order ends when its
// version or a newer one is loaded. Otherwise it is sent again until it times out.
func (p *Planner) recordVersion(now time.Time, m *modelState, version uint64) {
	m.version = version
	if version < m.lateOrderVersion && now.Before(m.lateOrderExpires) {
		m.version = 0
	}
	o := m.order
	if o == nil {
		return
	}
	if version >= o.version {
		m.endOrder()
		m.failures = 0
		return
	}
	o.succeeded = false
}

// failIfTimedOut records a failure if the version of an outstanding order was not reported
// within the swap timeout and the order has expired. The last reported version stays valid,
// because the target cannot start an expired order.
func (p *Planner) failIfTimedOut(now time.Time, m *modelState) {
	if !now.After(m.order.firstIssued.Add(p.cfg.SwapTimeout)) || !now.After(m.order.expiresAt) {
		return
	}
	version := m.version
	p.recordFailure(now, m, "version "+formatUint(m.order.version)+" was not reported within "+p.cfg.SwapTimeout.String())
	m.version = version
}

// RemoveTarget deletes a target.
func (p *Planner) RemoveTarget(id string) {
	t := p.targets[id]
	if t == nil {
		return
	}
	p.setUnavailable(t, false, false)
	delete(t.pool.targets, id)
	delete(p.targets, id)
	delete(p.swapping, t)
	delete(p.pending, t)
}

func (t *target) addModels(names []string) {
	for _, name := range names {
		if t.models[name] == nil {
			t.models[name] = &modelState{name: name}
		}
	}
}

// RecordResult records the outcome of an order. A successful swap takes effect only when the target
// reports the version. After a failure the version counts as uncertain until the next report,
// so the caller must report the target again even if its state did not change.
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
		m.order.succeeded = true
	case r.NotSent:
		// The order stays outstanding and is sent again, because an earlier copy may have arrived.
	case r.OldFence:
		p.stats.OldFences++
		if r.Fence == m.order.fences[len(m.order.fences)-1] {
			m.endOrder()
			m.retryAt = now.Add(p.cfg.RetryDelay)
		} // otherwise a resend overtook this order, and the target may have started it
	default:
		p.recordFailure(now, m, r.Reason)
	}
	p.updateIndexes(t)
}

// recordFailure ends an order and quarantines the model after too many failures. The version
// is uncertain until the next report of the target.
func (p *Planner) recordFailure(now time.Time, m *modelState, reason string) {
	p.stats.Failures++
	if m.failedVersion != m.order.version {
		m.failures, m.failedVersion = 0, m.order.version
	}
	m.failures++
	m.endOrder()
	m.version, m.failureReason = 0, reason
	m.retryAt = now.Add(p.cfg.RetryDelay)
	if m.failures >= p.cfg.FailuresBeforeQuarantine {
		m.quarantined, m.quarantinedAt = true, now
	}
}

// endOrder removes the outstanding order. The order or a resend may still reach the target
// until it expires, so endOrder keeps its version and expiry.
func (m *modelState) endOrder() {
	if m.order != nil {
		m.lateOrderExpires, m.lateOrderVersion, m.order = m.order.expiresAt, m.order.version, nil
	}
}

// canOrder reports whether an order for a version may be issued now. Orders for two versions
// must not be in transit at once: a target that ignores fencing tokens would keep the version
// that arrives last.
func (m *modelState) canOrder(now time.Time, version uint64) bool {
	return !now.Before(m.retryAt) && (m.lateOrderVersion == version || now.After(m.lateOrderExpires))
}

func (m *modelState) clearQuarantine() {
	m.quarantined, m.failures, m.failureReason, m.retryAt = false, 0, "", time.Time{}
}

// serving reports whether the version of the model is certain and no order may change it.
func (m *modelState) serving() bool { return m.version > 0 && m.order == nil }

// updateIndexes updates the pool's counts and the sets of targets after a change of a target.
func (p *Planner) updateIndexes(t *target) {
	unavailable, recoverable, swapping, needsSwap := false, false, false, false
	for name, m := range t.models {
		unavailable = unavailable || !m.serving()
		recoverable = recoverable || !m.serving() && !m.quarantined
		swapping = swapping || m.order != nil
		needsSwap = needsSwap || p.needsSwap(name, m)
	}
	p.setUnavailable(t, unavailable, unavailable && !recoverable)
	setMember(p.swapping, t, swapping)
	setMember(p.pending, t, needsSwap && !swapping)
}

func setMember(set map[*target]struct{}, t *target, member bool) {
	if member {
		set[t] = struct{}{}
	} else {
		delete(set, t)
	}
}

func (p *Planner) setUnavailable(t *target, unavailable, quarantined bool) {
	t.pool.unavailable += boolToInt(unavailable) - boolToInt(t.unavailable)
	t.pool.quarantined += boolToInt(quarantined) - boolToInt(t.quarantined)
	t.unavailable, t.quarantined = unavailable, quarantined
}

func (p *Planner) needsSwap(name string, m *modelState) bool {
	return !m.quarantined && m.version < p.desired[name]
}

// ServingVersion returns the version of a model that a target serves. ok is false while the
// version is uncertain or an order may change it.
func (p *Planner) ServingVersion(id, name string) (version uint64, ok bool) {
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

// Quarantined returns the quarantines, sorted by target and model.
func (p *Planner) Quarantined() []Quarantine {
	var list []Quarantine
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		t := p.targets[id]
		for _, name := range slices.Sorted(maps.Keys(t.models)) {
			if m := t.models[name]; m.quarantined {
				list = append(list, Quarantine{Target: id, Model: name, Version: m.failedVersion, Reason: m.failureReason, Since: m.quarantinedAt, Failures: m.failures})
			}
		}
	}
	return list
}

// Stats returns the counters and the current numbers of targets that need a swap.
func (p *Planner) Stats() Stats {
	stats := p.stats
	stats.Swapping = len(p.swapping)
	stats.Behind = len(p.pending) + len(p.swapping)
	return stats
}
