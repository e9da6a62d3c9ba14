// Package storage stores the log of one replica on disk: a write-ahead log in segments and
// snapshot files, on top of a small file system interface. Files are written with plain writes
// and are never memory-mapped.
//
// # Durability
//
// Each Append writes one frame with a length and CRC-32C checksums, and syncs it before it
// returns. Checksums include the position of the frame, so that stored data that looks like a
// frame is not taken for one. Snapshots and the identity are written to a temporary file,
// synced and renamed, and then the directory is synced.
//
// An incomplete last frame (the file ends early, or whole sectors read as zero) was left by an
// Append that never returned; Open truncates it and reports it. Any other corruption makes Open
// fail with errs.Corrupt. A write that fails, for example on a full disk, is undone and reported
// as WriteFailed, and the log stays usable. After a failed sync the state of the file is not known;
// the log returns Unusable until it is opened again.
//
// # First start and lost disks
//
// The directory holds an identity file with the group, the voter's name and a random node
// identity. A voter that has lost its disk no longer knows its votes and must not vote under
// its old name. An empty directory therefore makes Open fail with DiskLost unless Options.Start
// declares a first start. The operator sets Bootstrap for the first start of a group's initial
// voters, and Join for a replica that is added as a learner under a new name.
//
// Bootstrap may be left set by mistake. As a second check, peers exchange node identities:
// RememberPeer stores the identity that a peer showed first. A peer that later shows another
// identity under the same name has lost its disk, and its messages are ignored. One gap
// remains: a voter that restarts empty with Bootstrap set is accepted by peers that had never
// met it. Operators must clear Bootstrap after the first start.
//
// The identity is written before the first log data and marked as initialized after it, so that
// an interrupted first start can be repeated safely. An initialized directory without its log
// makes Open fail.
package storage

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"fuchsiaflow/errs"
)

// StartMode tells whether Open accepts an empty directory.
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

// Options configures a Log.
type Options struct {
	Group string
	Voter string
	Start StartMode
	// InitialBatch is the batch that a first start stores before the directory counts as initialized.
	InitialBatch Batch
	// SegmentBytes is the size from which Append starts a new segment; 8 MiB if zero.
	SegmentBytes int64
	// StreamSnapshot leaves Recovered.SnapshotData empty. The caller uses Log.SnapshotReader instead.
	StreamSnapshot bool
	// NewNodeID generates a node identity; if nil, it is 128 bits from crypto/rand.
	NewNodeID func() string
}

const defaultSegmentBytes = 8 << 20

// Entry is one log entry. Its Data is opaque to this package.
type Entry struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Batch is what one Append stores. A nil HardState leaves the stored one unchanged. Entries have
// consecutive indexes and replace the stored entries from the first index on.
type Batch struct {
	HardState []byte
	Entries   []Entry
}

// SnapshotMeta identifies the last entry that a snapshot covers. Extra is opaque to this package.
type SnapshotMeta struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	Extra []byte `cbor:"3,keyasint,omitempty"`
}

// TornTail describes an incomplete last write that Open truncated.
type TornTail struct {
	File   string
	Offset int64
	Bytes  int64
}

// Recovered is the state that Open found on disk.
type Recovered struct {
	HardState []byte
	// Snapshot has index zero if there is none.
	Snapshot     SnapshotMeta
	SnapshotData []byte
	// Entries follow the snapshot.
	Entries  []Entry
	TornTail *TornTail
	// FirstStart is set if Open initialized the directory.
	FirstStart bool
	// NodeID is the random node identity of this directory.
	NodeID string
	// Peers maps the name of each known peer to its node identity.
	Peers map[string]string
}

// DiskLost reports a directory without the voter's data when no first start is declared.
type DiskLost struct{ Dir, Group, Voter string }

func (e *DiskLost) Error() string {
	return fmt.Sprintf("directory %s has no data of voter %q of group %q: start it under a new name as a learner, "+
		"or set bootstrap if the group has never run", e.Dir, e.Voter, e.Group)
}

// FailureCode implements errs.Failure.
func (e *DiskLost) FailureCode() errs.Code { return errs.CodeNotFound }

// FailureOutcome implements errs.Failure.
func (e *DiskLost) FailureOutcome() errs.Outcome { return errs.NotRun }

// Unusable reports a log whose state on disk is not known, for example after a failed sync. The log
// can be used again after Close and Open.
type Unusable struct {
	Operation string
	Cause     string
	// MayBeStored is set for the operation that failed. Later operations are not tried and have it
	// unset.
	MayBeStored bool
}

func (e *Unusable) Error() string {
	return fmt.Sprintf("log is unusable until reopened: %s failed: %s", e.Operation, e.Cause)
}

// FailureCode implements errs.Failure.
func (e *Unusable) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *Unusable) FailureOutcome() errs.Outcome {
	if e.MayBeStored {
		return errs.Unknown
	}
	return errs.NotRun
}

// WriteFailed reports a failed write that was undone, for example on a full disk. Earlier data is intact,
// nothing of this write is stored, and the log stays usable.
type WriteFailed struct {
	Operation string
	Cause     string
}

func (e *WriteFailed) Error() string {
	return fmt.Sprintf("%s failed, nothing was stored: %s", e.Operation, e.Cause)
}

// FailureCode implements errs.Failure.
func (e *WriteFailed) FailureCode() errs.Code { return errs.CodeOverloaded }

// FailureOutcome implements errs.Failure.
func (e *WriteFailed) FailureOutcome() errs.Outcome { return errs.NotRun }

// FileOpFailed reports a failed file operation, for example a read or the removal of a file.
type FileOpFailed struct {
	Operation string
	File      string
	Cause     string
}

func (e *FileOpFailed) Error() string { return fmt.Sprintf("%s %s: %s", e.Operation, e.File, e.Cause) }

// FailureCode implements errs.Failure.
func (e *FileOpFailed) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *FileOpFailed) FailureOutcome() errs.Outcome { return errs.NotRun }

func ioError(op, file string, err error) error {
	if err == nil {
		return nil
	}
	return &FileOpFailed{Operation: op, File: file, Cause: err.Error()}
}

func randomNodeID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return hex.EncodeToString(b[:])
}
