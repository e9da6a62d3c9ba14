package domainstate

import (
	"fuchsiaflow/errs"
	"fuchsiaflow/ledger"
)

// LedgerQuery requests the status of one step, of all steps of a tenancy or, if both fields are
// empty, of all steps.
type LedgerQuery struct {
	Tenancy string `cbor:"1,keyasint,omitempty"`
	Step    string `cbor:"2,keyasint,omitempty"`
}

// ConfigQuery requests the newest configuration. The result has no body if Known is at least its
// version, so that a host that is up to date receives only a few bytes.
type ConfigQuery struct {
	Known uint64 `cbor:"1,keyasint"`
}

// kindHeld is the kind of HeldQuery. It has no section and no commands.
const kindHeld = "held"

// HeldQuery requests the digests of the sample payloads that a host must keep.
type HeldQuery struct {
	Host string `cbor:"1,keyasint"`
}

// Query executes the query in an encoded Envelope and returns an encoded Reply. It does not change
// the state.
func (s *State) Query(q []byte) []byte {
	var e Envelope
	if err := decMode.Unmarshal(q, &e); err != nil {
		return encodeReply(nil, corrupt("query", err))
	}
	return encodeReply(s.query(e))
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

// queryHeld lists the digests of the payloads that a host holds and that are still needed.
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
		status, ok := s.ledger.Step(q.Tenancy, q.Step)
		if !ok {
			return nil, &errs.NotFound{Kind: "step", ID: q.Step}
		}
		return marshal("step status", []ledger.StepStatus{status})
	}
	list := []ledger.StepStatus{}
	for _, status := range s.ledger.Steps() {
		if q.Tenancy == "" || status.Tenancy == q.Tenancy {
			list = append(list, status)
		}
	}
	return marshal("step status", list)
}

// EncodeLedgerQuery encodes a ledger query for State.Query.
func EncodeLedgerQuery(q LedgerQuery) ([]byte, error) { return encodeBody(KindLedger, q) }

// EncodeConfigQuery encodes a ConfigQuery for State.Query.
func EncodeConfigQuery(known uint64) ([]byte, error) {
	return encodeBody(KindConfig, ConfigQuery{Known: known})
}

// EncodeHeldQuery encodes a HeldQuery for State.Query.
func EncodeHeldQuery(host string) ([]byte, error) { return encodeBody(kindHeld, HeldQuery{Host: host}) }

// DecodeHeldDigests decodes the reply to a HeldQuery.
func DecodeHeldDigests(b []byte) ([]ledger.Digest, error) {
	var list []ledger.Digest
	err := decode(b, &list)
	return list, err
}

// EncodeDesiredQuery encodes a query for the desired versions of all models.
func EncodeDesiredQuery() ([]byte, error) { return Encode(KindDesired, nil) }

// DecodeSteps decodes the reply to a LedgerQuery.
func DecodeSteps(b []byte) ([]ledger.StepStatus, error) {
	var list []ledger.StepStatus
	err := decode(b, &list)
	return list, err
}

// DecodeConfig decodes the reply to a ConfigQuery.
func DecodeConfig(b []byte) (Config, error) {
	var c Config
	err := decode(b, &c)
	return c, err
}

// DecodeDesiredVersions decodes the reply to a query for desired versions, by model.
func DecodeDesiredVersions(b []byte) (map[string]uint64, error) {
	var m map[string]uint64
	err := decode(b, &m)
	return m, err
}
