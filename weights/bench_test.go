package weights

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures a call of Tick during a rollout to all targets ("wave") and while all
// targets are up to date ("steady"). During the rollout each call issues orders to up to 8
// targets, which report the new version before the next call.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 1000, 12000} {
		b.Run(fmt.Sprintf("wave/%d", n), func(b *testing.B) {
			p := newTestPlanner(Config{StoreRate: 1e9, StoreBurst: 8}, n)
			now, version := t0, uint64(1)
			for b.Loop() {
				b.StopTimer()
				if p.Stats().Behind < n/2 { // publish the next version, so that at least half of the targets are behind
					version++
					p.SetDesired(now, "m", version)
				}
				now = now.Add(10 * time.Second)
				b.StartTimer()
				orders := p.Tick(now, leaseUntil(1, now.Add(time.Hour)))
				b.StopTimer()
				for _, o := range orders {
					p.UpdateTarget(now, targetReport(o.Target, o.Version))
				}
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/target")
		})
		b.Run(fmt.Sprintf("steady/%d", n), func(b *testing.B) {
			p := newTestPlanner(Config{}, n)
			for b.Loop() {
				p.Tick(t0, leaseUntil(1, t0.Add(time.Hour)))
			}
		})
	}
}

// BenchmarkReport measures a report with an unchanged state.
func BenchmarkReport(b *testing.B) {
	p := newTestPlanner(Config{}, 12000)
	r := targetReport("t00077", 1)
	for b.Loop() {
		p.UpdateTarget(t0, r)
	}
}

// BenchmarkRollout simulates the rollout of new weights to the 632 targets of a failure domain,
// with a tick every 100 ms as on a host. It reports the seconds until all targets have loaded
// the weights and the maximum number of concurrent order calls. A call lasts until the swap
// ends. If limit is not 0, Tick is not called while that many targets have calls in progress,
// as on a host.
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
			var duration time.Duration
			maxCalls := 0
			for b.Loop() {
				duration, maxCalls = simulateRollout(targets, c.pools, c.limit, c.swap, c.rate, tick)
			}
			b.ReportMetric(duration.Seconds(), "s-to-all")
			b.ReportMetric(float64(maxCalls), "calls")
		})
	}
}

// simulateRollout returns the time until all targets have loaded the new version and the maximum
// number of concurrent order calls. It gives up after 10 minutes.
func simulateRollout(targets, pools, limit int, swap time.Duration, rate float64, tick time.Duration) (duration time.Duration, maxCalls int) {
	p := NewPlanner(Config{StoreRate: rate})
	reportOf := func(i int, version uint64) TargetReport {
		r := targetReport(fmt.Sprintf("t%05d", i), version)
		r.Pool = fmt.Sprint("pool-", i%pools)
		return r
	}
	index := map[string]int{}
	for i := range targets {
		r := reportOf(i, 1)
		index[r.ID] = i
		p.UpdateTarget(t0, r)
	}
	p.SetDesired(t0, "m", 2)
	loadedAt := map[string]time.Time{} // time at which the swap of a target ends
	type call struct {
		order Order
		end   time.Time
	}
	var calls []call
	countBusyTargets := func() int {
		busy := map[string]bool{}
		for _, c := range calls {
			busy[c.order.Target] = true
		}
		return len(busy)
	}
	for now := t0; now.Before(t0.Add(10 * time.Minute)); now = now.Add(tick) {
		inProgress := calls[:0]
		for _, c := range calls {
			if now.Before(c.end) {
				inProgress = append(inProgress, c)
				continue
			}
			p.RecordResult(now, OrderResult{Target: c.order.Target, Model: "m", Version: 2, Fence: c.order.Fence, OK: true})
			p.UpdateTarget(now, reportOf(index[c.order.Target], 2))
		}
		if calls = inProgress; p.Stats().Behind == 0 {
			return now.Sub(t0), maxCalls
		}
		if limit > 0 && countBusyTargets() >= limit {
			continue
		}
		for _, o := range p.Tick(now, leaseUntil(1, now.Add(time.Hour))) {
			if loadedAt[o.Target].IsZero() {
				loadedAt[o.Target] = now.Add(swap)
			}
			calls = append(calls, call{o, loadedAt[o.Target]}) // a resent order waits for the swap in progress
		}
		maxCalls = max(maxCalls, len(calls))
	}
	return 10 * time.Minute, maxCalls
}
