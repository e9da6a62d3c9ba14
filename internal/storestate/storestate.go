// Package storestate is the replicated state machine of the store hosts: the routing
// configuration in its highest version, the named weight versions, the batch jobs, and the
// store hosts that are being emptied.
package storestate

import (
	"maps"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
	"fuchsiaflow/jobs"
)

// Group is the name of the consensus group that replicates the state.
const Group = "state"

// Command changes the state. Exactly one field is set.
type Command struct {
	PutConfig  *PutConfig  `cbor:"1,keyasint,omitempty"`
	PutVersion *PutVersion `cbor:"2,keyasint,omitempty"`
	SubmitJob  *jobs.Job   `cbor:"3,keyasint,omitempty"`
	FinishItem *FinishItem `cbor:"4,keyasint,omitempty"`
	EndJob     *EndJob     `cbor:"5,keyasint,omitempty"`
	DropJob    *DropJob    `cbor:"6,keyasint,omitempty"`
	RetireHost *RetireHost `cbor:"7,keyasint,omitempty"`
	Progress   *Progress   `cbor:"8,keyasint,omitempty"`
}

// PutConfig stores a configuration unless one with the same or a higher version is stored.
type PutConfig struct {
	Version uint64 `cbor:"1,keyasint"`
	// Body is the configuration as mesh.EncodeConfig returns it.
	Body []byte `cbor:"2,keyasint"`
	// Source is the document as the operator sent it.
	Source []byte `cbor:"3,keyasint"`
}

// PutVersion names a weight version of a model.
type PutVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// FinishItem lists a result of a job.
type FinishItem struct {
	Job    string      `cbor:"1,keyasint"`
	Result jobs.Result `cbor:"2,keyasint"`
	// Offset is the length of the stored text of the item that the result's text continues.
	Offset int `cbor:"3,keyasint,omitempty"`
}

// Progress stores what running items have generated.
type Progress struct {
	Items []ItemProgress `cbor:"1,keyasint"`
}

// ItemProgress is more text of one item; see jobs.Book.Progress.
type ItemProgress struct {
	Job     string           `cbor:"1,keyasint"`
	Item    string           `cbor:"2,keyasint"`
	Offset  int              `cbor:"3,keyasint,omitempty"`
	Partial jobs.PartialText `cbor:"4,keyasint"`
}

// EndJob ends a job.
type EndJob struct {
	Job string `cbor:"1,keyasint"`
}

// DropJob forgets a job.
type DropJob struct {
	Job string `cbor:"1,keyasint"`
}

// RetireHost marks a store host as being emptied.
type RetireHost struct {
	Host string `cbor:"1,keyasint"`
	// Address is that of the host, by which the replicas on it are known.
	Address string `cbor:"2,keyasint"`
}

// Reply is the result of a command.
type Reply struct {
	// Changed tells whether the command changed the state.
	Changed bool `cbor:"1,keyasint,omitempty"`
	// NotFound tells that the object of the command does not exist.
	NotFound bool `cbor:"2,keyasint,omitempty"`
	// Version is the configuration or weight version in force after the command.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// Stored has, for each item of a Progress, whether its text was stored.
	Stored []bool `cbor:"4,keyasint,omitempty"`
}

// State is the state of one replica. It is not safe for concurrent use.
type State struct {
	config   PutConfig
	versions map[string]uint64
	retiring map[string]string // host to address
	book     *jobs.Table
	index    uint64
}

// New returns the state before the first command.
func New() *State {
	return &State{versions: make(map[string]uint64), retiring: make(map[string]string), book: jobs.NewTable()}
}

// Encode returns the encoding of a reply, query or answer. Commands have EncodeCommand.
func Encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always have an encoding
	}
	return b
}

// DecodeReply decodes the result of a command.
func DecodeReply(b []byte) (Reply, error) {
	var r Reply
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, &errs.Corrupt{What: "reply to a command", Detail: err.Error()}
	}
	return r, nil
}

// Apply implements group.StateMachine. A command that cannot be decoded changes nothing.
func (s *State) Apply(index uint64, data []byte) []byte {
	s.index = index
	c, err := decodeCommand(data)
	if err != nil {
		return Encode(Reply{NotFound: true})
	}
	return Encode(s.apply(&c))
}

func (s *State) apply(c *Command) Reply {
	switch {
	case c.PutConfig != nil:
		return s.putConfig(c.PutConfig)
	case c.PutVersion != nil:
		v := c.PutVersion
		changed := v.Version > s.versions[v.Model]
		if changed {
			s.versions[v.Model] = v.Version
		}
		return Reply{Changed: changed, Version: s.versions[v.Model]}
	case c.SubmitJob != nil:
		return Reply{Changed: s.book.Submit(*c.SubmitJob)}
	case c.FinishItem != nil:
		return Reply{Changed: s.book.Finish(c.FinishItem.Job, c.FinishItem.Offset, c.FinishItem.Result)}
	case c.Progress != nil:
		r := Reply{}
		for _, it := range c.Progress.Items {
			r.Stored = append(r.Stored, s.book.Progress(it.Job, it.Item, it.Offset, it.Partial))
		}
		return r
	case c.EndJob != nil:
		return Reply{NotFound: !s.book.End(c.EndJob.Job), Changed: true}
	case c.DropJob != nil:
		s.book.Drop(c.DropJob.Job)
		return Reply{Changed: true}
	case c.RetireHost != nil:
		if s.retiring[c.RetireHost.Host] != "" {
			return Reply{}
		}
		s.retiring[c.RetireHost.Host] = c.RetireHost.Address
		return Reply{Changed: true}
	}
	return Reply{NotFound: true}
}

func (s *State) putConfig(c *PutConfig) Reply {
	if c.Version <= s.config.Version {
		return Reply{Version: s.config.Version}
	}
	s.config = *c
	return Reply{Changed: true, Version: c.Version}
}

// Config returns the configuration in force; its version is 0 before the first.
func (s *State) Config() PutConfig { return s.config }

// Versions returns the newest named version of each model.
func (s *State) Versions() map[string]uint64 { return maps.Clone(s.versions) }

// Retiring returns the store hosts that are being emptied, with their addresses.
func (s *State) Retiring() map[string]string { return maps.Clone(s.retiring) }

// Jobs returns the batch jobs. The caller must not change them.
func (s *State) Jobs() *jobs.Table { return s.book }

// Index returns the log index of the last command.
func (s *State) Index() uint64 { return s.index }

// Query asks for a part of the state. Exactly one field is set.
type Query struct {
	Config     bool            `cbor:"1,keyasint,omitempty"`
	Results    *ReadPage       `cbor:"2,keyasint,omitempty"`
	Body       *ReadBody       `cbor:"3,keyasint,omitempty"`
	Retirement *ReadRetirement `cbor:"4,keyasint,omitempty"`
}

// ReadPage asks for results of a job.
type ReadPage struct {
	Job      string `cbor:"1,keyasint"`
	Position int    `cbor:"2,keyasint"`
	// WaitMs is how long the answer may wait for a result at the position.
	WaitMs   int `cbor:"3,keyasint,omitempty"`
	MaxBytes int `cbor:"4,keyasint"`
}

// ReadBody asks for the body of an item.
type ReadBody struct {
	Job  string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint"`
}

// ReadRetirement asks whether a store host is being emptied.
type ReadRetirement struct {
	Host string `cbor:"1,keyasint"`
}

// Answer is the answer to a Query.
type Answer struct {
	NotFound bool      `cbor:"1,keyasint,omitempty"`
	Config   PutConfig `cbor:"2,keyasint,omitempty"`
	Page     jobs.Page `cbor:"3,keyasint,omitempty"`
	Body     []byte    `cbor:"4,keyasint,omitempty"`
	// Retiring tells that the host is being emptied.
	Retiring bool `cbor:"5,keyasint,omitempty"`
	// Address is that of the host.
	Address string `cbor:"8,keyasint,omitempty"`
	// Emptied tells that the host holds no state any more.
	Emptied bool `cbor:"6,keyasint,omitempty"`
	// TooFew tells that too few store hosts would remain without the host.
	TooFew bool `cbor:"7,keyasint,omitempty"`
}

// Answer answers a query from the state of this replica. What it cannot know of a store host
// (Missing, Emptied and TooFew) is left to the caller.
func (s *State) Answer(q *Query) Answer {
	switch {
	case q.Config:
		return Answer{Config: s.config, NotFound: s.config.Version == 0}
	case q.Results != nil:
		page, err := s.book.Read(q.Results.Job, q.Results.Position, q.Results.MaxBytes)
		return Answer{Page: page, NotFound: err != nil}
	case q.Body != nil:
		body, err := s.book.Body(q.Body.Job, q.Body.Item)
		return Answer{Body: body, NotFound: err != nil}
	case q.Retirement != nil:
		address := s.retiring[q.Retirement.Host]
		return Answer{Retiring: address != "", Address: address}
	}
	return Answer{NotFound: true}
}
