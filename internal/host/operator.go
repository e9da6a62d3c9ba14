package host

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"log/slog"

	"fuchsiaflow/confstate"
	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/controlstate"
	"fuchsiaflow/internal/headguard"
	"fuchsiaflow/internal/kernel"
)

// Apply implements api.OperatorService. If the same file is sent again, as after a lost reply, it returns
// the first answer, marked as repeated.
func (h *Host) Apply(ctx context.Context, body []byte) (*api.ApplyReply, error) {
	cfg, err := confstate.Parse(body)
	if err != nil {
		return nil, err
	}
	if err := h.checkHomeDomains(cfg); err != nil {
		return nil, err
	}
	change := confstate.NewChange(cfg, "operator")
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	data, err := h.groups.ProposeIdempotent(ctx, controlGroup, controlstate.EncodeChange(change))
	if err != nil {
		return nil, err
	}
	result, err := controlstate.DecodeResult(data)
	if err != nil {
		return nil, err
	}
	if err := result.Err(); err != nil {
		return nil, err
	}
	h.log.Info("configuration accepted", "version", cfg.Version, "digest", change.Digest, "repeated", result.Kind == confstate.Repeated)
	return &api.ApplyReply{Version: cfg.Version, Digest: change.Digest, Repeated: result.Kind == confstate.Repeated}, nil
}

// checkHomeDomains returns an error if the home of a tenancy has no domain group.
func (h *Host) checkHomeDomains(cfg *confstate.Config) error {
	for i, t := range cfg.Tenancies {
		if _, ok := h.settings.Groups.Domains[t.Home]; !ok {
			return &errs.Invalid{
				Path: "$.tenancies[" + strconv.Itoa(i) + "].home",
				Want: "a failure domain with voters", Got: strconv.Quote(t.Home),
			}
		}
	}
	return nil
}

// Config implements api.OperatorService.
func (h *Host) Config(context.Context) (*api.ConfigReply, error) {
	entry := h.config.Active()
	if entry.Version == 0 {
		return nil, &errs.NotFound{Kind: "configuration", ID: "in force"}
	}
	return &api.ConfigReply{Version: entry.Version, Digest: entry.Digest, Config: entry.Body}, nil
}

// Status is the state of one host as shown to operators. It contains no secrets.
type Status struct {
	Host          string                 `json:"host"`
	FailureDomain string                 `json:"failure_domain"`
	Incarnation   uint64                 `json:"incarnation"`
	UptimeSeconds int64                  `json:"uptime_seconds"`
	Ready         bool                   `json:"ready"`
	Reason        string                 `json:"reason,omitempty"`
	ConfigVersion uint64                 `json:"config_version"`
	ConfigDigest  string                 `json:"config_digest"`
	Hosts         []HostStatus           `json:"hosts"`
	Groups        map[string]GroupStatus `json:"groups"`
	Targets       []TargetStatus         `json:"targets"`
	Queued        QueueStatus            `json:"queued"`
	Running       RunningStatus          `json:"running"`
	Payloads      PayloadStatus          `json:"payloads"`
	Weights       *WeightsStatus         `json:"weights,omitempty"`
	Work          *WorkStatus            `json:"work,omitempty"`
}

// HostStatus is the state of a host in this host's membership view.
type HostStatus struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
}

// GroupStatus is the state of a local replica.
type GroupStatus struct {
	Role     string   `json:"role"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners,omitempty"`
	HasLease bool     `json:"lease"`
	Stalled  bool     `json:"stalled,omitempty"`
}

// TargetStatus is the state of a target that this host owns.
type TargetStatus struct {
	ID     string            `json:"id"`
	Pool   string            `json:"pool"`
	State  string            `json:"state"`
	Loaded map[string]uint64 `json:"loaded,omitempty"`
	Load   api.Load          `json:"load"`
}

// QueueStatus contains the numbers of queued requests.
type QueueStatus struct {
	Desk    int `json:"desk"`
	Samples int `json:"samples"`
}

// RunningStatus contains the numbers of requests and sample attempts in progress.
type RunningStatus struct {
	Requests int `json:"requests"`
	Samples  int `json:"samples"`
}

// PayloadStatus describes the sample payloads in memory.
type PayloadStatus struct {
	Count int `json:"count"`
	Bytes int `json:"bytes"`
}

// WorkStatus contains the scheduler counts of the failure domain. Only its leader reports them.
type WorkStatus struct {
	OpenSlots int    `json:"open"`
	InFlight  int    `json:"in_flight"`
	Leased    uint64 `json:"leased"`
	Hedged    uint64 `json:"hedged"`
	Expired   uint64 `json:"expired"`
}

// Status implements api.OperatorService.
func (h *Host) Status(context.Context) (any, error) { return h.status(), nil }

func (h *Host) status() *Status {
	entry := h.config.Active()
	ready, reason := h.Ready()
	s := &Status{
		Host: h.settings.Host, FailureDomain: h.settings.FailureDomain, Incarnation: h.incarnation,
		UptimeSeconds: int64(time.Since(h.startTime).Seconds()), Ready: ready, Reason: reason,
		ConfigVersion: entry.Version, ConfigDigest: entry.Digest, Groups: make(map[string]GroupStatus),
		Running: RunningStatus{Requests: h.inflight.Count() + h.http.Active(), Samples: h.sampler.Running()},
	}
	for _, m := range h.members.Members() {
		s.Hosts = append(s.Hosts, HostStatus{
			Host: m.Host.ID, FailureDomain: m.Host.Domain, State: m.State.String(), Incarnation: m.Host.Incarnation,
		})
	}
	for name, g := range h.localGroups {
		_, hasLease := g.Lease(time.Now())
		s.Groups[name] = groupStatus(g.Status(), hasLease, g.Health().Stalled)
	}
	for _, t := range h.targets.Owned() {
		s.Targets = append(s.Targets, TargetStatus{ID: t.ID, Pool: t.Pool, State: t.State, Loaded: t.Loaded, Load: t.Load})
	}
	s.Queued.Desk, s.Queued.Samples = h.dispatcher.Queued()
	s.Payloads.Count, s.Payloads.Bytes = h.payloads.store.Size()
	if h.work != nil && h.work.group.IsLeader() {
		stats := h.work.Stats()
		s.Work = &WorkStatus{OpenSlots: stats.OpenSlots, InFlight: stats.InFlight, Leased: stats.Leased, Hedged: stats.Hedged, Expired: stats.Expired}
		w := h.loadOrders.Status()
		s.Weights = &w
	}
	return s
}

func groupStatus(s consensus.Status, hasLease, stalled bool) GroupStatus {
	return GroupStatus{
		Role: s.Role.String(), Leader: s.Leader, Term: s.Term, Commit: s.Commit,
		Voters: s.Voters, Learners: s.Learners, HasLease: hasLease, Stalled: stalled,
	}
}

// Drain implements api.OperatorService. It starts draining and returns without waiting for the end.
func (h *Host) Drain(context.Context) error {
	if h.draining.Swap(true) {
		return nil
	}
	h.kernel.Go("drain", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, h.settings.Timing.DrainTimeout)
		defer cancel()
		h.drain(ctx)
		close(h.drained)
		return nil
	})
	return nil
}

// drain takes the host out of service without aborting requests: the load balancer and the other
// hosts stop sending requests, requests in progress finish, and leaderships are transferred.
func (h *Host) drain(ctx context.Context) {
	h.draining.Store(true)
	h.log.Info("host draining")
	phases := []struct {
		name string
		run  func()
	}{
		{"balancer", func() { sleep(ctx, h.settings.Timing.DrainGrace) }},
		{"membership", func() { h.members.Leave(); h.http.CloseListener() }},
		{"samples", func() { h.sampler.Drain(ctx) }},
		{"requests", func() { h.http.Wait(ctx); h.inflight.Wait(ctx) }},
		{"leadership", func() { h.transferLeaderships(ctx) }},
		{"late requests", func() { h.inflight.Close(); h.inflight.Wait(ctx) }},
	}
	for _, phase := range phases {
		start := time.Now()
		phase.run()
		h.log.Info("drain phase ended", "phase", phase.name, "seconds", time.Since(start).Seconds(), "in_time", ctx.Err() == nil)
	}
}

func (h *Host) transferLeaderships(ctx context.Context) {
	for _, name := range slices.Sorted(maps.Keys(h.localGroups)) {
		h.transferLeadership(ctx, name)
	}
}

func (h *Host) transferLeadership(ctx context.Context, name string) {
	g := h.localGroups[name]
	if !g.IsLeader() || len(g.Status().Voters) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if err := g.TransferLeadership(ctx); err != nil {
		h.log.Warn("cannot transfer leadership", "group", name, "error", err)
	}
}

// Shutdown drains the host, or waits for a drain in progress, and stops all services.
func (h *Host) Shutdown(ctx context.Context) error {
	drainCtx, cancel := context.WithTimeout(ctx, h.settings.Timing.DrainTimeout)
	defer cancel()
	if h.draining.Swap(true) {
		select {
		case <-h.drained:
		case <-drainCtx.Done():
		}
	} else {
		h.drain(drainCtx)
	}
	err := h.kernel.Stop(ctx)
	h.log.Info("host stopped")
	return err
}

// Kill stops the host without draining, for tests and the demo. Only data that was synced to disk
// survives.
func (h *Host) Kill(ctx context.Context) error { return h.kernel.Stop(ctx) }

// httpService serves the HTTP interface.
type httpService struct {
	addr     string
	server   *http.Server
	listener net.Listener
	requests *requestCounter
	guard    *headguard.Guard
	log      *slog.Logger
}

func newHTTPService(addr string, handler http.Handler, guard *headguard.Guard, log *slog.Logger) *httpService {
	s := &httpService{addr: addr, requests: &requestCounter{}, guard: guard, log: log}
	s.server = api.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		done, err := s.requests.Begin()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer done()
		handler.ServeHTTP(w, r)
	}))
	s.server.ErrorLog = slog.NewLogLogger(log.Handler(), slog.LevelDebug)
	return s
}

// Start implements kernel.Service.
func (s *httpService) Start(_ context.Context, k *kernel.Kernel) error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return &errs.Unavailable{Resource: "HTTP address " + s.addr, Reason: err.Error()}
	}
	s.listener = listener
	k.Go("http/serve", func(context.Context) error {
		if err := s.server.Serve(s.guard.Protect("http", s.server, listener)); err != nil && err != http.ErrServerClosed {
			s.log.Debug("HTTP listener closed", "error", err)
		}
		return nil
	})
	return nil
}

// Active returns the number of requests in progress.
func (s *httpService) Active() int { return s.requests.Count() }

// CloseListener stops accepting connections and disables keep-alive, so that open connections are
// closed after their request in progress.
func (s *httpService) CloseListener() {
	s.server.SetKeepAlivesEnabled(false)
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Wait returns when no request is in progress or ctx ends.
func (s *httpService) Wait(ctx context.Context) { s.requests.Wait(ctx) }

// Stop implements kernel.Service. It waits for requests in progress until ctx ends.
func (s *httpService) Stop(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return &errs.Deadline{Operation: "HTTP shutdown", Outcome: errs.Unknown}
	}
	return nil
}
