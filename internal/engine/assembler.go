package engine

import (
	"fmt"
	"slices"
	"unicode/utf8"

	"fuchsiaflow/errs"
)

// maxOutputChars bounds one output, so that a wrong offset cannot exhaust the memory. An
// output of this length takes 12 MB here.
const maxOutputChars = 1 << 20

// absent marks a position of the output that has not been received.
const absent rune = -1

// Assembler joins the chunks of one output by their offsets. Chunks may be late, repeated,
// unordered or overlapping. It is not safe for concurrent use.
type Assembler struct {
	requestID string
	base      uint64 // offset of text[0]
	text      []rune
	prefix    int // length of the contiguous part
	received  int
	total     uint64
	totalSeen bool
	tokens    uint64
	versions  []uint64 // of each contributing chunk, sorted
	labels    []uint64 // version by position, parallel to text
	uncertain bool
	ignored   int
}

// NewAssembler returns an assembler for the output of requestID from offset on.
func NewAssembler(requestID string, offset uint64) *Assembler {
	return &Assembler{requestID: requestID, base: offset}
}

// Add joins a chunk and reports whether it brought anything new. A chunk of another
// request is ignored. A chunk that contradicts an earlier one is errs.Corrupt.
func (a *Assembler) Add(c Chunk) (bool, error) {
	if c.RequestID != a.requestID {
		a.ignored++
		return false, nil
	}
	chars := uint64(utf8.RuneCountInString(c.Text))
	if c.Offset > a.base+maxOutputChars || c.Offset+chars > a.base+maxOutputChars || c.Total > a.base+maxOutputChars {
		return false, a.corrupt(c, fmt.Sprintf("the output exceeds %d characters", maxOutputChars))
	}
	if err := a.checkTotal(c, c.Offset+chars); err != nil {
		return false, err
	}
	added, err := a.join(c)
	if err != nil {
		return false, err
	}
	if added > 0 {
		// A chunk of which a part is known is charged for its new part.
		a.tokens += (uint64(c.Tokens)*uint64(added) + chars - 1) / chars
	} else if chars == 0 {
		a.tokens += uint64(c.Tokens)
	}
	ended := c.Done && !a.totalSeen
	if c.Done {
		a.total, a.totalSeen = c.Total, true
	}
	return added > 0 || ended, nil
}

func (a *Assembler) checkTotal(c Chunk, end uint64) error {
	switch {
	case a.totalSeen && c.Done && c.Total != a.total:
		return a.corrupt(c, fmt.Sprintf("total is %d after %d", c.Total, a.total))
	case a.totalSeen && end > a.total, c.Done && end > c.Total:
		return a.corrupt(c, "text goes beyond the total")
	case c.Done && c.Total < a.base+uint64(len(a.text)):
		return a.corrupt(c, "the total is below the text received")
	}
	return nil
}

// join stores the characters of c and returns how many are new.
func (a *Assembler) join(c Chunk) (int, error) {
	added, pos := 0, c.Offset
	for _, r := range c.Text {
		if pos >= a.base {
			isNew, err := a.put(int(pos-a.base), r, c)
			if err != nil {
				return 0, err
			}
			if isNew {
				added++
			}
		}
		pos++
	}
	if added > 0 {
		a.label(c.Version)
	}
	for a.prefix < len(a.text) && a.text[a.prefix] != absent {
		a.prefix++
	}
	return added, nil
}

func (a *Assembler) put(i int, r rune, c Chunk) (bool, error) {
	for len(a.text) <= i {
		a.text = append(a.text, absent)
		a.labels = append(a.labels, 0)
	}
	switch a.text[i] {
	case absent:
		a.text[i], a.labels[i] = r, c.Version
		a.received++
		return true, nil
	case r:
		// The same text under another version leaves open which one produced it.
		if a.labels[i] != c.Version {
			a.uncertain = true
		}
		return false, nil
	}
	return false, a.corrupt(c, fmt.Sprintf("the text differs from an earlier chunk at character %d", a.base+uint64(i)))
}

func (a *Assembler) label(version uint64) {
	if version == 0 {
		a.uncertain = true
		return
	}
	if i, found := slices.BinarySearch(a.versions, version); !found {
		a.versions = slices.Insert(a.versions, i, version)
	}
}

func (a *Assembler) corrupt(c Chunk, detail string) error {
	return &errs.Corrupt{What: "output of request " + a.requestID, Offset: int64(c.Offset), Detail: detail}
}

// Complete reports whether the total is known and all characters up to it have arrived.
func (a *Assembler) Complete() bool {
	return a.totalSeen && a.base+uint64(a.received) == a.total
}

// Offset returns where the first missing character is.
func (a *Assembler) Offset() uint64 { return a.base + uint64(a.prefix) }

// Text returns the contiguous text from the first offset on.
func (a *Assembler) Text() string { return string(a.text[:a.prefix]) }

// TextFrom returns the contiguous text from a position on, counted from its start.
func (a *Assembler) TextFrom(i int) string { return string(a.text[min(i, a.prefix):a.prefix]) }

// Len returns the number of characters of the contiguous text.
func (a *Assembler) Len() int { return a.prefix }

// Tokens returns the number of tokens generated for the text received.
func (a *Assembler) Tokens() uint64 { return a.tokens }

// Versions returns the weight versions that produced the text, in ascending order.
func (a *Assembler) Versions() []uint64 { return slices.Clone(a.versions) }

// Uncertain reports whether the label is not certain: a chunk had no version, or two
// chunks gave different versions for the same text.
func (a *Assembler) Uncertain() bool { return a.uncertain }

// Ignored returns the number of chunks that belonged to another request.
func (a *Assembler) Ignored() int { return a.ignored }
