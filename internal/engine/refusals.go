package engine

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// refusedFor is how long no idle connection of a target is used after it has refused a request: until those that it had then
// are closed.
const refusedFor = idleTimeout + time.Second

// refusals remembers the targets that have refused a request lately. A refusal names no request: a faulty target may send it
// once more, late, where the answer to the next request on the connection is due. It is safe for concurrent use.
type refusals struct {
	mu    sync.Mutex
	until map[string]time.Time // by address
}

// record notes that the target at an address has refused a request.
func (r *refusals) record(addr string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.until, func(_ string, end time.Time) bool { return !now.Before(end) })
	if r.until == nil {
		r.until = make(map[string]time.Time)
	}
	r.until[addr] = now.Add(refusedFor)
}

// recent reports whether the target at an address has refused a request lately.
func (r *refusals) recent(addr string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.until[addr])
}

// clientFor returns the HTTP client for a request to the target at an address. An unsafe request uses a new connection:
// an idle one may be dead, which would only show after the request was sent.
func (c *Client) clientFor(addr string, unsafe bool) *http.Client {
	if unsafe || c.refusals.recent(addr, time.Now()) {
		return c.unpooled
	}
	return c.pooled
}
