package ledger

import (
	"slices"
)

// The states of a slot.
const (
	slotPlanned    = iota // no output accepted, to be generated
	slotReady             // accepted, not in a batch
	slotBatched           // in the open batch
	slotAcked             // acknowledged by the trainer
	slotMissing           // the step was closed without a sample for the slot
	slotStateCount        // number of states
)

// step stores its slots in parallel arrays. They take 53 bytes per slot, and each array is one
// CBOR string or list in a snapshot.
type step struct {
	_              struct{} `cbor:",toarray"`
	Model          string
	StalenessBound uint64
	DeadlineMs     int64
	ContentDigest  Digest
	Groups         []Group // nil after the step is finished
	SlotCount      int
	Closed         bool
	Finished       bool
	AckedBatch     uint64 // number of the last acknowledged batch
	BatchRevision  uint64 // of the open batch; 0 after an acknowledgement
	BatchSlots     []int  // slots of the open batch
	WithdrawnSlots []int  // slots withdrawn since the last acknowledgement and not in the open batch, ascending
	StateCounts    [slotStateCount]int
	MissingSlots   Slots // set when the step is finished

	States       []byte
	Attempts     []uint64 // accepted attempt, or the last one that was withdrawn
	VersionIndex []uint32 // into VersionLists
	HolderIndex  []uint32 // into HolderLists
	Tokens       []uint32
	Digests      []byte // concatenated
	VersionLists [][]uint64
	HolderLists  [][]string
	Pool         string
}

func newStep(c *OpenStep, content Digest, slots int) *step {
	s := &step{
		Pool: c.Pool, Model: c.Model, StalenessBound: c.StalenessBound, DeadlineMs: c.DeadlineMs, ContentDigest: content,
		Groups: slices.Clone(c.Groups), SlotCount: slots,
		States: make([]byte, slots), Attempts: make([]uint64, slots), VersionIndex: make([]uint32, slots),
		HolderIndex: make([]uint32, slots), Tokens: make([]uint32, slots), Digests: make([]byte, slots*len(Digest{})),
	}
	s.StateCounts[slotPlanned] = slots
	return s
}

// isConsistent reports whether the arrays, indexes and counts of a restored step agree.
func (s *step) isConsistent() bool {
	n := s.SlotCount
	if s.Finished {
		n = 0
	}
	if len(s.States) != n || len(s.Attempts) != n || len(s.VersionIndex) != n || len(s.HolderIndex) != n ||
		len(s.Tokens) != n || len(s.Digests) != n*len(Digest{}) {
		return false
	}
	samples := 0
	for _, g := range s.Groups {
		samples += max(g.Samples, 0)
	}
	if samples != n || slices.ContainsFunc(s.VersionLists, func(v []uint64) bool { return len(v) == 0 }) {
		return false
	}
	var counts [slotStateCount]int
	for i, state := range s.States {
		if state >= slotStateCount {
			return false
		}
		counts[state]++
		if (state == slotReady || state == slotBatched) &&
			(!inRange(int(s.VersionIndex[i]), len(s.VersionLists)) || !inRange(int(s.HolderIndex[i]), len(s.HolderLists))) {
			return false
		}
	}
	for _, slot := range s.BatchSlots {
		if !inRange(slot, n) {
			return false
		}
	}
	return s.Finished || counts == s.StateCounts
}

func (s *step) setState(slot int, state byte) {
	s.StateCounts[s.States[slot]]--
	s.States[slot] = state
	s.StateCounts[state]++
}

func (s *step) oldestVersion(slot int) uint64 {
	return slices.Min(s.VersionLists[s.VersionIndex[slot]])
}

func (s *step) digest(slot int) (d Digest) {
	copy(d[:], s.Digests[slot*len(d):])
	return d
}

// isStale reports whether a sample is outside the staleness bound, where oldest is the oldest
// version that produced a part of it.
func isStale(oldest, newest, bound uint64) bool { return newest > oldest && newest-oldest > bound }

// accept decides on an output and stores it if it is accepted. The newest argument is the
// newest published version of the step's model.
func (s *step) accept(output *AttemptOutput, newest uint64) Verdict {
	switch {
	case !inRange(output.Slot, s.SlotCount):
		return UnknownSlot
	case s.Finished:
		return StepClosed
	case s.States[output.Slot] == slotMissing:
		return StepClosed
	case s.States[output.Slot] != slotPlanned:
		if output.Attempt == s.Attempts[output.Slot] {
			return Repeated
		}
		return Duplicate
	case output.Attempt <= s.Attempts[output.Slot]:
		return Superseded
	case len(output.Versions) == 0 || slices.Contains(output.Versions, 0):
		return NoLabels
	case slices.Max(output.Versions) > newest:
		return NotPublished
	case isStale(slices.Min(output.Versions), newest, s.StalenessBound):
		return TooOld
	}
	s.setState(output.Slot, slotReady)
	s.Attempts[output.Slot] = output.Attempt
	s.VersionIndex[output.Slot] = uint32(intern(&s.VersionLists, output.Versions))
	s.HolderIndex[output.Slot] = uint32(intern(&s.HolderLists, output.Holders))
	s.Tokens[output.Slot] = output.Tokens
	copy(s.Digests[output.Slot*len(output.Digest):], output.Digest[:])
	return Accepted
}

// acknowledge advances the cursor if Ack is the number of the open batch, and returns the slots
// of that batch. An Ack of the last acknowledged batch changes nothing.
func (s *step) acknowledge(c *Fetch) ([]int, error) {
	if c.Ack == s.AckedBatch {
		return nil, nil
	}
	openBatch := uint64(0)
	if len(s.BatchSlots) > 0 {
		openBatch = s.AckedBatch + 1
	}
	if openBatch == 0 || c.Ack != openBatch || (c.AckRevision != 0 && c.AckRevision != s.BatchRevision) {
		return nil, &CursorMismatch{Step: c.Step, AckedBatch: s.AckedBatch, OpenBatch: openBatch, OpenRevision: s.BatchRevision,
			Ack: c.Ack, AckRevision: c.AckRevision}
	}
	for _, slot := range s.BatchSlots {
		s.setState(slot, slotAcked)
	}
	slots := s.BatchSlots
	s.AckedBatch, s.BatchRevision, s.BatchSlots, s.WithdrawnSlots = c.Ack, 0, nil, nil
	return slots, nil
}

// withdrawStale withdraws samples outside the staleness bound and returns their slots. It
// includes the samples of the open batch only if withBatch is set.
func (s *step) withdrawStale(newest uint64, withBatch bool) (withdrawn []int) {
	if s.StateCounts[slotReady] == 0 && (!withBatch || len(s.BatchSlots) == 0) {
		return nil
	}
	stale := make([]bool, len(s.VersionLists))
	found := false
	for i, v := range s.VersionLists {
		stale[i] = isStale(slices.Min(v), newest, s.StalenessBound)
		found = found || stale[i]
	}
	if !found {
		return nil
	}
	for slot, state := range s.States {
		if (state == slotReady || withBatch && state == slotBatched) && stale[s.VersionIndex[slot]] {
			withdrawn = append(withdrawn, slot)
		}
	}
	s.withdrawSlots(withdrawn)
	return withdrawn
}

// withdrawSlots sets accepted slots, given in ascending order, to planned, or to missing if the
// step is closed. It keeps the number of the accepted attempt as a lower bound, so that a
// repeated report of its output is not accepted.
func (s *step) withdrawSlots(slots []int) {
	state := byte(slotPlanned)
	if s.Closed {
		state = slotMissing
	}
	for _, slot := range slots {
		s.setState(slot, state)
	}
	if kept := slices.DeleteFunc(s.BatchSlots, func(slot int) bool { return s.States[slot] != slotBatched }); len(kept) < len(s.BatchSlots) {
		s.BatchSlots = kept
		s.BatchRevision++
	}
	s.WithdrawnSlots = append(s.WithdrawnSlots, slots...)
	slices.Sort(s.WithdrawnSlots)
	s.WithdrawnSlots = slices.Compact(s.WithdrawnSlots)
}

// losePayload withdraws an accepted slot whose payload is lost. It reports whether the slot
// changed. An attempt other than 0 must be the accepted one.
func (s *step) losePayload(slot int, attempt uint64) bool {
	if s.Finished || (s.States[slot] != slotReady && s.States[slot] != slotBatched) {
		return false
	}
	if attempt != 0 && attempt != s.Attempts[slot] {
		return false
	}
	s.withdrawSlots([]int{slot})
	return true
}

// openBatch opens a batch of up to limit samples if none is open; a limit of 0 means
// DefaultBatchSize. Samples with the oldest versions go first, because they are the next to
// leave the staleness bound.
func (s *step) openBatch(limit int) {
	if len(s.BatchSlots) > 0 || s.StateCounts[slotReady] == 0 {
		return
	}
	if limit == 0 {
		limit = DefaultBatchSize
	}
	byVersion := map[uint64][]int{}
	var versions []uint64
	for slot, state := range s.States {
		if state != slotReady {
			continue
		}
		v := s.oldestVersion(slot)
		if byVersion[v] == nil {
			versions = append(versions, v)
		}
		byVersion[v] = append(byVersion[v], slot)
	}
	slices.Sort(versions)
	for _, v := range versions {
		selected := byVersion[v][:min(limit-len(s.BatchSlots), len(byVersion[v]))]
		s.BatchSlots = append(s.BatchSlots, selected...)
	}
	for _, slot := range s.BatchSlots {
		s.setState(slot, slotBatched)
	}
	s.WithdrawnSlots = slices.DeleteFunc(s.WithdrawnSlots, func(slot int) bool { return s.States[slot] == slotBatched })
	s.BatchRevision++
}

// batch returns the open batch, or an empty one, as the answer to a Fetch.
func (s *step) batch() *Batch {
	b := &Batch{Number: s.AckedBatch, Withdrawn: slices.Clone(s.WithdrawnSlots), Missing: s.missingSlots(), Ready: s.StateCounts[slotReady],
		Closed: s.Closed, Complete: s.Finished}
	if len(s.BatchSlots) == 0 {
		return b
	}
	b.Number, b.Revision = s.AckedBatch+1, s.BatchRevision
	starts := s.groupStarts()
	for _, slot := range s.BatchSlots {
		b.Samples = append(b.Samples, s.sampleRef(slot, starts))
	}
	return b
}

func (s *step) sampleRef(slot int, starts []int) SampleRef {
	return SampleRef{
		Slot: slot, Group: groupOf(starts, slot), Attempt: s.Attempts[slot], Versions: slices.Clone(s.VersionLists[s.VersionIndex[slot]]),
		Digest: s.digest(slot), Tokens: s.Tokens[slot], Holders: slices.Clone(s.HolderLists[s.HolderIndex[slot]]),
	}
}

// groupStarts returns the first slot of each group.
func (s *step) groupStarts() []int {
	starts := make([]int, len(s.Groups))
	next := 0
	for i, g := range s.Groups {
		starts[i] = next
		next += g.Samples
	}
	return starts
}

// groupOf returns the index of the group of a slot, given the result of groupStarts.
func groupOf(starts []int, slot int) int {
	i, found := slices.BinarySearch(starts, slot)
	if !found {
		i--
	}
	return i
}

// missingSlots returns the slots without an accepted sample.
func (s *step) missingSlots() Slots {
	if s.Finished {
		return slices.Clone(s.MissingSlots)
	}
	missingState := byte(slotPlanned)
	if s.Closed {
		missingState = slotMissing
	}
	missing := make(Slots, 0, s.StateCounts[missingState])
	for slot, state := range s.States {
		if state == missingState {
			missing = append(missing, slot)
		}
	}
	return missing
}

// close marks planned slots as missing. If abandon is set, it also marks accepted slots that are
// not acknowledged as missing and returns them.
func (s *step) close(abandon bool) (abandoned []int) {
	if s.Finished {
		return nil
	}
	s.Closed = true
	for slot, state := range s.States {
		accepted := state == slotReady || state == slotBatched
		if accepted && abandon {
			abandoned = append(abandoned, slot)
		}
		if state == slotPlanned || accepted && abandon {
			s.setState(slot, slotMissing)
		}
	}
	if abandon {
		s.BatchSlots = nil
	}
	return abandoned
}

// isDone reports whether no slot is left to generate, deliver or acknowledge.
func (s *step) isDone() bool {
	return s.StateCounts[slotPlanned] == 0 && s.StateCounts[slotReady] == 0 && s.StateCounts[slotBatched] == 0
}

// finish closes the step and frees all data of its slots except the list of missing ones.
func (s *step) finish() {
	s.Closed = true
	s.MissingSlots = s.missingSlots()
	s.Finished = true
	s.Groups, s.BatchSlots, s.States, s.Attempts, s.VersionIndex, s.HolderIndex = nil, nil, nil, nil, nil, nil
	s.Tokens, s.Digests, s.VersionLists, s.HolderLists = nil, nil, nil, nil
}
