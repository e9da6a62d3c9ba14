package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiaflow/fleet"
)

var testStart = time.Unix(1000, 0)

// newEngines returns n engines of one service, spread over three failure domains, with version 1 of the
// models loaded.
func newEngines(n int, models ...string) []Engine {
	var list []Engine
	for i := range n {
		weights := make(map[string]uint64)
		for _, m := range models {
			weights[m] = 1
		}
		list = append(list, Engine{Target: fleet.Target{ID: fmt.Sprintf("e%02d", i), Service: "s", Domain: fmt.Sprintf("d%d", i%3),
			State: fleet.Ready, Slots: 12, Incarnation: 1, Weights: weights}, KVCacheTokens: 26000, Models: models})
	}
	return list
}

// newTasks returns the tasks of a job with groups of four items.
func newTasks(id, model string, groups, size int) []Task {
	var list []Task
	for i := range groups * 4 {
		list = append(list, Task{Job: id, Item: fmt.Sprintf("%s-%03d", id, i), Service: "s", Model: model, MinVersion: 1,
			Group: fmt.Sprintf("%s-%d", id, i/4), RemainingTokens: size, PromptTokens: 270, Deadline: testStart.Add(7 * time.Second)})
	}
	return list
}

// Guards against an endless loop that reassigns an engine between two models. It occurred when one
// model was short of a fraction of an engine and the other exceeded its share by a fraction.
func TestModelAssignmentTerminatesAndFollowsDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}
		s := New()
		n := rapid.IntRange(1, 14).Draw(t, "engines")
		list := newEngines(n, models...)
		s.SetEngines(list)
		total := 0
		sizes := make(map[string]int)
		for i, m := range models {
			sizes[m] = rapid.IntRange(1, 60).Draw(t, "groups of "+m)
			total += sizes[m]
			s.AddJob(fmt.Sprintf("j%d", i), newTasks(fmt.Sprintf("j%d", i), m, sizes[m], 800))
			s.RecordDemand("s", m, sizes[m])
		}
		s.SetEngines(list)
		removed := rapid.IntRange(0, n-1).Draw(t, "lost")
		s.SetEngines(list[removed:])
		assigned := make(map[string]int)
		for _, e := range s.enginesByID() {
			if !e.draining {
				assigned[e.assignedModel]++
			}
		}
		for _, m := range models {
			want := max(float64(n-removed)*float64(sizes[m])/float64(total), 1)
			// Reassignment ends with deficits that differ by less than minReassignmentGain or with none
			// below 0. As the shares exceed the engines by less than 2, each deficit is below 2.
			if n-removed >= 2*len(models) && float64(assigned[m]) < want-2 {
				t.Errorf("model %s has %d of %d engines, its share is %.1f (all: %v)", m, assigned[m], n-removed, want, assigned)
			}
		}
	})
}

// Guards against free slots while items wait: the longest items start first, and reserving their final
// KV cache usage would exhaust the capacity of an engine.
func TestLongItemsDoNotLeaveSlotsIdle(t *testing.T) {
	s := New()
	s.SetEngines(newEngines(3, "a"))
	tasks := append(newTasks("long", "a", 9, 3500), newTasks("short", "a", 9, 500)...)
	for i := range tasks {
		tasks[i].Job = "j"
	}
	s.AddJob("j", tasks)
	if started := len(s.AssignTasks(testStart)); started < 36 {
		t.Errorf("%d of 36 slots are used while %d items wait", started, len(tasks)-started)
	}
}

// Guards against an item that waits forever because its partial text must be completed by the version
// that began it, and every engine has loaded a newer version since. The item must then restart from
// the beginning, but not while an engine with the version is merely full.
func TestItemRestartsWhenItsVersionIsUnavailable(t *testing.T) {
	s, list, key := newSingleVersionScheduler()
	s.AddJob("full", newTasks("full", "a", 6, 500))
	first := s.AssignTasks(testStart)[0]
	if first.Task.Key() != key {
		t.Fatalf("%v starts first, want the single-version task", first.Task.Key())
	}
	s.EndRun(testStart, key, Stopped, 300, 1)
	s.RecordLoaded(testStart, otherEngine(first.Engine, list), "a", 2)
	if got := startTask(s, testStart, key); got == nil || got.Engine != first.Engine || got.Task.PinnedVersion != 1 {
		t.Fatalf("with version 1 still on an engine: assignment %+v", got)
	}
	s.EndRun(testStart, key, Stopped, 300, 1)
	s.RecordLoaded(testStart, first.Engine, "a", 2)
	if got := startTask(s, testStart, key); got == nil || got.Task.PinnedVersion != 0 {
		t.Errorf("without version 1 on any engine: assignment %+v", got)
	}
}

// Guards against moving a run to an engine with another version, which cannot complete its text.
func TestSingleVersionRunsMoveOnlyToSameVersion(t *testing.T) {
	s, list, _ := newSingleVersionScheduler()
	run := s.AssignTasks(testStart)[0]
	dest := otherEngine(run.Engine, list)
	s.RecordLoaded(testStart, dest, "a", 2)
	for range 5 {
		s.RecordSpeeds(testStart, []SpeedSample{{Engine: run.Engine, EventGap: 200 * time.Millisecond}, {Engine: dest, EventGap: 20 * time.Millisecond}})
	}
	if moves := s.PlanMoves(testStart); len(moves) > 0 {
		t.Errorf("moved from version 1 to version 2: %v", moves)
	}
	s.RecordLoaded(testStart, run.Engine, "a", 2) // both engines have the same version again
	if moves := s.PlanMoves(testStart); len(moves) != 1 {
		t.Errorf("moves between engines with the same version: %v, want one", moves)
	}
}

// Guards against items that wait while engines of models without waiting items load first. It occurred
// when a new leader could not send orders for some seconds, so that all models were behind.
func TestEnginesBlockingWaitingItemsLoadFirst(t *testing.T) {
	s := New()
	s.SetEngines(newEngines(9, "a", "b", "c"))
	blocked := ""
	for _, e := range s.enginesByID() {
		blocked = e.assignedModel // ends as the model of the last engine by ID
	}
	tasks := newTasks("j", blocked, 6, 500)
	for i := range tasks {
		tasks[i].MinVersion = 2
	}
	s.AddJob("j", tasks)
	loads := s.PlanLoads(testStart, map[string]uint64{"a": 3, "b": 3, "c": 3})
	if len(loads) == 0 {
		t.Fatal("no engine is ordered to load")
	}
	for _, l := range loads {
		if l.Model != blocked {
			t.Errorf("%s loads %s while items of %s wait", l.Engine, l.Model, blocked)
		}
	}
}

// Guards against loads that wait for unreachable engines. Two engines had accepted an order before a
// network partition isolated their failure domain, and no other engine got an order for six seconds.
func TestLoadsDoNotWaitForFailingEngines(t *testing.T) {
	s := New()
	s.SetEngines(newEngines(9, "a"))
	published := map[string]uint64{"a": 2}
	first := s.PlanLoads(testStart, published)
	for _, l := range first {
		s.RecordLoadOrder(testStart, l, true)
	}
	if again := s.PlanLoads(testStart, published); len(first) != 2 || len(again) != 0 {
		t.Fatalf("%d and then %d engines are ordered to load, want 2 and then 0", len(first), len(again))
	}
	for _, l := range first {
		s.engines[l.Engine].recordOutcome(testStart, Broken)
	}
	if got := s.PlanLoads(testStart.Add(time.Second), published); len(got) != 2 {
		t.Errorf("%d engines are ordered to load after a run on each of the first ones ended as Broken, want 2", len(got))
	}
}

// newSingleVersionScheduler returns a scheduler with two engines and one waiting task that has
// SingleVersion set, together with the engines and the key of the task.
func newSingleVersionScheduler() (*Scheduler, []Engine, Key) {
	s := New()
	list := newEngines(2, "a")
	s.SetEngines(list)
	tasks := newTasks("j", "a", 1, 500)[:1]
	tasks[0].SingleVersion = true
	s.AddJob("j", tasks)
	return s, list, tasks[0].Key()
}

// otherEngine returns the ID of the engine of two that is not the given one.
func otherEngine(engine string, list []Engine) string {
	if list[0].ID == engine {
		return list[1].ID
	}
	return list[0].ID
}

// startTask calls AssignTasks and returns the assignment of a task, or nil if it does not start.
func startTask(s *Scheduler, now time.Time, key Key) *Assignment {
	for _, a := range s.AssignTasks(now) {
		if a.Task.Key() == key {
			return &a
		}
	}
	return nil
}

// Guards against a model that makes no progress because all engines assigned to it are unavailable,
// while other engines work.
func TestUnavailableEnginesAreReplaced(t *testing.T) {
	s := New()
	list := newEngines(6, "a", "b")
	s.SetEngines(list)
	s.AddJob("ja", newTasks("ja", "a", 20, 800))
	s.AddJob("jb", newTasks("jb", "b", 20, 800))
	now := testStart
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for _, a := range s.AssignTasks(now) {
			e := s.engines[a.Engine]
			// Once an engine is unavailable, its runs continue to break, so that it does not recover.
			if a.Task.Model == "a" && e.assignedModel == "a" || e.unavailable() {
				s.EndRun(now, a.Task.Key(), Broken, 0, 0)
			}
		}
		s.SetEngines(list)
	}
	state := s.ModelStates()
	for _, m := range state {
		if m.Model == "a" && m.Engines-m.Unavailable == 0 {
			t.Errorf("no available engine is assigned to model a: %+v", state)
		}
	}
}

// Measures AssignTasks with all slots in use and tasks of several jobs waiting, at the cluster sizes of the
// capacity page.
func BenchmarkNextWhenBusy(b *testing.B) {
	for _, n := range []int{9, 45, 1000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			s := New()
			s.SetEngines(newEngines(n, "a", "b", "c"))
			for i, m := range []string{"a", "b", "c"} {
				id := fmt.Sprintf("j%d", i)
				s.AddJob(id, newTasks(id, m, 2*n, 800))
			}
			s.AssignTasks(testStart)
			for b.Loop() {
				s.AssignTasks(testStart)
			}
		})
	}
}

// Guards against a new leader that assigns engines to other models than the previous leader did, so
// that each engine must load other weights.
func TestNewLeaderKeepsModelAssignment(t *testing.T) {
	list := newEngines(9, "a", "b", "c")
	models := []string{"a", "a", "a", "a", "b", "b", "c", "c", "c"}
	for i := range list {
		list[i].Weights[models[i]] = 7
	}
	s := New()
	for m, tokens := range map[string]int{"a": 80, "b": 44, "c": 72} {
		s.RecordDemand("s", m, tokens)
	}
	s.SetEngines(list)
	for i, e := range s.enginesByID() {
		if e.assignedModel != models[i] {
			t.Errorf("engine %s is assigned to %s, previously to %s", e.ID, e.assignedModel, models[i])
		}
	}
}

// Guards against a task that waits for ever, or goes back to the service of an older configuration, because the
// routes changed while it ran.
func TestRunningTaskIsRerouted(t *testing.T) {
	now := time.Unix(0, 0)
	s := New()
	engines := newEngines(2, "m")
	engines[1].Service = "next"
	s.SetEngines(engines)
	s.AddJob("j", newTasks("j", "m", 1, 1)[:1])
	first := s.AssignTasks(now)
	if len(first) != 1 || first[0].Engine != engines[0].ID {
		t.Fatalf("assignments %+v, want one to the engine of the first service", first)
	}
	if unrouted := s.Reroute(func(*Task) string { return "next" }); len(unrouted) != 0 {
		t.Fatalf("unrouted tasks %v, want none", unrouted)
	}
	if waiting, running := s.Counts(); waiting != 0 || running != 1 {
		t.Fatalf("%d waiting, %d running; want the run to go on", waiting, running)
	}
	s.SetEngines(engines[1:])
	s.EndRun(now, first[0].Task.Key(), Broken, 0, 0)
	if again := s.AssignTasks(now); len(again) != 1 || again[0].Engine != engines[1].ID {
		t.Errorf("assignments after the run broke off: %+v, want one to the engine of the next service", again)
	}
}
