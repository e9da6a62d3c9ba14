package schedule

import (
	"testing"
	"time"
)

// newReleaseScheduler returns a scheduler with two engines of different software versions, and a task whose text of
// some events was generated at the first one.
func newReleaseScheduler(events int) (s *Scheduler, list []Engine, key Key) {
	s = New()
	list = newEngines(2, "m")
	list[0].Release, list[1].Release = "v1", "v2"
	s.SetEngines(list)
	s.AddJob("j", newTasks("j", "m", 1, 800)[:1])
	a := s.AssignTasks(testStart)[0]
	s.SetPartial(testStart, a.Task.Key(), Partial{Events: events, Release: "v1"})
	s.EndRun(testStart, a.Task.Key(), Stopped, 400, 0)
	return s, list, a.Task.Key()
}

// fill makes an engine look full until the returned function is called.
func fill(s *Scheduler, engine string) (release func()) {
	e := s.engines[engine]
	slots := e.Slots
	e.Slots = 0
	return func() { e.Slots = slots }
}

// Guards against texts that are thrown away since another engine looks a little better than those that can go on.
func TestTextGoesOnAtItsSoftwareVersion(t *testing.T) {
	for _, c := range []struct {
		name        string
		events      int
		ownGap, gap time.Duration // of the engine of the same version and of the other one
		want        string
	}{
		{name: "other engine is faster", events: 20, ownGap: 60 * time.Millisecond, gap: 40 * time.Millisecond, want: "v1"},
		{name: "other engine makes up for the text", events: 2, ownGap: 200 * time.Millisecond, gap: 40 * time.Millisecond, want: "v2"},
		{name: "no text", events: 0, ownGap: 60 * time.Millisecond, gap: 40 * time.Millisecond, want: "v2"},
	} {
		s, list, key := newReleaseScheduler(c.events)
		s.RecordSpeeds(testStart, []SpeedSample{{Engine: list[0].ID, EventGap: c.ownGap}, {Engine: list[1].ID, EventGap: c.gap}})
		got := startTask(s, testStart.Add(speedMaxAge/2), key)
		if got == nil || s.engines[got.Engine].Release != c.want {
			t.Errorf("%s: %+v, want an engine of %s", c.name, got, c.want)
		}
	}
}

// Guards against a text that is thrown away though an engine that goes on with it is about to have room, and against
// an item that waits for one for longer than its text is worth.
func TestTextWaitsForItsSoftwareVersion(t *testing.T) {
	const events = 20
	worth := time.Duration(events * defaultGap * float64(time.Second))
	s, list, key := newReleaseScheduler(events)
	free := fill(s, list[0].ID)
	if got := startTask(s, testStart.Add(worth/2), key); got != nil {
		t.Errorf("starts anew at %s while its version is full", got.Engine)
	}
	free()
	if got := startTask(s, testStart.Add(worth/2), key); got == nil || got.Engine != list[0].ID {
		t.Errorf("%+v, want the engine that has room now", got)
	}

	s, list, key = newReleaseScheduler(events)
	fill(s, list[0].ID)
	if got := startTask(s, testStart.Add(worth+time.Millisecond), key); got == nil || got.Engine != list[1].ID {
		t.Errorf("%+v after waiting for as long as the text is worth, want the other engine", got)
	}

	s, list, _ = newReleaseScheduler(events)
	free = fill(s, list[0].ID)
	carried := newTasks("k", "m", 1, 800)[:1]
	carried[0].Partial = Partial{Events: events, Release: "v1"}
	s.AddJob("k", carried)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {worth / 2, false}, {worth + time.Millisecond, true}} {
		if got := startTask(s, testStart.Add(time.Hour+c.after), carried[0].Key()); (got != nil) != c.want {
			t.Errorf("text of an earlier job after %s: %+v, want a start: %v", c.after, got, c.want)
		}
	}
	free()

	s, list, key = newReleaseScheduler(events)
	s.SetEngines(list[1:])
	if got := startTask(s, testStart, key); got == nil || got.Engine != list[1].ID {
		t.Errorf("%+v without an engine of the version, want the other engine at once", got)
	}
}

// Guards against runs that move to a faster engine which cannot go on with their texts.
func TestRunsMoveOnlyIfTheTextIsMadeUpFor(t *testing.T) {
	for _, c := range []struct {
		release string
		after   time.Duration
		moves   int
	}{{"v1", 2 * time.Second, 1}, {"v2", 2 * time.Second, 0}, {"v2", 100 * time.Millisecond, 1}} {
		s := New()
		list := newEngines(2, "m")
		list[0].Release, list[1].Release = "v1", c.release
		s.SetEngines(list)
		s.AddJob("j", newTasks("j", "m", 1, 400)[:1])
		a := s.AssignTasks(testStart)[0]
		if a.Engine != list[0].ID {
			t.Fatalf("starts at %s", a.Engine)
		}
		now := testStart.Add(c.after)
		s.RecordSpeeds(now, []SpeedSample{{Engine: list[0].ID, EventGap: 100 * time.Millisecond}, {Engine: list[1].ID, EventGap: 40 * time.Millisecond}})
		if moves := s.PlanMoves(now); len(moves) != c.moves {
			t.Errorf("%+v: moves %v", c, moves)
		}
	}
}
