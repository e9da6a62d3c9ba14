package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/trace"

	"fuchsiaflow/balance"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/sse"
)

// eventStream is the state of one stream towards the caller over all attempts.
type eventStream struct {
	*call
	last    uint64 // id of the last event passed on
	started bool   // the head is out
	target  string
	hop     trace.Span // of the attempt that goes on
}

// stream forwards a series of events as they arrive. Where the route is resumable, a stream that
// breaks off goes on at another target after the last complete event.
func (c *call) stream(ctx context.Context) {
	s := &eventStream{call: c}
	if id, err := strconv.ParseUint(c.r.Header.Get(c.f.headers.LastEventID), 10, 64); err == nil {
		s.last = id
	}
	pick := func() (balance.Candidate, bool) { return c.pickFirst(ctx) }
	for {
		cand, ok := pick()
		pick = c.pick
		if !ok && c.sent == 0 && c.attempts > 0 && c.waitForRoom(ctx) {
			cand, ok = c.pick()
		}
		if !ok {
			s.end(ctx)
			return
		}
		c.attempts++
		if s.attempt(ctx, cand) {
			return
		}
		if ctx.Err() != nil || !c.retryable() {
			s.end(ctx)
			return
		}
	}
}

// end ends a stream that cannot go on.
func (s *eventStream) end(ctx context.Context) {
	switch {
	case s.started:
		s.finish("broken off", http.StatusOK, s.target, nil)
		panic(http.ErrAbortHandler)
	case ctx.Err() != nil:
		s.failLate()
	default:
		s.failUnserved()
	}
}

// attempt runs the stream at one target. It returns true when the request is finished.
func (s *eventStream) attempt(ctx context.Context, cand balance.Candidate) bool {
	begin := bootclock.Now()
	ctx, s.hop = s.span(ctx, cand.ID)
	req := s.request(cand.ID)
	if s.last > 0 {
		req.Header.Set(s.f.headers.LastEventID, strconv.FormatUint(s.last, 10))
	}
	resp, err := s.f.pool.Do(ctx, cand.Address, req)
	if err != nil {
		if errs.OutcomeOf(err) != errs.NotRun {
			s.sent++
		}
		s.over(cand, balance.Failed, begin, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	res := &result{target: cand.ID, resp: resp}
	if err := s.check(res, cand); err != nil || res.verdict == notRun {
		outcome := balance.Shed
		s.shed = s.shed || err == nil
		if err != nil {
			s.sent++
			outcome = balance.Failed
		}
		s.over(cand, outcome, begin, err)
		return false
	}
	s.sent++
	if resp.Status != http.StatusOK {
		return s.passWhole(cand, resp, begin)
	}
	if !s.started {
		s.started, s.target = true, cand.ID
		copyHeader(s.w.Header(), resp.Header)
		s.w.WriteHeader(resp.Status)
		s.flush()
	}
	err = s.copyEvents(resp)
	if err == nil {
		s.over(cand, balance.OK, begin, nil)
		s.finish("answered", resp.Status, cand.ID, nil)
		return true
	}
	s.over(cand, balance.Failed, begin, err)
	return false
}

// check is read without the body.
func (s *eventStream) check(res *result, cand balance.Candidate) error {
	h := s.f.headers
	s.report(cand.ID, res.resp.Header.Get(h.Load))
	switch {
	case res.resp.Header.Get(h.NotRun) != "" || res.resp.Status == http.StatusMisdirectedRequest:
		res.verdict = notRun
		return nil
	case res.resp.Header.Get(h.RequestID) != s.id:
		return &Foreign{Address: cand.Address, Want: s.id, Got: res.resp.Header.Get(h.RequestID)}
	case res.resp.Header.Get(h.Stamp) == "":
		return &Unsigned{Address: cand.Address, Status: res.resp.Status}
	}
	return nil
}

// passWhole passes on an answer that is no stream, unless another attempt may do better.
func (s *eventStream) passWhole(cand balance.Candidate, resp *httpconn.Response, begin time.Time) bool {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBody))
	failure := resp.Status >= http.StatusInternalServerError
	if err != nil || failure && s.retryable() {
		s.over(cand, balance.Failed, begin, err)
		return false
	}
	if s.started {
		s.over(cand, balance.Failed, begin, nil)
		return false
	}
	s.over(cand, balance.OK, begin, nil)
	s.deliver(s.r.Context(), &result{target: cand.ID, resp: resp, data: data, cancel: func() {}})
	return true
}

func (s *eventStream) copyEvents(resp *httpconn.Response) error {
	events := sse.NewReader(resp.Body, "")
	for {
		e, err := events.Next()
		if err == io.EOF && resp.Framed {
			return nil
		}
		if err != nil {
			if !isFailure(err) {
				err = &errs.Interrupted{Operation: "stream", Reason: err.Error()}
			}
			return err
		}
		if e.ID > 0 && e.ID <= s.last {
			continue // the caller has it
		}
		if _, err := s.w.Write(e.Raw); err != nil {
			return &errs.Interrupted{Operation: "stream to the caller", Reason: err.Error()}
		}
		if e.ID > 0 {
			s.last = e.ID
		}
		s.flush()
	}
}

func (s *eventStream) flush() { _ = http.NewResponseController(s.w).Flush() }

// over reports the end of an attempt.
func (s *eventStream) over(cand balance.Candidate, o balance.Outcome, begin time.Time, err error) {
	observe.End(s.hop, err)
	took := bootclock.Now().Sub(begin)
	s.finished(cand.ID, o, took)
	if o != balance.OK {
		s.logAttempt(&result{err: err, verdict: broken}, cand, took)
	}
}
