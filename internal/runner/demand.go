package runner

import (
	"sync/atomic"
	"time"

	"fuchsiaflow/autoscale"
)

// demandInterval is how often the demand is published. Orders for targets are considered as often.
const demandInterval = 500 * time.Millisecond

// demandBoard hands the demand of the services to other goroutines.
type demandBoard struct {
	published   atomic.Pointer[map[string]*autoscale.Demand] // by service; nil while this replica does not lead
	publishedAt time.Time                                    // for the loop only
}

// clear withdraws the demand.
func (b *demandBoard) clear() {
	b.published.Store(nil)
	b.publishedAt = time.Time{}
}

// publishDemands publishes the demand of each service whose number of targets the system may order.
func (r *Runner) publishDemands(now time.Time) {
	table := r.opts.View.Table()
	if table == nil || now.Sub(r.demands.publishedAt) < demandInterval {
		return
	}
	r.demands.publishedAt = now
	demands := make(map[string]*autoscale.Demand)
	for i := range table.Config.Services {
		if s := &table.Config.Services[i]; s.Scale != nil && s.Slots > 0 {
			demands[s.Name] = r.sched.Demand(now, s.Name, s.Slots, s.KVCacheTokens)
		}
	}
	r.demands.published.Store(&demands)
}

// Demand returns the work of a service as this replica knows it while it leads, or nil. The caller must not change it. It is
// safe for concurrent use.
func (r *Runner) Demand(service string) *autoscale.Demand {
	demands := r.demands.published.Load()
	if demands == nil {
		return nil
	}
	return (*demands)[service]
}
