package runner

import (
	"testing"
	"time"

	"fuchsiaflow/internal/sse"
)

// Guards against an event gap that is available only at the end of a run, includes the time for the
// prompt, or stays small although the engine has stopped sending.
func TestSampleGapDuringRun(t *testing.T) {
	ir := &itemRun{output: &partialText{}}
	if _, ok := ir.sampleGap(time.Now()); ok {
		t.Error("a run without events returned a sample")
	}
	for id := uint64(1); id <= 4; id++ {
		ir.appendEvent(sse.Event{ID: id, Data: []byte("a")})
		time.Sleep(20 * time.Millisecond)
	}
	gap, ok := ir.sampleGap(ir.lastEventAt.Add(20 * time.Millisecond))
	if !ok || gap < 20*time.Millisecond || gap > 100*time.Millisecond {
		t.Errorf("gap %s, %v; want about 20 ms", gap, ok)
	}
	if _, ok := ir.sampleGap(ir.lastEventAt.Add(100 * time.Millisecond)); ok {
		t.Error("a pause shorter than speedInterval returned a sample")
	}
	if gap, ok := ir.sampleGap(ir.lastEventAt.Add(time.Second)); !ok || gap != time.Second {
		t.Errorf("gap %s, %v; want 1s after a second without an event", gap, ok)
	}
}
