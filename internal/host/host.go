// Package host composes one host of the system: it registers the services in the kernel,
// connects them, and starts and stops them in order.
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
	started     time.Time

	metrics     *observe.Metrics
	tracing     *observe.Tracing
	pool        *rpc.Pool
	groups      *groups
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
	orders      *orderService
	reporter    *targetReporter
	http        *httpService
	inflight    *inflight
	hostMetrics *hostMetrics

	draining atomic.Bool
	drained  chan struct{}
}

// Options are what differs between a daemon, a demo and a test.
type Options struct {
	Settings *settings.Settings
	Log      *slog.Logger
	// Spans receives finished spans when the exporter is stdout.
	Spans io.Writer
	// Seed makes the random choices repeatable; 0 draws one from the clock.
	Seed uint64
}

// New composes a host. Nothing is started.
func New(o Options) (*Host, error) {
	now := time.Now()
	h := &Host{
		settings:    o.Settings,
		log:         o.Log,
		kernel:      kernel.New(o.Log),
		incarnation: uint64(now.UnixMilli()),
		started:     now,
		metrics:     observe.NewMetrics(),
		localGroups: make(map[string]*group.Group),
		inflight:    &inflight{},
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

func (h *Host) compose(o Options, seed uint64) error {
	var err error
	s := h.settings
	h.tracing, err = observe.NewTracing(context.Background(), s.Trace, s.Host, s.FailureDomain, o.Spans)
	if err != nil {
		return err
	}
	h.hostMetrics = newHostMetrics(h.metrics)
	h.pool = rpc.NewPool(rpc.Options{
		Self: h.sender, Token: s.ClusterToken.Reveal(), Address: h.address, Log: h.log, TracerProvider: h.tracing.Provider(),
	})
	h.groups = newGroups(s.Host, voters(s), h.pool.Peer, func(domain string) []string { return h.members.Live(domain) })
	h.config = newConfigService(s.FailureDomain, s.Timing.ConfigPoll, h.groups, h.log)
	h.members = newMembershipService(membership.Config{
		Self:          membership.Host{ID: s.Host, Domain: s.FailureDomain, Addr: s.Peer, Incarnation: h.incarnation},
		Seeds:         seeds(s),
		ProbeInterval: s.Timing.Probe,
		Rand:          random(seed, 1),
	}, s.ClusterToken.Reveal(), s.Timing.DrainTimeout, h.log, h.started)
	h.members.started = h.pool.Redial
	h.composeRequests(seed)
	if err := h.openGroups(seed); err != nil {
		return err
	}
	h.composeHTTP()
	h.subscribe()
	h.watch(h.metrics)
	return nil
}

// composeRequests creates the services of the request paths.
func (h *Host) composeRequests(seed uint64) {
	s := h.settings
	domains := slices.Sorted(maps.Keys(s.Groups.Domains))
	client := engine.New(engine.Options{})
	h.dispatcher = newDispatcher(random(seed, 2))
	h.targets = newTargetService(s.Host, s.FailureDomain, s.Timing.TargetLease, h.members, h.pool.Peer, h.dispatcher, h.log)
	h.executor = &executor{dispatcher: h.dispatcher, targets: h.targets, client: client, tracing: h.tracing, log: h.log}
	h.quota = newQuotaService(s.Host, s.FailureDomain, len(domains), h.incarnation, h.groups, h.config, h.members, h.log)
	h.claims = newClaimService(s.Host, h.incarnation, h.groups, h.log)
	h.payloads = &payloadService{
		self: s.Host, domain: s.FailureDomain, domains: domains, store: newPayloadStore(payloadLimit),
		members: h.members, groups: h.groups, peer: h.pool.Peer, log: h.log,
	}
	h.trainer = &trainerService{config: h.config, groups: h.groups, payloads: h.payloads, log: h.log, metrics: h.hostMetrics}
	h.desk = &deskService{
		self: s.Host, domain: s.FailureDomain, config: h.config, quota: h.quota, claims: h.claims, members: h.members,
		peer: h.pool.Peer, executor: h.executor, random: random(seed, 3), budget: retry.NewBudget(retryShare), metrics: h.hostMetrics,
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

func random(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func voters(s *settings.Settings) map[string][]string {
	v := map[string][]string{controlGroup: s.Groups.Control}
	for domain, hosts := range s.Groups.Domains {
		v[domainGroup(domain)] = hosts
	}
	return v
}

// seeds lists the peer addresses of the other hosts.
func seeds(s *settings.Settings) []string {
	var list []string
	for _, host := range s.Hosts {
		if host.Host != s.Host {
			list = append(list, host.Peer)
		}
	}
	return list
}

// openGroups opens the replicas of the groups that the settings name this host for.
func (h *Host) openGroups(seed uint64) error {
	s := h.settings
	t := transport.New(h.pool.Peer, h.log)
	if err := h.kernel.Register("transport", t); err != nil {
		return err
	}
	if s.VotesControl() {
		state := controlstate.New()
		if err := h.openGroup(controlGroup, s.Groups.Control, state, state.Query, t, random(seed, 4)); err != nil {
			return err
		}
	}
	if !s.VotesDomain() {
		return nil
	}
	state, err := domainstate.New(domainstate.NewClaims(), domainstate.NewQuota())
	if err != nil {
		return err
	}
	name := domainGroup(s.FailureDomain)
	if err := h.openGroup(name, s.Groups.Domains[s.FailureDomain], state, state.Query, t, random(seed, 5)); err != nil {
		return err
	}
	domains := slices.Sorted(maps.Keys(s.Groups.Domains))
	h.work = newWorkService(s.FailureDomain, domains, h.localGroups[name], state, h.groups, h.members, s.Timing.WorkLease, h.log)
	h.orders = newOrderService(s.FailureDomain, h.localGroups[name], state, h.executor.client, h.log)
	h.work.self, h.work.payloads, h.work.peer = s.Host, h.payloads.store, h.pool.Peer
	h.sampler.work, h.reporter.orders = h.work, h.orders
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
	h.http = newHTTPService(h.settings.HTTP, h.tracing.Middleware(handler), h.log)
}

// subscribe passes each configuration in force to the services that depend on it.
func (h *Host) subscribe() {
	domains := len(h.settings.Groups.Domains)
	h.config.Subscribe(func(cfg *confstate.Config) {
		h.dispatcher.SetConfig(cfg)
		h.targets.SetConfig(cfg)
		h.quota.SetConfig(cfg)
		if h.work != nil {
			h.work.SetConfig(cfg)
			h.orders.SetConfig(cfg, domains)
		}
	})
}

// register names the services in the order in which they start.
func (h *Host) register() error {
	peer := &peerServer{
		domain: h.settings.FailureDomain, addr: h.settings.Peer, groups: h.groups, local: h.localGroups, config: h.config,
		executor: h.executor, targets: h.targets, payloads: h.payloads.store, work: h.work, orders: h.orders,
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
		{"peers", h.pool}, {"peer-server", peer},
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
		}{"weights", h.orders})
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

// groupService runs a replica as a duty of the kernel.
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

// summaryInterval is the interval at which a host tells the others its load.
const summaryInterval = 500 * time.Millisecond

// summaryService publishes the load of this host's targets.
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

func (h *Host) sender() rpc.Sender {
	return rpc.Sender{Host: h.settings.Host, Incarnation: h.incarnation, ConfigVersion: h.config.Version()}
}

// address finds a host among the members, and before it has joined among the seeds.
func (h *Host) address(host string) (string, bool) {
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
		h.kernel.Go("config/initial", h.applyInitial)
	}
	h.log.Info("host is started", "settings", h.settings)
	return nil
}

// applyInitial applies the configuration file of the settings until it is decided.
func (h *Host) applyInitial(ctx context.Context) error {
	body, err := os.ReadFile(h.settings.InitialConfig)
	if err != nil {
		return &errs.NotFound{Kind: "initial configuration", ID: h.settings.InitialConfig}
	}
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		_, err := h.Apply(attempt, body)
		cancel()
		switch errs.CodeOf(err) {
		case errs.CodeConflict:
			h.log.Info("initial configuration is not newer than the one in force")
			return nil
		case errs.CodeInvalid:
			return err
		}
		if err == nil {
			return nil
		}
		pause(ctx, leader.RetryDelay)
	}
	return nil
}

// Failed delivers the first failure of a duty.
func (h *Host) Failed() <-chan error { return h.kernel.Failed() }

// Drained is closed when a drain that an operator asked for has ended.
func (h *Host) Drained() <-chan struct{} { return h.drained }

// HTTPAddr returns the address of the HTTP interface.
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

// Caller implements api.Authenticator.
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

// OwnedTargets returns the number of targets that this host owns.
func (h *Host) OwnedTargets() int { return len(h.targets.Owned()) }

// ConfigVersion returns the version of the configuration in force, or 0.
func (h *Host) ConfigVersion() uint64 { return h.config.Version() }

// GossipBytes returns the bytes of membership packets sent since the start.
func (h *Host) GossipBytes() uint64 {
	sent, _ := h.members.Traffic()
	return sent
}
