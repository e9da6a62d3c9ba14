package schedule

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// unevenTrainers are four trainers with items of unequal length.
var unevenTrainers = []trainerWorkload{
	newTrainer("a", 18, 16, 14), newTrainer("b", 12, 12, 24), newTrainer("c", 8, 10, 36), newTrainer("d", 6, 8, 50),
}

// newTrainer returns a trainer that waits for 90% of its groups.
func newTrainer(model string, groups, size int, meanEvents float64) trainerWorkload {
	w := twoTrainers[0]
	w.model, w.groups, w.requiredGroups, w.groupSize, w.meanEvents = model, groups, (9*groups+5)/10, size, meanEvents
	return w
}

// unevenEngines makes two of three engines of speed 0.7 and one of 1.7, all with noise. With knees, the slow ones get no more
// work done with more than five runs.
func unevenEngines(knees bool) func(*simulation) {
	return func(m *simulation) {
		for i, e := range m.engines {
			m.slowdown[e.ID] = 1 / 0.7
			if i%3 == 2 {
				m.slowdown[e.ID] = 1 / 1.7
			} else if knees {
				m.knee[e.ID] = 5
			}
			m.noise[e.ID] = &engineNoise{rng: rand.New(rand.NewPCG(uint64(i), 9)), nextSlow: testStart}
		}
	}
}

// Guards against steps that wait for their last items on slow engines, or on engines beyond their knees, while others have
// room.
func TestStepsOnUnevenEnginesEndSooner(t *testing.T) {
	for _, knees := range []bool{false, true} {
		after := simulate(unevenTrainers, policyVariant{engines: 24}, unevenEngines(knees))
		before := simulate(unevenTrainers, policyVariant{engines: 24, alike: true}, unevenEngines(knees))
		t.Logf("knees %5t, before: %s", knees, before)
		t.Logf("knees %5t, after:  %s", knees, after)
		if after.groupsInTime < before.groupsInTime || knees && after.meanStep > before.meanStep {
			t.Errorf("knees %t: step %.2f s, before %.2f s; %.3f and %.3f of the groups are in time", knees, after.meanStep, before.meanStep, after.groupsInTime,
				before.groupsInTime)
		}
	}
}

// Guards against a run that is stopped for a move and starts on the same engine again, as often as moves are planned.
func TestMovedItemsLeaveTheirEngine(t *testing.T) {
	for _, knees := range []bool{false, true} {
		m := newSimulation(1, unevenTrainers, policyVariant{engines: 24})
		unevenEngines(knees)(m)
		m.advance(40 * time.Second)
		t.Logf("knees %t: %d runs, %d moves, %d of them back", knees, m.startedRuns, m.moves, m.returns)
		if m.returns > 0 {
			t.Errorf("knees %t: %d of %d moves ended on the engine that the item had left", knees, m.returns, m.moves)
		}
	}
}

// newUnlikeEngines returns a scheduler of a fast engine, e00, and a slow one, e01, whose speeds it knows, with a job of the
// given number of items.
func newUnlikeEngines(now time.Time, items int) *Scheduler {
	s := New()
	s.SetEngines(newEngines(2, "m"))
	for range 3 * 10 {
		s.RecordSpeeds(now, []SpeedSample{{Engine: "e00", EventGap: 20 * time.Millisecond}, {Engine: "e01", EventGap: 48 * time.Millisecond}})
	}
	tasks := newTasks("j", "m", (items+3)/4, 400)[:items]
	for i := range tasks {
		tasks[i].RemainingTokens = 400 + 40*i
	}
	s.AddJob("j", tasks)
	return s
}

// Guards against long items on slow engines while short ones take the slots of fast engines.
func TestLongItemsGoToFastEngines(t *testing.T) {
	s := newUnlikeEngines(testStart, 40)
	longest := make(map[string]int)
	shortest := map[string]int{"e00": math.MaxInt, "e01": math.MaxInt}
	for _, a := range s.AssignTasks(testStart) {
		longest[a.Engine] = max(longest[a.Engine], a.Task.RemainingTokens)
		shortest[a.Engine] = min(shortest[a.Engine], a.Task.RemainingTokens)
	}
	if longest["e01"] == 0 || longest["e01"] >= shortest["e00"] || shortest["e01"] != 400 {
		t.Errorf("the fast engine runs items from %d tokens, the slow one items from %d to %d", shortest["e00"], shortest["e01"], longest["e01"])
	}
}

// Guards against an engine that is filled beyond its knee while another one has room, and one that stays empty because of
// that when no other has room.
func TestEnginesAreFilledToTheirKnees(t *testing.T) {
	s := newUnlikeEngines(testStart, 24)
	fast := s.engines["e00"].estimate
	for range 30 {
		for n := 1; n <= 12; n++ { // four runs are as fast as one; more take longer in proportion
			fast.RecordResult(testStart, float64(n), time.Duration(max(n, 4))*5*time.Millisecond)
		}
	}
	s.RecordSpeeds(testStart, nil)
	knee := int(math.Round(fast.Knee()))
	s.AssignTasks(testStart)
	if on := len(s.engines["e00"].runs); knee > 6 || on != 12 {
		t.Errorf("knee %d, %d runs on the fast engine although there are as many items as slots", knee, on)
	}
	s = newUnlikeEngines(testStart, 8)
	s.engines["e00"].estimate = fast
	s.RecordSpeeds(testStart, nil)
	s.AssignTasks(testStart)
	if on := len(s.engines["e00"].runs); on > knee || on < 3 {
		t.Errorf("%d of 8 items on the fast engine, whose knee is %d", on, knee)
	}
}

// Guards against the last items of a step that stay on an engine that has turned slow, and against moves that gain nothing.
func TestLastItemsMoveWhenTheyEndSooner(t *testing.T) {
	for _, c := range []struct {
		gap   time.Duration // of the slow engine
		moves bool
	}{{33 * time.Millisecond, true}, {26 * time.Millisecond, false}} {
		s := newUnlikeEngines(testStart, 14)
		for _, task := range s.jobs["j"].waiting {
			task.RemainingTokens *= 10
		}
		var moves []Move
		slow := 0
		for _, a := range s.AssignTasks(testStart) {
			if a.Engine == "e00" {
				s.EndRun(testStart, a.Task.Key(), Finished, 0, 0)
			} else {
				slow++
			}
		}
		now := testStart.Add(50 * time.Millisecond)
		s.engines["e01"].estimate = newEngineCapacity(12)
		for range 10 {
			s.RecordSpeeds(now, []SpeedSample{{Engine: "e00", EventGap: 20 * time.Millisecond}, {Engine: "e01", EventGap: c.gap}})
		}
		moves = s.PlanMoves(now)
		if slow == 0 || (len(moves) > 0) != c.moves {
			t.Errorf("gap %s: %d of %d runs move, want some: %t", c.gap, len(moves), slow, c.moves)
		}
	}
}
