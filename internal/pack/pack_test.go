package pack

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"fuchsiaflow/errs"
)

// Guards against using corrupted data, and against exhausting the memory with a corrupted length.
func TestCorruptedDataIsRejected(t *testing.T) {
	packed := Pack([]byte(strings.Repeat("a few words ", 100)))
	for name, corrupted := range map[string][]byte{
		"empty":        {},
		"truncated":    packed[:len(packed)-2],
		"wrong length": append([]byte{packed[0] + 2}, packed[1:]...),
		"huge length":  {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0x00},
	} {
		prefix := []byte("before")
		out, err := AppendUnpacked(prefix, corrupted)
		if errs.CodeOf(err) != errs.CodeCorrupt || !bytes.Equal(out, prefix) {
			t.Errorf("%s: %q, %v", name, out, err)
		}
	}
}

// randomText returns n random letters, the least compressible text that a model generates.
func randomText(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte('a' + rng.IntN(26))
	}
	return out
}

// Guards against results that fill the memory of the store hosts. These hold the results of two
// minutes, and the log, each replica and the messages between them contain the same bytes. A random
// letter has log2(26) = 4.7 bits or 0.59 bytes; the entropy coding table takes some tens of bytes.
func TestTextIsCompressed(t *testing.T) {
	for _, n := range []int{500, 2000, 20000} {
		packed := Pack(randomText(n))
		if limit := n*60/100 + 64; len(packed) > limit {
			t.Errorf("%d bytes are packed into %d, want at most %d", n, len(packed), limit)
		}
	}
	if packed := Pack(randomText(20)); len(packed) > 22 {
		t.Errorf("20 bytes are packed into %d, want at most 22", len(packed))
	}
}

func BenchmarkPack(b *testing.B) {
	data := randomText(4000)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		Pack(data)
	}
}

func BenchmarkAppend(b *testing.B) {
	packed := Pack(randomText(4000))
	b.SetBytes(4000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := AppendUnpacked(nil, packed); err != nil {
			b.Fatal(err)
		}
	}
}
