package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

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
	// silenceTimeout is the pause after which a run counts as broken. Events of a full engine
	// come about every 50 ms, of one that is four times slower every 200 ms.
	silenceTimeout = 900 * time.Millisecond
	// firstTimeout is the same for the first event, which waits for the prompt and, when the
	// memory of the engine is full, for other runs.
	firstTimeout = 1500 * time.Millisecond
	// minDeadline is the least time that an engine is given.
	minDeadline = 5 * time.Second
)

// partial is the text of an item so far. While a run goes on, its goroutine appends to it and the
// duty commits what is there.
type partial struct {
	mu       sync.Mutex
	text     []byte
	last     uint64 // id of the last event
	events   int
	versions []uint64 // in rising order
	// stored is the length of the text that is committed as the item's text so far.
	stored int
	// storedEvents is the number of events up to which a commit was tried.
	storedEvents int
	at           time.Time
}

// remaining estimates the output tokens that are still to come. Text beyond the estimate means
// that the item is one of the long ones.
func (p *partial) remaining(hint int) int {
	const tokensPerEvent = 43 // typical; only the order of the estimates matters
	made := p.events * tokensPerEvent
	if left := hint - made; left > tokensPerEvent {
		return left
	}
	return max(made/2, tokensPerEvent)
}

// only returns the version to which a continuation is bound, or 0.
func (p *partial) only(j *openJob) uint64 {
	if j.SingleVersion && len(p.versions) == 1 {
		return p.versions[0]
	}
	return 0
}

// usablePartial returns the stored text of an item if a result of the job may contain it.
func (r *Runner) usablePartial(j *openJob, item string) *partial {
	p := r.partials[item]
	if p == nil || p.events == 0 || !j.Fits(p.versions) {
		return nil
	}
	return p
}

// textFor returns the text that a run goes on from; an empty one when it starts from the beginning.
func (r *Runner) textFor(j *openJob, t *schedule.Task) *partial {
	p := r.usablePartial(j, t.Item)
	if p == nil || p.only(j) != t.PinnedVersion {
		return &partial{}
	}
	return p
}

// run is one item at one engine.
type run struct {
	key     schedule.Key
	engine  string
	cancel  context.CancelFunc
	reason  string // why the duty stopped it
	x       *itemRun
	storing bool // a part of the text is being committed
}

// ended is how a run ended.
type ended struct {
	outcome schedule.Outcome
	whole   bool // the text is complete
	status  int
	version uint64 // the newest that the engine reported
	gap     time.Duration
	err     error
}

// start runs an assignment in a duty of its own.
func (r *Runner) start(now time.Time, a schedule.Assignment) {
	key := a.Task.Key()
	j := r.jobs[key.Job]
	t, known := r.o.View.Target(a.Engine)
	if j == nil || j.items[key.Item] == nil || !known {
		r.sched.RemoveTask(key)
		return
	}
	p := r.textFor(j, &a.Task)
	delete(r.partials, key.Item)
	r.metrics.wait.Observe(now.Sub(j.items[key.Item].since).Seconds())
	ctx, cancel := context.WithCancel(r.ctx)
	x := &itemRun{headers: r.o.Headers, pool: r.pool, job: j, item: j.items[key.Item].Item, target: t.ID, address: t.Address, text: p,
		deadline: max(j.deadline.Sub(now), minDeadline)}
	rn := &run{key: key, engine: a.Engine, cancel: cancel, x: x}
	r.runs[key] = rn
	term, from := r.term, p.events
	r.kern.Go("runner/run", func(context.Context) error {
		ctx, span := r.o.Tracing.ClientSpan(ctx, "run item", attribute.String("job", key.Job), attribute.String("item", key.Item),
			attribute.String("target", t.ID))
		e := x.run(ctx)
		observe.End(span, e.err)
		cancel()
		r.post(term, func(now time.Time) { r.over(now, rn, x, e, from) })
		return nil
	})
}

func (r *Runner) stopRun(key schedule.Key, reason string) {
	if rn := r.runs[key]; rn != nil && rn.reason == "" {
		rn.reason = reason
		rn.cancel()
	}
}

// over takes in the end of a run.
func (r *Runner) over(now time.Time, rn *run, x *itemRun, e ended, from int) {
	if r.runs[rn.key] != rn {
		return
	}
	delete(r.runs, rn.key)
	x.text.at = now
	if e.version > 0 {
		r.sched.RecordLoaded(now, rn.engine, x.job.Model, e.version)
	}
	if rn.reason != "" && !e.whole {
		e.outcome = schedule.Stopped
	}
	r.logRun(rn, x, e, from)
	r.metrics.run(e.outcome)
	j := r.jobs[rn.key.Job]
	if j == nil || j.items[rn.key.Item] == nil {
		if !e.whole {
			r.partials[rn.key.Item] = x.text
		}
		return
	}
	if e.whole && j.Fits(x.text.versions) {
		r.sched.EndRun(now, rn.key, schedule.Finished, 0, 0)
		r.listText(j, rn.key.Item, x.text, x.text.stored)
		return
	}
	r.goOn(now, j, rn.key, x, e)
}

// goOn decides about an item whose run did not end with its whole text.
func (r *Runner) goOn(now time.Time, j *openJob, key schedule.Key, x *itemRun, e ended) {
	it := j.items[key.Item]
	switch {
	case e.status == http.StatusUnprocessableEntity:
		r.terminate(key, "the engine cannot do it")
		return
	case e.outcome == schedule.Failed:
		it.failures++
		if it.failures >= r.maxAttempts(j) {
			r.terminate(key, "failed too often")
			return
		}
	}
	r.partials[key.Item] = x.text
	it.since = now
	size, only := 0, uint64(0)
	if p := r.usablePartial(j, key.Item); p != nil {
		size, only = p.remaining(it.Hint), p.only(j)
	} else {
		delete(r.partials, key.Item)
	}
	r.sched.EndRun(now, key, e.outcome, size, only)
}

func (r *Runner) maxAttempts(j *openJob) int {
	if table := r.o.View.Table(); table != nil {
		if route, ok := table.Match(j.Host, j.Path); ok {
			return route.AttemptLimit()
		}
	}
	return 1
}

// listText commits the text of an item as a result, from the part on that is not committed yet.
// A replica whose stored part is another refuses it; the result is then committed whole.
func (r *Runner) listText(j *openJob, item string, p *partial, from int) {
	result := jobs.Result{ID: item, State: jobs.Completed, Text: jobs.NewText(p.text[from:]), Versions: p.versions}
	r.propose(&storestate.Command{Finish: &storestate.Finish{Job: j.ID, Result: result, From: from}},
		func(now time.Time, reply storestate.Reply) {
			if !reply.Changed && from > 0 {
				r.listText(j, item, p, 0)
				return
			}
			r.listed(now, j, result, reply)
		})
}

// list commits a result without a text.
func (r *Runner) list(j *openJob, result jobs.Result) {
	r.propose(&storestate.Command{Finish: &storestate.Finish{Job: j.ID, Result: result}},
		func(now time.Time, reply storestate.Reply) { r.listed(now, j, result, reply) })
}

func (r *Runner) listed(now time.Time, j *openJob, result jobs.Result, reply storestate.Reply) {
	delete(j.items, result.ID)
	r.o.Log.Info("item listed", "job", j.ID, "item", result.ID, "state", result.State, "versions", result.Versions,
		"taken", reply.Changed, "left", len(j.items), "age_ms", now.Sub(r.first[j.ID]).Milliseconds())
}

// terminate gives an item up.
func (r *Runner) terminate(key schedule.Key, reason string) {
	j := r.jobs[key.Job]
	if j == nil || j.items[key.Item] == nil {
		return
	}
	r.stopRun(key, "given up")
	delete(r.runs, key)
	r.sched.RemoveTask(key)
	delete(j.items, key.Item)
	r.o.Log.Warn("item given up", "job", key.Job, "item", key.Item, "reason", reason)
	r.list(j, jobs.Result{ID: key.Item, State: jobs.Terminated})
}

func (r *Runner) logRun(rn *run, x *itemRun, e ended, from int) {
	args := []any{"job", rn.key.Job, "item", rn.key.Item, "engine", rn.engine, "outcome", outcomeName(e.outcome), "whole", e.whole,
		"status", e.status, "resumed_at", from, "events", x.text.events, "versions", x.text.versions, "gap_ms", e.gap.Milliseconds()}
	if rn.reason != "" {
		args = append(args, "reason", rn.reason)
	}
	if e.err != nil {
		args = append(args, "error", e.err.Error())
	}
	r.o.Log.Info("run ended", args...)
}

func outcomeName(o schedule.Outcome) string {
	return [...]string{"finished", "refused", "broken", "stopped", "failed"}[o]
}

// sortTasks gives the tasks a stable order; they come from a map.
func sortTasks(tasks []schedule.Task) []schedule.Task {
	slices.SortFunc(tasks, func(a, b schedule.Task) int { return strings.Compare(a.Group+" "+a.Item, b.Group+" "+b.Item) })
	return tasks
}

// itemRun streams one item from one engine. It belongs to one goroutine until it ends.
type itemRun struct {
	headers  dialect.Headers
	pool     *httpconn.Pool
	job      *openJob
	item     jobs.Item
	target   string
	address  string
	deadline time.Duration
	text     *partial
	version  uint64 // current
	begin    time.Time
	got      int // events of this run
	lastGot  time.Time
	firstGot time.Time
	// sampled and sampledAt are got and lastGot at the last measurement of the speed.
	sampled   int
	sampledAt time.Time
}

func (x *itemRun) request() *httpconn.Request {
	h := make(http.Header, len(x.item.Headers)+4)
	for name, value := range x.item.Headers {
		h.Set(name, value)
	}
	h.Set(x.headers.RequestID, x.item.ID)
	h.Set(x.headers.Expect, x.target)
	h.Set(x.headers.Deadline, strconv.FormatInt(x.deadline.Milliseconds(), 10))
	if x.text.last > 0 {
		h.Set(x.headers.LastEventID, strconv.FormatUint(x.text.last, 10))
	}
	return &httpconn.Request{Method: http.MethodPost, Target: x.item.Path, Host: x.job.Host, Header: h,
		Body: bytes.NewReader(x.item.Body), Length: int64(len(x.item.Body))}
}

// run streams the item until it is whole, breaks off or ctx ends.
func (x *itemRun) run(ctx context.Context) ended {
	x.begin = bootclock.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(firstTimeout, cancel)
	defer silence.Stop()
	resp, err := x.pool.Do(ctx, x.address, x.request())
	if err != nil {
		return ended{outcome: schedule.Broken, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if e, ok := x.check(resp); !ok {
		return e
	}
	whole, err := x.read(resp, silence)
	e := ended{status: resp.Status, version: x.version, whole: whole, err: err, outcome: schedule.Broken}
	if whole {
		e.outcome = schedule.Finished
	}
	if x.got > 1 {
		e.gap = x.lastGot.Sub(x.firstGot) / time.Duration(x.got-1)
	}
	return e
}

// check looks at the head of the answer. ok is false when there is no stream to read.
func (x *itemRun) check(resp *httpconn.Response) (e ended, ok bool) {
	e = ended{status: resp.Status, outcome: schedule.Broken}
	if got := resp.Header.Get(x.headers.RequestID); got != "" && got != x.item.ID {
		e.err = &errs.Corrupt{What: "answer of engine " + x.target, Detail: "it belongs to request " + got}
		return e, false
	}
	switch {
	case resp.Status == http.StatusMisdirectedRequest, resp.Status == http.StatusOK && resp.Header.Get(x.headers.NotRun) == "":
	case resp.Header.Get(x.headers.NotRun) != "":
		e.outcome = schedule.Refused
	case resp.Status == http.StatusInternalServerError, resp.Status == http.StatusUnprocessableEntity:
		e.outcome = schedule.Failed
	}
	if resp.Status != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBody)) // frees the connection
		e.err = &dialect.Rejected{Call: "item", Address: x.address, Status: resp.Status}
		return e, false
	}
	v, err := strconv.ParseUint(resp.Header.Get(x.headers.Versions), 10, 64)
	if err != nil && x.job.Model != "" {
		e.err = &errs.Corrupt{What: "answer of engine " + x.target, Detail: "it names no weight version"}
		return e, false
	}
	x.version = v
	return e, true
}

// maxErrorBody bounds the body of a failure that is read for its connection's sake, in bytes.
const maxErrorBody = 16 << 10

// read takes in events until the stream ends. It reports whether the text is whole.
func (x *itemRun) read(resp *httpconn.Response, silence *time.Timer) (whole bool, err error) {
	events := sse.NewReader(resp.Body, x.headers.VersionField)
	for {
		ev, err := events.Next()
		if err == io.EOF && resp.Framed {
			return x.text.events > 0, nil
		}
		if err != nil {
			return false, &errs.Interrupted{Operation: "stream of engine " + x.target, Reason: err.Error()}
		}
		silence.Reset(silenceTimeout)
		if ev.Extra != "" {
			v, err := strconv.ParseUint(ev.Extra, 10, 64)
			if err != nil {
				return false, &errs.Corrupt{What: "event of engine " + x.target, Detail: "weight version " + strconv.Quote(ev.Extra)}
			}
			x.version = v
		}
		if ev.ID != x.text.last+1 {
			return false, &errs.Corrupt{What: "stream of engine " + x.target,
				Detail: "event " + strconv.FormatUint(ev.ID, 10) + " follows event " + strconv.FormatUint(x.text.last, 10)}
		}
		x.take(ev)
		if !x.job.Fits(x.text.versions) {
			return false, &errs.Conflict{Kind: "item", ID: x.item.ID, Have: "a bound on weight versions",
				Got: "version " + strconv.FormatUint(x.version, 10)}
		}
	}
}

func (x *itemRun) take(ev sse.Event) {
	now := bootclock.Now()
	x.text.mu.Lock()
	defer x.text.mu.Unlock()
	if x.got == 0 {
		x.firstGot = now
	}
	x.got++
	x.lastGot = now
	t := x.text
	if t.events > 0 {
		t.text = append(t.text, '\n')
	}
	t.text = append(t.text, ev.Data...)
	t.last = ev.ID
	t.events++
	if x.version > 0 && !slices.Contains(t.versions, x.version) {
		t.versions = slices.Sorted(slices.Values(append(slices.Clone(t.versions), x.version)))
	}
}
