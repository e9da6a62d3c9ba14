package limits

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/faultcheck"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tenancy = "t"

// TestMain fixes the seed of the state machines, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "100", "rapid.checks": "500"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fault is a deliberate defect that the window check must find.
type fault int

const (
	noFault         fault = iota
	forgetWindow          // the home forgets what was spent
	reclaimEarly          // the home takes leases back before their end
	grantWholeQuota       // the home leaves nothing for cut-off domains
	applyOldShares        // a host applies answers to older demands
	forgetIDs             // a host settles a request again and again
	refillCutOff          // a restarted host spends its cut-off share again
)

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
	home  *Allocator
	hosts []*Limiter
	net   []message
	uses  []use
	open  map[string]int // index into uses
	byID  map[string]int // host of the ID
	ids   int
	f     fault
}

func newCluster(hosts int, quota Amount, share float64) *cluster {
	c := &cluster{now: start, quota: quota, open: map[string]int{}, byID: map[string]int{}}
	c.home = NewAllocator(AllocatorConfig{Quotas: map[string]Amount{tenancy: quota}, CutOffShare: share, Domains: 1})
	for range hosts {
		c.hosts = append(c.hosts, NewLimiter(LimiterConfig{Incarnation: 1,
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
		c.hosts[m.host].ApplyShare(c.now, m.share)
		return
	}
	if a := c.home.accounts[tenancy]; a != nil {
		switch c.f {
		case forgetWindow:
			a.Window = slidingWindow{}
		case reclaimEarly:
			a.Leases = nil
		}
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
		"reserve": func(t *rapid.T) {
			h := host.Draw(t, "host")
			for range rapid.IntRange(1, 8).Draw(t, "n") {
				_, _ = c.reserve(h, rapid.Int64Range(1, 40).Draw(t, "tokens"))
			}
			if top := worst(c.uses); !c.quota.Covers(top) {
				t.Fatalf("a window holds %+v, quota %+v", top, c.quota)
			}
		},
		"exchange": func(t *rapid.T) { // a demand and its answer without delay
			h := host.Draw(t, "host")
			first := len(c.net)
			c.demands(h)
			for len(c.net) > first {
				m := c.net[first]
				c.net = slices.Delete(c.net, first, first+1)
				c.deliver(t, m)
			}
		},
		"settle": func(t *rapid.T) {
			ids := slices.Sorted(maps.Keys(c.open))
			if len(ids) == 0 {
				t.Skip()
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			actual := rapid.Int64Range(0, c.uses[c.open[id]].amount.Tokens).Draw(t, "actual")
			c.settle(id, actual)
			c.hosts[c.byID[id]].Settle(c.now, id, actual) // a repeated settlement changes nothing
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
			// The former process may have spent the cut-off share a moment ago.
			cfg.CutOffNotBefore = c.now.Add(Window)
			if c.f == refillCutOff {
				cfg.CutOffNotBefore = time.Time{}
			}
			c.hosts[h] = NewLimiter(cfg)
			for id, owner := range c.byID {
				if owner == h {
					delete(c.open, id)
				}
			}
		},
		"wait": func(t *rapid.T) {
			top := rapid.SampledFrom([]int64{100, 1000, 5000, 20000}).Draw(t, "at most")
			c.now = c.now.Add(time.Duration(rapid.Int64Range(1, top).Draw(t, "ms")) * time.Millisecond)
		},
		"snapshot": func(t *rapid.T) {
			data, err := c.home.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			next := NewAllocator(c.home.cfg)
			if err := next.Restore(data); err != nil {
				t.Fatal(err)
			}
			again, _ := next.Snapshot()
			if !bytes.Equal(data, again) {
				t.Fatal("a restored state has another snapshot")
			}
			c.home = next
		},
	}
}

// Guards against reservations beyond the quota in any window, under any loss, delay and
// repetition of messages, restarts and refunds.
func TestQuotaHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 3).Draw(t, "hosts"), Amount{60, 200},
			rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "cut-off share"))
		t.Repeat(c.actions(t))
	})
}

// catches reports whether the state machine finds a fault.
func catches(t *testing.T, f fault) bool {
	return faultcheck.Failure(t, func(t *rapid.T) {
		c := newCluster(2, Amount{60, 200}, 0.2)
		c.f = f
		t.Repeat(c.actions(t))
	}) != ""
}

// Guards against a state machine that cannot fail: each deliberate fault must be found.
func TestDeliberateFaultsAreFound(t *testing.T) {
	for _, f := range []fault{forgetWindow, reclaimEarly, refillCutOff} {
		if !catches(t, f) {
			t.Errorf("fault %d was not found", f)
		}
	}
}

// spend reserves amounts of 20 tokens until the host refuses, asking for more five times.
func (c *cluster) spend() {
	for range 5 {
		for err := error(nil); err == nil; {
			_, err = c.reserve(0, 20)
		}
		c.now = c.now.Add(200 * time.Millisecond)
		grant(c, 0)
	}
}

// demand sends the host's next demand to the home and returns the answer.
func (c *cluster) demand(t *testing.T) Share {
	d := c.hosts[0].Demands(c.now)
	if len(d) != 1 {
		t.Fatal("no demand is due")
	}
	s, err := c.home.Lease(c.now, "host0", d[0])
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// exceeds replays the case that a fault harms and reports whether a window exceeds the quota.
func exceeds(t *testing.T, scenario, f fault) bool {
	c := newCluster(1, Amount{60, 200}, 0)
	switch scenario {
	case grantWholeQuota: // the lease is spent, then the cut-off share
		c = newCluster(1, Amount{60, 200}, 0.2)
		if f == grantWholeQuota {
			c.home.cfg.CutOffShare = 0
		}
		c.spend()
		c.now = c.now.Add(defaultLeaseTTL + time.Second)
		for err := error(nil); err == nil; {
			_, err = c.reserve(0, 20)
		}
	case applyOldShares: // an answer arrives after the next demand was sent
		_, _ = c.reserve(0, 200)
		old := c.demand(t)
		c.now = c.now.Add(200 * time.Millisecond)
		_, _ = c.reserve(0, 200)
		grant(c, 0)
		_, _ = c.reserve(0, 200)
		c.now = c.now.Add(defaultDemandInterval)
		c.demand(t)
		if f == applyOldShares {
			old.Seq = c.hosts[0].account(tenancy).seq
		}
		c.hosts[0].ApplyShare(c.now, old)
		_, _ = c.reserve(0, 200)
	case forgetIDs: // a settlement is repeated
		c.spend()
		id := slices.Sorted(maps.Keys(c.open))[0]
		c.settle(id, 0)
		for range 3 {
			if f == forgetIDs {
				r := c.hosts[0].ids[id]
				r.settled = false
				c.hosts[0].ids[id] = r
			}
			c.hosts[0].Settle(c.now, id, 0)
		}
		c.now = c.now.Add(defaultDemandInterval)
		grant(c, 0)
		c.spend()
	}
	if len(c.uses) == 0 {
		t.Fatal("nothing was reserved")
	}
	return !c.quota.Covers(worst(c.uses))
}

// Guards against a window check that misses a reserved share granted to others, a late answer
// that is applied, or a refund that is repeated.
func TestFaultsOfSingleMessagesAreFound(t *testing.T) {
	for _, f := range []fault{grantWholeQuota, applyOldShares, forgetIDs} {
		if exceeds(t, f, noFault) {
			t.Errorf("case %d exceeds the quota without a fault", f)
		}
		if !exceeds(t, f, f) {
			t.Errorf("fault %d was not found", f)
		}
	}
}

// Guards against a repeated reservation or settlement that counts twice.
func TestReserveAndSettleAreIdempotent(t *testing.T) {
	h := NewLimiter(LimiterConfig{CutOff: map[string]Amount{tenancy: {2, 100}}})
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
		c.hosts[host].ApplyShare(c.now, s)
	}
}

// pressure runs hosts that each ask for 1.2 times the whole quota for three minutes, and
// returns the accepted reservations.
func pressure(hosts int, reserve func(h int, now time.Time, id string, tokens int64) bool, tick func(now time.Time)) (uses []use) {
	random := rand.New(rand.NewPCG(7, 7))
	for step := range 1800 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		tick(now)
		for i := range (9*hosts*(step+1))/2 - (9*hosts*step)/2 {
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
		h := NewLimiter(LimiterConfig{})
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
