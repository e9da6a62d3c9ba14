package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var benchTargetCounts = []int{13, 100, 1000, 12000}

// BenchmarkDecision measures the calls of Enqueue, Next and Done for one request in a pool whose
// targets are half full.
func BenchmarkDecision(b *testing.B) {
	for _, size := range benchTargetCounts {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			d := newTestDispatcher(Config{SilentAfter: time.Hour})
			for i := range size {
				d.UpsertTarget(testStart, testTarget(fmt.Sprint("t", i), 16, 1))
			}
			now := testStart
			ids := make([]string, min(1024, size*4))
			for i := range ids {
				ids[i] = fmt.Sprint("r", i)
				_ = d.Enqueue(now, testSample(ids[i], "a", 100))
				d.Next(now)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Microsecond)
				completeAndEnqueue(d, now, ids[i%len(ids)], i)
			}
		})
	}
}

// completeAndEnqueue completes a request and dispatches another one with the same ID.
func completeAndEnqueue(d *Dispatcher, now time.Time, id string, i int) {
	d.Done(now, id, Result{Tokens: 100, Kind: ResultOK, TimeToFirstToken: time.Millisecond, Duration: time.Second})
	r := testSample(id, "a", 100)
	r.PrefixKeys = []uint64{uint64(i % 500), uint64(i%500) + 1000}
	_ = d.Enqueue(now, r)
	d.Next(now)
}

// BenchmarkPickHost measures the choice of a host on an entry host.
func BenchmarkPickHost(b *testing.B) {
	for _, size := range []int{6, 21, 410} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			hosts := make([]HostSummary, size)
			for i := range hosts {
				hosts[i] = HostSummary{Host: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%19), ReceivedAt: testStart,
					Pools: map[string]PoolSummary{"p": {Capacity: 100, Load: i % 90, Versions: map[string]uint64{"m": 1}}}}
			}
			random := rand.New(rand.NewPCG(1, 2))
			r := testSample("r", "a", 100)
			r.Domain = "d1"
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.PrefixKeys = append(r.PrefixKeys[:0], uint64(i))
				if _, ok := PickHost(testStart, r, hosts, random); !ok {
					b.Fatal("no host")
				}
			}
		})
	}
}
