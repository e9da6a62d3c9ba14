package store

import (
	"math/rand/v2"

	"fuchsiaflow/internal/duty"
	"fuchsiaflow/internal/rolehost"
)

// newUsageReporter returns the duty that reports the usage of client accounts.
func (st *Store) newUsageReporter() *duty.UsageReporter {
	s := st.opts.Settings
	return duty.NewUsageReporter(duty.UsageOptions{Usage: s.Usage, CallsPerSecond: s.Platform.CallsPerSecond, Tenure: st.tenure, Leads: st.group.IsLeader,
		State: st.stateMachine, Propose: st.group.Propose, HasAccounts: st.hasAccounts, Platform: st.opts.Platform, ReadClocks: rolehost.ReadClocks,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: st.opts.Log, Metrics: st.opts.Metrics})
}

// hasAccounts reports whether the configuration in force has client accounts.
func (st *Store) hasAccounts() bool {
	t := st.view.Table()
	return t != nil && len(t.Config.Accounts) > 0
}
