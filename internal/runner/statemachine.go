package runner

import (
	"bytes"
	"io"
	"sync"

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/broadcast"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/jobs"
	"fuchsiaflow/quarantine"
)

// StateMachine is the replicated state machine of the state group. It notifies its readers of changes
// and implements group.StateMachine. It is safe for concurrent use.
type StateMachine struct {
	// OnConfig is called with each new committed configuration, and OnDeparture with each new departure of a
	// target, while the machine is locked.
	OnConfig    func(clusterview.Config)
	OnDeparture func(fleet.Departure)
	// OnStoredDeparture is called when the replica starts with each departure in its log, which may not be committed;
	// nil if nobody needs them.
	OnStoredDeparture func(fleet.Departure)
	// OnQuarantine is called with the requests whose state of quarantine has changed, while the machine is locked; nil
	// if nobody needs them.
	OnQuarantine func([]quarantine.Entry)

	mu             sync.Mutex
	state          *storestate.State
	revision       uint64
	changed        broadcast.Signal
	newJobs        []jobs.Key // jobs that TakeNewJobs has not returned yet
	newestSequence uint64     // sequence number of the newest job seen
	configVersion  uint64     // newest version passed to OnConfig
	// departureRevision is the revision of the departures up to which all were passed to OnDeparture.
	departureRevision uint64
	// quarantineRevision is the same for OnQuarantine.
	quarantineRevision uint64
}

// NewStateMachine returns an empty state machine.
func NewStateMachine(onConfig func(clusterview.Config), onDeparture func(fleet.Departure)) *StateMachine {
	return &StateMachine{OnConfig: onConfig, OnDeparture: onDeparture, state: storestate.New()}
}

// Apply implements group.StateMachine.
func (m *StateMachine) Apply(index uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.state.Apply(index, cmd)
	m.publishChange()
	return out
}

// ReadStored implements group.LogReader. A target has said that it leaves, whether or not that was committed.
func (m *StateMachine) ReadStored(cmd []byte) {
	if m.OnStoredDeparture == nil {
		return
	}
	if d, ok := storestate.StoredDeparture(cmd); ok {
		m.OnStoredDeparture(d)
	}
}

// publishChange increments the revision, records new jobs, reports a new configuration and new departures,
// and wakes the readers. The caller holds mu.
func (m *StateMachine) publishChange() {
	m.revision++
	entries := m.state.Jobs().Entries()
	for i := len(entries) - 1; i >= 0 && entries[i].Sequence > m.newestSequence; i-- {
		m.newJobs = append(m.newJobs, entries[i].Key())
	}
	if n := len(entries); n > 0 {
		m.newestSequence = max(m.newestSequence, entries[n-1].Sequence)
	}
	if c := m.state.Config(); c.Version > m.configVersion {
		m.configVersion = c.Version
		m.OnConfig(clusterview.Config{Version: c.Version, Body: c.Body})
	}
	departures := m.state.Departures()
	for _, d := range departures.AddedAfter(m.departureRevision) {
		m.OnDeparture(d)
	}
	m.departureRevision = departures.Revision()
	m.publishQuarantine()
	m.changed.Announce()
}

// publishQuarantine reports requests whose state of quarantine has changed. The caller holds mu.
func (m *StateMachine) publishQuarantine() {
	table := m.state.Quarantine()
	if table.Revision() <= m.quarantineRevision || m.OnQuarantine == nil {
		return
	}
	m.OnQuarantine(table.ChangedAfter(m.quarantineRevision))
	m.quarantineRevision = table.Revision()
}

// Snapshot implements group.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	var out bytes.Buffer
	err := m.WriteSnapshot(&out)
	return out.Bytes(), err
}

// Restore implements group.StateMachine.
func (m *StateMachine) Restore(data []byte) error { return m.ReadSnapshot(bytes.NewReader(data)) }

// WriteSnapshot implements group.StreamingStateMachine.
func (m *StateMachine) WriteSnapshot(w io.Writer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.WriteSnapshot(w)
}

// ReadSnapshot implements group.StreamingStateMachine.
func (m *StateMachine) ReadSnapshot(r io.Reader) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.state.ReadSnapshot(r); err != nil {
		return err
	}
	m.departureRevision, m.quarantineRevision = 0, 0 // revisions of the replaced state do not apply to the snapshot
	m.publishChange()
	return nil
}

// View calls fn with the state locked. fn must not retain references to the state.
func (m *StateMachine) View(fn func(*storestate.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn(m.state)
}

// Changed returns a channel that is closed when the state changes next.
func (m *StateMachine) Changed() <-chan struct{} { return m.changed.Next() }

// Revision returns a number that increases with each change.
func (m *StateMachine) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// TakeNewJobs returns the keys of the jobs that were added since the last call.
func (m *StateMachine) TakeNewJobs() []jobs.Key {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.newJobs
	m.newJobs = nil
	return out
}
