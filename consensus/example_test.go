package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiaflow/consensus"
)

// The caller of a node persists, sends and applies what Ready hands out, in this order.
func Example() {
	now := time.Unix(1_700_000_000, 0)
	node, err := consensus.New(consensus.Config{
		ID: "a", Group: "example", ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		MaxClockDrift: 100 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1)),
	}, consensus.Bootstrap([]string{"a"}), now)
	if err != nil {
		fmt.Println(err)
		return
	}
	work := func() {
		for node.HasReady() {
			ready := node.Ready()
			// A real caller persists and syncs HardState, Snapshot and Entries here, and then
			// sends Messages. A group with one voter has no messages.
			for _, e := range ready.Committed {
				if e.Type == consensus.EntryCommand {
					fmt.Printf("apply %s\n", e.Data)
				}
			}
			node.Advance(ready)
		}
	}
	for node.Status().Role != consensus.Leader {
		now = now.Add(50 * time.Millisecond)
		node.Tick(now)
		work()
	}
	_, _, err = node.Propose(now, []byte("sort the shells"))
	work()
	fmt.Println(err, node.Status().Role)
	// Output:
	// apply sort the shells
	// <nil> leader
}
