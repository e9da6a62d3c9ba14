package routing

import (
	"time"

	"fuchsiaflow/errs"
)

// Kind is the priority class of a request.
type Kind string

// The kinds of requests. Desk requests are latency-sensitive and are dispatched before samples,
// which are generated for training steps and can wait.
const (
	Desk   Kind = "desk"
	Sample Kind = "sample"
)

// Request describes a request for a target. Filters may depend only on Kind, Tenancy, Pool,
// Model and MinVersion: if Next finds no eligible target for a request, it skips all other requests
// of the same kind, tenancy, pool, model and minimum version until it is called again.
type Request struct {
	ID         string
	Kind       Kind
	Tenancy    string
	Pool       string // set of targets that may serve the request
	Model      string // empty for a service without models
	MinVersion uint64 // minimum weight version of the model
	// PrefixKeys are hashes of prefixes of the prompt: key i covers blocks 0 to i.
	PrefixKeys     []uint64
	ExpectedTokens int       // expected output tokens
	Deadline       time.Time // zero if there is none
	// StepDeadline is the deadline of the training step that the request belongs to. Requests of a
	// tenancy are ordered by it, or by Deadline if it is zero.
	StepDeadline time.Time
	Group        string // requests of the same group have the same prompt
	Domain       string // failure domain of the entry host, used by PickHost
	// AvoidHosts lists hosts that earlier attempts could not reach. It is used by PickHost.
	AvoidHosts []string
}

// Assignment tells the caller to send a request to a target now. A probe is a request that tests
// whether a suspended or silent target has recovered.
type Assignment struct {
	RequestID string
	Target    string
	Probe     bool
}

// Refusal reports that a request was dropped from the queue and not dispatched. The outcome of Err
// is not_run.
type Refusal struct {
	RequestID string
	Err       errs.Failure
}

// ResultKind is the outcome of a dispatched request.
type ResultKind string

// The kinds of results.
const (
	ResultOK        ResultKind = "ok"
	ResultFailed    ResultKind = "failed"    // the target aborted the request or returned an error
	ResultTimeout   ResultKind = "timeout"   // no progress within the time limit
	ResultRefused   ResultKind = "refused"   // the target reported that it did not start the request
	ResultCancelled ResultKind = "cancelled" // the caller cancelled the request
)

// Result describes how a dispatched request ended. TimeToFirstToken is the time from dispatch to the
// first token, and Duration is the time from dispatch to the end of the request.
type Result struct {
	Tokens           int
	Kind             ResultKind
	TimeToFirstToken time.Duration
	Duration         time.Duration
}

// LoadReport is the number of running and queued requests on a target at MeasuredAt. If MeasuredAt is
// zero, the report is assumed to be as old as Config.ReportLag.
type LoadReport struct {
	Running    int
	Queued     int
	MeasuredAt time.Time
}

// TargetState is the registered state of a target.
type TargetState struct {
	ID          string
	Incarnation uint64 // increases with each restart of the target
	Domain      string
	Pool        string
	Slots       int               // maximum number of concurrent requests; zero if unknown
	Loaded      map[string]uint64 // weight version of each loaded model
	Leaving     bool
	// PausePending is set when the target is about to pause for a weight swap. It then receives
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

// CacheEvent is a change of a target's prefix cache. Seq numbers the events of a target
// consecutively; a gap means that events were lost.
type CacheEvent struct {
	Seq  uint64
	Kind CacheEventKind
	Keys []uint64 // hashes of prefixes, as in Request.PrefixKeys
}

// deadlineError returns the error for a request that cannot meet its deadline and was not dispatched.
func deadlineError() *errs.Deadline {
	return &errs.Deadline{Operation: "dispatch", Outcome: errs.NotRun}
}
