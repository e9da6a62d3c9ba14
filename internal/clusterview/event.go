// Package clusterview distributes the state known to the store hosts to all hosts: the configuration in
// force, the targets, the store hosts themselves and their leader. Each host watches the store hosts that
// selectSources chooses, each over a separate stream, and merges the received events into one View.
package clusterview

import (
	crand "crypto/rand"
	"encoding/hex"
	"net"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/capacity"
	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/pack"
	"fuchsiaflow/quarantine"
	"fuchsiaflow/routes"
)

// StoreHost describes a store host.
type StoreHost struct {
	// ReplicaID identifies the replica on the host's disk; see ReplicaID. It changes when the data on
	// the disk is lost.
	ReplicaID string `cbor:"1,keyasint"`
	// Host is the host name that operators use.
	Host   string `cbor:"2,keyasint"`
	Domain string `cbor:"3,keyasint"`
}

// IP returns the IP address of the store host.
func (s StoreHost) IP() string { return ReplicaIP(s.ReplicaID) }

const replicaSeparator = "~"

// ReplicaID returns the ID of the replica on a disk of the host at ip. The random identity of the
// disk is generated when it is first used.
func ReplicaID(ip, identity string) string { return ip + replicaSeparator + identity }

// RandomIdentity returns a new random identity.
func RandomIdentity() string {
	var b [6]byte
	_, _ = crand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// ReplicaIP returns the IP address of the host of a replica. An ID without a disk identity is returned
// unchanged.
func ReplicaIP(id string) string {
	ip, _, _ := strings.Cut(id, replicaSeparator)
	return ip
}

// Address returns the address of the gRPC server on the host of a replica.
func Address(id string, port int) string { return net.JoinHostPort(ReplicaIP(id), strconv.Itoa(port)) }

// Event is one message of a watch stream.
type Event struct {
	// From is the store host that sent the event. It is empty in events of other hosts; see ServeDirectory.
	From StoreHost `cbor:"1,keyasint"`
	// Leader is the replica that leads the state group in Term, if the sender knows it.
	Leader string `cbor:"2,keyasint,omitempty"`
	Term   uint64 `cbor:"3,keyasint,omitempty"`
	// Voters are the voting replicas of the state group, if the sender knows them.
	Voters []string `cbor:"7,keyasint,omitempty"`
	// Stores are the live store hosts known to the sender. Only the leader knows all of them.
	Stores []StoreHost `cbor:"4,keyasint,omitempty"`
	// Unchanged reports that From, Leader, Term, Voters and Stores are omitted because they equal
	// those of the previous event in the stream. Most events are only heartbeats.
	Unchanged bool `cbor:"8,keyasint,omitempty"`
	// Config is set if it is newer than the configuration last sent in the stream.
	Config  *Config        `cbor:"5,keyasint,omitempty"`
	Targets []fleet.Target `cbor:"6,keyasint,omitempty"`
	// Departures are those that were not sent in the stream before. They stand apart from Targets, because a host may
	// still use a target of which the sender has no report.
	Departures []fleet.Departure `cbor:"9,keyasint,omitempty"`
	// RateLimits are statements of targets about the requests that they take, the same way as Targets.
	RateLimits []fleet.RateLimit `cbor:"10,keyasint,omitempty"`
	// Quarantine are requests under which targets have crashed, as the state group has stored them.
	Quarantine []quarantine.Entry `cbor:"11,keyasint,omitempty"`
	// Capacity is what hosts have learned of targets, as the leader has merged it: what changed since the event before,
	// capacity.MaxStatements at most.
	Capacity []capacity.Statement `cbor:"12,keyasint,omitempty"`
}

// isDirectory reports whether the event only lists the store hosts that a host without a replica hears.
func (e *Event) isDirectory() bool { return e.From.ReplicaID == "" }

// omitUnchanged returns the event to send after previous, without the header if it is unchanged.
func (e *Event) omitUnchanged(previous *Event) Event {
	if e.From != previous.From || e.Leader != previous.Leader || e.Term != previous.Term || !slices.Equal(e.Voters, previous.Voters) ||
		!slices.Equal(e.Stores, previous.Stores) {
		return *e
	}
	return Event{Unchanged: true, Config: e.Config, Targets: e.Targets, Departures: e.Departures, RateLimits: e.RateLimits, Quarantine: e.Quarantine,
		Capacity: e.Capacity}
}

// header returns the fields that later events may omit.
func (e *Event) header() Event {
	return Event{From: e.From, Leader: e.Leader, Term: e.Term, Voters: e.Voters, Stores: e.Stores}
}

// restoreOmitted restores the header that omitUnchanged has removed; previous is the event before.
func (e *Event) restoreOmitted(previous *Event) {
	if e.Unchanged {
		e.Unchanged, e.From, e.Leader, e.Term, e.Voters, e.Stores = false, previous.From, previous.Leader, previous.Term, previous.Voters, previous.Stores
	}
}

// Config is a committed routing configuration.
type Config struct {
	Version uint64 `cbor:"1,keyasint"`
	// Body is the configuration as encoded by EncodeConfig.
	Body []byte `cbor:"2,keyasint"`
}

// EncodeConfig returns the compressed encoding of a routing configuration. It is compressed because
// each store host sends it to all hosts, and many similar routes compress well.
func EncodeConfig(c *routes.Config) []byte { return pack.Pack(Encode(c)) }

// decodeConfig decodes the result of EncodeConfig.
func decodeConfig(body []byte) (*routes.Config, error) {
	data, err := pack.AppendUnpacked(nil, body)
	if err != nil {
		return nil, err
	}
	c, err := Decode[routes.Config]("configuration", data)
	return &c, err
}

// Encode returns the CBOR encoding of a type of this package. It panics on types that CBOR cannot
// encode.
func Encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types of this package can always be encoded
	}
	return b
}

// decMode accepts strings that are not UTF-8: a single name that a foreign sender chose must not make a whole
// message unreadable.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant and valid
	}
	return mode
}

// Decode decodes the result of Encode. The error names what was decoded.
func Decode[T any](what string, b []byte) (T, error) {
	var v T
	if err := decMode.Unmarshal(b, &v); err != nil {
		return v, &errs.Corrupt{What: what, Detail: err.Error()}
	}
	return v, nil
}
