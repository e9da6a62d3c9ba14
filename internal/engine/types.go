// Package engine is the HTTP client of targets: model engines and plain services. Its
// failures state exactly whether a request may have run.
package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"fuchsiaflow/errs"
)

// HeaderResume is set to ResumeByOffset in the answer of an engine that can resume a
// stream of the same request id at an offset.
const (
	HeaderResume   = "X-Resume"
	ResumeByOffset = "offset"
)

// Request asks an engine to generate. Offset counts the characters (Unicode code points)
// that the caller already has.
type Request struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens"`
	Offset    uint64 `json:"offset"`
	// Unsafe forbids resuming, because an engine that lost the stream could start it again.
	Unsafe bool `json:"-"`
	// Resumable tells that the engine can resume, for the case that the stream breaks before
	// the engine's answer could say so.
	Resumable bool `json:"-"`
}

// Chunk is a part of an output. Version is zero when the engine did not report it. Total
// is the length of the whole output in characters and is valid only with Done.
type Chunk struct {
	RequestID string `json:"request_id"`
	Seq       uint64 `json:"seq"`
	Offset    uint64 `json:"offset"`
	Text      string `json:"text"`
	Tokens    uint32 `json:"tokens"`
	Version   uint64 `json:"version,omitempty"`
	Done      bool   `json:"done,omitempty"`
	Total     uint64 `json:"total,omitempty"`
	// Error ends the stream with a failure of the engine.
	Error string `json:"error,omitempty"`
}

// CallRequest is a request to a plain service.
type CallRequest struct {
	RequestID string          `json:"request_id"`
	Body      json.RawMessage `json:"body"`
	Unsafe    bool            `json:"unsafe,omitempty"`
}

// CallReply is the answer of a plain service.
type CallReply struct {
	RequestID string          `json:"request_id"`
	Body      json.RawMessage `json:"body"`
}

// The kinds of orders.
const (
	OrderLoad = "load"
	OrderRole = "role"
)

// Order tells a target to load a version or to change its role. A target must not start an
// order after ExpiresAt, which travels as Unix milliseconds: with a duration, an order
// that is delivered late would outlive the lease under which it was given.
type Order struct {
	Kind      string
	Model     string
	Version   uint64
	Role      string
	Fence     uint64
	ExpiresAt time.Time
	// InFlight tells what the target does with running requests: finish, resume or discard.
	InFlight string
}

// OrderBody is the JSON form of an Order.
type OrderBody struct {
	Kind      string `json:"kind"`
	Model     string `json:"model,omitempty"`
	Version   uint64 `json:"version,omitempty"`
	Role      string `json:"role,omitempty"`
	Fence     uint64 `json:"fence"`
	ExpiresMS int64  `json:"expires_ms"`
	InFlight  string `json:"in_flight,omitempty"`
}

// Load is the load that a target reports.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// State is what a target reports about itself. Loaded leaves out models whose version is
// not certain; Uncertain names them.
type State struct {
	ID          string            `json:"id"`
	Incarnation uint64            `json:"incarnation"`
	Loaded      map[string]uint64 `json:"loaded"`
	Uncertain   []string          `json:"uncertain,omitempty"`
	Role        string            `json:"role,omitempty"`
	Fence       uint64            `json:"fence"`
	Load        Load              `json:"load"`
}

// KV is an exported KV cache of one request.
type KV struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   uint64 `json:"version"`
	Offset    uint64 `json:"offset"`
	Data      []byte `json:"data"`
}

// Refusal is the body of a 503 answer. NotRun states that the request did not start.
type Refusal struct {
	NotRun bool   `json:"not_run"`
	Reason string `json:"reason,omitempty"`
}

// StaleFence reports an order whose fence number is lower than one that the target has seen.
type StaleFence struct {
	Target string
	Fence  uint64
}

func (e *StaleFence) Error() string {
	return fmt.Sprintf("target %s refused an order with the old fence number %d", e.Target, e.Fence)
}

// FailureCode implements errs.Failure.
func (e *StaleFence) FailureCode() errs.Code { return errs.CodeConflict }

// FailureOutcome implements errs.Failure.
func (e *StaleFence) FailureOutcome() errs.Outcome { return errs.NotRun }

// Status reports an HTTP status by which a target refused or failed a request.
type Status struct {
	Operation string
	Target    string
	Code      int
	Reason    string
	Outcome   errs.Outcome
	After     time.Duration
}

func (e *Status) Error() string {
	return fmt.Sprintf("target %s answered %s with status %d: %s", e.Target, e.Operation, e.Code, e.Reason)
}

// FailureCode implements errs.Failure.
func (e *Status) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *Status) FailureOutcome() errs.Outcome { return e.Outcome }

// RetryAfter implements errs.Retryable.
func (e *Status) RetryAfter() time.Duration { return e.After }

// WrongAnswer reports an answer that belongs to another request.
type WrongAnswer struct{ Target, Want, Got string }

func (e *WrongAnswer) Error() string {
	return fmt.Sprintf("target %s answered request %q instead of %q", e.Target, e.Got, e.Want)
}

// FailureCode implements errs.Failure.
func (e *WrongAnswer) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *WrongAnswer) FailureOutcome() errs.Outcome { return errs.Unknown }

// AnswerTooLarge reports an answer above its limit in bytes. Unlike errs.TooLarge, it
// belongs to a request that may have run.
type AnswerTooLarge struct {
	Target string
	Limit  int64
}

func (e *AnswerTooLarge) Error() string {
	return fmt.Sprintf("answer of target %s exceeds %d bytes", e.Target, e.Limit)
}

// FailureCode implements errs.Failure.
func (e *AnswerTooLarge) FailureCode() errs.Code { return errs.CodeTooLarge }

// FailureOutcome implements errs.Failure.
func (e *AnswerTooLarge) FailureOutcome() errs.Outcome { return errs.Unknown }
