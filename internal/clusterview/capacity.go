package clusterview

import (
	"time"

	"fuchsiaflow/capacity"
	"fuchsiaflow/internal/bootclock"
)

// AddCapacity merges what a host has learned of targets with what others have learned. Only the leader of the state group
// may use it. The statements are passed on with the next event of each watch and do not cause an event.
func (v *View) AddCapacity(list []capacity.Statement) {
	now := bootclock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range boundedCapacity(list) {
		v.capacity.Add(now, s)
	}
}

// replaceCapacity records statements that the leader has merged. The caller holds the lock.
func (v *View) replaceCapacity(now time.Time, list []capacity.Statement) {
	for _, s := range boundedCapacity(list) {
		v.capacity.Replace(now, s)
	}
}

// boundedCapacity returns the statements of a message that are used.
func boundedCapacity(list []capacity.Statement) []capacity.Statement {
	return list[:min(len(list), capacity.MaxStatements)]
}

// CapacitySince returns the statements to send in a watch stream; see capacity.Table.ChangedSince.
func (v *View) CapacitySince(revision uint64) ([]capacity.Statement, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.capacity.ChangedSince(bootclock.Now(), revision)
}
