package routing

import (
	"container/heap"
	"slices"
	"time"
)

// item is a request known to the dispatcher: queued while endpoint is nil, else in flight.
type item struct {
	req        Request
	seq        uint64
	pool       *pool
	tenant     *tenant
	flow       *flow
	flowIndex  int
	lateIndex  int       // index in pool.late, or -1
	latest     time.Time // last moment at which a dispatch can meet the deadline
	endpoint   *Endpoint
	probe      bool
	started    time.Time
	progressAt time.Time
	progress   int
}

func (it *item) due() time.Time {
	if !it.req.StepDeadline.IsZero() {
		return it.req.StepDeadline
	}
	return it.req.Deadline
}

// flow holds the queued requests of a tenancy that accept the same targets, earliest step
// deadline first. It implements heap.Interface.
type flow struct {
	model   string
	version uint64
	items   []*item
	blocked uint64 // dispatch round in which no target was found
}

func (f *flow) Len() int { return len(f.items) }

func (f *flow) Less(i, j int) bool { return f.items[i].before(f.items[j]) }

// before orders the requests of a tenancy; a request without a deadline comes last.
func (it *item) before(other *item) bool {
	a, b := it.due(), other.due()
	if a.Equal(b) {
		return it.seq < other.seq
	}
	if a.IsZero() || b.IsZero() {
		return b.IsZero()
	}
	return a.Before(b)
}

func (f *flow) Swap(i, j int) {
	f.items[i], f.items[j] = f.items[j], f.items[i]
	f.items[i].flowIndex, f.items[j].flowIndex = i, j
}

// Push implements heap.Interface.
func (f *flow) Push(x any) {
	it := x.(*item)
	it.flowIndex = len(f.items)
	f.items = append(f.items, it)
}

// Pop implements heap.Interface.
func (f *flow) Pop() any {
	last := len(f.items) - 1
	it := f.items[last]
	f.items[last] = nil
	f.items = f.items[:last]
	return it
}

// lateHeap orders queued requests by the last moment at which they can still be dispatched.
type lateHeap []*item

func (h lateHeap) Len() int           { return len(h) }
func (h lateHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }
func (h lateHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].lateIndex, h[j].lateIndex = i, j
}

// Push implements heap.Interface.
func (h *lateHeap) Push(x any) {
	it := x.(*item)
	it.lateIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *lateHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.lateIndex = -1
	return it
}

// tenant is a tenancy's place in fair queueing.
type tenant struct {
	name    string
	weight  float64
	virtual float64 // tokens served, divided by weight
	flows   []*flow
	queued  int
}

func (t *tenant) flowOf(model string, version uint64) *flow {
	for _, f := range t.flows {
		if f.model == model && f.version == version {
			return f
		}
	}
	f := &flow{model: model, version: version}
	t.flows = append(t.flows, f)
	return f
}

// head returns the flow with the earliest request that is not blocked in this round.
func (t *tenant) head(round uint64) *flow {
	var best *flow
	for _, f := range t.flows {
		if f.blocked != round && (best == nil || f.items[0].before(best.items[0])) {
			best = f
		}
	}
	return best
}

// class is the queue of one kind of request in a pool: weighted fair queueing by tokens
// between tenancies (start-time fair queueing).
type class struct {
	tenants []*tenant
	clock   float64 // virtual time of the last dispatch
	queued  int
	tokens  int
}

// idleTenants bounds the tenancies without queued requests that a class remembers.
const idleTenants = 64

// maxLag is how many tokens a tenancy may be behind the others when it was blocked; without
// a bound it would starve the others for as long as it was blocked.
const maxLag = 1 << 16

func (c *class) tenantOf(name string, weight float64) *tenant {
	idle := 0
	for _, t := range c.tenants {
		if t.name == name {
			return t
		}
		if t.queued == 0 {
			idle++
		}
	}
	if idle > idleTenants {
		c.tenants = slices.DeleteFunc(c.tenants, func(t *tenant) bool {
			return t.queued == 0 && t.virtual <= c.clock
		})
	}
	t := &tenant{name: name, weight: weight, virtual: c.clock}
	c.tenants = append(c.tenants, t)
	return t
}

func (c *class) push(it *item, weight float64) {
	t := c.tenantOf(it.req.Tenancy, weight)
	if t.queued == 0 {
		t.virtual = max(t.virtual, c.clock)
	}
	it.tenant = t
	it.flow = t.flowOf(it.req.Model, it.req.MinVersion)
	heap.Push(it.flow, it)
	t.queued++
	c.queued++
	c.tokens += it.req.ExpectedTokens
}

func (c *class) remove(it *item) {
	t := it.tenant
	heap.Remove(it.flow, it.flowIndex)
	if len(it.flow.items) == 0 {
		t.flows = slices.DeleteFunc(t.flows, func(f *flow) bool { return f == it.flow })
	}
	it.flow = nil
	t.queued--
	c.queued--
	c.tokens -= it.req.ExpectedTokens
}

// charge accounts a dispatch to the tenancy.
func (c *class) charge(it *item) {
	t := it.tenant
	t.virtual = max(t.virtual, c.clock-maxLag)
	c.clock = max(c.clock, t.virtual)
	t.virtual += float64(it.req.ExpectedTokens) / t.weight
}

// next returns the tenancy with the least service that has a request not blocked in this
// round, and the flow of that request.
func (c *class) next(round uint64) *flow {
	var bestFlow *flow
	var best *tenant
	for _, t := range c.tenants {
		if t.queued == 0 || (best != nil && t.virtual >= best.virtual) {
			continue
		}
		if f := t.head(round); f != nil {
			best, bestFlow = t, f
		}
	}
	return bestFlow
}
