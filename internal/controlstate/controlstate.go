// Package controlstate is the replicated state machine of the control group, which orders the
// versions of the configuration.
package controlstate

import (
	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
)

// State adapts a configuration store to a state machine with encoded commands. It is not safe
// for concurrent use.
type State struct {
	store *confstate.Store
}

// New returns an empty state.
func New() *State { return &State{store: confstate.NewStore()} }

// Query requests the current entry. The entry has no body if Known is at least its version, so
// that a host that is up to date receives only a few bytes.
type Query struct {
	Known uint64 `cbor:"1,keyasint"`
}

// Current returns the newest committed entry.
func (s *State) Current() confstate.Entry { return s.store.Current() }

// Apply applies an encoded confstate.Change and returns an encoded confstate.Result.
func (s *State) Apply(_ uint64, command []byte) []byte {
	var c confstate.Change
	if err := cbor.Unmarshal(command, &c); err != nil {
		return mustMarshal(confstate.Result{Kind: confstate.Malformed})
	}
	return mustMarshal(s.store.Apply(c))
}

// Query returns an encoded confstate.Entry for an encoded Query. A query that cannot be decoded
// gets the entry with its body.
func (s *State) Query(query []byte) []byte {
	var q Query
	entry := s.store.Current()
	if err := cbor.Unmarshal(query, &q); err == nil && q.Known >= entry.Version {
		entry.Body = nil
	}
	return mustMarshal(entry)
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) { return s.store.Snapshot() }

// Restore replaces the state with a snapshot.
func (s *State) Restore(data []byte) error { return s.store.Restore(data) }

// EncodeChange encodes a command for Apply.
func EncodeChange(c confstate.Change) []byte { return mustMarshal(c) }

// DecodeResult decodes the result of Apply.
func DecodeResult(data []byte) (confstate.Result, error) {
	return decode[confstate.Result]("configuration result", data)
}

// EncodeQuery encodes a query for State.Query.
func EncodeQuery(q Query) []byte { return mustMarshal(q) }

// DecodeEntry decodes the result of State.Query.
func DecodeEntry(data []byte) (confstate.Entry, error) {
	return decode[confstate.Entry]("configuration entry", data)
}

func decode[T any](what string, data []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(data, &v); err != nil {
		return v, &errs.Corrupt{What: what, Detail: err.Error()}
	}
	return v, nil
}

// mustMarshal encodes types for which CBOR encoding cannot fail.
func mustMarshal(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
