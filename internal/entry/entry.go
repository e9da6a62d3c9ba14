// Package entry is an entry host: it takes the requests of callers, forwards them to targets, and
// passes the calls about batch jobs on to the store hosts. It has no disk.
package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/forward"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/mesh"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/rolehost"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/internal/statecall"
	"fuchsiaflow/jobs"
	"fuchsiaflow/routes"
)

const (
	// submitTimeout bounds a submission whose client states no deadline.
	submitTimeout = 3 * time.Second
	// readTimeout bounds a read of results beyond the time that it may wait for one.
	readTimeout = 1200 * time.Millisecond
	// maxPage bounds the texts of one answer, in bytes; clients read at most 1 MB, and entry
	// hosts have little memory.
	maxPage = 400 << 10
	// contactLoss is the time without news of a leader after which the host is not ready, so
	// that callers are sent to hosts that can serve batch jobs.
	contactLoss = 2500 * time.Millisecond
	// cutLoss is the time without news of most voters after which the host counts as cut off:
	// two pings of a watch.
	cutLoss = 1100 * time.Millisecond
	// tableShare is the share of a caller's time that a request may wait for the first
	// configuration; defaultDeadline stands for callers that do not state their time.
	tableShare      = 0.4
	defaultDeadline = time.Second
	// noConfigPause is when a client may come back to a host that has no configuration yet.
	noConfigPause = 500 * time.Millisecond
	// noticeTime is how long a stopping host goes on accepting connections: the balancer asks
	// every second and takes a host out after two misses.
	noticeTime = 3200 * time.Millisecond
)

// Options sets up an Entry. All fields are required.
type Options struct {
	Settings *settings.Role
	Headers  dialect.Headers
	// Front and Ready return the handlers of the callers' requests and of the balancer.
	Front   func(*Entry) http.Handler
	Ready   func(*Entry) http.Handler
	Log     *slog.Logger
	Metrics *observe.Metrics
	Tracing *observe.Tracing
}

// Entry is one entry host.
type Entry struct {
	o         Options
	kernel    *kernel.Kernel
	view      *mesh.View
	pool      *rpc.Pool
	calls     *statecall.Client
	forwarder *forward.Forwarder
	front     *http.Server
	ready     *http.Server
	stopping  atomic.Bool
	wasReady  atomic.Bool
}

// New returns a host; Start makes it serve.
func New(o Options) (*Entry, error) {
	s := o.Settings
	e := &Entry{o: o, kernel: kernel.New(o.Log), view: mesh.NewView(o.Log, s.Seeds)}
	e.pool = rolehost.NewPool(s, s.IP, o.Log, o.Tracing)
	peer := func(host string) (rpc.PeerClient, error) { return e.pool.Peer(mesh.IPOf(host)) }
	e.calls = statecall.New(e.view, s.IP, nil, peer)
	e.forwarder = forward.New(o.Headers, e.view, s.FailureDomain, o.Log, o.Metrics, o.Tracing)
	rolehost.ViewMetrics(o.Metrics, e.view)
	services := []struct {
		name    string
		service any
	}{
		{"peers", e.pool},
		{"watch", &mesh.Watcher{View: e.view, Self: s.IP, Peer: peer, Log: o.Log}},
		{"trace", o.Tracing},
		{"metrics", rolehost.Metrics(s.Listen.Metrics, o.Metrics)},
		{"http", httpService{e}},
	}
	for _, v := range services {
		if err := e.kernel.Register(v.name, v.service); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// Start makes the host serve.
func (e *Entry) Start(ctx context.Context) error { return e.kernel.Start(ctx) }

// Failed delivers the failure that makes the host stop.
func (e *Entry) Failed() <-chan error { return e.kernel.Failed() }

// Shutdown tells the balancer, goes on serving until no more connections come, finishes the
// requests in progress, and stops.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.stopping.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(noticeTime):
	}
	return e.kernel.Stop(ctx)
}

// Ready tells whether new connections should come to this host.
func (e *Entry) Ready() bool {
	ready := !e.stopping.Load() && e.view.Table() != nil && e.view.LeaderAge() < contactLoss &&
		e.view.MajorityAge() < cutLoss
	if e.wasReady.Swap(ready) != ready {
		e.o.Log.Info("readiness changed", "ready", ready, "stopping", e.stopping.Load(), "configured", e.view.Table() != nil,
			"leader_age_ms", e.view.LeaderAge().Milliseconds(), "majority_age_ms", e.view.MajorityAge().Milliseconds())
	}
	return ready
}

// Stopping tells whether the host is about to end; answers then close their connections.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// Table returns the routes in force, or nil.
func (e *Entry) Table() *routes.Table { return e.view.Table() }

// AwaitTable returns the routes in force. A host that has just started waits for them for a part
// of the time that the caller waits; 0 when the caller does not say. Without any it returns
// errs.Overloaded.
func (e *Entry) AwaitTable(ctx context.Context, deadline time.Duration) (*routes.Table, error) {
	if t := e.view.Table(); t != nil {
		return t, nil
	}
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(tableShare*float64(deadline)))
	defer cancel()
	if t := e.view.WaitConfig(ctx); t != nil {
		return t, nil
	}
	return nil, &errs.Overloaded{Resource: "host without a configuration", After: noConfigPause}
}

// NoRouteError returns the failure of a request that no route matches. A host that has not heard of a
// leader since its start cannot know whether its configuration is the newest: it came from a store
// host that may have left the group long ago.
func (e *Entry) NoRouteError(host, path string) error {
	if !e.view.HeardLeader() {
		return &errs.Overloaded{Resource: "host without a confirmed configuration", After: noConfigPause}
	}
	return &errs.NotFound{Kind: "route for", ID: host + path}
}

// LogRefusal logs a request that is answered before a route is known for it.
func (e *Entry) LogRefusal(id, host, path string, err error) {
	version := uint64(0)
	if t := e.view.Table(); t != nil {
		version = t.Config.Version
	}
	e.o.Log.Info("request refused", "request", id, "for_host", host, "path", path, "config", version,
		"outcome", string(errs.OutcomeOf(err)), "error", err.Error(), "leader_age_ms", e.view.LeaderAge().Milliseconds())
}

// Forward passes a request on to a target.
func (e *Entry) Forward(w http.ResponseWriter, r *http.Request, route *routes.Route, version uint64) {
	e.forwarder.Serve(w, r, route, version)
}

// SubmitJob stores a batch job.
func (e *Entry) SubmitJob(ctx context.Context, j jobs.Job, timeout time.Duration) error {
	if timeout <= 0 || timeout > submitTimeout {
		timeout = submitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begin := time.Now()
	fresh, err := e.calls.Submit(ctx, j)
	e.logCall("batch job submitted", err, begin, "job", j.ID, "model", j.Model, "step", j.Step, "items", len(j.Items), "fresh", fresh)
	return err
}

// JobResults returns results of a batch job.
func (e *Entry) JobResults(ctx context.Context, job string, after int, wait time.Duration) (jobs.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	begin := time.Now()
	page, err := e.calls.Results(ctx, job, after, maxPage, wait)
	if err != nil {
		e.logCall("results read", err, begin, "job", job, "after", after)
	}
	return page, err
}

// LogUnreadableResults logs an answer that is broken off because a text in it is damaged.
func (e *Entry) LogUnreadableResults(job string, after int, err error) {
	leader, term := e.view.Leader()
	e.o.Log.Error("results unreadable", "job", job, "after", after, "leader", leader, "term", term, "error", err)
}

// ItemBody returns the body of an item that has no result yet.
func (e *Entry) ItemBody(ctx context.Context, job, item string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begin := time.Now()
	body, err := e.calls.Body(ctx, job, item)
	if err != nil {
		e.logCall("item body read", err, begin, "job", job, "item", item)
	}
	return body, err
}

// EndJob ends a batch job.
func (e *Entry) EndJob(ctx context.Context, job string) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	begin := time.Now()
	err := e.calls.End(ctx, job)
	e.logCall("batch job ended", err, begin, "job", job)
	return err
}

func (e *Entry) logCall(message string, err error, begin time.Time, args ...any) {
	leader, term := e.view.Leader()
	args = append(args, "took_ms", time.Since(begin).Milliseconds(), "leader", leader, "term", term,
		"leader_age_ms", e.view.LeaderAge().Milliseconds())
	if err != nil {
		args = append(args, "outcome", string(errs.OutcomeOf(err)), "error", err.Error())
		e.o.Log.Warn(message, args...)
		return
	}
	e.o.Log.Info(message, args...)
}

// httpService serves the callers and the balancer.
type httpService struct{ e *Entry }

// Start implements kernel.Service.
func (h httpService) Start(_ context.Context, k *kernel.Kernel) error {
	e := h.e
	e.front, e.ready = rolehost.HTTPServer(e.o.Tracing.Middleware(e.o.Front(e))), rolehost.HTTPServer(e.o.Ready(e))
	for _, s := range []struct {
		name, address string
		server        *http.Server
	}{{"front", e.o.Settings.Listen.Front, e.front}, {"ready", e.o.Settings.Listen.Ready, e.ready}} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return &errs.Unavailable{Resource: s.name + " address " + s.address, Reason: err.Error()}
		}
		k.Go(s.name+"/serve", func(context.Context) error { return rolehost.Serve(s.server, listener) })
	}
	k.Every("forward/sweep", forward.SweepInterval, e.forwarder.Sweep)
	return nil
}

// Stop implements kernel.Service.
func (h httpService) Stop(ctx context.Context) error {
	err := rolehost.StopServer(ctx, h.e.front)
	if rerr := rolehost.StopServer(ctx, h.e.ready); err == nil {
		err = rerr
	}
	return err
}

// Reload takes in changed settings: the seeds.
func (e *Entry) Reload(s *settings.Role) { e.view.SetSeeds(s.Seeds) }
