package storage

import (
	"bytes"
	"fmt"
	"io"
)

// replay rebuilds the log from its segments.
type replay struct {
	snapshot  uint64 // index of the newest snapshot
	marked    bool   // its marker was read
	hardState []byte
	entries   []Entry
}

func (l *Log) recover(files listing) (Recovered, error) {
	var r Recovered
	reset, err := l.readSnapshot(files, &r)
	if err != nil {
		return r, err
	}
	p := replay{snapshot: r.Snapshot.Index}
	var end int64
	for i, seq := range files.segments {
		if i > 0 && seq != files.segments[i-1]+1 {
			return r, corrupt(segmentName(seq-1), 0, "the segment is missing")
		}
		last := i == len(files.segments)-1
		top, good, torn, err := l.readSegment(&p, seq, last)
		if err != nil {
			return r, err
		}
		l.segments = append(l.segments, segment{seq: seq, last: top})
		r.Torn, end = torn, good
	}
	if !p.marked && r.Snapshot.Index > 0 {
		p.marker(r.Snapshot.Index, reset)
		l.marker = appendMarker(nil, r.Snapshot.Index, reset)
	}
	if len(p.entries) > 0 && p.entries[0].Index != r.Snapshot.Index+1 {
		return r, corrupt(l.dir, 0, fmt.Sprintf("entries %d to %d are missing", r.Snapshot.Index+1, p.entries[0].Index-1))
	}
	r.HardState, r.Entries = p.hardState, p.entries
	l.hardState, l.snapshot = bytes.Clone(p.hardState), r.Snapshot
	for _, e := range p.entries {
		l.terms = append(l.terms, e.Term)
	}
	return r, l.openActive(end, r.Torn)
}

func (l *Log) readSnapshot(files listing, r *Recovered) (reset bool, err error) {
	if len(files.snapshots) == 0 {
		return false, nil
	}
	name := files.snapshots[len(files.snapshots)-1]
	head, file, err := l.openSnapshot(name)
	if err != nil {
		return false, err
	}
	r.Snapshot, l.stored = head.SnapshotMeta, file
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
	return head.Reset, nil
}

// readSegment replays one segment. It returns the highest entry in it and the end of the
// last good frame. Only the last segment may have a torn tail.
func (l *Log) readSegment(p *replay, seq uint64, last bool) (top uint64, good int64, torn *TornTail, err error) {
	name := segmentName(seq)
	b, err := l.fs.ReadFile(l.path(name))
	if err != nil {
		return 0, 0, nil, ioError("read", name, err)
	}
	at := 0
	for at < len(b) {
		payload, size, state := readFrame(b[at:], seq, uint64(at))
		if state == frameGood {
			high, err := p.frame(payload, name, int64(at))
			if err != nil {
				return 0, 0, nil, err
			}
			top = max(top, high)
			at += size
			continue
		}
		if state == frameDamaged || !last || frameAfter(b[at:], seq, uint64(at)) {
			return 0, 0, nil, corrupt(name, int64(at), "frame fails its checksum")
		}
		torn = &TornTail{File: name, Offset: int64(at), Bytes: int64(len(b) - at)}
		break
	}
	if at == 0 && !last {
		return 0, 0, nil, corrupt(name, 0, "the segment is empty")
	}
	return top, int64(at), torn, nil
}

func (p *replay) frame(payload []byte, name string, offset int64) (top uint64, err error) {
	d := decoder{b: payload}
	for len(d.b) > 0 && !d.bad {
		kind := d.b[0]
		d.b = d.b[1:]
		switch kind {
		case itemHardState:
			p.hardState = d.bytes()
		case itemEntry:
			e := Entry{Index: d.uvarint(), Term: d.uvarint(), Data: d.bytes()}
			if !d.bad && !p.entry(e) {
				return 0, corrupt(name, offset, fmt.Sprintf("entry %d does not follow the entries before it", e.Index))
			}
			top = max(top, e.Index)
		case itemSnapshot:
			p.marker(d.uvarint(), d.uvarint() != 0)
		default:
			d.bad = true
		}
	}
	if d.bad {
		return 0, corrupt(name, offset, "frame has an unknown or incomplete item")
	}
	return top, nil
}

// entry adds an entry, replacing entries from its index on. Entries that are missing before
// it must be covered by the snapshot.
func (p *replay) entry(e Entry) bool {
	if len(p.entries) == 0 {
		p.entries = []Entry{e}
		return true
	}
	first, next := p.entries[0].Index, p.entries[0].Index+uint64(len(p.entries))
	switch {
	case e.Index > next && e.Index > p.snapshot+1:
		return false
	case e.Index > next || e.Index < first:
		p.entries = []Entry{e}
	default:
		p.entries = append(p.entries[:e.Index-first], e)
	}
	return true
}

// marker drops the entries that a snapshot covers, or all of them.
func (p *replay) marker(index uint64, reset bool) {
	p.marked = p.marked || index == p.snapshot
	if reset {
		p.entries = nil
	}
	for len(p.entries) > 0 && p.entries[0].Index <= index {
		p.entries = p.entries[1:]
	}
}

// openActive opens the last segment for writing and cuts off a torn tail.
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
			return l.fail("sync of "+name, err)
		}
		if err := l.sync(); err != nil {
			return l.noteFailure(err)
		}
	}
	if end == 0 {
		return l.write("start of "+name, appendHardState(l.frame(), l.hardState))
	}
	return nil
}
