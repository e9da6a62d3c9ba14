// Package storage keeps the log of one replica on disk: a write-ahead log in segments and
// snapshot files, over a small file system interface. Files are written with plain writes
// and are never mapped.
//
// # Durability
//
// Each Append is one frame with a length and CRC-32C checksums, and is synced before Append
// returns. Checksums include the position of the frame, so that stored bytes that look like
// a frame are not taken for one. Snapshots and the identity are written to a temporary file,
// synced and renamed, and the folder is synced.
//
// An incomplete last frame (the file ends early, or whole sectors read as zero) is the
// remainder of an Append that never returned; Open cuts it off and reports it. Any other
// damage is refused with errs.Corrupt. A write that fails, for example on a full disk, is
// undone and reported as Refused, and the log stays usable. After a failed sync the state of
// the file is not known; the log returns Unusable until it is opened again.
//
// # First start and lost disk
//
// The folder holds an identity file with the group, the voter's name and a random node
// identity. A voter that has lost its disk has forgotten its votes and must not vote under
// its old name, so an empty folder is refused with DiskLost unless Options.Start tells that
// this is a first start. Bootstrap is set by the operator for the first start of a group's
// initial voters, Join for a replica that is added as a learner under a new name.
//
// Bootstrap may be left set by mistake. As a second check, peers exchange node identities:
// RememberPeer stores the identity under which a peer was first met, and a peer that later
// shows another identity under the same name has lost its disk and is not listened to. The
// combination leaves one gap: a voter that restarts empty with Bootstrap set is accepted by
// peers that had never met it. Operators must clear Bootstrap after the first start.
//
// The identity is written before the first log data and marked as formed after it, so an
// interrupted first start is repeated safely, and a formed folder without its log is refused.
package storage

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"fuchsiaflow/errs"
)

// StartMode tells whether an empty folder is expected.
type StartMode uint8

// The start modes.
const (
	// Existing requires the data of an earlier start.
	Existing StartMode = iota
	// Bootstrap allows the first start of an initial voter of a group.
	Bootstrap
	// Join allows the first start of a replica that will be added as a learner.
	Join
)

// Options sets up a Log.
type Options struct {
	Group string
	Voter string
	Start StartMode
	// First is stored at a first start before the folder counts as formed.
	First Batch
	// SegmentBytes is the size at which a new segment is started; 8 MiB when zero.
	SegmentBytes int64
	// StreamSnapshot leaves Recovered.SnapshotData empty; the caller reads SnapshotReader instead.
	StreamSnapshot bool
	// NewNodeID draws a node identity; 128 bits from the system's random source when nil.
	NewNodeID func() string
}

const defaultSegmentBytes = 8 << 20

// Entry is one log entry. Data is opaque.
type Entry struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Batch is what one Append stores. A nil HardState leaves the stored one as it is. Entries
// have consecutive indexes; they replace stored entries from the first index on.
type Batch struct {
	HardState []byte
	Entries   []Entry
}

// SnapshotMeta names the last entry that a snapshot covers. Extra is opaque.
type SnapshotMeta struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Extra []byte `cbor:"3,keyasint,omitempty"`
}

// TornTail reports an incomplete last write that Open cut off.
type TornTail struct {
	File   string
	Offset int64
	Bytes  int64
}

// Recovered is what Open found.
type Recovered struct {
	HardState []byte
	// Snapshot has index zero if there is none.
	Snapshot     SnapshotMeta
	SnapshotData []byte
	// Entries follow the snapshot.
	Entries []Entry
	Torn    *TornTail
	// Fresh is true at a first start.
	Fresh bool
	// Node is the random identity of this folder.
	Node string
	// Peers has the identity under which each peer was first met.
	Peers map[string]string
}

// DiskLost reports an empty folder of a voter that is not at its first start.
type DiskLost struct{ Dir, Group, Voter string }

func (e *DiskLost) Error() string {
	return fmt.Sprintf("folder %s has no data of voter %q of group %q: start it under a new name as a learner, "+
		"or set bootstrap if the group has never run", e.Dir, e.Voter, e.Group)
}

// FailureCode implements errs.Failure.
func (e *DiskLost) FailureCode() errs.Code { return errs.CodeNotFound }

// FailureOutcome implements errs.Failure.
func (e *DiskLost) FailureOutcome() errs.Outcome { return errs.NotRun }

// Unusable reports a log whose state on disk is not known after a failed sync. It works
// again after Close and Open.
type Unusable struct {
	Operation string
	Cause     string
	// First is true for the operation that failed itself, which may have been stored.
	First bool
}

func (e *Unusable) Error() string {
	return fmt.Sprintf("log is unusable until reopened: %s failed: %s", e.Operation, e.Cause)
}

// FailureCode implements errs.Failure.
func (e *Unusable) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *Unusable) FailureOutcome() errs.Outcome {
	if e.First {
		return errs.Unknown
	}
	return errs.NotRun
}

// Refused reports a write that the disk did not take, for example because it is full. What
// was stored before is intact, nothing of this write is kept, and the log stays usable.
type Refused struct {
	Operation string
	Cause     string
}

func (e *Refused) Error() string {
	return fmt.Sprintf("%s refused by the disk: %s", e.Operation, e.Cause)
}

// FailureCode implements errs.Failure.
func (e *Refused) FailureCode() errs.Code { return errs.CodeOverloaded }

// FailureOutcome implements errs.Failure.
func (e *Refused) FailureOutcome() errs.Outcome { return errs.NotRun }

// IO reports a failed read or another failed file operation at Open.
type IO struct {
	Operation string
	File      string
	Cause     string
}

func (e *IO) Error() string { return fmt.Sprintf("%s %s: %s", e.Operation, e.File, e.Cause) }

// FailureCode implements errs.Failure.
func (e *IO) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *IO) FailureOutcome() errs.Outcome { return errs.NotRun }

func ioError(op, file string, err error) error {
	if err == nil {
		return nil
	}
	return &IO{Operation: op, File: file, Cause: err.Error()}
}

func randomNodeID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return hex.EncodeToString(b[:])
}
