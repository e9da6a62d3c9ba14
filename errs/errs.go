// Package errs defines the error types shared by all packages. Every error type of the project
// implements Failure: it has a stable code and states whether the failed request ran. HTTPStatus,
// ToGRPC and FromGRPC are the only conversions to and from the wire.
package errs

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Outcome states what is known about the execution of a request that failed.
type Outcome string

// The outcomes of a request. NotRun may be reported only if no byte of the request was written to
// a connection to a target, or if the target itself stated that it did not start the request.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Code is the stable name of a kind of failure. It appears in responses and logs.
type Code string

// The codes used by this package. Other packages may define more.
const (
	CodeInvalid         Code = "invalid"
	CodeUnauthenticated Code = "unauthenticated"
	CodeForbidden       Code = "forbidden"
	CodeNotFound        Code = "not_found"
	CodeConflict        Code = "conflict"
	CodeTooLarge        Code = "too_large"
	CodeOverloaded      Code = "overloaded"
	CodeFull            Code = "full"
	CodeQuotaExceeded   Code = "quota_exceeded"
	CodeUnavailable     Code = "unavailable"
	CodeNotLeader       Code = "not_leader"
	CodeRedirect        Code = "redirect"
	CodeDeadline        Code = "deadline_exceeded"
	CodeInterrupted     Code = "interrupted"
	CodeCorrupt         Code = "corrupt"
	CodeInternal        Code = "internal"
)

// Failure is implemented by every error type of the project.
type Failure interface {
	error
	FailureCode() Code
	FailureOutcome() Outcome
}

// Retryable is implemented by failures that know when a retry makes sense.
type Retryable interface {
	// RetryAfter returns the delay before a retry, or zero if it is not known.
	RetryAfter() time.Duration
}

// Invalid reports input that does not satisfy its schema. Path is a JSON path such as
// "$.pools[2].name"; Want describes the accepted values.
type Invalid struct {
	Path string
	Want string
	Got  string
}

func (e *Invalid) Error() string {
	return fmt.Sprintf("invalid value at %s: want %s, got %s", e.Path, e.Want, e.Got)
}

// FailureCode implements Failure.
func (e *Invalid) FailureCode() Code { return CodeInvalid }

// FailureOutcome implements Failure.
func (e *Invalid) FailureOutcome() Outcome { return NotRun }

// Unauthenticated reports a missing or wrong credential. It never contains the credential.
type Unauthenticated struct {
	Realm string
	// Credential is what is missing or wrong. An empty Credential means a bearer token.
	Credential string
}

func (e *Unauthenticated) Error() string {
	credential := e.Credential
	if credential == "" {
		credential = "bearer token"
	}
	return fmt.Sprintf("missing or wrong %s for %s", credential, e.Realm)
}

// FailureCode implements Failure.
func (e *Unauthenticated) FailureCode() Code { return CodeUnauthenticated }

// FailureOutcome implements Failure.
func (e *Unauthenticated) FailureOutcome() Outcome { return NotRun }

// NotFound reports an object that does not exist.
type NotFound struct{ Kind, ID string }

func (e *NotFound) Error() string { return fmt.Sprintf("%s %q does not exist", e.Kind, e.ID) }

// FailureCode implements Failure.
func (e *NotFound) FailureCode() Code { return CodeNotFound }

// FailureOutcome implements Failure.
func (e *NotFound) FailureOutcome() Outcome { return NotRun }

// Conflict reports a request that contradicts the stored state of an object. Stored and Received
// describe the two values.
type Conflict struct{ Kind, ID, Stored, Received string }

func (e *Conflict) Error() string {
	return fmt.Sprintf("%s %q conflicts: stored %s, received %s", e.Kind, e.ID, e.Stored, e.Received)
}

// FailureCode implements Failure.
func (e *Conflict) FailureCode() Code { return CodeConflict }

// FailureOutcome implements Failure.
func (e *Conflict) FailureOutcome() Outcome { return NotRun }

// TooLarge reports a body or message that exceeds its limit, in bytes.
type TooLarge struct {
	What  string
	Limit int64
}

func (e *TooLarge) Error() string { return fmt.Sprintf("%s exceeds %d bytes", e.What, e.Limit) }

// FailureCode implements Failure.
func (e *TooLarge) FailureCode() Code { return CodeTooLarge }

// FailureOutcome implements Failure.
func (e *TooLarge) FailureOutcome() Outcome { return NotRun }

// Full reports that a store has no free space. The request did not run. It is not retried on other
// hosts, because none of them has space for it either.
type Full struct {
	Resource string
	// After is the delay after which space is expected.
	After time.Duration
}

func (e *Full) Error() string {
	return fmt.Sprintf("%s is full; space is expected in %s", e.Resource, e.After)
}

// FailureCode implements Failure.
func (e *Full) FailureCode() Code { return CodeFull }

// FailureOutcome implements Failure.
func (e *Full) FailureOutcome() Outcome { return NotRun }

// RetryAfter implements Retryable.
func (e *Full) RetryAfter() time.Duration { return e.After }

// Overloaded reports a full queue. The request did not run.
type Overloaded struct {
	Resource string
	// After is the delay before a retry.
	After time.Duration
}

func (e *Overloaded) Error() string {
	return fmt.Sprintf("%s is full, retry after %s", e.Resource, e.After)
}

// FailureCode implements Failure.
func (e *Overloaded) FailureCode() Code { return CodeOverloaded }

// FailureOutcome implements Failure.
func (e *Overloaded) FailureOutcome() Outcome { return NotRun }

// RetryAfter implements Retryable.
func (e *Overloaded) RetryAfter() time.Duration { return e.After }

// Unavailable reports a resource that cannot serve requests now. An empty Outcome means NotRun.
type Unavailable struct {
	Resource string
	Reason   string
	Outcome  Outcome
}

func (e *Unavailable) Error() string {
	return fmt.Sprintf("%s is unavailable: %s", e.Resource, e.Reason)
}

// FailureCode implements Failure.
func (e *Unavailable) FailureCode() Code { return CodeUnavailable }

// FailureOutcome implements Failure.
func (e *Unavailable) FailureOutcome() Outcome {
	if e.Outcome == "" {
		return NotRun
	}
	return e.Outcome
}

// NotLeader reports a command sent to a replica that is not the leader of its group. Leader is empty
// if it is not known. The command was not proposed.
type NotLeader struct{ Group, Leader string }

func (e *NotLeader) Error() string {
	return fmt.Sprintf("not the leader of group %q, leader is %q", e.Group, e.Leader)
}

// FailureCode implements Failure.
func (e *NotLeader) FailureCode() Code { return CodeNotLeader }

// FailureOutcome implements Failure.
func (e *NotLeader) FailureOutcome() Outcome { return NotRun }

// Redirect reports a call that another host has to take. Address is the IP:port to which the caller repeats it.
type Redirect struct{ Resource, Address string }

func (e *Redirect) Error() string { return fmt.Sprintf("%s is taken at %s", e.Resource, e.Address) }

// FailureCode implements Failure.
func (e *Redirect) FailureCode() Code { return CodeRedirect }

// FailureOutcome implements Failure.
func (e *Redirect) FailureOutcome() Outcome { return NotRun }

// Deadline reports an operation that exceeded its deadline. An empty Outcome means Unknown.
type Deadline struct {
	Operation string
	Outcome   Outcome
}

func (e *Deadline) Error() string { return fmt.Sprintf("deadline exceeded in %s", e.Operation) }

// FailureCode implements Failure.
func (e *Deadline) FailureCode() Code { return CodeDeadline }

// FailureOutcome implements Failure.
func (e *Deadline) FailureOutcome() Outcome {
	if e.Outcome == "" {
		return Unknown
	}
	return e.Outcome
}

// Interrupted reports an operation that lost its connection or the host that ran it. It may have
// started, so its outcome is unknown.
type Interrupted struct{ Operation, Reason string }

func (e *Interrupted) Error() string {
	return fmt.Sprintf("%s interrupted: %s", e.Operation, e.Reason)
}

// FailureCode implements Failure.
func (e *Interrupted) FailureCode() Code { return CodeInterrupted }

// FailureOutcome implements Failure.
func (e *Interrupted) FailureOutcome() Outcome { return Unknown }

// Corrupt reports stored or received data with a wrong checksum or an invalid encoding.
type Corrupt struct {
	What   string
	Offset int64
	Detail string
}

func (e *Corrupt) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.What, e.Offset, e.Detail)
}

// FailureCode implements Failure.
func (e *Corrupt) FailureCode() Code { return CodeCorrupt }

// FailureOutcome implements Failure.
func (e *Corrupt) FailureOutcome() Outcome { return Unknown }

// Remote is a failure received from another host or from a target.
type Remote struct {
	Code    Code
	Outcome Outcome
	Message string
	After   time.Duration
	Details map[string]string
}

func (e *Remote) Error() string { return e.Message }

// FailureCode implements Failure.
func (e *Remote) FailureCode() Code { return e.Code }

// FailureOutcome implements Failure.
func (e *Remote) FailureOutcome() Outcome { return e.Outcome }

// RetryAfter implements Retryable.
func (e *Remote) RetryAfter() time.Duration { return e.After }

// CodeOf returns the code of the first Failure in err's chain, or CodeInternal.
func CodeOf(err error) Code {
	var failure Failure
	if errors.As(err, &failure) {
		return failure.FailureCode()
	}
	return CodeInternal
}

// OutcomeOf returns the outcome of the first Failure in err's chain, or Unknown.
func OutcomeOf(err error) Outcome {
	var failure Failure
	if errors.As(err, &failure) {
		return failure.FailureOutcome()
	}
	return Unknown
}

// RetryAfterOf returns the delay before a retry from the first Retryable in err's chain, or zero.
func RetryAfterOf(err error) time.Duration {
	var retryable Retryable
	if errors.As(err, &retryable) {
		return retryable.RetryAfter()
	}
	return 0
}
