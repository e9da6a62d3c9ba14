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
	// orderInterval is the interval at which new load orders are planned.
	orderInterval = 100 * time.Millisecond
	// orderTimeout limits one order. An engine takes several seconds to load a version.
	orderTimeout = 60 * time.Second
	// stateTimeout limits the query of a target's state after an order.
	stateTimeout = 2 * time.Second
	// maxBusyTargets limits the number of targets with orders in progress; others wait for the
	// next tick. A quarter of the 632 targets of a failure domain is 158. Repeated orders to the
	// same target do not count: with a swap of 5 s they are two of three calls and would delay
	// other targets.
	maxBusyTargets = 256
)

// loadOrderService orders the targets of its failure domain to load weight versions, while this
// host leads the domain group and holds the leader lease.
type loadOrderService struct {
	domain string
	group  *group.Group
	state  *domainstate.State
	client *engine.Client
	log    *slog.Logger
	kernel *kernel.Kernel

	mu               sync.Mutex
	planner          *weights.Planner
	addresses        map[string]string // by target
	pools            map[string]string // by target
	inFlightModes    map[string]string // how a load treats requests in flight, by pool
	reportedTerms    map[string]uint64 // term of the last report, by reporting host
	ordersInProgress map[string]int    // by target
}

func newLoadOrderService(domain string, g *group.Group, state *domainstate.State, client *engine.Client, log *slog.Logger) *loadOrderService {
	return &loadOrderService{
		domain: domain, group: g, state: state, client: client, log: log,
		planner:          weights.NewPlanner(weights.Config{}),
		addresses:        make(map[string]string),
		pools:            make(map[string]string),
		inFlightModes:    make(map[string]string),
		reportedTerms:    make(map[string]uint64),
		ordersInProgress: make(map[string]int),
	}
}

// Start implements kernel.Service.
func (o *loadOrderService) Start(_ context.Context, k *kernel.Kernel) error {
	o.kernel = k
	k.Every("weights/orders", orderInterval, func(context.Context) { o.planOrders() })
	return nil
}

// Stop implements kernel.Service.
func (o *loadOrderService) Stop(context.Context) error { return nil }

// SetConfig applies the limits of the pools and of the weight store. The limits of the store are
// divided evenly between the failure domains.
func (o *loadOrderService) SetConfig(cfg *confstate.Config, domains int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner.SetStoreRate(cfg.WeightStore.LoadsPerSecond/float64(max(1, domains)), float64(cfg.WeightStore.MaxConcurrent)/float64(max(1, domains)))
	for _, pool := range cfg.Pools {
		if pool.Kind == confstate.Engine {
			o.inFlightModes[pool.Name] = string(pool.InFlight)
			o.planner.SetPool(pool.Name, weights.PoolConfig{
				MaxUnavailable: float64(pool.MaxUnavailablePercent) / 100, Models: pool.Models,
			})
		}
	}
}

// Report records the state of targets as reported by their owner. The reply asks for a full report
// if the first report of an owner in this term is not a full one.
func (o *loadOrderService) Report(host string, r *rpc.ReportTargetsRequest) (*rpc.ReportTargetsReply, error) {
	leader, term, _ := o.group.Leader()
	if !o.group.IsLeader() {
		return nil, &errs.NotLeader{Group: domainGroup(o.domain), Leader: leader}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.reportedTerms[host] != term && !r.Full {
		return &rpc.ReportTargetsReply{WantFull: true}, nil
	}
	o.reportedTerms[host] = term
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

// planOrders passes the desired versions to the planner and sends the orders that are due.
func (o *loadOrderService) planOrders() {
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
	if len(o.ordersInProgress) >= maxBusyTargets {
		return
	}
	for _, order := range o.planner.Tick(now, weights.LeaderLease{Term: term, ExpiresAt: until, Valid: ok}) {
		o.ordersInProgress[order.Target]++
		addr, inFlightMode := o.addresses[order.Target], o.inFlightModes[o.pools[order.Target]]
		o.kernel.Go("weights/order", func(ctx context.Context) error {
			o.sendOrder(ctx, addr, inFlightMode, order)
			return nil
		})
	}
}

// sendOrder sends one order and then queries the state of the target, because only the target knows
// for certain which versions it has loaded.
func (o *loadOrderService) sendOrder(ctx context.Context, addr, inFlightMode string, order weights.Order) {
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	err := o.client.Order(orderCtx, addr, engine.Order{
		Kind: engine.OrderLoad, Model: order.Model, Version: order.Version, Fence: order.Fence, ExpiresAt: order.ExpiresAt, InFlight: inFlightMode,
	})
	cancel()
	result := orderResult(order, err)
	if !result.OK {
		o.log.Warn("load order failed", "target", order.Target, "model", order.Model, "version", order.Version, "error", err)
	}
	stateCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	state, stateErr := o.client.State(stateCtx, addr)
	cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ordersInProgress[order.Target]--; o.ordersInProgress[order.Target] == 0 {
		delete(o.ordersInProgress, order.Target)
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

// WeightsStatus is the state of the weight swaps of the failure domain.
type WeightsStatus struct {
	Behind      int                  `json:"behind"`
	Swapping    int                  `json:"swapping"`
	Orders      uint64               `json:"orders"`
	Failures    uint64               `json:"failures"`
	Quarantined []weights.Quarantine `json:"quarantined,omitempty"`
}

// Status returns the counts of the planner and the quarantined targets.
func (o *loadOrderService) Status() WeightsStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.planner.Stats()
	return WeightsStatus{
		Behind: s.Behind, Swapping: s.Swapping, Orders: s.Orders, Failures: s.Failures, Quarantined: o.planner.Quarantined(),
	}
}

// targetReporter reports changes of the targets that this host owns to the leader of the domain
// group.
type targetReporter struct {
	self       string
	domain     string
	targets    *targetService
	groups     *groupClient
	loadOrders *loadOrderService
	peer       func(host string) (rpc.PeerClient, error)
	log        *slog.Logger

	leader   string
	reported map[string]ownedTarget
}

// reportTargetsInterval is the interval at which changed targets are reported.
const reportTargetsInterval = 200 * time.Millisecond

// Start implements kernel.Service.
func (r *targetReporter) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("targets/report", reportTargetsInterval, r.report)
	return nil
}

// Stop implements kernel.Service.
func (r *targetReporter) Stop(context.Context) error { return nil }

// report sends the changes since the last report, or all targets if the last report failed or the
// leader changed.
func (r *targetReporter) report(ctx context.Context) {
	owned := r.targets.Owned()
	full := r.reported == nil
	request := r.changes(owned, full)
	if len(request.Targets) == 0 && !full {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	reply, leader, err := r.send(ctx, request)
	if err != nil || reply.WantFull || leader != r.leader && !full {
		r.reported, r.leader = nil, leader
		return
	}
	r.leader = leader
	r.reported = make(map[string]ownedTarget, len(owned))
	for _, t := range owned {
		r.reported[t.ID] = t
	}
}

func (r *targetReporter) changes(owned []ownedTarget, full bool) *rpc.ReportTargetsRequest {
	request := &rpc.ReportTargetsRequest{Full: full}
	seen := make(map[string]bool, len(owned))
	for _, t := range owned {
		seen[t.ID] = true
		if old, ok := r.reported[t.ID]; ok && sameState(old, t) {
			continue
		}
		request.Targets = append(request.Targets, &rpc.TargetState{
			Id: t.ID, Incarnation: t.Incarnation, Pool: t.Pool, Address: t.Address, Loaded: t.Loaded, Gone: t.State != "serving", LastFence: t.LastFence,
		})
	}
	for id := range r.reported {
		if !seen[id] {
			request.Targets = append(request.Targets, &rpc.TargetState{Id: id, Gone: true})
		}
	}
	return request
}

// sameState reports whether two states of a target need no new report.
func sameState(a, b ownedTarget) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.State == b.State && maps.Equal(a.Loaded, b.Loaded)
}

func (r *targetReporter) send(ctx context.Context, request *rpc.ReportTargetsRequest) (reply *rpc.ReportTargetsReply, leader string, err error) {
	_, err = r.groups.callLeader(ctx, domainGroup(r.domain), true, func(ctx context.Context, host string) ([]byte, error) {
		leader = host
		if host == r.self {
			if r.loadOrders == nil {
				return nil, &errs.NotLeader{Group: domainGroup(r.domain)}
			}
			reply, err = r.loadOrders.Report(r.self, request)
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
