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
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/observe"
)

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// heldBody is the body of a request, kept for retries unless it is too long.
type heldBody struct {
	data   []byte
	rest   io.Reader
	length int64 // -1 when it is not known
	whole  bool  // data is the whole body
}

func readBody(r *http.Request) (*heldBody, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return &heldBody{whole: true}, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxHeldBody+1))
	if err != nil {
		return nil, &errs.Interrupted{Operation: "read of a request body", Reason: err.Error()}
	}
	if len(data) <= maxHeldBody {
		return &heldBody{data: data, length: int64(len(data)), whole: true}, nil
	}
	return &heldBody{data: data, rest: r.Body, length: r.ContentLength}, nil
}

func (b *heldBody) reader() io.Reader {
	switch {
	case b.whole && len(b.data) == 0:
		return nil
	case b.whole:
		return bytes.NewReader(b.data)
	}
	return io.MultiReader(bytes.NewReader(b.data), b.rest)
}

// verdict is what an attempt means for the request.
type verdict int

const (
	answered verdict = iota // the target's answer, to be passed on
	failed                  // the target's own failure, which may be passed on
	notRun                  // no target ran the request
	broken                  // the request may have run, and there is no usable answer
)

type result struct {
	verdict verdict
	target  string
	resp    *httpconn.Response
	data    []byte // the body, or its beginning when more is set
	more    bool
	cancel  context.CancelFunc
	err     error
}

// drop ends an attempt whose answer is not passed on.
func (r *result) drop() {
	if r.resp != nil {
		_ = r.resp.Body.Close()
	}
	r.cancel()
}

// exchange runs attempts until one is answered or nothing more can be tried. A repeatable
// request that takes long is also sent to a second target.
func (c *call) exchange(ctx context.Context) {
	results := make(chan *result, c.route.AttemptLimit()+1)
	pending := 0
	var fallback *result
	send := func(cand balance.Candidate) {
		c.attempts++
		c.sent++ // until the target says that it did not run it
		pending++
		attemptCtx, span := c.span(ctx, cand.ID)
		attemptCtx, cancel := context.WithCancel(attemptCtx)
		go func() {
			res := c.attempt(attemptCtx, cancel, cand)
			observe.End(span, res.err)
			results <- res
		}()
	}
	start := func() bool {
		cand, ok := c.pick()
		if ok {
			send(cand)
		}
		return ok
	}
	defer func() { go discard(results, pending) }()
	first, ok := c.pickFirst(ctx)
	if !ok {
		c.failUnserved()
		return
	}
	send(first)
	hedge := time.NewTimer(max(time.Duration(hedgeShare*float64(c.objective())), minHedge))
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			if fallback != nil {
				c.deliver(ctx, fallback)
				return
			}
			c.failLate()
			return
		case <-hedge.C:
			if pending > 0 && c.retryable() {
				start()
			}
			continue
		case res := <-results:
			pending--
			if res.verdict == answered {
				c.deliver(ctx, res)
				return
			}
			if res.verdict == failed && fallback == nil {
				fallback = res
			} else {
				res.drop()
			}
			if res.verdict == notRun {
				c.sent--
				c.shed = c.shed || res.resp != nil
			}
		}
		if c.retryable() && (start() || c.sent == 0 && pending == 0 && c.waitForRoom(ctx) && start()) {
			continue
		}
		if pending > 0 {
			continue
		}
		if fallback != nil {
			c.deliver(ctx, fallback)
			return
		}
		c.failUnserved()
		return
	}
}

// discard ends the attempts that lost.
func discard(results <-chan *result, pending int) {
	for range pending {
		(<-results).drop()
	}
}

// waitForRoom waits a little and allows all targets again, if one of them was full and the
// request can still be answered within its objective. Targets that cannot be reached are not
// worth the wait.
func (c *call) waitForRoom(ctx context.Context) bool {
	if !c.shed || bootclock.Now().Sub(c.start)+shedWait > time.Duration(shedShare*float64(c.objective())) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(shedWait):
	}
	c.tried, c.shed = nil, false
	return true
}

// attempt sends the request to one target and reads the answer.
func (c *call) attempt(ctx context.Context, cancel context.CancelFunc, cand balance.Candidate) *result {
	begin := bootclock.Now()
	res := &result{target: cand.ID, cancel: cancel}
	resp, err := c.f.pool.Do(ctx, cand.Address, c.request(cand.ID))
	if err == nil {
		res.resp = resp
		err = c.read(res, cand)
	} else {
		res.verdict = broken
		if errs.OutcomeOf(err) == errs.NotRun {
			res.verdict = notRun
		}
	}
	res.err = err
	outcome := balance.Failed
	switch {
	case err == nil && res.verdict == answered:
		outcome = balance.OK
	case err == nil && res.verdict == notRun && resp.Status != http.StatusMisdirectedRequest:
		outcome = balance.Shed
	case ctx.Err() != nil && c.deadline.After(bootclock.Now()):
		outcome = balance.Cancelled
	}
	c.finished(cand.ID, outcome, bootclock.Now().Sub(begin))
	if outcome != balance.OK {
		c.logAttempt(res, cand, bootclock.Now().Sub(begin))
	}
	return res
}

func (c *call) logAttempt(res *result, cand balance.Candidate, took time.Duration) {
	args := []any{"request", c.id, "target", cand.ID, "address", cand.Address, "warm", cand.Connected, "took_ms", took.Milliseconds(),
		"not_run", res.verdict == notRun}
	if res.resp != nil {
		args = append(args, "status", res.resp.Status)
	}
	if res.err != nil {
		args = append(args, "error", res.err.Error())
	}
	c.f.log.Info("attempt failed", args...)
}

// read checks the answer of a target and reads its body as far as it is held.
func (c *call) read(res *result, cand balance.Candidate) error {
	h, resp := c.f.headers, res.resp
	c.report(cand.ID, resp.Header.Get(h.Load))
	res.verdict = broken
	if got := resp.Header.Get(h.RequestID); c.id != "" && got != c.id {
		if resp.Header.Get(h.NotRun) == "" && resp.Status != http.StatusMisdirectedRequest || got != "" {
			return &Foreign{Address: cand.Address, Want: c.id, Got: got}
		}
	}
	if resp.Header.Get(h.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest {
		res.verdict = notRun
		return nil
	}
	if resp.Header.Get(h.Stamp) == "" {
		return &Unsigned{Address: cand.Address, Status: resp.Status}
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBody+1))
	if err != nil {
		return err
	}
	res.data, res.more = data, len(data) > maxHeldBody
	res.verdict = answered
	if resp.Status >= http.StatusInternalServerError {
		res.verdict = failed
	}
	return nil
}

// report takes in the load header of a target: running, waiting, slots.
func (c *call) report(target, value string) {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return
	}
	var n [3]int
	for i, p := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil {
			return // not a load that can be used; the target is judged by its answers
		}
		n[i] = v
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.balancer.RecordLoad(bootclock.Now(), target, balance.LoadReport{Running: n[0], Waiting: n[1], Slots: n[2]})
}

// deliver passes an answer on. Once its head is out, an answer that breaks off ends the
// connection to the caller, so that it does not look complete.
func (c *call) deliver(_ context.Context, res *result) {
	defer res.drop()
	copyHeader(c.w.Header(), res.resp.Header)
	if !res.more {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(res.data)))
	} else if res.resp.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(res.resp.Length, 10))
	}
	c.w.WriteHeader(res.resp.Status)
	_, err := c.w.Write(res.data)
	if err == nil && res.more {
		_, err = io.Copy(c.w, res.resp.Body)
	}
	if err != nil {
		c.finish("broken off", res.resp.Status, res.target, err)
		panic(http.ErrAbortHandler)
	}
	c.finish("answered", res.resp.Status, res.target, nil)
}

// isFailure tells whether an error has a failure type of the project.
func isFailure(err error) bool {
	var f errs.Failure
	return errors.As(err, &f)
}
