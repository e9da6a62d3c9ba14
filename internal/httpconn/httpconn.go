// Package httpconn sends HTTP/1.1 requests to targets over persistent connections. It never retries
// a request, sends the request URI unmodified, and reports whether a failed request may have reached
// the target. A connection is reused only if the response was complete and nothing followed it, and
// carries no request ID twice.
package httpconn

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/httphead"
)

// sendResultWait is how long a complete response waits for the result of sending the request.
const sendResultWait = 10 * time.Millisecond

// Do sends a request and returns after reading the header of the response. The end of ctx aborts the
// request and the reading of the body, and closes the connection.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c, err := p.connect(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	// A deadline in the past unblocks pending reads and writes.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{pool: p, conn: c, stop: stop, sent: make(chan struct{})}
	if req.fitsSendBuffer() {
		x.send(req)
	} else {
		go x.send(req)
	}
	resp, err := x.readHead(req)
	if err != nil {
		x.abort()
		phase := phaseHead
		if known, sendErr := x.sendResult(); known && sendErr != nil {
			phase = phaseSend
		}
		return nil, &RequestError{Address: addr, Phase: phase, Cause: shortCause(err), Sent: true, Reused: c.isReused(), Ended: hasEnded(err)}
	}
	return resp, nil
}

// connect returns a connection that may carry a request: an idle one, or a new one if there is none.
func (p *Pool) connect(ctx context.Context, addr string, req *Request) (*conn, error) {
	c := p.takeIdle(addr, req.ID)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, err
		}
	}
	c.carried.add(req.ID)
	if req.BeforeSend == nil {
		return c, nil
	}
	if err := req.BeforeSend(); err != nil {
		_ = c.Close()
		return nil, &RequestError{Address: addr, Phase: PhaseOpen, Cause: shortCause(err), Reused: c.isReused()}
	}
	return c, nil
}

// exchange is a request and its response on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	stop    func() bool   // stops watching the request's context
	sent    chan struct{} // closed when sendErr is set
	sendErr error         // result of sending the request
	once    sync.Once     // releases or closes conn
}

// send sends the request and keeps the result.
func (x *exchange) send(req *Request) {
	x.sendErr = x.conn.writeRequest(req)
	close(x.sent)
}

// sendResult returns whether the result of sending the request is known yet, and the result.
func (x *exchange) sendResult() (known bool, err error) {
	select {
	case <-x.sent:
		return true, x.sendErr
	default:
		return false, nil
	}
}

// awaitSendResult is like sendResult but waits for a time, because the goroutine that sends the request may not have reported
// its result yet.
func (x *exchange) awaitSendResult(wait time.Duration) (known bool, err error) {
	select {
	case <-x.sent:
		return true, x.sendErr
	case <-time.After(wait):
		return x.sendResult()
	}
}

// readHead reads the header of the final response and skips interim responses.
func (x *exchange) readHead(req *Request) (*Response, error) {
	x.conn.head.begin()
	defer x.conn.head.end()
	for {
		if err := x.conn.head.beginHead(x.conn.r); err != nil {
			return nil, err
		}
		r, err := http.ReadResponse(x.conn.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if httphead.IsInterim(r.StatusCode) {
			continue
		}
		if !httphead.IsFinal(r.StatusCode) {
			return nil, &errs.Corrupt{What: "response", Detail: "it has the status " + strconv.Quote(r.Status)}
		}
		framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
		reusable := framed && !r.Close
		return &Response{StatusCode: r.StatusCode, Header: r.Header, ContentLength: r.ContentLength, Framed: framed, EarlierRequests: x.conn.carried.earlier(),
			Body: &responseBody{exchange: x, r: r.Body, framed: framed, reusable: reusable, idleTimeout: parseIdleTimeout(r.Header)}}, nil
	}
}

// abort closes the connection unless release has been called.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		_ = x.conn.Close()
	})
}

// release returns the connection to the pool if the request was sent completely, nothing follows
// the response and the connection may carry another request. Otherwise it closes the connection.
func (x *exchange) release(idleTimeout time.Duration) {
	x.once.Do(func() {
		sent, err := x.awaitSendResult(sendResultWait)
		if !x.stop() || !sent || err != nil || x.conn.r.Buffered() > 0 || idleTimeout <= 0 || !x.conn.carried.reusable() {
			_ = x.conn.Close()
			return
		}
		x.conn.expiresAt = x.pool.now().Add(idleTimeout)
		x.pool.putIdle(x.conn)
	})
}
