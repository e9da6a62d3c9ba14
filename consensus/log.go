package consensus

import (
	"fmt"
	"slices"

	"fuchsiaflow/errs"
)

// raftLog holds the entries after (baseIndex, baseTerm). Entries up to stable are
// persisted.
type raftLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
	stable              uint64
	commit, applied     uint64

	snapshot Snapshot
	// pending is a received snapshot that the caller has not persisted yet.
	pending *Snapshot
	// confs has the memberships in the log, oldest first. The first is at or before the
	// base.
	confs []indexedConf
}

type indexedConf struct {
	index uint64
	conf  Conf
}

func newLog(in InitialState) (*raftLog, error) {
	l := &raftLog{
		baseIndex: in.Snapshot.Index,
		baseTerm:  in.Snapshot.Term,
		snapshot:  in.Snapshot,
		confs:     []indexedConf{{in.Snapshot.Index, in.Snapshot.Conf.clone()}},
	}
	for i, e := range in.Entries {
		if want := in.Snapshot.Index + uint64(i) + 1; e.Index != want {
			return nil, &errs.Corrupt{What: "stored log", Offset: int64(i),
				Detail: fmt.Sprintf("entry %d found where %d was expected", e.Index, want)}
		}
		l.push(e)
	}
	l.stable = l.last()
	l.commit = min(max(in.HardState.Commit, in.Snapshot.Index), l.last())
	l.applied = max(in.Applied, in.Snapshot.Index)
	if l.applied > l.commit {
		return nil, &errs.Corrupt{What: "stored log", Offset: int64(l.commit),
			Detail: fmt.Sprintf("applied index %d is not committed", l.applied)}
	}
	return l, nil
}

func (l *raftLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index; ok is false if the log does not have it.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// firstOfTerm returns the first index at or after the base that has the term of index.
func (l *raftLog) firstOfTerm(index uint64) uint64 {
	term, _ := l.term(index)
	for index > l.baseIndex {
		if t, _ := l.term(index - 1); t != term {
			break
		}
		index--
	}
	return index
}

func (l *raftLog) conf() Conf { return l.confs[len(l.confs)-1].conf }

func (l *raftLog) confIndex() uint64 { return l.confs[len(l.confs)-1].index }

func (l *raftLog) confAt(index uint64) Conf {
	for i := len(l.confs) - 1; i > 0; i-- {
		if l.confs[i].index <= index {
			return l.confs[i].conf
		}
	}
	return l.confs[0].conf
}

func (l *raftLog) push(e Entry) {
	l.entries = append(l.entries, e)
	if e.Type == EntryConf && e.Conf != nil {
		l.confs = append(l.confs, indexedConf{e.Index, e.Conf.clone()})
	}
}

// truncate drops the entries from index on.
func (l *raftLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.baseIndex-1])
	l.stable = min(l.stable, index-1)
	for len(l.confs) > 1 && l.confs[len(l.confs)-1].index >= index {
		l.confs = l.confs[:len(l.confs)-1]
	}
}

// slice returns the entries from lo to hi inclusive, at most maxBytes but at least one.
func (l *raftLog) slice(lo, hi uint64, maxBytes int) []Entry {
	hi = min(hi, l.last())
	if lo > hi || lo <= l.baseIndex {
		return nil
	}
	part := l.entries[lo-l.baseIndex-1 : hi-l.baseIndex]
	size := 0
	for i := range part {
		size += part[i].size()
		if size > maxBytes && i > 0 {
			part = part[:i]
			break
		}
	}
	return slices.Clone(part)
}

// merge appends the entries of a leader, replacing what conflicts with them. It refuses to
// replace a committed entry.
func (l *raftLog) merge(entries []Entry) error {
	for i, e := range entries {
		if e.Index <= l.baseIndex {
			continue
		}
		if t, ok := l.term(e.Index); ok {
			if t == e.Term {
				continue
			}
			if e.Index <= l.commit {
				return &errs.Corrupt{What: "replicated log", Offset: int64(e.Index),
					Detail: fmt.Sprintf("a leader replaces the committed entry %d", e.Index)}
			}
			l.truncate(e.Index)
		}
		for _, rest := range entries[i:] {
			l.push(rest)
		}
		return nil
	}
	return nil
}

// restore replaces the whole log by a received snapshot.
func (l *raftLog) restore(s Snapshot) {
	l.snapshot, l.pending = s, &s
	l.entries, l.confs, l.stable = nil, []indexedConf{{s.Index, s.Conf.clone()}}, s.Index
	l.baseIndex, l.baseTerm = s.Index, s.Term
	l.commit = max(l.commit, s.Index)
}

// compact drops the entries up to index.
func (l *raftLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	base := indexedConf{index, l.confAt(index)}
	confs := []indexedConf{base}
	for _, c := range l.confs {
		if c.index > index {
			confs = append(confs, c)
		}
	}
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex, l.baseTerm, l.confs = index, term, confs
}
