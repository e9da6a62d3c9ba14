package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/internal/settings"
)

// largeConfig returns a configuration of the size that is expected in two years: 8 trainers,
// 27 desks and 50 pools. The trainers are distributed over the first homes failure domains of
// the demo; with homes 0, all tenancies are desks.
func largeConfig(version uint64, homes int) *confstate.Config {
	c := Config(version)
	trainer, desk, pool := c.Tenancies[0], c.Tenancies[1], c.Pools[0]
	c.Tenancies, c.Pools = nil, nil
	for i := range 50 {
		p := pool
		p.Name = fmt.Sprint("pool-", i)
		p.Targets = confstate.AdmissionPolicy{Admit: []string{fmt.Sprintf("pool-%d-*", i)}, Retire: []string{fmt.Sprintf("pool-%d-3", i)}}
		c.Pools = append(c.Pools, p)
	}
	for i := range 35 {
		t := desk
		if i < 8 && homes > 0 {
			t = trainer
			t.Home = Domains[i%homes]
		}
		t.Name, t.TokenSHA256 = fmt.Sprint("tenancy-", i), confstate.TokenDigest(fmt.Sprint(i))
		t.Pools = []string{"pool-1", fmt.Sprint("pool-", 2+i)}
		c.Tenancies = append(c.Tenancies, t)
	}
	return c
}

// votersPerGroup is the number of voters in each domain group. The other hosts have no data folder.
const votersPerGroup = 3

// startLargeCluster starts a cluster with the default timing and the configuration of largeConfig.
func startLargeCluster(b *testing.B, perDomain, homes int) *Cluster {
	b.Helper()
	cluster, err := NewCluster(perDomain, b.TempDir(), discardLogger())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { cluster.KillAll(context.Background()) })
	ctx, cancel := context.WithTimeout(b.Context(), readyTimeout)
	defer cancel()
	for name, s := range cluster.settings {
		s.Timing = settings.DefaultTiming()
		voters := s.Groups.Domains[s.FailureDomain] // the map is shared by all settings
		s.Groups.Domains[s.FailureDomain] = voters[:min(len(voters), votersPerGroup)]
		if !slices.Contains(s.Groups.Domains[s.FailureDomain], name) {
			s.DataDir, s.Bootstrap = "", false
		}
	}
	if err := cluster.StartAll(ctx); err != nil {
		b.Fatal(err)
	}
	if _, err := cluster.Host("kolfe-1").Apply(ctx, confstate.CanonicalJSON(largeConfig(1, homes))); err != nil {
		b.Fatal(err)
	}
	if err := cluster.AwaitReady(ctx); err != nil {
		b.Fatal(err)
	}
	return cluster
}

// BenchmarkIdleMemory reports memory, goroutines, processor time and bytes written per idle
// host, by the number of hosts and of the trainer homes that the sampler of each host polls.
func BenchmarkIdleMemory(b *testing.B) {
	for _, size := range []struct{ perDomain, homes int }{{1, 3}, {3, 0}, {3, 1}, {3, 3}, {7, 3}} {
		hosts := size.perDomain * len(Domains)
		b.Run(fmt.Sprintf("hosts=%d/homes=%d", hosts, size.homes), func(b *testing.B) {
			before, goroutines := memoryInUse(), runtime.NumGoroutine()
			cluster := startLargeCluster(b, size.perDomain, size.homes)
			time.Sleep(2 * time.Second)
			cpu, bytes := processUsage(b)
			const period = 5 * time.Second
			for range b.N {
				time.Sleep(period)
			}
			cpuAfter, bytesAfter := processUsage(b)
			seconds := period.Seconds() * float64(b.N) * float64(hosts)
			b.ReportMetric((cpuAfter-cpu).Seconds()/seconds*100, "%core/host")
			b.ReportMetric(float64(bytesAfter-bytes)/seconds, "peerB/s/host")
			b.ReportMetric(float64(memoryInUse()-before)/float64(hosts)/1024, "KiB/host")
			b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(hosts), "goroutines/host")
			runtime.KeepAlive(cluster)
		})
	}
}

// BenchmarkAnnouncements posts 30 target announcements per host and second, distributed over
// all hosts as by a load balancer. It reports the processor time and bytes of hosts and targets
// together, including the idle load of the hosts.
func BenchmarkAnnouncements(b *testing.B) {
	const perHost = 30
	for _, perDomain := range []int{1, 3} { // with one host per domain, no announcement is forwarded
		b.Run("hosts="+strconv.Itoa(perDomain*len(Domains)), func(b *testing.B) {
			cluster := startLargeCluster(b, perDomain, 3)
			time.Sleep(2 * time.Second)
			hosts := float64(len(cluster.HostNames()))
			cpu, bytes := processUsage(b)
			start, sent := time.Now(), 0
			tick := time.NewTicker(time.Second / time.Duration(perHost*len(cluster.HostNames())))
			defer tick.Stop()
			for range 5 * b.N * perHost * len(cluster.HostNames()) {
				<-tick.C
				domain := Domains[sent%len(Domains)]
				urls := cluster.URLs(domain)
				target := sent / len(Domains) % (perHost * perDomain)
				announce(b, urls[sent/len(Domains)/7%len(urls)], domain, target)
				sent++
			}
			cpuAfter, bytesAfter := processUsage(b)
			seconds := time.Since(start).Seconds() * hosts
			b.ReportMetric((cpuAfter-cpu).Seconds()/seconds*100, "%core/host")
			b.ReportMetric(float64(bytesAfter-bytes)/seconds, "B/s/host")
			b.ReportMetric(float64(sent)/seconds, "announcements/s/host")
		})
	}
}

// announce posts one announcement of an engine to the host at url.
func announce(b *testing.B, url, domain string, target int) {
	body := fmt.Sprintf(`{"id":"pool-%d-%d","incarnation":1700000000000,"failure_domain":%q,"pool":"pool-%d","address":"127.0.0.1:9",`+
		`"kind":"engine","slots":16,"loaded":{"sorter":123456},"load":{"running":16,"queued":3}}`, target%50, 100+target, domain, target%50)
	response, err := http.Post(url+"/v1/targets/announce", "application/json", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		b.Fatal("announcement refused: ", response.Status)
	}
}

// memoryInUse returns the bytes of live objects and goroutine stacks.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkConfigChanges applies one version of the large configuration per operation, at a
// rate of 46,000 per day. It reports the time until a version is in force on all hosts, and the
// processor time and bytes of all hosts together, including their idle load.
func BenchmarkConfigChanges(b *testing.B) {
	const interval = 24 * time.Hour / 46_000
	for _, perDomain := range []int{3, 7} {
		b.Run("hosts="+strconv.Itoa(perDomain*len(Domains)), func(b *testing.B) {
			cluster := startLargeCluster(b, perDomain, 3)
			time.Sleep(2 * time.Second)
			var times []float64
			version := uint64(1)
			start := time.Now()
			next := start
			cpu, bytes := processUsage(b)
			for range b.N {
				version++
				began := time.Now()
				if _, err := cluster.Host("kolfe-1").Apply(b.Context(), confstate.CanonicalJSON(largeConfig(version, 3))); err != nil {
					b.Fatal(err)
				}
				for _, name := range cluster.HostNames() {
					for cluster.Host(name).ConfigVersion() < version {
						time.Sleep(5 * time.Millisecond)
					}
				}
				times = append(times, time.Since(began).Seconds())
				next = next.Add(interval)
				time.Sleep(time.Until(next))
			}
			cpuAfter, bytesAfter := processUsage(b)
			slices.Sort(times)
			seconds := time.Since(start).Seconds() * float64(len(cluster.HostNames()))
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "changes/s")
			b.ReportMetric(float64(len(confstate.CanonicalJSON(largeConfig(version, 3)))), "B/config")
			b.ReportMetric((cpuAfter-cpu).Seconds()/seconds*100, "%core/host")
			b.ReportMetric(float64(bytesAfter-bytes)/seconds, "B/s/host")
			b.ReportMetric(times[len(times)/2], "p50-s")
			b.ReportMetric(times[len(times)-1], "max-s")
		})
	}
}
