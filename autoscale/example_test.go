package autoscale_test

import (
	"fmt"
	"time"

	"fuchsiaflow/autoscale"
	"fuchsiaflow/fleet"
	"fuchsiaflow/routes"
)

// A service has two targets, and its steps need more.
func Example() {
	now := time.Unix(1000, 0)
	p := autoscale.New("engines")
	in := &autoscale.Input{Scale: routes.Scale{Min: 1, Max: 6, BootTime: 4 * time.Second, DomainPrices: map[string]float64{"east": 1, "west": 0.8}},
		Targets: []fleet.Target{{ID: "t1", Domain: "east", State: fleet.Ready}, {ID: "t2", Domain: "west", State: fleet.Ready}}}
	for range 13 {
		now = now.Add(500 * time.Millisecond)
		for i := range in.Targets {
			in.Targets[i].ReportedAt = now
		}
		in.Demand = &autoscale.Demand{StatedAt: now, TokensPerSecond: 1000, Models: []autoscale.ModelDemand{
			{Model: "m", Jobs: 5, MeanTokens: 14_000, MaxTokens: 14_000, Period: 4 * time.Second, Window: 8 * time.Second}}}
		for _, o := range p.Plan(now, in) {
			fmt.Println(o.Domain, o.Kind, o.Count, o.Reason)
			p.Record(now, &o, autoscale.Accepted)
		}
	}
	// Output:
	// east on_demand 3 too few for the work
	// west on_demand 3 too few for the work
}
