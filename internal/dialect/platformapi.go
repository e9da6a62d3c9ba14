package dialect

import (
	"context"
	"fmt"

	"fuchsiaflow/errs"
)

// DutyToken names the holder of a duty in its calls. At any time one host at most holds a duty.
type DutyToken struct {
	Holder string // name of the host
	Fence  uint64 // fencing token; it rises with each change of the holder
}

// UsageReport states how many requests of each client account began to run in a window of time.
type UsageReport struct {
	// Window is the number of the window: the time since 1970 divided by the length of a window.
	Window uint64
	Counts map[string]uint64 // by account
}

// TargetCount orders a number of targets of a service in a failure domain.
type TargetCount struct {
	Service, Domain string
	Count           int
	Spot            bool // orders targets that may be taken away; each kind is counted by itself
}

// PlatformClient calls the API of the platform on which the system runs. After an error other than CallRejected the call may
// still be executed later.
type PlatformClient interface {
	ReportUsage(ctx context.Context, by DutyToken, r UsageReport) error
	OrderTargets(ctx context.Context, by DutyToken, c TargetCount) error
}

// CallRejected reports a call that the platform did not execute and never will.
type CallRejected struct {
	Call   string
	Status int
	// Conflict is set if a newer holder has made a call on the matter, or if no target is available there now.
	Conflict bool
}

func (e *CallRejected) Error() string {
	return fmt.Sprintf("the platform rejected call %s with status %d", e.Call, e.Status)
}

// FailureCode implements errs.Failure.
func (e *CallRejected) FailureCode() errs.Code {
	if e.Conflict {
		return errs.CodeConflict
	}
	return errs.CodeOverloaded
}

// FailureOutcome implements errs.Failure.
func (e *CallRejected) FailureOutcome() errs.Outcome { return errs.NotRun }
