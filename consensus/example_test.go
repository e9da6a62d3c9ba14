package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiaflow/consensus"
)

// A group with one voter elects itself and commits on its own storage.
func Example() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	node, err := consensus.New(consensus.Config{
		ID: "a", Group: "control", ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		MaxClockDrift: 100 * time.Millisecond, Rand: rand.New(rand.NewPCG(1, 1)),
	}, consensus.Bootstrap([]string{"a"}), now)
	if err != nil {
		fmt.Println(err)
		return
	}
	if _, _, err := node.Propose(now, []byte("hello")); err != nil {
		fmt.Println(err)
	}
	for node.HasReady() {
		ready := node.Ready()
		// Persist ready.HardState, ready.Snapshot and ready.Entries and sync; then send
		// ready.Messages.
		for _, e := range ready.Committed {
			if e.Type == consensus.EntryCommand {
				fmt.Printf("apply %d: %s\n", e.Index, e.Data)
			}
		}
		node.Advance(ready)
	}
	fmt.Println(node.Status().Role, node.Status().Commit)
	// Output:
	// apply 3: hello
	// leader 3
}
