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

// changeTimeout bounds each wait for a membership change or its effects. It is far above the
// demo's election timeout of 500 ms.
const changeTimeout = 20 * time.Second

// domainCluster is a cluster of the failure domain kolfe, whose group has three voters. Only kolfe-1
// votes in the control group.
type domainCluster struct {
	*Cluster
	t   *testing.T
	dir string
}

func newDomainCluster(t *testing.T) *domainCluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), changeTimeout)
	defer cancel()
	c := &domainCluster{t: t, dir: t.TempDir()}
	c.Cluster = startDomain(ctx, t, "kolfe", 3, c.dir)
	for _, s := range c.settings {
		s.Bootstrap = false
	}
	return c
}

// await polls condition until it returns true, and fails the test after changeTimeout.
func (c *domainCluster) await(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(changeTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("timed out after %s waiting until %s", changeTimeout, what)
		}
	}
}

// call sends a request to the host at and decodes the response into out. It returns the status,
// or 0 if there is no valid response.
func (c *domainCluster) call(timeout time.Duration, at, method, path, token string, body, out any) int {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.t.Context(), timeout)
	defer cancel()
	data, err := json.Marshal(body)
	mustSucceed(c.t, err)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.settings[at].HTTP+path, bytes.NewReader(data))
	mustSucceed(c.t, err)
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

// openStep reports whether the host at acknowledges a new step.
func (c *domainCluster) openStep(timeout time.Duration, at, step string) bool {
	c.t.Helper()
	request := api.OpenStepRequest{Step: step, Model: "sorter", Pool: "sorting", Groups: []api.Group{{Prompt: "p", Samples: 1, MaxTokens: 8}}}
	return c.call(timeout, at, http.MethodPost, "/v1/steps", TrainerToken, request, &struct{}{}) == http.StatusOK
}

// mustOpenStep repeats openStep until the step is acknowledged.
func (c *domainCluster) mustOpenStep(at, step string) {
	c.t.Helper()
	c.await("step "+step+" is acknowledged", func() bool { return c.openStep(changeTimeout, at, step) })
}

// changeMember changes the membership and checks the resulting voters and learners. If repeated
// is true, the response must be marked as repeated. Other responses may be marked too, because
// the host retries when the leader's answer is lost.
func (c *domainCluster) changeMember(at, action, name string, repeated bool, voters, learners []string) {
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

func (c *domainCluster) groupStatus(name string) host.GroupStatus {
	status, _ := c.Host(name).Status(c.t.Context())
	return status.(*host.Status).Groups["domain/kolfe"]
}

// Guards against a lost disk that cannot be replaced, a learner that counts towards the quorum,
// and the loss of acknowledged steps when a second voter is killed right after the replacement.
func TestLostDiskIsReplaced(t *testing.T) {
	c := newDomainCluster(t)
	c.mustOpenStep("kolfe-1", "before")

	mustSucceed(t, c.Kill(t.Context(), "kolfe-3"))
	mustSucceed(t, os.RemoveAll(filepath.Join(c.dir, "kolfe-3")))
	var lost *storage.DiskLost
	if err := c.Start(t.Context(), "kolfe-3"); !errors.As(err, &lost) {
		t.Fatalf("start without the data: %v, want DiskLost", err)
	}
	// With join set the empty data folder is opened, so a peer must refuse the host.
	c.settings["kolfe-3"].Join = true
	mustSucceed(t, c.Start(t.Context(), "kolfe-3"))
	var refused *group.IdentityMismatch
	select {
	case err := <-c.Host("kolfe-3").Failed():
		if !errors.As(err, &refused) {
			t.Fatalf("start without the data and with join: %v, want IdentityRefused", err)
		}
	case <-time.After(changeTimeout):
		t.Fatal("a voter without its data takes part in the group")
	}
	mustSucceed(t, c.Kill(t.Context(), "kolfe-3"))
	c.mustOpenStep("kolfe-2", "degraded")

	mustSucceed(t, c.AddJoiningHost("kolfe-4", "kolfe", c.dir))
	mustSucceed(t, c.Start(t.Context(), "kolfe-4"))
	old := []string{"kolfe-1", "kolfe-2", "kolfe-3"}
	c.changeMember("kolfe-4", api.AddMember, "kolfe-4", false, old, []string{"kolfe-4"})
	c.changeMember("kolfe-2", api.AddMember, "kolfe-4", true, old, []string{"kolfe-4"})
	c.await("kolfe-4 has caught up", func() bool { return c.groupStatus("kolfe-4").Commit >= max(1, c.groupStatus("kolfe-1").Commit) })

	// One voter and a learner are not a quorum of three voters. The voter to kill is not the
	// leader, because the remaining follower could not be elected even if the learner's
	// acknowledgements counted.
	leader, other := c.groupStatus("kolfe-1").Leader, "kolfe-1"
	if leader == other {
		other = "kolfe-2"
	}
	mustSucceed(t, c.Kill(t.Context(), other))
	if c.openStep(2*time.Second, leader, "minority") {
		t.Fatal("a step was acknowledged by one voter and a learner")
	}
	mustSucceed(t, c.Start(t.Context(), other))
	c.mustOpenStep("kolfe-2", "learner")

	all := []string{"kolfe-1", "kolfe-2", "kolfe-3", "kolfe-4"}
	left := []string{"kolfe-1", "kolfe-2", "kolfe-4"}
	c.changeMember("kolfe-4", api.PromoteMember, "kolfe-4", false, all, []string{})
	c.changeMember("kolfe-4", api.PromoteMember, "kolfe-4", true, all, []string{})
	c.changeMember("kolfe-1", api.RemoveMember, "kolfe-3", false, left, []string{})
	c.changeMember("kolfe-2", api.RemoveMember, "kolfe-3", true, left, []string{})
	c.mustOpenStep("kolfe-1", "repaired")

	mustSucceed(t, c.Kill(t.Context(), "kolfe-2"))
	c.mustOpenStep("kolfe-4", "after")
	for _, step := range []string{"before", "degraded", "learner", "repaired", "after"} {
		for _, at := range []string{"kolfe-1", "kolfe-4"} {
			if status := c.call(changeTimeout, at, http.MethodGet, "/v1/steps/"+step, TrainerToken, nil, &struct{}{}); status != http.StatusOK {
				t.Errorf("step %s at %s: status %d", step, at, status)
			}
		}
	}
}

// Guards against a host that cannot find the leader when all voters in its settings have been
// replaced, and against a leader that cannot be removed.
func TestLeaderIsFoundAfterAllVotersReplaced(t *testing.T) {
	c := newDomainCluster(t)
	c.mustOpenStep("kolfe-1", "before")
	voters := []string{"kolfe-1", "kolfe-2", "kolfe-3"}
	for _, name := range []string{"kolfe-4", "kolfe-5", "kolfe-6"} {
		mustSucceed(t, c.AddJoiningHost(name, "kolfe", c.dir))
		mustSucceed(t, c.Start(t.Context(), name))
		old := voters[0]
		c.changeMember(name, api.AddMember, name, false, voters, []string{name})
		voters = append(voters, name)
		c.changeMember(name, api.PromoteMember, name, false, voters, []string{})
		voters = voters[1:]
		c.changeMember(name, api.RemoveMember, old, false, voters, []string{})
		c.mustOpenStep(name, "step-"+name)
	}
	// kolfe-7 has no replica, and its groups list only the removed voters. One live seed is
	// needed to join the gossip.
	mustSucceed(t, c.AddJoiningHost("kolfe-7", "kolfe", c.dir))
	s := c.settings["kolfe-7"]
	s.Join, s.DataDir, s.Groups.Domains = false, "", c.settings["kolfe-1"].Groups.Domains
	s.Hosts = append(slices.Clone(s.Hosts), c.settings["kolfe-4"].Self())
	for _, name := range []string{"kolfe-1", "kolfe-2", "kolfe-3"} {
		mustSucceed(t, c.Kill(t.Context(), name))
	}
	mustSucceed(t, c.Start(t.Context(), "kolfe-7"))
	c.await("kolfe-7 is ready", func() bool { ready, _ := c.Host("kolfe-7").Ready(); return ready })
	c.mustOpenStep("kolfe-7", "moved")
}
