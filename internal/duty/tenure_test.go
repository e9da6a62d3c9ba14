package duty

import (
	"testing"
	"time"

	"fuchsiaflow/internal/dialect"
)

// fakeLeadership is a replica whose leadership the test sets. A term of 0 means that it does not lead.
type fakeLeadership struct {
	term  uint64
	lease time.Duration // that remains
	// onLease is called when the lease is read; nil if nothing happens then.
	onLease func()
}

func (f *fakeLeadership) IsLeader() bool                 { return f.term > 0 }
func (f *fakeLeadership) Leader() (string, uint64, bool) { return "x", f.term, true }
func (f *fakeLeadership) Lease(now time.Time) (time.Time, bool) {
	if f.onLease != nil {
		f.onLease()
	}
	return now.Add(f.lease), f.lease > 0
}

// Guards against two hosts that make calls in turn: a new leader that calls while calls of an earlier one may arrive, a
// leader that calls at the end of its lease or under a token of another term, and a first leader that waits in vain.
func TestTenure(t *testing.T) {
	g, start := &fakeLeadership{}, time.Unix(100, 0)
	tenure := NewTenure(g, "store-1", 3*time.Second)
	for _, c := range []struct {
		at    time.Duration
		term  uint64
		lease time.Duration
		want  uint64 // fencing token; 0 if there is none
	}{
		{0, 0, 0, 0},
		{1 * time.Second, 2, time.Second, 2},
		{2 * time.Second, 2, 149 * time.Millisecond, 0},
		{3 * time.Second, 2, 150 * time.Millisecond, 2},
		{4 * time.Second, 3, time.Second, 0}, // a new term
		{6999 * time.Millisecond, 3, time.Second, 0},
		{7 * time.Second, 3, time.Second, 3},
		{8 * time.Second, 3, 0, 0},
		{9 * time.Second, 0, 0, 0}, // another host leads
		{10 * time.Second, 5, time.Second, 0},
		{13 * time.Second, 5, time.Second, 5},
	} {
		g.term, g.lease = c.term, c.lease
		token, ok := tenure.Token(start.Add(c.at))
		if want := (dialect.DutyToken{Holder: "store-1", Fence: c.want}); ok != (c.want > 0) || ok && token != want {
			t.Errorf("after %s in term %d: token %+v, %t", c.at, c.term, token, ok)
		}
	}
	g.onLease = func() { g.term = 6 }
	if token, ok := tenure.Token(start.Add(14 * time.Second)); ok {
		t.Errorf("token %+v although a new term has begun", token)
	}
}
