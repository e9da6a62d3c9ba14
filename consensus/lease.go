package consensus

import (
	"cmp"
	"time"

	"fuchsiaflow/errs"
)

// pendingRead is a read that waits until a quorum confirms that the node was still the leader
// when the read was requested.
type pendingRead struct {
	id    uint64
	index uint64 // read index
	round uint64
}

// Lease returns the time until which no other node of the group can hold a lease. ok is false if
// the node does not lead, has not committed an entry of its term, is transferring its leadership,
// or cannot rule out that an earlier leader still holds a lease.
func (n *Node) Lease(now time.Time) (until time.Time, ok bool) {
	n.advanceClock(now)
	if n.role != Leader || !n.log.conf().isVoter(n.cfg.ID) || n.leaderState.transferee != "" {
		return time.Time{}, false
	}
	if n.log.commit < n.leaderState.noopIndex {
		return time.Time{}, false
	}
	// The first term with an election has no earlier leader.
	wait := n.term > bootstrapTerm+1 && !n.cfg.faults.skipLeaseWait
	if wait && n.now.Before(n.leaderState.electedAt.Add(n.cfg.ElectionTimeout)) {
		return time.Time{}, false
	}
	until = n.leaseEnd()
	return until, n.now.Before(until)
}

// leaseEnd returns the expiry of the lease, or the zero time if no quorum has acknowledged a
// heartbeat. The lease starts at the send time of the newest heartbeat that a quorum acknowledged.
func (n *Node) leaseEnd() time.Time {
	sent := quorumValue(n, n.now.Sub(n.epoch), func(p *progress) time.Duration { return p.ackedSendTime },
		cmp.Compare[time.Duration])
	if sent < 0 {
		return time.Time{}
	}
	return n.epoch.Add(sent + n.cfg.ElectionTimeout - n.cfg.MaxClockDrift)
}

// ReadIndex requests the index that must be applied before a linearizable read may be served. The
// result is a ReadState with the same id. It is available immediately under a valid lease, and
// otherwise after a quorum has acknowledged a heartbeat that was sent after the call.
func (n *Node) ReadIndex(now time.Time, id uint64) error {
	n.advanceClock(now)
	if n.role != Leader {
		if n.cfg.faults.staleReads {
			n.readStates = append(n.readStates, ReadState{ID: id, Index: n.log.commit})
			return nil
		}
		return n.notLeader()
	}
	// A transferee may win an election while the lease is still valid, because voters grant its
	// vote requests despite recent contact with the leader. The lease therefore does not cover
	// reads after MsgTimeoutNow was sent.
	if _, ok := n.Lease(now); (ok && !n.leaderState.timeoutNowSent) || n.cfg.faults.staleReads {
		n.readStates = append(n.readStates, ReadState{ID: id, Index: n.log.commit})
		return nil
	}
	n.leaderState.readRound++
	// Until the no-op entry of the term is committed, the commit index may be lower than that of
	// an earlier leader.
	index := max(n.log.commit, n.leaderState.noopIndex)
	n.leaderState.pendingReads = append(n.leaderState.pendingReads,
		pendingRead{id: id, index: index, round: n.leaderState.readRound})
	n.broadcastHeartbeat()
	n.completeReads()
	return nil
}

// completeReads completes the reads whose round a quorum has acknowledged.
func (n *Node) completeReads() {
	if len(n.leaderState.pendingReads) == 0 {
		return
	}
	ackedRound := quorumValue(n, n.leaderState.readRound, func(p *progress) uint64 { return p.ackedReadRound }, cmp.Compare[uint64])
	remaining := n.leaderState.pendingReads[:0]
	for _, r := range n.leaderState.pendingReads {
		if r.round <= ackedRound && r.index <= n.log.commit {
			n.readStates = append(n.readStates, ReadState{ID: r.id, Index: r.index})
		} else {
			remaining = append(remaining, r)
		}
	}
	n.leaderState.pendingReads = remaining
}

func (n *Node) abortReads() {
	for _, r := range n.leaderState.pendingReads {
		n.readStates = append(n.readStates, ReadState{ID: r.id, Aborted: true})
	}
}

// TransferLeadership transfers the leadership to another voter once that voter has the complete
// log. Proposals are rejected during the transfer, which is abandoned after one ElectionTimeout.
func (n *Node) TransferLeadership(now time.Time, to string) error {
	n.advanceClock(now)
	switch {
	case n.role != Leader:
		return n.notLeader()
	case to == n.cfg.ID || !n.log.conf().isVoter(to):
		return &errs.NotFound{Kind: "other voter", ID: to}
	case n.leaderState.transferee != "" && n.leaderState.transferee != to:
		return &errs.Conflict{Kind: "leadership transfer", ID: n.cfg.Group, Stored: n.leaderState.transferee, Received: to}
	}
	n.leaderState.transferee = to
	n.leaderState.transferDeadline = n.now.Add(n.cfg.ElectionTimeout)
	n.sendAppends(to)
	n.continueTransfer(to, n.leaderState.progress[to])
	return nil
}

// continueTransfer tells the transferee to start an election once its log is complete.
func (n *Node) continueTransfer(id string, p *progress) {
	if n.role != Leader || n.leaderState.transferee != id || p.match != n.log.last() {
		return
	}
	n.leaderState.timeoutNowSent = true
	n.send(Message{Type: MsgTimeoutNow, To: id})
}
