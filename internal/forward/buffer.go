package forward

import (
	"io"
	"sync/atomic"
)

const (
	// freeBufferBytes is the part of a body that is buffered whatever others hold. Nearly all bodies are smaller.
	freeBufferBytes = 32 << 10
	// maxBufferBytes bounds what the bodies of all requests and responses hold beyond that. Many faulty targets may send
	// answers without end at the same time, and a process that exceeds its memory is killed.
	maxBufferBytes = 16 << 20
)

// bufferBudget counts the bytes that bodies may still hold beyond freeBufferBytes each.
type bufferBudget struct{ used atomic.Int64 }

// reserve takes bytes from the budget. It returns false if that has too few left.
func (b *bufferBudget) reserve(n int) bool {
	if b.used.Add(int64(n)) <= maxBufferBytes {
		return true
	}
	b.used.Add(int64(-n))
	return false
}

// buffer holds the first bytes of a body.
type buffer struct {
	data     []byte
	whole    bool // data is the entire body
	budget   *bufferBudget
	reserved int // bytes taken from the budget
}

// read reads a body until its end, until limit bytes, or until the budget is used up.
func (b *buffer) read(r io.Reader, limit int) error {
	b.data = make([]byte, 0, min(limit, bufferStep))
	for len(b.data) < limit {
		if len(b.data) == cap(b.data) && !b.grow(limit) {
			return nil
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			b.whole = true
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// bufferStep is the first size of a buffer in bytes.
const bufferStep = 2 << 10

// grow doubles the buffer. It returns false if the budget does not allow that.
func (b *buffer) grow(limit int) bool {
	size := min(2*cap(b.data), limit)
	if extra := size - freeBufferBytes - b.reserved; extra > 0 {
		if !b.budget.reserve(extra) {
			return false
		}
		b.reserved += extra
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return true
}

// release returns what the buffer has taken from the budget. The buffer must not be used any more.
func (b *buffer) release() {
	b.budget.used.Add(int64(-b.reserved))
	b.reserved = 0
}
