package httpconn

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiaflow/errs"
)

// writeForever writes data until the connection is closed, then closes done.
func writeForever(c net.Conn, start, data string, done chan<- struct{}) {
	defer close(done)
	if _, err := io.WriteString(c, start); err != nil {
		return
	}
	block := []byte(strings.Repeat(data, 1+4096/len(data)))
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// endlessHeads are answers whose header never ends.
var endlessHeads = map[string]struct{ start, data string }{
	"no line end":       {"", "x"},
	"one header line":   {"HTTP/1.1 200 OK\r\nA: ", "x"},
	"header lines":      {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"zero bytes":        {"", "\x00"},
}

// Guards against a header without end that fills the memory, holds the caller until its deadline, counts
// as not run, or leaves the connection open.
func TestEndlessHeadIsRejected(t *testing.T) {
	for name, c := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			addr := startTarget(t, func(_ int, _ *http.Request, conn net.Conn) { writeForever(conn, c.start, c.data, closed) })
			begin := time.Now()
			_, err := NewPool(1).Do(t.Context(), addr, &Request{Method: "GET", RequestURI: "/", Host: "h", Header: http.Header{}})
			if err == nil || errs.OutcomeOf(err) != errs.Unknown {
				t.Errorf("error %v, want one with an unknown outcome", err)
			}
			if took := time.Since(begin); took > time.Second {
				t.Errorf("rejected after %s", took)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}

// endlessBodies are bodies whose framing never ends.
var endlessBodies = map[string]struct{ start, data string }{
	"chunk size":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
}

// Guards against framing without end that is read until the deadline, or that counts as the end of a body.
func TestEndlessFramingIsRejected(t *testing.T) {
	for name, c := range endlessBodies {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			addr := startTarget(t, func(_ int, _ *http.Request, conn net.Conn) { writeForever(conn, c.start, c.data, closed) })
			if body, err := get(t, NewPool(1), addr, "/"); err == nil {
				t.Errorf("a body of %d bytes counts as complete", len(body))
			}
			select {
			case <-closed:
			case <-time.After(3 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}

// Guards against bytes without end after a complete answer that reach the next request: they come together with the
// answer, or after it has been read.
func TestEndlessBytesAfterAnswer(t *testing.T) {
	const answer, junk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "junk"
	for _, together := range []bool{true, false} {
		t.Run(fmt.Sprintf("together %v", together), func(t *testing.T) {
			answerRead, junkSent, closed := make(chan struct{}), make(chan struct{}), make(chan struct{})
			addr := startTarget(t, func(n int, _ *http.Request, conn net.Conn) {
				if n > 1 {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext")
					return
				}
				first := answer
				if together {
					first += junk
				}
				_, _ = io.WriteString(conn, first)
				if !together {
					<-answerRead
					_, _ = io.WriteString(conn, junk)
				}
				close(junkSent)
				writeForever(conn, "", junk, closed)
			})
			p := NewPool(1)
			if body, err := get(t, p, addr, "/"); err != nil || body != "ok" {
				t.Errorf("body %q, error %v", body, err)
			}
			close(answerRead)
			<-junkSent
			if body, err := get(t, p, addr, "/"); err != nil || body != "next" {
				t.Errorf("body of the next request %q, error %v", body, err)
			}
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}

// Guards against log lines of the size of what a target has sent in place of an answer.
func TestErrorsOfJunkAreShort(t *testing.T) {
	addr := startTarget(t, func(_ int, _ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, strings.Repeat("junk", 10_000)+"\r\n\r\n")
	})
	if _, err := get(t, NewPool(1), addr, "/"); err == nil || len(err.Error()) > 2*maxCauseBytes {
		t.Errorf("an error of %d bytes, want at most %d", len(err.Error()), 2*maxCauseBytes)
	}
}

// Guards against memory that grows with the number of faulty targets: 100 requests at once must stay far
// below the memory of an entry host.
func TestEndlessHeadsMemory(t *testing.T) {
	const requests, maxBytes = 100, 40 << 20
	addr := startTarget(t, func(_ int, _ *http.Request, conn net.Conn) {
		writeForever(conn, "HTTP/1.1 200 OK\r\nA: ", "x", make(chan struct{}))
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	p := NewPool(1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var done sync.WaitGroup
	for range requests {
		done.Go(func() {
			_, _ = p.Do(ctx, addr, &Request{Method: "GET", RequestURI: "/", Host: "h", Header: http.Header{}})
		})
	}
	done.Wait()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapSys) - int64(before.HeapSys); grown > maxBytes {
		t.Errorf("the heap grew by %d bytes", grown)
	}
	t.Logf("the heap grew by %d bytes", int64(after.HeapSys)-int64(before.HeapSys))
}

// FuzzReadHead guards against an answer of any bytes that is read beyond the limit, or that is both an
// answer and an error.
func FuzzReadHead(f *testing.F) {
	for _, c := range endlessHeads {
		f.Add([]byte(c.start + strings.Repeat(c.data, 10)))
	}
	for _, c := range endlessBodies {
		f.Add([]byte(c.start + c.data))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Fuzz(func(t *testing.T, data []byte) {
		source := &countingReader{r: bytes.NewReader(bytes.Repeat(data, 1+2*maxHeadBytes/(len(data)+1)))}
		client, server := net.Pipe()
		defer func() { _, _ = client.Close(), server.Close() }()
		c := newConn(client, "a")
		c.head.source = source
		x := &exchange{pool: NewPool(1), conn: c, stop: func() bool { return true }, sent: make(chan struct{})}
		resp, err := x.readHead(&Request{Method: "GET"})
		if source.n > maxHeadBytes {
			t.Errorf("%d bytes were read for a header", source.n)
		}
		if (resp == nil) == (err == nil) {
			t.Errorf("response %v, error %v", resp, err)
		}
	})
}

// countingReader counts the bytes that were read.
type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}
