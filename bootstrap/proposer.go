package bootstrap

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Times of a proposer, counted from its start unless stated otherwise.
const (
	// completeListWait is how long a proposer waits until all seeds have answered and a list is complete. The hosts of a system
	// start within a few hundred milliseconds of each other.
	completeListWait = 700 * time.Millisecond
	// shortListWait is the time after which a proposer is content with Policy.minVoters.
	shortListWait = 1200 * time.Millisecond
	// replyExpiry is the time after which the candidates of a reply no longer count.
	replyExpiry = time.Second
	// rankDelay is the delay between the candidates that could propose, so that usually only the first does.
	rankDelay = 300 * time.Millisecond
	// ballotTimeout is the time after which a ballot without a majority is given up.
	ballotTimeout = 500 * time.Millisecond
	// maxBackoff is the longest delay before the next ballot.
	maxBackoff = 300 * time.Millisecond
)

// Options configures a Proposer. All fields are required.
type Options struct {
	Self Candidate
	// Start identifies the start of this process.
	Start string
	// Seeds are the addresses of all seeds, without duplicates.
	Seeds  []string
	Policy Policy
	Rand   *rand.Rand
}

// phase is what a proposer does at the moment.
type phase uint8

const (
	probing phase = iota
	preparing
	accepting
	finished
)

func (p phase) String() string {
	return [...]string{"probing", "preparing", "accepting", "finished"}[p]
}

// Proposer is the part of a candidate that finds the other candidates, proposes a list of voters and learns which list is decided.
// The caller calls Tick regularly, sends what Request returns to each seed again and again, and passes the replies to Handle. It
// is not safe for concurrent use.
type Proposer struct {
	opt     Options
	started time.Time
	seeds   map[string]*seedState

	phase    phase
	ballot   Ballot
	voters   []string // proposed under ballot
	granted  map[string]Reply
	round    uint64    // highest round known
	accepted bool      // an acceptor has accepted a list, which may be decided
	eligible time.Time // when this candidate could propose for the first time; zero before
	deadline time.Time // of ballot
	retryAt  time.Time // earliest time of the next ballot
	decided  []string
}

// seedState is what a proposer knows of a seed.
type seedState struct {
	answered time.Time // of the last reply; zero if there was none
	// acceptor is the identity of the first acceptor that answered there.
	acceptor string
	// excluded is set if another acceptor answered later.
	excluded   bool
	candidates []Candidate
}

// NewProposer returns a proposer that starts at now.
func NewProposer(o Options, now time.Time) *Proposer {
	p := &Proposer{opt: o, started: now, seeds: make(map[string]*seedState)}
	for _, s := range o.Seeds {
		p.seeds[s] = &seedState{}
	}
	return p
}

// Decided returns the decided list of voters, or nil as long as it is not known.
func (p *Proposer) Decided() []string { return p.decided }

// Learn ends the proposer with a list that is known to be decided.
func (p *Proposer) Learn(decided []string) {
	if len(p.decided) == 0 && len(decided) > 0 {
		p.decided, p.phase = decided, finished
	}
}

// Progress describes what a proposer waits for.
type Progress struct {
	Phase string
	// Answered and Acceptors are the numbers of seeds that have answered, and that take part in the agreement.
	Answered, Acceptors int
	// Candidates are the IDs of the candidates heard recently.
	Candidates []string
}

// Progress returns the present progress.
func (p *Proposer) Progress(now time.Time) Progress {
	acceptors, silent := p.countSeeds()
	return Progress{Phase: p.phase.String(), Answered: len(p.seeds) - silent, Acceptors: acceptors, Candidates: voterIDs(p.candidates(now))}
}

// countSeeds returns the number of seeds that take part in the agreement, and of those that have not answered yet.
func (p *Proposer) countSeeds() (acceptors, silent int) {
	for _, s := range p.seeds {
		switch {
		case s.answered.IsZero():
			silent++
		case s.acceptor != "" && !s.excluded:
			acceptors++
		}
	}
	return acceptors, silent
}

// Request returns the request to send to a seed.
func (p *Proposer) Request(seed string) Request {
	r := Request{Kind: p.requestKind(), From: p.opt.Self, Acceptor: p.seeds[seed].acceptor, Decided: p.decided}
	if r.Kind != Probe {
		r.Ballot = p.ballot
	}
	if r.Kind == Accept {
		r.Voters = p.voters
	}
	return r
}

// requestKind returns the kind of the requests of the current phase.
func (p *Proposer) requestKind() RequestKind {
	switch p.phase {
	case preparing:
		return Prepare
	case accepting:
		return Accept
	}
	return Probe
}

// Tick starts a ballot if it is time to, and gives up one that takes too long. It reports whether new requests should be sent at once.
func (p *Proposer) Tick(now time.Time) (changed bool) {
	switch p.phase {
	case probing:
		if list, ok := p.proposal(now); ok {
			p.startBallot(now, list)
			return true
		}
	case preparing, accepting:
		if now.After(p.deadline) {
			p.giveUp(now)
		}
	}
	return false
}

// proposal returns the list to propose if this candidate may propose now.
func (p *Proposer) proposal(now time.Time) (list []Candidate, ok bool) {
	candidates := p.candidates(now)
	list = p.opt.Policy.choose(candidates)
	if !p.isReady(now, list) {
		p.eligible = time.Time{}
		return nil, false
	}
	if p.eligible.IsZero() {
		p.eligible = now
	}
	turn := p.eligible.Add(time.Duration(p.rank(candidates, list)) * rankDelay)
	return list, !now.Before(turn) && !now.Before(p.retryAt)
}

// isReady reports whether a list is good enough by now. Waiting longer could make it better, but delays the start of the system.
func (p *Proposer) isReady(now time.Time, list []Candidate) bool {
	acceptors, silent := p.countSeeds()
	waited := now.Sub(p.started)
	switch {
	case acceptors < majority(len(p.seeds)):
		return false
	case p.accepted: // that list is proposed again, whoever is left
		return true
	case silent == 0 && p.opt.Policy.isComplete(list):
		return true
	case waited >= completeListWait && len(list) == p.opt.Policy.Voters:
		return true
	}
	return waited >= shortListWait && len(list) >= p.opt.Policy.minVoters()
}

// rank returns the position of this candidate among those that could propose: first the ones on the list, then the others.
func (p *Proposer) rank(candidates, list []Candidate) int {
	if i := slices.Index(list, p.opt.Self); i >= 0 {
		return i
	}
	rank := len(list)
	for _, c := range candidates {
		if c.ID < p.opt.Self.ID && !slices.Contains(list, c) {
			rank++
		}
	}
	return rank
}

// candidates returns this candidate and those that the seeds have named recently.
func (p *Proposer) candidates(now time.Time) []Candidate {
	list := []Candidate{p.opt.Self}
	for _, s := range p.seeds {
		if now.Sub(s.answered) > replyExpiry {
			continue
		}
		for _, c := range s.candidates {
			if !slices.ContainsFunc(list, func(known Candidate) bool { return known.ID == c.ID }) {
				list = append(list, c)
			}
		}
	}
	return list
}

func (p *Proposer) startBallot(now time.Time, list []Candidate) {
	p.round++
	p.ballot = Ballot{Round: p.round, Proposer: p.opt.Self.ID, Start: p.opt.Start}
	p.voters = voterIDs(list)
	p.enter(preparing)
	p.deadline = now.Add(ballotTimeout)
}

func (p *Proposer) enter(next phase) {
	p.phase, p.granted = next, make(map[string]Reply)
}

// giveUp ends the current ballot. The delay before the next one is random, so that two proposers do not hinder each other for long.
func (p *Proposer) giveUp(now time.Time) {
	p.enter(probing)
	p.retryAt = now.Add(time.Duration(p.opt.Rand.Int64N(int64(maxBackoff))))
}

// Handle processes the reply of a seed to a request. It reports whether new requests should be sent at once.
func (p *Proposer) Handle(now time.Time, seed string, request *Request, reply *Reply) (changed bool) {
	s := p.seeds[seed]
	s.answered, s.candidates = now, reply.Candidates
	if p.phase == finished {
		return false
	}
	if len(reply.Decided) > 0 {
		p.Learn(reply.Decided)
		return true
	}
	p.identify(s, reply.Acceptor)
	p.round = max(p.round, reply.Promised.Round)
	p.accepted = p.accepted || len(reply.Voters) > 0
	answersBallot := request.Kind != Probe && request.Kind == p.requestKind() && request.Ballot == p.ballot
	if s.excluded || reply.Acceptor == "" || !answersBallot {
		return false
	}
	if !reply.Granted {
		p.giveUp(now)
		return false
	}
	p.granted[seed] = *reply
	return len(p.granted) >= majority(len(p.seeds)) && p.advance(now)
}

// identify records which acceptor answers at a seed.
func (p *Proposer) identify(s *seedState, acceptor string) {
	if s.acceptor == "" {
		s.acceptor = acceptor
	}
	if s.acceptor != acceptor {
		s.excluded = true
	}
}

// advance enters the next phase after a majority of the seeds has agreed to the current one.
func (p *Proposer) advance(now time.Time) (changed bool) {
	if p.phase == accepting {
		p.Learn(p.voters)
		return true
	}
	// A list that was accepted before may be decided already. The one with the highest ballot must be proposed again.
	var highest Ballot
	for _, r := range p.granted {
		if r.Accepted.compare(highest) > 0 {
			highest, p.voters = r.Accepted, r.Voters
		}
	}
	if len(p.voters) < p.opt.Policy.minVoters() {
		p.giveUp(now)
		return false
	}
	p.enter(accepting)
	return true
}
