package weights

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var t0 = time.Unix(1_700_000_000, 0)

func lease(term uint64, until time.Time) LeaderLease {
	return LeaderLease{Term: term, ExpiresAt: until, Valid: true}
}

func report(id string, version uint64) TargetReport {
	return TargetReport{ID: id, Incarnation: 1, Pool: "sorting", Loaded: map[string]uint64{"m": version}}
}

func fleet(cfg Config, n int) *Planner {
	p := NewPlanner(cfg)
	for i := range n {
		p.UpdateTarget(t0, report(fmt.Sprintf("t%05d", i), 1))
	}
	return p
}

// Guards against a wave that takes more of a pool out of service than allowed, and against
// one that exceeds the weight store's rate.
func TestWaveBounds(t *testing.T) {
	p := fleet(Config{MaxUnavailable: 0.3, StoreRate: 1, StoreBurst: 2}, 10)
	p.SetDesired(t0, "m", 2)
	a := lease(1, t0.Add(time.Hour))
	if n := len(p.Tick(t0, a)); n != 2 {
		t.Fatalf("first orders = %d, want the burst of 2", n)
	}
	orders := p.Tick(t0.Add(900*time.Millisecond), a)
	if len(orders) != 0 {
		t.Fatalf("orders above the store's rate: %+v", orders)
	}
	fresh := 0
	for _, o := range p.Tick(t0.Add(5*time.Second), a) {
		if !o.Repeat {
			fresh++
		}
	}
	if fresh != 1 {
		t.Fatalf("%d more targets, want 1 up to the share of 3", fresh)
	}
	if _, ok := p.Serving("t00000", "m"); ok {
		t.Error("a target with an outstanding order is serving")
	}
	p.UpdateTarget(t0, report("t00000", 2))
	if v, ok := p.Serving("t00000", "m"); !ok || v != 2 {
		t.Errorf("serving = %d %v after the report, want 2", v, ok)
	}
}

// Guards against orders without a valid lease, with an expiry beyond it, or by a planner
// whose term was superseded.
func TestAuthority(t *testing.T) {
	p := fleet(Config{LeaseMargin: 100 * time.Millisecond}, 4)
	p.SetDesired(t0, "m", 2)
	for _, a := range []LeaderLease{{}, {Term: 1, ExpiresAt: t0.Add(time.Hour)}, lease(1, t0.Add(100*time.Millisecond)), lease(1, t0.Add(-time.Second))} {
		if orders := p.Tick(t0, a); len(orders) != 0 {
			t.Errorf("authority %+v gave %+v", a, orders)
		}
	}
	orders := p.Tick(t0, lease(2, t0.Add(time.Second)))
	if len(orders) != 1 || !orders[0].ExpiresAt.Before(t0.Add(time.Second)) || orders[0].Fence <= Fence(1, maxSequence) {
		t.Fatalf("orders = %+v", orders)
	}
	if orders := p.Tick(t0.Add(time.Minute), lease(1, t0.Add(time.Hour))); len(orders) != 0 {
		t.Errorf("orders of an older term: %+v", orders)
	}
	r := report("t00000", 1)
	r.LastFence = Fence(9, 1)
	p.UpdateTarget(t0, r)
	for _, o := range p.Tick(t0.Add(time.Minute), lease(2, t0.Add(time.Hour))) {
		if o.Target == "t00000" {
			t.Error("order to a target that a newer leader commands")
		}
	}
}

// Guards against a target that is never quarantined, one without a reason, and one that
// stays quarantined after a new version or a restart.
func TestQuarantine(t *testing.T) {
	p := fleet(Config{}, 1)
	a := lease(1, t0.Add(time.Hour))
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
			if _, ok := p.Serving(o[0].Target, "m"); ok {
				t.Error("a target with a half-done swap is serving")
			}
			p.UpdateTarget(now, report("t00000", 0))
		}
		now = now.Add(time.Minute)
		if o := p.Tick(now, a); len(o) != 0 {
			t.Fatalf("orders in quarantine: %+v", o)
		}
		q := p.Quarantined()
		if len(q) != 1 || q[0].Reason != "disk full" || q[0].Failures != 2 {
			t.Fatalf("quarantine = %+v", q)
		}
	}
	failTwice()
	p.SetDesired(now, "m", 3)
	failTwice()
	r := report("t00000", 0)
	r.Incarnation = 2
	p.UpdateTarget(now, r)
	if n := len(p.Tick(now, a)); n != 1 || len(p.Quarantined()) != 0 {
		t.Errorf("%d orders after a restart, quarantine %v", n, p.Quarantined())
	}
}

// Guards against a lost order that is never repeated and a swap that never ends.
func TestRepeatAndTimeout(t *testing.T) {
	p := fleet(Config{}, 1)
	a := lease(1, t0.Add(time.Hour))
	p.SetDesired(t0, "m", 2)
	first := p.Tick(t0, a)
	again := p.Tick(t0.Add(time.Second), a)
	if len(again) != 1 || !again[0].Repeat || again[0].Fence <= first[0].Fence {
		t.Fatalf("repetition = %+v", again)
	}
	p.RecordResult(t0.Add(time.Second), OrderResult{Target: "t00000", Model: "m", Fence: again[0].Fence, OK: true})
	if n := len(p.Tick(t0.Add(3*time.Second), a)); n != 0 {
		t.Errorf("%d orders after success and before a report", n)
	}
	p.UpdateTarget(t0.Add(3*time.Second), report("t00000", 1))
	if n := len(p.Tick(t0.Add(3*time.Second), a)); n != 1 {
		t.Errorf("%d orders although the target still reports version 1", n)
	}
	for i := range 2 {
		now := t0.Add(time.Duration(i+1) * 40 * time.Second)
		p.Tick(now, a)
		p.Tick(now.Add(2*time.Second), a)
	}
	p.Tick(t0.Add(200*time.Second), a)
	if q := p.Quarantined(); len(q) != 1 || !strings.Contains(q[0].Reason, "not reported") {
		t.Errorf("quarantine = %+v", q)
	}
}
