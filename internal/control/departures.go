package control

import (
	"sync"

	"fuchsiaflow/fleet"
)

// Departures holds the departures of targets that are known to be stored by the state group. It is safe
// for concurrent use.
type Departures struct {
	mu  sync.Mutex
	set *fleet.Departures
}

// NewDepartures returns an empty set.
func NewDepartures() *Departures {
	return &Departures{set: fleet.NewDepartures(nil)}
}

// Add adds a departure.
func (s *Departures) Add(d fleet.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.Add(d)
}

// Covers reports whether the departure, or that of a later incarnation, is stored.
func (s *Departures) Covers(d fleet.Departure) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Covers(d.Target, d.Incarnation)
}
