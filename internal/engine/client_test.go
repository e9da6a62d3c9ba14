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

// TestMain fixes the seed, so that every run gives the same verdict, and finds goroutines
// that a test leaves behind. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261204", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

const whole = "Quetzaltenango"

// target serves h and counts the requests that reach it.
func target(t *testing.T, h func(n int64, w http.ResponseWriter, r *http.Request)) (addr string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h(requests.Add(1), w, r) }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), requests
}

func client(t *testing.T, o Options) *Client {
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

// send writes the part of whole in [from, to) and the last chunk when to is the end.
func send(t *testing.T, w http.ResponseWriter, r Request, from, to int) {
	c := Chunk{RequestID: r.RequestID, Offset: uint64(from), Text: whole[from:to], Tokens: uint32(to - from), Version: 9, Done: to == len(whole)}
	if c.Done {
		c.Total = uint64(to)
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		t.Error(err)
	}
	w.(http.Flusher).Flush()
}

func generate(ctx context.Context, c *Client, addr string, r Request) (*Assembler, error) {
	a := NewAssembler(r.RequestID, r.Offset)
	err := c.Generate(ctx, addr, r, func(chunk Chunk) error {
		_, err := a.Add(chunk)
		return err
	})
	return a, err
}

// Guards against losing or repeating output when a stream breaks or goes silent, and
// against resuming where the target or the request forbids it.
func TestGenerateResumes(t *testing.T) {
	for _, c := range []struct {
		name      string
		silent    bool
		resumable bool
		unsafe    bool
		requests  int64
	}{
		{"broken", false, true, false, 2},
		{"silent", true, true, false, 2},
		{"target cannot resume", false, false, false, 1},
		{"unsafe", false, true, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var conns sync.Map
			var fresh atomic.Int64
			addr, requests := target(t, func(n int64, w http.ResponseWriter, r *http.Request) {
				if _, known := conns.LoadOrStore(r.RemoteAddr, true); !known {
					fresh.Add(1)
				}
				var req Request
				if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
					t.Error(err)
				}
				if c.resumable {
					w.Header().Set(HeaderResume, ResumeByOffset)
				}
				if n > 1 {
					send(t, w, req, int(req.Offset)-2, len(whole)) // repeats two characters
					return
				}
				send(t, w, req, 0, 5)
				_, _ = io.WriteString(w, `{"request_id":"r","offs`) // a part of a line must be dropped
				w.(http.Flusher).Flush()
				if c.silent {
					<-r.Context().Done()
				}
				panic(http.ErrAbortHandler)
			})
			a, err := generate(t.Context(), client(t, Options{ProgressTimeout: 100 * time.Millisecond}), addr, Request{RequestID: "r", Unsafe: c.unsafe})
			if requests.Load() != c.requests {
				t.Errorf("%d requests, want %d", requests.Load(), c.requests)
			}
			if c.requests == 1 {
				wantFailure(t, err, errs.CodeInterrupted, errs.Unknown)
				return
			}
			if err != nil || !a.Complete() || a.Text() != whole || a.Tokens() != uint64(len(whole)) || fresh.Load() != 2 {
				t.Errorf("err %v, text %q, %d tokens, %d connections", err, a.Text(), a.Tokens(), fresh.Load())
			}
		})
	}
}

// Guards against resuming without end, and against a not_run of a later attempt that hides
// that the first one ran (P5).
func TestGenerateResumesAreBounded(t *testing.T) {
	addr, requests := target(t, func(n int64, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderResume, ResumeByOffset)
		send(t, w, Request{RequestID: "r"}, 0, 5)
		panic(http.ErrAbortHandler)
	})
	_, err := generate(t.Context(), client(t, Options{MaxResumes: 2}), addr, Request{RequestID: "r"})
	wantFailure(t, err, errs.CodeInterrupted, errs.Unknown)
	if requests.Load() != 3 {
		t.Errorf("%d requests, want 3", requests.Load())
	}
	addr, _ = target(t, func(n int64, w http.ResponseWriter, r *http.Request) {
		if n > 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"not_run":true}`)
			return
		}
		w.Header().Set(HeaderResume, ResumeByOffset)
		send(t, w, Request{RequestID: "r"}, 0, 5)
		panic(http.ErrAbortHandler)
	})
	_, err = generate(t.Context(), client(t, Options{}), addr, Request{RequestID: "r"})
	wantFailure(t, err, errs.CodeInterrupted, errs.Unknown)
}

// Guards against chunks of another request, an endless line, and a stream that ends early
// being taken for a whole answer.
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
		addr, _ := target(t, func(n int64, w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, c.body) })
		_, err := generate(t.Context(), client(t, Options{MaxLineBytes: 8192}), addr, Request{RequestID: "r"})
		if errs.CodeOf(err) != c.code || errs.OutcomeOf(err) != errs.Unknown {
			t.Errorf("%s: err = %v", name, err)
		}
	}
	addr, _ := target(t, func(n int64, w http.ResponseWriter, r *http.Request) {
		send(t, w, Request{RequestID: "r"}, 0, len(whole))
	})
	stop := &errs.Overloaded{Resource: "reader"}
	if err := client(t, Options{}).Generate(t.Context(), addr, Request{RequestID: "r"}, func(Chunk) error { return stop }); err != stop {
		t.Errorf("err = %v, want the error of deliver", err)
	}
}

// rawTarget accepts connections and passes each to serve with its number.
func rawTarget(t *testing.T, serve func(n int, c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var done sync.WaitGroup
	done.Go(func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			done.Go(func() { defer c.Close(); serve(n, c) })
		}
	})
	t.Cleanup(func() { l.Close(); done.Wait() })
	return l.Addr().String()
}

// Guards against an outcome that claims too much or too little (P5).
func TestCallOutcomes(t *testing.T) {
	closes := rawTarget(t, func(_ int, c net.Conn) { _, _ = c.Read(make([]byte, 4096)) })
	answer := func(status int, body string) string {
		addr, _ := target(t, func(n int64, w http.ResponseWriter, r *http.Request) {
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
		"closed after request":  {closes, errs.CodeInterrupted, errs.Unknown},
		"stated not_run":        {answer(503, `{"not_run":true}`), errs.CodeUnavailable, errs.NotRun},
		"503 without statement": {answer(503, `{}`), errs.CodeUnavailable, errs.Unknown},
		"500 with statement":    {answer(500, `{"not_run":true}`), errs.CodeUnavailable, errs.Unknown},
		"redirect":              {answer(302, ``), errs.CodeUnavailable, errs.Unknown},
		"other request":         {answer(200, `{"request_id":"x"}`), errs.CodeCorrupt, errs.Unknown},
		"not JSON":              {answer(200, `abc`), errs.CodeCorrupt, errs.Unknown},
		"too large":             {answer(200, strings.Repeat(" ", 2000)), errs.CodeTooLarge, errs.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := client(t, Options{MaxAnswerBytes: 1000}).Call(t.Context(), c.addr, CallRequest{RequestID: "r", Body: json.RawMessage(`1`)})
			wantFailure(t, err, c.code, c.outcome)
		})
	}
	ended, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	_, err := client(t, Options{}).Call(ended, closes, CallRequest{RequestID: "r", Body: json.RawMessage(`1`)})
	wantFailure(t, err, errs.CodeDeadline, errs.NotRun)
	started, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	hanging := rawTarget(t, func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	_, err = client(t, Options{}).Call(started, hanging, CallRequest{RequestID: "r", Body: json.RawMessage(`1`)})
	wantFailure(t, err, errs.CodeDeadline, errs.Unknown)
}

// Guards against a transport that repeats a request by itself when a reused connection
// breaks after the request was written (P6), and against an unsafe request on a connection
// that is not new.
func TestTransportDoesNotRepeat(t *testing.T) {
	var requests, conns atomic.Int64
	addr := rawTarget(t, func(n int, c net.Conn) {
		conns.Add(1)
		buf := make([]byte, 4096)
		for i := 0; ; i++ {
			if _, err := c.Read(buf); err != nil {
				return
			}
			requests.Add(1)
			if i == 1 { // breaks the second request of a connection
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"request_id\":\"r\"}")
		}
	})
	c := client(t, Options{})
	safe := CallRequest{RequestID: "r", Body: json.RawMessage(`1`)}
	if _, err := c.Call(t.Context(), addr, safe); err != nil {
		t.Fatal(err)
	}
	unsafe := safe
	unsafe.Unsafe = true
	if _, err := c.Call(t.Context(), addr, unsafe); err != nil {
		t.Errorf("the unsafe call used a connection that is not new: %v", err)
	}
	_, err := c.Call(t.Context(), addr, safe)
	wantFailure(t, err, errs.CodeInterrupted, errs.Unknown)
	if requests.Load() != 3 || conns.Load() != 2 {
		t.Errorf("%d requests on %d connections, want 3 on 2", requests.Load(), conns.Load())
	}
}

// Guards against orders that lose a field, outlive their expiry, or hide an old fence, and
// against a trace that ends before the target.
func TestPlainRequests(t *testing.T) {
	expires := time.Now().Add(time.Minute).Truncate(time.Millisecond)
	got := make(chan OrderBody, 1)
	addr, _ := target(t, func(n int64, w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/orders":
			var o OrderBody
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				t.Error(err)
			}
			got <- o
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
	c := client(t, Options{})
	wantFailure(t, c.Order(t.Context(), addr, Order{Kind: OrderLoad, Model: "m", Version: 5, Fence: 8, ExpiresAt: expires}), errs.CodeConflict, errs.NotRun)
	if diff := cmp.Diff(OrderBody{Kind: "load", Model: "m", Version: 5, Fence: 8, ExpiresMS: expires.UnixMilli()}, <-got); diff != "" {
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

// Guards against counting a connection that took no byte as handed over, and one that took
// a part of the request as untouched.
func TestHandoverCountsBytes(t *testing.T) {
	near, far := net.Pipe()
	conn := &countedConn{Conn: near}
	h := &handover{}
	httptrace.ContextClientTrace(h.trace(t.Context())).GotConn(httptrace.GotConnInfo{Conn: conn})
	far.Close()
	if _, err := conn.Write([]byte("POST")); err == nil || h.happened() {
		t.Errorf("err %v, happened %v without a byte", err, h.happened())
	}
	near, far = net.Pipe()
	conn.Conn = near
	read := make(chan struct{})
	go func() { _, _ = far.Read(make([]byte, 1)); far.Close(); close(read) }()
	if _, err := conn.Write([]byte("POST")); err == nil || !h.happened() {
		t.Errorf("err %v, happened %v after one byte", err, h.happened())
	}
	<-read
}
