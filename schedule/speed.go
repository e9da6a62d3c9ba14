package schedule

import (
	"slices"
	"time"
)

const (
	// speedSampleWeight is the weight of a new measurement in the moving average.
	speedSampleWeight = 0.5
	// speedMaxAge is how long a measurement is valid. An engine whose runs were moved away because it
	// was slow gets runs again after this time.
	speedMaxAge = 4 * time.Second
	// defaultGap is the assumed time between two output events of a run while no engine has a recent
	// measurement, in seconds.
	defaultGap = 0.045
)

// SpeedSample is a measurement of an engine's speed: the time between two output events of its runs.
// An event carries a part of the generated text.
type SpeedSample struct {
	Engine   string
	EventGap time.Duration
}

// engineSpeed is the moving average of an engine's measurements.
type engineSpeed struct {
	averageGap float64 // time between two events, scaled to an idle engine, in seconds; 0 while unknown
	measuredAt time.Time
}

// fresh reports whether the last measurement is recent enough to use.
func (s *engineSpeed) fresh(now time.Time) bool {
	return s.averageGap > 0 && now.Sub(s.measuredAt) < speedMaxAge
}

// expectedGap returns the expected time between two events of a run, scaled to an idle engine, in
// seconds. Without a fresh measurement it returns medianGap.
func (s *engineSpeed) expectedGap(now time.Time, medianGap float64) float64 {
	if s.fresh(now) {
		return s.averageGap
	}
	return medianGap
}

// record adds a measurement. slowdown is the factor by which the runs in progress slow the engine down; the gap is
// scaled to an idle engine, because events become slower as an engine fills up.
func (s *engineSpeed) record(now time.Time, gap time.Duration, slowdown float64) {
	g := gap.Seconds() / slowdown
	if s.fresh(now) {
		g = s.averageGap + speedSampleWeight*(g-s.averageGap)
	}
	s.averageGap, s.measuredAt = g, now
}

// RecordSpeeds records the speed of engines, measured on their current runs. Measuring only completed runs
// would not reveal a slow engine until a run on it has ended.
func (s *Scheduler) RecordSpeeds(now time.Time, samples []SpeedSample) {
	for _, sample := range samples {
		if e := s.engines[sample.Engine]; e != nil && sample.EventGap > 0 {
			e.recordCapacity(now, sample.EventGap)
			e.speed.record(now, sample.EventGap, e.slowdownAt(len(e.runs)))
		}
	}
	s.medianGap = s.medianMeasuredGap(now)
	s.reviewSpeeds(now)
}

// medianMeasuredGap returns the median gap of the engines with a fresh measurement, in seconds, or
// defaultGap if there is none.
func (s *Scheduler) medianMeasuredGap(now time.Time) float64 {
	var gaps []float64
	for _, e := range s.engines {
		if e.speed.fresh(now) {
			gaps = append(gaps, e.speed.averageGap)
		}
	}
	if len(gaps) == 0 {
		return defaultGap
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}
