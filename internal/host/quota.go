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
	// demandInterval is the interval at which due demands for quota are sent.
	demandInterval = 100 * time.Millisecond
	// demandTimeout limits one demand.
	demandTimeout = time.Second
)

// quotaService enforces the quotas of the tenancies on this host, using shares leased from the home
// domains of the tenancies.
type quotaService struct {
	self        string
	domain      string
	domainCount int
	incarnation uint64
	groups      *groupClient
	config      *configService
	members     *membershipService
	log         *slog.Logger

	mu      sync.Mutex
	limiter *limits.Limiter
	// maxHosts is the largest number of live hosts seen in the failure domain. The cut-off share of
	// the domain is divided by it, because a host that is gone may have spent its part.
	maxHosts int
	kernel   *kernel.Kernel
}

func newQuotaService(self, domain string, domainCount int, incarnation uint64, g *groupClient, c *configService, m *membershipService, log *slog.Logger) *quotaService {
	return &quotaService{
		self: self, domain: domain, domainCount: domainCount, incarnation: incarnation, groups: g, config: c, members: m, log: log,
		limiter: limits.NewLimiter(limits.LimiterConfig{Incarnation: incarnation, CutOffNotBefore: time.Now().Add(limits.Window)}),
	}
}

// Start implements kernel.Service.
func (q *quotaService) Start(_ context.Context, k *kernel.Kernel) error {
	q.kernel = k
	k.Every("limits/demand", demandInterval, func(context.Context) { q.sendDemands() })
	return nil
}

// Stop implements kernel.Service.
func (q *quotaService) Stop(context.Context) error { return nil }

// SetConfig applies the cut-off shares of a configuration, which a host may spend without a lease.
func (q *quotaService) SetConfig(cfg *confstate.Config) {
	live := len(q.members.Live(q.domain))
	q.mu.Lock()
	defer q.mu.Unlock()
	q.maxHosts = max(q.maxHosts, live, 1)
	q.limiter.SetCutOff(cutOffShares(cfg, q.domain, q.domainCount, q.maxHosts))
}

// updateHostCount recomputes the cut-off shares when the number of live hosts exceeds maxHosts. A
// host that has just started sees only itself, but can't spend cut-off shares during its first
// window.
func (q *quotaService) updateHostCount() {
	live := len(q.members.Live(q.domain))
	q.mu.Lock()
	exceeded := live > q.maxHosts
	q.mu.Unlock()
	if cfg := q.config.Current(); exceeded && cfg != nil {
		q.SetConfig(cfg)
	}
}

// cutOffShares returns, by tenancy, the part of the quotas of other home domains that one host may
// spend without a lease.
func cutOffShares(cfg *confstate.Config, domain string, domainCount, hosts int) map[string]limits.Amount {
	shares := make(map[string]limits.Amount)
	for _, t := range cfg.Tenancies {
		if t.Limits != nil && t.Home != domain {
			shares[t.Name] = limits.CutOffQuota(quotaAmount(t.Limits), t.Limits.CutOffShare, domainCount, hosts)
		}
	}
	return shares
}

func quotaAmount(l *confstate.Limits) limits.Amount {
	return limits.Amount{Requests: int64(l.RequestsPerMinute), Tokens: int64(l.TokensPerMinute)}
}

// maxReserveWait limits how long a request waits for quota.
const (
	maxReserveWait      = 500 * time.Millisecond
	reservePollInterval = 20 * time.Millisecond
)

// Reserve reserves one request and the given number of tokens of the tenancy's quota. While the
// share of this host doesn't suffice, it asks the home domain for more, and fails with
// *limits.Exceeded after maxReserveWait.
func (q *quotaService) Reserve(ctx context.Context, id string, t *confstate.Tenancy, tokens int) error {
	if t.Limits == nil {
		return nil
	}
	until := time.Now().Add(maxReserveWait)
	for {
		now := time.Now()
		q.mu.Lock()
		err := q.limiter.Reserve(now, id, t.Name, 1, int64(tokens))
		q.mu.Unlock()
		if err == nil || now.After(until) || ctx.Err() != nil {
			return err
		}
		q.sendDemands()
		select {
		case <-ctx.Done():
			return err
		case <-time.After(reservePollInterval):
		}
	}
}

// Settle replaces the reserved tokens of a request by the tokens that it used.
func (q *quotaService) Settle(id string, tokens int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Settle(time.Now(), id, int64(tokens))
}

// sendDemands sends the due demands to the home domains of the tenancies, at most one at a time per
// tenancy.
func (q *quotaService) sendDemands() {
	q.updateHostCount()
	cfg := q.config.Current()
	if cfg == nil {
		return
	}
	q.mu.Lock()
	due := q.limiter.Demands(time.Now())
	q.mu.Unlock()
	for _, d := range due {
		t := cfg.Tenancy(d.Key)
		if t == nil || t.Limits == nil {
			q.mu.Lock()
			q.limiter.Remove(d.Key)
			q.mu.Unlock()
			continue
		}
		command := domainstate.QuotaCommand{
			Host: q.self, Demand: d, ConfigVersion: cfg.Version, Quota: quotaAmount(t.Limits),
			CutOffShare: t.Limits.CutOffShare, Domains: q.domainCount,
		}
		q.kernel.Go("limits/lease", func(ctx context.Context) error {
			q.requestShare(ctx, t.Home, command)
			return nil
		})
	}
}

// requestShare sends a demand to the home domain and applies the share that it grants.
func (q *quotaService) requestShare(ctx context.Context, homeDomain string, command domainstate.QuotaCommand) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	data, err := domainstate.EncodeQuota(command)
	if err == nil {
		data, err = q.groups.ProposeIdempotent(ctx, domainGroup(homeDomain), data)
	}
	var share limits.Share
	if err == nil {
		share, err = domainstate.DecodeShare(data)
	}
	if err != nil {
		q.log.Debug("cannot get a quota share", "tenancy", command.Demand.Key, "error", err)
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.ApplyShare(time.Now(), share)
}
