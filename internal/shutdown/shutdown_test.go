package shutdown

import (
	"context"
	"testing"
	"time"

	"fuchsiaflow/internal/bootclock"
)

var t0 = time.Unix(1000, 0)

// Guards against requests that a stopping host accepts and cannot finish, and against the refusal of those that it can.
func TestAdmits(t *testing.T) {
	p := period{removed: t0.Add(3 * time.Second), end: t0.Add(7 * time.Second)}
	for name, c := range map[string]struct {
		after, timeout, longest time.Duration
		want                    bool
	}{
		"deadline before the end":              {6 * time.Second, time.Second, time.Hour, true},
		"unknown, enough time left":            {2500 * time.Millisecond, 10 * time.Second, 0, true},
		"unknown, too little time left":        {2600 * time.Millisecond, 10 * time.Second, 0, false},
		"short requests":                       {2900 * time.Millisecond, 10 * time.Second, 100 * time.Millisecond, true},
		"short requests, other hosts are used": {3100 * time.Millisecond, 10 * time.Second, 100 * time.Millisecond, false},
		"long requests right after the start":  {0, 10 * time.Second, 6 * time.Second, false},
		"after the end":                        {8 * time.Second, 10 * time.Second, time.Millisecond, false},
	} {
		now := t0.Add(c.after)
		if got := p.admits(now, now.Add(c.timeout), c.longest); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against an expectation that rests on requests of long ago, or forgets a long one at once.
func TestLongestDurationIsForgotten(t *testing.T) {
	var d durations
	d.record(t0, "r", 5*time.Second)
	d.record(t0.Add(time.Second), "r", time.Second)
	d.record(t0.Add(durationWindow), "r", 2*time.Second)
	for after, want := range map[time.Duration]time.Duration{durationWindow + time.Second: 5 * time.Second, 2 * durationWindow: 2 * time.Second, 5 * durationWindow: 0} {
		copied := d
		if got := copied.longest(t0.Add(after), "r"); got != want {
			t.Errorf("after %s: %s, want %s", after, got, want)
		}
	}
	if got := d.longest(t0, "another"); got != 0 {
		t.Errorf("another route: %s", got)
	}
}

// Guards against a host that refuses requests while it does not stop, and against requests that outlast the stop.
func TestShutdownEndsRequests(t *testing.T) {
	s := New()
	far := bootclock.Now().Add(time.Minute)
	if !s.Admits("r", far) {
		t.Error("a request is refused before the stop")
	}
	ctx, cancel := s.Context(context.Background(), time.Minute)
	defer cancel()
	s.Begin(0, 50*time.Millisecond)
	if s.Admits("r", far) {
		t.Error("a request is accepted that cannot be finished")
	}
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the request does not end")
	}
	if !s.Ended() {
		t.Error("the stop has not ended")
	}
}
