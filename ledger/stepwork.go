package ledger

import (
	"container/heap"
	"container/list"
	"slices"
	"time"
)

// stepWork is the open work of one step. Its groups are in a heap: groups that no host has
// started first, then the longest expected.
type stepWork struct {
	tenant        *tenantWork
	id            string
	model         string
	pool          string
	bound         uint64
	deadline      time.Time
	groups        []*groupWork
	starts        []int
	heap          groupHeap
	owned         map[string]map[int]*groupWork // by host and group index: started groups with open slots
	open          int
	running       *list.List         // attempts in order of start
	live          map[int][]*attempt // by slot
	decided       []bool             // by slot: accepted in the ledger
	hedges        int
	slots         int
	noStragglers  time.Time // no search for stragglers before
	deferredSince time.Time // first skip because of the staleness bound since the last publication
}

type groupWork struct {
	index     int
	prompt    string
	maxTokens int
	prior     float64 // expected tokens before a sample is completed
	tokens    float64 // of completed samples
	completed float64
	open      []int  // slots, served from the end
	owner     string // host that started the group
	position  int    // in the heap, -1 when the group has no open slots
}

// expected is the expected number of tokens of a sample of the group.
func (g *groupWork) expected() float64 {
	return min((g.prior*priorWeight+g.tokens)/(priorWeight+g.completed), float64(g.maxTokens))
}

func newStepWork(t *tenantWork, id string, st *step, outputShare float64) *stepWork {
	if t.outputs > 0 {
		outputShare = t.outputs
	}
	w := &stepWork{tenant: t, id: id, model: st.Model, pool: st.Pool, bound: st.Bound, deadline: time.UnixMilli(st.DeadlineMs),
		starts: st.groupStarts(), running: list.New(), live: map[int][]*attempt{}, decided: make([]bool, st.Size),
		slots: st.Size, owned: map[string]map[int]*groupWork{}}
	for i, g := range st.Groups {
		gw := &groupWork{index: i, prompt: g.Prompt, maxTokens: g.MaxTokens, prior: outputShare * float64(g.MaxTokens), position: -1}
		for slot := w.starts[i] + g.Samples - 1; slot >= w.starts[i]; slot-- {
			if st.States[slot] == slotPlanned {
				gw.open = append(gw.open, slot)
				continue
			}
			w.decided[slot] = true
			gw.tokens += float64(st.Tokens[slot])
			gw.completed++
		}
		w.open += len(gw.open)
		w.groups = append(w.groups, gw)
		if len(gw.open) > 0 {
			heap.Push(&w.heap, gw)
		}
	}
	return w
}

func (w *stepWork) groupOfSlot(slot int) int { return groupOf(w.starts, slot) }

// next returns the group that a host takes slots from, with at most budget expected tokens:
// first one that the host started, so that its targets use their prefix caches.
func (w *stepWork) next(host string, budget float64) *groupWork {
	var best *groupWork
	for _, g := range w.owned[host] {
		if e := g.expected(); e <= budget && (best == nil || e > best.expected() || e == best.expected() && g.index < best.index) {
			best = g
		}
	}
	if best != nil || len(w.heap) == 0 {
		return best
	}
	if w.heap[0].expected() <= budget {
		return w.heap[0]
	}
	position := -1
	for i, g := range w.heap {
		if g.expected() <= budget && (position < 0 || w.heap.Less(i, position)) {
			position = i
		}
	}
	if position < 0 {
		return nil
	}
	return w.heap[position]
}

// take removes an open slot from a group for a host.
func (w *stepWork) take(g *groupWork, host string) int {
	last := len(g.open) - 1
	slot := g.open[last]
	g.open = g.open[:last]
	w.open--
	if g.owner == "" {
		g.owner = host
	}
	w.update(g)
	return slot
}

// update restores the position of a group in the heap and among the groups of its owner.
func (w *stepWork) update(g *groupWork) {
	switch {
	case len(g.open) == 0 && g.position >= 0:
		heap.Remove(&w.heap, g.position)
	case len(g.open) > 0 && g.position < 0:
		heap.Push(&w.heap, g)
	case len(g.open) > 0:
		heap.Fix(&w.heap, g.position)
	}
	if g.owner == "" {
		return
	}
	if len(g.open) == 0 {
		delete(w.owned[g.owner], g.index)
		return
	}
	if w.owned[g.owner] == nil {
		w.owned[g.owner] = map[int]*groupWork{}
	}
	w.owned[g.owner][g.index] = g
}

func (w *stepWork) start(a *attempt) {
	a.element = w.running.PushBack(a)
	w.live[a.slot] = append(w.live[a.slot], a)
	if a.hedge {
		w.hedges++
	}
}

func (w *stepWork) ended(a *attempt) {
	w.running.Remove(a.element)
	if a.hedge {
		w.hedges--
	}
	w.live[a.slot] = slices.DeleteFunc(w.live[a.slot], func(o *attempt) bool { return o == a })
	if len(w.live[a.slot]) > 0 {
		return
	}
	delete(w.live, a.slot)
	w.offer(a.slot)
}

// offer makes a slot available unless it is decided, running or available already.
func (w *stepWork) offer(slot int) {
	g := w.groups[w.groupOfSlot(slot)]
	if w.decided[slot] || len(w.live[slot]) > 0 || slices.Contains(g.open, slot) {
		return
	}
	g.open = append(g.open, slot)
	w.open++
	w.update(g)
}

func (w *stepWork) complete(slot int, tokens float64) {
	g := w.groups[w.groupOfSlot(slot)]
	if i := slices.Index(g.open, slot); i >= 0 {
		g.open = slices.Delete(g.open, i, i+1)
		w.open--
	}
	w.decided[slot] = true
	g.tokens += tokens
	g.completed++
	w.update(g)
}

// reopen plans an accepted slot again.
func (w *stepWork) reopen(slot int) {
	w.decided[slot] = false
	w.offer(slot)
}

func (w *stepWork) attemptsOf(slot int) []*attempt { return slices.Clone(w.live[slot]) }

// disown lets other hosts take over the groups that a lost host started.
func (w *stepWork) disown(host string) {
	delete(w.owned, host)
	for _, g := range w.groups {
		if g.owner == host {
			g.owner = ""
			w.update(g)
		}
	}
}

type groupHeap []*groupWork

func (h groupHeap) Len() int { return len(h) }

func (h groupHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if (a.owner == "") != (b.owner == "") {
		return a.owner == ""
	}
	if x, y := a.expected(), b.expected(); x != y {
		return x > y
	}
	return a.index < b.index
}

func (h groupHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) {
	g := x.(*groupWork)
	g.position = len(*h)
	*h = append(*h, g)
}

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	last := len(*h) - 1
	g := (*h)[last]
	g.position = -1
	*h = (*h)[:last]
	return g
}

// expiryHeap orders attempts by the end of their lease. Ended attempts leave it at once: at
// 550 attempts/s and leases of 10 minutes they would take about 50 MB.
type expiryHeap []*attempt

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	a := x.(*attempt)
	a.position = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return a
}

func (h *expiryHeap) push(a *attempt)   { heap.Push(h, a) }
func (h *expiryHeap) remove(a *attempt) { heap.Remove(h, a.position) }
