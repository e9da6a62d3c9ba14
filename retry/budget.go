package retry

import "time"

// The sliding period of a budget. Ten slots keep the error of the period under a tenth.
const (
	budgetSlots = 10
	slotLength  = time.Second
	// budgetFloor is the number of retries per period that are allowed without traffic, so
	// that a rare call is not lost to one broken connection.
	budgetFloor = 3
)

// Budget bounds retries to a share of the traffic of the last ten seconds. Without it, the
// retries of a slow pool keep it slow after the original cause is gone. A Budget is not safe
// for concurrent use.
type Budget struct {
	share    float64
	slots    [budgetSlots]budgetSlot
	requests int
	retries  int
}

type budgetSlot struct {
	period            int64 // Unix time in slots
	requests, retries int
}

// NewBudget returns a budget; share is the number of retries per request, such as 0.1.
func NewBudget(share float64) *Budget { return &Budget{share: share} }

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest(now time.Time) {
	b.slot(now).requests++
	b.requests++
}

// Allow takes one retry or hedge from the budget, or reports that it is used up.
func (b *Budget) Allow(now time.Time) bool {
	s := b.slot(now)
	if float64(b.retries+1) > b.share*float64(b.requests)+budgetFloor {
		return false
	}
	s.retries++
	b.retries++
	return true
}

// slot returns the slot of the given time and drops the slots that left the period.
func (b *Budget) slot(now time.Time) *budgetSlot {
	period := now.UnixNano() / int64(slotLength)
	for i := range b.slots {
		s := &b.slots[i]
		if s.period <= period-budgetSlots {
			b.requests -= s.requests
			b.retries -= s.retries
			s.requests, s.retries = 0, 0
		}
	}
	s := &b.slots[period%budgetSlots]
	// A clock that steps back keeps its old slots, so the budget is at most too strict.
	s.period = max(s.period, period)
	return s
}
