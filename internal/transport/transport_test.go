package transport

import (
	"context"
	"testing"

	"fuchsiaflow/consensus"
	"fuchsiaflow/internal/kernel"
)

// Guards against sends that hold all that a replica lacks: a leader that brought a replica without a disk
// up to date had several copies of 8 MB and more in memory, and ran into its limit each time.
func TestLargeMessagesAreSentOneByOne(t *testing.T) {
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
	const kB = 1 << 10
	push(10, 10)
	push(20)
	push(256*kB, 256*kB, 256*kB, 256*kB, 256*kB)
	push(5)
	push(3000 * kB)
	push(7, 300*kB)
	var got []uint64
	sends := 0
	for len(got) < len(want) {
		batches := gatherBatches(ring, <-ring.C())
		for _, b := range batches {
			sends++
			if n := dataBytes(b.messages); n > maxSendBytes && len(b.messages) > 1 {
				t.Errorf("%d messages with %d bytes in one send", len(b.messages), n)
			}
			for _, m := range b.messages {
				got = append(got, m.Index)
			}
		}
	}
	for i, index := range got {
		if index != uint64(i) {
			t.Fatalf("order %v", got)
		}
	}
	if sends > 8 {
		t.Errorf("%d sends for %d messages; small ones are to be sent together", sends, len(want))
	}
}
