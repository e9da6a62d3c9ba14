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

// network delivers encoded packets between in-memory nodes in simulated time. It can lose,
// delay, duplicate and thereby reorder packets, and cut hosts off from each other.
type network struct {
	t     testing.TB
	now   time.Time
	start time.Time
	rng   *rand.Rand
	hosts []*simHost
	// inFlight holds packets by the step at which they arrive.
	inFlight map[int64][]simPacket
	loss     float64
	dup      float64
	maxDelay time.Duration
	bytes    int
	sent     int
	tamper   func(*Node) // deliberate fault
	fault    string      // deliberate fault in the delivery of packets
	// declaredDead is the greatest incarnation of a host that a process has seen as dead.
	declaredDead map[death]uint64
}

type simHost struct {
	node *Node
	id   string
	inc  uint64
	up   bool
	side int
	// paused hosts run no code, but packets wait for them.
	paused bool
}

// death names who saw whom as dead. A process that is gone cannot tell what it saw, so its
// declarations bind no one; that case is left to Renew.
type death struct {
	witness *Node
	id      string
}

type simPacket struct {
	from, to *simHost
	data     []byte
}

func newNetwork(t testing.TB, hosts int, seed uint64) *network {
	w := &network{
		t: t, now: time.Unix(1e9, 0), start: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		inFlight: map[int64][]simPacket{}, maxDelay: simStep, declaredDead: map[death]uint64{},
	}
	for i := range hosts {
		w.hosts = append(w.hosts, &simHost{id: fmt.Sprintf("host-%03d", i), inc: 1})
	}
	for i := range hosts {
		w.boot(i)
	}
	return w
}

// boot starts a process for host i. Its incarnation is not raised here, so that the tests
// cover a host whose clock is of no use.
func (w *network) boot(i int) {
	h := w.hosts[i]
	h.up = true
	seeds := []string{w.hosts[0].id + ":1", fmt.Sprintf("host-%03d:1", 1)}
	h.node = New(Config{
		Self:  Host{ID: h.id, Domain: fmt.Sprintf("domain-%d", i%max(2, len(w.hosts)/simDomainHosts)), Addr: h.id + ":1", Incarnation: h.inc},
		Seeds: seeds, Rand: rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i))),
	}, w.now)
}

func (w *network) step() int64 { return int64(w.now.Sub(w.start) / simStep) }

func (w *network) send(from *simHost, out []Outgoing) {
	for _, o := range out {
		data, err := cbor.Marshal(o.Packet)
		if err != nil {
			w.t.Fatal(err)
		}
		// 200 bytes hold the header: kind, two hosts, sequence number, refutation and view.
		if o.Packet.Kind < Join && len(data) > DefaultGossipBytes+200 {
			w.t.Fatalf("packet of kind %d has %d bytes", o.Packet.Kind, len(data))
		}
		w.bytes += len(data)
		w.sent++
		var i int
		if _, err := fmt.Sscanf(o.Addr, "host-%d:1", &i); err != nil {
			w.t.Fatal(err)
		}
		for copies := 1; copies > 0; copies-- {
			if w.rng.Float64() < w.dup {
				copies++
			}
			if w.rng.Float64() >= w.loss {
				at := w.step() + 1 + w.rng.Int64N(int64(w.maxDelay/simStep))
				w.inFlight[at] = append(w.inFlight[at], simPacket{from, w.hosts[i], data})
			}
		}
	}
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(simStep)
		for _, p := range w.inFlight[w.step()] {
			if !p.to.up || p.from.side != p.to.side {
				continue
			}
			if p.to.paused {
				w.inFlight[w.step()+1] = append(w.inFlight[w.step()+1], p)
				continue
			}
			var pkt Packet
			if err := cbor.Unmarshal(p.data, &pkt); err != nil {
				w.t.Fatal(err)
			}
			for i, u := range pkt.Updates {
				if w.fault == "death taken for suspicion" && u.Host.ID == p.to.id && u.State == Dead {
					pkt.Updates[i].State = Suspect
				}
			}
			if w.fault == "no refutation" {
				pkt.Updates = slices.DeleteFunc(pkt.Updates, func(u Update) bool { return u.Host.ID == p.to.id })
			}
			w.send(p.to, p.to.node.Receive(w.now, p.from.id, pkt))
		}
		delete(w.inFlight, w.step())
		for _, h := range w.hosts {
			if h.up && !h.paused {
				if w.tamper != nil {
					w.tamper(h.node)
				}
				w.send(h, h.node.Tick(w.now))
			}
		}
	}
}

// noteDeaths remembers which incarnations are seen as dead now.
func (w *network) noteDeaths() {
	for _, h := range w.hosts {
		for _, m := range h.node.Members() {
			if m.State == Dead {
				at := death{h.node, m.Host.ID}
				w.declaredDead[at] = max(w.declaredDead[at], m.Host.Incarnation)
			}
		}
	}
}

// disagreement returns a description of a wrong view, or "". Every running host must see
// exactly the running hosts as live, with an incarnation that it has never seen as dead.
func (w *network) disagreement() string {
	for _, h := range w.hosts {
		for _, o := range w.hosts {
			if !h.up || h.node.leaving {
				continue
			}
			m, known := h.node.Member(o.id)
			up := o.up && !o.node.leaving
			if live := known && m.State.Live(); live != up {
				return fmt.Sprintf("%s sees %s as %v (known %v), want live %v", h.id, o.id, m.State, known, up)
			}
			if up && (m.Host != o.node.Self() || m.Host.Incarnation <= w.declaredDead[death{h.node, o.id}]) {
				return fmt.Sprintf("%s sees incarnation %d of %s, want %d; declared dead: %d", h.id,
					m.Host.Incarnation, o.id, o.node.Self().Incarnation, w.declaredDead[death{h.node, o.id}])
			}
		}
	}
	return ""
}

// converge runs until all views are right and returns the simulated time that it took.
func (w *network) converge(limit time.Duration) (took time.Duration, bad string) {
	for bad = w.disagreement(); bad != "" && took < limit; took += simStep {
		w.run(simStep)
		bad = w.disagreement()
	}
	return took, bad
}

func (w *network) mustConverge(limit time.Duration, event string) time.Duration {
	w.t.Helper()
	took, bad := w.converge(limit)
	if bad != "" {
		w.t.Fatalf("not converged %s after %s: %s", limit, event, bad)
	}
	return took
}
