package limits

import (
	"slices"
	"time"
)

// LimiterConfig holds the parameters of a Host.
type LimiterConfig struct {
	Incarnation uint64
	// CutOff is the amount per minute that this host may spend of each tenancy's quota while
	// it has no lease, see CutOffQuota.
	CutOff map[string]Amount
	// CutOffNotBefore is the time before which nothing of CutOff may be spent. A process sets it to
	// one Window after its start, because an earlier process of the host may have spent its
	// share just before.
	CutOffNotBefore time.Time
	// MaxIDs bounds the request IDs that are remembered.
	MaxIDs int
	// DemandInterval is the time between demands; a host asks for what it used in that time
	// and some more.
	DemandInterval time.Duration
}

const (
	defaultMaxIDs         = 1 << 16
	defaultDemandInterval = 2 * time.Second
	urgentInterval        = 100 * time.Millisecond // after a refusal
	// headroom is how much more than its recent use a host asks for.
	headroom = 1.5
	// useDecay is the weight of the newest interval in the estimate of use.
	useDecay = 0.5
)

// reservation is what is remembered of a request ID.
type reservation struct {
	tenancy string
	tokens  int64
	at      time.Time
	leased  bool // taken from the lease, not from the cut-off share
	settled bool
}

// account of a host.
type hostAccount struct {
	tenancy string
	quota   Amount
	held    Amount
	expires time.Time
	spent   Amount    // total of leased amounts
	told    Amount    // spent, as of the newest demand
	refund  Amount    // to be reported with the next demand
	oldest  time.Time // reservation time of the oldest part of refund
	cutOff  slidingWindow
	cutOffQ Amount
	seq     uint64
	applied uint64
	sentAt  time.Time
	since   Amount // attempted since the last demand
	use     Amount // smoothed use per demand interval
	need    Amount
	retry   time.Time
}

// Limiter enforces the quotas of tenancies on one host, against its leased shares.
type Limiter struct {
	cfg      LimiterConfig
	accounts map[string]*hostAccount
	names    []string // sorted, so that runs are repeatable
	ids      map[string]reservation
	order    []string // ring of IDs, oldest at next once full
	next     int
}

// NewLimiter returns a Host without shares.
func NewLimiter(cfg LimiterConfig) *Limiter {
	if cfg.MaxIDs <= 0 {
		cfg.MaxIDs = defaultMaxIDs
	}
	if cfg.DemandInterval <= 0 {
		cfg.DemandInterval = defaultDemandInterval
	}
	return &Limiter{cfg: cfg, accounts: make(map[string]*hostAccount), ids: make(map[string]reservation)}
}

func (h *Limiter) account(tenancy string) *hostAccount {
	a := h.accounts[tenancy]
	if a == nil {
		a = &hostAccount{tenancy: tenancy, cutOffQ: h.cfg.CutOff[tenancy]}
		h.accounts[tenancy] = a
		i, _ := slices.BinarySearch(h.names, tenancy)
		h.names = slices.Insert(h.names, i, tenancy)
	}
	return a
}

// SetCutOff replaces the amounts that may be spent without a lease, as after a change of the
// configuration.
func (h *Limiter) SetCutOff(cutOff map[string]Amount) {
	h.cfg.CutOff = cutOff
	for name, a := range h.accounts {
		a.cutOffQ = cutOff[name]
	}
}

// RemoveTenancy drops a tenancy that no longer exists.
func (h *Limiter) RemoveTenancy(tenancy string) {
	delete(h.accounts, tenancy)
	h.names = slices.DeleteFunc(h.names, func(n string) bool { return n == tenancy })
}

// Reserve takes requests and tokens together, or neither and returns an Exceeded. A repeated
// ID that is still remembered reserves nothing again.
func (h *Limiter) Reserve(now time.Time, id, tenancy string, requests, tokens int64) error {
	if _, ok := h.ids[id]; ok {
		return nil
	}
	a := h.account(tenancy)
	amount := Amount{requests, tokens}
	a.since = a.since.Add(amount)
	leased := now.Before(a.expires)
	if leased {
		if !a.held.Covers(amount) {
			a.need = a.need.Max(amount)
			return a.exceeded(now, a.held)
		}
		a.held = a.held.Sub(amount)
		a.spent = a.spent.Add(amount)
	} else {
		a.held = Amount{}
		a.cutOff.expire(now)
		rest := a.cutOffQ.Sub(a.cutOff.Sum)
		if now.Before(h.cfg.CutOffNotBefore) {
			rest = Amount{}
		}
		if !rest.Covers(amount) {
			a.need = a.need.Max(amount)
			return a.exceeded(now, rest)
		}
		a.cutOff.add(now, amount)
	}
	h.remember(id, reservation{tenancy: tenancy, tokens: tokens, at: now, leased: leased})
	return nil
}

func (a *hostAccount) exceeded(now time.Time, rest Amount) *Exceeded {
	limit := a.quota
	if limit == (Amount{}) {
		limit = a.cutOffQ
	}
	return &Exceeded{Tenancy: a.tenancy, Limit: limit, Remaining: rest.Max(Amount{}), After: max(time.Second, a.retry.Sub(now))}
}

// remember stores a reservation and forgets the oldest one when the memory is full. A
// forgotten reservation stays charged in full.
func (h *Limiter) remember(id string, r reservation) {
	if len(h.order) < h.cfg.MaxIDs {
		h.order = append(h.order, id)
	} else {
		delete(h.ids, h.order[h.next])
		h.order[h.next] = id
		h.next = (h.next + 1) % h.cfg.MaxIDs
	}
	h.ids[id] = r
}

// Settle replaces the reserved tokens of a request by the tokens it used. Unused tokens
// return to the home, which grants them again: if the host spent them itself and was then cut
// off, the home would drop the first charge from its window too early. Tokens beyond the
// reservation are charged and may make the share negative. A second settlement changes nothing.
func (h *Limiter) Settle(now time.Time, id string, actualTokens int64) {
	r, ok := h.ids[id]
	if !ok || r.settled {
		return
	}
	r.settled = true
	h.ids[id] = r
	a := h.accounts[r.tenancy]
	if a == nil {
		return
	}
	over := Amount{Tokens: actualTokens - r.tokens}
	unused := Amount{}.Sub(over)
	switch age := now.Sub(r.at); {
	case over.Tokens >= 0 && r.leased:
		a.spent = a.spent.Add(over)
		a.held = a.held.Sub(over)
	case over.Tokens >= 0:
		a.cutOff.add(now, over)
	case r.leased && age < maxRefundAge:
		if a.refund == (Amount{}) || r.at.Before(a.oldest) {
			a.oldest = r.at
		}
		a.refund = a.refund.Add(unused)
	case !r.leased && age < Window:
		a.cutOff.refund(now, unused)
	}
}

// Demands returns the reports and requests that are due, one per tenancy in use. The caller
// sends each to the tenancy's home.
func (h *Limiter) Demands(now time.Time) []Demand {
	var out []Demand
	for _, name := range h.names {
		a := h.accounts[name]
		wait := h.cfg.DemandInterval
		if a.need != (Amount{}) {
			wait = urgentInterval
		}
		if now.Sub(a.sentAt) < wait {
			continue
		}
		out = append(out, a.demand(now, h.cfg.Incarnation))
	}
	return out
}

func (a *hostAccount) demand(now time.Time, incarnation uint64) Demand {
	if !now.Before(a.expires) {
		a.held = a.held.Min(Amount{})
	}
	a.use = Amount{
		Requests: smooth(a.use.Requests, a.since.Requests),
		Tokens:   smooth(a.use.Tokens, a.since.Tokens),
	}
	want := a.use.Scale(headroom).Max(a.need).Max(a.since)
	a.held = a.held.Min(want) // the surplus returns to the home
	a.seq++
	a.sentAt = now
	if now.Sub(a.oldest) >= maxRefundAge {
		a.refund = Amount{}
	}
	a.told = a.spent
	d := Demand{Tenancy: a.tenancy, Incarnation: incarnation, Seq: a.seq, Applied: a.applied, Spent: a.spent, Refund: a.refund, Held: a.held, Want: want, Need: a.need}
	a.since, a.need, a.refund = Amount{}, Amount{}, Amount{}
	return d
}

func smooth(old, latest int64) int64 {
	return int64(useDecay*float64(latest) + (1-useDecay)*float64(old))
}

// ApplyShare applies the answer to the newest demand. An answer to an older one is ignored, because
// the home has taken its grant back.
func (h *Limiter) ApplyShare(now time.Time, s Share) {
	a := h.accounts[s.Tenancy]
	if a == nil || s.Seq != a.seq || a.applied == s.Seq {
		return
	}
	end := a.sentAt.Add(s.TTL) // measured from the time of sending, which the home cannot precede
	if !now.Before(end) {
		return
	}
	a.applied = s.Seq
	a.quota = s.Quota
	a.held = s.Held.Sub(a.spent.Sub(a.told))
	a.expires = end
	a.retry = now.Add(s.RetryAfter)
}
