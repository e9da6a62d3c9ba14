// Package httphead has what is common to the heads of requests and responses of HTTP/1.1: where a head ends, of how
// many lines it consists, and which numbers are statuses. It is pure.
package httphead

import (
	"bytes"
	"net/http"
)

// Statuses of the protocol.
const (
	minInterimStatus = 100
	minFinalStatus   = 200
	maxStatus        = 599
)

// IsInterim reports whether a response with a status is followed by another one.
func IsInterim(status int) bool {
	return status >= minInterimStatus && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// IsFinal reports whether a status is that of a response. A number that is neither final nor interim is not
// accepted: it is outside the protocol, or 101, which switches to a protocol that no request has asked for.
func IsFinal(status int) bool { return status >= minFinalStatus && status <= maxStatus }

// Scanner finds the end of a head that arrives in parts, and counts its lines. A line of CRs, which package net/http
// rejects, counts as empty. The zero value expects the first byte of a head.
type Scanner struct {
	lines int
	begun bool // a line that is not empty has been seen
	text  bool // the current line has a byte other than CR
}

// Lines returns the number of complete lines so far, with empty ones.
func (s *Scanner) Lines() int { return s.lines }

// Feed takes the next bytes. It returns how many of them belong to the head, and whether the head ends with them.
// Empty lines before the first line do not end the head.
func (s *Scanner) Feed(p []byte) (n int, complete bool) {
	for n < len(p) {
		line := p[n:]
		end := bytes.IndexByte(line, '\n')
		if end >= 0 {
			line = line[:end]
		}
		s.text = s.text || !onlyCR(line)
		if end < 0 {
			return len(p), false
		}
		n += end + 1
		s.lines++
		if s.begun && !s.text {
			return n, true
		}
		s.begun, s.text = s.begun || s.text, false
	}
	return n, false
}

// Continue makes the scanner expect the rest of a head of which p ends with the first bytes. Lines in p are not counted.
func (s *Scanner) Continue(p []byte) {
	*s = Scanner{begun: true, text: !onlyCR(p[bytes.LastIndexByte(p, '\n')+1:])}
}

// onlyCR reports whether a line without its end is empty.
func onlyCR(line []byte) bool {
	for _, b := range line {
		if b != '\r' {
			return false
		}
	}
	return true
}
