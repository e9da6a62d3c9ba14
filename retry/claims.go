package retry

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// Bounds of a claim.
const (
	// MaxClaimTTL bounds the time for which an answer is kept.
	MaxClaimTTL = 24 * time.Hour
	// MaxAnswerBytes bounds a stored answer, because it is part of the log and of snapshots.
	// A host finishes a request with a larger answer as Unknown.
	MaxAnswerBytes = 1 << 20
	// maxSnapshotClaims is passed to the decoder, whose default of 131,072 elements is fewer
	// than the unsafe requests of a day.
	maxSnapshotClaims = 1 << 26
)

// CommandKind is the type of a claim command.
type CommandKind uint8

// The claim commands.
const (
	Begin CommandKind = iota + 1
	Finish
	HostLost
	Expire
)

// ClaimCommand is a command of the replicated claim table. At is stamped by the leader of the
// group in Unix milliseconds; a table never takes its time from a clock.
type ClaimCommand struct {
	Kind    CommandKind `cbor:"1,keyasint"`
	At      int64       `cbor:"2,keyasint"`
	Tenancy string      `cbor:"3,keyasint,omitempty"`
	Key     string      `cbor:"4,keyasint,omitempty"`
	// Digest is the digest of the request body, in Begin.
	Digest      string `cbor:"5,keyasint,omitempty"`
	Host        string `cbor:"6,keyasint,omitempty"`
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	// TTLMillis is the time for which the key is protected, in Begin.
	TTLMillis int64 `cbor:"8,keyasint,omitempty"`
	// GrantID is the number that Begin returned, in Finish. It tells the runs of one host
	// apart, so that a repeated Finish cannot release a later run.
	GrantID uint64  `cbor:"9,keyasint,omitempty"`
	Outcome Outcome `cbor:"10,keyasint,omitempty"`
	Answer  []byte  `cbor:"11,keyasint,omitempty"`
}

// ClaimStatus is the decision on a claim command.
type ClaimStatus string

// The decisions on a claim command.
const (
	// Granted: the sender of Begin must run the request. It is returned once per run.
	Granted ClaimStatus = "granted"
	// InProgress: Host runs the request, or was granted it and has not dispatched it yet.
	InProgress ClaimStatus = "in_progress"
	// Done: the request ran; Answer is the stored answer.
	Done ClaimStatus = "done"
	// ClaimConflict: the key was used for another request body.
	ClaimConflict ClaimStatus = "conflict"
	// ClaimUnknown: the request may have run and will never run again.
	ClaimUnknown ClaimStatus = "unknown"
	// Released: Finish stated that the request did not run; the key is free.
	Released ClaimStatus = "released"
	// NotHolder: Finish came from a host, incarnation or grant that does not hold the claim.
	NotHolder ClaimStatus = "not_holder"
	// Stale: Begin came from a host that was declared lost, or after its own TTL. Nothing
	// was granted. Incarnation, if set, is the lost one; the host must continue under a
	// higher incarnation.
	Stale ClaimStatus = "stale"
	// Applied: HostLost or Expire was carried out; Changed counts the claims.
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
	Grant       uint64     `cbor:"7,keyasint"`
	ExpiresAt   int64      `cbor:"8,keyasint"`
	Answer      []byte     `cbor:"9,keyasint,omitempty"`
}

// lostHost records the newest incarnation of a host that was declared lost.
type lostHost struct {
	Host        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	At          int64  `cbor:"3,keyasint"`
}

// ClaimTable is the replicated table of unsafe requests. The same commands in the same order give
// the same results and the same snapshot on every replica. It is not safe for concurrent use.
//
// A key runs at most once within its TTL, counted from Begin. An open claim whose TTL runs
// out becomes unknown. Unknown claims are kept for good; a done claim is dropped after its TTL.
type ClaimTable struct {
	claims map[claimKey]*claim
	lost   map[string]lostHost
	grants uint64
	now    int64 // greatest command time
}

// NewClaimTable returns an empty table.
func NewClaimTable() *ClaimTable {
	return &ClaimTable{claims: map[claimKey]*claim{}, lost: map[string]lostHost{}}
}

// Apply carries out a command.
func (c *ClaimTable) Apply(cmd ClaimCommand) ClaimResult {
	if !valid(cmd) {
		return ClaimResult{Status: ClaimInvalid}
	}
	c.now = max(c.now, cmd.At)
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

func valid(cmd ClaimCommand) bool {
	keyed := cmd.Tenancy != "" && cmd.Key != "" && cmd.Host != ""
	switch cmd.Kind {
	case Begin:
		return keyed && cmd.Digest != "" && cmd.TTLMillis > 0 && cmd.TTLMillis <= MaxClaimTTL.Milliseconds()
	case Finish:
		known := cmd.Outcome == Ran || cmd.Outcome == NotRun || cmd.Outcome == Unknown
		return keyed && known && len(cmd.Answer) <= MaxAnswerBytes
	case HostLost:
		return cmd.Host != ""
	}
	return cmd.Kind == Expire
}

func (c *ClaimTable) begin(cmd ClaimCommand) ClaimResult {
	k := claimKey{cmd.Tenancy, cmd.Key}
	if have := c.claims[k]; have != nil {
		if have.Digest != cmd.Digest {
			return ClaimResult{Status: ClaimConflict}
		}
		return have.result()
	}
	expires := cmd.At + cmd.TTLMillis
	lost, isLost := c.lost[cmd.Host]
	if isLost && cmd.Incarnation <= lost.Incarnation {
		return ClaimResult{Status: Stale, Host: cmd.Host, Incarnation: lost.Incarnation}
	}
	// A late copy of an old Begin would run a request again whose claim was dropped.
	if expires <= c.now {
		return ClaimResult{Status: Stale}
	}
	c.grants++
	cl := &claim{
		Tenancy: cmd.Tenancy, Key: cmd.Key, Digest: cmd.Digest, State: claimOpen,
		Host: cmd.Host, Incarnation: cmd.Incarnation, Grant: c.grants, ExpiresAt: expires,
	}
	c.claims[k] = cl
	return ClaimResult{Status: Granted, Host: cl.Host, Incarnation: cl.Incarnation, GrantID: cl.Grant}
}

func (cl *claim) result() ClaimResult {
	switch cl.State {
	case claimDone:
		return ClaimResult{Status: Done, Answer: cl.Answer}
	case claimUnknown:
		return ClaimResult{Status: ClaimUnknown}
	}
	return ClaimResult{Status: InProgress, Host: cl.Host, Incarnation: cl.Incarnation, GrantID: cl.Grant}
}

func (c *ClaimTable) finish(cmd ClaimCommand) ClaimResult {
	k := claimKey{cmd.Tenancy, cmd.Key}
	cl := c.claims[k]
	if cl == nil || cl.Host != cmd.Host || cl.Incarnation != cmd.Incarnation || cl.Grant != cmd.GrantID {
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
	if have := c.lost[cmd.Host]; cmd.Incarnation >= have.Incarnation {
		c.lost[cmd.Host] = lostHost{cmd.Host, cmd.Incarnation, c.now}
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
		if cl.ExpiresAt > c.now {
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
	// A Begin that is older than the longest TTL is stale without a record of its host.
	for host, l := range c.lost {
		if l.At+MaxClaimTTL.Milliseconds() <= c.now {
			delete(c.lost, host)
		}
	}
	return r
}

// Len returns the number of claims in the table.
func (c *ClaimTable) Len() int { return len(c.claims) }

// Time returns the greatest command time in Unix milliseconds.
func (c *ClaimTable) Time() int64 { return c.now }

type claimsState struct {
	Claims []*claim   `cbor:"1,keyasint"`
	Lost   []lostHost `cbor:"2,keyasint"`
	Grants uint64     `cbor:"3,keyasint"`
	Now    int64      `cbor:"4,keyasint"`
}

// Snapshot encodes the table. Replicas with the same history give the same bytes.
func (c *ClaimTable) Snapshot() ([]byte, error) {
	st := claimsState{Grants: c.grants, Now: c.now, Claims: make([]*claim, 0, len(c.claims))}
	for _, cl := range c.claims {
		st.Claims = append(st.Claims, cl)
	}
	for _, l := range c.lost {
		st.Lost = append(st.Lost, l)
	}
	slices.SortFunc(st.Claims, func(a, b *claim) int {
		return cmp.Or(strings.Compare(a.Tenancy, b.Tenancy), strings.Compare(a.Key, b.Key))
	})
	slices.SortFunc(st.Lost, func(a, b lostHost) int { return strings.Compare(a.Host, b.Host) })
	data, err := cbor.Marshal(st)
	if err != nil {
		return nil, &errs.Corrupt{What: "claim snapshot", Detail: err.Error()}
	}
	return data, nil
}

// Restore replaces the table by a snapshot. The table is unchanged if it returns an error.
func (c *ClaimTable) Restore(data []byte) error {
	var st claimsState
	dec, err := cbor.DecOptions{MaxArrayElements: maxSnapshotClaims}.DecMode()
	if err == nil {
		err = dec.Unmarshal(data, &st)
	}
	if err != nil {
		return &errs.Corrupt{What: "claim snapshot", Detail: err.Error()}
	}
	fresh := NewClaimTable()
	for _, cl := range st.Claims {
		if cl == nil || cl.State < claimOpen || cl.State > claimUnknown || cl.Grant > st.Grants {
			return &errs.Corrupt{What: "claim snapshot", Detail: "a claim has an impossible state or grant"}
		}
		fresh.claims[claimKey{cl.Tenancy, cl.Key}] = cl
	}
	for _, l := range st.Lost {
		fresh.lost[l.Host] = l
	}
	fresh.grants, fresh.now = st.Grants, st.Now
	*c = *fresh
	return nil
}
