package fakes

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/engine"
	"fuchsiaflow/internal/kernel"
)

const (
	announceInterval = time.Second
	maxRequestBytes  = 16 << 20
)

// TargetOptions holds the common options of engines and services.
type TargetOptions struct {
	ID            string
	FailureDomain string
	Pool          string
	Slots         int // concurrent requests; zero means 4
	// Hosts are base URLs such as "http://127.0.0.1:8080". Announcements go to them in round-robin
	// order, as behind a load balancer. Without hosts the target does not announce itself.
	Hosts            []string
	Token            string        // bearer token for the hosts; optional
	AnnounceInterval time.Duration // between announcements; zero means one second
	Logger           *slog.Logger  // nil disables logging
}

// Announcement is the body of POST /v1/targets/announce.
type Announcement struct {
	ID            string            `json:"id"`
	Incarnation   uint64            `json:"incarnation"`
	FailureDomain string            `json:"failure_domain"`
	Pool          string            `json:"pool"`
	Address       string            `json:"address"`
	Kind          string            `json:"kind"`
	Slots         int               `json:"slots"`
	Loaded        map[string]uint64 `json:"loaded"`
	Load          engine.Load       `json:"load"`
}

// target is the common part of the fakes that serve requests: the server, the announcements, the slots
// and the injected failures.
type target struct {
	opts         TargetOptions
	kind         string
	handler      http.Handler
	client       *hostClient
	loadedModels func() map[string]uint64 // called without holding mu

	// announcing is held for reading while an announcement is sent, so that none arrives after that of the departure.
	announcing sync.RWMutex

	mu                  sync.Mutex
	slots               chan struct{}
	incarnation         uint64
	addr                string
	running             int
	queued              int
	requestsToRefuse    int // requests still to be answered with not_run
	delay               time.Duration
	leftAt              time.Time
	delaysAfterLeave    []time.Duration // from Leave to each later request
	executionsByRequest map[string]int
	executionsByInput   map[string]int
	listener            *listener
	server              *http.Server
	kernel              *kernel.Kernel
}

func newTarget(o TargetOptions, kind string) *target {
	if o.Slots == 0 {
		o.Slots = 4
	}
	if o.AnnounceInterval == 0 {
		o.AnnounceInterval = announceInterval
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.NewJSONHandler(io.Discard, nil))
	}
	return &target{opts: o, kind: kind, client: newHostClient(o.Hosts, o.Token),
		loadedModels:        func() map[string]uint64 { return map[string]uint64{} },
		executionsByRequest: make(map[string]int), executionsByInput: make(map[string]int)}
}

// start listens and announces the target with a new incarnation. It keeps the address if that is free.
func (t *target) start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server != nil {
		return &errs.Conflict{Kind: "fake target", ID: t.opts.ID, Stored: "running", Received: "start"}
	}
	l, err := listen(t.addr)
	if err != nil {
		return &errs.Unavailable{Resource: "loopback port", Reason: err.Error()}
	}
	t.incarnation++
	t.listener, t.addr = l, l.Addr().String()
	t.leftAt, t.running, t.queued = time.Time{}, 0, 0
	t.slots = make(chan struct{}, t.opts.Slots)
	t.kernel = kernel.New(t.opts.Logger)
	server := &http.Server{Handler: t.handler, ErrorLog: slog.NewLogLogger(t.opts.Logger.Handler(), slog.LevelDebug)}
	t.server = server
	t.kernel.Go("serve", func(context.Context) error { _ = server.Serve(l); return nil })
	if len(t.opts.Hosts) > 0 {
		t.kernel.Go("first announcement", func(ctx context.Context) error { t.announce(ctx); return nil })
		t.kernel.Every("announce", t.opts.AnnounceInterval, t.announce)
	}
	return nil
}

// Crash stops the target at once and closes its connections. Its counters stay readable.
func (t *target) Crash() {
	t.mu.Lock()
	server, l, k := t.server, t.listener, t.kernel
	t.server = nil
	t.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	l.closeConns()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = k.Stop(ctx)
}

// Close stops the target and its client.
func (t *target) Close() {
	t.Crash()
	t.client.close()
}

// incarnationContext returns a context that is cancelled when the current incarnation ends.
func (t *target) incarnationContext() context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kernel.Context()
}

func (t *target) announce(ctx context.Context) {
	// A host that does not answer must not delay the next announcement for long.
	ctx, cancel := context.WithTimeout(ctx, max(t.opts.AnnounceInterval, announceInterval))
	defer cancel()
	t.announcing.RLock()
	defer t.announcing.RUnlock()
	loaded := t.loadedModels()
	t.mu.Lock()
	a := Announcement{ID: t.opts.ID, Incarnation: t.incarnation, FailureDomain: t.opts.FailureDomain, Pool: t.opts.Pool,
		Address: t.addr, Kind: t.kind, Slots: t.opts.Slots, Loaded: loaded,
		Load: engine.Load{Running: t.running, Queued: t.queued}}
	left := !t.leftAt.IsZero()
	t.mu.Unlock()
	if left {
		return
	}
	if err := t.client.post(ctx, "/v1/targets/announce", nil, a, nil); err != nil {
		t.opts.Logger.Info("announcement failed", "target", t.opts.ID, "error", err)
	}
}

// Leave ends the announcements, tells a host that the target leaves and waits until all its requests have ended. The
// target still serves requests that arrive later, and DelaysAfterLeave reports them.
func (t *target) Leave(ctx context.Context) error {
	body := map[string]uint64{"incarnation": t.endAnnouncements()}
	var err error
	for range max(1, len(t.opts.Hosts)) {
		if err = t.client.post(ctx, "/v1/targets/"+t.opts.ID+"/leave", nil, body, nil); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	for t.InFlight() > 0 {
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// endAnnouncements waits for the announcements in progress and lets no further one begin. It returns the incarnation.
func (t *target) endAnnouncements() (incarnation uint64) {
	t.announcing.Lock()
	defer t.announcing.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leftAt = time.Now()
	return t.incarnation
}

// ID returns the target ID.
func (t *target) ID() string { return t.opts.ID }

// Addr returns the IP:port of the target.
func (t *target) Addr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addr
}

// Incarnation returns the current incarnation, which each restart increments.
func (t *target) Incarnation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation
}

// InFlight returns the number of requests that run or wait for a slot.
func (t *target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running + t.queued
}

// Blackhole drops all data on the open connections from now on. New connections work.
func (t *target) Blackhole() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener.blackhole()
}

// SetDelay sets the time that each request waits before it takes a slot.
func (t *target) SetDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = d
}

// RefuseNext makes the target answer the next n requests with 503 and not_run.
func (t *target) RefuseNext(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestsToRefuse = n
}

// DelaysAfterLeave returns the time from Leave to the arrival, for each request that arrived after Leave.
func (t *target) DelaysAfterLeave() []time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Duration(nil), t.delaysAfterLeave...)
}

// Executions returns how often the request ran in all incarnations.
func (t *target) Executions(requestID string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executionsByRequest[requestID]
}

// ExecutionsOfInput returns how often a request with this prompt or body ran in all incarnations. Unlike
// Executions, it also counts repetitions with another request ID.
func (t *target) ExecutionsOfInput(input string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executionsByInput[canonicalJSON(json.RawMessage(input))]
}

func (t *target) recordExecution(requestID, input string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executionsByRequest[requestID]++
	t.executionsByInput[canonicalJSON(json.RawMessage(input))]++
}

// admit decodes a request, applies the injected refusal and delay, and waits for a slot. It returns
// false if the request has been answered already or the client has disconnected.
func (t *target) admit(w http.ResponseWriter, r *http.Request, body any) (release func(), ok bool) {
	if !decodeRequest(w, r, body) {
		return nil, false
	}
	t.mu.Lock()
	refuse, delay, slots := t.requestsToRefuse > 0, t.delay, t.slots
	if refuse {
		t.requestsToRefuse--
	} else {
		t.queued++
		if !t.leftAt.IsZero() {
			t.delaysAfterLeave = append(t.delaysAfterLeave, time.Since(t.leftAt))
		}
	}
	incarnation := t.incarnation
	t.mu.Unlock()
	if refuse {
		writeJSON(w, http.StatusServiceUnavailable, engine.Refusal{NotRun: true, Reason: "refused on demand"})
		return nil, false
	}
	if sleep(r.Context(), delay) == nil {
		select {
		case slots <- struct{}{}:
			t.addInFlight(incarnation, -1, 1)
			return func() { <-slots; t.addInFlight(incarnation, 0, -1) }, true
		case <-r.Context().Done():
		}
	}
	t.addInFlight(incarnation, -1, 0)
	return nil, false
}

// addInFlight adjusts the numbers of queued and running requests. It ignores requests of an earlier
// incarnation, because start has reset the numbers.
func (t *target) addInFlight(incarnation uint64, queued, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incarnation == incarnation {
		t.queued += queued
		t.running += running
	}
}

// decodeRequest decodes the body of a request, or answers 400 and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(body); err != nil {
		writeJSON(w, http.StatusBadRequest, engine.Refusal{Reason: err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
