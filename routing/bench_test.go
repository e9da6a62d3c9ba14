package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var benchSizes = []int{13, 100, 1000, 12000}

// BenchmarkDecision measures one request from Enqueue over Next to Done, in a pool whose
// targets are half full.
func BenchmarkDecision(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			d := newTest(Config{SilentAfter: time.Hour})
			for i := range size {
				d.UpsertTarget(start, target(fmt.Sprint("t", i), 16, 1))
			}
			now := start
			ids := make([]string, min(1024, size*4))
			for i := range ids {
				ids[i] = fmt.Sprint("r", i)
				_ = d.Enqueue(now, sample(ids[i], "a", 100))
				d.Next(now)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Microsecond)
				replace(d, now, ids[i%len(ids)], i)
			}
		})
	}
}

// replace ends a request and dispatches another one.
func replace(d *Dispatcher, now time.Time, id string, i int) {
	d.Done(now, id, Result{Tokens: 100, Kind: ResultOK, TimeToFirstToken: time.Millisecond, Duration: time.Second})
	r := sample(id, "a", 100)
	r.PrefixKeys = []uint64{uint64(i % 500), uint64(i%500) + 1000}
	_ = d.Enqueue(now, r)
	d.Next(now)
}

// BenchmarkPickHost measures the choice of a host at the entry.
func BenchmarkPickHost(b *testing.B) {
	for _, size := range []int{6, 21, 410} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			hosts := make([]HostSummary, size)
			for i := range hosts {
				hosts[i] = HostSummary{Host: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%19), ReceivedAt: start,
					Pools: map[string]PoolSummary{"p": {Capacity: 100, Load: i % 90, Versions: map[string]uint64{"m": 1}}}}
			}
			random := rand.New(rand.NewPCG(1, 2))
			r := sample("r", "a", 100)
			r.Domain = "d1"
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.PrefixKeys = append(r.PrefixKeys[:0], uint64(i))
				if _, ok := PickHost(start, r, hosts, random); !ok {
					b.Fatal("no host")
				}
			}
		})
	}
}
