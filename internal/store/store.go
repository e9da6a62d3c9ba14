// Package store implements a store host. It runs a replica of the state group and serves the calls of
// operators and targets. On the leader it also manages the membership of the group and runs the batch
// jobs.
package store

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/bootstraprpc"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/control"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/duty"
	"fuchsiaflow/internal/forward"
	"fuchsiaflow/internal/gctuner"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/headguard"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/notice"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/internal/rolehost"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/runner"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/stateclient"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/internal/transport"
	"fuchsiaflow/quarantine"
	"fuchsiaflow/storage"
)

// Parameters of the state group.
const (
	// heartbeatInterval is the interval of the leader's heartbeats. The latency between failure domains
	// is below 2 ms.
	heartbeatInterval = 75 * time.Millisecond
	// electionTimeout is the minimum time without messages from the leader that starts an election. It
	// must exceed a sync of a busy disk and the pauses of a process that has a fraction of a CPU core.
	electionTimeout = 600 * time.Millisecond
	// snapshotEvery is the number of commands between two snapshots. The log shares the texts of
	// results with the state, so that a long log costs little memory, while a snapshot briefly needs
	// several copies of the state.
	snapshotEvery = 10000
	// segmentBytes is the size of a log segment.
	segmentBytes = 4 << 20
)

// Options configures a Store. All fields are required.
type Options struct {
	Settings     *settings.Role
	Headers      dialect.Headers
	EngineClient dialect.EngineClient
	// Platform calls the API of the platform; it is used only if the settings name one.
	Platform dialect.PlatformClient
	// Control returns the HTTP handler of the calls of operators and targets.
	Control func(*control.Control) http.Handler
	Log     *slog.Logger
	Metrics *observe.Metrics
	Tracing *observe.Tracing
	FS      storage.FS
}

// Store is a store host.
type Store struct {
	opts         Options
	record       *recordFile
	replicaID    string
	seed         *bootstraprpc.Seed
	kernel       *kernel.Kernel
	view         *clusterview.View
	pool         *rpc.Pool
	group        *group.Group
	stateMachine *runner.StateMachine
	leaderClient *stateclient.Client
	tenure       *duty.LeaderTenure
	stores       *storeRegistry
	departures   *control.Departures
	rateLimits   *ratelimit.Allocator // used while this replica leads
	limiter      *ratelimit.Limiter
	grpc         *grpc.Server
	calls        *control.Control // of operators, trainers and targets
	guard        *headguard.Guard // of the HTTP servers
	server       *http.Server     // serves calls
	runner       *runner.Runner
	forwarder    *forward.Forwarder // sends the scoring calls of the runner
	// admission decides whether there is memory for another job.
	admission admission
	done      chan struct{} // closed when the host stops
	// leaderSince is when this replica was last seen to become the leader, in nanoseconds of bootclock;
	// 0 if it never was.
	leaderSince atomic.Int64
}

// New opens or creates the replica in the data directory. The host takes part after Start.
func New(o Options) (*Store, error) {
	s := o.Settings
	st := &Store{opts: o, kernel: kernel.New(o.Log), done: make(chan struct{}), stores: newStoreRegistry(), departures: control.NewDepartures(),
		rateLimits: ratelimit.NewAllocator(), admission: newAdmission(s.MemoryBytes)}
	st.view = clusterview.NewView(o.Log, s.Seeds)
	link := transport.New(st.peer, o.Log)
	fs := instrumentedFS{FS: o.FS, syncSeconds: o.Metrics.Histogram("storage_sync_seconds", "Duration of a file sync of the state group, in seconds.", observe.SecondsBuckets)}
	var err error
	var record *replicaRecord
	record, st.group, err = openReplica(fs, s, o.Log, func(record *replicaRecord) (*group.Group, error) {
		st.stateMachine = runner.NewStateMachine(func(c clusterview.Config) { st.view.ApplyConfig(c, "own replica") }, st.handleCommittedDeparture)
		st.stateMachine.OnQuarantine = func(list []quarantine.Entry) { st.view.MergeQuarantine(list, "own replica") }
		st.stateMachine.OnStoredDeparture = func(d fleet.Departure) { st.view.RecordDeparture(d, "own log") }
		return group.Open(group.Options{Group: storestate.Group, ID: record.ID, Voters: record.Voters, Start: record.startMode(), FS: fs, Dir: s.DataDir,
			StateMachine: st.stateMachine, Transport: link, Clock: bootclock.Clock{}, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Logger: o.Log, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, SnapshotEvery: snapshotEvery, SegmentBytes: segmentBytes})
	})
	if err != nil {
		return nil, err
	}
	st.record, st.replicaID = &recordFile{fs: fs, dir: s.DataDir, record: *record}, record.ID
	st.seed = st.newSeed()
	st.tenure = duty.NewTenure(st.group, s.Host, s.Timing.OrderWait)
	st.pool = rolehost.NewClientPool(s, st.replicaID, o.Log, o.Tracing)
	st.leaderClient = stateclient.New(st.view, s.IP, st, st.peer)
	st.calls = control.New(control.Options{View: st.view, Client: st.leaderClient, SelfIP: s.IP, Port: s.Listen.ControlPort(), Leads: st.group.IsLeader, Stopping: st.stopping,
		Departures: st.departures, Log: o.Log, Metrics: o.Metrics})
	st.grpc = rolehost.NewGRPCServer(o.Log, o.Tracing)
	st.guard = rolehost.NewGuard(s, o.Log, o.Metrics)
	st.limiter = ratelimit.New(st.view, ratelimit.Leader{Call: st.leaderClient.DemandShare, Local: st.DemandShare}, o.Log, o.Metrics)
	st.forwarder = forward.New(o.Headers, st.view, st.limiter, s.FailureDomain, o.Log, o.Metrics, o.Tracing)
	st.forwarder.LimitMemory(s.MemoryBytes)
	st.runner = runner.New(runner.Options{Group: st.group, StateMachine: st.stateMachine, View: st.view, EngineClient: o.EngineClient, Forwarder: st.forwarder, Limiter: st.limiter,
		Headers: o.Headers, Holder: st.replicaID, Tenure: st.tenure, KeepResults: s.Timing.KeepResults, Log: o.Log, Metrics: o.Metrics, Tracing: o.Tracing})
	services := []struct {
		name    string
		service any
	}{
		{"peers", st.pool},
		{"transport", link},
		{"group", groupService{st}},
		{"peer-server", peerServer{st: st}},
		{"watch", &clusterview.Watcher{View: st.view, Self: s.IP, Domain: s.FailureDomain, Peer: st.peer, IsStoreHost: true, Log: o.Log}},
		{"keeper", &membershipController{st: st}}, // the name is used in metrics and logs
		{"limits", st.limiter},
		{"forwarder", st.forwarder},
		{"notices", notice.NewReporter(st.view, st.leaderClient.NoticeDeparture, o.Log, o.Metrics)},
		{"runner", st.runner},
		{"targets", st.newTargets()},
		{"control", controlService{st}},
		{"trace", o.Tracing},
		{"gctuner", gctuner.New(o.Log)},
		{"metrics", rolehost.NewMetricsService(s.Listen.Metrics, o.Metrics, st.guard)},
	}
	for _, entry := range services {
		if err := st.kernel.Register(entry.name, entry.service); err != nil {
			return nil, err
		}
	}
	if record.isCandidate() {
		if err := st.kernel.Register("bootstrap", st.newCandidate(record.FirstStart.Seeds)); err != nil {
			return nil, err
		}
	}
	if s.Platform.ReportsUsage && s.Usage.Window > 0 {
		if err := st.kernel.Register("usage", st.newUsageReporter()); err != nil {
			return nil, err
		}
	}
	st.registerMetrics()
	rolehost.RegisterViewMetrics(o.Metrics, st.view)
	return st, nil
}

// handleCommittedDeparture processes a departure that the state group has stored.
func (st *Store) handleCommittedDeparture(d fleet.Departure) {
	st.departures.Add(d)
	st.view.RecordDeparture(d, "own replica")
}

// peer returns a client of a host, which is given by its address or by the ID of a replica on it.
func (st *Store) peer(host string) (rpc.PeerClient, error) {
	return st.pool.Peer(clusterview.ReplicaIP(host))
}

// self returns the announcement of this host.
func (st *Store) self() clusterview.StoreHost {
	return clusterview.StoreHost{ReplicaID: st.replicaID, Host: st.opts.Settings.Host, Domain: st.opts.Settings.FailureDomain}
}

// Start starts the services of the host.
func (st *Store) Start(ctx context.Context) error { return st.kernel.Start(ctx) }

// Failed returns a channel that delivers the failure after which the host must stop.
func (st *Store) Failed() <-chan error { return st.kernel.Failed() }

// Shutdown transfers the leadership, if this replica holds it, and stops the host.
func (st *Store) Shutdown(ctx context.Context) error {
	close(st.done)
	if st.group.IsLeader() {
		if err := st.group.TransferLeadership(ctx); err != nil {
			st.opts.Log.Warn("leadership transfer failed", "error", err)
		} else {
			st.opts.Log.Info("leadership transferred")
		}
	}
	return st.kernel.Stop(ctx)
}

func (st *Store) stopping() bool {
	select {
	case <-st.done:
		return true
	default:
		return false
	}
}

// groupService runs the replica and follows its leader.
type groupService struct{ st *Store }

// Start implements kernel.Service.
func (g groupService) Start(_ context.Context, k *kernel.Kernel) error {
	st := g.st
	k.Go("group/run", func(ctx context.Context) error {
		err := st.group.Run(ctx)
		var refused *group.IdentityMismatch
		if errors.As(err, &refused) {
			st.opts.Log.Error("replica rejected by its peers; the next start creates a new replica", "error", err)
			if removeErr := st.record.remove(); removeErr != nil {
				return removeErr
			}
		}
		return err
	})
	leaderTerm := uint64(0) // last term in which this replica was seen to lead
	k.Every("group/leader", heartbeatInterval, func(context.Context) {
		id, term, _ := st.group.Leader()
		st.view.SetLeader(id, term)
		if id == st.replicaID && term != leaderTerm {
			leaderTerm = term
			st.leaderSince.Store(bootclock.Now().UnixNano())
		}
	})
	return nil
}

// Stop implements kernel.Service.
func (g groupService) Stop(context.Context) error { return nil }

// controlService serves the calls of operators and targets.
type controlService struct{ st *Store }

// Start implements kernel.Service.
func (c controlService) Start(_ context.Context, k *kernel.Kernel) error {
	st := c.st
	listener, err := net.Listen("tcp", st.opts.Settings.Listen.Control)
	if err != nil {
		return &errs.Unavailable{Resource: "control address", Reason: err.Error()}
	}
	st.server = rolehost.NewHTTPServer(st.opts.Control(st.calls))
	k.Go("control/serve", func(context.Context) error { return rolehost.Serve(st.guard, "control", st.server, listener) })
	return nil
}

// Stop implements kernel.Service.
func (c controlService) Stop(ctx context.Context) error {
	return rolehost.ShutdownServer(ctx, c.st.server)
}

// registerMetrics registers the gauges of the replica and of the batch jobs.
func (st *Store) registerMetrics() {
	m := st.opts.Metrics
	gauge := func(name, help string, read func() float64) { m.GaugeFunc(name, help, read) }
	gauge("group_leading", "1 while this replica is the leader of the state group.", func() float64 {
		if st.group.IsLeader() {
			return 1
		}
		return 0
	})
	gauge("group_term", "Term of the state group.", func() float64 { return float64(st.group.Status().Term) })
	gauge("group_commit_index", "Index of the newest committed log entry.", func() float64 { return float64(st.group.Status().Commit) })
	gauge("group_applied_index", "Index of the newest applied log entry.", func() float64 { return float64(st.group.Status().Applied) })
	gauge("group_voters", "Number of voters of the state group.", func() float64 { return float64(len(st.group.Status().Voters)) })
	gauge("jobs_held_bytes", "Approximate memory of the batch jobs on this replica, in bytes.", func() float64 {
		heldBytes := 0
		st.stateMachine.View(func(s *storestate.State) { heldBytes = s.Jobs().MemoryBytes() })
		return float64(heldBytes)
	})
	gauge("jobs_limit_bytes", "Memory limit of batch jobs in bytes, above which new ones are refused; 0 without a limit.", func() float64 {
		return float64(st.admission.limitBytes)
	})
	gauge("group_waiting_requests", "Number of requests that wait to be processed by the replica.", func() float64 { return float64(st.group.Health().RequestDepth) })
}

// Reload applies changed settings. Only the seeds are taken over.
func (st *Store) Reload(s *settings.Role) { st.view.SetSeeds(s.Seeds) }
