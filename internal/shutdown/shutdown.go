package shutdown

import (
	"context"
	"sync"
	"time"

	"fuchsiaflow/internal/bootclock"
)

// RetryAfter is the time after which a caller that a stopping host refuses may return. Other hosts are available at
// once.
const RetryAfter = 20 * time.Millisecond

// Shutdown is the state of a host with respect to its stop. It is safe for concurrent use.
type Shutdown struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	period    *period // by bootclock; nil while the host does not stop
	durations durations
}

// New returns the state of a host that does not stop.
func New() *Shutdown {
	s := &Shutdown{}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Begin starts the stop. The load balancer removes the host after the time removal, and all requests end after the
// time total.
func (s *Shutdown) Begin(removal, total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := bootclock.Now()
	s.period = &period{removed: now.Add(removal), end: now.Add(total)}
	time.AfterFunc(total, s.cancel)
}

// Admits reports whether the host accepts a request of a route: it does not stop, or expects to finish the request
// before. The deadline is by bootclock.
func (s *Shutdown) Admits(route string, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.period == nil {
		return true
	}
	now := bootclock.Now()
	return s.period.admits(now, deadline, s.durations.longest(now, route))
}

// Record records the duration of a request that was answered.
func (s *Shutdown) Record(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations.record(bootclock.Now(), route, took)
}

// Context returns a context with a timeout that also ends when the time of a stop is up.
func (s *Shutdown) Context(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	stop := context.AfterFunc(s.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// Ended reports whether the time of a stop is up.
func (s *Shutdown) Ended() bool { return s.ctx.Err() != nil }
