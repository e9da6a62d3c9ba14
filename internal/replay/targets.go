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

// Dispatch asks whether a target may receive new requests.
type Dispatch struct {
	ID string `json:"id"`
}

var targetsEvents = map[string]func() any{
	"admit": newEvent[Admit], "announce": newEvent[Announce], "leave": newEvent[Leave], "dispatch": newEvent[Dispatch], "expire": newEvent[Expire],
}

// targetsReplayer replays the registry of targets and detects dispatches to targets that have left.
type targetsReplayer struct {
	registry          *membership.TargetRegistry
	newestIncarnation map[string]uint64 // highest incarnation that announced or left
	leftIncarnation   map[string]uint64 // highest incarnation that left
	allowedAfterLeave int
	allowed           int
	refused           int
}

func newTargetsReplayer() replayer {
	return &targetsReplayer{registry: membership.NewTargetRegistry(membership.TargetRegistryConfig{}), newestIncarnation: map[string]uint64{}, leftIncarnation: map[string]uint64{}}
}

func (rp *targetsReplayer) handle(now time.Time, event any) (string, error) {
	switch e := event.(type) {
	case *Admit:
		policy := confstate.AdmissionPolicy{Admit: e.Admit, Retire: e.Retire}
		rp.registry.SetPolicy(now, func(_, id string) bool { return policy.Admits(id) })
		return "set", nil
	case *Announce:
		err := rp.registry.Announce(now, membership.Announcement{ID: e.ID, Incarnation: e.Incarnation, Pool: e.Pool, Kind: "engine", Slots: 1})
		if err != nil {
			rp.refused++
			return errorVerdict(err), nil
		}
		rp.newestIncarnation[e.ID] = max(rp.newestIncarnation[e.ID], e.Incarnation)
		return "accepted", nil
	case *Leave:
		if err := rp.registry.Leave(now, e.ID, e.Incarnation); err != nil {
			rp.refused++
			return errorVerdict(err), nil
		}
		rp.newestIncarnation[e.ID], rp.leftIncarnation[e.ID] = max(rp.newestIncarnation[e.ID], e.Incarnation), max(rp.leftIncarnation[e.ID], e.Incarnation)
		return "left", nil
	case *Dispatch:
		return rp.dispatch(now, e.ID), nil
	default:
		return "removed " + formatList(rp.registry.Expire(now)), nil
	}
}

func (rp *targetsReplayer) dispatch(now time.Time, id string) string {
	if !rp.registry.Dispatchable(now, id) {
		return "no"
	}
	rp.allowed++
	if rp.newestIncarnation[id] <= rp.leftIncarnation[id] {
		rp.allowedAfterLeave++
	}
	return "yes"
}

func (rp *targetsReplayer) counts() map[string]int {
	return map[string]int{"dispatches": rp.allowed, "dispatches_after_leave": rp.allowedAfterLeave, "refused": rp.refused, "listed": rp.registry.Len()}
}
