package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiaflow/routing"
)

// A desk request overtakes a sample that was queued before it.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := routing.NewDispatcher(routing.Config{QueueLimit: 100}, rand.New(rand.NewPCG(1, 2)))
	d.UpsertTarget(now, routing.TargetState{
		ID: "kolfe-1", Pool: "sorting", Slots: 2, Loaded: map[string]uint64{"drums": 7},
	})
	_ = d.Enqueue(now, routing.Request{ID: "s1", Kind: routing.Sample, Tenancy: "trainer", Pool: "sorting", Model: "drums", ExpectedTokens: 300})
	_ = d.Enqueue(now, routing.Request{ID: "d1", Kind: routing.Desk, Tenancy: "intake", Pool: "sorting", Model: "drums", ExpectedTokens: 40})
	fmt.Println(d.Next(now))
	d.Done(now.Add(time.Second), "d1", routing.Result{Tokens: 40, Kind: routing.ResultOK, TimeToFirstToken: 50 * time.Millisecond, Duration: time.Second})
	fmt.Println(d.Next(now.Add(time.Second)))
	// Output:
	// [{d1 kolfe-1 false}]
	// [{s1 kolfe-1 false}]
}
