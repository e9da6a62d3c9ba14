package runner

import (
	"slices"
	"time"

	"fuchsiaflow/schedule"
)

// speedInterval is how often the speed of the engines is measured: several events of a run on an
// engine of usual speed, and two on one that is three times slower.
const speedInterval = 300 * time.Millisecond

// measure reports the speed of the engines to the scheduler. The median over the runs of an engine
// is not moved by one that the engine has put back.
func (r *Runner) measure(now time.Time) {
	if now.Sub(r.measured) < speedInterval {
		return
	}
	r.measured = now
	gaps := make(map[string][]time.Duration)
	for _, rn := range r.runs {
		if gap, ok := rn.x.sample(now); ok {
			gaps[rn.engine] = append(gaps[rn.engine], gap)
		}
	}
	var list []schedule.SpeedSample
	for engine, g := range gaps {
		slices.Sort(g)
		list = append(list, schedule.SpeedSample{Engine: engine, EventGap: g[len(g)/2]})
	}
	r.sched.RecordSpeeds(now, list)
}

// sample returns the pause between the events since the last sample. Without any it is the time
// since the last event, if that is longer than a sample should take.
func (x *itemRun) sample(now time.Time) (time.Duration, bool) {
	x.text.mu.Lock()
	defer x.text.mu.Unlock()
	if x.got == 0 {
		return 0, false // it waits for its prompt, which says nothing of the speed
	}
	n, since := x.got-x.sampled, x.sampledAt
	switch {
	case n > 0:
		x.sampled, x.sampledAt = x.got, x.lastGot
		if since.IsZero() {
			n, since = x.got-1, x.firstGot
		}
		if n == 0 {
			return 0, false
		}
		return x.lastGot.Sub(since) / time.Duration(n), true
	case now.Sub(since) > speedInterval:
		return now.Sub(since), true
	}
	return 0, false
}
