package fairshare

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against shares that are not max-min fair: an account gets less than another one although it still asks for work.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.IntRange(1, 200), 2, 30).Draw(t, "demands")
		capacity := rapid.IntRange(1, 1000).Draw(t, "capacity")
		given := make([]int, len(demands))
		l := NewLedger()
		for range capacity {
			var waiting []Account
			for i, d := range demands {
				if given[i] < d {
					waiting = append(waiting, Account{Name: string(rune('A' + i))})
				}
			}
			if len(waiting) == 0 {
				break
			}
			l.SetActive(waiting)
			l.Order(waiting)
			l.Charge(waiting[0], 1)
			given[waiting[0].Name[0]-'A']++
		}
		for i := range demands {
			for k := range demands {
				if given[i] < demands[i] && given[k] > given[i]+1 {
					t.Fatalf("account %d was given %d of %d, account %d was given %d", i, given[i], demands[i], k, given[k])
				}
			}
		}
	})
}

// Guards against an account that saves up credit while it is idle and then blocks the others.
func TestIdleAccountSavesNoCredit(t *testing.T) {
	busy, idle := Account{Name: "busy"}, Account{Name: "idle"}
	l := NewLedger()
	l.SetActive([]Account{busy})
	l.Charge(busy, 1000)
	l.SetActive([]Account{busy, idle})
	if lead := l.Lead(busy, []Account{busy, idle}); lead != 0 {
		t.Errorf("the busy account leads by %g when another one becomes active, want 0", lead)
	}
}

// Guards against a priority that does not go before shares, and against a lead measured over priorities.
func TestPriorityGoesBeforeShares(t *testing.T) {
	high, low := Account{Name: "high"}, Account{Name: "low", Priority: Priority{Account: 1}}
	l := NewLedger()
	l.SetActive([]Account{high, low})
	l.Charge(high, math.MaxInt32)
	order := []Account{low, high}
	l.Order(order)
	if !slices.Equal(order, []Account{high, low}) || l.Lead(high, order) != 0 {
		t.Errorf("order %v, lead of the higher priority %g", order, l.Lead(high, order))
	}
}
