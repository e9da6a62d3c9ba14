package consensus

import (
	"slices"
	"time"
)

// ProposeConfChange appends a membership change to the leader's log. The change is in force
// at once and final when its entry commits.
func (n *Node) ProposeConfChange(now time.Time, c ConfChange) error {
	n.observe(now)
	if n.role != Leader {
		return n.notLeader()
	}
	switch {
	case n.lead.transferee != "":
		return n.refuseForNow(c, "leadership is being transferred")
	case n.log.commit < n.lead.first:
		return n.refuseForNow(c, "no entry of the current term is committed")
	case n.log.confIndex() > n.log.commit:
		return n.refuseForNow(c, "another change is not committed yet")
	}
	next, err := n.changed(c)
	if err != nil {
		return err
	}
	n.appendEntry(Entry{Type: EntryConf, Conf: &next})
	n.syncProgress()
	return nil
}

func (n *Node) changed(c ConfChange) (Conf, error) {
	next := n.log.conf().clone()
	switch c.Type {
	case AddLearner:
		if c.ID == "" || next.has(c.ID) {
			return Conf{}, n.refuse(c, "already a member")
		}
		next.Learners = append(next.Learners, c.ID)
	case Promote:
		if !next.isLearner(c.ID) {
			return Conf{}, n.refuse(c, "not a learner")
		}
		if !n.caughtUp(c.ID) {
			return Conf{}, n.refuseForNow(c, "the learner has not caught up")
		}
		next.Learners = remove(next.Learners, c.ID)
		next.Voters = append(next.Voters, c.ID)
	case Remove:
		if c.ID == n.cfg.ID {
			return Conf{}, n.refuse(c, "the leader must transfer its leadership first")
		}
		if !next.has(c.ID) {
			return Conf{}, n.refuse(c, "not a member")
		}
		next.Voters, next.Learners = remove(next.Voters, c.ID), remove(next.Learners, c.ID)
	default:
		return Conf{}, n.refuse(c, "unknown kind of change")
	}
	slices.Sort(next.Voters)
	slices.Sort(next.Learners)
	return next, nil
}

func remove(ids []string, id string) []string {
	return slices.DeleteFunc(ids, func(s string) bool { return s == id })
}

// caughtUp reports whether a learner stores every committed entry and responded within an
// ElectionTimeout.
func (n *Node) caughtUp(id string) bool {
	p := n.lead.progress[id]
	return p.match >= n.log.commit && n.now.Sub(p.active) <= n.cfg.ElectionTimeout
}
