package limits

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against refused callers who return at the same moment, or before there is room, or after their deadlines.
func TestRefusedRequestsReturnOneAfterTheOther(t *testing.T) {
	var r Returns
	var got []time.Duration
	for range 5 {
		got = append(got, r.Add(start, start.Add(100*time.Millisecond), start.Add(320*time.Millisecond), 100*time.Millisecond))
	}
	later := start.Add(2 * time.Second)
	got = append(got, r.Add(later, later.Add(700*time.Millisecond), later.Add(300*time.Millisecond), 100*time.Millisecond))
	want := []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond,
		200 * time.Millisecond, 700 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
