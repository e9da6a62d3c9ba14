package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPick measures the choice among the targets of a service, with results and reported load of each.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 48} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			bal, list := New("d0"), candidates(n)
			for i, c := range list {
				for range 5 {
					bal.Started(c.ID)
					bal.RecordLoad(t0, c.ID, LoadReport{Running: i % 5, Slots: 6})
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
