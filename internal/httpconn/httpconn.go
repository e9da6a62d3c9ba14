// Package httpconn sends HTTP/1.1 requests to targets over persistent connections. It never retries
// a request, sends the request URI unmodified, and reports whether a failed request may have reached
// the target. A connection is reused only if the response was complete and nothing followed it.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/httphead"
)

const (
	// dialTimeout bounds the dial within a region, where a round trip takes a few milliseconds. A
	// lost SYN is retransmitted only after a second.
	dialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout applies if the target does not send an idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that the target sends.
	idleTimeoutMargin = 600 * time.Millisecond
	bufferBytes       = 4096
	// maxInlineBodyBytes is the largest body that is sent before the response is read. It is smaller
	// than the minimum send buffer of a socket.
	maxInlineBodyBytes = 8 << 10
	// maxHeadBytes is the maximum size of the header of a response together with the interim responses
	// before it. A faulty target may send bytes that never end.
	maxHeadBytes = 64 << 10
	// maxHeadLines is the maximum number of lines of the header of a response. A short line takes far more memory than
	// bytes.
	maxHeadLines = 1000
	// sendResultWait is how long a complete response waits for the result of sending the request.
	sendResultWait = 10 * time.Millisecond
	// receiveBuffer bounds what the kernel holds of a response that is read slowly, which counts as memory of the process. The
	// kernel doubles it, which gives its usual first size. Without a bound it may grow to some MB.
	receiveBuffer = 64 << 10
)

// Request is a request to a target. Body may be nil.
type Request struct {
	// ID identifies the request and its response; empty if the request has none. No connection carries an ID twice, and one
	// that carries a request without an ID carries no other request. See carriedIDs.
	ID     string
	Method string
	// RequestURI is the unmodified request URI of the client.
	RequestURI string
	Host       string
	Header     http.Header
	// Base has further headers, but for names in Header and in Without. Neither is changed, so that attempts can share
	// them.
	Base    http.Header
	Without map[string]bool
	Body    io.Reader
	// ContentLength is the length of Body in bytes; -1 selects chunked encoding.
	ContentLength int64
	// BeforeSend is called when the connection is open; nil if it is not needed. If it returns an error, the
	// request is not sent.
	BeforeSend func() error
}

// PhaseOpen is the phase of a RequestError in which Request.BeforeSend withheld the request.
const PhaseOpen = "open"

// RequestError reports a request without a usable response.
type RequestError struct {
	Address string
	Phase   string // dial, PhaseOpen, send, head or body
	Cause   string
	// Sent reports whether any part of the request may have reached the target.
	Sent bool
	// Reused reports whether the connection had served an earlier request.
	Reused bool
	// Ended reports whether the target closed or reset the connection.
	Ended bool
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("request to %s failed in phase %s: %s", e.Address, e.Phase, e.Cause)
}

// maxCauseBytes is the maximum length of the cause of a RequestError. Errors of net/http quote what a target has sent.
const maxCauseBytes = 256

// hasEnded reports whether an error means that the other side closed or reset the connection.
func hasEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// shortCause returns the message of an error, shortened to maxCauseBytes.
func shortCause(err error) string {
	cause := err.Error()
	if len(cause) > maxCauseBytes {
		cause = cause[:maxCauseBytes] + "..."
	}
	return strings.ToValidUTF8(cause, "?")
}

// FailureCode implements errs.Failure.
func (e *RequestError) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *RequestError) FailureOutcome() errs.Outcome {
	if e.Sent {
		return errs.Unknown
	}
	return errs.NotRun
}

// Response is the header of a response and its body, which the caller must close. Reading the body
// to its end makes the connection available for reuse.
type Response struct {
	StatusCode int
	Header     http.Header
	Body       io.ReadCloser
	// ContentLength is the length of Body in bytes; -1 if unknown.
	ContentLength int64
	// Framed is false if the body is delimited only by the end of the connection.
	Framed bool
	// EarlierRequests is the number of requests that the connection had carried before.
	EarlierRequests int
}

// Read implements io.Reader. It returns errs.Corrupt when the limit is exceeded.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.budget <= 0 {
		return 0, &errs.Corrupt{What: "header of a response", Detail: fmt.Sprintf("it exceeds %d bytes", maxHeadBytes)}
	}
	n, err := l.source.Read(p[:min(len(p), l.budget)])
	l.budget -= n
	if tooMany := l.countLines(p[:n]); tooMany != nil {
		return 0, tooMany
	}
	return n, err
}

// countLines counts the lines of a header, but not those after its end.
func (l *headLimiter) countLines(p []byte) error {
	if l.complete {
		return nil
	}
	_, l.complete = l.scanner.Feed(p)
	if l.scanner.Lines() > maxHeadLines {
		return &errs.Corrupt{What: "header of a response", Detail: fmt.Sprintf("it exceeds %d lines", maxHeadLines)}
	}
	return nil
}

// beginHead counts the lines of the next header, of which r may have read a part.
func (l *headLimiter) beginHead(r *bufio.Reader) error {
	l.scanner, l.complete = httphead.Scanner{}, false
	part, err := r.Peek(r.Buffered())
	if err != nil {
		return err
	}
	return l.countLines(part)
}

// Do sends a request and returns after reading the header of the response. The end of ctx aborts the
// request and the reading of the body, and closes the connection.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c := p.takeIdle(addr, req.ID)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, err
		}
	}
	if req.BeforeSend != nil {
		if err := req.BeforeSend(); err != nil {
			_ = c.Close()
			return nil, &RequestError{Address: addr, Phase: PhaseOpen, Cause: shortCause(err), Reused: c.reused}
		}
	}
	// A deadline in the past unblocks pending reads and writes.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	c.carried.add(req.ID)
	x := &exchange{pool: p, conn: c, stop: stop, sent: make(chan struct{})}
	if req.fitsSendBuffer() {
		x.send(req)
	} else {
		go x.send(req)
	}
	resp, err := x.readHead(req)
	if err != nil {
		x.abort()
		phase := "head"
		if sendErr, known := x.sendResult(); known && sendErr != nil {
			phase = "send"
		}
		return nil, &RequestError{Address: addr, Phase: phase, Cause: shortCause(err), Sent: true, Reused: c.reused, Ended: hasEnded(err)}
	}
	return resp, nil
}

// fitsSendBuffer reports whether the request fits into the socket's send buffer, so that sending it
// does not block on the target.
func (r *Request) fitsSendBuffer() bool {
	_, inMemory := r.Body.(*bytes.Reader)
	return r.Body == nil || inMemory && r.ContentLength <= maxInlineBodyBytes
}

// writers are the buffers of requests that are not being sent.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

// writeRequest sends a request.
func (c *conn) writeRequest(req *Request) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c.Conn)
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.RequestURI, req.Host)
	if err := req.Header.Write(w); err != nil {
		return err
	}
	req.writeBase(w)
	switch {
	case req.Body != nil && req.ContentLength < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if err := w.Flush(); err != nil {
			return err
		}
		return writeChunks(c.Conn, req.Body)
	case req.Body != nil && req.ContentLength > 0:
		return req.writeSizedBody(w)
	case req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch:
		_, _ = w.WriteString("Content-Length: 0\r\n\r\n")
	default:
		_, _ = w.WriteString("\r\n")
	}
	return w.Flush()
}

// writeSizedBody ends the header with the length of the body and sends the body.
func (r *Request) writeSizedBody(w *bufio.Writer) error {
	fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", r.ContentLength)
	if _, inMemory := r.Body.(*bytes.Reader); !inMemory {
		// The body may arrive slowly; the target can respond to the header first.
		if err := w.Flush(); err != nil {
			return err
		}
	}
	n, err := io.Copy(w, io.LimitReader(r.Body, r.ContentLength))
	if err == nil && n < r.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	return w.Flush()
}

// singleLine replaces what ends a line in the value of a header.
var singleLine = strings.NewReplacer("\n", " ", "\r", " ")

// writeBase writes the headers of Base. Errors stay in w.
func (r *Request) writeBase(w *bufio.Writer) {
	for name, values := range r.Base {
		if _, replaced := r.Header[name]; replaced || r.Without[name] {
			continue
		}
		for _, value := range values {
			_, _ = w.WriteString(name)
			_, _ = w.WriteString(": ")
			_, _ = singleLine.WriteString(w, value)
			_, _ = w.WriteString("\r\n")
		}
	}
}

// writeChunks writes body in chunked transfer encoding.
func writeChunks(w io.Writer, body io.Reader) error {
	buf := make([]byte, bufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			chunk := append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
			chunk = append(append(chunk, buf[:n]...), "\r\n"...)
			if _, werr := w.Write(chunk); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(w, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
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

// sendResult returns the result of sending the request and whether it is known yet.
func (x *exchange) sendResult() (err error, known bool) {
	select {
	case <-x.sent:
		return x.sendErr, true
	default:
		return nil, false
	}
}

// awaitSendResult is like sendResult but waits for a time, because the goroutine that sends the request may not have reported
// its result yet.
func (x *exchange) awaitSendResult(wait time.Duration) (err error, known bool) {
	select {
	case <-x.sent:
		return x.sendErr, true
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

// parseIdleTimeout returns how long an idle connection may be reused. It reads the timeout of the
// target's Keep-Alive header.
func parseIdleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
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
		err, done := x.awaitSendResult(sendResultWait)
		if !x.stop() || !done || err != nil || x.conn.r.Buffered() > 0 || idleTimeout <= 0 || !x.conn.carried.reusable() {
			_ = x.conn.Close()
			return
		}
		x.conn.expiresAt, x.conn.reused = x.pool.now().Add(idleTimeout), true
		x.pool.putIdle(x.conn)
	})
}

// responseBody reads the body of a response and releases the connection at its end.
type responseBody struct {
	exchange    *exchange
	r           io.ReadCloser
	framed      bool // the body does not end with the connection
	reusable    bool // the response permits reuse of the connection
	idleTimeout time.Duration
	end         error // why nothing more can be read; nil before the end
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.r.Read(p)
	if err == io.EOF {
		b.end = b.finish()
		return n, b.end
	}
	if err != nil {
		err = b.failure(err, hasEnded(err))
	}
	return n, err
}

// finish releases or closes the connection at the end of the data. It returns io.EOF if that is the end of the body.
func (b *responseBody) finish() error {
	if !b.framed {
		if err := b.exchange.failureAtEnd(); err != nil {
			b.exchange.abort()
			return b.failure(err, true)
		}
	}
	if b.reusable {
		b.exchange.release(b.idleTimeout)
	} else {
		b.exchange.abort()
	}
	return io.EOF
}

// failure returns the error of a body that cannot be read to its end. ended says that the target closed or reset the connection.
func (b *responseBody) failure(err error, ended bool) error {
	c := b.exchange.conn
	return &RequestError{Address: c.addr, Phase: "body", Cause: shortCause(err), Sent: true, Reused: c.reused, Ended: ended}
}

// BoundReceiveBuffer keeps the kernel from holding more than receiveBuffer of the response. It must not be called after the
// end of the body has been read.
func (r *Response) BoundReceiveBuffer() {
	if b, ok := r.Body.(*responseBody); ok && b.end == nil {
		b.exchange.conn.boundReceiveBuffer()
	}
}

// Close closes the connection unless the body was read to its end.
func (b *responseBody) Close() error {
	b.exchange.abort()
	return nil
}
