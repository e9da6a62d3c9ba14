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
	now   time.Time // latest time passed to a call

	term      uint64
	vote      string
	role      Role
	leader    string
	log       *raftLog
	persisted HardState // last persisted HardState

	electionDeadline time.Time
	// lastLeaderContact is when a leader was last heard from. Votes are rejected for one
	// ElectionTimeout after it.
	lastLeaderContact time.Time
	votes             map[string]bool
	transferCampaign  bool // the current campaign was requested by the old leader

	leaderState leaderState
	messages    []Message
	readStates  []ReadState
}

// New returns a node that starts from the persisted state in.
func New(cfg Config, in InitialState, now time.Time) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := newLog(in)
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, epoch: now, now: now, log: log}
	n.dropSnapshotData()
	n.term, n.vote = in.HardState.Term, in.HardState.Vote
	n.persisted = in.HardState
	if n.term < log.lastTerm() {
		n.term, n.vote = log.lastTerm(), ""
	}
	if n.term > bootstrapTerm {
		n.lastLeaderContact = now
	}
	n.resetElectionTimer()
	if n.isSoleVoter() {
		n.campaign(false)
	}
	return n, nil
}

// Bootstrap gives a node without a membership the initial state that the function Bootstrap returns. It has no effect on a node
// that has a log, because then the group exists already.
func (n *Node) Bootstrap(now time.Time, voters []string) {
	n.advanceClock(now)
	if n.log.last() > 0 {
		return
	}
	in := Bootstrap(voters)
	n.term = max(n.term, in.HardState.Term)
	for _, e := range in.Entries {
		n.log.push(e)
	}
	n.log.commit = in.HardState.Commit
	n.resetElectionTimer()
}

// validate sets defaults and checks the settings.
func (c *Config) validate() error {
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

// isSoleVoter reports whether this node is the only voter, in which case its own vote is a quorum.
func (n *Node) isSoleVoter() bool {
	c := n.log.conf()
	return len(c.Voters) == 1 && c.Voters[0] == n.cfg.ID
}

// advanceClock sets the current time. Time never moves backwards.
func (n *Node) advanceClock(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
}

// resetElectionTimer restarts the election timer with a new random duration.
func (n *Node) resetElectionTimer() {
	et := n.cfg.ElectionTimeout
	n.electionDeadline = n.now.Add(et + time.Duration(n.cfg.Rand.Int64N(int64(et))))
}

func (n *Node) notLeader() error {
	return &errs.NotLeader{Group: n.cfg.Group, Leader: n.leader}
}

// Tick does the work that is due at now: it starts elections, sends heartbeats, ends leadership
// transfers that timed out, and makes a leader without a quorum step down.
func (n *Node) Tick(now time.Time) {
	n.advanceClock(now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now.Before(n.electionDeadline) {
		return
	}
	n.resetElectionTimer()
	if n.log.conf().isVoter(n.cfg.ID) {
		n.preCampaign()
	}
}

// Step handles a message from a peer. It returns an error only for a message that a correct peer
// never sends. Lost leadership and outdated terms are not errors.
func (n *Node) Step(now time.Time, m Message) error {
	n.advanceClock(now)
	if m.To != n.cfg.ID || m.From == "" || m.From == n.cfg.ID {
		return &errs.Invalid{Path: "$.To", Want: fmt.Sprintf("a message for %q", n.cfg.ID),
			Got: fmt.Sprintf("from %q to %q", m.From, m.To)}
	}
	switch {
	case m.Term < n.term:
		n.rejectStaleTerm(m)
		return nil
	case m.Term > n.term && !n.handleHigherTerm(m):
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
		return n.handleLeaderMessage(m)
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

// handleHigherTerm handles the term of a message that is higher than the node's. It adopts the
// term, except for pre-votes, and returns false if the message must be ignored.
func (n *Node) handleHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote:
		return true
	case MsgPreVoteResp:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if !m.Transfer && n.hasActiveLeader() {
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

// hasActiveLeader reports whether a leader may hold a lease that relies on this node's
// acknowledgement.
func (n *Node) hasActiveLeader() bool {
	if n.role == Leader {
		return true
	}
	return !n.lastLeaderContact.IsZero() && n.now.Before(n.lastLeaderContact.Add(n.cfg.ElectionTimeout))
}

// rejectStaleTerm rejects a request with an older term. The response contains the current term.
func (n *Node) rejectStaleTerm(m Message) {
	switch m.Type {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Type: MsgAppendResp, To: m.From, Reject: true, Index: m.Index})
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Type: MsgVoteResp, To: m.From, Reject: true})
	}
}

// send queues a message after setting its sender and, if it has none, its term.
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
	n.role, n.leader, n.votes, n.transferCampaign = Follower, leader, nil, false
	if wasLeader {
		n.abortReads()
		n.leaderState = leaderState{}
	}
	n.resetElectionTimer()
}

// Propose appends a command to the leader's log and returns its index and term. The messages of
// the next Ready replicate it.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	n.advanceClock(now)
	switch {
	case n.role != Leader:
		return 0, 0, n.notLeader()
	case n.leaderState.transferee != "":
		return 0, 0, &errs.Unavailable{Resource: "group " + n.cfg.Group, Reason: "leadership is being transferred"}
	case len(data) > MaxEntryBytes:
		return 0, 0, &errs.TooLarge{What: "command", Limit: MaxEntryBytes}
	case n.leaderState.uncommittedBytes > maxUncommittedBytes:
		return 0, 0, &errs.Overloaded{Resource: "group " + n.cfg.Group, After: n.cfg.HeartbeatInterval}
	}
	return n.appendEntry(Entry{Type: EntryCommand, Data: data}), n.term, nil
}

// appendEntry appends an entry of the current term to the log and returns its index.
func (n *Node) appendEntry(e Entry) uint64 {
	e.Index, e.Term = n.log.last()+1, n.term
	n.log.push(e)
	n.leaderState.uncommittedBytes += e.size()
	n.leaderState.appendPending = true
	return e.Index
}

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool {
	l := n.log
	return n.term != n.persisted.Term || n.vote != n.persisted.Vote || l.pendingSnapshot != nil ||
		l.stable < l.last() || n.leaderState.appendPending || len(n.messages) > 0 || l.applied < l.commit || len(n.readStates) > 0
}

// Ready returns the pending work. Until Advance, the caller may call only Status, Lease and
// HasReady.
func (n *Node) Ready() Ready {
	if n.leaderState.appendPending {
		n.leaderState.appendPending = false
		n.broadcastAppend()
	}
	l := n.log
	r := Ready{Snapshot: l.pendingSnapshot, Entries: l.slice(l.stable+1, l.last(), maxUncommittedBytes+MaxEntryBytes)}
	hs := HardState{Term: n.term, Vote: n.vote, Commit: l.commit}
	// A change of only the commit index is not worth a sync, because a restarted node learns it
	// from the leader. It is persisted together with entries.
	if hs.Term != n.persisted.Term || hs.Vote != n.persisted.Vote || (len(r.Entries) > 0 && hs != n.persisted) {
		r.HardState = &hs
	}
	applied := l.applied
	if l.pendingSnapshot != nil {
		applied = max(applied, l.pendingSnapshot.Index)
	}
	r.Committed = l.slice(applied+1, l.commit, maxCommittedBytes)
	r.Messages, r.messageCount = slices.Clone(n.messages), len(n.messages)
	r.Reads, r.readCount = slices.Clone(n.readStates), len(n.readStates)
	return r
}

// Advance informs the node that the work in r is done.
func (n *Node) Advance(r Ready) {
	l := n.log
	if r.HardState != nil {
		n.persisted = *r.HardState
	}
	if r.Snapshot != nil {
		l.pendingSnapshot = nil
		n.dropSnapshotData()
		l.applied = max(l.applied, r.Snapshot.Index)
	}
	if k := len(r.Entries); k > 0 {
		l.stable = r.Entries[k-1].Index
	}
	if k := len(r.Committed); k > 0 {
		l.applied = r.Committed[k-1].Index
	}
	n.messages = slices.Delete(n.messages, 0, r.messageCount)
	n.readStates = slices.Delete(n.readStates, 0, r.readCount)
	if n.role == Leader {
		n.maybeCommit()
	}
}

// SnapshotAt returns a snapshot without data for an applied index. The caller sets Data, stores
// the snapshot and passes it to Compact. ok is false if the log does not contain index or it is
// not committed.
func (n *Node) SnapshotAt(index uint64) (s Snapshot, ok bool) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.commit {
		return Snapshot{}, false
	}
	return Snapshot{Index: index, Term: term, Conf: n.log.confAt(index).clone()}, true
}

// dropSnapshotData releases the data of the snapshot if the caller keeps it.
func (n *Node) dropSnapshotData() {
	if n.cfg.ExternalSnapshots {
		n.log.snapshot.Data = nil
	}
}

// Compact informs the node that the caller has stored a snapshot of its own state machine. The
// node drops the entries that the snapshot covers, except for the last TrailingEntries.
func (n *Node) Compact(s Snapshot) {
	if s.Index <= n.log.snapshot.Index || s.Index > n.log.commit {
		return
	}
	n.log.snapshot = s
	n.dropSnapshotData()
	if keep := uint64(n.cfg.TrailingEntries); s.Index > keep {
		n.log.compact(s.Index - keep)
	}
}

// Status returns a summary of the node's state.
func (n *Node) Status() Status {
	c := n.log.conf().clone()
	s := Status{ID: n.cfg.ID, Group: n.cfg.Group, Role: n.role, Term: n.term, Leader: n.leader, LastIndex: n.log.last(),
		Commit: n.log.commit, Applied: n.log.applied, Voters: c.Voters, Learners: c.Learners, ConfCommitted: n.log.confIndex() <= n.log.commit}
	if n.role == Leader {
		s.Match = make(map[string]uint64, len(n.leaderState.progress))
		for id, p := range n.leaderState.progress {
			s.Match[id] = p.match
		}
		s.Match[n.cfg.ID] = n.log.stable
	}
	return s
}
