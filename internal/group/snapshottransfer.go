package group

import (
	"time"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
)

// A snapshot is sent to a replica in parts, one at a time. A single message with the whole snapshot
// would delay the heartbeats queued behind it, exceed the message size limit, and be held in memory
// several times on both sides. The leader's node requests the snapshot repeatedly until the replica
// has it; the sender continues from the last acknowledged part.

// snapshotSender tracks the snapshots being sent to other replicas. It is owned by Run.
type snapshotSender struct {
	// retry is the time after which an unacknowledged part is sent again.
	retry     time.Duration
	transfers map[string]*snapshotTransfer // by replica ID
}

// snapshotTransfer is a snapshot being sent to one replica.
type snapshotTransfer struct {
	message consensus.Message // the node's MsgSnapshot, without data
	offset  uint64            // bytes acknowledged by the replica
	size    uint64            // of the snapshot in bytes; zero until a part has been read
	sent    time.Time         // when the last part was sent
}

func newSnapshotSender(retry time.Duration) *snapshotSender {
	return &snapshotSender{retry: retry, transfers: make(map[string]*snapshotTransfer)}
}

// matches reports whether m requests the same snapshot in the same term.
func (t *snapshotTransfer) matches(m consensus.Message) bool {
	s := t.message.Snapshot
	return t.message.Term == m.Term && s.Index == m.Snapshot.Index && s.Term == m.Snapshot.Term
}

// handleSnapshot handles a MsgSnapshot of the node. It returns the transfer whose next part must be sent
// now, or nil while a part is unacknowledged and its retry is not due.
func (s *snapshotSender) handleSnapshot(now time.Time, m consensus.Message) *snapshotTransfer {
	t := s.transfers[m.To]
	if t == nil || !t.matches(m) {
		t = &snapshotTransfer{message: m}
		s.transfers[m.To] = t
		return t
	}
	if now.Sub(t.sent) < s.retry {
		return nil
	}
	t.message = m
	if t.size > 0 && t.offset >= t.size {
		t.offset = 0 // the replica received all of it but lost it before storing it
	}
	return t
}

// handleAck handles the acknowledgement of a part. It returns the transfer whose next part must be sent
// now, or nil if there is nothing to send.
func (s *snapshotSender) handleAck(now time.Time, m consensus.Message) *snapshotTransfer {
	t := s.transfers[m.From]
	if t == nil || t.message.Term != m.Term || t.message.Snapshot.Index != m.Index || t.message.Snapshot.Term != m.LogTerm {
		return nil
	}
	if m.Hint == t.offset && now.Sub(t.sent) < s.retry {
		return nil // a duplicate acknowledgement
	}
	t.offset = m.Hint // lower than before if the replica restarted
	if t.offset >= t.size {
		t.sent = now
		return nil
	}
	return t
}

// partMessage returns the message that carries data, the part at the current offset of a snapshot of size
// bytes, and records when it is sent.
func (t *snapshotTransfer) partMessage(now time.Time, data []byte, size uint64) consensus.Message {
	t.sent, t.size = now, size
	m := t.message
	snapshot := *m.Snapshot
	snapshot.Data = data
	m.Snapshot, m.Part = &snapshot, &consensus.SnapshotPart{Offset: t.offset, Size: size}
	return m
}

// reset drops all transfers; called when the replica is not the leader.
func (s *snapshotSender) reset() { clear(s.transfers) }

// snapshotReceiver reassembles the parts of one snapshot at a time. It is owned by Run.
type snapshotReceiver struct {
	from        string
	term        uint64 // of the leader
	index       uint64 // of the snapshot
	snapTerm    uint64 // of the last entry in the snapshot
	data        []byte
	size        uint64 // of the complete snapshot in bytes
	lastArrival time.Time
}

const (
	// maxSnapshotBytes limits the size of a snapshot that a replica accepts.
	maxSnapshotBytes = 1 << 30
	// receiveTimeout is the time without a new part after which received parts are dropped: their
	// sender has failed or has switched to another snapshot.
	receiveTimeout = 10 * time.Second
)

// add stores a part. It returns the number of contiguous bytes received from the start, and the message
// with the complete snapshot once all parts have arrived. Parts of another snapshot or leader replace
// those received before.
func (r *snapshotReceiver) add(now time.Time, m consensus.Message) (received uint64, complete *consensus.Message, err error) {
	s := m.Snapshot
	if s == nil || m.Part.Size > maxSnapshotBytes || m.Part.Offset+uint64(len(s.Data)) > m.Part.Size {
		return 0, nil, &errs.Invalid{Path: "$.Part", Want: "a snapshot part within the size limit", Got: "a part out of bounds"}
	}
	if r.from != m.From || r.term != m.Term || r.index != s.Index || r.snapTerm != s.Term || r.size != m.Part.Size {
		*r = snapshotReceiver{from: m.From, term: m.Term, index: s.Index, snapTerm: s.Term, size: m.Part.Size}
	}
	r.lastArrival = now
	if m.Part.Offset == uint64(len(r.data)) {
		if r.data == nil {
			r.data = make([]byte, 0, r.size)
		}
		r.data = append(r.data, s.Data...)
	}
	received = uint64(len(r.data))
	if received < r.size {
		return received, nil, nil
	}
	snapshot := *s
	snapshot.Data = r.data
	m.Snapshot, m.Part = &snapshot, nil
	*r = snapshotReceiver{}
	return received, &m, nil
}

// expire drops the received parts of a snapshot whose transfer has stopped.
func (r *snapshotReceiver) expire(now time.Time) {
	if r.data != nil && now.Sub(r.lastArrival) > receiveTimeout {
		*r = snapshotReceiver{}
	}
}

// splitSnapshots returns the messages to send: each MsgSnapshot of the node is replaced by the next part
// of the snapshot, or omitted while a part is unacknowledged.
func (g *Group) splitSnapshots(messages []consensus.Message) []consensus.Message {
	out := make([]consensus.Message, 0, len(messages))
	for _, m := range messages {
		if m.Type != consensus.MsgSnapshot {
			out = append(out, m)
			continue
		}
		now := g.opt.Clock.Now()
		if t := g.sender.handleSnapshot(now, m); t != nil {
			out = append(out, g.nextPart(now, t)...)
		}
	}
	return out
}

// nextPart reads the next part of a transfer. It returns nothing if a newer snapshot has replaced the one
// being sent; the node then requests the newer one.
func (g *Group) nextPart(now time.Time, t *snapshotTransfer) []consensus.Message {
	data, size, err := g.log.ReadSnapshot(t.message.Snapshot.Index, t.offset)
	if err == nil {
		return []consensus.Message{t.partMessage(now, data, size)}
	}
	delete(g.sender.transfers, t.message.To)
	g.opt.Logger.Warn("snapshot part not sent", "to", t.message.To, "index", t.message.Snapshot.Index, "offset", t.offset, "error", err)
	if errs.CodeOf(err) == errs.CodeCorrupt {
		// Replaces the damaged snapshot with a new one, which needs at least one more entry.
		g.nextSnapshot = max(g.applied, t.message.Snapshot.Index+1)
	}
	return nil
}

// handlePartAck sends the next part to a replica that acknowledged one.
func (g *Group) handlePartAck(m consensus.Message) {
	now := g.opt.Clock.Now()
	if t := g.sender.handleAck(now, m); t != nil {
		g.send(g.nextPart(now, t))
	}
}

// handlePart handles a received snapshot part and acknowledges it. It returns a message for the node once
// the snapshot is complete, or at once if the node does not need its data.
func (g *Group) handlePart(m consensus.Message) (consensus.Message, bool) {
	s := g.node.Status()
	if m.Snapshot == nil || m.Term < s.Term || m.Snapshot.Index <= s.Commit {
		m.Part = nil
		return m, true
	}
	received, complete, err := g.receiver.add(g.opt.Clock.Now(), m)
	if err != nil {
		g.opt.Logger.Warn("snapshot part rejected", "from", m.From, "index", m.Snapshot.Index, "error", err)
		return m, false
	}
	g.send([]consensus.Message{{Type: consensus.MsgSnapshotPartResp, From: g.opt.ID, To: m.From, Term: m.Term, Index: m.Snapshot.Index,
		LogTerm: m.Snapshot.Term, Hint: received}})
	if complete == nil {
		return m, false
	}
	g.opt.Logger.Info("snapshot received", "from", m.From, "index", m.Snapshot.Index, "bytes", received)
	return *complete, true
}

// send sets the node identities of messages and passes them to the transport.
func (g *Group) send(messages []consensus.Message) {
	if len(messages) == 0 {
		return
	}
	for i := range messages {
		m := &messages[i]
		m.FromNodeID, m.ToNodeID = g.nodeID, g.peerNodeIDs[m.To]
	}
	g.opt.Transport.Send(g.opt.Group, messages)
}
