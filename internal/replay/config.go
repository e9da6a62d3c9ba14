package replay

import (
	"encoding/json"
	"fmt"
	"time"

	"fuchsiaflow/confstate"
)

// ApplyConfig submits a configuration file.
type ApplyConfig struct {
	Operator string          `json:"operator"`
	Config   json.RawMessage `json:"config"`
}

// OfferConfig offers a committed version to a host. Durable states that it is committed in
// the host's domain group.
type OfferConfig struct {
	Host    string `json:"host"`
	Version uint64 `json:"version"`
	Durable bool   `json:"durable"`
}

// ConfirmConfig lets a host read the newest version of its domain group.
type ConfirmConfig struct {
	Host    string `json:"host"`
	Version uint64 `json:"version"`
}

// RestartHost loses the memory of a host.
type RestartHost struct {
	Host string `json:"host"`
}

var configEvents = map[string]func() any{
	"apply": new1[ApplyConfig], "offer": new1[OfferConfig], "confirm": new1[ConfirmConfig],
	"restart": new1[RestartHost], "restore": new1[Restore],
}

type configMachine struct {
	store    *confstate.Store
	entries  map[uint64]confstate.Entry
	hosts    map[string]*confstate.Activator
	results  map[string]int
	reverted int
}

func newConfigMachine() machine {
	return &configMachine{store: confstate.NewStore(), entries: map[uint64]confstate.Entry{},
		hosts: map[string]*confstate.Activator{}, results: map[string]int{}}
}

func (m *configMachine) play(_ time.Time, event any) (string, error) {
	switch e := event.(type) {
	case *ApplyConfig:
		return m.apply(e), nil
	case *OfferConfig:
		return m.activate(e.Host, e.Version, func(a *confstate.Activator, entry confstate.Entry) (bool, error) {
			return a.Offer(entry, e.Durable)
		})
	case *ConfirmConfig:
		return m.activate(e.Host, e.Version, (*confstate.Activator).Confirm)
	case *RestartHost:
		delete(m.hosts, e.Host)
		return "restarted", nil
	default:
		return "restored", m.restore()
	}
}

func (m *configMachine) apply(e *ApplyConfig) string {
	cfg, err := confstate.Parse(e.Config)
	if err != nil {
		m.results["refused"]++
		return failed(err)
	}
	r := m.store.Apply(confstate.NewChange(cfg, e.Operator))
	if r.Kind == confstate.Committed {
		m.entries[cfg.Version] = m.store.Current()
	}
	m.results[string(r.Kind)]++
	return string(r.Kind)
}

func (m *configMachine) activate(host string, version uint64, give func(*confstate.Activator, confstate.Entry) (bool, error)) (string, error) {
	entry, ok := m.entries[version]
	if !ok {
		return unknownName("committed version", fmt.Sprint(version))
	}
	a := m.hosts[host]
	if a == nil {
		a = confstate.NewActivator()
		m.hosts[host] = a
	}
	before := a.Active().Version
	if _, err := give(a, entry); err != nil {
		return failed(err), nil
	}
	if a.Active().Version < before {
		m.reverted++
	}
	return fmt.Sprintf("active %d ready %t", a.Active().Version, a.Ready()), nil
}

func (m *configMachine) restore() error {
	data, err := m.store.Snapshot()
	if err != nil {
		return err
	}
	m.store = confstate.NewStore()
	return m.store.Restore(data)
}

func (m *configMachine) counts() map[string]int {
	counts := map[string]int{"current_version": int(m.store.Current().Version), "reverted": m.reverted}
	for kind, n := range m.results {
		counts[kind] = n
	}
	return counts
}
