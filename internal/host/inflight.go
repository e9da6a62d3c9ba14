package host

import (
	"context"
	"sync"
	"time"

	"fuchsiaflow/errs"
)

// inflight counts requests in progress. Once closed it refuses new ones and tells when the
// last one has ended.
type inflight struct {
	mu     sync.Mutex
	count  int
	closed bool
}

// Begin counts a request. It fails with outcome not_run when the host is draining.
func (f *inflight) Begin() (done func(), err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, &errs.Unavailable{Resource: "host", Reason: "it is draining"}
	}
	f.count++
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.count--
	}), nil
}

// Count returns the requests in progress.
func (f *inflight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Close refuses new requests.
func (f *inflight) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// Wait returns once no request is in progress or ctx ends.
func (f *inflight) Wait(ctx context.Context) {
	for f.Count() > 0 {
		if !pause(ctx, 10*time.Millisecond) {
			return
		}
	}
}
