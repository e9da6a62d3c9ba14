package duty

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/autoscale"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/routes"
)

const (
	// planInterval is how often the number of targets is considered.
	planInterval = 500 * time.Millisecond
	// callTimeout limits a call. The order may still be carried out afterwards.
	callTimeout = 2 * time.Second
	// callShare is the share of the calls accepted by the platform that orders may use.
	callShare = 0.25
	// resultQueueSize is the capacity of the queue of results. At most one order for each failure domain and kind of a
	// service is under way.
	resultQueueSize = 256
)

// TargetsOptions configures Targets.
type TargetsOptions struct {
	// Tenure and Client are nil on hosts that order no targets.
	Tenure Tenure
	Client dialect.PlatformClient
	// CallsPerSecond is the number of calls a second that the platform accepts from all hosts together.
	CallsPerSecond float64
	// LeaderTerm returns the newest term of the state group that this host knows.
	LeaderTerm func() uint64
	// Table returns the routing table in force, or nil.
	Table func() *routes.Table
	// Fleet returns all known targets, those that leave included.
	Fleet func() []fleet.Target
	// Demand returns the work of a service, or nil while it is not known.
	Demand func(service string) *autoscale.Demand
	// Now returns the time of the clock by which reports of targets are dated.
	Now     func() time.Time
	Log     *slog.Logger
	Metrics *observe.Metrics
}

// Targets orders targets from the platform, as package autoscale decides, while this host has tenure. It implements
// kernel.Service. Only the goroutine of loop accesses its state.
type Targets struct {
	opts     TargetsOptions
	metrics  targetMetrics
	kernel   *kernel.Kernel
	results  *kernel.Ring[targetResult]
	planners map[string]*autoscale.Planner // by service
	budget   callBudget
	// stoppedTerm is the last term in which the platform has rejected an order of this host for a newer holder.
	stoppedTerm uint64
}

// targetOrder is an order to send.
type targetOrder struct {
	autoscale.Order
	need   int
	fence  uint64
	sentAt time.Time
}

// targetResult is the end of a call.
type targetResult struct {
	order  targetOrder
	result autoscale.Result
	err    error
}

type targetMetrics struct {
	wanted, present, needed *observe.Gauge
	orders                  *observe.Counter
}

func newTargetMetrics(m *observe.Metrics) targetMetrics {
	kind := observe.Label{Name: "kind", Values: []string{string(autoscale.OnDemand), string(autoscale.Spot)}}
	return targetMetrics{
		wanted:  m.Gauge("scale_targets_wanted", "Targets expected after the orders of this host, by kind; 0 while it gives none.", kind),
		present: m.Gauge("scale_targets_present", "Targets that serve, by kind, of services whose number is managed.", kind),
		needed:  m.Gauge("scale_targets_needed", "Targets that complete all steps in time; 0 while the demand is not known."),
		orders: m.Counter("scale_orders_total", "Orders of targets by result.",
			observe.Label{Name: "result", Values: []string{"accepted", "unavailable", "unanswered", "not_sent"}}),
	}
}

// NewTargets returns a duty that is not started. Without a platform or a tenure it does nothing.
func NewTargets(o TargetsOptions) *Targets {
	d := &Targets{opts: o, planners: make(map[string]*autoscale.Planner), budget: newCallBudget(callShare * o.CallsPerSecond),
		results: kernel.NewRing[targetResult]("targets/results", resultQueueSize, kernel.Block)}
	if d.isActive() {
		d.metrics = newTargetMetrics(o.Metrics)
	}
	return d
}

func (d *Targets) isActive() bool { return d.opts.Tenure != nil && d.opts.Client != nil }

// Start implements kernel.Service.
func (d *Targets) Start(_ context.Context, k *kernel.Kernel) error {
	if d.isActive() {
		d.kernel = k
		k.Go("duty/targets", d.loop)
	}
	return nil
}

// Stop implements kernel.Service.
func (d *Targets) Stop(context.Context) error { return nil }

func (d *Targets) loop(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-d.results.C():
			d.record(d.opts.Now(), &r)
		case <-ticker.C:
			for _, o := range d.plan(d.opts.Now()) {
				d.start(o)
			}
		}
	}
}

// start sends an order in its own goroutine, so that a platform that does not answer delays no other decision.
func (d *Targets) start(o targetOrder) {
	d.kernel.Go("duty/order-targets", func(ctx context.Context) error {
		r := d.send(ctx, o)
		_ = d.results.Push(ctx, r) // fails only when the host stops
		return nil
	})
}

// plan returns the orders to send now. The planners see the targets also while this host has no tenure, so that it knows
// them when it gets it.
func (d *Targets) plan(now time.Time) []targetOrder {
	table := d.opts.Table()
	if table == nil {
		return nil
	}
	services := managedServices(table)
	maps.DeleteFunc(d.planners, func(name string, _ *autoscale.Planner) bool { return services[name] == nil })
	if len(services) == 0 {
		return nil
	}
	token, ok := d.opts.Tenure.Token(now)
	ok = ok && token.Fence > d.stoppedTerm
	byService := make(map[string][]fleet.Target)
	for _, t := range d.opts.Fleet() {
		byService[t.Service] = append(byService[t.Service], t)
	}
	var list []targetOrder
	for _, name := range slices.Sorted(maps.Keys(services)) {
		in := &autoscale.Input{Scale: *services[name].Scale, Models: services[name].Models, Targets: byService[name]}
		if ok {
			in.Demand = d.opts.Demand(name)
		}
		list = append(list, d.planService(now, name, in, token.Fence)...)
	}
	d.updateGauges(now, ok)
	return list
}

// managedServices returns the services whose number of targets the system may order.
func managedServices(table *routes.Table) map[string]*routes.Service {
	services := make(map[string]*routes.Service)
	for i := range table.Config.Services {
		if s := &table.Config.Services[i]; s.Scale != nil {
			services[s.Name] = s
		}
	}
	return services
}

// planService returns the orders for one service. Those for which there is no room in the budget are given again later.
func (d *Targets) planService(now time.Time, service string, in *autoscale.Input, fence uint64) []targetOrder {
	p := d.planners[service]
	if p == nil {
		p = autoscale.New(service)
		d.planners[service] = p
	}
	var list []targetOrder
	for _, o := range p.Plan(now, in) {
		if !d.budget.take(now) {
			p.Record(now, &o, autoscale.NotSent)
			continue
		}
		list = append(list, targetOrder{o, p.Status(now).Need, fence, now})
	}
	return list
}

// send calls the platform. It checks the tenure immediately before.
func (d *Targets) send(ctx context.Context, o targetOrder) targetResult {
	token, ok := d.opts.Tenure.Token(d.opts.Now())
	if !ok || token.Fence != o.fence {
		return targetResult{o, autoscale.NotSent, nil}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.opts.Client.OrderTargets(ctx, token, dialect.TargetCount{Service: o.Service, Domain: o.Domain, Count: o.Count, Spot: o.Kind == autoscale.Spot})
	var rejected *dialect.CallRejected
	switch {
	case err == nil:
		return targetResult{o, autoscale.Accepted, nil}
	case errors.As(err, &rejected):
		return targetResult{o, autoscale.Unavailable, err}
	}
	return targetResult{o, autoscale.Unanswered, err}
}

// record handles the result of an order. A conflict while a newer term leads ends the work of this host for its term.
func (d *Targets) record(now time.Time, r *targetResult) {
	o := &r.order
	args := []any{"service", o.Service, "domain", o.Domain, "kind", o.Kind, "count", o.Count, "present", o.Present, "need", o.need, "reason", o.Reason,
		"result", r.result.String(), "fence", o.fence, "took_ms", now.Sub(o.sentAt).Milliseconds()}
	if r.err != nil {
		args = append(args, "error", r.err.Error())
	}
	d.opts.Log.Info("targets ordered", args...)
	d.metrics.orders.Inc(r.result.String())
	if p := d.planners[o.Service]; p != nil {
		p.Record(now, &o.Order, r.result)
	}
	var rejected *dialect.CallRejected
	if errors.As(r.err, &rejected) && rejected.Conflict && d.opts.LeaderTerm() > o.fence && o.fence > d.stoppedTerm {
		d.stoppedTerm = o.fence
		d.opts.Log.Warn("orders of targets ended: a newer term leads", "fence", o.fence, "term", d.opts.LeaderTerm())
	}
}

func (d *Targets) updateGauges(now time.Time, ordering bool) {
	needed, wanted, present := 0, make(map[autoscale.Kind]int), make(map[autoscale.Kind]int)
	for _, p := range d.planners {
		s := p.Status(now)
		needed += s.Need
		for _, k := range autoscale.Kinds {
			present[k] += s.Present[k]
			if ordering {
				wanted[k] += s.Wanted[k]
			}
		}
	}
	d.metrics.needed.Set(float64(needed))
	for _, k := range autoscale.Kinds {
		d.metrics.wanted.Set(float64(wanted[k]), string(k))
		d.metrics.present.Set(float64(present[k]), string(k))
	}
}

// callBudget bounds the number of calls in any period.
type callBudget struct {
	period time.Duration
	calls  int
	taken  []time.Time // within the last period
}

// newCallBudget returns a budget for a number of calls a second. Without a number it allows one.
func newCallBudget(perSecond float64) callBudget {
	switch {
	case perSecond <= 0:
		return callBudget{period: time.Second, calls: 1}
	case perSecond < 1:
		return callBudget{period: time.Duration(float64(time.Second) / perSecond), calls: 1}
	}
	return callBudget{period: time.Second, calls: int(perSecond)}
}

// take reports whether a call may be made now, and counts it.
func (b *callBudget) take(now time.Time) bool {
	b.taken = slices.DeleteFunc(b.taken, func(t time.Time) bool { return now.Sub(t) >= b.period })
	if len(b.taken) >= b.calls {
		return false
	}
	b.taken = append(b.taken, now)
	return true
}
