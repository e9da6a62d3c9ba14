// Package forward passes requests of callers on to the targets of a service and the answers
// back. It decides about attempts, retries and refusals; package balance chooses the target.
//
// A refusal with status 503 promises that the request has not run and never will: it is given
// only when no byte of the request went out, or each target that got it said that it did not
// run it. Every other failure is answered with 502 or 504.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"fuchsiaflow/balance"
	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/dialect"
	"fuchsiaflow/internal/httpconn"
	"fuchsiaflow/internal/mesh"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/routes"
)

// Limits of forwarding.
const (
	// maxHeldBody is the largest request body that is kept for a retry, and the largest answer
	// that is read whole before it is passed on, in bytes.
	maxHeldBody = 256 << 10
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 4
	// hedgeShare is the share of the route's objective after which a repeatable request is
	// also sent to a second target.
	hedgeShare = 0.45
	// minHedge keeps short objectives from doubling the load.
	minHedge = 40 * time.Millisecond
	// shedWait is the pause before targets that were all full are tried again.
	shedWait = 15 * time.Millisecond
	// shedShare is the share of the objective within which full targets are tried again. What
	// is refused later than that cannot be served in time by a new attempt of the caller.
	shedShare = 0.2
	// defaultObjective is used for a route that states none.
	defaultObjective = 500 * time.Millisecond
	// retryAfterNoTarget is when a caller may come back if no target is known: about the time
	// in which a new target announces itself.
	retryAfterNoTarget = 500 * time.Millisecond
	// retryAfterLost is when a caller may come back if no known target can be reached.
	retryAfterLost = 200 * time.Millisecond
	// retryAfterFull is when a caller may come back if all targets are full.
	retryAfterFull = 50 * time.Millisecond
	sweepInterval  = time.Second
	// warmup is the time after the start of a host in which it does not know yet which targets
	// there are: each announces itself about every second.
	warmup = 3 * time.Second
	// warmupShare is the share of a request's time that it may wait for a target during the
	// warmup. The rest is left for a new attempt of the caller.
	warmupShare = 0.6
)

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	headers dialect.Headers
	view    *mesh.View
	pool    *httpconn.Pool
	log     *slog.Logger
	metrics *metrics
	tracing *observe.Tracing
	started time.Time

	mu       sync.Mutex
	balancer *balance.Balancer
}

// New returns a forwarder of a host in a failure domain.
func New(h dialect.Headers, view *mesh.View, domain string, log *slog.Logger, m *observe.Metrics, tracing *observe.Tracing) *Forwarder {
	f := &Forwarder{headers: h, view: view, pool: httpconn.NewPool(maxIdleConns), log: log, balancer: balance.New(domain),
		tracing: tracing, started: bootclock.Now()}
	f.metrics = newMetrics(m, f.pool)
	return f
}

// Sweep closes idle connections and forgets targets that are gone; call it every second or so.
func (f *Forwarder) Sweep(context.Context) {
	f.pool.Sweep()
	var ids []string
	for _, t := range f.view.Serving("") {
		ids = append(ids, t.ID)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.Retain(ids)
}

// SweepInterval is how often Sweep is to be called.
const SweepInterval = sweepInterval

// call is one request of a caller on its way.
type call struct {
	f        *Forwarder
	route    *routes.Route
	service  string
	version  uint64 // of the configuration
	r        *http.Request
	w        http.ResponseWriter
	id       string
	start    time.Time
	deadline time.Time
	body     *heldBody
	tried    []string      // targets of this round
	sent     int           // attempts that may have run
	shed     bool          // a target of this round was full
	wait     time.Duration // until a target that failed may be tried again
	attempts int
}

// Serve forwards a request of a route.
func (f *Forwarder) Serve(w http.ResponseWriter, r *http.Request, route *routes.Route, version uint64) {
	c := &call{f: f, route: route, version: version, r: r, w: w, id: r.Header.Get(f.headers.RequestID), start: bootclock.Now()}
	c.service = route.ChooseService(hash(c.id))
	timeout := route.Timeout
	if ms, err := strconv.ParseInt(r.Header.Get(f.headers.Deadline), 10, 64); err == nil && ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = c.start.Add(timeout)
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	body, err := readBody(r)
	if err != nil {
		c.finish("client gone", 0, "", err)
		panic(http.ErrAbortHandler)
	}
	c.body = body
	if route.Kind == routes.Stream {
		c.stream(ctx)
		return
	}
	c.exchange(ctx)
}

// pick chooses the next target among those that were not tried in this round.
func (c *call) pick() (balance.Candidate, bool) {
	var list []balance.Candidate
	for _, t := range c.f.view.Serving(c.service) {
		list = append(list, balance.Candidate{Target: t, Connected: c.f.pool.HasIdle(t.Address)})
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	cand, wait, ok := c.f.balancer.Pick(bootclock.Now(), list, c.tried)
	c.wait = wait
	if ok {
		c.tried = append(c.tried, cand.ID)
		c.f.balancer.Started(cand.ID)
	}
	return cand, ok
}

// pickFirst chooses the first target. A host that has just started waits for one that serves the
// request, because it cannot know yet that there is none.
func (c *call) pickFirst(ctx context.Context) (balance.Candidate, bool) {
	until := c.start.Add(time.Duration(warmupShare * float64(c.deadline.Sub(c.start))))
	if end := c.f.started.Add(warmup); end.Before(until) {
		until = end
	}
	for {
		changed := c.f.view.Changed()
		cand, ok := c.pick()
		left := until.Sub(bootclock.Now())
		if ok || c.wait > 0 || left <= 0 {
			return cand, ok
		}
		select {
		case <-ctx.Done():
			return cand, false
		case <-changed:
		case <-time.After(left):
		}
	}
}

func (c *call) finished(target string, o balance.Outcome, took time.Duration) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.balancer.Finished(bootclock.Now(), target, o, took)
}

// retryable tells whether another attempt may be started now.
func (c *call) retryable() bool {
	if !c.body.whole || c.sent >= c.route.AttemptLimit() {
		return false
	}
	return c.sent == 0 || c.route.Retryable()
}

// objective is the time within which the answer earns its full value.
func (c *call) objective() time.Duration {
	if c.route.LatencyObjective > 0 {
		return c.route.LatencyObjective
	}
	return defaultObjective
}

// span starts the span of an attempt.
func (c *call) span(ctx context.Context, target string) (context.Context, trace.Span) {
	return c.f.tracing.ClientSpan(ctx, "forward request", attribute.String("request", c.id), attribute.String("route", c.route.Name),
		attribute.String("target", target), attribute.Int("attempt", c.attempts))
}

// request builds the request for a target.
func (c *call) request(target string) *httpconn.Request {
	h := passOn(c.r.Header)
	left := max(c.deadline.Sub(bootclock.Now()).Milliseconds(), 1)
	h.Set(c.f.headers.Deadline, strconv.FormatInt(left, 10))
	h.Set(c.f.headers.Expect, target)
	return &httpconn.Request{Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: h,
		Body: c.body.reader(), Length: c.body.length}
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Proxy-Authenticate", "Proxy-Authorization", "Expect"}

// passOn copies the headers that are not about the connection.
func passOn(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader passes the headers of an answer on.
func copyHeader(dst, src http.Header) {
	for name, values := range passOn(src) {
		dst[name] = slices.Clone(values)
	}
	if _, ok := src["Content-Type"]; !ok {
		dst["Content-Type"] = nil // keeps net/http from guessing one
	}
}

// refuse answers that the request has not run, and when to come back.
func (c *call) refuse(after time.Duration, reason string) {
	c.w.Header().Set(c.f.headers.RetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	c.fail(http.StatusServiceUnavailable, reason)
}

// fail answers with a failure of this host's own.
func (c *call) fail(status int, reason string) {
	if c.id != "" {
		c.w.Header().Set(c.f.headers.RequestID, c.id)
	}
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = c.w.Write([]byte(reason + "\n")) // a caller that has left needs no answer
	c.finish(reason, status, "", nil)
}

// failUnserved ends a request for which nothing more can be tried.
func (c *call) failUnserved() {
	switch {
	case c.sent > 0:
		c.fail(http.StatusBadGateway, "no usable answer of a target")
	case c.wait > 0:
		c.refuse(c.wait, "all targets have failed")
	case c.attempts == 0:
		c.refuse(retryAfterNoTarget, "no target serves "+c.service)
	case c.shed:
		c.refuse(retryAfterFull, "all targets are full")
	default:
		c.refuse(retryAfterLost, "no target can be reached")
	}
}

// failLate ends a request whose time is up.
func (c *call) failLate() {
	if c.r.Context().Err() != nil {
		c.finish("client gone", 0, "", nil)
		panic(http.ErrAbortHandler)
	}
	if c.sent > 0 {
		c.fail(http.StatusGatewayTimeout, "no answer in time")
		return
	}
	c.refuse(retryAfterFull, "no target in time")
}

// finish logs and counts the end of the request.
func (c *call) finish(outcome string, status int, target string, err error) {
	took := bootclock.Now().Sub(c.start)
	c.f.metrics.finished(string(c.route.Kind), status, took)
	args := []any{"request", c.id, "route", c.route.Name, "service", c.service, "config", c.version, "status", status,
		"outcome", outcome, "attempts", c.attempts, "sent", c.sent, "target", target, "took_ms", took.Milliseconds(),
		"left_ms", c.deadline.Sub(bootclock.Now()).Milliseconds()}
	if err != nil {
		args = append(args, "error", err.Error())
	}
	c.f.log.Info("request finished", args...)
}
