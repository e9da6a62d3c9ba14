// Package sse reads a stream of server-sent events whole event by whole event, so that a stream
// that is cut off in the middle of an event can go on after the last complete one.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// Event is one complete event.
type Event struct {
	// Raw is the event as it was received, with the empty line that ends it.
	Raw []byte
	// ID is the value of the id field; 0 without one.
	ID uint64
	// Data is the value of the data fields, joined by line feeds.
	Data []byte
	// Extra is the value of the field that the reader was told to look for.
	Extra string
}

// Reader reads events from a stream.
type Reader struct {
	r     *bufio.Reader
	extra string
}

// NewReader returns a reader that also reports the field named extra, if that is not empty.
func NewReader(r io.Reader, extra string) *Reader {
	const bufferBytes = 4096 // one event of usual size
	return &Reader{r: bufio.NewReaderSize(r, bufferBytes), extra: extra}
}

// Next returns the next complete event. An incomplete event at the end of the stream is dropped
// and reported as io.ErrUnexpectedEOF; io.EOF means that the stream ended between two events.
func (r *Reader) Next() (Event, error) {
	var e Event
	hasData := false
	for {
		line, err := r.r.ReadBytes('\n')
		e.Raw = append(e.Raw, line...)
		if err != nil {
			if err == io.EOF && len(e.Raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if len(e.Raw) <= len("\r\n") {
				e.Raw = nil // an empty line before an event
				continue
			}
			return e, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID, _ = strconv.ParseUint(string(value), 10, 64) // not a number: as without an id
		case "data":
			if hasData {
				e.Data = append(e.Data, '\n')
			}
			hasData = true
			e.Data = append(e.Data, value...)
		case r.extra:
			e.Extra = string(value)
		}
	}
}
