package host

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/rpc"
)

// controlGroup is the name of the group that commits configurations.
const controlGroup = "control"

// domainGroup returns the name of the group of a failure domain.
func domainGroup(domain string) string { return "domain/" + domain }

// Times of the search for a group's leader.
const (
	// redirectPause separates two rounds over all voters, so that an election can finish.
	redirectPause = 50 * time.Millisecond
	// attemptTimeout bounds one call to a voter, so that a silent voter does not use up the
	// whole deadline of the caller.
	attemptTimeout = 2 * time.Second
	// groupTimeout bounds one command or query of a trainer or an operator, whose requests state
	// no deadline. It covers an election and stays below the command line's 15 s.
	groupTimeout = 10 * time.Second
)

// localGroup is the part of a group's replica that commands and queries need.
type localGroup interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Barrier(ctx context.Context) error
	IsLeader() bool
	Leader() (id string, term uint64, known bool)
}

// replica is this host's copy of a group. Query is serialized with the application of
// commands.
type replica struct {
	group localGroup
	query func(query []byte) []byte
}

// groups sends commands and queries to the leaders of groups, wherever they are.
type groups struct {
	self   string
	voters map[string][]string
	peer   func(host string) (rpc.PeerClient, error)

	mu      sync.Mutex
	local   map[string]replica
	leaders map[string]string
}

func newGroups(self string, voters map[string][]string, peer func(string) (rpc.PeerClient, error)) *groups {
	return &groups{
		self:    self,
		voters:  voters,
		peer:    peer,
		local:   make(map[string]replica),
		leaders: make(map[string]string),
	}
}

func (g *groups) addLocal(name string, r replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local[name] = r
}

func (g *groups) localReplica(name string) (replica, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.local[name]
	return r, ok
}

// Propose commits a command once. A failure with an unknown outcome is returned at once,
// because the command may have been committed.
func (g *groups) Propose(ctx context.Context, group string, command []byte) ([]byte, error) {
	return g.toLeader(ctx, group, false, func(ctx context.Context, host string) ([]byte, error) {
		return g.proposeAt(ctx, host, group, command)
	})
}

// ProposeIdempotent commits a command whose repetition has no further effect, and repeats
// it until its outcome is known or ctx ends.
func (g *groups) ProposeIdempotent(ctx context.Context, group string, command []byte) ([]byte, error) {
	return g.toLeader(ctx, group, true, func(ctx context.Context, host string) ([]byte, error) {
		return g.proposeAt(ctx, host, group, command)
	})
}

// Read answers a linearizable query.
func (g *groups) Read(ctx context.Context, group string, query []byte) ([]byte, error) {
	return g.toLeader(ctx, group, true, func(ctx context.Context, host string) ([]byte, error) {
		return g.readAt(ctx, host, group, query)
	})
}

func (g *groups) proposeAt(ctx context.Context, host, group string, command []byte) ([]byte, error) {
	if host == g.self {
		return g.proposeLocal(ctx, group, command)
	}
	peer, err := g.peer(host)
	if err != nil {
		return nil, err
	}
	reply, err := peer.Propose(ctx, &rpc.ProposeRequest{Group: group, Command: command})
	if err != nil {
		return nil, err
	}
	return reply.Result, nil
}

func (g *groups) readAt(ctx context.Context, host, group string, query []byte) ([]byte, error) {
	if host == g.self {
		return g.readLocal(ctx, group, query)
	}
	peer, err := g.peer(host)
	if err != nil {
		return nil, err
	}
	reply, err := peer.Read(ctx, &rpc.ReadRequest{Group: group, Query: query})
	if err != nil {
		return nil, err
	}
	return reply.Result, nil
}

func (g *groups) proposeLocal(ctx context.Context, group string, command []byte) ([]byte, error) {
	r, ok := g.localReplica(group)
	if !ok {
		return nil, &errs.NotLeader{Group: group}
	}
	return r.group.Propose(ctx, stampCommand(group, command))
}

func (g *groups) readLocal(ctx context.Context, group string, query []byte) ([]byte, error) {
	r, ok := g.localReplica(group)
	if !ok || !r.group.IsLeader() {
		return nil, &errs.NotLeader{Group: group, Leader: g.knownLeader(group)}
	}
	if err := r.group.Barrier(ctx); err != nil {
		return nil, err
	}
	return r.query(query), nil
}

// LeaderOf returns the host that last answered as the group's leader.
func (g *groups) LeaderOf(group string) string { return g.knownLeader(group) }

func (g *groups) knownLeader(group string) string {
	g.mu.Lock()
	r, isLocal := g.local[group]
	known := g.leaders[group]
	g.mu.Unlock()
	if isLocal {
		if id, _, ok := r.group.Leader(); ok {
			return id
		}
	}
	return known
}

func (g *groups) setLeader(group, host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaders[group] = host
}

// toLeader calls the group's leader: first the known one, then the voters in turn. When an
// earlier attempt of an idempotent command may have run, the final failure says so.
func (g *groups) toLeader(ctx context.Context, group string, idempotent bool, call leaderCall) ([]byte, error) {
	if len(g.voters[group]) == 0 {
		return nil, &errs.NotFound{Kind: "group", ID: group}
	}
	uncertain := false
	for {
		var last error
		for _, host := range g.candidates(group) {
			result, err := g.attempt(ctx, group, host, call)
			if err == nil {
				g.setLeader(group, host)
				return result, nil
			}
			last = err
			uncertain = uncertain || errs.OutcomeOf(err) != errs.NotRun
			if final(err, idempotent) {
				return nil, err
			}
		}
		select {
		case <-ctx.Done():
			if uncertain {
				return nil, &errs.Interrupted{Operation: "command to group " + group, Reason: last.Error()}
			}
			return nil, &errs.Unavailable{Resource: "group " + group, Reason: last.Error()}
		case <-time.After(redirectPause):
		}
	}
}

type leaderCall func(ctx context.Context, host string) ([]byte, error)

// attempt calls one host and remembers a redirection for the next attempt.
func (g *groups) attempt(ctx context.Context, group, host string, call leaderCall) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	result, err := call(callCtx, host)
	var redirect *errs.NotLeader
	if errors.As(err, &redirect) {
		g.setLeader(group, redirect.Leader)
	}
	return result, err
}

// final reports whether a failure must be returned to the caller instead of trying another
// voter.
func final(err error, idempotent bool) bool {
	switch errs.CodeOf(err) {
	case errs.CodeNotLeader, errs.CodeUnavailable, errs.CodeOverloaded, errs.CodeDeadline, errs.CodeInterrupted:
		return !idempotent && errs.OutcomeOf(err) != errs.NotRun
	default:
		return true
	}
}

// candidates returns the known leader and then all other voters.
func (g *groups) candidates(group string) []string {
	known := g.knownLeader(group)
	list := make([]string, 0, len(g.voters[group])+1)
	if known != "" {
		list = append(list, known)
	}
	for _, v := range g.voters[group] {
		if v != known {
			list = append(list, v)
		}
	}
	return list
}
