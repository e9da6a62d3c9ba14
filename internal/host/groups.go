package host

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/rpc"
)

// controlGroup is the name of the group that commits configurations.
const controlGroup = "control"

// domainGroup returns the name of the group of a failure domain.
func domainGroup(domain string) string { return domainPrefix + domain }

// domainPrefix precedes the failure domain in the name of its group.
const domainPrefix = "domain/"

// domainOf returns the failure domain of a domain group, and "" for the control group.
func domainOf(group string) string {
	domain, _ := strings.CutPrefix(group, domainPrefix)
	if domain == group {
		return ""
	}
	return domain
}

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

// fallbackHosts is how many hosts that the settings do not name as voters are asked in a
// round. Two reach all of the about 21 hosts of a failure domain in 11 rounds, and add less
// than the three voters do when the group has no leader.
const fallbackHosts = 2

// localGroup is the part of a group's replica that commands and queries need.
type localGroup interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Barrier(ctx context.Context) error
	IsLeader() bool
	Leader() (id string, term uint64, known bool)
	Status() consensus.Status
	ChangeMember(ctx context.Context, c consensus.ConfChange) error
	Transfer(ctx context.Context) error
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
	// live lists the live hosts of a failure domain, or of all for an empty domain.
	live func(domain string) []string

	mu      sync.Mutex
	local   map[string]replica
	leaders map[string]string
}

func newGroups(self string, voters map[string][]string, peer func(string) (rpc.PeerClient, error), live func(string) []string) *groups {
	return &groups{
		self:    self,
		voters:  voters,
		peer:    reachable(peer),
		live:    live,
		local:   make(map[string]replica),
		leaders: make(map[string]string),
	}
}

// reachable turns the failure for a host whose address is not known yet into one after which
// the search for a leader goes on: a redirect can arrive before the gossip about its host.
func reachable(peer func(string) (rpc.PeerClient, error)) func(string) (rpc.PeerClient, error) {
	return func(host string) (rpc.PeerClient, error) {
		client, err := peer(host)
		if errs.CodeOf(err) == errs.CodeNotFound {
			return nil, &errs.Unavailable{Resource: "host " + host, Reason: "its address is not known"}
		}
		return client, err
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
		return nil, g.elsewhere(group)
	}
	return r.group.Propose(ctx, stampCommand(group, command))
}

func (g *groups) readLocal(ctx context.Context, group string, query []byte) ([]byte, error) {
	r, ok := g.localReplica(group)
	if !ok || !r.group.IsLeader() {
		return nil, g.elsewhere(group)
	}
	if err := r.group.Barrier(ctx); err != nil {
		return nil, err
	}
	return r.query(query), nil
}

// elsewhere is the failure of a call that needs the group's leader; it names the leader that
// this host knows.
func (g *groups) elsewhere(group string) error {
	return &errs.NotLeader{Group: group, Leader: g.knownLeader(group)}
}

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

// forgetLeader drops the remembered leader if it is host.
func (g *groups) forgetLeader(group, host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaders[group] == host {
		delete(g.leaders, group)
	}
}

func (g *groups) setLeader(group, host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaders[group] = host
}

// toLeader calls the group's leader: first the known one, then the voters, and each host
// that one of them names as the leader. When all of them fail, a few other hosts are asked
// in each round, because the membership may have moved away from the settings. When an
// earlier attempt of an idempotent command may have run, the final failure says so.
func (g *groups) toLeader(ctx context.Context, group string, idempotent bool, call leaderCall) ([]byte, error) {
	if len(g.voters[group]) == 0 {
		return nil, &errs.NotFound{Kind: "group", ID: group}
	}
	uncertain := false
	for round := 0; ; round++ {
		var last error
		tried := make(map[string]bool)
		queue := g.candidates(group, round)
		for len(queue) > 0 {
			host := queue[0]
			queue = queue[1:]
			if tried[host] {
				continue
			}
			tried[host] = true
			result, redirect, err := g.attempt(ctx, group, host, call)
			if err == nil {
				g.setLeader(group, host)
				return result, nil
			}
			last = err
			uncertain = uncertain || errs.OutcomeOf(err) != errs.NotRun
			if final(err, idempotent) {
				return nil, err
			}
			// A removed replica may name a leader of the past; one that has failed in this
			// round is not remembered.
			if redirect != "" && !tried[redirect] {
				g.setLeader(group, redirect)
				queue = append([]string{redirect}, queue...)
			} else {
				g.forgetLeader(group, host)
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

// attempt calls one host. redirect is the leader that it names if it is not the leader.
func (g *groups) attempt(ctx context.Context, group, host string, call leaderCall) (result []byte, redirect string, err error) {
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	result, err = call(callCtx, host)
	var notLeader *errs.NotLeader
	if errors.As(err, &notLeader) {
		redirect = notLeader.Leader
	}
	return result, redirect, err
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

// candidates returns the hosts to ask in a round: the known leader, the voters that this
// host's own replica knows, the voters in the settings, and after the first round some
// other live hosts.
func (g *groups) candidates(group string, round int) []string {
	var list []string
	if known := g.knownLeader(group); known != "" {
		list = append(list, known)
	}
	if r, ok := g.localReplica(group); ok {
		list = append(list, r.group.Status().Voters...)
	}
	list = append(list, g.voters[group]...)
	if round > 0 {
		list = append(list, g.fallback(group, round-1, list)...)
	}
	return list
}

// fallback returns the hosts to ask in a round besides those in named. Each round takes the
// next ones. Voters of a domain group are in its failure domain; those of the control group
// are anywhere.
func (g *groups) fallback(group string, round int, named []string) []string {
	var others []string
	for _, host := range g.live(domainOf(group)) {
		if host != g.self && !slices.Contains(named, host) {
			others = append(others, host)
		}
	}
	if len(others) <= fallbackHosts {
		return others
	}
	chosen := make([]string, 0, fallbackHosts)
	for i := range fallbackHosts {
		chosen = append(chosen, others[(round*fallbackHosts+i)%len(others)])
	}
	return chosen
}
