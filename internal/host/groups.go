package host

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/leader"
	"fuchsiaflow/internal/rpc"
)

// controlGroup is the name of the consensus group that commits configurations.
const controlGroup = "control"

// domainGroup returns the name of the consensus group of a failure domain.
func domainGroup(domain string) string { return domainPrefix + domain }

// domainPrefix is the prefix of the names of domain groups.
const domainPrefix = "domain/"

// domainOf returns the failure domain of a domain group, and "" for the control group.
func domainOf(group string) string {
	domain, _ := strings.CutPrefix(group, domainPrefix)
	if domain == group {
		return ""
	}
	return domain
}

// Timeouts of calls to the leader of a group.
const (
	// attemptTimeout limits a single call to a voter, so that an unresponsive voter does not use
	// up the whole deadline of the caller.
	attemptTimeout = 2 * time.Second
	// groupTimeout limits one command or query of a trainer or an operator, whose requests have no
	// deadline. It is long enough for an election and below the 15 s of the command line.
	groupTimeout = 10 * time.Second
)

// fallbackHostsPerRound is the number of hosts asked in a round in addition to the configured
// voters. With 2, all of the about 21 hosts of a failure domain are asked within 11 rounds, and the
// added load is less than that of the three voters when the group has no leader.
const fallbackHostsPerRound = 2

// consensusGroup is the subset of group.Group that commands, queries and membership changes use.
type consensusGroup interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	Barrier(ctx context.Context) error
	IsLeader() bool
	Leader() (id string, term uint64, known bool)
	Status() consensus.Status
	ChangeMember(ctx context.Context, c consensus.ConfChange) error
	TransferLeadership(ctx context.Context) error
}

// replica is the local replica of a group. Calls of query are serialized with the application of
// commands.
type replica struct {
	group consensusGroup
	query func(query []byte) []byte
}

// groupClient sends commands and queries to the leaders of groups, on this host or another.
type groupClient struct {
	self   string
	voters map[string][]string
	peer   func(host string) (rpc.PeerClient, error)
	// liveHosts returns the live hosts of a failure domain, or of all failure domains if domain is
	// empty.
	liveHosts func(domain string) []string

	finder leader.Finder

	mu       sync.Mutex
	replicas map[string]replica
}

func newGroupClient(self string, voters map[string][]string, peer func(string) (rpc.PeerClient, error), live func(string) []string) *groupClient {
	g := &groupClient{
		self:      self,
		voters:    voters,
		peer:      unknownHostAsUnavailable(peer),
		liveHosts: live,
		replicas:  make(map[string]replica),
	}
	g.finder.KnownLeader = g.localLeader
	g.finder.Candidates = g.candidates
	g.finder.AttemptTimeout = attemptTimeout
	return g
}

// unknownHostAsUnavailable wraps peer so that the error for a host with an unknown address is
// errs.Unavailable. The search for a leader continues after that error: a redirect to a host can
// arrive before the membership knows the host.
func unknownHostAsUnavailable(peer func(string) (rpc.PeerClient, error)) func(string) (rpc.PeerClient, error) {
	return func(host string) (rpc.PeerClient, error) {
		client, err := peer(host)
		if errs.CodeOf(err) == errs.CodeNotFound {
			return nil, &errs.Unavailable{Resource: "host " + host, Reason: "its address is not known"}
		}
		return client, err
	}
}

func (g *groupClient) addLocal(name string, r replica) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replicas[name] = r
}

func (g *groupClient) localReplica(name string) (replica, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.replicas[name]
	return r, ok
}

// Propose commits a command at most once. An error with an unknown outcome is returned without a
// retry, because the command may have been committed.
func (g *groupClient) Propose(ctx context.Context, group string, command []byte) ([]byte, error) {
	return g.callLeader(ctx, group, false, func(ctx context.Context, host string) ([]byte, error) {
		return g.proposeTo(ctx, host, group, command)
	})
}

// ProposeIdempotent commits an idempotent command. It retries until the outcome is known or ctx
// ends.
func (g *groupClient) ProposeIdempotent(ctx context.Context, group string, command []byte) ([]byte, error) {
	return g.callLeader(ctx, group, true, func(ctx context.Context, host string) ([]byte, error) {
		return g.proposeTo(ctx, host, group, command)
	})
}

// Read runs a linearizable query.
func (g *groupClient) Read(ctx context.Context, group string, query []byte) ([]byte, error) {
	return g.callLeader(ctx, group, true, func(ctx context.Context, host string) ([]byte, error) {
		return g.readFrom(ctx, host, group, query)
	})
}

func (g *groupClient) proposeTo(ctx context.Context, host, group string, command []byte) ([]byte, error) {
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

func (g *groupClient) readFrom(ctx context.Context, host, group string, query []byte) ([]byte, error) {
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

func (g *groupClient) proposeLocal(ctx context.Context, group string, command []byte) ([]byte, error) {
	r, ok := g.localReplica(group)
	if !ok {
		return nil, g.notLeaderError(group)
	}
	return r.group.Propose(ctx, stampCommand(group, command))
}

func (g *groupClient) readLocal(ctx context.Context, group string, query []byte) ([]byte, error) {
	r, ok := g.localReplica(group)
	if !ok || !r.group.IsLeader() {
		return nil, g.notLeaderError(group)
	}
	if err := r.group.Barrier(ctx); err != nil {
		return nil, err
	}
	return r.query(query), nil
}

// notLeaderError returns the error for a call that this host can't serve because it is not the
// leader of the group. The error names the leader that this host knows.
func (g *groupClient) notLeaderError(group string) error {
	return &errs.NotLeader{Group: group, Leader: g.knownLeader(group)}
}

// knownLeader returns the leader of a group as far as this host knows, or "".
func (g *groupClient) knownLeader(group string) string { return g.finder.Leader(group) }

// localLeader returns the leader that the local replica knows, or "".
func (g *groupClient) localLeader(group string) string {
	r, ok := g.localReplica(group)
	if !ok {
		return ""
	}
	id, _, _ := r.group.Leader()
	return id
}

// callLeader calls the leader of a group; see leader.Finder. After the first round it also asks
// hosts that are not configured as voters, because the membership of the group may have changed.
func (g *groupClient) callLeader(ctx context.Context, group string, idempotent bool, call leader.Call) ([]byte, error) {
	if len(g.voters[group]) == 0 {
		return nil, &errs.NotFound{Kind: "group", ID: group}
	}
	return g.finder.Do(ctx, group, idempotent, call)
}

// candidates returns the hosts to ask in a round besides the known leader: the voters known to the
// local replica, the voters in the settings and, after the first round, some other live hosts.
func (g *groupClient) candidates(group string, round int) []string {
	var list []string
	if r, ok := g.localReplica(group); ok {
		list = append(list, r.group.Status().Voters...)
	}
	list = append(list, g.voters[group]...)
	if round > 0 {
		list = append(list, g.fallbackCandidates(group, round-1, list)...)
	}
	return list
}

// fallbackCandidates returns the live hosts to ask in a round besides those in voters, taking the
// next ones in each round. The voters of a domain group are in its failure domain; those of the
// control group may be in any.
func (g *groupClient) fallbackCandidates(group string, round int, voters []string) []string {
	var others []string
	for _, host := range g.liveHosts(domainOf(group)) {
		if host != g.self && !slices.Contains(voters, host) {
			others = append(others, host)
		}
	}
	if len(others) <= fallbackHostsPerRound {
		return others
	}
	chosen := make([]string, 0, fallbackHostsPerRound)
	for i := range fallbackHostsPerRound {
		chosen = append(chosen, others[(round*fallbackHostsPerRound+i)%len(others)])
	}
	return chosen
}
