// Package httpconn sends HTTP/1.1 requests to targets over kept connections. It never sends a
// request twice, passes the request target on byte by byte, and tells whether a failed request
// may have reached the target. A connection is used again only after a complete answer with
// nothing behind it.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
)

const (
	// dialTimeout bounds a new connection inside a region, where a round trip takes a few
	// milliseconds. A lost opening packet is sent again only after a second.
	dialTimeout = 250 * time.Millisecond
	// defaultIdle is how long a connection is kept when the target does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the target's own idle timeout.
	idleMargin  = 600 * time.Millisecond
	bufferBytes = 4096
	// shortBody is the largest body that is sent before the answer is read, in bytes. It is less
	// than the smallest send buffer of a socket.
	shortBody = 8 << 10
	// sendGrace is how long a complete answer waits for the report that the request was sent.
	sendGrace = 10 * time.Millisecond
)

// Request is one request. Body may be nil.
type Request struct {
	Method string
	// Target is the request target as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   io.Reader
	// Length is the length of Body; -1 sends it in chunks.
	Length int64
}

// Failure reports a request that got no usable answer.
type Failure struct {
	Address string
	Phase   string // dial, send, head or body
	Cause   string
	// Sent tells whether a byte of the request may have reached the target.
	Sent bool
	// Reused tells that the connection had been kept from an earlier request.
	Reused bool
}

func (e *Failure) Error() string {
	return fmt.Sprintf("request to %s failed in phase %s: %s", e.Address, e.Phase, e.Cause)
}

// FailureCode implements errs.Failure.
func (e *Failure) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *Failure) FailureOutcome() errs.Outcome {
	if e.Sent {
		return errs.Unknown
	}
	return errs.NotRun
}

// Response is the head of an answer and a reader of its body, which must be closed. Reading the
// body to its end makes the connection available again.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body; -1 when it is not known.
	Length int64
	// Framed is false when only the end of the connection ends the body.
	Framed bool
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// MaxIdle bounds the idle connections of one address.
	MaxIdle int

	// now counts the time in which this machine is suspended: targets close idle connections
	// meanwhile.
	now func() time.Time

	mu     sync.Mutex
	idle   map[string][]*conn
	dialed uint64
}

type conn struct {
	net.Conn
	addr  string
	r     *bufio.Reader
	until time.Time // when the target closes the idle connection
	used  bool
}

// NewPool returns an empty pool.
func NewPool(maxIdle int) *Pool {
	return &Pool{MaxIdle: maxIdle, now: bootclock.Now, idle: make(map[string][]*conn)}
}

// Dialed returns the number of connections that were opened.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// HasIdle tells whether a kept connection to the address is available.
func (p *Pool) HasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	return len(list) > 0 && p.now().Before(list[len(list)-1].until)
}

func (p *Pool) take(addr string) *conn {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		if p.now().Before(c.until) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) put(c *conn) {
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.addr]) >= p.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Forget closes the idle connections of an address.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes the idle connections whose time is over.
func (p *Pool) Sweep() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// quiet tells whether nothing has arrived on an idle connection: neither its end nor bytes that
// belong to no request.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, &Failure{Address: addr, Phase: "dial", Cause: err.Error()}
	}
	return &conn{Conn: nc, addr: addr, r: bufio.NewReaderSize(nc, bufferBytes)}, nil
}

// Do sends a request and returns the head of the answer. The request and the reading of the
// body end when ctx ends; the connection is then closed.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c := p.take(addr)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, err
		}
	}
	// A deadline in the past ends blocked reads and writes at once.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{pool: p, conn: c, stop: stop, sent: make(chan error, 1)}
	if req.short() {
		x.sent <- c.write(req)
	} else {
		go func() { x.sent <- c.write(req) }()
	}
	resp, err := x.head(req)
	if err != nil {
		x.abort()
		phase := "head"
		if we, ok := x.writeResult(); ok && we != nil {
			phase = "send"
		}
		return nil, &Failure{Address: addr, Phase: phase, Cause: err.Error(), Sent: true, Reused: c.used}
	}
	return resp, nil
}

// short tells whether the request fits into the buffers of a connection, so that sending it does
// not wait for the target.
func (r *Request) short() bool {
	_, held := r.Body.(*bytes.Reader)
	return r.Body == nil || held && r.Length <= shortBody
}

func (c *conn) write(req *Request) error {
	w := bufio.NewWriterSize(c.Conn, bufferBytes)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if err := req.Header.Write(w); err != nil {
		return err
	}
	switch {
	case req.Body != nil && req.Length < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if err := w.Flush(); err != nil {
			return err
		}
		return writeChunks(c.Conn, req.Body)
	case req.Body != nil && req.Length > 0:
		fmt.Fprintf(w, "Content-Length: %d\r\n\r\n", req.Length)
		if _, held := req.Body.(*bytes.Reader); !held {
			// The rest of the body may take long; the target can answer the head before.
			if err := w.Flush(); err != nil {
				return err
			}
		}
		n, err := io.Copy(w, io.LimitReader(req.Body, req.Length))
		if err == nil && n < req.Length {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	case req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch:
		_, _ = w.WriteString("Content-Length: 0\r\n\r\n")
	default:
		_, _ = w.WriteString("\r\n")
	}
	return w.Flush()
}

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

// exchange is one request on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	stop    func() bool
	sent    chan error
	written *error
	once    sync.Once
}

// writeResult returns how the sending of the request ended, if it has.
func (x *exchange) writeResult() (error, bool) {
	if x.written != nil {
		return *x.written, true
	}
	select {
	case err := <-x.sent:
		x.written = &err
		return err, true
	default:
		return nil, false
	}
}

// awaitWrite is writeResult with a short wait: the goroutine that has sent the last byte may not
// have run since.
func (x *exchange) awaitWrite() (error, bool) {
	if x.written != nil {
		return *x.written, true
	}
	select {
	case err := <-x.sent:
		x.written = &err
		return err, true
	case <-time.After(sendGrace):
		return nil, false
	}
}

func (x *exchange) head(req *Request) (*Response, error) {
	for {
		r, err := http.ReadResponse(x.conn.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 {
			continue
		}
		framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
		keep := framed && !r.Close
		return &Response{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, Framed: framed,
			Body: &body{x: x, r: r.Body, keep: keep, idle: idleTime(r.Header)}}, nil
	}
}

// idleTime returns how long the target keeps the connection open without a request.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}

func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		_ = x.conn.Close()
	})
}

// release makes the connection available again if the request was sent whole and nothing
// follows the answer.
func (x *exchange) release(idle time.Duration) {
	x.once.Do(func() {
		err, done := x.awaitWrite()
		if !x.stop() || !done || err != nil || x.conn.r.Buffered() > 0 || idle <= 0 {
			_ = x.conn.Close()
			return
		}
		x.conn.until = x.pool.now().Add(idle)
		x.pool.put(x.conn)
	})
}

type body struct {
	x    *exchange
	r    io.ReadCloser
	keep bool
	idle time.Duration
	done bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF && !b.done {
		b.done = true
		if b.keep {
			b.x.release(b.idle)
		} else {
			b.x.abort()
		}
	}
	if err != nil && err != io.EOF {
		err = &Failure{Address: b.x.conn.addr, Phase: "body", Cause: err.Error(), Sent: true, Reused: b.x.conn.used}
	}
	return n, err
}

// Close ends the exchange; the connection is closed unless the body was read to its end.
func (b *body) Close() error {
	b.x.abort()
	return nil
}
