// Package sse reads server-sent events. It returns only complete events, so that a stream that is
// interrupted within an event can be resumed after the last complete one.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// Event is one complete event.
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
	// ID is the value of the id field, or 0 if there is none or it is not a number.
	ID uint64
	// Data has the values of the data fields, joined by line feeds.
	Data []byte
	// Extra is the value of the extra field that was passed to NewReader.
	Extra string
}

// Reader reads events from a stream.
type Reader struct {
	buffered   *bufio.Reader
	extraField string
}

// NewReader returns a reader of the events in r. If extraField is not empty, the value of the field of
// that name is returned in Event.Extra.
func NewReader(r io.Reader, extraField string) *Reader {
	const bufferBytes = 4096 // holds an event of usual size
	return &Reader{buffered: bufio.NewReaderSize(r, bufferBytes), extraField: extraField}
}

// Next returns the next complete event. It returns io.EOF if the stream ended after an event, and
// io.ErrUnexpectedEOF if it ended within one, which is dropped.
func (r *Reader) Next() (Event, error) {
	var e Event
	hasData := false
	for {
		line, err := r.buffered.ReadBytes('\n')
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
				e.Raw = nil // skip an empty line before an event
				continue
			}
			return e, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID, _ = strconv.ParseUint(string(value), 10, 64) // 0 if it is not a number
		case "data":
			if hasData {
				e.Data = append(e.Data, '\n')
			}
			hasData = true
			e.Data = append(e.Data, value...)
		case r.extraField:
			e.Extra = string(value)
		}
	}
}
