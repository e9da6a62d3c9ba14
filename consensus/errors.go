package consensus

import (
	"fmt"

	"fuchsiaflow/errs"
)

// ConfChangeRefused reports a membership change that was not proposed.
type ConfChangeRefused struct {
	Group  string
	Change ConfChange
	Reason string
}

func (e *ConfChangeRefused) Error() string {
	return fmt.Sprintf("membership change of %q in group %q refused: %s", e.Change.ID, e.Group, e.Reason)
}

// FailureCode implements errs.Failure.
func (e *ConfChangeRefused) FailureCode() errs.Code { return errs.CodeConflict }

// FailureOutcome implements errs.Failure.
func (e *ConfChangeRefused) FailureOutcome() errs.Outcome { return errs.NotRun }

func (n *Node) refuse(c ConfChange, reason string) error {
	return &ConfChangeRefused{Group: n.cfg.Group, Change: c, Reason: reason}
}
