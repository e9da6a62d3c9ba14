// Package quorum decides the next change of a consensus group's membership, so that the group
// keeps its number of voters, spread over failure domains, while hosts are lost, return with an
// empty disk, are added, or are emptied.
//
// The package is pure. The leader of the group calls Next regularly and carries out the answer.
package quorum

import (
	"slices"
	"strings"
	"time"
)

// ReplicaStatus is a host that has announced itself to the leader.
type ReplicaStatus struct {
	// ID names the replica on the host's disk.
	ID string
	// Address is the same for all replicas that a host has had.
	Address string
	Domain  string
	// SinceAnnouncement is the time since the last announcement.
	SinceAnnouncement time.Duration
	// Retiring hosts are to hold no state.
	Retiring bool
}

// Group is the membership in force.
type Group struct {
	Leader   string // the leader
	Voters   []string
	Learners []string
	// CaughtUp lists the learners that store every committed entry.
	CaughtUp []string
}

// Policy sets the goal.
type Policy struct {
	// Voters is the number of voters to keep: twice the number of disks that may be lost, plus
	// one.
	Voters int
	// UnavailableAfter is the silence after which a voter is replaced by a host of its domain, or of
	// one with fewer voters.
	UnavailableAfter time.Duration
	// ReplaceAnywhereAfter is the silence after which a voter is replaced by any host.
	ReplaceAnywhereAfter time.Duration
	// AddressOf returns the address of a replica by its id.
	AddressOf func(id string) string
}

// ActionKind is a kind of change.
type ActionKind int

// The changes.
const (
	None ActionKind = iota
	AddLearner
	Promote
	Remove
	// TransferLeadership hands the leadership over, because the leader is to be removed.
	TransferLeadership
)

func (k ActionKind) String() string {
	return [...]string{"none", "add learner", "promote", "remove", "transfer"}[k]
}

// Action is the next change, with its reason for the log.
type Action struct {
	Kind   ActionKind
	ID     string
	Reason string
}

type planner struct {
	p     Policy
	g     Group
	byID  map[string]ReplicaStatus
	cands []ReplicaStatus
}

// NextAction returns the next change, or None when the membership is as it should be or nothing can
// be done yet.
func NextAction(p Policy, g Group, candidates []ReplicaStatus) Action {
	pl := planner{p: p, g: g, byID: make(map[string]ReplicaStatus, len(candidates)), cands: candidates}
	for _, c := range candidates {
		pl.byID[c.ID] = c
	}
	for _, step := range []func() Action{pl.dropLearner, pl.shrink, pl.grow, pl.replace} {
		if a := step(); a.Kind != None {
			return a
		}
	}
	return Action{}
}

// live tells whether a replica has been heard of recently.
func (pl *planner) live(id string) bool {
	c, ok := pl.byID[id]
	return id == pl.g.Leader || ok && c.SinceAnnouncement < pl.p.UnavailableAfter
}

// superseded tells whether the host of a replica has announced a newer disk since the replica
// was last heard of.
func (pl *planner) superseded(id string) bool {
	old, known := pl.byID[id]
	for _, c := range pl.cands {
		if c.ID == id || c.Address != pl.p.AddressOf(id) || c.SinceAnnouncement >= pl.p.UnavailableAfter {
			continue
		}
		if !known || c.SinceAnnouncement < old.SinceAnnouncement {
			return true
		}
	}
	return false
}

// faulty returns why a voter should be replaced, or "".
func (pl *planner) faulty(id string) string {
	switch {
	case pl.byID[id].Retiring:
		return "retiring"
	case pl.superseded(id):
		return "disk lost"
	case !pl.live(id):
		return "silent"
	}
	return ""
}

// dropLearner removes learners that are of no use any more.
func (pl *planner) dropLearner() Action {
	for _, id := range pl.g.Learners {
		if reason := pl.faulty(id); reason != "" {
			return Action{Remove, id, "learner: " + reason}
		}
	}
	return Action{}
}

// shrink removes a voter when there are more than needed: a faulty one first, then one of the
// domain with the most voters.
func (pl *planner) shrink() Action {
	if len(pl.g.Voters) <= pl.p.Voters {
		return Action{}
	}
	id, reason := pl.worstVoter()
	if id == pl.g.Leader {
		return Action{TransferLeadership, id, reason}
	}
	return Action{Remove, id, reason}
}

// worstVoter returns the voter that the group misses least.
func (pl *planner) worstVoter() (id, reason string) {
	voters := slices.Sorted(slices.Values(pl.g.Voters))
	for _, v := range voters {
		if r := pl.faulty(v); r != "" {
			return v, r
		}
	}
	best := ""
	for _, v := range voters {
		if v == pl.g.Leader {
			continue
		}
		if best == "" || pl.votersIn(pl.domain(v)) > pl.votersIn(pl.domain(best)) {
			best = v
		}
	}
	return best, "surplus"
}

func (pl *planner) domain(id string) string { return pl.byID[id].Domain }

// votersIn counts the voters of a domain that are not faulty.
func (pl *planner) votersIn(domain string) int {
	n := 0
	for _, v := range pl.g.Voters {
		if pl.domain(v) == domain && pl.faulty(v) == "" {
			n++
		}
	}
	return n
}

// grow adds a voter when there are too few.
func (pl *planner) grow() Action {
	if len(pl.g.Voters) >= pl.p.Voters {
		return Action{}
	}
	return pl.bringIn("too few voters", func(ReplicaStatus) bool { return true })
}

// bringIn promotes a learner that has caught up, or adds the candidate whose domain has the
// fewest voters as a learner.
func (pl *planner) bringIn(reason string, allowed func(ReplicaStatus) bool) Action {
	for _, id := range pl.g.Learners {
		if c, ok := pl.byID[id]; ok && allowed(c) {
			if slices.Contains(pl.g.CaughtUp, id) {
				return Action{Promote, id, reason}
			}
			return Action{} // wait for it
		}
	}
	if c, ok := pl.bestCandidate(allowed); ok {
		return Action{AddLearner, c.ID, reason}
	}
	return Action{}
}

func (pl *planner) bestCandidate(allowed func(ReplicaStatus) bool) (ReplicaStatus, bool) {
	var fit []ReplicaStatus
	for _, c := range pl.cands {
		member := slices.Contains(pl.g.Voters, c.ID) || slices.Contains(pl.g.Learners, c.ID)
		if !member && !c.Retiring && c.SinceAnnouncement < pl.p.UnavailableAfter && allowed(c) {
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return ReplicaStatus{}, false
	}
	slices.SortFunc(fit, func(a, b ReplicaStatus) int {
		if d := pl.votersIn(a.Domain) - pl.votersIn(b.Domain); d != 0 {
			return d
		}
		return strings.Compare(a.ID, b.ID)
	})
	return fit[0], true
}

// replace exchanges a faulty voter, or one of a crowded domain, for a better one. The learner
// catches up first. A voter that still works is removed after the promotion, so that the group
// never has fewer working voters; one that is lost is removed before it.
func (pl *planner) replace() Action {
	for _, id := range slices.Sorted(slices.Values(pl.g.Voters)) {
		reason := pl.faulty(id)
		if reason == "" {
			continue
		}
		allowed := pl.replacementFor(id, reason)
		next := pl.bringIn(reason, allowed)
		if next.Kind == Promote && reason != "retiring" {
			return Action{Remove, id, reason}
		}
		if next.Kind != None {
			return next
		}
	}
	return pl.spread()
}

// replacementFor limits what may replace a voter. A host of a crowded domain replaces a silent
// one only when that is gone for long, because the loss of its domain would then cost the
// group its quorum.
func (pl *planner) replacementFor(id, reason string) func(ReplicaStatus) bool {
	address, domain := pl.p.AddressOf(id), pl.domain(id)
	return func(c ReplicaStatus) bool {
		switch {
		case reason == "disk lost" && c.Address == address:
			return true
		case c.Domain == domain, pl.votersIn(c.Domain) < (pl.p.Voters+1)/2-1, reason == "retiring":
			return true
		default:
			old, known := pl.byID[id]
			return !known || old.SinceAnnouncement >= pl.p.ReplaceAnywhereAfter
		}
	}
}

// spread exchanges a voter of a domain with several voters for a candidate of a domain that has
// at least two fewer.
func (pl *planner) spread() Action {
	crowded := ""
	for _, id := range slices.Sorted(slices.Values(pl.g.Voters)) {
		if id != pl.g.Leader && (crowded == "" || pl.votersIn(pl.domain(id)) > pl.votersIn(pl.domain(crowded))) {
			crowded = id
		}
	}
	if crowded == "" {
		return Action{}
	}
	n := pl.votersIn(pl.domain(crowded))
	return pl.bringIn("spread over failure domains", func(c ReplicaStatus) bool { return pl.votersIn(c.Domain) <= n-2 })
}
