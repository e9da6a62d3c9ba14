// Package api implements the HTTP API for callers, targets and operators. It authenticates, decodes and
// validates requests and encodes answers and errors. All other logic is behind the interfaces in this file.
// docs/api.md documents the API for its users.
package api

import (
	"context"
	"encoding/json"
	"time"
)

// Identity is the tenancy that a bearer token belongs to.
type Identity struct {
	Tenancy string
	// Kind is "trainer" or "desk".
	Kind string
}

// Authenticator verifies bearer tokens.
type Authenticator interface {
	// Caller returns the tenancy that owns the token. A host that does not know the tenancies yet
	// returns an *errs.Unavailable, so that it never rejects a valid token as wrong.
	Caller(token string) (Identity, error)
	// Operator reports whether token is the operators' token.
	Operator(token string) bool
}

// Group requests several samples of one prompt.
type Group struct {
	Prompt    string `json:"prompt"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
}

// OpenStepRequest opens a step. It is idempotent: the same step with the same content gets the first
// answer again.
type OpenStepRequest struct {
	Step      string  `json:"step"`
	Model     string  `json:"model"`
	Pool      string  `json:"pool"`
	Groups    []Group `json:"groups"`
	TimeoutMS int64   `json:"timeout_ms"`
}

// OpenStepReply is the answer to an OpenStepRequest.
type OpenStepReply struct {
	Step  string `json:"step"`
	Slots int    `json:"slots"`
}

// FetchRequest acknowledges batch Ack and requests the next batch.
type FetchRequest struct {
	Ack     uint64 `json:"ack"`
	Max     int    `json:"max"`
	Version uint64 `json:"version"`
	WaitMS  int64  `json:"wait_ms"`
	// AckRevision is the revision of the acknowledged batch. The acknowledgement is rejected if
	// samples were withdrawn after the answer with that revision was sent. 0 skips the check.
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

// FetchReply contains one batch. Batch is 0 if no sample became ready in time.
type FetchReply struct {
	Batch     uint64   `json:"batch"`
	Revision  uint64   `json:"revision,omitempty"`
	Samples   []Sample `json:"samples"`
	Withdrawn []int    `json:"withdrawn,omitempty"`
	Remaining int      `json:"remaining"`
	Complete  bool     `json:"complete"`
	// Missing lists the slots without a sample after the deadline of the step.
	Missing []int `json:"missing,omitempty"`
}

// StepStatus describes the progress of a step.
type StepStatus struct {
	Step  string `json:"step"`
	Slots int    `json:"slots"`
	// Number of slots by state. Planned slots have no sample yet, Ready ones wait for their first
	// delivery, Delivered ones are in the open batch, and Missing ones will not be delivered.
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

// PublishReply is the answer to a PublishRequest. Newest is the newest version after it.
type PublishReply struct {
	Model  string `json:"model"`
	Newest uint64 `json:"newest"`
}

// TrainerService implements the endpoints for trainers.
type TrainerService interface {
	OpenStep(ctx context.Context, tenancy string, r OpenStepRequest) (*OpenStepReply, error)
	Fetch(ctx context.Context, tenancy, step string, r FetchRequest) (*FetchReply, error)
	Step(ctx context.Context, tenancy, step string) (*StepStatus, error)
	Publish(ctx context.Context, tenancy string, r PublishRequest) (*PublishReply, error)
}

// DeskRequest is a request of a desk, either to a pool of engines (Model, Prompt, MaxTokens) or to a pool
// of plain services (Body). Fields without a JSON name are not part of the body.
type DeskRequest struct {
	Model     string          `json:"model,omitempty"`
	Prompt    string          `json:"prompt,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`

	Pool           string        `json:"-"`
	RequestID      string        `json:"-"`
	IdempotencyKey string        `json:"-"`
	Unsafe         bool          `json:"-"`
	Timeout        time.Duration `json:"-"`
}

// DeskChunk is a line of a streamed answer.
type DeskChunk struct {
	RequestID string `json:"request_id"`
	Offset    uint64 `json:"offset"`
	Text      string `json:"text"`
	Version   uint64 `json:"version"`
	Done      bool   `json:"done"`
	Total     uint64 `json:"total,omitempty"`
}

// DeskReply is a complete answer.
type DeskReply struct {
	RequestID string          `json:"request_id"`
	Output    string          `json:"output,omitempty"`
	Body      json.RawMessage `json:"body,omitempty"`
	Versions  []uint64        `json:"versions,omitempty"`
	Tokens    int             `json:"tokens,omitempty"`
	// Repeated is set if the answer is the stored one of an earlier request with the same key.
	Repeated bool `json:"repeated,omitempty"`
}

// DeskService implements the endpoint for desks. If emit is not nil, Do passes it the answer in chunks.
type DeskService interface {
	Do(ctx context.Context, tenancy string, r DeskRequest, emit func(DeskChunk) error) (*DeskReply, error)
}

// Announcement is the report of a target about itself, sent every second.
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

// Load is the load of a target in requests.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// CacheEvent reports that a target has stored or evicted a prompt prefix.
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

// LeaveRequest deregisters a target.
type LeaveRequest struct {
	Incarnation uint64 `json:"incarnation"`
}

// TargetService implements the endpoints for targets.
type TargetService interface {
	Announce(ctx context.Context, a Announcement) error
	Leave(ctx context.Context, id string, r LeaveRequest) error
	CacheEvents(ctx context.Context, id string, r CacheEvents) error
}

// ApplyReply is the answer to an accepted configuration. Repeated is set if it was accepted before.
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

// Actions of a MemberRequest.
const (
	AddMember     = "add"     // adds a learner, which receives the log but does not vote
	PromoteMember = "promote" // makes a learner that has caught up a voter
	RemoveMember  = "remove"
)

// MemberRequest changes the membership of a consensus group by one host.
type MemberRequest struct {
	Action string `json:"action"`
	Host   string `json:"host"`
}

// MemberReply is the membership of a group after a change. Repeated is set if the change was already in
// force, because of an earlier call or an earlier attempt of this one.
type MemberReply struct {
	Group    string   `json:"group"`
	Voters   []string `json:"voters"`
	Learners []string `json:"learners"`
	Repeated bool     `json:"repeated"`
}

// OperatorService implements the endpoints for operators.
type OperatorService interface {
	Apply(ctx context.Context, body []byte) (*ApplyReply, error)
	Config(ctx context.Context) (*ConfigReply, error)
	// Status returns the status of the host as a value that can be encoded as JSON.
	Status(ctx context.Context) (any, error)
	// ChangeMember changes the membership of a group and returns once the change is committed.
	ChangeMember(ctx context.Context, group string, r MemberRequest) (*MemberReply, error)
	// Drain starts a graceful shutdown of the host.
	Drain(ctx context.Context) error
}

// Health reports whether the load balancer may send requests to the host. If not, reason says why.
type Health interface {
	Ready() (ok bool, reason string)
}
