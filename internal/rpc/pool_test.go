package rpc

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/fakes"
)

const testToken = "cluster-token"

var testSender = Sender{Host: "e1", Incarnation: 7, ConfigVersion: 42}

// fakePeer is a Peer server whose Propose fails in the way that the group selects.
type fakePeer struct {
	UnimplementedPeerServer
	senders chan Sender
	release chan struct{}
}

func (s *fakePeer) Propose(ctx context.Context, r *ProposeRequest) (*ProposeReply, error) {
	switch r.Group {
	case "panic":
		panic("boom")
	case "follower":
		return nil, &errs.NotLeader{Group: "control", Leader: "e2"}
	case "slow":
		<-s.release
	}
	if sender, ok := SenderFromContext(ctx); ok {
		s.senders <- sender
	}
	return &ProposeReply{Result: r.Command}, nil
}

func (s *fakePeer) Generate(r *GenerateRequest, out grpc.ServerStreamingServer[GenerateChunk]) error {
	if err := out.Send(&GenerateChunk{RequestId: r.RequestId}); err != nil {
		return err
	}
	return &errs.Overloaded{Resource: "pool " + r.Pool, After: time.Second}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func discardLogger() *slog.Logger { return slog.New(slog.NewJSONHandler(io.Discard, nil)) }

// startServer starts a server and returns its address.
func startServer(t *testing.T, o ServerOptions) (string, *fakePeer) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.Log = discardLogger()
	if o.Token == "" {
		o.Token = testToken
	}
	impl := &fakePeer{senders: make(chan Sender, 16), release: make(chan struct{})}
	s := NewServer(o)
	RegisterPeerServer(s, impl)
	var done sync.WaitGroup
	done.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() { close(impl.release); s.Stop(); done.Wait() })
	return l.Addr().String(), impl
}

// newTestPool returns a pool that connects every host to addr, and a client for the host e2.
func newTestPool(t *testing.T, addr string, o Options) (*Pool, PeerClient) {
	t.Helper()
	o.Self, o.Token, o.Log = func() Sender { return testSender }, testToken, discardLogger()
	o.Address = func(string) (string, bool) { return addr, true }
	p := NewPool(o)
	t.Cleanup(p.Close)
	c, err := p.Peer("e2")
	if err != nil {
		t.Fatal(err)
	}
	return p, c
}

func wantFailure(t *testing.T, err error, code errs.Code, outcome errs.Outcome) {
	t.Helper()
	if err == nil || errs.CodeOf(err) != code || errs.OutcomeOf(err) != outcome {
		t.Errorf("err = %v (%s, %s), want %s, %s", err, errs.CodeOf(err), errs.OutcomeOf(err), code, outcome)
	}
}

// Guards against losing the sender or the type of an error in a call, and against a handler panic
// that ends the process.
func TestCallsPreserveSenderAndErrors(t *testing.T) {
	addr, impl := startServer(t, ServerOptions{})
	_, c := newTestPool(t, addr, Options{MaxMessageBytes: 1 << 20})
	_, err := c.Propose(t.Context(), &ProposeRequest{Group: "panic"})
	wantFailure(t, err, errs.CodeInternal, errs.Unknown)
	_, err = c.Propose(t.Context(), &ProposeRequest{Group: "follower"})
	if diff := cmp.Diff(error(&errs.NotLeader{Group: "control", Leader: "e2"}), err); diff != "" {
		t.Error(diff)
	}
	_, err = c.Propose(t.Context(), &ProposeRequest{Command: make([]byte, 1<<20)})
	wantFailure(t, err, errs.CodeTooLarge, errs.NotRun)
	if _, err = c.Propose(t.Context(), &ProposeRequest{}); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(testSender, <-impl.senders); diff != "" {
		t.Error(diff)
	}
	stream, err := c.Generate(t.Context(), &GenerateRequest{RequestId: "r", Pool: "sorting"})
	if err != nil {
		t.Fatal(err)
	}
	if m, err := stream.Recv(); err != nil || m.RequestId != "r" {
		t.Errorf("chunk = %v, %v", m, err)
	}
	_, err = stream.Recv()
	wantFailure(t, err, errs.CodeOverloaded, errs.NotRun)
}

// Guards against metadata that fills the memory of a host before the call is authenticated.
func TestLargeMetadataIsRejected(t *testing.T) {
	addr, _ := startServer(t, ServerOptions{Token: testToken})
	_, peer := newTestPool(t, addr, Options{})
	for size, ok := range map[int]bool{8 << 10: true, 20 << 10: false} {
		ctx := metadata.AppendToOutgoingContext(t.Context(), "x", strings.Repeat("y", size))
		if _, err := peer.Propose(ctx, &ProposeRequest{}); (err == nil) != ok {
			t.Errorf("metadata of %d bytes: %v", size, err)
		}
	}
}

// Guards against serving a client without the cluster token.
func TestWrongTokenIsRejected(t *testing.T) {
	addr, impl := startServer(t, ServerOptions{Token: "another"})
	_, c := newTestPool(t, addr, Options{})
	_, err := c.Propose(t.Context(), &ProposeRequest{})
	wantFailure(t, err, errs.CodeUnauthenticated, errs.NotRun)
	if len(impl.senders) != 0 {
		t.Error("the handler ran")
	}
	if strings.Contains(err.Error(), "another") || strings.Contains(err.Error(), testToken) {
		t.Errorf("error shows a token: %v", err)
	}
}

// Guards against running a handler before the receiver has caught up with the sender.
func TestBeforeHandlerRejectsCall(t *testing.T) {
	addr, impl := startServer(t, ServerOptions{BeforeHandler: func(_ context.Context, s Sender) error {
		return &errs.Unavailable{Resource: "configuration", Reason: "behind"}
	}})
	p, c := newTestPool(t, addr, Options{})
	_, err := c.Propose(t.Context(), &ProposeRequest{})
	wantFailure(t, err, errs.CodeUnavailable, errs.NotRun)
	if len(impl.senders) != 0 {
		t.Error("the handler ran")
	}
	health := grpc_health_v1.NewHealthClient(p.connections()[0].cc)
	if _, err := health.Check(t.Context(), &grpc_health_v1.HealthCheckRequest{}); err != nil {
		t.Errorf("the health check depends on BeforeHandler: %v", err)
	}
}

// Guards against the outcome unknown for a refused dial, which would prevent safe retries.
func TestRefusedDialIsNotRun(t *testing.T) {
	p, c := newTestPool(t, "127.0.0.1:1", Options{}) // a port that was just closed may be reused by another process
	_, err := c.Propose(t.Context(), &ProposeRequest{})
	wantFailure(t, err, errs.CodeUnavailable, errs.NotRun)
	p.Close()
	_, err = c.Propose(t.Context(), &ProposeRequest{})
	wantFailure(t, err, errs.CodeUnavailable, errs.NotRun)
	_, err = p.Peer("e2")
	wantFailure(t, err, errs.CodeUnavailable, errs.NotRun)
}

// Guards against calls that fail after the peer has recovered, because of the backoff of dials that
// failed before.
func TestRedialEndsBackoff(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := &gatedListener{Listener: l}
	s := NewServer(ServerOptions{Token: testToken, Log: discardLogger()})
	RegisterPeerServer(s, &fakePeer{senders: make(chan Sender, 16)})
	var done sync.WaitGroup
	done.Go(func() { _ = s.Serve(gate) })
	t.Cleanup(func() { s.Stop(); done.Wait() })
	p, c := newTestPool(t, l.Addr().String(), Options{InitialDialBackoff: time.Hour, MaxDialBackoff: time.Hour})
	_, err = c.Propose(t.Context(), &ProposeRequest{})
	wantFailure(t, err, errs.CodeUnavailable, errs.NotRun)
	gate.open.Store(true)
	_, err = c.Propose(t.Context(), &ProposeRequest{})
	wantFailure(t, err, errs.CodeUnavailable, errs.NotRun) // the backoff is in force
	p.Redial("e2")
	p.Redial("unknown host")
	if c, err = p.Peer("e2"); err != nil {
		t.Fatal(err)
	}
	if _, err = c.Propose(t.Context(), &ProposeRequest{}); err != nil {
		t.Fatalf("a call to the recovered peer fails: %v", err)
	}
	p.Redial("e2")
	if _, err = c.Propose(t.Context(), &ProposeRequest{}); err != nil {
		t.Errorf("a working connection was closed: %v", err)
	}
}

// Guards against a data race between Redial and calls that open connections to the same host. The
// race detector finds it.
func TestRedialDuringCalls(t *testing.T) {
	addr, _ := startServer(t, ServerOptions{})
	p, _ := newTestPool(t, addr, Options{InitialDialBackoff: time.Millisecond})
	var calls sync.WaitGroup
	for i := range 200 {
		host := fmt.Sprint("h", i)
		calls.Go(func() {
			c, err := p.Peer(host)
			if err == nil {
				_, err = c.Propose(t.Context(), &ProposeRequest{Group: "follower"})
			}
			if errs.CodeOf(err) != errs.CodeNotLeader && errs.OutcomeOf(err) != errs.NotRun {
				t.Error(err)
			}
		})
		calls.Go(func() { p.Redial(host) })
	}
	calls.Wait()
}

// gatedListener closes each accepted connection immediately until open is set.
type gatedListener struct {
	net.Listener
	open atomic.Bool
}

func (g *gatedListener) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil || g.open.Load() {
			return c, err
		}
		_ = c.Close()
	}
}

// Guards against a call that waits until its deadline, or fails with the outcome unknown, because the
// operating system accepts the connection but no server responds.
func TestUnresponsiveDialIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	_, c := newTestPool(t, l.Addr().String(), Options{DialTimeout: 200 * time.Millisecond})
	_, err = c.Propose(t.Context(), &ProposeRequest{})
	wantFailure(t, err, errs.CodeUnavailable, errs.NotRun)
}

// Guards against the outcome not_run for a call that was handed to a connection.
func TestBrokenConnectionIsUnknown(t *testing.T) {
	addr, _ := startServer(t, ServerOptions{})
	proxy := newProxy(t, addr)
	_, c := newTestPool(t, proxy.Addr(), Options{})
	failed := make(chan error, 1)
	go func() {
		_, err := c.Propose(context.Background(), &ProposeRequest{Group: "slow"})
		failed <- err
	}()
	waitForRequest(t, proxy)
	proxy.CloseConnections()
	wantFailure(t, <-failed, errs.CodeInterrupted, errs.Unknown)
}

// Guards against calls that hang on a connection whose state a middlebox has dropped while new
// connections work.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	addr, impl := startServer(t, ServerOptions{})
	proxy := newProxy(t, addr)
	var clock atomic.Int64
	now := func() time.Time { return time.Unix(clock.Load(), 0) }
	p, c := newTestPool(t, proxy.Addr(), Options{Now: now, SilenceBeforeProbe: time.Second, ProbeTimeout: 100 * time.Millisecond})
	failed := make(chan error, 1)
	go func() {
		_, err := c.Propose(context.Background(), &ProposeRequest{Group: "slow"})
		failed <- err
	}()
	waitForRequest(t, proxy)
	for p.connections()[0].activity.pending.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	clock.Add(5)
	p.Check(t.Context())
	if len(p.connections()) != 1 {
		t.Error("a connection whose peer responds to the probe was closed")
	}
	proxy.Blackhole()
	clock.Add(5)
	p.Check(t.Context())
	select {
	case err := <-failed:
		wantFailure(t, err, errs.CodeInterrupted, errs.Unknown)
	case <-time.After(keepAliveTime / 2):
		t.Fatal("the call did not fail before the keepalive")
	}
	c, err := p.Peer("e2")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Propose(t.Context(), &ProposeRequest{}); err != nil {
		t.Errorf("the new connection fails: %v", err)
	}
	if got := proxy.AcceptedConnections(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
	<-impl.senders
}

// Guards against losing the trace context between two hosts.
func TestTraceContextCrossesHosts(t *testing.T) {
	spans := tracetest.NewSpanRecorder()
	tp := trace.NewTracerProvider(trace.WithSpanProcessor(spans))
	addr, _ := startServer(t, ServerOptions{TracerProvider: tp})
	_, c := newTestPool(t, addr, Options{TracerProvider: tp})
	ctx, root := tp.Tracer("test").Start(t.Context(), "root")
	if _, err := c.Propose(ctx, &ProposeRequest{}); err != nil {
		t.Fatal(err)
	}
	root.End()
	for deadline := time.Now().Add(5 * time.Second); len(spans.Ended()) < 3 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if len(spans.Ended()) != 3 {
		t.Fatalf("%d spans, want root, client and server", len(spans.Ended()))
	}
	for _, s := range spans.Ended() {
		if s.SpanContext().TraceID() != root.SpanContext().TraceID() {
			t.Errorf("span %s belongs to another trace", s.Name())
		}
	}
}

func newProxy(t *testing.T, upstream string) *fakes.Proxy {
	t.Helper()
	p, err := fakes.NewProxy(upstream)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// waitForRequest waits until the proxy has forwarded more than the HTTP/2 preface.
func waitForRequest(t *testing.T, p *fakes.Proxy) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); p.UpstreamBytes() < 200; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no request reached the proxy")
		}
	}
}
