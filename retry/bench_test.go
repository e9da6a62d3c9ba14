package retry

import (
	"fmt"
	"testing"
)

func filled(n int) *ClaimTable {
	c := NewClaimTable()
	for i := range n {
		c.Apply(begin(fmt.Sprint("key-", i), "digest", fmt.Sprint("host-", i%100), 1, 0))
	}
	return c
}

// Guards against a snapshot that cannot be read back because it exceeds the default limit of
// the CBOR decoder, 131,072 elements.
func TestLargeSnapshot(t *testing.T) {
	c := filled(131_073)
	data, err := c.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := NewClaimTable()
	if err := fresh.Restore(data); err != nil || fresh.Len() != c.Len() {
		t.Fatalf("restored %d of %d claims: %v", fresh.Len(), c.Len(), err)
	}
	if err := fresh.Restore(data[:len(data)-1]); err == nil || fresh.Len() != c.Len() {
		t.Errorf("a torn snapshot gave %v and left %d claims", err, fresh.Len())
	}
}

func BenchmarkClaims(b *testing.B) {
	const claims = 100_000
	c := filled(claims)
	run := func(name string, op func(i int)) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				op(i)
			}
		})
	}
	run("BeginFinish", func(i int) {
		r := c.Apply(begin("bench", "digest", "host-x", 1, 0))
		c.Apply(finish("bench", "host-x", 1, r.GrantID, NotRun, ""))
	})
	run("Expire", func(int) { c.Apply(ClaimCommand{Kind: Expire}) })
	run("HostLost", func(i int) { c.Apply(ClaimCommand{Kind: HostLost, Host: "other", Incarnation: 1}) })
	run("Snapshot", func(int) { _, _ = c.Snapshot() })
}
