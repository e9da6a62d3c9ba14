package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/usage"
)

const usageWindow = 5 * time.Second

// usageGroup is a state group that hosts send counts to. It is used in a bubble of synctest.
type usageGroup struct {
	mu       sync.Mutex
	state    *storestate.State
	messages int
	down     bool
}

func newUsageGroup() *usageGroup {
	g := &usageGroup{state: storestate.New()}
	g.apply(&storestate.Command{StartUsage: &storestate.UsageWindow{Window: usage.WindowAt(time.Now(), usageWindow)}})
	return g
}

func (g *usageGroup) apply(c *storestate.Command) {
	g.state.Apply(g.state.Index()+1, storestate.EncodeCommand(c))
}

func (g *usageGroup) send(_ context.Context, r storestate.RecordUsage) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return &errs.Unavailable{Resource: "state group"}
	}
	g.messages++
	g.apply(&storestate.Command{RecordUsage: &r})
	return nil
}

func (g *usageGroup) messageCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.messages
}

func (g *usageGroup) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
}

// reports seals all windows that ended 6 s ago and returns the counts by window and account.
func (g *usageGroup) reports() map[uint64]map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, _ := usage.Sealable(time.Now(), usageWindow, 10*time.Second)
	g.apply(&storestate.Command{SealUsage: &storestate.UsageWindow{Window: last}})
	reports := make(map[uint64]map[string]uint64)
	for _, r := range g.state.Usage().Unsent() {
		reports[r.Window] = make(map[string]uint64)
		for _, c := range r.Counts {
			reports[r.Window][c.Account] = c.Count
		}
	}
	return reports
}

// startUsage starts the counter of a host whose time of day is wrong by clockError, and returns it with its kernel.
func startUsage(t *testing.T, g *usageGroup, host string, clockError func() time.Duration) (*usageService, *kernel.Kernel) {
	t.Helper()
	read := func() usage.Reading {
		return usage.Reading{Wall: time.Now().Round(0).Add(clockError()), Steady: time.Now().Round(0)}
	}
	u, k := newUsageService(host, usageWindow, g.send, read, slog.New(slog.DiscardHandler)), kernel.New(slog.New(slog.DiscardHandler))
	if err := k.Register("usage", u); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return u, k
}

func exact() time.Duration { return 0 }

// Guards against counts that do not reach the state group before their window is sealed, and against a message for each
// request: 74 hosts, 72 accounts with skew 1.2, 1,500 requests a second.
func TestUsageUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, duration, requestsPerSecond = 74, 60 * time.Second, 1500
		time.Sleep(usageWindow - time.Duration(time.Now().UnixNano())%usageWindow)
		g, rng := newUsageGroup(), rand.New(rand.NewPCG(1, 2))
		accounts := rand.NewZipf(rng, 1.2, 1, 71)
		var services []*usageService
		var kernels []*kernel.Kernel
		for i := range hosts {
			u, k := startUsage(t, g, fmt.Sprint("edge-", i), exact)
			services, kernels = append(services, u), append(kernels, k)
		}
		want := make(map[uint64]map[string]uint64)
		for range int(duration/time.Second) * requestsPerSecond {
			account, u := fmt.Sprint("account-", accounts.Uint64()), services[rng.IntN(hosts)]
			u.Add(u.Window(), account)
			w := usage.WindowAt(time.Now(), usageWindow)
			if want[w] == nil {
				want[w] = make(map[string]uint64)
			}
			want[w][account]++
			time.Sleep(time.Second / requestsPerSecond)
		}
		last := usage.WindowAt(time.Now(), usageWindow)
		time.Sleep(6 * time.Second)
		got := g.reports()
		delete(want, last)
		delete(got, last)
		if d := cmp.Diff(want, got); d != "" {
			t.Error(d)
		}
		if limit := hosts * int((duration+6*time.Second)/usageInterval+1); g.messageCount() > limit {
			t.Errorf("%d messages, want at most %d", g.messageCount(), limit)
		}
		for _, k := range kernels {
			_ = k.Stop(t.Context())
		}
	})
}

// Guards against a host that, killed in mid-window, takes more with it than the counts of its last 2 s, or whose restart
// replaces what it had counted before.
func TestUsageOfAKilledHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newUsageGroup()
		begin := usage.WindowAt(time.Now(), usageWindow)
		u, killed := startUsage(t, g, "edge", exact)
		for range 40 {
			u.Add(u.Window(), "a")
			time.Sleep(100 * time.Millisecond)
		}
		g.setDown(true) // no message of the process arrives from now on
		if err := killed.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		g.setDown(false)
		u, restarted := startUsage(t, g, "edge", exact)
		for range 5 {
			u.Add(begin, "b")
		}
		if err := restarted.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if got := g.reports()[begin]; got["a"] < 20 || got["b"] != 5 {
			t.Errorf("reported %v; 20 requests of a came 2 s before the kill, and 5 of b after the restart", got)
		}
	})
}

// Guards against requests in a wrong window while the time of day steps across the end of a window and back, against counts
// that are lost in an outage of the state group, and against messages without news.
func TestUsageWithStepsAndOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(usageWindow - time.Duration(time.Now().UnixNano())%usageWindow)
		g, begin := newUsageGroup(), time.Now()
		ahead := func() time.Duration {
			switch since := time.Since(begin); {
			case since > 4*time.Second && since < 11*time.Second:
				return 7 * time.Second
			case since > 13*time.Second && since < 22*time.Second:
				return -6 * time.Second
			}
			return 0
		}
		u, k := startUsage(t, g, "edge", ahead)
		for second := range 20 {
			g.setDown(second > 6 && second < 10)
			u.Add(u.Window(), "a")
			u.Add(u.Window(), "b")
			u.Remove(u.Window(), "b")
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		messages := g.messageCount()
		time.Sleep(5 * time.Second)
		if n := g.messageCount() - messages; n > 0 {
			t.Errorf("%d messages without news", n)
		}
		first := usage.WindowAt(begin, usageWindow)
		want := make(map[uint64]map[string]uint64)
		for w := first; w < first+4; w++ {
			want[w] = map[string]uint64{"a": 5}
		}
		if d := cmp.Diff(want, g.reports()); d != "" {
			t.Error(d)
		}
		if err := k.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
	})
}
