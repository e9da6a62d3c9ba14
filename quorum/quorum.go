// Package quorum decides the next membership change of a consensus group. It keeps the number of
// voters constant and spreads them over failure domains while hosts fail, return with an empty
// disk, are added, or are decommissioned.
//
// The package performs no I/O. The leader of the group regularly asks for the next action and
// executes it.
package quorum

import (
	"slices"
	"strings"
	"time"
)

// ReplicaStatus describes a replica whose host has announced itself to the leader.
type ReplicaStatus struct {
	// ID identifies the replica on the host's disk. A host with a new disk has a new ID.
	ID string
	// Address is the address of the host, the same for all replicas that it has had.
	Address string
	// Domain is the failure domain of the host.
	Domain string
	// SinceAnnouncement is the time since the last announcement of the replica.
	SinceAnnouncement time.Duration
	// Retiring states that the host is being decommissioned and must not keep a replica.
	Retiring bool
}

// Group is the current membership of a consensus group. Members are identified by replica ID.
type Group struct {
	Leader   string // the leader, which asks for the next action
	Voters   []string
	Learners []string
	// CaughtUp lists the learners that have stored every committed entry.
	CaughtUp []string
}

// Policy defines the desired membership.
type Policy struct {
	// Voters is the number of voters to keep: twice the number of disks that may be lost at the
	// same time, plus one.
	Voters int
	// UnavailableAfter is the time without an announcement after which a replica counts as unavailable.
	// An unavailable voter is replaced by a host of its own domain, or of a domain that can take
	// another voter without endangering the quorum.
	UnavailableAfter time.Duration
	// ReplaceAnywhereAfter is the time without an announcement after which a voter may be replaced by a host
	// of any domain.
	ReplaceAnywhereAfter time.Duration
	// AddressOf returns the host address of a replica ID.
	AddressOf func(id string) string
}

// ActionKind is the type of a membership change.
type ActionKind int

// The types of membership changes.
const (
	None ActionKind = iota
	AddLearner
	Promote
	Remove
	// TransferLeadership moves the leadership to another voter, because the leader is to be removed.
	TransferLeadership
)

func (k ActionKind) String() string {
	return [...]string{"none", "add learner", "promote", "remove", "transfer"}[k]
}

// Action is a membership change. Reason explains it in the log.
type Action struct {
	Kind   ActionKind
	ID     string
	Reason string
}

// planner computes the next action from one view of the group.
type planner struct {
	policy     Policy
	group      Group
	replicas   map[string]ReplicaStatus // candidates by replica ID
	candidates []ReplicaStatus
}

// NextAction returns the next membership change. Its kind is None if the membership is as desired or no
// change is possible yet.
func NextAction(policy Policy, group Group, candidates []ReplicaStatus) Action {
	pl := planner{policy: policy, group: group, replicas: make(map[string]ReplicaStatus, len(candidates)), candidates: candidates}
	for _, c := range candidates {
		pl.replicas[c.ID] = c
	}
	for _, step := range []func() Action{pl.removeFaultyLearner, pl.removeSurplusVoter, pl.addMissingVoter, pl.replaceFaultyVoter} {
		if a := step(); a.Kind != None {
			return a
		}
	}
	return Action{}
}

// isLive reports whether a replica has announced itself recently. The leader is always live.
func (pl *planner) isLive(id string) bool {
	c, ok := pl.replicas[id]
	return id == pl.group.Leader || ok && c.SinceAnnouncement < pl.policy.UnavailableAfter
}

// superseded reports whether the host of a replica has announced a replica on another disk more
// recently than this one, which means that the disk of this replica is lost.
func (pl *planner) superseded(id string) bool {
	old, known := pl.replicas[id]
	for _, c := range pl.candidates {
		if c.ID == id || c.Address != pl.policy.AddressOf(id) || c.SinceAnnouncement >= pl.policy.UnavailableAfter {
			continue
		}
		if !known || c.SinceAnnouncement < old.SinceAnnouncement {
			return true
		}
	}
	return false
}

// replacementReason returns why a member should be replaced, or "" if it is healthy.
func (pl *planner) replacementReason(id string) string {
	switch {
	case pl.replicas[id].Retiring:
		return "retiring"
	case pl.superseded(id):
		return "disk lost"
	case !pl.isLive(id):
		return "silent"
	}
	return ""
}

// removeFaultyLearner removes a learner that is no longer healthy.
func (pl *planner) removeFaultyLearner() Action {
	for _, id := range pl.group.Learners {
		if reason := pl.replacementReason(id); reason != "" {
			return Action{Remove, id, "learner: " + reason}
		}
	}
	return Action{}
}

// removeSurplusVoter removes a voter if there are more than the policy requires. A leader that is
// to be removed transfers its leadership first.
func (pl *planner) removeSurplusVoter() Action {
	if len(pl.group.Voters) <= pl.policy.Voters {
		return Action{}
	}
	id, reason := pl.voterToRemove()
	if id == pl.group.Leader {
		return Action{TransferLeadership, id, reason}
	}
	return Action{Remove, id, reason}
}

// voterToRemove returns a faulty voter or, if there is none, a voter of the domain with the most
// healthy voters other than the leader.
func (pl *planner) voterToRemove() (id, reason string) {
	voters := slices.Sorted(slices.Values(pl.group.Voters))
	for _, v := range voters {
		if r := pl.replacementReason(v); r != "" {
			return v, r
		}
	}
	surplus := ""
	for _, v := range voters {
		if v == pl.group.Leader {
			continue
		}
		if surplus == "" || pl.healthyVoters(pl.domain(v)) > pl.healthyVoters(pl.domain(surplus)) {
			surplus = v
		}
	}
	return surplus, "surplus"
}

func (pl *planner) domain(id string) string { return pl.replicas[id].Domain }

// healthyVoters returns the number of healthy voters of a domain.
func (pl *planner) healthyVoters(domain string) int {
	n := 0
	for _, v := range pl.group.Voters {
		if pl.domain(v) == domain && pl.replacementReason(v) == "" {
			n++
		}
	}
	return n
}

// addMissingVoter adds a voter if there are fewer than the policy requires.
func (pl *planner) addMissingVoter() Action {
	if len(pl.group.Voters) >= pl.policy.Voters {
		return Action{}
	}
	return pl.addVoter("too few voters", func(ReplicaStatus) bool { return true })
}

// addVoter promotes a learner that has caught up. If there is no learner, it adds the best
// candidate as a learner. Only candidates that the filter allows are considered.
func (pl *planner) addVoter(reason string, allowed func(ReplicaStatus) bool) Action {
	for _, id := range pl.group.Learners {
		if c, ok := pl.replicas[id]; ok && allowed(c) {
			if slices.Contains(pl.group.CaughtUp, id) {
				return Action{Promote, id, reason}
			}
			return Action{} // wait until the learner has caught up
		}
	}
	if c, ok := pl.bestCandidate(allowed); ok {
		return Action{AddLearner, c.ID, reason}
	}
	return Action{}
}

// bestCandidate returns the allowed live candidate whose domain has the fewest healthy voters.
func (pl *planner) bestCandidate(allowed func(ReplicaStatus) bool) (ReplicaStatus, bool) {
	var eligible []ReplicaStatus
	for _, c := range pl.candidates {
		isMember := slices.Contains(pl.group.Voters, c.ID) || slices.Contains(pl.group.Learners, c.ID)
		if !isMember && !c.Retiring && c.SinceAnnouncement < pl.policy.UnavailableAfter && allowed(c) {
			eligible = append(eligible, c)
		}
	}
	if len(eligible) == 0 {
		return ReplicaStatus{}, false
	}
	slices.SortFunc(eligible, func(a, b ReplicaStatus) int {
		if difference := pl.healthyVoters(a.Domain) - pl.healthyVoters(b.Domain); difference != 0 {
			return difference
		}
		return strings.Compare(a.ID, b.ID)
	})
	return eligible[0], true
}

// replaceFaultyVoter replaces a faulty voter or, if there is none, balances the domains. The
// replacement first catches up as a learner. A working voter is removed after the promotion of its
// replacement, so that the number of working voters never falls; a lost voter is removed before
// the promotion.
func (pl *planner) replaceFaultyVoter() Action {
	for _, id := range slices.Sorted(slices.Values(pl.group.Voters)) {
		reason := pl.replacementReason(id)
		if reason == "" {
			continue
		}
		allowed := pl.replacementFilter(id, reason)
		next := pl.addVoter(reason, allowed)
		if next.Kind == Promote && reason != "retiring" {
			return Action{Remove, id, reason}
		}
		if next.Kind != None {
			return next
		}
	}
	return pl.balanceDomains()
}

// replacementFilter returns the filter for the replacement of a voter. A host of a domain that
// already has many voters may replace an unavailable voter only after a longer time, because the
// loss of that domain would then cost the group its quorum.
func (pl *planner) replacementFilter(id, reason string) func(ReplicaStatus) bool {
	address, domain := pl.policy.AddressOf(id), pl.domain(id)
	return func(c ReplicaStatus) bool {
		switch {
		case reason == "disk lost" && c.Address == address:
			return true
		case c.Domain == domain, pl.healthyVoters(c.Domain) < (pl.policy.Voters+1)/2-1, reason == "retiring":
			return true
		default:
			old, known := pl.replicas[id]
			return !known || old.SinceAnnouncement >= pl.policy.ReplaceAnywhereAfter
		}
	}
}

// balanceDomains adds a voter in a domain that has at least two healthy voters fewer than the
// domain with the most. removeSurplusVoter later removes a voter of the latter.
func (pl *planner) balanceDomains() Action {
	fullest := ""
	for _, id := range slices.Sorted(slices.Values(pl.group.Voters)) {
		if id != pl.group.Leader && (fullest == "" || pl.healthyVoters(pl.domain(id)) > pl.healthyVoters(pl.domain(fullest))) {
			fullest = id
		}
	}
	if fullest == "" {
		return Action{}
	}
	most := pl.healthyVoters(pl.domain(fullest))
	return pl.addVoter("spread over failure domains", func(c ReplicaStatus) bool { return pl.healthyVoters(c.Domain) <= most-2 })
}
