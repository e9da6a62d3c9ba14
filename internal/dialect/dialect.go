// Package dialect describes how the service speaks with callers and targets, as far as the
// deployment decides it: the names of headers, and the calls to engines. The deployment's
// adapter supplies both; nothing in here decides anything.
package dialect

import (
	"context"
	"fmt"

	"fuchsiaflow/errs"
)

// Headers has the names of the headers that the service reads and sets.
type Headers struct {
	// RequestID is the id of a request; targets repeat it in their answers.
	RequestID string
	// Deadline is the number of milliseconds that the caller waits.
	Deadline string
	// Expect names the instance that a request is meant for; others refuse it as not run.
	Expect string
	// Instance is the instance that answered.
	Instance string
	// Stamp is the signature with which a target marks its answers.
	Stamp string
	// NotRun marks a refusal of a target as not run.
	NotRun string
	// Load is what a target reports of its load: running, waiting, slots.
	Load string
	// Versions is the weight version under which an answer begins.
	Versions string
	// VersionField is the field of an event at which the version changes.
	VersionField string
	LastEventID  string
	RetryAfter   string
}

// Report is the state of an engine.
type Report struct {
	// Orders is the number of orders that the engine has accepted since its start.
	Orders uint64
	// Busy tells that an order is being carried out.
	Busy bool
	// Weights has the loaded version of each model.
	Weights map[string]uint64
}

// Order tells an engine to load a weight version.
type Order struct {
	Instance string // the engine that is meant
	Model    string
	Version  uint64
	// KeepRuns lets runs go on under the new version; otherwise they finish first.
	KeepRuns bool
	Holder   string // who gives the order
	Fence    uint64
	// Orders is the count of a Report; the engine refuses the order if it has changed.
	Orders uint64
}

// Acceptance is how an engine answered an order.
type Acceptance int

// The acceptances.
const (
	// Accepted orders are being carried out.
	Accepted Acceptance = iota
	// Held orders were carried out before.
	Held
	// Changed orders were refused, because another order is in progress or has come between.
	Changed
	// Fenced orders were refused, because a newer holder has given an order.
	Fenced
	// Elsewhere means that another instance has the address.
	Elsewhere
	// Unclear orders got another answer, or none: they may be carried out later.
	Unclear
)

func (a Acceptance) String() string {
	return [...]string{"accepted", "held", "changed", "fenced", "elsewhere", "unclear"}[a]
}

// EngineCalls are the calls to engines.
type EngineCalls interface {
	Report(ctx context.Context, address, instance string) (Report, error)
	Order(ctx context.Context, address string, o Order) (Acceptance, error)
}

// Rejected reports an answer of an engine that cannot be used.
type Rejected struct {
	Call, Address string
	Status        int
}

func (e *Rejected) Error() string {
	return fmt.Sprintf("%s at %s was answered with status %d", e.Call, e.Address, e.Status)
}

// FailureCode implements errs.Failure.
func (e *Rejected) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *Rejected) FailureOutcome() errs.Outcome { return errs.Unknown }
