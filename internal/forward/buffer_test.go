package forward

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/iotest"

	"fuchsiaflow/internal/observe"
)

// Guards against bodies that are cut, buffers beyond the budget, and a budget that is not returned.
func TestBuffer(t *testing.T) {
	budget := newBufferBudget(heldLimit(0), slog.New(slog.DiscardHandler), observe.NewMetrics())
	for _, size := range []int{0, 1, bufferStep, freeBufferBytes, freeBufferBytes + 1, maxBufferedBody, maxBufferedBody + 1, 2 * maxBufferedBody} {
		body := strings.Repeat("x", size)
		b := buffer{budget: budget}
		r := iotest.HalfReader(strings.NewReader(body))
		if err := b.read(r, maxBufferedBody+1); err != nil {
			t.Fatal(err)
		}
		rest, _ := io.ReadAll(r)
		if whole := size <= maxBufferedBody; b.whole != whole || len(b.data)+len(rest) != size || whole && len(rest) > 0 {
			t.Errorf("%d bytes: %d buffered, whole %t, %d left", size, len(b.data), b.whole, len(rest))
		}
		b.release()
	}
	if used := budget.used(); used != 0 {
		t.Errorf("%d bytes of the budget are not returned", used)
	}
	held := 0
	for range 1000 {
		b := buffer{budget: budget}
		if err := b.read(bytes.NewReader(make([]byte, 2*maxBufferedBody)), maxBufferedBody+1); err != nil {
			t.Fatal(err)
		}
		held += cap(b.data)
	}
	if limit := 1000*freeBufferBytes + defaultHeldBytes; held > limit {
		t.Errorf("1000 bodies hold %d bytes, limit %d", held, limit)
	}
}
