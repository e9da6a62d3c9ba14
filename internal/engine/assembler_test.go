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

// cut splits text into chunks of the given lengths in characters and marks the last one.
func cut(id, text string, lengths []int, version func(i int) uint64) []Chunk {
	runes := []rune(text)
	var out []Chunk
	at := 0
	for i := 0; at < len(runes); i++ {
		end := min(at+lengths[i%len(lengths)], len(runes))
		out = append(out, Chunk{RequestID: id, Seq: uint64(i), Offset: uint64(at), Text: string(runes[at:end]), Tokens: uint32(end - at), Version: version(i)})
		at = end
	}
	out = append(out, Chunk{RequestID: id, Offset: uint64(at), Done: true, Total: uint64(at)})
	return out
}

// Guards against answers that are cut, mixed up or called complete too early (P4), and
// against tokens counted twice, for any order and repetition of chunks.
func TestAssemblerAnyOrder(t *testing.T) { rapid.Check(t, anyOrder(func(c Chunk) Chunk { return c })) }

// Guards against a check that cannot fail: damage of a chunk on its way must be found.
func TestAssemblerFaultsAreFound(t *testing.T) {
	faults := map[string]func(Chunk) Chunk{
		"request is not checked": func(c Chunk) Chunk { c.RequestID = "r"; return c },
		"end is lost":            func(c Chunk) Chunk { c.Done = false; return c },
		"label is lost":          func(c Chunk) Chunk { c.Version = 0; return c },
		"label is the oldest":    func(c Chunk) Chunk { c.Version = 3; return c },
		"tokens count twice":     func(c Chunk) Chunk { c.Tokens *= 2; return c },
	}
	for name, damage := range faults {
		if faultcheck.Failure(t, anyOrder(damage)) == "" {
			t.Errorf("fault %q was not found", name)
		}
	}
}

// anyOrder joins the chunks of an output after damage was done to each.
func anyOrder(damage func(Chunk) Chunk) func(*rapid.T) {
	return func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune("aTotonicapáñ→")), 1, 60, -1).Draw(t, "text")
		lengths := rapid.SliceOfN(rapid.IntRange(1, 7), 1, 4).Draw(t, "lengths")
		version := func(i int) uint64 { return uint64(3 + i%2) }
		chunks := cut("r", text, lengths, version)
		other := cut("other", "foreign text", []int{3}, version)
		sent := rapid.Permutation(append(append([]Chunk{}, chunks...), other...)).Draw(t, "order")
		repeats := rapid.SliceOfN(rapid.SampledFrom(chunks), 0, 5).Draw(t, "repeats")
		a := NewAssembler("r", 0)
		missing := map[string]bool{}
		for _, c := range chunks {
			missing[fmt.Sprint(c)] = true
		}
		for _, c := range append(repeats, sent...) {
			if _, err := a.Add(damage(c)); err != nil {
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

// Guards against a label that hides a version that is missing or contradictory (P1).
func TestAssemblerUncertainLabel(t *testing.T) {
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

// Guards against joining chunks that cannot belong to one output.
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

// Guards against a resumed output that counts the part which the caller has.
func TestAssemblerFromOffset(t *testing.T) {
	a := NewAssembler("r", 4)
	for _, c := range cut("r", "añbñcdef", []int{3}, func(int) uint64 { return 1 }) {
		if _, err := a.Add(c); err != nil {
			t.Fatal(err)
		}
	}
	if !a.Complete() || a.Text() != "cdef" || a.Offset() != 8 {
		t.Errorf("complete %v, text %q, offset %d", a.Complete(), a.Text(), a.Offset())
	}
}
