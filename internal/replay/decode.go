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
	// MaxLineBytes is the maximum length of a line.
	MaxLineBytes = 1 << 20
	// MaxEvents is the maximum number of events in a trace.
	MaxEvents = 100_000
)

// Parse decodes a trace strictly: unknown, repeated and missing fields, unknown events and decreasing
// offsets are errors of type *Malformed.
func Parse(r io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, MaxLineBytes)
	t := &Trace{}
	number := 0
	for scanner.Scan() {
		number++
		if err := t.parseLine(number, scanner.Bytes()); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); errors.Is(err, bufio.ErrTooLong) {
		return nil, &errs.TooLarge{What: "line of the trace", Limit: MaxLineBytes}
	} else if err != nil {
		return nil, &errs.Unavailable{Resource: "trace", Reason: err.Error()}
	}
	if len(t.Events) == 0 {
		return nil, &Malformed{Line: number, Path: "$", Reason: "want a header and at least one event"}
	}
	return t, nil
}

func (t *Trace) parseLine(number int, data []byte) error {
	err := checkUniqueFields(json.NewDecoder(bytes.NewReader(data)))
	switch {
	case err != nil:
	case number == 1:
		err = t.parseHeader(data)
	case len(t.Events) == MaxEvents:
		err = &Malformed{Path: "$", Reason: fmt.Sprintf("more than %d events", MaxEvents)}
	default:
		err = t.parseEvent(number, data)
	}
	var malformed *Malformed
	if errors.As(err, &malformed) {
		malformed.Line = number
	}
	return err
}

func (t *Trace) parseHeader(data []byte) error {
	if err := decodeStrict("$", data, &t.Header); err != nil {
		return err
	}
	if t.Name == "" || t.Deployment == "" {
		return &Malformed{Path: "$", Reason: "want a name and a deployment"}
	}
	if _, ok := cores[t.Core]; !ok {
		return &Malformed{Path: "$.core", Reason: "want one of " + sortedKeys(cores)}
	}
	if len(t.Outcome.Verdicts) == 0 || t.Outcome.Counts == nil {
		return &Malformed{Path: "$.outcome", Reason: "want verdicts and counts"}
	}
	return nil
}

func (t *Trace) parseEvent(number int, data []byte) error {
	fields := map[string]json.RawMessage{}
	if err := decodeStrict("$", data, &fields); err != nil {
		return err
	}
	var atMS *int64
	if err := decodeStrict("$.at_ms", fields["at_ms"], &atMS); err != nil {
		return err
	}
	delete(fields, "at_ms")
	last := time.Duration(0)
	if len(t.Events) > 0 {
		last = t.Events[len(t.Events)-1].At
	}
	if atMS == nil || *atMS < last.Milliseconds() {
		return &Malformed{Path: "$.at_ms", Reason: fmt.Sprintf("want %d or more", last.Milliseconds())}
	}
	events := cores[t.Core].events
	if len(fields) != 1 {
		return &Malformed{Path: "$", Reason: "want at_ms and one event, one of " + sortedKeys(events)}
	}
	for name, body := range fields {
		create, ok := events[name]
		if !ok {
			return &Malformed{Path: "$." + name, Reason: "want one of " + sortedKeys(events)}
		}
		e := Event{Line: number, At: time.Duration(*atMS) * time.Millisecond, Name: name, data: create()}
		if err := decodeStrict("$."+name, body, e.data); err != nil {
			return err
		}
		t.Events = append(t.Events, e)
	}
	return nil
}

// decodeStrict decodes data, which must be exactly one JSON value without unknown fields. path is the
// JSON path for errors.
func decodeStrict(path string, data []byte, v any) error {
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

// checkUniqueFields returns an error if an object has a field twice, which encoding/json accepts.
func checkUniqueFields(d *json.Decoder) error {
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
		if err := checkUniqueFields(d); err != nil {
			return err
		}
	}
	if _, err := d.Token(); err != nil {
		return &Malformed{Path: "$", Reason: err.Error()}
	}
	return nil
}

func sortedKeys[T any](m map[string]T) string { return strings.Join(slices.Sorted(maps.Keys(m)), ", ") }
