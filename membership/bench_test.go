package membership

import (
	"fmt"
	"strconv"
	"testing"
	"time"
)

// newJoinedNetwork returns a network that has converged and then run for 30 s without changes.
func newJoinedNetwork(b *testing.B, hosts int) *simNetwork {
	sim := newNetwork(b, hosts, 9)
	sim.mustConverge(5*time.Minute, "join")
	sim.run(30 * time.Second)
	return sim
}

// meanMetaAge returns the mean age in seconds of the metadata that hosts hold of each other, either
// within the failure domain or of all hosts.
func (sim *simNetwork) meanMetaAge(seconds int, inDomain bool) float64 {
	age, count := 0, 0
	for _, h := range sim.hosts {
		for _, m := range h.node.Members() {
			if inDomain && m.Host.Domain != h.node.Self().Domain {
				continue
			}
			at, _ := strconv.Atoi(string(m.Meta)) // missing metadata counts as published at second 0
			age += seconds - 1 - at
			count++
		}
	}
	return float64(age) / float64(count)
}

// BenchmarkTraffic simulates one second of all hosts per operation. It reports the bytes and packets
// sent and the CPU time, including encoding, per host and second.
func BenchmarkTraffic(b *testing.B) {
	loads := map[string]func(sim *simNetwork, second int){
		"idle": func(*simNetwork, int) {},
		"meta": func(sim *simNetwork, second int) { // each host publishes metadata every second
			for _, h := range sim.hosts {
				_ = h.node.SetMeta(fmt.Appendf(nil, "%0200d", second))
			}
		},
		"churn": func(sim *simNetwork, second int) { // a restart every 24 s, which is 3,600 a day
			if second%24 == 0 {
				sim.startHost(2 + second/24%(len(sim.hosts)-2))
			}
		},
	}
	for _, load := range []string{"idle", "churn", "meta"} {
		for _, hosts := range []int{10, 50, 100, 410} {
			b.Run(fmt.Sprintf("%s/hosts=%d", load, hosts), func(b *testing.B) {
				sim := newJoinedNetwork(b, hosts)
				sim.bytes, sim.sent = 0, 0
				b.ResetTimer()
				for second := range b.N {
					loads[load](sim, second)
					sim.run(time.Second)
				}
				hostSeconds := float64(b.N * hosts)
				b.ReportMetric(float64(sim.bytes)/hostSeconds, "B/s/host")
				b.ReportMetric(float64(sim.sent)/hostSeconds, "packets/s/host")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/hostSeconds, "cpu-us/s/host")
				if load == "meta" {
					b.ReportMetric(sim.meanMetaAge(b.N, false), "s-meta-age")
					b.ReportMetric(sim.meanMetaAge(b.N, true), "s-domain-meta-age")
				}
			})
		}
	}
}

// runUntil runs the network until minHosts hosts see host i in a state that accept selects. It
// returns the number of probe intervals since start.
func (sim *simNetwork) runUntil(start time.Time, i, minHosts int, accept func(State) bool) float64 {
	for seen := 0; seen < minHosts; {
		sim.run(simStep)
		seen = 0
		for _, h := range sim.hosts {
			if m, _ := h.node.Member(sim.hosts[i].id); h.running && accept(m.State) {
				seen++
			}
		}
	}
	return float64(sim.now.Sub(start)) / float64(DefaultProbeInterval)
}

// BenchmarkFaults reports the number of probe intervals until the first host suspects a failed host,
// until the first host declares it dead and until all do. It then partitions the hosts into halves
// for two minutes, and reports the number of probe intervals until they converge again and the
// traffic in that time.
func BenchmarkFaults(b *testing.B) {
	dead := func(s State) bool { return s == Dead }
	for _, hosts := range []int{10, 50, 100, 410} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			sim := newJoinedNetwork(b, hosts)
			sums := map[string]float64{}
			for n := range b.N {
				i := 2 + n%(hosts-2)
				sim.hosts[i].running = false
				start := sim.now
				sums["intervals-to-suspect"] += sim.runUntil(start, i, 1, func(s State) bool { return s != Alive })
				sums["intervals-to-dead"] += sim.runUntil(start, i, 1, dead)
				sums["intervals-to-all"] += sim.runUntil(start, i, hosts-1, dead)
				sim.startHost(i)
				sim.mustConverge(time.Minute, "restart")
				for j, h := range sim.hosts {
					h.partition = j % 2
				}
				sim.run(2 * time.Minute)
				for _, h := range sim.hosts {
					h.partition = 0
				}
				before := sim.bytes
				took := sim.mustConverge(10*time.Minute, "heal").Seconds()
				sums["intervals-to-heal"] += took / DefaultProbeInterval.Seconds()
				sums["heal-B/s/host"] += float64(sim.bytes-before) / float64(hosts) / took
			}
			for name, sum := range sums {
				b.ReportMetric(sum/float64(b.N), name)
			}
		})
	}
}

// BenchmarkTargets measures the registry when one host owns all 12,000 targets.
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
