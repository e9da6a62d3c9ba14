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
