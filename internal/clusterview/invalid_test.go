package clusterview

import (
	"testing"

	"fuchsiaflow/fleet"
)

// Guards against a heartbeat of another writer that ends the watches of all hosts again and again: an event with
// its ID cannot be decoded.
func TestTargetWithInvalidIDIsNotPassedOn(t *testing.T) {
	v := newTestView("10.0.0.1")
	v.UpdateTarget(fleet.Target{ID: "a\xff", Service: "s", Address: "10.0.0.9:1", State: fleet.Ready, Sequence: 1})
	v.UpdateTarget(fleet.Target{ID: "b", Service: "s", Address: "10.0.0.8:1", State: fleet.Ready, Sequence: 1})
	targets, _ := v.TargetsSince(0)
	e, err := Decode[Event]("watch event", Encode(Event{Targets: targets}))
	if err != nil || len(e.Targets) != 1 || e.Targets[0].ID != "b" {
		t.Errorf("targets %+v, error %v; want target b", e.Targets, err)
	}
}
