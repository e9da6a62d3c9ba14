package clusterview

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/fleet"
	"fuchsiaflow/routes"
)

// Guards against heartbeats that repeat the voters and the live store hosts to every host twice a
// second, and against a receiver that does not restore the omitted fields.
func TestEventsOmitUnchangedFields(t *testing.T) {
	const maxHeartbeat = 16 // bytes
	first := Event{Leader: "10.0.0.1~first", Term: 4}
	for i := range 11 {
		s := StoreHost{ReplicaID: ReplicaID(fmt.Sprintf("10.0.0.%d", i), "0123456789ab"), Host: fmt.Sprint("storage-", i), Domain: "d"}
		first.From, first.Stores = s, append(first.Stores, s)
		first.Voters = append(first.Voters, s.ReplicaID)
	}
	heartbeat, changes, elected := first, first, first
	changes.Targets = []fleet.Target{{ID: "t"}}
	changes.Config = &Config{Version: 3}
	elected.Term++
	var sent, received Event
	for i, e := range []Event{first, heartbeat, changes, elected, heartbeat} {
		data := Encode(e.omitUnchanged(&sent))
		sent = e.header()
		if i == 1 && len(data) > maxHeartbeat {
			t.Errorf("heartbeat has %d bytes", len(data))
		}
		got, err := Decode[Event]("event", data)
		if err != nil {
			t.Fatal(err)
		}
		got.restoreOmitted(&received)
		received = got.header()
		if diff := cmp.Diff(e, got); diff != "" {
			t.Errorf("event %d: %s", i, diff)
		}
	}
}

// Guards against configurations that saturate the links: each of a dozen store hosts sends each change
// to each of a hundred hosts. The routes differ in a few bytes only, so that they must compress to at
// most a fifth.
func TestConfigurationsAreCompressed(t *testing.T) {
	c := routes.Config{Version: 7}
	for i := range 50 {
		c.Routes = append(c.Routes, routes.Route{Name: fmt.Sprintf("r-x%dd3zj", i*7919), Host: "service.example", Prefix: fmt.Sprintf("/p%d/", i*104729),
			Kind: routes.Batch, Timeout: time.Second, LatencyObjective: time.Second, Destinations: []routes.Destination{{Service: "engines", Weight: 1}}})
	}
	body := EncodeConfig(&c)
	if uncompressed := len(Encode(&c)); len(body) > uncompressed/5 {
		t.Errorf("compressed configuration has %d bytes, uncompressed %d", len(body), uncompressed)
	}
	got, err := decodeConfig(body)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(&c, got); d != "" {
		t.Error(d)
	}
	if _, err := decodeConfig(body[:len(body)/2]); err == nil {
		t.Error("truncated configuration was decoded without an error")
	}
}
