package consensus

import (
	"slices"
	"time"
)

// ProposeConfChange appends a membership change to the leader's log. The change takes effect
// immediately and can no longer be lost once its entry is committed.
func (n *Node) ProposeConfChange(now time.Time, c ConfChange) error {
	n.advanceClock(now)
	if n.role != Leader {
		return n.notLeader()
	}
	switch {
	case n.leaderState.transferee != "":
		return n.refuseTemporarily(c, "leadership is being transferred")
	case n.log.commit < n.leaderState.noopIndex:
		return n.refuseTemporarily(c, "no entry of the current term is committed")
	case n.log.confIndex() > n.log.commit:
		return n.refuseTemporarily(c, "the previous membership change is not committed")
	}
	next, err := n.nextConf(c)
	if err != nil {
		return err
	}
	n.appendEntry(Entry{Type: EntryConf, Conf: &next})
	n.syncProgress()
	return nil
}

// nextConf returns the membership that results from c, or an error if c is not allowed.
func (n *Node) nextConf(c ConfChange) (Conf, error) {
	next := n.log.conf().clone()
	switch c.Type {
	case AddLearner:
		if c.ID == "" || next.contains(c.ID) {
			return Conf{}, n.refuse(c, "already a member")
		}
		next.Learners = append(next.Learners, c.ID)
	case Promote:
		if !next.isLearner(c.ID) {
			return Conf{}, n.refuse(c, "not a learner")
		}
		if !n.caughtUp(c.ID) {
			return Conf{}, n.refuseTemporarily(c, "the learner has not caught up")
		}
		next.Learners = remove(next.Learners, c.ID)
		next.Voters = append(next.Voters, c.ID)
	case Remove:
		if c.ID == n.cfg.ID {
			return Conf{}, n.refuse(c, "the leader must transfer its leadership first")
		}
		if !next.contains(c.ID) {
			return Conf{}, n.refuse(c, "not a member")
		}
		next.Voters, next.Learners = remove(next.Voters, c.ID), remove(next.Learners, c.ID)
	default:
		return Conf{}, n.refuse(c, "unknown change type")
	}
	slices.Sort(next.Voters)
	slices.Sort(next.Learners)
	return next, nil
}

func remove(ids []string, id string) []string {
	return slices.DeleteFunc(ids, func(s string) bool { return s == id })
}

// caughtUp reports whether a learner stores every committed entry and has responded within the
// last ElectionTimeout.
func (n *Node) caughtUp(id string) bool {
	p := n.leaderState.progress[id]
	return p.match >= n.log.commit && n.now.Sub(p.lastResponse) <= n.cfg.ElectionTimeout
}
