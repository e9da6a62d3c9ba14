package rolehost

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"fuchsiaflow/internal/clusterview"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/rpc"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/routes"
)

// firstSilent is a listener whose first connection is never answered, as that to a host that has
// no power yet.
type firstSilent struct {
	net.Listener
	accepted atomic.Int32
}

func (l *firstSilent) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.accepted.Add(1) > 1 {
			return c, err
		}
	}
}

type watchServer struct {
	rpc.UnimplementedPeerServer
	view *clusterview.View
}

func (w watchServer) Watch(r *rpc.WatchRequest, stream grpc.ServerStreamingServer[rpc.WatchEvent]) error {
	return clusterview.Serve(w.view, r, stream, w)
}

func (watchServer) Describe(*clusterview.Event) {}
func (watchServer) Done() <-chan struct{}       { return nil }

// Guards against a host that starts together with the others and learns the configuration a
// second late, because its first connection was to a host that could not answer yet.
func TestConfigurationComesSoonAfterASilentConnection(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	source := clusterview.NewView(log, nil)
	source.ApplyConfig(clusterview.Config{Version: 1, Body: clusterview.EncodeConfig(&routes.Config{Version: 1})}, "test")
	server := NewServer(log, observe.NoTracing())
	rpc.RegisterPeerServer(server, watchServer{view: source})
	go func() { _ = server.Serve(&firstSilent{Listener: l}) }()
	t.Cleanup(server.Stop)

	port := l.Addr().(*net.TCPAddr).Port
	s := &settings.Role{Host: "h", IP: "127.0.0.2", PeerPort: port}
	pool := NewPool(s, s.IP, log, observe.NoTracing())
	view := clusterview.NewView(log, []string{"127.0.0.1"})
	k := kernel.New(log)
	for name, service := range map[string]any{"peers": pool, "watch": &clusterview.Watcher{View: view, Self: s.IP, Peer: pool.Peer, Log: log}} {
		if err := k.Register(name, service); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	begin := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if view.WaitConfig(ctx) == nil {
		t.Fatal("no configuration within 5 s")
	}
	// One lost attempt and one pause of the dialler.
	if took, limit := time.Since(begin), dialTimeout+maxDialBackoff; took > limit {
		t.Errorf("the configuration came after %s, want at most %s", took, limit)
	}
}
