package quorum

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// addressOf returns the part of a replica ID before "~"; the rest numbers the disks of the host.
func addressOf(id string) string { address, _, _ := strings.Cut(id, "~"); return address }

func newPolicy(voters int) Policy {
	return Policy{Voters: voters, UnavailableAfter: 1500 * time.Millisecond, ReplaceAnywhereAfter: 8 * time.Second, AddressOf: addressOf}
}

func newCandidate(id, domain string, silence time.Duration) ReplicaStatus {
	return ReplicaStatus{ID: id, Address: addressOf(id), Domain: domain, SinceAnnouncement: silence}
}

// membershipSimulation is a group in which changes take effect and learners catch up immediately.
type membershipSimulation struct {
	group      Group
	candidates []ReplicaStatus
}

// applyUntilStable applies changes until there is none left, and returns the changes applied.
func (s *membershipSimulation) applyUntilStable(t interface{ Fatalf(string, ...any) }, p Policy) []string {
	var applied []string
	for range 60 {
		s.group.CaughtUp = s.group.Learners
		a := NextAction(p, s.group, s.candidates)
		if a.Kind == None {
			return applied
		}
		applied = append(applied, a.Kind.String()+" "+a.ID)
		without := func(list []string) []string {
			return slices.DeleteFunc(slices.Clone(list), func(id string) bool { return id == a.ID })
		}
		switch a.Kind {
		case AddLearner:
			s.group.Learners = append(slices.Clone(s.group.Learners), a.ID)
		case Promote:
			s.group.Learners = without(s.group.Learners)
			s.group.Voters = append(slices.Clone(s.group.Voters), a.ID)
		case Remove:
			s.group.Voters, s.group.Learners = without(s.group.Voters), without(s.group.Learners)
		case TransferLeadership:
			// An unavailable host cannot become leader.
			for _, c := range s.candidates {
				if slices.Contains(s.group.Voters, c.ID) && c.ID != s.group.Leader && c.SinceAnnouncement < p.UnavailableAfter {
					s.group.Leader = c.ID
					break
				}
			}
		}
	}
	t.Fatalf("membership does not converge, changes: %v", applied)
	return nil
}

func newThreeVoterSimulation() *membershipSimulation {
	return &membershipSimulation{group: Group{Leader: "a~1", Voters: []string{"a~1", "b~1", "c~1"}},
		candidates: []ReplicaStatus{newCandidate("a~1", "A", 0), newCandidate("b~1", "B", 0), newCandidate("c~1", "C", 0)}}
}

// Guards against a host with a new disk that does not become a voter again, and against its lost
// replica that remains a voter.
func TestReplicaWithLostDiskIsReplacedOnSameHost(t *testing.T) {
	s := newThreeVoterSimulation()
	s.candidates[2].SinceAnnouncement = 700 * time.Millisecond
	s.candidates = append(s.candidates, newCandidate("c~2", "C", 0))
	got := s.applyUntilStable(t, newPolicy(3))
	if want := []string{"add learner c~2", "remove c~1", "promote c~2"}; !slices.Equal(got, want) {
		t.Errorf("changes %v, want %v", got, want)
	}
}

// Guards against a host that keeps its replica while it is decommissioned, whether it is the
// leader or not.
func TestRetiringHostIsReplaced(t *testing.T) {
	for _, retiring := range []int{0, 2} {
		s := newThreeVoterSimulation()
		s.candidates[retiring].Retiring = true
		s.candidates = append(s.candidates, newCandidate("d~1", "C", 0))
		s.applyUntilStable(t, newPolicy(3))
		if slices.Contains(s.group.Voters, s.candidates[retiring].ID) || len(s.group.Voters) != 3 {
			t.Errorf("voters %v after the decommissioning of %s", s.group.Voters, s.candidates[retiring].ID)
		}
	}
}

// Guards against two voters in one failure domain while a host of another domain is available: the
// loss of the first domain would cost the quorum.
func TestVotersAreBalancedAcrossDomains(t *testing.T) {
	s := &membershipSimulation{group: Group{Leader: "a~1", Voters: []string{"a~1", "a2~1", "b~1"}},
		candidates: []ReplicaStatus{newCandidate("a~1", "A", 0), newCandidate("a2~1", "A", 0), newCandidate("b~1", "B", 0), newCandidate("c~1", "C", 0)}}
	s.applyUntilStable(t, newPolicy(3))
	if !slices.Contains(s.group.Voters, "c~1") || len(s.group.Voters) != 3 {
		t.Errorf("voters %v", s.group.Voters)
	}
}

// Guards against a briefly unavailable voter that is replaced by a host of a domain that already
// has a voter, and against one that is not replaced after a long time.
func TestBriefSilenceDoesNotUnbalanceDomains(t *testing.T) {
	s := newThreeVoterSimulation()
	s.candidates[2].SinceAnnouncement = 3 * time.Second
	s.candidates = append(s.candidates, newCandidate("a2~1", "A", 0))
	if got := s.applyUntilStable(t, newPolicy(3)); len(got) != 0 {
		t.Errorf("changes %v after 3 s of silence", got)
	}
	s.candidates[2].SinceAnnouncement = 9 * time.Second
	s.applyUntilStable(t, newPolicy(3))
	if !slices.Contains(s.group.Voters, "a2~1") {
		t.Errorf("voters %v after 9 s of silence", s.group.Voters)
	}
}

// Guards against endless membership changes, too many voters, and a voter that stays in the group
// after long unavailability while enough usable hosts exist.
func TestMembershipConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPolicy(rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters"))
		hosts := rapid.IntRange(p.Voters, p.Voters+4).Draw(t, "hosts")
		s := &membershipSimulation{}
		for i := range hosts {
			id := fmt.Sprintf("h%d~1", i)
			c := newCandidate(id, fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain")), 0)
			if i > 0 && rapid.IntRange(0, 3).Draw(t, "state") == 0 {
				c.SinceAnnouncement = rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, time.Minute}).Draw(t, "silence")
			}
			c.Retiring = rapid.IntRange(0, 5).Draw(t, "retiring") == 0
			s.candidates = append(s.candidates, c)
			if i < p.Voters {
				s.group.Voters = append(s.group.Voters, id)
			}
		}
		s.group.Leader = "h0~1"
		s.applyUntilStable(t, p)
		usable := 0
		for _, c := range s.candidates {
			if !c.Retiring && c.SinceAnnouncement < p.UnavailableAfter {
				usable++
			}
		}
		if len(s.group.Voters) > p.Voters && usable >= p.Voters {
			t.Errorf("%d voters, want %d", len(s.group.Voters), p.Voters)
		}
		for _, v := range s.group.Voters {
			gone := slices.ContainsFunc(s.candidates, func(c ReplicaStatus) bool { return c.ID == v && c.SinceAnnouncement >= p.ReplaceAnywhereAfter })
			if gone && usable >= p.Voters {
				t.Errorf("voter %s is gone while %d hosts are usable: %v", v, usable, s.group.Voters)
			}
		}
	})
}
