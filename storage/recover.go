package storage

import (
	"bytes"
	"fmt"
	"io"
)

// replay is the state of the log rebuilt from the segments read so far.
type replay struct {
	snapshotIndex uint64 // index of the newest snapshot
	markerSeen    bool   // the marker of that snapshot was read
	hardState     []byte
	entries       []Entry
}

// recover rebuilds the log from its snapshot and segments and opens the last segment for writing.
func (l *Log) recover(files dirListing) (Recovered, error) {
	var r Recovered
	reset, err := l.recoverSnapshot(files, &r)
	if err != nil {
		return r, err
	}
	state := replay{snapshotIndex: r.Snapshot.Index}
	var activeEnd int64
	for i, seq := range files.segments {
		if i > 0 && seq != files.segments[i-1]+1 {
			return r, corrupt(segmentName(seq-1), 0, "segment is missing")
		}
		last := i == len(files.segments)-1
		lastIndex, validEnd, torn, err := l.replaySegment(&state, seq, last)
		if err != nil {
			return r, err
		}
		l.segments = append(l.segments, segment{seq: seq, lastIndex: lastIndex})
		r.TornTail, activeEnd = torn, validEnd
	}
	if !state.markerSeen && r.Snapshot.Index > 0 {
		state.applyMarker(r.Snapshot.Index, reset)
		l.pendingMarker = appendSnapshotMarker(nil, r.Snapshot.Index, reset)
	}
	if len(state.entries) > 0 && state.entries[0].Index != r.Snapshot.Index+1 {
		return r, corrupt(l.dir, 0, fmt.Sprintf("entries %d to %d are missing", r.Snapshot.Index+1, state.entries[0].Index-1))
	}
	r.HardState, r.Entries = state.hardState, state.entries
	l.hardState, l.snapshot = bytes.Clone(state.hardState), r.Snapshot
	for _, e := range state.entries {
		l.entryTerms = append(l.entryTerms, e.Term)
	}
	return r, l.openActive(activeEnd, r.TornTail)
}

// recoverSnapshot opens the newest snapshot and removes older ones.
func (l *Log) recoverSnapshot(files dirListing, r *Recovered) (reset bool, err error) {
	if len(files.snapshots) == 0 {
		return false, nil
	}
	name := files.snapshots[len(files.snapshots)-1]
	header, file, err := l.openSnapshot(name)
	if err != nil {
		return false, err
	}
	r.Snapshot, l.snapshotFile = header.SnapshotMeta, file
	if !l.opt.StreamSnapshot {
		r.SnapshotData = make([]byte, file.size)
		if _, err := io.ReadFull(l.SnapshotReader(), r.SnapshotData); err != nil {
			return false, err
		}
	}
	for _, old := range files.snapshots[:len(files.snapshots)-1] {
		if err := l.fs.Remove(l.path(old)); err != nil {
			return false, ioError("remove", old, err)
		}
	}
	return header.Reset, nil
}

// replaySegment replays one segment. It returns the highest index of an entry in it and the offset
// of the end of the last valid frame. Only the last segment may have a torn tail.
func (l *Log) replaySegment(p *replay, seq uint64, last bool) (lastIndex uint64, validEnd int64, torn *TornTail, err error) {
	name := segmentName(seq)
	b, err := l.fs.ReadFile(l.path(name))
	if err != nil {
		return 0, 0, nil, ioError("read", name, err)
	}
	offset := 0
	for offset < len(b) {
		payload, size, state := readFrame(b[offset:], seq, uint64(offset))
		if state == frameValid {
			frameLast, err := p.applyFrame(payload, name, int64(offset))
			if err != nil {
				return 0, 0, nil, err
			}
			lastIndex = max(lastIndex, frameLast)
			offset += size
			continue
		}
		if state == frameCorrupt || !last || containsFrame(b[offset:], seq, uint64(offset)) {
			return 0, 0, nil, corrupt(name, int64(offset), "frame has a wrong checksum")
		}
		torn = &TornTail{File: name, Offset: int64(offset), Bytes: int64(len(b) - offset)}
		break
	}
	if offset == 0 && !last {
		return 0, 0, nil, corrupt(name, 0, "segment is empty")
	}
	return lastIndex, int64(offset), torn, nil
}

// applyFrame applies the items of a frame and returns the highest index of an entry in it.
func (p *replay) applyFrame(payload []byte, name string, offset int64) (lastIndex uint64, err error) {
	d := decoder{b: payload}
	for len(d.b) > 0 && !d.failed {
		kind := d.b[0]
		d.b = d.b[1:]
		switch kind {
		case itemHardState:
			p.hardState = d.bytes()
		case itemEntry:
			e := Entry{Index: d.uvarint(), Term: d.uvarint(), Data: d.bytes()}
			if !d.failed && !p.applyEntry(e) {
				return 0, corrupt(name, offset, fmt.Sprintf("entry %d does not follow the preceding entries", e.Index))
			}
			lastIndex = max(lastIndex, e.Index)
		case itemSnapshot:
			p.applyMarker(d.uvarint(), d.uvarint() != 0)
		default:
			d.failed = true
		}
	}
	if d.failed {
		return 0, corrupt(name, offset, "frame has an unknown or incomplete item")
	}
	return lastIndex, nil
}

// applyEntry adds an entry and drops the stored entries from its index on. It reports false if entries
// before it are missing that the snapshot does not cover.
func (p *replay) applyEntry(e Entry) bool {
	if len(p.entries) == 0 {
		p.entries = []Entry{e}
		return true
	}
	first, next := p.entries[0].Index, p.entries[0].Index+uint64(len(p.entries))
	switch {
	case e.Index > next && e.Index > p.snapshotIndex+1:
		return false
	case e.Index > next || e.Index < first:
		p.entries = []Entry{e}
	default:
		p.entries = append(p.entries[:e.Index-first], e)
	}
	return true
}

// applyMarker drops the entries up to index, which a snapshot covers, or all of them if reset is set.
func (p *replay) applyMarker(index uint64, reset bool) {
	p.markerSeen = p.markerSeen || index == p.snapshotIndex
	if reset {
		p.entries = nil
	}
	for len(p.entries) > 0 && p.entries[0].Index <= index {
		p.entries = p.entries[1:]
	}
}

// openActive opens the last segment for appending and truncates a torn tail.
func (l *Log) openActive(end int64, torn *TornTail) error {
	name := segmentName(l.active().seq)
	if torn != nil {
		if err := l.fs.Truncate(l.path(name), end); err != nil {
			return ioError("truncate", name, err)
		}
	}
	f, err := l.fs.Append(l.path(name))
	if err != nil {
		return ioError("open", name, err)
	}
	l.file, l.size = f, end
	if torn != nil {
		if err := f.Sync(); err != nil {
			return l.markUnusable("sync of "+name, err)
		}
		if err := l.sync(); err != nil {
			return l.recordFailure(err)
		}
	}
	if end == 0 {
		return l.writeSynced("start of "+name, appendHardState(l.newFrame(), l.hardState))
	}
	return nil
}
