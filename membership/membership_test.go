package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaflow/errs"
)

// Guards against hosts that are not found, not missed or not taken back.
func TestConvergence(t *testing.T) {
	w := newNetwork(t, 12, 1)
	t.Log("join", w.mustConverge(30*time.Second, "join"))
	w.hosts[5].up = false
	t.Log("crash", w.mustConverge(60*time.Second, "crash"))
	w.boot(5)
	t.Log("restart", w.mustConverge(30*time.Second, "restart"))
	if inc := w.hosts[5].node.Self().Incarnation; inc <= 1 {
		t.Errorf("incarnation after restart = %d, want above 1", inc)
	}
	for i := range 6 {
		w.hosts[i].side = 1
	}
	w.run(60 * time.Second)
	if n := len(w.hosts[0].node.Live("")); n != 6 {
		t.Errorf("live hosts in a half = %d, want 6", n)
	}
	for i := range 6 {
		w.hosts[i].side = 0
	}
	t.Log("heal", w.mustConverge(60*time.Second, "heal"))
	w.send(w.hosts[3], w.hosts[3].node.Leave(w.now))
	t.Log("leave", w.mustConverge(10*time.Second, "leave"))
	if m, _ := w.hosts[7].node.Member(w.hosts[3].id); m.State != Left {
		t.Errorf("state after leave = %s", m.State)
	}
}

// Guards against a newer summary being replaced by an older one or not arriving.
func TestMetaNewestWins(t *testing.T) {
	w := newNetwork(t, 8, 2)
	w.mustConverge(30*time.Second, "join")
	for i := range 5 {
		if err := w.hosts[2].node.SetMeta([]byte(fmt.Sprint("load ", i))); err != nil {
			t.Fatal(err)
		}
		w.run(300 * time.Millisecond)
	}
	w.run(15 * time.Second)
	for _, h := range w.hosts {
		if m, _ := h.node.Member("host-002"); string(m.Meta) != "load 4" {
			t.Errorf("%s has summary %q", h.id, m.Meta)
		}
	}
	if err := w.hosts[2].node.SetMeta(make([]byte, MaxMetaBytes+1)); errs.CodeOf(err) != errs.CodeTooLarge {
		t.Errorf("long summary: %v", err)
	}
}

// Guards against a pause of the process that extends a suspicion which began after it; found by
// TestMembershipConverges with -rapid.seed=96153. Suspicion itself must not move ownership.
func TestPauseDoesNotExtendLaterSuspicion(t *testing.T) {
	w := newNetwork(t, 3, 3)
	w.mustConverge(30*time.Second, "join")
	n := w.hosts[0].node
	now := w.now.Add(time.Minute)
	m, _ := n.Member("host-002")
	p := Packet{Kind: Gossip, From: w.hosts[1].node.Self(), Updates: []Update{{Host: m.Host, Refutation: 9, State: Suspect}}}
	n.Receive(now, "host-001", p)
	n.Tick(now)
	if m, _ := n.Member("host-002"); m.State != Suspect || len(n.Live("")) != 3 {
		t.Fatalf("state %s, live %v", m.State, n.Live(""))
	}
	for range 2 * DefaultSuspicionPeriods {
		now = now.Add(DefaultProbeInterval / 2)
		n.Tick(now)
	}
	if m, _ := n.Member("host-002"); m.State != Dead {
		t.Errorf("state after the suspicion timeout = %s", m.State)
	}
}

// Guards against a host that keeps an incarnation which the claim table refuses as lost.
func TestRenew(t *testing.T) {
	n := New(Config{Self: Host{ID: "a", Incarnation: 5}, Rand: rand.New(rand.NewPCG(1, 1))}, time.Unix(0, 0))
	for _, c := range []struct{ lost, want uint64 }{{4, 5}, {5, 6}, {8, 9}} {
		if n.Renew(c.lost); n.Self().Incarnation != c.want {
			t.Errorf("after the loss of %d: incarnation %d, want %d", c.lost, n.Self().Incarnation, c.want)
		}
	}
}

// Guards against a change of owner that is not caused by the host that joined or failed.
func TestOwnerMovesOnlyOwnTargets(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	counts := map[string]int{}
	for i := range 5000 {
		id := fmt.Sprint("target-", i)
		before, after := Owner(id, hosts), Owner(id, hosts[:4])
		counts[before]++
		if before != "e" && before != after {
			t.Fatalf("%s moved from %s to %s", id, before, after)
		}
	}
	for h, n := range counts {
		if n < 800 || n > 1200 {
			t.Errorf("%s owns %d of 5000 targets", h, n)
		}
	}
}

func admitAll(string, string) bool { return true }

// Guards against new work for a target that left, is retired or is silent (P7).
func TestTargetsLifecycle(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewTargetRegistry(TargetRegistryConfig{Lease: 3 * time.Second, LeaveTimeout: 5 * time.Second})
	a := Announcement{ID: "e1", Incarnation: 4, Pool: "sorting"}
	if err := r.Announce(now, a); errs.CodeOf(err) != errs.CodeForbidden {
		t.Errorf("announcement without policy: %v", err)
	}
	r.SetPolicy(now, admitAll)
	check := func(what string, at time.Time, err error, code errs.Code, dispatchable bool) {
		t.Helper()
		if (err != nil || code != "") && errs.CodeOf(err) != code {
			t.Errorf("%s: error %v, want code %q", what, err, code)
		}
		if r.Dispatchable(at, "e1") != dispatchable {
			t.Errorf("%s: dispatchable = %v", what, !dispatchable)
		}
	}
	check("announce", now, r.Announce(now, a), "", true)
	old := a
	old.Incarnation = 3
	check("older incarnation", now, r.Announce(now, old), errs.CodeConflict, true)
	check("lease end", now.Add(3*time.Second), nil, "", false)
	check("renewed", now.Add(3*time.Second), r.Announce(now.Add(2*time.Second), a), "", true)
	r.SetPolicy(now, func(string, string) bool { return false })
	check("retired", now, r.Announce(now, a), errs.CodeForbidden, false)
	r.SetPolicy(now, admitAll)
	check("left", now, r.Leave(now, "e1", 4), "", false)
	check("late announcement", now, r.Announce(now, a), errs.CodeConflict, false)
	now = now.Add(time.Minute)
	if gone := r.Expire(now); len(gone) != 1 || r.Len() != 0 {
		t.Errorf("expired %v", gone)
	}
	check("announcement after removal", now, r.Announce(now, a), errs.CodeConflict, false)
	a.Incarnation = 5
	check("restart", now, r.Announce(now, a), "", true)
	check("load", now, r.Load(now, LoadReport{ID: "e1", Incarnation: 4}), errs.CodeConflict, true)
	check("leave of a former process", now, r.Leave(now, "e1", 4), errs.CodeConflict, true)
}

func ExampleOwner() {
	hosts := []string{"kolfe-1", "kolfe-2", "kolfe-3"}
	owner := Owner("engine-17", hosts)
	fmt.Println(owner == Owner("engine-17", []string{"kolfe-3", "kolfe-1", "kolfe-2"}))
	// Output: true
}
