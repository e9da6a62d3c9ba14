package membership

import "time"

const (
	// maxRelays limits the indirect probes that a host has in progress for others.
	maxRelays = 64
	// seedIntervals is the number of probe intervals between attempts to contact a seed that is
	// not live.
	seedIntervals = 10
)

// probe is the local host's probe in progress; there is at most one.
type probe struct {
	target   *record
	seq      uint64
	started  time.Time
	indirect bool
	acked    bool
}

// relay is an indirect probe in progress on behalf of another host.
type relay struct {
	origin  Host
	seq     uint64
	target  Host
	expires time.Time
}

// Tick processes expired timers and returns the packets to send. It should be called several
// times per ProbeTimeout.
func (n *Node) Tick(now time.Time) []Outgoing {
	n.compensatePause(now)
	if n.leaving {
		return n.gossipDeparture(now)
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
		out = append(out, n.probeDead()...)
		out = append(out, n.gossipInDomain()...)
		n.expireRelays(now)
	}
	if !now.Before(n.nextSeed) {
		out = append(out, n.contactSeed(now)...)
	}
	return out
}

// compensatePause extends the suspicion deadlines by the time for which this process did not run,
// and cancels the probe in progress. Otherwise, a process that was paused would declare hosts dead
// whose acknowledgements it has not read. Receive calls it too, so that the pause does not extend a
// suspicion that arrives after it.
func (n *Node) compensatePause(now time.Time) {
	pause := now.Sub(n.lastRun)
	n.lastRun = now
	if pause <= n.cfg.ProbeInterval {
		return
	}
	n.probe = nil
	for _, r := range n.suspects {
		r.suspectUntil = r.suspectUntil.Add(pause)
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
		n.applyUpdate(now, u)
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
	n.applyUpdate(now, u)
}

// startProbe probes the next live host. Hosts are probed in rounds and shuffled before each round,
// so that each host is probed within at most two rounds.
func (n *Node) startProbe(now time.Time) []Outgoing {
	if len(n.table.live) == 0 {
		return nil
	}
	if n.probeIndex >= len(n.table.live) {
		n.probeIndex = 0
		shuffle(n.cfg.Rand, n.table.live)
	}
	target := n.table.live[n.probeIndex]
	n.probeIndex++
	n.seq++
	n.probe = &probe{target: target, seq: n.seq, started: now}
	return []Outgoing{n.ping(target.Host, n.seq)}
}

func (n *Node) ping(h Host, seq uint64) Outgoing {
	return n.newOutgoing(h, Packet{Kind: Ping, Seq: seq, Target: h})
}

func (n *Node) probeIndirectly(p *probe) []Outgoing {
	var out []Outgoing
	others := func(r *record) bool { return r != p.target }
	for _, r := range pickRandom(n.cfg.Rand, n.table.live, n.cfg.IndirectProbes, others) {
		out = append(out, n.newOutgoing(r.Host, Packet{Kind: PingReq, Seq: p.seq, Target: p.target.Host}))
	}
	return out
}

// probeDead pings a random dead host, once per probe interval. The ping carries the update that
// declares the host dead, so that the host can refute it. This heals partitions automatically.
func (n *Node) probeDead() []Outgoing {
	dead := func(r *record) bool { return r.State == Dead }
	var out []Outgoing
	for _, r := range pickRandom(n.cfg.Rand, n.table.gone, 1, dead) {
		n.seq++
		out = append(out, n.ping(r.Host, n.seq))
	}
	return out
}

func (n *Node) handlePingReq(now time.Time, p Packet) []Outgoing {
	if p.Target.ID == n.self.Host.ID {
		return []Outgoing{n.newOutgoing(p.From, Packet{Kind: Ack, Seq: p.Seq})}
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
	if pending := n.probe; pending != nil && pending.seq == p.Seq {
		id := pending.target.Host.ID
		pending.acked = pending.acked || p.From.ID == id || p.Target.ID == id
	}
	r, ok := n.relays[p.Seq]
	if !ok || r.target.ID != p.From.ID {
		return nil
	}
	delete(n.relays, p.Seq)
	return []Outgoing{n.newOutgoing(r.origin, Packet{Kind: Ack, Seq: r.seq, Target: r.target})}
}

func (n *Node) gossipDeparture(now time.Time) []Outgoing {
	if n.stateQueue.len() == 0 || now.Before(n.nextProbe) {
		return nil
	}
	n.nextProbe = now.Add(n.cfg.ProbeInterval)
	var out []Outgoing
	for _, r := range pickRandom(n.cfg.Rand, n.table.live, 1, anyRecord) {
		out = append(out, n.newOutgoing(r.Host, Packet{Kind: Gossip}))
	}
	return out
}
