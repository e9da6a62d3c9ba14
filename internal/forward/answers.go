package forward

import (
	"cmp"
	"slices"
	"time"
)

const (
	// defaultHeldBytes bounds what the bodies of all requests and answers hold beyond freeBufferBytes each, where the memory
	// of the process is not known.
	defaultHeldBytes = 16 << 20
	// heldShare is the part of the memory of the process for that: what heads, connections and decoded bodies leave (see
	// package headguard), less the process at rest and the garbage collector.
	heldShare = 1.0 / 8
	// minHeldBytes has room for some large events.
	minHeldBytes = 2 << 20
	// aheadShare is the part of the budget that may be read ahead for callers. The rest is for bodies that are buffered
	// before their request or answer goes on, so that slow readers do not keep requests from being retried.
	aheadShare = 3.0 / 4
	// optionalShare is the part of the budget for the first bytes of answers that are too long to be buffered whole: they
	// save a retry if an answer breaks off early, but many of them would leave no room for a whole answer.
	optionalShare = 1.0 / 4
	// unknownShare is the part of the budget that an answer of unknown length may hold.
	unknownShare = 1.0 / 4
	// socketBytes is the part of an answer that the sockets may hold, which tells nothing about the speed of its reader.
	socketBytes = 128 << 10
	// settleTime is the time after which the speed of a reader is known.
	settleTime = 2 * time.Second
	// stallTime is the time after which a reader that has taken no part counts as stalled. A part has up to 32 KiB.
	stallTime = 10 * time.Second
	// speedRatio is how much faster than another a reader must be to take its place. Readers of like speed do not cut each
	// other, because then none would get a whole answer.
	speedRatio = 2.0
	// minSpeed is the least speed in bytes a second of a reader that takes the place of another. Below it, what the sockets take
	// hides the difference between two readers.
	minSpeed = 16 << 10
)

// heldLimit returns the budget for bodies of a process with the given memory in bytes; 0 means that it is not known.
func heldLimit(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return defaultHeldBytes
	}
	return max(int64(heldShare*float64(memoryBytes)), minHeldBytes)
}

// heldAnswer is an answer that is sent to its caller.
type heldAnswer struct {
	id      uint64
	since   time.Time
	tookAt  time.Time // when the caller has last taken a part
	bytes   int64     // taken from the budget
	taken   int64     // sent to the caller
	ended   bool      // cut in favour of others
	unknown bool      // its length is not known
}

// speed returns the bytes a second that the reader of an answer takes, if it is known.
func (a *heldAnswer) speed(now time.Time) (float64, bool) {
	age := now.Sub(a.since)
	if age < settleTime {
		return 0, false
	}
	return float64(max(a.taken-socketBytes, 0)) / age.Seconds(), true
}

// answerLedger decides how much each body may hold, and which answers are cut if the budget is used up. It is not safe for
// concurrent use.
type answerLedger struct {
	limit   int64
	used    int64 // by all bodies
	ending  int64 // part of used of answers that are cut
	answers map[uint64]*heldAnswer
	lastID  uint64
}

func newAnswerLedger(limit int64) *answerLedger {
	return &answerLedger{limit: limit, answers: make(map[uint64]*heldAnswer)}
}

// reserve takes bytes for a body that is buffered before it goes on. If they do not fit, it returns false and the answers of
// stalled readers, which are cut so that the next body fits. A body that can go on without them is optional.
func (l *answerLedger) reserve(now time.Time, n int64, optional bool) (granted bool, cut []uint64) {
	if optional && l.used+n > int64(optionalShare*float64(l.limit)) {
		return false, nil
	}
	if l.used+n <= l.limit {
		l.used += n
		return true, nil
	}
	return false, l.makeRoom(l.limit-n, l.stalled(now, nil))
}

// release returns bytes of a body that is buffered.
func (l *answerLedger) release(n int64) { l.used -= n }

// open adds an answer that holds bytes which reserve has taken, and returns its ID.
func (l *answerLedger) open(now time.Time, bytes int64, unknownLength bool) uint64 {
	l.lastID++
	l.answers[l.lastID] = &heldAnswer{id: l.lastID, since: now, tookAt: now, bytes: bytes, unknown: unknownLength}
	return l.lastID
}

// claim takes bytes for an answer that is read ahead of its caller. If they do not fit, it returns false and the answers that
// are cut, the slowest first: those of stalled readers, and those of readers that are slower by speedRatio. whole says
// that n bytes are all that is left of the answer. Otherwise the claim is refused if the length of the answer is known, because
// a part would not keep the target from cutting the answer off, and beyond unknownShare if it is not known.
func (l *answerLedger) claim(now time.Time, id uint64, n int64, whole bool) (granted bool, cut []uint64) {
	a, ok := l.answers[id]
	if !ok || a.ended || !whole && a.bytes+n > l.partLimit(a) {
		return false, nil
	}
	room := int64(aheadShare * float64(l.limit))
	if l.used+n <= room {
		l.used += n
		a.bytes += n
		return true, nil
	}
	return false, l.makeRoom(room-n, l.slower(now, a))
}

// partLimit returns what an answer may hold that is not whole.
func (l *answerLedger) partLimit(a *heldAnswer) int64 {
	if a.unknown {
		return int64(unknownShare * float64(l.limit))
	}
	return 0
}

// stalled returns the answers whose readers have stalled, without except.
func (l *answerLedger) stalled(now time.Time, except *heldAnswer) (list []*heldAnswer) {
	return l.evictable(now, except, func(a *heldAnswer) bool { return now.Sub(a.tookAt) >= stallTime })
}

// slower returns the answers whose readers have stalled or are slower than that of another by speedRatio.
func (l *answerLedger) slower(now time.Time, than *heldAnswer) (list []*heldAnswer) {
	speed, known := than.speed(now)
	if !known || speed < minSpeed {
		if now.Sub(than.tookAt) >= stallTime {
			return nil
		}
		return l.stalled(now, than)
	}
	return l.evictable(now, than, func(a *heldAnswer) bool {
		s, known := a.speed(now)
		return known && speedRatio*s <= speed
	})
}

// evictable returns the answers that hold bytes and meet a condition, the slowest first, without except.
func (l *answerLedger) evictable(now time.Time, except *heldAnswer, condition func(*heldAnswer) bool) (list []*heldAnswer) {
	for _, a := range l.answers {
		if a != except && !a.ended && a.bytes > 0 && condition(a) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *heldAnswer) int {
		s, _ := a.speed(now)
		t, _ := b.speed(now)
		return cmp.Or(cmp.Compare(s, t), a.tookAt.Compare(b.tookAt), cmp.Compare(a.id, b.id))
	})
	return list
}

// makeRoom cuts answers of a list until no more than limit bytes stay in use. It cuts none if that cannot be reached.
func (l *answerLedger) makeRoom(limit int64, list []*heldAnswer) (cut []uint64) {
	left, count := l.used-l.ending, 0
	for count < len(list) && left > limit {
		left -= list[count].bytes
		count++
	}
	if left > limit {
		return nil
	}
	for _, a := range list[:count] {
		a.ended = true
		l.ending += a.bytes
		cut = append(cut, a.id)
	}
	return cut
}

// took records that the caller has taken bytes of an answer.
func (l *answerLedger) took(now time.Time, id uint64, n int64) {
	if a, ok := l.answers[id]; ok {
		a.taken += n
		a.tookAt = now
	}
}

// shrink returns bytes of an answer that are not held any more.
func (l *answerLedger) shrink(id uint64, n int64) {
	a, ok := l.answers[id]
	if !ok {
		return
	}
	a.bytes -= n
	l.used -= n
	if a.ended {
		l.ending -= n
	}
}

// close removes an answer and returns what it holds.
func (l *answerLedger) close(id uint64) {
	if a, ok := l.answers[id]; ok {
		l.shrink(id, a.bytes)
		delete(l.answers, id)
	}
}
