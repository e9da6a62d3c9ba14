package usage

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that runs are reproducible. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261207", "checks": "300", "steps": "80", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against windows that are sealed before the hosts have sent their counts, or so late that the report is overdue.
func TestSealable(t *testing.T) {
	begin := time.Unix(1767225600, 0)
	if w := WindowAt(begin, 5*time.Second); w != 353445120 || WindowAt(begin.Add(-1), 5*time.Second) != w-1 || !WindowEnd(w-1, 5*time.Second).Equal(begin) {
		t.Fatalf("window %d at the start of 2026", w)
	}
	for _, c := range []struct {
		after, dueAfter time.Duration
		want            uint64
	}{{10999 * time.Millisecond, 10 * time.Second, 9}, {11 * time.Second, 10 * time.Second, 10}, {11 * time.Second, 0, 10}, {11 * time.Second, time.Minute, 10}, {8 * time.Second, 7 * time.Second, 10}, {5 * time.Second, time.Second, 10}} {
		got, ok := Sealable(time.Unix(50, 0).Add(c.after), 5*time.Second, c.dueAfter)
		if !ok || got != c.want {
			t.Errorf("%s after the start of window 10, due after %s: window %d, want %d", c.after, c.dueAfter, got, c.want)
		}
	}
	if _, ok := Sealable(time.Unix(3, 0), 5*time.Second, 0); ok {
		t.Error("a window ended before the first one")
	}
}

// Guards against requests that are counted in a wrong window while the time of day steps across the end of a window and
// back, and against a clock that never follows a step.
func TestClockSteps(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name string
		// step returns the error of the time of day after some time.
		step func(s float64) time.Duration
		max  time.Duration // largest error of the clock during the first 19 s after a step
	}{
		{"ahead and back", func(s float64) time.Duration { return between(s, 3, 18, 7*time.Second) }, 0},
		{"behind and back", func(s float64) time.Duration { return between(s, 3, 21, -9*time.Second) }, 0},
		{"in several steps", func(s float64) time.Duration {
			return between(s, 3, 12, 4*time.Second) + between(s, 9, 30, 6*time.Second)
		}, 0},
		{"adjusted", func(s float64) time.Duration { return time.Duration(s * float64(time.Millisecond)) }, 40 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			var clock Clock
			for ms := 0; ms < 28000; ms += 100 {
				at := time.Duration(ms) * time.Millisecond
				now := start.Add(at)
				got := clock.At(Reading{Wall: now.Add(c.step(at.Seconds())), Steady: time.Unix(7, 0).Add(at)})
				if d := got.Sub(now).Abs(); d > c.max {
					t.Fatalf("after %s: wrong by %s", at, d)
				}
			}
		})
	}
	var clock Clock
	clock.At(Reading{Wall: start, Steady: start})
	for s := 1; s <= 22; s++ {
		now := start.Add(time.Duration(s) * time.Second)
		ahead := clock.At(Reading{Wall: now.Add(5 * time.Second), Steady: now}).Sub(now)
		if want := time.Duration(0); s < 21 && ahead != want || s >= 21 && ahead != 5*time.Second {
			t.Errorf("%d s after the step: %s ahead", s-1, ahead)
		}
	}
}

func between(s, from, to float64, d time.Duration) time.Duration {
	if s < from || s >= to {
		return 0
	}
	return d
}

// oracle is a ledger that keeps everything.
type oracle struct {
	revisions map[string]uint64
	counts    map[string]map[string]uint64 // by source and window, then by account
	reports   map[uint64]map[string]uint64 // fixed and not sent
	sealed    bool
}

func key(s Source, window uint64) string { return fmt.Sprint(s, window) }

func (o *oracle) seal(window uint64, sources []Source) {
	total := make(map[string]uint64)
	for _, s := range sources {
		for account, n := range o.counts[key(s, window)] {
			total[account] += n
		}
	}
	o.reports[window], o.sealed = total, true
}

// Guards against counts that are lost, added twice, replaced by older ones or changed after the seal, against reports out
// of order, and against a snapshot in mid-course that changes any of it. Messages arrive late, twice and out of order.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := []Source{{"a", 1}, {"a", 2}, {"b", 1}}
		counters := []*Counter{NewCounter(), NewCounter(), NewCounter()}
		o := &oracle{revisions: make(map[string]uint64), counts: make(map[string]map[string]uint64), reports: make(map[uint64]map[string]uint64)}
		l, next := NewLedger(), uint64(100)
		l.Start(next)
		type message struct {
			source Source
			counts WindowCounts
		}
		var sent []message
		window := rapid.Uint64Range(98, 110)
		t.Repeat(map[string]func(*rapid.T){
			"count": func(t *rapid.T) {
				c, w, account := rapid.SampledFrom(counters).Draw(t, "counter"), window.Draw(t, "window"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account")
				c.Add(w, account)
				if rapid.Bool().Draw(t, "take back") {
					c.Remove(w, account)
				}
			},
			"send": func(t *rapid.T) {
				i := rapid.IntRange(0, len(sources)-1).Draw(t, "source")
				list := counters[i].Unsent()
				for _, w := range list {
					sent = append(sent, message{sources[i], w})
				}
				counters[i].Acknowledge(list)
				if len(counters[i].Unsent()) > 0 {
					t.Fatal("acknowledged counts are sent again")
				}
			},
			"deliver": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				m := rapid.SampledFrom(sent).Draw(t, "message")
				l.Record(m.source, m.counts)
				if !o.sealed {
					next = min(next, m.counts.Window)
				}
				k := key(m.source, m.counts.Window)
				if m.counts.Window < next || m.counts.Revision <= o.revisions[k] {
					return
				}
				o.revisions[k], o.counts[k] = m.counts.Revision, make(map[string]uint64)
				for _, c := range m.counts.Counts {
					o.counts[k][c.Account] = c.Count
				}
			},
			"seal": func(t *rapid.T) {
				w := window.Draw(t, "window")
				sealed, _ := l.Seal(w)
				for ; next <= w; next++ {
					o.seal(next, sources)
					sealed--
				}
				if sealed != 0 {
					t.Fatalf("%d windows too many sealed", sealed)
				}
			},
			"sent": func(t *rapid.T) {
				w := window.Draw(t, "window")
				_, want := o.reports[w]
				if got := l.Sent(w); got != want {
					t.Fatalf("window %d: sent %t, want %t", w, got, want)
				}
				delete(o.reports, w)
			},
			"restore": func(*rapid.T) { l = Restore(l.State()) },
			"": func(t *rapid.T) {
				got, last := make(map[uint64]map[string]uint64), uint64(0)
				for _, r := range l.Unsent() {
					if r.Window <= last {
						t.Fatalf("window %d after %d", r.Window, last)
					}
					last = r.Window
					got[r.Window] = make(map[string]uint64)
					for _, c := range r.Counts {
						got[r.Window][c.Account] = c.Count
					}
				}
				if d := cmp.Diff(o.reports, got); d != "" {
					t.Fatal(d)
				}
				if n, _ := l.Next(); n != next {
					t.Fatalf("next window %d, want %d", n, next)
				}
			},
		})
	})
}

// Guards against a state group that runs out of memory while the platform is down for hours or hosts have a wrong time of
// day, and against requests that are lost because they came before the leader knew the first configuration with accounts.
func TestLedgerBounds(t *testing.T) {
	l, s := NewLedger(), Source{Host: "a"}
	one := func(window uint64) WindowCounts {
		return WindowCounts{Window: window, Counts: []AccountCount{{"x", 1}}, Revision: 1}
	}
	l.Record(s, one(1))
	l.Record(s, one(995))
	if !l.Start(1000) || l.Start(900) {
		t.Error("the first window must be fixed once")
	}
	if next, _ := l.Next(); next != 995 {
		t.Errorf("first window %d, want the one in which requests were counted", next)
	}
	for i := range uint64(2 * maxOpen) {
		l.Record(s, one(1_000_000-i))
	}
	if !l.Record(s, one(1001)) || len(l.open) > maxOpen {
		t.Errorf("%d windows are open, of a host whose time of day is ahead", len(l.open))
	}
	sealed, dropped := l.Seal(1000)
	if sealed != 6 || dropped != 0 || l.Record(s, WindowCounts{Window: 1000, Revision: 9}) {
		t.Errorf("%d windows sealed, %d dropped", sealed, dropped)
	}
	if sealed, dropped = l.Seal(1004 + MaxUnsent); sealed != MaxUnsent+4 || dropped != 10 || len(l.Unsent()) != MaxUnsent || l.Unsent()[0].Window != 1005 {
		t.Errorf("%d windows sealed, %d dropped, %d unsent", sealed, dropped, len(l.Unsent()))
	}
	c := NewCounter()
	for i := range uint64(3 * MaxHostWindows) {
		c.Add(i, "x")
	}
	if n := len(c.Unsent()); n != MaxHostWindows {
		t.Errorf("a host that is cut off keeps %d windows", n)
	}
	if c.Forget(10 * MaxHostWindows); len(c.Unsent()) > 0 {
		t.Error("windows of long ago are kept")
	}
}

// Guards against a platform that is called more often than half of its limit while a backlog is sent or while it fails.
func TestPacer(t *testing.T) {
	p, start := NewPacer(50, rand.New(rand.NewPCG(1, 2))), time.Unix(0, 0)
	count := func(seconds int, end func(time.Time)) (calls int) {
		for ms := range seconds * 1000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if _, ok := p.Begin(now); ok {
				calls++
				end(now)
			}
		}
		start = start.Add(time.Hour)
		return calls
	}
	if calls := count(10, p.Succeeded); calls < 240 || calls > 250 {
		t.Errorf("%d calls in 10 s", calls)
	}
	if calls := count(60, p.Failed); calls < 30 || calls > 80 {
		t.Errorf("%d calls in a minute to a platform that fails", calls)
	}
	if timeout, _ := p.Begin(start); timeout != minTimeout {
		t.Errorf("after failures that came at once a call may take %s", timeout)
	}
}

func ExampleLedger() {
	c := NewCounter()
	c.Add(7, "hule930")
	c.Add(7, "hule930")
	l := NewLedger()
	l.Start(7)
	for _, w := range c.Unsent() {
		l.Record(Source{Host: "edge-1", Incarnation: 1}, w)
	}
	l.Seal(7)
	fmt.Println(l.Unsent()[0].Counts)
	// Output: [{hule930 2}]
}
