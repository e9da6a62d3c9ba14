package confstate

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// historyLength is the number of committed versions whose digest the store remembers, so
// that a file resent after a lost answer is recognized although newer versions followed. At
// 46,000 changes a day it covers about half an hour.
const historyLength = 1024

// Change is the command that proposes a version. NewChange builds it.
type Change struct {
	Version  uint64 `cbor:"1,keyasint"`
	Digest   string `cbor:"2,keyasint"`
	Body     []byte `cbor:"3,keyasint"` // canonical JSON
	Operator string `cbor:"4,keyasint"`
}

// NewChange returns the command that proposes c.
func NewChange(c *Config, operator string) Change {
	body := CanonicalJSON(c)
	return Change{Version: c.Version, Digest: digestBytes(body), Body: body, Operator: operator}
}

// Entry is a committed version. The zero Entry stands for no configuration.
type Entry struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
	// Index is the number of versions that the store committed up to this one.
	Index    uint64 `cbor:"4,keyasint"`
	Operator string `cbor:"5,keyasint"`
}

// Config decodes the body of the entry.
func (e Entry) Config() (*Config, error) { return Parse(e.Body) }

// ResultKind tells how a change was decided.
type ResultKind string

// The decisions on a change.
const (
	// Committed: the change is the current version.
	Committed ResultKind = "committed"
	// Repeated: the same version and digest were committed before, at Result.Index.
	Repeated ResultKind = "repeated"
	// Conflict: the current version has the same number and another digest.
	Conflict ResultKind = "conflict"
	// Older: the version is lower than the current one.
	Older ResultKind = "older"
	// Malformed: the version is 0 or the digest does not belong to the body.
	Malformed ResultKind = "malformed"
)

// Result is the decision on a change.
type Result struct {
	Kind ResultKind `cbor:"1,keyasint"`
	// Index is the index of the commit of this change; it is set for Committed and Repeated.
	Index uint64 `cbor:"2,keyasint"`
	// CurrentVersion and CurrentDigest name the version in force after the decision.
	CurrentVersion uint64 `cbor:"3,keyasint"`
	CurrentDigest  string `cbor:"4,keyasint"`
	// Version and Digest name the change that was decided.
	Version uint64 `cbor:"5,keyasint"`
	Digest  string `cbor:"6,keyasint"`
}

// Err returns nil if the change is in the store, and else the reason why it is not.
func (r Result) Err() error {
	switch r.Kind {
	case Committed, Repeated:
		return nil
	case Malformed:
		return &errs.Invalid{Path: "$", Want: "a version above 0 and the digest of the canonical body", Got: describeVersion(r.Version, r.Digest)}
	default:
		return &errs.Conflict{
			Kind: "configuration", ID: "version " + uintString(r.Version),
			Have: describeVersion(r.CurrentVersion, r.CurrentDigest), Got: describeVersion(r.Version, r.Digest),
		}
	}
}

// Store is the replicated state machine of the configuration. It is deterministic: the same
// changes in the same order give the same results and the same snapshot on every replica.
type Store struct {
	current Entry
	history []past // ascending versions; the last one is the current version
}

type past struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	Index   uint64 `cbor:"3,keyasint"`
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{} }

// Current returns the newest committed version, or the zero Entry. The caller must not
// modify its body.
func (s *Store) Current() Entry { return s.current }

// Apply decides a change: a higher version is committed and nothing else is. It does not
// parse the body, because replicas of different releases must decide alike; the proposer
// validates it.
func (s *Store) Apply(c Change) Result {
	r := s.decide(c)
	r.Version, r.Digest = c.Version, c.Digest
	r.CurrentVersion, r.CurrentDigest = s.current.Version, s.current.Digest
	return r
}

func (s *Store) decide(c Change) Result {
	if c.Version == 0 || c.Digest != digestBytes(c.Body) {
		return Result{Kind: Malformed}
	}
	if c.Version > s.current.Version {
		s.commit(c)
		return Result{Kind: Committed, Index: s.current.Index}
	}
	i, found := slices.BinarySearchFunc(s.history, c.Version, comparePast)
	if found && s.history[i].Digest == c.Digest {
		return Result{Kind: Repeated, Index: s.history[i].Index}
	}
	if c.Version == s.current.Version {
		return Result{Kind: Conflict}
	}
	return Result{Kind: Older}
}

func (s *Store) commit(c Change) {
	s.current = Entry{
		Version: c.Version, Digest: c.Digest, Body: slices.Clone(c.Body),
		Index: s.current.Index + 1, Operator: c.Operator,
	}
	if len(s.history) == historyLength {
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.history = append(s.history, past{c.Version, c.Digest, s.current.Index})
}

func comparePast(p past, version uint64) int {
	switch {
	case p.Version < version:
		return -1
	case p.Version > version:
		return 1
	}
	return 0
}

type storeState struct {
	Current Entry  `cbor:"1,keyasint"`
	History []past `cbor:"2,keyasint"`
}

// Snapshot encodes the store. Replicas with the same history give the same bytes.
func (s *Store) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(storeState{s.current, s.history})
	if err != nil {
		return nil, &errs.Corrupt{What: "configuration snapshot", Detail: err.Error()}
	}
	return data, nil
}

// Restore replaces the store by a snapshot. The store is unchanged if it returns an error.
func (s *Store) Restore(data []byte) error {
	var st storeState
	if err := cbor.Unmarshal(data, &st); err != nil {
		return &errs.Corrupt{What: "configuration snapshot", Detail: err.Error()}
	}
	if st.Current.Version != 0 && st.Current.Digest != digestBytes(st.Current.Body) {
		return &errs.Corrupt{What: "configuration snapshot", Detail: "the digest does not belong to the body"}
	}
	if !slices.IsSortedFunc(st.History, func(a, b past) int { return comparePast(a, b.Version) }) {
		return &errs.Corrupt{What: "configuration snapshot", Detail: "the history is not in ascending order"}
	}
	s.current, s.history = st.Current, st.History
	return nil
}
