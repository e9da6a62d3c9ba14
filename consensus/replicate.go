package consensus

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fuchsiaflow/errs"
)

// leadership is the state that a node has only while it leads.
type leadership struct {
	since       time.Time
	first       uint64 // index of the no-op that opens the term
	progress    map[string]*progress
	heartbeatAt time.Time // when the next heartbeat is due
	flush       bool      // entries or a commit index wait to be sent
	uncommitted int       // bytes

	transferee   string
	transferEnds time.Time
	handedOver   bool // the transferee may campaign at any time in this term

	readRound uint64
	reads     []pendingRead
}

type progressState uint8

const (
	// probing sends one append per heartbeat interval until the logs are known to match.
	probing progressState = iota
	// replicating sends appends ahead of their acknowledgements.
	replicating
	// snapshotting waits for a snapshot to be stored.
	snapshotting
)

// progress is what a leader knows about another member.
type progress struct {
	state       progressState
	match, next uint64
	inflight    int
	sentCommit  uint64
	movedAt     time.Time // last send in probing or snapshotting, last new acknowledgement in replicating
	waiting     bool      // a probe is unanswered

	active time.Time     // last response
	acked  time.Duration // newest Sent that was acknowledged, negative if none
	read   uint64        // newest read round that was acknowledged
}

func (n *Node) newProgress() *progress {
	return &progress{next: n.log.last() + 1, active: n.now, acked: -1, movedAt: n.now}
}

func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.lead = leadership{since: n.now, progress: make(map[string]*progress), heartbeatAt: n.now}
	n.syncProgress()
	for _, e := range n.log.slice(n.log.commit+1, n.log.last(), maxUncommittedBytes) {
		n.lead.uncommitted += e.size()
	}
	n.lead.first = n.appendEntry(Entry{Type: EntryNoop})
	n.broadcastHeartbeat()
}

// syncProgress adds and drops members according to the membership in force.
func (n *Node) syncProgress() {
	c := n.log.conf()
	for id := range n.lead.progress {
		if !c.has(id) {
			delete(n.lead.progress, id)
		}
	}
	for _, id := range n.members() {
		if n.lead.progress[id] == nil {
			n.lead.progress[id] = n.newProgress()
		}
	}
}

// members returns the other members in a fixed order.
func (n *Node) members() []string {
	c := n.log.conf()
	all := slices.Concat(c.Voters, c.Learners)
	return slices.DeleteFunc(all, func(id string) bool { return id == n.cfg.ID })
}

func (n *Node) tickLeader() {
	heard := quorumOf(n, n.now, func(p *progress) time.Time { return p.active }, time.Time.Compare)
	if n.now.Sub(heard) > n.cfg.ElectionTimeout {
		n.becomeFollower(n.term, "")
		return
	}
	if n.lead.transferee != "" && !n.now.Before(n.lead.transferEnds) {
		n.lead.transferee = ""
	}
	if !n.now.Before(n.lead.heartbeatAt) {
		n.broadcastHeartbeat()
	}
}

// quorumOf returns the highest value that a quorum of voters has reached.
func quorumOf[T any](n *Node, own T, of func(*progress) T, compare func(a, b T) int) T {
	c := n.log.conf()
	values := make([]T, 0, len(c.Voters))
	for _, id := range c.Voters {
		if id == n.cfg.ID {
			values = append(values, own)
		} else {
			values = append(values, of(n.lead.progress[id]))
		}
	}
	slices.SortFunc(values, compare)
	return values[len(values)-c.quorum()]
}

func (n *Node) broadcastHeartbeat() {
	n.lead.heartbeatAt = n.now.Add(n.cfg.HeartbeatInterval)
	for _, id := range n.members() {
		p := n.lead.progress[id]
		n.send(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, n.log.commit),
			Sent: n.now.Sub(n.epoch), Read: n.lead.readRound})
	}
}

func (n *Node) broadcastAppend() {
	for _, id := range n.members() {
		n.sendAppends(id)
	}
}

// sendAppends sends a member what it lacks, as far as its window allows.
func (n *Node) sendAppends(id string) {
	p := n.lead.progress[id]
	for p.state != snapshotting && !p.waiting && p.inflight < maxInflight {
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
			Commit: n.log.commit, Sent: n.now.Sub(n.epoch), Read: n.lead.readRound})
		p.sentCommit = n.log.commit
		if p.state == probing {
			p.waiting, p.movedAt = true, n.now
			return
		}
		if len(entries) == 0 {
			return
		}
		if p.inflight == 0 {
			p.movedAt = n.now
		}
		p.next += uint64(len(entries))
		p.inflight++
	}
}

func (n *Node) sendSnapshot(id string, p *progress) {
	s := n.log.snapshot
	p.state, p.movedAt = snapshotting, n.now
	n.send(Message{Type: MsgSnapshot, To: id, Snapshot: &s, Sent: n.now.Sub(n.epoch), Read: n.lead.readRound})
}

// retry resends what a member has not acknowledged for too long.
func (n *Node) retry(id string, p *progress) {
	limit := 2 * n.cfg.HeartbeatInterval
	switch p.state {
	case probing:
		limit = n.cfg.HeartbeatInterval
	case snapshotting:
		limit = 2 * n.cfg.ElectionTimeout
	}
	if p.match < n.log.last() && n.now.Sub(p.movedAt) >= limit {
		if p.state != probing {
			p.next = p.match + 1
		}
		p.state, p.inflight, p.waiting = probing, 0, false
	}
	n.sendAppends(id)
}

// acknowledged records that a member responded in the current term.
func (n *Node) acknowledged(m Message) *progress {
	if n.role != Leader || m.Term != n.term {
		return nil
	}
	p := n.lead.progress[m.From]
	if p == nil {
		return nil
	}
	p.active = n.now
	p.acked = max(p.acked, m.Sent)
	if n.cfg.faults.leaseFromReceipt {
		p.acked = n.now.Sub(n.epoch)
	}
	p.read = max(p.read, m.Read)
	n.releaseReads()
	return p
}

func (n *Node) handleHeartbeatResp(m Message) {
	if p := n.acknowledged(m); p != nil {
		n.retry(m.From, p)
	}
}

func (n *Node) handleAppendResp(m Message) {
	p := n.acknowledged(m)
	if p == nil {
		return
	}
	if m.Reject {
		n.backOff(m, p)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	if m.Index >= p.match && (p.state == probing || (p.state == snapshotting && m.Index >= n.log.baseIndex)) {
		p.state, p.waiting, p.inflight, p.next = replicating, false, 0, m.Index+1
	}
	if m.Index > p.match {
		p.match, p.movedAt = m.Index, n.now
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

// backOff moves a member's next index before the rejected one.
func (n *Node) backOff(m Message, p *progress) {
	if m.Index <= p.match || m.Index >= p.next || p.state == snapshotting {
		return // an answer to an outdated append
	}
	p.state, p.waiting, p.inflight = probing, false, 0
	p.next = max(min(m.Index, m.Hint+1), p.match+1)
	n.sendAppends(m.From)
}

// maybeCommit commits the newest entry of the current term that a quorum has persisted.
// Entries of earlier terms are committed only along with it.
func (n *Node) maybeCommit() {
	l := n.log
	index := quorumOf(n, l.stable, func(p *progress) uint64 { return p.match }, cmp.Compare[uint64])
	if n.cfg.faults.commitMinority {
		index = l.stable
	}
	if t, _ := l.term(index); index <= l.commit || t != n.term {
		return
	}
	for _, e := range l.slice(l.commit+1, index, maxUncommittedBytes+MaxEntryBytes) {
		n.lead.uncommitted -= e.size()
	}
	l.commit = index
	n.lead.flush = true
	n.releaseReads()
}

// stepFromLeader handles a message of the current term's leader.
func (n *Node) stepFromLeader(m Message) error {
	if n.role == Leader {
		return &errs.Conflict{Kind: "leader of term", ID: fmt.Sprint(n.term), Have: n.cfg.ID, Got: m.From}
	}
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(n.term, m.From)
	}
	n.resetElection()
	n.contact = n.now
	switch m.Type {
	case MsgHeartbeat:
		n.log.commit = max(n.log.commit, min(m.Commit, n.log.last()))
		n.send(Message{Type: MsgHeartbeatResp, To: m.From, Sent: m.Sent, Read: m.Read})
		return nil
	case MsgSnapshot:
		return n.handleSnapshot(m)
	}
	return n.handleAppend(m)
}

func (n *Node) handleAppend(m Message) error {
	l := n.log
	resp := Message{Type: MsgAppendResp, To: m.From, Sent: m.Sent, Read: m.Read}
	if m.Index < l.commit {
		resp.Index = l.commit
		n.send(resp)
		return nil
	}
	t, ok := l.term(m.Index)
	if !ok || (t != m.LogTerm && !n.cfg.faults.skipTermCheck) {
		resp.Reject, resp.Index, resp.Hint = true, m.Index, n.hint(m.Index)
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

// hint returns the last index at which this log may agree with the leader's, given that
// they differ at index. It skips a whole term, so that the leader needs one round per
// conflicting term.
func (n *Node) hint(index uint64) uint64 {
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
		return &errs.Invalid{Path: "$.Snapshot", Want: "a snapshot", Got: "none"}
	}
	resp := Message{Type: MsgAppendResp, To: m.From, Sent: m.Sent, Read: m.Read}
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
