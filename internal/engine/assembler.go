package engine

import (
	"fmt"
	"slices"
	"unicode/utf8"

	"fuchsiaflow/errs"
)

// maxOutputChars limits one output, so that a wrong offset cannot exhaust memory. An output of this
// length occupies 12 MB.
const maxOutputChars = 1 << 20

// missing marks a character of the output that has not been received.
const missing rune = -1

// Assembler reassembles one output from its chunks by their offsets. Chunks may be duplicated,
// reordered or overlapping. It is not safe for concurrent use.
type Assembler struct {
	requestID string
	base      uint64 // offset of text[0]
	text      []rune
	prefix    int    // number of contiguous characters from the start
	received  int    // number of characters that are not missing
	total     uint64 // length of the complete output; valid only if totalSeen
	totalSeen bool
	tokens    uint64
	versions  []uint64 // of all chunks that added text, sorted
	versionAt []uint64 // version of each character, parallel to text
	uncertain bool
	ignored   int // chunks of other requests
}

// NewAssembler returns an assembler for the output of requestID, starting at offset.
func NewAssembler(requestID string, offset uint64) *Assembler {
	return &Assembler{requestID: requestID, base: offset}
}

// Add adds a chunk and reports whether it contained new text or the end of the output. It ignores
// chunks of other requests and returns errs.Corrupt for a chunk that contradicts an earlier one.
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
	added, err := a.store(c)
	if err != nil {
		return false, err
	}
	if added > 0 {
		// Counts the tokens of a partly known chunk in proportion to its new characters, rounded up.
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

// checkTotal checks a chunk whose text ends at end against the total and the text received so far.
func (a *Assembler) checkTotal(c Chunk, end uint64) error {
	switch {
	case a.totalSeen && c.Done && c.Total != a.total:
		return a.corrupt(c, fmt.Sprintf("total changed to %d from %d", c.Total, a.total))
	case a.totalSeen && end > a.total, c.Done && end > c.Total:
		return a.corrupt(c, "text extends beyond the total")
	case c.Done && c.Total < a.base+uint64(len(a.text)):
		return a.corrupt(c, "the total is less than the length of the received text")
	}
	return nil
}

// store stores the characters of c and returns the number of new ones.
func (a *Assembler) store(c Chunk) (int, error) {
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
		a.addVersion(c.Version)
	}
	for a.prefix < len(a.text) && a.text[a.prefix] != missing {
		a.prefix++
	}
	return added, nil
}

// put stores one character and reports whether it is new.
func (a *Assembler) put(i int, r rune, c Chunk) (bool, error) {
	for len(a.text) <= i {
		a.text = append(a.text, missing)
		a.versionAt = append(a.versionAt, 0)
	}
	switch a.text[i] {
	case missing:
		a.text[i], a.versionAt[i] = r, c.Version
		a.received++
		return true, nil
	case r:
		// It is unknown which of the two versions produced the received text.
		if a.versionAt[i] != c.Version {
			a.uncertain = true
		}
		return false, nil
	}
	return false, a.corrupt(c, fmt.Sprintf("the text differs from an earlier chunk at character %d", a.base+uint64(i)))
}

// addVersion records that version produced a part of the text. Zero is an unreported version.
func (a *Assembler) addVersion(version uint64) {
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

// Complete reports whether the total is known and all characters up to it have been received.
func (a *Assembler) Complete() bool {
	return a.totalSeen && a.base+uint64(a.received) == a.total
}

// Offset returns the offset of the first missing character.
func (a *Assembler) Offset() uint64 { return a.base + uint64(a.prefix) }

// Text returns the contiguous text from the initial offset on.
func (a *Assembler) Text() string { return string(a.text[:a.prefix]) }

// TextFrom returns the contiguous text without its first i characters.
func (a *Assembler) TextFrom(i int) string { return string(a.text[min(i, a.prefix):a.prefix]) }

// Len returns the number of characters in the contiguous text.
func (a *Assembler) Len() int { return a.prefix }

// Tokens returns the number of tokens in the received text.
func (a *Assembler) Tokens() uint64 { return a.tokens }

// Versions returns the weight versions that produced the text, in ascending order.
func (a *Assembler) Versions() []uint64 { return slices.Clone(a.versions) }

// Uncertain reports whether Versions may be wrong or incomplete: a chunk had no version, or two
// chunks have different versions for the same text.
func (a *Assembler) Uncertain() bool { return a.uncertain }

// Ignored returns the number of ignored chunks, which belong to other requests.
func (a *Assembler) Ignored() int { return a.ignored }
