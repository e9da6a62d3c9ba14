package host

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/api"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/membership"
	"fuchsiaflow/routing"
)

const (
	// targetSweep is the interval at which leases of targets are checked. It bounds the time
	// between the end of a lease and the last dispatch.
	targetSweep = 200 * time.Millisecond
	// forwardTimeout bounds the call to the owner of a target.
	forwardTimeout = 2 * time.Second
)

// targetService is the registry of the targets that this host owns. It forwards what other
// targets say to their owners.
type targetService struct {
	self       string
	domain     string
	members    *membershipService
	peer       func(host string) (rpc.PeerClient, error)
	dispatcher *dispatcher
	log        *slog.Logger

	mu       sync.Mutex
	registry *membership.TargetRegistry
	targets  map[string]api.Announcement
}

func newTargetService(self, domain string, lease time.Duration, members *membershipService,
	peer func(string) (rpc.PeerClient, error), d *dispatcher, log *slog.Logger) *targetService {
	return &targetService{
		self:       self,
		domain:     domain,
		members:    members,
		peer:       peer,
		dispatcher: d,
		log:        log,
		registry:   membership.NewTargetRegistry(membership.TargetRegistryConfig{Lease: lease}),
		targets:    make(map[string]api.Announcement),
	}
}

// Start implements kernel.Service.
func (t *targetService) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("targets/sweep", targetSweep, func(context.Context) { t.sweep() })
	return nil
}

// Stop implements kernel.Service.
func (t *targetService) Stop(context.Context) error { return nil }

// SetConfig applies the admission policy of a configuration at once.
func (t *targetService) SetConfig(cfg *confstate.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.SetPolicy(time.Now(), cfg.Admits)
	t.refresh(time.Now())
}

// Announce implements api.Targets.
func (t *targetService) Announce(ctx context.Context, a api.Announcement) error {
	if a.FailureDomain != t.domain {
		return &errs.Invalid{Path: "$.failure_domain", Want: "the failure domain of the host, " + t.domain, Got: a.FailureDomain}
	}
	owner := t.members.Owner(a.ID)
	if owner == t.self || owner == "" {
		return t.accept(a)
	}
	body, err := json.Marshal(a)
	if err != nil {
		return &errs.Corrupt{What: "announcement", Detail: err.Error()}
	}
	return t.forward(ctx, owner, &rpc.AnnounceRequest{Announcement: body, Forwarded: true})
}

func (t *targetService) forward(ctx context.Context, owner string, req *rpc.AnnounceRequest) error {
	peer, err := t.peer(owner)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	_, err = peer.Announce(ctx, req)
	return err
}

// accept takes an announcement as the owner.
func (t *targetService) accept(a api.Announcement) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	err := t.registry.Announce(now, membership.Announcement{
		ID: a.ID, Incarnation: a.Incarnation, Domain: a.FailureDomain, Pool: a.Pool, Address: a.Address,
		Kind: a.Kind, Slots: a.Slots, Loaded: a.Loaded, Running: a.Load.Running, Queued: a.Load.Queued,
	})
	if err != nil {
		t.refresh(now)
		return err
	}
	t.targets[a.ID] = a
	t.update(now, a.ID)
	return nil
}

// Leave implements api.Targets. The departure is told to all hosts of the failure domain,
// because the owner may have changed a moment ago.
func (t *targetService) Leave(ctx context.Context, id string, r api.LeaveRequest) error {
	if err := t.acceptLeave(id, r.Incarnation); err != nil {
		return err
	}
	var first error
	for _, host := range t.members.Live(t.domain) {
		if host == t.self {
			continue
		}
		err := t.forward(ctx, host, &rpc.AnnounceRequest{LeavingTarget: id, LeavingIncarnation: r.Incarnation, Forwarded: true})
		if err != nil && first == nil && host == t.members.Owner(id) {
			first = err
		}
	}
	return first
}

func (t *targetService) acceptLeave(id string, incarnation uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if err := t.registry.Leave(now, id, incarnation); err != nil {
		return err
	}
	t.update(now, id)
	return nil
}

// CacheEvents implements api.Targets.
func (t *targetService) CacheEvents(ctx context.Context, id string, r api.CacheEvents) error {
	owner := t.members.Owner(id)
	if owner == t.self || owner == "" {
		t.acceptCacheEvents(id, r)
		return nil
	}
	body, err := json.Marshal(r)
	if err != nil {
		return &errs.Corrupt{What: "cache events", Detail: err.Error()}
	}
	peer, err := t.peer(owner)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	_, err = peer.CacheEvents(ctx, &rpc.CacheEventsRequest{Target: id, Events: body})
	return err
}

func (t *targetService) acceptCacheEvents(id string, r api.CacheEvents) {
	for _, e := range r.Events {
		t.dispatcher.CacheEvent(id, routing.CacheEvent{
			Seq: e.Seq, Kind: routing.CacheEventKind(e.Kind), Keys: []uint64{e.Prefix},
		})
	}
}

// sweep removes targets whose lease ran out and targets that another host owns now.
func (t *targetService) sweep() {
	now := time.Now()
	live := t.members.Live(t.domain)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range t.registry.Expire(now) {
		t.drop(id)
	}
	for id := range t.targets {
		if owner := membership.Owner(id, live); owner != "" && owner != t.self {
			t.drop(id)
		}
	}
	t.refresh(now)
}

func (t *targetService) drop(id string) {
	delete(t.targets, id)
	t.dispatcher.RemoveTarget(id)
}

// refresh passes the state of all targets to the dispatcher. The caller holds the lock.
func (t *targetService) refresh(now time.Time) {
	for id := range t.targets {
		if !t.registry.Dispatchable(now, id) {
			t.update(now, id)
		}
	}
}

// update passes the state of one target to the dispatcher. The caller holds the lock.
func (t *targetService) update(now time.Time, id string) {
	a, ok := t.targets[id]
	if !ok {
		return
	}
	t.dispatcher.UpsertTarget(routing.TargetState{
		ID: id, Incarnation: a.Incarnation, Domain: a.FailureDomain, Pool: a.Pool, Slots: a.Slots,
		Loaded: maps.Clone(a.Loaded), Leaving: !t.registry.Dispatchable(now, id),
		Load: routing.LoadReport{Running: a.Load.Running, Queued: a.Load.Queued},
	})
}

// Dispatchable reports whether a target may receive new work at this moment.
func (t *targetService) Dispatchable(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Dispatchable(time.Now(), id)
}

// Address returns the address of a target that this host owns.
func (t *targetService) Address(id string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.targets[id]
	return a.Address, ok
}

// ownedTarget is a target with its state, for status and for reports to the domain leader.
type ownedTarget struct {
	api.Announcement
	State string `json:"state"`
}

// Owned lists the targets of this host by ID.
func (t *targetService) Owned() []ownedTarget {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	states := make(map[string]string, len(t.targets))
	for _, pool := range t.pools() {
		for _, target := range t.registry.List(now, pool) {
			states[target.ID] = string(target.State)
		}
	}
	list := make([]ownedTarget, 0, len(t.targets))
	for _, id := range slices.Sorted(maps.Keys(t.targets)) {
		list = append(list, ownedTarget{Announcement: t.targets[id], State: states[id]})
	}
	return list
}

func (t *targetService) pools() []string {
	set := make(map[string]bool)
	for _, a := range t.targets {
		set[a.Pool] = true
	}
	return slices.Sorted(maps.Keys(set))
}
