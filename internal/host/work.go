package host

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/ledger"
	"fuchsiaflow/retry"
)

const (
	// stepSweep is the interval at which deadlines of steps are checked.
	stepSweep = 250 * time.Millisecond
	// desireInterval is the interval at which published versions are passed on to the other
	// failure domains.
	desireInterval = 100 * time.Millisecond
	// claimSweep is the interval at which expired claims are removed.
	claimSweep = time.Minute
	// leadershipCheck is the interval at which a change of leadership is noticed.
	leadershipCheck = 200 * time.Millisecond
)

// workService is the part of a domain group's leader that hands out sample slots, closes
// steps at their deadline and passes published versions on. Its scheduler is soft state:
// every new leader rebuilds it from the ledger.
type workService struct {
	domain  string
	domains []string
	group   *group.Group
	state   *domainstate.State
	groups  *groups
	members *membershipService
	log     *slog.Logger

	// mu is taken inside group.View, never around it.
	mu        sync.Mutex
	scheduler *ledger.Scheduler
	term      uint64
	cancelled map[string][]uint64
	told      map[string]map[string]uint64

	self     string
	payloads *payloadStore
	peer     func(host string) (rpc.PeerClient, error)
	released *kernel.Ring[[]ledger.HeldSample]
}

// releaseRing bounds the lists of payloads that wait to be released.
const releaseRing = 256

func newWorkService(domain string, domains []string, g *group.Group, state *domainstate.State, gs *groups, m *membershipService, lease time.Duration, log *slog.Logger) *workService {
	w := &workService{
		domain: domain, domains: domains, group: g, state: state, groups: gs, members: m, log: log,
		scheduler: ledger.NewScheduler(ledger.SchedulerConfig{MaxLease: lease}),
		cancelled: make(map[string][]uint64),
		told:      make(map[string]map[string]uint64),
		released:  kernel.NewRing[[]ledger.HeldSample]("work/released", releaseRing, kernel.DropOldest),
	}
	state.SetObserver(w.observe)
	return w
}

// Start implements kernel.Service.
func (w *workService) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("work/steps", stepSweep, w.closeSteps)
	k.Every("work/claims", claimSweep, w.expireClaims)
	k.Go("work/hosts", w.followHosts)
	k.Go("work/release", w.releasePayloads)
	for _, domain := range w.domains {
		k.Every("work/desire/"+domain, desireInterval, func(ctx context.Context) { w.passOn(ctx, domain) })
	}
	return nil
}

// Stop implements kernel.Service.
func (w *workService) Stop(context.Context) error { return nil }

// SetConfig applies the tenancies' policies.
func (w *workService) SetConfig(cfg *confstate.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range cfg.Tenancies {
		if t.Kind != confstate.Trainer || t.Home != w.domain {
			continue
		}
		policy := ledger.SchedulingPolicy{Weight: t.Weight}
		if len(t.Pools) == 1 {
			policy.Pool = t.Pools[0]
		}
		if t.Policy != nil {
			policy.IdleWeight, policy.StalenessWeight = t.Policy.IdleWeight, t.Policy.StalenessWeight
		}
		w.scheduler.SetPolicy(t.Name, policy)
	}
}

// observe follows the ledger. The group calls it while it applies commands.
func (w *workService) observe(_ uint64, c ledger.Command, r ledger.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.term == 0 {
		return
	}
	for _, cancel := range w.scheduler.Observe(time.Now(), c, r) {
		w.cancelled[cancel.Host] = append(w.cancelled[cancel.Host], cancel.Attempt)
	}
	if len(r.Released) > 0 {
		_ = w.released.Push(context.Background(), r.Released)
	}
}

// releasePayloads tells the holders which payloads are not needed any more. What is lost on
// the way is released by the holders' own sweep.
func (w *workService) releasePayloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case released := <-w.released.C():
			byHost := make(map[string][]string)
			for _, held := range released {
				for _, host := range held.Holders {
					byHost[host] = append(byHost[host], held.Digest.String())
				}
			}
			for host, digests := range byHost {
				w.drop(ctx, host, digests)
			}
		}
	}
}

func (w *workService) drop(ctx context.Context, host string, digests []string) {
	if host == w.self {
		w.payloads.Drop(digests)
		return
	}
	peer, err := w.peer(host)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if _, err := peer.DropPayload(ctx, &rpc.DropPayloadRequest{Digests: digests}); err != nil {
		w.log.Debug("payloads are not released", "host", host, "error", err)
	}
}

// asLeader runs fn serialized with the ledger, with a scheduler of the present term.
func (w *workService) asLeader(fn func(now time.Time)) error {
	leader, term, _ := w.group.Leader()
	if !w.group.IsLeader() {
		return &errs.NotLeader{Group: domainGroup(w.domain), Leader: leader}
	}
	w.group.View(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		now := time.Now()
		if w.term != term {
			w.scheduler.Rebuild(now, term, w.state.Ledger())
			w.term = term
			w.cancelled = make(map[string][]uint64)
		}
		fn(now)
	})
	return nil
}

// LeaseWork hands out slots for the free capacity of a host.
func (w *workService) LeaseWork(host string, request *rpc.LeaseWorkRequest) (*rpc.LeaseWorkReply, error) {
	var free []ledger.Capacity
	for _, c := range request.Capacity {
		free = append(free, ledger.Capacity{Pool: c.Pool, Model: c.Model, Version: c.Version, FreeSlots: int(c.Free)})
	}
	reply := &rpc.LeaseWorkReply{}
	err := w.asLeader(func(now time.Time) {
		for _, work := range w.scheduler.Lease(now, host, free) {
			reply.Work = append(reply.Work, encodeWork(now, work))
		}
		reply.Cancelled = w.cancelled[host]
		delete(w.cancelled, host)
	})
	return reply, err
}

func encodeWork(now time.Time, work ledger.Work) *rpc.Work {
	return &rpc.Work{
		Tenancy: work.Tenancy, Step: work.Step, Slot: uint32(work.Slot), Attempt: work.Attempt, Group: uint32(work.Group),
		Pool: work.Pool, Model: work.Model, Prompt: work.Prompt, MaxTokens: uint32(work.MaxTokens), MinVersion: work.MinVersion,
		LeaseMs: work.Expiry.Sub(now).Milliseconds(), StepDeadlineUnixMs: work.StepDeadline.UnixMilli(),
	}
}

// ReportWork offers the outputs of a host to the ledger in one log entry and returns the
// digests of those that were not accepted.
func (w *workService) ReportWork(ctx context.Context, request *rpc.ReportWorkRequest) (*rpc.ReportWorkReply, error) {
	if err := w.failAttempts(request); err != nil {
		return nil, err
	}
	accept, err := acceptCommand(request)
	if err != nil || len(accept.Produced) == 0 {
		return &rpc.ReportWorkReply{}, err
	}
	data, err := domainstate.EncodeLedger(ledger.Command{Accept: accept})
	if err != nil {
		return nil, err
	}
	data, err = w.group.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result, err := domainstate.DecodeLedgerResult(data)
	if err != nil {
		return nil, err
	}
	if result.Failure != nil {
		return nil, result.Failure
	}
	reply := &rpc.ReportWorkReply{}
	for i, verdict := range result.Verdicts {
		if verdict != ledger.Accepted && verdict != ledger.Repeated {
			w.log.Debug("output is not accepted", "slot", accept.Produced[i].Slot, "verdict", verdict.String())
			reply.Rejected = append(reply.Rejected, accept.Produced[i].Digest.String())
		}
	}
	return reply, nil
}

func (w *workService) failAttempts(request *rpc.ReportWorkRequest) error {
	return w.asLeader(func(time.Time) {
		for _, r := range request.Results {
			if r.Failure != "" {
				w.scheduler.AttemptFailed(ledger.SlotID{Tenancy: r.Tenancy, Step: r.Step, Slot: int(r.Slot)}, r.Attempt)
			}
		}
	})
}

func acceptCommand(request *rpc.ReportWorkRequest) (*ledger.Accept, error) {
	accept := &ledger.Accept{}
	for _, r := range request.Results {
		if r.Failure != "" {
			continue
		}
		digest, err := ledger.ParseDigest(r.Digest)
		if err != nil {
			return nil, err
		}
		accept.Produced = append(accept.Produced, ledger.AttemptOutput{
			Tenancy: r.Tenancy, Step: r.Step, Slot: int(r.Slot), Attempt: r.Attempt, Versions: r.Versions,
			Digest: digest, Tokens: r.Tokens, Holders: r.Holders,
		})
	}
	return accept, nil
}

// closeSteps closes the steps whose deadline has passed.
func (w *workService) closeSteps(ctx context.Context) {
	if !w.group.IsLeader() {
		return
	}
	now := time.Now().UnixMilli()
	var due []ledger.StepStatus
	w.group.View(func() {
		for _, st := range w.state.Ledger().Steps() {
			if !st.Closed && st.DeadlineMs <= now {
				due = append(due, st)
			}
		}
	})
	for _, st := range due {
		data, err := domainstate.EncodeLedger(ledger.Command{CloseStep: &ledger.CloseStep{Tenancy: st.Tenancy, Step: st.Step, NowMs: now}})
		if err == nil {
			_, err = w.group.Propose(ctx, data)
		}
		if err != nil {
			w.log.Warn("step is not closed", "tenancy", st.Tenancy, "step", st.Step, "error", err)
			return
		}
		w.log.Info("step is closed at its deadline", "tenancy", st.Tenancy, "step", st.Step, "planned", st.Planned)
	}
}

// passOn makes the newest published versions the desired ones of a failure domain. Each
// domain has its own duty, so that one that is cut off delays no other.
func (w *workService) passOn(ctx context.Context, domain string) {
	if !w.group.IsLeader() {
		return
	}
	newest := make(map[string]uint64)
	w.group.View(func() {
		for _, p := range w.state.Ledger().PublishedVersions() {
			newest[p.Model] = max(newest[p.Model], p.Version)
		}
	})
	for model, version := range newest {
		if w.toldVersion(domain, model) >= version {
			continue
		}
		if err := w.desire(ctx, domain, domainstate.DesiredVersion{Model: model, Version: version}); err != nil {
			w.log.Debug("desired version is not passed on", "domain", domain, "model", model, "error", err)
			return
		}
		w.setTold(domain, model, version)
	}
}

func (w *workService) desire(ctx context.Context, domain string, d domainstate.DesiredVersion) error {
	data, err := domainstate.EncodeDesiredVersion(d)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err = w.groups.ProposeIdempotent(ctx, domainGroup(domain), data)
	return err
}

func (w *workService) toldVersion(domain, model string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.told[domain][model]
}

func (w *workService) setTold(domain, model string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.told[domain] == nil {
		w.told[domain] = make(map[string]uint64)
	}
	w.told[domain][model] = version
}

// followHosts returns the work of hosts that are gone, ends their claims and plans the
// slots again whose payload has no holder left. A new leader repeats this for all hosts,
// because the former leader may have been the host that failed.
func (w *workService) followHosts(ctx context.Context) error {
	ticker := time.NewTicker(leadershipCheck)
	defer ticker.Stop()
	var swept uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-w.members.events.C():
			if w.group.IsLeader() {
				w.hostGone(ctx, e)
			}
		case <-ticker.C:
			_, term, _ := w.group.Leader()
			if w.group.IsLeader() && term != swept {
				swept = term
				w.sweepHosts(ctx)
			}
		}
	}
}

func (w *workService) sweepHosts(ctx context.Context) {
	for _, m := range w.members.Members() {
		if m.State.Live() {
			w.endClaims(ctx, hostEvent{host: m.Host.ID, upto: m.Host.Incarnation - 1})
			continue
		}
		w.hostGone(ctx, hostEvent{host: m.Host.ID, upto: uint64(time.Now().UnixMilli())})
	}
}

func (w *workService) hostGone(ctx context.Context, e hostEvent) {
	w.log.Info("host is gone", "host", e.host)
	_ = w.asLeader(func(time.Time) { w.scheduler.HostLost(e.host) })
	w.endClaims(ctx, e)
	w.payloadsGone(ctx, e.host)
}

func (w *workService) endClaims(ctx context.Context, e hostEvent) {
	data, err := domainstate.EncodeClaim(retry.ClaimCommand{
		Kind: retry.HostLost, At: time.Now().UnixMilli(), Host: e.host, Incarnation: e.upto,
	})
	if err == nil {
		_, err = w.group.Propose(ctx, data)
	}
	if err != nil {
		w.log.Warn("claims of a lost host are not ended", "host", e.host, "error", err)
	}
}

// payloadsGone plans the slots again whose payload was held by the lost host alone. Its
// memory is gone even when the process has restarted. Slots of an open batch are left to the
// next fetch: the trainer may have the samples already, and would receive them twice.
func (w *workService) payloadsGone(ctx context.Context, host string) {
	live := make(map[string]bool)
	for _, h := range w.members.Live("") {
		live[h] = h != host
	}
	var lost []ledger.HeldSample
	w.group.View(func() {
		for _, held := range w.state.Ledger().ReadyHeldBy(host) {
			if !anyLive(held.Holders, live) {
				lost = append(lost, held)
			}
		}
	})
	for _, held := range lost {
		data, err := domainstate.EncodeLedger(ledger.Command{PayloadLost: &ledger.PayloadLost{
			Tenancy: held.Tenancy, Step: held.Step, Slot: held.Slot, Attempt: held.Attempt,
		}})
		if err == nil {
			_, err = w.group.Propose(ctx, data)
		}
		if err != nil {
			w.log.Warn("lost payload is not reported", "tenancy", held.Tenancy, "step", held.Step, "slot", held.Slot, "error", err)
			return
		}
	}
}

func anyLive(hosts []string, live map[string]bool) bool {
	for _, h := range hosts {
		if live[h] {
			return true
		}
	}
	return false
}

func (w *workService) expireClaims(ctx context.Context) {
	if !w.group.IsLeader() {
		return
	}
	data, err := domainstate.EncodeClaim(retry.ClaimCommand{Kind: retry.Expire, At: time.Now().UnixMilli()})
	if err == nil {
		_, err = w.group.Propose(ctx, data)
	}
	if err != nil {
		w.log.Debug("claims are not expired", "error", err)
	}
}

// Stats returns the scheduler's counts.
func (w *workService) Stats() ledger.SchedulerStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.scheduler.Stats()
}
