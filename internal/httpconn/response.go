package httpconn

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTimeout applies if the target does not send an idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that the target sends.
	idleTimeoutMargin = 600 * time.Millisecond
)

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

// BoundReceiveBuffer keeps the kernel from holding more than receiveBuffer of the response. It must not be called after the
// end of the body has been read.
func (r *Response) BoundReceiveBuffer() {
	if b, ok := r.Body.(*responseBody); ok && b.end == nil {
		b.exchange.conn.boundReceiveBuffer()
	}
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
	return &RequestError{Address: c.addr, Phase: phaseBody, Cause: shortCause(err), Sent: true, Reused: c.isReused(), Ended: ended}
}

// Close closes the connection unless the body was read to its end.
func (b *responseBody) Close() error {
	b.exchange.abort()
	return nil
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
