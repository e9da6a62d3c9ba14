package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fuchsiaflow/fleet"
)

var start = time.Unix(1000, 0)

// engines returns n engines of one service, spread over three failure domains.
func engines(n int, models ...string) []Engine {
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

// newTasks returns tasks of groups of four items.
func newTasks(id, model string, groups, size int) []Task {
	var list []Task
	for i := range groups * 4 {
		list = append(list, Task{Job: id, Item: fmt.Sprintf("%s-%03d", id, i), Service: "s", Model: model, MinVersion: 1,
			Group: fmt.Sprintf("%s-%d", id, i/4), RemainingTokens: size, PromptTokens: 270, Deadline: start.Add(7 * time.Second)})
	}
	return list
}

// Guards against an engine that is moved to and fro between two models without end, which
// happened when one lacked and the other exceeded a share of an engine.
func TestAssignmentEndsAndFollowsDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}
		s := New()
		n := rapid.IntRange(1, 14).Draw(t, "engines")
		list := engines(n, models...)
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
		lost := rapid.IntRange(0, n-1).Draw(t, "lost")
		s.SetEngines(list[lost:])
		have := make(map[string]int)
		for _, e := range s.sorted() {
			if !e.draining {
				have[e.model]++
			}
		}
		for _, m := range models {
			want := max(float64(n-lost)*float64(sizes[m])/float64(total), 1)
			if n-lost >= 2*len(models) && float64(have[m]) < want-2 {
				t.Errorf("model %s has %d engines of %d, its share is %.1f (all: %v)", m, have[m], n-lost, want, have)
			}
		}
	})
}

// Guards against slots that stay empty while items wait, because the longest items fill the
// memory of an engine with what they might need at their end.
func TestSlotsAreUsedWhenLongItemsWait(t *testing.T) {
	s := New()
	s.SetEngines(engines(3, "a"))
	tasks := append(newTasks("long", "a", 9, 3500), newTasks("short", "a", 9, 500)...)
	for i := range tasks {
		tasks[i].Job = "j"
	}
	s.AddJob("j", tasks)
	if n := len(s.AssignTasks(start)); n < 36 {
		t.Errorf("%d of 36 slots are used while %d items wait", n, len(tasks)-n)
	}
}

// Guards against an item that waits for ever: its text was begun under a version that must also
// end it, and every engine has loaded a newer one since. It starts from the beginning then, but
// not while an engine with the version is only full.
func TestTextOfAVersionThatIsGoneIsGivenUp(t *testing.T) {
	s, list, key := oneVersionTask()
	s.AddJob("full", newTasks("full", "a", 6, 500))
	first := s.AssignTasks(start)[0]
	if first.Task.Key() != key {
		t.Fatalf("%v starts first", first.Task.Key())
	}
	s.EndRun(start, key, Stopped, 300, 1)
	s.RecordLoaded(start, other(first.Engine, list), "a", 2)
	if got := next(s, start, key); got == nil || got.Engine != first.Engine || got.Task.PinnedVersion != 1 {
		t.Fatalf("with an engine of version 1: %+v", got)
	}
	s.EndRun(start, key, Stopped, 300, 1)
	s.RecordLoaded(start, first.Engine, "a", 2)
	if got := next(s, start, key); got == nil || got.Task.PinnedVersion != 0 {
		t.Errorf("without an engine of version 1: %+v", got)
	}
}

// Guards against a run that is moved to an engine that cannot end its text.
func TestRunsMoveOnlyToTheirVersion(t *testing.T) {
	s, list, _ := oneVersionTask()
	run := s.AssignTasks(start)[0]
	target := other(run.Engine, list)
	s.RecordLoaded(start, target, "a", 2)
	for range 5 {
		s.RecordSpeeds(start, []SpeedSample{{Engine: run.Engine, EventGap: 200 * time.Millisecond}, {Engine: target, EventGap: 20 * time.Millisecond}})
	}
	if moves := s.PlanMoves(start); len(moves) > 0 {
		t.Errorf("moved from version 1 to version 2: %v", moves)
	}
	s.RecordLoaded(start, run.Engine, "a", 2) // both have the same version again
	if moves := s.PlanMoves(start); len(moves) != 1 {
		t.Errorf("moves between engines of one version: %v, want one", moves)
	}
}

// Guards against items that wait while the engines of other models, which nothing waits for, load
// their weights first. It happened when a new leader could give no orders for some seconds and all
// models were behind.
func TestEnginesThatItemsWaitForLoadFirst(t *testing.T) {
	s := New()
	s.SetEngines(engines(9, "a", "b", "c"))
	blocked := ""
	for _, e := range s.sorted() {
		blocked = e.model // the last one in the order of the ids
	}
	tasks := newTasks("j", blocked, 6, 500)
	for i := range tasks {
		tasks[i].MinVersion = 2
	}
	s.AddJob("j", tasks)
	loads := s.PlanLoads(start, map[string]uint64{"a": 3, "b": 3, "c": 3})
	if len(loads) == 0 {
		t.Fatal("nothing is loaded")
	}
	for _, l := range loads {
		if l.Model != blocked {
			t.Errorf("%s loads %s while items of %s wait", l.Engine, l.Model, blocked)
		}
	}
}

// Guards against loads that wait for engines that cannot be reached: two of them had accepted an
// order before their failure domain was cut off, and no other engine got one for six seconds.
func TestLoadsDoNotWaitForLostEngines(t *testing.T) {
	s := New()
	s.SetEngines(engines(9, "a"))
	named := map[string]uint64{"a": 2}
	first := s.PlanLoads(start, named)
	for _, l := range first {
		s.RecordLoadOrder(start, l, true)
	}
	if again := s.PlanLoads(start, named); len(first) != 2 || len(again) != 0 {
		t.Fatalf("%d and %d engines load at once, want 2 and no more", len(first), len(again))
	}
	for _, l := range first {
		s.engines[l.Engine].took(start, Broken)
	}
	if got := s.PlanLoads(start.Add(time.Second), named); len(got) != 2 {
		t.Errorf("%d engines load while those before cannot be reached, want 2", len(got))
	}
}

// oneVersionTask returns a scheduler with two engines and one task whose text one version must make.
func oneVersionTask() (*Scheduler, []Engine, Key) {
	s := New()
	list := engines(2, "a")
	s.SetEngines(list)
	tasks := newTasks("j", "a", 1, 500)[:1]
	tasks[0].SingleVersion = true
	s.AddJob("j", tasks)
	return s, list, tasks[0].Key()
}

// other returns the engine of two that is not named.
func other(engine string, list []Engine) string {
	if list[0].ID == engine {
		return list[1].ID
	}
	return list[0].ID
}

// next returns the assignment of a task, if it starts now.
func next(s *Scheduler, now time.Time, key Key) *Assignment {
	for _, a := range s.AssignTasks(now) {
		if a.Task.Key() == key {
			return &a
		}
	}
	return nil
}

// Guards against a model that stops because the engines meant for it cannot be reached, while
// other engines work.
func TestLostEnginesAreReplaced(t *testing.T) {
	s := New()
	list := engines(6, "a", "b")
	s.SetEngines(list)
	s.AddJob("ja", newTasks("ja", "a", 20, 800))
	s.AddJob("jb", newTasks("jb", "b", 20, 800))
	now := start
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		for _, a := range s.AssignTasks(now) {
			e := s.engines[a.Engine]
			if a.Task.Model == "a" && e.model == "a" || e.lost() {
				s.EndRun(now, a.Task.Key(), Broken, 0, 0)
			}
		}
		s.SetEngines(list)
	}
	state := s.ModelStates()
	for _, m := range state {
		if m.Model == "a" && m.Engines-m.Unavailable == 0 {
			t.Errorf("no engine is meant for model a: %+v", state)
		}
	}
}

// Measures a decision at the sizes of the capacity page: all slots busy and four jobs waiting.
func BenchmarkNextWhenBusy(b *testing.B) {
	for _, n := range []int{9, 45, 1000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			s := New()
			s.SetEngines(engines(n, "a", "b", "c"))
			for i, m := range []string{"a", "b", "c"} {
				id := fmt.Sprintf("j%d", i)
				s.AddJob(id, newTasks(id, m, 2*n, 800))
			}
			s.AssignTasks(start)
			for b.Loop() {
				s.AssignTasks(start)
			}
		})
	}
}

// Guards against a new leader that gives engines to other models than the one before, so that
// each must load other weights.
func TestNewLeaderKeepsTheModelsOfEngines(t *testing.T) {
	list := engines(9, "a", "b", "c")
	models := []string{"a", "a", "a", "a", "b", "b", "c", "c", "c"}
	for i := range list {
		list[i].Weights[models[i]] = 7
	}
	s := New()
	for m, tokens := range map[string]int{"a": 80, "b": 44, "c": 72} {
		s.RecordDemand("s", m, tokens)
	}
	s.SetEngines(list)
	for i, e := range s.sorted() {
		if e.model != models[i] {
			t.Errorf("engine %s serves %s, before %s", e.ID, e.model, models[i])
		}
	}
}
