package schedule

import (
	"fmt"
	"testing"
	"time"

	"fuchsiaflow/fleet"
)

// newFullScheduler returns a scheduler of 83 engines with 6 slots and of eight models, whose slots are all
// in use, and its assignments. Each model has the given number of items.
func newFullScheduler(now time.Time, items int) (*Scheduler, []Assignment) {
	const models, engines, slots = 8, 83, 6
	var list []Engine
	var names []string
	for m := range models {
		names = append(names, fmt.Sprint("m", m))
	}
	for i := range engines {
		weights := make(map[string]uint64)
		for _, m := range names {
			weights[m] = 1
		}
		list = append(list, Engine{Target: fleet.Target{ID: fmt.Sprintf("e%02d", i), Service: "s", Domain: fmt.Sprint("d", i%5), State: fleet.Ready, Slots: slots, Weights: weights},
			KVCacheTokens: 52167, Models: names})
	}
	s := New()
	s.SetEngines(list)
	for _, m := range names {
		var tasks []Task
		for i := range items {
			tasks = append(tasks, Task{Job: m, Item: fmt.Sprint(m, "-", i), Service: "s", Model: m, MinVersion: 1, Group: fmt.Sprint(i / 16), RemainingTokens: 400,
				PromptTokens: 1016, Deadline: now.Add(7 * time.Second)})
		}
		s.RecordDemand("s", m, 1000)
		s.AddJob(m, tasks)
	}
	return s, s.AssignTasks(now)
}

// BenchmarkAssignWhenFull measures a decision in which one slot is free and many tasks wait.
func BenchmarkAssignWhenFull(b *testing.B) {
	now := time.Unix(1000, 0)
	s, running := newFullScheduler(now, 288)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		a := running[n%len(running)]
		now = now.Add(time.Millisecond)
		s.EndRun(now, a.Task.Key(), Stopped, 0, 0)
		again := s.AssignTasks(now)
		if len(again) == 1 {
			running[n%len(running)] = again[0]
		}
	}
}

// BenchmarkPlanMoves measures the search for runs on slow engines while no engine is slow.
func BenchmarkPlanMoves(b *testing.B) {
	now := time.Unix(1000, 0)
	s, running := newFullScheduler(now, 60)
	var samples []SpeedSample
	for i, a := range running {
		samples = append(samples, SpeedSample{Engine: a.Engine, EventGap: time.Duration(40+i%5) * time.Millisecond})
	}
	s.RecordSpeeds(now, samples)
	b.ReportAllocs()
	for b.Loop() {
		s.PlanMoves(now)
	}
}
