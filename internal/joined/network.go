// Package joined tests the interaction of the packages that implement the guarantees, in a
// deterministic simulation with a fake network and simulated time. The network is in the package
// itself, everything else in its tests.
package joined

import (
	"container/heap"
	"math/rand/v2"
	"strings"
	"time"
)

// Network is a simulated clock with timers and a lossy network between named nodes. A node name
// has the form "domain-rest". All random choices use the given source, so that a run is
// reproducible.
type Network struct {
	// Loss and Duplicate are the probabilities that a message is lost or sent twice.
	Loss, Duplicate float64
	// MinDelay and MaxDelay bound the delay of a message. Each message is delayed independently,
	// so messages may be reordered.
	MinDelay, MaxDelay time.Duration

	now         time.Time
	random      *rand.Rand
	queue       eventQueue
	sequence    uint64
	partitioned map[[2]string]bool
	isolated    map[string]bool
}

// NewNetwork returns a network without faults whose clock starts at now.
func NewNetwork(now time.Time, random *rand.Rand) *Network {
	return &Network{
		now: now, random: random, MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond,
		partitioned: make(map[[2]string]bool), isolated: make(map[string]bool),
	}
}

// Now returns the simulated time.
func (n *Network) Now() time.Time { return n.now }

// After schedules a call of fn after d.
func (n *Network) After(d time.Duration, fn func()) {
	n.sequence++
	heap.Push(&n.queue, event{at: n.now.Add(d), sequence: n.sequence, fn: fn})
}

// Run advances the simulated time by d and makes the calls that are due.
func (n *Network) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.fn()
	}
	n.now = end
}

// Send sends a message that may be lost, delayed, reordered and duplicated.
func (n *Network) Send(from, to string, deliver func()) {
	n.SendOnce(from, to, deliver)
	if n.random.Float64() < n.Duplicate {
		n.SendOnce(from, to, deliver)
	}
}

// SendOnce sends a message that is delivered at most once, as on a connection.
func (n *Network) SendOnce(from, to string, deliver func()) {
	delay := n.MinDelay + time.Duration(n.random.Int64N(int64(n.MaxDelay-n.MinDelay)+1))
	if from != to && n.random.Float64() < n.Loss {
		return
	}
	n.After(delay, func() {
		if n.Connected(from, to) {
			deliver()
		}
	})
}

// Connected reports whether two nodes can exchange messages.
func (n *Network) Connected(a, b string) bool {
	return a == b || !n.isolated[a] && !n.isolated[b] && !n.partitioned[orderedPair(Domain(a), Domain(b))]
}

// Partition blocks messages between two failure domains.
func (n *Network) Partition(a, b string) { n.partitioned[orderedPair(a, b)] = true }

// Isolate blocks messages between a node and all others.
func (n *Network) Isolate(node string) { n.isolated[node] = true }

// Heal ends all partitions and isolations.
func (n *Network) Heal() {
	clear(n.partitioned)
	clear(n.isolated)
}

// Domain returns the failure domain in the name of a node.
func Domain(node string) string {
	domain, _, _ := strings.Cut(node, "-")
	return domain
}

func orderedPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

type event struct {
	at       time.Time
	sequence uint64
	fn       func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
