package clusterview

import (
	"testing"
	"time"
)

// Guards against an entry host that stays ready although it hears no majority of the voters, and
// against one that is not ready during an election.
func TestMajorityAge(t *testing.T) {
	v := newTestView("10.0.0.1")
	if v.MajorityAge() < time.Second {
		t.Error("a host that has heard nobody counts as connected")
	}
	voters := []string{"10.0.0.1~a", "10.0.0.2~a", "10.0.0.3~a"}
	v.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.1~a"}, Leader: "10.0.0.1~a", Term: 2, Voters: voters})
	if v.MajorityAge() < time.Second {
		t.Error("a host that hears one of three voters counts as connected")
	}
	v.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.3~b"}})
	if v.MajorityAge() > time.Second {
		t.Error("a host that hears two of three voters counts as cut off, although the leader is not known to them")
	}
}
