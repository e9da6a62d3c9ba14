package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"fuchsiaflow/balance"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/notice"
)

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// bufferedBody is the body of a request. It can be sent again only if it is complete.
type bufferedBody struct {
	buffer    buffer
	data      []byte    // first bytes of the body
	remainder io.Reader // body after data, nil if complete
	length    int64     // -1 if unknown
	complete  bool      // data is the entire body
}

// readBody buffers the body of a request up to maxBufferedBody bytes, or less if the budget is used up. If the body is
// longer, the rest is streamed from the request.
func readBody(r *http.Request, budget *bufferBudget) (*bufferedBody, error) {
	b := &bufferedBody{complete: true, buffer: buffer{budget: budget}}
	if r.Body == nil || r.ContentLength == 0 {
		return b, nil
	}
	if err := b.buffer.read(r.Body, maxBufferedBody+1); err != nil {
		b.buffer.release()
		return nil, &errs.Interrupted{Operation: "read of a request body", Reason: err.Error()}
	}
	b.data, b.length = b.buffer.data, int64(len(b.buffer.data))
	if !b.buffer.whole {
		b.remainder, b.length, b.complete = r.Body, r.ContentLength, false
	}
	return b, nil
}

// reader returns the body for one attempt, or nil if it is empty. Unless the body is complete, only the
// first reader returns all of it.
func (b *bufferedBody) reader() io.Reader {
	switch {
	case b.complete && len(b.data) == 0:
		return nil
	case b.complete:
		return bytes.NewReader(b.data)
	}
	return io.MultiReader(bytes.NewReader(b.data), b.remainder)
}

// resultKind classifies the result of an attempt.
type resultKind int

const (
	resultAnswered resultKind = iota // a response to pass on to the caller
	resultFailure                    // a response for which isFailureStatus holds, passed on if no other attempt succeeds and mayPassOn allows it
	resultNotRun                     // the target did not run the request
	resultUnknown                    // the request may have run, but there is no usable response
)

// attemptResult is the result of one attempt at a target.
type attemptResult struct {
	kind      resultKind
	by        *choice
	resp      *httpconn.Response
	buffer    buffer
	data      []byte // the body, or its first bytes if truncated
	truncated bool   // resp.Body has the bytes after data
	cancel    context.CancelFunc
	err       error
	crash     <-chan struct{} // closed when the crash of the target is reported; nil if it has not crashed
	window    uint64          // in which the attempt was sent; see usageCount
}

// close releases the resources of an attempt.
func (r *attemptResult) close() {
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
	r.buffer.release()
	r.cancel()
}

// recordFailure records what the result of an attempt without a final answer tells about the request.
func (c *call) recordFailure(res *attemptResult) {
	if res.crash != nil {
		c.suspicion.add(res.crash)
	}
	if res.kind == resultFailure && res.resp.StatusCode == http.StatusInternalServerError {
		c.serverErrors++
	}
	if res.kind == resultNotRun {
		c.possibleRuns--
		c.usage.attemptNotRun(res.window)
		c.sawRejection = c.sawRejection || res.resp != nil
	}
}

// waitForCapacity waits for fullRetryDelay and then makes all targets eligible again. It returns false
// without waiting if no target rejected the request, as when none can be reached, or if the wait would
// end after fullRetryFraction of the latency objective.
func (c *call) waitForCapacity(ctx context.Context) bool {
	if !c.sawRejection || bootclock.Now().Sub(c.startedAt)+fullRetryDelay > time.Duration(fullRetryFraction*float64(c.objective())) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(fullRetryDelay):
	}
	c.tried, c.sawRejection = nil, false
	return true
}

// attempt sends the request to one target, reads the response and reports the outcome to the balancer.
func (c *call) attempt(ctx context.Context, cancel context.CancelFunc, cand choice) *attemptResult {
	begin := bootclock.Now()
	res := c.newResult(&cand, cancel)
	resp, err := c.forwarder.pool.Do(ctx, cand.Address, c.newRequest(cand))
	if err == nil {
		res.resp = resp
		err = c.readResponse(res, cand)
	} else {
		res.kind = resultUnknown
		if errs.OutcomeOf(err) == errs.NotRun {
			res.kind = resultNotRun
		}
	}
	res.err = err
	res.crash = c.reportCrash(ctx, &cand, err)
	outcome := balance.Failed
	switch {
	case err == nil && res.kind == resultAnswered:
		outcome = balance.OK
	case err == nil && res.kind == resultNotRun && resp.StatusCode != http.StatusMisdirectedRequest, wasWithheld(err):
		outcome = balance.Shed
	case ctx.Err() != nil && c.deadline.After(bootclock.Now()):
		outcome = balance.Cancelled
	}
	c.attemptFinished(cand, outcome, bootclock.Now().Sub(begin))
	if outcome != balance.OK {
		c.logFailedAttempt(res, cand, bootclock.Now().Sub(begin))
	}
	return res
}

// wasWithheld reports whether an attempt failed because this host did not send the request on the open connection.
func wasWithheld(err error) bool {
	var failure *httpconn.RequestError
	return errors.As(err, &failure) && failure.Phase == httpconn.PhaseOpen
}

// logFailedAttempt logs an attempt that did not succeed.
func (c *call) logFailedAttempt(res *attemptResult, cand choice, took time.Duration) {
	args := []any{"request", c.id, "address", cand.Address, "warm", cand.Connected, "took_ms", took.Milliseconds(), "not_run", res.kind == resultNotRun}
	args = append(args, cand.logArgs(c.startedAt)...)
	if res.resp != nil {
		args = append(args, "status", res.resp.StatusCode, "earlier_requests", res.resp.EarlierRequests)
	}
	if res.err != nil {
		args = append(args, "error", res.err.Error())
	}
	if hasEnded(res.err) {
		args = append(args, "ended", true, "fingerprint", string(c.fingerprint()))
	}
	c.forwarder.log.Info("attempt failed", args...)
}

// checkHeader classifies the response of a target by its status and headers. The error says that it is not a
// response to the request, or not one of a target.
func (c *call) checkHeader(res *attemptResult, cand choice) error {
	h, resp := &c.forwarder.headers, res.resp
	res.kind = resultUnknown
	if err := h.CheckResponse(cand.Address, c.id, resp.StatusCode, resp.Header); err != nil {
		return err
	}
	rejected := h.IsRejection(resp.StatusCode, resp.Header)
	if !rejected && resp.Header.Get(h.ServerStamp) == "" {
		return &UnsignedResponse{Address: cand.Address, Status: resp.StatusCode}
	}
	c.reportLoad(cand.ID, resp.Header.Get(h.Load))
	notice.Record(h, c.forwarder.view, c.forwarder.log, &notice.Answer{Source: c.source, Target: cand.ID, Incarnation: cand.Incarnation, RequestID: c.id,
		Status: resp.StatusCode, Header: resp.Header})
	if rejected {
		res.kind = resultNotRun
	}
	return nil
}

// readResponse classifies the response of a target and reads its body.
func (c *call) readResponse(res *attemptResult, cand choice) error {
	if err := c.checkHeader(res, cand); err != nil || res.kind == resultNotRun {
		return err
	}
	if err := res.readBody(); err != nil {
		return err
	}
	res.kind = resultAnswered
	if isFailureStatus(res.resp.StatusCode) {
		res.kind = resultFailure
	}
	return nil
}

// isFailureStatus reports whether a response with the given status, from a target that may have run the request, is a failure of the target, so
// that another target may do better.
func isFailureStatus(status int) bool {
	return status >= http.StatusInternalServerError || dialect.PromisesNotRun(status)
}

// mayPassOn reports whether the caller may get a status from a target that may have run the request. A status that promises the
// opposite would make the caller send a request again that must not run twice.
func (c *call) mayPassOn(status int) bool {
	return c.route.Retryable() || !dialect.PromisesNotRun(status)
}

// newResult returns the result of an attempt that begins.
func (c *call) newResult(by *choice, cancel context.CancelFunc) *attemptResult {
	return &attemptResult{by: by, cancel: cancel, buffer: buffer{budget: c.forwarder.buffers}}
}

// readBody reads up to maxBufferedBody bytes of the body, or less if the budget is used up, and one more to detect a
// longer one.
func (r *attemptResult) readBody() error {
	r.buffer.optional = r.resp.ContentLength > maxBufferedBody
	err := r.buffer.read(r.resp.Body, maxBufferedBody+1)
	r.data, r.truncated = r.buffer.data, !r.buffer.whole
	return err
}

// reportLoad reports the load header of a target to the balancer. The header has the form "running,waiting,slots" or
// "running,waiting,slots,slowness", with the slowness in percent; any other value is ignored.
func (c *call) reportLoad(target, value string) {
	load, ok := parseLoad(value)
	if !ok {
		return // without a valid load, the balancer relies on the outcomes of attempts
	}
	c.forwarder.mu.Lock()
	defer c.forwarder.mu.Unlock()
	c.forwarder.balancer.RecordLoad(bootclock.Now(), target, load)
}

// parseLoad returns the load that a header states.
func parseLoad(value string) (load balance.LoadReport, ok bool) {
	fields := strings.Split(value, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return load, false
	}
	var figures [4]int
	for i, field := range fields {
		v, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil {
			return load, false
		}
		figures[i] = v
	}
	return balance.LoadReport{Running: figures[0], Waiting: figures[1], Slots: figures[2], SlownessPercent: figures[3]}, true
}

// writeResponse passes a response on to the caller. It returns AbortedResponse if an error occurs after
// the header was sent.
func (c *call) writeResponse(ctx context.Context, res *attemptResult) error {
	defer res.close()
	copyResponseHeader(c.w.Header(), res.resp.Header)
	if !res.truncated {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(res.data)))
	} else if res.resp.ContentLength >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(res.resp.ContentLength, 10))
	}
	c.w.WriteHeader(res.resp.StatusCode)
	if err := c.writeBody(ctx, res); err != nil {
		return c.abort("interrupted", res.resp.StatusCode, res.by, err)
	}
	c.clearSuspicion(res.resp.StatusCode)
	c.finish("answered", res.resp.StatusCode, res.by, nil)
	return nil
}

// isFailure reports whether an error wraps an errs.Failure.
func isFailure(err error) bool {
	var f errs.Failure
	return errors.As(err, &f)
}
