package runner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/sse"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
	"fuchsiaflow/schedule"
)

const (
	// eventTimeout is the time without an event after which a run is aborted. A fully loaded
	// engine sends an event about every 50 ms, one that is four times slower every 200 ms.
	eventTimeout = 900 * time.Millisecond
	// firstEventTimeout bounds the time to the first event, which includes prompt processing and,
	// if the engine's memory is full, waiting for other runs.
	firstEventTimeout = 1500 * time.Millisecond
	// minRunDeadline is the minimum deadline that is sent to an engine.
	minRunDeadline = 5 * time.Second
	// maxTextBytes is the maximum length of the text of an item. A page of results holds 1 MB.
	maxTextBytes = 1 << 20
)

// partialText is the text that was generated for an item so far. During a run, the goroutine of the run
// appends to it while the runner's loop commits it; mu guards it then.
type partialText struct {
	mu          sync.Mutex
	text        []byte
	lastEventID uint64 // ID of the last event, 0 before the first
	eventCount  int
	versions    []uint64 // weight versions that generated the text, ascending
	// committed is the length of the committed prefix of the text, in bytes.
	committed int
	// proposedEvents is the number of events included in the last proposal.
	proposedEvents int
	// complete is set when the text is whole, and completeCommitted when that is committed.
	complete, completeCommitted bool
	updatedAt                   time.Time // end of the last run, or load from the committed state
}

// remainingTokens estimates the number of output tokens still to be generated. If the text already
// reaches the client's estimate, the item is a long one, and half of its present length is assumed.
func (p *partialText) remainingTokens(estimate int) int {
	const tokensPerEvent = 43 // typical value; only the relative order of the estimates matters
	generated := p.eventCount * tokensPerEvent
	if left := estimate - generated; left > tokensPerEvent {
		return left
	}
	return max(generated/2, tokensPerEvent)
}

// requiredVersion returns the weight version that a resumed run must use, or 0 for any.
func (p *partialText) requiredVersion(j *openJob) uint64 {
	if j.SingleVersion && len(p.versions) == 1 {
		return p.versions[0]
	}
	return 0
}

// usablePartial returns the partial text of an item, or nil if there is none or its weight versions
// are not allowed in a result of the job.
func (r *Runner) usablePartial(j *openJob, item string) *partialText {
	p := r.partials[item]
	if p == nil || p.eventCount == 0 || !j.AllowsVersions(p.versions) {
		return nil
	}
	return p
}

// partialFor returns the text from which a run resumes, or an empty one if it starts from the
// beginning.
func (r *Runner) partialFor(j *openJob, t *schedule.Task) *partialText {
	p := r.usablePartial(j, t.Item)
	if p == nil || p.requiredVersion(j) != t.PinnedVersion {
		return &partialText{}
	}
	return p
}

// activeRun is the record of one run in the runner's loop. Its itemRun is executed in the run's own
// goroutine.
type activeRun struct {
	key        schedule.Key
	engine     string
	cancel     context.CancelFunc
	stopReason string // why the runner stopped it; empty if it did not
	itemRun    *itemRun
	committing bool // a proposal of a part of the text is pending
}

// runResult describes the end of a run.
type runResult struct {
	outcome  schedule.Outcome
	complete bool          // the text is complete
	status   int           // HTTP status of the engine, 0 without an answer
	version  uint64        // last weight version that the engine reported, 0 if none
	eventGap time.Duration // average time between events
	err      error
}

// startRun runs an assignment in its own goroutine.
func (r *Runner) startRun(now time.Time, a schedule.Assignment) {
	key := a.Task.Key()
	j := r.jobs[key.Job]
	t, known := r.opts.View.Target(a.Engine)
	if j == nil || j.items[key.Item] == nil || !known {
		r.sched.RemoveTask(key)
		return
	}
	p := r.partialFor(j, &a.Task)
	delete(r.partials, key.Item)
	r.metrics.itemWaitTime.Observe(now.Sub(j.items[key.Item].waitingSince).Seconds())
	ctx, cancel := context.WithCancel(r.ctx)
	ir := &itemRun{headers: r.opts.Headers, pool: r.pool, job: j, item: j.items[key.Item].Item, target: t.ID, address: t.Address, output: p,
		deadline: max(j.deadline.Sub(now), minRunDeadline)}
	rn := &activeRun{key: key, engine: a.Engine, cancel: cancel, itemRun: ir}
	r.runs[key] = rn
	term, resumedEvents := r.term, p.eventCount
	r.opts.Log.Info("run started", "job", key.Job, "item", key.Item, "engine", a.Engine, "resumed_at", resumedEvents, "version", t.Weights[j.Model],
		"waited_ms", now.Sub(j.items[key.Item].waitingSince).Milliseconds())
	r.kernel.Go("runner/run", func(context.Context) error {
		ctx, span := r.opts.Tracing.StartClientSpan(ctx, "run item", attribute.String("job", key.Job), attribute.String("item", key.Item),
			attribute.String("target", t.ID))
		res := ir.run(ctx)
		observe.EndSpan(span, res.err)
		cancel()
		r.enqueue(term, func(now time.Time) { r.handleRunEnd(now, rn, ir, res, resumedEvents) })
		return nil
	})
}

// stopRun cancels a run. The first reason is kept for the log.
func (r *Runner) stopRun(key schedule.Key, reason string) {
	if rn := r.runs[key]; rn != nil && rn.stopReason == "" {
		rn.stopReason = reason
		rn.cancel()
	}
}

// handleRunEnd processes the end of a run. resumedEvents is the number of events that the text had when
// the run started.
func (r *Runner) handleRunEnd(now time.Time, rn *activeRun, ir *itemRun, res runResult, resumedEvents int) {
	if r.runs[rn.key] != rn {
		return
	}
	delete(r.runs, rn.key)
	ir.output.updatedAt = now
	if res.version > 0 {
		r.sched.RecordLoaded(now, rn.engine, ir.job.Model, res.version)
	}
	if rn.stopReason != "" && !res.complete {
		res.outcome = schedule.Stopped
	}
	r.logRun(rn, ir, res, resumedEvents)
	r.metrics.countRun(res.outcome)
	j := r.jobs[rn.key.Job]
	ir.output.complete = res.complete
	if j == nil || j.items[rn.key.Item] == nil {
		r.partials[rn.key.Item] = ir.output
		return
	}
	if res.complete && j.AllowsVersions(ir.output.versions) {
		r.sched.EndRun(now, rn.key, schedule.Finished, 0, 0)
		r.finishText(now, j, j.items[rn.key.Item], ir.output)
		return
	}
	r.rescheduleItem(now, j, rn.key, ir, res)
}

// rescheduleItem queues an item again whose run ended without the complete text, or terminates it if
// the engine rejected it or it failed too often.
func (r *Runner) rescheduleItem(now time.Time, j *openJob, key schedule.Key, ir *itemRun, res runResult) {
	it := j.items[key.Item]
	switch {
	case res.status == http.StatusUnprocessableEntity:
		r.terminate(key, "engine cannot process the item")
		return
	case res.outcome == schedule.Failed:
		it.failures++
		if it.failures >= r.maxAttempts(j) {
			r.terminate(key, "too many failed runs")
			return
		}
	}
	r.partials[key.Item] = ir.output
	var endless *EndlessText
	if errors.As(res.err, &endless) {
		delete(r.partials, key.Item) // the item starts again from the beginning
	}
	it.waitingSince = now
	remainingTokens, requiredVersion := 0, uint64(0) // 0 keeps the scheduler's estimate
	if p := r.usablePartial(j, key.Item); p != nil {
		remainingTokens, requiredVersion = p.remainingTokens(it.ExpectedOutputTokens), p.requiredVersion(j)
	} else {
		delete(r.partials, key.Item)
	}
	r.sched.EndRun(now, key, res.outcome, remainingTokens, requiredVersion)
}

// maxAttempts returns the number of failed runs after which an item is terminated.
func (r *Runner) maxAttempts(j *openJob) int {
	if table := r.opts.View.Table(); table != nil {
		if route, ok := table.Match(j.Host, j.Path); ok {
			return route.AttemptLimit()
		}
	}
	return 1
}

// commitText commits the text of an item and its score, if it has one, as its result, sending only the
// bytes after offset from. The command is refused if the committed prefix differs; the complete text is
// then proposed instead.
func (r *Runner) commitText(j *openJob, item string, p *partialText, from int, score string) {
	result := jobs.Result{ID: item, State: jobs.Completed, Text: jobs.NewText(p.text[from:]), Versions: p.versions, Score: score}
	r.propose(&storestate.Command{FinishItem: &storestate.FinishItem{Job: j.ID, Result: result, Offset: from}},
		func(now time.Time, reply storestate.Reply) {
			if !reply.Changed && from > 0 {
				r.commitText(j, item, p, 0, score)
				return
			}
			r.resultCommitted(now, j, result, reply)
		})
}

// commitResult commits a result without text.
func (r *Runner) commitResult(j *openJob, result jobs.Result) {
	r.propose(&storestate.Command{FinishItem: &storestate.FinishItem{Job: j.ID, Result: result}},
		func(now time.Time, reply storestate.Reply) { r.resultCommitted(now, j, result, reply) })
}

// resultCommitted removes an item whose result is committed.
func (r *Runner) resultCommitted(now time.Time, j *openJob, result jobs.Result, reply storestate.Reply) {
	j.removeItem(result.ID)
	r.opts.Log.Info("item result committed", "job", j.ID, "item", result.ID, "state", result.State, "versions", result.Versions,
		"taken", reply.Changed, "left", len(j.items), "age_ms", now.Sub(r.firstSeen[j.ID]).Milliseconds())
}

// terminate stops an item and commits a terminated result for it.
func (r *Runner) terminate(key schedule.Key, reason string) {
	j := r.jobs[key.Job]
	if j == nil || j.items[key.Item] == nil {
		return
	}
	r.stopRun(key, "item terminated")
	delete(r.runs, key)
	r.sched.RemoveTask(key)
	r.stopScoring(key)
	j.removeItem(key.Item)
	r.opts.Log.Warn("item terminated", "job", key.Job, "item", key.Item, "reason", reason)
	r.commitResult(j, jobs.Result{ID: key.Item, State: jobs.Terminated})
}

// logRun logs the end of a run. resumedEvents is the number of events that the text had when the run
// started.
func (r *Runner) logRun(rn *activeRun, ir *itemRun, res runResult, resumedEvents int) {
	args := []any{"job", rn.key.Job, "item", rn.key.Item, "engine", rn.engine, "outcome", outcomeName(res.outcome), "whole", res.complete,
		"status", res.status, "resumed_at", resumedEvents, "events", ir.output.eventCount, "versions", ir.output.versions, "gap_ms", res.eventGap.Milliseconds()}
	if rn.stopReason != "" {
		args = append(args, "reason", rn.stopReason)
	}
	if res.err != nil {
		args = append(args, "error", res.err.Error())
	}
	r.opts.Log.Info("run ended", args...)
}

func outcomeName(o schedule.Outcome) string {
	return [...]string{"finished", "refused", "broken", "stopped", "failed"}[o]
}

// sortTasks sorts tasks by group and item, because they were collected in map order.
func sortTasks(tasks []schedule.Task) []schedule.Task {
	slices.SortFunc(tasks, func(a, b schedule.Task) int { return strings.Compare(a.Group+" "+a.Item, b.Group+" "+b.Item) })
	return tasks
}

// itemRun streams one item from one engine. While it runs, output.mu guards output and the fields
// from eventCount on; all other fields belong to its goroutine.
type itemRun struct {
	headers      dialect.Headers
	pool         *httpconn.Pool
	job          *openJob
	item         jobs.Item
	target       string
	address      string
	deadline     time.Duration
	output       *partialText
	version      uint64 // weight version of the next event
	startedAt    time.Time
	eventCount   int // events received in this run
	lastEventAt  time.Time
	firstEventAt time.Time
	// sampledCount and sampledAt are eventCount and lastEventAt at the last speed sample.
	sampledCount int
	sampledAt    time.Time
}

// newRequest builds the request for the engine. It resumes after the last event of the text, if any.
func (ir *itemRun) newRequest() *httpconn.Request {
	h := make(http.Header, len(ir.item.Headers)+4)
	for name, value := range ir.item.Headers {
		h.Set(name, value)
	}
	h.Set(ir.headers.RequestID, ir.item.ID)
	h.Set(ir.headers.ExpectedInstance, ir.target)
	h.Set(ir.headers.Deadline, strconv.FormatInt(ir.deadline.Milliseconds(), 10))
	if ir.output.lastEventID > 0 {
		h.Set(ir.headers.LastEventID, strconv.FormatUint(ir.output.lastEventID, 10))
	}
	return &httpconn.Request{Method: http.MethodPost, RequestURI: ir.item.Path, Host: ir.job.Host, Header: h,
		Body: bytes.NewReader(ir.item.Body), ContentLength: int64(len(ir.item.Body))}
}

// run streams the item until it is complete, the stream is interrupted or ctx is done.
func (ir *itemRun) run(ctx context.Context) runResult {
	ir.startedAt = bootclock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(firstEventTimeout, cancel)
	defer timeout.Stop()
	resp, err := ir.pool.Do(ctx, ir.address, ir.newRequest())
	if err != nil {
		return runResult{outcome: schedule.Broken, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if res, ok := ir.checkHeader(resp); !ok {
		return res
	}
	complete, err := ir.readEvents(resp, timeout)
	res := runResult{status: resp.StatusCode, version: ir.version, complete: complete, err: err, outcome: schedule.Broken}
	if complete {
		res.outcome = schedule.Finished
	}
	if ir.eventCount > 1 {
		res.eventGap = ir.lastEventAt.Sub(ir.firstEventAt) / time.Duration(ir.eventCount-1)
	}
	return res
}

// checkHeader checks the status and headers of the response. ok is false if there is no stream to read.
func (ir *itemRun) checkHeader(resp *httpconn.Response) (res runResult, ok bool) {
	res = runResult{status: resp.StatusCode, outcome: schedule.Broken}
	if got := resp.Header.Get(ir.headers.RequestID); got != "" && got != ir.item.ID {
		res.err = &errs.Corrupt{What: "response from engine " + ir.target, Detail: "request ID is " + got}
		return res, false
	}
	switch {
	// 421 means that another instance uses the address now, so the run counts as broken even if the
	// response says that the item was not run.
	case resp.StatusCode == http.StatusMisdirectedRequest, resp.StatusCode == http.StatusOK && resp.Header.Get(ir.headers.NotRun) == "":
	case resp.Header.Get(ir.headers.NotRun) != "":
		res.outcome = schedule.Refused
	case resp.StatusCode == http.StatusInternalServerError, resp.StatusCode == http.StatusUnprocessableEntity:
		res.outcome = schedule.Failed
	}
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBody)) // lets the connection be reused
		res.err = &dialect.UnexpectedResponse{Call: "item", Address: ir.address, Status: resp.StatusCode}
		return res, false
	}
	v, err := strconv.ParseUint(resp.Header.Get(ir.headers.WeightVersion), 10, 64)
	if err != nil && ir.job.Model != "" {
		res.err = &errs.Corrupt{What: "response from engine " + ir.target, Detail: "weight version is missing or invalid"}
		return res, false
	}
	ir.version = v
	return res, true
}

// maxErrorBody is the maximum number of bytes of an error response that are read to reuse the
// connection.
const maxErrorBody = 16 << 10

// readEvents appends events to the text until the stream ends. It reports whether the text is complete.
// Without framing the end of the body cannot be told from a lost connection, so the text is then
// incomplete.
func (ir *itemRun) readEvents(resp *httpconn.Response, timeout *time.Timer) (complete bool, err error) {
	events := sse.NewReader(resp.Body, ir.headers.WeightVersionField)
	for {
		ev, err := events.Next()
		if err == io.EOF && resp.Framed {
			return ir.output.eventCount > 0, nil
		}
		if err != nil {
			return false, &errs.Interrupted{Operation: "stream from engine " + ir.target, Reason: err.Error()}
		}
		timeout.Reset(eventTimeout)
		if ev.Extra != "" {
			v, err := strconv.ParseUint(ev.Extra, 10, 64)
			if err != nil {
				return false, &errs.Corrupt{What: "event from engine " + ir.target, Detail: "weight version " + strconv.Quote(ev.Extra)}
			}
			ir.version = v
		}
		if ev.ID != ir.output.lastEventID+1 {
			return false, &errs.Corrupt{What: "stream from engine " + ir.target,
				Detail: "event " + strconv.FormatUint(ev.ID, 10) + " follows event " + strconv.FormatUint(ir.output.lastEventID, 10)}
		}
		ir.appendEvent(ev)
		if err := ir.checkTextSize(); err != nil {
			return false, err
		}
		if !ir.job.AllowsVersions(ir.output.versions) {
			return false, &errs.Conflict{Kind: "item", ID: ir.item.ID, Stored: "a minimum or single weight version",
				Received: "version " + strconv.FormatUint(ir.version, 10)}
		}
	}
}

// checkTextSize returns EndlessText if the text is longer than the item can produce: each event has at
// least one token.
func (ir *itemRun) checkTextSize() error {
	outputTokens := ir.item.MaxTotalTokens - ir.item.PromptTokens
	tooMany := outputTokens > 0 && ir.output.eventCount > outputTokens
	if !tooMany && len(ir.output.text) <= maxTextBytes {
		return nil
	}
	return &EndlessText{Engine: ir.target, Item: ir.item.ID, Events: ir.output.eventCount, Bytes: len(ir.output.text)}
}

// EndlessText reports an engine that sends more events than an item can have. None of them can be trusted.
type EndlessText struct {
	Engine, Item  string
	Events, Bytes int
}

func (e *EndlessText) Error() string {
	return fmt.Sprintf("engine %s sent %d events with %d bytes, more than item %s can have", e.Engine, e.Events, e.Bytes, e.Item)
}

// FailureCode implements errs.Failure.
func (e *EndlessText) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *EndlessText) FailureOutcome() errs.Outcome { return errs.Unknown }

// appendEvent appends an event to the text and counts it.
func (ir *itemRun) appendEvent(ev sse.Event) {
	now := bootclock.Now()
	ir.output.mu.Lock()
	defer ir.output.mu.Unlock()
	if ir.eventCount == 0 {
		ir.firstEventAt = now
	}
	ir.eventCount++
	ir.lastEventAt = now
	p := ir.output
	if p.eventCount > 0 {
		p.text = append(p.text, '\n')
	}
	p.text = append(p.text, ev.Data...)
	p.lastEventID = ev.ID
	p.eventCount++
	if ir.version > 0 && !slices.Contains(p.versions, ir.version) {
		p.versions = slices.Sorted(slices.Values(append(slices.Clone(p.versions), ir.version)))
	}
}
