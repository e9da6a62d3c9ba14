// Package dialect declares the parts of the protocol with callers and targets that the deployment
// defines: the header names and the calls to engines. The adapter of the deployment, package platform,
// supplies both. This package contains no policy.
package dialect

import (
	"context"
	"fmt"
	"strings"

	"fuchsiaflow/errs"
)

// Headers holds the names of the headers that the service reads and sets.
type Headers struct {
	// RequestID carries the ID of a request. Targets return it in their answers.
	RequestID string
	// Deadline carries the time for which the caller waits, in milliseconds.
	Deadline string
	// ExpectedInstance carries the ID of the instance that a request is for. Any other instance rejects the
	// request as not run.
	ExpectedInstance string
	// Instance carries the ID of the instance that answered.
	Instance string
	// ServerStamp carries the signature that a target adds to its answers. An answer without it is
	// treated as corrupt.
	ServerStamp string
	// NotRun is set if a target has rejected a request without running it.
	NotRun string
	// Load carries the load of a target as "running,waiting,slots".
	Load string
	// Leaving are the names of the header with which a target announces in its answers that it leaves.
	Leaving []string
	// RateLimit are the names of the header with which a target states in its answers how many requests a second it
	// takes from all hosts together, as a decimal number.
	RateLimit []string
	// WeightVersion carries the weight version with which an answer begins.
	WeightVersion string
	// WeightVersionField is the name of the event field that carries the new weight version when the
	// version changes within an event stream.
	WeightVersionField string
	// LastEventID carries the ID of the last event that the caller has received.
	LastEventID string
	// Resumes are the names of the header in which a caller that takes a stream up names its request that brought the
	// first event.
	Resumes []string
	// RetryAfter carries the time after which the caller may retry, in seconds.
	RetryAfter string
	// CallerKey carries the key of the caller; absent on routes without keys.
	CallerKey string
	// Account carries the name of the client account to which the key of a request belongs. Only the system sets it.
	Account string
	// DutyHolder and FencingToken carry the holder of a duty in its calls to the platform.
	DutyHolder, FencingToken string
}

// IdentifiesCaller reports whether a header, in any spelling, carries the key of a caller or a client account.
func (h *Headers) IdentifiesCaller(name string) bool {
	name = strings.TrimSpace(name)
	return name != "" && (strings.EqualFold(name, h.CallerKey) || strings.EqualFold(name, h.Account))
}

// EngineReport is the state of an engine.
type EngineReport struct {
	// Incarnation is the start of the engine as in its heartbeats; 0 if it does not tell.
	Incarnation int64
	// AcceptedOrders is the number of orders that the engine has accepted since it started.
	AcceptedOrders uint64
	// Busy is set while an order is in progress.
	Busy bool
	// Weights maps each model to its loaded version.
	Weights map[string]uint64
}

// Order instructs an engine to load a weight version.
type Order struct {
	Instance string // ID of the engine; another engine rejects the order
	Model    string
	Version  uint64
	// KeepRuns continues running requests with the new version. Otherwise they finish before the
	// engine loads it.
	KeepRuns bool
	Holder   string // replica that sends the order
	Fence    uint64 // fencing token: the sender's term
	// ExpectedOrders is the count from the last Report, plus the orders accepted since. The engine rejects
	// the order if its own count differs.
	ExpectedOrders uint64
}

// OrderResult is the answer of an engine to an order.
type OrderResult int

// The answers to an order.
const (
	// OrderAccepted means that the engine is executing the order.
	OrderAccepted OrderResult = iota
	// OrderAlreadyDone means that the order was executed before: the engine has the weight version already.
	OrderAlreadyDone
	// OrderConflict means that the order was rejected because another order is in progress or was accepted
	// in the meantime.
	OrderConflict
	// OrderFenced means that the order was rejected because a newer holder has sent an order.
	OrderFenced
	// OrderWrongInstance means that another instance uses the address now.
	OrderWrongInstance
	// OrderUnknown means that there was no answer or an unexpected one. The order may still be executed.
	OrderUnknown
)

func (a OrderResult) String() string {
	return [...]string{"accepted", "held", "changed", "fenced", "elsewhere", "unclear"}[a]
}

// EngineClient calls engines.
type EngineClient interface {
	// FetchReport returns the state of the engine at the address, which must be the given instance.
	FetchReport(ctx context.Context, address, instance string) (EngineReport, error)
	// SendOrder sends an order to the engine at the address. With an error it returns OrderUnknown.
	SendOrder(ctx context.Context, address string, o Order) (OrderResult, error)
}

// UnexpectedResponse reports an unexpected answer of an engine.
type UnexpectedResponse struct {
	Call, Address string
	Status        int
}

func (e *UnexpectedResponse) Error() string {
	return fmt.Sprintf("unexpected answer to %s at %s: status %d", e.Call, e.Address, e.Status)
}

// FailureCode implements errs.Failure.
func (e *UnexpectedResponse) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *UnexpectedResponse) FailureOutcome() errs.Outcome { return errs.Unknown }
