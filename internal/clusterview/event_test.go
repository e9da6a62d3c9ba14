package clusterview

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fuchsiaflow/fleet"
	"fuchsiaflow/routes"
)

// Guards against pings that repeat who votes and who lives to every host twice a second, and against
// a receiver that loses what was left out.
func TestEventsLeaveOutWhatIsTheSame(t *testing.T) {
	const maxPing = 16 // bytes
	first := Event{Leader: "10.0.0.1~first", Term: 4}
	for i := range 11 {
		s := StoreHost{ReplicaID: ReplicaID(fmt.Sprintf("10.0.0.%d", i), "0123456789ab"), Host: fmt.Sprint("storage-", i), Domain: "d"}
		first.From, first.Stores = s, append(first.Stores, s)
		first.Voters = append(first.Voters, s.ReplicaID)
	}
	ping, news, elected := first, first, first
	news.Targets = []fleet.Target{{ID: "t"}}
	news.Config = &Config{Version: 3}
	elected.Term++
	var sent, received Event
	for i, e := range []Event{first, ping, news, elected, ping} {
		data := Encode(e.shorten(&sent))
		sent = e.standing()
		if i == 1 && len(data) > maxPing {
			t.Errorf("a ping has %d bytes", len(data))
		}
		got, err := Decode[Event]("event", data)
		if err != nil {
			t.Fatal(err)
		}
		got.complete(&received)
		received = got.standing()
		if diff := cmp.Diff(e, got); diff != "" {
			t.Errorf("event %d: %s", i, diff)
		}
	}
}

// Guards against configurations that fill the links: each of a dozen store hosts sends a change to each
// of a hundred hosts. The names of routes differ in a few bytes, so that a fifth is enough for them.
func TestConfigurationsAreSentShort(t *testing.T) {
	c := routes.Config{Version: 7}
	for i := range 50 {
		c.Routes = append(c.Routes, routes.Route{Name: fmt.Sprintf("r-x%dd3zj", i*7919), Host: "service.example", Prefix: fmt.Sprintf("/p%d/", i*104729),
			Kind: routes.Batch, Timeout: time.Second, LatencyObjective: time.Second, Destinations: []routes.Destination{{Service: "engines", Weight: 1}}})
	}
	body := EncodeConfig(&c)
	if whole := len(Encode(&c)); len(body) > whole/5 {
		t.Errorf("%d bytes for a configuration of %d", len(body), whole)
	}
	got, err := decodeConfig(body)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(&c, got); d != "" {
		t.Error(d)
	}
	if _, err := decodeConfig(body[:len(body)/2]); err == nil {
		t.Error("half of a configuration is taken")
	}
}
