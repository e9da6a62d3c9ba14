package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var limitTestStart = time.Unix(1000, 0)

// Guards against a limit that a late, foreign or senseless statement begins, ends or changes, and against one that a
// new incarnation inherits.
func TestNewestStatementOfALimitCounts(t *testing.T) {
	s := NewRateLimits()
	at := func(ms int) time.Time { return limitTestStart.Add(time.Duration(ms) * time.Millisecond) }
	for _, step := range []struct {
		name    string
		ms      int
		l       RateLimit
		changed bool
		rate    float64 // of incarnation 2 afterwards
	}{
		{"end of an unknown limit", 0, RateLimit{Target: "a", Incarnation: 2}, false, 0},
		{"begin", 10, RateLimit{Target: "a", Incarnation: 2, Rate: 3}, true, 3},
		{"late end", 20, RateLimit{Target: "a", Incarnation: 2, Age: 15 * time.Millisecond}, false, 3},
		{"earlier incarnation", 30, RateLimit{Target: "a", Incarnation: 1, Rate: 1}, false, 3},
		{"no number", 40, RateLimit{Target: "a", Incarnation: 2, Rate: math.NaN()}, false, 3},
		{"infinite", 40, RateLimit{Target: "a", Incarnation: 2, Rate: math.Inf(1)}, false, 3},
		{"negative", 40, RateLimit{Target: "a", Incarnation: 2, Rate: -1}, false, 3},
		{"far too large", 50, RateLimit{Target: "a", Incarnation: 2, Rate: 1e300}, true, MaxRate},
		{"end", 60, RateLimit{Target: "a", Incarnation: 2}, true, 0},
		{"late statement", 70, RateLimit{Target: "a", Incarnation: 2, Rate: 3, Age: 30 * time.Millisecond}, false, 0},
		{"next limit, tiny", 80, RateLimit{Target: "a", Incarnation: 2, Rate: 1e-9}, true, MinRate},
		{"new incarnation", 90, RateLimit{Target: "a", Incarnation: 3, Rate: 5}, true, 0},
	} {
		changed := s.Add(at(step.ms), step.l)
		l, _ := s.Get("a", 2)
		if changed != step.changed || l.Rate != step.rate {
			t.Errorf("%s: changed %t, rate %g; want %t, %g", step.name, changed, l.Rate, step.changed, step.rate)
		}
	}
}

// Guards against hosts that never learn that a limit has ended, and against a limit whose value varies a little and
// which floods all hosts.
func TestChangesOfLimitsThatArePassedOn(t *testing.T) {
	s := NewRateLimits()
	passedOn := func(after time.Duration, rate float64) (rates []float64) {
		now := limitTestStart.Add(after)
		_, revision := s.ChangedSince(now, 0)
		passOn := s.Add(now, RateLimit{Target: "a", Incarnation: 1, Rate: rate})
		list, _ := s.ChangedSince(now, revision)
		if passOn != (len(list) > 0) {
			t.Errorf("%g: passed on %t with %d changes", rate, passOn, len(list))
		}
		for _, l := range list {
			rates = append(rates, l.Rate)
		}
		return rates
	}
	got := [][]float64{passedOn(1*time.Millisecond, 4), passedOn(2*time.Millisecond, 4.1), passedOn(3*time.Millisecond, 8),
		passedOn(1100*time.Millisecond, 8.1), passedOn(1200*time.Millisecond, 0)}
	want := [][]float64{{4}, nil, {8}, {8.1}, {0}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
