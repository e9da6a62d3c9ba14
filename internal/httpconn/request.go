package httpconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

const (
	bufferBytes = 4096
	// maxInlineBodyBytes is the largest body that is sent before the response is read. It is smaller
	// than the minimum send buffer of a socket.
	maxInlineBodyBytes = 8 << 10
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
