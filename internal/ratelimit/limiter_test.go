package ratelimit

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/observe"
)

// newTestLimiter returns a limiter whose demands call answers, and a view in which target "t" states a rate.
func newTestLimiter(rate float64, call func(context.Context, Demand) (Grant, error)) (*Limiter, *clusterview.View) {
	log := slog.New(slog.DiscardHandler)
	view := clusterview.NewView(log, nil)
	l := New(view, Leader{Call: call}, log, observe.NewMetrics())
	view.MergeRateLimits([]fleet.RateLimit{{Target: "t", Incarnation: 1, Rate: rate}}, "test")
	return l, view
}

// Guards against a message to the leader for each request of a burst, and against requests that wait for each other
// when there is room for all.
func TestRequestsOfABurstShareDemands(t *testing.T) {
	allocator := NewAllocator()
	var demands atomic.Int64
	l, _ := newTestLimiter(100, func(_ context.Context, d Demand) (Grant, error) {
		demands.Add(1)
		time.Sleep(5 * time.Millisecond)
		return allocator.Lease(bootclock.Now(), Leadership{}, "h", d.Limit, d.Share)
	})
	var requests sync.WaitGroup
	var admitted atomic.Int64
	const burst = 50
	for range burst {
		requests.Go(func() {
			if l.Acquire(t.Context(), "t", 1) == nil {
				admitted.Add(1)
			}
		})
	}
	requests.Wait()
	if admitted.Load() < burst*9/10 || demands.Load() > burst/5 {
		t.Errorf("%d of %d admitted with %d demands", admitted.Load(), burst, demands.Load())
	}
}

// Guards against requests that wait again and again for a leader that does not answer, and against requests that are
// sent because nobody refuses them.
func TestLeaderThatDoesNotAnswer(t *testing.T) {
	l, view := newTestLimiter(100, func(ctx context.Context, _ Demand) (Grant, error) {
		<-ctx.Done()
		return Grant{}, &errs.Unavailable{Resource: "leader", Reason: "test"}
	})
	view.MergeRateLimits([]fleet.RateLimit{{Target: "u", Incarnation: 1, Rate: 100}}, "test")
	begin := time.Now()
	for _, target := range []string{"t", "t", "u"} {
		var refused *Refused
		if err := l.Acquire(t.Context(), target, 1); !errors.As(err, &refused) || errs.OutcomeOf(err) != errs.NotRun {
			t.Errorf("%s: %v, want a refusal", target, err)
		}
	}
	if took := time.Since(begin); took > 3*demandTimeout/2 {
		t.Errorf("three refusals took %s, want about one %s", took, demandTimeout)
	}
	if wait, limited := l.RefusedFor("u", 1); !limited || wait == 0 {
		t.Errorf("limited %t, refused for %s; want a wait", limited, wait)
	}
}

// Guards against a limit that holds on after it has ended, or for another incarnation.
func TestOnlyAStatedLimitRefuses(t *testing.T) {
	l, view := newTestLimiter(1, func(context.Context, Demand) (Grant, error) {
		return Grant{}, &errs.Unavailable{Resource: "leader", Reason: "test"}
	})
	if l.Acquire(t.Context(), "t", 1) == nil {
		t.Error("admitted without an answer of the leader")
	}
	if err := l.Acquire(t.Context(), "t", 2); err != nil {
		t.Errorf("next incarnation: %v", err)
	}
	time.Sleep(time.Millisecond)
	view.RecordRateLimit(fleet.RateLimit{Target: "t", Incarnation: 1}, "test")
	if err := l.Acquire(t.Context(), "t", 1); err != nil {
		t.Errorf("after the end of the limit: %v", err)
	}
}
