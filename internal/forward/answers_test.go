package forward

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const testLimit = 16 << 20

// Guards against a budget that does not follow the memory of the process, or another one than before where that is unknown.
func TestHeldLimitFollowsMemory(t *testing.T) {
	for memory, want := range map[int64]int64{0: 16 << 20, 120 << 20: 15 << 20, 1: minHeldBytes, 1 << 30: 128 << 20} {
		if got := heldLimit(memory); got != want {
			t.Errorf("memory %d: %d, want %d", memory, got, want)
		}
	}
}

// Guards against an answer that is not read at once although it fits, and against parts that fill the budget.
func TestHowMuchAnAnswerMayHold(t *testing.T) {
	l, now := newAnswerLedger(testLimit), time.Unix(0, 0)
	known, unknown := l.open(now, 0, false), l.open(now, 0, true)
	for name, c := range map[string]struct {
		id    uint64
		bytes int64
		whole bool
		want  bool
	}{
		"whole answer that fits":      {known, 12 << 20, true, true},
		"whole answer beyond":         {known, 12<<20 + 1, true, false},
		"part of known length":        {known, partBytes, false, false},
		"part of unknown length":      {unknown, 4 << 20, false, true},
		"part of unknown length, too": {unknown, 4<<20 + 1, false, false},
		"answer that is not open":     {99, 1, true, false},
	} {
		granted, cut := l.claim(now, c.id, c.bytes, c.whole)
		if granted != c.want || len(cut) > 0 {
			t.Errorf("%s: granted %t, cut %v", name, granted, cut)
		}
		if granted {
			l.shrink(c.id, c.bytes)
		}
	}
}

// Guards against the first bytes of long answers that leave no room for a whole one, or for bodies that need it.
func TestOptionalBytesLeaveRoom(t *testing.T) {
	l, now := newAnswerLedger(testLimit), time.Unix(0, 0)
	id := l.open(now, 0, false)
	for range 100 {
		_, _ = l.reserve(now, 224<<10, true)
	}
	if granted, _ := l.claim(now, id, 8<<20, true); !granted || l.used < 11<<20 {
		t.Errorf("a whole answer: granted %t, %d bytes used", granted, l.used)
	}
	if granted, _ := l.reserve(now, 4<<20, false); !granted {
		t.Error("there is no room for a body")
	}
}

// Guards against the wrong answer to cut: it is the slowest one, none while readers are of like speed, unknown speed or none
// is slow, and none if that would not make room.
func TestSlowestReaderIsCutFirst(t *testing.T) {
	start := time.Unix(0, 0)
	for name, c := range map[string]struct {
		age     time.Duration
		taken   []int64 // of three answers that use up the budget, beyond what sockets hold
		claimed int64   // taken by the reader that claims
		bytes   int64
		want    []uint64
	}{
		"faster reader":                    {5 * time.Second, []int64{90_000, 10_000, 50_000}, 200_000, 1 << 20, []uint64{2}},
		"faster reader, needs two":         {5 * time.Second, []int64{90_000, 10_000, 50_000}, 200_000, 8 << 20, []uint64{2, 3}},
		"too few bytes of slower ones":     {5 * time.Second, []int64{150_000, 10_000, 150_000}, 200_000, 8 << 20, nil},
		"readers of like speed":            {5 * time.Second, []int64{12_000, 10_000, 11_000}, 15_000, 1 << 20, nil},
		"too early to tell":                {time.Second, []int64{90_000, 0, 50_000}, 200_000, 1 << 20, nil},
		"stalled readers, the slowest one": {stallTime, []int64{90_000, 10_000, 50_000}, -socketBytes, 1 << 20, []uint64{2}},
	} {
		l := newAnswerLedger(testLimit)
		for range 3 {
			if granted, _ := l.claim(start, l.open(start, 0, false), 4<<20, true); !granted {
				t.Fatal("the answers do not fit")
			}
		}
		now := start.Add(c.age)
		claimant := uint64(4)
		if c.claimed < 0 {
			for i, n := range c.taken {
				l.took(start, uint64(i+1), socketBytes+n)
			}
			l.open(now, 0, false)
		} else {
			l.open(start, 0, false)
			l.took(now, claimant, socketBytes+c.claimed)
			for i, n := range c.taken {
				l.took(now, uint64(i+1), socketBytes+n)
			}
		}
		granted, cut := l.claim(now, claimant, c.bytes, true)
		if granted || !slices.Equal(cut, c.want) {
			t.Errorf("%s: granted %t, cut %v, want %v", name, granted, cut, c.want)
		}
		if _, again := l.claim(now, claimant, c.bytes, true); len(again) > 0 {
			t.Errorf("%s: %v are cut too, although enough is cut", name, again)
		}
		for _, id := range cut {
			l.close(id)
		}
		if granted, _ := l.claim(now, claimant, c.bytes, true); granted != (len(cut) > 0) {
			t.Errorf("%s: granted %t after the cut of %v", name, granted, cut)
		}
	}
}

// Guards against ordinary bodies that do not fit as long as a reader has stalled.
func TestStalledReaderMakesRoomForBodies(t *testing.T) {
	l, now := newAnswerLedger(testLimit), time.Unix(0, 0)
	_, _ = l.reserve(now, testLimit, false)
	id := l.open(now, testLimit, false)
	if granted, cut := l.reserve(now.Add(stallTime-1), 1, false); granted || len(cut) > 0 {
		t.Errorf("granted %t, cut %v before the reader has stalled", granted, cut)
	}
	if granted, cut := l.reserve(now.Add(stallTime), 1, false); granted || !slices.Equal(cut, []uint64{id}) {
		t.Errorf("granted %t, cut %v", granted, cut)
	}
}

// Guards against a budget that is exceeded or not returned, whatever the order of events.
func TestBudgetHoldsInAnyOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	l, now := newAnswerLedger(testLimit), time.Unix(0, 0)
	var open []uint64
	buffered := int64(0)
	for range 50_000 {
		now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
		n := int64(r.IntN(3 << 20))
		switch k := r.IntN(6); {
		case k == 0:
			open = append(open, l.open(now, 0, r.IntN(2) == 0))
		case k == 1:
			if granted, _ := l.reserve(now, n, r.IntN(2) == 0); granted {
				buffered += n
			}
		case k == 2:
			l.release(buffered)
			buffered = 0
		case len(open) == 0:
		case k == 3:
			i := r.IntN(len(open))
			l.close(open[i])
			open = slices.Delete(open, i, i+1)
		case k == 4:
			l.took(now, open[r.IntN(len(open))], n)
		default:
			_, _ = l.claim(now, open[r.IntN(len(open))], n, r.IntN(2) == 0)
		}
		held, ending := buffered, int64(0)
		for _, a := range l.answers {
			held += a.bytes
			if a.ended {
				ending += a.bytes
			}
		}
		if l.used != held || l.ending != ending || held > testLimit {
			t.Fatalf("%d bytes are counted and %d of cut answers, held are %d and %d", l.used, l.ending, held, ending)
		}
	}
	for _, id := range open {
		l.close(id)
	}
	l.release(buffered)
	if l.used != 0 || l.ending != 0 {
		t.Errorf("%d bytes are not returned, %d of cut answers", l.used, l.ending)
	}
}
