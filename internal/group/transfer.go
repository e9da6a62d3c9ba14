package group

import (
	"time"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
)

// A snapshot goes to a replica in parts, one at a time: a message with the whole of it would hold up
// the heartbeats behind it, exceed the limit of a message, and be in memory several times on both
// sides. The node of the leader asks for a snapshot to be sent, and repeats this while the replica
// has not got it; the sender goes on from the last part that was acknowledged.

// sender sends snapshots to the replicas that need one. It is owned by Run.
type sender struct {
	// retry is the time after which a part without an acknowledgement is sent again.
	retry     time.Duration
	transfers map[string]*transfer // by replica
}

// transfer is a snapshot on its way to one replica.
type transfer struct {
	message consensus.Message // as the node wants it sent, without data
	offset  uint64            // acknowledged by the replica
	size    uint64            // of the data; known once a part was read
	sent    time.Time         // when the last part was sent
}

func newSender(retry time.Duration) *sender {
	return &sender{retry: retry, transfers: make(map[string]*transfer)}
}

func (t *transfer) same(m consensus.Message) bool {
	s := t.message.Snapshot
	return t.message.Term == m.Term && s.Index == m.Snapshot.Index && s.Term == m.Snapshot.Term
}

// offer takes a message of the node that is to carry a snapshot. It returns the transfer whose next
// part is to be sent now, or nil while a part is under way.
func (s *sender) offer(now time.Time, m consensus.Message) *transfer {
	t := s.transfers[m.To]
	if t == nil || !t.same(m) {
		t = &transfer{message: m}
		s.transfers[m.To] = t
		return t
	}
	if now.Sub(t.sent) < s.retry {
		return nil
	}
	t.message = m
	if t.size > 0 && t.offset >= t.size {
		t.offset = 0 // the replica had all of it and lost it before it was stored
	}
	return t
}

// acknowledge takes what a replica has received. It returns the transfer whose next part is to be sent
// now, or nil if there is none or a part is under way.
func (s *sender) acknowledge(now time.Time, m consensus.Message) *transfer {
	t := s.transfers[m.From]
	if t == nil || t.message.Term != m.Term || t.message.Snapshot.Index != m.Index || t.message.Snapshot.Term != m.LogTerm {
		return nil
	}
	if m.Hint == t.offset && now.Sub(t.sent) < s.retry {
		return nil // a repeated acknowledgement
	}
	t.offset = m.Hint // lower after a restart of the replica
	if t.offset >= t.size {
		t.sent = now
		return nil
	}
	return t
}

// part returns the message with a part of the data.
func (t *transfer) part(now time.Time, data []byte, size uint64) consensus.Message {
	t.sent, t.size = now, size
	m := t.message
	snapshot := *m.Snapshot
	snapshot.Data = data
	m.Snapshot, m.Part = &snapshot, &consensus.SnapshotPart{Offset: t.offset, Size: size}
	return m
}

// forget ends all transfers, when the replica does not lead any more.
func (s *sender) forget() { clear(s.transfers) }

// assembly joins the parts of a snapshot that this replica receives. It is owned by Run.
type assembly struct {
	from        string
	term        uint64 // of the leader
	index       uint64
	snapTerm    uint64
	data        []byte
	size        uint64
	lastArrival time.Time
}

const (
	// maxSnapshotBytes bounds what a replica collects for one snapshot.
	maxSnapshotBytes = 1 << 30
	// assemblyTimeout is the silence after which collected parts are dropped: the leader that sent
	// them is gone or sends another snapshot.
	assemblyTimeout = 10 * time.Second
)

// add takes a part. It returns the number of bytes that are there from the start on, and the whole
// message once they are all there.
func (a *assembly) add(now time.Time, m consensus.Message) (received uint64, whole *consensus.Message, err error) {
	s := m.Snapshot
	if s == nil || m.Part.Size > maxSnapshotBytes || m.Part.Offset+uint64(len(s.Data)) > m.Part.Size {
		return 0, nil, &errs.Invalid{Path: "$.Part", Want: "a part of a snapshot", Got: "other bounds"}
	}
	if a.from != m.From || a.term != m.Term || a.index != s.Index || a.snapTerm != s.Term || a.size != m.Part.Size {
		*a = assembly{from: m.From, term: m.Term, index: s.Index, snapTerm: s.Term, size: m.Part.Size}
	}
	a.lastArrival = now
	if m.Part.Offset == uint64(len(a.data)) {
		if a.data == nil {
			a.data = make([]byte, 0, a.size)
		}
		a.data = append(a.data, s.Data...)
	}
	received = uint64(len(a.data))
	if received < a.size {
		return received, nil, nil
	}
	snapshot := *s
	snapshot.Data = a.data
	m.Snapshot, m.Part = &snapshot, nil
	*a = assembly{}
	return received, &m, nil
}

// expire drops parts that nothing follows.
func (a *assembly) expire(now time.Time) {
	if a.data != nil && now.Sub(a.lastArrival) > assemblyTimeout {
		*a = assembly{}
	}
}

// outgoing returns the messages to send for those of the node: a snapshot is replaced by its next
// part, or left out while a part is under way.
func (g *Group) outgoing(messages []consensus.Message) []consensus.Message {
	out := make([]consensus.Message, 0, len(messages))
	for _, m := range messages {
		if m.Type != consensus.MsgSnapshot {
			out = append(out, m)
			continue
		}
		now := g.opt.Clock.Now()
		if t := g.sender.offer(now, m); t != nil {
			out = append(out, g.nextPart(now, t)...)
		}
	}
	return out
}

// nextPart reads the next part of a transfer. There is none if a newer snapshot has taken the place of
// the one that is sent; the node then asks for the newer one to be sent.
func (g *Group) nextPart(now time.Time, t *transfer) []consensus.Message {
	data, size, err := g.log.ReadSnapshot(t.message.Snapshot.Index, t.offset)
	if err == nil {
		return []consensus.Message{t.part(now, data, size)}
	}
	delete(g.sender.transfers, t.message.To)
	g.opt.Logger.Warn("part of a snapshot not sent", "to", t.message.To, "index", t.message.Snapshot.Index, "offset", t.offset, "error", err)
	if errs.CodeOf(err) == errs.CodeCorrupt {
		// A new one, with at least one more entry, takes the place of the damaged one.
		g.nextSnapshot = max(g.applied, t.message.Snapshot.Index+1)
	}
	return nil
}

// partAcknowledged sends the next part to a replica that has received one.
func (g *Group) partAcknowledged(m consensus.Message) {
	now := g.opt.Clock.Now()
	if t := g.sender.acknowledge(now, m); t != nil {
		g.send(g.nextPart(now, t))
	}
}

// takePart takes a part of a snapshot. It returns the message for the node once all parts are there, or
// if the node does not need the data.
func (g *Group) takePart(m consensus.Message) (consensus.Message, bool) {
	s := g.node.Status()
	if m.Snapshot == nil || m.Term < s.Term || m.Snapshot.Index <= s.Commit {
		m.Part = nil
		return m, true
	}
	received, whole, err := g.assembly.add(g.opt.Clock.Now(), m)
	if err != nil {
		g.opt.Logger.Warn("part of a snapshot refused", "from", m.From, "index", m.Snapshot.Index, "error", err)
		return m, false
	}
	g.send([]consensus.Message{{Type: consensus.MsgSnapshotPartResp, From: g.opt.ID, To: m.From, Term: m.Term, Index: m.Snapshot.Index,
		LogTerm: m.Snapshot.Term, Hint: received}})
	if whole == nil {
		return m, false
	}
	g.opt.Logger.Info("snapshot received", "from", m.From, "index", m.Snapshot.Index, "bytes", received)
	return *whole, true
}

// send fills in the identities and hands messages over to the transport.
func (g *Group) send(messages []consensus.Message) {
	if len(messages) == 0 {
		return
	}
	for i := range messages {
		m := &messages[i]
		m.FromNodeID, m.ToNodeID = g.id, g.peer[m.To]
	}
	g.opt.Transport.Send(g.opt.Group, messages)
}
