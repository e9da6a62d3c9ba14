package store

import (
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/duty"
)

// newTargets returns the duty that orders targets. It does nothing unless the settings ask for it.
func (st *Store) newTargets() *duty.Targets {
	o := duty.TargetsOptions{CallsPerSecond: st.opts.Settings.Platform.CallsPerSecond, LeaderTerm: st.leaderTerm, Table: st.view.Table, Fleet: st.fleet,
		Demand: st.runner.Demand, Now: bootclock.Now, Log: st.opts.Log, Metrics: st.opts.Metrics}
	if st.opts.Settings.Platform.OrdersTargets {
		o.Tenure, o.Client = st.tenure, st.opts.Platform
	}
	return duty.NewTargets(o)
}

// leaderTerm returns the newest term of the state group that this host knows.
func (st *Store) leaderTerm() uint64 {
	_, term, _ := st.group.Leader()
	return term
}

// fleet returns all known targets. Those that have announced their departure to this host alone count as leaving.
func (st *Store) fleet() []fleet.Target {
	list, _ := st.view.TargetsSince(0)
	for i := range list {
		if t := &list[i]; t.State == fleet.Ready && !st.view.Accepts(t.ID, t.Incarnation) {
			t.State = fleet.Draining
		}
	}
	return list
}
