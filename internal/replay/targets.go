package replay

import (
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/membership"
)

// Admit sets the admission policy of all pools.
type Admit struct {
	Admit  []string `json:"admit"`
	Retire []string `json:"retire"`
}

// Announce is an announcement of a target.
type Announce struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Pool        string `json:"pool"`
}

// Leave withdraws a target.
type Leave struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Dispatch asks whether a target may receive new work.
type Dispatch struct {
	ID string `json:"id"`
}

var targetsEvents = map[string]func() any{
	"admit": new1[Admit], "announce": new1[Announce], "leave": new1[Leave], "dispatch": new1[Dispatch], "expire": new1[Expire],
}

type targetsMachine struct {
	registry *membership.TargetRegistry
	newest   map[string]uint64 // highest incarnation that announced or left
	left     map[string]uint64 // highest incarnation that left
	late     int
	allowed  int
	refused  int
}

func newTargetsMachine() machine {
	return &targetsMachine{registry: membership.NewTargetRegistry(membership.TargetRegistryConfig{}), newest: map[string]uint64{}, left: map[string]uint64{}}
}

func (m *targetsMachine) play(now time.Time, event any) (string, error) {
	switch e := event.(type) {
	case *Admit:
		policy := confstate.AdmissionPolicy{Admit: e.Admit, Retire: e.Retire}
		m.registry.SetPolicy(now, func(_, id string) bool { return policy.Admits(id) })
		return "set", nil
	case *Announce:
		err := m.registry.Announce(now, membership.Announcement{ID: e.ID, Incarnation: e.Incarnation, Pool: e.Pool, Kind: "engine", Slots: 1})
		if err != nil {
			m.refused++
			return failed(err), nil
		}
		m.newest[e.ID] = max(m.newest[e.ID], e.Incarnation)
		return "accepted", nil
	case *Leave:
		if err := m.registry.Leave(now, e.ID, e.Incarnation); err != nil {
			m.refused++
			return failed(err), nil
		}
		m.newest[e.ID], m.left[e.ID] = max(m.newest[e.ID], e.Incarnation), max(m.left[e.ID], e.Incarnation)
		return "left", nil
	case *Dispatch:
		return m.dispatch(now, e.ID), nil
	default:
		return "removed " + list(m.registry.Expire(now)), nil
	}
}

func (m *targetsMachine) dispatch(now time.Time, id string) string {
	if !m.registry.Dispatchable(now, id) {
		return "no"
	}
	m.allowed++
	if m.newest[id] <= m.left[id] {
		m.late++
	}
	return "yes"
}

func (m *targetsMachine) counts() map[string]int {
	return map[string]int{"dispatches": m.allowed, "dispatches_after_leave": m.late, "refused": m.refused, "listed": m.registry.Len()}
}
