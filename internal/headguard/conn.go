package headguard

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/httphead"
)

const (
	// maxWait is how long a head waits for room: a few ordinary requests end meanwhile.
	maxWait = 200 * time.Millisecond
	// retryAfter is the Retry-After value of a refusal, in seconds.
	retryAfter = "1"
	// refusalTime limits the writing of a refusal, and the wait for the client to read it. The answer may be lost if the
	// connection is closed while the client still sends.
	refusalTime = 100 * time.Millisecond
	// maxRefusedBytes bounds what is read of a client after its refusal.
	maxRefusedBytes = 256 << 10
	// lingerTime is how long a connection stays open after an answer that came before the end of its request. The client, which still
	// sends, would otherwise meet a reset before it has read the answer. The server waits as long on connections that are kept.
	lingerTime = 500 * time.Millisecond
	// firstBuffer is the first size of the buffer of an incomplete head.
	firstBuffer = 4 << 10
	// maxReadAhead bounds a read of a body whose end is not known. The server may parse the begin of the next head in
	// it before its cost is known.
	maxReadAhead = 512
	// writeTimeout is the time that a client has at least to take writePartBytes of an answer. It has at most twice that
	// time, because the deadline is not renewed with every part.
	writeTimeout   = 20 * time.Second
	writePartBytes = 32 << 10
	// sendBuffer bounds what the kernel holds for a client that reads slowly, which counts as memory of the process. The kernel
	// doubles it. Without a bound the buffers grow to some MB each. It is set on connections that have been sent more than
	// writePartBytes.
	sendBuffer = 32 << 10
	// bodyGrace and minBodyRate limit the time in which a body arrives: the grace, and a second for each minBodyRate
	// bytes.
	bodyGrace   = 30 * time.Second
	minBodyRate = 1 << 10
)

// Status lines of refusals.
const (
	statusUnavailable = "503 Service Unavailable"
	statusTooLarge    = "431 Request Header Fields Too Large"
)

// listener is the listener of a guarded server.
type listener struct {
	net.Listener
	guard       *Guard
	name        string
	maxHead     int           // largest head in bytes
	headTimeout time.Duration // 0 means no limit
}

// Accept implements net.Listener. It refuses connections beyond the bound.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, guard: l.guard, listener: l}
		if l.guard.open(c, l.name) {
			return c, nil
		}
		c.writeRefusal(statusUnavailable)
		_ = nc.Close()
	}
}

// conn is a connection of a guarded server. The server reads from it in one goroutine at a time.
type conn struct {
	net.Conn
	guard    *Guard
	listener *listener
	id       uint64
	verdict  chan bool // ends the wait of the head

	scanner httphead.Scanner
	buf     []byte // read from the client and not by the server
	admit   int    // bytes of buf that belong to the admitted head
	inBody  bool   // the head is admitted; what follows it is read by the request
	unbegun bool   // the request of the admitted head is not known to have begun
	left    int64  // bytes of the body that are known to follow
	served  bool   // not the first request
	refused bool
	// ahead is set if the server has read more than the body of a request. The server may do so while the handler runs.
	ahead atomic.Bool
	// renewAt is when the deadline of writes is renewed, in nanoseconds since the start of the guard.
	renewAt atomic.Int64
	// ended is set when a deadline for writes has been set that is over.
	ended atomic.Bool
	// lingers is set if the answer to the last request came before the end of its body. The server itself lingers only if the client
	// has not asked it to close the connection.
	lingers atomic.Bool
	// sent is the number of bytes that the client was sent, up to the point where its send buffer is bounded.
	sent atomic.Int64
}

// closeWriter is a connection whose sending direction can be closed alone.
type closeWriter interface{ CloseWrite() error }

// CloseWrite closes the sending direction. The server does so before it closes a connection on which the client still
// sends.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(closeWriter); ok {
		return w.CloseWrite()
	}
	return nil
}

// Read implements net.Conn. It returns the bytes of a head only once all of it is admitted.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case c.refused:
		return 0, net.ErrClosed
	case len(p) == 0:
		return c.Conn.Read(p)
	case c.admit > 0:
		return c.take(p, c.admit), nil
	case c.inBody && (len(p) == 1 || !c.headGoesOn()):
		return c.readBody(p)
	case len(p) == 1:
		return c.readByte(p)
	}
	if c.headGoesOn() {
		c.guard.release(c.id)
		c.inBody, c.unbegun = false, false
	}
	return c.readHead(p)
}

// headGoesOn reports whether the server still reads a head although it has got all of the admitted one. That was then no
// more than empty lines, which it skips after a body. It reads a body, other than a single byte, only once begin was called.
func (c *conn) headGoesOn() bool { return c.unbegun && c.left == 0 }

// take moves up to limit bytes of the buffer to p.
func (c *conn) take(p []byte, limit int) int {
	n := copy(p, c.buf[:limit])
	c.buf = c.buf[n:]
	c.admit = max(c.admit-n, 0)
	if len(c.buf) == 0 {
		c.buf = nil
	}
	return n
}

// readBody reads what follows a head. No more of the next head than maxReadAhead reaches the server before its cost is known.
func (c *conn) readBody(p []byte) (n int, err error) {
	limit := int64(maxReadAhead)
	if c.left > 0 {
		limit = c.left
	}
	n, err = c.readRaw(p[:min(int64(len(p)), limit)])
	if c.left > 0 {
		c.left -= int64(n)
	} else if n > 0 {
		c.ahead.Store(true)
		c.scanner.Continue(p[:n])
	}
	return n, err
}

// readByte reads a byte for the server while a request without a body runs: the server looks whether the client leaves.
// Where the whole head of that request was read early, the guard has not seen that it runs.
func (c *conn) readByte(p []byte) (int, error) {
	n, err := c.readRaw(p)
	if n > 0 {
		c.ahead.Store(true)
		c.scanner.Feed(p[:n])
	}
	return n, err
}

// readRaw returns bytes of the buffer, or of the client if there are none.
func (c *conn) readRaw(p []byte) (int, error) {
	if len(c.buf) > 0 {
		return c.take(p, len(c.buf)), nil
	}
	return c.Conn.Read(p)
}

// readHead reads a head to its end and returns the first part of it. An ordinary head arrives at once and is not
// copied.
func (c *conn) readHead(p []byte) (int, error) {
	if len(c.buf) == 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		end, complete := c.scanner.Feed(p[:n])
		if complete {
			return c.admitHead(p, n, end)
		}
		c.buf = append(make([]byte, 0, max(firstBuffer, n)), p[:n]...)
		if err != nil {
			return 0, err
		}
		return c.collectHead(p)
	}
	if end, complete := c.scanner.Feed(c.buf); complete {
		return c.passOn(p, end)
	}
	return c.collectHead(p)
}

// admitHead asks for room for a head of which p[:end] are the last bytes, and keeps p[end:n] for later.
func (c *conn) admitHead(p []byte, n, end int) (int, error) {
	if !c.guard.admit(c, end, c.scanner.Lines()) {
		return 0, c.refuse(statusUnavailable)
	}
	c.beginBody()
	if end < n {
		c.buf = append(c.buf, p[end:n]...)
	}
	return end, nil
}

// collectHead reads the rest of a head into the buffer.
func (c *conn) collectHead(p []byte) (int, error) {
	c.limitHeadTime()
	for {
		if len(c.buf) >= c.listener.maxHead {
			c.guard.recordOversize()
			return 0, c.refuse(statusTooLarge)
		}
		if len(c.buf) == cap(c.buf) {
			c.buf = append(make([]byte, 0, min(2*cap(c.buf), c.listener.maxHead)), c.buf...)
		}
		if !c.guard.buffer(c, cap(c.buf)) {
			return 0, c.refuse(statusUnavailable)
		}
		begin := len(c.buf)
		n, err := c.Conn.Read(c.buf[begin:cap(c.buf)])
		c.buf = c.buf[:begin+n]
		if end, complete := c.scanner.Feed(c.buf[begin:]); complete {
			return c.passOn(p, begin+end)
		}
		if err != nil {
			c.buf = nil
			return 0, err
		}
	}
}

// passOn asks for room for a head in the first bytes of the buffer, and returns the first part of it.
func (c *conn) passOn(p []byte, bytes int) (int, error) {
	if !c.guard.admit(c, bytes, c.scanner.Lines()) {
		return 0, c.refuse(statusUnavailable)
	}
	c.beginBody()
	c.admit = bytes
	return c.take(p, bytes), nil
}

// beginBody notes that the head is admitted.
func (c *conn) beginBody() {
	c.scanner = httphead.Scanner{}
	c.inBody, c.unbegun, c.left = true, true, 0
}

// limitHeadTime limits the time for the rest of a head. The server does so only for the first one, since it takes the
// connection for idle until a head arrives.
func (c *conn) limitHeadTime() {
	if c.served && c.listener.headTimeout > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.listener.headTimeout))
	}
}

// expectHead notes that the server expects the next request.
func (c *conn) expectHead() {
	c.guard.release(c.id)
	c.inBody, c.unbegun, c.served = false, false, true
}

// begin takes note of a request that begins. It returns false if there is no room for a head of which the server has
// read a part early.
func (c *conn) begin(r *http.Request) bool {
	if r.ContentLength != 0 { // otherwise the server may read at the same time
		c.inBody, c.unbegun, c.left = true, false, max(r.ContentLength, 0)
	}
	if !c.ahead.Swap(false) {
		return true
	}
	bytes, lines := 0, 0
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger.Extend(c.id, Cost(bytes, lines)) {
		return true
	}
	g.recordRefusal(reasonBudget)
	return false
}

// recordOversize counts a head without an end.
func (g *Guard) recordOversize() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordRefusal(reasonSize)
}

// Write implements net.Conn. It writes at most writePartBytes at a time, so that the time that a client has does not depend on
// the size of the answer.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writePartBytes)]
		n, err := c.writePart(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// writePart writes a part of an answer.
func (c *conn) writePart(p []byte) (int, error) {
	if c.refused {
		return 0, net.ErrClosed
	}
	if age := time.Since(c.guard.started); int64(age) >= c.renewAt.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(2 * writeTimeout))
		c.renewAt.Store(int64(age + writeTimeout))
		if c.ended.Load() {
			_ = c.Conn.SetWriteDeadline(pastDeadline)
		}
	}
	if c.sent.Load() <= writePartBytes && c.sent.Add(int64(len(p))) > writePartBytes {
		c.boundSendBuffer()
	}
	return c.Conn.Write(p)
}

// boundSendBuffer sets the size of the send buffer of the kernel.
func (c *conn) boundSendBuffer() {
	if b, ok := c.Conn.(interface{ SetWriteBuffer(int) error }); ok {
		_ = b.SetWriteBuffer(sendBuffer) // a closed connection has none
	}
}

// pastDeadline is a deadline that is over.
var pastDeadline = time.Unix(1, 0)

// SetWriteDeadline implements net.Conn. After a deadline that is over, all writes fail: the guard does not renew it.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.ended.Store(true)
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.lingers.Swap(false) {
		_ = c.CloseWrite()
		time.Sleep(lingerTime)
	}
	c.guard.close(c.id)
	return c.Conn.Close()
}

// writeRefusal writes an answer of this host to a head that the server does not get.
func (c *conn) writeRefusal(status string) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	// A client that does not take the answer sees the end of the connection.
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nRetry-After: "+retryAfter+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// refuse answers a head that the server does not get. The server closes the connection after the error.
func (c *conn) refuse(status string) error {
	c.refused, c.buf, c.admit = true, nil, 0
	c.writeRefusal(status)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxRefusedBytes)
	return &errs.Overloaded{Resource: "memory for requests"}
}

// timedBody is the body of a request with a limit of its time. The limit also holds for what the server reads of a body
// that its handler leaves.
type timedBody struct {
	io.ReadCloser
	conn  net.Conn
	begun time.Time
	read  int64
	whole atomic.Bool // it was read to its end
}

func newTimedBody(body io.ReadCloser, conn net.Conn) *timedBody {
	b := &timedBody{ReadCloser: body, conn: conn, begun: time.Now()}
	_ = conn.SetReadDeadline(bodyDeadline(b.begun, 0))
	return b
}

// bodyDeadline returns the time until which the next part of a body must arrive.
func bodyDeadline(begun time.Time, read int64) time.Time {
	return begun.Add(bodyGrace + time.Duration(read)*time.Second/minBodyRate)
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	deadline := bodyDeadline(b.begun, b.read)
	if err == io.EOF {
		b.whole.Store(true)
		deadline = time.Time{} // the server goes on reading, to see whether the client leaves
	}
	_ = b.conn.SetReadDeadline(deadline)
	return n, err
}
