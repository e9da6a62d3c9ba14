// Package store is a store host: a replica of the state group, the membership of the group, the
// runner of batch jobs where it leads, and the calls of operators and targets.
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
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/group"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/rolehost"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/runner"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/stateclient"
	"fuchsiaflow/internal/storestate"
	"fuchsiaflow/internal/transport"
	"fuchsiaflow/storage"
)

// Times of the state group.
const (
	// heartbeat is the interval of the leader's heartbeats. Domains are under 2 ms apart.
	heartbeat = 75 * time.Millisecond
	// electionTimeout is the shortest silence of a leader that starts an election. It must
	// exceed a sync of a busy disk and the pauses of a machine with a share of a core.
	electionTimeout = 600 * time.Millisecond
	// snapshotEvery is the number of commands between two snapshots. The log shares the texts of
	// results with the state, so that a long log costs little memory, while a snapshot needs
	// several copies of the state for a moment.
	snapshotEvery = 10000
	segmentBytes  = 4 << 20
)

// Options sets up a Store. All fields are required.
type Options struct {
	Settings    *settings.Role
	Headers     dialect.Headers
	EngineCalls dialect.EngineCalls
	// Control returns the handler of the calls of operators and targets.
	Control func(*Control) http.Handler
	Log     *slog.Logger
	Metrics *observe.Metrics
	Tracing *observe.Tracing
	FS      storage.FS
}

// Store is one store host.
type Store struct {
	o       Options
	disk    *disk
	kernel  *kernel.Kernel
	view    *clusterview.View
	pool    *rpc.Pool
	group   *group.Group
	machine *runner.StateMachine
	calls   *stateclient.Client
	present *presence
	grpc    *grpc.Server
	control *http.Server
	runner  *runner.Runner
	// admission decides whether there is room for another job.
	admission admission
	done      chan struct{} // closed when the host stops
	// leaderSince is when this replica was first seen to lead in its term, on bootclock.
	leaderSince atomic.Int64
}

// New opens the disk and returns the host; Start makes it take part.
func New(o Options) (*Store, error) {
	s := o.Settings
	st := &Store{o: o, kernel: kernel.New(o.Log), done: make(chan struct{}), present: newPresence(), admission: newAdmission(s.MemoryBytes)}
	st.view = clusterview.NewView(o.Log, s.Seeds)
	link := transport.New(st.peer, o.Log)
	fs := measuredFS{FS: o.FS, syncs: o.Metrics.Histogram("storage_sync_seconds", "Time of a sync of a file of the state group.", observe.SecondsBuckets)}
	var err error
	st.disk, st.group, err = openReplica(fs, s, o.Log, func(d *disk) (*group.Group, error) {
		st.machine = runner.NewStateMachine(func(c clusterview.Config) { st.view.ApplyConfig(c, "own replica") })
		return group.Open(group.Options{Group: storestate.Group, ID: d.ID, Voters: d.Voters, Start: d.start(), FS: fs, Dir: s.DataDir,
			StateMachine: st.machine, Transport: link, Clock: bootclock.Clock{}, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
			Logger: o.Log, HeartbeatInterval: heartbeat, ElectionTimeout: electionTimeout, SnapshotEvery: snapshotEvery, SegmentBytes: segmentBytes})
	})
	if err != nil {
		return nil, err
	}
	st.pool = rolehost.NewPool(s, st.disk.ID, o.Log, o.Tracing)
	st.calls = stateclient.New(st.view, s.IP, st, st.peer)
	st.grpc = rolehost.NewServer(o.Log, o.Tracing)
	st.runner = runner.New(runner.Options{Group: st.group, StateMachine: st.machine, View: st.view, Calls: o.EngineCalls, Headers: o.Headers, Holder: st.disk.ID,
		OrderWait: s.Timing.OrderWait, KeepResults: s.Timing.KeepResults, Log: o.Log, Metrics: o.Metrics, Tracing: o.Tracing})
	services := []struct {
		name    string
		service any
	}{
		{"peers", st.pool},
		{"transport", link},
		{"group", groupService{st}},
		{"peer-server", peerServer{st: st}},
		{"watch", &clusterview.Watcher{View: st.view, Self: s.IP, Peer: st.peer, IsStoreHost: true, Log: o.Log}},
		{"keeper", &keeper{st: st}},
		{"runner", st.runner},
		{"control", controlService{st}},
		{"trace", o.Tracing},
		{"metrics", rolehost.Metrics(s.Listen.Metrics, o.Metrics)},
	}
	for _, v := range services {
		if err := st.kernel.Register(v.name, v.service); err != nil {
			return nil, err
		}
	}
	st.registerMetrics()
	rolehost.ViewMetrics(o.Metrics, st.view)
	return st, nil
}

// peer returns a client of a host, by its address or a replica on it.
func (st *Store) peer(host string) (rpc.PeerClient, error) {
	return st.pool.Peer(clusterview.ReplicaIP(host))
}

// self describes this host to others.
func (st *Store) self() clusterview.StoreHost {
	return clusterview.StoreHost{ReplicaID: st.disk.ID, Host: st.o.Settings.Host, Domain: st.o.Settings.FailureDomain}
}

// Start makes the host take part.
func (st *Store) Start(ctx context.Context) error { return st.kernel.Start(ctx) }

// Failed delivers the failure that makes the host stop.
func (st *Store) Failed() <-chan error { return st.kernel.Failed() }

// Shutdown hands the leadership over and stops the host.
func (st *Store) Shutdown(ctx context.Context) error {
	close(st.done)
	if st.group.IsLeader() {
		if err := st.group.TransferLeadership(ctx); err != nil {
			st.o.Log.Warn("leadership not handed over", "error", err)
		} else {
			st.o.Log.Info("leadership handed over")
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

// groupService runs the replica.
type groupService struct{ st *Store }

// Start implements kernel.Service.
func (g groupService) Start(_ context.Context, k *kernel.Kernel) error {
	st := g.st
	k.Go("group/run", func(ctx context.Context) error {
		err := st.group.Run(ctx)
		var refused *group.IdentityMismatch
		if errors.As(err, &refused) {
			st.o.Log.Error("the replica is not accepted any more; the disk starts anew", "error", err)
			if werr := wipe(st.o.FS, st.o.Settings.DataDir); werr != nil {
				return werr
			}
		}
		return err
	})
	led := uint64(0)
	k.Every("group/leader", heartbeat, func(context.Context) {
		id, term, _ := st.group.Leader()
		st.view.SetLeader(id, term)
		if id == st.disk.ID && term != led {
			led = term
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
	listener, err := net.Listen("tcp", st.o.Settings.Listen.Control)
	if err != nil {
		return &errs.Unavailable{Resource: "control address", Reason: err.Error()}
	}
	st.control = rolehost.HTTPServer(st.o.Control(&Control{st: st}))
	k.Go("control/serve", func(context.Context) error { return rolehost.Serve(st.control, listener) })
	return nil
}

// Stop implements kernel.Service.
func (c controlService) Stop(ctx context.Context) error {
	return rolehost.StopServer(ctx, c.st.control)
}

// registerMetrics adds the state of the replica to the metrics.
func (st *Store) registerMetrics() {
	m := st.o.Metrics
	gauge := func(name, help string, read func() float64) { m.GaugeFunc(name, help, read) }
	gauge("group_leading", "1 while this replica leads the state group.", func() float64 {
		if st.group.IsLeader() {
			return 1
		}
		return 0
	})
	gauge("group_term", "Term of the state group.", func() float64 { return float64(st.group.Status().Term) })
	gauge("group_commit_index", "Newest committed entry.", func() float64 { return float64(st.group.Status().Commit) })
	gauge("group_applied_index", "Newest applied entry.", func() float64 { return float64(st.group.Status().Applied) })
	gauge("group_voters", "Voters of the state group.", func() float64 { return float64(len(st.group.Status().Voters)) })
	gauge("jobs_held_bytes", "Memory of the batch jobs that this replica holds, about.", func() float64 {
		held := 0
		st.machine.View(func(s *storestate.State) { held = s.Jobs().Size() })
		return float64(held)
	})
	gauge("jobs_limit_bytes", "Memory of batch jobs from which new ones are refused; 0 without a limit.", func() float64 {
		return float64(st.admission.limit)
	})
	gauge("group_waiting_requests", "Commands that wait for the replica.", func() float64 { return float64(st.group.Health().RequestDepth) })
}

// Reload takes in changed settings: the seeds.
func (st *Store) Reload(s *settings.Role) { st.view.SetSeeds(s.Seeds) }
