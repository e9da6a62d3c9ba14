package clusterview

import (
	"log/slog"
	"slices"
	"testing"

	"fuchsiaflow/fleet"
	"fuchsiaflow/routes"
)

func newTestView(seeds ...string) *View { return NewView(slog.New(slog.DiscardHandler), seeds) }

// Guards against a leader that is no seed and that nobody watches after a restart of all hosts:
// hosts then knew only the targets that had announced themselves to the seeds.
func TestLeaderAndVotersAreWatched(t *testing.T) {
	v := newTestView("10.0.0.1")
	v.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.1~first"}, Leader: "10.0.0.7~x", Term: 4, Voters: []string{"10.0.0.1~first", "10.0.0.7~x", "10.0.0.8~y"}})
	if got, want := v.StoreIPs(), []string{"10.0.0.1", "10.0.0.7", "10.0.0.8"}; !slices.Equal(got, want) {
		t.Errorf("watched are %v, want %v", got, want)
	}
	v.RecordStore(StoreHost{ReplicaID: "10.0.0.9~z", Host: "s9"})
	if !slices.Contains(v.StoreIPs(), "10.0.0.9") {
		t.Error("a store host that announced itself is not watched")
	}
}

// Guards against a configuration or leader that goes back to an older one.
func TestOlderNewsChangesNothing(t *testing.T) {
	v := newTestView("10.0.0.1")
	body := EncodeConfig(&routes.Config{Version: 5})
	v.ApplyConfig(Config{Version: 5, Body: body}, "a")
	v.ApplyConfig(Config{Version: 4, Body: EncodeConfig(&routes.Config{Version: 4})}, "b")
	if got := v.Table().Config.Version; got != 5 {
		t.Errorf("version %d is in force", got)
	}
	v.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.1~a"}, Leader: "10.0.0.1~a", Term: 7})
	v.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.2~a"}, Leader: "10.0.0.2~a", Term: 6})
	if id, term := v.Leader(); id != "10.0.0.1~a" || term != 7 {
		t.Errorf("leader %s in term %d", id, term)
	}
}

// Guards against news of a target that two hosts pass to and fro without end.
func TestTargetsArePassedOnOnce(t *testing.T) {
	a, b := newTestView("10.0.0.1"), newTestView("10.0.0.2")
	a.UpdateTarget(fleet.Target{ID: "t", Service: "s", Address: "10.0.0.9:1", State: fleet.Ready, Sequence: 1})
	fromA, revA := a.TargetsSince(0)
	b.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.1~a"}, Targets: fromA})
	fromB, _ := b.TargetsSince(0)
	a.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.2~a"}, Targets: fromB})
	if again, _ := a.TargetsSince(revA); len(fromA) != 1 || len(fromB) != 1 || len(again) != 0 {
		t.Errorf("a sent %d, b sent %d, a sent %d again", len(fromA), len(fromB), len(again))
	}
}
