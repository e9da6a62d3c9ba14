package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// registryModel states which targets a registry must serve. All targets have addresses of their own.
type registryModel struct {
	left    map[string]int64 // latest incarnation that has announced that it leaves
	noticed map[string]int64 // latest incarnation of which this host has seen that since its last restart
	known   map[string]int64 // newest incarnation in the reports since the last restart or expiry
}

// raise records an incarnation as the latest one of a target.
func raise(latest map[string]int64, id string, incarnation int64) {
	if last, ok := latest[id]; !ok || incarnation > last {
		latest[id] = incarnation
	}
}

func (m *registryModel) leave(id string, incarnation int64) { raise(m.left, id, incarnation) }

// serving returns the IDs of the targets that accept new work, sorted.
func (m *registryModel) serving() []string {
	var ids []string
	for id, incarnation := range m.known {
		left, hasLeft := m.left[id]
		noticed, hasNotice := m.noticed[id]
		if (!hasLeft || incarnation > left) && (!hasNotice || incarnation > noticed) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Guards, for reports, departures, deregistrations, notices, expiry and restarts in any order, against an incarnation
// that is used again after it announced that it leaves, against a sound target that is not used, and against a
// notice of this host that others take for a departure.
func TestDeparturesAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := registryModel{left: make(map[string]int64), noticed: make(map[string]int64), known: make(map[string]int64)}
		now := t0
		newRegistry := func() *Registry { return NewRegistry(time.Minute, time.Second, time.Second) }
		r := newRegistry()
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target")
			incarnation := rapid.Int64Range(0, 3).Draw(t, "incarnation")
			switch action := rapid.IntRange(0, 11).Draw(t, "action"); action {
			case 0: // restart: the stored departures are known again
				stored := r.departures.All()
				r = newRegistry()
				model.known, model.noticed = make(map[string]int64), make(map[string]int64)
				for _, d := range stored {
					r.Depart(now, d)
				}
			case 1:
				now = now.Add(time.Hour)
				r.Expire(now)
				model.known = make(map[string]int64)
			case 2:
				if d, known := r.MarkGone(now, id); known {
					model.leave(id, d.Incarnation)
				}
			case 3:
				r.Depart(now, Departure{id, incarnation})
				model.leave(id, incarnation)
			case 10, 11:
				r.Notice(Departure{id, incarnation})
				raise(model.noticed, id, incarnation)
			default:
				state := Ready
				if action == 4 {
					state = rapid.SampledFrom([]State{Draining, Gone}).Draw(t, "state")
					model.leave(id, incarnation)
				}
				receive := r.Update
				if rapid.Bool().Draw(t, "relayed") {
					receive = r.Merge
				}
				receive(now, newTarget(id, "addr-"+id, incarnation, rapid.Uint64Range(1, 9).Draw(t, "sequence"), state))
				if known, ok := model.known[id]; !ok || incarnation > known {
					model.known[id] = incarnation
				}
			}
			var got []string
			for _, target := range r.Serving("") {
				got = append(got, target.ID)
			}
			if d := cmp.Diff(model.serving(), got); d != "" {
				t.Fatalf("step %d: serving targets differ: %s", step, d)
			}
			relayed, _ := r.ChangesSince(now, 0)
			for _, target := range relayed {
				if last, ok := model.left[target.ID]; target.State != Ready && (!ok || target.Incarnation > last) {
					t.Fatalf("step %d: others are told that %s has left", step, target.ID)
				}
			}
		}
	})
}

// Guards against a target that is out of use at other hosts for as long as departures are remembered, because
// another target claimed its address once.
func TestLostAddressIsNoDeparture(t *testing.T) {
	r, other := NewRegistry(time.Hour, time.Hour, time.Hour), NewRegistry(time.Hour, time.Hour, time.Hour)
	r.Update(t0, newTarget("a", "addr", 1, 1, Ready))
	r.Update(t0, newTarget("b", "addr", 2, 1, Ready))
	list, _ := r.ChangesSince(t0, 0)
	for _, target := range list {
		other.Merge(t0, target)
	}
	for name, registry := range map[string]*Registry{"first": r, "other": other} {
		if n := len(registry.departures.All()); n != 0 {
			t.Errorf("%s host: %d departures, want none", name, n)
		}
	}
}

// Guards against a set that grows without bound, and against one that drops a departure of a target while it
// keeps older ones.
func TestDeparturesAreBounded(t *testing.T) {
	d := NewDepartures(nil)
	d.Add(Departure{"a", 1})
	for i := range MaxDepartures - 1 {
		d.Add(Departure{fmt.Sprint("t", i), 1})
	}
	d.Add(Departure{"a", 2}) // "a" is the newest now
	d.Add(Departure{"last", 1})
	if n := len(d.All()); n != MaxDepartures {
		t.Errorf("%d departures, want %d", n, MaxDepartures)
	}
	if !d.Covers("a", 2) || !d.Covers("last", 1) || d.Covers("t0", 1) {
		t.Errorf("a: %t, last: %t, oldest: %t; want all but the oldest", d.Covers("a", 2), d.Covers("last", 1), d.Covers("t0", 1))
	}
	if added := d.AddedAfter(d.Revision() - 1); len(added) != 1 || added[0].Target != "last" {
		t.Errorf("added last: %v", added)
	}
}

// Guards against a single host that takes a sound target out of use everywhere, and against notices of a target
// that leaves which no number of hosts confirms.
func TestNoticesNeedTwoHosts(t *testing.T) {
	n := NewNotices(nil)
	d := Departure{"a", 1}
	for range 3 {
		if n.Add(d, "h1") {
			t.Fatal("one host confirms its own notice")
		}
	}
	n.Add(Departure{"a", 2}, "h2")
	n.Add(Departure{"b", 1}, "h2")
	if !n.Add(d, "h2") {
		t.Error("two hosts do not confirm a notice")
	}
	if len(n.All()) != 2 {
		t.Errorf("left are %+v, want the notices of a, incarnation 2, and b", n.All())
	}
	for i := range maxNotices + 5 {
		n.Add(Departure{"t", int64(i)}, "h1")
	}
	if len(n.All()) != maxNotices {
		t.Errorf("%d notices, want %d", len(n.All()), maxNotices)
	}
}
