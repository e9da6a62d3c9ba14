package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var t0 = time.Unix(100, 0)

func newTarget(id, addr string, born int64, seq uint64, s State) Target {
	return Target{ID: id, Service: "s", Address: addr, State: s, Incarnation: born, Sequence: seq}
}

// Guards against hosts that end up with different states after they received the same reports in
// different orders.
func TestReportOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Each target reports with increasing sequence numbers. One address is used by one target
		// at a time, in the order of their starts.
		var all []Target
		for i, n := range rapid.SliceOfN(rapid.IntRange(1, 4), 1, 4).Draw(t, "reports") {
			for seq := range n {
				state := Ready
				if seq == n-1 && rapid.Bool().Draw(t, "drains") {
					state = Draining
				}
				all = append(all, newTarget(string(rune('a'+i)), "addr", int64(i+1), uint64(seq+1), state))
			}
		}
		inOrder, shuffled := NewRegistry(time.Hour, time.Hour, time.Hour), NewRegistry(time.Hour, time.Hour, time.Hour)
		for _, s := range all {
			inOrder.Merge(t0, s)
		}
		for _, s := range rapid.Permutation(all).Draw(t, "order") {
			shuffled.Merge(t0, s)
		}
		if d := cmp.Diff(inOrder.Serving(""), shuffled.Serving("")); d != "" {
			t.Errorf("states differ: %s", d)
		}
	})
}

// Guards against a late report of a terminated target that makes it ready again or takes its address
// from the target that uses it now.
func TestLateReportsOfGoneTargetsAreIgnored(t *testing.T) {
	r := NewRegistry(time.Hour, time.Hour, time.Hour)
	r.Merge(t0, newTarget("old", "addr", 1, 1, Ready))
	r.Merge(t0, newTarget("new", "addr", 2, 1, Ready))
	r.Merge(t0, newTarget("old", "addr", 1, 7, Ready))
	r.Merge(t0, newTarget("left", "other", 1, 1, Ready))
	r.MarkGone(t0, "left")
	r.Merge(t0, newTarget("left", "other", 1, 2, Ready))
	list := r.Serving("s")
	if len(list) != 1 || list[0].ID != "new" {
		t.Errorf("serving: %+v", list)
	}
	r.Merge(t0, newTarget("left", "other", 5, 1, Ready))
	if len(r.Serving("s")) != 2 {
		t.Error("a new incarnation under the same ID is not serving")
	}
}

// Guards against delays in passing on a drain to other hosts, and against passing on reports without
// changes.
func TestOnlyChangesAreRelayed(t *testing.T) {
	r := NewRegistry(time.Hour, 5*time.Second, 15*time.Second)
	r.Update(t0, newTarget("a", "addr", 1, 1, Ready))
	_, rev := r.ChangesSince(t0, 0)
	r.Update(t0.Add(time.Second), newTarget("a", "addr", 1, 2, Ready))
	if list, _ := r.ChangesSince(t0, rev); len(list) != 0 {
		t.Errorf("a report without changes is passed on: %+v", list)
	}
	r.Update(t0.Add(2*time.Second), newTarget("a", "addr", 1, 3, Draining))
	if list, _ := r.ChangesSince(t0, rev); len(list) != 1 || list[0].State != Draining {
		t.Errorf("the drain is not passed on: %+v", list)
	}
}

// Guards against store hosts that relay to all hosts what these receive from the first store host
// anyway. The traffic would grow with the square of the number of store hosts.
func TestRelaysForwardOnlyUrgentChanges(t *testing.T) {
	loaded := func(version, seq uint64) Target {
		target := newTarget("a", "addr", 1, seq, Ready)
		target.Weights = map[string]uint64{"m": version}
		return target
	}
	for _, c := range []struct {
		name                    string
		after                   time.Duration
		next                    Target
		wantDirect, wantRelayed bool // whether a direct and a relayed report, respectively, is passed on
	}{
		{"no change", time.Second, loaded(1, 2), false, false},
		{"new weights", time.Second, loaded(2, 2), true, false},
		{"age after Refresh", 6 * time.Second, loaded(1, 2), true, false},
		{"age after RelayRefresh", 16 * time.Second, loaded(1, 2), true, true},
		{"drain", time.Second, newTarget("a", "addr", 1, 2, Draining), true, true},
	} {
		for _, direct := range []bool{true, false} {
			r := NewRegistry(time.Hour, 5*time.Second, 15*time.Second)
			receive, want := r.Merge, c.wantRelayed
			if direct {
				receive, want = r.Update, c.wantDirect
			}
			receive(t0, loaded(1, 1))
			_, rev := r.ChangesSince(t0, 0)
			receive(t0.Add(c.after), c.next)
			list, _ := r.ChangesSince(t0, rev)
			if got := len(list) == 1; got != want {
				t.Errorf("%s, direct %t: passed on %t, want %t", c.name, direct, got, want)
			}
			if known, _ := r.Get("a"); known.Sequence != 2 {
				t.Errorf("%s: newest report has sequence %d, want 2", c.name, known.Sequence)
			}
		}
	}
}

// Guards against dropping a target that other hosts still receive reports from, and against keeping a
// target forever.
func TestExpiry(t *testing.T) {
	r := NewRegistry(10*time.Second, 5*time.Second, 8*time.Second)
	r.Merge(t0, newTarget("a", "addr", 1, 1, Ready))
	if got := r.Expire(t0.Add(9 * time.Second)); len(got) != 0 {
		t.Errorf("dropped %v too early", got)
	}
	if got := r.Expire(t0.Add(10 * time.Second)); len(got) != 1 || len(r.Serving("")) != 0 {
		t.Errorf("dropped %v", got)
	}
}
