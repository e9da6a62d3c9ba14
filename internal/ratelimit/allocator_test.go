package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaflow/fleet"
	"fuchsiaflow/limits"
)

var start = time.Unix(5000, 0)

// sharing is a simulated fleet of hosts that share the limit of one target.
type sharing struct {
	allocator *Allocator
	by        Leadership
	limit     fleet.RateLimit
	hosts     []*limits.Limiter
	asleep    []time.Time // before which a refused host does not ask
	demands   int
	sent      []time.Time
}

func newSharing(hosts int, rate float64) *sharing {
	s := &sharing{allocator: NewAllocator(), limit: fleet.RateLimit{Target: "t", Incarnation: 1, Rate: rate}, asleep: make([]time.Time, hosts)}
	for range hosts {
		s.hosts = append(s.hosts, limits.NewLimiter(limits.LimiterConfig{Incarnation: 1, OnDemand: true, MinRetryAfter: MinAskInterval}))
	}
	return s
}

// request lets a host send a request if it is admitted. It reports whether it was.
func (s *sharing) request(t *testing.T, now time.Time, host int) bool {
	t.Helper()
	const name = "t@1"
	h := s.hosts[host]
	if !h.Covers(now, name, oneRequest) && !now.Before(s.asleep[host]) {
		_ = h.Reserve(now, "", name, 1, 0) // not covered: records what is to be asked for
		d := h.Demand(now, name)
		s.demands++
		g, err := s.allocator.Lease(now, s.by, fmt.Sprint(host), &s.limit, d)
		if err != nil {
			t.Fatal(err)
		}
		h.ApplyShare(now, g.Share)
		if g.Share.Held.Requests < d.Want.Requests {
			s.asleep[host] = now.Add(min(max(g.Share.RetryAfter, MinAskInterval), maxAskInterval))
		}
	}
	if !h.Covers(now, name, oneRequest) {
		return false
	}
	_ = h.Reserve(now, fmt.Sprint(len(s.sent)), name, 1, 0) // covered
	s.sent = append(s.sent, now)
	return true
}

// mostIn returns the largest number of requests sent in any window.
func (s *sharing) mostIn(window time.Duration) int {
	most, first := 0, 0
	for i, at := range s.sent {
		for !s.sent[first].After(at.Add(-window)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against hosts that together send more than a target takes, each of them few, and against a limit of which a
// good part is lost between hosts that rarely send.
func TestHostsShareALimit(t *testing.T) {
	for _, c := range []struct {
		hosts  int
		rate   float64
		demand float64 // requests a second of all hosts together
	}{{2, 2, 85}, {21, 1.1, 6}, {21, 1.6, 24}, {12, 4, 85}, {104, 3, 12}, {250, 16.3, 20}, {250, 16.3, 200}, {250, 0.25, 20}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			s := newSharing(c.hosts, c.rate)
			r := rand.New(rand.NewPCG(1, uint64(c.hosts)))
			const span = 60 * time.Second
			for now := start; now.Before(start.Add(span)); now = now.Add(time.Duration(r.ExpFloat64() / c.demand * float64(time.Second))) {
				s.request(t, now, r.IntN(c.hosts))
			}
			const window = 4 * time.Second
			most, allowed := s.mostIn(window), int(c.rate*window.Seconds())+int(c.rate*quotaPeriod.Seconds())+1
			perSecond := float64(len(s.sent)) / span.Seconds()
			t.Logf("%d in %s, %.2f a second of %g, %.1f demands a second", most, window, perSecond, c.rate, float64(s.demands)/span.Seconds())
			if most > allowed {
				t.Errorf("%d requests in %s, want at most %d", most, window, allowed)
			}
			if want := 0.75 * min(c.rate, c.demand); perSecond < want {
				t.Errorf("%.2f requests a second, want %.2f", perSecond, want)
			}
		})
	}
}

// Guards against new leaders that grant what an earlier one has just granted, and against new leaders that refuse what a
// target takes. The leader changes every three seconds, of which it grants during the last two.
func TestLimitHoldsOverChangesOfTheLeader(t *testing.T) {
	const rate, term, election, span = 4.0, 3 * time.Second, time.Second, 60 * time.Second
	s := newSharing(6, rate)
	r := rand.New(rand.NewPCG(2, 2))
	for now := start; now.Before(start.Add(span)); now = now.Add(time.Duration(r.IntN(50)) * time.Millisecond) {
		elapsed := now.Sub(start)
		s.by = Leadership{Term: uint64(1 + elapsed/term), Since: start.Add(elapsed / term * term).Add(election)}
		if now.After(s.by.Since) {
			s.request(t, now, r.IntN(6))
		}
	}
	const window, tolerance = 4 * time.Second, 1.25
	granting := span.Seconds() * (term - election).Seconds() / term.Seconds()
	t.Logf("%d in %s, %d in all", s.mostIn(window), window, len(s.sent))
	if most, allowed := s.mostIn(window), int(tolerance*rate*window.Seconds()); most > allowed {
		t.Errorf("%d requests in %s, want at most %d", most, window, allowed)
	}
	if least := int(0.7 * rate * granting); len(s.sent) < least {
		t.Errorf("%d requests, want at least %d", len(s.sent), least)
	}
}

// Guards against a target that is granted two quotas while its rate changes.
func TestChangedRateKeepsWhatWasGranted(t *testing.T) {
	s := newSharing(1, 4)
	for range 8 {
		s.request(t, start, 0)
	}
	s.limit.Rate = 2
	if s.request(t, start.Add(time.Second), 0) {
		t.Error("granted although the window of the earlier rate is full")
	}
	s.limit.Incarnation, s.asleep[0] = 2, time.Time{}
	if !s.request(t, start.Add(time.Second), 0) {
		t.Error("a new incarnation inherits what was granted for an earlier one")
	}
}
