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
					p.SetDesired(now, "m", version)
				}
				now = now.Add(10 * time.Second)
				b.StartTimer()
				orders := p.Tick(now, lease(1, now.Add(time.Hour)))
				b.StopTimer()
				for _, o := range orders {
					p.UpdateTarget(now, report(o.Target, o.Version))
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
		p.UpdateTarget(t0, r)
	}
}

// BenchmarkRollout simulates new weights on the 632 targets of a failure domain, in ticks of
// 100 ms as the host gives them. It reports the seconds until all targets have loaded them and
// the largest number of order calls in progress; a call lasts as long as the swap. With a
// limit the planner is not asked while as many targets have calls in progress, as the host does.
func BenchmarkRollout(b *testing.B) {
	const targets, tick = 632, 100 * time.Millisecond
	for _, c := range []struct {
		pools, limit int
		swap         time.Duration
		rate         float64
	}{
		{1, 0, 5 * time.Second, 24}, {1, 0, 5 * time.Second, 30}, {1, 0, 6 * time.Second, 40}, {50, 0, 5 * time.Second, 40},
		{1, 256, 5 * time.Second, 30}, {1, 256, time.Second, 30}, {50, 256, 5 * time.Second, 40},
	} {
		b.Run(fmt.Sprintf("pools=%d/limit=%d/swap=%s/rate=%.0f", c.pools, c.limit, c.swap, c.rate), func(b *testing.B) {
			var took time.Duration
			most := 0
			for b.Loop() {
				took, most = rollout(targets, c.pools, c.limit, c.swap, c.rate, tick)
			}
			b.ReportMetric(took.Seconds(), "s-to-all")
			b.ReportMetric(float64(most), "calls")
		})
	}
}

func rollout(targets, pools, limit int, swap time.Duration, rate float64, tick time.Duration) (took time.Duration, most int) {
	p := NewPlanner(Config{StoreRate: rate})
	state := func(i int, version uint64) TargetReport {
		r := report(fmt.Sprintf("t%05d", i), version)
		r.Pool = fmt.Sprint("pool-", i%pools)
		return r
	}
	index := map[string]int{}
	for i := range targets {
		r := state(i, 1)
		index[r.ID] = i
		p.UpdateTarget(t0, r)
	}
	p.SetDesired(t0, "m", 2)
	loaded := map[string]time.Time{} // when the first order of a target has ended
	type call struct {
		order Order
		ends  time.Time
	}
	var calls []call
	busy := func() int {
		set := map[string]bool{}
		for _, c := range calls {
			set[c.order.Target] = true
		}
		return len(set)
	}
	for now := t0; now.Before(t0.Add(10 * time.Minute)); now = now.Add(tick) {
		rest := calls[:0]
		for _, c := range calls {
			if now.Before(c.ends) {
				rest = append(rest, c)
				continue
			}
			p.RecordResult(now, OrderResult{Target: c.order.Target, Model: "m", Version: 2, Fence: c.order.Fence, OK: true})
			p.UpdateTarget(now, state(index[c.order.Target], 2))
		}
		if calls = rest; p.Stats().Behind == 0 {
			return now.Sub(t0), most
		}
		if limit > 0 && busy() >= limit {
			continue
		}
		for _, o := range p.Tick(now, lease(1, now.Add(time.Hour))) {
			if loaded[o.Target].IsZero() {
				loaded[o.Target] = now.Add(swap)
			}
			calls = append(calls, call{o, loaded[o.Target]}) // a repetition joins the swap in progress
		}
		most = max(most, len(calls))
	}
	return 10 * time.Minute, most
}
