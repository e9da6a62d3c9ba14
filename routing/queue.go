package routing

import (
	"container/heap"
	"slices"
	"time"

	"fuchsiaflow/internal/indexheap"
)

// pendingRequest is a request that is queued, while endpoint is nil, or in flight.
type pendingRequest struct {
	req            Request
	seq            uint64
	pool           *pool
	tenancy        *tenancyQueue
	queue          *modelQueue
	queueIndex     int       // index in queue.requests, or -1
	expiryIndex    int       // index in pool.expiry, or -1
	latestDispatch time.Time // latest dispatch time at which the deadline can be met
	endpoint       *Endpoint
	probe          bool
	dispatchedAt   time.Time
	lastProgressAt time.Time
	producedTokens int
}

// orderingDeadline returns the deadline by which the requests of a tenancy are ordered.
func (pr *pendingRequest) orderingDeadline() time.Time {
	if !pr.req.StepDeadline.IsZero() {
		return pr.req.StepDeadline
	}
	return pr.req.Deadline
}

// modelQueue holds the queued requests of a tenancy for the same model and minimum version, which can
// run on the same targets.
type modelQueue struct {
	model        string
	minVersion   uint64
	requests     requestHeap
	blockedRound uint64 // last Dispatcher.round in which no target was eligible
}

// requestHeap is a heap of the requests of a modelQueue.
type requestHeap = indexheap.Heap[*pendingRequest, deadlineOrder]

// deadlineOrder orders requests as pendingRequest.before does.
type deadlineOrder struct{}

// Before implements indexheap.Order.
func (deadlineOrder) Before(a, b *pendingRequest) bool { return a.before(b) }

// SetIndex implements indexheap.Order.
func (deadlineOrder) SetIndex(pr *pendingRequest, index int) { pr.queueIndex = index }

// before orders the requests of a tenancy by deadline and then by arrival. Requests without a deadline
// come last.
func (pr *pendingRequest) before(other *pendingRequest) bool {
	a, b := pr.orderingDeadline(), other.orderingDeadline()
	if a.Equal(b) {
		return pr.seq < other.seq
	}
	if a.IsZero() || b.IsZero() {
		return b.IsZero()
	}
	return a.Before(b)
}

// expiryHeap is a heap of queued requests.
type expiryHeap = indexheap.Heap[*pendingRequest, expiryOrder]

// expiryOrder orders requests by the latest time at which they can be dispatched and still meet their deadlines.
type expiryOrder struct{}

// Before implements indexheap.Order.
func (expiryOrder) Before(a, b *pendingRequest) bool {
	return a.latestDispatch.Before(b.latestDispatch)
}

// SetIndex implements indexheap.Order.
func (expiryOrder) SetIndex(pr *pendingRequest, index int) { pr.expiryIndex = index }

// tenancyQueue holds the queued requests of a tenancy and its state in fair queueing.
type tenancyQueue struct {
	name        string
	weight      float64
	virtualTime float64 // tokens divided by weight; expected tokens are charged at dispatch and corrected in Done
	modelQueues []*modelQueue
	queued      int
}

func (t *tenancyQueue) queueFor(model string, minVersion uint64) *modelQueue {
	for _, q := range t.modelQueues {
		if q.model == model && q.minVersion == minVersion {
			return q
		}
	}
	q := &modelQueue{model: model, minVersion: minVersion}
	t.modelQueues = append(t.modelQueues, q)
	return q
}

// earliestQueue returns the queue whose first request has the earliest deadline, apart from queues that
// are blocked in this round.
func (t *tenancyQueue) earliestQueue(round uint64) *modelQueue {
	var best *modelQueue
	for _, q := range t.modelQueues {
		if q.blockedRound != round && (best == nil || q.requests[0].before(best.requests[0])) {
			best = q
		}
	}
	return best
}

// classQueue queues the requests of one kind in a pool. It shares the pool between tenancies by
// start-time fair queueing, a kind of weighted fair queueing; the cost of a request is its expected
// number of tokens.
type classQueue struct {
	tenancies    []*tenancyQueue
	virtualTime  float64 // highest virtual start time of a dispatched request
	queued       int
	queuedTokens int
}

// maxIdleTenancies is the number of tenancies without queued requests above which idle tenancies are
// removed.
const maxIdleTenancies = 64

// maxLagTokens limits how far a blocked tenancy can fall behind in virtual time, which is measured in
// tokens divided by weight. Without a limit, it would afterwards starve the others for as long as it
// had been blocked.
const maxLagTokens = 1 << 16

func (c *classQueue) tenancyFor(name string, weight float64) *tenancyQueue {
	idle := 0
	for _, t := range c.tenancies {
		if t.name == name {
			return t
		}
		if t.queued == 0 {
			idle++
		}
	}
	if idle > maxIdleTenancies {
		c.tenancies = slices.DeleteFunc(c.tenancies, func(t *tenancyQueue) bool {
			return t.queued == 0 && t.virtualTime <= c.virtualTime
		})
	}
	t := &tenancyQueue{name: name, weight: weight, virtualTime: c.virtualTime}
	c.tenancies = append(c.tenancies, t)
	return t
}

func (c *classQueue) push(pr *pendingRequest, weight float64) {
	t := c.tenancyFor(pr.req.Tenancy, weight)
	if t.queued == 0 {
		t.virtualTime = max(t.virtualTime, c.virtualTime)
	}
	pr.tenancy = t
	pr.queue = t.queueFor(pr.req.Model, pr.req.MinVersion)
	heap.Push(&pr.queue.requests, pr)
	t.queued++
	c.queued++
	c.queuedTokens += pr.req.ExpectedTokens
}

func (c *classQueue) remove(pr *pendingRequest) {
	t := pr.tenancy
	heap.Remove(&pr.queue.requests, pr.queueIndex)
	if len(pr.queue.requests) == 0 {
		t.modelQueues = slices.DeleteFunc(t.modelQueues, func(q *modelQueue) bool { return q == pr.queue })
	}
	pr.queue = nil
	t.queued--
	c.queued--
	c.queuedTokens -= pr.req.ExpectedTokens
}

// charge adds a dispatched request to the virtual time of its tenancy.
func (c *classQueue) charge(pr *pendingRequest) {
	t := pr.tenancy
	t.virtualTime = max(t.virtualTime, c.virtualTime-maxLagTokens)
	c.virtualTime = max(c.virtualTime, t.virtualTime)
	t.virtualTime += float64(pr.req.ExpectedTokens) / t.weight
}

// nextQueue returns the queue to dispatch from: the one with the earliest deadline of the tenancy that
// has the lowest virtual time. Queues that are blocked in this round are skipped. It returns nil if
// all queues are empty or blocked.
func (c *classQueue) nextQueue(round uint64) *modelQueue {
	var bestQueue *modelQueue
	var best *tenancyQueue
	for _, t := range c.tenancies {
		if t.queued == 0 || (best != nil && t.virtualTime >= best.virtualTime) {
			continue
		}
		if q := t.earliestQueue(round); q != nil {
			best, bestQueue = t, q
		}
	}
	return bestQueue
}
