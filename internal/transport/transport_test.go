package transport

import (
	"context"
	"testing"

	"fuchsiaflow/consensus"
	"fuchsiaflow/internal/kernel"
)

// Guards against sends that hold all entries that a replica lacks. A leader that sent everything to a
// replica with a lost disk held several copies of 8 MB or more and exceeded its memory limit.
func TestLargeMessagesAreSentSeparately(t *testing.T) {
	ring := kernel.NewRing[outgoingBatch]("test", 100, kernel.DropOldest)
	message := func(index uint64, size int) consensus.Message {
		return consensus.Message{Type: consensus.MsgAppend, Index: index, Entries: []consensus.Entry{{Index: index + 1, Data: make([]byte, size)}}}
	}
	var want []uint64
	push := func(sizes ...int) {
		b := outgoingBatch{group: "g"}
		for _, n := range sizes {
			index := uint64(len(want))
			want = append(want, index)
			b.messages = append(b.messages, message(index, n))
		}
		if err := ring.Push(context.Background(), b); err != nil {
			t.Fatal(err)
		}
	}
	const kiB = 1 << 10
	push(10, 10)
	push(20)
	push(256*kiB, 256*kiB, 256*kiB, 256*kiB, 256*kiB)
	push(5)
	push(3000 * kiB)
	push(7, 300*kiB)
	var got []uint64
	sends := 0
	for len(got) < len(want) {
		batches := gatherBatches(ring, <-ring.C())
		for _, b := range batches {
			sends++
			if n := payloadBytes(b.messages); n > maxSendBytes && len(b.messages) > 1 {
				t.Errorf("%d messages with %d bytes in one send", len(b.messages), n)
			}
			for _, m := range b.messages {
				got = append(got, m.Index)
			}
		}
	}
	for i, index := range got {
		if index != uint64(i) {
			t.Fatalf("messages sent in order %v", got)
		}
	}
	if sends > 8 {
		t.Errorf("%d sends for %d messages, want small messages to be sent together", sends, len(want))
	}
}
