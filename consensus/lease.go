package consensus

import (
	"cmp"
	"time"

	"fuchsiaflow/errs"
)

// pendingRead waits for proof that its node still led when the read was asked for.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Lease returns the time until which no other node of the group can hold a lease. It is not
// ok on a node that does not lead, has not committed an entry of its term, is handing its
// leadership over, or cannot rule out that the lease of an earlier leader still runs.
func (n *Node) Lease(now time.Time) (until time.Time, ok bool) {
	n.observe(now)
	if n.role != Leader || !n.log.conf().isVoter(n.cfg.ID) || n.lead.transferee != "" {
		return time.Time{}, false
	}
	if n.log.commit < n.lead.first {
		return time.Time{}, false
	}
	// No leader precedes the one of the first term that has an election.
	wait := n.term > bootstrapTerm+1 && !n.cfg.faults.skipLeaseWait
	if wait && n.now.Before(n.lead.since.Add(n.cfg.ElectionTimeout)) {
		return time.Time{}, false
	}
	until = n.leaseEnd()
	return until, n.now.Before(until)
}

// leaseEnd is measured from the send time of the newest heartbeat that a quorum
// acknowledged.
func (n *Node) leaseEnd() time.Time {
	sent := quorumOf(n, n.now.Sub(n.epoch), func(p *progress) time.Duration { return p.acked },
		cmp.Compare[time.Duration])
	if sent < 0 {
		return time.Time{}
	}
	return n.epoch.Add(sent + n.cfg.ElectionTimeout - n.cfg.MaxClockDrift)
}

// ReadIndex asks for a point at which a linearizable read may be served. The answer is a
// ReadState with the same id. It comes at once under a valid lease, and otherwise after a
// quorum has acknowledged a heartbeat that was sent after the call.
func (n *Node) ReadIndex(now time.Time, id uint64) error {
	n.observe(now)
	if n.role != Leader {
		if n.cfg.faults.staleReads {
			n.reads = append(n.reads, ReadState{ID: id, Index: n.log.commit})
			return nil
		}
		return n.notLeader()
	}
	// A transferee may win an election before the votes of the lease's quorum expire, so a
	// lease does not cover reads after a hand-over.
	if _, ok := n.Lease(now); (ok && !n.lead.handedOver) || n.cfg.faults.staleReads {
		n.reads = append(n.reads, ReadState{ID: id, Index: n.log.commit})
		return nil
	}
	n.lead.readRound++
	// Until the no-op of the term is committed, the leader's commit index may be behind
	// that of an earlier leader.
	index := max(n.log.commit, n.lead.first)
	n.lead.reads = append(n.lead.reads, pendingRead{id: id, index: index, round: n.lead.readRound})
	n.broadcastHeartbeat()
	n.releaseReads()
	return nil
}

// releaseReads answers the reads whose round a quorum has acknowledged.
func (n *Node) releaseReads() {
	if len(n.lead.reads) == 0 {
		return
	}
	proven := quorumOf(n, n.lead.readRound, func(p *progress) uint64 { return p.read }, cmp.Compare[uint64])
	kept := n.lead.reads[:0]
	for _, r := range n.lead.reads {
		if r.round <= proven && r.index <= n.log.commit {
			n.reads = append(n.reads, ReadState{ID: r.id, Index: r.index})
		} else {
			kept = append(kept, r)
		}
	}
	n.lead.reads = kept
}

func (n *Node) abortReads() {
	for _, r := range n.lead.reads {
		n.reads = append(n.reads, ReadState{ID: r.id, Aborted: true})
	}
}

// TransferLeadership hands the leadership to another voter once that has the whole log.
// Proposals are refused meanwhile. The attempt ends after one ElectionTimeout.
func (n *Node) TransferLeadership(now time.Time, to string) error {
	n.observe(now)
	switch {
	case n.role != Leader:
		return n.notLeader()
	case to == n.cfg.ID || !n.log.conf().isVoter(to):
		return &errs.NotFound{Kind: "other voter", ID: to}
	case n.lead.transferee != "" && n.lead.transferee != to:
		return &errs.Conflict{Kind: "leadership transfer", ID: n.cfg.Group, Have: n.lead.transferee, Got: to}
	}
	n.lead.transferee = to
	n.lead.transferEnds = n.now.Add(n.cfg.ElectionTimeout)
	n.sendAppends(to)
	n.continueTransfer(to, n.lead.progress[to])
	return nil
}

func (n *Node) continueTransfer(id string, p *progress) {
	if n.role != Leader || n.lead.transferee != id || p.match != n.log.last() {
		return
	}
	n.lead.handedOver = true
	n.send(Message{Type: MsgTimeoutNow, To: id})
}
