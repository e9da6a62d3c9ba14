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

// TargetOptions configures what engines and services have in common.
type TargetOptions struct {
	ID            string
	FailureDomain string
	Pool          string
	Slots         int // requests that run at the same time; zero means 4
	// Hosts are base URLs such as "http://127.0.0.1:8080". Each announcement goes to the
	// next one, as behind a load balancer. Without hosts nothing is announced.
	Hosts    []string
	Token    string // bearer token for the hosts, optional
	Interval time.Duration
	Log      *slog.Logger // nil: no log
}

// Announcement is the body of an announcement.
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

// target is the common part of the fakes that serve requests.
type target struct {
	o       TargetOptions
	kind    string
	handler http.Handler
	caller  *caller
	loaded  func() map[string]uint64 // called without mu

	mu          sync.Mutex
	slots       chan struct{}
	incarnation uint64
	addr        string
	running     int
	queued      int
	refuse      int // requests to answer with not_run
	delay       time.Duration
	left        time.Time
	late        []time.Duration // requests after leaving, by time since then
	byRequest   map[string]int
	byInput     map[string]int
	l           *listener
	server      *http.Server
	k           *kernel.Kernel
}

func newTarget(o TargetOptions, kind string) *target {
	if o.Slots == 0 {
		o.Slots = 4
	}
	if o.Interval == 0 {
		o.Interval = announceInterval
	}
	if o.Log == nil {
		o.Log = slog.New(slog.NewJSONHandler(io.Discard, nil))
	}
	return &target{o: o, kind: kind, caller: newCaller(o.Hosts, o.Token),
		loaded:    func() map[string]uint64 { return map[string]uint64{} },
		byRequest: make(map[string]int), byInput: make(map[string]int)}
}

// start serves with a new incarnation.
func (t *target) start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server != nil {
		return &errs.Conflict{Kind: "fake target", ID: t.o.ID, Have: "running", Got: "start"}
	}
	l, err := listen(t.addr)
	if err != nil {
		return &errs.Unavailable{Resource: "loopback port", Reason: err.Error()}
	}
	t.incarnation++
	t.l, t.addr = l, l.Addr().String()
	t.left, t.running, t.queued = time.Time{}, 0, 0
	t.slots = make(chan struct{}, t.o.Slots)
	t.k = kernel.New(t.o.Log)
	server := &http.Server{Handler: t.handler, ErrorLog: slog.NewLogLogger(t.o.Log.Handler(), slog.LevelDebug)}
	t.server = server
	t.k.Go("serve", func(context.Context) error { _ = server.Serve(l); return nil })
	if len(t.o.Hosts) > 0 {
		t.k.Go("first announcement", func(ctx context.Context) error { t.announce(ctx); return nil })
		t.k.Every("announce", t.o.Interval, t.announce)
	}
	return nil
}

// Crash ends the target at once: connections break and memory is lost. What it counted
// stays readable.
func (t *target) Crash() {
	t.mu.Lock()
	server, l, k := t.server, t.l, t.k
	t.server = nil
	t.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	l.drop()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = k.Stop(ctx)
}

// Close ends the target.
func (t *target) Close() {
	t.Crash()
	t.caller.close()
}

// life returns a context that ends with the current incarnation.
func (t *target) life() context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.k.Context()
}

func (t *target) announce(ctx context.Context) {
	// A host that does not answer must not hold up the next announcement for long.
	ctx, cancel := context.WithTimeout(ctx, max(t.o.Interval, announceInterval))
	defer cancel()
	loaded := t.loaded()
	t.mu.Lock()
	a := Announcement{ID: t.o.ID, Incarnation: t.incarnation, FailureDomain: t.o.FailureDomain, Pool: t.o.Pool,
		Address: t.addr, Kind: t.kind, Slots: t.o.Slots, Loaded: loaded,
		Load: engine.Load{Running: t.running, Queued: t.queued}}
	left := !t.left.IsZero()
	t.mu.Unlock()
	if left {
		return
	}
	if err := t.caller.post(ctx, "/v1/targets/announce", nil, a, nil); err != nil {
		t.o.Log.Info("announcement failed", "target", t.o.ID, "error", err)
	}
}

// Leave tells a host that the target leaves and waits until all its requests have ended.
// The target still serves requests that arrive, and reports them by LateWork.
func (t *target) Leave(ctx context.Context) error {
	t.mu.Lock()
	t.left = time.Now()
	body := map[string]uint64{"incarnation": t.incarnation}
	t.mu.Unlock()
	var err error
	for range max(1, len(t.o.Hosts)) {
		if err = t.caller.post(ctx, "/v1/targets/"+t.o.ID+"/leave", nil, body, nil); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	for t.Running() > 0 {
		if err := pause(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// ID returns the id of the target.
func (t *target) ID() string { return t.o.ID }

// Addr returns the IP:port of the target.
func (t *target) Addr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addr
}

// Incarnation returns the current incarnation, which rises with each restart.
func (t *target) Incarnation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.incarnation
}

// Running returns the number of requests that run or wait for a slot.
func (t *target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running + t.queued
}

// Silence makes all open connections silent. New connections work.
func (t *target) Silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.l.silence()
}

// SetDelay makes each request wait before it starts.
func (t *target) SetDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = d
}

// RefuseNext answers the next n requests with 503 and not_run.
func (t *target) RefuseNext(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refuse = n
}

// LateWork returns, for each request that started after Leave, the time since then.
func (t *target) LateWork() []time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Duration(nil), t.late...)
}

// Executions returns how often the request ran, over all incarnations.
func (t *target) Executions(requestID string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byRequest[requestID]
}

// ExecutionsOf returns how often a request with this prompt or body ran. Unlike Executions
// it also finds a repetition under another request id.
func (t *target) ExecutionsOf(input string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byInput[canonical(json.RawMessage(input))]
}

func (t *target) executed(requestID, input string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byRequest[requestID]++
	t.byInput[canonical(json.RawMessage(input))]++
}

// admit decodes a request, applies the injected refusal and delay, and waits for a slot.
// It returns false when the request has been answered or its caller is gone.
func (t *target) admit(w http.ResponseWriter, r *http.Request, body any) (release func(), ok bool) {
	if !decode(w, r, body) {
		return nil, false
	}
	t.mu.Lock()
	refuse, delay, slots := t.refuse > 0, t.delay, t.slots
	if refuse {
		t.refuse--
	} else {
		t.queued++
		if !t.left.IsZero() {
			t.late = append(t.late, time.Since(t.left))
		}
	}
	incarnation := t.incarnation
	t.mu.Unlock()
	if refuse {
		reply(w, http.StatusServiceUnavailable, engine.Refusal{NotRun: true, Reason: "refused on demand"})
		return nil, false
	}
	if pause(r.Context(), delay) == nil {
		select {
		case slots <- struct{}{}:
			t.count(incarnation, -1, 1)
			return func() { <-slots; t.count(incarnation, 0, -1) }, true
		case <-r.Context().Done():
		}
	}
	t.count(incarnation, -1, 0)
	return nil, false
}

// count ignores requests of an earlier incarnation, which a crash has ended.
func (t *target) count(incarnation uint64, queued, running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incarnation == incarnation {
		t.queued += queued
		t.running += running
	}
}

func decode(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(body); err != nil {
		reply(w, http.StatusBadRequest, engine.Refusal{Reason: err.Error()})
		return false
	}
	return true
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
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
