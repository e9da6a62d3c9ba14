package schedule

import (
	"math"
	"testing"
	"time"
)

// Guards against a demand that a burst of jobs after a restart, a late job or an unused model distorts.
func TestDemandFollowsArrivals(t *testing.T) {
	s := New()
	now := testStart
	for range 5 { // seen together when the replica started
		s.RecordArrival(now, "s", "m", 1000, 7*time.Second)
	}
	s.RecordArrival(now, "s", "unused", 1000, 7*time.Second)
	for _, gap := range []time.Duration{1, 4, 4, 4, 9, 4} {
		now = now.Add(gap * time.Second)
		s.RecordArrival(now, "s", "m", 1000, 7*time.Second)
	}
	d := s.Demand(now.Add(10*time.Second), "s", 12, 0)
	if len(d.Models) != 1 || d.Models[0].Period != 4*time.Second || d.Models[0].MeanTokens != 1000 || d.Models[0].Window != 7*time.Second {
		t.Errorf("demand %+v, want one model with a period of 4 s", d.Models)
	}
}

// Guards against a speed that ignores how full the engines were, or that needs no calibration to the estimates of clients.
func TestDemandMeasuresSpeedAndOpenWork(t *testing.T) {
	s := New()
	s.SetEngines(newEngines(1, "m"))
	s.AddJob("j", newTasks("j", "m", 4, 600))
	started := s.AssignTasks(testStart)
	now := testStart.Add(2 * time.Second)
	speedAtFull := 0.0
	for i, a := range started[:2] {
		occupancy := float64(len(started)-i) / 12
		speedAtFull += 600 / (2 * 1.5 / (1 + 0.5*occupancy)) / 2
		s.EndRun(now, a.Task.Key(), Finished, 0, 0)
	}
	d := s.Demand(now, "s", 12, 0)
	if want := 12 * speedAtFull; math.Abs(d.TokensPerSecond-want) > 0.01*want {
		t.Errorf("%.0f tokens a second, want %.0f", d.TokensPerSecond, want)
	}
	open := 16 - 2
	want := float64(600*open) - 2*speedAtFull*float64(len(started)-2)
	if len(d.Open) != 1 || math.Abs(d.Open[0].Tokens-want) > 0.02*want || !d.Open[0].Deadline.Equal(testStart.Add(7*time.Second)) {
		t.Errorf("open work %+v, want %.0f tokens", d.Open, want)
	}
	// The KV cache holds fewer runs than there are slots: prompt of 270 tokens and half of 600.
	if d := s.Demand(now, "s", 12, 570*6); math.Abs(d.TokensPerSecond-6*speedAtFull) > 0.1*speedAtFull {
		t.Errorf("%.0f tokens a second, want %.0f", d.TokensPerSecond, 6*speedAtFull)
	}
}

// Guards against an engine that is lost but counts as present.
func TestDemandNamesFailingEngines(t *testing.T) {
	s := New()
	s.SetEngines(newEngines(2, "m"))
	s.AddJob("j", newTasks("j", "m", 4, 600))
	now := testStart
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		for _, a := range s.AssignTasks(now) {
			if a.Engine == "e00" {
				s.EndRun(now, a.Task.Key(), Broken, 0, 0)
			}
		}
	}
	if d := s.Demand(now, "s", 12, 0); len(d.Failing) != 1 || d.Failing[0] != "e00" {
		t.Errorf("failing %v, want e00", d.Failing)
	}
}
