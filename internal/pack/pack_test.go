package pack

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"fuchsiaflow/errs"
)

// Guards against damaged bytes that are used, and against ones that exhaust the memory.
func TestDamagedBytesAreRefused(t *testing.T) {
	whole := Pack([]byte(strings.Repeat("a few words ", 100)))
	for name, p := range map[string][]byte{
		"empty":        {},
		"cut off":      whole[:len(whole)-2],
		"other length": append([]byte{whole[0] + 2}, whole[1:]...),
		"huge":         {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0x00},
	} {
		before := []byte("before")
		out, err := Append(before, p)
		if errs.CodeOf(err) != errs.CodeCorrupt || !bytes.Equal(out, before) {
			t.Errorf("%s: %q, %v", name, out, err)
		}
	}
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
func TestTextsArePackedShort(t *testing.T) {
	for _, n := range []int{500, 2000, 20000} {
		packed := Pack(generated(n))
		if limit := n*60/100 + 64; len(packed) > limit {
			t.Errorf("%d bytes are stored in %d, want at most %d", n, len(packed), limit)
		}
	}
	if packed := Pack(generated(20)); len(packed) > 22 {
		t.Errorf("20 bytes are stored in %d", len(packed))
	}
}

func BenchmarkPack(b *testing.B) {
	data := generated(4000)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		Pack(data)
	}
}

func BenchmarkAppend(b *testing.B) {
	packed := Pack(generated(4000))
	b.SetBytes(4000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Append(nil, packed); err != nil {
			b.Fatal(err)
		}
	}
}
