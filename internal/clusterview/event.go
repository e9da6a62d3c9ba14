// Package clusterview spreads what the store hosts know to all hosts: the configuration in force, the
// targets, the store hosts themselves and their leader. Each host watches every store host it
// knows of, over one stream each, and merges what arrives into one View.
package clusterview

import (
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/pack"
	"fuchsiaflow/routes"
)

// StoreHost describes a store host.
type StoreHost struct {
	// ReplicaID names the replica that the host's disk holds; see ReplicaID. It changes when the disk
	// is lost.
	ReplicaID string `cbor:"1,keyasint"`
	// Host is the name under which operators know the host.
	Host   string `cbor:"2,keyasint"`
	Domain string `cbor:"3,keyasint"`
}

// IP returns the address of the store host.
func (s StoreHost) IP() string { return ReplicaIP(s.ReplicaID) }

const replicaSeparator = "~"

// ReplicaID names the replica on one disk of the host at ip. The identity is drawn when the
// disk is first used.
func ReplicaID(ip, identity string) string { return ip + replicaSeparator + identity }

// ReplicaIP returns the address of the host with a replica. An address without an identity is
// returned as it is.
func ReplicaIP(id string) string {
	ip, _, _ := strings.Cut(id, replicaSeparator)
	return ip
}

// Address returns the address of the gRPC server of a store host.
func Address(id string, port int) string { return net.JoinHostPort(ReplicaIP(id), strconv.Itoa(port)) }

// Event is one message of a watch.
type Event struct {
	From StoreHost `cbor:"1,keyasint"`
	// Leader is the replica that leads the state group in Term, as far as the sender knows.
	Leader string `cbor:"2,keyasint,omitempty"`
	Term   uint64 `cbor:"3,keyasint,omitempty"`
	// Voters are the replicas that vote in the state group, as far as the sender knows.
	Voters []string `cbor:"7,keyasint,omitempty"`
	// Stores are the live store hosts; only the leader knows them all.
	Stores []StoreHost `cbor:"4,keyasint,omitempty"`
	// Same tells that From, Leader, Term, Voters and Stores are those of the event before in the
	// stream, and left out: most events only show that the sender lives.
	Same bool `cbor:"8,keyasint,omitempty"`
	// Config is set when it is newer than what the sender sent before.
	Config  *Config        `cbor:"5,keyasint,omitempty"`
	Targets []fleet.Target `cbor:"6,keyasint,omitempty"`
}

// shorten leaves out what is the same as in the event before.
func (e *Event) shorten(before *Event) Event {
	if e.From != before.From || e.Leader != before.Leader || e.Term != before.Term || !slices.Equal(e.Voters, before.Voters) ||
		!slices.Equal(e.Stores, before.Stores) {
		return *e
	}
	return Event{Same: true, Config: e.Config, Targets: e.Targets}
}

// standing returns the part of the event that later events may leave out.
func (e *Event) standing() Event {
	return Event{From: e.From, Leader: e.Leader, Term: e.Term, Voters: e.Voters, Stores: e.Stores}
}

// complete fills in what shorten has left out.
func (e *Event) complete(before *Event) {
	if e.Same {
		e.Same, e.From, e.Leader, e.Term, e.Voters, e.Stores = false, before.From, before.Leader, before.Term, before.Voters, before.Stores
	}
}

// Config is a routing configuration that is committed.
type Config struct {
	Version uint64 `cbor:"1,keyasint"`
	// Body is what EncodeConfig returned.
	Body []byte `cbor:"2,keyasint"`
}

// EncodeConfig returns the packed encoding of a routing configuration. Each store host sends it to all
// hosts, and a table of many similar routes packs to a small part of its length.
func EncodeConfig(c *routes.Config) []byte { return pack.Pack(Encode(c)) }

// decodeConfig decodes what EncodeConfig returned.
func decodeConfig(body []byte) (*routes.Config, error) {
	data, err := pack.Append(nil, body)
	if err != nil {
		return nil, err
	}
	c, err := Decode[routes.Config]("configuration", data)
	return &c, err
}

// Encode returns the encoding of an event or store.
func Encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always have an encoding
	}
	return b
}

// Decode decodes what Encode returned.
func Decode[T any](what string, b []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(b, &v); err != nil {
		return v, &errs.Corrupt{What: what, Detail: err.Error()}
	}
	return v, nil
}
