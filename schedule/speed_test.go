package schedule

import (
	"testing"
	"time"
)

// Guards against detecting a slow engine only when its runs have ended. Items of a group once ran for
// 7 s on an engine three times slower than the others, although these had free slots, because none of
// its runs had ended.
func TestRunsMoveOffSlowEngine(t *testing.T) {
	s := New()
	s.SetEngines(newEngines(9, "m"))
	s.AddJob("j", newTasks("j", "m", 9, 800))
	started := s.AssignTasks(testStart)
	slow := started[0].Engine
	var speeds []SpeedSample
	onSlow := 0
	for _, a := range started {
		gap := 43 * time.Millisecond
		if a.Engine == slow {
			gap = 145 * time.Millisecond
			onSlow++
		}
		speeds = append(speeds, SpeedSample{Engine: a.Engine, EventGap: gap})
	}
	now := testStart.Add(600 * time.Millisecond)
	s.RecordSpeeds(now, speeds)
	moves := s.PlanMoves(now)
	for _, m := range moves {
		if m.FromEngine != slow {
			t.Errorf("item %s moves off engine %s, which is not slow", m.Key.Item, m.FromEngine)
		}
		s.EndRun(now, m.Key, Stopped, 0, 0)
	}
	if len(moves) != onSlow {
		t.Fatalf("%d of %d runs move off the slow engine", len(moves), onSlow)
	}
	for _, a := range s.AssignTasks(now) {
		if a.Engine == slow {
			t.Errorf("item %s returns to the slow engine", a.Task.Item)
		}
	}
	// The engine may have recovered, so it gets runs again once its measurement is too old.
	now = now.Add(speedMaxAge)
	s.AddJob("k", newTasks("k", "m", 9, 800))
	reused := false
	for _, a := range s.AssignTasks(now) {
		reused = reused || a.Engine == slow
	}
	if !reused {
		t.Error("the engine gets no runs after its measurement has expired")
	}
}

// Guards against runs that move back and forth between engines of similar speed.
func TestRunsStayOnEnginesOfSimilarSpeed(t *testing.T) {
	s := New()
	s.SetEngines(newEngines(9, "m"))
	s.AddJob("j", newTasks("j", "m", 9, 800))
	var speeds []SpeedSample
	for i, a := range s.AssignTasks(testStart) {
		speeds = append(speeds, SpeedSample{Engine: a.Engine, EventGap: time.Duration(40+5*(i%5)) * time.Millisecond})
	}
	for k := range 10 {
		now := testStart.Add(time.Duration(k) * 300 * time.Millisecond)
		s.RecordSpeeds(now, speeds)
		if moves := s.PlanMoves(now); len(moves) > 0 {
			t.Fatalf("runs move between engines of similar speed: %+v", moves)
		}
	}
}
