package group

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaflow/consensus"
	"fuchsiaflow/storage"
	"fuchsiaflow/storage/faultfs"
)

// catchUp leaves a replica behind a snapshot of several megabytes, lets it come back while prepare
// interferes, and fails if it has not got the state in time.
func catchUp(t *testing.T, within time.Duration, prepare func(b *bench, leader, behind *replicaUnderTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b, leader, others := newLedBench(t)
		behind := others[0]
		b.net.isolate(behind.opt.ID, true)
		const commands, size = 400, 10 << 10
		for i := range commands {
			if _, err := leader.Propose(t.Context(), bytes.Repeat([]byte{byte(1 + i%200)}, size)); err != nil {
				t.Fatal(err)
			}
		}
		prepare(b, leader, behind)
		b.net.isolate(behind.opt.ID, false)
		time.Sleep(within)
		behind.View(func() {
			if len(behind.sm.commands) != commands {
				t.Errorf("%d commands, want %d", len(behind.sm.commands), commands)
			}
			for i, c := range behind.sm.commands {
				if len(c) != size || c[0] != byte(1+i%200) {
					t.Fatalf("command %d differs", i)
				}
			}
		})
	})
}

// Guards against a state that has grown beyond the size of a message and can then never reach a
// replica that lost its disk.
func TestSnapshotLargerThanAMessage(t *testing.T) {
	catchUp(t, 3*time.Second, func(b *bench, _, _ *replicaUnderTest) { b.net.interfere(func() { b.net.limit = 1 << 20 }) })
}

// Guards against a transfer that ends with the first lost part or acknowledgement, or that joins
// parts in the wrong place.
func TestSnapshotPartsAreLost(t *testing.T) {
	catchUp(t, 2*time.Minute, func(b *bench, _, _ *replicaUnderTest) {
		rng := rand.New(rand.NewPCG(5, 6))
		b.net.interfere(func() {
			b.net.lose = func(m consensus.Message) bool {
				return (m.Type == consensus.MsgSnapshot || m.Type == consensus.MsgSnapshotPartResp) && rng.IntN(3) == 0
			}
		})
	})
}

// Guards against the data of a snapshot that stays in memory beside the state: on the store hosts
// both have the results of two minutes.
func TestNodeKeepsNoSnapshotData(t *testing.T) {
	catchUp(t, 5*time.Second, func(b *bench, leader, behind *replicaUnderTest) {
		b.net.interfere(func() {
			b.net.lose = func(m consensus.Message) bool {
				if m.Type == consensus.MsgSnapshot && len(m.Snapshot.Data) > 512<<10 {
					t.Errorf("a message with %d bytes of a snapshot", len(m.Snapshot.Data))
				}
				return false
			}
		})
	})
}

func snapshotMessage(to string, term, index uint64) consensus.Message {
	return consensus.Message{Type: consensus.MsgSnapshot, From: "a", To: to, Term: term, Snapshot: &consensus.Snapshot{Index: index, Term: 1}}
}

// Guards against a sender that floods a replica with the same part, that goes on with parts of
// another snapshot, or that never starts again after the replica has lost what it had.
func TestSenderKeepsOnePartUnderWay(t *testing.T) {
	const retry = time.Second
	now := time.Unix(0, 0)
	s := newSender(retry)
	ack := func(received uint64) *transfer {
		return s.acknowledge(now, consensus.Message{Type: consensus.MsgSnapshotPartResp, From: "b", Term: 2, Index: 9, LogTerm: 1, Hint: received})
	}
	first := s.offer(now, snapshotMessage("b", 2, 9))
	m := first.part(now, make([]byte, 400), 1000)
	if m.Part.Offset != 0 || m.Part.Size != 1000 || len(m.Snapshot.Data) != 400 {
		t.Fatalf("first part %+v", m.Part)
	}
	if s.offer(now.Add(retry/2), snapshotMessage("b", 2, 9)) != nil {
		t.Error("the part is sent again while it is under way")
	}
	if s.offer(now, snapshotMessage("c", 2, 9)) == nil {
		t.Error("another replica waits for the first")
	}
	if next := ack(400); next == nil || next.offset != 400 {
		t.Fatal("no part follows an acknowledgement")
	} else {
		next.part(now, make([]byte, 600), 1000)
	}
	if ack(400) != nil {
		t.Error("a repeated acknowledgement makes the sender send again")
	}
	if s.acknowledge(now, consensus.Message{From: "b", Term: 2, Index: 8, LogTerm: 1, Hint: 700}) != nil {
		t.Error("an acknowledgement of another snapshot counts")
	}
	if back := ack(0); back == nil || back.offset != 0 {
		t.Error("a replica that lost its parts gets no first part")
	}
	if ack(1000) != nil {
		t.Error("a part follows the last one")
	}
	now = now.Add(2 * retry)
	if again := s.offer(now, snapshotMessage("b", 2, 9)); again == nil || again.offset != 0 {
		t.Error("a replica that lost the whole snapshot gets none")
	}
	if newer := s.offer(now, snapshotMessage("b", 2, 12)); newer == nil || newer.offset != 0 {
		t.Error("a newer snapshot does not start from its beginning")
	}
}

// Guards against parts of two snapshots or two leaders that are joined, and against parts that
// exhaust the memory.
func TestAssemblyJoinsOneSnapshot(t *testing.T) {
	now := time.Unix(0, 0)
	var a assembly
	part := func(from string, term, index, offset uint64, data string, size uint64) (uint64, *consensus.Message, error) {
		m := snapshotMessage("b", term, index)
		m.From, m.Snapshot.Data, m.Part = from, []byte(data), &consensus.SnapshotPart{Offset: offset, Size: size}
		return a.add(now, m)
	}
	for _, step := range []struct {
		from         string
		term, index  uint64
		offset       uint64
		data         string
		received     uint64
		whole, wrong string
	}{
		{from: "a", term: 2, index: 9, data: "abc", received: 3},
		{from: "a", term: 2, index: 9, offset: 3, data: "de", received: 5},
		{from: "a", term: 2, index: 9, offset: 3, data: "de", received: 5},
		{from: "a", term: 2, index: 9, offset: 7, data: "f", received: 5},
		{from: "c", term: 3, index: 9, offset: 5, data: "xy", received: 0},
		{from: "c", term: 3, index: 9, data: "hello", received: 5},
		{from: "c", term: 3, index: 9, offset: 5, data: "you", received: 8, whole: "helloyou"},
	} {
		received, whole, err := part(step.from, step.term, step.index, step.offset, step.data, 8)
		if err != nil || received != step.received || (whole != nil) != (step.whole != "") {
			t.Fatalf("%+v: %d received, whole %v, %v", step, received, whole != nil, err)
		}
		if whole != nil && (string(whole.Snapshot.Data) != step.whole || whole.Part != nil) {
			t.Errorf("%q is passed on, want %q", whole.Snapshot.Data, step.whole)
		}
	}
	if _, _, err := part("a", 2, 9, 0, "x", maxSnapshotBytes+1); err == nil {
		t.Error("a snapshot of any size is collected")
	}
	if _, _, err := part("a", 2, 9, 8, "x", 8); err == nil {
		t.Error("a part beyond the end is taken")
	}
	_, _, _ = part("a", 2, 9, 0, "abc", 8)
	if a.expire(now.Add(2 * assemblyTimeout)); a.data != nil {
		t.Error("parts that nothing follows are kept")
	}
}

// Guards against a damaged snapshot on the leader's disk that keeps a replica behind for ever.
func TestDamagedSnapshotIsReplaced(t *testing.T) {
	catchUp(t, 20*time.Second, func(b *bench, leader, _ *replicaUnderTest) {
		names, err := leader.fs.ReadDir("data")
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if len(name) > 5 && name[:5] == "snap-" {
				leader.fs.Flip("data/"+name, 8*(600<<10))
			}
		}
	})
}

// Guards against a replica that takes in all that it lacks at once and stores it in one write: with
// 8 MB under way it had several copies of them, and ran into the memory limit of its host.
func TestTurnTakesABoundedAmount(t *testing.T) {
	b := newBench(t)
	opt, _ := b.options("b", faultfs.New(nil), storage.Bootstrap, []string{"a", "b", "c"})
	g, err := Open(opt)
	if err != nil {
		t.Fatal(err)
	}
	const messages, size = 10, 512 << 10
	for i := range messages {
		g.Deliver([]consensus.Message{{Type: consensus.MsgAppend, From: "a", To: "b", Term: 2, Index: uint64(1 + i),
			Entries: []consensus.Entry{{Index: uint64(2 + i), Term: 2, Data: make([]byte, size)}}}})
	}
	g.drain()
	if left := g.inbox.Depth(); left != messages-maxReceivedBytes/size {
		t.Errorf("%d of %d messages of %d bytes are left after a turn", left, messages, size)
	}
}
