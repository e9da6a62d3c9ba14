package forward

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/trace"

	"fuchsiaflow/balance"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/sse"
)

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// eventStream is the state of a stream to a caller across all attempts.
type eventStream struct {
	*call
	lastEventID uint64     // ID of the last event passed on or already held by the caller
	unnumbered  bool       // an event without an ID was passed on, after which nobody can tell where to go on
	inDoubt     bool       // the version that made the last events is not known
	headerSent  bool       // the response header was sent to the caller
	writeFailed bool       // an event could not be sent to the caller
	by          *choice    // target whose response header was sent
	answeredAt  time.Time  // when the response of the current attempt began, by the time of day
	span        trace.Span // span of the current attempt
	// recorded is closed when the origin of the stream is stored; nil if no event waits for that.
	recorded <-chan struct{}
	// holding is what large events hold of the budget for bodies, nil before the first one; eventBytes is that of the present event.
	holding    *holding
	eventBytes int
	waitsUntil time.Time // end of the wait for a target of the version that the stream is bound to; zero if it does not wait
}

// stream forwards server-sent events as they arrive. If the route is resumable, an interrupted stream
// is resumed after the last complete event, at another target of the same software version.
func (c *call) stream(ctx context.Context) error {
	s := &eventStream{call: c}
	defer s.releaseMemory()
	if id, err := strconv.ParseUint(c.req.Header.Get(c.forwarder.headers.LastEventID), 10, 64); err == nil {
		s.lastEventID = id
	}
	if s.resumesStream() && !s.bindToOrigin(ctx) {
		return nil
	}
	for {
		cand, ok := s.nextTarget(ctx)
		if !ok {
			return s.failStream(ctx)
		}
		c.attempts++
		if finished, err := s.attempt(ctx, cand); finished {
			return err
		}
		if ctx.Err() != nil || !c.retryable() || s.unnumbered || s.inDoubt {
			return s.failStream(ctx)
		}
	}
}

// nextTarget chooses the target of the next attempt. Only the first one waits for a target during the warmup period, and
// only a stream that is bound to a version for one of that version.
func (s *eventStream) nextTarget(ctx context.Context) (choice, bool) {
	if s.attempts == 0 {
		if cand, ok := s.pickFirstTarget(ctx); ok {
			return cand, true
		}
		return s.awaitRelease(ctx)
	}
	if cand, ok := s.pickTarget(ctx); ok {
		return cand, true
	}
	if s.possibleRuns == 0 && s.waitForCapacity(ctx) {
		if cand, ok := s.pickTarget(ctx); ok {
			return cand, true
		}
	}
	return s.awaitRelease(ctx)
}

// failStream ends a stream for which no more attempts are possible. It returns AbortedResponse if the
// header was sent.
func (s *eventStream) failStream(ctx context.Context) error {
	if ctx.Err() == nil {
		s.awaitCrashReports()
	}
	switch {
	case s.headerSent:
		return s.abort("interrupted", http.StatusOK, s.by, nil)
	case ctx.Err() != nil:
		return s.failTimeout()
	case s.bound && s.possibleRuns == 0 && !s.releaseServes():
		s.refuse(retryAfterNoTarget, "no target of the version that began the stream is left; it has to begin anew")
		return nil
	}
	s.failExhausted()
	return nil
}

// attempt streams from one target. It reports whether the request is finished; err is AbortedResponse if
// its response is incomplete.
func (s *eventStream) attempt(ctx context.Context, cand choice) (finished bool, err error) {
	begin := bootclock.Now()
	ctx, s.span = s.startSpan(ctx, cand.ID)
	if s.lastEventID > 0 && s.bound && !s.confirms(&cand) {
		s.finishAttempt(cand, balance.Shed, begin, &errs.Unavailable{Resource: "target " + cand.ID, Reason: "it has started anew", Outcome: errs.NotRun})
		return false, nil
	}
	req := s.newRequest(cand)
	if s.lastEventID > 0 {
		req.Header.Set(s.forwarder.headers.LastEventID, strconv.FormatUint(s.lastEventID, 10))
	}
	resp, err := s.forwarder.pool.Do(ctx, cand.Address, req)
	if err != nil {
		if errs.OutcomeOf(err) != errs.NotRun {
			s.possibleRuns++
		}
		outcome := balance.Failed
		if wasWithheld(err) {
			outcome = balance.Shed
		}
		s.finishAttempt(cand, outcome, begin, err)
		return false, nil
	}
	defer func() { _ = resp.Body.Close() }()
	res := s.newResult(&cand, func() {})
	res.resp = resp
	if err := s.checkHeader(res, cand); err != nil || res.kind == resultNotRun {
		outcome := balance.Shed
		s.sawRejection = s.sawRejection || err == nil
		if err != nil {
			s.possibleRuns++
			outcome = balance.Failed
		}
		s.finishAttempt(cand, outcome, begin, err)
		return false, nil
	}
	s.possibleRuns++
	if resp.StatusCode != http.StatusOK {
		return s.handleNonOK(ctx, cand, resp, begin)
	}
	s.answeredAt = time.Now()
	resumes := s.headerSent
	if !resumes && resp.ContentLength >= 0 && !isEventStream(resp) {
		return s.passOnWhole(ctx, &cand, resp, begin)
	}
	if !s.headerSent {
		s.headerSent, s.by = true, &cand
		s.bindToTarget(&cand)
		copyResponseHeader(s.w.Header(), resp.Header)
		s.w.WriteHeader(resp.StatusCode)
		s.flush()
	}
	s.waitsUntil = time.Time{}
	before := s.lastEventID
	err = s.copyEvents(ctx, resp, resumes)
	if err == nil {
		s.finishAttempt(cand, balance.OK, begin, nil)
		s.clearSuspicion(resp.StatusCode)
		s.finish("answered", resp.StatusCode, &cand, nil)
		return true, nil
	}
	s.finishAttempt(cand, balance.Failed, begin, err)
	if s.lastEventID > before {
		s.checkWriter(&cand)
	}
	return false, nil
}

// isEventStream reports whether a response states that it is a stream of events.
func isEventStream(resp *httpconn.Response) bool {
	mediaType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), eventStreamType)
}

// endsAsMeant reports whether a response that ends within an event is whole all the same: its length is reached, or
// it states no stream of events, and has none. noEvent is true if it has no complete event.
func endsAsMeant(resp *httpconn.Response, noEvent bool) bool {
	return resp.ContentLength >= 0 || resp.Framed && noEvent && !isEventStream(resp)
}

// passOnWhole passes on a response whose length is known. Its results are those of attempt.
func (s *eventStream) passOnWhole(ctx context.Context, by *choice, resp *httpconn.Response, begin time.Time) (finished bool, err error) {
	res := s.newResult(by, func() {})
	res.resp = resp
	if err := res.readBody(); err != nil {
		res.buffer.release()
		s.finishAttempt(*by, balance.Failed, begin, err)
		return false, nil
	}
	s.countFirstEvent()
	s.finishAttempt(*by, balance.OK, begin, nil)
	return true, s.writeResponse(ctx, res)
}

// handleNonOK passes on a response whose status is not 200, unless it is a failure and another attempt
// is allowed, or mayPassOn forbids it. If the header of an earlier response was already sent, the status cannot be passed on and
// the attempt fails. Its results are those of attempt.
func (s *eventStream) handleNonOK(ctx context.Context, cand choice, resp *httpconn.Response, begin time.Time) (finished bool, err error) {
	res := s.newResult(&cand, func() {})
	res.resp = resp
	outcome := balance.OK
	var failure error
	if isFailureStatus(resp.StatusCode) {
		outcome, failure = balance.Failed, &dialect.UnexpectedResponse{Call: "stream", Address: cand.Address, Status: resp.StatusCode}
	}
	err = res.readBody()
	if err != nil || failure != nil && s.retryable() || !s.mayPassOn(resp.StatusCode) || s.headerSent {
		res.buffer.release()
		s.finishAttempt(cand, balance.Failed, begin, cmp.Or(err, failure))
		return false, nil
	}
	s.finishAttempt(cand, outcome, begin, failure)
	return true, s.writeResponse(ctx, res)
}

// copyEvents passes on the events of one response, except those that the caller already has. If the response
// resumes that of another target, its events must follow. Unless the response is framed, the end of the
// connection does not prove that the stream is complete.
func (s *eventStream) copyEvents(ctx context.Context, resp *httpconn.Response, resumes bool) error {
	resp.BoundReceiveBuffer() // the caller may stop reading at any time
	events := sse.NewReader(resp.Body, "")
	events.OnLarge = func() error { return s.reserveEvent(ctx) }
	for first := true; ; first = false {
		e, err := events.Next()
		if err == io.EOF && resp.Framed {
			return nil
		}
		if err == io.ErrUnexpectedEOF && !resumes && endsAsMeant(resp, first) {
			s.countFirstEvent()
			return s.write(e.Raw)
		}
		if err != nil {
			if !isFailure(err) {
				err = &errs.Interrupted{Operation: "stream", Reason: err.Error()}
			}
			return err
		}
		if e.ID > 0 && e.ID <= s.lastEventID {
			continue // already passed on
		}
		if resumes && !e.IsComment() && !s.follows(e.ID) {
			return &errs.Corrupt{What: "resumed stream", Detail: fmt.Sprintf("event %d follows event %d", e.ID, s.lastEventID)}
		}
		if !e.IsComment() {
			s.countFirstEvent()
		}
		s.awaitRecord()
		if err := s.write(e.Raw); err != nil {
			return err
		}
		if e.ID > 0 {
			s.lastEventID = e.ID
		}
		s.unnumbered = s.unnumbered || e.ID == 0 && e.HasData
	}
}

// reserveEvent waits until there is memory for a large event. The target is not read meanwhile.
func (s *eventStream) reserveEvent(ctx context.Context) error {
	if s.holding == nil {
		s.holding = s.forwarder.buffers.open(0, true, func() { endWrites(s.w) })
	}
	if s.eventBytes > 0 { // of an event that was not passed on
		return nil
	}
	for !s.holding.claim(sse.MaxHeldBytes, true) {
		if err := s.holding.isCut(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return &errs.Interrupted{Operation: "stream", Reason: ctx.Err().Error()}
		case <-time.After(claimInterval):
		}
	}
	s.eventBytes = sse.MaxHeldBytes
	return nil
}

// write sends a part of the stream to the caller.
func (s *eventStream) write(data []byte) error {
	for len(data) > 0 {
		n, err := s.w.Write(data[:min(len(data), partBytes)])
		data = data[n:]
		if s.holding != nil {
			s.holding.took(n, 0)
			if cut := s.holding.isCut(); cut != nil {
				err = cut
			}
		}
		if err != nil {
			s.writeFailed = true
			return &errs.Interrupted{Operation: "stream to the caller", Reason: err.Error()}
		}
	}
	if s.holding != nil {
		s.holding.took(0, s.eventBytes)
		s.eventBytes = 0
	}
	s.flush()
	return nil
}

// releaseMemory returns the memory of the stream.
func (s *eventStream) releaseMemory() {
	if s.holding != nil {
		s.holding.close()
	}
}

// callerHasLeft reports whether the connection to the caller is closed.
func (s *eventStream) callerHasLeft() bool { return s.writeFailed || s.req.Context().Err() != nil }

// follows reports whether the event of an ID, 0 if it has none, is the one after the last event. A caller without
// an event yet may get a first event of any ID.
func (s *eventStream) follows(id uint64) bool {
	return id == s.lastEventID+1 || s.lastEventID == 0 && id > 0
}

func (s *eventStream) flush() { _ = http.NewResponseController(s.w).Flush() }

// finishAttempt ends the span of an attempt and reports its outcome to the balancer. A target is not to blame for an
// attempt that ends because the caller has left.
func (s *eventStream) finishAttempt(cand choice, o balance.Outcome, begin time.Time, err error) {
	observe.EndSpan(s.span, err)
	if o == balance.Failed && s.callerHasLeft() {
		o = balance.Cancelled
	}
	took := bootclock.Now().Sub(begin)
	if crash := s.reportCrash(s.req.Context(), &cand, err); crash != nil {
		s.suspicion.add(crash)
	}
	s.attemptFinished(cand, o, took)
	if o != balance.OK {
		s.logFailedAttempt(&attemptResult{err: err, kind: resultUnknown}, cand, took)
	}
}
