package forward

import (
	"fmt"

	"fuchsiaflow/errs"
)

// Foreign reports an answer that belongs to another request.
type Foreign struct{ Address, Want, Got string }

func (e *Foreign) Error() string {
	return fmt.Sprintf("answer of %s is for request %q instead of %q", e.Address, e.Got, e.Want)
}

// FailureCode implements errs.Failure.
func (e *Foreign) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *Foreign) FailureOutcome() errs.Outcome { return errs.Unknown }

// Unsigned reports an answer without the target's signature.
type Unsigned struct {
	Address string
	Status  int
}

func (e *Unsigned) Error() string {
	return fmt.Sprintf("answer of %s with status %d has no signature", e.Address, e.Status)
}

// FailureCode implements errs.Failure.
func (e *Unsigned) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *Unsigned) FailureOutcome() errs.Outcome { return errs.Unknown }
