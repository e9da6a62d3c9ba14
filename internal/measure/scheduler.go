package measure

import (
	"slices"
	"time"
)

// Work is an attempt of one slot of a step, as leased by a host.
type Work struct {
	Tenancy   string
	Model     string
	Home      string // failure domain of the tenancy
	Step      int
	Slot      int
	Attempt   int
	Prompt    uint64
	MaxTokens int
	MinVer    uint64
	Deadline  time.Time // of the step
}

// Slot describes a sample of a step.
type Slot struct {
	Prompt    uint64
	MaxTokens int
}

// Step is a trainer's order of samples.
type Step struct {
	Tenancy  string
	Model    string
	Home     string
	Number   int
	Bound    uint64
	Deadline time.Time
	Slots    []Slot
}

// Scheduler hands out the slots of open steps; ledger.Scheduler with its ledger can be put
// behind it.
type Scheduler interface {
	OpenStep(now time.Time, s Step)
	Publish(now time.Time, model string, version uint64)
	// Lease returns up to n attempts for a host; reachable tells which homes it can reach.
	Lease(now time.Time, n int, reachable func(home string) bool) []Work
	// Accept decides the delivery of a finished attempt whose oldest version is given.
	Accept(now time.Time, w *Work, oldest uint64) (accepted bool, staleness uint64)
	// Failed returns an attempt that will not finish.
	Failed(now time.Time, w *Work)
}

// slotState is the state of a slot in the simple scheduler.
type slotState struct {
	Slot
	attempts int
	running  int
	started  time.Time
	done     bool
}

type openStep struct {
	Step
	slots  []slotState
	order  []int // planned slots, next one first
	left   int
	hedged int // slots of the order of start that were examined for a second attempt
	flight []int
}

// listScheduler is the simple Scheduler: steps in order of their deadline, slots in order of
// the step or longest first, and a second attempt for stragglers.
type listScheduler struct {
	steps        []*openStep
	published    map[string]uint64
	longestFirst bool
	hedgeAfter   time.Duration
}

func newListScheduler(longestFirst bool, hedgeAfter time.Duration) *listScheduler {
	return &listScheduler{published: make(map[string]uint64), longestFirst: longestFirst, hedgeAfter: hedgeAfter}
}

// OpenStep implements Scheduler.
func (s *listScheduler) OpenStep(_ time.Time, st Step) {
	o := &openStep{Step: st, slots: make([]slotState, len(st.Slots)), left: len(st.Slots)}
	for i, sl := range st.Slots {
		o.slots[i].Slot = sl
		o.order = append(o.order, i)
	}
	if s.longestFirst {
		slices.SortStableFunc(o.order, func(a, b int) int {
			if d := o.slots[b].MaxTokens - o.slots[a].MaxTokens; d != 0 {
				return d
			}
			return int(int64(o.slots[a].Prompt) - int64(o.slots[b].Prompt))
		})
	}
	s.steps = append(s.steps, o)
	slices.SortStableFunc(s.steps, func(a, b *openStep) int { return a.Deadline.Compare(b.Deadline) })
}

// Publish implements Scheduler.
func (s *listScheduler) Publish(_ time.Time, model string, version uint64) {
	s.published[model] = max(version, s.published[model])
}

func (s *listScheduler) minVersion(o *openStep) uint64 {
	if p := s.published[o.Model]; p > o.Bound {
		return p - o.Bound
	}
	return 0
}

// Lease implements Scheduler. Tenancies take turns, so that each has work queued for fair
// queueing to choose from.
func (s *listScheduler) Lease(now time.Time, n int, reachable func(string) bool) []Work {
	var out []Work
	for progress := true; progress && len(out) < n; {
		progress = false
		for _, o := range s.steps {
			if len(out) == n || !reachable(o.Home) {
				continue
			}
			if i, ok := s.nextSlot(now, o); ok {
				out = append(out, s.attempt(now, o, i))
				progress = true
			}
		}
	}
	return out
}

func (s *listScheduler) nextSlot(now time.Time, o *openStep) (int, bool) {
	for len(o.order) > 0 {
		i := o.order[0]
		o.order = o.order[1:]
		if !o.slots[i].done {
			return i, true
		}
	}
	for o.hedged < len(o.flight) {
		i := o.flight[o.hedged]
		sl := &o.slots[i]
		if !sl.done && sl.running == 1 && now.Sub(sl.started) < s.hedgeAfter {
			return 0, false
		}
		o.hedged++
		if !sl.done && sl.running == 1 {
			return i, true
		}
	}
	return 0, false
}

func (s *listScheduler) attempt(now time.Time, o *openStep, i int) Work {
	sl := &o.slots[i]
	sl.attempts++
	sl.running++
	if sl.running == 1 {
		sl.started = now
		o.flight = append(o.flight, i)
	}
	return Work{Tenancy: o.Tenancy, Model: o.Model, Home: o.Home, Step: o.Number, Slot: i, Attempt: sl.attempts,
		Prompt: sl.Prompt, MaxTokens: sl.MaxTokens, MinVer: s.minVersion(o), Deadline: o.Deadline}
}

func (s *listScheduler) find(w *Work) *openStep {
	for _, o := range s.steps {
		if o.Tenancy == w.Tenancy && o.Number == w.Step {
			return o
		}
	}
	return nil
}

// Accept implements Scheduler.
func (s *listScheduler) Accept(now time.Time, w *Work, oldest uint64) (bool, uint64) {
	o := s.find(w)
	if o == nil || o.slots[w.Slot].done {
		return false, 0
	}
	staleness := s.published[w.Model] - min(oldest, s.published[w.Model])
	if staleness > o.Bound {
		s.Failed(now, w)
		return false, staleness
	}
	o.slots[w.Slot].done = true
	o.left--
	if o.left == 0 {
		s.steps = slices.DeleteFunc(s.steps, func(x *openStep) bool { return x == o })
	}
	return true, staleness
}

// Failed implements Scheduler. The slot goes to the front, because it is late already.
func (s *listScheduler) Failed(_ time.Time, w *Work) {
	o := s.find(w)
	if o == nil {
		return
	}
	sl := &o.slots[w.Slot]
	if sl.running == 0 {
		return // the attempt was given up before
	}
	sl.running--
	if !sl.done && sl.running == 0 {
		o.order = slices.Insert(o.order, 0, w.Slot)
	}
}
