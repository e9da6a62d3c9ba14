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

// testCatchUp isolates a replica until it can only catch up with a snapshot of 4 MB, calls prepare to
// inject a fault, reconnects the replica and fails if it does not have the whole state in time.
func testCatchUp(t *testing.T, within time.Duration, prepare func(c *testCluster, leader, lagging *testReplica)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, leader, others := newClusterWithLeader(t)
		lagging := others[0]
		c.net.isolate(lagging.opt.ID, true)
		const commands, size = 400, 10 << 10
		for i := range commands {
			if _, err := leader.Propose(t.Context(), bytes.Repeat([]byte{byte(1 + i%200)}, size)); err != nil {
				t.Fatal(err)
			}
		}
		prepare(c, leader, lagging)
		c.net.isolate(lagging.opt.ID, false)
		time.Sleep(within)
		lagging.View(func() {
			if len(lagging.sm.commands) != commands {
				t.Errorf("%d commands, want %d", len(lagging.sm.commands), commands)
			}
			for i, cmd := range lagging.sm.commands {
				if len(cmd) != size || cmd[0] != byte(1+i%200) {
					t.Fatalf("command %d differs", i)
				}
			}
		})
	})
}

// Guards against a snapshot that exceeds the message size limit and therefore never reaches a replica
// that lost its disk.
func TestSnapshotLargerThanAMessage(t *testing.T) {
	testCatchUp(t, 3*time.Second, func(c *testCluster, _, _ *testReplica) { c.net.update(func() { c.net.maxBytes = 1 << 20 }) })
}

// Guards against a snapshot transfer that stops at the first lost part or acknowledgement, or that
// puts parts at the wrong offset.
func TestSnapshotPartsAreLost(t *testing.T) {
	testCatchUp(t, 2*time.Minute, func(c *testCluster, _, _ *testReplica) {
		rng := rand.New(rand.NewPCG(5, 6))
		c.net.update(func() {
			c.net.drop = func(m consensus.Message) bool {
				return (m.Type == consensus.MsgSnapshot || m.Type == consensus.MsgSnapshotPartResp) && rng.IntN(3) == 0
			}
		})
	})
}

// Guards against keeping the snapshot data in memory in addition to the state. On the store hosts each
// of the two holds the results of two minutes.
func TestNodeKeepsNoSnapshotData(t *testing.T) {
	testCatchUp(t, 5*time.Second, func(c *testCluster, leader, lagging *testReplica) {
		c.net.update(func() {
			c.net.drop = func(m consensus.Message) bool {
				if m.Type == consensus.MsgSnapshot && len(m.Snapshot.Data) > 512<<10 {
					t.Errorf("a message carries %d bytes of snapshot data", len(m.Snapshot.Data))
				}
				return false
			}
		})
	})
}

// snapshotMessage returns a MsgSnapshot without data from replica a.
func snapshotMessage(to string, term, index uint64) consensus.Message {
	return consensus.Message{Type: consensus.MsgSnapshot, From: "a", To: to, Term: term, Snapshot: &consensus.Snapshot{Index: index, Term: 1}}
}

// Guards against a sender that floods a replica with the same part, that continues with parts of
// another snapshot, or that does not start again after the replica has lost the received parts.
func TestSenderSendsOnePartAtATime(t *testing.T) {
	const retry = time.Second
	now := time.Unix(0, 0)
	s := newSnapshotSender(retry)
	ack := func(received uint64) *snapshotTransfer {
		return s.handleAck(now, consensus.Message{Type: consensus.MsgSnapshotPartResp, From: "b", Term: 2, Index: 9, LogTerm: 1, Hint: received})
	}
	first := s.handleSnapshot(now, snapshotMessage("b", 2, 9))
	m := first.partMessage(now, make([]byte, 400), 1000)
	if m.Part.Offset != 0 || m.Part.Size != 1000 || len(m.Snapshot.Data) != 400 {
		t.Fatalf("first part %+v", m.Part)
	}
	if s.handleSnapshot(now.Add(retry/2), snapshotMessage("b", 2, 9)) != nil {
		t.Error("the part is sent again before the retry is due")
	}
	if s.handleSnapshot(now, snapshotMessage("c", 2, 9)) == nil {
		t.Error("a transfer to another replica waits for the first one")
	}
	if next := ack(400); next == nil || next.offset != 400 {
		t.Fatal("no part is sent after an acknowledgement")
	} else {
		next.partMessage(now, make([]byte, 600), 1000)
	}
	if ack(400) != nil {
		t.Error("a duplicate acknowledgement makes the sender send again")
	}
	if s.handleAck(now, consensus.Message{From: "b", Term: 2, Index: 8, LogTerm: 1, Hint: 700}) != nil {
		t.Error("an acknowledgement of another snapshot is accepted")
	}
	if restarted := ack(0); restarted == nil || restarted.offset != 0 {
		t.Error("a replica that lost its parts does not get the first part")
	}
	if ack(1000) != nil {
		t.Error("a part is sent after the last one")
	}
	now = now.Add(2 * retry)
	if restarted := s.handleSnapshot(now, snapshotMessage("b", 2, 9)); restarted == nil || restarted.offset != 0 {
		t.Error("a replica that lost the whole snapshot does not get it again")
	}
	if newer := s.handleSnapshot(now, snapshotMessage("b", 2, 12)); newer == nil || newer.offset != 0 {
		t.Error("the transfer of a newer snapshot does not start at offset 0")
	}
}

// Guards against mixing parts of different snapshots or leaders, and against parts that exhaust
// memory.
func TestReceiverReassemblesOneSnapshot(t *testing.T) {
	now := time.Unix(0, 0)
	var r snapshotReceiver
	addPart := func(from string, term, index, offset uint64, data string, size uint64) (uint64, *consensus.Message, error) {
		m := snapshotMessage("b", term, index)
		m.From, m.Snapshot.Data, m.Part = from, []byte(data), &consensus.SnapshotPart{Offset: offset, Size: size}
		return r.add(now, m)
	}
	for _, step := range []struct {
		from            string
		term, index     uint64
		offset          uint64
		data            string
		received        uint64
		complete, wrong string
	}{
		{from: "a", term: 2, index: 9, data: "abc", received: 3},
		{from: "a", term: 2, index: 9, offset: 3, data: "de", received: 5},
		{from: "a", term: 2, index: 9, offset: 3, data: "de", received: 5},
		{from: "a", term: 2, index: 9, offset: 7, data: "f", received: 5},
		{from: "c", term: 3, index: 9, offset: 5, data: "xy", received: 0},
		{from: "c", term: 3, index: 9, data: "hello", received: 5},
		{from: "c", term: 3, index: 9, offset: 5, data: "you", received: 8, complete: "helloyou"},
	} {
		received, complete, err := addPart(step.from, step.term, step.index, step.offset, step.data, 8)
		if err != nil || received != step.received || (complete != nil) != (step.complete != "") {
			t.Fatalf("%+v: %d received, complete %v, %v", step, received, complete != nil, err)
		}
		if complete != nil && (string(complete.Snapshot.Data) != step.complete || complete.Part != nil) {
			t.Errorf("snapshot data %q, want %q", complete.Snapshot.Data, step.complete)
		}
	}
	if _, _, err := addPart("a", 2, 9, 0, "x", maxSnapshotBytes+1); err == nil {
		t.Error("a snapshot above the size limit is accepted")
	}
	if _, _, err := addPart("a", 2, 9, 8, "x", 8); err == nil {
		t.Error("a part beyond the end is accepted")
	}
	_, _, _ = addPart("a", 2, 9, 0, "abc", 8)
	if r.expire(now.Add(2 * receiveTimeout)); r.data != nil {
		t.Error("parts of a stopped transfer are kept")
	}
}

// Guards against a replica that never catches up because the snapshot on the leader's disk is damaged.
func TestDamagedSnapshotIsReplaced(t *testing.T) {
	testCatchUp(t, 20*time.Second, func(c *testCluster, leader, _ *testReplica) {
		names, err := leader.fs.ReadDir("data")
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if len(name) > 5 && name[:5] == "snap-" {
				leader.fs.FlipBit("data/"+name, 8*(600<<10))
			}
		}
	})
}

// Guards against a replica that stores all entries it lacks in one write. With 8 MB of entries in flight
// it held several copies of them and exceeded the memory limit of its host.
func TestIterationReceivesBoundedEntries(t *testing.T) {
	c := newTestCluster(t)
	opt, _ := c.options("b", faultfs.New(nil), storage.Bootstrap, []string{"a", "b", "c"})
	g, err := Open(opt)
	if err != nil {
		t.Fatal(err)
	}
	const messages, size = 10, 512 << 10
	for i := range messages {
		g.Deliver([]consensus.Message{{Type: consensus.MsgAppend, From: "a", To: "b", Term: 2, Index: uint64(1 + i),
			Entries: []consensus.Entry{{Index: uint64(2 + i), Term: 2, Data: make([]byte, size)}}}})
	}
	g.receivePending()
	if left := g.inbox.Depth(); left != messages-maxReceivedBytes/size {
		t.Errorf("%d of %d messages of %d bytes are left after one iteration", left, messages, size)
	}
}
