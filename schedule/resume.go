package schedule

import (
	"slices"
	"time"
)

// TokensPerEvent is the typical number of output tokens of an event; only the relative order of estimates matters.
const TokensPerEvent = 43

// Partial is the text that earlier runs of a task have generated. What two software versions of a service write does not
// fit together: a run goes on with the text at an engine of the version that generated it, and starts from the beginning
// elsewhere.
type Partial struct {
	Events  int    // 0 without a text
	Release string // software version of the engines that generated it
}

// SetPartial records the text of a running task before its run is reported to EndRun.
func (s *Scheduler) SetPartial(now time.Time, key Key, p Partial) {
	j := s.jobs[key.Job]
	if j == nil || j.running[key.Item] == nil {
		return
	}
	if t := j.running[key.Item].task; t.Partial != p {
		t.Partial, t.partialSince = p, now
	}
}

// startsAnew reports whether a run of the task on the engine discards its text.
func (t *Task) startsAnew(e *engine) bool {
	return t.Partial.Events > 0 && t.Partial.Release != e.Release
}

// restartFactor returns how many times longer a run on the engine takes than one that goes on with the text.
func (t *Task) restartFactor(e *engine) float64 {
	if !t.startsAnew(e) {
		return 1
	}
	return 1 + float64(t.Partial.Events*TokensPerEvent)/float64(max(t.RemainingTokens, TokensPerEvent))
}

// awaitsRelease reports whether a task rather waits for an engine that goes on with its text than starts from the
// beginning now. It waits as long as it would take to generate the text again.
func (s *Scheduler) awaitsRelease(now time.Time, t *Task) bool {
	if t.partialSince.IsZero() {
		t.partialSince = now // the text of an earlier job or leader
	}
	again := time.Duration(float64(t.Partial.Events) * s.medianGap * float64(time.Second))
	return now.Before(t.partialSince.Add(again)) && slices.ContainsFunc(s.enginesByID(), func(e *engine) bool {
		return !t.startsAnew(e) && e.serves(t)
	})
}

// serves reports whether the engine can start the task once it has room.
func (e *engine) serves(t *Task) bool {
	version := e.version(t.Model)
	return e.Service == t.Service && !e.draining && !e.unavailable() && version >= t.MinVersion && (t.PinnedVersion == 0 || version == t.PinnedVersion)
}

// taskAfterMove returns the task of a run as it would wait if the run were stopped now.
func (r *run) taskAfterMove(now time.Time) Task {
	t := *r.task
	if t.SingleVersion {
		t.PinnedVersion = r.engine.versions[t.Model] // the version that generated the partial text
	}
	generated := int(now.Sub(r.startedAt).Seconds() / r.engine.speed.averageGap)
	if !t.startsAnew(r.engine) {
		generated += t.Partial.Events
	}
	t.Partial = Partial{Events: generated, Release: r.engine.Release}
	return t
}
