package joined

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"fuchsiaflow/confstate"
	"fuchsiaflow/internal/domainstate"
	"fuchsiaflow/ledger"
	"fuchsiaflow/limits"
	"fuchsiaflow/retry"
	"fuchsiaflow/weights"
)

const (
	model          = "sorter"
	pool           = "sorting"
	tenancy        = "trainer"
	trainerHome    = "kolfe"       // home domain of the trainer
	controlHost    = "akaki-host1" // host of the configuration store
	stalenessBound = 1             // in versions
	hostTimeout    = 3 * time.Second
	// leaderLease is the lease of a domain leader. A new leader sends no orders until the previous
	// lease has expired.
	leaderLease = 2 * time.Second
	// maxDispatchAfterLeave is the time after which a leaving target must get no requests (P7).
	maxDispatchAfterLeave = 2 * time.Second
)

var (
	domains   = []string{"akaki", "kolfe", "yeka"}
	startTime = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
)

// simulation runs the hosts, engines, groups and trainers of three failure domains.
type simulation struct {
	net              *Network
	random           *rand.Rand
	brokenGuarantee  string // the guarantee that the test code breaks on purpose, or ""
	hosts            map[string]*host
	engines          map[string]*fakeEngine
	groups           map[string]*domainGroup
	configStore      *confstate.Store
	steps            []*trainerStep
	unsafeRequests   map[string]*submission
	publishedVersion uint64 // newest version published by the trainer
	lastID           int
	oracle
}

func newSimulation(seed uint64, brokenGuarantee string) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{
		net: NewNetwork(startTime, random), random: random, brokenGuarantee: brokenGuarantee, configStore: confstate.NewStore(),
		hosts: make(map[string]*host), engines: make(map[string]*fakeEngine), groups: make(map[string]*domainGroup),
		unsafeRequests: make(map[string]*submission), oracle: newOracle(),
	}
	sim.applyConfig(1, "")
	for _, d := range domains {
		sim.groups[d] = &domainGroup{sim: sim, domain: d, state: newDomainState()}
		for i := 1; i <= 2; i++ {
			sim.startHost(fmt.Sprintf("%s-host%d", d, i))
			sim.startEngine(fmt.Sprintf("%s-engine%d", d, i))
		}
		sim.groups[d].setLeader(d + "-host1")
		sim.groups[d].tick()
	}
	sim.publish()
	return sim
}

func (sim *simulation) now() time.Time { return sim.net.Now() }

func (sim *simulation) nextID() int { sim.lastID++; return sim.lastID }

// expectedText returns the complete answer of an engine to a prompt.
func expectedText(prompt string) string { return strings.Repeat(prompt+"ø", 4) }

// sendToLeader sends a request to the leader of a domain group, which may handle it twice. The
// function that handle returns, if not nil, runs at the sender on receipt of the reply.
func (sim *simulation) sendToLeader(from, domain string, handle func(g *domainGroup) (reply func())) {
	g := sim.groups[domain]
	leader := g.leader
	sim.net.Send(from, leader, func() {
		if g.leader != leader || !sim.hosts[leader].up {
			return
		}
		if reply := handle(g); reply != nil {
			sim.net.Send(leader, from, reply)
		}
	})
}

// domainGroup is the group of a failure domain. The order of calls to apply stands for its log.
type domainGroup struct {
	sim              *simulation
	domain           string
	state            *domainstate.State
	index            uint64
	ticks            int
	leader           string
	term             uint64
	scheduler        *ledger.Scheduler
	planner          *weights.Planner
	ordersNotBefore  time.Time
	lastHeartbeat    map[string]time.Time
	incarnations     map[string]uint64
	unreachableSince time.Time // time at which the leader became unreachable, or zero
}

func newDomainState() *domainstate.State {
	return must(domainstate.New(domainstate.NewClaims(), domainstate.NewQuota()))
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (g *domainGroup) apply(command []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	g.index++
	return g.state.Apply(g.index, domainstate.Stamp(command, g.sim.now().UnixMilli()))
}

func (g *domainGroup) applyLedger(c ledger.Command) ledger.Result {
	return must(domainstate.DecodeLedgerResult(g.apply(domainstate.EncodeLedger(c))))
}

func (g *domainGroup) applyClaim(c retry.ClaimCommand) retry.ClaimResult {
	return must(domainstate.DecodeClaim(g.apply(domainstate.EncodeClaim(c))))
}

// setLeader makes a host the leader. The replicated state is restored from a snapshot and the
// leader's soft state is rebuilt.
func (g *domainGroup) setLeader(leader string) {
	snapshot := must(g.state.Snapshot())
	g.state = newDomainState()
	if err := g.state.Restore(snapshot); err != nil {
		panic(err)
	}
	if g.domain == Domain(controlHost) {
		snapshot = must(g.sim.configStore.Snapshot())
		g.sim.configStore = confstate.NewStore()
		if err := g.sim.configStore.Restore(snapshot); err != nil {
			panic(err)
		}
	}
	now := g.sim.now()
	g.leader, g.term, g.unreachableSince = leader, g.term+1, time.Time{}
	g.ordersNotBefore = now.Add(leaderLease)
	g.lastHeartbeat, g.incarnations = make(map[string]time.Time), make(map[string]uint64)
	for name := range g.sim.hosts {
		g.lastHeartbeat[name] = now
	}
	g.scheduler = ledger.NewScheduler(ledger.SchedulerConfig{MinLease: 4 * time.Second, MaxLease: 8 * time.Second})
	g.scheduler.SetPolicy(tenancy, ledger.SchedulingPolicy{Pool: pool, IdleWeight: 1})
	if g.sim.brokenGuarantee != "P3" || g.term == 1 {
		g.scheduler.Rebuild(now, g.term, g.state.Ledger())
	}
	scheduler := g.scheduler
	g.state.SetObserver(func(_ uint64, c ledger.Command, r ledger.Result) { scheduler.Observe(g.sim.now(), c, r) })
	g.planner = weights.NewPlanner(weights.Config{MaxUnavailable: 0.5, SwapTimeout: 4 * time.Second})
	g.planner.SetPool(pool, weights.PoolConfig{Models: []string{model}})
}

// tick does the periodic work of the leader, and elects another one if it has been unreachable
// for a second.
func (g *domainGroup) tick() {
	g.sim.net.After(250*time.Millisecond, g.tick)
	now := g.sim.now()
	if !g.sim.hosts[g.leader].up || g.sim.net.isolated[g.leader] {
		if g.unreachableSince.IsZero() {
			g.unreachableSince = now
		}
		if now.Sub(g.unreachableSince) > time.Second {
			for _, name := range g.sim.hostsOf(g.domain) {
				if g.sim.hosts[name].up && !g.sim.net.isolated[name] {
					g.setLeader(name)
					return
				}
			}
		}
		return
	}
	g.unreachableSince = time.Time{}
	g.expireHosts(now)
	for m, version := range g.state.DesiredVersions() {
		g.planner.SetDesired(now, m, version)
	}
	for _, o := range g.planner.Tick(now, weights.LeaderLease{Term: g.term, ExpiresAt: now.Add(leaderLease), Valid: now.After(g.ordersNotBefore)}) {
		g.sendOrder(o)
	}
	if g.ticks++; g.ticks%2 == 0 {
		g.propagate()
	}
}

func (g *domainGroup) sendOrder(o weights.Order) {
	planner, leader := g.planner, g.leader
	g.sim.net.Send(leader, o.Target, func() {
		e := g.sim.engines[o.Target]
		if !e.up {
			return
		}
		result := e.load(o)
		g.sim.net.Send(o.Target, leader, func() { planner.RecordResult(g.sim.now(), result) })
	})
}

// propagate sends the newest published version from the trainer's home to all domains, and copies
// the configuration from the control host to this domain.
func (g *domainGroup) propagate() {
	if newest := g.state.Ledger().NewestVersion(tenancy, model); g.domain == trainerHome && newest > 0 {
		for _, d := range domains {
			g.sim.sendToLeader(g.leader, d, func(to *domainGroup) func() {
				to.apply(domainstate.EncodeDesiredVersion(domainstate.DesiredVersion{Model: model, Version: newest}))
				return nil
			})
		}
	}
	leader, term := g.leader, g.term
	g.sim.net.Send(leader, controlHost, func() {
		e := g.sim.configStore.Current()
		g.sim.net.Send(controlHost, leader, func() {
			if g.term == term {
				g.apply(domainstate.EncodeConfig(domainstate.Config{Version: e.Version, Digest: e.Digest, Body: e.Body, Index: e.Index}))
			}
		})
	})
}

// expireHosts marks the attempts and claims of hosts without a recent heartbeat as lost.
func (g *domainGroup) expireHosts(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(g.lastHeartbeat)) {
		if now.Sub(g.lastHeartbeat[name]) < hostTimeout {
			continue
		}
		delete(g.lastHeartbeat, name)
		h := g.sim.hosts[name]
		g.scheduler.HostLost(name)
		g.applyClaim(retry.ClaimCommand{Kind: retry.HostLost, Host: name, Incarnation: h.claimIncarnation})
	}
}

// recordHeartbeat records a heartbeat of a host. A higher incarnation marks the attempts and claims
// of earlier processes as lost.
func (g *domainGroup) recordHeartbeat(name string, incarnation uint64) {
	g.lastHeartbeat[name] = g.sim.now()
	if known := g.incarnations[name]; known > 0 && incarnation > known {
		g.scheduler.HostLost(name)
		g.applyClaim(retry.ClaimCommand{Kind: retry.HostLost, Host: name, Incarnation: incarnation - 1})
	}
	g.incarnations[name] = max(g.incarnations[name], incarnation)
}

// fetch handles a fetch of a trainer. Samples whose payload is lost are reported to the ledger
// first, so that they are generated again.
func (g *domainGroup) fetch(f ledger.Fetch) (ledger.Result, map[int]string) {
	for {
		r := g.applyLedger(ledger.Command{Fetch: &f})
		texts := make(map[int]string)
		if r.Failure != nil || r.Batch == nil {
			return r, texts
		}
		lost := false
		for _, s := range r.Batch.Samples {
			text, ok := g.sim.payload(s)
			if texts[s.Slot] = text; !ok {
				lost = true
				g.applyLedger(ledger.Command{PayloadLost: &ledger.PayloadLost{Tenancy: f.Tenancy, Step: f.Step, Slot: s.Slot, Attempt: s.Attempt}})
			}
		}
		if !lost {
			g.sim.checkDelivery(g.state.Ledger().NewestVersion(tenancy, model), r.Batch.Samples)
			return r, texts
		}
	}
}

func (sim *simulation) payload(s ledger.SampleRef) (string, bool) {
	for _, name := range s.Holders {
		if text, ok := sim.hosts[name].payloads[s.Digest]; ok && sim.hosts[name].up {
			return text, true
		}
	}
	return "", false
}

func (sim *simulation) hostsOf(domain string) []string {
	return []string{domain + "-host1", domain + "-host2"}
}

// applyConfig applies a configuration that retires one target, or none if retired is "".
func (sim *simulation) applyConfig(version uint64, retired string) {
	retire := ""
	if retired != "" {
		retire = fmt.Sprintf(`, "retire": [%q]`, retired)
	}
	body := fmt.Sprintf(`{"version": %d, "tenancies": [{"name": "trainer", "kind": "trainer", "home": "kolfe", "token_sha256": %q,
		"model": "sorter", "pools": ["sorting"], "staleness_bound": %d, "policy": {"idle_weight": 1, "staleness_weight": 1}}],
		"pools": [{"name": "sorting", "kind": "engine", "models": ["sorter"], "targets": {"admit": ["*"]%s}}],
		"weight_store": {"loads_per_second": 50, "max_concurrent": 8}, "queues": {"desk": 256, "samples": 2048}}`,
		version, confstate.TokenDigest("t"), stalenessBound, retire)
	change := confstate.NewChange(must(confstate.Parse([]byte(body))), "operator")
	if r := sim.configStore.Apply(change); r.Kind == confstate.Committed {
		sim.recordCommitted(change.Version, change.Digest)
	}
}

// leaseQuota requests a quota share, so that snapshots and leader changes cover quota state.
func (sim *simulation) leaseQuota(h *host) {
	h.quotaSequence++
	demand := limits.Demand{Key: tenancy, Incarnation: h.incarnation, Seq: h.quotaSequence}
	sim.sendToLeader(h.name, trainerHome, func(g *domainGroup) func() {
		g.apply(domainstate.EncodeQuota(domainstate.QuotaCommand{Host: h.name, Demand: demand, ConfigVersion: 1, Domains: len(domains)}))
		return nil
	})
}
