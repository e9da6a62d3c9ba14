package membership

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/errs"
)

// extraTransmits is added to log2 of the number of hosts to bound how often news is sent. The
// comparison of table digests repairs what this misses.
const extraTransmits = 3

// Node is the failure detector of one host. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	self    record
	table   *table
	joined  bool
	leaving bool

	states *queue
	metas  *queue
	// domainMetas holds the summaries of the own failure domain. They are also sent in
	// packets of their own, because hosts choose among the hosts of their domain first.
	domainMetas *queue

	suspects  []*record
	probe     *probe
	probeNext int
	seq       uint64
	relays    map[uint64]relay

	lastRun     time.Time
	nextProbe   time.Time
	nextSeed    time.Time
	nextCompare time.Time
	mismatches  int // acknowledgements with another view in a row
	matches     int // acknowledgements with the same view in a row
}

// New returns a node that joins through the seeds at its next Tick.
func New(cfg Config, now time.Time) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg: cfg, table: newTable(cfg.Self.Domain), states: newQueue(), metas: newQueue(), domainMetas: newQueue(),
		relays: map[uint64]relay{}, lastRun: now, nextProbe: now, nextSeed: now, nextCompare: now,
	}
	n.self.Update = Update{Host: cfg.Self, State: Alive}
	n.table.toggle(n.self.Update)
	n.states.add(cfg.Self.ID)
	n.joined = !n.hasForeignSeed()
	return n
}

func (n *Node) hasForeignSeed() bool {
	return slices.ContainsFunc(n.cfg.Seeds, func(s string) bool { return s != n.cfg.Self.Addr })
}

// Self returns the local host. Its incarnation may rise before Joined reports true and when the
// host learns that it was declared dead; commands that carry an incarnation must read it here.
func (n *Node) Self() Host { return n.self.Host }

// Joined reports whether a seed has answered, or there is no seed other than the local host.
func (n *Node) Joined() bool { return n.joined }

// Members returns all known hosts ordered by ID, the local one included.
func (n *Node) Members() []Member {
	out := make([]Member, 0, len(n.table.records)+1)
	out = append(out, n.self.member())
	for _, r := range n.table.records {
		out = append(out, r.member())
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Host.ID, b.Host.ID) })
	return out
}

// Member returns the local view of one host.
func (n *Node) Member(id string) (Member, bool) {
	r := n.record(id)
	if r == nil {
		return Member{}, false
	}
	return r.member(), true
}

// Live returns the IDs of the live hosts of a failure domain, sorted, suspects included. An
// empty domain stands for all. It is the list of hosts to pass to Owner.
func (n *Node) Live(domain string) []string {
	var out []string
	if !n.leaving && (domain == "" || n.self.Host.Domain == domain) {
		out = append(out, n.self.Host.ID)
	}
	for _, r := range n.table.live {
		if domain == "" || r.Host.Domain == domain {
			out = append(out, r.Host.ID)
		}
	}
	slices.Sort(out)
	return out
}

// SetMeta publishes a summary of the local host.
func (n *Node) SetMeta(meta []byte) error {
	if len(meta) > MaxMetaBytes {
		return &errs.TooLarge{What: "host summary", Limit: MaxMetaBytes}
	}
	n.self.meta = slices.Clone(meta)
	n.self.metaIncarnation = n.self.Host.Incarnation
	n.self.metaVersion++
	n.spreadMeta(&n.self)
	return nil
}

// Leave announces that the local host leaves. Afterwards the node answers packets and spreads
// its departure at each Tick, but probes no one.
func (n *Node) Leave(now time.Time) []Outgoing {
	if n.leaving {
		return nil
	}
	n.leaving = true
	n.table.toggle(n.self.Update)
	n.self.State = Left
	n.states.add(n.self.Host.ID)
	n.probe = nil
	var out []Outgoing
	for _, r := range pick(n.cfg.Rand, n.table.live, 2*n.cfg.IndirectProbes, anyRecord) {
		out = append(out, n.to(r.Host, Packet{Kind: Gossip}))
	}
	return out
}

// Receive handles a packet from the given host and returns the packets to send. A packet that
// names another sender than the transport is dropped.
func (n *Node) Receive(now time.Time, from string, p Packet) []Outgoing {
	if p.From.ID != from || from == n.self.Host.ID {
		return nil
	}
	n.forgivePause(now)
	if p.Kind == Join {
		return n.answerJoin(now, p)
	}
	n.absorb(now, p)
	switch p.Kind {
	case Ping:
		if p.Target.ID != n.self.Host.ID {
			return nil // a former host of this address was meant
		}
		return []Outgoing{n.to(p.From, Packet{Kind: Ack, Seq: p.Seq})}
	case PingReq:
		return n.relayPing(now, p)
	case Ack:
		return append(n.handleAck(p), n.compare(now, p)...)
	case Compare:
		return n.answerCompare(p)
	case Sync:
		return n.handleSync(p)
	}
	return nil
}

// absorb merges what a packet says about hosts. In Sync packets a dead host becomes a suspect:
// after a healed partition each side believes that the other one is dead, and a dead mark taken
// over from there would hit hosts that this side can reach.
func (n *Node) absorb(now time.Time, p Packet) {
	n.merge(now, Update{Host: p.From, Refutation: p.Refutation, State: Alive})
	for _, u := range p.Updates {
		if r := n.table.records[u.Host.ID]; p.Kind == Sync && u.State == Dead && r != nil {
			u.State, u.Refutation = Suspect, max(u.Refutation, r.Refutation)
		}
		n.merge(now, u)
	}
	for _, m := range p.Metas {
		n.mergeMeta(m)
	}
	if p.Kind == Sync {
		n.joined = true
	}
}

func (n *Node) merge(now time.Time, u Update) {
	if u.Host.ID == n.self.Host.ID {
		n.mergeSelf(u)
		return
	}
	if u.Host.ID == "" || u.State > Left || !u.Host.fits() {
		return
	}
	r := n.table.records[u.Host.ID]
	if r == nil && !u.State.Live() {
		return // a host that was forgotten or never known
	}
	if r != nil && !u.newerThan(r.Update) {
		return
	}
	n.apply(now, u)
}

func (n *Node) apply(now time.Time, u Update) {
	r := n.table.set(u)
	n.states.add(u.Host.ID)
	n.matches = 0
	n.suspects = slices.DeleteFunc(n.suspects, func(s *record) bool { return s == r })
	switch u.State {
	case Suspect:
		r.suspectUntil = now.Add(n.cfg.SuspicionTimeout)
		n.suspects = append(n.suspects, r)
	case Dead, Left:
		r.goneSince = now
	}
}

// mergeSelf refutes wrong statements about the local host. A suspicion raises the refutation; a
// former process of this ID, and the death of this one, raise the incarnation.
func (n *Node) mergeSelf(u Update) {
	own := n.self.Update
	switch {
	case n.leaving:
		return
	case u.Host.Incarnation > own.Host.Incarnation,
		u.Host.Incarnation == own.Host.Incarnation && (!n.joined || !u.State.Live()):
		own.Host.Incarnation, own.Refutation = u.Host.Incarnation+1, 0
	case u.newerThan(own):
		own.Refutation = u.Refutation + 1
	default:
		return
	}
	n.table.toggle(n.self.Update)
	n.self.Update = own
	n.table.toggle(n.self.Update)
	n.states.add(own.Host.ID)
	if n.self.metaVersion > 0 && n.self.metaIncarnation != own.Host.Incarnation {
		n.self.metaIncarnation = own.Host.Incarnation
		n.spreadMeta(&n.self)
	}
}

// Renew raises the incarnation of the local host above one that a replicated table has declared
// lost. Members that forgot the declaration cannot tell the host.
func (n *Node) Renew(lost uint64) {
	u := n.self.Update
	u.Host.Incarnation, u.State = lost, Dead
	if lost >= n.self.Host.Incarnation {
		n.mergeSelf(u)
	}
}

func (n *Node) mergeMeta(m MetaUpdate) {
	r := n.table.records[m.ID]
	if r == nil || m.Incarnation < r.Host.Incarnation || len(m.Meta) > MaxMetaBytes {
		return
	}
	if m.Incarnation < r.metaIncarnation || m.Incarnation == r.metaIncarnation && m.Version <= r.metaVersion {
		return
	}
	r.meta, r.metaIncarnation, r.metaVersion = m.Meta, m.Incarnation, m.Version
	n.spreadMeta(r)
}

func (n *Node) spreadMeta(r *record) {
	n.metas.add(r.Host.ID)
	if r.Host.Domain == n.table.domain {
		n.domainMetas.add(r.Host.ID)
	}
}

func (n *Node) record(id string) *record {
	if id == n.self.Host.ID {
		return &n.self
	}
	return n.table.records[id]
}

// to addresses a packet and fills it with news.
func (n *Node) to(h Host, p Packet) Outgoing {
	p.From, p.Refutation, p.View = n.self.Host, n.self.Refutation, n.table.view
	n.fill(h.ID, &p)
	return Outgoing{Host: h.ID, Addr: h.Addr, Packet: p}
}

// fill adds news up to the byte bound. A receiver that is believed to be suspect, dead or left
// hears so first, because only it can refute.
func (n *Node) fill(to string, p *Packet) {
	room := n.cfg.GossipBytes
	if r := n.table.records[to]; r != nil && r.State != Alive {
		p.Updates = append(p.Updates, r.Update)
		room -= updateSize(r.Update)
	}
	limit := bits.Len(uint(len(n.table.live)+1)) + extraTransmits
	n.states.take(limit, func(id string) bool {
		r := n.record(id)
		if r == nil {
			return true
		}
		size := updateSize(r.Update)
		if size > room {
			return false
		}
		room -= size
		p.Updates = append(p.Updates, r.Update)
		return true
	})
	n.fillMetas(n.metas, limit, room, p)
}

func (n *Node) fillMetas(q *queue, limit, room int, p *Packet) {
	q.take(limit, func(id string) bool {
		r := n.record(id)
		if r == nil {
			return true
		}
		size := metaSize(id, r.meta)
		if size > room {
			return false
		}
		room -= size
		p.Metas = append(p.Metas, r.metaUpdate())
		return true
	})
}

// gossipInDomain sends the summaries of the own failure domain to one host of it.
func (n *Node) gossipInDomain() []Outgoing {
	if n.domainMetas.len() == 0 {
		return nil
	}
	var out []Outgoing
	for _, r := range pick(n.cfg.Rand, n.table.peers, 1, anyRecord) {
		p := Packet{Kind: Gossip, From: n.self.Host, Refutation: n.self.Refutation, View: n.table.view}
		n.fillMetas(n.domainMetas, bits.Len(uint(len(n.table.peers)+1))+extraTransmits, n.cfg.GossipBytes, &p)
		out = append(out, Outgoing{Host: r.Host.ID, Addr: r.Host.Addr, Packet: p})
	}
	return out
}

func (r *record) metaUpdate() MetaUpdate {
	return MetaUpdate{ID: r.Host.ID, Incarnation: r.metaIncarnation, Version: r.metaVersion, Meta: r.meta}
}

func anyRecord(*record) bool { return true }
