package forward

import (
	"fmt"

	"fuchsiaflow/errs"
)

// AbortedResponse reports that the caller got no response to a request or an incomplete one.
type AbortedResponse struct{ Request, Reason string }

func (e *AbortedResponse) Error() string {
	return fmt.Sprintf("response to request %s was aborted: %s", e.Request, e.Reason)
}

// FailureCode implements errs.Failure.
func (e *AbortedResponse) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *AbortedResponse) FailureOutcome() errs.Outcome { return errs.Unknown }

// UnsignedResponse reports a response without the signature header (dialect.Headers.Stamp) that every
// target adds.
type UnsignedResponse struct {
	Address string
	Status  int
}

func (e *UnsignedResponse) Error() string {
	return fmt.Sprintf("response from %s with status %d has no signature header", e.Address, e.Status)
}

// FailureCode implements errs.Failure.
func (e *UnsignedResponse) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *UnsignedResponse) FailureOutcome() errs.Outcome { return errs.Unknown }
