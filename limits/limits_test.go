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

// TestMain sets a fixed seed for the state machine tests, so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.steps": "100", "rapid.checks": "500"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fault is an injected defect that the quota check must detect.
type fault int

const (
	noFault         fault = iota
	forgetWindow          // the home domain forgets what was spent
	reclaimEarly          // the home domain reclaims leases before they expire
	grantWholeQuota       // the home domain reserves nothing for the cut-off shares
	applyOldShares        // a host applies answers to older demands
	forgetIDs             // a host settles a request more than once
	refillCutOff          // a restarted host spends its cut-off share again
)

// acceptedReservation is an accepted reservation as recorded by the oracle.
type acceptedReservation struct {
	at     time.Time
	amount Amount
}

// maxWindowSum returns the largest sum of the reservations in any Window.
func maxWindowSum(reservations []acceptedReservation) Amount { return maxSumIn(Window, reservations) }

// maxSumIn returns the largest sum of the reservations in any window of a length. They must be sorted by time.
func maxSumIn(window time.Duration, reservations []acceptedReservation) Amount {
	var sum, largest Amount
	first := 0
	for _, r := range reservations {
		for !reservations[first].at.After(r.at.Add(-window)) {
			sum = sum.Sub(reservations[first].amount)
			first++
		}
		sum = sum.Add(r.amount)
		largest = largest.Max(sum)
	}
	return largest
}

// networkMessage is a demand or a share in transit. A nil demand marks a share.
type networkMessage struct {
	host   int
	demand *Demand
	share  Share
}

// cluster simulates a home domain and hosts on a network that delays, duplicates, reorders and
// drops messages.
type cluster struct {
	now       time.Time
	quota     Amount
	window    time.Duration
	home      *Allocator
	hosts     []*Limiter
	inFlight  []networkMessage
	accepted  []acceptedReservation
	unsettled map[string]int // index into accepted, by request ID
	hostOfID  map[string]int // index of the host that accepted the request ID
	lastID    int
	fault     fault
}

func newCluster(hosts int, quota Amount, cutOffShare float64) *cluster {
	c := &cluster{now: start, quota: quota, window: Window, unsettled: map[string]int{}, hostOfID: map[string]int{}}
	c.home = NewAllocator(AllocatorConfig{Quotas: map[string]Amount{tenancy: quota}, CutOffShare: cutOffShare, Domains: 1})
	for range hosts {
		c.hosts = append(c.hosts, NewLimiter(LimiterConfig{Incarnation: 1,
			CutOff: map[string]Amount{tenancy: CutOffQuota(quota, cutOffShare, 1, hosts)}}))
	}
	return c
}

func (c *cluster) reserve(host int, tokens int64) (string, error) {
	c.lastID++
	id := fmt.Sprint(c.lastID)
	err := c.hosts[host].Reserve(c.now, id, tenancy, 1, tokens)
	if err == nil {
		c.unsettled[id], c.hostOfID[id] = len(c.accepted), host
		c.accepted = append(c.accepted, acceptedReservation{c.now, Amount{1, tokens}})
	}
	return id, err
}

func (c *cluster) settle(id string, actual int64) {
	c.hosts[c.hostOfID[id]].Settle(c.now, id, actual)
	c.accepted[c.unsettled[id]].amount.Tokens = actual
	delete(c.unsettled, id)
}

func (c *cluster) sendDemands(host int) {
	for _, d := range c.hosts[host].Demands(c.now) {
		c.inFlight = append(c.inFlight, networkMessage{host: host, demand: &d})
	}
}

func (c *cluster) deliver(t *rapid.T, m networkMessage) {
	if m.demand == nil {
		c.hosts[m.host].ApplyShare(c.now, m.share)
		return
	}
	if a := c.home.quotas[tenancy]; a != nil {
		switch c.fault {
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
	c.inFlight = append(c.inFlight, networkMessage{host: m.host, share: s})
}

func (c *cluster) actions(t *rapid.T) map[string]func(*rapid.T) {
	host := rapid.IntRange(0, len(c.hosts)-1)
	return map[string]func(*rapid.T){
		"reserve": func(t *rapid.T) {
			h := host.Draw(t, "host")
			for range rapid.IntRange(1, 8).Draw(t, "n") {
				_, _ = c.reserve(h, rapid.Int64Range(1, 40).Draw(t, "tokens"))
			}
			if largest := maxSumIn(c.window, c.accepted); !c.quota.Covers(largest) {
				t.Fatalf("reservations of %+v in one window exceed the quota of %+v", largest, c.quota)
			}
		},
		"exchange": func(t *rapid.T) { // delivers a demand and its answer at once
			h := host.Draw(t, "host")
			first := len(c.inFlight)
			c.sendDemands(h)
			for len(c.inFlight) > first {
				m := c.inFlight[first]
				c.inFlight = slices.Delete(c.inFlight, first, first+1)
				c.deliver(t, m)
			}
		},
		"settle": func(t *rapid.T) {
			ids := slices.Sorted(maps.Keys(c.unsettled))
			if len(ids) == 0 {
				t.Skip()
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			actual := rapid.Int64Range(0, c.accepted[c.unsettled[id]].amount.Tokens).Draw(t, "actual")
			c.settle(id, actual)
			c.hosts[c.hostOfID[id]].Settle(c.now, id, actual) // a repeated settlement must change nothing
		},
		"demand": func(t *rapid.T) { c.sendDemands(host.Draw(t, "host")) },
		"deliver": func(t *rapid.T) {
			if len(c.inFlight) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")
			m := c.inFlight[i]
			if !rapid.Bool().Draw(t, "repeat") {
				c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			}
			c.deliver(t, m)
		},
		"drop": func(t *rapid.T) {
			if len(c.inFlight) > 0 {
				c.inFlight = c.inFlight[1:]
			}
		},
		"restart": func(t *rapid.T) {
			h := host.Draw(t, "host")
			cfg := c.hosts[h].cfg
			cfg.Incarnation++
			// The previous process may have spent the cut-off share just before.
			cfg.CutOffNotBefore = c.now.Add(c.window)
			if c.fault == refillCutOff {
				cfg.CutOffNotBefore = time.Time{}
			}
			c.hosts[h] = NewLimiter(cfg)
			for id, owner := range c.hostOfID {
				if owner == h {
					delete(c.unsettled, id)
				}
			}
		},
		"wait": func(t *rapid.T) {
			limit := rapid.SampledFrom([]int64{100, 1000, 5000, 20000}).Draw(t, "at most")
			c.now = c.now.Add(time.Duration(rapid.Int64Range(1, limit).Draw(t, "ms")) * time.Millisecond)
		},
		"snapshot": func(t *rapid.T) {
			data, err := c.home.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			restored := NewAllocator(c.home.cfg)
			if err := restored.Restore(data); err != nil {
				t.Fatal(err)
			}
			again, _ := restored.Snapshot()
			if !bytes.Equal(data, again) {
				t.Fatal("the snapshot of the restored state differs")
			}
			c.home = restored
		},
	}
}

// Guards against reservations beyond the quota in any window when messages are lost, delayed or
// duplicated, hosts restart and tokens are refunded.
func TestQuotaHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 3).Draw(t, "hosts"), Amount{60, 200},
			rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "cut-off share"))
		t.Repeat(c.actions(t))
	})
}

// Guards against reservations beyond a quota whose window is shorter than a minute, and with demands only for what was
// refused.
func TestQuotaOfSecondsHoldsInEveryWindow(t *testing.T) {
	const window = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 3).Draw(t, "hosts"), Amount{4, 200}, 0)
		c.home = NewAllocator(AllocatorConfig{Quotas: map[string]Amount{tenancy: c.quota}, Domains: 1, Window: window, LeaseTTL: 200 * time.Millisecond,
			DriftMargin: time.Millisecond})
		for i := range c.hosts {
			c.hosts[i] = NewLimiter(LimiterConfig{Incarnation: 1, OnDemand: true, MinRetryAfter: time.Millisecond})
		}
		c.window = window
		t.Repeat(c.actions(t))
	})
}

// findsFault reports whether the state machine test detects a fault.
func findsFault(t *testing.T, f fault) bool {
	return faultcheck.FailureMessage(t, func(t *rapid.T) {
		c := newCluster(2, Amount{60, 200}, 0.2)
		c.fault = f
		t.Repeat(c.actions(t))
	}) != ""
}

// Guards against a state machine test that cannot fail: it must detect each injected fault.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for _, f := range []fault{forgetWindow, reclaimEarly, refillCutOff} {
		if !findsFault(t, f) {
			t.Errorf("fault %d was not detected", f)
		}
	}
}

// reserveUntilRefused reserves 20 tokens at a time until the host refuses, then renews the
// lease, five times in all.
func (c *cluster) reserveUntilRefused() {
	for range 5 {
		for err := error(nil); err == nil; {
			_, err = c.reserve(0, 20)
		}
		c.now = c.now.Add(200 * time.Millisecond)
		renewLease(c, 0)
	}
}

// exchangeDemand processes the first host's next demand at the home domain and returns the answer,
// which is not applied.
func (c *cluster) exchangeDemand(t *testing.T) Share {
	d := c.hosts[0].Demands(c.now)
	if len(d) != 1 {
		t.Fatal("expected one demand to be due")
	}
	s, err := c.home.Lease(c.now, "host0", d[0])
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// exceedsQuota runs the scenario that is written for one fault, with injected as the fault, and
// reports whether a window exceeds the quota.
func exceedsQuota(t *testing.T, scenario, injected fault) bool {
	c := newCluster(1, Amount{60, 200}, 0)
	switch scenario {
	case grantWholeQuota: // the host spends its lease, then its cut-off share
		c = newCluster(1, Amount{60, 200}, 0.2)
		if injected == grantWholeQuota {
			c.home.cfg.CutOffShare = 0
		}
		c.reserveUntilRefused()
		c.now = c.now.Add(defaultLeaseTTL + time.Second)
		for err := error(nil); err == nil; {
			_, err = c.reserve(0, 20)
		}
	case applyOldShares: // an answer arrives after the next demand was sent
		_, _ = c.reserve(0, 200)
		old := c.exchangeDemand(t)
		c.now = c.now.Add(200 * time.Millisecond)
		_, _ = c.reserve(0, 200)
		renewLease(c, 0)
		_, _ = c.reserve(0, 200)
		c.now = c.now.Add(defaultDemandInterval)
		c.exchangeDemand(t)
		if injected == applyOldShares {
			old.Seq = c.hosts[0].quotaState(tenancy).seq
		}
		c.hosts[0].ApplyShare(c.now, old)
		_, _ = c.reserve(0, 200)
	case forgetIDs: // a settlement is repeated
		c.reserveUntilRefused()
		id := slices.Sorted(maps.Keys(c.unsettled))[0]
		c.settle(id, 0)
		for range 3 {
			if injected == forgetIDs {
				r := c.hosts[0].reservations[id]
				r.settled = false
				c.hosts[0].reservations[id] = r
			}
			c.hosts[0].Settle(c.now, id, 0)
		}
		c.now = c.now.Add(defaultDemandInterval)
		renewLease(c, 0)
		c.reserveUntilRefused()
	}
	if len(c.accepted) == 0 {
		t.Fatal("nothing was reserved")
	}
	return !c.quota.Covers(maxWindowSum(c.accepted))
}

// Guards against a quota check that misses a cut-off share granted to other hosts, a late answer
// that is applied, or a refund that is counted twice.
func TestFaultsInKnownScenariosAreDetected(t *testing.T) {
	for _, f := range []fault{grantWholeQuota, applyOldShares, forgetIDs} {
		if exceedsQuota(t, f, noFault) {
			t.Errorf("scenario %d exceeds the quota without a fault", f)
		}
		if !exceedsQuota(t, f, f) {
			t.Errorf("fault %d was not detected", f)
		}
	}
}

// Guards against a repeated reservation or settlement that is charged twice.
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
	var exceeded *Exceeded
	if !errors.As(err, &exceeded) || exceeded.Remaining != (Amount{1, 90}) || errs.OutcomeOf(err) != errs.NotRun {
		t.Fatalf("got %v, want 1 request and 90 tokens remaining", err)
	}
	if err := h.Reserve(start, "c", tenancy, 1, 90); err != nil {
		t.Fatalf("a refused reservation was charged: %v", err)
	}
}

// Guards against a disconnected host that spends its lease after the lease has expired, and
// against one that cannot spend its cut-off share.
func TestHostWithoutLeaseSpendsOnlyCutOffShare(t *testing.T) {
	c := newCluster(1, Amount{100, 1000}, 0.1)
	_, _ = c.reserve(0, 500)
	renewLease(c, 0)
	if _, err := c.reserve(0, 500); err != nil {
		t.Fatal(err)
	}
	c.now = c.now.Add(defaultLeaseTTL)
	if _, err := c.reserve(0, 101); err == nil {
		t.Error("spent more than the cut-off share after the lease expired")
	}
	if _, err := c.reserve(0, 100); err != nil {
		t.Errorf("reservation within the cut-off share was refused: %v", err)
	}
}

// renewLease delivers the due demands of a host and their answers without delay.
func renewLease(c *cluster, host int) {
	for _, d := range c.hosts[host].Demands(c.now) {
		s, _ := c.home.Lease(c.now, fmt.Sprint("host", host), d)
		c.hosts[host].ApplyShare(c.now, s)
	}
}

// simulateOverload runs hosts for three minutes, with a load of 1.2 times the quota per host, and
// returns the accepted reservations.
func simulateOverload(hosts int, reserve func(h int, now time.Time, id string, tokens int64) bool, tick func(now time.Time)) (accepted []acceptedReservation) {
	random := rand.New(rand.NewPCG(7, 7))
	for step := range 1800 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		tick(now)
		for i := range (9*hosts*(step+1))/2 - (9*hosts*step)/2 {
			tokens := int64(50 + random.ExpFloat64()*400)
			if reserve(random.IntN(hosts), now, fmt.Sprint(step, "/", i), tokens) {
				accepted = append(accepted, acceptedReservation{now, Amount{1, tokens}})
			}
		}
	}
	return accepted
}

var benchQuota = Amount{Requests: 6000, Tokens: 1_000_000}

// simulateLeases has the hosts share the quota through leases.
func simulateLeases(hosts int) []acceptedReservation {
	c := newCluster(hosts, benchQuota, 0)
	return simulateOverload(hosts, func(h int, now time.Time, id string, tokens int64) bool {
		return c.hosts[h].Reserve(now, id, tenancy, 1, tokens) == nil
	}, func(now time.Time) {
		c.now = now
		for h := range c.hosts {
			renewLease(c, h)
		}
	})
}

// simulateIndependentCounters gives each host its own counter with the whole quota.
func simulateIndependentCounters(hosts int) []acceptedReservation {
	windows := make([]slidingWindow, hosts)
	return simulateOverload(hosts, func(h int, now time.Time, _ string, tokens int64) bool {
		a := Amount{1, tokens}
		windows[h].expire(now)
		if !benchQuota.Sub(windows[h].Sum).Covers(a) {
			return false
		}
		windows[h].add(now, a)
		return true
	}, func(time.Time) {})
}

func sumOfLastMinute(reservations []acceptedReservation) (sum Amount) {
	for _, r := range reservations {
		if r.at.After(start.Add(2 * time.Minute)) {
			sum = sum.Add(r.amount)
		}
	}
	return sum
}

// BenchmarkOvershoot reports by how many percent the largest window exceeds the token quota, and
// what percentage of the quota is used in the last of three minutes.
func BenchmarkOvershoot(b *testing.B) {
	for _, hosts := range []int{1, 6, 20, 410} {
		for _, kind := range []string{"leased", "independent"} {
			b.Run(fmt.Sprintf("%s/hosts=%d", kind, hosts), func(b *testing.B) {
				var accepted []acceptedReservation
				for b.Loop() {
					if kind == "leased" {
						accepted = simulateLeases(hosts)
					} else {
						accepted = simulateIndependentCounters(hosts)
					}
				}
				b.ReportMetric(100*(float64(maxWindowSum(accepted).Tokens)/float64(benchQuota.Tokens)-1), "overshoot_%")
				b.ReportMetric(100*float64(sumOfLastMinute(accepted).Tokens)/float64(benchQuota.Tokens), "used_%")
			})
		}
	}
}

// BenchmarkReserve compares the cost of reserving and settling with that of a local counter.
func BenchmarkReserve(b *testing.B) {
	ids := make([]string, 1<<17)
	for i := range ids {
		ids[i] = fmt.Sprint("request-", i)
	}
	b.Run("leased", func(b *testing.B) {
		h := NewLimiter(LimiterConfig{})
		a := h.quotaState(tenancy)
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
