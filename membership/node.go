package membership

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/errs"
)

// extraTransmits is added to log2 of the number of hosts to limit how often an update is sent.
// The comparison of table digests repairs tables that an update has not reached.
const extraTransmits = 3

// Node is the failure detector of the local host. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	self    record
	table   *table
	joined  bool
	leaving bool

	stateQueue *queue
	metaQueue  *queue
	// domainMetaQueue holds the metadata of hosts in the local failure domain. It is also sent
	// in separate packets, because hosts choose among the hosts of their own domain first.
	domainMetaQueue *queue

	suspects   []*record
	probe      *probe
	probeIndex int
	seq        uint64
	relays     map[uint64]relay

	lastRun          time.Time
	nextProbe        time.Time
	nextSeed         time.Time
	nextCompare      time.Time
	digestMismatches int // consecutive acknowledgements with a different table digest
	digestMatches    int // consecutive acknowledgements with the same table digest
}

// New returns a node that starts to join through the seeds at its first Tick.
func New(cfg Config, now time.Time) *Node {
	cfg = cfg.withDefaults()
	n := &Node{
		cfg: cfg, table: newTable(cfg.Self.Domain), stateQueue: newQueue(), metaQueue: newQueue(), domainMetaQueue: newQueue(),
		relays: map[uint64]relay{}, lastRun: now, nextProbe: now, nextSeed: now, nextCompare: now,
	}
	n.self.Update = Update{Host: cfg.Self, State: Alive}
	n.table.toggleDigest(n.self.Update)
	n.stateQueue.add(cfg.Self.ID)
	n.joined = !n.hasRemoteSeed()
	return n
}

func (n *Node) hasRemoteSeed() bool {
	return slices.ContainsFunc(n.cfg.Seeds, func(s string) bool { return s != n.cfg.Self.Addr })
}

// Self returns the local host. Its incarnation may increase before Joined reports true and when
// the host learns that it was declared dead. Callers that send the incarnation must therefore read
// it from Self each time.
func (n *Node) Self() Host { return n.self.Host }

// Joined reports whether a Sync packet has been received, as in reply to a join, or no seed other
// than the local host is configured.
func (n *Node) Joined() bool { return n.joined }

// Members returns all known hosts, including the local one, ordered by ID.
func (n *Node) Members() []Member {
	out := make([]Member, 0, len(n.table.records)+1)
	out = append(out, n.self.member())
	for _, r := range n.table.records {
		out = append(out, r.member())
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Host.ID, b.Host.ID) })
	return out
}

// Member returns the host with the given ID, if it is known.
func (n *Node) Member(id string) (Member, bool) {
	r := n.lookup(id)
	if r == nil {
		return Member{}, false
	}
	return r.member(), true
}

// Live returns the sorted IDs of the live hosts of a failure domain, including suspect ones. An
// empty domain selects all. The result is the host list to pass to Owner.
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

// SetMeta publishes new metadata of the local host. It returns an error if the metadata exceeds
// MaxMetaBytes.
func (n *Node) SetMeta(meta []byte) error {
	if len(meta) > MaxMetaBytes {
		return &errs.TooLarge{What: "host metadata", Limit: MaxMetaBytes}
	}
	n.self.meta = slices.Clone(meta)
	n.self.metaIncarnation = n.self.Host.Incarnation
	n.self.metaVersion++
	n.queueMeta(&n.self)
	return nil
}

// Leave announces that the local host is leaving. Afterwards the node still answers packets and
// gossips its departure from Tick, but no longer probes other hosts.
func (n *Node) Leave(now time.Time) []Outgoing {
	if n.leaving {
		return nil
	}
	n.leaving = true
	n.table.toggleDigest(n.self.Update)
	n.self.State = Left
	n.stateQueue.add(n.self.Host.ID)
	n.probe = nil
	var out []Outgoing
	for _, r := range pickRandom(n.cfg.Rand, n.table.live, 2*n.cfg.IndirectProbes, anyRecord) {
		out = append(out, n.newOutgoing(r.Host, Packet{Kind: Gossip}))
	}
	return out
}

// Receive handles a packet from the given host and returns the packets to send. It drops packets
// whose From field names another host.
func (n *Node) Receive(now time.Time, from string, p Packet) []Outgoing {
	if p.From.ID != from || from == n.self.Host.ID {
		return nil
	}
	n.compensatePause(now)
	if p.Kind == Join {
		return n.handleJoin(now, p)
	}
	n.mergePacket(now, p)
	switch p.Kind {
	case Ping:
		if p.Target.ID != n.self.Host.ID {
			return nil // addressed to a previous host at this address
		}
		return []Outgoing{n.newOutgoing(p.From, Packet{Kind: Ack, Seq: p.Seq})}
	case PingReq:
		return n.handlePingReq(now, p)
	case Ack:
		return append(n.handleAck(p), n.checkDigest(now, p)...)
	case Compare:
		return n.handleCompare(p)
	case Sync:
		return n.handleSync(p)
	}
	return nil
}

// mergePacket merges the updates and metadata of a packet. Dead hosts in Sync packets are merged as
// suspect: after a partition heals, each side considers the other one dead, and adopting that state
// would remove hosts that this side can reach.
func (n *Node) mergePacket(now time.Time, p Packet) {
	n.mergeUpdate(now, Update{Host: p.From, Refutation: p.Refutation, State: Alive})
	for _, u := range p.Updates {
		if r := n.table.records[u.Host.ID]; p.Kind == Sync && u.State == Dead && r != nil {
			u.State, u.Refutation = Suspect, max(u.Refutation, r.Refutation)
		}
		n.mergeUpdate(now, u)
	}
	for _, m := range p.Metas {
		n.mergeMeta(m)
	}
	if p.Kind == Sync {
		n.joined = true
	}
}

func (n *Node) mergeUpdate(now time.Time, u Update) {
	if u.Host.ID == n.self.Host.ID {
		n.mergeSelf(u)
		return
	}
	if u.Host.ID == "" || u.State > Left || !u.Host.withinLimits() {
		return
	}
	r := n.table.records[u.Host.ID]
	if r == nil && !u.State.Live() {
		return // forgotten or never known
	}
	if r != nil && !u.supersedes(r.Update) {
		return
	}
	n.applyUpdate(now, u)
}

func (n *Node) applyUpdate(now time.Time, u Update) {
	r := n.table.set(u)
	n.stateQueue.add(u.Host.ID)
	n.digestMatches = 0
	n.suspects = slices.DeleteFunc(n.suspects, func(s *record) bool { return s == r })
	switch u.State {
	case Suspect:
		r.suspectUntil = now.Add(n.cfg.SuspicionTimeout)
		n.suspects = append(n.suspects, r)
	case Dead, Left:
		r.goneSince = now
	}
}

// mergeSelf refutes incorrect updates about the local host. A suspicion increments Refutation. An
// update about a previous process with the same ID, or one that declares this process dead, raises
// the incarnation.
func (n *Node) mergeSelf(u Update) {
	own := n.self.Update
	switch {
	case n.leaving:
		return
	case u.Host.Incarnation > own.Host.Incarnation,
		u.Host.Incarnation == own.Host.Incarnation && (!n.joined || !u.State.Live()):
		own.Host.Incarnation, own.Refutation = u.Host.Incarnation+1, 0
	case u.supersedes(own):
		own.Refutation = u.Refutation + 1
	default:
		return
	}
	n.table.toggleDigest(n.self.Update)
	n.self.Update = own
	n.table.toggleDigest(n.self.Update)
	n.stateQueue.add(own.Host.ID)
	if n.self.metaVersion > 0 && n.self.metaIncarnation != own.Host.Incarnation {
		n.self.metaIncarnation = own.Host.Incarnation
		n.queueMeta(&n.self)
	}
}

// RaiseIncarnation raises the incarnation of the local host above one that a replicated table has
// declared lost. Gossip alone does not ensure this, because other hosts may have forgotten that they
// declared the host dead.
func (n *Node) RaiseIncarnation(declaredLost uint64) {
	u := n.self.Update
	u.Host.Incarnation, u.State = declaredLost, Dead
	if declaredLost >= n.self.Host.Incarnation {
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
	n.queueMeta(r)
}

func (n *Node) queueMeta(r *record) {
	n.metaQueue.add(r.Host.ID)
	if r.Host.Domain == n.table.domain {
		n.domainMetaQueue.add(r.Host.ID)
	}
}

func (n *Node) lookup(id string) *record {
	if id == n.self.Host.ID {
		return &n.self
	}
	return n.table.records[id]
}

// newOutgoing completes the header of a packet to h and adds queued updates and metadata.
func (n *Node) newOutgoing(h Host, p Packet) Outgoing {
	p.From, p.Refutation, p.Digest = n.self.Host, n.self.Refutation, n.table.digest
	n.addGossip(h.ID, &p)
	return Outgoing{Host: h.ID, Addr: h.Addr, Packet: p}
}

// addGossip adds queued updates and metadata up to the byte limit. If the receiver is considered
// suspect, dead or left, that update comes first, because only the receiver can refute it.
func (n *Node) addGossip(to string, p *Packet) {
	remaining := n.cfg.GossipBytes
	if r := n.table.records[to]; r != nil && r.State != Alive {
		p.Updates = append(p.Updates, r.Update)
		remaining -= updateSize(r.Update)
	}
	transmitLimit := bits.Len(uint(len(n.table.live)+1)) + extraTransmits
	n.stateQueue.take(transmitLimit, func(id string) bool {
		r := n.lookup(id)
		if r == nil {
			return true
		}
		size := updateSize(r.Update)
		if size > remaining {
			return false
		}
		remaining -= size
		p.Updates = append(p.Updates, r.Update)
		return true
	})
	n.addMetas(n.metaQueue, transmitLimit, remaining, p)
}

func (n *Node) addMetas(q *queue, transmitLimit, remaining int, p *Packet) {
	q.take(transmitLimit, func(id string) bool {
		r := n.lookup(id)
		if r == nil {
			return true
		}
		size := metaSize(id, r.meta)
		if size > remaining {
			return false
		}
		remaining -= size
		p.Metas = append(p.Metas, r.metaUpdate())
		return true
	})
}

// gossipInDomain sends queued metadata of the local failure domain to a random host of the domain.
func (n *Node) gossipInDomain() []Outgoing {
	if n.domainMetaQueue.len() == 0 {
		return nil
	}
	var out []Outgoing
	for _, r := range pickRandom(n.cfg.Rand, n.table.domainLive, 1, anyRecord) {
		p := Packet{Kind: Gossip, From: n.self.Host, Refutation: n.self.Refutation, Digest: n.table.digest}
		n.addMetas(n.domainMetaQueue, bits.Len(uint(len(n.table.domainLive)+1))+extraTransmits, n.cfg.GossipBytes, &p)
		out = append(out, Outgoing{Host: r.Host.ID, Addr: r.Host.Addr, Packet: p})
	}
	return out
}

func (r *record) metaUpdate() MetaUpdate {
	return MetaUpdate{ID: r.Host.ID, Incarnation: r.metaIncarnation, Version: r.metaVersion, Meta: r.meta}
}

func anyRecord(*record) bool { return true }
