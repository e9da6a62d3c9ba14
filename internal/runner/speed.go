package runner

import (
	"slices"
	"time"

	"fuchsiaflow/schedule"
)

// speedInterval is how often the speed of the engines is measured. At normal speed a run
// produces several events in this time; at a third of that speed, about two.
const speedInterval = 300 * time.Millisecond

// measureSpeed reports the event gap of each engine to the scheduler. It takes the median over the
// runs of an engine, which a single preempted run does not distort.
func (r *Runner) measureSpeed(now time.Time) {
	if now.Sub(r.measuredAt) < speedInterval {
		return
	}
	r.measuredAt = now
	gaps := make(map[string][]time.Duration)
	for _, rn := range r.runs {
		if gap, ok := rn.itemRun.sampleGap(now); ok {
			gaps[rn.engine] = append(gaps[rn.engine], gap)
		}
	}
	var list []schedule.SpeedSample
	for engine, samples := range gaps {
		slices.Sort(samples)
		list = append(list, schedule.SpeedSample{Engine: engine, EventGap: samples[len(samples)/2]})
	}
	r.sched.RecordSpeeds(now, list)
}

// sampleGap returns the average gap between the events since the last sample. If there were none, it
// returns the time since the last event, provided that this is longer than speedInterval.
func (ir *itemRun) sampleGap(now time.Time) (time.Duration, bool) {
	ir.output.mu.Lock()
	defer ir.output.mu.Unlock()
	if ir.eventCount == 0 {
		return 0, false // the prompt is still being processed, which does not indicate generation speed
	}
	n, since := ir.eventCount-ir.sampledCount, ir.sampledAt
	switch {
	case n > 0:
		ir.sampledCount, ir.sampledAt = ir.eventCount, ir.lastEventAt
		if since.IsZero() {
			n, since = ir.eventCount-1, ir.firstEventAt
		}
		if n == 0 {
			return 0, false
		}
		return ir.lastEventAt.Sub(since) / time.Duration(n), true
	case now.Sub(since) > speedInterval:
		return now.Sub(since), true
	}
	return 0, false
}
