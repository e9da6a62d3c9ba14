package httpconn

import (
	"bufio"
	"fmt"
	"io"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/httphead"
)

const (
	// maxHeadBytes is the maximum size of the header of a response together with the interim responses
	// before it. A faulty target may send bytes that never end.
	maxHeadBytes = 64 << 10
	// maxHeadLines is the maximum number of lines of the header of a response. A short line takes far more memory than
	// bytes.
	maxHeadLines = 1000
)

// headLimiter limits how much is read while the header of a response is expected, and the lines of the header.
type headLimiter struct {
	source   io.Reader
	limited  bool
	budget   int // bytes left
	scanner  httphead.Scanner
	complete bool // the header has ended
}

// begin allows maxHeadBytes until end is called.
func (l *headLimiter) begin() { l.limited, l.budget = true, maxHeadBytes }

// end removes the limit.
func (l *headLimiter) end() { l.limited = false }

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
