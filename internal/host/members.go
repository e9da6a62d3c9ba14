package host

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/rpc"
)

const (
	// memberTimeout bounds a membership change with the search for the leader. It is below
	// the 15 s that the command line waits for an answer.
	memberTimeout = 10 * time.Second
	// memberWait is how long the leader repeats a change that it can accept only later. It is
	// below attemptTimeout, so that the reason reaches the operator.
	memberWait = time.Second
	// memberPause separates two attempts of the leader.
	memberPause = 50 * time.Millisecond
)

var memberActions = map[string]consensus.ConfChangeType{
	api.AddMember: consensus.AddLearner, api.PromoteMember: consensus.Promote, api.RemoveMember: consensus.Remove,
}

// ChangeMember implements api.Operator. The change is made by the group's leader, wherever
// it is.
func (h *Host) ChangeMember(ctx context.Context, group string, r api.MemberRequest) (*api.MemberReply, error) {
	if r.Action == api.AddMember {
		if err := h.checkJoining(group, r.Host); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	reply, err := h.groups.changeMember(ctx, &rpc.ChangeMemberRequest{Group: group, Action: r.Action, Host: r.Host})
	if err != nil {
		return nil, err
	}
	h.log.Info("group membership is changed", "group", group, "action", r.Action, "member", r.Host, "repeated", reply.Repeated)
	return &api.MemberReply{
		Group: group, Voters: append([]string{}, reply.Voters...), Learners: append([]string{}, reply.Learners...),
		Repeated: reply.Repeated,
	}, nil
}

// checkJoining refuses a host that is known to be outside the failure domain of the group.
func (h *Host) checkJoining(group, host string) error {
	for _, m := range h.members.Members() {
		if domain := domainOf(group); m.Host.ID == host && domain != "" && m.Host.Domain != domain {
			return &errs.Invalid{Path: "$.host", Want: "a host of failure domain " + domain, Got: host + " of " + m.Host.Domain}
		}
	}
	return nil
}

func (g *groups) changeMember(ctx context.Context, r *rpc.ChangeMemberRequest) (reply *rpc.ChangeMemberReply, err error) {
	_, err = g.toLeader(ctx, r.Group, true, func(ctx context.Context, host string) ([]byte, error) {
		var err error
		if host == g.self {
			reply, err = g.changeLocal(ctx, r)
			return nil, err
		}
		peer, err := g.peer(host)
		if err != nil {
			return nil, err
		}
		reply, err = peer.ChangeMember(ctx, r)
		return nil, err
	})
	return reply, err
}

// changeLocal makes a change on the leader. A change that is in force already succeeds. A
// leader that is to be removed hands over its leadership first, and the caller tries the
// next one.
func (g *groups) changeLocal(ctx context.Context, r *rpc.ChangeMemberRequest) (*rpc.ChangeMemberReply, error) {
	replica, ok := g.localReplica(r.Group)
	if !ok || !replica.group.IsLeader() {
		return nil, g.elsewhere(r.Group)
	}
	kind, ok := memberActions[r.Action]
	if !ok {
		return nil, &errs.Invalid{Path: "action", Want: "one of add, promote, remove", Got: r.Action}
	}
	change := consensus.ConfChange{Type: kind, ID: r.Host}
	if change.Type == consensus.Remove && r.Host == g.self {
		return nil, g.stepDown(ctx, r.Group, replica.group)
	}
	repeated := false
	err := changeWithin(ctx, replica.group, change)
	var refused *consensus.ConfChangeRefused
	if errors.As(err, &refused) && refused.After == 0 {
		// The refusal came from the committed membership. The barrier shows that no other
		// leader has changed it since.
		if err := replica.group.Barrier(ctx); err != nil {
			return nil, err
		}
		if repeated = inForce(replica.group.Status(), change); repeated {
			err = nil
		}
	}
	if err != nil {
		return nil, err
	}
	s := replica.group.Status()
	return &rpc.ChangeMemberReply{Repeated: repeated, Voters: s.Voters, Learners: s.Learners}, nil
}

func (g *groups) stepDown(ctx context.Context, name string, group localGroup) error {
	if len(group.Status().Voters) < 2 {
		return &errs.Conflict{Kind: "group", ID: name, Have: "one voter", Got: "its removal"}
	}
	if err := group.TransferLeadership(ctx); err != nil {
		return err
	}
	return g.elsewhere(name)
}

// changeWithin proposes a change until it is accepted, refused for good, or memberWait is
// over.
func changeWithin(ctx context.Context, group localGroup, change consensus.ConfChange) error {
	over := time.After(memberWait)
	for {
		err := group.ChangeMember(ctx, change)
		var refused *consensus.ConfChangeRefused
		if !errors.As(err, &refused) || refused.After == 0 {
			return err
		}
		select {
		case <-over:
			return err
		case <-ctx.Done():
			return err
		case <-time.After(memberPause):
		}
	}
}

// inForce reports whether the membership is what the change asks for.
func inForce(s consensus.Status, c consensus.ConfChange) bool {
	voter, learner := slices.Contains(s.Voters, c.ID), slices.Contains(s.Learners, c.ID)
	switch c.Type {
	case consensus.AddLearner:
		return voter || learner
	case consensus.Promote:
		return voter
	default:
		return !voter && !learner
	}
}
