// Package membership detects failed hosts and keeps the registry of targets. Node is a
// SWIM-style failure detector: hosts probe each other directly and through others, suspicion
// can be refuted, and updates ride on probe packets with a byte bound. Targets is the registry
// of an owner host. Both are pure: time and randomness are arguments.
package membership

import (
	"math/rand/v2"
	"time"
)

// MaxMetaBytes bounds the summary that a host publishes about itself.
const MaxMetaBytes = 512

// Host identifies one process. Incarnation is the start time in milliseconds by convention. It
// rises with each restart and each time that the host learns that it was declared dead; it does
// not change when a suspicion is refuted.
type Host struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Domain      string
	Addr        string
	Incarnation uint64
}

// Bounds of the strings of a Host. Hosts above them are ignored, because an update that does not
// fit into a packet would hold up all news behind it.
const (
	MaxIDBytes     = 128
	MaxDomainBytes = 128
	MaxAddrBytes   = 256
)

func (h Host) fits() bool {
	return len(h.ID) <= MaxIDBytes && len(h.Domain) <= MaxDomainBytes && len(h.Addr) <= MaxAddrBytes
}

// State is what the local host believes about a host.
type State uint8

// The states, in the order in which they override each other within one incarnation. A suspect is still a live host: suspicion alone changes no ownership.
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

// Live reports whether the host counts for ownership and dispatch.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Member is the local view of a host.
type Member struct {
	Host  Host
	State State
	// Meta is the newest summary that the host published in this incarnation.
	Meta        []byte
	MetaVersion uint64
}

// Kind is the type of a packet.
type Kind uint8

// The kinds of packet.
const (
	// Ping asks Target for an Ack with the same Seq.
	Ping Kind = iota + 1
	// PingReq asks the receiver to ping Target and to forward its Ack.
	PingReq
	// Ack answers Ping or PingReq.
	Ack
	// Gossip carries updates only.
	Gossip
	// Join asks a seed for the whole table; it is answered by Sync packets.
	Join
	// Compare carries the bucket digests of the sender's table.
	Compare
	// Sync carries a part of the sender's table. Buckets is set if an answer is wanted.
	Sync
)

// Update is a statement about a host. The greatest statement wins, so the order of arrival does
// not matter. Within one incarnation Dead and Left are final: claims and leases of an incarnation
// that was declared dead are void, so the host must return under a higher one.
type Update struct {
	_          struct{} `cbor:",toarray"`
	Host       Host
	Refutation uint64
	State      State
}

func (u Update) newerThan(v Update) bool {
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

// MetaUpdate is the summary of a host.
type MetaUpdate struct {
	_           struct{} `cbor:",toarray"`
	ID          string
	Incarnation uint64
	Version     uint64
	Meta        []byte
}

// Packet is the only message between hosts. It is encoded with CBOR.
type Packet struct {
	Kind       Kind   `cbor:"1,keyasint"`
	Seq        uint64 `cbor:"2,keyasint,omitempty"`
	From       Host   `cbor:"3,keyasint"`
	Refutation uint64 `cbor:"4,keyasint,omitempty"`
	// Target is the probed host, in Ping, PingReq and forwarded Ack packets.
	Target Host `cbor:"5,keyasint,omitzero"`
	// View is a digest of the sender's live hosts. Equal tables have equal digests.
	View    uint64       `cbor:"6,keyasint,omitempty"`
	Updates []Update     `cbor:"7,keyasint,omitempty"`
	Metas   []MetaUpdate `cbor:"8,keyasint,omitempty"`
	Buckets []uint64     `cbor:"9,keyasint,omitempty"`
}

// Upper bounds of the CBOR overhead of one update: two array headers, three string headers
// of up to 3 bytes, two integers of up to 9 bytes, one state.
const (
	updateOverhead = 2 + 3*3 + 2*9 + 1
	metaOverhead   = 1 + 2*3 + 2*9
)

func updateSize(u Update) int {
	return updateOverhead + len(u.Host.ID) + len(u.Host.Domain) + len(u.Host.Addr)
}

func metaSize(id string, meta []byte) int { return metaOverhead + len(id) + len(meta) }

// Outgoing is a packet to send. Host is empty if only the address of a seed is known.
type Outgoing struct {
	Host   string
	Addr   string
	Packet Packet
}

// Defaults for the zero values of Config.
const (
	DefaultProbeInterval    = time.Second
	DefaultSuspicionPeriods = 6
	DefaultIndirectProbes   = 3
	DefaultForgetAfter      = time.Hour
	// DefaultGossipBytes has room for one summary of MaxMetaBytes and several updates.
	DefaultGossipBytes = 800
	// minGossipBytes has room for the largest summary and for the largest update.
	minGossipBytes = MaxMetaBytes + MaxIDBytes + metaOverhead
)

// Config holds the settings of a Node. Rand is required.
type Config struct {
	Self  Host
	Seeds []string // addresses
	// ProbeInterval is the time between probes; a probe that was not answered within it,
	// directly or through others, makes its target a suspect.
	ProbeInterval time.Duration
	// ProbeTimeout is the time after which a direct probe is repeated through others.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute before it is dead.
	SuspicionTimeout time.Duration
	IndirectProbes   int
	// GossipBytes bounds the updates and summaries in one probe packet.
	GossipBytes int
	// ForgetAfter is the time that dead and left hosts are remembered.
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
		c.SuspicionTimeout = DefaultSuspicionPeriods * c.ProbeInterval
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
