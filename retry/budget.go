package retry

import "time"

// The sliding window of a budget. Ten slots keep the error of its length below a tenth.
const (
	budgetSlots      = 10
	budgetSlotLength = time.Second
	// minRetries is the number of retries per window that are allowed without traffic, so that
	// one broken connection does not fail an infrequent call.
	minRetries = 3
)

// Budget limits retries and hedges to a fraction of the requests of the last ten seconds.
// Without it, the retries to a slow pool keep it slow after the original cause is gone. A Budget
// is not safe for concurrent use.
type Budget struct {
	ratio    float64
	slots    [budgetSlots]budgetSlot
	requests int
	retries  int
}

type budgetSlot struct {
	index             int64 // Unix time divided by budgetSlotLength
	requests, retries int
}

// NewBudget returns a budget that allows ratio retries per request, for example 0.1.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio} }

// RecordRequest records the first attempt of a call.
func (b *Budget) RecordRequest(now time.Time) {
	b.slot(now).requests++
	b.requests++
}

// Allow takes one retry or hedge from the budget and returns true, or returns false if the budget
// is exhausted.
func (b *Budget) Allow(now time.Time) bool {
	s := b.slot(now)
	if float64(b.retries+1) > b.ratio*float64(b.requests)+minRetries {
		return false
	}
	s.retries++
	b.retries++
	return true
}

// slot returns the slot of the given time and clears the slots that have left the window.
func (b *Budget) slot(now time.Time) *budgetSlot {
	index := now.UnixNano() / int64(budgetSlotLength)
	for i := range b.slots {
		s := &b.slots[i]
		if s.index <= index-budgetSlots {
			b.requests -= s.requests
			b.retries -= s.retries
			s.requests, s.retries = 0, 0
		}
	}
	s := &b.slots[index%budgetSlots]
	// If the clock steps back, newer slots keep their index, so the budget can only become too
	// strict.
	s.index = max(s.index, index)
	return s
}
