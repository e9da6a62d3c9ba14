package duty

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/usage"
)

const testWindow = 5 * time.Second

// testSystem is a state group of some hosts with their reporters, and the platform. All hosts see the same committed state.
// It is used in a bubble of synctest, whose time of day is true time.
type testSystem struct {
	t    *testing.T
	mu   sync.Mutex
	lead int // number of the leader
	term uint64
	// leaseLost is set while the leader does not hold the lease, and commitsFail while it cannot commit.
	leaseLost, commitsFail bool
	state                  *storestate.State
	// onCall decides the answer to a call; without it a call succeeds after 50 ms. onSeal is called after a
	// seal, while the system is locked.
	onCall func(ctx context.Context, r dialect.UsageReport) error
	onSeal func()
	// clockError returns the error of the time of day of the hosts after some time.
	clockError func(time.Duration) time.Duration

	seen   map[uint64]map[string]uint64 // reports that have reached the platform, whatever its answer
	times  map[uint64]time.Duration     // from the end of a window until its report was first accepted
	fence  uint64                       // highest that was seen
	calls  int
	newest uint64 // that was accepted
	want   map[uint64]map[string]uint64
}

// testReplica is the replica on one host.
type testReplica struct {
	*testSystem
	id int
}

func (r testReplica) leads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lead == r.id
}
func (r testReplica) IsLeader() bool { return r.leads() }
func (r testReplica) Leader() (string, uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return "", r.term, true
}

func (r testReplica) Lease(now time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Add(500 * time.Millisecond), r.lead == r.id && !r.leaseLost
}

func (r testReplica) View(fn func(*storestate.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.state)
}

func (r testReplica) Propose(_ context.Context, data []byte) ([]byte, error) {
	if !r.leads() {
		return nil, &errs.NotLeader{Group: storestate.Group}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.commitsFail {
		return nil, &errs.Unavailable{Resource: "majority of the voters"}
	}
	before := len(r.state.Usage().Unsent())
	out := r.state.Apply(r.state.Index()+1, data)
	if len(r.state.Usage().Unsent()) > before && r.onSeal != nil {
		r.onSeal()
	}
	return out, nil
}

// elect makes a host the leader of a new term.
func (s *testSystem) elect(id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lead, s.term, s.leaseLost = id, s.term+1, false
}

// set changes the system.
func (s *testSystem) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// count lets requests of accounts arrive at entry hosts for some time. Each host sends its counts every second.
func (s *testSystem) count(d time.Duration) {
	rng := rand.New(rand.NewPCG(3, 4))
	counters := make([]*usage.Counter, 5)
	for i := range counters {
		counters[i] = usage.NewCounter()
	}
	incarnation := time.Now().UnixNano()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		window := usage.WindowAt(time.Now(), testWindow)
		for i, c := range counters {
			account := string(rune('a' + rng.IntN(9)))
			c.Add(window, account)
			record := &storestate.RecordUsage{Source: usage.Source{Host: string(rune('0' + i)), Incarnation: incarnation}, Windows: c.Unsent()}
			s.set(func() {
				if s.want[window] == nil {
					s.want[window] = make(map[string]uint64)
				}
				s.want[window][account]++
				s.state.Apply(s.state.Index()+1, storestate.EncodeCommand(&storestate.Command{RecordUsage: record}))
			})
			c.Acknowledge(record.Windows)
		}
	}
}

// ReportUsage implements dialect.PlatformClient.
func (r testReplica) ReportUsage(ctx context.Context, by dialect.DutyToken, u dialect.UsageReport) error {
	now := time.Now()
	s := r.testSystem
	s.mu.Lock()
	s.calls++
	if earlier, ok := s.seen[u.Window]; ok && !maps.Equal(earlier, u.Counts) {
		s.t.Errorf("window %d reported with %v and %v", u.Window, earlier, u.Counts)
	}
	if by.Fence < s.fence {
		s.t.Errorf("call with fencing token %d after %d", by.Fence, s.fence)
	}
	if s.lead != r.id || s.leaseLost {
		s.t.Errorf("call of host %d, which does not hold the lease", r.id)
	}
	s.fence, s.seen[u.Window] = by.Fence, u.Counts
	onCall := s.onCall
	s.mu.Unlock()
	if onCall == nil {
		time.Sleep(50 * time.Millisecond)
	} else if err := onCall(ctx, u); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Window < s.newest {
		s.t.Errorf("window %d accepted after %d", u.Window, s.newest)
	}
	s.newest = u.Window
	if _, ok := s.times[u.Window]; !ok {
		s.times[u.Window] = now.Sub(usage.WindowEnd(u.Window, testWindow))
	}
	return nil
}

func (r testReplica) OrderTargets(context.Context, dialect.DutyToken, dialect.TargetCount) error {
	return nil
}

// play runs a system of two hosts while fn acts, and then checks that every window is reported once with its counts.
// Windows that ended within the last 12 s may be missing.
func play(t *testing.T, fn func(s *testSystem)) { playWith(t, trueClock, fn) }

func trueClock(time.Duration) time.Duration { return 0 }

// playWith is play on hosts whose time of day may be wrong.
func playWith(t *testing.T, clockError func(time.Duration) time.Duration, fn func(s *testSystem)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testSystem{t: t, lead: 1, term: firstLeaderTerm, state: storestate.New(), seen: make(map[uint64]map[string]uint64), times: make(map[uint64]time.Duration),
			want: make(map[uint64]map[string]uint64), clockError: clockError}
		k := kernel.New(slog.New(slog.DiscardHandler))
		for id := 1; id <= 2; id++ {
			if err := k.Register(string(rune('0'+id)), s.newReporter(id)); err != nil {
				t.Fatal(err)
			}
		}
		begin := time.Now()
		if err := k.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		fn(s)
		last := usage.WindowAt(time.Now().Add(-12*time.Second), testWindow) - 1
		if err := k.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		for w := usage.WindowAt(begin, testWindow) + 1; w <= last; w++ {
			want := s.want[w]
			if want == nil {
				want = make(map[string]uint64)
			}
			if d := cmp.Diff(want, s.seen[w]); d != "" {
				t.Errorf("window %d: %s", w, d)
			}
			if _, ok := s.times[w]; !ok {
				t.Errorf("window %d was not accepted", w)
			}
		}
	})
}

func (s *testSystem) newReporter(id int) *UsageReporter {
	r := testReplica{s, id}
	begin := time.Now()
	read := func() usage.Reading {
		return usage.Reading{Wall: time.Now().Round(0).Add(s.clockError(time.Since(begin))), Steady: time.Now().Round(0)}
	}
	return NewUsageReporter(UsageOptions{Usage: settings.Usage{Window: testWindow, DueAfter: 10 * time.Second}, CallsPerSecond: 50,
		Tenure: NewTenure(r, "store", 3*time.Second), Leads: r.leads, State: r, Propose: r.Propose, HasAccounts: func() bool { return true }, Platform: r,
		ReadClocks: read, Rand: rand.New(rand.NewPCG(uint64(id), 1)), Log: slog.New(slog.DiscardHandler), Metrics: observe.NewMetrics()})
}

// Guards against windows that are reported late, not at all, out of order, or more than once while nothing fails.
func TestReportsInTime(t *testing.T) {
	play(t, func(s *testSystem) {
		s.count(60 * time.Second)
		time.Sleep(30 * time.Second) // windows without requests
		s.mu.Lock()
		defer s.mu.Unlock()
		for w, took := range s.times {
			if took < 6*time.Second || took > 7*time.Second {
				t.Errorf("window %d reported after %s", w, took)
			}
		}
		if s.calls != len(s.seen) {
			t.Errorf("%d calls for %d windows", s.calls, len(s.seen))
		}
	})
}

// Guards against a change of leader between the seal of a window and its report that loses the report or changes it: counts
// that arrive after the seal are ignored. The next leader waits until calls of the earlier one can no longer arrive.
func TestLeaderChangeBetweenSealAndSend(t *testing.T) {
	play(t, func(s *testSystem) {
		s.count(20 * time.Second)
		changed := make(chan time.Time, 1)
		s.set(func() {
			s.onSeal = func() {
				s.onSeal, s.lead, s.term = nil, 2, s.term+1
				next, _ := s.state.Usage().Next()
				late := usage.WindowCounts{Window: next - 1, Counts: []usage.AccountCount{{Account: "x", Count: 9}}, Revision: 1}
				record := &storestate.RecordUsage{Source: usage.Source{Host: "late"}, Windows: []usage.WindowCounts{late}}
				s.state.Apply(s.state.Index()+1, storestate.EncodeCommand(&storestate.Command{RecordUsage: record}))
				changed <- time.Now()
			}
			s.onCall = func(context.Context, dialect.UsageReport) error {
				if waited := time.Since(<-changed); waited < 3*time.Second || waited > 4*time.Second {
					t.Errorf("the new leader waited for %s", waited)
				}
				s.set(func() { s.onCall = nil })
				return nil
			}
		})
		time.Sleep(40 * time.Second)
	})
}

// Guards against a change of leader between a report and its answer that loses the report or sends another one: the next
// leader repeats it, whether the answer was lost or its commit failed.
func TestLeaderChangeBetweenSendAndAnswer(t *testing.T) {
	for name, answer := range map[string]error{"answer lost": &errs.Interrupted{Operation: "call"}, "answer arrives": nil} {
		t.Run(name, func(t *testing.T) {
			play(t, func(s *testSystem) {
				s.count(20 * time.Second)
				var repeated uint64
				s.set(func() {
					s.onCall = func(_ context.Context, r dialect.UsageReport) error {
						s.elect(2)
						s.set(func() {
							repeated = r.Window
							s.onCall = func(_ context.Context, r dialect.UsageReport) error {
								if r.Window != repeated {
									t.Errorf("window %d after the change, want %d again", r.Window, repeated)
								}
								s.set(func() { s.onCall = nil })
								return nil
							}
						})
						return answer
					}
				})
				time.Sleep(40 * time.Second)
			})
		})
	}
}

// Guards against a report that is sent again and again because its removal cannot be committed.
func TestCommitsFailAfterAReport(t *testing.T) {
	play(t, func(s *testSystem) {
		s.count(20 * time.Second)
		s.set(func() {
			s.onCall = func(context.Context, dialect.UsageReport) error {
				s.set(func() { s.commitsFail = true })
				return nil
			}
		})
		time.Sleep(6 * time.Second)
		calls := s.callCount()
		time.Sleep(10 * time.Second)
		if n := s.callCount() - calls; n > 0 {
			t.Errorf("%d calls for a report that was accepted", n)
		}
		s.set(func() { s.onCall, s.commitsFail = nil, false })
		time.Sleep(20 * time.Second)
	})
}

// Guards against calls and seals of a holder without its lease; play checks each call.
func TestTenureLost(t *testing.T) {
	play(t, func(s *testSystem) {
		s.count(20 * time.Second)
		s.set(func() { s.leaseLost = true })
		time.Sleep(time.Second)
		calls, next := s.callCount(), s.nextWindow()
		s.count(30 * time.Second)
		if s.callCount() != calls || s.nextWindow() != next {
			t.Errorf("%d calls and %d seals without a lease", s.callCount()-calls, s.nextWindow()-next)
		}
		s.set(func() { s.leaseLost = false })
		time.Sleep(30 * time.Second)
	})
}

func (s *testSystem) callCount() (n int) {
	s.set(func() { n = s.calls })
	return n
}

func (s *testSystem) nextWindow() (window uint64) {
	s.set(func() { window, _ = s.state.Usage().Next() })
	return window
}

// Guards against a platform in trouble that is called too often, that gets reports out of order, or that never gets those
// of the time of its trouble, and against a holder that goes on after a newer one has called.
func TestPlatformInTrouble(t *testing.T) {
	silent := func(ctx context.Context, _ dialect.UsageReport) error {
		<-ctx.Done()
		return &errs.Interrupted{Operation: "call", Reason: ctx.Err().Error()}
	}
	slow := func(ctx context.Context, r dialect.UsageReport) error {
		select {
		case <-ctx.Done():
			return silent(ctx, r)
		case <-time.After(2500 * time.Millisecond):
			return nil
		}
	}
	status := func(err error) func(context.Context, dialect.UsageReport) error {
		return func(context.Context, dialect.UsageReport) error { return err }
	}
	for _, c := range []struct {
		name     string
		onCall   func(context.Context, dialect.UsageReport) error
		maxCalls int // in 60 s
		electNew bool
	}{
		{"slow", slow, 16, false},
		{"silent", silent, 8, false},
		{"429", status(&dialect.CallRejected{Call: "usage", Status: 429}), 60, false},
		{"500", status(&dialect.UnexpectedResponse{Call: "usage", Status: 500}), 60, false},
		{"409", status(&dialect.CallRejected{Call: "usage", Status: 409, Conflict: true}), 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			play(t, func(s *testSystem) {
				s.count(20 * time.Second)
				calls := s.callCount()
				s.set(func() { s.onCall = c.onCall })
				s.count(60 * time.Second)
				if n := s.callCount() - calls; n < 1 || n > c.maxCalls {
					t.Errorf("%d calls in a minute, want at most %d", n, c.maxCalls)
				}
				s.set(func() { s.onCall = nil })
				if c.electNew {
					s.elect(2)
				}
				time.Sleep(40 * time.Second)
			})
		})
	}
}

// Guards against windows that are sealed before their counts have arrived because the time of day of the leader steps
// across the end of a window and back.
func TestClockOfTheLeaderSteps(t *testing.T) {
	ahead := func(since time.Duration) time.Duration {
		if since %= 40 * time.Second; since < 12*time.Second || since >= 30*time.Second {
			return 0
		}
		return 8 * time.Second
	}
	playWith(t, ahead, func(s *testSystem) { s.count(100 * time.Second) })
}
