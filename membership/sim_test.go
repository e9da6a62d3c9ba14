package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	simStep = 50 * time.Millisecond
	// simDomainHosts is the size of a failure domain: 410 hosts in 19 domains.
	simDomainHosts = 21
)

// simNetwork delivers encoded packets between in-memory nodes in simulated time. It can lose, delay,
// duplicate and thereby reorder packets, and partition the hosts.
type simNetwork struct {
	t     testing.TB
	now   time.Time
	start time.Time
	rng   *rand.Rand
	hosts []*simHost
	// inFlight holds packets by the step in which they arrive.
	inFlight    map[int64][]simPacket
	loss        float64
	duplication float64
	maxDelay    time.Duration
	bytes       int
	sent        int
	injectFault func(*Node) // deliberate fault
	fault       string      // deliberate fault in the delivery of packets
	// declaredDead is the highest incarnation of a host that a process has declared dead.
	declaredDead map[deathKey]uint64
}

type simHost struct {
	node        *Node
	id          string
	incarnation uint64
	running     bool
	partition   int
	// paused hosts run no code; their packets are delivered after the pause.
	paused bool
}

// deathKey identifies a host and the process that declared it dead. Declarations of processes that
// ended are not checked, because no running process knows of them; RaiseIncarnation covers that case.
type deathKey struct {
	observer *Node
	id       string
}

type simPacket struct {
	from, to *simHost
	data     []byte
}

func newNetwork(t testing.TB, hosts int, seed uint64) *simNetwork {
	sim := &simNetwork{
		t: t, now: time.Unix(1e9, 0), start: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		inFlight: map[int64][]simPacket{}, maxDelay: simStep, declaredDead: map[deathKey]uint64{},
	}
	for i := range hosts {
		sim.hosts = append(sim.hosts, &simHost{id: fmt.Sprintf("host-%03d", i), incarnation: 1})
	}
	for i := range hosts {
		sim.startHost(i)
	}
	return sim
}

// startHost starts a process for host i. It keeps the incarnation of the previous process, so that
// the tests cover hosts whose clock does not advance between restarts.
func (sim *simNetwork) startHost(i int) {
	h := sim.hosts[i]
	h.running = true
	seeds := []string{sim.hosts[0].id + ":1", fmt.Sprintf("host-%03d:1", 1)}
	h.node = New(Config{
		Self:  Host{ID: h.id, Domain: fmt.Sprintf("domain-%d", i%max(2, len(sim.hosts)/simDomainHosts)), Addr: h.id + ":1", Incarnation: h.incarnation},
		Seeds: seeds, Rand: rand.New(rand.NewPCG(sim.rng.Uint64(), uint64(i))),
	}, sim.now)
}

func (sim *simNetwork) step() int64 { return int64(sim.now.Sub(sim.start) / simStep) }

func (sim *simNetwork) send(from *simHost, out []Outgoing) {
	for _, o := range out {
		data, err := cbor.Marshal(o.Packet)
		if err != nil {
			sim.t.Fatal(err)
		}
		// 200 bytes fit the header: kind, two hosts, sequence number, refutation and digest.
		if o.Packet.Kind < Join && len(data) > DefaultGossipBytes+200 {
			sim.t.Fatalf("packet of kind %d has %d bytes", o.Packet.Kind, len(data))
		}
		sim.bytes += len(data)
		sim.sent++
		var i int
		if _, err := fmt.Sscanf(o.Addr, "host-%d:1", &i); err != nil {
			sim.t.Fatal(err)
		}
		for copies := 1; copies > 0; copies-- {
			if sim.rng.Float64() < sim.duplication {
				copies++
			}
			if sim.rng.Float64() >= sim.loss {
				at := sim.step() + 1 + sim.rng.Int64N(int64(sim.maxDelay/simStep))
				sim.inFlight[at] = append(sim.inFlight[at], simPacket{from, sim.hosts[i], data})
			}
		}
	}
}

func (sim *simNetwork) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(simStep)
		for _, p := range sim.inFlight[sim.step()] {
			if !p.to.running || p.from.partition != p.to.partition {
				continue
			}
			if p.to.paused {
				sim.inFlight[sim.step()+1] = append(sim.inFlight[sim.step()+1], p)
				continue
			}
			var pkt Packet
			if err := cbor.Unmarshal(p.data, &pkt); err != nil {
				sim.t.Fatal(err)
			}
			for i, u := range pkt.Updates {
				if sim.fault == "death taken for suspicion" && u.Host.ID == p.to.id && u.State == Dead {
					pkt.Updates[i].State = Suspect
				}
			}
			if sim.fault == "no refutation" {
				pkt.Updates = slices.DeleteFunc(pkt.Updates, func(u Update) bool { return u.Host.ID == p.to.id })
			}
			sim.send(p.to, p.to.node.Receive(sim.now, p.from.id, pkt))
		}
		delete(sim.inFlight, sim.step())
		for _, h := range sim.hosts {
			if h.running && !h.paused {
				if sim.injectFault != nil {
					sim.injectFault(h.node)
				}
				sim.send(h, h.node.Tick(sim.now))
			}
		}
	}
}

// recordDeaths records the incarnations that hosts currently consider dead.
func (sim *simNetwork) recordDeaths() {
	for _, h := range sim.hosts {
		for _, m := range h.node.Members() {
			if m.State == Dead {
				key := deathKey{h.node, m.Host.ID}
				sim.declaredDead[key] = max(sim.declaredDead[key], m.Host.Incarnation)
			}
		}
	}
}

// findDisagreement describes an incorrect view of a host, or returns "". Every running host must see
// exactly the running hosts as live, with an incarnation that it has never declared dead.
func (sim *simNetwork) findDisagreement() string {
	for _, h := range sim.hosts {
		for _, o := range sim.hosts {
			if !h.running || h.node.leaving {
				continue
			}
			m, known := h.node.Member(o.id)
			up := o.running && !o.node.leaving
			if live := known && m.State.Live(); live != up {
				return fmt.Sprintf("%s sees %s as %v (known %v), want live %v", h.id, o.id, m.State, known, up)
			}
			if up && (m.Host != o.node.Self() || m.Host.Incarnation <= sim.declaredDead[deathKey{h.node, o.id}]) {
				return fmt.Sprintf("%s sees incarnation %d of %s, want %d; declared dead: %d", h.id,
					m.Host.Incarnation, o.id, o.node.Self().Incarnation, sim.declaredDead[deathKey{h.node, o.id}])
			}
		}
	}
	return ""
}

// converge runs until all views are correct, or for at most limit, and returns the simulated time
// and the remaining disagreement.
func (sim *simNetwork) converge(limit time.Duration) (took time.Duration, bad string) {
	for bad = sim.findDisagreement(); bad != "" && took < limit; took += simStep {
		sim.run(simStep)
		bad = sim.findDisagreement()
	}
	return took, bad
}

func (sim *simNetwork) mustConverge(limit time.Duration, event string) time.Duration {
	sim.t.Helper()
	took, bad := sim.converge(limit)
	if bad != "" {
		sim.t.Fatalf("not converged %s after %s: %s", limit, event, bad)
	}
	return took
}
