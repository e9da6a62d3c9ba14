package sse

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"fuchsiaflow/errs"
)

// endlessReader returns the same data forever.
type endlessReader struct {
	data string
	read int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(r.data, 1+len(p)/len(r.data)))
	r.read += n
	return n, nil
}

// Guards against an event without end that fills the memory.
func TestEndlessEvent(t *testing.T) {
	for name, data := range map[string]string{"one line": "x", "many lines": "data: x\n", "field of unknown name": "a: b\n"} {
		source := &endlessReader{data: data}
		_, err := NewReader(source, "").Next()
		var corrupt *errs.Corrupt
		if !errors.As(err, &corrupt) || source.read > 2*maxEventBytes {
			t.Errorf("%s: error %v after %d bytes, want errs.Corrupt soon after %d", name, err, source.read, maxEventBytes)
		}
	}
}

// Guards against a long line that is split or loses bytes at the end of the reader's buffer.
func TestLongLine(t *testing.T) {
	data := strings.Repeat("0123456789", 5000)
	raw := "id: 7\ndata: " + data + "\ndata: second\n\n"
	r := NewReader(bufio.NewReader(strings.NewReader(raw)), "")
	e, err := r.Next()
	if err != nil || e.ID != 7 || string(e.Data) != data+"\nsecond" || string(e.Raw) != raw {
		t.Errorf("event %d with %d bytes of data, error %v", e.ID, len(e.Data), err)
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("error %v at the end of the stream, want io.EOF", err)
	}
}
