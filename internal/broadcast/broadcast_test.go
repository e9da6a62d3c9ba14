package broadcast

import "testing"

// Guards against waiters that a change does not wake, and against one that wakes those who wait for a later one.
func TestAnnounceWakesAllWaiters(t *testing.T) {
	var s Signal
	s.Announce()
	first, second := s.Next(), s.Next()
	select {
	case <-first:
		t.Error("a waiter is woken without a change")
	default:
	}
	s.Announce()
	<-first
	<-second
	select {
	case <-s.Next():
		t.Error("a waiter is woken by an earlier change")
	default:
	}
}
