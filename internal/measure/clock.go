package measure

import (
	"container/heap"
	"time"
)

// event is a function to run at a simulated time. Events at the same time run in order of creation.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// clock is the simulated time with the pending events.
type clock struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

func (c *clock) at(t time.Time, run func()) {
	c.seq++
	heap.Push(&c.events, event{t, c.seq, run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// every runs a function after first and then at each interval.
func (c *clock) every(first, interval time.Duration, run func()) {
	c.after(first, func() {
		run()
		c.every(interval, interval, run)
	})
}

// runUntil runs all events up to and including end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
