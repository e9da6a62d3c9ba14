package clusterview

import (
	"testing"
	"time"
)

// Guards against an entry host that stays ready although it receives no events from a majority of the
// voters, and against one that becomes unready during an election.
func TestMajorityAge(t *testing.T) {
	v := newTestView("10.0.0.1")
	if v.MajorityAge() < time.Second {
		t.Error("MajorityAge is below 1 s without any event")
	}
	voters := []string{"10.0.0.1~a", "10.0.0.2~a", "10.0.0.3~a"}
	v.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.1~a"}, Leader: "10.0.0.1~a", Term: 2, Voters: voters})
	if v.MajorityAge() < time.Second {
		t.Error("MajorityAge is below 1 s with events from one of three voters")
	}
	v.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.3~b"}})
	if v.MajorityAge() > time.Second {
		t.Error("MajorityAge is above 1 s with events from two of three voters, one of which reports no leader")
	}
}
