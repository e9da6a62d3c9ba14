package schedule

import (
	"testing"
	"time"

	"fuchsiaflow/fleet"
)

// newFailedEngine returns a scheduler with one engine that has weight version 1 and has failed the given
// number of times, while an item waits that requires version 2.
func newFailedEngine(now time.Time, failures int) *Scheduler {
	s := New()
	engines := []Engine{{Target: fleet.Target{ID: "e", Service: "s", State: fleet.Ready, Slots: 2, Weights: map[string]uint64{"m": 1}}, Models: []string{"m"}}}
	s.SetEngines(engines)
	for range failures {
		s.engines["e"].recordOutcome(now, Broken)
	}
	s.SetEngines(engines)
	s.AddJob("j", []Task{{Job: "j", Item: "i", Service: "s", Model: "m", MinVersion: 2, Deadline: now.Add(time.Minute)}})
	return s
}

// Guards against an engine that is lost for good after a failure: no run can show that it works again,
// because each waiting item requires newer weights, and no weights are loaded because it has failed.
func TestFailedEngineRecoversThroughLoad(t *testing.T) {
	published := map[string]uint64{"m": 2}
	for _, failures := range []int{1, unavailableAfter, unavailableAfter + 4} {
		now := time.Unix(1000, 0)
		s := newFailedEngine(now, failures)
		if orders := s.PlanLoads(now, published); len(orders) != 0 {
			t.Errorf("%d failures: an order during the backoff: %+v", failures, orders)
		}
		now = now.Add(maxFailureBackoff)
		orders := s.PlanLoads(now, published)
		if len(orders) != 1 || orders[0].Model != "m" || orders[0].Version != 2 {
			t.Fatalf("%d failures: orders %+v after the backoff, want one for version 2", failures, orders)
		}
		s.RecordLoadOrder(now, orders[0], true)
		s.SetEngines([]Engine{s.engines["e"].Engine})
		now = now.Add(2 * defaultLoadDuration)
		s.RecordLoaded(now, "e", "m", 2)
		a := s.AssignTasks(now)
		if len(a) != 1 {
			t.Fatalf("%d failures: the item does not start after the load", failures)
		}
		s.EndRun(now, a[0].Task.Key(), Finished, 0, 0)
		if e := s.engines["e"]; e.consecutiveFailures != 0 || e.assignedModel != "m" {
			t.Errorf("%d failures: %d left, assigned to %q", failures, e.consecutiveFailures, e.assignedModel)
		}
	}
}

// Guards against orders without a pause to an engine that does not answer, against an order where a run can
// show that the engine works, and against loads that no item needs.
func TestRecoveryLoadsAreLimited(t *testing.T) {
	published := map[string]uint64{"m": 2}
	now := time.Unix(1000, 0)
	s := newFailedEngine(now, unavailableAfter)
	now = now.Add(maxFailureBackoff)
	orders := s.PlanLoads(now, published)
	s.RecordLoadOrder(now, orders[0], false)
	if again := s.PlanLoads(now.Add(maxFailureBackoff-time.Millisecond), published); len(again) != 0 {
		t.Errorf("the order is repeated after less than %s", maxFailureBackoff)
	}
	if again := s.PlanLoads(now.Add(maxFailureBackoff), published); len(again) != 1 {
		t.Errorf("%d orders after %s, want one", len(again), maxFailureBackoff)
	}
	s = newFailedEngine(now, 1)
	s.AddJob("older", []Task{{Job: "older", Item: "o", Service: "s", Model: "m", MinVersion: 1}})
	if orders := s.PlanLoads(now.Add(maxFailureBackoff), published); len(orders) != 0 {
		t.Errorf("an order although a run can start: %+v", orders)
	}
	s = newFailedEngine(now, 1)
	s.EndJob("j")
	if orders := s.PlanLoads(now.Add(maxFailureBackoff), published); len(orders) != 0 {
		t.Errorf("an order although nothing waits: %+v", orders)
	}
}
