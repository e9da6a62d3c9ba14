// Package forward is a reverse proxy that passes requests to the targets of a service. It decides on
// attempts, retries and refusals; package balance selects the targets.
//
// Status 503 from this package guarantees that the request has not run and never will. It is
// returned only if no byte of the request was sent, or every target that received the request
// reported that it did not run it. All other failures return 502 or 504. Statuses of targets are
// passed on, but one that promises the same (408, 429, 503) only for a request that may be repeated:
// otherwise it is replaced with 502, unless the target reported that it did not run the request.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"fuchsiaflow/balance"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/crashes"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/identity"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/notice"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/ratelimit"
	"fuchsiaflow/internal/shutdown"
	"fuchsiaflow/routes"
)

// Limits, delays and periods of the forwarder.
const (
	// maxBufferedBody is the size in bytes up to which request and response bodies are buffered.
	// Only a request whose body is buffered completely can be retried.
	maxBufferedBody = 256 << 10
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 4
	// hedgeFraction is the fraction of the route's latency objective after which a retryable
	// request is also sent to a second target.
	hedgeFraction = 0.45
	// minHedgeDelay prevents routes with a short objective from hedging almost every request,
	// which would double the load.
	minHedgeDelay = 40 * time.Millisecond
	// fullRetryDelay is the delay before the targets are tried again if all of them were full.
	fullRetryDelay = 15 * time.Millisecond
	// fullRetryFraction is the fraction of the objective within which full targets are tried again.
	// A refusal after that time would leave the caller too little of the objective for a retry.
	fullRetryFraction = 0.2
	// defaultObjective is the latency objective of a route that has none configured.
	defaultObjective = 500 * time.Millisecond
	// retryAfterNoTarget is the Retry-After value if no target is known: about the time until
	// a new target announces itself.
	retryAfterNoTarget = 500 * time.Millisecond
	// retryAfterUnreachable is the Retry-After value if no known target can be reached.
	retryAfterUnreachable = 200 * time.Millisecond
	// retryAfterFull is the Retry-After value if all targets are full, or no attempt could be made in
	// time.
	retryAfterFull = 50 * time.Millisecond
	// returnShare is the part of the time left to a refused caller within which it returns.
	returnShare   = 1.0 / 3
	sweepInterval = time.Second
	// warmupPeriod is the time after the start of a host in which it may not know all targets yet.
	// Each target announces itself about every second.
	warmupPeriod = 3 * time.Second
	// warmupFraction is the fraction of a request's timeout for which it may wait for a target during
	// the warmup period. The rest is left for a retry by the caller.
	warmupFraction = 0.6
)

// Forwarder forwards requests to targets. It is safe for concurrent use and implements kernel.Service.
type Forwarder struct {
	headers dialect.Headers
	view    *clusterview.View
	pool    *httpconn.Pool
	log     *slog.Logger
	metrics *metrics
	tracing *observe.Tracing
	started time.Time
	// shutdown is the stop of the host.
	shutdown *shutdown.Shutdown
	// limiter admits the requests to targets that state a limit.
	limiter *ratelimit.Limiter
	// crashes keeps requests under which targets crash in quarantine; nil if none are kept there.
	crashes *crashes.Reporter

	// origins stores what began a stream; nil if callers cannot take streams up.
	origins    StreamOrigins
	identities *identity.Checker // nil confirms everything
	// usage counts the requests of client accounts; nil if they are not counted.
	usage UsageCounter

	// buffers bounds what bodies hold in memory.
	buffers *bufferBudget

	// capacityRevision is the revision of the statements of other hosts that were learned last.
	capacityRevision uint64

	mu       sync.Mutex
	balancer *balance.Balancer
}

// New returns a forwarder for a host in the failure domain.
func New(h dialect.Headers, view *clusterview.View, limiter *ratelimit.Limiter, failureDomain string, log *slog.Logger, m *observe.Metrics, tracing *observe.Tracing) *Forwarder {
	f := &Forwarder{headers: h, view: view, pool: httpconn.NewPool(maxIdleConns), log: log, balancer: balance.New(failureDomain),
		limiter: limiter, tracing: tracing, started: bootclock.Now(), shutdown: shutdown.New()}
	f.metrics = newMetrics(m, f)
	f.buffers = newBufferBudget(heldLimit(0), log, m)
	return f
}

// LimitMemory makes what bodies hold follow the memory of the process in bytes; 0 means that it is not known. It must be
// called before the first request.
func (f *Forwarder) LimitMemory(bytes int64) { f.buffers.setLimit(heldLimit(bytes)) }

// Start implements kernel.Service.
func (f *Forwarder) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("forward/sweep", sweepInterval, f.sweep)
	k.Every("forward/estimates", learnInterval, f.learnEstimates)
	k.Go("forward/share", f.shareEstimates)
	return nil
}

// Stop implements kernel.Service.
func (f *Forwarder) Stop(context.Context) error { return nil }

// Shutdown returns the stop of the host, which ends the requests.
func (f *Forwarder) Shutdown() *shutdown.Shutdown { return f.shutdown }

// sweep closes idle connections and removes the state of targets that no longer serve.
func (f *Forwarder) sweep(context.Context) {
	f.pool.CloseExpired()
	var ids []string
	for _, t := range f.view.Serving("") {
		ids = append(ids, t.ID)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.Retain(ids)
}

// Caller is who sent a request.
type Caller struct {
	// Account is the client account of the caller; empty if the request needed no key.
	Account string
	// Priority is the priority of the account; 0 is the highest.
	Priority int
	// HidesKey is set if the configuration has client accounts: no header with a key, or with an account that the caller
	// names, may reach a target.
	HidesKey bool
}

// hiddenNames returns the canonical names of the headers that name a caller and that targets must not get from the caller.
// Without client accounts there are none.
func (c *Caller) hiddenNames(names *dialect.Headers) []string {
	if !c.HidesKey {
		return nil
	}
	return []string{http.CanonicalHeaderKey(names.CallerKey), http.CanonicalHeaderKey(names.Account)}
}

// fingerprintCaller returns what tells the caller from others in the fingerprint of a request, into which it is hashed: the
// account, or the key where there are no accounts.
func (c *Caller) fingerprintCaller(h http.Header, names *dialect.Headers) string {
	if c.HidesKey || c.Account != "" {
		return c.Account
	}
	return h.Get(names.CallerKey)
}

// call is a caller's request in progress.
type call struct {
	caller        Caller
	forwarder     *Forwarder
	route         *routes.Route
	service       string
	configVersion uint64 // version of the configuration that has the route
	req           *http.Request
	w             http.ResponseWriter
	id            string
	source        string // kind of the call, named with a departure notice in its answer
	startedAt     time.Time
	deadline      time.Time
	body          *bufferedBody
	tried         []string        // targets already picked; waitForCapacity resets it
	possibleRuns  int             // attempts that may have run the request
	sawRejection  bool            // a target in tried rejected the request without running it
	retryWait     time.Duration   // time until a target that failed, or is overloaded, may be tried again
	overloaded    bool            // the last choice found a target that works but is not expected to answer in time
	limitWait     time.Duration   // time until a target that the last choice left out for its limit may be tried again
	unadmitted    []string        // targets that have not admitted this request
	notForwarded  map[string]bool // headers of req that targets do not get
	attempts      int             // attempts started
	serverErrors  int             // answers with status 500
	suspicion     suspicion
	usage         usageCount
	binding       // of a stream
}

// Serve forwards a request that matches a route of the configuration with the given version. The timeout
// is the route's, or the caller's deadline if that is shorter. If the response cannot be completed, Serve
// panics with http.ErrAbortHandler, which closes the connection to the caller.
func (f *Forwarder) Serve(w http.ResponseWriter, r *http.Request, route *routes.Route, version uint64, caller Caller) {
	c := f.newCall(w, r, route, version)
	c.caller = caller
	for _, name := range caller.hiddenNames(&f.headers) {
		c.notForwarded[name] = true
	}
	c.usage = f.newUsageCount(caller.Account)
	if err := c.run(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (f *Forwarder) newCall(w http.ResponseWriter, r *http.Request, route *routes.Route, version uint64) *call {
	c := &call{forwarder: f, route: route, configVersion: version, req: r, w: w, id: r.Header.Get(f.headers.RequestID), startedAt: bootclock.Now(),
		notForwarded: hopByHopNames(r.Header)}
	c.service = route.ChooseService(hashString(c.id))
	c.source = notice.SourceRequest
	if route.Kind == routes.Stream {
		c.source = notice.SourceStream
	}
	timeout := route.Timeout
	if ms, err := strconv.ParseInt(r.Header.Get(f.headers.Deadline), 10, 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = c.startedAt.Add(timeout)
	return c
}

// run sends the request and responds to the caller. It returns AbortedResponse if the caller gets no
// response or an incomplete one.
func (c *call) run() error {
	ctx, cancel := c.forwarder.shutdown.Context(c.req.Context(), c.deadline.Sub(c.startedAt))
	defer cancel()
	body, err := readBody(c.req, c.forwarder.buffers)
	if err != nil {
		return c.abort("client gone", 0, nil, err)
	}
	c.body = body
	defer body.buffer.release()
	// Now and not before, because a body may arrive slowly.
	if !c.forwarder.shutdown.Admits(c.route.Name, c.deadline) {
		c.w.Header().Set("Connection", "close")
		c.refuse(shutdown.RetryAfter, "this host stops")
		return nil
	}
	if !c.admittedByQuarantine(ctx) {
		return nil
	}
	if c.route.Kind == routes.Stream {
		return c.stream(ctx)
	}
	return c.roundTrip(ctx)
}

// retryable reports whether another attempt may be started now.
func (c *call) retryable() bool {
	if !c.body.complete || c.possibleRuns >= c.route.AttemptLimit() || c.suspicion.stopped() {
		return false
	}
	return c.possibleRuns == 0 || c.route.Retryable()
}

// objective returns the latency objective of the route.
func (c *call) objective() time.Duration {
	if c.route.LatencyObjective > 0 {
		return c.route.LatencyObjective
	}
	return defaultObjective
}

// startSpan starts the trace span of an attempt.
func (c *call) startSpan(ctx context.Context, target string) (context.Context, trace.Span) {
	return c.forwarder.tracing.StartClientSpan(ctx, "forward request", attribute.String("request", c.id), attribute.String("route", c.route.Name),
		attribute.String("target", target), attribute.Int("attempt", c.attempts))
}

// newRequest builds the request for a target with the remaining time as its deadline. The header
// named by headers.ExpectedInstance makes any instance other than the target reject the request. The request is not
// sent if the target announces its departure while the connection is opened.
func (c *call) newRequest(cand choice) *httpconn.Request {
	h := make(http.Header)
	if c.caller.Account != "" {
		h.Set(c.forwarder.headers.Account, c.caller.Account)
	}
	remaining := max(c.deadline.Sub(bootclock.Now()).Milliseconds(), 1)
	h.Set(c.forwarder.headers.Deadline, strconv.FormatInt(remaining, 10))
	h.Set(c.forwarder.headers.ExpectedInstance, cand.ID)
	return &httpconn.Request{ID: c.id, Method: c.req.Method, RequestURI: c.req.RequestURI, Host: c.req.Host, Header: h,
		Base: c.req.Header, Without: c.notForwarded,
		Body: c.body.reader(), ContentLength: c.body.length, BeforeSend: func() error { return c.forwarder.checkAccepts(cand) }}
}

// maxAdmissionAge is the time within which an admitted request must be sent. It exceeds the time of a dial.
const maxAdmissionAge = 400 * time.Millisecond

// checkAccepts returns errs.Unavailable if the target has announced its departure, or has a limit and has not admitted
// the request, or not lately.
func (f *Forwarder) checkAccepts(cand choice) error {
	reason := ""
	if !f.view.Accepts(cand.ID, cand.Incarnation) {
		reason = "it leaves"
	} else if _, limited := f.view.RateLimit(cand.ID, cand.Incarnation); limited && bootclock.Now().Sub(cand.admittedAt) > maxAdmissionAge {
		reason = "it states a limit and has not admitted the request"
	}
	if reason == "" {
		return nil
	}
	return &errs.Unavailable{Resource: "target " + cand.ID, Reason: reason, Outcome: errs.NotRun}
}
