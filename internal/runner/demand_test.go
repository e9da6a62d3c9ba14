package runner

import (
	"testing"

	"fuchsiaflow/autoscale"
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
