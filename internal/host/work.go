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
	// stepSweepInterval is the interval at which the deadlines of steps are checked.
	stepSweepInterval = 250 * time.Millisecond
	// desireInterval is the interval at which newly published versions are sent to the failure
	// domains as their desired versions.
	desireInterval = 100 * time.Millisecond
	// claimSweepInterval is the interval at which expired claims are removed.
	claimSweepInterval = time.Minute
	// leadershipCheckInterval is the interval at which this host checks whether it has become
	// leader.
	leadershipCheckInterval = 200 * time.Millisecond
)

// workService runs on the voters of a domain group. On the leader, it leases sample slots to hosts,
// closes steps at their deadline, propagates published versions and handles hosts that are gone.
// The state of the scheduler is not replicated: each new leader rebuilds it from the ledger.
type workService struct {
	domain  string
	domains []string
	group   *group.Group
	state   *domainstate.State
	groups  *groupClient
	members *membershipService
	log     *slog.Logger

	// Lock order: group.View before mu. View must not be called while mu is held.
	mu           sync.Mutex
	scheduler    *ledger.Scheduler
	term         uint64                       // term that the scheduler was built for, 0 before the first
	cancelled    map[string][]uint64          // attempts to cancel, by host
	sentVersions map[string]map[string]uint64 // desired versions sent, by domain and model

	self             string
	payloads         *payloadStore
	peer             func(host string) (rpc.PeerClient, error)
	releasedPayloads *kernel.Ring[[]ledger.HeldSample]
}

// releaseQueueSize limits the number of lists of payloads that wait to be released.
const releaseQueueSize = 256

func newWorkService(domain string, domains []string, g *group.Group, state *domainstate.State, groups *groupClient, m *membershipService, lease time.Duration, log *slog.Logger) *workService {
	w := &workService{
		domain: domain, domains: domains, group: g, state: state, groups: groups, members: m, log: log,
		scheduler:        ledger.NewScheduler(ledger.SchedulerConfig{MaxLease: lease}),
		cancelled:        make(map[string][]uint64),
		sentVersions:     make(map[string]map[string]uint64),
		releasedPayloads: kernel.NewRing[[]ledger.HeldSample]("work/released", releaseQueueSize, kernel.DropOldest),
	}
	state.SetObserver(w.observeCommand)
	return w
}

// Start implements kernel.Service.
func (w *workService) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("work/steps", stepSweepInterval, w.closeSteps)
	k.Every("work/claims", claimSweepInterval, w.expireClaims)
	k.Go("work/hosts", w.watchHosts)
	k.Go("work/release", w.releasePayloads)
	for _, domain := range w.domains {
		k.Every("work/desire/"+domain, desireInterval, func(ctx context.Context) { w.propagateVersions(ctx, domain) })
	}
	return nil
}

// Stop implements kernel.Service.
func (w *workService) Stop(context.Context) error { return nil }

// SetConfig applies the scheduling policies of the trainer tenancies at home in this failure
// domain.
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

// observeCommand updates the scheduler after a ledger command. The group calls it while it applies
// commands.
func (w *workService) observeCommand(_ uint64, c ledger.Command, r ledger.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.term == 0 {
		return
	}
	for _, cancel := range w.scheduler.Observe(time.Now(), c, r) {
		w.cancelled[cancel.Host] = append(w.cancelled[cancel.Host], cancel.Attempt)
	}
	if len(r.Released) > 0 {
		_ = w.releasedPayloads.Push(context.Background(), r.Released)
	}
}

// releasePayloads tells the holders which payloads are no longer needed. If such a message is lost,
// the holder removes the payloads in its own periodic release.
func (w *workService) releasePayloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case payloads := <-w.releasedPayloads.C():
			byHost := make(map[string][]string)
			for _, held := range payloads {
				for _, host := range held.Holders {
					byHost[host] = append(byHost[host], held.Digest.String())
				}
			}
			for host, digests := range byHost {
				w.dropPayloads(ctx, host, digests)
			}
		}
	}
}

func (w *workService) dropPayloads(ctx context.Context, host string, digests []string) {
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
		w.log.Debug("cannot release payloads", "host", host, "error", err)
	}
}

// asLeader runs fn if this host is the leader. fn is serialized with the application of commands
// and may use the scheduler, which has been rebuilt for the current term.
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

// LeaseWork leases slots to a host for its free capacity, and returns the attempts that it should
// cancel.
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

// ReportWork submits the outputs of a host to the ledger in one log entry and returns the digests
// of those that were not accepted.
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
			w.log.Debug("output not accepted", "slot", accept.Produced[i].Slot, "verdict", verdict.String())
			reply.Rejected = append(reply.Rejected, accept.Produced[i].Digest.String())
		}
	}
	return reply, nil
}

// failAttempts reports the failed attempts to the scheduler.
func (w *workService) failAttempts(request *rpc.ReportWorkRequest) error {
	return w.asLeader(func(time.Time) {
		for _, r := range request.Results {
			if r.Failure != "" {
				w.scheduler.AttemptFailed(ledger.SlotID{Tenancy: r.Tenancy, Step: r.Step, Slot: int(r.Slot)}, r.Attempt)
			}
		}
	})
}

// acceptCommand returns the ledger command for the successful attempts.
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
		for _, step := range w.state.Ledger().Steps() {
			if !step.Closed && step.DeadlineMs <= now {
				due = append(due, step)
			}
		}
	})
	for _, step := range due {
		data, err := domainstate.EncodeLedger(ledger.Command{CloseStep: &ledger.CloseStep{Tenancy: step.Tenancy, Step: step.Step, NowMs: now}})
		if err == nil {
			_, err = w.group.Propose(ctx, data)
		}
		if err != nil {
			w.log.Warn("cannot close step", "tenancy", step.Tenancy, "step", step.Step, "error", err)
			return
		}
		w.log.Info("step closed at its deadline", "tenancy", step.Tenancy, "step", step.Step, "planned", step.Planned)
	}
}

// propagateVersions makes the newest published version of each model the desired version of a
// failure domain. Each domain has its own goroutine, so that an unreachable one does not delay the
// others.
func (w *workService) propagateVersions(ctx context.Context, domain string) {
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
		if w.sentVersion(domain, model) >= version {
			continue
		}
		if err := w.proposeDesiredVersion(ctx, domain, domainstate.DesiredVersion{Model: model, Version: version}); err != nil {
			w.log.Debug("cannot send the desired version", "domain", domain, "model", model, "error", err)
			return
		}
		w.recordSentVersion(domain, model, version)
	}
}

func (w *workService) proposeDesiredVersion(ctx context.Context, domain string, d domainstate.DesiredVersion) error {
	data, err := domainstate.EncodeDesiredVersion(d)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, err = w.groups.ProposeIdempotent(ctx, domainGroup(domain), data)
	return err
}

func (w *workService) sentVersion(domain, model string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sentVersions[domain][model]
}

func (w *workService) recordSentVersion(domain, model string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sentVersions[domain] == nil {
		w.sentVersions[domain] = make(map[string]uint64)
	}
	w.sentVersions[domain][model] = version
}

// watchHosts handles hosts that are gone: it returns their leased work, ends their claims and
// replans slots whose payload has no holder left. A new leader does so for all hosts, because the
// former leader may have been the host that failed.
func (w *workService) watchHosts(ctx context.Context) error {
	ticker := time.NewTicker(leadershipCheckInterval)
	defer ticker.Stop()
	var checkedTerm uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-w.members.events.C():
			if w.group.IsLeader() {
				w.handleHostGone(ctx, e)
			}
		case <-ticker.C:
			_, term, _ := w.group.Leader()
			if w.group.IsLeader() && term != checkedTerm {
				checkedTerm = term
				w.checkAllHosts(ctx)
			}
		}
	}
}

func (w *workService) checkAllHosts(ctx context.Context) {
	for _, m := range w.members.Members() {
		if m.State.Live() {
			w.endClaims(ctx, hostGoneEvent{host: m.Host.ID, lastIncarnation: m.Host.Incarnation - 1})
			continue
		}
		w.handleHostGone(ctx, hostGoneEvent{host: m.Host.ID, lastIncarnation: uint64(time.Now().UnixMilli())})
	}
}

func (w *workService) handleHostGone(ctx context.Context, e hostGoneEvent) {
	w.log.Info("host gone", "host", e.host)
	_ = w.asLeader(func(time.Time) { w.scheduler.HostLost(e.host) })
	w.endClaims(ctx, e)
	w.reopenLostSlots(ctx, e.host)
}

func (w *workService) endClaims(ctx context.Context, e hostGoneEvent) {
	data, err := domainstate.EncodeClaim(retry.ClaimCommand{
		Kind: retry.HostLost, At: time.Now().UnixMilli(), Host: e.host, Incarnation: e.lastIncarnation,
	})
	if err == nil {
		_, err = w.group.Propose(ctx, data)
	}
	if err != nil {
		w.log.Warn("cannot end the claims of a lost host", "host", e.host, "error", err)
	}
}

// reopenLostSlots replans the slots whose payload has no live holder except the lost host, whose
// memory is lost even if the process has restarted. Slots of an open batch are left to the next
// fetch: the trainer may already have the samples and would receive them twice.
func (w *workService) reopenLostSlots(ctx context.Context, host string) {
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
			w.log.Warn("cannot report a lost payload", "tenancy", held.Tenancy, "step", held.Step, "slot", held.Slot, "error", err)
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
		w.log.Debug("cannot expire claims", "error", err)
	}
}

// Stats returns the counts of the scheduler.
func (w *workService) Stats() ledger.SchedulerStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.scheduler.Stats()
}
