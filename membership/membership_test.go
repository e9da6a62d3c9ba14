package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fuchsiaflow/errs"
)

// Guards against hosts that are not discovered, not detected as failed, or not readmitted after a
// restart or a partition.
func TestConvergence(t *testing.T) {
	sim := newNetwork(t, 12, 1)
	t.Log("join", sim.mustConverge(30*time.Second, "join"))
	sim.hosts[5].running = false
	t.Log("crash", sim.mustConverge(60*time.Second, "crash"))
	sim.startHost(5)
	t.Log("restart", sim.mustConverge(30*time.Second, "restart"))
	if incarnation := sim.hosts[5].node.Self().Incarnation; incarnation <= 1 {
		t.Errorf("incarnation after restart = %d, want above 1", incarnation)
	}
	for i := range 6 {
		sim.hosts[i].partition = 1
	}
	sim.run(60 * time.Second)
	if n := len(sim.hosts[0].node.Live("")); n != 6 {
		t.Errorf("live hosts in one partition = %d, want 6", n)
	}
	for i := range 6 {
		sim.hosts[i].partition = 0
	}
	t.Log("heal", sim.mustConverge(60*time.Second, "heal"))
	sim.send(sim.hosts[3], sim.hosts[3].node.Leave(sim.now))
	t.Log("leave", sim.mustConverge(10*time.Second, "leave"))
	if m, _ := sim.hosts[7].node.Member(sim.hosts[3].id); m.State != Left {
		t.Errorf("state after leave = %s", m.State)
	}
}

// Guards against metadata that is not delivered or is replaced by an older version.
func TestMetaNewestWins(t *testing.T) {
	sim := newNetwork(t, 8, 2)
	sim.mustConverge(30*time.Second, "join")
	for i := range 5 {
		if err := sim.hosts[2].node.SetMeta([]byte(fmt.Sprint("load ", i))); err != nil {
			t.Fatal(err)
		}
		sim.run(300 * time.Millisecond)
	}
	sim.run(15 * time.Second)
	for _, h := range sim.hosts {
		if m, _ := h.node.Member("host-002"); string(m.Meta) != "load 4" {
			t.Errorf("%s has metadata %q", h.id, m.Meta)
		}
	}
	if err := sim.hosts[2].node.SetMeta(make([]byte, MaxMetaBytes+1)); errs.CodeOf(err) != errs.CodeTooLarge {
		t.Errorf("oversized metadata: %v", err)
	}
}

// Guards against a process pause that extends a suspicion received after it, a fault found by
// TestMembershipConverges with -rapid.seed=96153. Suspicion alone must not change ownership.
func TestPauseDoesNotExtendLaterSuspicion(t *testing.T) {
	sim := newNetwork(t, 3, 3)
	sim.mustConverge(30*time.Second, "join")
	n := sim.hosts[0].node
	now := sim.now.Add(time.Minute)
	m, _ := n.Member("host-002")
	p := Packet{Kind: Gossip, From: sim.hosts[1].node.Self(), Updates: []Update{{Host: m.Host, Refutation: 9, State: Suspect}}}
	n.Receive(now, "host-001", p)
	n.Tick(now)
	if m, _ := n.Member("host-002"); m.State != Suspect || len(n.Live("")) != 3 {
		t.Fatalf("state %s, live %v", m.State, n.Live(""))
	}
	for range 2 * DefaultSuspicionIntervals {
		now = now.Add(DefaultProbeInterval / 2)
		n.Tick(now)
	}
	if m, _ := n.Member("host-002"); m.State != Dead {
		t.Errorf("state after the suspicion timeout = %s", m.State)
	}
}

// Guards against a host that keeps an incarnation that the claim table has declared lost.
func TestRaiseIncarnation(t *testing.T) {
	n := New(Config{Self: Host{ID: "a", Incarnation: 5}, Rand: rand.New(rand.NewPCG(1, 1))}, time.Unix(0, 0))
	for _, c := range []struct{ lost, want uint64 }{{4, 5}, {5, 6}, {8, 9}} {
		if n.RaiseIncarnation(c.lost); n.Self().Incarnation != c.want {
			t.Errorf("after the loss of %d: incarnation %d, want %d", c.lost, n.Self().Incarnation, c.want)
		}
	}
}

// Guards against ownership changes of targets that a failed host did not own.
func TestOwnerMovesOnlyTargetsOfFailedHost(t *testing.T) {
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

// Guards against dispatch to a target that left, is retired or has an expired lease (guarantee P7).
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
	check("load", now, r.RecordLoad(now, LoadReport{ID: "e1", Incarnation: 4}), errs.CodeConflict, true)
	check("leave of a former process", now, r.Leave(now, "e1", 4), errs.CodeConflict, true)
}

func ExampleOwner() {
	hosts := []string{"kolfe-1", "kolfe-2", "kolfe-3"}
	owner := Owner("engine-17", hosts)
	fmt.Println(owner == Owner("engine-17", []string{"kolfe-3", "kolfe-1", "kolfe-2"}))
	// Output: true
}
