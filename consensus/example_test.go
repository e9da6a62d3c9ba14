package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiaflow/consensus"
)

// A group with a single voter needs no messages to elect a leader and to commit entries.
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
		// A real caller persists and syncs ready.HardState, ready.Snapshot and ready.Entries
		// here, and then sends ready.Messages.
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
