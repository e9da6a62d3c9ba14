package retry

import (
	"fmt"
	"testing"
)

func newFilledClaims(n int) *ClaimTable {
	c := NewClaimTable()
	for i := range n {
		c.Apply(beginCommand(fmt.Sprint("key-", i), "digest", fmt.Sprint("host-", i%100), 1, 0))
	}
	return c
}

// Guards against a snapshot that cannot be read back because it exceeds the default limit of
// the CBOR decoder, 131,072 elements.
func TestSnapshotBeyondDefaultDecoderLimit(t *testing.T) {
	c := newFilledClaims(131_073)
	data, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := NewClaimTable()
	if err := restored.Restore(data); err != nil || restored.Len() != c.Len() {
		t.Fatalf("restored %d of %d claims: %v", restored.Len(), c.Len(), err)
	}
	if err := restored.Restore(data[:len(data)-1]); err == nil || restored.Len() != c.Len() {
		t.Errorf("restore of a truncated snapshot returned %v and left %d claims", err, restored.Len())
	}
}

func BenchmarkClaims(b *testing.B) {
	const claims = 100_000
	c := newFilledClaims(claims)
	run := func(name string, op func(i int)) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				op(i)
			}
		})
	}
	run("BeginFinish", func(i int) {
		r := c.Apply(beginCommand("bench", "digest", "host-x", 1, 0))
		c.Apply(finishCommand("bench", "host-x", 1, r.GrantID, NotRun, ""))
	})
	run("Expire", func(int) { c.Apply(ClaimCommand{Kind: Expire}) })
	run("HostLost", func(i int) { c.Apply(ClaimCommand{Kind: HostLost, Host: "other", Incarnation: 1}) })
	run("Snapshot", func(int) { _, _ = c.Snapshot() })
}
