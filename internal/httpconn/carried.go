package httpconn

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCarried is the maximum number of requests that a connection carries, which bounds the memory of carriedIDs.
const maxCarried = 512

// carriedIDs remembers the IDs of the requests that a connection has carried, as hashes. A faulty target may send a second
// copy of a response late, where the next response is expected. Only its ID shows that it is not the next response, so
// that the requests of a connection must have different IDs.
type carriedIDs struct {
	hashes    []uint64
	anonymous bool // a request without an ID was carried
}

// allows reports whether the connection may carry a request with an ID; empty if it has none.
func (c *carriedIDs) allows(id string) bool {
	if len(c.hashes) == 0 {
		return !c.anonymous
	}
	return id != "" && !slices.Contains(c.hashes, xxhash.Sum64String(id))
}

// add records a request that is about to be sent.
func (c *carriedIDs) add(id string) {
	if id == "" {
		c.anonymous = true
		return
	}
	c.hashes = append(c.hashes, xxhash.Sum64String(id))
}

// reusable reports whether the connection may carry any further request.
func (c *carriedIDs) reusable() bool { return !c.anonymous && len(c.hashes) < maxCarried }

// earlier returns the number of requests before the latest one.
func (c *carriedIDs) earlier() int { return max(len(c.hashes)-1, 0) }
