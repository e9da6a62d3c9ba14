package ledger

import (
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var (
	// ignoreMarkers skips the blank fields that carry the CBOR array option.
	ignoreMarkers = cmp.FilterPath(func(p cmp.Path) bool { return p.Last().String() == "._" }, cmp.Ignore())
	emptyIsNil    = cmpopts.EquateEmpty()
)
