package routing

import (
	"time"

	"fuchsiaflow/errs"
)

// Kind is the class of a request.
type Kind string

// The kinds of requests. Desk requests are dispatched before samples.
const (
	Desk   Kind = "desk"
	Sample Kind = "sample"
)

// Request is one unit of work for a target. Filters may depend on Kind, Tenancy, Pool, Model
// and MinVersion only: when a request finds no target, requests of the same tenancy, model
// and version are skipped until the next call of Next.
type Request struct {
	ID         string
	Kind       Kind
	Tenancy    string
	Pool       string
	Model      string // empty for plain services
	MinVersion uint64
	// PrefixKeys are hashes of the prompt's leading blocks; key i covers blocks 0 to i.
	PrefixKeys     []uint64
	ExpectedTokens int       // expected output tokens
	Deadline       time.Time // zero means none
	// StepDeadline orders the requests of a tenancy; Deadline is used where it is zero.
	StepDeadline time.Time
	Group        string // requests of a group share a prompt
	Domain       string // failure domain of the entry host, used by PickHost
	// AvoidHosts names hosts that earlier attempts did not reach, used by PickHost.
	AvoidHosts []string
}

// Assignment states that a request is to be sent to a target now. A probe tests a target
// that is suspended.
type Assignment struct {
	RequestID string
	Target    string
	Probe     bool
}

// Refusal states that a queued request was dropped before dispatch. Err is a Failure with
// outcome not_run.
type Refusal struct {
	RequestID string
	Err       errs.Failure
}

// ResultKind is the outcome of a dispatched request.
type ResultKind string

// The kinds of results.
const (
	ResultOK        ResultKind = "ok"
	ResultFailed    ResultKind = "failed"    // the target broke off or answered with an error
	ResultTimeout   ResultKind = "timeout"   // no progress within the allowed time
	ResultRefused   ResultKind = "refused"   // the target stated that it did not start the request
	ResultCancelled ResultKind = "cancelled" // the caller ended the request
)

// Result describes how a dispatched request ended. FirstToken is the time from dispatch to
// the first token, Duration the time from dispatch to the end.
type Result struct {
	Tokens           int
	Kind             ResultKind
	TimeToFirstToken time.Duration
	Duration         time.Duration
}

// LoadReport is a load report of a target. At is when the target measured it; zero means that it
// is unknown, and the configured report lag is assumed.
type LoadReport struct {
	Running    int
	Queued     int
	MeasuredAt time.Time
}

// TargetState is what the target registry knows about a target.
type TargetState struct {
	ID          string
	Incarnation uint64
	Domain      string
	Pool        string
	Slots       int               // requests that the target runs at once; zero means unknown
	Loaded      map[string]uint64 // version of each loaded model
	Leaving     bool
	// PausePending announces that the target is about to pause for a weight swap. It then receives
	// samples, which can wait, but no desk requests.
	PausePending bool
	Load         LoadReport
}

// CacheEventKind is the kind of a cache event.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is a change of a target's prefix cache. Seq counts the events of a target; a
// jump means that events were lost.
type CacheEvent struct {
	Seq  uint64
	Kind CacheEventKind
	Keys []uint64
}

// tooLate is the refusal of a request whose deadline cannot be met.
func tooLate() *errs.Deadline {
	return &errs.Deadline{Operation: "dispatch", Result: errs.NotRun}
}
