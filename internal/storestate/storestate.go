// Package storestate implements the replicated state machine of the store hosts. The state holds the
// routing configuration with the highest version, the newest weight version of each model, the batch
// jobs, the store hosts that are being retired, departures of targets, requests under which targets have crashed, and the
// usage of client accounts.
package storestate

import (
	"maps"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/jobs"
	"fuchsiaflow/origins"
	"fuchsiaflow/quarantine"
	"fuchsiaflow/usage"
)

// Group is the name of the consensus group that replicates the state.
const Group = "state"

// Command is a change of the state. Exactly one field is set.
type Command struct {
	PutConfig  *PutConfig  `cbor:"1,keyasint,omitempty"`
	PutVersion *PutVersion `cbor:"2,keyasint,omitempty"`
	SubmitJob  *jobs.Job   `cbor:"3,keyasint,omitempty"`
	FinishItem *FinishItem `cbor:"4,keyasint,omitempty"`
	EndJob     *EndJob     `cbor:"5,keyasint,omitempty"`
	DropJob    *DropJob    `cbor:"6,keyasint,omitempty"`
	RetireHost *RetireHost `cbor:"7,keyasint,omitempty"`
	Progress   *Progress   `cbor:"8,keyasint,omitempty"`
	// DepartTarget stores the departure of a target, so that it outlives a restart of all hosts.
	DepartTarget *fleet.Departure `cbor:"9,keyasint,omitempty"`
	// NoticeDeparture stores that a host has seen the departure of a target in an answer.
	NoticeDeparture *NoticeDeparture `cbor:"10,keyasint,omitempty"`
	ItemFailures    *ItemFailures    `cbor:"11,keyasint,omitempty"`
	// RecordCrash stores that a target has crashed while it ran a request, RecordAnswer that a target has answered a
	// request, and GrantTrial grants a trial of one in quarantine; see quarantine.Table.
	RecordCrash  *quarantine.Crash `cbor:"12,keyasint,omitempty"`
	RecordAnswer *RecordAnswer     `cbor:"13,keyasint,omitempty"`
	GrantTrial   *GrantTrial       `cbor:"14,keyasint,omitempty"`
	// RecordOrigin stores what began a stream.
	RecordOrigin *origins.Origin `cbor:"15,keyasint,omitempty"`
	// RecordUsage stores what a host has counted, StartUsage the first window that is reported, SealUsage fixes reports, and
	// UsageSent removes the report of a window; see usage.Ledger.
	RecordUsage *RecordUsage `cbor:"30,keyasint,omitempty"`
	StartUsage  *UsageWindow `cbor:"31,keyasint,omitempty"`
	SealUsage   *UsageWindow `cbor:"32,keyasint,omitempty"`
	UsageSent   *UsageWindow `cbor:"33,keyasint,omitempty"`
}

// RecordUsage stores the counts of requests of client accounts on a host, in place of earlier ones.
type RecordUsage struct {
	Source  usage.Source         `cbor:"1,keyasint"`
	Windows []usage.WindowCounts `cbor:"2,keyasint"`
}

// UsageWindow is the window that a command is about.
type UsageWindow struct {
	Window uint64 `cbor:"1,keyasint"`
}

// RecordAnswer clears a request that a target has answered.
type RecordAnswer struct {
	Fingerprint quarantine.Fingerprint `cbor:"1,keyasint"`
}

// GrantTrial asks for a trial of a request. Its entry must not have changed after Revision.
type GrantTrial struct {
	Fingerprint quarantine.Fingerprint `cbor:"1,keyasint"`
	Revision    uint64                 `cbor:"2,keyasint"`
}

// ItemFailures stores how often runs of an item have failed, so that a new leader goes on counting; see
// jobs.Table.RecordFailures.
type ItemFailures struct {
	Job   string `cbor:"1,keyasint"`
	Item  string `cbor:"2,keyasint"`
	Count int    `cbor:"3,keyasint"`
	Owner string `cbor:"4,keyasint,omitempty"` // of the job
}

// NoticeDeparture is the notice of a departure that a host has seen; see fleet.Notices.
type NoticeDeparture struct {
	Departure fleet.Departure `cbor:"1,keyasint"`
	Host      string          `cbor:"2,keyasint"`
}

// PutConfig stores a configuration unless one with the same or a higher version is stored.
type PutConfig struct {
	Version uint64 `cbor:"1,keyasint"`
	// Body is the configuration as clusterview.EncodeConfig returns it.
	Body []byte `cbor:"2,keyasint"`
	// Source is the configuration document as the operator sent it.
	Source []byte `cbor:"3,keyasint"`
}

// PutVersion stores a weight version of a model unless the same or a higher one is stored.
type PutVersion struct {
	Model   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// FinishItem records the result of an item; see jobs.Table.Finish.
type FinishItem struct {
	Job    string      `cbor:"1,keyasint"`
	Result jobs.Result `cbor:"2,keyasint"`
	// Offset is the length of the item's stored text, to which the text of the result is appended; 0 if
	// the result has the whole text.
	Offset int `cbor:"3,keyasint,omitempty"`
	// BaseRevision is the revision of the stored text at that offset; see jobs.PartialText.
	BaseRevision uint64 `cbor:"4,keyasint,omitempty"`
	Owner        string `cbor:"5,keyasint,omitempty"` // of the job
}

func (f *FinishItem) key() jobs.Key { return jobs.Key{Owner: f.Owner, ID: f.Job} }

func (f *FinishItem) prefix() jobs.Prefix {
	return jobs.Prefix{Revision: f.BaseRevision, Len: f.Offset}
}

// Progress stores text that running items have generated.
type Progress struct {
	Items []ItemProgress `cbor:"1,keyasint"`
}

// ItemProgress is the new text of one item; see jobs.Table.AppendText.
type ItemProgress struct {
	Job  string `cbor:"1,keyasint"`
	Item string `cbor:"2,keyasint"`
	// Offset is the length of the stored text that the new text continues; 0 replaces the stored text.
	Offset  int              `cbor:"3,keyasint,omitempty"`
	Partial jobs.PartialText `cbor:"4,keyasint"`
	// BaseRevision is the revision of the stored text that the new text continues.
	BaseRevision uint64 `cbor:"5,keyasint,omitempty"`
	Owner        string `cbor:"6,keyasint,omitempty"` // of the job
}

func (p *ItemProgress) key() jobs.Key { return jobs.Key{Owner: p.Owner, ID: p.Job} }

func (p *ItemProgress) prefix() jobs.Prefix {
	return jobs.Prefix{Revision: p.BaseRevision, Len: p.Offset}
}

// StoredPrefix returns the stored text of the item after the command, as a prefix of what follows.
func (p *ItemProgress) StoredPrefix() jobs.Prefix {
	return jobs.Prefix{Revision: p.Partial.Revision, Len: p.Offset + p.Partial.Text.Len()}
}

// EndJob ends the job that a caller means, which keeps its results; see jobs.Table.Find.
type EndJob struct {
	Job    string `cbor:"1,keyasint"`
	Caller string `cbor:"2,keyasint,omitempty"` // client account of the caller
}

// DropJob removes a job and its results.
type DropJob struct {
	Job   string `cbor:"1,keyasint"`
	Owner string `cbor:"2,keyasint,omitempty"` // of the job
}

// RetireHost marks a store host as being retired: it is to hold no replica of the state.
type RetireHost struct {
	Host string `cbor:"1,keyasint"`
	// Address is the address of the host, which is part of the IDs of its replicas.
	Address string `cbor:"2,keyasint"`
}

// Reply is the result of a command.
type Reply struct {
	// Changed reports whether the command changed the state.
	Changed bool `cbor:"1,keyasint,omitempty"`
	// NotFound reports that the job of the command does not exist, or that the command was ignored
	// because it cannot be decoded.
	NotFound bool `cbor:"2,keyasint,omitempty"`
	// Version is the stored configuration or weight version after the command.
	Version uint64 `cbor:"3,keyasint,omitempty"`
	// Stored reports for each item of a Progress whether its text was stored.
	Stored []bool `cbor:"4,keyasint,omitempty"`
	// SealedWindows and DroppedWindows are the results of SealUsage; see usage.Ledger.Seal.
	SealedWindows  uint64 `cbor:"30,keyasint,omitempty"`
	DroppedWindows uint64 `cbor:"31,keyasint,omitempty"`
}

// State is the state of one replica. It is not safe for concurrent use.
type State struct {
	config     PutConfig
	versions   map[string]uint64
	retiring   map[string]string // address by host
	jobs       *jobs.Table
	departures *fleet.Departures
	notices    *fleet.Notices // notices that too few hosts have seen
	quarantine *quarantine.Table
	origins    *origins.Table
	usage      *usage.Ledger
	index      uint64 // log index of the last command
}

// New returns the state before the first command.
func New() *State {
	return &State{versions: make(map[string]uint64), retiring: make(map[string]string), jobs: jobs.NewTable(), departures: fleet.NewDepartures(nil), notices: fleet.NewNotices(nil), quarantine: quarantine.NewTable(nil),
		origins: origins.NewTable(nil), usage: usage.NewLedger()}
}

// Encode returns the encoding of a reply, query or answer. Commands are encoded by EncodeCommand.
func Encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // all types of this package can be encoded
	}
	return b
}

// DecodeReply decodes the result of Apply.
func DecodeReply(b []byte) (Reply, error) {
	var r Reply
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, &errs.Corrupt{What: "command reply", Detail: err.Error()}
	}
	return r, nil
}

// Apply implements group.StateMachine. A command that cannot be decoded is ignored.
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
		return Reply{Changed: s.jobs.Submit(*c.SubmitJob)}
	case c.FinishItem != nil:
		return Reply{Changed: s.jobs.Finish(c.FinishItem.key(), c.FinishItem.prefix(), c.FinishItem.Result)}
	case c.Progress != nil:
		r := Reply{}
		for _, it := range c.Progress.Items {
			r.Stored = append(r.Stored, s.jobs.AppendText(it.key(), it.Item, it.prefix(), it.Partial))
		}
		return r
	case c.EndJob != nil:
		return Reply{NotFound: !s.jobs.End(jobs.Key{Owner: c.EndJob.Caller, ID: c.EndJob.Job}), Changed: true}
	case c.DropJob != nil:
		s.jobs.Drop(jobs.Key{Owner: c.DropJob.Owner, ID: c.DropJob.Job})
		return Reply{Changed: true}
	case c.RetireHost != nil:
		if s.retiring[c.RetireHost.Host] != "" {
			return Reply{}
		}
		s.retiring[c.RetireHost.Host] = c.RetireHost.Address
		return Reply{Changed: true}
	case c.DepartTarget != nil:
		return Reply{Changed: s.departures.Add(*c.DepartTarget)}
	case c.NoticeDeparture != nil:
		n := c.NoticeDeparture
		if s.departures.Covers(n.Departure.Target, n.Departure.Incarnation) || !s.notices.Add(n.Departure, n.Host) {
			return Reply{}
		}
		return Reply{Changed: s.departures.Add(n.Departure)}
	case c.ItemFailures != nil:
		f := c.ItemFailures
		return Reply{Changed: s.jobs.RecordFailures(jobs.Key{Owner: f.Owner, ID: f.Job}, f.Item, f.Count)}
	case c.RecordCrash != nil:
		return Reply{Changed: s.quarantine.RecordCrash(s.index, *c.RecordCrash)}
	case c.RecordAnswer != nil:
		return Reply{Changed: s.quarantine.RecordAnswer(s.index, c.RecordAnswer.Fingerprint)}
	case c.GrantTrial != nil:
		return Reply{Changed: s.quarantine.GrantTrial(s.index, c.GrantTrial.Fingerprint, c.GrantTrial.Revision)}
	case c.RecordOrigin != nil:
		return Reply{Changed: s.origins.Record(*c.RecordOrigin)}
	}
	return s.applyUsage(c)
}

// applyUsage applies a command about the usage of client accounts.
func (s *State) applyUsage(c *Command) Reply {
	switch {
	case c.RecordUsage != nil:
		r := Reply{}
		for _, w := range c.RecordUsage.Windows {
			r.Changed = s.usage.Record(c.RecordUsage.Source, w) || r.Changed
		}
		return r
	case c.StartUsage != nil:
		return Reply{Changed: s.usage.Start(c.StartUsage.Window)}
	case c.SealUsage != nil:
		sealed, dropped := s.usage.Seal(c.SealUsage.Window)
		return Reply{Changed: sealed > 0, SealedWindows: sealed, DroppedWindows: dropped}
	case c.UsageSent != nil:
		return Reply{Changed: s.usage.Sent(c.UsageSent.Window)}
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

// Config returns the configuration in force. Its version is 0 if none has been stored.
func (s *State) Config() PutConfig { return s.config }

// Versions returns the newest weight version of each model.
func (s *State) Versions() map[string]uint64 { return maps.Clone(s.versions) }

// Retiring returns the addresses of the store hosts that are being retired, by host.
func (s *State) Retiring() map[string]string { return maps.Clone(s.retiring) }

// Ignored reports whether the command was ignored because it cannot be decoded or is not known, so that
// nothing was stored.
func (r *Reply) Ignored() bool { return r.NotFound && !r.Changed }

// Departures returns the departures of targets. The caller must not change them.
func (s *State) Departures() *fleet.Departures { return s.departures }

// Quarantine returns the requests under which targets have crashed. The caller must not change them.
func (s *State) Quarantine() *quarantine.Table { return s.quarantine }

// Usage returns the usage of client accounts, which the caller must not change.
func (s *State) Usage() *usage.Ledger { return s.usage }

// Jobs returns the batch jobs, which the caller must not change.
func (s *State) Jobs() *jobs.Table { return s.jobs }

// Index returns the log index of the last command.
func (s *State) Index() uint64 { return s.index }

// Query reads a part of the state. Exactly one field is set.
type Query struct {
	Config     bool            `cbor:"1,keyasint,omitempty"`
	Results    *ReadPage       `cbor:"2,keyasint,omitempty"`
	Body       *ReadBody       `cbor:"3,keyasint,omitempty"`
	Retirement *ReadRetirement `cbor:"4,keyasint,omitempty"`
	// Origin is the ID of the stream whose origin is asked for.
	Origin string `cbor:"5,keyasint,omitempty"`
}

// ReadPage reads results of the job that a caller means; see jobs.Table.Read.
type ReadPage struct {
	Job string `cbor:"1,keyasint"`
	// Position is the position of the first result to return.
	Position int `cbor:"2,keyasint"`
	// WaitMs is how long the query may wait for a result at that position, in milliseconds.
	WaitMs   int `cbor:"3,keyasint,omitempty"`
	MaxBytes int `cbor:"4,keyasint"`
	// Caller is the client account of the caller.
	Caller string `cbor:"5,keyasint,omitempty"`
}

// Key returns the job as the caller names it; see jobs.Table.Find.
func (q *ReadPage) Key() jobs.Key { return jobs.Key{Owner: q.Caller, ID: q.Job} }

// ReadBody reads the body of an item without a result, of the job that a caller means.
type ReadBody struct {
	Job    string `cbor:"1,keyasint"`
	Item   string `cbor:"2,keyasint"`
	Caller string `cbor:"3,keyasint,omitempty"` // client account of the caller
}

// ReadRetirement reads the retirement status of a store host.
type ReadRetirement struct {
	Host string `cbor:"1,keyasint"`
}

// Answer is the answer to a Query.
type Answer struct {
	// NotFound reports that the requested object does not exist.
	NotFound bool      `cbor:"1,keyasint,omitempty"`
	Config   PutConfig `cbor:"2,keyasint,omitempty"`
	Page     jobs.Page `cbor:"3,keyasint,omitempty"`
	Body     []byte    `cbor:"4,keyasint,omitempty"`
	// Retiring reports that the host is being retired.
	Retiring bool `cbor:"5,keyasint,omitempty"`
	// Address is the address of the host.
	Address string `cbor:"8,keyasint,omitempty"`
	// Emptied reports that the host holds no replica of the state any more.
	Emptied bool `cbor:"6,keyasint,omitempty"`
	// TooFew reports that too few store hosts would remain without the host.
	TooFew bool `cbor:"7,keyasint,omitempty"`
	// Origin is what began the stream of the query; nil if it is not known.
	Origin *origins.Origin `cbor:"9,keyasint,omitempty"`
}

// Answer answers a query from the state of this replica. For a ReadRetirement the caller has to set
// NotFound, Emptied and TooFew, which depend on the membership of the group.
func (s *State) Answer(q *Query) Answer {
	switch {
	case q.Config:
		return Answer{Config: s.config, NotFound: s.config.Version == 0}
	case q.Results != nil:
		page, err := s.jobs.Read(q.Results.Key(), q.Results.Position, q.Results.MaxBytes)
		return Answer{Page: page, NotFound: err != nil}
	case q.Body != nil:
		body, err := s.jobs.Body(jobs.Key{Owner: q.Body.Caller, ID: q.Body.Job}, q.Body.Item)
		return Answer{Body: body, NotFound: err != nil}
	case q.Origin != "":
		if o, known := s.origins.Get(q.Origin); known {
			return Answer{Origin: &o}
		}
		return Answer{}
	case q.Retirement != nil:
		address := s.retiring[q.Retirement.Host]
		return Answer{Retiring: address != "", Address: address}
	}
	return Answer{NotFound: true}
}
