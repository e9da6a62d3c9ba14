package runner

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/identity"
	"fuchsiaflow/internal/notice"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
	"fuchsiaflow/schedule"
)

// usablePartial returns the partial text of an item, or nil if there is none or its weight versions
// are not allowed in a result of the job.
func (r *Runner) usablePartial(j *openJob, item string) *partialText {
	p := r.partials[j.ItemKey(item)]
	if p == nil || p.eventCount == 0 || !j.AllowsVersions(p.versions) {
		return nil
	}
	return p
}

// partialFor returns the text from which a run at an engine resumes, or an empty one if it starts from the
// beginning. A text goes on only at the software version that began it: what two of them write does not fit together.
func (r *Runner) partialFor(j *openJob, t *schedule.Task, engine *fleet.Target) *partialText {
	p := r.usablePartial(j, t.Item)
	if p == nil || p.requiredVersion(j) != t.PinnedVersion || p.release != engine.Release {
		return &partialText{release: engine.Release}
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
	discarded  *partialText // text that the run does not go on with; nil if there is none
	committing bool         // a proposal of a part of the text is pending
}

// text returns the text of the item after the run. A run that started from the beginning and made nothing leaves the
// text that there was.
func (rn *activeRun) text() *partialText {
	if rn.discarded != nil && rn.itemRun.output.eventCount == 0 {
		return rn.discarded
	}
	return rn.itemRun.output
}

// runResult describes the end of a run.
type runResult struct {
	outcome  schedule.Outcome
	complete bool          // the text is complete
	status   int           // HTTP status of the engine, 0 without an answer
	version  uint64        // last weight version that the engine reported, 0 if none
	eventGap time.Duration // average time between events
	// earlierRequests is the number of requests that the connection had carried before the run.
	earlierRequests int
	err             error
}

// startRun runs an assignment in its own goroutine.
func (r *Runner) startRun(now time.Time, a schedule.Assignment) {
	key := a.Task.Key()
	j := r.jobs[key.Job]
	if j == nil || j.items[key.Item] == nil {
		r.sched.RemoveTask(key)
		return
	}
	t, known := r.opts.View.Target(a.Engine)
	if !known || t.State != fleet.Ready || !r.opts.View.Accepts(t.ID, t.Incarnation) {
		r.returnTask(now, a)
		return
	}
	if err := r.admitRun(&t); err != nil { // logged with the share of the limit
		r.sched.EndRun(now, key, schedule.Stopped, 0, a.Task.PinnedVersion)
		r.sched.DelayEngine(now, a.Engine, errs.RetryAfterOf(err))
		return
	}
	itemKey := j.ItemKey(key.Item)
	discarded := r.partials[itemKey]
	p := r.partialFor(j, &a.Task, &t)
	if p == discarded {
		discarded = nil
	}
	delete(r.partials, itemKey)
	r.metrics.itemWaitTime.Observe(now.Sub(j.items[key.Item].waitingSince).Seconds())
	ctx, cancel := context.WithCancel(r.ctx)
	ir := &itemRun{headers: r.opts.Headers, hidesKey: r.hidesKey(j), pool: r.pool, job: j, item: j.items[key.Item].Item, target: t.ID, address: t.Address, output: p,
		beforeSend: func() error { return r.checkAccepts(&t) }, onAnswer: func(status int, header http.Header) { r.recordNotice(&t, key, status, header) },
		identities: r.identities, engine: identity.Claim{Target: t.ID, Incarnation: t.Incarnation, Release: t.Release},
		deadline: max(j.deadline.Sub(now), minRunDeadline)}
	rn := &activeRun{key: key, engine: a.Engine, cancel: cancel, itemRun: ir, discarded: discarded}
	r.runs[key] = rn
	term, resumedEvents := r.term, p.eventCount
	r.opts.Log.Info("run started", j.logArgs("item", key.Item, "engine", a.Engine, "resumed_at", resumedEvents, "discarded", discarded.events(), "release", t.Release, "version", t.Weights[j.Model],
		"waited_ms", now.Sub(j.items[key.Item].waitingSince).Milliseconds())...)
	r.kernel.Go("runner/run", func(context.Context) error {
		ctx, span := r.opts.Tracing.StartClientSpan(ctx, "run item", attribute.String("job", j.ID), attribute.String("item", key.Item),
			attribute.String("target", t.ID))
		res := ir.run(ctx)
		observe.EndSpan(span, res.err)
		cancel()
		r.enqueue(term, func(now time.Time) { r.handleRunEnd(now, rn, ir, res, resumedEvents) })
		return nil
	})
}

// orderDelay is how long an engine with a limit gets no run while an order waits for it.
const orderDelay = 100 * time.Millisecond

// admitRun admits a run at an engine. It returns *ratelimit.Refused if the engine states a limit that leaves no room.
// Orders come first, since runs wait for the weights.
func (r *Runner) admitRun(t *fleet.Target) error {
	if _, limited := r.opts.View.RateLimit(t.ID, t.Incarnation); limited && r.orderStates[t.ID].isPending() {
		return &ratelimit.Refused{Target: t.ID, After: orderDelay}
	}
	return r.opts.Limiter.TryAcquire(t.ID, t.Incarnation)
}

// returnTask puts a task back that was assigned to an engine that takes no more work, and has the list of engines
// updated before the next assignment.
func (r *Runner) returnTask(now time.Time, a schedule.Assignment) {
	key := a.Task.Key()
	r.sched.EndRun(now, key, schedule.Stopped, 0, a.Task.PinnedVersion)
	r.reviewedAt = time.Time{}
	r.opts.Log.Info("assignment withdrawn", r.jobs[key.Job].logArgs("item", a.Task.Item, "engine", a.Engine)...)
}

// checkAccepts returns errs.Unavailable if the engine has announced its departure.
func (r *Runner) checkAccepts(t *fleet.Target) error {
	if r.opts.View.Accepts(t.ID, t.Incarnation) {
		return nil
	}
	return &errs.Unavailable{Resource: "engine " + t.ID, Reason: "it leaves", Outcome: errs.NotRun}
}

// recordNotice records the departure notice in the answer to a run, if there is one.
func (r *Runner) recordNotice(t *fleet.Target, key schedule.Key, status int, header http.Header) {
	notice.Record(&r.opts.Headers, r.opts.View, r.opts.Log, &notice.Answer{Source: notice.SourceItem, Target: t.ID, Incarnation: t.Incarnation,
		RequestID: key.Item, Status: status, Header: header})
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
	rn.text().updatedAt = now
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
		r.partials[ir.job.ItemKey(rn.key.Item)] = rn.text()
		return
	}
	if res.complete && j.AllowsVersions(ir.output.versions) {
		r.sched.ChargeOutput(rn.key, (ir.output.eventCount-resumedEvents)*schedule.TokensPerEvent)
		r.sched.EndRun(now, rn.key, schedule.Finished, 0, 0)
		r.finishText(now, j, j.items[rn.key.Item], ir.output)
		return
	}
	r.rescheduleItem(now, j, rn, res)
}

// rescheduleItem queues an item again whose run ended without the complete text, or terminates it if
// the engine rejected it, it failed too often, or its route was removed meanwhile.
func (r *Runner) rescheduleItem(now time.Time, j *openJob, rn *activeRun, res runResult) {
	key := rn.key
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
		r.propose(&storestate.Command{ItemFailures: &storestate.ItemFailures{Job: j.ID, Owner: j.Owner, Item: key.Item, Count: it.failures}},
			func(time.Time, storestate.Reply) {})
	}
	if table := r.opts.View.Table(); table != nil && r.serviceOf(table, key) == "" {
		r.terminate(key, "route was removed")
		return
	}
	itemKey := j.ItemKey(key.Item)
	r.partials[itemKey] = rn.text()
	if mustRestart(it, rn.itemRun, res) {
		delete(r.partials, itemKey)
	}
	it.waitingSince = now
	remainingTokens, requiredVersion, partial := 0, uint64(0), schedule.Partial{} // 0 keeps the scheduler's estimate
	if p := r.usablePartial(j, key.Item); p != nil {
		remainingTokens, requiredVersion, partial = p.remainingTokens(it.ExpectedOutputTokens), p.requiredVersion(j), p.scheduled()
	} else {
		delete(r.partials, itemKey)
	}
	r.sched.SetPartial(now, key, partial)
	r.sched.EndRun(now, key, res.outcome, remainingTokens, requiredVersion)
}

// mustRestart reports whether an item must start again from the beginning: its text is not to be trusted, or
// runs that resumed it ended maxFruitlessResumes times in a row without a new event. Otherwise a text that
// no engine can continue would make engine after engine look broken.
func mustRestart(it *openItem, ir *itemRun, res runResult) bool {
	var endless *EndlessText
	var unknown *UnknownWriter
	if errors.As(res.err, &endless) || errors.As(res.err, &unknown) {
		return true
	}
	if res.outcome != schedule.Broken || res.status != http.StatusOK || ir.eventCount > 0 || ir.output.eventCount == 0 {
		it.fruitlessResumes = 0
		return false
	}
	it.fruitlessResumes++
	return it.fruitlessResumes >= maxFruitlessResumes
}

// maxFruitlessResumes tolerates one engine that breaks off by itself.
const maxFruitlessResumes = 2

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
// bytes after the committed prefix. The command is refused if that is no longer stored; the complete text is
// then proposed instead.
func (r *Runner) commitText(j *openJob, item string, p *partialText, prefix jobs.Prefix, score string) {
	result := jobs.Result{ID: item, State: jobs.Completed, Text: jobs.NewText(p.text[prefix.Len:]), Versions: p.versions, Score: score}
	r.propose(&storestate.Command{FinishItem: &storestate.FinishItem{Job: j.ID, Owner: j.Owner, Result: result, Offset: prefix.Len, BaseRevision: prefix.Revision}},
		func(now time.Time, reply storestate.Reply) {
			if !reply.Changed && prefix.Len > 0 {
				r.commitText(j, item, p, jobs.Prefix{}, score)
				return
			}
			r.resultCommitted(now, j, result, reply)
		})
}

// commitResult commits a result without text.
func (r *Runner) commitResult(j *openJob, result jobs.Result) {
	r.propose(&storestate.Command{FinishItem: &storestate.FinishItem{Job: j.ID, Owner: j.Owner, Result: result}},
		func(now time.Time, reply storestate.Reply) { r.resultCommitted(now, j, result, reply) })
}

// resultCommitted removes an item whose result is committed.
func (r *Runner) resultCommitted(now time.Time, j *openJob, result jobs.Result, reply storestate.Reply) {
	j.removeItem(result.ID)
	r.opts.Log.Info("item result committed", j.logArgs("item", result.ID, "state", result.State, "versions", result.Versions,
		"taken", reply.Changed, "left", len(j.items), "age_ms", now.Sub(r.firstSeen[j.Key()]).Milliseconds())...)
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
	r.opts.Log.Warn("item terminated", j.logArgs("item", key.Item, "reason", reason)...)
	r.commitResult(j, jobs.Result{ID: key.Item, State: jobs.Terminated})
}

// logRun logs the end of a run. resumedEvents is the number of events that the text had when the run
// started.
func (r *Runner) logRun(rn *activeRun, ir *itemRun, res runResult, resumedEvents int) {
	args := ir.job.logArgs("item", rn.key.Item, "engine", rn.engine, "outcome", outcomeName(res.outcome), "whole", res.complete,
		"status", res.status, "resumed_at", resumedEvents, "events", ir.output.eventCount, "versions", ir.output.versions, "gap_ms", res.eventGap.Milliseconds(), "earlier_requests", res.earlierRequests)
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
