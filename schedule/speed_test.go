package schedule

import (
	"testing"
	"time"
)

// Guards against a slow engine that is noticed only when its last run is late: on a calm day items
// of a group ran 7 s on an engine three times slower than the others, whose slots were free,
// because none of its runs had ended.
func TestRunsLeaveASlowEngineWhileTheyRun(t *testing.T) {
	s := New()
	s.SetEngines(engines(9, "m"))
	s.AddJob("j", newTasks("j", "m", 9, 800))
	started := s.AssignTasks(start)
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
	now := start.Add(600 * time.Millisecond)
	s.RecordSpeeds(now, speeds)
	moves := s.PlanMoves(now)
	for _, m := range moves {
		if m.Engine != slow {
			t.Errorf("item %s leaves engine %s, which is not slow", m.Key.Item, m.Engine)
		}
		s.EndRun(now, m.Key, Stopped, 0, 0)
	}
	if len(moves) != onSlow {
		t.Fatalf("%d of %d runs leave the slow engine", len(moves), onSlow)
	}
	for _, a := range s.AssignTasks(now) {
		if a.Engine == slow {
			t.Errorf("item %s goes back to the slow engine", a.Task.Item)
		}
	}
	// The engine may have recovered: it is tried again when the measurement is old.
	now = now.Add(speedAge)
	s.AddJob("k", newTasks("k", "m", 9, 800))
	again := false
	for _, a := range s.AssignTasks(now) {
		again = again || a.Engine == slow
	}
	if !again {
		t.Error("the engine gets no work again")
	}
}

// Guards against runs that move to and fro between engines of about the same speed.
func TestRunsStayOnEnginesOfUsualSpeed(t *testing.T) {
	s := New()
	s.SetEngines(engines(9, "m"))
	s.AddJob("j", newTasks("j", "m", 9, 800))
	var speeds []SpeedSample
	for i, a := range s.AssignTasks(start) {
		speeds = append(speeds, SpeedSample{Engine: a.Engine, EventGap: time.Duration(40+5*(i%5)) * time.Millisecond})
	}
	for k := range 10 {
		now := start.Add(time.Duration(k) * 300 * time.Millisecond)
		s.RecordSpeeds(now, speeds)
		if moves := s.PlanMoves(now); len(moves) > 0 {
			t.Fatalf("moves %+v", moves)
		}
	}
}
