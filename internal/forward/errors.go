package forward

import (
	"fmt"

	"fuchsiaflow/errs"
)

// MismatchedResponse reports an answer that carries the ID of another request.
type MismatchedResponse struct{ Address, Want, Got string }

func (e *MismatchedResponse) Error() string {
	return fmt.Sprintf("answer from %s is for request %q, want %q", e.Address, e.Got, e.Want)
}

// FailureCode implements errs.Failure.
func (e *MismatchedResponse) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *MismatchedResponse) FailureOutcome() errs.Outcome { return errs.Unknown }

// UnsignedResponse reports an answer without the target's server stamp.
type UnsignedResponse struct {
	Address string
	Status  int
}

func (e *UnsignedResponse) Error() string {
	return fmt.Sprintf("answer from %s with status %d has no server stamp", e.Address, e.Status)
}

// FailureCode implements errs.Failure.
func (e *UnsignedResponse) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *UnsignedResponse) FailureOutcome() errs.Outcome { return errs.Unknown }
