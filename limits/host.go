package limits

import (
	"slices"
	"time"
)

// LimiterConfig holds the parameters of the limiter of a host.
type LimiterConfig struct {
	// Incarnation distinguishes the processes of a host; a restart must raise it.
	Incarnation uint64
	// CutOff is the amount per window, by key, that this host may spend without a lease;
	// see CutOffQuota.
	CutOff map[string]Amount
	// CutOffNotBefore is the time before which CutOff may not be spent. A process sets it to one
	// Window after its start, because the previous process of the host may have spent the
	// amount just before.
	CutOffNotBefore time.Time
	// MaxIDs limits the number of request IDs kept for deduplication and settlement.
	MaxIDs int
	// DemandInterval is the time between demands. A demand asks for the estimated use of one
	// interval times demandFactor.
	DemandInterval time.Duration
	// OnDemand limits demands to what was refused. It is for quotas of few requests, where a share that a host
	// gets ahead and does not use is missing elsewhere.
	OnDemand bool
	// MinRetryAfter is the least time after which a refused reservation is worth another try.
	MinRetryAfter time.Duration
}

const (
	defaultMaxIDs         = 1 << 16
	defaultDemandInterval = 2 * time.Second
	defaultMinRetryAfter  = time.Second
	refusedDemandInterval = 100 * time.Millisecond // after a refused reservation
	// demandFactor is the ratio of the amount that a host asks for to its recent use.
	demandFactor = 1.5
	// useSmoothing is the weight of the newest interval in the moving average of use.
	useSmoothing = 0.5
)

// reservation is a reservation that was accepted for a request ID.
type reservation struct {
	key     string
	tokens  int64
	at      time.Time
	leased  bool // charged to the lease, not to the cut-off share
	settled bool
}

// hostQuotaState is a host's view of one quota.
type hostQuotaState struct {
	key           string
	quota         Amount
	held          Amount
	expires       time.Time
	spent         Amount    // total spent from leases since the start of the process
	reportedSpent Amount    // value of spent in the newest demand
	refund        Amount    // to be reported in the next demand
	oldestRefund  time.Time // time of the oldest reservation in refund
	cutOffWindow  slidingWindow
	cutOffQuota   Amount
	seq           uint64
	appliedSeq    uint64
	sentAt        time.Time
	attempted     Amount // reservations requested since the last demand, refused ones included
	averageUse    Amount // moving average of attempted per demand interval
	refused       Amount // reservations refused since the last demand
	need          Amount // largest reservation refused since the last demand
	retryAt       time.Time
}

// Limiter enforces quotas on one host, within the shares leased to it.
type Limiter struct {
	cfg          LimiterConfig
	quotas       map[string]*hostQuotaState
	keys         []string // sorted, so that demands have a deterministic order
	reservations map[string]reservation
	idRing       []string // ring buffer of the keys of reservations
	oldestID     int      // index of the oldest ID in idRing once it is full
}

// NewLimiter returns a limiter without leases.
func NewLimiter(cfg LimiterConfig) *Limiter {
	if cfg.MaxIDs <= 0 {
		cfg.MaxIDs = defaultMaxIDs
	}
	if cfg.DemandInterval <= 0 {
		cfg.DemandInterval = defaultDemandInterval
	}
	if cfg.MinRetryAfter <= 0 {
		cfg.MinRetryAfter = defaultMinRetryAfter
	}
	return &Limiter{cfg: cfg, quotas: make(map[string]*hostQuotaState), reservations: make(map[string]reservation)}
}

func (h *Limiter) quotaState(key string) *hostQuotaState {
	t := h.quotas[key]
	if t == nil {
		t = &hostQuotaState{key: key, cutOffQuota: h.cfg.CutOff[key]}
		h.quotas[key] = t
		i, _ := slices.BinarySearch(h.keys, key)
		h.keys = slices.Insert(h.keys, i, key)
	}
	return t
}

// SetCutOff replaces the amounts that may be spent without a lease, for example after a
// configuration change.
func (h *Limiter) SetCutOff(cutOff map[string]Amount) {
	h.cfg.CutOff = cutOff
	for name, t := range h.quotas {
		t.cutOffQuota = cutOff[name]
	}
}

// Remove removes the state of a quota that no longer exists.
func (h *Limiter) Remove(key string) {
	delete(h.quotas, key)
	h.keys = slices.DeleteFunc(h.keys, func(n string) bool { return n == key })
}

// Reserve reserves requests and tokens together, or returns *Exceeded and reserves neither. It
// does nothing for an ID that already has a reservation; the newest MaxIDs IDs are kept.
func (h *Limiter) Reserve(now time.Time, id, key string, requests, tokens int64) error {
	if _, ok := h.reservations[id]; ok {
		return nil
	}
	t := h.quotaState(key)
	amount := Amount{requests, tokens}
	t.attempted = t.attempted.Add(amount)
	leased := now.Before(t.expires)
	if leased {
		if !t.held.Covers(amount) {
			return t.refuse(now, amount, t.held, h.cfg.MinRetryAfter)
		}
		t.held = t.held.Sub(amount)
		t.spent = t.spent.Add(amount)
	} else {
		t.held = Amount{}
		t.cutOffWindow.expire(now)
		remaining := t.cutOffQuota.Sub(t.cutOffWindow.Sum)
		if now.Before(h.cfg.CutOffNotBefore) {
			remaining = Amount{}
		}
		if !remaining.Covers(amount) {
			return t.refuse(now, amount, remaining, h.cfg.MinRetryAfter)
		}
		t.cutOffWindow.add(now, amount)
	}
	h.recordReservation(id, reservation{key: key, tokens: tokens, at: now, leased: leased})
	return nil
}

// Covers reports whether Reserve would accept a reservation against the lease of a quota.
func (h *Limiter) Covers(now time.Time, key string, a Amount) bool {
	t := h.quotas[key]
	return t != nil && now.Before(t.expires) && t.held.Covers(a)
}

// refuse records that a reservation exceeds what remains and returns its error.
func (t *hostQuotaState) refuse(now time.Time, amount, remaining Amount, minRetryAfter time.Duration) *Exceeded {
	t.refused = t.refused.Add(amount)
	t.need = t.need.Max(amount)
	quota := t.quota
	if quota == (Amount{}) {
		quota = t.cutOffQuota
	}
	return &Exceeded{Key: t.key, Limit: quota, Remaining: remaining.Max(Amount{}), After: max(minRetryAfter, t.retryAt.Sub(now))}
}

// recordReservation stores a reservation and evicts the oldest one at MaxIDs. An evicted
// reservation can no longer be settled and stays charged in full.
func (h *Limiter) recordReservation(id string, r reservation) {
	if len(h.idRing) < h.cfg.MaxIDs {
		h.idRing = append(h.idRing, id)
	} else {
		delete(h.reservations, h.idRing[h.oldestID])
		h.idRing[h.oldestID] = id
		h.oldestID = (h.oldestID + 1) % h.cfg.MaxIDs
	}
	h.reservations[id] = r
}

// Settle replaces the reserved tokens of a request with the tokens it actually used. Unused
// tokens are refunded to the home domain, which grants them again. If the host spent them itself
// and then lost its connection, the home domain would drop the first charge from its window too
// early. Tokens beyond the reservation are charged and may make the share negative. A second
// settlement changes nothing.
func (h *Limiter) Settle(now time.Time, id string, actualTokens int64) {
	r, ok := h.reservations[id]
	if !ok || r.settled {
		return
	}
	r.settled = true
	h.reservations[id] = r
	t := h.quotas[r.key]
	if t == nil {
		return
	}
	excess := Amount{Tokens: actualTokens - r.tokens}
	unused := Amount{}.Sub(excess)
	switch age := now.Sub(r.at); {
	case excess.Tokens >= 0 && r.leased:
		t.spent = t.spent.Add(excess)
		t.held = t.held.Sub(excess)
	case excess.Tokens >= 0:
		t.cutOffWindow.add(now, excess)
	case r.leased && age < maxRefundAge:
		if t.refund == (Amount{}) || r.at.Before(t.oldestRefund) {
			t.oldestRefund = r.at
		}
		t.refund = t.refund.Add(unused)
	case !r.leased && age < Window:
		t.cutOffWindow.refund(now, unused)
	}
}

// Demands returns the demands that are due, at most one per quota in use. The caller sends
// each to the allocator of the quota.
func (h *Limiter) Demands(now time.Time) []Demand {
	var due []Demand
	for _, name := range h.keys {
		t := h.quotas[name]
		interval := h.cfg.DemandInterval
		if t.need != (Amount{}) {
			interval = refusedDemandInterval
		}
		if now.Sub(t.sentAt) < interval {
			continue
		}
		due = append(due, t.nextDemand(now, &h.cfg))
	}
	return due
}

// Demand returns a demand for a quota, whether or not it is due.
func (h *Limiter) Demand(now time.Time, key string) Demand {
	return h.quotaState(key).nextDemand(now, &h.cfg)
}

// nextDemand returns the next demand and resets the counters that it reports.
func (t *hostQuotaState) nextDemand(now time.Time, cfg *LimiterConfig) Demand {
	if !now.Before(t.expires) {
		t.held = t.held.Min(Amount{})
	}
	t.averageUse = Amount{
		Requests: exponentialAverage(t.averageUse.Requests, t.attempted.Requests),
		Tokens:   exponentialAverage(t.averageUse.Tokens, t.attempted.Tokens),
	}
	want := t.averageUse.Scale(demandFactor).Max(t.need).Max(t.attempted)
	if cfg.OnDemand {
		want = t.refused
	}
	t.held = t.held.Min(want) // the surplus is returned to the home domain
	t.seq++
	t.sentAt = now
	if now.Sub(t.oldestRefund) >= maxRefundAge {
		t.refund = Amount{}
	}
	t.reportedSpent = t.spent
	d := Demand{Key: t.key, Incarnation: cfg.Incarnation, Seq: t.seq, Applied: t.appliedSeq, Spent: t.spent, Refund: t.refund, Held: t.held, Want: want, Need: t.need}
	t.attempted, t.refused, t.need, t.refund = Amount{}, Amount{}, Amount{}, Amount{}
	return d
}

// exponentialAverage adds a sample to an exponential moving average.
func exponentialAverage(average, sample int64) int64 {
	return int64(useSmoothing*float64(sample) + (1-useSmoothing)*float64(average))
}

// ApplyShare applies the answer to the newest demand. An answer to an older demand is ignored,
// because the home domain takes back grants that the next demand does not confirm.
func (h *Limiter) ApplyShare(now time.Time, s Share) {
	t := h.quotas[s.Key]
	if t == nil || s.Seq != t.seq || t.appliedSeq == s.Seq {
		return
	}
	// The lease is counted from the sending of the demand, which precedes its processing, so it
	// expires here before it expires at the home domain.
	expires := t.sentAt.Add(s.TTL)
	if !now.Before(expires) {
		return
	}
	t.appliedSeq = s.Seq
	t.quota = s.Quota
	t.held = s.Held.Sub(t.spent.Sub(t.reportedSpent))
	t.expires = expires
	t.retryAt = now.Add(s.RetryAfter)
}
