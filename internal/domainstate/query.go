package domainstate

import (
	"fuchsiaflow/errs"
	"fuchsiaflow/ledger"
)

// LedgerQuery asks for the summaries of steps: of one step, of a tenancy's steps, or, when
// both fields are empty, of all steps.
type LedgerQuery struct {
	Tenancy string `cbor:"1,keyasint,omitempty"`
	Step    string `cbor:"2,keyasint,omitempty"`
}

// ConfigQuery asks for the newest configuration. Its body is left out when Known is at
// least its version, so that a host that is up to date receives a few bytes only.
type ConfigQuery struct {
	Known uint64 `cbor:"1,keyasint"`
}

// kindHeld is the kind of HeldQuery, which has no commands.
const kindHeld = "held"

// HeldQuery asks for the payloads that a host must keep.
type HeldQuery struct {
	Host string `cbor:"1,keyasint"`
}

// Query answers an encoded Envelope with an encoded Reply. It changes nothing.
func (s *State) Query(q []byte) []byte {
	var e Envelope
	if err := decMode.Unmarshal(q, &e); err != nil {
		return reply(nil, corrupt("query", err))
	}
	return reply(s.query(e))
}

func (s *State) query(e Envelope) ([]byte, error) {
	switch e.Kind {
	case KindLedger:
		return s.queryLedger(e.Body)
	case KindConfig:
		return s.queryConfig(e.Body)
	case KindDesired:
		return marshal("desired versions", s.desired)
	case kindHeld:
		return s.queryHeld(e.Body)
	}
	if q, ok := s.sections[e.Kind].(Querier); ok {
		return q.Query(e.Body)
	}
	return nil, &errs.NotFound{Kind: "section with queries", ID: e.Kind}
}

func (s *State) queryConfig(body []byte) ([]byte, error) {
	if s.config.Version == 0 {
		return nil, &errs.NotFound{Kind: "configuration", ID: "current"}
	}
	var q ConfigQuery
	if err := decMode.Unmarshal(body, &q); err != nil {
		return nil, corrupt("configuration query", err)
	}
	c := s.config
	if q.Known >= c.Version {
		c.Body = nil
	}
	return marshal("configuration", c)
}

// queryHeld lists the digests of the samples that a host holds and that are still needed.
func (s *State) queryHeld(body []byte) ([]byte, error) {
	var q HeldQuery
	if err := decMode.Unmarshal(body, &q); err != nil {
		return nil, corrupt("held query", err)
	}
	digests := []ledger.Digest{}
	for _, held := range s.ledger.HeldBy(q.Host) {
		digests = append(digests, held.Digest)
	}
	return marshal("held digests", digests)
}

func (s *State) queryLedger(body []byte) ([]byte, error) {
	var q LedgerQuery
	if err := decMode.Unmarshal(body, &q); err != nil {
		return nil, corrupt("ledger query", err)
	}
	if q.Step != "" {
		st, ok := s.ledger.Step(q.Tenancy, q.Step)
		if !ok {
			return nil, &errs.NotFound{Kind: "step", ID: q.Step}
		}
		return marshal("step status", []ledger.StepStatus{st})
	}
	list := []ledger.StepStatus{}
	for _, st := range s.ledger.Steps() {
		if q.Tenancy == "" || st.Tenancy == q.Tenancy {
			list = append(list, st)
		}
	}
	return marshal("step status", list)
}

// EncodeLedgerQuery returns the form of a ledger query that Query reads.
func EncodeLedgerQuery(q LedgerQuery) ([]byte, error) { return encodeBody(KindLedger, q) }

// EncodeConfigQuery returns the query for the newest configuration.
func EncodeConfigQuery(known uint64) ([]byte, error) {
	return encodeBody(KindConfig, ConfigQuery{Known: known})
}

// EncodeHeldQuery returns the query for the payloads that a host must keep.
func EncodeHeldQuery(host string) ([]byte, error) { return encodeBody(kindHeld, HeldQuery{Host: host}) }

// DecodeHeldDigests reads the answer to a held query.
func DecodeHeldDigests(b []byte) ([]ledger.Digest, error) {
	var list []ledger.Digest
	err := decode(b, &list)
	return list, err
}

// EncodeDesiredQuery returns the query for the desired versions.
func EncodeDesiredQuery() ([]byte, error) { return Encode(KindDesired, nil) }

// DecodeSteps reads the answer to a ledger query.
func DecodeSteps(b []byte) ([]ledger.StepStatus, error) {
	var list []ledger.StepStatus
	err := decode(b, &list)
	return list, err
}

// DecodeConfig reads the answer to a configuration query.
func DecodeConfig(b []byte) (Config, error) {
	var c Config
	err := decode(b, &c)
	return c, err
}

// DecodeDesired reads the answer to a query for desired versions.
func DecodeDesired(b []byte) (map[string]uint64, error) {
	var m map[string]uint64
	err := decode(b, &m)
	return m, err
}
