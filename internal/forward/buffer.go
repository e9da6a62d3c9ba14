package forward

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/observe"
)

const (
	// freeBufferBytes is the part of a body that is buffered whatever others hold. Nearly all bodies are smaller.
	freeBufferBytes = 32 << 10
	// budgetLogInterval is the least time between two log lines about answers that are cut.
	budgetLogInterval = 5 * time.Second
)

// bufferBudget counts the bytes that bodies hold beyond freeBufferBytes each. It is safe for concurrent use.
type bufferBudget struct {
	log *slog.Logger
	cut *observe.Counter

	mu     sync.Mutex
	ledger *answerLedger
	// enders end the answers of the ledger. They are called with mu held, so that none is called after close.
	enders   map[uint64]func()
	cuts     int // since loggedAt
	loggedAt time.Time
}

func newBufferBudget(limit int64, log *slog.Logger, m *observe.Metrics) *bufferBudget {
	b := &bufferBudget{log: log, ledger: newAnswerLedger(limit), enders: make(map[uint64]func())}
	b.cut = m.Counter("forward_answers_cut_total", "Answers that were cut because their callers read slowly and the budget for bodies was used up.")
	m.GaugeFunc("forward_held_bytes", "Memory of bodies that are buffered or read ahead of their callers, as counted in its budget, in bytes.", func() float64 { return float64(b.used()) })
	m.GaugeFunc("forward_held_limit_bytes", "Budget for forward_held_bytes.", func() float64 { return float64(b.limit()) })
	return b
}

// used returns the bytes that bodies hold.
func (b *bufferBudget) used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.used
}

// limit returns the bytes that bodies may hold.
func (b *bufferBudget) limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.limit
}

// setLimit sets the bytes that bodies may hold.
func (b *bufferBudget) setLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.limit = limit
}

// reserve takes bytes for a body that is buffered. It returns false if the budget has too few left. A body that can go on
// without them is optional.
func (b *bufferBudget) reserve(n int, optional bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted, cut := b.ledger.reserve(bootclock.Now(), int64(n), optional)
	b.end(cut)
	return granted
}

// release returns bytes of a body that is buffered.
func (b *bufferBudget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.release(int64(n))
}

// end ends answers in favour of others. The caller holds b.mu.
func (b *bufferBudget) end(ids []uint64) {
	if len(ids) == 0 {
		return
	}
	for _, id := range ids {
		b.cut.Inc()
		b.enders[id]()
	}
	b.cuts += len(ids)
	now := bootclock.Now()
	if now.Sub(b.loggedAt) < budgetLogInterval {
		return
	}
	b.log.Warn("answers of slow readers cut", "answers", b.cuts, "held_bytes", b.ledger.used, "limit_bytes", b.ledger.limit, "open", len(b.ledger.answers))
	b.loggedAt, b.cuts = now, 0
}

// open adds an answer that holds bytes which reserve has taken. end is called if it is cut; it must not block.
func (b *bufferBudget) open(bytes int, unknownLength bool, end func()) *holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := b.ledger.open(bootclock.Now(), int64(bytes), unknownLength)
	b.enders[id] = end
	return &holding{budget: b, id: id}
}

// holding is what an answer holds of the budget.
type holding struct {
	budget *bufferBudget
	id     uint64
}

// claim takes bytes for the answer. whole says that they are all that is left of it. It returns false if they do not fit.
func (h *holding) claim(n int64, whole bool) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	granted, cut := b.ledger.claim(bootclock.Now(), h.id, n, whole)
	b.end(cut)
	return granted
}

// took records that the caller has taken bytes, of which the answer returns a number to the budget.
func (h *holding) took(n, returned int) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.took(bootclock.Now(), h.id, int64(n))
	b.ledger.shrink(h.id, int64(returned))
}

// isCut returns errs.Interrupted if the answer was cut in favour of others.
func (h *holding) isCut() error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.ledger.answers[h.id]; ok && a.ended {
		return &errs.Interrupted{Operation: "answer to a slow caller", Reason: "the budget for bodies is used up"}
	}
	return nil
}

// close returns what the answer holds.
func (h *holding) close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.close(h.id)
	delete(b.enders, h.id)
}

// buffer holds the first bytes of a body.
type buffer struct {
	data     []byte
	whole    bool // data is the entire body
	budget   *bufferBudget
	reserved int  // bytes taken from the budget
	optional bool // the body is known to be too long to be buffered
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
		if !b.budget.reserve(extra, b.optional) {
			return false
		}
		b.reserved += extra
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return true
}

// handOver returns the number of reserved bytes, which belong to the caller from now on.
func (b *buffer) handOver() int {
	n := b.reserved
	b.reserved = 0
	return n
}

// release returns what the buffer has taken from the budget. The buffer must not be used any more.
func (b *buffer) release() {
	if b.reserved > 0 {
		b.budget.release(b.reserved)
	}
	b.reserved = 0
}
