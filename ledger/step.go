package ledger

import (
	"slices"
)

// The states of a slot.
const (
	slotPlanned  = iota // to be generated
	slotReady           // accepted, not in a batch
	slotBatched         // in the open batch
	slotAcked           // acknowledged by the trainer
	slotMissing         // the step closed without it
	slotStateEnd        // number of states
)

// step is one step with its slots in parallel arrays: 53 bytes per slot, and each array is
// one CBOR string or list in a snapshot.
type step struct {
	_          struct{} `cbor:",toarray"`
	Model      string
	Bound      uint64
	DeadlineMs int64
	Content    Digest
	Groups     []Group // nil once the step is finished
	Size       int
	Closed     bool
	Finished   bool
	Acked      uint64 // number of the last acknowledged batch
	Revision   uint64 // of the open batch, 0 right after an acknowledgement
	Batch      []int  // slots of the open batch
	Withdrawn  []int  // since the last acknowledgement and not in the open batch, ascending
	Counts     [slotStateEnd]int
	Lost       Slots // missing slots of a finished step

	States       []byte
	Attempts     []uint64 // accepted attempt, or the last one withdrawn
	VersionIndex []uint32
	HolderIndex  []uint32
	Tokens       []uint32
	Digests      []byte
	Versions     [][]uint64
	Holders      [][]string
	Pool         string
}

func newStep(c *OpenStep, content Digest, slots int) *step {
	s := &step{
		Pool: c.Pool, Model: c.Model, Bound: c.StalenessBound, DeadlineMs: c.DeadlineMs, Content: content,
		Groups: slices.Clone(c.Groups), Size: slots,
		States: make([]byte, slots), Attempts: make([]uint64, slots), VersionIndex: make([]uint32, slots),
		HolderIndex: make([]uint32, slots), Tokens: make([]uint32, slots), Digests: make([]byte, slots*len(Digest{})),
	}
	s.Counts[slotPlanned] = slots
	return s
}

// consistent reports whether restored arrays and indexes agree with each other.
func (s *step) consistent() bool {
	n := s.Size
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
	if samples != n || slices.ContainsFunc(s.Versions, func(v []uint64) bool { return len(v) == 0 }) {
		return false
	}
	var counts [slotStateEnd]int
	for i, st := range s.States {
		if st >= slotStateEnd {
			return false
		}
		counts[st]++
		if (st == slotReady || st == slotBatched) &&
			(!within(int(s.VersionIndex[i]), len(s.Versions)) || !within(int(s.HolderIndex[i]), len(s.Holders))) {
			return false
		}
	}
	for _, slot := range s.Batch {
		if !within(slot, n) {
			return false
		}
	}
	return s.Finished || counts == s.Counts
}

func (s *step) set(slot int, state byte) {
	s.Counts[s.States[slot]]--
	s.States[slot] = state
	s.Counts[state]++
}

func (s *step) oldest(slot int) uint64 { return slices.Min(s.Versions[s.VersionIndex[slot]]) }

func (s *step) digest(slot int) (d Digest) {
	copy(d[:], s.Digests[slot*len(d):])
	return d
}

func tooOld(oldest, newest, bound uint64) bool { return newest > oldest && newest-oldest > bound }

func (s *step) accept(p *AttemptOutput, newest uint64) Verdict {
	switch {
	case !within(p.Slot, s.Size):
		return UnknownSlot
	case s.Finished:
		return StepClosed
	case s.States[p.Slot] == slotMissing:
		return StepClosed
	case s.States[p.Slot] != slotPlanned:
		if p.Attempt == s.Attempts[p.Slot] {
			return Repeated
		}
		return Duplicate
	case p.Attempt <= s.Attempts[p.Slot]:
		return Superseded
	case len(p.Versions) == 0 || slices.Contains(p.Versions, 0):
		return NoLabels
	case slices.Max(p.Versions) > newest:
		return NotPublished
	case tooOld(slices.Min(p.Versions), newest, s.Bound):
		return TooOld
	}
	s.set(p.Slot, slotReady)
	s.Attempts[p.Slot] = p.Attempt
	s.VersionIndex[p.Slot] = uint32(intern(&s.Versions, p.Versions))
	s.HolderIndex[p.Slot] = uint32(intern(&s.Holders, p.Holders))
	s.Tokens[p.Slot] = p.Tokens
	copy(s.Digests[p.Slot*len(p.Digest):], p.Digest[:])
	return Accepted
}

// acknowledge moves the cursor when Ack names the open batch, and returns the slots that are
// acknowledged by it.
func (s *step) acknowledge(c *Fetch) ([]int, error) {
	if c.Ack == s.Acked {
		return nil, nil
	}
	open := uint64(0)
	if len(s.Batch) > 0 {
		open = s.Acked + 1
	}
	if open == 0 || c.Ack != open || (c.AckRevision != 0 && c.AckRevision != s.Revision) {
		return nil, &CursorMismatch{Step: c.Step, Acknowledged: s.Acked, Open: open, Revision: s.Revision,
			Ack: c.Ack, AckRevision: c.AckRevision}
	}
	for _, slot := range s.Batch {
		s.set(slot, slotAcked)
	}
	slots := s.Batch
	s.Acked, s.Revision, s.Batch, s.Withdrawn = c.Ack, 0, nil, nil
	return slots, nil
}

// withdraw returns samples outside the staleness bound to planned, or to missing in a
// closed step.
func (s *step) withdraw(newest uint64, withBatch bool) (withdrawn []int) {
	if s.Counts[slotReady] == 0 && (!withBatch || len(s.Batch) == 0) {
		return nil
	}
	stale := make([]bool, len(s.Versions))
	any := false
	for i, v := range s.Versions {
		stale[i] = tooOld(slices.Min(v), newest, s.Bound)
		any = any || stale[i]
	}
	if !any {
		return nil
	}
	for slot, st := range s.States {
		if (st == slotReady || withBatch && st == slotBatched) && stale[s.VersionIndex[slot]] {
			withdrawn = append(withdrawn, slot)
		}
	}
	s.takeBack(withdrawn)
	return withdrawn
}

// takeBack returns accepted slots, given in ascending order. The accepted attempt stays as
// the floor, so that a repetition of its output is not accepted.
func (s *step) takeBack(slots []int) {
	state := byte(slotPlanned)
	if s.Closed {
		state = slotMissing
	}
	for _, slot := range slots {
		s.set(slot, state)
	}
	if kept := slices.DeleteFunc(s.Batch, func(slot int) bool { return s.States[slot] != slotBatched }); len(kept) < len(s.Batch) {
		s.Batch = kept
		s.Revision++
	}
	s.Withdrawn = append(s.Withdrawn, slots...)
	slices.Sort(s.Withdrawn)
	s.Withdrawn = slices.Compact(s.Withdrawn)
}

func (s *step) lose(slot int, attempt uint64) bool {
	if s.Finished || (s.States[slot] != slotReady && s.States[slot] != slotBatched) {
		return false
	}
	if attempt != 0 && attempt != s.Attempts[slot] {
		return false
	}
	s.takeBack([]int{slot})
	return true
}

// fillBatch opens a batch when none is open. Samples with the oldest versions go first,
// because they are the next to leave the staleness bound.
func (s *step) fillBatch(limit int) {
	if len(s.Batch) > 0 || s.Counts[slotReady] == 0 {
		return
	}
	if limit == 0 {
		limit = DefaultBatch
	}
	byVersion := map[uint64][]int{}
	var versions []uint64
	for slot, st := range s.States {
		if st != slotReady {
			continue
		}
		v := s.oldest(slot)
		if byVersion[v] == nil {
			versions = append(versions, v)
		}
		byVersion[v] = append(byVersion[v], slot)
	}
	slices.Sort(versions)
	for _, v := range versions {
		take := byVersion[v][:min(limit-len(s.Batch), len(byVersion[v]))]
		s.Batch = append(s.Batch, take...)
	}
	for _, slot := range s.Batch {
		s.set(slot, slotBatched)
	}
	s.Withdrawn = slices.DeleteFunc(s.Withdrawn, func(slot int) bool { return s.States[slot] == slotBatched })
	s.Revision++
}

func (s *step) batch() *Batch {
	b := &Batch{Number: s.Acked, Withdrawn: slices.Clone(s.Withdrawn), Missing: s.missing(), Ready: s.Counts[slotReady],
		Closed: s.Closed, Complete: s.Finished}
	if len(s.Batch) == 0 {
		return b
	}
	b.Number, b.Revision = s.Acked+1, s.Revision
	starts := s.groupStarts()
	for _, slot := range s.Batch {
		b.Samples = append(b.Samples, s.sample(slot, starts))
	}
	return b
}

func (s *step) sample(slot int, starts []int) SampleRef {
	return SampleRef{
		Slot: slot, Group: groupOf(starts, slot), Attempt: s.Attempts[slot], Versions: slices.Clone(s.Versions[s.VersionIndex[slot]]),
		Digest: s.digest(slot), Tokens: s.Tokens[slot], Holders: slices.Clone(s.Holders[s.HolderIndex[slot]]),
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

func groupOf(starts []int, slot int) int {
	i, found := slices.BinarySearch(starts, slot)
	if !found {
		i--
	}
	return i
}

func (s *step) missing() Slots {
	if s.Finished {
		return slices.Clone(s.Lost)
	}
	want := byte(slotPlanned)
	if s.Closed {
		want = slotMissing
	}
	missing := make(Slots, 0, s.Counts[want])
	for slot, st := range s.States {
		if st == want {
			missing = append(missing, slot)
		}
	}
	return missing
}

// close gives up planned slots and returns the accepted slots that it abandons.
func (s *step) close(abandon bool) (abandoned []int) {
	if s.Finished {
		return nil
	}
	s.Closed = true
	for slot, st := range s.States {
		accepted := st == slotReady || st == slotBatched
		if accepted && abandon {
			abandoned = append(abandoned, slot)
		}
		if st == slotPlanned || accepted && abandon {
			s.set(slot, slotMissing)
		}
	}
	if abandon {
		s.Batch = nil
	}
	return abandoned
}

// done reports whether nothing is left to generate, deliver or acknowledge.
func (s *step) done() bool {
	return s.Counts[slotPlanned] == 0 && s.Counts[slotReady] == 0 && s.Counts[slotBatched] == 0
}

func (s *step) finish() {
	s.Closed = true
	s.Lost = s.missing()
	s.Finished = true
	s.Groups, s.Batch, s.States, s.Attempts, s.VersionIndex, s.HolderIndex = nil, nil, nil, nil, nil, nil
	s.Tokens, s.Digests, s.Versions, s.Holders = nil, nil, nil, nil
}
