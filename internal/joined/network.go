// Package joined runs several cores together over a fake network in simulated time. The
// network is reusable; the cores are joined in the tests.
package joined

import (
	"container/heap"
	"math/rand/v2"
	"strings"
	"time"
)

// Network is a clock with timers and a lossy network between named nodes. A node is named
// "domain-rest". All of it is decided by the random source, so that a run can be repeated.
type Network struct {
	// Loss and Duplicate are the chances that a message is lost or delivered twice.
	Loss, Duplicate float64
	// MinDelay and MaxDelay bound the delay of a message. Delays are independent, so that
	// messages overtake each other.
	MinDelay, MaxDelay time.Duration

	now      time.Time
	random   *rand.Rand
	queue    events
	sequence uint64
	cut      map[[2]string]bool
	isolated map[string]bool
}

// NewNetwork returns a network without faults.
func NewNetwork(now time.Time, random *rand.Rand) *Network {
	return &Network{
		now: now, random: random, MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond,
		cut: make(map[[2]string]bool), isolated: make(map[string]bool),
	}
}

// Now returns the simulated time.
func (n *Network) Now() time.Time { return n.now }

// After calls fn once d has passed.
func (n *Network) After(d time.Duration, fn func()) {
	n.sequence++
	heap.Push(&n.queue, event{at: n.now.Add(d), sequence: n.sequence, call: fn})
}

// Run advances the time by d.
func (n *Network) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.call()
	}
	n.now = end
}

// Send carries a message, which may be lost, delayed, overtaken and duplicated.
func (n *Network) Send(from, to string, deliver func()) {
	n.Stream(from, to, deliver)
	if n.random.Float64() < n.Duplicate {
		n.Stream(from, to, deliver)
	}
}

// Stream carries a message that is delivered at most once, as on a connection.
func (n *Network) Stream(from, to string, deliver func()) {
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

// Connected reports whether messages pass between two nodes.
func (n *Network) Connected(a, b string) bool {
	return a == b || !n.isolated[a] && !n.isolated[b] && !n.cut[pair(Domain(a), Domain(b))]
}

// Cut separates two failure domains.
func (n *Network) Cut(a, b string) { n.cut[pair(a, b)] = true }

// Isolate separates one node from all others.
func (n *Network) Isolate(node string) { n.isolated[node] = true }

// Heal ends all separations.
func (n *Network) Heal() {
	clear(n.cut)
	clear(n.isolated)
}

// Domain returns the failure domain of a node.
func Domain(node string) string {
	domain, _, _ := strings.Cut(node, "-")
	return domain
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

type event struct {
	at       time.Time
	sequence uint64
	call     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
