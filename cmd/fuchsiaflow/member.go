package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
)

// promoteRetryInterval is the time between two requests to promote a learner that has not caught up.
const promoteRetryInterval = 500 * time.Millisecond

type memberCommand struct {
	Add     memberAddCommand     `cmd:"" help:"Add a host to a group as a learner, which does not vote."`
	Promote memberPromoteCommand `cmd:"" help:"Make a learner a voter once it has caught up."`
	Remove  memberRemoveCommand  `cmd:"" help:"Remove a voter or a learner from a group."`
}

// memberFlags are the flags of all member commands.
type memberFlags struct {
	hostFlags
	Group string `required:"" help:"Name of the group: control or domain/NAME."`
	Name  string `arg:"" help:"Name of the host that is added, promoted or removed."`
}

type memberAddCommand struct{ memberFlags }

// Run adds a learner.
func (c *memberAddCommand) Run() error { return c.changeMembership(api.AddMember) }

type memberRemoveCommand struct{ memberFlags }

// Run removes a member.
func (c *memberRemoveCommand) Run() error { return c.changeMembership(api.RemoveMember) }

type memberPromoteCommand struct {
	memberFlags
	Wait time.Duration `default:"2m" help:"How long to wait until the learner has caught up."`
}

// Run repeats the request as long as the group answers with a conflict that may be resolved later.
func (c *memberPromoteCommand) Run() error {
	deadline := time.Now().Add(c.Wait)
	for {
		err := c.changeMembership(api.PromoteMember)
		if errs.CodeOf(err) != errs.CodeConflict || errs.RetryAfterOf(err) == 0 || time.Now().After(deadline) {
			return err
		}
		time.Sleep(promoteRetryInterval)
	}
}

// changeMembership sends a membership change and prints the resulting membership.
func (f *memberFlags) changeMembership(action string) error {
	body, err := json.Marshal(api.MemberRequest{Action: action, Host: f.Name})
	if err != nil {
		return &errs.Invalid{Path: "NAME", Want: "a host name", Got: f.Name}
	}
	var reply api.MemberReply
	if err := f.call(http.MethodPost, "/v1/groups/"+url.PathEscape(f.Group)+"/members", body, &reply); err != nil {
		return err
	}
	note := ""
	if reply.Repeated {
		note = " (it was so before)"
	}
	fmt.Printf("group %s: voters %s; learners %s%s\n", reply.Group, joinNames(reply.Voters), joinNames(reply.Learners), note)
	return nil
}

func joinNames(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
