package membership

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiaflow/internal/faultcheck"
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	fuzzHosts = 8
	// healLimit is the time in which hosts must agree after the last fault: a suspicion of 6
	// probe intervals, a round of probes of 8, two rounds of spreading and repair.
	healLimit = 45 * time.Second
)

// runFaults puts hosts through crashes, restarts, departures, partitions and a bad network,
// ends the faults, and returns the disagreement that remains after healLimit.
func runFaults(t testing.TB, rt *rapid.T, fault string) string {
	w := newNetwork(t, fuzzHosts, rapid.Uint64().Draw(rt, "seed"))
	w.tamper, w.fault = tampers[fault], fault
	w.run(10 * time.Second)
	for range rapid.IntRange(2, 6).Draw(rt, "faults") {
		i := rapid.IntRange(0, fuzzHosts-1).Draw(rt, "host")
		h := w.hosts[i]
		switch rapid.IntRange(0, 5).Draw(rt, "fault") {
		case 0:
			h.up = false
		case 1:
			w.boot(i)
		case 2:
			if !h.node.leaving {
				w.send(h, h.node.Leave(w.now))
			}
		case 3:
			for j := range fuzzHosts {
				w.hosts[j].side = j / (i + 1) % 2
			}
		case 4:
			w.loss = rapid.Float64Range(0, 0.5).Draw(rt, "loss")
			w.dup = 0.2
			w.maxDelay = time.Second
		case 5:
			h.paused = !h.paused
		}
		w.run(time.Duration(rapid.IntRange(0, 20).Draw(rt, "seconds")) * time.Second)
		w.noteDeaths()
	}
	w.loss, w.dup, w.maxDelay = 0, 0, simStep
	for i, h := range w.hosts {
		h.side, h.paused = 0, false
		if !h.up && i < 2 {
			w.boot(i) // at least the seeds run, so that the others can be found
		}
	}
	_, bad := w.converge(healLimit)
	return bad
}

// tampers are deliberate faults; they act on a node before each tick. The network carries out
// those without a function.
var tampers = map[string]func(*Node){
	"no refutation":             nil,
	"death taken for suspicion": nil,
	"no contact after a partition": func(n *Node) {
		if n.joined {
			n.nextSeed = n.lastRun.Add(time.Hour)
		}
		for _, r := range n.table.gone {
			r.State = Left
		}
	},
	"no suspicion":       func(n *Node) { n.probe = nil },
	"suspects never die": func(n *Node) { n.suspects = nil },
}

// Guards against hosts that stay lost, stay listed or are seen under an old incarnation after
// the faults have ended.
func TestMembershipConverges(t *testing.T) {
	run := func(rt *rapid.T, fault string) string { return runFaults(t, rt, fault) }
	faultcheck.Verify(t, run, slices.Sorted(maps.Keys(tampers))...)
}

// oracleTarget is what the test knows about one target.
type oracleTarget struct {
	newest, left uint64 // greatest incarnation heard of, and greatest one that left
	until        time.Time
}

// runTargets sends announcements, departures and policies in any order, old ones included.
func runTargets(t *rapid.T, fault string) string {
	now := time.Unix(1000, 0)
	r := NewTargetRegistry(TargetRegistryConfig{Lease: 3 * time.Second, LeaveTimeout: 4 * time.Second})
	retired := map[string]bool{}
	admit := func(_, id string) bool { return !retired[id] }
	r.SetPolicy(now, admit)
	known := map[string]*oracleTarget{"a": {}, "b": {}}
	for range 80 {
		id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
		o := known[id]
		inc := rapid.Uint64Range(max(o.newest, 2)-1, o.newest+1).Draw(t, "incarnation")
		switch rapid.IntRange(0, 5).Draw(t, "action") {
		case 0, 1:
			listed := r.entries[id] != nil
			err := r.Announce(now, Announcement{ID: id, Incarnation: inc, Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")})
			current := inc >= o.newest && inc > o.left
			if (err == nil) != (current && !retired[id]) {
				return fmt.Sprintf("announcement of %s, incarnation %d, after %+v: %v", id, inc, o, err)
			}
			// A listed target that is retired keeps its lease, because it finishes its
			// requests and may be admitted again.
			if current && (listed || !retired[id]) {
				o.newest, o.until = inc, now.Add(3*time.Second)
			}
		case 2:
			if r.Leave(now, id, inc) == nil {
				o.newest, o.left = max(o.newest, inc), max(o.left, inc)
			}
		case 3:
			if retired[id] = !retired[id]; fault != "policy not applied" {
				r.SetPolicy(now, admit)
			}
		case 4:
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		case 5:
			r.Expire(now)
			if fault == "departures forgotten" {
				clear(r.marks)
			}
		}
		if fault == "lease not checked" && r.entries[id] != nil {
			r.entries[id].leaseUntil = now.Add(time.Second)
		}
		for id, o := range known {
			allowed := o.newest > o.left && !retired[id] && now.Before(o.until)
			if got := r.Dispatchable(now, id); got && !allowed {
				return fmt.Sprintf("target %s is dispatchable after %+v, retired %v", id, o, retired[id])
			}
		}
	}
	return ""
}

// Guards against new work for a target that left, is retired or is silent, whatever the order
// of messages (P7).
func TestLeftTargetIsNeverDispatchable(t *testing.T) {
	faultcheck.Verify(t, runTargets, "policy not applied", "departures forgotten", "lease not checked")
}
