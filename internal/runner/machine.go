package runner

import (
	"bytes"
	"io"
	"sync"

	"fuchsiaflow/internal/mesh"
	"fuchsiaflow/internal/storestate"
)

// StateMachine is the replicated state machine with notice of its changes. It implements
// group.StateMachine.
type StateMachine struct {
	// OnConfig is called with each configuration that is committed.
	OnConfig func(mesh.Config)

	mu       sync.Mutex
	state    *storestate.State
	revision uint64
	changed  chan struct{}
	fresh    []string // jobs that were not asked for with NewJobs
	newest   uint64   // order of the newest job that was noticed
	config   uint64
}

// NewStateMachine returns a machine in the state before the first command.
func NewStateMachine(onConfig func(mesh.Config)) *StateMachine {
	return &StateMachine{OnConfig: onConfig, state: storestate.New(), changed: make(chan struct{})}
}

// Apply implements group.StateMachine.
func (m *StateMachine) Apply(index uint64, cmd []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.state.Apply(index, cmd)
	m.notify()
	return out
}

// notify tells of a change; the caller holds the lock.
func (m *StateMachine) notify() {
	m.revision++
	entries := m.state.Book().Entries()
	for i := len(entries) - 1; i >= 0 && entries[i].Order > m.newest; i-- {
		m.fresh = append(m.fresh, entries[i].ID)
	}
	if n := len(entries); n > 0 {
		m.newest = max(m.newest, entries[n-1].Order)
	}
	if c := m.state.Config(); c.Version > m.config {
		m.config = c.Version
		m.OnConfig(mesh.Config{Version: c.Version, Body: c.Body})
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot implements group.StateMachine.
func (m *StateMachine) Snapshot() ([]byte, error) {
	var out bytes.Buffer
	err := m.WriteSnapshot(&out)
	return out.Bytes(), err
}

// Restore implements group.StateMachine.
func (m *StateMachine) Restore(data []byte) error { return m.ReadSnapshot(bytes.NewReader(data)) }

// WriteSnapshot implements group.StreamedState.
func (m *StateMachine) WriteSnapshot(w io.Writer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.WriteSnapshot(w)
}

// ReadSnapshot implements group.StreamedState.
func (m *StateMachine) ReadSnapshot(r io.Reader) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.state.ReadSnapshot(r); err != nil {
		return err
	}
	m.notify()
	return nil
}

// View runs fn while the state does not change. fn must not keep what it gets.
func (m *StateMachine) View(fn func(*storestate.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fn(m.state)
}

// Changed returns a channel that is closed at the next change.
func (m *StateMachine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Revision rises with each change.
func (m *StateMachine) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// NewJobs returns the jobs that have appeared since the last call.
func (m *StateMachine) NewJobs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.fresh
	m.fresh = nil
	return out
}
