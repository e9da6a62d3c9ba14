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
	folder
	opt   Options
	id    identity
	peers map[string]string

	segments  []segment // ascending; the last one is written to
	file      File
	size      int64  // of the last segment
	hardState []byte // repeated at the start of each segment
	snapshot  SnapshotMeta
	stored    snapshotFile // of the snapshot
	terms     []uint64     // of the entries after the snapshot
	marker    []byte       // snapshot item for the next frame
	buf       []byte
	failed    *Unusable
	closed    bool
}

// segment is one log file. Entries above last are not in it.
type segment struct {
	seq  uint64
	last uint64
}

// Open opens the log in dir. See the package comment for what it refuses.
func Open(fs FS, dir string, opt Options) (*Log, Recovered, error) {
	if opt.SegmentBytes <= 0 {
		opt.SegmentBytes = defaultSegmentBytes
	}
	if opt.NewNodeID == nil {
		opt.NewNodeID = randomNodeID
	}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, Recovered{}, ioError("create folder", dir, err)
	}
	l := &Log{folder: folder{fs, dir}, opt: opt, peers: make(map[string]string)}
	files, err := l.list()
	if err != nil {
		return nil, Recovered{}, err
	}
	fresh, err := l.openIdentity(files)
	if err != nil {
		return nil, Recovered{}, err
	}
	if fresh {
		if err := l.form(files); err != nil {
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
	r.Fresh, r.Node, r.Peers = fresh, l.id.Node, maps.Clone(l.peers)
	return l, r, nil
}

// openIdentity reads the identity and the known peers. It reports a first start.
func (l *Log) openIdentity(files listing) (fresh bool, err error) {
	want := l.opt.Group + "/" + l.opt.Voter
	if files.identity {
		if err := l.readCBOR(identityName, &l.id); err != nil {
			return false, err
		}
		if have := l.id.Group + "/" + l.id.Voter; have != want {
			return false, &errs.Conflict{Kind: "data folder", ID: l.dir, Have: have, Got: want}
		}
	} else if len(files.segments)+len(files.snapshots) > 0 || files.peers {
		return false, corrupt(identityName, 0, "the identity file is missing although the folder has data")
	}
	if !l.id.Formed {
		if l.opt.Start == Existing {
			return false, &DiskLost{Dir: l.dir, Group: l.opt.Group, Voter: l.opt.Voter}
		}
		return true, nil
	}
	if len(files.segments) == 0 {
		return false, corrupt(l.dir, 0, "the folder is formed but has no log")
	}
	if files.peers {
		err = l.readCBOR(peersName, &l.peers)
	}
	return false, err
}

// form writes the data of a first start. It replaces what an interrupted first start left.
func (l *Log) form(files listing) error {
	l.id = identity{Group: l.opt.Group, Voter: l.opt.Voter, Node: l.opt.NewNodeID()}
	if err := l.replaceCBOR(identityName, l.id); err != nil {
		return err
	}
	for _, seq := range files.segments {
		if err := l.fs.Remove(l.path(segmentName(seq))); err != nil {
			return ioError("remove", segmentName(seq), err)
		}
	}
	l.hardState = bytes.Clone(l.opt.First.HardState)
	if err := l.startSegment(1); err != nil {
		return err
	}
	if err := l.Append(l.opt.First); err != nil {
		return err
	}
	if err := l.file.Close(); err != nil {
		return ioError("close", segmentName(1), err)
	}
	l.file, l.segments = nil, nil
	l.id.Formed = true
	return l.replaceCBOR(identityName, l.id)
}

// startSegment creates a segment that begins with the current hard state.
func (l *Log) startSegment(seq uint64) error {
	name := segmentName(seq)
	f, err := l.fs.Create(l.path(name))
	if err != nil {
		return &Refused{Operation: "create " + name, Cause: err.Error()}
	}
	old, oldSize := l.file, l.size
	l.file, l.size = f, 0
	l.segments = append(l.segments, segment{seq: seq})
	if err := l.write("start of "+name, appendHardState(l.frame(), l.hardState)); err != nil {
		if l.failed == nil { // the previous segment stays in use
			l.file, l.size = old, oldSize
			l.segments = l.segments[:len(l.segments)-1]
			_ = f.Close()
			if rerr := l.fs.Remove(l.path(name)); rerr != nil {
				return l.fail("remove "+name, rerr)
			}
		}
		return err
	}
	if old != nil {
		_ = old.Close() // everything in it is synced
	}
	return l.noteFailure(l.sync())
}

func (l *Log) frame() []byte {
	if cap(l.buf) < headerBytes {
		l.buf = make([]byte, headerBytes, 4096)
	}
	return l.buf[:headerBytes]
}

func (l *Log) active() *segment { return &l.segments[len(l.segments)-1] }

// fail marks the log unusable.
func (l *Log) fail(op string, err error) error {
	l.failed = &Unusable{Operation: op, Cause: err.Error()}
	return &Unusable{Operation: op, Cause: err.Error(), First: true}
}

// noteFailure marks the log unusable if err is the failure of a sync.
func (l *Log) noteFailure(err error) error {
	if u, ok := err.(*Unusable); ok && l.failed == nil {
		l.failed = &Unusable{Operation: u.Operation, Cause: u.Cause}
	}
	return err
}

// write appends one frame to the last segment and syncs it. A write that fails is undone.
func (l *Log) write(op string, buf []byte) error {
	l.buf = buf
	sealFrame(buf, l.active().seq, uint64(l.size))
	if _, err := l.file.Write(buf); err != nil {
		if uerr := l.undo(); uerr != nil {
			return l.fail("undo of "+op, uerr)
		}
		return &Refused{Operation: op, Cause: err.Error()}
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync of "+op, err)
	}
	l.size += int64(len(buf))
	const keptBytes = 1 << 20 // one large batch must not pin its buffer
	if cap(l.buf) > keptBytes {
		l.buf = nil
	}
	return nil
}

// undo removes what a failed write left behind the last good frame.
func (l *Log) undo() error {
	if err := l.fs.Truncate(l.path(segmentName(l.active().seq)), l.size); err != nil {
		return err
	}
	return l.file.Sync()
}

func (l *Log) usable() error {
	if l.closed {
		return &errs.Unavailable{Resource: "log " + l.dir, Reason: "closed"}
	}
	if l.failed != nil {
		u := *l.failed
		return &u
	}
	return nil
}

// Append stores a batch in one frame. It is durable when Append returns nil. After Refused
// nothing of it is stored; after Unusable it may be.
func (l *Log) Append(b Batch) error {
	if err := l.usable(); err != nil {
		return err
	}
	if b.HardState == nil && len(b.Entries) == 0 {
		return nil
	}
	if err := l.follows(b.Entries); err != nil {
		return err
	}
	if l.size >= l.opt.SegmentBytes {
		if err := l.startSegment(l.active().seq + 1); err != nil {
			return err
		}
	}
	buf := append(l.frame(), l.marker...)
	if b.HardState != nil {
		buf = appendHardState(buf, b.HardState)
	}
	for _, e := range b.Entries {
		buf = appendEntry(buf, e)
	}
	if len(buf) > maxPayloadBytes {
		return &errs.TooLarge{What: "batch", Limit: maxPayloadBytes}
	}
	if err := l.write("append", buf); err != nil {
		return err
	}
	l.marker = nil
	if b.HardState != nil {
		l.hardState = bytes.Clone(b.HardState)
	}
	l.note(b.Entries)
	return nil
}

// follows checks that entries continue the log or replace its end.
func (l *Log) follows(entries []Entry) error {
	for i, e := range entries {
		first, next := l.snapshot.Index+1, l.snapshot.Index+1+uint64(len(l.terms))
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

// note records stored entries.
func (l *Log) note(entries []Entry) {
	for i, e := range entries {
		if i == 0 {
			l.terms = l.terms[:e.Index-l.snapshot.Index-1]
		}
		l.terms = append(l.terms, e.Term)
		l.active().last = max(l.active().last, e.Index)
	}
}

// Snapshot stores a snapshot and drops the segments and snapshots that it makes obsolete. If
// the log does not contain the snapshot's last entry, the stored entries are dropped.
func (l *Log) Snapshot(meta SnapshotMeta, data []byte) error {
	return l.WriteSnapshot(meta, func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
}

// WriteSnapshot is Snapshot with data that write makes piece by piece. A failure of write stores
// nothing and is returned.
func (l *Log) WriteSnapshot(meta SnapshotMeta, write func(io.Writer) error) error {
	if err := l.usable(); err != nil {
		return err
	}
	if meta.Index <= l.snapshot.Index {
		return &errs.Conflict{Kind: "snapshot", ID: l.dir, Have: fmt.Sprint(l.snapshot.Index), Got: fmt.Sprint(meta.Index)}
	}
	covered := meta.Index - l.snapshot.Index
	reset := covered > uint64(len(l.terms)) || l.terms[covered-1] != meta.Term
	file, err := l.writeSnapshot(snapshotHead{SnapshotMeta: meta, Reset: reset}, write)
	if err != nil {
		return l.noteFailure(err)
	}
	old := l.snapshot
	l.snapshot, l.stored = meta, file
	if reset {
		l.terms = nil
	} else {
		l.terms = slices.Clone(l.terms[covered:])
	}
	// Entries appended from now on need the marker; until then the file alone is enough.
	l.marker = appendMarker(nil, meta.Index, reset)
	return l.dropObsolete(old)
}

func (l *Log) dropObsolete(old SnapshotMeta) error {
	if old.Index > 0 {
		if err := l.fs.Remove(l.path(snapshotName(old.Index, old.Term))); err != nil {
			return l.fail("remove snapshot", err)
		}
	}
	for len(l.segments) > 1 && l.segments[0].last <= l.snapshot.Index {
		if err := l.fs.Remove(l.path(segmentName(l.segments[0].seq))); err != nil {
			return l.fail("remove segment", err)
		}
		l.segments = l.segments[1:]
	}
	return l.noteFailure(l.sync())
}

// RememberPeer stores the identity of a peer that is met for the first time. It returns
// errs.Conflict if the peer is known under another identity.
func (l *Log) RememberPeer(id, node string) error {
	if have, ok := l.peers[id]; ok {
		if have != node {
			return &errs.Conflict{Kind: "node identity of peer", ID: id, Have: have, Got: node}
		}
		return nil
	}
	if err := l.usable(); err != nil {
		return err
	}
	next := maps.Clone(l.peers)
	next[id] = node
	if err := l.replaceCBOR(peersName, next); err != nil {
		return l.noteFailure(err)
	}
	l.peers = next
	return nil
}

// SnapshotIndex returns the index of the stored snapshot, or zero.
func (l *Log) SnapshotIndex() uint64 { return l.snapshot.Index }

// Segments returns the number of log files.
func (l *Log) Segments() int { return len(l.segments) }

// Close closes the log.
func (l *Log) Close() error {
	if l.closed || l.file == nil {
		return nil
	}
	l.closed = true
	return ioError("close", segmentName(l.active().seq), l.file.Close())
}
