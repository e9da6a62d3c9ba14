package consensus

// preCampaign starts a pre-vote, which tests whether an election could succeed without
// incrementing the term.
func (n *Node) preCampaign() {
	if n.isSoleVoter() {
		n.campaign(false)
		return
	}
	n.role, n.leader = PreCandidate, ""
	n.votes = map[string]bool{n.cfg.ID: true}
	n.requestVotes(MsgPreVote, n.term+1)
}

// campaign starts an election in the next term. transfer is set if the old leader requested it.
func (n *Node) campaign(transfer bool) {
	n.role, n.leader, n.transferCampaign = Candidate, "", transfer
	n.term++
	n.vote = n.cfg.ID
	n.votes = map[string]bool{n.cfg.ID: true}
	n.resetElectionTimer()
	if n.wonElection() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MsgVote, n.term)
}

func (n *Node) requestVotes(t MessageType, term uint64) {
	for _, id := range n.log.conf().Voters {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{Type: t, To: id, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm(), Transfer: n.transferCampaign})
	}
}

func (n *Node) wonElection() bool {
	c, granted := n.log.conf(), 0
	for _, id := range c.Voters {
		if n.votes[id] {
			granted++
		}
	}
	return granted >= c.quorum()
}

func (n *Node) lostElection() bool {
	c, refused := n.log.conf(), 0
	for _, id := range c.Voters {
		if granted, voted := n.votes[id]; voted && !granted {
			refused++
		}
	}
	return refused > len(c.Voters)-c.quorum()
}

// upToDate reports whether a candidate's log is at least as up to date as this node's log.
func (n *Node) upToDate(m Message) bool {
	last := n.log.lastTerm()
	return m.LogTerm > last || (m.LogTerm == last && m.Index >= n.log.last()) || n.cfg.faults.ignoreLogCheck
}

func (n *Node) handlePreVote(m Message) {
	if m.Term > n.term && !n.hasActiveLeader() && n.upToDate(m) {
		n.send(Message{Type: MsgPreVoteResp, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Type: MsgPreVoteResp, To: m.From, Reject: true})
}

// handleVote answers a vote request of the current term.
func (n *Node) handleVote(m Message) {
	canVote := n.vote == "" || n.vote == m.From || n.cfg.faults.voteTwice
	activeLeader := !m.Transfer && n.hasActiveLeader()
	if !canVote || activeLeader || !n.upToDate(m) {
		n.send(Message{Type: MsgVoteResp, To: m.From, Reject: true})
		return
	}
	n.vote = m.From
	n.resetElectionTimer()
	n.send(Message{Type: MsgVoteResp, To: m.From})
}

// handleVoteResp counts a response to the current campaign. A granted pre-vote has the term of
// the intended election.
func (n *Node) handleVoteResp(m Message) {
	switch {
	case n.role == PreCandidate && m.Type == MsgPreVoteResp && (m.Reject || m.Term == n.term+1):
	case n.role == Candidate && m.Type == MsgVoteResp && m.Term == n.term:
	default:
		return
	}
	if _, ok := n.votes[m.From]; !ok {
		n.votes[m.From] = !m.Reject
	}
	switch {
	case n.wonElection() && n.role == PreCandidate:
		n.campaign(false)
	case n.wonElection():
		n.becomeLeader()
	case n.lostElection():
		n.becomeFollower(n.term, "")
	}
}
