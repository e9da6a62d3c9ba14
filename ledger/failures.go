package ledger

import (
	"fmt"
	"strconv"

	"fuchsiaflow/errs"
)

// CursorMismatch is the failure of a Fetch whose Ack is neither the last acknowledged batch nor
// the open one, or whose AckRevision is not the revision of the open batch.
type CursorMismatch struct {
	Step         string
	AckedBatch   uint64
	OpenBatch    uint64 // 0 when no batch is open
	OpenRevision uint64
	Ack          uint64
	AckRevision  uint64
}

// AckBehind reports whether Ack is older than the last acknowledged batch.
func (e *CursorMismatch) AckBehind() bool { return e.Ack < e.AckedBatch }

func (e *CursorMismatch) Error() string {
	return fmt.Sprintf("step %q: batch %d is acknowledged and batch %d revision %d is open, received ack %d revision %d",
		e.Step, e.AckedBatch, e.OpenBatch, e.OpenRevision, e.Ack, e.AckRevision)
}

// FailureCode implements errs.Failure.
func (e *CursorMismatch) FailureCode() errs.Code { return errs.CodeConflict }

// FailureOutcome implements errs.Failure.
func (e *CursorMismatch) FailureOutcome() errs.Outcome { return errs.NotRun }

// FailureDetails returns the state of the cursor, from which a client can resume.
func (e *CursorMismatch) FailureDetails() map[string]string {
	return map[string]string{
		"acknowledged": strconv.FormatUint(e.AckedBatch, 10),
		"open":         strconv.FormatUint(e.OpenBatch, 10),
		"revision":     strconv.FormatUint(e.OpenRevision, 10),
	}
}

// DeadlineNotReached is the failure of a CloseStep for an incomplete step before its deadline.
type DeadlineNotReached struct {
	Step       string
	DeadlineMs int64
	NowMs      int64
}

func (e *DeadlineNotReached) Error() string {
	return fmt.Sprintf("step %q is incomplete and its deadline is in %d ms", e.Step, e.DeadlineMs-e.NowMs)
}

// FailureCode implements errs.Failure.
func (e *DeadlineNotReached) FailureCode() errs.Code { return errs.CodeConflict }

// FailureOutcome implements errs.Failure.
func (e *DeadlineNotReached) FailureOutcome() errs.Outcome { return errs.NotRun }
