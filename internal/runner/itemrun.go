package runner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/forward"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/identity"
	"fuchsiaflow/internal/sse"
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

// itemRun streams one item from one engine. While it runs, output.mu guards output and the fields
// from eventCount on; all other fields belong to its goroutine.
type itemRun struct {
	headers dialect.Headers
	// hidesKey is set if no header of the item with a key, or with an account, may reach the engine, and none by which the
	// engine could take a part of the body for a further request, of any account.
	hidesKey bool
	pool     *httpconn.Pool
	job      *openJob
	item     jobs.Item
	target   string
	address  string
	// beforeSend returns an error if the target announced its departure while the connection was opened, and
	// onAnswer is called with each answer of the target to this run. Both may be nil.
	beforeSend func() error
	onAnswer   func(status int, header http.Header)
	// identities tells whether the writer of the text, and engine, are still who they were.
	identities   *identity.Checker
	engine       identity.Claim // of the engine at present
	writer       identity.Claim // of the engine since its answer began
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
	h := ir.ownHeaders()
	if ir.job.Owner != "" {
		h.Set(ir.headers.Account, ir.job.Owner)
	}
	h.Set(ir.headers.RequestID, ir.item.ID)
	h.Set(ir.headers.ExpectedInstance, ir.target)
	h.Set(ir.headers.Deadline, strconv.FormatInt(ir.deadline.Milliseconds(), 10))
	if ir.output.lastEventID > 0 {
		h.Set(ir.headers.LastEventID, strconv.FormatUint(ir.output.lastEventID, 10))
	}
	return &httpconn.Request{ID: ir.item.ID, Method: http.MethodPost, RequestURI: ir.item.Path, Host: ir.job.Host, Header: h,
		Body: bytes.NewReader(ir.item.Body), ContentLength: int64(len(ir.item.Body)), BeforeSend: ir.beforeSend}
}

// ownHeaders returns the headers that the client has given the item, as far as they may reach the engine.
func (ir *itemRun) ownHeaders() http.Header {
	h := make(http.Header, len(ir.item.Headers)+4)
	for name, value := range ir.item.Headers {
		if ir.hidesKey && ir.headers.IdentifiesCaller(name) {
			continue
		}
		h.Set(name, value)
	}
	if ir.hidesKey {
		return forward.EndToEndHeaders(h)
	}
	return h
}

// run streams the item until it is complete, the stream is interrupted or ctx is done.
func (ir *itemRun) run(ctx context.Context) runResult {
	ir.startedAt = bootclock.Now()
	if res, ok := ir.checkIdentities(ctx); !ok {
		return res
	}
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
	res := runResult{status: resp.StatusCode, version: ir.version, complete: complete, err: err, outcome: schedule.Broken, earlierRequests: resp.EarlierRequests}
	if complete {
		res.outcome = schedule.Finished
	}
	if ir.eventCount > 1 {
		res.eventGap = ir.lastEventAt.Sub(ir.firstEventAt) / time.Duration(ir.eventCount-1)
	}
	return res
}

// checkIdentities checks before a text is resumed that its last writer, and the engine, have not started anew with another
// version since they were chosen. ok is false if the run must not begin.
func (ir *itemRun) checkIdentities(ctx context.Context) (res runResult, ok bool) {
	if ir.output.lastEventID == 0 {
		return runResult{}, true
	}
	if !ir.identities.Confirms(ctx, ir.output.writer) {
		return runResult{outcome: schedule.Refused, err: &UnknownWriter{Engine: ir.output.writer.Target, Item: ir.item.ID}}, false
	}
	if !ir.identities.Confirms(ctx, ir.engine) {
		return runResult{outcome: schedule.Refused, err: &errs.Unavailable{Resource: "engine " + ir.target, Reason: "it has started anew", Outcome: errs.NotRun}}, false
	}
	return runResult{}, true
}

// UnknownWriter reports a text whose last part is of an engine that has started anew, perhaps with another version. Nobody
// can tell which version wrote it.
type UnknownWriter struct{ Engine, Item string }

func (e *UnknownWriter) Error() string {
	return fmt.Sprintf("engine %s, which wrote the last part of item %s, has started anew", e.Engine, e.Item)
}

// FailureCode implements errs.Failure.
func (e *UnknownWriter) FailureCode() errs.Code { return errs.CodeCorrupt }

// FailureOutcome implements errs.Failure.
func (e *UnknownWriter) FailureOutcome() errs.Outcome { return errs.NotRun }

// checkHeader checks the status and headers of the response. ok is false if there is no stream to read.
func (ir *itemRun) checkHeader(resp *httpconn.Response) (res runResult, ok bool) {
	res = runResult{status: resp.StatusCode, outcome: schedule.Broken, earlierRequests: resp.EarlierRequests}
	if res.err = ir.headers.CheckResponse(ir.address, ir.item.ID, resp.StatusCode, resp.Header); res.err != nil {
		return res, false
	}
	if ir.onAnswer != nil {
		ir.onAnswer(resp.StatusCode, resp.Header)
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
		ir.discardBody(resp)
		res.err = &dialect.UnexpectedResponse{Call: "item", Address: ir.address, Status: resp.StatusCode}
		return res, false
	}
	v, err := strconv.ParseUint(resp.Header.Get(ir.headers.WeightVersion), 10, 64)
	if err != nil && ir.job.Model != "" && !ir.continuesAfterEnd(resp) {
		res.err = &errs.Corrupt{What: "response from engine " + ir.target, Detail: "weight version is missing or invalid"}
		return res, false
	}
	ir.version = v
	ir.writer = ir.engine
	ir.writer.AnsweredAt = time.Now().UnixMilli()
	return res, true
}

// discardBody reads the body of an error response, so that its connection can be reused. After a response without an ID the
// connection is closed: a second copy of that response, sent late, would look like a rejection of the next item.
func (ir *itemRun) discardBody(resp *httpconn.Response) {
	if resp.Header.Get(ir.headers.RequestID) == ir.item.ID {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBody))
	}
}

// continuesAfterEnd reports whether a response without a weight version may be the answer to a run that
// resumes after the last event of a text: nothing follows, so that no version applies. readEvents rejects
// any event of such a response.
func (ir *itemRun) continuesAfterEnd(resp *httpconn.Response) bool {
	return ir.output.lastEventID > 0 && resp.Header.Get(ir.headers.WeightVersion) == "" &&
		resp.Header.Get(ir.headers.RequestID) == ir.item.ID && resp.Header.Get(ir.headers.ServerStamp) != ""
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
		if ir.version == 0 && ir.job.Model != "" {
			return false, &errs.Corrupt{What: "event from engine " + ir.target, Detail: "no weight version applies to it"}
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
	p.lastEventID, p.writer = ev.ID, ir.writer
	p.eventCount++
	if ir.version > 0 && !slices.Contains(p.versions, ir.version) {
		p.versions = slices.Sorted(slices.Values(append(slices.Clone(p.versions), ir.version)))
	}
}
