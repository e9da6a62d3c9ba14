package fleet

import (
	"testing"
	"time"
)

// servingIDs returns the targets of a registry that accept new work.
func servingIDs(r *Registry) string {
	ids := ""
	for _, t := range r.Serving("") {
		ids += t.ID
	}
	return ids
}

// Guards against a target that one statement of a foreign sender takes out of use while it goes on reporting, here
// and at a host that receives relayed reports only.
func TestTargetThatGoesOnReportingKeepsItsAddress(t *testing.T) {
	r, other := NewRegistry(time.Hour, time.Second, time.Second), NewRegistry(time.Hour, time.Second, time.Second)
	revision := uint64(0)
	relay := func(now time.Time) {
		var list []Target
		list, revision = r.ChangesSince(now, revision)
		for _, target := range list {
			other.Merge(now, target)
		}
	}
	r.Update(t0, newTarget("a", "addr", 1, 1, Ready))
	r.Update(t0, newTarget("x", "addr", 2, 1, Ready))
	relay(t0)
	const interval = 1200 * time.Millisecond // of the heartbeats
	for seq := uint64(2); seq <= 5; seq++ {
		now := t0.Add(time.Duration(seq-1) * interval)
		r.Update(now, newTarget("a", "addr", 1, seq, Ready))
		relay(now)
	}
	if got := servingIDs(r) + " " + servingIDs(other); got != "a a" {
		t.Errorf("serving here and at the other host: %q, want a at both", got)
	}
	r.Update(t0.Add(6*interval), newTarget("x", "addr", 2, 2, Ready))
	if got := servingIDs(r); got != "a" {
		t.Errorf("serving after a second statement of the foreign sender: %q, want a", got)
	}
}

// Guards against requests to an address that a new target uses, because late reports of the crashed one before
// it arrive.
func TestReusedAddressBelongsToTheNewTarget(t *testing.T) {
	r := NewRegistry(time.Hour, time.Second, time.Second)
	r.Update(t0, newTarget("old", "addr", 1, 1, Ready))
	for i := range 4 {
		r.Update(t0.Add(time.Duration(i)*time.Second), newTarget("new", "addr", 2, uint64(i+1), Ready))
	}
	for seq := uint64(2); seq < 9; seq++ { // a partition heals: all come at once
		r.Update(t0.Add(3*time.Second+time.Duration(seq)*time.Millisecond), newTarget("old", "addr", 1, seq, Ready))
	}
	if got := servingIDs(r); got != "new" {
		t.Errorf("serving: %q, want new", got)
	}
}

// Guards against an entry of a foreign service that takes the address of a target, and against a target that stays
// unknown because its service was configured after its first report.
func TestUnconfiguredServiceClaimsNoAddress(t *testing.T) {
	configured := map[string]bool{"s": true}
	r := NewRegistry(time.Hour, time.Second, time.Second)
	r.IsConfigured = func(service string) bool { return configured[service] }
	r.Update(t0, newTarget("a", "addr", 1, 1, Ready))
	foreign := newTarget("x", "addr", 2, 1, Ready)
	foreign.Service = "foreign"
	r.Update(t0, foreign)
	if list := r.Serving("s"); len(list) != 1 || list[0].ID != "a" {
		t.Errorf("serving: %+v, want a", list)
	}
	configured["foreign"] = true
	foreign.Sequence++
	r.Update(t0.Add(time.Second), foreign)
	if got := servingIDs(r); got != "x" {
		t.Errorf("serving after the service was configured: %q, want x, which was started later", got)
	}
}
