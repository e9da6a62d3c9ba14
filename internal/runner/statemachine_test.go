package runner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/storestate"
)

// Guards against a replica that stores a departure but does not report it to its host: after a command, after a
// snapshot that it starts with, and after one that replaces a state with more departures.
func TestStateMachineReportsDepartures(t *testing.T) {
	var reported []string
	newMachine := func() *StateMachine {
		reported = nil
		return NewStateMachine(func(clusterview.Config) {}, func(d fleet.Departure) { reported = append(reported, d.Target) })
	}
	depart := func(m *StateMachine, id string) {
		m.Apply(1, storestate.EncodeCommand(&storestate.Command{DepartTarget: &fleet.Departure{Target: id, Incarnation: 1}}))
	}
	check := func(when string, want ...string) {
		t.Helper()
		if d := cmp.Diff(want, reported); d != "" {
			t.Errorf("%s: %s", when, d)
		}
	}
	m := newMachine()
	depart(m, "a")
	depart(m, "b")
	depart(m, "a")
	check("commands", "a", "b")
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, earlier := range [][]string{nil, {"c", "d", "e"}} {
		m = newMachine()
		for _, id := range earlier {
			depart(m, id)
		}
		if err := m.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		check("snapshot", append(earlier, "a", "b")...)
		depart(m, "f")
		check("command after a snapshot", append(earlier, "a", "b", "f")...)
	}
}
