package host

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/internal/engine"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/weights"
)

const (
	// orderTick is the interval at which the planner looks for orders to give.
	orderTick = 100 * time.Millisecond
	// orderTimeout bounds one order. Loading a version takes the engine seconds.
	orderTimeout = 60 * time.Second
	// stateTimeout bounds the question for a target's state after an order.
	stateTimeout = 2 * time.Second
	// maxOrders bounds the targets with orders in progress; more wait for the next tick. A
	// quarter of the 632 targets of a failure domain are 158. Repetitions do not count: with a
	// swap of 5 s they are two of three calls, and would keep other targets waiting.
	maxOrders = 256
)

// orderService gives load orders to the targets of its failure domain while this host leads
// the domain group and holds a proven lease.
type orderService struct {
	domain string
	group  *group.Group
	state  *domainstate.State
	client *engine.Client
	log    *slog.Logger
	kern   *kernel.Kernel

	mu        sync.Mutex
	planner   *weights.Planner
	addresses map[string]string
	pools     map[string]string
	inFlight  map[string]string // by pool
	reporters map[string]uint64
	running   map[string]int // calls in progress by target
}

func newOrderService(domain string, g *group.Group, state *domainstate.State, client *engine.Client, log *slog.Logger) *orderService {
	return &orderService{
		domain: domain, group: g, state: state, client: client, log: log,
		planner:   weights.NewPlanner(weights.Config{}),
		addresses: make(map[string]string),
		pools:     make(map[string]string),
		inFlight:  make(map[string]string),
		reporters: make(map[string]uint64),
		running:   make(map[string]int),
	}
}

// Start implements kernel.Service.
func (o *orderService) Start(_ context.Context, k *kernel.Kernel) error {
	o.kern = k
	k.Every("weights/orders", orderTick, func(context.Context) { o.tick() })
	return nil
}

// Stop implements kernel.Service.
func (o *orderService) Stop(context.Context) error { return nil }

// SetConfig applies the limits of pools and of the weight store. The store's rate is divided
// evenly between the failure domains.
func (o *orderService) SetConfig(cfg *confstate.Config, domains int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner.SetStoreRate(cfg.WeightStore.LoadsPerSecond/float64(max(1, domains)), float64(cfg.WeightStore.MaxConcurrent)/float64(max(1, domains)))
	for _, pool := range cfg.Pools {
		if pool.Kind == confstate.Engine {
			o.inFlight[pool.Name] = string(pool.InFlight)
			o.planner.SetPool(pool.Name, weights.PoolConfig{
				MaxUnavailable: float64(pool.MaxUnavailablePercent) / 100, Models: pool.Models,
			})
		}
	}
}

// Report takes the state of targets from their owner. It answers whether a full report is
// needed, which is so for the first report of an owner under this leadership.
func (o *orderService) Report(host string, r *rpc.ReportTargetsRequest) (*rpc.ReportTargetsReply, error) {
	leader, term, _ := o.group.Leader()
	if !o.group.IsLeader() {
		return nil, &errs.NotLeader{Group: domainGroup(o.domain), Leader: leader}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reporters[host] != term && !r.Full {
		return &rpc.ReportTargetsReply{WantFull: true}, nil
	}
	o.reporters[host] = term
	now := time.Now()
	for _, t := range r.Targets {
		if t.Gone {
			o.planner.RemoveTarget(t.Id)
			delete(o.addresses, t.Id)
			continue
		}
		o.addresses[t.Id], o.pools[t.Id] = t.Address, t.Pool
		o.planner.UpdateTarget(now, weights.TargetReport{
			ID: t.Id, Incarnation: t.Incarnation, Pool: t.Pool, Loaded: t.Loaded, LastFence: t.LastFence,
		})
	}
	return &rpc.ReportTargetsReply{}, nil
}

func (o *orderService) tick() {
	if !o.group.IsLeader() {
		return
	}
	var desired map[string]uint64
	o.group.View(func() { desired = maps.Clone(o.state.DesiredVersions()) })
	now := time.Now()
	_, term, _ := o.group.Leader()
	until, ok := o.group.Lease(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	for model, version := range desired {
		o.planner.SetDesired(now, model, version)
	}
	if len(o.running) >= maxOrders {
		return
	}
	for _, order := range o.planner.Tick(now, weights.LeaderLease{Term: term, ExpiresAt: until, Valid: ok}) {
		o.running[order.Target]++
		addr, inFlight := o.addresses[order.Target], o.inFlight[o.pools[order.Target]]
		o.kern.Go("weights/order", func(ctx context.Context) error {
			o.give(ctx, addr, inFlight, order)
			return nil
		})
	}
}

// give sends one order and then asks the target for its state, because only what the target
// reports is trusted.
func (o *orderService) give(ctx context.Context, addr, inFlight string, order weights.Order) {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	err := o.client.Order(orderCtx, addr, engine.Order{
		Kind: engine.OrderLoad, Model: order.Model, Version: order.Version, Fence: order.Fence, ExpiresAt: order.ExpiresAt, InFlight: inFlight,
	})
	cancel()
	result := orderResult(order, err)
	if !result.OK {
		o.log.Warn("order failed", "target", order.Target, "model", order.Model, "version", order.Version, "error", err)
	}
	stateCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	state, stateErr := o.client.State(stateCtx, addr)
	cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running[order.Target]--; o.running[order.Target] == 0 {
		delete(o.running, order.Target)
	}
	now := time.Now()
	o.planner.RecordResult(now, result)
	if stateErr == nil {
		o.planner.UpdateTarget(now, weights.TargetReport{
			ID: order.Target, Incarnation: state.Incarnation, Pool: o.pools[order.Target], Loaded: state.Loaded, LastFence: state.Fence,
		})
	}
}

func orderResult(order weights.Order, err error) weights.OrderResult {
	result := weights.OrderResult{
		Target: order.Target, Model: order.Model, Version: order.Version, Fence: order.Fence, OK: err == nil,
	}
	if err == nil {
		return result
	}
	var old *engine.StaleFence
	result.OldFence = errors.As(err, &old)
	result.NotSent = !result.OldFence && errs.OutcomeOf(err) == errs.NotRun
	result.Reason = err.Error()
	return result
}

// weightsStatus is the part of the status about weight swaps.
type weightsStatus struct {
	Behind      int                  `json:"behind"`
	Swapping    int                  `json:"swapping"`
	Orders      uint64               `json:"orders"`
	Failures    uint64               `json:"failures"`
	Quarantined []weights.Quarantine `json:"quarantined,omitempty"`
}

func (o *orderService) Status() weightsStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.planner.Stats()
	return weightsStatus{
		Behind: s.Behind, Swapping: s.Swapping, Orders: s.Orders, Failures: s.Failures, Quarantined: o.planner.Quarantined(),
	}
}

// targetReporter tells the domain leader which targets of this host changed.
type targetReporter struct {
	self    string
	domain  string
	targets *targetService
	groups  *groups
	orders  *orderService
	peer    func(host string) (rpc.PeerClient, error)
	log     *slog.Logger

	leader string
	sent   map[string]ownedTarget
}

// reportTargetsInterval is the interval at which changes of targets are reported.
const reportTargetsInterval = 200 * time.Millisecond

// Start implements kernel.Service.
func (r *targetReporter) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("targets/report", reportTargetsInterval, r.report)
	return nil
}

// Stop implements kernel.Service.
func (r *targetReporter) Stop(context.Context) error { return nil }

func (r *targetReporter) report(ctx context.Context) {
	owned := r.targets.Owned()
	full := r.sent == nil
	request := r.changes(owned, full)
	if len(request.Targets) == 0 && !full {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reply, leader, err := r.send(ctx, request)
	if err != nil || reply.WantFull || leader != r.leader && !full {
		r.sent, r.leader = nil, leader
		return
	}
	r.leader = leader
	r.sent = make(map[string]ownedTarget, len(owned))
	for _, t := range owned {
		r.sent[t.ID] = t
	}
}

func (r *targetReporter) changes(owned []ownedTarget, full bool) *rpc.ReportTargetsRequest {
	request := &rpc.ReportTargetsRequest{Full: full}
	seen := make(map[string]bool, len(owned))
	for _, t := range owned {
		seen[t.ID] = true
		if old, ok := r.sent[t.ID]; ok && sameState(old, t) {
			continue
		}
		request.Targets = append(request.Targets, &rpc.TargetState{
			Id: t.ID, Incarnation: t.Incarnation, Pool: t.Pool, Address: t.Address, Loaded: t.Loaded, Gone: t.State != "serving", LastFence: t.LastFence,
		})
	}
	for id := range r.sent {
		if !seen[id] {
			request.Targets = append(request.Targets, &rpc.TargetState{Id: id, Gone: true})
		}
	}
	return request
}

func sameState(a, b ownedTarget) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.State == b.State && maps.Equal(a.Loaded, b.Loaded)
}

func (r *targetReporter) send(ctx context.Context, request *rpc.ReportTargetsRequest) (reply *rpc.ReportTargetsReply, leader string, err error) {
	_, err = r.groups.toLeader(ctx, domainGroup(r.domain), true, func(ctx context.Context, host string) ([]byte, error) {
		leader = host
		if host == r.self {
			if r.orders == nil {
				return nil, &errs.NotLeader{Group: domainGroup(r.domain)}
			}
			reply, err = r.orders.Report(r.self, request)
			return nil, err
		}
		peer, err := r.peer(host)
		if err != nil {
			return nil, err
		}
		reply, err = peer.ReportTargets(ctx, request)
		return nil, err
	})
	return reply, leader, err
}
