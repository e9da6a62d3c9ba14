package clusterview

import (
	"context"
	"io"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
)

// meshHost is a host with a view and its watches. A store host also answers watches.
type meshHost struct {
	rpc.UnimplementedPeerServer
	self StoreHost
	view *View
	done chan struct{}
}

// Describe implements Source.
func (h *meshHost) Describe(e *Event) {
	e.From = h.self
	if leader, _ := h.view.Leader(); leader == h.self.ReplicaID {
		e.Voters = []string{h.self.ReplicaID}
	}
}

// Done implements Source.
func (h *meshHost) Done() <-chan struct{} { return h.done }

// Watch implements rpc.PeerServer.
func (h *meshHost) Watch(r *rpc.WatchRequest, stream grpc.ServerStreamingServer[rpc.WatchEvent]) error {
	return Serve(h.view, r, stream, h)
}

// startMeshHost runs a host at an address. Only store hosts listen.
func startMeshHost(t *testing.T, ip string, port int, store bool, listener net.Listener, seeds ...string) *meshHost {
	t.Helper()
	const token = "t"
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	h := &meshHost{self: StoreHost{ReplicaID: ReplicaID(ip, "x"), Host: ip}, view: newTestView(seeds...), done: make(chan struct{})}
	pool := rpc.NewPool(rpc.Options{Self: func() rpc.Sender { return rpc.Sender{Host: h.self.ReplicaID} }, Token: token, Log: log,
		Address: func(host string) (string, bool) { return Address(host, port), true }})
	t.Cleanup(pool.Close)
	if store {
		server := rpc.NewServer(rpc.ServerOptions{Token: token, Log: log})
		rpc.RegisterPeerServer(server, h)
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(listener) })
		t.Cleanup(func() { close(h.done); server.Stop(); serving.Wait() })
	}
	k := kernel.New(log)
	if err := k.Register("watch", &Watcher{View: h.view, Self: ip, IsStoreHost: store, Peer: pool.Peer, Log: log}); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = k.Stop(ctx)
	})
	return h
}

// listenAll listens on the same free port of each address.
func listenAll(t *testing.T, ips ...string) (port int, listeners []net.Listener) {
	t.Helper()
	for range 20 {
		port, listeners = 0, nil
		for _, ip := range ips {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				break
			}
			listeners = append(listeners, l)
			port = l.Addr().(*net.TCPAddr).Port
		}
		if len(listeners) == len(ips) {
			return port, listeners
		}
		for _, l := range listeners {
			_ = l.Close()
		}
	}
	t.Fatal("no port is free on all addresses")
	return 0, nil
}

// Guards against a leader that nobody finds. After the loss of all power, the seeds were store
// hosts that had lost their disks or had left the group before, so that none of them knew a
// member; the members watched the seeds, but the seeds and all other hosts never learned of them.
func TestSeedsLearnOfTheStoreHostsThatWatchThem(t *testing.T) {
	const seed, member, other, entry = "127.83.0.1", "127.83.0.2", "127.83.0.3", "127.83.0.4"
	port, listeners := listenAll(t, seed, member, other)
	s := startMeshHost(t, seed, port, true, listeners[0], seed)
	m := startMeshHost(t, member, port, true, listeners[1], seed)
	o := startMeshHost(t, other, port, true, listeners[2], seed)
	e := startMeshHost(t, entry, port, false, nil, seed)
	m.view.SetLeader(m.self.ReplicaID, 3)
	deadline := time.Now().Add(10 * time.Second)
	for _, h := range []*meshHost{s, o, e} {
		for {
			if leader, _ := h.view.Leader(); leader == m.self.ReplicaID {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s does not know the leader; it watches %v", h.self.ReplicaID, h.view.StoreIPs())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	if slices.Contains(s.view.StoreIPs(), entry) {
		t.Error("an entry host is watched")
	}
}
