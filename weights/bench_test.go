package weights

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures a call while a whole fleet is behind and while it is up to date.
// Each call in the wave orders up to 8 targets, which report before the next call.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1000, 12000} {
		b.Run(fmt.Sprintf("wave/%d", n), func(b *testing.B) {
			p := fleet(Config{StoreRate: 1e9, StoreBurst: 8}, n)
			now, version := t0, uint64(1)
			for b.Loop() {
				b.StopTimer()
				if p.Stats().Behind < n/2 { // start the next version; half to all targets are behind
					version++
					p.Desire(now, "m", version)
				}
				now = now.Add(10 * time.Second)
				b.StartTimer()
				orders := p.Tick(now, lease(1, now.Add(time.Hour)))
				b.StopTimer()
				for _, o := range orders {
					p.Report(now, report(o.Target, o.Version))
				}
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/target")
		})
		b.Run(fmt.Sprintf("steady/%d", n), func(b *testing.B) {
			p := fleet(Config{}, n)
			for b.Loop() {
				p.Tick(t0, lease(1, t0.Add(time.Hour)))
			}
		})
	}
}

// BenchmarkReport measures a report that changes nothing.
func BenchmarkReport(b *testing.B) {
	p := fleet(Config{}, 12000)
	r := report("t00077", 1)
	for b.Loop() {
		p.Report(t0, r)
	}
}
