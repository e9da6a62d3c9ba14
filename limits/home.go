package limits

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// AllocatorConfig holds the quotas of the tenancies of a home domain.
type AllocatorConfig struct {
	Quotas map[string]Amount // per tenancy and minute
	// CutOffShare is the part of each quota that is reserved for each failure domain while it
	// is cut off from the home.
	CutOffShare float64
	Domains     int
	// LeaseTTL is the time for which a share may be spent without renewal.
	LeaseTTL time.Duration
	// DriftMargin is added before an expired lease is reclaimed, for the drift of a host's clock.
	DriftMargin time.Duration
}

const (
	defaultLeaseTTL    = 6 * time.Second // three demands, one every 2 s
	defaultDriftMargin = 500 * time.Millisecond
	// maxLeaseTTL and maxRefundAge together with the drift margin must stay below Window, so
	// that a refund arrives before the spending that it takes back has left the window.
	maxLeaseTTL  = 12 * time.Second
	maxRefundAge = 45 * time.Second
	// maxReserved bounds what the cut-off shares of all domains take out of a quota.
	maxReserved = 0.5
)

// lease is what Home knows of a host's share.
type lease struct {
	Host        string
	Incarnation uint64
	Seq         uint64
	Spent       Amount // as last reported
	Held        Amount // what the host may still spend
	Granted     Amount // added by the answer to Seq
	Want        Amount
	Expires     time.Time
	Answer      Share
}

// account is the state of a tenancy. Leases are ordered by host, so that equal commands
// give equal state on every replica.
type account struct {
	Leases []lease
	Window slidingWindow
}

// Allocator grants shares of quotas to hosts. It is a deterministic state machine: equal calls
// give equal state and answers on every replica.
type Allocator struct {
	cfg      AllocatorConfig
	accounts map[string]*account
}

// NewAllocator returns a Home without leases.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	if cfg.LeaseTTL <= 0 {
		cfg.LeaseTTL = defaultLeaseTTL
	}
	cfg.LeaseTTL = min(cfg.LeaseTTL, maxLeaseTTL)
	if cfg.DriftMargin <= 0 {
		cfg.DriftMargin = defaultDriftMargin
	}
	return &Allocator{cfg: cfg, accounts: make(map[string]*account)}
}

// SetQuotas replaces the quotas, as after a change of the configuration. Amounts already
// granted stay with their hosts until their leases end.
func (h *Allocator) SetQuotas(quotas map[string]Amount) { h.cfg.Quotas = quotas }

// grantable is the part of a quota that is leased; the rest is reserved for cut-off domains.
func (h *Allocator) grantable(quota Amount) Amount {
	reserved := min(maxReserved, h.cfg.CutOffShare*float64(h.cfg.Domains))
	return quota.Sub(ceilScale(quota, reserved))
}

func ceilScale(a Amount, f float64) Amount {
	s := a.Scale(f)
	if f > 0 {
		s = s.Add(Amount{1, 1}).Min(a)
	}
	return s
}

// CutOffQuota returns the amount per minute that one of a domain's hosts may spend while it
// has no lease. The sum over all hosts stays within what Home keeps out of its grants.
func CutOffQuota(quota Amount, cutOffShare float64, domains, hostsInDomain int) Amount {
	share := min(cutOffShare, maxReserved/float64(max(1, domains)))
	return quota.Scale(share / float64(max(1, hostsInDomain)))
}

// Lease processes a demand of a host and returns its share. A repeated demand gets the first
// answer again; an older one gets an answer without a grant.
func (h *Allocator) Lease(now time.Time, host string, d Demand) (Share, error) {
	quota, ok := h.cfg.Quotas[d.Tenancy]
	if !ok {
		return Share{}, &errs.NotFound{Kind: "tenancy", ID: d.Tenancy}
	}
	a := h.accounts[d.Tenancy]
	if a == nil {
		a = &account{}
		h.accounts[d.Tenancy] = a
	}
	a.reclaim(now)
	l, repeated := a.leaseOf(host, d)
	if repeated {
		return l.Answer, nil
	}
	if l == nil {
		return Share{Tenancy: d.Tenancy, Seq: d.Seq, Quota: quota}, nil
	}
	a.settle(now, l, d)
	pool := h.grantable(quota).Sub(a.Window.Sum).Max(Amount{})
	available := pool.Sub(a.held()).Max(Amount{})
	l.Want = d.Want.Max(Amount{})
	l.Granted = a.fair(l, d, pool, available)
	l.Held = l.Held.Add(l.Granted)
	l.Expires = now.Add(h.cfg.LeaseTTL + h.cfg.DriftMargin)
	l.Answer = Share{Tenancy: d.Tenancy, Seq: d.Seq, Held: l.Held, TTL: h.cfg.LeaseTTL, Quota: quota}
	if missing := d.Want.Sub(l.Held).Max(Amount{}); missing != (Amount{}) {
		l.Answer.RetryAfter = a.Window.freeAt(now, d.Need.Max(Amount{1, 1}).Sub(available))
	}
	return l.Answer, nil
}

// reclaim ends expired leases. What their hosts held may have been spent up to the end, so it
// stays in the window from now on.
func (a *account) reclaim(now time.Time) {
	a.Window.expire(now)
	a.Leases = slices.DeleteFunc(a.Leases, func(l lease) bool {
		if now.Before(l.Expires) {
			return false
		}
		a.Window.add(now, l.Held.Max(Amount{}))
		return true
	})
}

// leaseOf finds or creates the lease of a host. It returns nil for a demand that is older than
// one already processed.
func (a *account) leaseOf(host string, d Demand) (l *lease, repeated bool) {
	i, found := slices.BinarySearchFunc(a.Leases, host, func(l lease, host string) int {
		return strings.Compare(l.Host, host)
	})
	if !found {
		// Held is not trusted: an expired lease was charged in full, a new one holds nothing.
		fresh := lease{Host: host, Incarnation: d.Incarnation, Spent: d.Spent}
		a.Leases = slices.Insert(a.Leases, i, fresh)
		return &a.Leases[i], false
	}
	l = &a.Leases[i]
	switch {
	case d.Incarnation < l.Incarnation || (d.Incarnation == l.Incarnation && d.Seq < l.Seq):
		return nil, false
	case d.Incarnation == l.Incarnation && d.Seq == l.Seq:
		return l, true
	}
	return l, false
}

// settle brings the lease up to date with the host's report.
func (a *account) settle(now time.Time, l *lease, d Demand) {
	if d.Incarnation != l.Incarnation {
		// The old process is gone; what it held may have been spent.
		a.Window.add(now, l.Held.Max(Amount{}))
		*l = lease{Host: l.Host, Incarnation: d.Incarnation, Seq: d.Seq, Spent: d.Spent}
		return
	}
	if d.Applied != l.Seq && l.Seq != 0 {
		// The last answer did not reach the host, which ignores answers to older demands.
		l.Held = l.Held.Sub(l.Granted)
	}
	spent := d.Spent.Sub(l.Spent).Max(Amount{})
	l.Held = l.Held.Sub(spent).Min(d.Held)
	a.Window.add(now, spent)
	if d.Applied == l.Seq {
		// The demand was sent after the last answer, so it is at most a lease old, and what it
		// refunds is still in the window (see maxRefundAge).
		a.Window.refund(now, d.Refund)
	}
	l.Seq, l.Spent = d.Seq, d.Spent
}

func (a *account) held() Amount {
	var sum Amount
	for i := range a.Leases {
		sum = sum.Add(a.Leases[i].Held.Max(Amount{}))
	}
	return sum
}

// fair divides the pool, which is what is neither spent nor reserved, in proportion to the
// hosts' wants. A host that was refused a
// reservation gets at least that much where it exists, because a quota split into parts
// smaller than a request would serve nobody.
func (a *account) fair(l *lease, d Demand, pool, available Amount) Amount {
	var total Amount
	for i := range a.Leases {
		total = total.Add(a.Leases[i].Want)
	}
	target := Amount{
		Requests: proportion(pool.Requests, d.Want.Requests, total.Requests),
		Tokens:   proportion(pool.Tokens, d.Want.Tokens, total.Tokens),
	}
	part := target.Min(d.Want).Sub(l.Held).Max(Amount{}).Min(available)
	if need := d.Need.Sub(l.Held).Max(Amount{}); available.Covers(need) {
		part = part.Max(need)
	}
	return part
}

func proportion(pool, want, total int64) int64 {
	if total <= 0 {
		return 0
	}
	return int64(float64(pool) * float64(want) / float64(total))
}

// Snapshot encodes the state.
func (h *Allocator) Snapshot() ([]byte, error) {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, &errs.Corrupt{What: "limits snapshot", Detail: err.Error()}
	}
	data, err := mode.Marshal(h.accounts)
	if err != nil {
		return nil, &errs.Corrupt{What: "limits snapshot", Detail: err.Error()}
	}
	return data, nil
}

// Restore replaces the state by a snapshot.
func (h *Allocator) Restore(data []byte) error {
	accounts := make(map[string]*account)
	if err := cbor.Unmarshal(data, &accounts); err != nil {
		return &errs.Corrupt{What: "limits snapshot", Detail: err.Error()}
	}
	h.accounts = accounts
	return nil
}
