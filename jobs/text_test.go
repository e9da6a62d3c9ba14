package jobs

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

func mustUnpack(t rapid.TB, text Text) string {
	t.Helper()
	data, err := text.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against a text that is altered by packing, and against a length that differs from the
// number of unpacked bytes: a continuation is accepted only if its offset equals that length.
func TestTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 2000), 0, 5).Draw(t, "pieces")
		var text Text
		for _, p := range pieces {
			text = append(text, NewText(p)...)
		}
		want := bytes.Join(pieces, nil)
		got, err := text.Bytes()
		if err != nil || !bytes.Equal(got, want) || text.Len() != len(want) {
			t.Fatalf("unpacked to %d bytes with Len %d, want %d; error %v", len(got), text.Len(), len(want), err)
		}
	})
}
