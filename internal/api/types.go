// Package api is the HTTP interface for callers, targets and operators. It decodes and
// checks requests, authenticates them, and encodes answers and failures; all decisions are
// behind the interfaces of this file. docs/api.md describes the interface for its users.
package api

import (
	"context"
	"encoding/json"
	"time"
)

// Identity names the tenancy that a bearer token belongs to.
type Identity struct {
	Tenancy string
	// Kind is "trainer" or "desk".
	Kind string
}

// Authenticator checks bearer tokens.
type Authenticator interface {
	// Caller returns the tenancy that owns the token. A host that does not know the tenancies
	// yet fails with errs.Unavailable, so that a valid token is never refused as wrong.
	Caller(token string) (Identity, error)
	// Operator reports whether the token is the operators' token.
	Operator(token string) bool
}

// Group asks for several samples of one prompt.
type Group struct {
	Prompt    string `json:"prompt"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
}

// OpenStepRequest opens a step. Opening the same step again with the same content returns
// the first answer.
type OpenStepRequest struct {
	Step      string  `json:"step"`
	Model     string  `json:"model"`
	Pool      string  `json:"pool"`
	Groups    []Group `json:"groups"`
	TimeoutMS int64   `json:"timeout_ms"`
}

// OpenStepReply answers OpenStepRequest.
type OpenStepReply struct {
	Step  string `json:"step"`
	Slots int    `json:"slots"`
}

// FetchRequest acknowledges batch Ack and asks for the next one.
type FetchRequest struct {
	Ack     uint64 `json:"ack"`
	Max     int    `json:"max"`
	Version uint64 `json:"version"`
	WaitMS  int64  `json:"wait_ms"`
	// AckRevision is the revision of the acknowledged batch. It refuses the acknowledgement
	// of an answer from which samples were withdrawn after it was sent; 0 skips the check.
	AckRevision uint64 `json:"ack_revision,omitempty"`
}

// Sample is one delivered sample.
type Sample struct {
	Slot     int      `json:"slot"`
	Group    int      `json:"group"`
	Output   string   `json:"output"`
	Tokens   int      `json:"tokens"`
	Versions []uint64 `json:"versions"`
}

// FetchReply carries one batch. Batch is 0 when no sample became ready in time.
type FetchReply struct {
	Batch     uint64   `json:"batch"`
	Revision  uint64   `json:"revision,omitempty"`
	Samples   []Sample `json:"samples"`
	Withdrawn []int    `json:"withdrawn,omitempty"`
	Remaining int      `json:"remaining"`
	Complete  bool     `json:"complete"`
	// Missing lists the slots that a step lacks after its deadline.
	Missing []int `json:"missing,omitempty"`
}

// StepStatus describes the progress of a step.
type StepStatus struct {
	Step  string `json:"step"`
	Slots int    `json:"slots"`
	// The slots by state: Planned are not made yet, Ready wait for their first delivery,
	// Delivered are in the open batch, Missing will not be delivered.
	Planned      int    `json:"planned"`
	Ready        int    `json:"ready"`
	Delivered    int    `json:"delivered"`
	Acknowledged int    `json:"acknowledged"`
	Missing      int    `json:"missing"`
	Cursor       uint64 `json:"cursor"`
	Closed       bool   `json:"closed"`
	Complete     bool   `json:"complete"`
}

// PublishRequest announces a new weight version of a model.
type PublishRequest struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// PublishReply tells the newest version after a publish.
type PublishReply struct {
	Model  string `json:"model"`
	Newest uint64 `json:"newest"`
}

// Trainer serves trainers.
type Trainer interface {
	OpenStep(ctx context.Context, tenancy string, r OpenStepRequest) (*OpenStepReply, error)
	Fetch(ctx context.Context, tenancy, step string, r FetchRequest) (*FetchReply, error)
	Step(ctx context.Context, tenancy, step string) (*StepStatus, error)
	Publish(ctx context.Context, tenancy string, r PublishRequest) (*PublishReply, error)
}

// DeskRequest is one request of a desk to an engine pool (Model, Prompt, MaxTokens) or to
// a plain service pool (Body).
type DeskRequest struct {
	Model     string          `json:"model,omitempty"`
	Prompt    string          `json:"prompt,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`

	Pool      string        `json:"-"`
	RequestID string        `json:"-"`
	Key       string        `json:"-"`
	Unsafe    bool          `json:"-"`
	Timeout   time.Duration `json:"-"`
}

// DeskChunk is one line of a streamed answer.
type DeskChunk struct {
	RequestID string `json:"request_id"`
	Offset    uint64 `json:"offset"`
	Text      string `json:"text"`
	Version   uint64 `json:"version"`
	Done      bool   `json:"done"`
	Total     uint64 `json:"total,omitempty"`
}

// DeskReply is a whole answer.
type DeskReply struct {
	RequestID string          `json:"request_id"`
	Output    string          `json:"output,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
	Versions  []uint64        `json:"versions,omitempty"`
	Tokens    int             `json:"tokens,omitempty"`
	// Repeated is set when the answer was stored by an earlier request with the same key.
	Repeated bool `json:"repeated,omitempty"`
}

// Desk serves desks. Emit receives the answer in parts and may be nil.
type Desk interface {
	Do(ctx context.Context, tenancy string, r DeskRequest, emit func(DeskChunk) error) (*DeskReply, error)
}

// Announcement is what a target says of itself, repeated every second.
type Announcement struct {
	ID            string            `json:"id"`
	Incarnation   uint64            `json:"incarnation"`
	FailureDomain string            `json:"failure_domain"`
	Pool          string            `json:"pool"`
	Address       string            `json:"address"`
	Kind          string            `json:"kind"`
	Slots         int               `json:"slots"`
	Loaded        map[string]uint64 `json:"loaded,omitempty"`
	Swapping      bool              `json:"swapping,omitempty"`
	LastFence     uint64            `json:"last_fence,omitempty"`
	Load          Load              `json:"load"`
}

// Load is the load that a target reports, in requests.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// CacheEvent tells that a target stored or evicted a prompt prefix.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Kind   string `json:"kind"`
	Prefix uint64 `json:"prefix"`
}

// CacheEvents is a batch of cache events of one target.
type CacheEvents struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// LeaveRequest withdraws a target.
type LeaveRequest struct {
	Incarnation uint64 `json:"incarnation"`
}

// Targets serves targets.
type Targets interface {
	Announce(ctx context.Context, a Announcement) error
	Leave(ctx context.Context, id string, r LeaveRequest) error
	CacheEvents(ctx context.Context, id string, r CacheEvents) error
}

// ApplyReply answers an applied configuration.
type ApplyReply struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	Repeated bool   `json:"repeated"`
}

// ConfigReply is the configuration in force on the answering host.
type ConfigReply struct {
	Version uint64          `json:"version"`
	Digest  string          `json:"digest"`
	Config  json.RawMessage `json:"config"`
}

// The actions of a MemberRequest.
const (
	AddMember     = "add"     // as a learner, which receives the log and does not vote
	PromoteMember = "promote" // a learner that has caught up to a voter
	RemoveMember  = "remove"
)

// MemberRequest changes the membership of a consensus group by one host.
type MemberRequest struct {
	Action string `json:"action"`
	Host   string `json:"host"`
}

// MemberReply is the membership of a group after a change. Repeated is set when the leader
// found the change in force already, by an earlier call or an earlier attempt of this one.
type MemberReply struct {
	Group    string   `json:"group"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
	Repeated bool     `json:"repeated"`
}

// Operator serves operators.
type Operator interface {
	Apply(ctx context.Context, body []byte) (*ApplyReply, error)
	Config(ctx context.Context) (*ConfigReply, error)
	// Status returns a value that encodes to JSON.
	Status(ctx context.Context) (any, error)
	// ChangeMember returns once the change is committed in the group.
	ChangeMember(ctx context.Context, group string, r MemberRequest) (*MemberReply, error)
	// Drain starts a graceful shutdown of the host.
	Drain(ctx context.Context) error
}

// Health reports whether the host may receive requests from the balancer.
type Health interface {
	Ready() (ok bool, reason string)
}
