package retry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// Limits of a claim.
const (
	// MaxClaimTTL is the longest time for which a key is protected and its answer kept.
	MaxClaimTTL = 24 * time.Hour
	// MaxAnswerBytes limits a stored answer, which is part of the replicated log and of
	// snapshots. A host finishes a request that has a larger answer as Unknown.
	MaxAnswerBytes = 1 << 20
	// maxSnapshotClaims replaces the decoder's default limit of 131,072 array elements, which is
	// less than the number of claims of a day.
	maxSnapshotClaims = 1 << 26
)

// CommandKind is the type of a claim command.
type CommandKind uint8

// The kinds of claim commands.
const (
	Begin CommandKind = iota + 1
	Finish
	HostLost
	Expire
)

// ClaimCommand is a command to the replicated claim table. The leader of the consensus group sets
// At in Unix milliseconds; the table itself reads no clock, so that all replicas agree.
type ClaimCommand struct {
	Kind    CommandKind `cbor:"1,keyasint"`
	At      int64       `cbor:"2,keyasint"`
	Tenancy string      `cbor:"3,keyasint,omitempty"`
	Key     string      `cbor:"4,keyasint,omitempty"`
	// Digest is the digest of the request body. It is set in Begin.
	Digest      string `cbor:"5,keyasint,omitempty"`
	Host        string `cbor:"6,keyasint,omitempty"`
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	// TTLMillis is the time for which the key is protected. It is set in Begin.
	TTLMillis int64 `cbor:"8,keyasint,omitempty"`
	// GrantID is the ID of the grant that Begin returned. It is set in Finish and distinguishes
	// the runs of one host, so that a repeated Finish cannot release a later run.
	GrantID uint64  `cbor:"9,keyasint,omitempty"`
	Outcome Outcome `cbor:"10,keyasint,omitempty"`
	Answer  []byte  `cbor:"11,keyasint,omitempty"`
}

// ClaimStatus is the result of a claim command.
type ClaimStatus string

// The results of claim commands.
const (
	// Granted: the sender of Begin must run the request. This status is returned once per run.
	Granted ClaimStatus = "granted"
	// InProgress: Host holds the claim and has dispatched the request or is about to.
	InProgress ClaimStatus = "in_progress"
	// Done: the request ran; Answer is the stored answer.
	Done ClaimStatus = "done"
	// ClaimConflict: the key is in use for a different request body.
	ClaimConflict ClaimStatus = "conflict"
	// ClaimUnknown: the request may have run and will not be run again.
	ClaimUnknown ClaimStatus = "unknown"
	// Released: Finish reported that the request did not run; the key is free again.
	Released ClaimStatus = "released"
	// NotHolder: Finish came from a host, incarnation or grant that does not hold the claim.
	NotHolder ClaimStatus = "not_holder"
	// Stale: Begin came from a host that was declared lost, or after its own TTL. Nothing was
	// granted. Incarnation, if set, is the incarnation that was declared lost; the host must
	// continue with a higher one.
	Stale ClaimStatus = "stale"
	// Applied: HostLost or Expire was applied; Changed is the number of affected claims.
	Applied ClaimStatus = "applied"
	// ClaimInvalid: the command has a missing field or a value out of range.
	ClaimInvalid ClaimStatus = "invalid"
)

// ClaimResult is the answer to a claim command.
type ClaimResult struct {
	Status      ClaimStatus `cbor:"1,keyasint"`
	Host        string      `cbor:"2,keyasint,omitempty"`
	Incarnation uint64      `cbor:"3,keyasint,omitempty"`
	GrantID     uint64      `cbor:"4,keyasint,omitempty"`
	Answer      []byte      `cbor:"5,keyasint,omitempty"`
	Changed     int         `cbor:"6,keyasint,omitempty"`
}

type claimKey struct{ tenancy, key string }

type claimState uint8

const (
	claimOpen claimState = iota + 1
	claimDone
	claimUnknown
)

type claim struct {
	Tenancy     string     `cbor:"1,keyasint"`
	Key         string     `cbor:"2,keyasint"`
	Digest      string     `cbor:"3,keyasint"`
	State       claimState `cbor:"4,keyasint"`
	Host        string     `cbor:"5,keyasint"`
	Incarnation uint64     `cbor:"6,keyasint"`
	GrantID     uint64     `cbor:"7,keyasint"`
	ExpiresAt   int64      `cbor:"8,keyasint"`
	Answer      []byte     `cbor:"9,keyasint,omitempty"`
}

// lostHost records the newest incarnation of a host that was declared lost.
type lostHost struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	At          int64  `cbor:"3,keyasint"`
}

// ClaimTable is the replicated table of claims on idempotency keys, each of which protects a
// non-idempotent request. The same commands in the same order give the same results and the same
// snapshot on every replica. It is not safe for concurrent use.
//
// The request of a key runs at most once within the TTL, counted from Begin. An open claim whose
// TTL expires becomes unknown. Unknown claims are kept forever; done claims are removed after
// their TTL.
type ClaimTable struct {
	claims     map[claimKey]*claim
	lostHosts  map[string]lostHost
	lastGrant  uint64
	latestTime int64 // latest command time, in Unix milliseconds
}

// NewClaimTable returns an empty table.
func NewClaimTable() *ClaimTable {
	return &ClaimTable{claims: map[claimKey]*claim{}, lostHosts: map[string]lostHost{}}
}

// Apply applies a command. An invalid command changes nothing.
func (c *ClaimTable) Apply(cmd ClaimCommand) ClaimResult {
	if !validCommand(cmd) {
		return ClaimResult{Status: ClaimInvalid}
	}
	c.latestTime = max(c.latestTime, cmd.At)
	switch cmd.Kind {
	case Begin:
		return c.begin(cmd)
	case Finish:
		return c.finish(cmd)
	case HostLost:
		return c.hostLost(cmd)
	default:
		return c.expire()
	}
}

func validCommand(cmd ClaimCommand) bool {
	hasKey := cmd.Tenancy != "" && cmd.Key != "" && cmd.Host != ""
	switch cmd.Kind {
	case Begin:
		return hasKey && cmd.Digest != "" && cmd.TTLMillis > 0 && cmd.TTLMillis <= MaxClaimTTL.Milliseconds()
	case Finish:
		validOutcome := cmd.Outcome == Ran || cmd.Outcome == NotRun || cmd.Outcome == Unknown
		return hasKey && validOutcome && len(cmd.Answer) <= MaxAnswerBytes
	case HostLost:
		return cmd.Host != ""
	}
	return cmd.Kind == Expire
}

func (c *ClaimTable) begin(cmd ClaimCommand) ClaimResult {
	k := claimKey{cmd.Tenancy, cmd.Key}
	if existing := c.claims[k]; existing != nil {
		if existing.Digest != cmd.Digest {
			return ClaimResult{Status: ClaimConflict}
		}
		return existing.result()
	}
	expires := cmd.At + cmd.TTLMillis
	lost, isLost := c.lostHosts[cmd.Host]
	if isLost && cmd.Incarnation <= lost.Incarnation {
		return ClaimResult{Status: Stale, Host: cmd.Host, Incarnation: lost.Incarnation}
	}
	// The claim of a delayed Begin may have been granted before and removed since; another grant
	// would run the request again.
	if expires <= c.latestTime {
		return ClaimResult{Status: Stale}
	}
	c.lastGrant++
	cl := &claim{
		Tenancy: cmd.Tenancy, Key: cmd.Key, Digest: cmd.Digest, State: claimOpen,
		Host: cmd.Host, Incarnation: cmd.Incarnation, GrantID: c.lastGrant, ExpiresAt: expires,
	}
	c.claims[k] = cl
	return ClaimResult{Status: Granted, Host: cl.Host, Incarnation: cl.Incarnation, GrantID: cl.GrantID}
}

func (cl *claim) result() ClaimResult {
	switch cl.State {
	case claimDone:
		return ClaimResult{Status: Done, Answer: cl.Answer}
	case claimUnknown:
		return ClaimResult{Status: ClaimUnknown}
	}
	return ClaimResult{Status: InProgress, Host: cl.Host, Incarnation: cl.Incarnation, GrantID: cl.GrantID}
}

func (c *ClaimTable) finish(cmd ClaimCommand) ClaimResult {
	k := claimKey{cmd.Tenancy, cmd.Key}
	cl := c.claims[k]
	if cl == nil || cl.Host != cmd.Host || cl.Incarnation != cmd.Incarnation || cl.GrantID != cmd.GrantID {
		return ClaimResult{Status: NotHolder}
	}
	if cl.State != claimOpen {
		return cl.result()
	}
	switch cmd.Outcome {
	case NotRun:
		delete(c.claims, k)
		return ClaimResult{Status: Released}
	case Ran:
		cl.State, cl.Answer = claimDone, slices.Clone(cmd.Answer)
	default:
		cl.State = claimUnknown
	}
	return cl.result()
}

func (c *ClaimTable) hostLost(cmd ClaimCommand) ClaimResult {
	if previous := c.lostHosts[cmd.Host]; cmd.Incarnation >= previous.Incarnation {
		c.lostHosts[cmd.Host] = lostHost{cmd.Host, cmd.Incarnation, c.latestTime}
	}
	r := ClaimResult{Status: Applied}
	for _, cl := range c.claims {
		if cl.State == claimOpen && cl.Host == cmd.Host && cl.Incarnation <= cmd.Incarnation {
			cl.State = claimUnknown
			r.Changed++
		}
	}
	return r
}

func (c *ClaimTable) expire() ClaimResult {
	r := ClaimResult{Status: Applied}
	for k, cl := range c.claims {
		if cl.ExpiresAt > c.latestTime {
			continue
		}
		switch cl.State {
		case claimOpen:
			cl.State = claimUnknown
			r.Changed++
		case claimDone:
			delete(c.claims, k)
			r.Changed++
		}
	}
	// A Begin older than MaxClaimTTL is stale even without a record of its host.
	for host, l := range c.lostHosts {
		if l.At+MaxClaimTTL.Milliseconds() <= c.latestTime {
			delete(c.lostHosts, host)
		}
	}
	return r
}

// Len returns the number of claims in the table.
func (c *ClaimTable) Len() int { return len(c.claims) }

// Time returns the latest command time in Unix milliseconds.
func (c *ClaimTable) Time() int64 { return c.latestTime }

type claimsSnapshot struct {
	Claims []*claim   `cbor:"1,keyasint"`
	Lost   []lostHost `cbor:"2,keyasint"`
	Grants uint64     `cbor:"3,keyasint"`
	Now    int64      `cbor:"4,keyasint"`
}

// Snapshot encodes the table. Replicas that applied the same commands return the same bytes.
func (c *ClaimTable) Snapshot() ([]byte, error) {
	state := claimsSnapshot{Grants: c.lastGrant, Now: c.latestTime, Claims: make([]*claim, 0, len(c.claims))}
	for _, cl := range c.claims {
		state.Claims = append(state.Claims, cl)
	}
	for _, l := range c.lostHosts {
		state.Lost = append(state.Lost, l)
	}
	slices.SortFunc(state.Claims, func(a, b *claim) int {
		return cmp.Or(strings.Compare(a.Tenancy, b.Tenancy), strings.Compare(a.Key, b.Key))
	})
	slices.SortFunc(state.Lost, func(a, b lostHost) int { return strings.Compare(a.Host, b.Host) })
	data, err := cbor.Marshal(state)
	if err != nil {
		return nil, &errs.Corrupt{What: "claim snapshot", Detail: err.Error()}
	}
	return data, nil
}

// Restore replaces the table with a snapshot. The table is unchanged if it returns an error.
func (c *ClaimTable) Restore(data []byte) error {
	var state claimsSnapshot
	dec, err := cbor.DecOptions{MaxArrayElements: maxSnapshotClaims}.DecMode()
	if err == nil {
		err = dec.Unmarshal(data, &state)
	}
	if err != nil {
		return &errs.Corrupt{What: "claim snapshot", Detail: err.Error()}
	}
	restored := NewClaimTable()
	for _, cl := range state.Claims {
		if cl == nil || cl.State < claimOpen || cl.State > claimUnknown || cl.GrantID > state.Grants {
			return &errs.Corrupt{What: "claim snapshot", Detail: "claim with an invalid state or grant ID"}
		}
		restored.claims[claimKey{cl.Tenancy, cl.Key}] = cl
	}
	for _, l := range state.Lost {
		restored.lostHosts[l.Host] = l
	}
	restored.lastGrant, restored.latestTime = state.Grants, state.Now
	*c = *restored
	return nil
}
