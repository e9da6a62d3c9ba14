package observe

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a RingWriter.
const (
	// ringLines is the number of lines that wait for the writer.
	ringLines = 1024
	// linesPerSecond bounds the lines that are written in one second; a burst may use the
	// lines of two seconds.
	linesPerSecond = 400
)

// RingWriter passes lines on to a writer from a goroutine of its own. Write never blocks: a line
// that finds the ring full, or exceeds the rate, is dropped and counted.
type RingWriter struct {
	w       io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.Mutex
	tokens float64
	filled time.Time
	closed bool
}

// NewRingWriter returns a writer to w. Close must be called to write what still waits.
func NewRingWriter(w io.Writer) *RingWriter {
	r := &RingWriter{w: w, lines: make(chan []byte, ringLines), done: make(chan struct{}), tokens: 2 * linesPerSecond, filled: time.Now()}
	go r.run()
	return r
}

func (r *RingWriter) run() {
	defer close(r.done)
	for line := range r.lines {
		_, _ = r.w.Write(line) // there is no other place to report a broken log
	}
}

// Write implements io.Writer.
func (r *RingWriter) Write(p []byte) (int, error) {
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

// allow takes a token of the rate limit.
func (r *RingWriter) allow(now time.Time) bool {
	r.tokens = min(r.tokens+now.Sub(r.filled).Seconds()*linesPerSecond, 2*linesPerSecond)
	r.filled = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Dropped returns the number of lines that were dropped.
func (r *RingWriter) Dropped() uint64 { return r.dropped.Load() }

// Close writes the waiting lines. Later lines are dropped.
func (r *RingWriter) Close() error {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.lines)
	}
	r.mu.Unlock()
	<-r.done
	return nil
}
