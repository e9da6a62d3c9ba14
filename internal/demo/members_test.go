package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/host"
	"fuchsiaflow/storage"
)

// changeTimeout bounds each wait of the tests below. It is far above the election timeout
// of the demo's 500 ms.
const changeTimeout = 20 * time.Second

// trio is a failure domain whose group has three voters; kolfe-1 alone votes in the control
// group.
type trio struct {
	*Cluster
	t   *testing.T
	dir string
}

func newTrio(t *testing.T) *trio {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), changeTimeout)
	defer cancel()
	c := &trio{t: t, dir: t.TempDir()}
	c.Cluster = newDomain(ctx, t, "kolfe", 3, c.dir)
	for _, s := range c.settings {
		s.Bootstrap = false
	}
	return c
}

// await repeats a condition until it holds.
func (c *trio) await(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(changeTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("not within %s: %s", changeTimeout, what)
		}
	}
}

// call sends one request to a host and returns the status, or 0 without an answer.
func (c *trio) call(timeout time.Duration, at, method, path, token string, body, out any) int {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), timeout)
	defer cancel()
	data, err := json.Marshal(body)
	must(c.t, err)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.settings[at].HTTP+path, bytes.NewReader(data))
	must(c.t, err)
	r.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if json.NewDecoder(response.Body).Decode(out) != nil {
		return 0
	}
	return response.StatusCode
}

func (c *trio) open(timeout time.Duration, at, step string) bool {
	c.t.Helper()
	request := api.OpenStepRequest{Step: step, Model: "sorter", Pool: "sorting", Groups: []api.Group{{Prompt: "p", Samples: 1, MaxTokens: 8}}}
	return c.call(timeout, at, http.MethodPost, "/v1/steps", TrainerToken, request, &struct{}{}) == http.StatusOK
}

// commit opens a step, repeating the request, and requires that it is acknowledged.
func (c *trio) commit(at, step string) {
	c.t.Helper()
	c.await("step "+step+" is acknowledged", func() bool { return c.open(changeTimeout, at, step) })
}

// member changes the membership and requires the resulting voters and learners. A change
// that was made before must be answered as repeated. Others may be: the host tries again
// when the leader's answer is lost.
func (c *trio) member(at, action, name string, repeated bool, voters, learners []string) {
	c.t.Helper()
	var reply api.MemberReply
	c.await(action+" "+name, func() bool {
		reply = api.MemberReply{}
		return c.call(changeTimeout, at, http.MethodPost, "/v1/groups/domain%2Fkolfe/members", OperatorToken,
			api.MemberRequest{Action: action, Host: name}, &reply) == http.StatusOK
	})
	if !slices.Equal(reply.Voters, voters) || !slices.Equal(reply.Learners, learners) || repeated && !reply.Repeated {
		c.t.Fatalf("%s %s: %+v, want voters %v, learners %v, repeated %t", action, name, reply, voters, learners, repeated)
	}
}

func (c *trio) replica(name string) host.GroupStatus {
	status, _ := c.Host(name).Status(c.t.Context())
	return status.(*host.Status).Groups["domain/kolfe"]
}

// Guards against a lost disk that cannot be replaced, a learner that counts for the quorum,
// and a loss of acknowledged steps when a second voter dies right after the repair.
func TestLostDiskIsReplaced(t *testing.T) {
	c := newTrio(t)
	c.commit("kolfe-1", "before")

	must(t, c.Kill(t.Context(), "kolfe-3"))
	must(t, os.RemoveAll(filepath.Join(c.dir, "kolfe-3")))
	var lost *storage.DiskLost
	if err := c.Start(t.Context(), "kolfe-3"); !errors.As(err, &lost) {
		t.Fatalf("start without the data: %v, want DiskLost", err)
	}
	// With join left set the empty folder is opened, and a peer must notice.
	c.settings["kolfe-3"].Join = true
	must(t, c.Start(t.Context(), "kolfe-3"))
	var refused *group.IdentityMismatch
	select {
	case err := <-c.Host("kolfe-3").Failed():
		if !errors.As(err, &refused) {
			t.Fatalf("start without the data and with join: %v, want IdentityMismatch", err)
		}
	case <-time.After(changeTimeout):
		t.Fatal("a voter without its data takes part")
	}
	must(t, c.Kill(t.Context(), "kolfe-3"))
	c.commit("kolfe-2", "degraded")

	must(t, c.Join("kolfe-4", "kolfe", c.dir))
	must(t, c.Start(t.Context(), "kolfe-4"))
	old := []string{"kolfe-1", "kolfe-2", "kolfe-3"}
	c.member("kolfe-4", api.AddMember, "kolfe-4", false, old, []string{"kolfe-4"})
	c.member("kolfe-2", api.AddMember, "kolfe-4", true, old, []string{"kolfe-4"})
	c.await("kolfe-4 has caught up", func() bool { return c.replica("kolfe-4").Commit >= max(1, c.replica("kolfe-1").Commit) })

	// One voter and the learner are no quorum of three voters. The leader stays, because the
	// other one could not be elected even if the learner's acknowledgements counted.
	leader, other := c.replica("kolfe-1").Leader, "kolfe-1"
	if leader == other {
		other = "kolfe-2"
	}
	must(t, c.Kill(t.Context(), other))
	if c.open(2*time.Second, leader, "minority") {
		t.Fatal("a step was acknowledged by one voter and a learner")
	}
	must(t, c.Start(t.Context(), other))
	c.commit("kolfe-2", "learner")

	all := []string{"kolfe-1", "kolfe-2", "kolfe-3", "kolfe-4"}
	left := []string{"kolfe-1", "kolfe-2", "kolfe-4"}
	c.member("kolfe-4", api.PromoteMember, "kolfe-4", false, all, []string{})
	c.member("kolfe-4", api.PromoteMember, "kolfe-4", true, all, []string{})
	c.member("kolfe-1", api.RemoveMember, "kolfe-3", false, left, []string{})
	c.member("kolfe-2", api.RemoveMember, "kolfe-3", true, left, []string{})
	c.commit("kolfe-1", "repaired")

	must(t, c.Kill(t.Context(), "kolfe-2"))
	c.commit("kolfe-4", "after")
	for _, step := range []string{"before", "degraded", "learner", "repaired", "after"} {
		for _, at := range []string{"kolfe-1", "kolfe-4"} {
			if status := c.call(changeTimeout, at, http.MethodGet, "/v1/steps/"+step, TrainerToken, nil, &struct{}{}); status != http.StatusOK {
				t.Errorf("step %s at %s: status %d", step, at, status)
			}
		}
	}
}

// Guards against a host that cannot find the leader when no voter of its settings is left,
// and against a leader that cannot be removed.
func TestLeaderIsFoundAfterAllVotersMoved(t *testing.T) {
	c := newTrio(t)
	c.commit("kolfe-1", "before")
	voters := []string{"kolfe-1", "kolfe-2", "kolfe-3"}
	for _, name := range []string{"kolfe-4", "kolfe-5", "kolfe-6"} {
		must(t, c.Join(name, "kolfe", c.dir))
		must(t, c.Start(t.Context(), name))
		old := voters[0]
		c.member(name, api.AddMember, name, false, voters, []string{name})
		voters = append(voters, name)
		c.member(name, api.PromoteMember, name, false, voters, []string{})
		voters = voters[1:]
		c.member(name, api.RemoveMember, old, false, voters, []string{})
		c.commit(name, "step-"+name)
	}
	// A host without a replica, whose groups name only the removed voters. One of its seeds
	// is alive, which joining the gossip needs.
	must(t, c.Join("kolfe-7", "kolfe", c.dir))
	s := c.settings["kolfe-7"]
	s.Join, s.DataDir, s.Groups.Domains = false, "", c.settings["kolfe-1"].Groups.Domains
	s.Hosts = append(slices.Clone(s.Hosts), c.settings["kolfe-4"].Self())
	for _, name := range []string{"kolfe-1", "kolfe-2", "kolfe-3"} {
		must(t, c.Kill(t.Context(), name))
	}
	must(t, c.Start(t.Context(), "kolfe-7"))
	c.await("kolfe-7 is ready", func() bool { ready, _ := c.Host("kolfe-7").Ready(); return ready })
	c.commit("kolfe-7", "moved")
}
