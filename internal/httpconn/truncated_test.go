package httpconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// truncatedAnswers are whole answers with a length of their own; see TestTruncatedAnswersAreErrors.
var truncatedAnswers = map[string]string{
	"length":   "HTTP/1.1 200 OK\r\nId: q\r\nStamp: s\r\nContent-Length: 4\r\n\r\nbody",
	"chunks":   "HTTP/1.1 200 OK\r\nId: q\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n4\r\nbody\r\n0\r\nT: x\r\n\r\n",
	"interim":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	"no body":  "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 0\r\n\r\n",
	"bare LFs": "HTTP/1.1 200 OK\nId: q\nContent-Length: 4\n\nbody",
}

// Guards, for a target that stops at any byte of its answer and closes or resets the connection, against an
// answer with an empty or short body that counts as whole.
func TestTruncatedAnswersAreErrors(t *testing.T) {
	for name, answer := range truncatedAnswers {
		t.Run(name, func(t *testing.T) {
			for n := range 2 * len(answer) {
				reset := n%2 == 1
				addr := startTarget(t, func(_ int, _ *http.Request, c net.Conn) {
					_, _ = io.WriteString(c, answer[:n/2])
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					_ = c.Close()
				})
				if body, err := get(t, NewPool(1), addr, "/"); err == nil {
					t.Errorf("%q (reset: %t) is a whole answer with body %q", answer[:n/2], reset, body)
				} else if failure := (*RequestError)(nil); errors.As(err, &failure) && !failure.Sent {
					t.Errorf("%q (reset: %t): the request counts as not sent", answer[:n/2], reset)
				}
			}
		})
	}
}
