package ledger

import (
	"maps"
	"slices"
)

// StepStatus is a summary of a step.
type StepStatus struct {
	Tenancy        string `cbor:"1,keyasint"`
	Step           string `cbor:"2,keyasint"`
	Model          string `cbor:"3,keyasint"`
	StalenessBound uint64 `cbor:"4,keyasint"`
	DeadlineMs     int64  `cbor:"5,keyasint"`
	Slots          int    `cbor:"6,keyasint"`
	Planned        int    `cbor:"7,keyasint"`
	Ready          int    `cbor:"8,keyasint"`
	Batched        int    `cbor:"9,keyasint"`
	Acknowledged   int    `cbor:"10,keyasint"`
	Missing        int    `cbor:"11,keyasint"`
	Cursor         uint64 `cbor:"12,keyasint"`
	Closed         bool   `cbor:"13,keyasint"`
	Finished       bool   `cbor:"14,keyasint"`
	NewestVersion  uint64 `cbor:"15,keyasint"`
}

// HeldSample is an accepted sample and the hosts that hold its payload.
type HeldSample struct {
	SlotID
	Attempt uint64
	Digest  Digest
	Holders []string
}

// Step returns the summary of a step, unless it is unknown or removed.
func (l *Ledger) Step(tenancy, id string) (StepStatus, bool) {
	t, s := l.findStep(tenancy, id)
	if s == nil {
		return StepStatus{}, false
	}
	return StepStatus{
		Tenancy: tenancy, Step: id, Model: s.Model, StalenessBound: s.StalenessBound, DeadlineMs: s.DeadlineMs, Slots: s.SlotCount,
		Planned: s.StateCounts[slotPlanned], Ready: s.StateCounts[slotReady], Batched: s.StateCounts[slotBatched],
		Acknowledged: s.StateCounts[slotAcked], Missing: s.StateCounts[slotMissing], Cursor: s.AckedBatch,
		Closed: s.Closed, Finished: s.Finished, NewestVersion: t.NewestVersions[s.Model],
	}, true
}

// Steps returns the summaries of all steps, sorted by tenancy and name.
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

// NewestVersion returns the newest published version of a tenancy's model, or 0 if none is published.
func (l *Ledger) NewestVersion(tenancy, model string) uint64 {
	if t := l.state.Tenancies[tenancy]; t != nil {
		return t.NewestVersions[model]
	}
	return 0
}

// Counters returns the counters of the ledger.
func (l *Ledger) Counters() Counters { return l.state.Counters }

// HeldBy lists the accepted samples that are not acknowledged and whose payload a host holds.
// After the loss of a host, the caller uses it to find payloads without a remaining holder.
func (l *Ledger) HeldBy(host string) []HeldSample {
	var list []HeldSample
	for _, name := range slices.Sorted(maps.Keys(l.state.Tenancies)) {
		t := l.state.Tenancies[name]
		for _, id := range slices.Sorted(maps.Keys(t.Steps)) {
			list = t.Steps[id].appendHeldBy(list, host, name, id)
		}
	}
	return list
}

func (s *step) appendHeldBy(list []HeldSample, host, tenancy, id string) []HeldSample {
	for slot, state := range s.States {
		if (state == slotReady || state == slotBatched) && slices.Contains(s.HolderLists[s.HolderIndex[slot]], host) {
			list = s.appendHeld(list, tenancy, id, []int{slot})
		}
	}
	return list
}

func (s *step) appendHeld(list []HeldSample, tenancy, id string, slots []int) []HeldSample {
	for _, slot := range slots {
		list = append(list, HeldSample{SlotID: SlotID{Tenancy: tenancy, Step: id, Slot: slot}, Attempt: s.Attempts[slot],
			Digest: s.digest(slot), Holders: slices.Clone(s.HolderLists[s.HolderIndex[slot]])})
	}
	return list
}

// ReadyHeldBy lists the accepted samples that are not in a batch and whose payload a host holds.
// Samples of an open batch are omitted, because the trainer may have them already.
func (l *Ledger) ReadyHeldBy(host string) []HeldSample {
	var list []HeldSample
	for _, name := range slices.Sorted(maps.Keys(l.state.Tenancies)) {
		t := l.state.Tenancies[name]
		for _, id := range slices.Sorted(maps.Keys(t.Steps)) {
			s := t.Steps[id]
			for slot, state := range s.States {
				if state == slotReady && slices.Contains(s.HolderLists[s.HolderIndex[slot]], host) {
					list = s.appendHeld(list, name, id, []int{slot})
				}
			}
		}
	}
	return list
}

// PublishedVersion is the newest version of a tenancy's model.
type PublishedVersion struct {
	Tenancy string
	Model   string
	Version uint64
}

// PublishedVersions lists the newest versions, sorted by tenancy and model.
func (l *Ledger) PublishedVersions() []PublishedVersion {
	var list []PublishedVersion
	for _, name := range slices.Sorted(maps.Keys(l.state.Tenancies)) {
		newest := l.state.Tenancies[name].NewestVersions
		for _, model := range slices.Sorted(maps.Keys(newest)) {
			list = append(list, PublishedVersion{Tenancy: name, Model: model, Version: newest[model]})
		}
	}
	return list
}
