package weights

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var t0 = time.Unix(1_700_000_000, 0)

func leaseUntil(term uint64, until time.Time) LeaderLease {
	return LeaderLease{Term: term, ExpiresAt: until, Valid: true}
}

func targetReport(id string, version uint64) TargetReport {
	return TargetReport{ID: id, Incarnation: 1, Pool: "sorting", Loaded: map[string]uint64{"m": version}}
}

func newTestPlanner(cfg Config, n int) *Planner {
	p := NewPlanner(cfg)
	for i := range n {
		p.UpdateTarget(t0, targetReport(fmt.Sprintf("t%05d", i), 1))
	}
	return p
}

// Guards against a rollout that makes more targets of a pool unavailable than allowed, or that
// exceeds the rate of the weight store.
func TestRolloutLimits(t *testing.T) {
	p := newTestPlanner(Config{MaxUnavailable: 0.3, StoreRate: 1, StoreBurst: 2}, 10)
	p.SetDesired(t0, "m", 2)
	a := leaseUntil(1, t0.Add(time.Hour))
	if n := len(p.Tick(t0, a)); n != 2 {
		t.Fatalf("first orders = %d, want the burst of 2", n)
	}
	orders := p.Tick(t0.Add(900*time.Millisecond), a)
	if len(orders) != 0 {
		t.Fatalf("orders above the rate of the weight store: %+v", orders)
	}
	newOrders := 0
	for _, o := range p.Tick(t0.Add(5*time.Second), a) {
		if !o.Resend {
			newOrders++
		}
	}
	if newOrders != 1 {
		t.Fatalf("%d new orders, want 1 to reach the limit of 3 unavailable targets", newOrders)
	}
	if _, ok := p.ServingVersion("t00000", "m"); ok {
		t.Error("a target with an outstanding order is serving")
	}
	p.UpdateTarget(t0, targetReport("t00000", 2))
	if v, ok := p.ServingVersion("t00000", "m"); !ok || v != 2 {
		t.Errorf("serving = %d %v after the report, want 2", v, ok)
	}
}

// Guards against orders that are issued without a valid lease, expire after the lease or belong
// to an old term, and against orders to a target that has accepted orders of a newer leader.
func TestOrdersRequireLease(t *testing.T) {
	p := newTestPlanner(Config{LeaseMargin: 100 * time.Millisecond}, 4)
	p.SetDesired(t0, "m", 2)
	for _, a := range []LeaderLease{{}, {Term: 1, ExpiresAt: t0.Add(time.Hour)}, leaseUntil(1, t0.Add(100*time.Millisecond)), leaseUntil(1, t0.Add(-time.Second))} {
		if orders := p.Tick(t0, a); len(orders) != 0 {
			t.Errorf("Tick(%+v) = %+v, want no orders", a, orders)
		}
	}
	orders := p.Tick(t0, leaseUntil(2, t0.Add(time.Second)))
	if len(orders) != 1 || !orders[0].ExpiresAt.Before(t0.Add(time.Second)) || orders[0].Fence <= Fence(1, maxSequence) {
		t.Fatalf("orders = %+v", orders)
	}
	if orders := p.Tick(t0.Add(time.Minute), leaseUntil(1, t0.Add(time.Hour))); len(orders) != 0 {
		t.Errorf("orders of an old term: %+v", orders)
	}
	r := targetReport("t00000", 1)
	r.LastFence = Fence(9, 1)
	p.UpdateTarget(t0, r)
	for _, o := range p.Tick(t0.Add(time.Minute), leaseUntil(2, t0.Add(time.Hour))) {
		if o.Target == "t00000" {
			t.Error("order to a target that has accepted an order of a newer leader")
		}
	}
}

// Guards against a failing target that is not quarantined, a quarantine without its reason, and
// a quarantine that does not end with a new version or a restart of the target.
func TestQuarantine(t *testing.T) {
	p := newTestPlanner(Config{}, 1)
	a := leaseUntil(1, t0.Add(time.Hour))
	p.SetDesired(t0, "m", 2)
	now := t0
	failTwice := func() {
		for range 2 {
			now = now.Add(3 * time.Second)
			o := p.Tick(now, a)
			if len(o) != 1 {
				t.Fatalf("orders = %+v", o)
			}
			p.RecordResult(now, OrderResult{Target: o[0].Target, Model: "m", Version: o[0].Version, Fence: o[0].Fence, Reason: "disk full"})
			if _, ok := p.ServingVersion(o[0].Target, "m"); ok {
				t.Error("a target is serving after a failed swap")
			}
			p.UpdateTarget(now, targetReport("t00000", 0))
		}
		now = now.Add(time.Minute)
		if o := p.Tick(now, a); len(o) != 0 {
			t.Fatalf("orders to a quarantined target: %+v", o)
		}
		q := p.Quarantined()
		if len(q) != 1 || q[0].Reason != "disk full" || q[0].Failures != 2 {
			t.Fatalf("quarantines = %+v", q)
		}
	}
	failTwice()
	p.SetDesired(now, "m", 3)
	failTwice()
	r := targetReport("t00000", 0)
	r.Incarnation = 2
	p.UpdateTarget(now, r)
	if n := len(p.Tick(now, a)); n != 1 || len(p.Quarantined()) != 0 {
		t.Errorf("%d orders after a restart, quarantines %v; want 1 and none", n, p.Quarantined())
	}
}

// Guards against a lost order that is never sent again and a swap that never times out.
func TestResendAndTimeout(t *testing.T) {
	p := newTestPlanner(Config{}, 1)
	a := leaseUntil(1, t0.Add(time.Hour))
	p.SetDesired(t0, "m", 2)
	first := p.Tick(t0, a)
	resent := p.Tick(t0.Add(time.Second), a)
	if len(resent) != 1 || !resent[0].Resend || resent[0].Fence <= first[0].Fence {
		t.Fatalf("resent orders = %+v", resent)
	}
	p.RecordResult(t0.Add(time.Second), OrderResult{Target: "t00000", Model: "m", Fence: resent[0].Fence, OK: true})
	if n := len(p.Tick(t0.Add(3*time.Second), a)); n != 0 {
		t.Errorf("%d orders after a successful result and before the report", n)
	}
	p.UpdateTarget(t0.Add(3*time.Second), targetReport("t00000", 1))
	if n := len(p.Tick(t0.Add(3*time.Second), a)); n != 1 {
		t.Errorf("%d orders after a report of version 1, want 1", n)
	}
	for i := range 2 {
		now := t0.Add(time.Duration(i+1) * 40 * time.Second)
		p.Tick(now, a)
		p.Tick(now.Add(2*time.Second), a)
	}
	p.Tick(t0.Add(200*time.Second), a)
	if q := p.Quarantined(); len(q) != 1 || !strings.Contains(q[0].Reason, "not reported") {
		t.Errorf("quarantines = %+v", q)
	}
}
