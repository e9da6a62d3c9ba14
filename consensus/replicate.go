package consensus

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fuchsiaflow/errs"
)

// leaderState is the state that a node keeps only while it leads.
type leaderState struct {
	electedAt        time.Time
	noopIndex        uint64 // index of the no-op entry that starts the term
	progress         map[string]*progress
	nextHeartbeat    time.Time // time at which the next heartbeat is due
	appendPending    bool      // new entries or a new commit index must be sent
	uncommittedBytes int       // size of the uncommitted entries

	transferee       string
	transferDeadline time.Time
	timeoutNowSent   bool // the transferee may start an election at any time in this term

	readRound    uint64
	pendingReads []pendingRead
}

type progressState uint8

const (
	// probing sends one append per heartbeat interval until the matching log position is known.
	probing progressState = iota
	// replicating sends appends without waiting for acknowledgements, up to maxInflightAppends.
	replicating
	// snapshotting waits until the member has stored a snapshot.
	snapshotting
)

// progress is the replication state of another member, as known to the leader.
type progress struct {
	state           progressState
	match, next     uint64
	inflight        int
	sentCommit      uint64
	retryTimerStart time.Time // last send, or the last new acknowledgement while replicating
	probePending    bool      // a probe has not been answered

	lastResponse   time.Time     // time of the last response
	ackedSendTime  time.Duration // highest acknowledged Message.Sent, negative if none
	ackedReadRound uint64        // highest acknowledged read round
}

func (n *Node) newProgress() *progress {
	return &progress{next: n.log.last() + 1, lastResponse: n.now, ackedSendTime: -1, retryTimerStart: n.now}
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.leaderState = leaderState{electedAt: n.now, progress: make(map[string]*progress), nextHeartbeat: n.now}
	n.syncProgress()
	for _, e := range n.log.slice(n.log.commit+1, n.log.last(), maxUncommittedBytes) {
		n.leaderState.uncommittedBytes += e.size()
	}
	n.leaderState.noopIndex = n.appendEntry(Entry{Type: EntryNoop})
	n.broadcastHeartbeat()
}

// syncProgress adds and removes progress entries to match the membership in effect.
func (n *Node) syncProgress() {
	c := n.log.conf()
	for id := range n.leaderState.progress {
		if !c.contains(id) {
			delete(n.leaderState.progress, id)
		}
	}
	for _, id := range n.peers() {
		if n.leaderState.progress[id] == nil {
			n.leaderState.progress[id] = n.newProgress()
		}
	}
}

// peers returns the other members in a deterministic order.
func (n *Node) peers() []string {
	c := n.log.conf()
	all := slices.Concat(c.Voters, c.Learners)
	return slices.DeleteFunc(all, func(id string) bool { return id == n.cfg.ID })
}

func (n *Node) tickLeader() {
	quorumContact := quorumValue(n, n.now, func(p *progress) time.Time { return p.lastResponse }, time.Time.Compare)
	if n.now.Sub(quorumContact) > n.cfg.ElectionTimeout {
		n.becomeFollower(n.term, "")
		return
	}
	if n.leaderState.transferee != "" && !n.now.Before(n.leaderState.transferDeadline) {
		n.leaderState.transferee = ""
	}
	if !n.now.Before(n.leaderState.nextHeartbeat) {
		n.broadcastHeartbeat()
	}
}

// quorumValue returns the highest value that a quorum of voters has reached. own is the value of
// this node, and value returns that of another voter.
func quorumValue[T any](n *Node, own T, value func(*progress) T, compare func(a, b T) int) T {
	c := n.log.conf()
	values := make([]T, 0, len(c.Voters))
	for _, id := range c.Voters {
		if id == n.cfg.ID {
			values = append(values, own)
		} else {
			values = append(values, value(n.leaderState.progress[id]))
		}
	}
	slices.SortFunc(values, compare)
	return values[len(values)-c.quorum()]
}

func (n *Node) broadcastHeartbeat() {
	n.leaderState.nextHeartbeat = n.now.Add(n.cfg.HeartbeatInterval)
	for _, id := range n.peers() {
		p := n.leaderState.progress[id]
		n.send(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, n.log.commit),
			Sent: n.now.Sub(n.epoch), ReadRound: n.leaderState.readRound})
	}
}

func (n *Node) broadcastAppend() {
	for _, id := range n.peers() {
		n.sendAppends(id)
	}
}

// sendAppends sends a member the entries that it lacks, as far as its window allows, or a snapshot
// if the log no longer contains them.
func (n *Node) sendAppends(id string) {
	p := n.leaderState.progress[id]
	for p.state != snapshotting && !p.probePending && p.inflight < maxInflightAppends {
		if p.next > n.log.last() && p.state == replicating && p.sentCommit >= n.log.commit {
			return
		}
		prev, ok := n.log.term(p.next - 1)
		if !ok {
			n.sendSnapshot(id, p)
			return
		}
		entries := n.log.slice(p.next, n.log.last(), n.cfg.MaxBatchBytes)
		n.send(Message{Type: MsgAppend, To: id, Index: p.next - 1, LogTerm: prev, Entries: entries,
			Commit: n.log.commit, Sent: n.now.Sub(n.epoch), ReadRound: n.leaderState.readRound})
		p.sentCommit = n.log.commit
		if p.state == probing {
			p.probePending, p.retryTimerStart = true, n.now
			return
		}
		if len(entries) == 0 {
			return
		}
		if p.inflight == 0 {
			p.retryTimerStart = n.now
		}
		p.next += uint64(len(entries))
		p.inflight++
	}
}

func (n *Node) sendSnapshot(id string, p *progress) {
	s := n.log.snapshot
	p.state, p.retryTimerStart = snapshotting, n.now
	n.send(Message{Type: MsgSnapshot, To: id, Snapshot: &s, Sent: n.now.Sub(n.epoch), ReadRound: n.leaderState.readRound})
}

// retransmit returns a member to probing if it has not acknowledged its entries in time, and sends
// it what it lacks.
func (n *Node) retransmit(id string, p *progress) {
	timeout := 2 * n.cfg.HeartbeatInterval
	switch p.state {
	case probing:
		timeout = n.cfg.HeartbeatInterval
	case snapshotting:
		timeout = 2 * n.cfg.ElectionTimeout
	}
	if p.match < n.log.last() && n.now.Sub(p.retryTimerStart) >= timeout {
		if p.state != probing {
			p.next = p.match + 1
		}
		p.state, p.inflight, p.probePending = probing, 0, false
	}
	n.sendAppends(id)
}

// recordResponse records a member's response to the current leader. It returns nil if the response
// must be ignored.
func (n *Node) recordResponse(m Message) *progress {
	if n.role != Leader || m.Term != n.term {
		return nil
	}
	p := n.leaderState.progress[m.From]
	if p == nil {
		return nil
	}
	p.lastResponse = n.now
	p.ackedSendTime = max(p.ackedSendTime, m.Sent)
	if n.cfg.faults.leaseFromReceipt {
		p.ackedSendTime = n.now.Sub(n.epoch)
	}
	p.ackedReadRound = max(p.ackedReadRound, m.ReadRound)
	n.completeReads()
	return p
}

func (n *Node) handleHeartbeatResp(m Message) {
	if p := n.recordResponse(m); p != nil {
		n.retransmit(m.From, p)
	}
}

func (n *Node) handleAppendResp(m Message) {
	p := n.recordResponse(m)
	if p == nil {
		return
	}
	if m.Reject {
		n.handleAppendReject(m, p)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	if m.Index >= p.match && (p.state == probing || (p.state == snapshotting && m.Index >= n.log.baseIndex)) {
		p.state, p.probePending, p.inflight, p.next = replicating, false, 0, m.Index+1
	}
	if m.Index > p.match {
		p.match, p.retryTimerStart = m.Index, n.now
		n.maybeCommit()
	}
	p.next = max(p.next, p.match+1)
	p.inflight = max(p.inflight-1, 0)
	if p.match+1 == p.next {
		p.inflight = 0
	}
	n.sendAppends(m.From)
	n.continueTransfer(m.From, p)
}

// handleAppendReject lowers a member's next index to at most the rejected one and probes again.
func (n *Node) handleAppendReject(m Message, p *progress) {
	if m.Index <= p.match || m.Index >= p.next || p.state == snapshotting {
		return // response to an outdated append
	}
	p.state, p.probePending, p.inflight = probing, false, 0
	p.next = max(min(m.Index, m.Hint+1), p.match+1)
	n.sendAppends(m.From)
}

// maybeCommit advances the commit index to the latest entry that a quorum has persisted, provided
// that it is of the current term. Entries of earlier terms are committed only together with it.
func (n *Node) maybeCommit() {
	l := n.log
	index := quorumValue(n, l.stable, func(p *progress) uint64 { return p.match }, cmp.Compare[uint64])
	if n.cfg.faults.commitMinority {
		index = l.stable
	}
	if t, _ := l.term(index); index <= l.commit || t != n.term {
		return
	}
	for _, e := range l.slice(l.commit+1, index, maxUncommittedBytes+MaxEntryBytes) {
		n.leaderState.uncommittedBytes -= e.size()
	}
	l.commit = index
	n.leaderState.appendPending = true
	n.completeReads()
}

// handleLeaderMessage handles a message from the leader of the current term.
func (n *Node) handleLeaderMessage(m Message) error {
	if n.role == Leader {
		return &errs.Conflict{Kind: "leader of term", ID: fmt.Sprint(n.term), Stored: n.cfg.ID, Received: m.From}
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(n.term, m.From)
	}
	n.resetElectionTimer()
	n.lastLeaderContact = n.now
	switch m.Type {
	case MsgHeartbeat:
		n.log.commit = max(n.log.commit, min(m.Commit, n.log.last()))
		n.send(Message{Type: MsgHeartbeatResp, To: m.From, Sent: m.Sent, ReadRound: m.ReadRound})
		return nil
	case MsgSnapshot:
		return n.handleSnapshot(m)
	}
	return n.handleAppend(m)
}

func (n *Node) handleAppend(m Message) error {
	l := n.log
	resp := Message{Type: MsgAppendResp, To: m.From, Sent: m.Sent, ReadRound: m.ReadRound}
	if m.Index < l.commit {
		resp.Index = l.commit
		n.send(resp)
		return nil
	}
	t, ok := l.term(m.Index)
	if !ok || (t != m.LogTerm && !n.cfg.faults.skipTermCheck) {
		resp.Reject, resp.Index, resp.Hint = true, m.Index, n.conflictHint(m.Index)
		n.send(resp)
		return nil
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 {
			return &errs.Invalid{Path: "$.Entries", Want: "consecutive indexes", Got: fmt.Sprint(e.Index)}
		}
	}
	if err := l.merge(m.Entries); err != nil {
		return err
	}
	resp.Index = m.Index + uint64(len(m.Entries))
	l.commit = max(l.commit, min(m.Commit, resp.Index))
	n.send(resp)
	return nil
}

// conflictHint returns the highest index at which this log may match the leader's, given that they
// differ at index. It skips all entries of the conflicting term, so that the leader needs only one
// round trip per conflicting term.
func (n *Node) conflictHint(index uint64) uint64 {
	l := n.log
	if index > l.last() {
		return l.last()
	}
	first := l.firstOfTerm(index)
	return max(min(first, index)-1, l.commit)
}

func (n *Node) handleSnapshot(m Message) error {
	l, s := n.log, m.Snapshot
	if s == nil || s.Index == 0 {
		return &errs.Invalid{Path: "$.Snapshot", Want: "a snapshot with an index", Got: "none"}
	}
	resp := Message{Type: MsgAppendResp, To: m.From, Sent: m.Sent, ReadRound: m.ReadRound}
	t, ok := l.term(s.Index)
	switch {
	case s.Index <= l.commit:
		resp.Index = l.commit
	case ok && t == s.Term:
		l.commit = s.Index
		resp.Index = s.Index
	default:
		l.restore(*s)
		resp.Index = s.Index
	}
	n.send(resp)
	return nil
}
