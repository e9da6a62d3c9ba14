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

// metaAge returns the mean age in seconds of the summaries that hosts hold of each other.
func (w *network) metaAge(seconds int) float64 {
	age, count := 0, 0
	for _, h := range w.hosts {
		for _, m := range h.node.Members() {
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
					b.ReportMetric(w.metaAge(b.N), "s-meta-age")
				}
			})
		}
	}
}

// BenchmarkDetection reports the probe intervals until the first host suspects a failed host,
// until the first host declares it dead and until all do.
func BenchmarkDetection(b *testing.B) {
	for _, hosts := range []int{10, 50, 100, 410} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			w := joinedNetwork(b, hosts)
			var first, dead, all float64
			b.ResetTimer()
			for n := range b.N {
				i := 2 + n%(hosts-2)
				w.hosts[i].up = false
				count := func(accept func(State) bool) int {
					seen := 0
					for _, h := range w.hosts {
						if m, _ := h.node.Member(w.hosts[i].id); h.up && accept(m.State) {
							seen++
						}
					}
					return seen
				}
				began := w.now
				until := func(want int, accept func(State) bool) float64 {
					for count(accept) < want {
						w.run(simStep)
					}
					return float64(w.now.Sub(began)) / float64(DefaultProbeInterval)
				}
				first += until(1, func(s State) bool { return s != Alive })
				dead += until(1, func(s State) bool { return s == Dead })
				all += until(hosts-1, func(s State) bool { return s == Dead })
				w.boot(i)
				w.mustConverge(time.Minute, "restart")
			}
			b.ReportMetric(first/float64(b.N), "intervals-to-suspect")
			b.ReportMetric(dead/float64(b.N), "intervals-to-dead")
			b.ReportMetric(all/float64(b.N), "intervals-to-all")
		})
	}
}

// BenchmarkHeal reports the probe intervals until all hosts agree after a partition into
// halves that lasted long enough for each half to declare the other one dead.
func BenchmarkHeal(b *testing.B) {
	for _, hosts := range []int{10, 50, 100, 410} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			w := joinedNetwork(b, hosts)
			var total time.Duration
			bytes := 0
			b.ResetTimer()
			for range b.N {
				for i, h := range w.hosts {
					h.side = i % 2
				}
				w.run(2 * time.Minute)
				for _, h := range w.hosts {
					h.side = 0
				}
				before := w.bytes
				total += w.mustConverge(10*time.Minute, "heal")
				bytes += w.bytes - before
			}
			b.ReportMetric(float64(total)/float64(DefaultProbeInterval)/float64(b.N), "intervals-to-heal")
			b.ReportMetric(float64(bytes)/float64(hosts)/total.Seconds(), "B/s/host")
		})
	}
}

// BenchmarkTargets measures the registry with all 12,000 targets on one owner.
func BenchmarkTargets(b *testing.B) {
	const count = 12_000
	now := time.Unix(1000, 0)
	r := NewTargets(TargetsConfig{})
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
