package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Of the answers of a faulty replica, one in spoiledEvery is followed by a second one: 0.025, below the share
// of 0.03 that the site names.
const spoiledEvery = 40

// streamReplica is a stand-in for a replica that answers with streams of events. A faulty one sends a second
// answer to a request at the point where the answer to the next request on the connection is due.
type streamReplica struct {
	id, addr string
	faulty   bool
	rec      *recorder
	born     int64
	mu       sync.Mutex
	answers  int
	spoiled  int
	runs     map[string][]string // replicas that began to work, by request; shared by all replicas
}

func newStreamReplica(rec *recorder, id string, faulty bool, runs map[string][]string) (*streamReplica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &streamReplica{id: id, addr: l.Addr().String(), faulty: faulty, rec: rec, born: time.Now().UnixMilli(), runs: runs}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// runsMu guards the map of runs, which the replicas share.
var runsMu sync.Mutex

// serve answers the requests of a connection.
func (s *streamReplica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	previous := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Fuchsiaflow-Request-Id")
		if want := r.Header.Get("X-Fuchsiaflow-Expect-Instance"); want != "" && want != s.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Fuchsiaflow-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		runsMu.Lock()
		s.runs[id] = append(s.runs[id], s.id)
		runsMu.Unlock()
		s.rec.logf("replica %s: begins to work on %s", s.id, id)
		if previous != "" && s.spoils() {
			s.rec.logf("replica %s: a late second answer, to %s, while it works on %s", s.id, previous, id)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Fuchsiaflow-Request-Id: %s\r\nX-Fuchsiaflow-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", previous)
		}
		if !s.answer(conn, id) {
			s.rec.logf("replica %s: the connection of %s is closed", s.id, id)
			return
		}
		previous = id
	}
}

// spoils reports whether the present answer is one of those that are spoiled.
func (s *streamReplica) spoils() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if !s.faulty || s.answers < (s.spoiled+1)*spoiledEvery {
		return false
	}
	s.spoiled++
	return true
}

// answer sends a stream of five events.
func (s *streamReplica) answer(conn net.Conn, id string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Fuchsiaflow-Request-Id: %s\r\nX-Fuchsiaflow-Server-Stamp: stamp.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, s.id)
	for n := 1; n <= 5 && err == nil; n++ {
		time.Sleep(10 * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, id, n)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}

// streamTwice sends streams that may not be resumed, and so may run once at most, to two replicas. One of
// them sends second answers.
func streamTwice(c *cluster, trouble bool) (outcome, error) {
	const callers, requests = 4, 100
	runs := make(map[string][]string)
	for i := range 2 {
		s, err := newStreamReplica(c.rec, fmt.Sprintf("i-stream-%d", i), trouble && i == 0, runs)
		if err != nil {
			return outcome{}, err
		}
		e := &engine{id: s.id, service: "streams", addr: s.addr, rec: c.rec, version: 1, born: s.born, down: make(chan struct{})}
		go e.heartbeats(c)
	}
	config := configDoc(1, []map[string]any{route("r-stream", "/stream/", "streaming", "streams")}, map[string]int{"streams": 0})
	if err := c.control("/Configuration.Replace", config, 30*time.Second); err != nil {
		return outcome{}, err
	}
	if err := c.waitReady(30 * time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(3 * time.Second)
	statuses := make(map[string]int)
	var work sync.WaitGroup
	for k := range callers {
		work.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			for n := range requests {
				id := fmt.Sprintf("req%d%04d", k, n)
				status, _ := call(client, http.MethodPost, c.frontAddr(c.entries[0]), "/stream/x", map[string]string{"X-Fuchsiaflow-Request-Id": id, "X-Fuchsiaflow-Deadline-Ms": "5000"}, []byte("{}"), 6*time.Second)
				runsMu.Lock()
				statuses[id] = status
				runsMu.Unlock()
				c.rec.logf("client: POST /stream/x %s -> %d", id, status)
			}
		})
	}
	work.Wait()
	runsMu.Lock()
	defer runsMu.Unlock()
	out := outcome{}
	answered := 0
	for id, status := range statuses {
		if status == http.StatusOK {
			answered++
		}
		if len(runs[id]) > 1 {
			out.broken = append(out.broken, fmt.Sprintf("TWICE: request %s ran at %v and was answered %d", id, runs[id], status))
		}
		if status == http.StatusServiceUnavailable && len(runs[id]) > 0 {
			out.broken = append(out.broken, fmt.Sprintf("REFUSED: request %s ran at %v and was answered 503", id, runs[id]))
		}
	}
	out.note = fmt.Sprintf("%d of %d streams answered", answered, len(statuses))
	return out, nil
}
