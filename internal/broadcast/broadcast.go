// Package broadcast wakes all goroutines that wait for the next change of a state.
package broadcast

import "sync"

// Signal announces changes. The zero value is ready for use. It is safe for concurrent use.
type Signal struct {
	mu   sync.Mutex
	next chan struct{} // closed at the next change; nil if nobody waits for it
}

// Next returns a channel that is closed at the next change. A reader that gets it before it reads the state misses no change
// that is announced after it was made.
func (s *Signal) Next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = make(chan struct{})
	}
	return s.next
}

// Announce announces a change.
func (s *Signal) Announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next != nil {
		close(s.next)
		s.next = nil
	}
}
