package membership

import "time"

const (
	// maxRelays bounds the probes that a host relays at a time.
	maxRelays = 64
	// seedPeriods is the number of probe intervals between attempts to reach a seed that is
	// not among the live hosts.
	seedPeriods = 10
)

// probe is the one probe that a host has open.
type probe struct {
	target   *record
	seq      uint64
	started  time.Time
	indirect bool
	acked    bool
}

// relay is a probe made for another host.
type relay struct {
	origin  Host
	seq     uint64
	target  Host
	expires time.Time
}

// Tick advances the node and returns the packets to send. It should be called several times
// per ProbeTimeout.
func (n *Node) Tick(now time.Time) []Outgoing {
	n.forgivePause(now)
	if n.leaving {
		return n.spreadDeparture(now)
	}
	n.expireSuspects(now)
	var out []Outgoing
	if p := n.probe; p != nil && !p.acked && !p.indirect && !now.Before(p.started.Add(n.cfg.ProbeTimeout)) {
		p.indirect = true
		out = append(out, n.probeIndirectly(p)...)
	}
	if !now.Before(n.nextProbe) {
		n.nextProbe = now.Add(n.cfg.ProbeInterval)
		n.finishProbe(now)
		out = append(out, n.startProbe(now)...)
		out = append(out, n.probeGone()...)
		out = append(out, n.gossipInDomain()...)
		n.expireRelays(now)
	}
	if !now.Before(n.nextSeed) {
		out = append(out, n.contactSeed(now)...)
	}
	return out
}

// forgivePause moves the open deadlines by the time in which this process did not run. Without
// it, a host that was paused would declare hosts dead whose answers it never read. Packets call
// it too: a suspicion that arrives after the pause must not be extended by the pause.
func (n *Node) forgivePause(now time.Time) {
	gap := now.Sub(n.lastRun)
	n.lastRun = now
	if gap <= n.cfg.ProbeInterval {
		return
	}
	n.probe = nil
	for _, r := range n.suspects {
		r.suspectUntil = r.suspectUntil.Add(gap)
	}
}

func (n *Node) expireSuspects(now time.Time) {
	var expired []*record
	for _, r := range n.suspects {
		if !now.Before(r.suspectUntil) {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		u := r.Update
		u.State = Dead
		n.apply(now, u)
	}
}

func (n *Node) finishProbe(now time.Time) {
	p := n.probe
	n.probe = nil
	if p == nil || p.acked || p.target.State != Alive {
		return
	}
	u := p.target.Update
	u.State = Suspect
	n.apply(now, u)
}

// startProbe visits the live hosts in a random order that changes with each round, so each
// host is probed within two rounds at most.
func (n *Node) startProbe(now time.Time) []Outgoing {
	if len(n.table.live) == 0 {
		return nil
	}
	if n.probeNext >= len(n.table.live) {
		n.probeNext = 0
		shuffle(n.cfg.Rand, n.table.live)
	}
	target := n.table.live[n.probeNext]
	n.probeNext++
	n.seq++
	n.probe = &probe{target: target, seq: n.seq, started: now}
	return []Outgoing{n.ping(target.Host, n.seq)}
}

func (n *Node) ping(h Host, seq uint64) Outgoing {
	return n.to(h, Packet{Kind: Ping, Seq: seq, Target: h})
}

func (n *Node) probeIndirectly(p *probe) []Outgoing {
	var out []Outgoing
	others := func(r *record) bool { return r != p.target }
	for _, r := range pick(n.cfg.Rand, n.table.live, n.cfg.IndirectProbes, others) {
		out = append(out, n.to(r.Host, Packet{Kind: PingReq, Seq: p.seq, Target: p.target.Host}))
	}
	return out
}

// probeGone pings one dead host per interval. The ping tells it that it is believed dead, so
// it can refute; this heals a partition without an operator.
func (n *Node) probeGone() []Outgoing {
	dead := func(r *record) bool { return r.State == Dead }
	var out []Outgoing
	for _, r := range pick(n.cfg.Rand, n.table.gone, 1, dead) {
		n.seq++
		out = append(out, n.ping(r.Host, n.seq))
	}
	return out
}

func (n *Node) relayPing(now time.Time, p Packet) []Outgoing {
	if p.Target.ID == n.self.Host.ID {
		return []Outgoing{n.to(p.From, Packet{Kind: Ack, Seq: p.Seq})}
	}
	if len(n.relays) >= maxRelays {
		return nil
	}
	n.seq++
	n.relays[n.seq] = relay{origin: p.From, seq: p.Seq, target: p.Target, expires: now.Add(n.cfg.ProbeInterval)}
	return []Outgoing{n.ping(p.Target, n.seq)}
}

func (n *Node) expireRelays(now time.Time) {
	for seq, r := range n.relays {
		if !now.Before(r.expires) {
			delete(n.relays, seq)
		}
	}
}

func (n *Node) handleAck(p Packet) []Outgoing {
	if q := n.probe; q != nil && q.seq == p.Seq {
		id := q.target.Host.ID
		q.acked = q.acked || p.From.ID == id || p.Target.ID == id
	}
	r, ok := n.relays[p.Seq]
	if !ok || r.target.ID != p.From.ID {
		return nil
	}
	delete(n.relays, p.Seq)
	return []Outgoing{n.to(r.origin, Packet{Kind: Ack, Seq: r.seq, Target: r.target})}
}

func (n *Node) spreadDeparture(now time.Time) []Outgoing {
	if n.states.len() == 0 || now.Before(n.nextProbe) {
		return nil
	}
	n.nextProbe = now.Add(n.cfg.ProbeInterval)
	var out []Outgoing
	for _, r := range pick(n.cfg.Rand, n.table.live, 1, anyRecord) {
		out = append(out, n.to(r.Host, Packet{Kind: Gossip}))
	}
	return out
}
