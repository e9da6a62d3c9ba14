package ledger

import (
	"encoding/hex"

	"fuchsiaflow/errs"
)

// Command is one command of the state machine. Exactly one field is set.
type Command struct {
	OpenStep    *OpenStep    `cbor:"1,keyasint,omitempty"`
	Publish     *Publish     `cbor:"2,keyasint,omitempty"`
	Accept      *Accept      `cbor:"3,keyasint,omitempty"`
	Fetch       *Fetch       `cbor:"4,keyasint,omitempty"`
	PayloadLost *PayloadLost `cbor:"5,keyasint,omitempty"`
	CloseStep   *CloseStep   `cbor:"6,keyasint,omitempty"`
}

// Group is a set of samples that share a prompt.
type Group struct {
	_         struct{} `cbor:",toarray"`
	Prompt    string
	Samples   int
	MaxTokens int
}

// OpenStep opens a step. It is idempotent by tenancy and step name; different content under the
// same name is a conflict. Slots are numbered from 0 across the groups, in order.
type OpenStep struct {
	_              struct{} `cbor:",toarray"`
	Tenancy        string
	Step           string
	Model          string
	StalenessBound uint64 // maximum staleness at delivery, in versions
	DeadlineMs     int64  // Unix milliseconds
	Groups         []Group
	Pool           string // pool that runs the step; empty means any pool that the tenancy may use
}

// Publish raises the newest version of a tenancy's model. A version that is not newer has no
// effect.
type Publish struct {
	_       struct{} `cbor:",toarray"`
	Tenancy string
	Model   string
	Version uint64
}

// Digest is the SHA-256 digest of a sample payload.
type Digest [32]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest parses the output of Digest.String.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	if n, err := hex.Decode(d[:], []byte(s[:min(len(s), 2*len(d))])); err != nil || n != len(d) || len(s) != 2*len(d) {
		return Digest{}, &errs.Invalid{Path: "$.digest", Want: "64 hex digits", Got: s}
	}
	return d, nil
}

// AttemptOutput describes the output of one attempt at a slot.
type AttemptOutput struct {
	Tenancy  string
	Step     string
	Slot     int
	Attempt  uint64
	Versions []uint64 // all weight versions that generated parts of the sample
	Digest   Digest
	Tokens   uint32
	Holders  []string // hosts that hold the payload
}

// Accept submits the outputs of attempts, which may belong to different steps, in one log entry.
type Accept struct{ Produced []AttemptOutput }

// Fetch acknowledges batch Ack and requests the next one. Ack is 0 in the first fetch of a
// step. TrainerVersion, unless 0, is published before the next batch is selected.
type Fetch struct {
	_              struct{} `cbor:",toarray"`
	Tenancy        string
	Step           string
	Ack            uint64
	MaxSamples     int // maximum number of samples in the batch; 0 means DefaultBatchSize
	TrainerVersion uint64
	// AckRevision is the Batch.Revision of the acknowledged answer. Unless it is 0, the
	// acknowledgement is refused if samples were withdrawn from the batch after the answer
	// was sent.
	AckRevision uint64
}

// PayloadLost withdraws an accepted sample whose payload is no longer held by any host.
type PayloadLost struct {
	_       struct{} `cbor:",toarray"`
	Tenancy string
	Step    string
	Slot    int
	Attempt uint64 // the attempt whose payload is lost; 0 means the accepted one
}

// CloseStep ends the generation of samples for a step. Before the deadline it is refused unless
// all slots have an accepted sample. Accepted samples can still be fetched.
type CloseStep struct {
	_       struct{} `cbor:",toarray"`
	Tenancy string
	Step    string
	NowMs   int64 // proposer's time in Unix milliseconds
	// Abandon closes the step even before its deadline and discards the samples that are not
	// acknowledged.
	Abandon bool
}

// Verdict is the decision on one AttemptOutput.
type Verdict uint8

// Only Accepted changes the state of a slot.
const (
	Accepted     Verdict = iota + 1
	Repeated             // the same attempt was accepted before
	Duplicate            // another attempt was accepted before
	Superseded           // a sample of this attempt or a later one was withdrawn
	NoLabels             // the list of versions is empty or contains 0
	NotPublished         // a version is newer than the newest published one
	TooOld               // the oldest version is outside the staleness bound
	StepClosed           // the step no longer accepts outputs
	UnknownSlot          // the step or slot does not exist
	verdictCount
)

var verdictNames = [verdictCount]string{"", "accepted", "repeated", "duplicate", "superseded", "no_labels",
	"not_published", "too_old", "step_closed", "unknown_slot"}

func (v Verdict) String() string {
	if v < verdictCount {
		return verdictNames[v]
	}
	return "invalid"
}

// SlotID identifies a slot of a step.
type SlotID struct {
	_       struct{} `cbor:",toarray"`
	Tenancy string
	Step    string
	Slot    int
}

// Result is the result of one command. Failure is nil on success.
type Result struct {
	Failure       error     `cbor:"-"`
	Opened        *Opened   `cbor:"1,keyasint,omitempty"`
	NewestVersion uint64    `cbor:"2,keyasint,omitempty"` // Publish and Fetch: newest version of the model
	Verdicts      []Verdict `cbor:"3,keyasint,omitempty"` // Accept: one per AttemptOutput
	Batch         *Batch    `cbor:"4,keyasint,omitempty"`
	Closed        *Closed   `cbor:"5,keyasint,omitempty"`
	// ReopenedSlots lists slots whose accepted sample was withdrawn or lost and that must be
	// generated again.
	ReopenedSlots []SlotID `cbor:"6,keyasint,omitempty"`
	// Released lists samples whose payload is no longer needed because they were
	// acknowledged, withdrawn, lost or abandoned. It is not encoded; only the observer on the
	// leader uses it.
	Released []HeldSample `cbor:"-"`
}

// Opened is the result of OpenStep.
type Opened struct {
	_        struct{} `cbor:",toarray"`
	Slots    int
	Repeated bool // the step was open before
	Finished bool // the step was opened and finished before
}

// SampleRef describes a delivered sample. Its payload is read from one of the holders.
type SampleRef struct {
	_        struct{} `cbor:",toarray"`
	Slot     int
	Group    int
	Attempt  uint64
	Versions []uint64
	Digest   Digest
	Tokens   uint32
	Holders  []string
}

// Batch is the result of Fetch. Number is the Ack of the next Fetch; an empty batch has the
// number of the last acknowledged batch.
type Batch struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Revision uint64 // 1 for a new batch; incremented when samples are withdrawn from it or it is refilled
	Samples  []SampleRef
	// Withdrawn lists slots that were withdrawn since the last acknowledgement and are not in
	// Samples. An earlier answer with the same number may have contained them; each answer
	// replaces the earlier ones.
	Withdrawn Slots
	Missing   Slots // slots without an accepted sample; in a closed step, slots that are never delivered
	Ready     int   // accepted and not part of this batch
	Closed    bool
	Complete  bool // all samples that will be delivered are acknowledged
}

// Closed is the result of CloseStep.
type Closed struct {
	_       struct{} `cbor:",toarray"`
	Missing Slots
}
