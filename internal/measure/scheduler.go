package measure

import (
	"slices"
	"time"
)

// Work is a leased attempt to generate the sample of a slot.
type Work struct {
	Tenancy    string
	Model      string
	HomeDomain string // of the tenancy
	Step       int
	Slot       int
	Attempt    int
	Prompt     uint64
	MaxTokens  int
	MinVersion uint64
	Deadline   time.Time // of the step
}

// Slot describes a sample of a step.
type Slot struct {
	Prompt    uint64
	MaxTokens int
}

// Step is a trainer's request for samples.
type Step struct {
	Tenancy        string
	Model          string
	HomeDomain     string
	Number         int
	StalenessBound uint64
	Deadline       time.Time
	Slots          []Slot
}

// Scheduler leases the slots of open steps. It can be implemented with ledger.Scheduler and its ledger.
type Scheduler interface {
	OpenStep(now time.Time, s Step)
	Publish(now time.Time, model string, version uint64)
	// Lease returns up to n attempts for a host. reachable reports whether the host can reach a domain.
	Lease(now time.Time, n int, reachable func(homeDomain string) bool) []Work
	// Accept decides whether a finished attempt is delivered. oldest is the oldest version that
	// produced tokens.
	Accept(now time.Time, work *Work, oldest uint64) (accepted bool, staleness uint64)
	// Failed reports an attempt that will not finish.
	Failed(now time.Time, work *Work)
}

// slotState is the state of a slot in the simple scheduler.
type slotState struct {
	Slot
	attempts int
	running  int       // attempts
	started  time.Time // start of the first running attempt
	done     bool
}

// stepState is the state of an open step in the simple scheduler.
type stepState struct {
	Step
	slots      []slotState
	planned    []int // slots without an attempt, next one first
	remaining  int   // slots not done
	hedgeIndex int   // index into started of the next slot to consider for a second attempt
	started    []int // slots by the start of their first running attempt
}

// listScheduler is the simple Scheduler: steps by deadline, slots in the order of the step or by
// descending token limit, and a second attempt for slots that take longer than hedgeAfter.
type listScheduler struct {
	steps        []*stepState
	published    map[string]uint64
	longestFirst bool
	hedgeAfter   time.Duration
}

func newListScheduler(longestFirst bool, hedgeAfter time.Duration) *listScheduler {
	return &listScheduler{published: make(map[string]uint64), longestFirst: longestFirst, hedgeAfter: hedgeAfter}
}

// OpenStep implements Scheduler.
func (s *listScheduler) OpenStep(_ time.Time, step Step) {
	state := &stepState{Step: step, slots: make([]slotState, len(step.Slots)), remaining: len(step.Slots)}
	for i, slot := range step.Slots {
		state.slots[i].Slot = slot
		state.planned = append(state.planned, i)
	}
	if s.longestFirst {
		slices.SortStableFunc(state.planned, func(a, b int) int {
			if d := state.slots[b].MaxTokens - state.slots[a].MaxTokens; d != 0 {
				return d
			}
			return int(int64(state.slots[a].Prompt) - int64(state.slots[b].Prompt))
		})
	}
	s.steps = append(s.steps, state)
	slices.SortStableFunc(s.steps, func(a, b *stepState) int { return a.Deadline.Compare(b.Deadline) })
}

// Publish implements Scheduler.
func (s *listScheduler) Publish(_ time.Time, model string, version uint64) {
	s.published[model] = max(version, s.published[model])
}

func (s *listScheduler) minVersion(state *stepState) uint64 {
	if p := s.published[state.Model]; p > state.StalenessBound {
		return p - state.StalenessBound
	}
	return 0
}

// Lease implements Scheduler. It takes slots from the steps in round-robin order, so that each tenancy
// has requests queued among which fair queueing can choose.
func (s *listScheduler) Lease(now time.Time, n int, reachable func(string) bool) []Work {
	var leased []Work
	for progress := true; progress && len(leased) < n; {
		progress = false
		for _, state := range s.steps {
			if len(leased) == n || !reachable(state.HomeDomain) {
				continue
			}
			if i, ok := s.nextSlot(now, state); ok {
				leased = append(leased, s.attempt(now, state, i))
				progress = true
			}
		}
	}
	return leased
}

// nextSlot returns the next slot without an attempt, or else one that is due for a second attempt.
func (s *listScheduler) nextSlot(now time.Time, state *stepState) (int, bool) {
	for len(state.planned) > 0 {
		i := state.planned[0]
		state.planned = state.planned[1:]
		if !state.slots[i].done {
			return i, true
		}
	}
	for state.hedgeIndex < len(state.started) {
		i := state.started[state.hedgeIndex]
		slot := &state.slots[i]
		if !slot.done && slot.running == 1 && now.Sub(slot.started) < s.hedgeAfter {
			return 0, false
		}
		state.hedgeIndex++
		if !slot.done && slot.running == 1 {
			return i, true
		}
	}
	return 0, false
}

func (s *listScheduler) attempt(now time.Time, state *stepState, i int) Work {
	slot := &state.slots[i]
	slot.attempts++
	slot.running++
	if slot.running == 1 {
		slot.started = now
		state.started = append(state.started, i)
	}
	return Work{Tenancy: state.Tenancy, Model: state.Model, HomeDomain: state.HomeDomain, Step: state.Number, Slot: i, Attempt: slot.attempts,
		Prompt: slot.Prompt, MaxTokens: slot.MaxTokens, MinVersion: s.minVersion(state), Deadline: state.Deadline}
}

func (s *listScheduler) findStep(work *Work) *stepState {
	for _, state := range s.steps {
		if state.Tenancy == work.Tenancy && state.Number == work.Step {
			return state
		}
	}
	return nil
}

// Accept implements Scheduler.
func (s *listScheduler) Accept(now time.Time, work *Work, oldest uint64) (bool, uint64) {
	state := s.findStep(work)
	if state == nil || state.slots[work.Slot].done {
		return false, 0
	}
	staleness := s.published[work.Model] - min(oldest, s.published[work.Model])
	if staleness > state.StalenessBound {
		s.Failed(now, work)
		return false, staleness
	}
	state.slots[work.Slot].done = true
	state.remaining--
	if state.remaining == 0 {
		s.steps = slices.DeleteFunc(s.steps, func(other *stepState) bool { return other == state })
	}
	return true, staleness
}

// Failed implements Scheduler. The slot moves to the front, because it is already late.
func (s *listScheduler) Failed(_ time.Time, work *Work) {
	state := s.findStep(work)
	if state == nil {
		return
	}
	slot := &state.slots[work.Slot]
	if slot.running == 0 {
		return // the attempt was already reported as failed
	}
	slot.running--
	if !slot.done && slot.running == 0 {
		state.planned = slices.Insert(state.planned, 0, work.Slot)
	}
}
