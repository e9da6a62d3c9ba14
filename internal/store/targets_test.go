package store

import (
	"testing"

	"fuchsiaflow/fleet"
)

// Guards against a target that counts as serving although it has announced to this host that it leaves, and against one
// that is not counted at all.
func TestFleetOfTheDuty(t *testing.T) {
	c, stop := startSingleStore(t, t.TempDir(), freePort(t))
	defer stop()
	for _, id := range []string{"leaves", "stays"} {
		c.st.view.UpdateTarget(fleet.Target{ID: id, Service: "s", Address: "127.0.0.9:" + map[string]string{"leaves": "1", "stays": "2"}[id], Domain: "d",
			State: fleet.Ready, Incarnation: 7, Sequence: 1})
	}
	c.st.view.RecordNotice(fleet.Departure{Target: "leaves", Incarnation: 7}, "item")
	list := c.st.fleet()
	if len(list) != 2 || list[0].State != fleet.Draining || list[1].State != fleet.Ready || list[1].ReportedAt.IsZero() {
		t.Errorf("targets %+v", list)
	}
}
