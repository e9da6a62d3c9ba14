package jobs

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

func unpacked(t *testing.T, text Text) string {
	t.Helper()
	data, err := text.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a text that changes between the host that makes it and the one that delivers it,
// and against a length that differs from that of the bytes: continuations are matched by it.
func TestTextsArePackedWithoutLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 2000), 0, 5).Draw(t, "parts")
		var text Text
		for _, p := range parts {
			text = append(text, NewText(p)...)
		}
		want := bytes.Join(parts, nil)
		got, err := text.Bytes()
		if err != nil || !bytes.Equal(got, want) || text.Len() != len(want) {
			t.Fatalf("%d bytes of length %d for %d, %v", len(got), text.Len(), len(want), err)
		}
	})
}

// generated returns a text of random letters, the least compressible that a model makes.
func generated(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte('a' + rng.IntN(26))
	}
	return out
}

// Guards against texts that fill the memory of the store hosts: they hold the results of two minutes,
// and the log, each replica and the messages between them carry the same bytes. A random letter has
// log2(26) = 4.7 bits, 0.59 of a byte; the table of the code takes some tens of bytes.
func TestTextsAreStoredShort(t *testing.T) {
	for _, n := range []int{500, 2000, 20000} {
		text := NewText(generated(n))
		if limit := n*60/100 + 64; text.Stored() > limit {
			t.Errorf("%d bytes are stored in %d, want at most %d", n, text.Stored(), limit)
		}
	}
	if text := NewText(generated(20)); text.Stored() > 22 {
		t.Errorf("20 bytes are stored in %d", text.Stored())
	}
}
