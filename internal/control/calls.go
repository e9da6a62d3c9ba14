package control

import (
	"context"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/observe"
)

// callKind names a kind of call of operators, trainers and targets in metrics.
type callKind string

const (
	callPutConfig    callKind = "put configuration"
	callReadConfig   callKind = "read configuration"
	callPutVersion   callKind = "put weight version"
	callRetire       callKind = "retire store host"
	callReadRetire   callKind = "read retirement"
	callDepartTarget callKind = "depart target"
)

// callResultOK is the result of a successful call in metrics. That of a failed one is its error code.
const callResultOK = "ok"

// Results of the redirection of a target's report in metrics.
const (
	redirectSent   = "sent"
	redirectFailed = "no store host heard"
)

// callMetrics counts the calls that the state group has to answer.
type callMetrics struct {
	results *observe.Counter
	seconds *observe.Histogram
	// redirects counts the reports of targets that this host does not record itself.
	redirects *observe.Counter
}

func newCallMetrics(m *observe.Metrics) *callMetrics {
	kind := observe.Label{Name: "call", Values: []string{string(callPutConfig), string(callReadConfig), string(callPutVersion), string(callRetire),
		string(callReadRetire), string(callDepartTarget)}}
	return &callMetrics{
		results: m.Counter("control_calls_total", "Calls of operators, trainers and leaving targets by their result: ok, or the code of the error.", kind, observe.Label{Name: "result"}),
		seconds: m.Histogram("control_call_seconds", "Time from a call to its answer.", observe.SecondsBuckets, kind),
		redirects: m.Counter("control_redirects_total", "Reports of targets that were redirected to a store host, by result.",
			observe.Label{Name: "result", Values: []string{redirectSent, redirectFailed}}),
	}
}

// controlCall is a call to the state group in progress.
type controlCall struct {
	control *Control
	kind    callKind
	caller  context.Context // ends when the caller disconnects
	begin   time.Time
}

// do runs a call with a context that ends with the caller's, and after callTimeout. A call that this host cannot serve is
// refused at once with errs.Unavailable, so that the caller tries another host.
func (c *Control) do(caller context.Context, kind callKind, run func(context.Context) error) (*controlCall, error) {
	call := &controlCall{control: c, kind: kind, caller: caller, begin: bootclock.Now()}
	if err := c.reachesGroup(); err != nil {
		return call, err
	}
	ctx, cancel := context.WithTimeout(caller, callTimeout)
	defer cancel()
	return call, run(ctx)
}

// startPeriod is the time after the start of a host in which it may not have heard the voters yet.
const startPeriod = 3 * time.Second

// reachesGroup returns errs.Unavailable if this host hears no majority of the voters, so that it can neither serve a
// call nor pass it on to a leader.
func (c *Control) reachesGroup() error {
	if c.opts.Leads() || bootclock.Now().Sub(c.started) < startPeriod || c.opts.View.QuorumAge(c.opts.SelfIP) < clusterview.IsolationAge {
		return nil
	}
	return &errs.Unavailable{Resource: "state group", Reason: "this host hears no majority of the voters", Outcome: errs.NotRun}
}

// finish counts the call and logs it: as a warning if it failed.
func (c *controlCall) finish(message string, err error, args ...any) {
	control := c.control
	took := bootclock.Now().Sub(c.begin)
	result := callResultOK
	if err != nil {
		result = string(errs.CodeOf(err))
	}
	control.metrics.results.Inc(string(c.kind), result)
	control.metrics.seconds.Observe(took.Seconds(), string(c.kind))
	leader, term := control.opts.View.Leader()
	args = append(args, "took_ms", took.Milliseconds(), "caller_gone", c.caller.Err() != nil, "leader", leader, "term", term,
		"quorum_age_ms", control.opts.View.QuorumAge(control.opts.SelfIP).Milliseconds())
	if err != nil {
		control.opts.Log.Warn(message, append(args, "error", err.Error())...)
		return
	}
	control.opts.Log.Info(message, args...)
}

// finishRead is finish for a call that changes nothing. It logs failures only.
func (c *controlCall) finishRead(message string, err error, args ...any) {
	if err != nil {
		c.finish(message, err, args...)
		return
	}
	c.control.metrics.results.Inc(string(c.kind), callResultOK)
	c.control.metrics.seconds.Observe(bootclock.Now().Sub(c.begin).Seconds(), string(c.kind))
}
