package storage

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"

	"fuchsiaflow/errs"
)

// Log is the open log of one replica. It is not safe for concurrent use.
type Log struct {
	directory
	opt   Options
	id    identity
	peers map[string]string

	segments      []segment // ascending; the last one is the active one
	file          File
	size          int64  // of the active segment, in bytes
	hardState     []byte // written again at the start of each segment
	snapshot      SnapshotMeta
	snapshotFile  snapshotFile
	entryTerms    []uint64 // terms of the entries after the snapshot
	pendingMarker []byte   // snapshot marker that the next frame must contain; nil for none
	buf           []byte
	failed        *Unusable // set after a failure that leaves the state on disk unknown
	closed        bool
}

// segment is one log file.
type segment struct {
	seq       uint64
	lastIndex uint64 // highest index of an entry in it
}

// Open opens and recovers the log in dir. The package comment describes when it fails.
func Open(fs FS, dir string, opt Options) (*Log, Recovered, error) {
	if opt.SegmentBytes <= 0 {
		opt.SegmentBytes = defaultSegmentBytes
	}
	if opt.NewNodeID == nil {
		opt.NewNodeID = randomNodeID
	}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, Recovered{}, ioError("create directory", dir, err)
	}
	l := &Log{directory: directory{fs, dir}, opt: opt, peers: make(map[string]string)}
	files, err := l.list()
	if err != nil {
		return nil, Recovered{}, err
	}
	fresh, err := l.openIdentity(files)
	if err != nil {
		return nil, Recovered{}, err
	}
	if fresh {
		if err := l.initialize(files); err != nil {
			return nil, Recovered{}, err
		}
		if files, err = l.list(); err != nil {
			return nil, Recovered{}, err
		}
	}
	r, err := l.recover(files)
	if err != nil {
		return nil, Recovered{}, err
	}
	r.FirstStart, r.NodeID, r.Peers = fresh, l.id.NodeID, maps.Clone(l.peers)
	return l, r, nil
}

// openIdentity reads the identity and the known peers. It reports whether this is a first start.
func (l *Log) openIdentity(files dirListing) (fresh bool, err error) {
	wantID := l.opt.Group + "/" + l.opt.Voter
	if files.identity {
		if err := l.readCBORFile(identityFile, &l.id); err != nil {
			return false, err
		}
		if haveID := l.id.Group + "/" + l.id.Voter; haveID != wantID {
			return false, &errs.Conflict{Kind: "data directory", ID: l.dir, Stored: haveID, Received: wantID}
		}
	} else if len(files.segments)+len(files.snapshots) > 0 || files.peers {
		return false, corrupt(identityFile, 0, "identity file is missing although the directory has data")
	}
	if !l.id.Initialized {
		if l.opt.Start == Existing {
			return false, &DiskLost{Dir: l.dir, Group: l.opt.Group, Voter: l.opt.Voter}
		}
		return true, nil
	}
	if len(files.segments) == 0 {
		return false, corrupt(l.dir, 0, "directory is initialized but has no log")
	}
	if files.peers {
		err = l.readCBORFile(peersFile, &l.peers)
	}
	return false, err
}

// initialize writes the data of a first start. It replaces what an interrupted first start left behind.
func (l *Log) initialize(files dirListing) error {
	l.id = identity{Group: l.opt.Group, Voter: l.opt.Voter, NodeID: l.opt.NewNodeID()}
	if err := l.replaceCBORFile(identityFile, l.id); err != nil {
		return err
	}
	for _, seq := range files.segments {
		if err := l.fs.Remove(l.path(segmentName(seq))); err != nil {
			return ioError("remove", segmentName(seq), err)
		}
	}
	l.hardState = bytes.Clone(l.opt.InitialBatch.HardState)
	if err := l.startSegment(1); err != nil {
		return err
	}
	if err := l.Append(l.opt.InitialBatch); err != nil {
		return err
	}
	if err := l.file.Close(); err != nil {
		return ioError("close", segmentName(1), err)
	}
	l.file, l.segments = nil, nil
	l.id.Initialized = true
	return l.replaceCBORFile(identityFile, l.id)
}

// startSegment creates a segment, makes it the active one and writes the current hard state to it.
func (l *Log) startSegment(seq uint64) error {
	name := segmentName(seq)
	f, err := l.fs.Create(l.path(name))
	if err != nil {
		return &WriteFailed{Operation: "create " + name, Cause: err.Error()}
	}
	previous, previousSize := l.file, l.size
	l.file, l.size = f, 0
	l.segments = append(l.segments, segment{seq: seq})
	if err := l.writeSynced("start of "+name, appendHardState(l.newFrame(), l.hardState)); err != nil {
		if l.failed == nil { // the previous segment stays the active one
			l.file, l.size = previous, previousSize
			l.segments = l.segments[:len(l.segments)-1]
			_ = f.Close()
			if removeErr := l.fs.Remove(l.path(name)); removeErr != nil {
				return l.markUnusable("remove "+name, removeErr)
			}
		}
		return err
	}
	if previous != nil {
		_ = previous.Close() // its content is already synced
	}
	return l.recordFailure(l.sync())
}

// newFrame returns the reused buffer with space for a header.
func (l *Log) newFrame() []byte {
	if cap(l.buf) < headerBytes {
		l.buf = make([]byte, headerBytes, 4096)
	}
	return l.buf[:headerBytes]
}

func (l *Log) active() *segment { return &l.segments[len(l.segments)-1] }

// markUnusable marks the log unusable and returns the error for the operation that failed.
func (l *Log) markUnusable(op string, err error) error {
	l.failed = &Unusable{Operation: op, Cause: err.Error()}
	return &Unusable{Operation: op, Cause: err.Error(), MayBeStored: true}
}

// recordFailure marks the log unusable if err is Unusable. It returns err.
func (l *Log) recordFailure(err error) error {
	if u, ok := err.(*Unusable); ok && l.failed == nil {
		l.failed = &Unusable{Operation: u.Operation, Cause: u.Cause}
	}
	return err
}

// writeSynced appends the frame in buf to the active segment and syncs it. A failed write is undone.
func (l *Log) writeSynced(op string, buf []byte) error {
	l.buf = buf
	sealFrame(buf, l.active().seq, uint64(l.size))
	if _, err := l.file.Write(buf); err != nil {
		if undoErr := l.truncateFailedWrite(); undoErr != nil {
			return l.markUnusable("undo of "+op, undoErr)
		}
		return &WriteFailed{Operation: op, Cause: err.Error()}
	}
	if err := l.file.Sync(); err != nil {
		return l.markUnusable("sync of "+op, err)
	}
	l.size += int64(len(buf))
	const maxKeptBufferBytes = 1 << 20 // a larger buffer, left by a large batch, is freed
	if cap(l.buf) > maxKeptBufferBytes {
		l.buf = nil
	}
	return nil
}

// truncateFailedWrite removes what a failed write left after the last valid frame.
func (l *Log) truncateFailedWrite() error {
	if err := l.fs.Truncate(l.path(segmentName(l.active().seq)), l.size); err != nil {
		return err
	}
	return l.file.Sync()
}

// checkUsable fails if the log is closed or unusable.
func (l *Log) checkUsable() error {
	if l.closed {
		return &errs.Unavailable{Resource: "log " + l.dir, Reason: "closed"}
	}
	if l.failed != nil {
		failure := *l.failed
		return &failure
	}
	return nil
}

// Append stores a batch in one frame. The batch is durable when Append returns nil. After WriteFailed
// nothing of it is stored; after Unusable all of it may be.
func (l *Log) Append(b Batch) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	if b.HardState == nil && len(b.Entries) == 0 {
		return nil
	}
	if err := l.checkIndexes(b.Entries); err != nil {
		return err
	}
	if l.size >= l.opt.SegmentBytes {
		if err := l.startSegment(l.active().seq + 1); err != nil {
			return err
		}
	}
	buf := append(l.newFrame(), l.pendingMarker...)
	if b.HardState != nil {
		buf = appendHardState(buf, b.HardState)
	}
	for _, e := range b.Entries {
		buf = appendEntry(buf, e)
	}
	if len(buf) > maxPayloadBytes {
		return &errs.TooLarge{What: "batch", Limit: maxPayloadBytes}
	}
	if err := l.writeSynced("append", buf); err != nil {
		return err
	}
	l.pendingMarker = nil
	if b.HardState != nil {
		l.hardState = bytes.Clone(b.HardState)
	}
	l.recordEntries(b.Entries)
	return nil
}

// checkIndexes checks that entries continue the log or replace its tail, with consecutive indexes.
func (l *Log) checkIndexes(entries []Entry) error {
	for i, e := range entries {
		first, next := l.snapshot.Index+1, l.snapshot.Index+1+uint64(len(l.entryTerms))
		if i > 0 {
			first, next = entries[0].Index+uint64(i), entries[0].Index+uint64(i)
		}
		if e.Index < first || e.Index > next {
			return &errs.Invalid{Path: fmt.Sprintf("$.Entries[%d].Index", i),
				Want: fmt.Sprintf("%d to %d", first, next), Got: fmt.Sprint(e.Index)}
		}
	}
	return nil
}

// recordEntries updates the terms and the active segment's last index after entries were stored.
func (l *Log) recordEntries(entries []Entry) {
	for i, e := range entries {
		if i == 0 {
			l.entryTerms = l.entryTerms[:e.Index-l.snapshot.Index-1]
		}
		l.entryTerms = append(l.entryTerms, e.Term)
		l.active().lastIndex = max(l.active().lastIndex, e.Index)
	}
}

// Snapshot stores a snapshot and removes the segments and the snapshot that it makes obsolete. If
// the log does not contain the snapshot's last entry, all stored entries are dropped.
func (l *Log) Snapshot(meta SnapshotMeta, data []byte) error {
	return l.WriteSnapshot(meta, func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
}

// WriteSnapshot is like Snapshot, but streams the data from write. If write fails, nothing is stored
// and its error is returned.
func (l *Log) WriteSnapshot(meta SnapshotMeta, write func(io.Writer) error) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	if meta.Index <= l.snapshot.Index {
		return &errs.Conflict{Kind: "snapshot", ID: l.dir, Stored: fmt.Sprint(l.snapshot.Index), Received: fmt.Sprint(meta.Index)}
	}
	covered := meta.Index - l.snapshot.Index
	reset := covered > uint64(len(l.entryTerms)) || l.entryTerms[covered-1] != meta.Term
	file, err := l.writeSnapshot(snapshotHeader{SnapshotMeta: meta, Reset: reset}, write)
	if err != nil {
		return l.recordFailure(err)
	}
	previous := l.snapshot
	l.snapshot, l.snapshotFile = meta, file
	if reset {
		l.entryTerms = nil
	} else {
		l.entryTerms = slices.Clone(l.entryTerms[covered:])
	}
	// The marker must precede the next entries. Until some are appended the snapshot file is enough.
	l.pendingMarker = appendSnapshotMarker(nil, meta.Index, reset)
	return l.removeObsolete(previous)
}

// removeObsolete removes the previous snapshot and the segments that the new one covers.
func (l *Log) removeObsolete(previous SnapshotMeta) error {
	if previous.Index > 0 {
		if err := l.fs.Remove(l.path(snapshotName(previous.Index, previous.Term))); err != nil {
			return l.markUnusable("remove snapshot", err)
		}
	}
	for len(l.segments) > 1 && l.segments[0].lastIndex <= l.snapshot.Index {
		if err := l.fs.Remove(l.path(segmentName(l.segments[0].seq))); err != nil {
			return l.markUnusable("remove segment", err)
		}
		l.segments = l.segments[1:]
	}
	return l.recordFailure(l.sync())
}

// RememberPeer stores the node identity of a peer that is not known yet. It returns errs.Conflict if
// the peer is known under another identity.
func (l *Log) RememberPeer(id, node string) error {
	if have, ok := l.peers[id]; ok {
		if have != node {
			return &errs.Conflict{Kind: "node identity of peer", ID: id, Stored: have, Received: node}
		}
		return nil
	}
	if err := l.checkUsable(); err != nil {
		return err
	}
	updated := maps.Clone(l.peers)
	updated[id] = node
	if err := l.replaceCBORFile(peersFile, updated); err != nil {
		return l.recordFailure(err)
	}
	l.peers = updated
	return nil
}

// SnapshotIndex returns the index of the stored snapshot, or zero.
func (l *Log) SnapshotIndex() uint64 { return l.snapshot.Index }

// SegmentCount returns the number of segments.
func (l *Log) SegmentCount() int { return len(l.segments) }

// Close closes the log. Further calls do nothing.
func (l *Log) Close() error {
	if l.closed || l.file == nil {
		return nil
	}
	l.closed = true
	return ioError("close", segmentName(l.active().seq), l.file.Close())
}
