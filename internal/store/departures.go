package store

import (
	"sync"

	"fuchsiaflow/fleet"
)

// storedDepartures holds the departures of targets that are known to be stored by the state group. It is safe
// for concurrent use.
type storedDepartures struct {
	mu  sync.Mutex
	set *fleet.Departures
}

func newStoredDepartures() *storedDepartures {
	return &storedDepartures{set: fleet.NewDepartures(nil)}
}

func (s *storedDepartures) add(d fleet.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Add(d)
}

func (s *storedDepartures) covers(d fleet.Departure) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Covers(d.Target, d.Incarnation)
}
