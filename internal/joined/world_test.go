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
	model    = "sorter"
	pool     = "sorting"
	tenancy  = "trainer"
	home     = "kolfe"       // of the trainer
	control  = "akaki-host1" // holds the configuration store
	bound    = 1             // staleness bound in versions
	lostTime = 3 * time.Second
	// ownLease is the lease of a domain leader, which a new leader waits out.
	ownLease = 2 * time.Second
	// departureBound is the time of guarantee P7.
	departureBound = 2 * time.Second
)

var (
	domains = []string{"akaki", "kolfe", "yeka"}
	start   = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
)

// world joins the cores of three failure domains and holds the oracle.
type world struct {
	net     *Network
	random  *rand.Rand
	fault   string // the guarantee that the glue breaks on purpose, or ""
	hosts   map[string]*host
	engines map[string]*fakeEngine
	groups  map[string]*group
	store   *confstate.Store
	steps   []*trainerStep
	callers map[string]*submission
	newest  uint64 // version that the trainer publishes
	counter int
	oracle
}

func newWorld(seed uint64, fault string) *world {
	random := rand.New(rand.NewPCG(seed, 1))
	w := &world{
		net: NewNetwork(start, random), random: random, fault: fault, store: confstate.NewStore(),
		hosts: make(map[string]*host), engines: make(map[string]*fakeEngine), groups: make(map[string]*group),
		callers: make(map[string]*submission), oracle: newOracle(),
	}
	w.apply(1, "")
	for _, d := range domains {
		w.groups[d] = &group{w: w, domain: d, state: newState()}
		for i := 1; i <= 2; i++ {
			w.startHost(fmt.Sprintf("%s-host%d", d, i))
			w.startEngine(fmt.Sprintf("%s-engine%d", d, i))
		}
		w.groups[d].lead(d + "-host1")
		w.groups[d].tick()
	}
	w.publish()
	return w
}

func (w *world) now() time.Time { return w.net.Now() }

func (w *world) number() int { w.counter++; return w.counter }

// expected is the whole answer of an engine to a prompt.
func expected(prompt string) string { return strings.Repeat(prompt+"ø", 4) }

// ask sends a request to the leader of a domain group. The leader may handle it twice.
func (w *world) ask(from, domain string, handle func(g *group) (reply func())) {
	g := w.groups[domain]
	leader := g.leader
	w.net.Send(from, leader, func() {
		if g.leader != leader || !w.hosts[leader].up {
			return
		}
		if reply := handle(g); reply != nil {
			w.net.Send(leader, from, reply)
		}
	})
}

// group is a domain group: its log is the order of calls to apply.
type group struct {
	w            *world
	domain       string
	state        *domainstate.State
	index        uint64
	ticks        int
	leader       string
	term         uint64
	scheduler    *ledger.Scheduler
	planner      *weights.Planner
	ordersFrom   time.Time
	heard        map[string]time.Time
	incarnations map[string]uint64
	missing      time.Time // since when the leader is not reachable
}

func newState() *domainstate.State {
	return must(domainstate.New(domainstate.NewClaims(), domainstate.NewQuota()))
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (g *group) apply(command []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	g.index++
	return g.state.Apply(g.index, domainstate.Stamp(command, g.w.now().UnixMilli()))
}

func (g *group) ledger(c ledger.Command) ledger.Result {
	return must(domainstate.DecodeLedgerResult(g.apply(domainstate.EncodeLedger(c))))
}

func (g *group) claim(c retry.ClaimCommand) retry.ClaimResult {
	return must(domainstate.DecodeClaim(g.apply(domainstate.EncodeClaim(c))))
}

// lead makes a host the leader: the replicated state passes through a snapshot, and the soft
// state is built anew.
func (g *group) lead(leader string) {
	snapshot := must(g.state.Snapshot())
	g.state = newState()
	if err := g.state.Restore(snapshot); err != nil {
		panic(err)
	}
	if g.domain == Domain(control) {
		snapshot = must(g.w.store.Snapshot())
		g.w.store = confstate.NewStore()
		if err := g.w.store.Restore(snapshot); err != nil {
			panic(err)
		}
	}
	now := g.w.now()
	g.leader, g.term, g.missing = leader, g.term+1, time.Time{}
	g.ordersFrom = now.Add(ownLease)
	g.heard, g.incarnations = make(map[string]time.Time), make(map[string]uint64)
	for name := range g.w.hosts {
		g.heard[name] = now
	}
	g.scheduler = ledger.NewScheduler(ledger.SchedulerConfig{MinLease: 4 * time.Second, MaxLease: 8 * time.Second})
	g.scheduler.SetPolicy(tenancy, ledger.SchedulingPolicy{Pool: pool, IdleWeight: 1})
	if g.w.fault != "P3" || g.term == 1 {
		g.scheduler.Rebuild(now, g.term, g.state.Ledger())
	}
	scheduler := g.scheduler
	g.state.SetObserver(func(_ uint64, c ledger.Command, r ledger.Result) { scheduler.Observe(g.w.now(), c, r) })
	g.planner = weights.NewPlanner(weights.Config{MaxUnavailable: 0.5, SwapTimeout: 4 * time.Second})
	g.planner.SetPool(pool, weights.PoolConfig{Models: []string{model}})
}

// tick does the regular work of the leader, and elects another one when it is gone.
func (g *group) tick() {
	g.w.net.After(250*time.Millisecond, g.tick)
	now := g.w.now()
	if !g.w.hosts[g.leader].up || g.w.net.isolated[g.leader] {
		if g.missing.IsZero() {
			g.missing = now
		}
		if now.Sub(g.missing) > time.Second {
			for _, name := range g.w.hostsOf(g.domain) {
				if g.w.hosts[name].up && !g.w.net.isolated[name] {
					g.lead(name)
					return
				}
			}
		}
		return
	}
	g.missing = time.Time{}
	g.loseSilentHosts(now)
	for m, version := range g.state.DesiredVersions() {
		g.planner.SetDesired(now, m, version)
	}
	for _, o := range g.planner.Tick(now, weights.LeaderLease{Term: g.term, ExpiresAt: now.Add(ownLease), Valid: now.After(g.ordersFrom)}) {
		g.order(o)
	}
	if g.ticks++; g.ticks%2 == 0 {
		g.spread()
	}
}

func (g *group) order(o weights.Order) {
	planner, leader := g.planner, g.leader
	g.w.net.Send(leader, o.Target, func() {
		e := g.w.engines[o.Target]
		if !e.up {
			return
		}
		result := e.load(o)
		g.w.net.Send(o.Target, leader, func() { planner.RecordResult(g.w.now(), result) })
	})
}

// spread copies the newest published version to the other domains, and the configuration
// from the control leader to this domain.
func (g *group) spread() {
	if newest := g.state.Ledger().NewestVersion(tenancy, model); g.domain == home && newest > 0 {
		for _, d := range domains {
			g.w.ask(g.leader, d, func(to *group) func() {
				to.apply(domainstate.EncodeDesiredVersion(domainstate.DesiredVersion{Model: model, Version: newest}))
				return nil
			})
		}
	}
	leader, term := g.leader, g.term
	g.w.net.Send(leader, control, func() {
		e := g.w.store.Current()
		g.w.net.Send(control, leader, func() {
			if g.term == term {
				g.apply(domainstate.EncodeConfig(domainstate.Config{Version: e.Version, Digest: e.Digest, Body: e.Body, Index: e.Index}))
			}
		})
	})
}

func (g *group) loseSilentHosts(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(g.heard)) {
		if now.Sub(g.heard[name]) < lostTime {
			continue
		}
		delete(g.heard, name)
		h := g.w.hosts[name]
		g.scheduler.HostLost(name)
		g.claim(retry.ClaimCommand{Kind: retry.HostLost, Host: name, Incarnation: h.claimIncarnation})
	}
}

// hears notes that a host lives. The attempts and claims of an earlier process are lost.
func (g *group) hears(name string, incarnation uint64) {
	g.heard[name] = g.w.now()
	if known := g.incarnations[name]; known > 0 && incarnation > known {
		g.scheduler.HostLost(name)
		g.claim(retry.ClaimCommand{Kind: retry.HostLost, Host: name, Incarnation: incarnation - 1})
	}
	g.incarnations[name] = max(g.incarnations[name], incarnation)
}

// fetch answers a trainer. Samples whose payload is lost are planned again first.
func (g *group) fetch(f ledger.Fetch) (ledger.Result, map[int]string) {
	for {
		r := g.ledger(ledger.Command{Fetch: &f})
		texts := make(map[int]string)
		if r.Failure != nil || r.Batch == nil {
			return r, texts
		}
		lost := false
		for _, s := range r.Batch.Samples {
			text, ok := g.w.payload(s)
			if texts[s.Slot] = text; !ok {
				lost = true
				g.ledger(ledger.Command{PayloadLost: &ledger.PayloadLost{Tenancy: f.Tenancy, Step: f.Step, Slot: s.Slot, Attempt: s.Attempt}})
			}
		}
		if !lost {
			g.w.checkDelivery(g.state.Ledger().NewestVersion(tenancy, model), r.Batch.Samples)
			return r, texts
		}
	}
}

func (w *world) payload(s ledger.SampleRef) (string, bool) {
	for _, name := range s.Holders {
		if text, ok := w.hosts[name].payloads[s.Digest]; ok && w.hosts[name].up {
			return text, true
		}
	}
	return "", false
}

func (w *world) hostsOf(domain string) []string {
	return []string{domain + "-host1", domain + "-host2"}
}

// apply proposes a configuration, as an operator does.
func (w *world) apply(version uint64, retired string) {
	retire := ""
	if retired != "" {
		retire = fmt.Sprintf(`, "retire": [%q]`, retired)
	}
	body := fmt.Sprintf(`{"version": %d, "tenancies": [{"name": "trainer", "kind": "trainer", "home": "kolfe", "token_sha256": %q,
		"model": "sorter", "pools": ["sorting"], "staleness_bound": %d, "policy": {"idle_weight": 1, "staleness_weight": 1}}],
		"pools": [{"name": "sorting", "kind": "engine", "models": ["sorter"], "targets": {"admit": ["*"]%s}}],
		"weight_store": {"loads_per_second": 50, "max_concurrent": 8}, "queues": {"desk": 256, "samples": 2048}}`,
		version, confstate.TokenDigest("t"), bound, retire)
	change := confstate.NewChange(must(confstate.Parse([]byte(body))), "operator")
	if r := w.store.Apply(change); r.Kind == confstate.Committed {
		w.committed(change.Version, change.Digest)
	}
}

// quota leases a share, so that the quota section takes part in snapshots and leader changes.
func (w *world) quota(h *host) {
	h.demands++
	demand := limits.Demand{Tenancy: tenancy, Incarnation: h.incarnation, Seq: h.demands}
	w.ask(h.name, home, func(g *group) func() {
		g.apply(domainstate.EncodeQuota(domainstate.QuotaCommand{Host: h.name, Demand: demand, ConfigVersion: 1, Domains: len(domains)}))
		return nil
	})
}
