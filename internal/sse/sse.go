// Package sse reads server-sent events. It returns only complete events, so that a stream that is
// interrupted within an event can be resumed after the last complete one.
package sse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"fuchsiaflow/errs"
)

// maxEventBytes is the maximum size of an event. A faulty target may send a line that never ends.
const maxEventBytes = 256 << 10

const (
	// LargeEventBytes is the size from which on an event counts as large.
	LargeEventBytes = 32 << 10
	// MaxHeldBytes is the memory of a large event: its buffer and the one before, from which it is copied when it grows.
	MaxHeldBytes = 2 * maxEventBytes
)

// Event is one complete event.
type Event struct {
	// Raw is the event as received, including the empty line that ends it.
	Raw []byte
	// ID is the value of the id field, or 0 if there is none or it is not a number.
	ID uint64
	// HasData reports whether the event has data that is not empty.
	HasData bool
	// Data has the values of the data fields, joined by line feeds; nil from a reader whose OnLarge is set.
	Data []byte
	// Extra is the value of the extra field that was passed to NewReader.
	Extra string
}

// IsComment reports whether the event begins with a comment and has no ID and no data, as one that keeps the
// connection alive.
func (e *Event) IsComment() bool { return e.Raw[0] == ':' && e.ID == 0 && !e.HasData }

// Reader reads events from a stream.
type Reader struct {
	// OnLarge is called when an event exceeds LargeEventBytes, before more of it is read. Its error ends the stream. Nil does
	// nothing. With it, an event is kept only once: its Data stays nil.
	OnLarge    func() error
	buffered   *bufio.Reader
	extraField string
}

// NewReader returns a reader of the events in r. If extraField is not empty, the value of the field of
// that name is returned in Event.Extra.
func NewReader(r io.Reader, extraField string) *Reader {
	const bufferBytes = 4096 // holds an event of usual size
	return &Reader{buffered: bufio.NewReaderSize(r, bufferBytes), extraField: extraField}
}

// Next returns the next complete event. It returns io.EOF if the stream ended after an event,
// io.ErrUnexpectedEOF if it ended within one, of which Raw has what there is, and errs.Corrupt if an event exceeds
// maxEventBytes.
func (r *Reader) Next() (Event, error) {
	var e Event
	hasData := false
	for {
		start := len(e.Raw)
		raw, err := r.appendLine(e.Raw)
		e.Raw = raw
		line := raw[start:]
		if err != nil {
			if err == io.EOF && len(e.Raw) > 0 {
				return Event{Raw: e.Raw}, io.ErrUnexpectedEOF
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
			e.HasData = e.HasData || hasData || len(value) > 0
			if r.OnLarge == nil {
				e.appendData(value, hasData)
			}
			hasData = true
		case r.extraField:
			e.Extra = string(value)
		}
	}
}

// appendData adds the value of a data field, which is not the first one if more is set.
func (e *Event) appendData(value []byte, more bool) {
	if more {
		e.Data = append(e.Data, '\n')
	}
	e.Data = append(e.Data, value...)
}

// appendLine appends the next line, with its end, to an event.
func (r *Reader) appendLine(event []byte) ([]byte, error) {
	for {
		part, err := r.buffered.ReadSlice('\n')
		if size := len(event) + len(part); r.OnLarge != nil && len(event) <= LargeEventBytes && size > LargeEventBytes {
			if err := r.OnLarge(); err != nil {
				return event, err
			}
		}
		event = append(event, part...)
		if len(event) > maxEventBytes {
			return event, &errs.Corrupt{What: "event stream", Detail: fmt.Sprintf("an event exceeds %d bytes", maxEventBytes)}
		}
		if err != bufio.ErrBufferFull {
			return event, err
		}
	}
}
