// Package bootstrap chooses the initial voters of a consensus group when a system starts for the first time. The replicas on
// the empty disks are the candidates. All hosts are told the same few seeds, which may be hosts without a disk.
//
// The seeds agree on one list of voters by single-decree Paxos: they are the acceptors, and the candidates are the proposers.
// A list is decided once a majority of the seeds has accepted it under the same ballot, and no other list can be decided
// then. The seeds also tell the candidates of each other.
//
// A seed that has lost its state no longer takes part: it may have accepted a list before. A seed without a disk loses its state
// when its process ends; settings that declare a first start are what makes it an acceptor at all. In addition each acceptor
// has an identity, which requests name.
//
// The package performs no I/O. The caller must make the state of an acceptor durable, if it has a disk, before it sends a reply,
// and a decided list before its replica stands for election.
package bootstrap

import (
	"cmp"
	"slices"
	"strings"
)

// Candidate is a replica on an empty disk that may become an initial voter.
type Candidate struct {
	// ID identifies the replica. It is durable before the candidate sends its first request.
	ID string `cbor:"1,keyasint"`
	// Domain is the failure domain of its host.
	Domain string `cbor:"2,keyasint"`
	// IsSeed reports whether its host is a seed.
	IsSeed bool `cbor:"3,keyasint,omitempty"`
}

// Ballot identifies a proposal. The zero value precedes all others.
type Ballot struct {
	Round uint64 `cbor:"1,keyasint"`
	// Proposer is the ID of the candidate.
	Proposer string `cbor:"2,keyasint"`
	// Start identifies the start of the proposer's process, so that one that has restarted uses no ballot twice.
	Start string `cbor:"3,keyasint"`
}

// compare orders ballots by round, proposer and start.
func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), strings.Compare(b.Proposer, other.Proposer), strings.Compare(b.Start, other.Start))
}

// RequestKind is the type of a request of a candidate.
type RequestKind uint8

// The types of requests. Each also reports the candidate and a decided list that it knows.
const (
	// Probe asks for the other candidates and for a decided list.
	Probe RequestKind = iota
	// Prepare asks a seed to promise that it accepts nothing under a lower ballot.
	Prepare
	// Accept asks a seed to accept a list of voters.
	Accept
)

func (k RequestKind) String() string { return [...]string{"probe", "prepare", "accept"}[k] }

// Request is a message of a candidate to a seed. It may be lost and repeated.
type Request struct {
	Kind RequestKind `cbor:"1,keyasint"`
	From Candidate   `cbor:"2,keyasint"`
	// Acceptor is the identity of the acceptor that is addressed; empty if the candidate does not know it yet.
	Acceptor string `cbor:"3,keyasint,omitempty"`
	// Ballot is set for Prepare and Accept, and Voters for Accept.
	Ballot Ballot   `cbor:"4,keyasint"`
	Voters []string `cbor:"5,keyasint,omitempty"`
	// Decided is the decided list, if the candidate knows it.
	Decided []string `cbor:"6,keyasint,omitempty"`
}

// Reply is the answer of a seed to a Request.
type Reply struct {
	// Acceptor is the identity of the acceptor; empty if the host is none.
	Acceptor string `cbor:"1,keyasint,omitempty"`
	// Candidates are those that the host has heard recently.
	Candidates []Candidate `cbor:"2,keyasint,omitempty"`
	// Granted reports whether the acceptor agreed to a Prepare or an Accept.
	Granted bool `cbor:"3,keyasint,omitempty"`
	// Promised is the highest ballot that the acceptor has agreed to.
	Promised Ballot `cbor:"4,keyasint"`
	// Accepted is the ballot under which the acceptor last accepted a list, Voters, if any.
	Accepted Ballot   `cbor:"5,keyasint"`
	Voters   []string `cbor:"6,keyasint,omitempty"`
	// Decided is the decided list, if the host knows it.
	Decided []string `cbor:"7,keyasint,omitempty"`
}

// majority returns the number of acceptors that form a majority of the seeds.
func majority(seeds int) int { return seeds/2 + 1 }

// Policy describes the initial voters to choose.
type Policy struct {
	// Voters is the number of voters of the group: twice the number of disks that may be lost, plus one.
	Voters int
	// Domains is the number of failure domains; 0 if it is not known.
	Domains int
}

// minVoters returns the smallest number of initial voters. A majority of them is as many disks as a majority of all Voters, so
// that nothing is acknowledged before it is on enough disks. Voters that are missing are added later.
func (p Policy) minVoters() int { return max(p.Voters-1, 1) }

// isComplete reports whether a list has all voters and is spread over as many failure domains as possible.
func (p Policy) isComplete(list []Candidate) bool {
	domains := make(map[string]bool)
	for _, c := range list {
		domains[c.Domain] = true
	}
	return len(list) == p.Voters && len(domains) >= min(p.Voters, p.Domains)
}

// choose returns up to Voters of the candidates, spread over failure domains. Seeds come first, because all hosts know them.
func (p Policy) choose(candidates []Candidate) []Candidate {
	rest := slices.Clone(candidates)
	slices.SortFunc(rest, func(a, b Candidate) int {
		if a.IsSeed != b.IsSeed {
			if a.IsSeed {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	var chosen []Candidate
	perDomain := make(map[string]int)
	for len(chosen) < p.Voters && len(rest) > 0 {
		next := 0
		for i, c := range rest {
			if perDomain[c.Domain] < perDomain[rest[next].Domain] {
				next = i
			}
		}
		chosen = append(chosen, rest[next])
		perDomain[rest[next].Domain]++
		rest = slices.Delete(rest, next, next+1)
	}
	return chosen
}

// voterIDs returns the sorted IDs of candidates.
func voterIDs(list []Candidate) []string {
	ids := make([]string, 0, len(list))
	for _, c := range list {
		ids = append(ids, c.ID)
	}
	slices.Sort(ids)
	return ids
}
