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

// OfferConfig offers a committed version to a host. Durable means that it is committed in the host's
// domain group.
type OfferConfig struct {
	Host    string `json:"host"`
	Version uint64 `json:"version"`
	Durable bool   `json:"durable"`
}

// ConfirmConfig tells a host the newest version of its domain group.
type ConfirmConfig struct {
	Host    string `json:"host"`
	Version uint64 `json:"version"`
}

// RestartHost discards the in-memory state of a host.
type RestartHost struct {
	Host string `json:"host"`
}

var configEvents = map[string]func() any{
	"apply": newEvent[ApplyConfig], "offer": newEvent[OfferConfig], "confirm": newEvent[ConfirmConfig],
	"restart": newEvent[RestartHost], "restore": newEvent[Restore],
}

// configReplayer replays a confstate.Store and the confstate.Activator of each host.
type configReplayer struct {
	store    *confstate.Store
	entries  map[uint64]confstate.Entry
	hosts    map[string]*confstate.Activator
	results  map[string]int
	reverted int // events after which a host had an older active version
}

func newConfigReplayer() replayer {
	return &configReplayer{store: confstate.NewStore(), entries: map[uint64]confstate.Entry{},
		hosts: map[string]*confstate.Activator{}, results: map[string]int{}}
}

func (rp *configReplayer) handle(_ time.Time, event any) (string, error) {
	switch e := event.(type) {
	case *ApplyConfig:
		return rp.apply(e), nil
	case *OfferConfig:
		return rp.activate(e.Host, e.Version, func(a *confstate.Activator, entry confstate.Entry) (bool, error) {
			return a.Offer(entry, e.Durable)
		})
	case *ConfirmConfig:
		return rp.activate(e.Host, e.Version, (*confstate.Activator).Confirm)
	case *RestartHost:
		delete(rp.hosts, e.Host)
		return "restarted", nil
	default:
		return "restored", rp.restore()
	}
}

func (rp *configReplayer) apply(e *ApplyConfig) string {
	cfg, err := confstate.Parse(e.Config)
	if err != nil {
		rp.results["refused"]++
		return errorVerdict(err)
	}
	r := rp.store.Apply(confstate.NewChange(cfg, e.Operator))
	if r.Kind == confstate.Committed {
		rp.entries[cfg.Version] = rp.store.Current()
	}
	rp.results[string(r.Kind)]++
	return string(r.Kind)
}

// activate passes a committed version to the activator of a host.
func (rp *configReplayer) activate(host string, version uint64, activate func(*confstate.Activator, confstate.Entry) (bool, error)) (string, error) {
	entry, ok := rp.entries[version]
	if !ok {
		return unknownReference("committed version", fmt.Sprint(version))
	}
	a := rp.hosts[host]
	if a == nil {
		a = confstate.NewActivator()
		rp.hosts[host] = a
	}
	before := a.Active().Version
	if _, err := activate(a, entry); err != nil {
		return errorVerdict(err), nil
	}
	if a.Active().Version < before {
		rp.reverted++
	}
	return fmt.Sprintf("active %d ready %t", a.Active().Version, a.Ready()), nil
}

func (rp *configReplayer) restore() error {
	data, err := rp.store.Snapshot()
	if err != nil {
		return err
	}
	rp.store = confstate.NewStore()
	return rp.store.Restore(data)
}

func (rp *configReplayer) counts() map[string]int {
	counts := map[string]int{"current_version": int(rp.store.Current().Version), "reverted": rp.reverted}
	for kind, n := range rp.results {
		counts[kind] = n
	}
	return counts
}
