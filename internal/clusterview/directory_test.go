package clusterview

import (
	"slices"
	"testing"
	"time"
)

// Guards against a host that counts as connected to the state group because another host without a replica lists store
// hosts, and against one that does not find them.
func TestDirectoryListsStoresWithoutVouchingForThem(t *testing.T) {
	v := newTestView("10.0.0.9")
	v.Merge(&Event{Stores: []StoreHost{{ReplicaID: "10.0.0.1~a"}, {ReplicaID: "10.0.0.2~a"}}})
	if got, want := v.Sources("10.0.0.8", "d", false), []string{"10.0.0.1", "10.0.0.2", "10.0.0.9"}; !slices.Equal(got, want) {
		t.Errorf("sources %v, want %v", got, want)
	}
	if list := v.HeardStores(time.Minute); len(list) != 0 || v.LeaderReported() || v.MajorityAge() < time.Second {
		t.Errorf("heard stores %v, leader reported %v, majority age %s; want none", list, v.LeaderReported(), v.MajorityAge())
	}
	v.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.2~a"}})
	if list := v.HeardStores(time.Minute); len(list) != 1 || list[0].IP() != "10.0.0.2" {
		t.Errorf("heard stores %v, want the one that sent an event", list)
	}
}
