package membership

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// joinedNetwork returns a network of agreeing hosts that has been quiet for a while.
func joinedNetwork(b *testing.B, hosts int) *network {
	w := newNetwork(b, hosts, 9)
	w.mustConverge(5*time.Minute, "join")
	w.run(30 * time.Second)
	return w
}

// metaAge returns the mean age in seconds of the summaries that hosts hold of each other, within
// a failure domain or of all hosts.
func (w *network) metaAge(seconds int, inDomain bool) float64 {
	age, count := 0, 0
	for _, h := range w.hosts {
		for _, m := range h.node.Members() {
			if inDomain && m.Host.Domain != h.node.Self().Domain {
				continue
			}
			at, _ := strconv.Atoi(string(m.Meta)) // no summary counts as one of the start
			age += seconds - 1 - at
			count++
		}
	}
	return float64(age) / float64(count)
}

// BenchmarkTraffic simulates one second of all hosts per operation. It reports the bytes sent
// and the processor time, encoding included, per host and second.
func BenchmarkTraffic(b *testing.B) {
	loads := map[string]func(w *network, second int){
		"idle": func(*network, int) {},
		"meta": func(w *network, second int) { // each host publishes a summary each second
			for _, h := range w.hosts {
				_ = h.node.SetMeta(fmt.Appendf(nil, "%0200d", second))
			}
		},
		"churn": func(w *network, second int) { // a restart every 24 s, which is 3,600 a day
			if second%24 == 0 {
				w.boot(2 + second/24%(len(w.hosts)-2))
			}
		},
	}
	for _, load := range []string{"idle", "churn", "meta"} {
		for _, hosts := range []int{10, 50, 100, 410} {
			b.Run(fmt.Sprintf("%s/hosts=%d", load, hosts), func(b *testing.B) {
				w := joinedNetwork(b, hosts)
				w.bytes, w.sent = 0, 0
				b.ResetTimer()
				for second := range b.N {
					loads[load](w, second)
					w.run(time.Second)
				}
				per := float64(b.N * hosts)
				b.ReportMetric(float64(w.bytes)/per, "B/s/host")
				b.ReportMetric(float64(w.sent)/per, "packets/s/host")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/per, "cpu-us/s/host")
				if load == "meta" {
					b.ReportMetric(w.metaAge(b.N, false), "s-meta-age")
					b.ReportMetric(w.metaAge(b.N, true), "s-domain-meta-age")
				}
			})
		}
	}
}

// until runs the network until enough hosts see host i in a state that accept takes. It returns
// the probe intervals since began.
func (w *network) until(began time.Time, i, enough int, accept func(State) bool) float64 {
	for seen := 0; seen < enough; {
		w.run(simStep)
		seen = 0
		for _, h := range w.hosts {
			if m, _ := h.node.Member(w.hosts[i].id); h.up && accept(m.State) {
				seen++
			}
		}
	}
	return float64(w.now.Sub(began)) / float64(DefaultProbeInterval)
}

// BenchmarkFaults reports the probe intervals until the first host suspects a failed host,
// until the first host declares it dead and until all do. Then it cuts the hosts into halves
// for two minutes, and reports the probe intervals until all agree again and the traffic.
func BenchmarkFaults(b *testing.B) {
	dead := func(s State) bool { return s == Dead }
	for _, hosts := range []int{10, 50, 100, 410} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			w := joinedNetwork(b, hosts)
			sums := map[string]float64{}
			for n := range b.N {
				i := 2 + n%(hosts-2)
				w.hosts[i].up = false
				began := w.now
				sums["intervals-to-suspect"] += w.until(began, i, 1, func(s State) bool { return s != Alive })
				sums["intervals-to-dead"] += w.until(began, i, 1, dead)
				sums["intervals-to-all"] += w.until(began, i, hosts-1, dead)
				w.boot(i)
				w.mustConverge(time.Minute, "restart")
				for j, h := range w.hosts {
					h.side = j % 2
				}
				w.run(2 * time.Minute)
				for _, h := range w.hosts {
					h.side = 0
				}
				before := w.bytes
				took := w.mustConverge(10*time.Minute, "heal").Seconds()
				sums["intervals-to-heal"] += took / DefaultProbeInterval.Seconds()
				sums["heal-B/s/host"] += float64(w.bytes-before) / float64(hosts) / took
			}
			for name, sum := range sums {
				b.ReportMetric(sum/float64(b.N), name)
			}
		})
	}
}

// BenchmarkTargets measures the registry with all 12,000 targets on one owner.
func BenchmarkTargets(b *testing.B) {
	const count = 12_000
	now := time.Unix(1000, 0)
	r := NewTargetRegistry(TargetRegistryConfig{})
	r.SetPolicy(now, admitAll)
	all := make([]Announcement, count)
	for i := range all {
		all[i] = Announcement{ID: fmt.Sprint("target-", i), Incarnation: 1, Pool: fmt.Sprint("pool-", i%50), Loaded: map[string]uint64{"m": 1}}
		_ = r.Announce(now, all[i])
	}
	run := func(name string, op func(i int)) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				op(i)
			}
		})
	}
	run("Announce", func(i int) { _ = r.Announce(now, all[i%count]) })
	run("Dispatchable", func(i int) { r.Dispatchable(now, all[i%count].ID) })
	run("List", func(int) { r.List(now, "pool-7") })
	run("Expire", func(int) { r.Expire(now) })
	run("SetPolicy", func(int) { r.SetPolicy(now, admitAll) })
}
