package bootstrap

import (
	"slices"
	"strings"
	"time"
)

// candidateExpiry is the time without a request after which a seed no longer names a candidate.
const candidateExpiry = time.Second

// AcceptorState is the state of an acceptor that must survive a restart. An acceptor whose state is lost must not take part again.
type AcceptorState struct {
	// ID identifies the acceptor. It is drawn at random when the state is created.
	ID string `json:"id"`
	// Promised is the highest ballot that the acceptor has agreed to.
	Promised Ballot `json:"promised"`
	// Accepted is the ballot under which it last accepted a list, Voters.
	Accepted Ballot   `json:"accepted"`
	Voters   []string `json:"voters,omitempty"`
}

// Acceptor answers the requests of candidates on one host. It is not safe for concurrent use.
type Acceptor struct {
	state      *AcceptorState // nil if this host does not take part in the agreement
	decided    []string
	candidates map[string]heardCandidate // by ID
}

// heardCandidate is a candidate and the time of its last request.
type heardCandidate struct {
	Candidate
	at time.Time
}

// NewAcceptor returns an acceptor with the given state. Without a state it only names candidates and the decided list.
func NewAcceptor(state *AcceptorState) *Acceptor {
	return &Acceptor{state: state, candidates: make(map[string]heardCandidate)}
}

// State returns a copy of the state, or nil if this host takes no part.
func (a *Acceptor) State() *AcceptorState {
	if a.state == nil {
		return nil
	}
	s := *a.state
	return &s
}

// Learn records the decided list.
func (a *Acceptor) Learn(decided []string) {
	if len(a.decided) == 0 {
		a.decided = decided
	}
}

// Handle answers a request. stateChanged reports whether the state must become durable before the reply is sent.
func (a *Acceptor) Handle(now time.Time, r *Request) (reply Reply, stateChanged bool) {
	a.candidates[r.From.ID] = heardCandidate{r.From, now}
	a.Learn(r.Decided)
	if a.state != nil && r.Acceptor != "" && r.Acceptor != a.state.ID {
		a.state, stateChanged = nil, true // an earlier acceptor on this host has answered, and what it accepted is not known
	}
	if a.state != nil {
		reply.Granted, stateChanged = a.agree(r)
		reply.Acceptor, reply.Promised = a.state.ID, a.state.Promised
		reply.Accepted, reply.Voters = a.state.Accepted, a.state.Voters
	}
	reply.Candidates, reply.Decided = a.heard(now), a.decided
	return reply, stateChanged
}

// agree decides on a Prepare or an Accept.
func (a *Acceptor) agree(r *Request) (granted, changed bool) {
	if r.Kind == Probe || r.Ballot.compare(a.state.Promised) < 0 {
		return false, false
	}
	changed = r.Ballot != a.state.Promised
	a.state.Promised = r.Ballot
	if r.Kind == Accept {
		changed = changed || r.Ballot != a.state.Accepted
		a.state.Accepted, a.state.Voters = r.Ballot, r.Voters
	}
	return true, changed
}

// heard returns the candidates heard recently, sorted by ID.
func (a *Acceptor) heard(now time.Time) []Candidate {
	var list []Candidate
	for id, c := range a.candidates {
		if now.Sub(c.at) > candidateExpiry {
			delete(a.candidates, id)
			continue
		}
		list = append(list, c.Candidate)
	}
	slices.SortFunc(list, func(a, b Candidate) int { return strings.Compare(a.ID, b.ID) })
	return list
}
