package consensus

import (
	"fmt"
	"slices"
	"time"

	"fuchsiaflow/errs"
)

// Node is one replica of a group. It is not safe for concurrent use.
type Node struct {
	cfg   Config
	epoch time.Time // origin of Message.Sent
	now   time.Time // time of the current or last call

	term   uint64
	vote   string
	role   Role
	leader string
	log    *raftLog
	saved  HardState // last persisted state

	electionDeadline time.Time
	// contact is when a leader was last heard; votes are refused until an ElectionTimeout
	// after it.
	contact time.Time
	votes   map[string]bool
	forced  bool // the current campaign was asked for by the old leader

	lead     leadership
	messages []Message
	reads    []ReadState
}

// New returns a node that continues from the stored state.
func New(cfg Config, in InitialState, now time.Time) (*Node, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	log, err := newLog(in)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, epoch: now, now: now, log: log}
	n.detach()
	n.term, n.vote = in.HardState.Term, in.HardState.Vote
	n.saved = in.HardState
	if n.term < log.lastTerm() {
		n.term, n.vote = log.lastTerm(), ""
	}
	if n.term > bootstrapTerm {
		n.contact = now
	}
	n.resetElection()
	if n.alone() {
		n.campaign(false)
	}
	return n, nil
}

func (c *Config) check() error {
	if c.MaxBatchBytes <= 0 {
		c.MaxBatchBytes = defaultBatchBytes
	}
	if c.TrailingEntries <= 0 {
		c.TrailingEntries = defaultTrailingEntries
	}
	switch {
	case c.ID == "":
		return &errs.Invalid{Path: "$.ID", Want: "a node name", Got: "an empty string"}
	case c.Rand == nil:
		return &errs.Invalid{Path: "$.Rand", Want: "a random source", Got: "nil"}
	case c.HeartbeatInterval <= 0:
		return &errs.Invalid{Path: "$.HeartbeatInterval", Want: "a positive duration", Got: c.HeartbeatInterval.String()}
	case c.ElectionTimeout < 2*c.HeartbeatInterval:
		return &errs.Invalid{Path: "$.ElectionTimeout", Want: "at least two heartbeat intervals", Got: c.ElectionTimeout.String()}
	case c.MaxClockDrift < 0 || c.MaxClockDrift >= c.ElectionTimeout:
		return &errs.Invalid{Path: "$.MaxClockDrift", Want: "less than ElectionTimeout", Got: c.MaxClockDrift.String()}
	}
	return nil
}

// alone reports whether this node is the only voter, so that its own vote is a quorum.
func (n *Node) alone() bool {
	c := n.log.conf()
	return len(c.Voters) == 1 && c.Voters[0] == n.cfg.ID
}

func (n *Node) observe(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

func (n *Node) resetElection() {
	et := n.cfg.ElectionTimeout
	n.electionDeadline = n.now.Add(et + time.Duration(n.cfg.Rand.Int64N(int64(et))))
}

func (n *Node) notLeader() error {
	return &errs.NotLeader{Group: n.cfg.Group, Leader: n.leader}
}

// Tick performs the work that is due at now: elections, heartbeats, retransmission and
// the check of the leader's quorum.
func (n *Node) Tick(now time.Time) {
	n.observe(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now.Before(n.electionDeadline) {
		return
	}
	n.resetElection()
	if n.log.conf().isVoter(n.cfg.ID) {
		n.preCampaign()
	}
}

// Step handles a message from a peer. It fails only for a message that no correct peer
// sends; lost leadership and outdated terms are not failures.
func (n *Node) Step(now time.Time, m Message) error {
	n.observe(now)
	if m.To != n.cfg.ID || m.From == "" || m.From == n.cfg.ID {
		return &errs.Invalid{Path: "$.To", Want: fmt.Sprintf("a message for %q", n.cfg.ID),
			Got: fmt.Sprintf("from %q to %q", m.From, m.To)}
	}
	switch {
	case m.Term < n.term:
		n.answerOldTerm(m)
		return nil
	case m.Term > n.term && !n.raiseTerm(m):
		return nil
	}
	switch m.Type {
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgVote:
		n.handleVote(m)
	case MsgPreVoteResp, MsgVoteResp:
		n.handleVoteResp(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		return n.stepFromLeader(m)
	case MsgAppendResp:
		n.handleAppendResp(m)
	case MsgHeartbeatResp:
		n.handleHeartbeatResp(m)
	case MsgTimeoutNow:
		if n.role == Follower && n.log.conf().isVoter(n.cfg.ID) {
			n.campaign(true)
		}
	default:
		return &errs.Invalid{Path: "$.Type", Want: "a known message type", Got: fmt.Sprint(m.Type)}
	}
	return nil
}

// raiseTerm adopts the term of a message. It returns false when the message must be
// ignored.
func (n *Node) raiseTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true
	case MsgPreVoteResp:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if !m.Transfer && n.hearsLeader() {
			return false
		}
	}
	leader := ""
	if m.Type == MsgAppend || m.Type == MsgHeartbeat || m.Type == MsgSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// hearsLeader reports whether a leader may hold a lease that this node supports.
func (n *Node) hearsLeader() bool {
	if n.role == Leader {
		return true
	}
	return !n.contact.IsZero() && n.now.Before(n.contact.Add(n.cfg.ElectionTimeout))
}

// answerOldTerm tells a peer with an older term about the current one.
func (n *Node) answerOldTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: m.Index})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Type: MsgVoteResp, To: m.From, Reject: true})
	}
}

// send queues a message; it fills the sender and, unless set, the term.
func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term != n.term {
		n.term, n.vote = term, ""
	}
	wasLeader := n.role == Leader
	n.role, n.leader, n.votes, n.forced = Follower, leader, nil, false
	if wasLeader {
		n.abortReads()
		n.lead = leadership{}
	}
	n.resetElection()
}

// Propose appends a command to the leader's log. The command is replicated by the messages
// of the next Ready.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	n.observe(now)
	switch {
	case n.role != Leader:
		return 0, 0, n.notLeader()
	case n.lead.transferee != "":
		return 0, 0, &errs.Unavailable{Resource: "group " + n.cfg.Group, Reason: "leadership is being transferred"}
	case len(data) > MaxEntryBytes:
		return 0, 0, &errs.TooLarge{What: "command", Limit: MaxEntryBytes}
	case n.lead.uncommitted > maxUncommittedBytes:
		return 0, 0, &errs.Overloaded{Resource: "group " + n.cfg.Group, After: n.cfg.HeartbeatInterval}
	}
	return n.appendEntry(Entry{Type: EntryCommand, Data: data}), n.term, nil
}

func (n *Node) appendEntry(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.term
	n.log.push(e)
	n.lead.uncommitted += e.size()
	n.lead.flush = true
	return e.Index
}

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	l := n.log
	return n.term != n.saved.Term || n.vote != n.saved.Vote || l.pending != nil ||
		l.stable < l.last() || n.lead.flush || len(n.messages) > 0 || l.applied < l.commit || len(n.reads) > 0
}

// Ready returns the outstanding work. The caller must not call any other method but
// Status, Lease and HasReady before Advance.
func (n *Node) Ready() Ready {
	if n.lead.flush {
		n.lead.flush = false
		n.broadcastAppend()
	}
	l := n.log
	r := Ready{Snapshot: l.pending, Entries: l.slice(l.stable+1, l.last(), maxUncommittedBytes+MaxEntryBytes)}
	hs := HardState{Term: n.term, Vote: n.vote, Commit: l.commit}
	// The commit index alone is not worth a sync: a restarted node learns it from the
	// leader. It is saved along with entries.
	if hs.Term != n.saved.Term || hs.Vote != n.saved.Vote || (len(r.Entries) > 0 && hs != n.saved) {
		r.HardState = &hs
	}
	from := l.applied
	if l.pending != nil {
		from = max(from, l.pending.Index)
	}
	r.Committed = l.slice(from+1, l.commit, maxCommittedBytes)
	r.Messages, r.messages = slices.Clone(n.messages), len(n.messages)
	r.Reads, r.reads = slices.Clone(n.reads), len(n.reads)
	return r
}

// Advance tells the node that the work of r is done.
func (n *Node) Advance(r Ready) {
	l := n.log
	if r.HardState != nil {
		n.saved = *r.HardState
	}
	if r.Snapshot != nil {
		l.pending = nil
		n.detach()
		l.applied = max(l.applied, r.Snapshot.Index)
	}
	if k := len(r.Entries); k > 0 {
		l.stable = r.Entries[k-1].Index
	}
	if k := len(r.Committed); k > 0 {
		l.applied = r.Committed[k-1].Index
	}
	n.messages = slices.Delete(n.messages, 0, r.messages)
	n.reads = slices.Delete(n.reads, 0, r.reads)
	if n.role == Leader {
		n.maybeCommit()
	}
}

// SnapshotAt returns a snapshot without data for an applied index; the caller fills Data,
// stores it and passes it to Compact.
func (n *Node) SnapshotAt(index uint64) (s Snapshot, ok bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.commit {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Conf: n.log.confAt(index).clone()}, true
}

// detach forgets the data of the snapshot if the caller keeps it.
func (n *Node) detach() {
	if n.cfg.ExternalSnapshots {
		n.log.snapshot.Data = nil
	}
}

// Compact tells the node that the caller has stored a snapshot of its own state machine.
// Entries behind it are dropped, except for TrailingEntries.
func (n *Node) Compact(s Snapshot) {
	if s.Index <= n.log.snapshot.Index || s.Index > n.log.commit {
		return
	}
	n.log.snapshot = s
	n.detach()
	if keep := uint64(n.cfg.TrailingEntries); s.Index > keep {
		n.log.compact(s.Index - keep)
	}
}

// Status describes the node.
func (n *Node) Status() Status {
	c := n.log.conf().clone()
	s := Status{ID: n.cfg.ID, Group: n.cfg.Group, Role: n.role, Term: n.term, Leader: n.leader, LastIndex: n.log.last(),
		Commit: n.log.commit, Applied: n.log.applied, Voters: c.Voters, Learners: c.Learners, ConfCommitted: n.log.confIndex() <= n.log.commit}
	if n.role == Leader {
		s.Match = make(map[string]uint64, len(n.lead.progress))
		for id, p := range n.lead.progress {
			s.Match[id] = p.match
		}
		s.Match[n.cfg.ID] = n.log.stable
	}
	return s
}
