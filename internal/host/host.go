// Package host implements a host of the system: it creates the services, connects them, registers
// them in the kernel, and starts and stops them in order.
package host

import (
	"context"
	"crypto/subtle"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/controlstate"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/internal/engine"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/headguard"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/leader"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/transport"
	"fuchsiaflow/membership"
	"fuchsiaflow/retry"
	"fuchsiaflow/storage"
)

// Host is one process of the system.
type Host struct {
	settings    *settings.Settings
	log         *slog.Logger
	kernel      *kernel.Kernel
	incarnation uint64
	startTime   time.Time

	metrics     *observe.Metrics
	tracing     *observe.Tracing
	peers       *rpc.Pool
	groups      *groupClient
	localGroups map[string]*group.Group
	config      *configService
	members     *membershipService
	targets     *targetService
	dispatcher  *dispatcher
	executor    *executor
	quota       *quotaService
	claims      *claimService
	payloads    *payloadService
	trainer     *trainerService
	desk        *deskService
	sampler     *samplerService
	work        *workService
	loadOrders  *loadOrderService
	reporter    *targetReporter
	http        *httpService
	inflight    *requestCounter
	hostMetrics *hostMetrics

	draining atomic.Bool
	drained  chan struct{}
}

// Options are the options of New.
type Options struct {
	Settings *settings.Settings
	Log      *slog.Logger
	// SpanWriter receives finished spans if the trace exporter is stdout.
	SpanWriter io.Writer
	// Seed is the seed of all random choices. 0 means a seed from the clock.
	Seed uint64
}

// New creates a host without starting it.
func New(o Options) (*Host, error) {
	now := time.Now()
	h := &Host{
		settings:    o.Settings,
		log:         o.Log,
		kernel:      kernel.New(o.Log),
		incarnation: uint64(now.UnixMilli()),
		startTime:   now,
		metrics:     observe.NewMetrics(),
		localGroups: make(map[string]*group.Group),
		inflight:    &requestCounter{},
		drained:     make(chan struct{}),
	}
	seed := o.Seed
	if seed == 0 {
		seed = uint64(now.UnixNano())
	}
	if err := h.compose(o, seed); err != nil {
		return nil, err
	}
	return h, h.register()
}

// compose creates the services and connects them.
func (h *Host) compose(o Options, seed uint64) error {
	var err error
	s := h.settings
	h.tracing, err = observe.NewTracing(context.Background(), s.Trace, s.Host, s.FailureDomain, o.SpanWriter)
	if err != nil {
		return err
	}
	h.hostMetrics = newHostMetrics(h.metrics)
	h.peers = rpc.NewPool(rpc.Options{
		Self: h.sender, Token: s.ClusterToken.Reveal(), Address: h.peerAddress, Log: h.log, TracerProvider: h.tracing.Provider(),
	})
	h.groups = newGroupClient(s.Host, voters(s), h.peers.Peer, func(domain string) []string { return h.members.Live(domain) })
	h.config = newConfigService(s.FailureDomain, s.Timing.ConfigPoll, h.groups, h.log)
	h.members = newMembershipService(membership.Config{
		Self:          membership.Host{ID: s.Host, Domain: s.FailureDomain, Addr: s.Peer, Incarnation: h.incarnation},
		Seeds:         seeds(s),
		ProbeInterval: s.Timing.Probe,
		Rand:          newRand(seed, 1),
	}, s.ClusterToken.Reveal(), s.Timing.DrainTimeout, h.log, h.startTime)
	h.members.onRestart = h.peers.Redial
	h.composeRequestServices(seed)
	if err := h.openGroups(seed); err != nil {
		return err
	}
	h.composeHTTP()
	h.subscribe()
	h.registerGauges(h.metrics)
	return nil
}

// composeRequestServices creates the services that handle requests, samples and quotas.
func (h *Host) composeRequestServices(seed uint64) {
	s := h.settings
	domains := slices.Sorted(maps.Keys(s.Groups.Domains))
	client := engine.New(engine.Options{})
	h.dispatcher = newDispatcher(newRand(seed, 2))
	h.targets = newTargetService(s.Host, s.FailureDomain, s.Timing.TargetLease, h.members, h.peers.Peer, h.dispatcher, h.log)
	h.executor = &executor{dispatcher: h.dispatcher, targets: h.targets, client: client, tracing: h.tracing, log: h.log}
	h.quota = newQuotaService(s.Host, s.FailureDomain, len(domains), h.incarnation, h.groups, h.config, h.members, h.log)
	h.claims = newClaimService(s.Host, h.incarnation, h.groups, h.log)
	h.payloads = &payloadService{
		self: s.Host, domain: s.FailureDomain, domains: domains, store: newPayloadStore(maxPayloadBytes),
		members: h.members, groups: h.groups, peer: h.peers.Peer, log: h.log,
	}
	h.trainer = &trainerService{config: h.config, groups: h.groups, payloads: h.payloads, log: h.log, metrics: h.hostMetrics}
	h.desk = &deskService{
		self: s.Host, domain: s.FailureDomain, config: h.config, quota: h.quota, claims: h.claims, members: h.members,
		peer: h.peers.Peer, executor: h.executor, random: newRand(seed, 3), retryBudget: retry.NewBudget(maxRetryRatio), metrics: h.hostMetrics,
	}
	h.sampler = &samplerService{
		config: h.config, quota: h.quota, dispatcher: h.dispatcher, executor: h.executor, payloads: h.payloads,
		groups: h.groups, self: s.Host, domains: domains, peer: h.groups.peer, log: h.log, metrics: h.hostMetrics,
	}
	h.sampler.init()
	h.reporter = &targetReporter{
		self: s.Host, domain: s.FailureDomain, targets: h.targets, groups: h.groups, peer: h.groups.peer, log: h.log,
	}
}

func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// voters returns the configured voters by group.
func voters(s *settings.Settings) map[string][]string {
	v := map[string][]string{controlGroup: s.Groups.Control}
	for domain, hosts := range s.Groups.Domains {
		v[domainGroup(domain)] = hosts
	}
	return v
}

// seeds returns the peer addresses of the other hosts in the settings.
func seeds(s *settings.Settings) []string {
	var list []string
	for _, host := range s.Hosts {
		if host.Host != s.Host {
			list = append(list, host.Peer)
		}
	}
	return list
}

// openGroups opens the replicas of the groups in which this host votes according to the settings.
func (h *Host) openGroups(seed uint64) error {
	s := h.settings
	t := transport.New(h.peers.Peer, h.log)
	if err := h.kernel.Register("transport", t); err != nil {
		return err
	}
	if s.IsControlVoter() {
		state := controlstate.New()
		if err := h.openGroup(controlGroup, s.Groups.Control, state, state.Query, t, newRand(seed, 4)); err != nil {
			return err
		}
	}
	if !s.IsDomainVoter() {
		return nil
	}
	state, err := domainstate.New(domainstate.NewClaims(), domainstate.NewQuota())
	if err != nil {
		return err
	}
	name := domainGroup(s.FailureDomain)
	if err := h.openGroup(name, s.Groups.Domains[s.FailureDomain], state, state.Query, t, newRand(seed, 5)); err != nil {
		return err
	}
	domains := slices.Sorted(maps.Keys(s.Groups.Domains))
	h.work = newWorkService(s.FailureDomain, domains, h.localGroups[name], state, h.groups, h.members, s.Timing.WorkLease, h.log)
	h.loadOrders = newLoadOrderService(s.FailureDomain, h.localGroups[name], state, h.executor.client, h.log)
	h.work.self, h.work.payloads, h.work.peer = s.Host, h.payloads.store, h.peers.Peer
	h.sampler.work, h.reporter.loadOrders = h.work, h.loadOrders
	return nil
}

func (h *Host) openGroup(name string, members []string, state group.StateMachine, query func([]byte) []byte, t *transport.Transport, random *rand.Rand) error {
	s := h.settings
	if s.DataDir == "" {
		return &errs.Invalid{Path: "$.data_dir", Want: "a folder, because the host votes in group " + name, Got: "nothing"}
	}
	start := storage.Existing
	switch {
	case s.Bootstrap:
		start = storage.Bootstrap
	case s.Join:
		start = storage.Join
	}
	g, err := group.Open(group.Options{
		Group: name, ID: s.Host, Voters: members, Start: start, FS: storage.OS{},
		Dir:          filepath.Join(s.DataDir, strings.ReplaceAll(name, "/", "-")),
		StateMachine: state, Transport: t, Rand: random, Logger: h.log,
		HeartbeatInterval: s.Timing.Heartbeat, ElectionTimeout: s.Timing.Election,
	})
	if err != nil {
		return err
	}
	h.localGroups[name] = g
	h.groups.addLocal(name, replica{group: g, query: func(q []byte) (answer []byte) {
		g.View(func() { answer = query(q) })
		return answer
	}})
	return nil
}

func (h *Host) composeHTTP() {
	handler := api.NewHandler(api.Options{
		Auth: h, Trainer: h.trainer, Desk: h.desk, Targets: h.targets, Operator: h, Health: h,
		Metrics: h.metrics.Handler(), Log: h.log,
	})
	// The settings of this host state neither memory nor descriptors.
	guard := headguard.New(headguard.LimitsFor(0, 0), h.log, h.metrics)
	h.http = newHTTPService(h.settings.HTTP, h.tracing.Middleware(handler), guard, h.log)
}

// subscribe passes each active configuration to the services that depend on it.
func (h *Host) subscribe() {
	domains := len(h.settings.Groups.Domains)
	h.config.Subscribe(func(cfg *confstate.Config) {
		h.dispatcher.SetConfig(cfg)
		h.targets.SetConfig(cfg)
		h.quota.SetConfig(cfg)
		if h.work != nil {
			h.work.SetConfig(cfg)
			h.loadOrders.SetConfig(cfg, domains)
		}
	})
}

// register registers the services in the kernel in the order in which they start.
func (h *Host) register() error {
	peer := &peerServer{
		domain: h.settings.FailureDomain, addr: h.settings.Peer, groups: h.groups, local: h.localGroups, config: h.config,
		executor: h.executor, targets: h.targets, payloads: h.payloads.store, work: h.work, loadOrders: h.loadOrders,
		inflight: h.inflight, log: h.log,
		server: rpc.NewServer(rpc.ServerOptions{
			Token: h.settings.ClusterToken.Reveal(), Log: h.log, TracerProvider: h.tracing.Provider(),
		}),
	}
	services := []struct {
		name    string
		service any
	}{
		{"settings", h.settings}, {"log", h.log}, {"metrics", h.metrics}, {"trace", h.tracing},
		{"peers", h.peers}, {"peer-server", peer},
	}
	for _, name := range slices.Sorted(maps.Keys(h.localGroups)) {
		services = append(services, struct {
			name    string
			service any
		}{"group/" + name, &groupService{name: name, group: h.localGroups[name]}})
	}
	services = append(services, []struct {
		name    string
		service any
	}{
		{"membership", h.members}, {"config", h.config}, {"dispatcher", h.dispatcher}, {"targets", h.targets},
		{"limits", h.quota}, {"claims", h.claims}, {"payloads", h.payloads}, {"sampler", h.sampler},
		{"target-reports", h.reporter}, {"summary", &summaryService{dispatcher: h.dispatcher, members: h.members}},
	}...)
	if h.work != nil {
		services = append(services, struct {
			name    string
			service any
		}{"work", h.work}, struct {
			name    string
			service any
		}{"weights", h.loadOrders})
	}
	services = append(services, struct {
		name    string
		service any
	}{"http", h.http})
	for _, s := range services {
		if err := h.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

// groupService runs a replica in a goroutine of the kernel.
type groupService struct {
	name  string
	group *group.Group
}

// Start implements kernel.Service.
func (g *groupService) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("group/"+g.name, g.group.Run)
	return nil
}

// Stop implements kernel.Service.
func (g *groupService) Stop(context.Context) error { return nil }

// summaryInterval is the interval at which a host publishes its summary.
const summaryInterval = 500 * time.Millisecond

// summaryService publishes the summary of this host, which contains the load of its targets.
type summaryService struct {
	dispatcher *dispatcher
	members    *membershipService
}

// Start implements kernel.Service.
func (s *summaryService) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("summary/publish", summaryInterval, func(context.Context) {
		s.members.SetSummary(s.dispatcher.Summary())
	})
	return nil
}

// Stop implements kernel.Service.
func (s *summaryService) Stop(context.Context) error { return nil }

// sender returns the sender data of calls to other hosts.
func (h *Host) sender() rpc.Sender {
	return rpc.Sender{Host: h.settings.Host, Incarnation: h.incarnation, ConfigVersion: h.config.Version()}
}

// peerAddress returns the peer address of a host from the membership, or from the settings if the
// membership doesn't know it yet.
func (h *Host) peerAddress(host string) (string, bool) {
	if addr, ok := h.members.Address(host); ok && addr != "" {
		return addr, true
	}
	for _, seed := range h.settings.Hosts {
		if seed.Host == host {
			return seed.Peer, true
		}
	}
	return "", false
}

// Start starts all services.
func (h *Host) Start(ctx context.Context) error {
	if err := h.kernel.Start(ctx); err != nil {
		return err
	}
	if h.settings.InitialConfig != "" {
		h.kernel.Go("config/initial", h.applyInitialConfig)
	}
	h.log.Info("host started", "settings", h.settings)
	return nil
}

// applyInitialConfig applies the initial configuration file. It retries until the file is accepted
// or refused.
func (h *Host) applyInitialConfig(ctx context.Context) error {
	body, err := os.ReadFile(h.settings.InitialConfig)
	if err != nil {
		return &errs.NotFound{Kind: "initial configuration", ID: h.settings.InitialConfig}
	}
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		_, err := h.Apply(attemptCtx, body)
		cancel()
		switch errs.CodeOf(err) {
		case errs.CodeConflict:
			h.log.Info("initial configuration is not newer than the active one")
			return nil
		case errs.CodeInvalid:
			return err
		}
		if err == nil {
			return nil
		}
		sleep(ctx, leader.RetryDelay)
	}
	return nil
}

// Failed delivers the first failure of a goroutine of the kernel.
func (h *Host) Failed() <-chan error { return h.kernel.Failed() }

// Drained returns a channel that is closed when a drain requested by Drain has ended.
func (h *Host) Drained() <-chan struct{} { return h.drained }

// HTTPAddr returns the configured address of the HTTP interface.
func (h *Host) HTTPAddr() string { return h.settings.HTTP }

// Ready implements api.Health.
func (h *Host) Ready() (bool, string) {
	switch {
	case h.draining.Load():
		return false, "it is draining"
	case !h.config.Ready():
		return false, "the newest configuration is not confirmed yet"
	case h.config.Current() == nil:
		return false, "no configuration is in force"
	}
	return true, ""
}

// Caller implements api.Authenticator. It fails with errs.Unavailable until the newest
// configuration is confirmed.
func (h *Host) Caller(token string) (api.Identity, error) {
	cfg := h.config.Current()
	if cfg == nil || !h.config.Ready() {
		return api.Identity{}, &errs.Unavailable{Resource: "host", Reason: "the newest configuration is not confirmed yet"}
	}
	t := cfg.TenancyByToken(token)
	if t == nil || token == "" {
		return api.Identity{}, &errs.Unauthenticated{Realm: "callers"}
	}
	return api.Identity{Tenancy: t.Name, Kind: string(t.Kind)}, nil
}

// Operator implements api.Authenticator.
func (h *Host) Operator(token string) bool {
	want := h.settings.OperatorToken.Reveal()
	return want != "" && subtle.ConstantTimeCompare([]byte(token), []byte(want)) == 1
}

// OwnedTargetCount returns the number of targets that this host owns.
func (h *Host) OwnedTargetCount() int { return len(h.targets.Owned()) }

// ConfigVersion returns the version of the active configuration, or 0 if there is none yet.
func (h *Host) ConfigVersion() uint64 { return h.config.Version() }

// GossipBytesSent returns the number of bytes of membership packets sent since the start.
func (h *Host) GossipBytesSent() uint64 {
	sent, _ := h.members.Traffic()
	return sent
}
