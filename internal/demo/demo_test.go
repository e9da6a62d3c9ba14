package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/engine"
	"fuchsiaflow/internal/fakes"
	"fuchsiaflow/internal/settings"
)

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// Guards against violations of P1 to P9 on the complete request path, with an engine crash, a
// killed host, a configuration change and a graceful shutdown.
func TestRunKeepsGuarantees(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	input, err := DefaultInput()
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(ctx, input, t.TempDir(), io.Discard, discardLogger())
	if err != nil {
		t.Fatalf("%v; report %+v", err, report)
	}
	want := 0
	for _, step := range input.Steps {
		for _, g := range step.Groups {
			want += g.Samples
		}
	}
	if report.SamplesDelivered != want {
		t.Errorf("delivered %d samples, want %d", report.SamplesDelivered, want)
	}
}

// Guards against a Check that cannot fail: it must detect each violated guarantee.
func TestCheckDetectsEachViolatedGuarantee(t *testing.T) {
	violations := map[string]func(*Report){
		"lost":       func(r *Report) { r.SamplesLost = 1 },
		"missing":    func(r *Report) { r.SamplesDelivered-- },
		"duplicated": func(r *Report) { r.SamplesDuplicated = 1 },
		"stale":      func(r *Report) { r.SamplesOverStaleness = 1 },
		"mislabel":   func(r *Report) { r.SamplesMislabelled = 1 },
		"wrong":      func(r *Report) { r.SamplesWrong = 1 },
		"desk":       func(r *Report) { r.DeskWrong = 1 },
		"unsafe":     func(r *Report) { r.UnsafeExecutedTwice = 1 },
		"refusal":    func(r *Report) { r.RanAfterNotRun = 1 },
		"config":     func(r *Report) { r.ConfigVersions["a"] = 1 },
	}
	for name, change := range violations {
		r := &Report{SamplesRequested: 5, SamplesDelivered: 5, ConfigApplied: 2, ConfigVersions: map[string]uint64{"a": 2}}
		if err := r.Check(); err != nil {
			t.Fatalf("intact report: %v", err)
		}
		if change(r); r.Check() == nil {
			t.Errorf("%s: not detected", name)
		}
	}
}

// Guards against accepting incomplete inputs and unknown fields.
func TestParseInputRejectsInvalidInput(t *testing.T) {
	for _, in := range []string{"", `{"kind":"step","step":"s","groups":[]}`, `{"kind":"other"}`, `{"kind":"desk","colour":1}`, `{`} {
		if _, err := ParseInput([]byte(in)); errs.CodeOf(err) != errs.CodeInvalid {
			t.Errorf("%s: %v", in, err)
		}
	}
}

// singleHost is a cluster of one host and one engine, with a desk that calls it.
type singleHost struct {
	cluster *Cluster
	engine  *fakes.Engine
	desk    *fakes.Desk
}

// startDomain starts a cluster of one failure domain, which is the home of all tenancies.
func startDomain(ctx context.Context, tb testing.TB, domain string, hosts int, dir string) *Cluster {
	tb.Helper()
	saved := Domains
	Domains = []string{domain}
	defer func() { Domains = saved }()
	cluster, err := NewCluster(hosts, dir, discardLogger())
	mustSucceed(tb, err)
	tb.Cleanup(func() { cluster.KillAll(context.Background()) })
	mustSucceed(tb, cluster.StartAll(ctx))
	cfg := Config(1)
	for i := range cfg.Tenancies {
		cfg.Tenancies[i].Home, cfg.Tenancies[i].Limits = domain, nil
	}
	_, err = cluster.Host(domain+"-1").Apply(ctx, confstate.CanonicalJSON(cfg))
	mustSucceed(tb, err)
	mustSucceed(tb, cluster.AwaitReady(ctx))
	return cluster
}

func mustSucceed(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// newSingleHost starts a host and an engine and waits until a request succeeds.
func newSingleHost(tb testing.TB) *singleHost {
	tb.Helper()
	ctx, cancel := context.WithTimeout(tb.Context(), readyTimeout)
	defer cancel()
	cluster := startDomain(ctx, tb, "akaki", 1, tb.TempDir())
	e, err := fakes.NewEngine(fakes.EngineOptions{
		TargetOptions: fakes.TargetOptions{ID: "engine-1", FailureDomain: "akaki", Pool: "sorting", Slots: 64, Hosts: cluster.URLs("")},
		Models:        map[string]uint64{"sorter": 1},
	})
	if err != nil {
		tb.Fatal(err)
	}
	desk := fakes.NewDesk(fakes.DeskOptions{Hosts: cluster.URLs(""), Token: DeskToken, Pool: "sorting"})
	tb.Cleanup(func() {
		desk.Close()
		e.Close()
	})
	s := &singleHost{cluster: cluster, engine: e, desk: desk}
	for s.sendRequest(ctx, "warm-up") != nil {
		if ctx.Err() != nil {
			tb.Fatal("the host does not serve requests")
		}
	}
	return s
}

func (s *singleHost) sendRequest(ctx context.Context, prompt string) error {
	_, err := s.desk.Do(ctx, fakes.DeskRequest{Model: "sorter", Prompt: prompt, MaxTokens: 8, Timeout: 10 * time.Second})
	return err
}

// sendConcurrently sends n requests from 16 concurrent callers.
func (s *singleHost) sendConcurrently(tb testing.TB, n int) {
	tb.Helper()
	var callers sync.WaitGroup
	for c := range 16 {
		callers.Go(func() {
			for i := c; i < n; i += 16 {
				if err := s.sendRequest(context.Background(), "prompt "+strconv.Itoa(i)); err != nil {
					tb.Error(err)
					return
				}
			}
		})
	}
	callers.Wait()
}

// Guards against goroutines or memory leaked per request.
func TestNoGrowthOver10000Requests(t *testing.T) {
	s := newSingleHost(t)
	measure := func() (int, uint64) {
		http.DefaultClient.CloseIdleConnections()
		time.Sleep(500 * time.Millisecond)
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return runtime.NumGoroutine(), m.HeapAlloc
	}
	const warm, requests = 2000, 10000
	s.sendConcurrently(t, warm)
	goroutines, heap := measure()
	s.sendConcurrently(t, requests)
	after, heapAfter := measure()
	if after > goroutines+20 {
		t.Errorf("goroutines grew from %d to %d", goroutines, after)
	}
	// The fake engine retains streams for resumption and execution counts; 1 KiB per request
	// covers both.
	if limit := heap + requests<<10; heapAfter > limit {
		t.Errorf("heap grew from %d to %d bytes, limit %d", heap, heapAfter, limit)
	}
}

// BenchmarkPath compares a desk request through a host with a direct call to the engine. The
// reported processor time includes desk, host and engine.
func BenchmarkPath(b *testing.B) {
	s := newSingleHost(b)
	client := engine.New(engine.Options{})
	defer client.Close()
	b.Run("direct", func(b *testing.B) {
		reportLatency(b, func(i int) error {
			return client.Generate(b.Context(), s.engine.Addr(), engine.Request{
				RequestID: fmt.Sprintf("direct-%d-%d", b.N, i), Model: "sorter", Prompt: "p", MaxTokens: 8,
			}, func(engine.Chunk) error { return nil })
		})
	})
	b.Run("through-host", func(b *testing.B) {
		reportLatency(b, func(i int) error { return s.sendRequest(b.Context(), "prompt "+strconv.Itoa(i)) })
	})
	b.Run("through-host-parallel", func(b *testing.B) {
		began := time.Now()
		s.sendConcurrently(b, b.N)
		b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "requests/s")
	})
}

// reportLatency runs call b.N times and reports latency quantiles and processor time per call.
func reportLatency(b *testing.B, call func(i int) error) {
	times := make([]float64, 0, b.N)
	cpu, _ := processUsage(b)
	for i := range b.N {
		began := time.Now()
		if err := call(i); err != nil {
			b.Fatal(err)
		}
		times = append(times, float64(time.Since(began).Microseconds()))
	}
	cpuAfter, _ := processUsage(b)
	b.ReportMetric(float64((cpuAfter-cpu).Microseconds())/float64(b.N), "cpu-µs")
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2], "p50-µs")
	b.ReportMetric(times[len(times)*99/100], "p99-µs")
}

// BenchmarkIdleControl measures the processor time and network bytes that idle hosts without
// targets spend on control traffic.
func BenchmarkIdleControl(b *testing.B) {
	for _, perDomain := range []int{1, 3, 7} {
		b.Run(strconv.Itoa(perDomain*len(Domains))+"-hosts", func(b *testing.B) {
			cluster, err := NewCluster(perDomain, b.TempDir(), discardLogger())
			if err != nil {
				b.Fatal(err)
			}
			defer cluster.KillAll(context.Background())
			ctx, cancel := context.WithTimeout(b.Context(), readyTimeout)
			defer cancel()
			for _, s := range cluster.settings {
				s.Timing = settings.DefaultTiming()
			}
			if err := cluster.StartAll(ctx); err != nil {
				b.Fatal(err)
			}
			if _, err := cluster.Host("kolfe-1").Apply(ctx, confstate.CanonicalJSON(Config(1))); err != nil {
				b.Fatal(err)
			}
			if err := cluster.AwaitReady(ctx); err != nil {
				b.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			cpu, bytes := processUsage(b)
			packets := cluster.gossipBytes()
			const period = 5 * time.Second
			for b.Loop() {
				time.Sleep(period)
			}
			cpuAfter, bytesAfter := processUsage(b)
			seconds := period.Seconds() * float64(b.N) * float64(perDomain*len(Domains))
			b.ReportMetric((cpuAfter-cpu).Seconds()/seconds*100, "%core/host")
			b.ReportMetric(float64(bytesAfter-bytes)/seconds, "peerB/s/host")
			b.ReportMetric(float64(cluster.gossipBytes()-packets)/seconds, "gossipB/s/host")
		})
	}
}

// processUsage returns the processor time of this process and the bytes that it has written to
// connections and files. Membership packets are not included, because wchar does not count the
// system call that sends them.
func processUsage(tb testing.TB) (time.Duration, uint64) {
	tb.Helper()
	data, err := os.ReadFile(filepath.Join("/proc", "self", "io"))
	if err != nil {
		tb.Skip("process I/O counters not available: ", err)
	}
	var bytes uint64
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, ":"); ok && name == "wchar" {
			bytes, _ = strconv.ParseUint(strings.TrimSpace(value), 10, 64)
		}
	}
	return processCPUTime(tb), bytes
}

// gossipBytes returns the total size of the membership packets sent by all running hosts.
func (c *Cluster) gossipBytes() (bytes uint64) {
	for _, h := range c.hosts {
		bytes += h.GossipBytesSent()
	}
	return bytes
}

func processCPUTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
