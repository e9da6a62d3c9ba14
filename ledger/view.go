package ledger

import (
	"maps"
	"slices"
)

// StepStatus is a summary of a step.
type StepStatus struct {
	Tenancy       string `cbor:"1,keyasint"`
	Step          string `cbor:"2,keyasint"`
	Model         string `cbor:"3,keyasint"`
	Bound         uint64 `cbor:"4,keyasint"`
	DeadlineMs    int64  `cbor:"5,keyasint"`
	Slots         int    `cbor:"6,keyasint"`
	Planned       int    `cbor:"7,keyasint"`
	Ready         int    `cbor:"8,keyasint"`
	Batched       int    `cbor:"9,keyasint"`
	Acknowledged  int    `cbor:"10,keyasint"`
	Missing       int    `cbor:"11,keyasint"`
	Cursor        uint64 `cbor:"12,keyasint"`
	Closed        bool   `cbor:"13,keyasint"`
	Finished      bool   `cbor:"14,keyasint"`
	NewestVersion uint64 `cbor:"15,keyasint"`
}

// HeldSample is an accepted sample with the hosts of its payload.
type HeldSample struct {
	SlotID
	Attempt uint64
	Digest  Digest
	Holders []string
}

// Step returns the summary of a step that is not removed.
func (l *Ledger) Step(tenancy, id string) (StepStatus, bool) {
	t, s := l.step(tenancy, id)
	if s == nil {
		return StepStatus{}, false
	}
	return StepStatus{
		Tenancy: tenancy, Step: id, Model: s.Model, Bound: s.Bound, DeadlineMs: s.DeadlineMs, Slots: s.Size,
		Planned: s.Counts[slotPlanned], Ready: s.Counts[slotReady], Batched: s.Counts[slotBatched],
		Acknowledged: s.Counts[slotAcked], Missing: s.Counts[slotMissing], Cursor: s.Acked,
		Closed: s.Closed, Finished: s.Finished, NewestVersion: t.Newest[s.Model],
	}, true
}

// Steps returns the summaries of all steps by tenancy and name.
func (l *Ledger) Steps() []StepStatus {
	var list []StepStatus
	for _, name := range slices.Sorted(maps.Keys(l.state.Tenancies)) {
		for _, id := range slices.Sorted(maps.Keys(l.state.Tenancies[name].Steps)) {
			st, _ := l.Step(name, id)
			list = append(list, st)
		}
	}
	return list
}

// NewestVersion returns the newest published version of a tenancy's model, or 0.
func (l *Ledger) NewestVersion(tenancy, model string) uint64 {
	if t := l.state.Tenancies[tenancy]; t != nil {
		return t.Newest[model]
	}
	return 0
}

// Counters returns the counts of decisions.
func (l *Ledger) Counters() Counters { return l.state.Counters }

// HeldBy lists the samples that are not acknowledged and whose payload a host holds. After
// the loss of the host the caller finds the payloads that have no holder left.
func (l *Ledger) HeldBy(host string) []HeldSample {
	var list []HeldSample
	for _, name := range slices.Sorted(maps.Keys(l.state.Tenancies)) {
		t := l.state.Tenancies[name]
		for _, id := range slices.Sorted(maps.Keys(t.Steps)) {
			list = t.Steps[id].heldBy(list, host, name, id)
		}
	}
	return list
}

func (s *step) heldBy(list []HeldSample, host, tenancy, id string) []HeldSample {
	for slot, st := range s.States {
		if (st == slotReady || st == slotBatched) && slices.Contains(s.Holders[s.HolderIndex[slot]], host) {
			list = s.appendHeld(list, tenancy, id, []int{slot})
		}
	}
	return list
}

func (s *step) appendHeld(list []HeldSample, tenancy, id string, slots []int) []HeldSample {
	for _, slot := range slots {
		list = append(list, HeldSample{SlotID: SlotID{Tenancy: tenancy, Step: id, Slot: slot}, Attempt: s.Attempts[slot],
			Digest: s.digest(slot), Holders: slices.Clone(s.Holders[s.HolderIndex[slot]])})
	}
	return list
}

// ReadyHeldBy lists the samples that wait for their first delivery and whose payload a host
// holds. Samples of an open batch are left out, because the trainer may have them already.
func (l *Ledger) ReadyHeldBy(host string) []HeldSample {
	var list []HeldSample
	for _, name := range slices.Sorted(maps.Keys(l.state.Tenancies)) {
		t := l.state.Tenancies[name]
		for _, id := range slices.Sorted(maps.Keys(t.Steps)) {
			s := t.Steps[id]
			for slot, st := range s.States {
				if st == slotReady && slices.Contains(s.Holders[s.HolderIndex[slot]], host) {
					list = s.appendHeld(list, name, id, []int{slot})
				}
			}
		}
	}
	return list
}

// Published is the newest version of a tenancy's model.
type Published struct {
	Tenancy string
	Model   string
	Version uint64
}

// PublishedVersions lists the newest versions by tenancy and model.
func (l *Ledger) PublishedVersions() []Published {
	var list []Published
	for _, name := range slices.Sorted(maps.Keys(l.state.Tenancies)) {
		newest := l.state.Tenancies[name].Newest
		for _, model := range slices.Sorted(maps.Keys(newest)) {
			list = append(list, Published{Tenancy: name, Model: model, Version: newest[model]})
		}
	}
	return list
}
