package limits

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// AllocatorConfig holds quotas, such as those of the tenancies of a home domain. The field names are part
// of the encoding of stored snapshots.
type AllocatorConfig struct {
	Quotas map[string]Amount // by key, per Window
	// Window is the length of the sliding window over which the quotas apply; 0 means the constant Window.
	Window time.Duration `cbor:",omitempty"`
	// CutOffShare is the fraction of each quota that is reserved for each failure domain, to be
	// spent while the domain cannot reach the home domain.
	CutOffShare float64
	// Domains is the number of failure domains.
	Domains int
	// LeaseTTL is the time for which a share may be spent without renewal.
	LeaseTTL time.Duration
	// DriftMargin delays the reclaim of an expired lease, to tolerate the drift of host clocks.
	DriftMargin time.Duration
}

const (
	defaultLeaseTTL    = 6 * time.Second // three demand intervals
	defaultDriftMargin = 500 * time.Millisecond
	// The sum of maxLeaseTTL, maxRefundAge and the drift margin must stay below Window, so that
	// a refund arrives before the spending it reverts has left the window.
	maxLeaseTTL  = 12 * time.Second
	maxRefundAge = 45 * time.Second
	// maxReservedFraction limits the sum of the cut-off shares of all failure domains.
	maxReservedFraction = 0.5
)

// lease is the record of a host's share of one quota. The field names are part of the encoding.
type lease struct {
	Host        string
	Incarnation uint64
	Seq         uint64
	Spent       Amount // total last reported by the host
	Held        Amount // amount that the host may still spend
	Granted     Amount // amount added by the answer to demand Seq
	Want        Amount
	Expires     time.Time
	Answer      Share
}

// quotaState holds the leases and the recent spending of a quota. Leases are sorted by
// host, so that the snapshots of all replicas are equal. The field names are part of the
// encoding.
type quotaState struct {
	Leases []lease
	Window slidingWindow
}

// Allocator grants shares of quotas to hosts. It is a deterministic state machine: the same sequence
// of calls gives the same state and the same answers on every replica.
type Allocator struct {
	cfg    AllocatorConfig
	quotas map[string]*quotaState
}

// NewAllocator returns an allocator without leases.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	if cfg.LeaseTTL <= 0 {
		cfg.LeaseTTL = defaultLeaseTTL
	}
	cfg.LeaseTTL = min(cfg.LeaseTTL, maxLeaseTTL)
	if cfg.DriftMargin <= 0 {
		cfg.DriftMargin = defaultDriftMargin
	}
	return &Allocator{cfg: cfg, quotas: make(map[string]*quotaState)}
}

// SetQuotas replaces the quotas, for example after a configuration change. Amounts already
// granted stay with their hosts until their leases expire.
func (h *Allocator) SetQuotas(quotas map[string]Amount) { h.cfg.Quotas = quotas }

// grantable returns the part of a quota that may be leased. The rest is reserved for failure
// domains that cannot reach the home domain.
func (h *Allocator) grantable(quota Amount) Amount {
	reserved := min(maxReservedFraction, h.cfg.CutOffShare*float64(h.cfg.Domains))
	return quota.Sub(scaleUp(quota, reserved))
}

// scaleUp returns a multiplied by the fraction and rounded up to at most a.
func scaleUp(a Amount, fraction float64) Amount {
	scaled := a.Scale(fraction)
	if fraction > 0 {
		scaled = scaled.Add(Amount{1, 1}).Min(a)
	}
	return scaled
}

// CutOffQuota returns the amount per minute that each host of a failure domain may spend
// without a lease. The sum over all hosts stays within the part of the quota that is excluded from
// grants.
func CutOffQuota(quota Amount, cutOffShare float64, domains, hostsInDomain int) Amount {
	share := min(cutOffShare, maxReservedFraction/float64(max(1, domains)))
	return quota.Scale(share / float64(max(1, hostsInDomain)))
}

// Lease processes a host's demand and returns the host's share. A repeated demand gets the same
// answer again; a demand older than the last one gets an answer without a grant. The error is
// *errs.NotFound for a key without a quota.
func (h *Allocator) Lease(now time.Time, host string, d Demand) (Share, error) {
	quota, ok := h.cfg.Quotas[d.Key]
	if !ok {
		return Share{}, &errs.NotFound{Kind: "quota", ID: d.Key}
	}
	state := h.state(d.Key)
	state.reclaimExpired(now)
	l, repeated := state.findOrCreateLease(host, d)
	if repeated {
		return l.Answer, nil
	}
	if l == nil {
		return Share{Key: d.Key, Seq: d.Seq, Quota: quota}, nil
	}
	state.applyReport(now, l, d)
	pool := h.grantable(quota).Sub(state.Window.Sum).Max(Amount{})
	available := pool.Sub(state.totalHeld()).Max(Amount{})
	l.Want = d.Want.Max(Amount{})
	l.Granted = state.fairGrant(l, d, pool, available)
	l.Held = l.Held.Add(l.Granted)
	l.Expires = now.Add(h.cfg.LeaseTTL + h.cfg.DriftMargin)
	l.Answer = Share{Key: d.Key, Seq: d.Seq, Held: l.Held, TTL: h.cfg.LeaseTTL, Quota: quota}
	if missing := d.Want.Sub(l.Held).Max(Amount{}); missing != (Amount{}) {
		l.Answer.RetryAfter = state.Window.timeUntilFree(now, d.Need.Max(Amount{1, 1}).Sub(available))
	}
	return l.Answer, nil
}

// state returns the state of a quota and creates it if necessary.
func (h *Allocator) state(key string) *quotaState {
	s := h.quotas[key]
	if s == nil {
		s = &quotaState{Window: slidingWindow{length: h.cfg.Window}}
		h.quotas[key] = s
	}
	return s
}

// Charge counts an amount as spent at a time, for example because an earlier allocator may have granted it.
func (h *Allocator) Charge(at time.Time, key string, a Amount) { h.state(key).Window.add(at, a) }

// InUse returns the amount of a quota that counts as spent or that hosts may still spend.
func (h *Allocator) InUse(now time.Time, key string) Amount {
	s := h.state(key)
	s.reclaimExpired(now)
	return s.Window.Sum.Add(s.totalHeld())
}

// reclaimExpired removes expired leases. Their hosts may have spent the held amounts up to the
// expiry, so these are charged to the window as of then.
func (s *quotaState) reclaimExpired(now time.Time) {
	s.Leases = slices.DeleteFunc(s.Leases, func(l lease) bool {
		if now.Before(l.Expires) {
			return false
		}
		s.Window.add(l.Expires, l.Held.Max(Amount{}))
		return true
	})
	s.Window.expire(now)
}

// findOrCreateLease returns the host's lease and whether the demand repeats the last one. It
// returns nil for a demand that is older than the last one processed.
func (s *quotaState) findOrCreateLease(host string, d Demand) (l *lease, repeated bool) {
	i, found := slices.BinarySearchFunc(s.Leases, host, func(l lease, host string) int {
		return strings.Compare(l.Host, host)
	})
	if !found {
		// The reported Held is ignored: an expired lease was charged in full, and a new lease
		// starts empty.
		created := lease{Host: host, Incarnation: d.Incarnation, Spent: d.Spent}
		s.Leases = slices.Insert(s.Leases, i, created)
		return &s.Leases[i], false
	}
	l = &s.Leases[i]
	switch {
	case d.Incarnation < l.Incarnation || (d.Incarnation == l.Incarnation && d.Seq < l.Seq):
		return nil, false
	case d.Incarnation == l.Incarnation && d.Seq == l.Seq:
		return l, true
	}
	return l, false
}

// applyReport updates the lease and the window with the spending and refund that a demand reports.
func (s *quotaState) applyReport(now time.Time, l *lease, d Demand) {
	if d.Incarnation != l.Incarnation {
		// The previous process of the host has ended and may have spent all that it held.
		s.Window.add(now, l.Held.Max(Amount{}))
		*l = lease{Host: l.Host, Incarnation: d.Incarnation, Seq: d.Seq, Spent: d.Spent}
		return
	}
	if d.Applied != l.Seq && l.Seq != 0 {
		// The host did not apply the last answer, and it ignores answers to all but its newest
		// demand, so the grant is taken back.
		l.Held = l.Held.Sub(l.Granted)
	}
	spent := d.Spent.Sub(l.Spent).Max(Amount{})
	l.Held = l.Held.Sub(spent).Min(d.Held)
	s.Window.add(now, spent)
	if d.Applied == l.Seq {
		// The demand was sent after the last answer, so it is at most one lease TTL old, and
		// the refunded spending is still in the window (see maxRefundAge).
		s.Window.refund(now, d.Refund)
	}
	l.Seq, l.Spent = d.Seq, d.Spent
}

// totalHeld returns the sum of the amounts that hosts may still spend.
func (s *quotaState) totalHeld() Amount {
	var sum Amount
	for i := range s.Leases {
		sum = sum.Add(s.Leases[i].Held.Max(Amount{}))
	}
	return sum
}

// fairGrant returns the amount to add to a lease. It divides the pool, which is the part of the
// quota neither spent nor reserved, in proportion to the amounts that hosts want. A host that had
// to refuse a reservation gets at least the amount of that reservation if it is available,
// because a quota split into parts smaller than one request would serve no request.
func (s *quotaState) fairGrant(l *lease, d Demand, pool, available Amount) Amount {
	var total Amount
	for i := range s.Leases {
		total = total.Add(s.Leases[i].Want)
	}
	fairShare := Amount{
		Requests: proportionalShare(pool.Requests, d.Want.Requests, total.Requests),
		Tokens:   proportionalShare(pool.Tokens, d.Want.Tokens, total.Tokens),
	}
	grant := fairShare.Min(d.Want).Sub(l.Held).Max(Amount{}).Min(available)
	if need := d.Need.Sub(l.Held).Max(Amount{}); available.Covers(need) {
		grant = grant.Max(need)
	}
	return grant
}

func proportionalShare(pool, want, total int64) int64 {
	if total <= 0 {
		return 0
	}
	return int64(float64(pool) * float64(want) / float64(total))
}

// Snapshot encodes the leases and windows of all quotas. The amounts of the quotas are not included.
func (h *Allocator) Snapshot() ([]byte, error) {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, &errs.Corrupt{What: "limits snapshot", Detail: err.Error()}
	}
	data, err := mode.Marshal(h.quotas)
	if err != nil {
		return nil, &errs.Corrupt{What: "limits snapshot", Detail: err.Error()}
	}
	return data, nil
}

// Restore replaces the leases and windows with those of a snapshot. The state is unchanged if
// it returns an error.
func (h *Allocator) Restore(data []byte) error {
	quotas := make(map[string]*quotaState)
	if err := cbor.Unmarshal(data, &quotas); err != nil {
		return &errs.Corrupt{What: "limits snapshot", Detail: err.Error()}
	}
	for _, s := range quotas {
		s.Window.length = h.cfg.Window
	}
	h.quotas = quotas
	return nil
}
