// Package entry implements an entry host. It accepts requests, forwards them to targets, and passes
// calls about batch jobs and calls of operators on to the store hosts. It stores nothing on disk.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootstraprpc"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/control"
	"fuchsiaflow/internal/crashes"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/forward"
	"fuchsiaflow/internal/gctuner"
	"fuchsiaflow/internal/headguard"
	"fuchsiaflow/internal/identity"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/notice"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/internal/rolehost"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/stateclient"
	"fuchsiaflow/routes"
)

const (
	// submitTimeout is the maximum time for submitting or ending a batch job. It also applies if
	// the client states no deadline.
	submitTimeout = 3 * time.Second
	// readTimeout bounds a read of results, in addition to the time that the client waits for a
	// new result, and a read of an item's body.
	readTimeout = 1200 * time.Millisecond
	// maxPageBytes bounds the total size of the texts in one page of results. Clients read at most
	// 1 MB, and entry hosts have little memory.
	maxPageBytes = 400 << 10
	// maxLeaderSilence is the maximum age of the last information about a leader. Beyond it the host
	// is not ready, so that callers are sent to hosts that can serve batch jobs.
	maxLeaderSilence = 2500 * time.Millisecond
	// maxMajoritySilence is the maximum age of the last information from a majority of the voters.
	// Beyond it the host counts as partitioned and is not ready. It is two pings of a watch stream.
	maxMajoritySilence = 1100 * time.Millisecond
	// tableWaitShare is the fraction of a request's deadline for which it may wait for the first
	// configuration. defaultDeadline is used for requests without a deadline.
	tableWaitShare  = 0.4
	defaultDeadline = time.Second
	// noConfigRetryAfter is the Retry-After value of a host without a confirmed configuration.
	noConfigRetryAfter = 500 * time.Millisecond
	// shutdownNotice is how long a stopping host continues to accept connections. The load balancer
	// checks readiness every second and removes a host after two failed checks.
	shutdownNotice = 3200 * time.Millisecond
	// balancerRemoval is the time after which the load balancer has seen two failed checks and removed a host.
	balancerRemoval = 2500 * time.Millisecond
	// answerReserve is the part of the grace period in which a stopping host answers the requests that have not ended.
	answerReserve = 300 * time.Millisecond
)

// Options configures an Entry. All fields are required.
type Options struct {
	Settings *settings.Role
	Headers  dialect.Headers
	// Front and Ready return the handlers for callers' requests and for the load balancer's
	// readiness checks.
	Front func(*Entry) http.Handler
	Ready func(*Entry) http.Handler
	// Control returns the handler of the calls of operators, trainers and targets.
	Control func(*control.Control) http.Handler
	// EngineClient asks targets which incarnation they are.
	EngineClient dialect.EngineClient
	Log          *slog.Logger
	Metrics      *observe.Metrics
	Tracing      *observe.Tracing
}

// Entry is one entry host.
type Entry struct {
	opts        Options
	kernel      *kernel.Kernel
	view        *clusterview.View
	pool        *rpc.Pool
	stateClient *stateclient.Client
	seed        *bootstraprpc.Seed
	forwarder   *forward.Forwarder
	refusals    *observe.Counter // requests refused for their key
	guard       *headguard.Guard
	front       *http.Server
	ready       *http.Server
	stopping    atomic.Bool
	wasReady    atomic.Bool
}

// New returns a host that is not started.
func New(o Options) (*Entry, error) {
	s := o.Settings
	e := &Entry{opts: o, kernel: kernel.New(o.Log), view: clusterview.NewView(o.Log, s.Seeds)}
	e.pool = rolehost.NewClientPool(s, s.IP, o.Log, o.Tracing)
	peer := func(host string) (rpc.PeerClient, error) { return e.pool.Peer(clusterview.ReplicaIP(host)) }
	e.stateClient = stateclient.New(e.view, s.IP, nil, peer)
	e.seed = newSeed(s)
	limiter := ratelimit.New(e.view, ratelimit.Leader{Call: e.stateClient.DemandShare}, o.Log, o.Metrics)
	e.refusals = newRefusalCounter(o.Metrics)
	e.forwarder = forward.New(o.Headers, e.view, limiter, s.FailureDomain, o.Log, o.Metrics, o.Tracing)
	e.forwarder.LimitMemory(s.MemoryBytes)
	crashReporter := crashes.NewReporter(e.view, e.stateClient, o.Log, o.Metrics)
	e.forwarder.UseCrashReporter(crashReporter)
	e.forwarder.UseStreamOrigins(e.stateClient)
	e.forwarder.UseIdentities(identity.NewChecker(e.view, o.EngineClient, o.Log, o.Metrics))
	rolehost.RegisterViewMetrics(o.Metrics, e.view)
	e.guard = rolehost.NewGuard(s, o.Log, o.Metrics)
	services := []namedService{
		{"peers", e.pool},
		{"watch", &clusterview.Watcher{View: e.view, Self: s.IP, Domain: s.FailureDomain, Peer: peer, Log: o.Log}},
		{"trace", o.Tracing},
		{"gctuner", gctuner.New(o.Log)},
		{"metrics", rolehost.NewMetricsService(s.Listen.Metrics, o.Metrics, e.guard)},
		{"limits", limiter},
		{"crashes", crashReporter},
		{"forwarder", e.forwarder},
		{"notices", notice.NewReporter(e.view, e.stateClient.NoticeDeparture, o.Log, o.Metrics)},
		{"peer-server", newPeerServer(e)},
		{"control", &controlService{e: e}},
	}
	if s.Platform.ReportsUsage && s.Usage.Window > 0 {
		counter := newUsageService(s.Host, s.Usage.Window, e.stateClient.RecordUsage, rolehost.ReadClocks, o.Log)
		e.forwarder.UseUsageCounter(counter)
		services = append(services, namedService{"usage", counter})
	}
	services = append(services, namedService{"http", httpService{e}}) // stops first
	for _, v := range services {
		if err := e.kernel.Register(v.name, v.service); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// namedService is a service and its name in the kernel.
type namedService struct {
	name    string
	service any
}

// Start starts all services of the host.
func (e *Entry) Start(ctx context.Context) error { return e.kernel.Start(ctx) }

// Failed returns a channel that receives the failure after which the host must stop.
func (e *Entry) Failed() <-chan error { return e.kernel.Failed() }

// Shutdown reports the host as not ready, continues to serve for shutdownNotice so that the load
// balancer removes it, completes the requests in progress, answers those that do not end in time, and stops.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.stopping.Store(true)
	if deadline, ok := ctx.Deadline(); ok {
		e.forwarder.Shutdown().Begin(balancerRemoval, time.Until(deadline)-answerReserve)
	}
	select {
	case <-ctx.Done():
	case <-time.After(shutdownNotice):
	}
	return e.kernel.Stop(ctx)
}

// Ready reports whether the load balancer should send new connections to this host.
func (e *Entry) Ready() bool {
	ready := !e.stopping.Load() && e.view.Table() != nil && e.view.LeaderAge() < maxLeaderSilence &&
		e.view.MajorityAge() < maxMajoritySilence
	if e.wasReady.Swap(ready) != ready {
		e.opts.Log.Info("readiness changed", "ready", ready, "stopping", e.stopping.Load(), "configured", e.view.Table() != nil,
			"leader_age_ms", e.view.LeaderAge().Milliseconds(), "majority_age_ms", e.view.MajorityAge().Milliseconds())
	}
	return ready
}

// Stopping reports whether the host is shutting down. Answers then close their connections.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// Table returns the routes in force, or nil if there is no configuration yet.
func (e *Entry) Table() *routes.Table { return e.view.Table() }

// AwaitTables returns the tables of the configuration in force. A host without a configuration waits for one for a fraction
// of the caller's deadline, which is 0 if the caller states none. If none arrives in time, it returns
// an *errs.Overloaded.
func (e *Entry) AwaitTables(ctx context.Context, deadline time.Duration) (*clusterview.Tables, error) {
	if t := e.view.Tables(); t != nil {
		return t, nil
	}
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(tableWaitShare*float64(deadline)))
	defer cancel()
	if t := e.view.WaitConfig(ctx); t != nil {
		return t, nil
	}
	return nil, &errs.Overloaded{Resource: "host without a configuration", After: noConfigRetryAfter}
}

// NoRouteError returns the error for a request that no route matches. A host that has not learned of a
// leader since its start cannot know whether its configuration is the newest, because it came from a
// store host that may have left the group long ago. It then returns a retryable error.
func (e *Entry) NoRouteError(host, path string) error {
	if !e.view.LeaderReported() {
		return errNotConfirmed
	}
	return &errs.NotFound{Kind: "route for", ID: host + path}
}

// errNotConfirmed is the error of a host that cannot know whether its configuration is the newest.
var errNotConfirmed = &errs.Overloaded{Resource: "host without a confirmed configuration", After: noConfigRetryAfter}

// LogRefusal logs a request that is answered with an error before it is forwarded: no route was found for it, or its key does
// not allow it. args are further fields.
func (e *Entry) LogRefusal(id, host, path string, err error, args ...any) {
	version := uint64(0)
	if t := e.view.Table(); t != nil {
		version = t.Config.Version
	}
	args = append(args, "request", id, "for_host", host, "path", path, "config", version,
		"outcome", string(errs.OutcomeOf(err)), "error", err.Error(), "leader_age_ms", e.view.LeaderAge().Milliseconds())
	e.opts.Log.Info("request refused", args...)
}

// Forward passes a request of a caller that Admit has admitted on to a target of the route and writes the answer.
func (e *Entry) Forward(w http.ResponseWriter, r *http.Request, route *routes.Route, version uint64, caller forward.Caller) {
	e.forwarder.Serve(w, r, route, version, caller)
}

// logCall logs a call to a store host, as a warning if it failed.
func (e *Entry) logCall(message string, err error, begin time.Time, args ...any) {
	leader, term := e.view.Leader()
	args = append(args, "took_ms", time.Since(begin).Milliseconds(), "leader", leader, "term", term,
		"leader_age_ms", e.view.LeaderAge().Milliseconds())
	if err != nil {
		args = append(args, "outcome", string(errs.OutcomeOf(err)), "error", err.Error())
		e.opts.Log.Warn(message, args...)
		return
	}
	e.opts.Log.Info(message, args...)
}

// httpService runs the HTTP servers for callers and for the load balancer.
type httpService struct{ e *Entry }

// Start implements kernel.Service.
func (h httpService) Start(_ context.Context, k *kernel.Kernel) error {
	e := h.e
	e.front, e.ready = rolehost.NewHTTPServer(e.opts.Tracing.Middleware(e.opts.Front(e))), rolehost.NewHTTPServer(e.opts.Ready(e))
	for _, s := range []struct {
		name, address string
		server        *http.Server
	}{{"front", e.opts.Settings.Listen.Front, e.front}, {"ready", e.opts.Settings.Listen.Ready, e.ready}} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return &errs.Unavailable{Resource: s.name + " address " + s.address, Reason: err.Error()}
		}
		k.Go(s.name+"/serve", func(context.Context) error { return rolehost.Serve(e.guard, s.name, s.server, listener) })
	}
	return nil
}

// Stop implements kernel.Service.
func (h httpService) Stop(ctx context.Context) error {
	err := rolehost.ShutdownServer(ctx, h.e.front)
	if readyErr := rolehost.ShutdownServer(ctx, h.e.ready); err == nil {
		err = readyErr
	}
	return err
}

// Reload applies the seeds of changed settings. Other settings have no effect.
func (e *Entry) Reload(s *settings.Role) { e.view.SetSeeds(s.Seeds) }
