package quorum

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func addressOf(id string) string { a, _, _ := strings.Cut(id, "~"); return a }

func policy(voters int) Policy {
	return Policy{Voters: voters, UnavailableAfter: 1500 * time.Millisecond, ReplaceAnywhereAfter: 8 * time.Second, AddressOf: addressOf}
}

func candidate(id, domain string, silence time.Duration) ReplicaStatus {
	return ReplicaStatus{ID: id, Address: addressOf(id), Domain: domain, SinceAnnouncement: silence}
}

// world is a group whose changes take effect at once and whose learners catch up at once.
type world struct {
	group Group
	cands []ReplicaStatus
}

// settle carries out changes until none is left and returns them.
func (w *world) settle(t interface{ Fatalf(string, ...any) }, p Policy) []string {
	var done []string
	for range 60 {
		w.group.CaughtUp = w.group.Learners
		a := NextAction(p, w.group, w.cands)
		if a.Kind == None {
			return done
		}
		done = append(done, a.Kind.String()+" "+a.ID)
		drop := func(list []string) []string {
			return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == a.ID })
		}
		switch a.Kind {
		case AddLearner:
			w.group.Learners = append(slices.Clone(w.group.Learners), a.ID)
		case Promote:
			w.group.Learners = drop(w.group.Learners)
			w.group.Voters = append(slices.Clone(w.group.Voters), a.ID)
		case Remove:
			w.group.Voters, w.group.Learners = drop(w.group.Voters), drop(w.group.Learners)
		case TransferLeadership:
			// A host that is silent does not take the leadership over.
			for _, c := range w.cands {
				if slices.Contains(w.group.Voters, c.ID) && c.ID != w.group.Leader && c.SinceAnnouncement < p.UnavailableAfter {
					w.group.Leader = c.ID
					break
				}
			}
		}
	}
	t.Fatalf("the membership does not settle: %v", done)
	return nil
}

func three() *world {
	return &world{group: Group{Leader: "a~1", Voters: []string{"a~1", "b~1", "c~1"}},
		cands: []ReplicaStatus{candidate("a~1", "A", 0), candidate("b~1", "B", 0), candidate("c~1", "C", 0)}}
}

// Guards against a host with an empty disk that is not made a voter again, and against its lost
// replica that stays one.
func TestLostDiskIsReplacedByTheSameHost(t *testing.T) {
	w := three()
	w.cands[2].SinceAnnouncement = 700 * time.Millisecond
	w.cands = append(w.cands, candidate("c~2", "C", 0))
	got := w.settle(t, policy(3))
	if want := []string{"add learner c~2", "remove c~1", "promote c~2"}; !slices.Equal(got, want) {
		t.Errorf("changes %v, want %v", got, want)
	}
}

// Guards against a host that is to be emptied and keeps its replica, also when it leads.
func TestRetiringHostIsReplaced(t *testing.T) {
	for _, retiring := range []int{0, 2} {
		w := three()
		w.cands[retiring].Retiring = true
		w.cands = append(w.cands, candidate("d~1", "C", 0))
		w.settle(t, policy(3))
		if slices.Contains(w.group.Voters, w.cands[retiring].ID) || len(w.group.Voters) != 3 {
			t.Errorf("voters %v after %s retired", w.group.Voters, w.cands[retiring].ID)
		}
	}
}

// Guards against two voters in one failure domain while a host of another is available, so that
// the loss of a domain would cost the quorum.
func TestVotersAreSpread(t *testing.T) {
	w := &world{group: Group{Leader: "a~1", Voters: []string{"a~1", "a2~1", "b~1"}},
		cands: []ReplicaStatus{candidate("a~1", "A", 0), candidate("a2~1", "A", 0), candidate("b~1", "B", 0), candidate("c~1", "C", 0)}}
	w.settle(t, policy(3))
	if !slices.Contains(w.group.Voters, "c~1") || len(w.group.Voters) != 3 {
		t.Errorf("voters %v", w.group.Voters)
	}
}

// Guards against a voter that is silent for a moment and is replaced by a host of a domain that
// has enough voters.
func TestShortSilenceDoesNotCrowdADomain(t *testing.T) {
	w := three()
	w.cands[2].SinceAnnouncement = 3 * time.Second
	w.cands = append(w.cands, candidate("a2~1", "A", 0))
	if got := w.settle(t, policy(3)); len(got) != 0 {
		t.Errorf("changes %v after 3 s of silence", got)
	}
	w.cands[2].SinceAnnouncement = 9 * time.Second
	w.settle(t, policy(3))
	if !slices.Contains(w.group.Voters, "a2~1") {
		t.Errorf("voters %v after 9 s of silence", w.group.Voters)
	}
}

// Guards against endless changes, against too few or too many voters, and against a silent voter
// beside an unused live host, in any situation.
func TestMembershipSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := policy(rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters"))
		n := rapid.IntRange(p.Voters, p.Voters+4).Draw(t, "hosts")
		w := &world{}
		for i := range n {
			id := fmt.Sprintf("h%d~1", i)
			c := candidate(id, fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain")), 0)
			if i > 0 && rapid.IntRange(0, 3).Draw(t, "state") == 0 {
				c.SinceAnnouncement = rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, time.Minute}).Draw(t, "silence")
			}
			c.Retiring = rapid.IntRange(0, 5).Draw(t, "retiring") == 0
			w.cands = append(w.cands, c)
			if i < p.Voters {
				w.group.Voters = append(w.group.Voters, id)
			}
		}
		w.group.Leader = "h0~1"
		w.settle(t, p)
		usable := 0
		for _, c := range w.cands {
			if !c.Retiring && c.SinceAnnouncement < p.UnavailableAfter {
				usable++
			}
		}
		if len(w.group.Voters) > p.Voters && usable >= p.Voters {
			t.Errorf("%d voters, %d wanted", len(w.group.Voters), p.Voters)
		}
		for _, v := range w.group.Voters {
			gone := slices.ContainsFunc(w.cands, func(c ReplicaStatus) bool { return c.ID == v && c.SinceAnnouncement >= p.ReplaceAnywhereAfter })
			if gone && usable >= p.Voters {
				t.Errorf("voter %s is gone while %d hosts are usable: %v", v, usable, w.group.Voters)
			}
		}
	})
}
