package ledger

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"
)

const (
	benchTrainers = 8
	benchSlots    = 16384 // samples a step
	benchGroup    = 8
)

func benchOpen(trainer int) Command {
	c := &OpenStep{Tenancy: "trainer-" + strconv.Itoa(trainer), Step: "step-1", Model: "sorter", StalenessBound: 2, DeadlineMs: 1 << 45}
	for g := range benchSlots / benchGroup {
		c.Groups = append(c.Groups, Group{Prompt: fmt.Sprintf("prompt %04d of trainer %d", g, trainer), Samples: benchGroup, MaxTokens: 512})
	}
	return Command{OpenStep: c}
}

func benchLedger() *Ledger {
	l := New()
	for i := range benchTrainers {
		for _, c := range []Command{{Publish: &Publish{Tenancy: "trainer-" + strconv.Itoa(i), Model: "sorter", Version: 3}}, benchOpen(i)} {
			l.Apply(c)
		}
	}
	return l
}

// benchAccept returns an Accept of n samples by hosts of a failure domain of 21 hosts.
func benchAccept(trainer, first, n int) Command {
	a := &Accept{}
	for i := first; i < first+n; i++ {
		a.Produced = append(a.Produced, AttemptOutput{Tenancy: "trainer-" + strconv.Itoa(trainer), Step: "step-1", Slot: i, Attempt: 1<<32 | uint64(i+1),
			Versions: []uint64{3}, Digest: Digest{byte(i), byte(i >> 8), 1}, Tokens: 300,
			Holders: []string{"host-" + strconv.Itoa(i%21), "host-" + strconv.Itoa((i+1)%21)}})
	}
	return Command{Accept: a}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkBytesPerSlot measures the memory of 8 steps with all slots accepted, without the
// prompts' text.
func BenchmarkBytesPerSlot(b *testing.B) {
	for range b.N {
		before := heapBytes()
		l := benchLedger()
		for i := range benchTrainers {
			for first := 0; first < benchSlots; first += 64 {
				l.Apply(benchAccept(i, first, 64))
			}
		}
		after := heapBytes()
		snapshot, err := l.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		slots := float64(benchTrainers * benchSlots)
		b.ReportMetric(float64(after-before)/slots, "B/slot")
		b.ReportMetric(float64(len(snapshot))/slots, "snapshot-B/slot")
		runtime.KeepAlive(l)
	}
}

// BenchmarkApply measures the whole life of a slot: decode, accept, batch, acknowledge.
func BenchmarkApply(b *testing.B) {
	for range b.N {
		l := New()
		l.Apply(Command{Publish: &Publish{Tenancy: "trainer-0", Model: "sorter", Version: 3}})
		l.Apply(benchOpen(0))
		ack := uint64(0)
		for first := 0; first < benchSlots; first += 64 {
			b.StopTimer()
			log, err := benchAccept(0, first, 64).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.StartTimer()
			c, err := DecodeCommand(log)
			if err != nil {
				b.Fatal(err)
			}
			l.Apply(c)
			if first%1024 == 0 {
				ack = l.Apply(Command{Fetch: &Fetch{Tenancy: "trainer-0", Step: "step-1", Ack: ack}}).Batch.Number
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchSlots), "ns/slot")
}

// BenchmarkLogBytes measures the log bytes of accepted samples by entry size.
func BenchmarkLogBytes(b *testing.B) {
	for _, n := range []int{1, 16, 64, 256} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			size := 0
			for range b.N {
				log, err := benchAccept(0, 5000, n).Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(log)
			}
			b.ReportMetric(float64(size)/float64(n), "B/sample")
		})
	}
}

// BenchmarkLease measures calls that lease 8 slots while 8 x 16,384 slots are open.
func BenchmarkLease(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	s := NewScheduler(SchedulerConfig{})
	s.Rebuild(now, 1, benchLedger())
	capacity := []Capacity{{Pool: "p", Model: "sorter", Version: 3, FreeSlots: 8}}
	leased := 0
	for i := 0; b.Loop(); i++ {
		host := "host-" + strconv.Itoa(i%21)
		leased += len(s.Lease(now, host, capacity))
		if i%64 == 63 { // keep the number of open slots near 8 x 16,384
			b.StopTimer()
			for h := range 21 {
				s.HostLost("host-" + strconv.Itoa(h))
			}
			b.StartTimer()
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(leased), "ns/slot")
}

// BenchmarkLeaseStragglers measures calls when every slot is in flight and no attempt is a
// straggler yet, as at the end of steps.
func BenchmarkLeaseStragglers(b *testing.B) {
	s := NewScheduler(SchedulerConfig{})
	s.Rebuild(t0, 1, benchLedger())
	s.Lease(t0, "host-0", []Capacity{{Model: "sorter", FreeSlots: benchTrainers * benchSlots}})
	for b.Loop() {
		s.Lease(t0.Add(time.Second), "host-1", []Capacity{{Model: "sorter", FreeSlots: 8}})
	}
}

// BenchmarkInFlight measures the memory of an attempt in flight.
func BenchmarkInFlight(b *testing.B) {
	const inFlight = 20000
	for range b.N {
		s := NewScheduler(SchedulerConfig{})
		s.Rebuild(t0, 1, benchLedger())
		before := heapBytes()
		for i := range inFlight / 8 {
			s.Lease(t0, "host-"+strconv.Itoa(i%21), []Capacity{{Model: "sorter", FreeSlots: 8}})
		}
		b.ReportMetric(float64(heapBytes()-before)/inFlight, "B/attempt")
		runtime.KeepAlive(s)
	}
}

// BenchmarkRebuild measures the takeover of a new leader.
func BenchmarkRebuild(b *testing.B) {
	l := benchLedger()
	s := NewScheduler(SchedulerConfig{})
	before := heapBytes()
	s.Rebuild(t0, 1, l)
	size := float64(heapBytes() - before)
	for term := uint64(2); b.Loop(); term++ {
		s.Rebuild(t0, term, l)
	}
	b.ReportMetric(size/(benchTrainers*benchSlots), "B/slot")
}
