package limits

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"fuchsiaflow/errs"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tenancy = "t"

// use is one accepted reservation as the oracle sees it.
type use struct {
	at     time.Time
	amount Amount
}

// worst returns the largest sum of any window of the uses, which are ordered by time.
func worst(uses []use) Amount {
	var sum, top Amount
	first := 0
	for _, u := range uses {
		for !uses[first].at.After(u.at.Add(-Window)) {
			sum = sum.Sub(uses[first].amount)
			first++
		}
		sum = sum.Add(u.amount)
		top = top.Max(sum)
	}
	return top
}

// message is a demand or a share on its way.
type message struct {
	host   int
	demand *Demand
	share  Share
}

// cluster is a home and hosts joined by a network that delays, repeats, reorders and drops.
type cluster struct {
	now   time.Time
	quota Amount
	home  *Home
	hosts []*Host
	net   []message
	uses  []use
	open  map[string]int // index into uses
	byID  map[string]int // host of the ID
	ids   int
	// refills is a deliberate fault: a restarted host may spend its cut-off share again.
	refills bool
}

func newCluster(hosts int, quota Amount, share float64) *cluster {
	c := &cluster{now: start, quota: quota, open: map[string]int{}, byID: map[string]int{}}
	c.home = NewHome(HomeConfig{Quotas: map[string]Amount{tenancy: quota}, CutOffShare: share, Domains: 1})
	for range hosts {
		c.hosts = append(c.hosts, NewHost(HostConfig{Incarnation: 1,
			CutOff: map[string]Amount{tenancy: CutOffQuota(quota, share, 1, hosts)}}))
	}
	return c
}

func (c *cluster) reserve(host int, tokens int64) (string, error) {
	c.ids++
	id := fmt.Sprint(c.ids)
	err := c.hosts[host].Reserve(c.now, id, tenancy, 1, tokens)
	if err == nil {
		c.open[id], c.byID[id] = len(c.uses), host
		c.uses = append(c.uses, use{c.now, Amount{1, tokens}})
	}
	return id, err
}

func (c *cluster) settle(id string, actual int64) {
	c.hosts[c.byID[id]].Settle(c.now, id, actual)
	c.uses[c.open[id]].amount.Tokens = actual
	delete(c.open, id)
}

func (c *cluster) demands(host int) {
	for _, d := range c.hosts[host].Demands(c.now) {
		c.net = append(c.net, message{host: host, demand: &d})
	}
}

func (c *cluster) deliver(t *rapid.T, m message) {
	if m.demand == nil {
		c.hosts[m.host].Grant(c.now, m.share)
		return
	}
	s, err := c.home.Lease(c.now, fmt.Sprint("host", m.host), *m.demand)
	if err != nil {
		t.Fatal(err)
	}
	c.net = append(c.net, message{host: m.host, share: s})
}

func (c *cluster) actions(t *rapid.T) map[string]func(*rapid.T) {
	host := rapid.IntRange(0, len(c.hosts)-1)
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if top := worst(c.uses); !c.quota.Covers(top) {
				t.Fatalf("a window holds %+v, quota %+v", top, c.quota)
			}
		},
		"reserve": func(t *rapid.T) {
			h := host.Draw(t, "host")
			for range rapid.IntRange(1, 5).Draw(t, "n") {
				_, _ = c.reserve(h, rapid.Int64Range(1, 60).Draw(t, "tokens"))
			}
		},
		"settle": func(t *rapid.T) {
			if len(c.open) == 0 {
				t.Skip()
			}
			id := rapid.SampledFrom(slices.Sorted(maps.Keys(c.open))).Draw(t, "id")
			c.settle(id, rapid.Int64Range(0, c.uses[c.open[id]].amount.Tokens).Draw(t, "actual"))
		},
		"demand": func(t *rapid.T) { c.demands(host.Draw(t, "host")) },
		"deliver": func(t *rapid.T) {
			if len(c.net) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(c.net)-1).Draw(t, "message")
			m := c.net[i]
			if !rapid.Bool().Draw(t, "repeat") {
				c.net = append(c.net[:i], c.net[i+1:]...)
			}
			c.deliver(t, m)
		},
		"drop": func(t *rapid.T) {
			if len(c.net) > 0 {
				c.net = c.net[1:]
			}
		},
		"restart": func(t *rapid.T) {
			h := host.Draw(t, "host")
			cfg := c.hosts[h].cfg
			cfg.Incarnation++
			if !c.refills {
				cfg.CutOff = nil // a restarted host may have spent its cut-off share already
			}
			c.hosts[h] = NewHost(cfg)
			for id, owner := range c.byID {
				if owner == h {
					delete(c.open, id)
				}
			}
		},
		"wait": func(t *rapid.T) {
			c.now = c.now.Add(time.Duration(rapid.Int64Range(1, 20000).Draw(t, "ms")) * time.Millisecond)
		},
		"snapshot": func(t *rapid.T) {
			data, err := c.home.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			next := NewHome(c.home.cfg)
			if err := next.Restore(data); err != nil {
				t.Fatal(err)
			}
			again, _ := next.Snapshot()
			if diff := cmp.Diff(data, again); diff != "" {
				t.Fatal(diff)
			}
			c.home = next
		},
	}
}

// Guards against reservations beyond the quota in any window, under any loss, delay and
// repetition of messages, restarts and refunds.
func TestQuotaHoldsInEveryWindow(t *testing.T) { rapid.Check(t, quotaHolds(false)) }

func quotaHolds(refills bool) func(*rapid.T) {
	return func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 3).Draw(t, "hosts"), Amount{20, 500}, 0.2)
		c.refills = refills
		t.Repeat(c.actions(t))
	}
}

// recorder takes the failure of a check that is expected to fail.
type recorder struct {
	rapid.TB
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Failed() bool          { return false } // keeps rapid from ending the test
func (r *recorder) Log(...any)            {}
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Fatalf(string, ...any) {}

// Guards against a check that cannot fail: a cut-off share that is spent twice must be found.
func TestQuotaFaultIsFound(t *testing.T) {
	if err := flag.Set("rapid.shrinktime", "1ms"); err != nil { // the smallest case is of no interest here
		t.Fatal(err)
	}
	r := &recorder{TB: t}
	if rapid.Check(r, quotaHolds(true)); !r.failed {
		t.Error("a refilled cut-off share was not found")
	}
}

// Guards against a repeated reservation or settlement that counts twice.
func TestReserveAndSettleAreIdempotent(t *testing.T) {
	h := NewHost(HostConfig{CutOff: map[string]Amount{tenancy: {2, 100}}})
	for range 3 {
		if err := h.Reserve(start, "a", tenancy, 1, 60); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		h.Settle(start, "a", 10)
	}
	err := h.Reserve(start, "b", tenancy, 1, 91)
	var e *Exceeded
	if !errors.As(err, &e) || e.Remaining != (Amount{1, 90}) || errs.OutcomeOf(err) != errs.NotRun {
		t.Fatalf("got %v, want 1 request and 90 tokens remaining", err)
	}
	if err := h.Reserve(start, "c", tenancy, 1, 90); err != nil {
		t.Fatalf("a refused reservation took requests: %v", err)
	}
}

// Guards against a cut-off host that spends its lease after its end, and against one that
// cannot spend its reserved share.
func TestCutOffHostSpendsOnlyItsShare(t *testing.T) {
	c := newCluster(1, Amount{100, 1000}, 0.1)
	_, _ = c.reserve(0, 500)
	grant(c, 0)
	if _, err := c.reserve(0, 500); err != nil {
		t.Fatal(err)
	}
	c.now = c.now.Add(defaultLeaseTTL)
	if _, err := c.reserve(0, 101); err == nil {
		t.Error("spent more than the cut-off share after the end of the lease")
	}
	if _, err := c.reserve(0, 100); err != nil {
		t.Errorf("cut-off share refused: %v", err)
	}
}

func grant(c *cluster, host int) {
	for _, d := range c.hosts[host].Demands(c.now) {
		s, _ := c.home.Lease(c.now, fmt.Sprint("host", host), d)
		c.hosts[host].Grant(c.now, s)
	}
}

// pressure runs hosts that each ask for as much as twice the whole quota for three minutes,
// and returns the accepted tokens of the worst window and of the last minute.
func pressure(hosts int, reserve func(h int, now time.Time, id string, tokens int64) bool, tick func(now time.Time)) (uses []use) {
	random := rand.New(rand.NewPCG(7, 7))
	for step := range 1800 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		tick(now)
		for i := range max(20, hosts/2) {
			tokens := int64(50 + random.ExpFloat64()*400)
			if reserve(random.IntN(hosts), now, fmt.Sprint(step, "/", i), tokens) {
				uses = append(uses, use{now, Amount{1, tokens}})
			}
		}
	}
	return uses
}

var benchQuota = Amount{Requests: 6000, Tokens: 1_000_000}

func leased(hosts int) []use {
	c := newCluster(hosts, benchQuota, 0)
	return pressure(hosts, func(h int, now time.Time, id string, tokens int64) bool {
		return c.hosts[h].Reserve(now, id, tenancy, 1, tokens) == nil
	}, func(now time.Time) {
		c.now = now
		for h := range c.hosts {
			grant(c, h)
		}
	})
}

// independent gives every host a counter of its own with the whole quota.
func independent(hosts int) []use {
	windows := make([]slidingWindow, hosts)
	return pressure(hosts, func(h int, now time.Time, _ string, tokens int64) bool {
		a := Amount{1, tokens}
		windows[h].expire(now)
		if !benchQuota.Sub(windows[h].Sum).Covers(a) {
			return false
		}
		windows[h].add(now, a)
		return true
	}, func(time.Time) {})
}

func lastMinute(uses []use) (sum Amount) {
	for _, u := range uses {
		if u.at.After(start.Add(2 * time.Minute)) {
			sum = sum.Add(u.amount)
		}
	}
	return sum
}

// BenchmarkOvershoot reports by how many percent the worst window exceeds the token quota, and
// how much of the quota is used in the last of three minutes.
func BenchmarkOvershoot(b *testing.B) {
	for _, hosts := range []int{1, 6, 20, 410} {
		for _, kind := range []string{"leased", "independent"} {
			b.Run(fmt.Sprintf("%s/hosts=%d", kind, hosts), func(b *testing.B) {
				var uses []use
				for b.Loop() {
					if kind == "leased" {
						uses = leased(hosts)
					} else {
						uses = independent(hosts)
					}
				}
				b.ReportMetric(100*(float64(worst(uses).Tokens)/float64(benchQuota.Tokens)-1), "overshoot_%")
				b.ReportMetric(100*float64(lastMinute(uses).Tokens)/float64(benchQuota.Tokens), "used_%")
			})
		}
	}
}

// BenchmarkReserve compares the cost of a reservation and settlement with a local counter.
func BenchmarkReserve(b *testing.B) {
	ids := make([]string, 1<<17)
	for i := range ids {
		ids[i] = fmt.Sprint("request-", i)
	}
	b.Run("leased", func(b *testing.B) {
		h := NewHost(HostConfig{})
		a := h.account(tenancy)
		a.held, a.expires = Amount{1 << 60, 1 << 60}, start.Add(time.Hour)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			id := ids[i%len(ids)]
			_ = h.Reserve(start, id, tenancy, 1, 100)
			h.Settle(start, id, 90)
		}
	})
	b.Run("independent", func(b *testing.B) {
		var w slidingWindow
		b.ReportAllocs()
		for b.Loop() {
			w.add(start, Amount{1, 100})
			w.refund(start, Amount{0, 10})
		}
	})
}
