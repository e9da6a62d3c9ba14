// Package consensus is a replicated log of the Raft family as a pure state machine. It
// contains no goroutine, file, socket or clock: time is an argument of each call, and the
// caller moves data between the node, its storage and its peers.
//
// The drive loop of the caller is: call Step, Tick and Propose; while HasReady reports
// true, take Ready, persist HardState, Snapshot and Entries, sync, send Messages, apply
// Committed, answer Reads, and call Advance.
//
// # Elections and leases
//
// A node asks for pre-votes before it raises its term, and a voter that heard from a leader
// less than an ElectionTimeout ago refuses votes, so a node that was cut off does not
// disturb the group. A restarted voter refuses votes for one ElectionTimeout, because it
// does not know whether it supported a leader before. A leader that no longer hears from a
// quorum steps down.
//
// A lease ends ElectionTimeout-MaxClockDrift after the send time of the newest heartbeat
// that a quorum acknowledged. The quorum that elects a later leader contains a voter that
// acknowledged that heartbeat before it voted, so the old lease ends less than one
// ElectionTimeout after the election. A new leader therefore reports no lease during its
// first ElectionTimeout, unless its term is the first that can have a leader.
// MaxClockDrift bounds how far two clocks diverge within one ElectionTimeout.
//
// # Membership
//
// The membership in force is the newest one in the log, committed or not. It changes by one
// server at a time, and a leader accepts a change only when an entry of its term and the
// previous change are committed. A leader does not remove itself; it transfers leadership
// first.
package consensus

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits that do not depend on the deployment.
const (
	// MaxEntryBytes bounds one proposal, so that one message stays within usual RPC limits.
	MaxEntryBytes = 16 << 20
	// maxUncommittedBytes bounds what a leader without a quorum accepts into memory.
	maxUncommittedBytes = 64 << 20
	// maxInflight bounds the append messages that a replica has not acknowledged.
	maxInflight = 32
	// maxCommittedBytes bounds the committed entries of one Ready.
	maxCommittedBytes = 4 << 20

	defaultBatchBytes      = 256 << 10
	defaultTrailingEntries = 256

	// bootstrapTerm is the term of the first membership entry. The first elected leader
	// has the next term.
	bootstrapTerm = 1
)

// Config sets up a Node.
type Config struct {
	ID    string
	Group string
	// ElectionTimeout is the shortest silence of a leader that starts an election. The
	// timer of each election is drawn from [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// MaxClockDrift bounds how far two clocks diverge within one ElectionTimeout.
	MaxClockDrift time.Duration
	Rand          *rand.Rand
	// MaxBatchBytes bounds the entries of one append message; 256 KiB when zero.
	MaxBatchBytes int
	// TrailingEntries is the number of entries that Compact keeps in memory behind the
	// snapshot, so that a slightly slow replica needs no snapshot; 256 when zero.
	TrailingEntries int
	// ExternalSnapshots means that the caller keeps the data of snapshots: the node forgets it once
	// it is stored, so that it is not in memory twice, and the caller adds it to each MsgSnapshot.
	ExternalSnapshots bool

	faults faults
}

// faults disables single safety rules. Tests set them to show that a check can fail.
type faults struct {
	voteTwice        bool // grants a second vote in one term
	skipLeaseWait    bool // reports a lease at once after an election
	leaseFromReceipt bool // measures the lease from the receipt of the acknowledgement
	commitMinority   bool // commits what the leader alone has stored
	ignoreLogCheck   bool // grants votes to candidates with an outdated log
	skipTermCheck    bool // accepts appends without comparing the previous term
	staleReads       bool // answers reads without proof of leadership
}

// HardState is the part of a node's state that it must never forget.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   string `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// EntryType tells what an entry carries.
type EntryType uint8

// The entry types.
const (
	EntryCommand EntryType = iota
	// EntryNoop is the first entry of each leader.
	EntryNoop
	// EntryConf carries a membership.
	EntryConf
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Type  EntryType `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
	Conf  *Conf     `cbor:"5,keyasint,omitempty"`
}

// entryOverhead approximates the encoded size of an entry without its data.
const entryOverhead = 24

func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// Conf is a membership. Voters and Learners are sorted and disjoint.
type Conf struct {
	Voters   []string `cbor:"1,keyasint,omitempty"`
	Learners []string `cbor:"2,keyasint,omitempty"`
}

func (c Conf) clone() Conf {
	return Conf{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

func (c Conf) isVoter(id string) bool   { return slices.Contains(c.Voters, id) }
func (c Conf) isLearner(id string) bool { return slices.Contains(c.Learners, id) }
func (c Conf) has(id string) bool       { return c.isVoter(id) || c.isLearner(id) }
func (c Conf) quorum() int              { return len(c.Voters)/2 + 1 }

// Snapshot is the state machine's state after the entry Index of term Term, with the
// membership at that point.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Conf  Conf   `cbor:"3,keyasint"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
}

// InitialState is the stored state that a node starts from. The zero value is a node that knows
// no membership yet; a leader adds it as a learner.
type InitialState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Applied is the index up to which the state machine has applied the log.
	Applied uint64
}

// Bootstrap returns the state from which each of the voters of a new group starts. It must
// be persisted before the first start.
func Bootstrap(voters []string) InitialState {
	conf := Conf{Voters: slices.Sorted(slices.Values(voters))}
	return InitialState{
		HardState: HardState{Term: bootstrapTerm, Commit: 1},
		Entries:   []Entry{{Index: 1, Term: bootstrapTerm, Type: EntryConf, Conf: &conf}},
	}
}

// ConfChangeType is a kind of membership change.
type ConfChangeType uint8

// The membership changes.
const (
	// AddLearner adds a replica that receives the log and does not vote.
	AddLearner ConfChangeType = iota + 1
	// Promote makes a learner a voter, if it stores every committed entry.
	Promote
	// Remove removes a voter or learner other than the leader.
	Remove
)

// ConfChange is a change of one member.
type ConfChange struct {
	Type ConfChangeType
	ID   string
}

// MessageType is a kind of message.
type MessageType uint8

// The message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	MsgAppend
	MsgAppendResp
	MsgHeartbeat
	MsgHeartbeatResp
	MsgSnapshot
	MsgTimeoutNow
	// MsgSnapshotPartResp acknowledges a part of a snapshot. Callers that send snapshots in parts
	// exchange it; the node never gets it.
	MsgSnapshotPartResp
)

// Message is what nodes of one group send each other. A message may be lost, repeated,
// delayed and reordered.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint,omitempty"`
	// Index and LogTerm name the entry before Entries in an append, the last entry in a
	// vote request, and the acknowledged or rejected entry in a response.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint is the last index at which the logs of a rejecting replica and its leader may
	// agree.
	Hint uint64 `cbor:"10,keyasint,omitempty"`
	// Sent is the send time on the leader's clock, relative to its start. Responses echo
	// it, so that a lease never depends on two clocks showing the same time.
	Sent time.Duration `cbor:"11,keyasint,omitempty"`
	// Read is the newest read round that the message proves; responses echo it.
	Read uint64 `cbor:"12,keyasint,omitempty"`
	// Transfer marks a vote request that the old leader asked for.
	Transfer bool      `cbor:"13,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"14,keyasint,omitempty"`
	// FromNodeID is the storage identity of the sender and ToNode the one that it knows of the
	// receiver. The node itself does not use them; the caller fills and checks them.
	FromNodeID string `cbor:"15,keyasint,omitempty"`
	ToNodeID   string `cbor:"16,keyasint,omitempty"`
	// Part is set on a MsgSnapshot that has a part of the data, which callers join before the node
	// gets the message.
	Part *SnapshotPart `cbor:"17,keyasint,omitempty"`
}

// SnapshotPart names a part of the data of a snapshot.
type SnapshotPart struct {
	// Offset is where the part starts and Size the length of the whole data, in bytes.
	Offset uint64 `cbor:"1,keyasint,omitempty"`
	Size   uint64 `cbor:"2,keyasint"`
}

// ReadState answers a ReadIndex. The read may be served once the state machine has applied
// Index. Aborted means that the node lost its leadership first.
type ReadState struct {
	ID      uint64
	Index   uint64
	Aborted bool
}

// Ready is the work that the caller must do, in the order of the fields.
type Ready struct {
	HardState *HardState
	// Snapshot replaces the log up to its index and the state machine's state.
	Snapshot  *Snapshot
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadState

	reads, messages int
}

// Role is the part that a node plays in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Status describes a node.
type Status struct {
	ID        string
	Group     string
	Role      Role
	Term      uint64
	Leader    string
	LastIndex uint64
	Commit    uint64
	Applied   uint64
	Voters    []string
	Learners  []string
	// ConfCommitted tells that the membership is committed, so that no other can be in force.
	ConfCommitted bool
	// Match has the highest entry that each member is known to store; only on a leader.
	Match map[string]uint64
}
