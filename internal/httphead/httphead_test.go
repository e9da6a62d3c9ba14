package httphead

import (
	"bufio"
	"io"
	"net/textproto"
	"strings"
	"testing"
)

// Guards against an end of a head that differs from the one that net/http sees, in parts of any size.
func TestScannerEndsWhereTheHeadEnds(t *testing.T) {
	for _, c := range []struct {
		head  string
		lines int
	}{
		{"GET / HTTP/1.1\r\n\r\n", 2}, {"GET / HTTP/1.1\nA: b\n\n", 3}, {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 4},
		{"GET / HTTP/1.1\r\nA:\r\n\n", 3},
	} {
		r := textproto.NewReader(bufio.NewReader(strings.NewReader(c.head + "rest")))
		if _, err := r.ReadLine(); err != nil {
			t.Fatal(err)
		}
		if _, err := r.ReadMIMEHeader(); err != nil {
			t.Fatal(err)
		}
		if rest, _ := io.ReadAll(r.R); string(rest) != "rest" {
			t.Errorf("%q does not end as expected: %q", c.head, rest)
		}
		for size := 1; size <= len(c.head); size++ {
			var s Scanner
			var n int
			complete := false
			for rest := "\r\n" + c.head + "rest"; !complete; rest = rest[n:] {
				n, complete = s.Feed([]byte(rest[:min(size, len(rest))]))
				if complete && rest[n:] != "rest" {
					t.Errorf("%q in parts of %d ends before %q", c.head, size, rest[n:])
				}
			}
			if s.Lines() != c.lines+1 {
				t.Errorf("%q has %d lines", c.head, s.Lines())
			}
		}
	}
}

// Guards against the rest of a head that is taken for the begin of one.
func TestScannerContinues(t *testing.T) {
	for _, c := range []struct {
		before, rest string
		end          int
	}{{"G", "ET /\r\n\r\nx", 8}, {"GET /\r\n", "\r\nx", 2}, {"GET /\r\n\r", "\nx", 1}, {"GET /\r", "\n\nx", 2}} {
		var s Scanner
		s.Continue([]byte(c.before))
		if n, complete := s.Feed([]byte(c.rest)); n != c.end || !complete {
			t.Errorf("after %q, %q ends at %d, %t", c.before, c.rest, n, complete)
		}
	}
}
