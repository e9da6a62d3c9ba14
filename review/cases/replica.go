package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeatInterval = 1200 * time.Millisecond

// replicaOptions describe the replicas of a service.
type replicaOptions struct {
	service string
	model   string
	slots   int
	// kvTokens is the memory of a replica. A larger request is rejected as if the replica were full.
	kvTokens int
	// events is the number of events of an item, and gap the time between two of them.
	events func(id string) int
	gap    time.Duration
	text   func(id string, event int) string
	// fails reports whether a run of a request ends with status 500, and whether the replica sends a second copy of that answer later:
	// where the next answer on the connection is expected. Nil never fails.
	fails func(id string) (failed, repeats bool)
	// loadTime is how long the replica loads weights. It rejects requests meanwhile.
	loadTime time.Duration
	// repeatsRejection reports whether the replica sends a second copy of its rejection of a request later. Nil never does.
	repeatsRejection func(id string) bool
}

// failureTime is how long a replica works on a request that fails.
const failureTime = 100 * time.Millisecond

// connKey is the context key of the replicaConn of a request.
type connKey struct{}

// replicaConn is a connection of a replica.
type replicaConn struct {
	net.Conn
	extra []byte // answer that is sent once more when the next request has arrived
}

// replica is a model replica that follows PROTOCOL.md: it runs items as streams of events, rejects what it cannot run, and reports
// itself to the system.
type replica struct {
	replicaOptions
	id, address, zone string
	control           []string
	log               *record
	onRun             func(replica, id string, began bool) // called when a request begins to run and when it ends
	server            *http.Server
	born              int64

	mu       sync.Mutex
	running  int
	sequence uint64
	orders   uint64
	version  uint64
	rejected int
	done     chan struct{}

	loadingUntil time.Time
}

// startReplica starts a replica at an address.
func startReplica(o replicaOptions, id, address, zone string, control []string, log *record, onRun func(replica, id string, began bool)) (*replica, error) {
	r := &replica{replicaOptions: o, id: id, address: address, zone: zone, control: control, log: log, onRun: onRun, version: 1, born: time.Now().UnixMilli(), done: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Fuchsiaflow-Instance-Id", r.id) })
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /order", r.order)
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	go func() { _ = r.server.Serve(replicaListener{l}) }()
	go r.beat()
	return r, nil
}

// replicaListener accepts connections as replicaConn.
type replicaListener struct{ net.Listener }

// Accept implements net.Listener.
func (l replicaListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &replicaConn{Conn: c}, nil
}

func (r *replica) stop() {
	close(r.done)
	_ = r.server.Close()
}

// beat sends heartbeats until the replica stops. After a failure the next host is called.
func (r *replica) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for at := 0; ; {
		r.mu.Lock()
		r.sequence++
		body, _ := json.Marshal(map[string]any{"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": r.slots, "State": "ready",
			"ColdRemainingMs": 0, "Stage": "dual", "Models": []any{map[string]any{"Name": r.model, "Version": r.version, "Adapters": []string{}}}, "Sequence": r.sequence, "born": r.born})
		r.mu.Unlock()
		resp, err := client.Post("http://"+r.control[at%len(r.control)]+"/Instances.Heartbeat/"+r.id, "application/json", bytes.NewReader(body))
		acknowledged := err == nil && resp.StatusCode/100 == 2
		if err == nil {
			_ = resp.Body.Close()
		}
		wait := heartbeatInterval
		if !acknowledged {
			at++
			wait = 100 * time.Millisecond
		}
		select {
		case <-r.done:
			return
		case <-time.After(wait):
		}
	}
}

// rightInstance answers 421 to a request that is for another replica.
func (r *replica) rightInstance(w http.ResponseWriter, req *http.Request) bool {
	if want := req.Header.Get("X-Fuchsiaflow-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Fuchsiaflow-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	return true
}

func (r *replica) report(w http.ResponseWriter, req *http.Request) {
	if !r.rightInstance(w, req) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "dual", "Models": []any{map[string]any{"Name": r.model, "Version": r.version, "Adapters": []string{}}}, "Busy": r.loading(),
		"Sequence": r.orders, "QueuedCount": 0, "RunningCount": r.running, "KvTotal": r.kvTokens, "born": r.born})
}

// order loads new weights.
func (r *replica) order(w http.ResponseWriter, req *http.Request) {
	if !r.rightInstance(w, req) {
		return
	}
	var o struct{ Version, Expect uint64 }
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case o.Version == r.version:
		w.WriteHeader(http.StatusOK)
	case o.Expect != r.orders || r.loading():
		w.WriteHeader(http.StatusConflict)
	default:
		r.orders++
		r.loadingUntil = time.Now().Add(r.loadTime)
		time.AfterFunc(r.loadTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.version = o.Version
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// loading reports whether the replica loads weights. The caller holds mu.
func (r *replica) loading() bool { return time.Now().Before(r.loadingUntil) }

// admit takes a slot for a request with a number of tokens, or returns false if the replica is full.
func (r *replica) admit(tokens int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loading() || r.running >= r.slots || r.kvTokens > 0 && tokens > r.kvTokens {
		r.rejected++
		return false
	}
	r.running++
	return true
}

func (r *replica) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// tokens returns the sum of the token count header.
func tokens(h http.Header) (sum int) {
	for part := range strings.SplitSeq(h.Get("X-Fuchsiaflow-Token-Count"), ",") {
		n, _ := strconv.Atoi(strings.TrimSpace(part))
		sum += n
	}
	return sum
}

// fail ends a run with status 500 if it is to fail.
func (r *replica) fail(w http.ResponseWriter, req *http.Request, id string, conn *replicaConn) bool {
	if r.fails == nil {
		return false
	}
	failed, repeats := r.fails(id)
	if !failed {
		return false
	}
	select {
	case <-req.Context().Done():
		return true
	case <-time.After(failureTime):
	}
	r.log.printf("replica %s answers 500 to %s", r.id, id)
	w.WriteHeader(http.StatusInternalServerError)
	if repeats {
		conn.extra = fmt.Appendf(nil, "HTTP/1.1 500 Internal Server Error\r\nX-Fuchsiaflow-Request-Id: %s\r\nX-Fuchsiaflow-Server-Stamp: stamp.%s\r\nContent-Length: 0\r\n\r\n", id, r.id)
	}
	return true
}

// serve runs a request as a stream of events.
func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Fuchsiaflow-Request-Id")
	if !r.rightInstance(w, req) {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	conn := req.Context().Value(connKey{}).(*replicaConn)
	if conn.extra != nil {
		r.log.printf("replica %s sends a second copy of an earlier answer", r.id)
		_, _ = conn.Conn.Write(conn.extra)
		conn.extra = nil
	}
	w.Header().Set("X-Fuchsiaflow-Request-Id", id)
	w.Header().Set("X-Fuchsiaflow-Server-Stamp", "stamp."+r.id)
	if !r.admit(tokens(req.Header)) {
		w.Header().Set("X-Fuchsiaflow-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		if r.repeatsRejection != nil && r.repeatsRejection(id) {
			r.log.printf("replica %s rejects %s", r.id, id)
			conn.extra = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nX-Fuchsiaflow-Request-Id: %s\r\nX-Fuchsiaflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		}
		return
	}
	defer r.release()
	r.onRun(r.id, id, true)
	defer r.onRun(r.id, id, false)
	if r.fail(w, req, id, conn) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Fuchsiaflow-Weight-Versions", strconv.FormatUint(r.version, 10))
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= r.events(id); n++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.gap):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, r.text(id, n))
		w.(http.Flusher).Flush()
	}
}
