package jobs

import (
	"bytes"
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
