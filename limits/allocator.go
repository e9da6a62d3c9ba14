package limits

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// AllocatorConfig holds the quotas of the tenancies of a home domain. The field names are part of
// the encoding of stored snapshots.
type AllocatorConfig struct {
	Quotas map[string]Amount // by tenancy, per minute
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

// tenancyState holds the leases and the recent spending of a tenancy. Leases are sorted by
// host, so that the snapshots of all replicas are equal. The field names are part of the
// encoding.
type tenancyState struct {
	Leases []lease
	Window slidingWindow
}

// Allocator grants shares of quotas to hosts. It is a deterministic state machine: the same sequence
// of calls gives the same state and the same answers on every replica.
type Allocator struct {
	cfg       AllocatorConfig
	tenancies map[string]*tenancyState
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
	return &Allocator{cfg: cfg, tenancies: make(map[string]*tenancyState)}
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
// *errs.NotFound for a tenancy without a quota.
func (h *Allocator) Lease(now time.Time, host string, d Demand) (Share, error) {
	quota, ok := h.cfg.Quotas[d.Tenancy]
	if !ok {
		return Share{}, &errs.NotFound{Kind: "tenancy", ID: d.Tenancy}
	}
	state := h.tenancies[d.Tenancy]
	if state == nil {
		state = &tenancyState{}
		h.tenancies[d.Tenancy] = state
	}
	state.reclaimExpired(now)
	l, repeated := state.findOrCreateLease(host, d)
	if repeated {
		return l.Answer, nil
	}
	if l == nil {
		return Share{Tenancy: d.Tenancy, Seq: d.Seq, Quota: quota}, nil
	}
	state.applyReport(now, l, d)
	pool := h.grantable(quota).Sub(state.Window.Sum).Max(Amount{})
	available := pool.Sub(state.totalHeld()).Max(Amount{})
	l.Want = d.Want.Max(Amount{})
	l.Granted = state.fairGrant(l, d, pool, available)
	l.Held = l.Held.Add(l.Granted)
	l.Expires = now.Add(h.cfg.LeaseTTL + h.cfg.DriftMargin)
	l.Answer = Share{Tenancy: d.Tenancy, Seq: d.Seq, Held: l.Held, TTL: h.cfg.LeaseTTL, Quota: quota}
	if missing := d.Want.Sub(l.Held).Max(Amount{}); missing != (Amount{}) {
		l.Answer.RetryAfter = state.Window.timeUntilFree(now, d.Need.Max(Amount{1, 1}).Sub(available))
	}
	return l.Answer, nil
}

// reclaimExpired removes expired leases. Their hosts may have spent the held amounts up to the
// expiry, so these are charged to the window.
func (t *tenancyState) reclaimExpired(now time.Time) {
	t.Window.expire(now)
	t.Leases = slices.DeleteFunc(t.Leases, func(l lease) bool {
		if now.Before(l.Expires) {
			return false
		}
		t.Window.add(now, l.Held.Max(Amount{}))
		return true
	})
}

// findOrCreateLease returns the host's lease and whether the demand repeats the last one. It
// returns nil for a demand that is older than the last one processed.
func (t *tenancyState) findOrCreateLease(host string, d Demand) (l *lease, repeated bool) {
	i, found := slices.BinarySearchFunc(t.Leases, host, func(l lease, host string) int {
		return strings.Compare(l.Host, host)
	})
	if !found {
		// The reported Held is ignored: an expired lease was charged in full, and a new lease
		// starts empty.
		created := lease{Host: host, Incarnation: d.Incarnation, Spent: d.Spent}
		t.Leases = slices.Insert(t.Leases, i, created)
		return &t.Leases[i], false
	}
	l = &t.Leases[i]
	switch {
	case d.Incarnation < l.Incarnation || (d.Incarnation == l.Incarnation && d.Seq < l.Seq):
		return nil, false
	case d.Incarnation == l.Incarnation && d.Seq == l.Seq:
		return l, true
	}
	return l, false
}

// applyReport updates the lease and the window with the spending and refund that a demand reports.
func (t *tenancyState) applyReport(now time.Time, l *lease, d Demand) {
	if d.Incarnation != l.Incarnation {
		// The previous process of the host has ended and may have spent all that it held.
		t.Window.add(now, l.Held.Max(Amount{}))
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
	t.Window.add(now, spent)
	if d.Applied == l.Seq {
		// The demand was sent after the last answer, so it is at most one lease TTL old, and
		// the refunded spending is still in the window (see maxRefundAge).
		t.Window.refund(now, d.Refund)
	}
	l.Seq, l.Spent = d.Seq, d.Spent
}

// totalHeld returns the sum of the amounts that hosts may still spend.
func (t *tenancyState) totalHeld() Amount {
	var sum Amount
	for i := range t.Leases {
		sum = sum.Add(t.Leases[i].Held.Max(Amount{}))
	}
	return sum
}

// fairGrant returns the amount to add to a lease. It divides the pool, which is the part of the
// quota neither spent nor reserved, in proportion to the amounts that hosts want. A host that had
// to refuse a reservation gets at least the amount of that reservation if it is available,
// because a quota split into parts smaller than one request would serve no request.
func (t *tenancyState) fairGrant(l *lease, d Demand, pool, available Amount) Amount {
	var total Amount
	for i := range t.Leases {
		total = total.Add(t.Leases[i].Want)
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

// Snapshot encodes the leases and windows of all tenancies. The quotas are not included.
func (h *Allocator) Snapshot() ([]byte, error) {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, &errs.Corrupt{What: "limits snapshot", Detail: err.Error()}
	}
	data, err := mode.Marshal(h.tenancies)
	if err != nil {
		return nil, &errs.Corrupt{What: "limits snapshot", Detail: err.Error()}
	}
	return data, nil
}

// Restore replaces the leases and windows with those of a snapshot. The state is unchanged if
// it returns an error.
func (h *Allocator) Restore(data []byte) error {
	tenancies := make(map[string]*tenancyState)
	if err := cbor.Unmarshal(data, &tenancies); err != nil {
		return &errs.Corrupt{What: "limits snapshot", Detail: err.Error()}
	}
	h.tenancies = tenancies
	return nil
}
