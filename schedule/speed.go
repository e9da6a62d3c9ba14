package schedule

import (
	"slices"
	"time"
)

const (
	// speedShare is the weight of a new measurement in the average.
	speedShare = 0.5
	// speedAge is how long a measurement is trusted. An engine that was slow and lost its runs is
	// tried again after that.
	speedAge = 4 * time.Second
	// typicalGap stands for the pause between events of an engine as long as none is measured, in
	// seconds.
	typicalGap = 0.045
)

// SpeedSample is a measurement of an engine's speed: the pause between two events of its runs.
type SpeedSample struct {
	Engine   string
	EventGap time.Duration
}

// speed is what the runs of an engine show of it.
type speed struct {
	average  float64 // pause between events of a run on the empty engine, in seconds; 0 while unknown
	measured time.Time
}

// known tells whether there is a measurement that is recent enough.
func (s *speed) known(now time.Time) bool { return s.average > 0 && now.Sub(s.measured) < speedAge }

// gap returns the expected pause between events, in seconds. An engine that is not known counts as
// typical.
func (s *speed) gap(now time.Time, typical float64) float64 {
	if s.known(now) {
		return s.average
	}
	return typical
}

// take adds a measurement, from an engine with a share of its slots in use. Events of a full engine
// come more slowly.
func (s *speed) take(now time.Time, gap time.Duration, occupancy float64) {
	g := gap.Seconds() / (1 + spreadGain*occupancy)
	if s.known(now) {
		g = s.average + speedShare*(g-s.average)
	}
	s.average, s.measured = g, now
}

// RecordSpeeds takes in the speed of engines, as their present runs show it. Waiting for the end of a
// run would hide a slow engine until its last run is late.
func (s *Scheduler) RecordSpeeds(now time.Time, list []SpeedSample) {
	for _, m := range list {
		if e := s.engines[m.Engine]; e != nil && m.EventGap > 0 {
			e.speed.take(now, m.EventGap, e.occupancy(0))
		}
	}
	s.typical = s.median(now)
}

// median returns the median speed of the engines that are known.
func (s *Scheduler) median(now time.Time) float64 {
	var gaps []float64
	for _, e := range s.engines {
		if e.speed.known(now) {
			gaps = append(gaps, e.speed.average)
		}
	}
	if len(gaps) == 0 {
		return typicalGap
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}
