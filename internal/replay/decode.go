package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// Limits of a trace.
const (
	// MaxLineBytes bounds one line.
	MaxLineBytes = 1 << 20
	// MaxEvents bounds the events of one trace.
	MaxEvents = 100_000
)

// Parse decodes a trace strictly: unknown, repeated and missing fields, an unknown event and
// an offset below the one before are errors of type *Malformed.
func Parse(r io.Reader) (*Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, MaxLineBytes)
	t := &Trace{}
	number := 0
	for lines.Scan() {
		number++
		if err := t.line(number, lines.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return nil, &errs.TooLarge{What: "line of the trace", Limit: MaxLineBytes}
	} else if err != nil {
		return nil, &errs.Unavailable{Resource: "trace", Reason: err.Error()}
	}
	if len(t.Events) == 0 {
		return nil, &Malformed{Line: number, Path: "$", Reason: "want a header and at least one event"}
	}
	return t, nil
}

func (t *Trace) line(number int, data []byte) error {
	err := uniqueFields(json.NewDecoder(bytes.NewReader(data)))
	switch {
	case err != nil:
	case number == 1:
		err = t.header(data)
	case len(t.Events) == MaxEvents:
		err = &Malformed{Path: "$", Reason: fmt.Sprintf("more than %d events", MaxEvents)}
	default:
		err = t.event(number, data)
	}
	var bad *Malformed
	if errors.As(err, &bad) {
		bad.Line = number
	}
	return err
}

func (t *Trace) header(data []byte) error {
	if err := strict("$", data, &t.Header); err != nil {
		return err
	}
	if t.Name == "" || t.Deployment == "" {
		return &Malformed{Path: "$", Reason: "want a name and a deployment"}
	}
	if _, ok := cores[t.Core]; !ok {
		return &Malformed{Path: "$.core", Reason: "want one of " + names(cores)}
	}
	if len(t.Outcome.Verdicts) == 0 || t.Outcome.Counts == nil {
		return &Malformed{Path: "$.outcome", Reason: "want verdicts and counts"}
	}
	return nil
}

func (t *Trace) event(number int, data []byte) error {
	fields := map[string]json.RawMessage{}
	if err := strict("$", data, &fields); err != nil {
		return err
	}
	var at *int64
	if err := strict("$.at_ms", fields["at_ms"], &at); err != nil {
		return err
	}
	delete(fields, "at_ms")
	last := time.Duration(0)
	if len(t.Events) > 0 {
		last = t.Events[len(t.Events)-1].At
	}
	if at == nil || *at < last.Milliseconds() {
		return &Malformed{Path: "$.at_ms", Reason: fmt.Sprintf("want %d or more", last.Milliseconds())}
	}
	events := cores[t.Core].events
	if len(fields) != 1 {
		return &Malformed{Path: "$", Reason: "want at_ms and one event, one of " + names(events)}
	}
	for name, body := range fields {
		create, ok := events[name]
		if !ok {
			return &Malformed{Path: "$." + name, Reason: "want one of " + names(events)}
		}
		e := Event{Line: number, At: time.Duration(*at) * time.Millisecond, Name: name, data: create()}
		if err := strict("$."+name, body, e.data); err != nil {
			return err
		}
		t.Events = append(t.Events, e)
	}
	return nil
}

// strict decodes one JSON value without unknown fields.
func strict(path string, data []byte, v any) error {
	if len(data) == 0 {
		return &Malformed{Path: path, Reason: "want a value"}
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &Malformed{Path: path, Reason: err.Error()}
	}
	if _, err := d.Token(); err != io.EOF {
		return &Malformed{Path: path, Reason: "want one JSON value"}
	}
	return nil
}

// uniqueFields reports a field that an object has twice, which encoding/json accepts.
func uniqueFields(d *json.Decoder) error {
	tok, err := d.Token()
	if err != nil {
		return &Malformed{Path: "$", Reason: "want a JSON object: " + err.Error()}
	}
	open, ok := tok.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for d.More() {
		if open == '{' {
			key, err := d.Token()
			if err != nil {
				return &Malformed{Path: "$", Reason: err.Error()}
			}
			name := fmt.Sprint(key)
			if seen[name] {
				return &Malformed{Path: "$", Reason: fmt.Sprintf("field %q is repeated", name)}
			}
			seen[name] = true
		}
		if err := uniqueFields(d); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return &Malformed{Path: "$", Reason: err.Error()}
	}
	return nil
}

func names[T any](m map[string]T) string { return strings.Join(slices.Sorted(maps.Keys(m)), ", ") }
