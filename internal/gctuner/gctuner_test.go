package gctuner

import "testing"

// Guards against a collector that takes half of the processor of a busy host to keep its heap small, and against a
// heap that stays large on an idle one. The cost of a collection grows with the live heap, and its frequency falls
// with the growth that is allowed.
func TestCollectorGetsRoomUnderLoad(t *testing.T) {
	for name, load := range map[string]struct {
		liveMB, allocMBPerSecond float64
		wantShare                float64 // at most
		wantPercent              int     // at most
	}{
		"idle host":   {8, 1, lowShare, MinPercent},
		"busy leader": {40, 55, highShare, maxPercent},
	} {
		const secondsPerMB = 0.0005 // processor time to mark the live heap
		share := func(percent int) float64 {
			return load.allocMBPerSecond / (load.liveMB * float64(percent) / 100) * load.liveMB * secondsPerMB
		}
		percent := MinPercent
		for range 20 {
			percent = nextPercent(percent, share(percent))
		}
		if got := share(percent); got > load.wantShare || percent > load.wantPercent {
			t.Errorf("%s: share %.3f with %d%%, want at most %.3f with %d%%", name, got, percent, load.wantShare, load.wantPercent)
		}
		if again := nextPercent(percent, share(percent)); again != percent {
			t.Errorf("%s: the value goes from %d to %d", name, percent, again)
		}
	}
}
