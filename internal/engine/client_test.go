package engine

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/goleak"

	"fuchsiaflow/errs"
)

// TestMain fixes the seed of the property tests, so that runs are reproducible, and detects leaked
// goroutines. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261204", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// fullOutput is the complete output that the test engines generate.
const fullOutput = "Quetzaltenango"

// startTarget starts an HTTP target and counts the requests that reach it. handle gets the number of
// the request, starting at 1.
func startTarget(t *testing.T, handle func(n int64, w http.ResponseWriter, r *http.Request)) (addr string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(requests.Add(1), w, r) }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), requests
}

// newClient returns a client that is closed at the end of the test.
func newClient(t *testing.T, o Options) *Client {
	c := New(o)
	t.Cleanup(c.Close)
	return c
}

func wantFailure(t *testing.T, err error, code errs.Code, outcome errs.Outcome) {
	t.Helper()
	if err == nil || errs.CodeOf(err) != code || errs.OutcomeOf(err) != outcome {
		t.Errorf("err = %v (%s, %s), want %s, %s", err, errs.CodeOf(err), errs.OutcomeOf(err), code, outcome)
	}
}

// writeChunk writes fullOutput[from:to] as a chunk, which ends the output if to is its end.
func writeChunk(t *testing.T, w http.ResponseWriter, r Request, from, to int) {
	c := Chunk{RequestID: r.RequestID, Offset: uint64(from), Text: fullOutput[from:to], Tokens: uint32(to - from), Version: 9, Done: to == len(fullOutput)}
	if c.Done {
		c.Total = uint64(to)
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		t.Error(err)
	}
	w.(http.Flusher).Flush()
}

// generate runs Generate and returns the assembler with the delivered chunks.
func generate(ctx context.Context, c *Client, addr string, r Request) (*Assembler, error) {
	a := NewAssembler(r.RequestID, r.Offset)
	err := c.Generate(ctx, addr, r, func(chunk Chunk) error {
		_, err := a.Add(chunk)
		return err
	})
	return a, err
}

// Guards against losing or repeating output when a stream breaks or stalls, and against resuming if
// the target does not support it or the request is unsafe.
func TestGenerateResumes(t *testing.T) {
	for _, c := range []struct {
		name      string
		stalled   bool
		resumable bool
		unsafe    bool
		requests  int64
	}{
		{"broken", false, true, false, 2},
		{"stalled", true, true, false, 2},
		{"target cannot resume", false, false, false, 1},
		{"unsafe", false, true, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var conns sync.Map
			var connections atomic.Int64
			addr, requests := startTarget(t, func(n int64, w http.ResponseWriter, r *http.Request) {
				if _, known := conns.LoadOrStore(r.RemoteAddr, true); !known {
					connections.Add(1)
				}
				var req Request
				if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
					t.Error(err)
				}
				if c.resumable {
					w.Header().Set(HeaderResume, ResumeByOffset)
				}
				if n > 1 {
					writeChunk(t, w, req, int(req.Offset)-2, len(fullOutput)) // repeats two characters
					return
				}
				writeChunk(t, w, req, 0, 5)
				_, _ = io.WriteString(w, `{"request_id":"r","offs`) // an incomplete line must be discarded
				w.(http.Flusher).Flush()
				if c.stalled {
					<-r.Context().Done()
				}
				panic(http.ErrAbortHandler)
			})
			a, err := generate(t.Context(), newClient(t, Options{ProgressTimeout: 100 * time.Millisecond}), addr, Request{RequestID: "r", Unsafe: c.unsafe})
			if requests.Load() != c.requests {
				t.Errorf("%d requests, want %d", requests.Load(), c.requests)
			}
			if c.requests == 1 {
				wantFailure(t, err, errs.CodeInterrupted, errs.Unknown)
				return
			}
			if err != nil || !a.Complete() || a.Text() != fullOutput || a.Tokens() != uint64(len(fullOutput)) || connections.Load() != 2 {
				t.Errorf("err %v, text %q, %d tokens, %d connections", err, a.Text(), a.Tokens(), connections.Load())
			}
		})
	}
}

// Guards against unlimited resumes, and against returning the outcome not_run of a failed resume
// although the first attempt ran (P5).
func TestGenerateResumesAreBounded(t *testing.T) {
	addr, requests := startTarget(t, func(n int64, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderResume, ResumeByOffset)
		writeChunk(t, w, Request{RequestID: "r"}, 0, 5)
		panic(http.ErrAbortHandler)
	})
	_, err := generate(t.Context(), newClient(t, Options{MaxResumes: 2}), addr, Request{RequestID: "r"})
	wantFailure(t, err, errs.CodeInterrupted, errs.Unknown)
	if requests.Load() != 3 {
		t.Errorf("%d requests, want 3", requests.Load())
	}
	addr, _ = startTarget(t, func(n int64, w http.ResponseWriter, r *http.Request) {
		if n > 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"not_run":true}`)
			return
		}
		w.Header().Set(HeaderResume, ResumeByOffset)
		writeChunk(t, w, Request{RequestID: "r"}, 0, 5)
		panic(http.ErrAbortHandler)
	})
	_, err = generate(t.Context(), newClient(t, Options{}), addr, Request{RequestID: "r"})
	wantFailure(t, err, errs.CodeInterrupted, errs.Unknown)
}

// Guards against accepting chunks of another request, an overlong line, or a stream that ends early
// as a complete output.
func TestGenerateRejectsBadStreams(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		code errs.Code
	}{
		"ends early":    {`{"request_id":"r","text":"ab","version":1}` + "\n", errs.CodeInterrupted},
		"other request": {`{"request_id":"x","text":"ab","version":1,"done":true,"total":2}` + "\n", errs.CodeInterrupted},
		"engine error":  {`{"request_id":"r","error":"out of memory"}` + "\n", errs.CodeInterrupted},
		"not JSON":      {"abc\n", errs.CodeCorrupt},
		"long line":     {strings.Repeat("a", 9000) + "\n", errs.CodeTooLarge},
	} {
		addr, _ := startTarget(t, func(n int64, w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, c.body) })
		_, err := generate(t.Context(), newClient(t, Options{MaxLineBytes: 8192}), addr, Request{RequestID: "r"})
		if errs.CodeOf(err) != c.code || errs.OutcomeOf(err) != errs.Unknown {
			t.Errorf("%s: err = %v", name, err)
		}
	}
	addr, _ := startTarget(t, func(n int64, w http.ResponseWriter, r *http.Request) {
		writeChunk(t, w, Request{RequestID: "r"}, 0, len(fullOutput))
	})
	deliverErr := &errs.Overloaded{Resource: "reader"}
	if err := newClient(t, Options{}).Generate(t.Context(), addr, Request{RequestID: "r"}, func(Chunk) error { return deliverErr }); err != deliverErr {
		t.Errorf("err = %v, want the error of deliver", err)
	}
}

// startRawTarget starts a TCP listener and calls serve with each connection and its number, starting
// at 1.
func startRawTarget(t *testing.T, serve func(n int, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { defer c.Close(); serve(n, c) })
		}
	})
	t.Cleanup(func() { l.Close(); wg.Wait() })
	return l.Addr().String()
}

// Guards against errors with the wrong outcome: not_run only if the request cannot have run (P5).
func TestCallOutcomes(t *testing.T) {
	closing := startRawTarget(t, func(_ int, c net.Conn) { _, _ = c.Read(make([]byte, 4096)) })
	responding := func(status int, body string) string {
		addr, _ := startTarget(t, func(n int64, w http.ResponseWriter, r *http.Request) {
			if n > 1 {
				t.Errorf("a request was sent again after status %d", status)
			}
			w.Header().Set("Location", r.URL.Path)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})
		return addr
	}
	for name, c := range map[string]struct {
		addr    string
		code    errs.Code
		outcome errs.Outcome
	}{
		"dial refused":          {"127.0.0.1:1", errs.CodeUnavailable, errs.NotRun},
		"closed after request":  {closing, errs.CodeInterrupted, errs.Unknown},
		"stated not_run":        {responding(503, `{"not_run":true}`), errs.CodeUnavailable, errs.NotRun},
		"503 without statement": {responding(503, `{}`), errs.CodeUnavailable, errs.Unknown},
		"500 with statement":    {responding(500, `{"not_run":true}`), errs.CodeUnavailable, errs.Unknown},
		"redirect":              {responding(302, ``), errs.CodeUnavailable, errs.Unknown},
		"other request":         {responding(200, `{"request_id":"x"}`), errs.CodeCorrupt, errs.Unknown},
		"not JSON":              {responding(200, `abc`), errs.CodeCorrupt, errs.Unknown},
		"too large":             {responding(200, strings.Repeat(" ", 2000)), errs.CodeTooLarge, errs.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newClient(t, Options{MaxResponseBytes: 1000}).Call(t.Context(), c.addr, CallRequest{RequestID: "r", Body: json.RawMessage(`1`)})
			wantFailure(t, err, c.code, c.outcome)
		})
	}
	expired, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	_, err := newClient(t, Options{}).Call(expired, closing, CallRequest{RequestID: "r", Body: json.RawMessage(`1`)})
	wantFailure(t, err, errs.CodeDeadline, errs.NotRun)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	unresponsive := startRawTarget(t, func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	_, err = newClient(t, Options{}).Call(ctx, unresponsive, CallRequest{RequestID: "r", Body: json.RawMessage(`1`)})
	wantFailure(t, err, errs.CodeDeadline, errs.Unknown)
}

// Guards against an HTTP transport that retries a request when a reused connection breaks after the
// request was written (P6), and against an unsafe request on a reused connection.
func TestTransportDoesNotRetry(t *testing.T) {
	var requests, connections atomic.Int64
	addr := startRawTarget(t, func(n int, c net.Conn) {
		connections.Add(1)
		buf := make([]byte, 4096)
		for i := 0; ; i++ {
			if _, err := c.Read(buf); err != nil {
				return
			}
			requests.Add(1)
			if i == 1 { // closes the connection on its second request
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"request_id\":\"r\"}")
		}
	})
	c := newClient(t, Options{})
	safe := CallRequest{RequestID: "r", Body: json.RawMessage(`1`)}
	if _, err := c.Call(t.Context(), addr, safe); err != nil {
		t.Fatal(err)
	}
	unsafe := safe
	unsafe.Unsafe = true
	if _, err := c.Call(t.Context(), addr, unsafe); err != nil {
		t.Errorf("the unsafe call used a reused connection: %v", err)
	}
	_, err := c.Call(t.Context(), addr, safe)
	wantFailure(t, err, errs.CodeInterrupted, errs.Unknown)
	if requests.Load() != 3 || connections.Load() != 2 {
		t.Errorf("%d requests on %d connections, want 3 on 2", requests.Load(), connections.Load())
	}
}

// Guards against orders that lose a field, are sent after their expiry or hide a stale fencing token,
// and against a trace context that is not propagated to the target.
func TestTargetRequests(t *testing.T) {
	expires := time.Now().Add(time.Minute).Truncate(time.Millisecond)
	received := make(chan OrderBody, 1)
	addr, _ := startTarget(t, func(n int64, w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/orders":
			var o OrderBody
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				t.Error(err)
			}
			received <- o
			w.WriteHeader(http.StatusConflict)
		case "/v1/state":
			if !strings.Contains(r.Header.Get("traceparent"), "0102") {
				t.Errorf("traceparent = %q", r.Header.Get("traceparent"))
			}
			_, _ = io.WriteString(w, `{"id":"t","incarnation":2,"loaded":{"m":5},"fence":8}`)
		case "/v1/kv/export":
			_, _ = io.WriteString(w, `{"request_id":"r","data":"AQI="}`)
		case "/v1/kv/import":
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	c := newClient(t, Options{})
	wantFailure(t, c.Order(t.Context(), addr, Order{Kind: OrderLoad, Model: "m", Version: 5, Fence: 8, ExpiresAt: expires}), errs.CodeConflict, errs.NotRun)
	if diff := cmp.Diff(OrderBody{Kind: "load", Model: "m", Version: 5, Fence: 8, ExpiresMS: expires.UnixMilli()}, <-received); diff != "" {
		t.Error(diff)
	}
	wantFailure(t, c.Order(t.Context(), addr, Order{Kind: OrderLoad, ExpiresAt: time.Unix(0, 0)}), errs.CodeDeadline, errs.NotRun)
	ctx := trace.ContextWithSpanContext(t.Context(), trace.NewSpanContext(trace.SpanContextConfig{TraceID: trace.TraceID{1, 2}, SpanID: trace.SpanID{3}}))
	s, err := c.State(ctx, addr)
	if diff := cmp.Diff(State{ID: "t", Incarnation: 2, Loaded: map[string]uint64{"m": 5}, Fence: 8}, s); diff != "" || err != nil {
		t.Error(diff, err)
	}
	kv, err := c.ExportKV(t.Context(), addr, "r")
	if err != nil || string(kv.Data) != "\x01\x02" {
		t.Errorf("kv = %v, %v", kv, err)
	}
	if err := c.ImportKV(t.Context(), addr, kv); err != nil {
		t.Error(err)
	}
	if err := c.Cancel(t.Context(), addr, "r"); err != nil {
		t.Errorf("cancel of an unknown request: %v", err)
	}
}

// Guards against reporting a write on a connection that accepted no byte, and against missing a
// partial write.
func TestWriteTrackerCountsBytes(t *testing.T) {
	local, remote := net.Pipe()
	conn := &countingConn{Conn: local}
	tracker := &writeTracker{}
	httptrace.ContextClientTrace(tracker.withTrace(t.Context())).GotConn(httptrace.GotConnInfo{Conn: conn})
	remote.Close()
	if _, err := conn.Write([]byte("POST")); err == nil || tracker.wrote() {
		t.Errorf("err %v, wrote %v without a byte", err, tracker.wrote())
	}
	local, remote = net.Pipe()
	conn.Conn = local
	read := make(chan struct{})
	go func() { _, _ = remote.Read(make([]byte, 1)); remote.Close(); close(read) }()
	if _, err := conn.Write([]byte("POST")); err == nil || !tracker.wrote() {
		t.Errorf("err %v, wrote %v after one byte", err, tracker.wrote())
	}
	<-read
}

// Guards against trust in a response whose status is none: its Retry-After, or that the request did not run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	addr, _ := startTarget(t, func(_ int64, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "9")
		w.WriteHeader(600)
		_, _ = io.WriteString(w, `{"not_run":true}`)
	})
	c := newClient(t, Options{})
	_, err := c.Call(t.Context(), addr, CallRequest{RequestID: "r"})
	wantFailure(t, err, errs.CodeCorrupt, errs.Unknown)
	if after := errs.RetryAfterOf(err); after != 0 {
		t.Errorf("retry after %s", after)
	}
}
