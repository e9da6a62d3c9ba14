package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const model = "m"

// loadTime is how long an engine takes to change its version.
const loadTime = 900 * time.Millisecond

// run is one run of an item on an engine.
type run struct {
	serial      int64
	engine      *engine
	item        string
	lastEventID int // the run was asked to go on after this event; 0 from the start
	at          time.Time
	endedAt     time.Time
	complete    bool
}

// runLog collects the runs of all engines.
type runLog struct {
	serial atomic.Int64
	mu     sync.Mutex
	runs   map[int64]*run
}

func (l *runLog) add(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.serial = l.serial.Add(1)
	l.runs[r.serial] = r
}

func (l *runLog) end(r *run, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.endedAt, r.complete = time.Now(), complete
}

// engine is a stand-in for a model replica. It streams events that carry the number of the run.
type engine struct {
	id, service string
	addr        string
	server      *http.Server
	log         *runLog
	rec         *recorder
	events      int
	gap         time.Duration
	spread      bool // items differ in speed, by up to a ninth
	mu          sync.Mutex
	version     uint64
	orders      uint64
	sequence    int
	fence       uint64
	loadedAt    time.Time
	born        int64
	down        chan struct{} // closed when the engine has crashed
}

func newEngine(rec *recorder, log *runLog, id, service string, events int, gap time.Duration) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, addr: l.Addr().String(), log: log, rec: rec, events: events, gap: gap, version: 1, born: time.Now().UnixMilli(), down: make(chan struct{})}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }() // ends with Close
	return e, nil
}

// crash ends the engine: its connections are closed, and it sends no more heartbeats.
func (e *engine) crash() {
	e.rec.logf("replica %s crashes", e.id)
	close(e.down)
	_ = e.server.Close()
}

// nextSequence counts the heartbeats of the engine.
func (e *engine) nextSequence() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return e.sequence
}

// heartbeat returns the document of a heartbeat.
func (e *engine) heartbeat(sequence int) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{"Service": e.service, "Address": e.addr, "Zone": "z0", "Version": "v1", "Slots": 4, "State": "ready", "ColdRemainingMs": 0,
		"Stage": "dual", "Models": []map[string]any{{"Name": model, "Version": e.version, "Adapters": []string{}}}, "Sequence": sequence, "born": e.born}
}

// heartbeats reports the engine to one store host after the other until it is down.
func (e *engine) heartbeats(c *cluster) {
	for {
		sequence := e.nextSequence()
		doc, _ := json.Marshal(e.heartbeat(sequence))
		for i := range c.stores {
			status, _ := call(oneShot, http.MethodPost, c.controlAddr(c.stores[(sequence+i)%3]), "/Instances.Heartbeat/"+e.id, map[string]string{"Content-Type": "application/json"}, doc, time.Second)
			if status == http.StatusOK {
				break
			}
		}
		select {
		case <-e.down:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Fuchsiaflow-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, body)
	case "/health":
		w.Header().Set("X-Fuchsiaflow-Instance-Id", e.id)
	default:
		e.generate(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "dual", "Models": []map[string]any{{"Name": model, "Version": e.version}}, "Busy": time.Now().Before(e.loadedAt), "Sequence": e.orders})
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Holder                 string
		Version, Fence, Expect uint64
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.logf("replica %s: order %s", e.id, body)
	switch {
	case o.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Expect != e.orders || time.Now().Before(e.loadedAt):
		w.WriteHeader(http.StatusConflict)
	case o.Version == e.version:
		w.WriteHeader(http.StatusOK)
	default:
		e.fence, e.version, e.loadedAt = o.Fence, o.Version, time.Now().Add(loadTime)
		e.orders++
		w.WriteHeader(http.StatusAccepted)
	}
}

// gapOf returns the time between two events of an item.
func (e *engine) gapOf(item string) time.Duration {
	if !e.spread {
		return e.gap
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, item)
	return e.gap + e.gap*time.Duration(h.Sum32()%9)/72
}

// generate runs an item: one event every gap, from the one after Last-Event-Id on.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Fuchsiaflow-Request-Id")
	e.mu.Lock()
	loading, version := time.Now().Before(e.loadedAt), e.version
	e.mu.Unlock()
	h := w.Header()
	h.Set("X-Fuchsiaflow-Request-Id", id)
	if loading {
		h.Set("X-Fuchsiaflow-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rn := &run{engine: e, item: id, lastEventID: last, at: time.Now()}
	e.log.add(rn)
	e.rec.logf("replica %s (service %s): run %d of item %s begins, Last-Event-Id %d", e.id, e.service, rn.serial, id, last)
	h.Set("X-Fuchsiaflow-Server-Stamp", fmt.Sprintf("stamp.%d", rn.serial))
	h.Set("X-Fuchsiaflow-Weight-Versions", fmt.Sprint(version))
	h.Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= e.events; n++ {
		select {
		case <-r.Context().Done():
			e.log.end(rn, false)
			e.rec.logf("replica %s: run %d of item %s is cut before event %d", e.id, rn.serial, id, n)
			return
		case <-time.After(e.gapOf(id)):
		}
		e.mu.Lock()
		now := e.version
		e.mu.Unlock()
		if now != version {
			version = now
			_, _ = fmt.Fprintf(w, "x-fuchsiaflow-weight-versions: %d\n", version)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %04d %06d\n\n", n, id, n, rn.serial)
		_ = http.NewResponseController(w).Flush()
	}
	e.log.end(rn, true)
	e.rec.logf("replica %s: run %d of item %s is complete", e.id, rn.serial, id)
}
