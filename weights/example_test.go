package weights_test

import (
	"fmt"
	"time"

	"fuchsiaflow/weights"
)

func Example() {
	now := time.Unix(1_700_000_000, 0)
	p := weights.NewPlanner(weights.Config{MaxUnavailable: 0.5})
	for _, id := range []string{"engine-1", "engine-2"} {
		p.UpdateTarget(now, weights.TargetReport{ID: id, Incarnation: 1, Pool: "sorting", Loaded: map[string]uint64{"sorter": 6}})
	}
	p.SetDesired(now, "sorter", 7)
	lease := weights.LeaderLease{Term: 3, ExpiresAt: now.Add(2 * time.Second), Valid: true}
	for _, o := range p.Tick(now, lease) {
		fmt.Println(o.Target, o.Version, o.Fence == weights.Fence(3, 1), o.ExpiresAt.Before(lease.ExpiresAt))
	}
	_, ok := p.Serving("engine-1", "sorter")
	fmt.Println("serving during the swap:", ok)
	p.UpdateTarget(now, weights.TargetReport{ID: "engine-1", Incarnation: 1, Pool: "sorting", Loaded: map[string]uint64{"sorter": 7}})
	fmt.Println(p.Serving("engine-1", "sorter"))
	// Output:
	// engine-1 7 true true
	// serving during the swap: false
	// 7 true
}
