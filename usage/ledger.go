package usage

import (
	"cmp"
	"maps"
	"slices"
)

// Limits of a Ledger.
const (
	// MaxUnsent is the number of sealed reports that are kept until the platform has them: an hour of windows of 5 s.
	MaxUnsent = 720
	// maxOpen is the number of windows without a seal for which counts are kept. It bounds what hosts with a wrong time
	// of day occupy; windows are normally sealed within seconds.
	maxOpen = 32
	// startSlack is the number of windows before the first one to be reported that are reported all the same if hosts
	// have counted requests in them: hosts may know the first configuration with accounts before the leader acts on it.
	startSlack = 12
)

// Source is a process that counts requests.
type Source struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

func compareSources(a, b Source) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Ledger is the replicated state of the usage reports. It adds up the counts of all hosts, fixes the report of each window
// once, and keeps it until the platform has it. It is not safe for concurrent use.
type Ledger struct {
	started bool
	sealed  bool   // a window was sealed
	next    uint64 // first window without a seal
	open    map[uint64]map[Source]WindowCounts
	unsent  []WindowCounts // reports that are fixed, the oldest first
}

// NewLedger returns a ledger of a system that reports no usage yet.
func NewLedger() *Ledger { return &Ledger{open: make(map[uint64]map[Source]WindowCounts)} }

// Start makes a window the first one that is reported. It returns false if there is one already.
func (l *Ledger) Start(window uint64) bool {
	if l.started {
		return false
	}
	l.started, l.next = true, window
	for counted := range l.open {
		if counted < l.next && counted+startSlack >= window {
			l.next = counted
		}
	}
	l.dropOpenBefore(l.next)
	return true
}

func (l *Ledger) dropOpenBefore(window uint64) {
	maps.DeleteFunc(l.open, func(w uint64, _ map[Source]WindowCounts) bool { return w < window })
}

// Next returns the first window without a seal. ok is false before Start.
func (l *Ledger) Next() (window uint64, ok bool) { return l.next, l.started }

// Record stores the counts of a source for a window, in place of those of a lower revision. It returns false if that
// changes nothing: the window is sealed, or too far from the others.
func (l *Ledger) Record(source Source, w WindowCounts) bool {
	if l.started && w.Window < l.next {
		if l.sealed || w.Window+startSlack < l.next {
			return false
		}
		l.next = w.Window
	}
	sources := l.open[w.Window]
	if known, ok := sources[source]; ok && known.Revision >= w.Revision {
		return false
	}
	if sources == nil {
		if !l.makeRoom(w.Window) {
			return false
		}
		sources = make(map[Source]WindowCounts)
		l.open[w.Window] = sources
	}
	sources[source] = w
	return true
}

// makeRoom makes room for the counts of a window. If there are too many, it drops the latest window, which may be that of
// a host whose time of day is ahead. It returns false if that is the new one.
func (l *Ledger) makeRoom(window uint64) bool {
	if len(l.open) < maxOpen {
		return true
	}
	latest := slices.Max(slices.Collect(maps.Keys(l.open)))
	if window > latest {
		return false
	}
	delete(l.open, latest)
	return true
}

// Seal fixes the reports of all windows up to the given one that are not sealed yet, also of those without counts. It
// returns the number of windows that were sealed, and that of unsent ones that were dropped because more than MaxUnsent
// are kept.
func (l *Ledger) Seal(window uint64) (sealed, dropped uint64) {
	if !l.started || window < l.next {
		return 0, 0
	}
	sealed = window - l.next + 1
	if sealed > MaxUnsent {
		dropped = sealed - MaxUnsent
		l.next += dropped
		l.dropOpenBefore(l.next)
	}
	for l.next <= window {
		l.unsent = append(l.unsent, l.report(l.next))
		delete(l.open, l.next)
		l.next++
	}
	l.sealed = true
	if excess := len(l.unsent) - MaxUnsent; excess > 0 {
		dropped += uint64(excess)
		l.unsent = slices.Clone(l.unsent[excess:])
	}
	return sealed, dropped
}

// report adds up the counts of all sources for a window.
func (l *Ledger) report(window uint64) WindowCounts {
	total := make(map[string]uint64)
	for _, w := range l.open[window] {
		for _, c := range w.Counts {
			total[c.Account] += c.Count
		}
	}
	return WindowCounts{Window: window, Counts: sortedCounts(total)}
}

// Sent removes the report of a window that the platform has. It returns false if there is none.
func (l *Ledger) Sent(window uint64) bool {
	i, ok := slices.BinarySearchFunc(l.unsent, WindowCounts{Window: window}, compareWindows)
	if ok {
		l.unsent = slices.Delete(l.unsent, i, i+1)
	}
	return ok
}

// Unsent returns the reports that are fixed and not sent, the oldest first. The caller must not change them.
func (l *Ledger) Unsent() []WindowCounts { return l.unsent }

// State is the content of a Ledger in a snapshot. Equal ledgers have equal states.
type State struct {
	Started bool           `cbor:"1,keyasint,omitempty"`
	Sealed  bool           `cbor:"2,keyasint,omitempty"`
	Next    uint64         `cbor:"3,keyasint,omitempty"`
	Open    []Entry        `cbor:"4,keyasint,omitempty"`
	Unsent  []WindowCounts `cbor:"5,keyasint,omitempty"`
}

// Entry holds the counts of a source for a window without a seal.
type Entry struct {
	Source Source       `cbor:"1,keyasint"`
	Counts WindowCounts `cbor:"2,keyasint"`
}

// State returns the content of the ledger, or nil if it has none.
func (l *Ledger) State() *State {
	if !l.started && len(l.open) == 0 {
		return nil
	}
	s := &State{Started: l.started, Sealed: l.sealed, Next: l.next, Unsent: slices.Clone(l.unsent)}
	for _, window := range slices.Sorted(maps.Keys(l.open)) {
		sources := l.open[window]
		for _, source := range slices.SortedFunc(maps.Keys(sources), compareSources) {
			s.Open = append(s.Open, Entry{Source: source, Counts: sources[source]})
		}
	}
	return s
}

// Restore returns a ledger with the given content, which may be nil.
func Restore(s *State) *Ledger {
	l := NewLedger()
	if s == nil {
		return l
	}
	l.started, l.sealed, l.next, l.unsent = s.Started, s.Sealed, s.Next, slices.Clone(s.Unsent)
	for _, e := range s.Open {
		if l.open[e.Counts.Window] == nil {
			l.open[e.Counts.Window] = make(map[Source]WindowCounts)
		}
		l.open[e.Counts.Window][e.Source] = e.Counts
	}
	return l
}
