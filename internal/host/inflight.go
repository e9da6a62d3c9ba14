package host

import (
	"context"
	"sync"
	"time"

	"fuchsiaflow/errs"
)

// requestCounter counts the requests in progress. After Close it refuses new requests. Its zero
// value is ready to use.
type requestCounter struct {
	mu     sync.Mutex
	count  int
	closed bool
}

// Begin counts a request until done is called. After Close it fails with outcome not_run.
func (c *requestCounter) Begin() (done func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, &errs.Unavailable{Resource: "host", Reason: "it is draining"}
	}
	c.count++
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.count--
	}), nil
}

// Count returns the number of requests in progress.
func (c *requestCounter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Close makes Begin refuse new requests.
func (c *requestCounter) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// Wait returns when no request is in progress or ctx ends.
func (c *requestCounter) Wait(ctx context.Context) {
	for c.Count() > 0 {
		if !sleep(ctx, 10*time.Millisecond) {
			return
		}
	}
}
