package balance

import (
	"fmt"
	"testing"
	"time"

	"fuchsiaflow/fleet"
)

var t0 = time.Unix(50, 0)

func candidates(n int) []Candidate {
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{Target: fleet.Target{ID: fmt.Sprintf("t%d", i), Domain: fmt.Sprintf("d%d", i), Slots: 6}})
	}
	return list
}

// Guards against requests that go to a target that fails, when others work.
func TestFailingTargetIsAvoided(t *testing.T) {
	b := New("d0")
	list := candidates(3)
	b.Started("t0")
	b.Finished(t0, "t0", Failed, 0)
	for range 20 {
		c, _, ok := b.Pick(t0.Add(10*time.Millisecond), list, nil)
		if !ok || c.ID == "t0" {
			t.Fatalf("picked %q", c.ID)
		}
		b.Started(c.ID)
		b.Finished(t0, c.ID, OK, 20*time.Millisecond)
	}
}

// Guards against a request that waits for a target that cannot be reached, and against one that
// is refused although the target may work again.
func TestLostTargetsAreRefusedUntilTheirPauseEnds(t *testing.T) {
	b := New("d0")
	list := candidates(1)
	for range 2 {
		if _, _, ok := b.Pick(t0, list, nil); !ok {
			t.Fatal("the only target is not tried after one failure")
		}
		b.Started("t0")
		b.Finished(t0, "t0", Failed, 0)
	}
	_, wait, ok := b.Pick(t0, list, nil)
	if ok || wait <= 0 || wait > maxPause {
		t.Fatalf("ok %v, wait %s", ok, wait)
	}
	if _, _, ok := b.Pick(t0.Add(wait), list, nil); !ok {
		t.Error("the target is not tried when its pause has ended")
	}
}

// Guards against a burst that piles up at one target: 18 requests at once over three targets
// with six slots each, and the load that one of them reports.
func TestBurstIsSpread(t *testing.T) {
	b := New("d0")
	list := candidates(3)
	b.RecordLoad(t0, "t1", LoadReport{Running: 4, Slots: 6})
	count := make(map[string]int)
	for range 14 {
		c, _, _ := b.Pick(t0, list, nil)
		b.Started(c.ID)
		count[c.ID]++
	}
	for id, n := range count {
		if n > 6 {
			t.Errorf("target %s got %d of 14 requests with six slots: %v", id, n, count)
		}
	}
}

// Guards against a new connection where a warm one to an equal target is there.
func TestWarmConnectionIsPreferred(t *testing.T) {
	b := New("d9")
	list := candidates(3)
	list[2].Connected = true
	if c, _, _ := b.Pick(t0, list, nil); c.ID != "t2" {
		t.Errorf("picked %q", c.ID)
	}
}

// Guards against requests that are lost while the own failure domain is cut off from the others,
// although a target in it serves them: the targets elsewhere are silent, so that a request learns
// nothing until its second attempt, the last that its route allows.
func TestCutOffDomainServesItsCallers(t *testing.T) {
	const hedge, own, other = 67 * time.Millisecond, 40 * time.Millisecond, 25 * time.Millisecond
	b := New("d0")
	list := candidates(3)
	for i := range list {
		list[i].Connected = true
	}
	for range 20 { // before the cut the other domains answer sooner
		for id, latency := range map[string]time.Duration{"t0": own, "t1": other, "t2": other} {
			b.Started(id)
			b.Finished(t0, id, OK, latency)
		}
	}
	late := 0
	for k := range 20 {
		now := t0.Add(time.Duration(k) * time.Second)
		first, _, _ := b.Pick(now, list, nil)
		b.Started(first.ID)
		if first.ID == "t0" {
			b.Finished(now, "t0", OK, own)
			continue
		}
		late++
		second, _, _ := b.Pick(now.Add(hedge), list, []string{first.ID})
		if second.ID != "t0" {
			t.Fatalf("request %d goes to %s and then to %s", k, first.ID, second.ID)
		}
		b.Started("t0")
		b.Finished(now, "t0", OK, own)
		b.Finished(now, first.ID, Cancelled, hedge+own)
	}
	if late > 6 {
		t.Errorf("%d of 20 requests went to a silent target first", late)
	}
}
