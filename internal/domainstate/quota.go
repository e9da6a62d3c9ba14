package domainstate

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
	"fuchsiaflow/limits"
)

// KindQuota is the kind of the section implemented by Quota.
const KindQuota = "quota"

// QuotaCommand requests a share of a tenancy's quota for a host. It includes the quota of the
// proposer's configuration, because a section has no access to the configuration. The quota with
// the highest ConfigVersion applies.
type QuotaCommand struct {
	Host          string        `cbor:"1,keyasint"`
	Demand        limits.Demand `cbor:"2,keyasint"`
	AtMs          int64         `cbor:"3,keyasint"` // Unix milliseconds; set by the leader, see Stamp
	ConfigVersion uint64        `cbor:"4,keyasint"`
	Quota         limits.Amount `cbor:"5,keyasint"`
	CutOffShare   float64       `cbor:"6,keyasint"`
	Domains       int           `cbor:"7,keyasint"`
}

// tenancyQuota is the state of one tenancy. nowMs never decreases, even if the clocks of proposers
// differ.
type tenancyQuota struct {
	version uint64
	config  limits.AllocatorConfig
	home    *limits.Allocator
	nowMs   int64
}

// Quota is the section that leases shares of the quotas of tenancies to hosts.
type Quota struct{ tenancies map[string]*tenancyQuota }

// NewQuota returns a section without leases.
func NewQuota() *Quota { return &Quota{tenancies: make(map[string]*tenancyQuota)} }

// Name implements Section.
func (q *Quota) Name() string { return KindQuota }

// Apply implements Section.
func (q *Quota) Apply(_ uint64, cmd []byte) ([]byte, error) {
	var c QuotaCommand
	if err := cbor.Unmarshal(cmd, &c); err != nil {
		return nil, &errs.Corrupt{What: "quota command", Detail: err.Error()}
	}
	t, err := q.tenancy(c)
	if err != nil {
		return nil, err
	}
	t.nowMs = max(t.nowMs, c.AtMs)
	share, err := t.home.Lease(time.UnixMilli(t.nowMs), c.Host, c.Demand)
	if err != nil {
		return nil, err
	}
	return marshal("quota share", share)
}

// tenancy returns the state of the tenancy in c. If c has a newer configuration, it first replaces
// the quota and keeps the leases.
func (q *Quota) tenancy(c QuotaCommand) (*tenancyQuota, error) {
	t := q.tenancies[c.Demand.Key]
	if t != nil && c.ConfigVersion <= t.version {
		return t, nil
	}
	config := limits.AllocatorConfig{
		Quotas:      map[string]limits.Amount{c.Demand.Key: c.Quota},
		CutOffShare: c.CutOffShare,
		Domains:     c.Domains,
	}
	next := &tenancyQuota{version: c.ConfigVersion, config: config, home: limits.NewAllocator(config)}
	if t != nil {
		next.nowMs = t.nowMs
		state, err := t.home.Snapshot()
		if err != nil {
			return nil, err
		}
		if err := next.home.Restore(state); err != nil {
			return nil, err
		}
	}
	q.tenancies[c.Demand.Key] = next
	return next, nil
}

type quotaSnapshot struct {
	Version uint64                 `cbor:"1,keyasint"`
	Config  limits.AllocatorConfig `cbor:"2,keyasint"`
	Home    []byte                 `cbor:"3,keyasint"`
	NowMs   int64                  `cbor:"4,keyasint"`
}

// Snapshot implements Section.
func (q *Quota) Snapshot() ([]byte, error) {
	out := make(map[string]quotaSnapshot, len(q.tenancies))
	for name, t := range q.tenancies {
		home, err := t.home.Snapshot()
		if err != nil {
			return nil, err
		}
		out[name] = quotaSnapshot{Version: t.version, Config: t.config, Home: home, NowMs: t.nowMs}
	}
	return marshal("quota snapshot", out)
}

// Restore implements Section.
func (q *Quota) Restore(snapshot []byte) error {
	q.tenancies = make(map[string]*tenancyQuota)
	if len(snapshot) == 0 {
		return nil
	}
	var in map[string]quotaSnapshot
	if err := decMode.Unmarshal(snapshot, &in); err != nil {
		return corrupt("quota snapshot", err)
	}
	for name, s := range in {
		t := &tenancyQuota{version: s.Version, config: s.Config, home: limits.NewAllocator(s.Config), nowMs: s.NowMs}
		if err := t.home.Restore(s.Home); err != nil {
			return err
		}
		q.tenancies[name] = t
	}
	return nil
}

// EncodeQuota encodes a quota command for State.Apply.
func EncodeQuota(c QuotaCommand) ([]byte, error) { return encodeBody(KindQuota, c) }

// DecodeShare decodes the reply to a quota command.
func DecodeShare(b []byte) (limits.Share, error) {
	var s limits.Share
	err := decode(b, &s)
	return s, err
}
