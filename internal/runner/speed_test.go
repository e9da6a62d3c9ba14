package runner

import (
	"testing"
	"time"

	"fuchsiaflow/internal/sse"
)

// Guards against a speed that is known only at the end of a run, that counts the time for the
// prompt, or that looks good because the engine has stopped to send.
func TestSpeedOfARunInProgress(t *testing.T) {
	x := &itemRun{text: &partial{}}
	if _, ok := x.sample(time.Now()); ok {
		t.Error("a run without events has a speed")
	}
	for id := uint64(1); id <= 4; id++ {
		x.take(sse.Event{ID: id, Data: []byte("a")})
		time.Sleep(20 * time.Millisecond)
	}
	gap, ok := x.sample(x.lastGot.Add(20 * time.Millisecond))
	if !ok || gap < 20*time.Millisecond || gap > 100*time.Millisecond {
		t.Errorf("gap %s, %v; want about 20 ms", gap, ok)
	}
	if _, ok := x.sample(x.lastGot.Add(100 * time.Millisecond)); ok {
		t.Error("a short pause is a measurement")
	}
	if gap, ok := x.sample(x.lastGot.Add(time.Second)); !ok || gap != time.Second {
		t.Errorf("gap %s, %v after a second without an event", gap, ok)
	}
}
