package entry

import (
	"context"
	"time"

	"fuchsiaflow/jobs"
)

// SubmitJob stores a batch job. A timeout of 0 or more than submitTimeout is replaced by submitTimeout.
func (e *Entry) SubmitJob(ctx context.Context, j jobs.Job, timeout time.Duration) error {
	if timeout <= 0 || timeout > submitTimeout {
		timeout = submitTimeout
	}
	ctx, cancel := e.forwarder.Shutdown().Context(ctx, timeout)
	defer cancel()
	begin := time.Now()
	fresh, err := e.stateClient.SubmitJob(ctx, j)
	e.logCall("batch job submitted", err, begin, j.Key().LogArgs("model", j.Model, "step", j.TrainStep, "items", len(j.Items), "fresh", fresh)...)
	return err
}

// JobResults returns the results of a batch job after the given position. If there are none, it waits for
// up to the given time.
func (e *Entry) JobResults(ctx context.Context, caller *JobCaller, job string, after int, wait time.Duration) (jobs.Page, error) {
	key := caller.key(job)
	ctx, cancel := e.forwarder.Shutdown().Context(ctx, wait+readTimeout)
	defer cancel()
	begin := time.Now()
	page, err := e.stateClient.JobResults(ctx, key, after, maxPageBytes, wait)
	if err != nil {
		e.logCall("results read", err, begin, key.LogArgs("after", after)...)
	}
	return page, e.hideOwned(caller, err)
}

// LogUnreadableResults logs an answer that was aborted because a text in it cannot be decoded.
func (e *Entry) LogUnreadableResults(caller *JobCaller, job string, after int, err error) {
	leader, term := e.view.Leader()
	e.opts.Log.Error("results unreadable", caller.key(job).LogArgs("after", after, "leader", leader, "term", term, "error", err)...)
}

// ItemBody returns the body of an item that has no result yet.
func (e *Entry) ItemBody(ctx context.Context, caller *JobCaller, job, item string) ([]byte, error) {
	key := caller.key(job)
	ctx, cancel := e.forwarder.Shutdown().Context(ctx, readTimeout)
	defer cancel()
	begin := time.Now()
	body, err := e.stateClient.ItemBody(ctx, key, item)
	if err != nil {
		e.logCall("item body read", err, begin, key.LogArgs("item", item)...)
	}
	return body, e.hideOwned(caller, err)
}

// EndJob ends a batch job.
func (e *Entry) EndJob(ctx context.Context, caller *JobCaller, job string) error {
	key := caller.key(job)
	ctx, cancel := e.forwarder.Shutdown().Context(ctx, submitTimeout)
	defer cancel()
	begin := time.Now()
	err := e.stateClient.EndJob(ctx, key)
	e.logCall("batch job ended", err, begin, key.LogArgs()...)
	return e.hideOwned(caller, err)
}
