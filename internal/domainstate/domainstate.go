// Package domainstate is the composite replicated state machine of a domain group: the
// sample ledger, a copy of the configuration, the desired versions of the models, and
// further sections that register by name.
package domainstate

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
	"fuchsiaflow/ledger"
)

// The kinds of the built-in sections.
const (
	KindLedger  = "ledger"
	KindConfig  = "config"
	KindDesired = "desired"
)

// Section is a further state machine inside the domain group. Apply must be
// deterministic. A Failure that it returns reaches the proposer with its code, outcome and
// message.
type Section interface {
	Name() string
	Apply(index uint64, cmd []byte) ([]byte, error)
	Snapshot() ([]byte, error)
	// Restore replaces the state; nil restores the empty state.
	Restore(snapshot []byte) error
}

// Querier is implemented by sections that answer queries.
type Querier interface {
	Query(q []byte) ([]byte, error)
}

// Config is a copy of a committed configuration. Index is its index in the control group.
type Config struct {
	Version uint64 `cbor:"1,keyasint"`
	Digest  string `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
	Index   uint64 `cbor:"4,keyasint"`
}

// ConfigResult is the answer to a Config command. Config has no body.
type ConfigResult struct {
	Config  Config `cbor:"1,keyasint"` // in force after the command
	Changed bool   `cbor:"2,keyasint"`
}

// DesiredVersion raises the desired version of a model. A lower version has no effect.
type DesiredVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// DesiredVersionResult is the answer to a Desire command.
type DesiredVersionResult struct {
	Version uint64 `cbor:"1,keyasint"` // desired after the command
	Changed bool   `cbor:"2,keyasint"`
}

// State is the composite state machine. It is not safe for concurrent use.
type State struct {
	ledger   *ledger.Ledger
	config   Config
	desired  map[string]uint64
	sections map[string]Section
	observer Observer
}

// Observer receives each ledger command with its result right after it is applied. It is
// called on every replica and must not change replicated state.
type Observer func(index uint64, c ledger.Command, r ledger.Result)

// New returns an empty state with the given sections.
func New(sections ...Section) (*State, error) {
	s := &State{ledger: ledger.New(), desired: map[string]uint64{}, sections: map[string]Section{}}
	for _, sec := range sections {
		name := sec.Name()
		if name == "" || name == KindLedger || name == KindConfig || name == KindDesired || name == kindHeld || s.sections[name] != nil {
			return nil, &errs.Conflict{Kind: "section", ID: name, Have: "registered", Got: "a second registration"}
		}
		s.sections[name] = sec
	}
	return s, nil
}

// SetObserver sets the observer of ledger commands.
func (s *State) SetObserver(o Observer) { s.observer = o }

// Ledger returns the ledger for reads that are serialized with Apply.
func (s *State) Ledger() *ledger.Ledger { return s.ledger }

// Config returns the newest configuration of the group.
func (s *State) Config() Config { return s.config }

// DesiredVersions returns the desired version of each model.
func (s *State) DesiredVersions() map[string]uint64 { return maps.Clone(s.desired) }

// Apply executes an encoded Envelope and returns an encoded Reply.
func (s *State) Apply(index uint64, cmd []byte) []byte {
	var e Envelope
	if err := decMode.Unmarshal(cmd, &e); err != nil {
		return reply(nil, corrupt("command", err))
	}
	return reply(s.apply(index, e))
}

func (s *State) apply(index uint64, e Envelope) ([]byte, error) {
	switch e.Kind {
	case KindLedger:
		return s.applyLedger(index, e.Body)
	case KindConfig:
		return s.applyConfig(e.Body)
	case KindDesired:
		return s.applyDesire(e.Body)
	}
	if sec := s.sections[e.Kind]; sec != nil {
		return sec.Apply(index, e.Body)
	}
	return nil, &errs.NotFound{Kind: "section", ID: e.Kind}
}

func (s *State) applyLedger(index uint64, body []byte) ([]byte, error) {
	c, err := ledger.DecodeCommand(body)
	if err != nil {
		return nil, err
	}
	r := s.ledger.Apply(c)
	if s.observer != nil {
		s.observer(index, c, r)
	}
	b, err := r.Encode()
	if err != nil {
		return nil, err
	}
	return b, r.Failure
}

func (s *State) applyConfig(body []byte) ([]byte, error) {
	var c Config
	if err := decMode.Unmarshal(body, &c); err != nil {
		return nil, corrupt("configuration command", err)
	}
	if c.Version == 0 {
		return nil, &errs.Invalid{Path: "$.version", Want: "above 0", Got: "0"}
	}
	if c.Version == s.config.Version && c.Digest != s.config.Digest {
		return nil, &errs.Conflict{Kind: "configuration", ID: s.config.versionName(), Have: s.config.Digest, Got: c.Digest}
	}
	changed := c.Version > s.config.Version
	if changed {
		s.config = c
	}
	current := s.config
	current.Body = nil
	return marshal("configuration result", ConfigResult{Config: current, Changed: changed})
}

func (s *State) applyDesire(body []byte) ([]byte, error) {
	var d DesiredVersion
	if err := decMode.Unmarshal(body, &d); err != nil {
		return nil, corrupt("desire command", err)
	}
	if d.Model == "" {
		return nil, &errs.Invalid{Path: "$.model", Want: "a name", Got: `""`}
	}
	changed := d.Version > s.desired[d.Model]
	if changed {
		s.desired[d.Model] = d.Version
	}
	return marshal("desire result", DesiredVersionResult{Version: s.desired[d.Model], Changed: changed})
}

type snapshot struct {
	Ledger   []byte            `cbor:"1,keyasint"`
	Config   Config            `cbor:"2,keyasint"`
	Desired  map[string]uint64 `cbor:"3,keyasint"`
	Sections map[string][]byte `cbor:"4,keyasint"`
}

// Snapshot returns the whole state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	l, err := s.ledger.Snapshot()
	if err != nil {
		return nil, err
	}
	out := snapshot{Ledger: l, Config: s.config, Desired: s.desired, Sections: map[string][]byte{}}
	for name, sec := range s.sections {
		if out.Sections[name], err = sec.Snapshot(); err != nil {
			return nil, err
		}
	}
	return marshal("domain snapshot", out)
}

// Restore replaces the state with a snapshot. A section that the snapshot does not have is
// emptied; a section that is not registered is a failure, because the replica could not
// apply its commands. After a failure of a section's Restore the state must not be used.
func (s *State) Restore(b []byte) error {
	var in snapshot
	if err := decMode.Unmarshal(b, &in); err != nil {
		return corrupt("domain snapshot", err)
	}
	for _, name := range slices.Sorted(maps.Keys(in.Sections)) {
		if s.sections[name] == nil {
			return &errs.NotFound{Kind: "section", ID: name}
		}
	}
	l := ledger.New()
	if err := l.Restore(in.Ledger); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(s.sections)) {
		if err := s.sections[name].Restore(in.Sections[name]); err != nil {
			return err
		}
	}
	if in.Desired == nil {
		in.Desired = map[string]uint64{}
	}
	*s.ledger = *l
	s.config, s.desired = in.Config, in.Desired
	return nil
}

var encMode, decMode = mustModes()

func mustModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

func marshal(what string, v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, corrupt(what, err)
	}
	return b, nil
}

func corrupt(what string, err error) error { return &errs.Corrupt{What: what, Detail: err.Error()} }
