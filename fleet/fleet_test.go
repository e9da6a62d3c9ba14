package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var t0 = time.Unix(100, 0)

func statement(id, addr string, born int64, seq uint64, s State) Target {
	return Target{ID: id, Service: "s", Address: addr, State: s, Incarnation: born, Sequence: seq}
}

// Guards against hosts that believe different things after they heard the same statements in
// different orders.
func TestOrderOfStatementsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Each target states itself with rising sequences; an address is used by one target at
		// a time, in the order of births.
		var all []Target
		for i, n := range rapid.SliceOfN(rapid.IntRange(1, 4), 1, 4).Draw(t, "statements") {
			for seq := range n {
				state := Ready
				if seq == n-1 && rapid.Bool().Draw(t, "drains") {
					state = Draining
				}
				all = append(all, statement(string(rune('a'+i)), "addr", int64(i+1), uint64(seq+1), state))
			}
		}
		one, two := NewRegistry(time.Hour, time.Hour, time.Hour), NewRegistry(time.Hour, time.Hour, time.Hour)
		for _, s := range all {
			one.Merge(t0, s)
		}
		for _, s := range rapid.Permutation(all).Draw(t, "order") {
			two.Merge(t0, s)
		}
		if d := cmp.Diff(one.Serving(""), two.Serving("")); d != "" {
			t.Errorf("different beliefs: %s", d)
		}
	})
}

// Guards against a late heartbeat of a target that has ended, which brings it back or takes its
// address from the target that uses it now.
func TestLateHeartbeatsOfEndedTargets(t *testing.T) {
	r := NewRegistry(time.Hour, time.Hour, time.Hour)
	r.Merge(t0, statement("old", "addr", 1, 1, Ready))
	r.Merge(t0, statement("new", "addr", 2, 1, Ready))
	r.Merge(t0, statement("old", "addr", 1, 7, Ready))
	r.Merge(t0, statement("left", "other", 1, 1, Ready))
	r.MarkGone(t0, "left")
	r.Merge(t0, statement("left", "other", 1, 2, Ready))
	list := r.Serving("s")
	if len(list) != 1 || list[0].ID != "new" {
		t.Errorf("serving: %+v", list)
	}
	r.Merge(t0, statement("left", "other", 5, 1, Ready))
	if len(r.Serving("s")) != 2 {
		t.Error("a new incarnation under the same id is not used")
	}
}

// Guards against news of a drain that is not passed on to other hosts at once, and against
// heartbeats without news that are.
func TestOnlyNewsIsPassedOn(t *testing.T) {
	r := NewRegistry(time.Hour, 5*time.Second, 15*time.Second)
	r.Update(t0, statement("a", "addr", 1, 1, Ready))
	_, rev := r.ChangesSince(t0, 0)
	r.Update(t0.Add(time.Second), statement("a", "addr", 1, 2, Ready))
	if list, _ := r.ChangesSince(t0, rev); len(list) != 0 {
		t.Errorf("a heartbeat without news is passed on: %+v", list)
	}
	r.Update(t0.Add(2*time.Second), statement("a", "addr", 1, 3, Draining))
	if list, _ := r.ChangesSince(t0, rev); len(list) != 1 || list[0].State != Draining {
		t.Errorf("the drain is not passed on: %+v", list)
	}
}

// Guards against each store host repeating to all hosts what they hear from the first one anyway:
// the traffic then grows with the square of the number of store hosts.
func TestRelaysRepeatOnlyWhatIsUrgent(t *testing.T) {
	loaded := func(version, seq uint64) Target {
		s := statement("a", "addr", 1, seq, Ready)
		s.Weights = map[string]uint64{"m": version}
		return s
	}
	for _, c := range []struct {
		name          string
		after         time.Duration
		next          Target
		heard, merged bool // passed on by the host that hears the target, and by another
	}{
		{"nothing new", time.Second, loaded(1, 2), false, false},
		{"new weights", time.Second, loaded(2, 2), true, false},
		{"age after the refresh", 6 * time.Second, loaded(1, 2), true, false},
		{"age after the refresh of relays", 16 * time.Second, loaded(1, 2), true, true},
		{"drain", time.Second, statement("a", "addr", 1, 2, Draining), true, true},
	} {
		for _, direct := range []bool{true, false} {
			r := NewRegistry(time.Hour, 5*time.Second, 15*time.Second)
			take, want := r.Merge, c.merged
			if direct {
				take, want = r.Update, c.heard
			}
			take(t0, loaded(1, 1))
			_, rev := r.ChangesSince(t0, 0)
			take(t0.Add(c.after), c.next)
			list, _ := r.ChangesSince(t0, rev)
			if got := len(list) == 1; got != want {
				t.Errorf("%s, heard here %t: passed on %t, want %t", c.name, direct, got, want)
			}
			if known, _ := r.Get("a"); known.Sequence != 2 {
				t.Errorf("%s: statement %d is known, want 2", c.name, known.Sequence)
			}
		}
	}
}

// Guards against a target that is dropped while other hosts hear it, and one that stays for ever.
func TestExpiry(t *testing.T) {
	r := NewRegistry(10*time.Second, 5*time.Second, 8*time.Second)
	r.Merge(t0, statement("a", "addr", 1, 1, Ready))
	if got := r.Expire(t0.Add(9 * time.Second)); len(got) != 0 {
		t.Errorf("dropped %v too early", got)
	}
	if got := r.Expire(t0.Add(10 * time.Second)); len(got) != 1 || len(r.Serving("")) != 0 {
		t.Errorf("dropped %v", got)
	}
}
