package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick measures the choice among the targets of a service, with results and reported load of each. The estimates
// are in use if the targets state their slowness.
func BenchmarkPick(b *testing.B) {
	for _, slowness := range []int{0, 100} {
		for _, n := range []int{4, 48} {
			b.Run(fmt.Sprintf("targets=%d,estimates=%t", n, slowness > 0), func(b *testing.B) {
				bal, list := New("d0"), candidates(n)
				for i, c := range list {
					for range 5 {
						bal.Started(c.ID)
						bal.RecordLoad(t0, c.ID, LoadReport{Running: i % 5, Slots: 6, SlownessPercent: slowness})
						bal.Finished(t0, c.ID, OK, 25*time.Millisecond)
					}
				}
				now := t0.Add(50 * time.Millisecond)
				b.ReportAllocs()
				for b.Loop() {
					bal.Pick(now, list, nil)
				}
			})
		}
	}
}
