// Package engine is the HTTP client for targets, which are model engines or plain services (targets
// without a model). Each error states whether the request may have run.
package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"fuchsiaflow/errs"
)

// HeaderResume is set to ResumeByOffset in the response of an engine that can resume the stream of
// a request ID at an offset.
const (
	HeaderResume   = "X-Resume"
	ResumeByOffset = "offset"
)

// Request is a request to an engine to generate text. Offset is the number of characters (Unicode
// code points) that the caller already has.
type Request struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens"`
	Offset    uint64 `json:"offset"`
	// Unsafe marks a request that must not run twice. It is not resumed, because an engine that lost
	// the stream could start it again.
	Unsafe bool `json:"-"`
	// Resumable states that the engine can resume streams, in case the connection breaks before the
	// response headers arrive.
	Resumable bool `json:"-"`
}

// Chunk is a part of an output. Version is zero if the engine did not report it. Total is the length
// of the complete output in characters and is valid only if Done is set.
type Chunk struct {
	RequestID string `json:"request_id"`
	Seq       uint64 `json:"seq"`
	Offset    uint64 `json:"offset"`
	Text      string `json:"text"`
	Tokens    uint32 `json:"tokens"`
	Version   uint64 `json:"version,omitempty"`
	Done      bool   `json:"done,omitempty"`
	Total     uint64 `json:"total,omitempty"`
	// Error reports a failure of the engine and ends the stream.
	Error string `json:"error,omitempty"`
}

// CallRequest is a request to a plain service.
type CallRequest struct {
	RequestID string          `json:"request_id"`
	Body      json.RawMessage `json:"body"`
	Unsafe    bool            `json:"unsafe,omitempty"`
}

// CallReply is the response of a plain service.
type CallReply struct {
	RequestID string          `json:"request_id"`
	Body      json.RawMessage `json:"body"`
}

// Kinds of orders.
const (
	OrderLoad = "load"
	OrderRole = "role"
)

// Order instructs a target to load a version of a model or to change its role. A target must not
// start an order after ExpiresAt. This is an absolute time, sent as Unix milliseconds: with a
// duration, an order that is delivered late would outlive the lease under which it was issued.
type Order struct {
	Kind      string
	Model     string
	Version   uint64
	Role      string
	Fence     uint64 // fencing token
	ExpiresAt time.Time
	// InFlight determines what the target does with running requests: finish, resume or discard.
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

// Load is the number of running and queued requests of a target.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// State is the state reported by a target. Loaded maps models to versions; it omits the models whose
// version is uncertain, which Uncertain lists.
type State struct {
	ID          string            `json:"id"`
	Incarnation uint64            `json:"incarnation"`
	Loaded      map[string]uint64 `json:"loaded"`
	Uncertain   []string          `json:"uncertain,omitempty"`
	Role        string            `json:"role,omitempty"`
	Fence       uint64            `json:"fence"`
	Load        Load              `json:"load"`
}

// KV is the exported KV cache of one request.
type KV struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Version   uint64 `json:"version"`
	Offset    uint64 `json:"offset"`
	Data      []byte `json:"data"`
}

// Refusal is the body of a response with status 503. NotRun states that the request did not start.
type Refusal struct {
	NotRun bool   `json:"not_run"`
	Reason string `json:"reason,omitempty"`
}

// StaleFence reports an order whose fencing token is lower than one that the target has seen.
type StaleFence struct {
	Target string
	Fence  uint64
}

func (e *StaleFence) Error() string {
	return fmt.Sprintf("target %s rejected an order with the stale fencing token %d", e.Target, e.Fence)
}

// FailureCode implements errs.Failure.
func (e *StaleFence) FailureCode() errs.Code { return errs.CodeConflict }

// FailureOutcome implements errs.Failure.
func (e *StaleFence) FailureOutcome() errs.Outcome { return errs.NotRun }

// StatusError reports a response with an HTTP status other than 200.
type StatusError struct {
	Operation string
	Target    string
	Code      int
	Reason    string
	Outcome   errs.Outcome
	After     time.Duration
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("target %s responded to %s with status %d: %s", e.Target, e.Operation, e.Code, e.Reason)
}

// FailureCode implements errs.Failure.
func (e *StatusError) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *StatusError) FailureOutcome() errs.Outcome { return e.Outcome }

// RetryAfter implements errs.Retryable.
func (e *StatusError) RetryAfter() time.Duration { return e.After }

// ResponseMismatch reports a response with the ID of another request.
type ResponseMismatch struct{ Target, Want, Got string }

func (e *ResponseMismatch) Error() string {
	return fmt.Sprintf("target %s responded to request %q instead of %q", e.Target, e.Got, e.Want)
}

// FailureCode implements errs.Failure.
func (e *ResponseMismatch) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *ResponseMismatch) FailureOutcome() errs.Outcome { return errs.Unknown }

// ResponseTooLarge reports a response that exceeds the limit in bytes. Unlike after errs.TooLarge,
// the request may have run.
type ResponseTooLarge struct {
	Target string
	Limit  int64
}

func (e *ResponseTooLarge) Error() string {
	return fmt.Sprintf("response of target %s exceeds %d bytes", e.Target, e.Limit)
}

// FailureCode implements errs.Failure.
func (e *ResponseTooLarge) FailureCode() errs.Code { return errs.CodeTooLarge }

// FailureOutcome implements errs.Failure.
func (e *ResponseTooLarge) FailureOutcome() errs.Outcome { return errs.Unknown }
