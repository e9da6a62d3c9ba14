package consensus

import (
	"fmt"
	"time"

	"fuchsiaflow/errs"
)

// ConfChangeRefused is the error for a membership change that was rejected and not proposed.
type ConfChangeRefused struct {
	Group  string
	Change ConfChange
	Reason string
	// After is positive if the same change may be accepted after this delay.
	After time.Duration
}

func (e *ConfChangeRefused) Error() string {
	return fmt.Sprintf("membership change of %q in group %q refused: %s", e.Change.ID, e.Group, e.Reason)
}

// FailureCode implements errs.Failure.
func (e *ConfChangeRefused) FailureCode() errs.Code { return errs.CodeConflict }

// FailureOutcome implements errs.Failure.
func (e *ConfChangeRefused) FailureOutcome() errs.Outcome { return errs.NotRun }

// RetryAfter implements errs.Retryable.
func (e *ConfChangeRefused) RetryAfter() time.Duration { return e.After }

// refuseTemporarily returns an error for a change that may be accepted later.
func (n *Node) refuseTemporarily(c ConfChange, reason string) error {
	return &ConfChangeRefused{Group: n.cfg.Group, Change: c, Reason: reason, After: n.cfg.ElectionTimeout}
}

func (n *Node) refuse(c ConfChange, reason string) error {
	return &ConfChangeRefused{Group: n.cfg.Group, Change: c, Reason: reason}
}
