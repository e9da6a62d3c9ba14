package ledger

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"fuchsiaflow/internal/indexheap"
)

// stepWork is the unfinished work of one step. Groups with open slots are in a heap, ordered
// by groupOrder.
type stepWork struct {
	tenancy           *tenancyWork
	id                string
	model             string
	pool              string
	stalenessBound    uint64
	deadline          time.Time
	groups            []*groupWork
	groupStarts       []int // first slot of each group
	groupQueue        groupHeap
	groupsByOwner     map[string]map[int]*groupWork // by owner and group index; groups with open slots only
	openCount         int
	running           *list.List         // *attempt, in order of start
	attemptsBySlot    map[int][]*attempt // by slot
	accepted          []bool             // by slot: the ledger has accepted an output
	hedgeCount        int
	slotCount         int
	nextStragglerScan time.Time // earliest time of the next search for stragglers
	deferredSince     time.Time // first time since the last publication that the staleness bound held back work
}

// groupWork is the unfinished work of a group of samples.
type groupWork struct {
	index           int
	prompt          string
	maxTokens       int
	priorTokens     float64 // estimated tokens of a sample before any is accepted
	acceptedTokens  float64 // sum over the accepted samples
	acceptedSamples float64
	openSlots       []int  // leased from the end
	owner           string // host that leased a slot of the group first; empty if none has
	heapIndex       int    // in stepWork.groupQueue; -1 if the group has no open slots
}

// expectedTokens returns the estimated number of tokens of a sample of the group.
func (g *groupWork) expectedTokens() float64 {
	return min((g.priorTokens*priorWeight+g.acceptedTokens)/(priorWeight+g.acceptedSamples), float64(g.maxTokens))
}

func newStepWork(t *tenancyWork, id string, st *step, outputRatio float64) *stepWork {
	if t.outputRatio > 0 {
		outputRatio = t.outputRatio
	}
	w := &stepWork{tenancy: t, id: id, model: st.Model, pool: st.Pool, stalenessBound: st.StalenessBound, deadline: time.UnixMilli(st.DeadlineMs),
		groupStarts: st.groupStarts(), running: list.New(), attemptsBySlot: map[int][]*attempt{}, accepted: make([]bool, st.SlotCount),
		slotCount: st.SlotCount, groupsByOwner: map[string]map[int]*groupWork{}}
	for i, g := range st.Groups {
		group := &groupWork{index: i, prompt: g.Prompt, maxTokens: g.MaxTokens, priorTokens: outputRatio * float64(g.MaxTokens), heapIndex: -1}
		for slot := w.groupStarts[i] + g.Samples - 1; slot >= w.groupStarts[i]; slot-- {
			if st.States[slot] == slotPlanned {
				group.openSlots = append(group.openSlots, slot)
				continue
			}
			w.accepted[slot] = true
			group.acceptedTokens += float64(st.Tokens[slot])
			group.acceptedSamples++
		}
		w.openCount += len(group.openSlots)
		w.groups = append(w.groups, group)
		if len(group.openSlots) > 0 {
			heap.Push(&w.groupQueue, group)
		}
	}
	return w
}

func (w *stepWork) groupOfSlot(slot int) int { return groupOf(w.groupStarts, slot) }

// nextGroup returns the group from which a host leases next, or nil if no group has an
// expected length of at most budget tokens. Groups that the host owns come first, because
// its targets have their prompts in the prefix cache.
func (w *stepWork) nextGroup(host string, budget float64) *groupWork {
	var best *groupWork
	for _, g := range w.groupsByOwner[host] {
		if e := g.expectedTokens(); e <= budget && (best == nil || e > best.expectedTokens() || e == best.expectedTokens() && g.index < best.index) {
			best = g
		}
	}
	if best != nil || len(w.groupQueue) == 0 {
		return best
	}
	if w.groupQueue[0].expectedTokens() <= budget {
		return w.groupQueue[0]
	}
	index := -1
	for i, g := range w.groupQueue {
		if g.expectedTokens() <= budget && (index < 0 || w.groupQueue.Less(i, index)) {
			index = i
		}
	}
	if index < 0 {
		return nil
	}
	return w.groupQueue[index]
}

// takeSlot removes an open slot from a group. The host becomes the owner of a group that has
// none.
func (w *stepWork) takeSlot(g *groupWork, host string) int {
	last := len(g.openSlots) - 1
	slot := g.openSlots[last]
	g.openSlots = g.openSlots[:last]
	w.openCount--
	if g.owner == "" {
		g.owner = host
	}
	w.updateIndexes(g)
	return slot
}

// updateIndexes updates the heap and the index by owner after a change of a group.
func (w *stepWork) updateIndexes(g *groupWork) {
	switch {
	case len(g.openSlots) == 0 && g.heapIndex >= 0:
		heap.Remove(&w.groupQueue, g.heapIndex)
	case len(g.openSlots) > 0 && g.heapIndex < 0:
		heap.Push(&w.groupQueue, g)
	case len(g.openSlots) > 0:
		heap.Fix(&w.groupQueue, g.heapIndex)
	}
	if g.owner == "" {
		return
	}
	if len(g.openSlots) == 0 {
		delete(w.groupsByOwner[g.owner], g.index)
		return
	}
	if w.groupsByOwner[g.owner] == nil {
		w.groupsByOwner[g.owner] = map[int]*groupWork{}
	}
	w.groupsByOwner[g.owner][g.index] = g
}

func (w *stepWork) addAttempt(a *attempt) {
	a.runningElement = w.running.PushBack(a)
	w.attemptsBySlot[a.slot] = append(w.attemptsBySlot[a.slot], a)
	if a.hedge {
		w.hedgeCount++
	}
}

func (w *stepWork) removeAttempt(a *attempt) {
	w.running.Remove(a.runningElement)
	if a.hedge {
		w.hedgeCount--
	}
	w.attemptsBySlot[a.slot] = slices.DeleteFunc(w.attemptsBySlot[a.slot], func(o *attempt) bool { return o == a })
	if len(w.attemptsBySlot[a.slot]) > 0 {
		return
	}
	delete(w.attemptsBySlot, a.slot)
	w.enqueueSlot(a.slot)
}

// enqueueSlot makes a slot available for leasing unless it is accepted, has a running attempt
// or is available already.
func (w *stepWork) enqueueSlot(slot int) {
	g := w.groups[w.groupOfSlot(slot)]
	if w.accepted[slot] || len(w.attemptsBySlot[slot]) > 0 || slices.Contains(g.openSlots, slot) {
		return
	}
	g.openSlots = append(g.openSlots, slot)
	w.openCount++
	w.updateIndexes(g)
}

// markAccepted removes a slot from the open ones and updates the estimate of its group.
func (w *stepWork) markAccepted(slot int, tokens float64) {
	g := w.groups[w.groupOfSlot(slot)]
	if i := slices.Index(g.openSlots, slot); i >= 0 {
		g.openSlots = slices.Delete(g.openSlots, i, i+1)
		w.openCount--
	}
	w.accepted[slot] = true
	g.acceptedTokens += tokens
	g.acceptedSamples++
	w.updateIndexes(g)
}

// reopenSlot makes a slot available whose accepted sample was withdrawn or lost.
func (w *stepWork) reopenSlot(slot int) {
	w.accepted[slot] = false
	w.enqueueSlot(slot)
}

func (w *stepWork) attemptsOf(slot int) []*attempt { return slices.Clone(w.attemptsBySlot[slot]) }

// releaseGroupsOf clears the ownership of a lost host's groups, so that other hosts can take
// them over.
func (w *stepWork) releaseGroupsOf(host string) {
	delete(w.groupsByOwner, host)
	for _, g := range w.groups {
		if g.owner == host {
			g.owner = ""
			w.updateIndexes(g)
		}
	}
}

// groupHeap is a heap of groups with open slots.
type groupHeap = indexheap.Heap[*groupWork, groupOrder]

// groupOrder orders groups without an owner before others, then by descending expected length.
type groupOrder struct{}

// Before implements indexheap.Order.
func (groupOrder) Before(a, b *groupWork) bool {
	if (a.owner == "") != (b.owner == "") {
		return a.owner == ""
	}
	if x, y := a.expectedTokens(), b.expectedTokens(); x != y {
		return x > y
	}
	return a.index < b.index
}

// SetIndex implements indexheap.Order.
func (groupOrder) SetIndex(g *groupWork, index int) { g.heapIndex = index }

// expiryHeap is a heap of attempts. Ended attempts are removed at once: at 550 attempts/s and leases of 10 minutes they would
// otherwise take about 50 MB.
type expiryHeap = indexheap.Heap[*attempt, expiryOrder]

// expiryOrder orders attempts by the end of their lease.
type expiryOrder struct{}

// Before implements indexheap.Order.
func (expiryOrder) Before(a, b *attempt) bool { return a.expiry.Before(b.expiry) }

// SetIndex implements indexheap.Order.
func (expiryOrder) SetIndex(a *attempt, index int) { a.heapIndex = index }
