package runner

import (
	"fmt"
	"testing"
	"time"

	"fuchsiaflow/autoscale"
	"fuchsiaflow/jobs"
	"fuchsiaflow/routes"
	"fuchsiaflow/schedule"
)

// Guards against orders for targets that rest on no demand, on that of another service, or on that of a former leader.
func TestDemandIsPublishedWhileLeading(t *testing.T) {
	c := newTestCluster(t)
	c.submit()
	var d *autoscale.Demand
	c.await("a demand", func() bool {
		d = c.runner.Demand("engines")
		return d != nil && len(d.Models) == 1
	})
	if d.Models[0].Model != "m" || d.Models[0].MeanTokens == 0 || d.TokensPerSecond == 0 || d.StatedAt.IsZero() {
		t.Errorf("demand %+v", d)
	}
	if c.runner.Demand("scoring") != nil {
		t.Error("demand of a service whose number of targets is not managed")
	}
	c.stopRunner()
	if c.runner.Demand("engines") != nil {
		t.Error("demand of a runner that has stopped")
	}
}

// Guards against a target that is kept for each name of a model that a client makes up, and against a record that grows with
// them.
func TestDemandCountsUnlistedModelsAsOne(t *testing.T) {
	table := routes.NewTable(&routes.Config{Services: []routes.Service{{Name: "s", Models: []string{"m"}}},
		Routes: []routes.Route{{Host: "h", Prefix: "/", Destinations: []routes.Destination{{Service: "s", Weight: 1}}}}})
	r := &Runner{sched: schedule.New()}
	now := time.Unix(1000, 0)
	for i, model := range []string{"m", "x1", "x2", "x3", "m"} {
		now = now.Add(time.Second)
		job := jobs.Job{ID: fmt.Sprint(i), Host: "h", Path: "/", Model: model, Items: []jobs.Item{{ID: "i", Path: "/"}}}
		r.reportDemand(now, &jobs.Entry{Job: job, Sequence: uint64(i) + 1}, table)
	}
	d := r.sched.Demand(now, "s", 1, 0)
	if len(d.Models) != 2 || d.Models[0].Jobs != 3 || d.Models[1].Model != "m" || d.Models[1].Jobs != 2 {
		t.Errorf("demand of models %+v, want that of m and of all others", d.Models)
	}
}
