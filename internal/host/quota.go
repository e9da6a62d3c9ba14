package host

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/limits"
)

const (
	// quotaInterval is the interval at which demands are examined.
	quotaInterval = 100 * time.Millisecond
	// quotaTimeout bounds one demand.
	quotaTimeout = time.Second
)

// quotaService enforces the quotas of tenancies on this host with shares leased from the
// tenancies' homes.
type quotaService struct {
	self        string
	domain      string
	domains     int
	incarnation uint64
	groups      *groups
	config      *configService
	members     *membershipService
	log         *slog.Logger

	mu   sync.Mutex
	core *limits.Limiter
	// hosts is the greatest number of hosts seen in the failure domain. The domain's cut-off
	// share is divided by it, because a host that is gone may have spent its part.
	hosts int
	kern  *kernel.Kernel
}

func newQuotaService(self, domain string, domains int, incarnation uint64, g *groups, c *configService, m *membershipService, log *slog.Logger) *quotaService {
	return &quotaService{
		self: self, domain: domain, domains: domains, incarnation: incarnation, groups: g, config: c, members: m, log: log,
		core: limits.NewLimiter(limits.LimiterConfig{Incarnation: incarnation, CutOffNotBefore: time.Now().Add(limits.Window)}),
	}
}

// Start implements kernel.Service.
func (q *quotaService) Start(_ context.Context, k *kernel.Kernel) error {
	q.kern = k
	k.Every("limits/demand", quotaInterval, func(context.Context) { q.demand() })
	return nil
}

// Stop implements kernel.Service.
func (q *quotaService) Stop(context.Context) error { return nil }

// SetConfig applies the cut-off shares of a configuration.
func (q *quotaService) SetConfig(cfg *confstate.Config) {
	live := len(q.members.Live(q.domain))
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hosts = max(q.hosts, live, 1)
	q.core.SetCutOff(cutOffShares(cfg, q.domain, q.domains, q.hosts))
}

// followHosts divides the cut-off shares anew when more hosts are seen. A host sees only
// itself at its start; it cannot spend its share before one window has passed.
func (q *quotaService) followHosts() {
	live := len(q.members.Live(q.domain))
	q.mu.Lock()
	grown := live > q.hosts
	q.mu.Unlock()
	if cfg := q.config.Current(); grown && cfg != nil {
		q.SetConfig(cfg)
	}
}

// cutOffShares returns what one host may spend of the quotas homed in other domains while it
// has no lease.
func cutOffShares(cfg *confstate.Config, domain string, domains, hosts int) map[string]limits.Amount {
	shares := make(map[string]limits.Amount)
	for _, t := range cfg.Tenancies {
		if t.Limits != nil && t.Home != domain {
			shares[t.Name] = limits.CutOffQuota(quotaOf(t.Limits), t.Limits.CutOffShare, domains, hosts)
		}
	}
	return shares
}

func quotaOf(l *confstate.Limits) limits.Amount {
	return limits.Amount{Requests: int64(l.RequestsPerMinute), Tokens: int64(l.TokensPerMinute)}
}

// reserveWait bounds how long a request waits for a first share of its tenancy's quota.
const (
	reserveWait  = 500 * time.Millisecond
	reservePause = 20 * time.Millisecond
)

// Reserve takes one request and tokens from the tenancy's quota, or fails with
// *limits.Exceeded. A host without a share asks the home first and waits a moment.
func (q *quotaService) Reserve(ctx context.Context, id string, t *confstate.Tenancy, tokens int) error {
	if t.Limits == nil {
		return nil
	}
	until := time.Now().Add(reserveWait)
	for {
		now := time.Now()
		q.mu.Lock()
		err := q.core.Reserve(now, id, t.Name, 1, int64(tokens))
		q.mu.Unlock()
		if err == nil || now.After(until) || ctx.Err() != nil {
			return err
		}
		q.demand()
		select {
		case <-ctx.Done():
			return err
		case <-time.After(reservePause):
		}
	}
}

// Settle replaces the reserved tokens by the tokens that were used.
func (q *quotaService) Settle(id string, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Settle(time.Now(), id, int64(tokens))
}

// demand sends the demands that are due, one at a time per tenancy.
func (q *quotaService) demand() {
	q.followHosts()
	cfg := q.config.Current()
	if cfg == nil {
		return
	}
	q.mu.Lock()
	due := q.core.Demands(time.Now())
	q.mu.Unlock()
	for _, d := range due {
		t := cfg.Tenancy(d.Tenancy)
		if t == nil || t.Limits == nil {
			q.mu.Lock()
			q.core.RemoveTenancy(d.Tenancy)
			q.mu.Unlock()
			continue
		}
		command := domainstate.QuotaCommand{
			Host: q.self, Demand: d, ConfigVersion: cfg.Version, Quota: quotaOf(t.Limits),
			CutOffShare: t.Limits.CutOffShare, Domains: q.domains,
		}
		q.kern.Go("limits/lease", func(ctx context.Context) error {
			q.lease(ctx, t.Home, command)
			return nil
		})
	}
}

func (q *quotaService) lease(ctx context.Context, home string, command domainstate.QuotaCommand) {
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	data, err := domainstate.EncodeQuota(command)
	if err == nil {
		data, err = q.groups.ProposeIdempotent(ctx, domainGroup(home), data)
	}
	var share limits.Share
	if err == nil {
		share, err = domainstate.DecodeShare(data)
	}
	if err != nil {
		q.log.Debug("no share of the quota", "tenancy", command.Demand.Tenancy, "error", err)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.ApplyShare(time.Now(), share)
}
