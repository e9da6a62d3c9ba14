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

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// Guards against any broken guarantee on the whole path with a crash, a killed host, a
// configuration change and a graceful shutdown (P1 to P9).
func TestRunKeepsGuarantees(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	input, err := DefaultInput()
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(ctx, input, t.TempDir(), io.Discard, quiet())
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

// Guards against a report whose check cannot fail: each broken guarantee must be noticed.
func TestCheckNoticesEachBrokenGuarantee(t *testing.T) {
	breaks := map[string]func(*Report){
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
	for name, change := range breaks {
		r := &Report{SamplesRequested: 5, SamplesDelivered: 5, ConfigApplied: 2, ConfigVersions: map[string]uint64{"a": 2}}
		if err := r.Check(); err != nil {
			t.Fatalf("intact report: %v", err)
		}
		if change(r); r.Check() == nil {
			t.Errorf("%s: not noticed", name)
		}
	}
}

// Guards against an input that is read in part or with fields that mean nothing.
func TestParseInputRefuses(t *testing.T) {
	for _, in := range []string{"", `{"kind":"step","step":"s","groups":[]}`, `{"kind":"other"}`, `{"kind":"desk","colour":1}`, `{`} {
		if _, err := ParseInput([]byte(in)); errs.CodeOf(err) != errs.CodeInvalid {
			t.Errorf("%s: %v", in, err)
		}
	}
}

// single is one host with one engine, for measurements.
type single struct {
	cluster *Cluster
	engine  *fakes.Engine
	desk    *fakes.Desk
}

// newDomain starts the hosts of one failure domain, which is the home of all tenancies.
func newDomain(ctx context.Context, tb testing.TB, domain string, hosts int, dir string) *Cluster {
	tb.Helper()
	saved := Domains
	Domains = []string{domain}
	defer func() { Domains = saved }()
	cluster, err := NewCluster(hosts, dir, quiet())
	must(tb, err)
	tb.Cleanup(func() { cluster.KillAll(context.Background()) })
	must(tb, cluster.StartAll(ctx))
	cfg := Config(1)
	for i := range cfg.Tenancies {
		cfg.Tenancies[i].Home, cfg.Tenancies[i].Limits = domain, nil
	}
	_, err = cluster.Host(domain+"-1").Apply(ctx, confstate.CanonicalJSON(cfg))
	must(tb, err)
	must(tb, cluster.AwaitReady(ctx))
	return cluster
}

func must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

func newSingle(tb testing.TB) *single {
	tb.Helper()
	ctx, cancel := context.WithTimeout(tb.Context(), readyTimeout)
	defer cancel()
	cluster := newDomain(ctx, tb, "akaki", 1, tb.TempDir())
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
	s := &single{cluster: cluster, engine: e, desk: desk}
	for s.request(ctx, "warm-up") != nil {
		if ctx.Err() != nil {
			tb.Fatal("the host serves no request")
		}
	}
	return s
}

func (s *single) request(ctx context.Context, prompt string) error {
	_, err := s.desk.Do(ctx, fakes.DeskRequest{Model: "sorter", Prompt: prompt, MaxTokens: 8, Timeout: 10 * time.Second})
	return err
}

// flood sends n requests from 16 callers.
func (s *single) flood(tb testing.TB, n int) {
	tb.Helper()
	var callers sync.WaitGroup
	for c := range 16 {
		callers.Go(func() {
			for i := c; i < n; i += 16 {
				if err := s.request(context.Background(), "prompt "+strconv.Itoa(i)); err != nil {
					tb.Error(err)
					return
				}
			}
		})
	}
	callers.Wait()
}

// Guards against goroutines or memory that stay behind with each request.
func TestNoGrowthOver10000Requests(t *testing.T) {
	s := newSingle(t)
	measure := func() (int, uint64) {
		http.DefaultClient.CloseIdleConnections()
		time.Sleep(500 * time.Millisecond)
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return runtime.NumGoroutine(), m.HeapAlloc
	}
	const warm, requests = 2000, 10000
	s.flood(t, warm)
	goroutines, heap := measure()
	s.flood(t, requests)
	after, heapAfter := measure()
	if after > goroutines+20 {
		t.Errorf("goroutines grew from %d to %d", goroutines, after)
	}
	// The fake engine keeps its streams for resuming and counts executions; 1 KiB a request
	// covers that.
	if limit := heap + requests<<10; heapAfter > limit {
		t.Errorf("heap grew from %d to %d bytes, limit %d", heap, heapAfter, limit)
	}
}

// BenchmarkPath compares a desk request through a host with a direct call of the engine. The
// processor time is that of desk, host and engine together.
func BenchmarkPath(b *testing.B) {
	s := newSingle(b)
	client := engine.New(engine.Options{})
	defer client.Close()
	b.Run("direct", func(b *testing.B) {
		quantiles(b, func(i int) error {
			return client.Generate(b.Context(), s.engine.Addr(), engine.Request{
				RequestID: fmt.Sprintf("direct-%d-%d", b.N, i), Model: "sorter", Prompt: "p", MaxTokens: 8,
			}, func(engine.Chunk) error { return nil })
		})
	})
	b.Run("through-host", func(b *testing.B) {
		quantiles(b, func(i int) error { return s.request(b.Context(), "prompt "+strconv.Itoa(i)) })
	})
	b.Run("through-host-parallel", func(b *testing.B) {
		began := time.Now()
		s.flood(b, b.N)
		b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "requests/s")
	})
}

func quantiles(b *testing.B, call func(i int) error) {
	times := make([]float64, 0, b.N)
	cpu, _ := usage(b)
	for i := range b.N {
		began := time.Now()
		if err := call(i); err != nil {
			b.Fatal(err)
		}
		times = append(times, float64(time.Since(began).Microseconds()))
	}
	cpuAfter, _ := usage(b)
	b.ReportMetric(float64((cpuAfter-cpu).Microseconds())/float64(b.N), "cpu-µs")
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2], "p50-µs")
	b.ReportMetric(times[len(times)*99/100], "p99-µs")
}

// BenchmarkIdleControl measures what the hosts spend on control with targets that X
func BenchmarkIdleControl(b *testing.B) {
	for _, perDomain := range []int{1, 3, 7} {
		b.Run(strconv.Itoa(perDomain*len(Domains))+"-hosts", func(b *testing.B) {
			cluster, err := NewCluster(perDomain, b.TempDir(), quiet())
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
			cpu, bytes := usage(b)
			packets := cluster.gossip()
			const period = 5 * time.Second
			for b.Loop() {
				time.Sleep(period)
			}
			cpuAfter, bytesAfter := usage(b)
			seconds := period.Seconds() * float64(b.N) * float64(perDomain*len(Domains))
			b.ReportMetric((cpuAfter-cpu).Seconds()/seconds*100, "%core/host")
			b.ReportMetric(float64(bytesAfter-bytes)/seconds, "peerB/s/host")
			b.ReportMetric(float64(cluster.gossip()-packets)/seconds, "gossipB/s/host")
		})
	}
}

// usage returns the processor time of this process and the bytes that it has written to
// connections and files. Membership packets are not in it, because they are sent with another
// system call.
func usage(tb testing.TB) (time.Duration, uint64) {
	tb.Helper()
	data, err := os.ReadFile(filepath.Join("/proc", "self", "io"))
	if err != nil {
		tb.Skip("no counters of the process: ", err)
	}
	var bytes uint64
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(line, ":"); ok && name == "wchar" {
			bytes, _ = strconv.ParseUint(strings.TrimSpace(value), 10, 64)
		}
	}
	return processorTime(tb), bytes
}

// gossip returns the bytes of membership packets that all hosts have sent.
func (c *Cluster) gossip() (bytes uint64) {
	for _, h := range c.hosts {
		bytes += h.GossipBytesSent()
	}
	return bytes
}

func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
