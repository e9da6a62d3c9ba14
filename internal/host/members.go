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
	// memberTimeout limits a membership change, including the search for the leader. It is below
	// the 15 s that the command line waits for an answer.
	memberTimeout = 10 * time.Second
	// maxMemberRetryTime limits how long the leader retries a change that it can't accept yet. It
	// is below attemptTimeout, so that the operator gets the reason for a refusal.
	maxMemberRetryTime = time.Second
	// memberRetryInterval is the delay between these retries.
	memberRetryInterval = 50 * time.Millisecond
)

var memberActions = map[string]consensus.ConfChangeType{
	api.AddMember: consensus.AddLearner, api.PromoteMember: consensus.Promote, api.RemoveMember: consensus.Remove,
}

// ChangeMember implements api.OperatorService. It sends the change to the leader of the group.
func (h *Host) ChangeMember(ctx context.Context, group string, r api.MemberRequest) (*api.MemberReply, error) {
	if r.Action == api.AddMember {
		if err := h.checkMemberDomain(group, r.Host); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	reply, err := h.groups.changeMember(ctx, &rpc.ChangeMemberRequest{Group: group, Action: r.Action, Host: r.Host})
	if err != nil {
		return nil, err
	}
	h.log.Info("group membership changed", "group", group, "action", r.Action, "member", r.Host, "repeated", reply.Repeated)
	return &api.MemberReply{
		Group: group, Voters: append([]string{}, reply.Voters...), Learners: append([]string{}, reply.Learners...),
		Repeated: reply.Repeated,
	}, nil
}

// checkMemberDomain returns an error if the host is known to be outside the failure domain of the
// group.
func (h *Host) checkMemberDomain(group, host string) error {
	for _, m := range h.members.Members() {
		if domain := domainOf(group); m.Host.ID == host && domain != "" && m.Host.Domain != domain {
			return &errs.Invalid{Path: "$.host", Want: "a host of failure domain " + domain, Got: host + " of " + m.Host.Domain}
		}
	}
	return nil
}

func (g *groupClient) changeMember(ctx context.Context, r *rpc.ChangeMemberRequest) (reply *rpc.ChangeMemberReply, err error) {
	_, err = g.callLeader(ctx, r.Group, true, func(ctx context.Context, host string) ([]byte, error) {
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

// changeLocal makes a change if this host is the leader. A change that is already in effect
// succeeds. A leader that is to be removed transfers its leadership and returns errs.NotLeader, so
// that the caller retries with the next leader.
func (g *groupClient) changeLocal(ctx context.Context, r *rpc.ChangeMemberRequest) (*rpc.ChangeMemberReply, error) {
	replica, ok := g.localReplica(r.Group)
	if !ok || !replica.group.IsLeader() {
		return nil, g.notLeaderError(r.Group)
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
	err := changeWithRetries(ctx, replica.group, change)
	var refused *consensus.ConfChangeRefused
	if errors.As(err, &refused) && refused.After == 0 {
		// The refusal is based on the committed membership. The barrier ensures that no other
		// leader has changed it since.
		if err := replica.group.Barrier(ctx); err != nil {
			return nil, err
		}
		if repeated = changeApplied(replica.group.Status(), change); repeated {
			err = nil
		}
	}
	if err != nil {
		return nil, err
	}
	s := replica.group.Status()
	return &rpc.ChangeMemberReply{Repeated: repeated, Voters: s.Voters, Learners: s.Learners}, nil
}

// stepDown transfers the leadership of a group away from this host. It returns errs.NotLeader on
// success.
func (g *groupClient) stepDown(ctx context.Context, name string, group consensusGroup) error {
	if len(group.Status().Voters) < 2 {
		return &errs.Conflict{Kind: "group", ID: name, Stored: "one voter", Received: "its removal"}
	}
	if err := group.TransferLeadership(ctx); err != nil {
		return err
	}
	return g.notLeaderError(name)
}

// changeWithRetries proposes a change until it is accepted or refused permanently, or until
// maxMemberRetryTime has passed.
func changeWithRetries(ctx context.Context, group consensusGroup, change consensus.ConfChange) error {
	timeout := time.After(maxMemberRetryTime)
	for {
		err := group.ChangeMember(ctx, change)
		var refused *consensus.ConfChangeRefused
		if !errors.As(err, &refused) || refused.After == 0 {
			return err
		}
		select {
		case <-timeout:
			return err
		case <-ctx.Done():
			return err
		case <-time.After(memberRetryInterval):
		}
	}
}

// changeApplied reports whether the change is already in effect.
func changeApplied(s consensus.Status, c consensus.ConfChange) bool {
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
