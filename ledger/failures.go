package ledger

import (
	"fmt"
	"strconv"

	"fuchsiaflow/errs"
)

// CursorMismatch reports a Fetch whose Ack names neither the last acknowledged batch nor
// the batch that is open, or whose AckRevision is not that of the open batch.
type CursorMismatch struct {
	Step         string
	Acknowledged uint64
	Open         uint64 // 0 when no batch is open
	Revision     uint64
	Ack          uint64
	AckRevision  uint64
}

// Behind reports whether the acknowledgement is older than the cursor.
func (e *CursorMismatch) Behind() bool { return e.Ack < e.Acknowledged }

func (e *CursorMismatch) Error() string {
	return fmt.Sprintf("step %q: batch %d is acknowledged and batch %d revision %d is open, received ack %d revision %d",
		e.Step, e.Acknowledged, e.Open, e.Revision, e.Ack, e.AckRevision)
}

// FailureCode implements errs.Failure.
func (e *CursorMismatch) FailureCode() errs.Code { return errs.CodeConflict }

// FailureOutcome implements errs.Failure.
func (e *CursorMismatch) FailureOutcome() errs.Outcome { return errs.NotRun }

// FailureDetails returns the cursor for clients that have to resume.
func (e *CursorMismatch) FailureDetails() map[string]string {
	return map[string]string{
		"acknowledged": strconv.FormatUint(e.Acknowledged, 10),
		"open":         strconv.FormatUint(e.Open, 10),
		"revision":     strconv.FormatUint(e.Revision, 10),
	}
}

// BeforeDeadline reports a CloseStep of an incomplete step before its deadline.
type BeforeDeadline struct {
	Step       string
	DeadlineMs int64
	NowMs      int64
}

func (e *BeforeDeadline) Error() string {
	return fmt.Sprintf("step %q is incomplete and its deadline is in %d ms", e.Step, e.DeadlineMs-e.NowMs)
}

// FailureCode implements errs.Failure.
func (e *BeforeDeadline) FailureCode() errs.Code { return errs.CodeConflict }

// FailureOutcome implements errs.Failure.
func (e *BeforeDeadline) FailureOutcome() errs.Outcome { return errs.NotRun }
