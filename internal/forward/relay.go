package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/httpconn"
)

const (
	// partBytes is the size of the parts in which an answer is read and sent.
	partBytes = 32 << 10
	// claimInterval is the time after which an answer that has to wait for its caller asks for memory again.
	claimInterval = 100 * time.Millisecond
)

// readBuffers has buffers of partBytes.
var readBuffers = sync.Pool{New: func() any { return new([partBytes]byte) }}

// writeBody sends the body of an answer to the caller. While the caller takes a part, the next ones are read from the target as far as
// the budget allows: a target cuts off what stays unread.
func (c *call) writeBody(ctx context.Context, res *attemptResult) error {
	if !res.truncated && len(res.data) <= freeBufferBytes {
		_, err := c.w.Write(res.data)
		return err
	}
	end := func() { endWrites(c.w) }
	buffered, reserved := int64(len(res.data)), res.buffer.handOver()
	h := c.forwarder.buffers.open(reserved, res.resp.ContentLength < 0, end)
	defer h.close()
	q := newPartQueue(h, res.data, reserved)
	res.data, res.buffer.data = nil, nil
	if !res.truncated {
		q.fail(io.EOF)
		return q.writeTo(c.w)
	}
	if res.resp.ContentLength >= 0 {
		q.left = res.resp.ContentLength - buffered
	}
	filled := make(chan struct{})
	go func() {
		defer close(filled)
		q.fill(ctx, res.resp)
		if q.failure() != io.EOF {
			end() // the answer is not whole; the caller may take its time for the part that is being sent
		}
	}()
	err := q.writeTo(c.w)
	q.stop()
	_ = res.resp.Body.Close() // ends a read; what was read to its end stays usable
	<-filled
	return err
}

// endWrites makes the writes of an answer fail, so that its connection is closed.
func endWrites(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)) // a writer without deadlines does not wait for a caller
}

// part is a part of an answer.
type part struct {
	data    []byte
	pooled  *[partBytes]byte // data is the begin of it; nil if it is not from the pool
	charged int              // bytes taken from the budget
}

// partQueue has the parts of an answer that are read and not yet sent. One goroutine fills it while another empties it.
type partQueue struct {
	holding *holding
	left    int64 // bytes of the body that are not read yet; -1 if that is not known
	granted bool  // the memory for all that is left is taken from the budget

	mu      sync.Mutex
	parts   []part
	sending bool          // a part is being sent
	err     error         // why no more parts follow; io.EOF after the last part of a whole answer
	ready   chan struct{} // a part or an error is there
	room    chan struct{} // the queue is empty, or stopped
}

// newPartQueue returns a queue that has the buffered begin of an answer, for which a number of bytes is taken from the budget.
func newPartQueue(h *holding, begin []byte, charged int) *partQueue {
	q := &partQueue{holding: h, left: -1, ready: make(chan struct{}, 1), room: make(chan struct{}, 1)}
	for len(begin) > 0 {
		n := min(len(begin), partBytes)
		q.parts = append(q.parts, part{data: begin[:n:n]})
		begin = begin[n:]
	}
	// The parts share one buffer, which is held until the last of them is sent.
	if len(q.parts) > 0 {
		q.parts[len(q.parts)-1].charged = charged
	}
	return q
}

// notify wakes the goroutine that waits for a signal.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default: // it is woken already
	}
}

// fail says why no more parts follow.
func (q *partQueue) fail(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err == nil {
		q.err = err
	}
	notify(q.ready)
}

// failure returns why no more parts follow, nil if more may do.
func (q *partQueue) failure() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.err
}

// stop ends the filling of the queue.
func (q *partQueue) stop() {
	q.fail(&errs.Interrupted{Operation: "answer", Reason: "the caller takes no more of it"})
	notify(q.room)
}

// fill reads the body of a response into the queue until its end.
func (q *partQueue) fill(ctx context.Context, resp *httpconn.Response) {
	for {
		charged, err := q.awaitRoom(ctx, resp)
		if err != nil {
			q.fail(err)
			return
		}
		buf := readBuffers.Get().(*[partBytes]byte)
		n, err := resp.Body.Read(buf[:])
		q.add(buf, n, charged)
		if err != nil {
			q.fail(err)
			return
		}
	}
}

// awaitRoom waits until a part may be read. It returns the bytes that are taken from the budget for it: none if the queue is
// empty.
func (q *partQueue) awaitRoom(ctx context.Context, resp *httpconn.Response) (charged int, err error) {
	ticker := (*time.Ticker)(nil)
	for {
		q.mu.Lock()
		idle, failed := len(q.parts) == 0 && !q.sending, q.err
		q.mu.Unlock()
		switch {
		case failed != nil:
			return 0, failed
		case q.granted:
			return partBytes, nil
		case idle:
			return 0, nil
		case q.left >= 0 && q.holding.claim(q.left, true):
			q.granted = true
			return partBytes, nil
		case q.holding.claim(partBytes, false):
			return partBytes, nil
		}
		if ticker == nil {
			resp.BoundReceiveBuffer()
			ticker = time.NewTicker(claimInterval)
			defer ticker.Stop()
		}
		select {
		case <-q.room:
		case <-ticker.C:
		case <-ctx.Done():
			return 0, &errs.Interrupted{Operation: "answer", Reason: ctx.Err().Error()}
		}
	}
}

// add adds the first n bytes of a buffer to the queue. Of the bytes that are taken from the budget for the buffer, those for which it
// has no data are returned.
func (q *partQueue) add(buf *[partBytes]byte, n, charged int) {
	p := part{data: buf[:n], pooled: buf}
	if n < partBytes { // otherwise many small parts would hold a large buffer each
		p = part{data: bytes.Clone(buf[:n])}
		readBuffers.Put(buf)
	}
	if charged > 0 {
		p.charged = n
		if !q.granted {
			q.holding.took(0, charged-n)
		}
	}
	if q.left >= 0 {
		q.left -= int64(n)
	}
	if n == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.parts = append(q.parts, p)
	notify(q.ready)
}

// next waits for the next part. The error is io.EOF after the last one.
func (q *partQueue) next() (part, error) {
	for {
		q.mu.Lock()
		q.sending = false
		switch {
		case q.err != nil && q.err != io.EOF:
			defer q.mu.Unlock()
			return part{}, q.err
		case len(q.parts) > 0:
			p := q.parts[0]
			q.parts[0] = part{}
			q.parts, q.sending = q.parts[1:], true
			q.mu.Unlock()
			return p, nil
		case q.err != nil:
			q.mu.Unlock()
			return part{}, io.EOF
		}
		q.mu.Unlock()
		notify(q.room)
		<-q.ready
	}
}

// writeTo sends the parts until the end of the answer. Without an error all of it is sent.
func (q *partQueue) writeTo(w io.Writer) error {
	for {
		p, err := q.next()
		if err == io.EOF {
			return q.holding.isCut()
		}
		if err != nil {
			return err
		}
		n, err := w.Write(p.data)
		if p.pooled != nil {
			readBuffers.Put(p.pooled)
		}
		q.holding.took(n, p.charged)
		if err != nil {
			return q.cause(err)
		}
	}
}

// cause returns why a part could not be sent.
func (q *partQueue) cause(err error) error {
	if failed := q.failure(); failed != nil && failed != io.EOF {
		return failed
	}
	if cut := q.holding.isCut(); cut != nil {
		return cut
	}
	return err
}
