package configcheck

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"fuchsiaflow/routes"
)

const (
	// maskBytes is how many bytes of a digest are shown. Two tell the few keys of an account apart and cannot confirm a
	// guessed key: one in 65,536 other keys has the same.
	maskBytes = 2
	// maxMasks bounds the masked digests of one line.
	maxMasks = 4
)

// keySet is the keys of an account, without repeats. It is not nil if it belongs to one.
type keySet map[routes.KeyDigest]bool

func newKeySet(digests []routes.KeyDigest) keySet {
	s := make(keySet, len(digests))
	for _, d := range digests {
		s[d] = true
	}
	return s
}

// without returns the keys that the other set does not have.
func (s keySet) without(other keySet) keySet {
	rest := make(keySet)
	for d := range s {
		if !other[d] {
			rest[d] = true
		}
	}
	return rest
}

// count returns the number of keys in words.
func (s keySet) count() string {
	switch len(s) {
	case 0:
		return "no key"
	case 1:
		return "1 key"
	}
	return fmt.Sprintf("%d keys", len(s))
}

// describe returns the number of keys with their masked digests.
func (s keySet) describe() string {
	if len(s) == 0 {
		return s.count()
	}
	return fmt.Sprintf("%s (%s)", s.count(), s.masks())
}

// masks returns masked digests of the keys, in the order of their digests.
func (s keySet) masks() string {
	digests := slices.SortedFunc(maps.Keys(s), func(a, b routes.KeyDigest) int { return bytes.Compare(a[:], b[:]) })
	var shown []string
	for _, d := range digests[:min(len(digests), maxMasks)] {
		shown = append(shown, fmt.Sprintf("%x**", d[:maskBytes]))
	}
	if more := len(digests) - len(shown); more > 0 {
		shown = append(shown, fmt.Sprintf("%d more", more))
	}
	return strings.Join(shown, ", ")
}
