// Package consensus implements a replicated log with the Raft algorithm, as a pure state machine.
// It starts no goroutines and uses no files, sockets or clocks: the current time is an argument of
// each call, and the caller moves data between the node, its storage and its peers.
//
// The caller feeds the node through Step, Tick and Propose. While HasReady reports true, it calls
// Ready, persists and syncs HardState, Snapshot and Entries, sends Messages, applies Committed,
// serves Reads, and calls Advance.
//
// # Elections and leases
//
// A node requests pre-votes before it increments its term, and a voter that heard from a leader
// less than one ElectionTimeout ago rejects vote requests, so a node that was partitioned away
// does not disrupt the group. A restarted voter rejects vote requests for one ElectionTimeout,
// because it does not know whether it acknowledged heartbeats of a leader before the restart.
// A leader that no longer hears from a quorum steps down.
//
// A lease expires ElectionTimeout-MaxClockDrift after the send time of the newest heartbeat
// that a quorum has acknowledged. The quorum that elects a later leader contains a voter that
// acknowledged that heartbeat before it voted, so the old lease expires less than one
// ElectionTimeout after the election. A new leader therefore reports no lease during its
// first ElectionTimeout, unless its term is the first that can have a leader.
// MaxClockDrift is the upper bound on the divergence of two clocks within one ElectionTimeout.
//
// # Membership
//
// The latest membership in the log is in effect, committed or not. It changes by one member at
// a time, and a leader accepts a change only after an entry of its term and the previous change
// are committed. A leader cannot remove itself; it must transfer its leadership first.
package consensus

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits that do not depend on the deployment.
const (
	// MaxEntryBytes limits one proposal, so that a message stays within common RPC size limits.
	MaxEntryBytes = 16 << 20
	// maxUncommittedBytes limits the uncommitted entries that a leader without a quorum keeps in
	// memory.
	maxUncommittedBytes = 64 << 20
	// maxInflightAppends limits the unacknowledged append messages to one replica.
	maxInflightAppends = 32
	// maxCommittedBytes limits the committed entries in one Ready.
	maxCommittedBytes = 4 << 20

	defaultBatchBytes      = 256 << 10
	defaultTrailingEntries = 256

	// bootstrapTerm is the term of the initial membership entry. The first elected leader has
	// the next term.
	bootstrapTerm = 1
)

// Config holds the settings of a Node.
type Config struct {
	ID    string
	Group string
	// ElectionTimeout is the minimum time without contact from a leader after which a follower
	// starts an election. Each election timer is drawn from [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// MaxClockDrift is the upper bound on the divergence of two clocks within one
	// ElectionTimeout.
	MaxClockDrift time.Duration
	Rand          *rand.Rand
	// MaxBatchBytes limits the entries in one append message. The default is 256 KiB.
	MaxBatchBytes int
	// TrailingEntries is the number of entries before the snapshot that Compact keeps in memory,
	// so that a replica that lags slightly needs no snapshot. The default is 256.
	TrailingEntries int
	// ExternalSnapshots leaves snapshot data to the caller, so that it is not in memory twice: the
	// node drops the data once it is stored, and the caller adds it to each outgoing MsgSnapshot.
	ExternalSnapshots bool

	faults faults
}

// faults disables individual safety rules. Tests use it to verify that their checks detect the
// resulting violations.
type faults struct {
	voteTwice        bool // grants a second vote in one term
	skipLeaseWait    bool // reports a lease immediately after an election
	leaseFromReceipt bool // starts the lease when an acknowledgement is received
	commitMinority   bool // commits entries that only the leader has stored
	ignoreLogCheck   bool // grants votes to candidates with an outdated log
	skipTermCheck    bool // accepts appends without comparing the term of the previous entry
	staleReads       bool // serves reads without confirming leadership
}

// HardState is the part of a node's state that must survive restarts.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   string `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// EntryType is the type of a log entry.
type EntryType uint8

// The entry types.
const (
	EntryCommand EntryType = iota
	// EntryNoop is the entry that each new leader appends first.
	EntryNoop
	// EntryConf contains a membership.
	EntryConf
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Type  EntryType `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
	Conf  *Conf     `cbor:"5,keyasint,omitempty"`
}

// entryOverheadBytes approximates the encoded size of an entry without its data.
const entryOverheadBytes = 24

func (e *Entry) size() int { return len(e.Data) + entryOverheadBytes }

// Conf is the membership of a group. Voters and Learners are sorted and disjoint.
type Conf struct {
	Voters   []string `cbor:"1,keyasint,omitempty"`
	Learners []string `cbor:"2,keyasint,omitempty"`
}

func (c Conf) clone() Conf {
	return Conf{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

func (c Conf) isVoter(id string) bool   { return slices.Contains(c.Voters, id) }
func (c Conf) isLearner(id string) bool { return slices.Contains(c.Learners, id) }
func (c Conf) contains(id string) bool  { return c.isVoter(id) || c.isLearner(id) }
func (c Conf) quorum() int              { return len(c.Voters)/2 + 1 }

// Snapshot is the state of the state machine after applying the entry at Index, with the
// membership at that point.
type Snapshot struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Conf  Conf   `cbor:"3,keyasint"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
}

// InitialState is the persisted state from which a node starts. The zero value is for a node without a
// membership, which a leader will add as a learner.
type InitialState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Applied is the index of the last entry that the state machine has applied.
	Applied uint64
}

// Bootstrap returns the initial state of each voter of a new group. It must be persisted before
// the node is first started.
func Bootstrap(voters []string) InitialState {
	conf := Conf{Voters: slices.Sorted(slices.Values(voters))}
	return InitialState{
		HardState: HardState{Term: bootstrapTerm, Commit: 1},
		Entries:   []Entry{{Index: 1, Term: bootstrapTerm, Type: EntryConf, Conf: &conf}},
	}
}

// ConfChangeType is the type of a membership change.
type ConfChangeType uint8

// The types of membership changes.
const (
	// AddLearner adds a non-voting replica that receives the log.
	AddLearner ConfChangeType = iota + 1
	// Promote turns a learner that stores every committed entry into a voter.
	Promote
	// Remove removes a voter or learner other than the leader.
	Remove
)

// ConfChange is a membership change that affects one member.
type ConfChange struct {
	Type ConfChangeType
	ID   string
}

// MessageType is the type of a message.
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
	// MsgSnapshotPartResp acknowledges the first Hint bytes of the snapshot at Index and LogTerm. It is
	// exchanged by callers that send snapshots in parts, and is never passed to a Node.
	MsgSnapshotPartResp
)

// Message is a message between nodes of one group. The network may lose, duplicate, delay and
// reorder messages.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint,omitempty"`
	// Index and LogTerm identify the entry before Entries in an append and the last entry of the
	// log in a vote request. In a response, Index is the acknowledged or rejected entry.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint is the highest index at which the logs of a rejecting replica and its leader may
	// match.
	Hint uint64 `cbor:"10,keyasint,omitempty"`
	// Sent is the send time on the leader's clock, relative to the leader's start. Responses echo
	// it, so that leases do not require synchronized clocks.
	Sent time.Duration `cbor:"11,keyasint,omitempty"`
	// ReadRound is the leader's newest read round. A response echoes it, which confirms the
	// leadership for all reads up to that round.
	ReadRound uint64 `cbor:"12,keyasint,omitempty"`
	// Transfer marks a vote request that results from a leadership transfer.
	Transfer bool      `cbor:"13,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"14,keyasint,omitempty"`
	// FromNodeID is the storage identity of the sender. It is set and checked by the caller.
	FromNodeID string `cbor:"15,keyasint,omitempty"`
	// ToNodeID is the storage identity of the receiver as known to the sender. It is set and checked
	// by the caller.
	ToNodeID string `cbor:"16,keyasint,omitempty"`
	// Part is set on a MsgSnapshot that contains only a part of the data. Callers reassemble the
	// parts before they pass the message to a Node.
	Part *SnapshotPart `cbor:"17,keyasint,omitempty"`
}

// SnapshotPart describes a part of the data of a snapshot.
type SnapshotPart struct {
	// Offset is the start of the part and Size the total length of the data, both in bytes.
	Offset uint64 `cbor:"1,keyasint,omitempty"`
	Size   uint64 `cbor:"2,keyasint"`
}

// ReadState is the result of a ReadIndex call. The read may be served once the state machine has
// applied Index. Aborted means that the node lost its leadership before it could confirm the read.
type ReadState struct {
	ID      uint64
	Index   uint64
	Aborted bool
}

// Ready is work for the caller, to be done in the order of the fields.
type Ready struct {
	HardState *HardState
	// Snapshot replaces the log up to its index and the state of the state machine.
	Snapshot  *Snapshot
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadState

	readCount, messageCount int
}

// Role is the Raft role of a node in its current term.
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

// Status is a summary of a node's state.
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
	// ConfCommitted reports whether the membership is committed, so that no other can be in effect.
	ConfCommitted bool
	// Match is the highest index that each member is known to store. It is nil unless the node
	// leads.
	Match map[string]uint64
}
