package group

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
)

// replica is the state that only Run accesses once it is started.
type replica struct {
	node        *consensus.Node
	log         *storage.Log
	nodeID      string            // node identity stored in the data directory
	peerNodeIDs map[string]string // known node identities, by replica ID

	applied      uint64
	nextSnapshot uint64 // applied index at which a snapshot is due

	proposals           map[uint64]*request   // by log index
	barriers            []*request            // received in this iteration, read index not requested yet
	requestedReads      map[uint64][]*request // barriers whose read index was requested, by read ID
	confirmedReads      []confirmedRead
	readID              uint64
	leadershipTransfers []*request

	sender   *snapshotSender
	receiver snapshotReceiver

	fatalErr error // makes the replica stop in the next iteration
	stalled  bool  // the disk rejects writes
}

// confirmedRead is a set of barriers whose read index is known but not yet applied.
type confirmedRead struct {
	index    uint64
	requests []*request
}

// IdentityMismatch reports that a peer knows this replica by a different node identity. Its disk
// was lost or replaced, so it must not vote under this name.
type IdentityMismatch struct{ Group, ID, Peer, Have, Known string }

func (e *IdentityMismatch) Error() string {
	return fmt.Sprintf("replica %q of group %q has node identity %s, but peer %q knows it as %s: "+
		"its disk was lost or replaced; start it under a new name as a learner", e.ID, e.Group, e.Have, e.Peer, e.Known)
}

// FailureCode implements errs.Failure.
func (e *IdentityMismatch) FailureCode() errs.Code { return errs.CodeConflict }

// FailureOutcome implements errs.Failure.
func (e *IdentityMismatch) FailureOutcome() errs.Outcome { return errs.NotRun }

// open opens the log, restores the state machine and creates the consensus node.
func (g *Group) open() error {
	o := g.opt
	var initial storage.Batch
	if o.Start == storage.Bootstrap {
		initial = encodeBatch(consensus.Bootstrap(o.Voters))
	}
	log, recovered, err := storage.Open(o.FS, o.Dir, storage.Options{Group: o.Group, Voter: o.ID, Start: o.Start,
		InitialBatch: initial, SegmentBytes: o.SegmentBytes, StreamSnapshot: true, NewNodeID: o.NewNodeID})
	if err != nil {
		return err
	}
	if recovered.TornTail != nil {
		o.Logger.Warn("truncated incomplete last write", "file", recovered.TornTail.File, "offset", recovered.TornTail.Offset, "bytes", recovered.TornTail.Bytes)
	}
	in, err := decodeRecovered(recovered)
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
	if o.Start == storage.Bootstrap {
		g.node.Bootstrap(o.Clock.Now(), o.Voters) // for a log that was created before the voters were known
	}
	readStored(o.StateMachine, in.Entries)
	g.log, g.nodeID, g.peerNodeIDs = log, recovered.NodeID, recovered.Peers
	g.applied, g.nextSnapshot = in.Applied, in.Applied+snapshotInterval(o.SnapshotEvery, o.ID)
	g.sender = newSnapshotSender(2 * o.ElectionTimeout)
	g.proposals, g.requestedReads = make(map[uint64]*request), make(map[uint64][]*request)
	return nil
}

// readStored shows the commands of the stored log to a state machine that wants them.
func readStored(sm StateMachine, entries []consensus.Entry) {
	reader, ok := sm.(LogReader)
	if !ok {
		return
	}
	for _, e := range entries {
		if e.Type == consensus.EntryCommand {
			reader.ReadStored(e.Data)
		}
	}
}

// iterate is one iteration of Run: it receives pending input up to a batch, then processes every
// Ready of the node and completes the requests that are done.
func (g *Group) iterate() error {
	g.receivePending()
	if g.fatalErr != nil {
		return g.fatalErr
	}
	if !g.stalled {
		g.node.Tick(g.opt.Clock.Now())
		g.requestReadIndex()
	}
	for g.node.HasReady() {
		if err := g.handleReady(); err != nil {
			var rejected *storage.WriteFailed
			if !errors.As(err, &rejected) {
				return err
			}
			g.stall(err)
			break
		}
		g.resume()
	}
	g.completeRequests()
	g.publish()
	return nil
}

// maxReceivedBytes is the total size of received entries after which an iteration handles no further
// messages. The entries are stored in one write, so this bounds the memory of a replica that catches up.
const maxReceivedBytes = 1 << 20

// receivePending handles queued messages and starts queued requests, without blocking.
func (g *Group) receivePending() {
	size := 0
	for range g.opt.MessageRingSize {
		if size >= maxReceivedBytes {
			break
		}
		select {
		case m := <-g.inbox.C():
			for _, e := range m.Entries {
				size += len(e.Data)
			}
			g.handleMessage(m)
			continue
		default:
		}
		break
	}
	for range g.opt.MaxBatch {
		select {
		case r := <-g.requests.C():
			g.startRequest(r)
			continue
		default:
		}
		break
	}
}

// handleMessage checks the destination and the node identities of a message and passes it to the node.
func (g *Group) handleMessage(m consensus.Message) {
	if g.stalled || g.fatalErr != nil {
		return
	}
	if m.To != g.opt.ID {
		g.misaddressed.Add(1) // for a previous replica at the same address
		return
	}
	if m.ToNodeID != "" && m.ToNodeID != g.nodeID {
		g.fatalErr = &IdentityMismatch{Group: g.opt.Group, ID: g.opt.ID, Peer: m.From, Have: g.nodeID, Known: m.ToNodeID}
		return
	}
	if m.FromNodeID != "" && g.peerNodeIDs[m.From] != m.FromNodeID && !g.checkPeerIdentity(m) {
		return
	}
	switch {
	case m.Type == consensus.MsgSnapshotPartResp:
		g.handlePartAck(m)
		return
	case m.Type == consensus.MsgSnapshot && m.Part != nil:
		complete, ok := g.handlePart(m)
		if !ok {
			return
		}
		m = complete
	}
	if err := g.node.Step(g.opt.Clock.Now(), m); err != nil {
		g.opt.Logger.Warn("message rejected", "from", m.From, "error", err)
	}
}

// checkPeerIdentity stores the node identity of a peer that has none yet. It returns false if that
// fails or if the peer is known by a different one: such a peer lost its disk, so its votes and
// acknowledgements must not count. The reply carries the known identity, which makes the peer stop.
func (g *Group) checkPeerIdentity(m consensus.Message) bool {
	err := g.log.RememberPeer(m.From, m.FromNodeID)
	if err == nil {
		g.peerNodeIDs[m.From] = m.FromNodeID
		return true
	}
	if errs.CodeOf(err) == errs.CodeConflict {
		if g.rejected.Add(1) == 1 {
			g.opt.Logger.Error("peer lost its disk; ignoring its messages", "peer", m.From, "error", err)
		}
		g.opt.Transport.Send(g.opt.Group, []consensus.Message{{Type: consensus.MsgHeartbeatResp, From: g.opt.ID,
			To: m.From, FromNodeID: g.nodeID, ToNodeID: g.peerNodeIDs[m.From]}})
		return false
	}
	var rejected *storage.WriteFailed
	if !errors.As(err, &rejected) {
		g.fatalErr = err
	}
	return false
}

// startRequest starts a queued request, unless its caller has given up. A request that fails at
// once is completed here.
func (g *Group) startRequest(r *request) {
	if r.claimed.Swap(true) {
		return // the caller has given up
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
			g.trackProposal(index, r)
		}
	case requestConfChange:
		if err = g.node.ProposeConfChange(now, r.change); err == nil {
			s := g.node.Status()
			r.term = s.Term
			g.trackProposal(s.LastIndex, r)
		}
	case requestBarrier:
		g.barriers = append(g.barriers, r)
	case requestTransfer:
		err = g.startTransfer(now, r)
	case requestBootstrap:
		g.node.Bootstrap(now, r.voters)
		r.finish(nil, nil)
	}
	if err != nil {
		r.finish(nil, err)
	}
}

// trackProposal registers a request that waits for the entry at index. A request already registered
// there dates from an earlier term, and its entry was replaced.
func (g *Group) trackProposal(index uint64, r *request) {
	if old := g.proposals[index]; old != nil {
		old.finish(nil, &errs.Interrupted{Operation: old.kind.String(), Reason: "the replica lost leadership"})
	}
	g.proposals[index] = r
}

// startTransfer starts a leadership transfer to the voter with the highest match index.
func (g *Group) startTransfer(now time.Time, r *request) error {
	s := g.node.Status()
	if s.Role != consensus.Leader {
		return &errs.NotLeader{Group: g.opt.Group, Leader: s.Leader}
	}
	successor := ""
	for _, id := range s.Voters {
		if id != g.opt.ID && (successor == "" || s.Match[id] > s.Match[successor]) {
			successor = id
		}
	}
	if successor == "" {
		return &errs.Unavailable{Resource: "group " + g.opt.Group, Reason: "there is no other voter"}
	}
	if err := g.node.TransferLeadership(now, successor); err != nil {
		return err
	}
	r.deadline = now.Add(g.opt.ElectionTimeout)
	g.leadershipTransfers = append(g.leadershipTransfers, r)
	return nil
}

// requestReadIndex requests one read index for all barriers received in this iteration.
func (g *Group) requestReadIndex() {
	if len(g.barriers) == 0 {
		return
	}
	g.readID++
	if err := g.node.ReadIndex(g.opt.Clock.Now(), g.readID); err != nil {
		finishAll(g.barriers, err)
	} else {
		g.requestedReads[g.readID] = g.barriers
	}
	g.barriers = nil
}

func finishAll(rs []*request, err error) {
	for _, r := range rs {
		r.finish(nil, err)
	}
}

// completeRequests completes the barriers whose read index is applied and the leadership transfers
// that succeeded or timed out. On a replica that is not the leader it fails the proposals.
func (g *Group) completeRequests() {
	now, s := g.opt.Clock.Now(), g.node.Status()
	g.receiver.expire(now)
	waitingReads := g.confirmedReads[:0]
	for _, read := range g.confirmedReads {
		if read.index <= g.applied {
			finishAll(read.requests, nil)
		} else {
			waitingReads = append(waitingReads, read)
		}
	}
	g.confirmedReads = waitingReads
	if s.Role != consensus.Leader {
		g.failProposals("the replica lost leadership")
		finishAll(g.leadershipTransfers, nil)
		g.leadershipTransfers = nil
		g.sender.reset()
	}
	waitingTransfers := g.leadershipTransfers[:0]
	for _, r := range g.leadershipTransfers {
		if now.Before(r.deadline) {
			waitingTransfers = append(waitingTransfers, r)
		} else {
			r.finish(nil, &errs.Deadline{Operation: "leadership transfer", Outcome: errs.Unknown})
		}
	}
	g.leadershipTransfers = waitingTransfers
}

// failProposals fails all waiting proposals with outcome unknown, because they may still commit.
func (g *Group) failProposals(reason string) {
	for index, r := range g.proposals {
		delete(g.proposals, index)
		r.finish(nil, &errs.Interrupted{Operation: r.kind.String(), Reason: reason})
	}
}

// stall pauses the replica after the disk rejected a write.
func (g *Group) stall(err error) {
	if !g.stalled {
		g.opt.Logger.Error("disk rejects writes; replica paused", "error", err)
		g.failProposals("the disk rejects writes")
	}
	g.stalled = true
}

// resume ends a pause after a successful write.
func (g *Group) resume() {
	if g.stalled {
		g.opt.Logger.Info("disk accepts writes again; replica resumed")
	}
	g.stalled = false
}

// publish updates the node state that other goroutines can read.
func (g *Group) publish() {
	p := &publishedState{status: g.node.Status(), stalled: g.stalled}
	p.leaseUntil, p.leaseOK = g.node.Lease(g.opt.Clock.Now())
	g.published.Store(p)
}

// close fails all waiting requests, publishes that this replica no longer leads, and closes the log.
func (g *Group) close() {
	close(g.stopped)
	g.failProposals("the replica stopped")
	stopped := g.stoppedError()
	finishAll(g.barriers, stopped)
	for _, rs := range g.requestedReads {
		finishAll(rs, stopped)
	}
	for _, read := range g.confirmedReads {
		finishAll(read.requests, stopped)
	}
	finishAll(g.leadershipTransfers, stopped)
	p := *g.published.Load()
	p.leaseOK, p.status.Role, p.status.Leader = false, consensus.Follower, ""
	g.published.Store(&p)
	if err := g.log.Close(); err != nil {
		g.opt.Logger.Warn("failed to close the log", "error", err)
	}
}
