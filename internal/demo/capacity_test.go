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

// largeConfig has the size of two years from now: 8 trainers, 27 desks and 50 pools. The
// first trainers are homed in that many of the demo's failure domains.
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

// largeVoters is the number of voters of a domain group. The other hosts have no disk.
const largeVoters = 3

// startLarge starts a cluster with the default timing and the large configuration.
func startLarge(b *testing.B, perDomain, homes int) *Cluster {
	b.Helper()
	cluster, err := NewCluster(perDomain, b.TempDir(), quiet())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { cluster.KillAll(context.Background()) })
	ctx, cancel := context.WithTimeout(b.Context(), readyTimeout)
	defer cancel()
	for name, s := range cluster.settings {
		s.Timing = settings.DefaultTiming()
		voters := s.Groups.Domains[s.FailureDomain] // the map is shared by all settings
		s.Groups.Domains[s.FailureDomain] = voters[:min(len(voters), largeVoters)]
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

// BenchmarkIdleMemory reports the memory of an idle host of this process, and the processor
// time and bytes by the number of homes that its sampler polls.
func BenchmarkIdleMemory(b *testing.B) {
	for _, size := range []struct{ perDomain, homes int }{{1, 3}, {3, 0}, {3, 1}, {3, 3}, {7, 3}} {
		hosts := size.perDomain * len(Domains)
		b.Run(fmt.Sprintf("hosts=%d/homes=%d", hosts, size.homes), func(b *testing.B) {
			before, goroutines := memory(), runtime.NumGoroutine()
			cluster := startLarge(b, size.perDomain, size.homes)
			time.Sleep(2 * time.Second)
			cpu, bytes := usage(b)
			const period = 5 * time.Second
			for range b.N {
				time.Sleep(period)
			}
			cpuAfter, bytesAfter := usage(b)
			seconds := period.Seconds() * float64(b.N) * float64(hosts)
			b.ReportMetric((cpuAfter-cpu).Seconds()/seconds*100, "%core/host")
			b.ReportMetric(float64(bytesAfter-bytes)/seconds, "peerB/s/host")
			b.ReportMetric(float64(memory()-before)/float64(hosts)/1024, "KiB/host")
			b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(hosts), "goroutines/host")
			runtime.KeepAlive(cluster)
		})
	}
}

// BenchmarkAnnouncements posts the announcements of 30 targets a host each second through all
// hosts in turn, as a load balancer does. It reports the processor time and bytes of hosts and
// targets together, which include those of idle hosts.
func BenchmarkAnnouncements(b *testing.B) {
	const perHost = 30
	for _, perDomain := range []int{1, 3} { // with one host a domain, nothing is forwarded
		b.Run("hosts="+strconv.Itoa(perDomain*len(Domains)), func(b *testing.B) {
			cluster := startLarge(b, perDomain, 3)
			time.Sleep(2 * time.Second)
			hosts := float64(len(cluster.Hosts()))
			cpu, bytes := usage(b)
			start, sent := time.Now(), 0
			tick := time.NewTicker(time.Second / time.Duration(perHost*len(cluster.Hosts())))
			defer tick.Stop()
			for range 5 * b.N * perHost * len(cluster.Hosts()) {
				<-tick.C
				domain := Domains[sent%len(Domains)]
				urls := cluster.URLs(domain)
				target := sent / len(Domains) % (perHost * perDomain)
				announce(b, urls[sent/len(Domains)/7%len(urls)], domain, target)
				sent++
			}
			cpuAfter, bytesAfter := usage(b)
			seconds := time.Since(start).Seconds() * hosts
			b.ReportMetric((cpuAfter-cpu).Seconds()/seconds*100, "%core/host")
			b.ReportMetric(float64(bytesAfter-bytes)/seconds, "B/s/host")
			b.ReportMetric(float64(sent)/seconds, "announcements/s/host")
		})
	}
}

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
		b.Fatal("announcement is refused: ", response.Status)
	}
}

// memory returns the bytes of live objects and goroutine stacks.
func memory() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkConfigChanges applies a change of the large configuration per operation, at the
// rate of 46,000 a day. It reports the time until a change is in force on all hosts, and the
// processor time and bytes of all hosts together, which include those of idle hosts.
func BenchmarkConfigChanges(b *testing.B) {
	const interval = 24 * time.Hour / 46_000
	for _, perDomain := range []int{3, 7} {
		b.Run("hosts="+strconv.Itoa(perDomain*len(Domains)), func(b *testing.B) {
			cluster := startLarge(b, perDomain, 3)
			time.Sleep(2 * time.Second)
			var times []float64
			version := uint64(1)
			start := time.Now()
			next := start
			cpu, bytes := usage(b)
			for range b.N {
				version++
				began := time.Now()
				if _, err := cluster.Host("kolfe-1").Apply(b.Context(), confstate.CanonicalJSON(largeConfig(version, 3))); err != nil {
					b.Fatal(err)
				}
				for _, name := range cluster.Hosts() {
					for cluster.Host(name).ConfigVersion() < version {
						time.Sleep(5 * time.Millisecond)
					}
				}
				times = append(times, time.Since(began).Seconds())
				next = next.Add(interval)
				time.Sleep(time.Until(next))
			}
			cpuAfter, bytesAfter := usage(b)
			slices.Sort(times)
			seconds := time.Since(start).Seconds() * float64(len(cluster.Hosts()))
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "changes/s")
			b.ReportMetric(float64(len(confstate.CanonicalJSON(largeConfig(version, 3)))), "B/config")
			b.ReportMetric((cpuAfter-cpu).Seconds()/seconds*100, "%core/host")
			b.ReportMetric(float64(bytesAfter-bytes)/seconds, "B/s/host")
			b.ReportMetric(times[len(times)/2], "p50-s")
			b.ReportMetric(times[len(times)-1], "max-s")
		})
	}
}
