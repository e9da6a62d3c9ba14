package observe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the queue and of the rate.
const (
	// maxQueuedLines is the capacity of the queue.
	maxQueuedLines = 1024
	// linesPerSecond is the sustained rate limit. A burst may use the lines of two seconds.
	linesPerSecond = 400
)

// AsyncWriter writes lines to an underlying writer from its own goroutine, so that Write never blocks.
// Lines that exceed the queue or the rate limit are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{} // closed when all queued lines are written
	dropped atomic.Uint64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	closed     bool
}

// NewAsyncWriter returns a writer that passes lines on to w. The caller must call Close to write the
// queued lines.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	r := &AsyncWriter{out: w, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), tokens: 2 * linesPerSecond, refilledAt: time.Now()}
	go r.run()
	return r
}

func (r *AsyncWriter) run() {
	defer close(r.done)
	for line := range r.lines {
		_, _ = r.out.Write(line) // a failed write to the log cannot be reported elsewhere
	}
}

// Write implements io.Writer. It reports success for dropped lines too.
func (r *AsyncWriter) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || !r.allow(time.Now()) {
		r.dropped.Add(1)
		return len(p), nil
	}
	select {
	case r.lines <- append([]byte(nil), p...):
	default:
		r.dropped.Add(1)
	}
	return len(p), nil
}

// allow takes a token from the token bucket of the rate limit. The caller holds r.mu.
func (r *AsyncWriter) allow(now time.Time) bool {
	r.tokens = min(r.tokens+now.Sub(r.refilledAt).Seconds()*linesPerSecond, 2*linesPerSecond)
	r.refilledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Dropped returns the number of dropped lines.
func (r *AsyncWriter) Dropped() uint64 { return r.dropped.Load() }

// Close writes the queued lines. Later lines are dropped.
func (r *AsyncWriter) Close() error {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.lines)
	}
	r.mu.Unlock()
	<-r.done
	return nil
}
