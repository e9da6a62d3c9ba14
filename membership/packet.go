// Package membership implements failure detection between hosts and the registry of targets.
// Node is a SWIM-style failure detector: hosts probe each other directly and indirectly, a
// suspected host can refute the suspicion, and updates are piggybacked on probe packets up to a
// byte limit. TargetRegistry is the registry that a host keeps of the targets it owns. Both are
// deterministic: the caller supplies the time and the source of randomness, and does all I/O.
package membership

import (
	"math/rand/v2"
	"time"
)

// MaxMetaBytes is the maximum size of the metadata that a host publishes about itself.
const MaxMetaBytes = 512

// Host identifies one process. By convention, Incarnation is the start time in Unix milliseconds.
// It increases with each restart and whenever the host learns that it was declared dead, but not
// when the host refutes a suspicion.
type Host struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Domain      string
	Addr        string
	Incarnation uint64
}

// Length limits of the strings of a Host. Hosts that exceed them are ignored, because an update
// that does not fit into a packet would block all updates queued behind it.
const (
	MaxIDBytes     = 128
	MaxDomainBytes = 128
	MaxAddrBytes   = 256
)

func (h Host) withinLimits() bool {
	return len(h.ID) <= MaxIDBytes && len(h.Domain) <= MaxDomainBytes && len(h.Addr) <= MaxAddrBytes
}

// State is the state of a host as seen by the local host.
type State uint8

// The host states, in order of precedence within one incarnation. A suspect host is still live:
// suspicion alone does not change the ownership of targets.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Live reports whether a host in this state owns targets and receives work.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Member is the local view of a host.
type Member struct {
	Host  Host
	State State
	// Meta is the latest metadata that the host published in its current incarnation.
	Meta        []byte
	MetaVersion uint64
}

// Kind is the type of a packet.
type Kind uint8

// The packet types.
const (
	// Ping requests an Ack with the same Seq from Target.
	Ping Kind = iota + 1
	// PingReq requests that the receiver ping Target and forward its Ack.
	PingReq
	// Ack answers Ping or PingReq.
	Ack
	// Gossip carries only updates and metadata, and needs no reply.
	Gossip
	// Join requests the full table from a seed, which replies with Sync packets.
	Join
	// Compare carries the bucket digests of the sender's table, for anti-entropy.
	Compare
	// Sync carries part of the sender's table. BucketDigests is set if the sender requests the
	// receiver's differing records in return.
	Sync
)

// Update is the state of a host as disseminated by gossip. Updates are totally ordered and the
// greatest one wins, so the order of arrival does not matter. Within one incarnation, Dead and
// Left are final: claims and leases of an incarnation that was declared dead are void, so the
// host must return with a higher one. Refutation increases each time the host refutes a suspicion
// within an incarnation.
type Update struct {
	_          struct{} `cbor:",toarray"`
	Host       Host
	Refutation uint64
	State      State
}

func (u Update) supersedes(v Update) bool {
	switch {
	case u.Host.Incarnation != v.Host.Incarnation:
		return u.Host.Incarnation > v.Host.Incarnation
	case !u.State.Live() || !v.State.Live():
		return u.State > v.State
	case u.Refutation != v.Refutation:
		return u.Refutation > v.Refutation
	}
	return u.State > v.State
}

// MetaUpdate is one version of the metadata of a host.
type MetaUpdate struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	Version     uint64
	Meta        []byte
}

// Packet is the message that hosts exchange for failure detection and gossip. It is encoded as CBOR.
type Packet struct {
	Kind       Kind   `cbor:"1,keyasint"`
	Seq        uint64 `cbor:"2,keyasint,omitempty"`
	From       Host   `cbor:"3,keyasint"`
	Refutation uint64 `cbor:"4,keyasint,omitempty"`
	// Target is the probed host, in Ping, PingReq and forwarded Ack packets.
	Target Host `cbor:"5,keyasint,omitzero"`
	// Digest covers the live hosts in the sender's table. Equal tables have equal digests.
	Digest        uint64       `cbor:"6,keyasint,omitempty"`
	Updates       []Update     `cbor:"7,keyasint,omitempty"`
	Metas         []MetaUpdate `cbor:"8,keyasint,omitempty"`
	BucketDigests []uint64     `cbor:"9,keyasint,omitempty"`
}

// Upper bounds of the CBOR overhead in bytes. An update has two array headers, three string
// headers of up to 3 bytes, two integers of up to 9 bytes and one state.
const (
	updateOverhead = 2 + 3*3 + 2*9 + 1
	metaOverhead   = 1 + 2*3 + 2*9
)

func updateSize(u Update) int {
	return updateOverhead + len(u.Host.ID) + len(u.Host.Domain) + len(u.Host.Addr)
}

func metaSize(id string, meta []byte) int { return metaOverhead + len(id) + len(meta) }

// Outgoing is a packet to send. Host is empty if only the address is known, as for a seed.
type Outgoing struct {
	Host   string
	Addr   string
	Packet Packet
}

// Defaults for the zero values of Config.
const (
	DefaultProbeInterval      = time.Second
	DefaultSuspicionIntervals = 6
	DefaultIndirectProbes     = 3
	DefaultForgetAfter        = time.Hour
	// DefaultGossipBytes fits metadata of MaxMetaBytes and several updates.
	DefaultGossipBytes = 800
	// minGossipBytes fits the largest metadata and also the largest update.
	minGossipBytes = MaxMetaBytes + MaxIDBytes + metaOverhead
)

// Config holds the settings of a Node. Rand is required.
type Config struct {
	Self  Host
	Seeds []string // addresses
	// ProbeInterval is the time between probes. A host that does not acknowledge a probe within
	// this time, directly or indirectly, becomes suspect.
	ProbeInterval time.Duration
	// ProbeTimeout is the time without an acknowledgement after which a host is also probed
	// indirectly, through IndirectProbes other hosts.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspect host has to refute the suspicion before it is
	// declared dead.
	SuspicionTimeout time.Duration
	IndirectProbes   int
	// GossipBytes limits the size of the updates and metadata in one packet.
	GossipBytes int
	// ForgetAfter is the time for which dead and left hosts stay in the table.
	ForgetAfter time.Duration
	Rand        *rand.Rand
}

func (c Config) withDefaults() Config {
	if c.ProbeInterval <= 0 {
		c.ProbeInterval = DefaultProbeInterval
	}
	if c.ProbeTimeout <= 0 || c.ProbeTimeout >= c.ProbeInterval {
		c.ProbeTimeout = c.ProbeInterval / 3
	}
	if c.SuspicionTimeout <= 0 {
		c.SuspicionTimeout = DefaultSuspicionIntervals * c.ProbeInterval
	}
	if c.IndirectProbes <= 0 {
		c.IndirectProbes = DefaultIndirectProbes
	}
	if c.GossipBytes <= 0 {
		c.GossipBytes = DefaultGossipBytes
	}
	c.GossipBytes = max(c.GossipBytes, minGossipBytes)
	if c.ForgetAfter <= 0 {
		c.ForgetAfter = DefaultForgetAfter
	}
	return c
}
