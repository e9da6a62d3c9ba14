package ledger

import (
	"encoding/hex"

	"fuchsiaflow/errs"
)

// Command is the envelope of one ledger command. Exactly one field is set.
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

// OpenStep opens a step. It is idempotent by tenancy and step; other content under the
// same names is a conflict. Slots are numbered from 0 through the groups in order.
type OpenStep struct {
	_              struct{} `cbor:",toarray"`
	Tenancy        string
	Step           string
	Model          string
	StalenessBound uint64 // greatest staleness at delivery, in versions
	DeadlineMs     int64  // Unix milliseconds
	Groups         []Group
	Pool           string // pool that runs the step; empty means any that the tenancy may use
}

// Publish raises the newest version of a tenancy's model. An older version has no effect.
type Publish struct {
	_       struct{} `cbor:",toarray"`
	Tenancy string
	Model   string
	Version uint64
}

// Digest is the SHA-256 digest of a sample payload.
type Digest [32]byte

// String returns the digest as hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads the form that String writes.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	if n, err := hex.Decode(d[:], []byte(s[:min(len(s), 2*len(d))])); err != nil || n != len(d) || len(s) != 2*len(d) {
		return Digest{}, &errs.Invalid{Path: "$.digest", Want: "64 hex digits", Got: s}
	}
	return d, nil
}

// AttemptOutput is the output of one attempt at a slot.
type AttemptOutput struct {
	Tenancy  string
	Step     string
	Slot     int
	Attempt  uint64
	Versions []uint64 // every weight version that produced a part of the sample
	Digest   Digest
	Tokens   uint32
	Holders  []string // hosts that hold the payload
}

// Accept offers the output of attempts, of any steps, in one log entry.
type Accept struct{ Produced []AttemptOutput }

// Fetch acknowledges batch Ack and asks for the next one. Ack is 0 on the first fetch of a
// step. TrainerVersion, unless 0, is published first.
type Fetch struct {
	_              struct{} `cbor:",toarray"`
	Tenancy        string
	Step           string
	Ack            uint64
	MaxSamples     int // samples in the batch; 0 means DefaultBatch
	TrainerVersion uint64
	// AckRevision is the Batch.Revision of the answer that is acknowledged; 0 skips the
	// check. The check refuses the acknowledgement of an answer from which samples were
	// withdrawn after it was sent.
	AckRevision uint64
}

// PayloadLost returns a slot whose payload no host holds any more.
type PayloadLost struct {
	_       struct{} `cbor:",toarray"`
	Tenancy string
	Step    string
	Slot    int
	Attempt uint64 // the attempt whose payload is lost; 0 means the accepted one
}

// CloseStep ends the generation of a step. It is refused before the deadline unless every
// slot is accepted. Accepted samples can still be fetched.
type CloseStep struct {
	_       struct{} `cbor:",toarray"`
	Tenancy string
	Step    string
	NowMs   int64 // Unix milliseconds, chosen by the proposer
	// Abandon closes at any time and gives up samples that are not acknowledged.
	Abandon bool
}

// Verdict is the decision on one Produced.
type Verdict uint8

// The verdicts. Only Accepted changes the slot.
const (
	Accepted     Verdict = iota + 1
	Repeated             // this attempt was accepted before
	Duplicate            // another attempt was accepted before
	Superseded           // the slot was planned again after this attempt or a later one
	NoLabels             // no version label, or version 0
	NotPublished         // a version above the newest published one
	TooOld               // the oldest version is outside the staleness bound
	StepClosed           // the step no longer takes output
	UnknownSlot          // no such step or slot
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

// SlotID names a slot of a step.
type SlotID struct {
	_       struct{} `cbor:",toarray"`
	Tenancy string
	Step    string
	Slot    int
}

// Result is the outcome of one command. Failure is nil on success.
type Result struct {
	Failure       error     `cbor:"-"`
	Opened        *Opened   `cbor:"1,keyasint,omitempty"`
	NewestVersion uint64    `cbor:"2,keyasint,omitempty"` // Publish and Fetch: newest version of the model
	Verdicts      []Verdict `cbor:"3,keyasint,omitempty"` // Accept: one per Produced
	Batch         *Batch    `cbor:"4,keyasint,omitempty"`
	Closed        *Closed   `cbor:"5,keyasint,omitempty"`
	// ReopenedSlots lists slots that were accepted and are to be generated again.
	ReopenedSlots []SlotID `cbor:"6,keyasint,omitempty"`
	// Released lists samples whose payload is not needed any more: acknowledged, withdrawn,
	// lost or abandoned. It is for the observer on the leader and is not encoded.
	Released []HeldSample `cbor:"-"`
}

// Opened is the result of OpenStep.
type Opened struct {
	_        struct{} `cbor:",toarray"`
	Slots    int
	Repeated bool // the step was open before
	Finished bool // the step was opened and finished before
}

// SampleRef names a delivered sample. The payload is read from one of the holders.
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

// Batch is the result of Fetch. Number is the value for the next Fetch.Ack; an empty batch
// repeats the number of the last acknowledged one.
type Batch struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Revision uint64 // 1 for a new batch, raised when samples are withdrawn from it
	Samples  []SampleRef
	// Withdrawn lists slots withdrawn since the last acknowledgement that are not in Samples.
	// An earlier answer with the same number may have contained them; each answer replaces
	// the earlier ones.
	Withdrawn Slots
	Missing   Slots // not accepted yet, or never delivered when the step is closed
	Ready     int   // accepted and not part of this batch
	Closed    bool
	Complete  bool // everything that will be delivered is acknowledged
}

// Closed is the result of CloseStep.
type Closed struct {
	_       struct{} `cbor:",toarray"`
	Missing Slots
}
