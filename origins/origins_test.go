package origins

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a table that grows without end, forgets the newest streams, or differs after a snapshot.
func TestTableKeepsTheNewestStreams(t *testing.T) {
	const extra = 10
	table := NewTable(nil)
	for i := range MaxEntries + extra {
		table.Record(Origin{Stream: fmt.Sprint(i), Service: "s", Release: "v1"})
	}
	table.Record(Origin{Stream: fmt.Sprint(extra), Service: "s", Release: "v2"}) // known
	if _, known := table.Get(fmt.Sprint(extra - 1)); known {
		t.Error("the oldest stream is kept")
	}
	if o, known := table.Get(fmt.Sprint(extra)); !known || o.Release != "v2" {
		t.Errorf("the oldest stream within the limit: %+v, known %v", o, known)
	}
	all := table.All()
	if len(all) != MaxEntries || all[0].Stream != fmt.Sprint(extra) {
		t.Errorf("%d origins, the oldest is %s", len(all), all[0].Stream)
	}
	if diff := cmp.Diff(all, NewTable(all).All()); diff != "" {
		t.Errorf("after a snapshot: %s", diff)
	}
	if table.Record(Origin{Stream: strings.Repeat("x", MaxIDBytes+1)}) {
		t.Error("an ID of any length is stored")
	}
}
