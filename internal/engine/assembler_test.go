package engine

import (
	"fmt"
	"testing"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/faultcheck"
)

// splitChunks splits text into chunks of the given lengths in characters, used cyclically, and appends
// a chunk that ends the output.
func splitChunks(id, text string, lengths []int, version func(i int) uint64) []Chunk {
	runes := []rune(text)
	var chunks []Chunk
	offset := 0
	for i := 0; offset < len(runes); i++ {
		end := min(offset+lengths[i%len(lengths)], len(runes))
		chunks = append(chunks, Chunk{RequestID: id, Seq: uint64(i), Offset: uint64(offset), Text: string(runes[offset:end]), Tokens: uint32(end - offset), Version: version(i)})
		offset = end
	}
	chunks = append(chunks, Chunk{RequestID: id, Offset: uint64(offset), Done: true, Total: uint64(offset)})
	return chunks
}

// Guards against outputs that are truncated, mixed up or reported complete too early (P4), and
// against tokens counted twice, for any order and duplication of chunks.
func TestAssemblerAnyOrder(t *testing.T) {
	rapid.Check(t, assemblyProperty(func(c Chunk) Chunk { return c }))
}

// Guards against a property that cannot fail: corrupted chunks must be detected.
func TestAssemblerFaultsAreFound(t *testing.T) {
	faults := map[string]func(Chunk) Chunk{
		"request is not checked": func(c Chunk) Chunk { c.RequestID = "r"; return c },
		"end is lost":            func(c Chunk) Chunk { c.Done = false; return c },
		"label is lost":          func(c Chunk) Chunk { c.Version = 0; return c },
		"label is the oldest":    func(c Chunk) Chunk { c.Version = 3; return c },
		"tokens count twice":     func(c Chunk) Chunk { c.Tokens *= 2; return c },
	}
	for name, corrupt := range faults {
		if faultcheck.FailureMessage(t, assemblyProperty(corrupt)) == "" {
			t.Errorf("fault %q was not detected", name)
		}
	}
}

// assemblyProperty checks that chunks in any order yield the output, after applying corrupt to each.
func assemblyProperty(corrupt func(Chunk) Chunk) func(*rapid.T) {
	return func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune("aTotonicapáñ→")), 1, 60, -1).Draw(t, "text")
		lengths := rapid.SliceOfN(rapid.IntRange(1, 7), 1, 4).Draw(t, "lengths")
		version := func(i int) uint64 { return uint64(3 + i%2) }
		chunks := splitChunks("r", text, lengths, version)
		other := splitChunks("other", "foreign text", []int{3}, version)
		sent := rapid.Permutation(append(append([]Chunk{}, chunks...), other...)).Draw(t, "order")
		repeats := rapid.SliceOfN(rapid.SampledFrom(chunks), 0, 5).Draw(t, "repeats")
		a := NewAssembler("r", 0)
		missing := map[string]bool{}
		for _, c := range chunks {
			missing[fmt.Sprint(c)] = true
		}
		for _, c := range append(repeats, sent...) {
			if _, err := a.Add(corrupt(c)); err != nil {
				t.Fatal(err)
			}
			delete(missing, fmt.Sprint(c))
			if a.Complete() != (len(missing) == 0) {
				t.Fatalf("complete = %v with %d chunks missing", a.Complete(), len(missing))
			}
		}
		if a.Text() != text || a.Uncertain() || a.Tokens() != uint64(utf8.RuneCountInString(text)) || a.Ignored() != len(other) {
			t.Fatalf("text %q, uncertain %v, %d tokens, %d ignored", a.Text(), a.Uncertain(), a.Tokens(), a.Ignored())
		}
		want := []uint64{3}
		if len(chunks) > 2 {
			want = []uint64{3, 4}
		}
		if diff := cmp.Diff(want, a.Versions()); diff != "" {
			t.Fatal(diff)
		}
	}
}

// Guards against reporting certain versions when a version is missing or contradictory (P1).
func TestAssemblerUncertainVersion(t *testing.T) {
	for name, chunks := range map[string][]Chunk{
		"missing":       {{Text: "ab", Version: 3}, {Offset: 2, Text: "cd"}},
		"contradictory": {{Text: "ab", Version: 3}, {Offset: 0, Text: "abcd", Version: 4}},
	} {
		a := NewAssembler("", 0)
		for _, c := range chunks {
			if _, err := a.Add(c); err != nil {
				t.Fatal(err)
			}
		}
		if !a.Uncertain() || a.Text() != "abcd" {
			t.Errorf("%s: uncertain = %v, text %q", name, a.Uncertain(), a.Text())
		}
	}
}

// Guards against accepting chunks that cannot belong to the same output.
func TestAssemblerContradictions(t *testing.T) {
	for name, chunks := range map[string][]Chunk{
		"other text":       {{Text: "abc"}, {Offset: 2, Text: "xd"}},
		"other total":      {{Done: true, Total: 5}, {Done: true, Total: 6}},
		"beyond the total": {{Done: true, Total: 2}, {Text: "abc"}},
		"below the text":   {{Text: "abc"}, {Done: true, Total: 2}},
		"huge offset":      {{Offset: 1 << 62, Text: "a"}},
		"huge total":       {{Done: true, Total: 1 << 62}},
	} {
		a := NewAssembler("", 0)
		var err error
		for _, c := range chunks {
			_, err = a.Add(c)
		}
		if errs.CodeOf(err) != errs.CodeCorrupt {
			t.Errorf("%s: err = %v", name, err)
		}
	}
}

// Guards against a resumed output that includes the part that the caller already has.
func TestAssemblerFromOffset(t *testing.T) {
	a := NewAssembler("r", 4)
	for _, c := range splitChunks("r", "añbñcdef", []int{3}, func(int) uint64 { return 1 }) {
		if _, err := a.Add(c); err != nil {
			t.Fatal(err)
		}
	}
	if !a.Complete() || a.Text() != "cdef" || a.Offset() != 8 {
		t.Errorf("complete %v, text %q, offset %d", a.Complete(), a.Text(), a.Offset())
	}
}
