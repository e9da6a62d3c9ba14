package rpc

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// Load of a host at the size that is expected in two years: 12,000 targets in 50 pools on 410 hosts.
const (
	benchTargetsPerHost = 30
	benchPoolsPerHost   = 30 // pools of a host's targets if each target is in a different pool
)

type benchServer struct{ UnimplementedPeerServer }

func (benchServer) LeaseWork(context.Context, *LeaseWorkRequest) (*LeaseWorkReply, error) {
	return &LeaseWorkReply{}, nil
}

func (benchServer) Announce(context.Context, *AnnounceRequest) (*AnnounceReply, error) {
	return &AnnounceReply{}, nil
}

func (benchServer) ReportTargets(context.Context, *ReportTargetsRequest) (*ReportTargetsReply, error) {
	return &ReportTargetsReply{}, nil
}

func (benchServer) ReportWork(context.Context, *ReportWorkRequest) (*ReportWorkReply, error) {
	return &ReportWorkReply{}, nil
}

func (benchServer) Read(context.Context, *ReadRequest) (*ReadReply, error) {
	return &ReadReply{Result: make([]byte, 100)}, nil
}

// newBenchPool returns a pool that connects all peers to one server over separate connections.
func newBenchPool(b *testing.B) *Pool {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer(ServerOptions{Token: testToken, Log: discardLogger()})
	RegisterPeerServer(s, benchServer{})
	var done sync.WaitGroup
	done.Go(func() { _ = s.Serve(l) })
	p := NewPool(Options{
		Self: func() Sender { return testSender }, Token: testToken, Log: discardLogger(),
		Address: func(string) (string, bool) { return l.Addr().String(), true },
	})
	b.Cleanup(func() { p.Close(); s.Stop(); done.Wait() })
	return p
}

// BenchmarkControlCalls reports the bytes of a control call in both directions, including headers,
// and the CPU time of client and server.
func BenchmarkControlCalls(b *testing.B) {
	announcement := []byte(`{"id":"engine-12345","incarnation":1700000000000,"failure_domain":"domain-12","pool":"pool-17",` +
		`"address":"10.12.34.56:9000","kind":"engine","slots":16,"loaded":{"trainer-3":123456},"load":{"running":12,"queued":3}}`)
	lease := func(pools int) *LeaseWorkRequest {
		r := &LeaseWorkRequest{Domain: "domain-12"}
		for i := range pools {
			r.Capacity = append(r.Capacity, &PoolCapacity{Pool: "pool-" + strconv.Itoa(i), Model: "trainer-3", Free: 12, Version: 123456})
		}
		return r
	}
	targets, work := &ReportTargetsRequest{}, &ReportWorkRequest{Domain: "domain-12"}
	for i := range benchTargetsPerHost {
		targets.Targets = append(targets.Targets, &TargetState{Id: fmt.Sprint("engine-", 12000+i), Incarnation: 1 << 40, Pool: "pool-17",
			Address: "10.12.34.56:9000", Loaded: map[string]uint64{"trainer-3": 123456}, LastFence: 1 << 33})
	}
	work.Results = []*AttemptResult{{Tenancy: "trainer-3", Step: "step-123456", Slot: 12345, Attempt: 1 << 33, Versions: []uint64{123456},
		Digest: strings.Repeat("0123456789abcdef", 4), Tokens: 300, Holders: []string{"domain-12-07", "domain-12-08"}}}
	peer, err := newBenchPool(b).Peer("e2")
	if err != nil {
		b.Fatal(err)
	}
	run := func(name string, message proto.Message, call func(ctx context.Context) error) {
		b.Run(name, func(b *testing.B) {
			cpu, bytes := processUsage(b)
			for b.Loop() {
				if err := call(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			cpuAfter, bytesAfter := processUsage(b)
			b.ReportMetric(float64(bytesAfter-bytes)/float64(b.N), "B/call")
			b.ReportMetric(float64(proto.Size(message)), "B/message")
			b.ReportMetric(float64((cpuAfter-cpu).Microseconds())/float64(b.N), "cpu-µs/call")
		})
	}
	read, announce := &ReadRequest{Group: "domain/domain-12", Query: make([]byte, 12)}, &AnnounceRequest{Announcement: announcement, Forwarded: true}
	run("Read", read, func(ctx context.Context) error { _, err := peer.Read(ctx, read); return err })
	run("Announce", announce, func(ctx context.Context) error { _, err := peer.Announce(ctx, announce); return err })
	run("ReportTargets/30", targets, func(ctx context.Context) error { _, err := peer.ReportTargets(ctx, targets); return err })
	run("ReportWork/1", work, func(ctx context.Context) error { _, err := peer.ReportWork(ctx, work); return err })
	for _, pools := range []int{0, 1, benchPoolsPerHost} {
		r := lease(pools)
		run("LeaseWork/"+strconv.Itoa(pools), r, func(ctx context.Context) error { _, err := peer.LeaseWork(ctx, r); return err })
	}
}

// BenchmarkConnectionMemory reports the memory of an open connection after a call, for both ends
// together.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 200
	for range b.N {
		p := newBenchPool(b)
		before := liveMemoryBytes()
		for i := range connections {
			peer, err := p.Peer("e" + strconv.Itoa(i))
			if err != nil {
				b.Fatal(err)
			}
			if _, err := peer.Read(b.Context(), &ReadRequest{Group: "control"}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(liveMemoryBytes()-before)/connections, "B/connection")
		p.Close()
	}
}

// liveMemoryBytes returns the size of the live heap objects and the goroutine stacks.
func liveMemoryBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// processUsage returns the CPU time of this process and the bytes that it has written.
func processUsage(b *testing.B) (time.Duration, uint64) {
	b.Helper()
	data, err := os.ReadFile(filepath.Join("/proc", "self", "io"))
	if err != nil {
		b.Skip("cannot read the I/O counters of the process: ", err)
	}
	var bytes uint64
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, ":"); ok && name == "wchar" {
			bytes, _ = strconv.ParseUint(strings.TrimSpace(value), 10, 64)
		}
	}
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), bytes
}
