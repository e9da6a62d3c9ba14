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
	TransferLeadership(ctx context.Context) error
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

	finder leader.Finder

	mu    sync.Mutex
	local map[string]replica
}

func newGroups(self string, voters map[string][]string, peer func(string) (rpc.PeerClient, error), live func(string) []string) *groups {
	g := &groups{
		self:   self,
		voters: voters,
		peer:   reachable(peer),
		live:   live,
		local:  make(map[string]replica),
	}
	g.finder.KnownLeader = g.localLeader
	g.finder.Candidates = g.candidates
	g.finder.AttemptTimeout = attemptTimeout
	return g
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

// knownLeader returns the leader that this host knows, or "".
func (g *groups) knownLeader(group string) string { return g.finder.Leader(group) }

// localLeader returns the leader that this host's own replica knows, or "".
func (g *groups) localLeader(group string) string {
	r, ok := g.localReplica(group)
	if !ok {
		return ""
	}
	id, _, _ := r.group.Leader()
	return id
}

// toLeader calls the group's leader; see leader.Finder. After the first round some hosts that
// the settings do not name are asked too, because the membership may have moved.
func (g *groups) toLeader(ctx context.Context, group string, idempotent bool, call leader.Call) ([]byte, error) {
	if len(g.voters[group]) == 0 {
		return nil, &errs.NotFound{Kind: "group", ID: group}
	}
	return g.finder.Do(ctx, group, idempotent, call)
}

// candidates returns the hosts to ask in a round besides the known leader: the voters that
// this host's own replica knows, the voters in the settings, and after the first round some
// other live hosts.
func (g *groups) candidates(group string, round int) []string {
	var list []string
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
