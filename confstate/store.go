package confstate

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// maxHistoryLength is the number of committed versions whose digests the store keeps. They let
// it recognize a file that is sent again after a lost answer, even if newer versions have been
// committed since. At 46,000 changes a day they cover about half an hour.
const maxHistoryLength = 1024

// Change is the command that proposes a version. NewChange creates it.
type Change struct {
	Version  uint64 `cbor:"1,keyasint"`
	Digest   string `cbor:"2,keyasint"`
	Body     []byte `cbor:"3,keyasint"` // canonical JSON
	Operator string `cbor:"4,keyasint"`
}

// NewChange returns the command that proposes c.
func NewChange(c *Config, operator string) Change {
	body := CanonicalJSON(c)
	return Change{Version: c.Version, Digest: bodyDigest(body), Body: body, Operator: operator}
}

// Entry is a committed version. The zero Entry means that there is no configuration.
type Entry struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
	// Index is the number of versions that the store has committed, including this one.
	Index    uint64 `cbor:"4,keyasint"`
	Operator string `cbor:"5,keyasint"`
}

// Config parses the body of the entry.
func (e Entry) Config() (*Config, error) { return Parse(e.Body) }

// ResultKind is the decision on a change.
type ResultKind string

// The decisions on a change.
const (
	// Committed: the change is the current version.
	Committed ResultKind = "committed"
	// Repeated: the same version with the same digest was committed before, at Result.Index.
	Repeated ResultKind = "repeated"
	// Conflict: the current version has the same number but another digest.
	Conflict ResultKind = "conflict"
	// Older: the version is lower than the current one, and the store has no record that it was
	// committed with this digest.
	Older ResultKind = "older"
	// Malformed: the version is 0 or the digest does not match the body.
	Malformed ResultKind = "malformed"
)

// Result is the decision on a change.
type Result struct {
	Kind ResultKind `cbor:"1,keyasint"`
	// Index is the index at which the change was committed. It is set for Committed and
	// Repeated.
	Index uint64 `cbor:"2,keyasint"`
	// CurrentVersion and CurrentDigest identify the current version after the decision.
	CurrentVersion uint64 `cbor:"3,keyasint"`
	CurrentDigest  string `cbor:"4,keyasint"`
	// Version and Digest identify the change.
	Version uint64 `cbor:"5,keyasint"`
	Digest  string `cbor:"6,keyasint"`
}

// Err returns nil if the change is committed, errs.Invalid if it is malformed, and errs.Conflict
// otherwise.
func (r Result) Err() error {
	switch r.Kind {
	case Committed, Repeated:
		return nil
	case Malformed:
		return &errs.Invalid{Path: "$", Want: "a version above 0 and the digest of the canonical body", Got: describeVersion(r.Version, r.Digest)}
	default:
		return &errs.Conflict{
			Kind: "configuration", ID: "version " + formatUint(r.Version),
			Stored: describeVersion(r.CurrentVersion, r.CurrentDigest), Received: describeVersion(r.Version, r.Digest),
		}
	}
}

// Store is the replicated state machine of the configuration. It is deterministic: applying the
// same changes in the same order gives the same results and snapshots on every replica.
type Store struct {
	current Entry
	history []historyEntry // ascending versions; the last one is the current version
}

type historyEntry struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	Index   uint64 `cbor:"3,keyasint"`
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{} }

// Current returns the newest committed version, or the zero Entry. The caller must not
// modify its body.
func (s *Store) Current() Entry { return s.current }

// Apply commits a change if its version is higher than the current one, and returns the
// decision. It does not parse the body, because replicas of different releases must decide
// alike. The proposer validates the body.
func (s *Store) Apply(c Change) Result {
	r := s.decide(c)
	r.Version, r.Digest = c.Version, c.Digest
	r.CurrentVersion, r.CurrentDigest = s.current.Version, s.current.Digest
	return r
}

func (s *Store) decide(c Change) Result {
	if c.Version == 0 || c.Digest != bodyDigest(c.Body) {
		return Result{Kind: Malformed}
	}
	if c.Version > s.current.Version {
		s.commit(c)
		return Result{Kind: Committed, Index: s.current.Index}
	}
	i, found := slices.BinarySearchFunc(s.history, c.Version, compareVersion)
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
	if len(s.history) == maxHistoryLength {
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.history = append(s.history, historyEntry{c.Version, c.Digest, s.current.Index})
}

func compareVersion(p historyEntry, version uint64) int {
	switch {
	case p.Version < version:
		return -1
	case p.Version > version:
		return 1
	}
	return 0
}

type storeState struct {
	Current Entry          `cbor:"1,keyasint"`
	History []historyEntry `cbor:"2,keyasint"`
}

// Snapshot encodes the store. Replicas in the same state return the same bytes.
func (s *Store) Snapshot() ([]byte, error) {
	data, err := cbor.Marshal(storeState{s.current, s.history})
	if err != nil {
		return nil, &errs.Corrupt{What: "configuration snapshot", Detail: err.Error()}
	}
	return data, nil
}

// Restore replaces the state of the store by a snapshot. The state is unchanged if Restore
// returns an error.
func (s *Store) Restore(data []byte) error {
	var st storeState
	if err := cbor.Unmarshal(data, &st); err != nil {
		return &errs.Corrupt{What: "configuration snapshot", Detail: err.Error()}
	}
	if st.Current.Version != 0 && st.Current.Digest != bodyDigest(st.Current.Body) {
		return &errs.Corrupt{What: "configuration snapshot", Detail: "the digest does not match the body"}
	}
	if !slices.IsSortedFunc(st.History, func(a, b historyEntry) int { return compareVersion(a, b.Version) }) {
		return &errs.Corrupt{What: "configuration snapshot", Detail: "the versions in the history are not in ascending order"}
	}
	s.current, s.history = st.Current, st.History
	return nil
}
