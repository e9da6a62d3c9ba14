package group

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
)

// replica is the state that only Run touches.
type replica struct {
	node *consensus.Node
	log  *storage.Log
	id   string            // node identity of the data folder
	peer map[string]string // known node identities of peers

	applied      uint64
	nextSnapshot uint64

	proposals map[uint64]*request // by log index
	barriers  []*request          // taken in this turn, not asked yet
	reads     map[uint64][]*request
	ready     []readyRead
	readID    uint64
	transfers []*request

	sender   *sender
	assembly assembly

	refused error // the message or disk that makes the replica stop
	stalled bool  // the disk refuses writes
}

// readyRead is a set of barriers that wait for an index to be applied.
type readyRead struct {
	index    uint64
	requests []*request
}

// IdentityMismatch reports that a peer knows this replica under another node identity: its
// disk was lost or exchanged, and it must not vote.
type IdentityMismatch struct{ Group, ID, Peer, Have, Known string }

func (e *IdentityMismatch) Error() string {
	return fmt.Sprintf("replica %q of group %q has node identity %s, but peer %q knows it as %s: "+
		"its disk was lost, start it under a new name as a learner", e.ID, e.Group, e.Have, e.Peer, e.Known)
}

// FailureCode implements errs.Failure.
func (e *IdentityMismatch) FailureCode() errs.Code { return errs.CodeConflict }

// FailureOutcome implements errs.Failure.
func (e *IdentityMismatch) FailureOutcome() errs.Outcome { return errs.NotRun }

func (g *Group) open() error {
	o := g.opt
	var first storage.Batch
	if o.Start == storage.Bootstrap {
		first = encodeBatch(consensus.Bootstrap(o.Voters))
	}
	log, rec, err := storage.Open(o.FS, o.Dir, storage.Options{Group: o.Group, Voter: o.ID, Start: o.Start,
		First: first, SegmentBytes: o.SegmentBytes, StreamSnapshot: true, NewNodeID: o.NewNodeID})
	if err != nil {
		return err
	}
	if rec.Torn != nil {
		o.Logger.Warn("incomplete last write cut off", "file", rec.Torn.File, "offset", rec.Torn.Offset, "bytes", rec.Torn.Bytes)
	}
	in, err := decodeRecovered(rec)
	if err == nil && in.Snapshot.Index > 0 {
		err = readSnapshot(o.StateMachine, log.SnapshotReader())
	}
	if err == nil {
		in.Applied = in.Snapshot.Index
		g.node, err = consensus.New(consensus.Config{ID: o.ID, Group: o.Group, ElectionTimeout: o.ElectionTimeout,
			HeartbeatInterval: o.HeartbeatInterval, MaxClockDrift: o.MaxClockDrift, Rand: o.Rand, ExternalSnapshots: true}, in, o.Clock.Now())
	}
	if err != nil {
		_ = log.Close()
		return errors.WithMessage(err, "open group "+o.Group)
	}
	g.log, g.id, g.peer = log, rec.Node, rec.Peers
	g.applied, g.nextSnapshot = in.Applied, in.Applied+snapshotInterval(o.SnapshotEvery, o.ID)
	g.sender = newSender(2 * o.ElectionTimeout)
	g.proposals, g.reads = make(map[uint64]*request), make(map[uint64][]*request)
	return nil
}

// turn takes all waiting input, up to one batch, and does the resulting work.
func (g *Group) turn() error {
	g.drain()
	if g.refused != nil {
		return g.refused
	}
	if !g.stalled {
		g.node.Tick(g.opt.Clock.Now())
		g.askBarriers()
	}
	for g.node.HasReady() {
		if err := g.handleReady(); err != nil {
			var full *storage.Refused
			if !errors.As(err, &full) {
				return err
			}
			g.stall(err)
			break
		}
		g.resume()
	}
	g.settle()
	g.publish()
	return nil
}

// maxReceivedBytes is the size of the entries from which a turn takes no more messages. They are stored
// in one write, whose buffers a replica that catches up must have memory for.
const maxReceivedBytes = 1 << 20

func (g *Group) drain() {
	size := 0
	for range g.opt.MessageRing {
		if size >= maxReceivedBytes {
			break
		}
		select {
		case m := <-g.inbox.C():
			for _, e := range m.Entries {
				size += len(e.Data)
			}
			g.receive(m)
			continue
		default:
		}
		break
	}
	for range g.opt.MaxBatch {
		select {
		case r := <-g.requests.C():
			g.take(r)
			continue
		default:
		}
		break
	}
}

// receive checks the node identities of a message and steps it.
func (g *Group) receive(m consensus.Message) {
	if g.stalled || g.refused != nil {
		return
	}
	if m.To != g.opt.ID {
		g.misaddressed.Add(1) // for an earlier replica at the same address
		return
	}
	if m.ToNodeID != "" && m.ToNodeID != g.id {
		g.refused = &IdentityMismatch{Group: g.opt.Group, ID: g.opt.ID, Peer: m.From, Have: g.id, Known: m.ToNodeID}
		return
	}
	if m.FromNodeID != "" && g.peer[m.From] != m.FromNodeID && !g.meet(m) {
		return
	}
	switch {
	case m.Type == consensus.MsgSnapshotPartResp:
		g.partAcknowledged(m)
		return
	case m.Type == consensus.MsgSnapshot && m.Part != nil:
		whole, ok := g.takePart(m)
		if !ok {
			return
		}
		m = whole
	}
	if err := g.node.Step(g.opt.Clock.Now(), m); err != nil {
		g.opt.Logger.Warn("message refused", "from", m.From, "error", err)
	}
}

// meet stores the identity of a peer. It returns false for a peer known under another one:
// that peer lost its disk, so what it votes and acknowledges does not count. The answer
// lets it notice.
func (g *Group) meet(m consensus.Message) bool {
	err := g.log.RememberPeer(m.From, m.FromNodeID)
	if err == nil {
		g.peer[m.From] = m.FromNodeID
		return true
	}
	if errs.CodeOf(err) == errs.CodeConflict {
		if g.rejected.Add(1) == 1 {
			g.opt.Logger.Error("peer lost its disk; its messages are ignored", "peer", m.From, "error", err)
		}
		g.opt.Transport.Send(g.opt.Group, []consensus.Message{{Type: consensus.MsgHeartbeatResp, From: g.opt.ID,
			To: m.From, FromNodeID: g.id, ToNodeID: g.peer[m.From]}})
		return false
	}
	var full *storage.Refused
	if !errors.As(err, &full) {
		g.refused = err
	}
	return false
}

// take starts a request.
func (g *Group) take(r *request) {
	if r.claimed.Swap(true) {
		return // the caller gave up
	}
	if g.stalled {
		r.finish(nil, &errs.Overloaded{Resource: "disk of group " + g.opt.Group, After: g.opt.ElectionTimeout})
		return
	}
	now := g.opt.Clock.Now()
	var err error
	switch r.kind {
	case requestPropose:
		var index uint64
		if index, r.term, err = g.node.Propose(now, r.cmd); err == nil {
			g.expect(index, r)
		}
	case requestChange:
		if err = g.node.ProposeConfChange(now, r.change); err == nil {
			s := g.node.Status()
			r.term = s.Term
			g.expect(s.LastIndex, r)
		}
	case requestBarrier:
		g.barriers = append(g.barriers, r)
	case requestTransfer:
		err = g.startTransfer(now, r)
	}
	if err != nil {
		r.finish(nil, err)
	}
}

// expect lets a request wait for the entry at index. A request that waited there belongs to
// an earlier term of this leader, and its entry was replaced.
func (g *Group) expect(index uint64, r *request) {
	if old := g.proposals[index]; old != nil {
		old.finish(nil, &errs.Interrupted{Operation: old.kind.String(), Reason: "the replica lost its leadership"})
	}
	g.proposals[index] = r
}

func (g *Group) startTransfer(now time.Time, r *request) error {
	s := g.node.Status()
	if s.Role != consensus.Leader {
		return &errs.NotLeader{Group: g.opt.Group, Leader: s.Leader}
	}
	best := ""
	for _, id := range s.Voters {
		if id != g.opt.ID && (best == "" || s.Match[id] > s.Match[best]) {
			best = id
		}
	}
	if best == "" {
		return &errs.Unavailable{Resource: "group " + g.opt.Group, Reason: "there is no other voter"}
	}
	if err := g.node.TransferLeadership(now, best); err != nil {
		return err
	}
	r.deadline = now.Add(g.opt.ElectionTimeout)
	g.transfers = append(g.transfers, r)
	return nil
}

// askBarriers asks for one read point for all barriers of the turn.
func (g *Group) askBarriers() {
	if len(g.barriers) == 0 {
		return
	}
	g.readID++
	if err := g.node.ReadIndex(g.opt.Clock.Now(), g.readID); err != nil {
		finishAll(g.barriers, err)
	} else {
		g.reads[g.readID] = g.barriers
	}
	g.barriers = nil
}

func finishAll(rs []*request, err error) {
	for _, r := range rs {
		r.finish(nil, err)
	}
}

// settle answers the requests that wait for progress of the replica.
func (g *Group) settle() {
	now, s := g.opt.Clock.Now(), g.node.Status()
	g.assembly.expire(now)
	kept := g.ready[:0]
	for _, rr := range g.ready {
		if rr.index <= g.applied {
			finishAll(rr.requests, nil)
		} else {
			kept = append(kept, rr)
		}
	}
	g.ready = kept
	if s.Role != consensus.Leader {
		g.abandon("the replica lost its leadership")
		finishAll(g.transfers, nil)
		g.transfers = nil
		g.sender.forget()
	}
	waiting := g.transfers[:0]
	for _, r := range g.transfers {
		if now.Before(r.deadline) {
			waiting = append(waiting, r)
		} else {
			r.finish(nil, &errs.Deadline{Operation: "leadership transfer", Result: errs.Unknown})
		}
	}
	g.transfers = waiting
}

// abandon ends proposals that may or may not commit.
func (g *Group) abandon(reason string) {
	for index, r := range g.proposals {
		delete(g.proposals, index)
		r.finish(nil, &errs.Interrupted{Operation: r.kind.String(), Reason: reason})
	}
}

func (g *Group) stall(err error) {
	if !g.stalled {
		g.opt.Logger.Error("the disk refuses writes; the replica pauses", "error", err)
		g.abandon("the disk refuses writes")
	}
	g.stalled = true
}

func (g *Group) resume() {
	if g.stalled {
		g.opt.Logger.Info("the disk takes writes again")
	}
	g.stalled = false
}

func (g *Group) publish() {
	p := &published{status: g.node.Status(), stalled: g.stalled}
	p.leaseUntil, p.leaseOK = g.node.Lease(g.opt.Clock.Now())
	g.published.Store(p)
}

// close ends all waiting requests and closes the log.
func (g *Group) close() {
	close(g.stopped)
	g.abandon("the replica stopped")
	gone := g.stoppedError()
	finishAll(g.barriers, gone)
	for _, rs := range g.reads {
		finishAll(rs, gone)
	}
	for _, rr := range g.ready {
		finishAll(rr.requests, gone)
	}
	finishAll(g.transfers, gone)
	p := *g.published.Load()
	p.leaseOK, p.status.Role, p.status.Leader = false, consensus.Follower, ""
	g.published.Store(&p)
	if err := g.log.Close(); err != nil {
		g.opt.Logger.Warn("log not closed cleanly", "error", err)
	}
}
