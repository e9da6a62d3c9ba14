package headguard

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against limits that an ordinary deployment meets: a single maximal head, and the connections of a small host.
func TestLimitsFollowFromSettings(t *testing.T) {
	l := LimitsFor(136<<20, 2870)
	if want := (Limits{HeadBytes: 17 << 20, BodyBytes: 51 << 20, Connections: 272}); l != want {
		t.Errorf("%+v, want %+v", l, want)
	}
	if l := LimitsFor(90<<20, 240); l.Connections != (240-ownDescriptors)/descriptorsPerRequest {
		t.Errorf("%+v", l)
	}
	if d := LimitsFor(0, 0); d.Connections < 200 || NewLedger(LimitsFor(1, 1)).fits(Cost(16384, 4096)) == false {
		t.Errorf("%+v", d)
	}
}

// Guards against the wrong connection to close: the one that has sent nothing for the longest time, never one with a
// request, and never one of another listener for a listener that uses up its share.
func TestOldestConnectionMakesRoom(t *testing.T) {
	l := NewLedger(Limits{HeadBytes: 8 << 20, Connections: 8})
	now := time.Unix(0, 0)
	open := func(id uint64, listener string) (uint64, bool) {
		now = now.Add(time.Second)
		return l.Open(now, id, listener)
	}
	open(1, "ready")
	for id := uint64(2); id <= 7; id++ {
		open(id, "front")
	}
	l.Admit(2, 1)
	if victim, taken := open(8, "front"); victim != 3 || !taken {
		t.Errorf("connection %d is closed", victim)
	}
	for id := uint64(4); id <= 8; id++ {
		l.Admit(id, 1)
	}
	if _, taken := open(9, "front"); taken {
		t.Error("a connection beyond the share of its listener is taken")
	}
	open(10, "control")
	if victim, taken := open(11, "control"); victim != 1 || !taken {
		t.Errorf("connection %d is closed", victim)
	}
}

// Guards against incomplete heads that fill the memory, and against the refusal of a small or new one in their place.
func TestLargestSlowestHeadIsRefused(t *testing.T) {
	l := NewLedger(Limits{HeadBytes: 400, Connections: 20})
	now := time.Unix(0, 0)
	for id := uint64(1); id <= 4; id++ {
		l.Open(now, id, "front")
	}
	l.Buffer(now, 1, 10)
	l.Buffer(now.Add(time.Second), 2, 60)
	l.Buffer(now.Add(2*time.Second), 3, 30)
	if refused := l.Buffer(now.Add(3*time.Second), 4, 40); !slices.Equal(refused, []uint64{2}) || l.UsedBytes() != 80 {
		t.Errorf("%v refused, %d bytes in use", refused, l.UsedBytes())
	}
}

// Guards against a waiting head that is passed over or let in twice, and against large heads before small ones.
func TestSmallestWaitingHeadIsAdmittedFirst(t *testing.T) {
	l := NewLedger(Limits{HeadBytes: 400, Connections: 20})
	now := time.Unix(0, 0)
	for id := uint64(1); id <= 4; id++ {
		l.Open(now, id, "front")
	}
	if !l.Admit(1, 300) || l.Admit(2, 200) || l.Admit(3, 100) || l.Admit(4, 50) {
		t.Fatal("room for other heads than expected")
	}
	l.Enqueue(now, 2, 200)
	l.Enqueue(now, 3, 100)
	l.Enqueue(now, 4, 50)
	if !l.Withdraw(now, 4) || l.Withdraw(now, 4) {
		t.Error("a wait ends not once")
	}
	if admitted := l.Release(now, 1); !slices.Equal(admitted, []uint64{3, 2}) {
		t.Errorf("%v admitted", admitted)
	}
}

// Guards against batch jobs that keep out the reports of targets.
func TestSmallBodyFitsBesideLargeOnes(t *testing.T) {
	l := NewLedger(Limits{BodyBytes: 16 << 20, Connections: 20})
	l.Open(time.Unix(0, 0), 1, "front")
	l.Open(time.Unix(0, 0), 2, "control")
	for l.ReserveBody(1, 64<<10) {
	}
	if !l.ReserveBody(2, 64<<10) || l.ReserveBody(2, 1) || l.BodyBytes() != 15<<20+256<<10 {
		t.Errorf("%d bytes in use", l.BodyBytes())
	}
}

// Guards against memory that is counted and never returned, and against a budget that is exceeded, in any order of
// events.
func TestLedgerReturnsWhatItCounts(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	limits := Limits{HeadBytes: 1000, BodyBytes: 1000, Connections: 12}
	l := NewLedger(limits)
	now := time.Unix(0, 0)
	for range 50000 {
		now = now.Add(time.Duration(r.IntN(1000)) * time.Millisecond)
		id := uint64(r.IntN(30))
		switch r.IntN(8) {
		case 0:
			if _, known := l.connections[id]; !known {
				l.Open(now, id, []string{"a", "b"}[r.IntN(2)])
			}
		case 1:
			l.Buffer(now, id, int64(r.IntN(200)))
		case 2:
			if cost := int64(r.IntN(400)); !l.Admit(id, cost) {
				l.Enqueue(now, id, cost)
			}
		case 3:
			l.Extend(id, int64(r.IntN(100)))
		case 4:
			l.ReserveBody(id, int64(r.IntN(100)))
		case 5:
			l.Withdraw(now, id)
		case 6:
			l.Release(now, id)
		case 7:
			l.Close(id)
		}
		if l.UsedBytes() > limits.HeadBytes || l.buffered < 0 || l.used < 0 || l.BodyBytes() > limits.BodyBytes || l.Connections() > limits.Connections {
			t.Fatalf("%+v", l)
		}
	}
	for id := range uint64(30) {
		l.Close(id)
	}
	if l.UsedBytes() != 0 || l.BodyBytes() != 0 || l.waiting != 0 || len(l.byListener) != 0 {
		t.Errorf("%+v", l)
	}
}
