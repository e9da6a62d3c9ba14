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
	"fuchsiaflow/internal/kernel"
)

// Apply implements api.Operator. A file that is resent after a lost answer gets the first
// answer again.
func (h *Host) Apply(ctx context.Context, body []byte) (*api.ApplyReply, error) {
	cfg, err := confstate.Parse(body)
	if err != nil {
		return nil, err
	}
	if err := h.checkDomains(cfg); err != nil {
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
	h.log.Info("configuration is accepted", "version", cfg.Version, "digest", change.Digest, "repeated", result.Kind == confstate.Repeated)
	return &api.ApplyReply{Version: cfg.Version, Digest: change.Digest, Repeated: result.Kind == confstate.Repeated}, nil
}

// checkDomains refuses tenancies whose home has no domain group.
func (h *Host) checkDomains(cfg *confstate.Config) error {
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

// Config implements api.Operator.
func (h *Host) Config(context.Context) (*api.ConfigReply, error) {
	entry := h.config.Active()
	if entry.Version == 0 {
		return nil, &errs.NotFound{Kind: "configuration", ID: "in force"}
	}
	return &api.ConfigReply{Version: entry.Version, Digest: entry.Digest, Config: entry.Body}, nil
}

// Status is the state of one host as operators see it. It has no secrets.
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
	Weights       *weightsStatus         `json:"weights,omitempty"`
	Work          *WorkStatus            `json:"work,omitempty"`
}

// HostStatus is what this host believes of another.
type HostStatus struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
}

// GroupStatus is the state of a replica.
type GroupStatus struct {
	Role     string   `json:"role"`
	Leader   string   `json:"leader"`
	Term     uint64   `json:"term"`
	Commit   uint64   `json:"commit"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners,omitempty"`
	Lease    bool     `json:"lease"`
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

// QueueStatus counts waiting requests.
type QueueStatus struct {
	Desk    int `json:"desk"`
	Samples int `json:"samples"`
}

// RunningStatus counts requests in progress.
type RunningStatus struct {
	Requests int `json:"requests"`
	Samples  int `json:"samples"`
}

// PayloadStatus counts the sample payloads in memory.
type PayloadStatus struct {
	Count int `json:"count"`
	Bytes int `json:"bytes"`
}

// WorkStatus counts the slots of the domain's open steps, on the leader.
type WorkStatus struct {
	Open     int    `json:"open"`
	InFlight int    `json:"in_flight"`
	Leased   uint64 `json:"leased"`
	Hedged   uint64 `json:"hedged"`
	Expired  uint64 `json:"expired"`
}

// Status implements api.Operator.
func (h *Host) Status(context.Context) (any, error) { return h.status(), nil }

func (h *Host) status() *Status {
	entry := h.config.Active()
	ready, reason := h.Ready()
	s := &Status{
		Host: h.settings.Host, FailureDomain: h.settings.FailureDomain, Incarnation: h.incarnation,
		UptimeSeconds: int64(time.Since(h.started).Seconds()), Ready: ready, Reason: reason,
		ConfigVersion: entry.Version, ConfigDigest: entry.Digest, Groups: make(map[string]GroupStatus),
		Running: RunningStatus{Requests: h.inflight.Count() + h.http.Active(), Samples: h.sampler.Running()},
	}
	for _, m := range h.members.Members() {
		s.Hosts = append(s.Hosts, HostStatus{
			Host: m.Host.ID, FailureDomain: m.Host.Domain, State: m.State.String(), Incarnation: m.Host.Incarnation,
		})
	}
	for name, g := range h.localGroups {
		_, leased := g.Lease(time.Now())
		s.Groups[name] = groupStatus(g.Status(), leased, g.Health().Stalled)
	}
	for _, t := range h.targets.Owned() {
		s.Targets = append(s.Targets, TargetStatus{ID: t.ID, Pool: t.Pool, State: t.State, Loaded: t.Loaded, Load: t.Load})
	}
	s.Queued.Desk, s.Queued.Samples = h.dispatcher.Queued()
	s.Payloads.Count, s.Payloads.Bytes = h.payloads.store.Size()
	if h.work != nil && h.work.group.IsLeader() {
		stats := h.work.Stats()
		s.Work = &WorkStatus{Open: stats.OpenSlots, InFlight: stats.InFlight, Leased: stats.Leased, Hedged: stats.Hedged, Expired: stats.Expired}
		w := h.orders.Status()
		s.Weights = &w
	}
	return s
}

func groupStatus(s consensus.Status, leased, stalled bool) GroupStatus {
	return GroupStatus{
		Role: s.Role.String(), Leader: s.Leader, Term: s.Term, Commit: s.Commit,
		Voters: s.Voters, Learners: s.Learners, Lease: leased, Stalled: stalled,
	}
}

// Drain implements api.Operator.
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

// drain ends the host's part in the system without cutting off a request: the balancer and
// the other hosts stop sending, leadership is handed over, and requests in progress finish.
func (h *Host) drain(ctx context.Context) {
	h.draining.Store(true)
	h.log.Info("host is draining")
	phases := []struct {
		name string
		run  func()
	}{
		{"balancer", func() { pause(ctx, h.settings.Timing.DrainGrace) }},
		{"membership", func() { h.members.Leave(); h.http.CloseListener() }},
		{"samples", func() { h.sampler.Drain(ctx) }},
		{"requests", func() { h.http.Wait(ctx); h.inflight.Wait(ctx) }},
		{"leadership", func() { h.handOverAll(ctx) }},
		{"late requests", func() { h.inflight.Close(); h.inflight.Wait(ctx) }},
	}
	for _, phase := range phases {
		began := time.Now()
		phase.run()
		h.log.Info("drain phase is over", "phase", phase.name, "seconds", time.Since(began).Seconds(), "in_time", ctx.Err() == nil)
	}
}

func (h *Host) handOverAll(ctx context.Context) {
	for _, name := range slices.Sorted(maps.Keys(h.localGroups)) {
		h.handOver(ctx, name)
	}
}

func (h *Host) handOver(ctx context.Context, name string) {
	g := h.localGroups[name]
	if !g.IsLeader() || len(g.Status().Voters) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if err := g.TransferLeadership(ctx); err != nil {
		h.log.Warn("leadership is not handed over", "group", name, "error", err)
	}
}

// Shutdown drains the host, unless that has happened, and stops all services.
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
	h.log.Info("host is stopped")
	return err
}

// Kill stops the host without draining, for tests and the demo. Memory is lost; only what
// was synced survives.
func (h *Host) Kill(ctx context.Context) error { return h.kernel.Stop(ctx) }

// httpService serves the HTTP interface.
type httpService struct {
	addr     string
	server   *http.Server
	listener net.Listener
	requests *inflight
	log      *slog.Logger
}

func newHTTPService(addr string, handler http.Handler, log *slog.Logger) *httpService {
	s := &httpService{addr: addr, requests: &inflight{}, log: log}
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
		if err := s.server.Serve(listener); err != nil && err != http.ErrServerClosed {
			s.log.Debug("HTTP listener is closed", "error", err)
		}
		return nil
	})
	return nil
}

// Active returns the requests in progress.
func (s *httpService) Active() int { return s.requests.Count() }

// CloseListener refuses new connections and tells clients to close the open ones after the
// request in progress.
func (s *httpService) CloseListener() {
	s.server.SetKeepAlivesEnabled(false)
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Wait returns once no request is in progress or ctx ends.
func (s *httpService) Wait(ctx context.Context) { s.requests.Wait(ctx) }

// Stop implements kernel.Service. It waits for requests in progress until ctx ends.
func (s *httpService) Stop(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil {
		return &errs.Deadline{Operation: "HTTP shutdown", Result: errs.Unknown}
	}
	return nil
}
