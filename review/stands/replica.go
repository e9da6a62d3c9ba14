package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerID       = "X-Fuchsiaflow-Request-Id"
	headerDeadline = "X-Fuchsiaflow-Deadline-Ms"
	headerExpect   = "X-Fuchsiaflow-Expect-Instance"
	headerInstance = "X-Fuchsiaflow-Instance-Id"
	headerStamp    = "X-Fuchsiaflow-Server-Stamp"
	headerNotRun   = "X-Fuchsiaflow-Not-Executed"
	headerVersion  = "X-Fuchsiaflow-Weight-Versions"
	headerModel    = "X-Fuchsiaflow-Model"
)

// beatInterval is the time between two heartbeats.
const beatInterval = 1200 * time.Millisecond

// maxHeaderBytes is the largest head that a replica takes; clients may send a quarter of it.
const maxHeaderBytes = 64 << 10

// run is a request that a replica has begun to run.
type run struct {
	id, replica, from string
	lastEvent         string
	at                time.Duration // since the begin of the record
	endedAt           time.Duration // 0 while it runs
	finished          bool          // the whole text was made
}

// replica is a server of a service: an engine if it has models, otherwise a plain one.
type replica struct {
	id, service, zone, release string
	models                     []string
	slots                      int
	cluster                    *cluster
	listener                   net.Listener
	server                     *http.Server
	born                       int64

	// plain answers a plain request that has begun to run. Nil answers with the body of the request.
	plain func(w http.ResponseWriter, r *http.Request, body []byte)
	// events is the number of events of a text, and gap the time between two.
	events int
	gap    time.Duration

	mu       sync.Mutex
	versions map[string]uint64
	orders   uint64
	fence    uint64
	busy     bool
	draining bool
	sequence uint64
	runs     []*run
	running  int
}

// newReplica starts a replica at an address of the cluster. Its heartbeats begin at once.
func newReplica(ctx context.Context, c *cluster, service, id, zone string, last int, models []string, slots int) (*replica, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.prefix, last))
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, zone: zone, release: "v1", models: models, slots: slots, cluster: c, listener: l, born: time.Now().UnixMilli(),
		events: 12, gap: 20 * time.Millisecond, versions: make(map[string]uint64)}
	for _, m := range models {
		r.versions[m] = 1
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = r.server.Serve(l) }()
	go r.beats(ctx)
	return r, nil
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get(headerExpect); want != "" && want != r.id {
		w.Header().Set(headerInstance, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/health":
		w.Header().Set(headerInstance, r.id)
	case req.Method == http.MethodGet && req.URL.Path == "/report":
		r.report(w)
	case req.Method == http.MethodPost && req.URL.Path == "/order":
		r.order(w, req)
	case len(r.models) > 0:
		r.generate(w, req)
	default:
		r.answer(w, req)
	}
}

type modelState struct {
	Name     string
	Version  uint64
	Adapters []string
}

func (r *replica) modelStates() []modelState {
	list := make([]modelState, 0, len(r.models))
	for _, m := range r.models {
		list = append(list, modelState{m, r.versions[m], []string{}})
	}
	return list
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Stage": "dual", "Models": r.modelStates(), "Busy": r.busy, "Sequence": r.orders, "QueuedCount": 0,
		"RunningCount": r.running, "KvUsed": 0, "KvTotal": 90000, "HandledModels": 0, "born": r.born})
}

// loadTime is the time of a change of the version.
const loadTime = 300 * time.Millisecond

func (r *replica) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation, Model, SwitchMode, Holder string
		Version, Fence                       uint64
		Expect                               *uint64
	}
	data, _ := io.ReadAll(req.Body)
	if err := json.Unmarshal(data, &o); err != nil || o.Holder == "" || o.Operation != "Version" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case o.Fence < r.fence:
		status = http.StatusPreconditionFailed
	case r.versions[o.Model] == o.Version:
		status = http.StatusOK
	case r.busy, o.Expect != nil && *o.Expect != r.orders:
		status = http.StatusConflict
	default:
		r.orders++
		r.busy = true
		time.AfterFunc(loadTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.versions[o.Model], r.busy = o.Version, false
		})
	}
	r.fence = max(r.fence, o.Fence)
	w.WriteHeader(status)
}

// begin records that a request begins to run.
func (r *replica) begin(req *http.Request) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := run{id: req.Header.Get(headerID), replica: r.id, from: req.RemoteAddr, lastEvent: req.Header.Get("Last-Event-Id"), at: r.cluster.record.since()}
	r.runs = append(r.runs, &u)
	r.running++
	r.cluster.record.add("run", "id", u.id, "replica", r.id, "path", req.RequestURI, "last_event", u.lastEvent, "from", u.from)
	return &u
}

// end records that a run ends.
func (r *replica) end(u *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	u.endedAt = r.cluster.record.since()
}

// finish records that a run has made the whole text.
func (r *replica) finish(u *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u.finished = true
}

// countRuns returns how often a request has begun to run.
func (r *replica) countRuns(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, u := range r.runs {
		if u.id == id {
			n++
		}
	}
	return n
}

func (r *replica) answer(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	u := r.begin(req)
	defer r.end(u)
	w.Header().Set(headerID, req.Header.Get(headerID))
	w.Header().Set(headerStamp, "stamp."+r.id+"."+req.Header.Get(headerID))
	if r.plain != nil {
		r.plain(w, req, body)
		return
	}
	_, _ = w.Write(append([]byte("done "), body...))
}

// eventText is the data of an event of a text.
func eventText(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }

// generate streams the text of a request for tokens.
func (r *replica) generate(w http.ResponseWriter, req *http.Request) {
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	id, model := req.Header.Get(headerID), req.Header.Get(headerModel)
	r.mu.Lock()
	full, version := r.running >= r.slots || r.busy, r.versions[model]
	r.mu.Unlock()
	w.Header().Set(headerID, id)
	if full {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u := r.begin(req)
	defer r.end(u)
	first := 1
	if n, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	w.Header().Set(headerStamp, "stamp."+r.id+"."+id)
	w.Header().Set(headerVersion, strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for event := first; event <= r.events; event++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.gap):
		}
		r.mu.Lock()
		now := r.versions[model]
		r.mu.Unlock()
		line := ""
		if now != version {
			version = now
			line = fmt.Sprintf("x-fuchsiaflow-weight-versions: %d\n", version)
		}
		fmt.Fprintf(w, "%sid: %d\ndata: %s\n\n", line, event, eventText(id, event))
		_ = flush.Flush()
	}
	r.finish(u)
}

// beats sends heartbeats until ctx ends.
func (r *replica) beats(ctx context.Context) {
	for ctx.Err() == nil {
		r.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// beat sends a heartbeat to one host after the other until one acknowledges it.
func (r *replica) beat(ctx context.Context) bool {
	r.mu.Lock()
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{"Service": r.service, "Address": r.listener.Addr().String(), "Zone": r.zone, "Version": r.release, "Slots": r.slots,
		"State": state, "ColdRemainingMs": 0, "Stage": "dual", "Models": r.modelStates(), "Sequence": r.sequence, "born": r.born})
	r.mu.Unlock()
	return r.cluster.control(ctx, http.MethodPost, "/Instances.Heartbeat/"+r.id, data, 1).ok()
}

// stop ends a replica.
func (r *replica) stop() { _ = r.server.Close() }

// reply is the answer to a call; a status of 0 means that there was none.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r reply) ok() bool { return r.status >= 200 && r.status < 300 }

// callClient makes each call on a new connection, and follows redirects.
var callClient = &http.Client{Timeout: 1100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// control makes a call of the operator, a trainer or a replica to one host after the other until one acknowledges it, or all have
// been asked a number of times.
func (c *cluster) control(ctx context.Context, method, path string, body []byte, rounds int) reply {
	var last reply
	for range rounds {
		hosts := c.hosts()
		for _, i := range randomOrder(len(hosts)) {
			last = call(ctx, callClient, method, "http://"+hosts[i].addr(controlPort)+path, nil, body)
			if last.ok() || last.status == http.StatusBadRequest || ctx.Err() != nil {
				return last
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return last
}

// call makes a call.
func call(ctx context.Context, client *http.Client, method, url string, header map[string]string, body []byte) reply {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for name, value := range header {
		if name == "Host" {
			req.Host = value
			continue
		}
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: data}
}

func randomOrder(n int) []int {
	list := make([]int, 0, n)
	for i := range n {
		list = append(list, i)
	}
	slices.SortFunc(list, func(int, int) int { return 0 })
	shuffle(list)
	return list
}
