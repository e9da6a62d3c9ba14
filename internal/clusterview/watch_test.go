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

	"fuchsiaflow/fleet"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
)

// testHost is a host with a view and a Watcher. A store host also serves watches.
type testHost struct {
	rpc.UnimplementedPeerServer
	self StoreHost
	view *View
	done chan struct{}
}

// Describe implements Source.
func (h *testHost) Describe(e *Event) {
	e.From = h.self
	if leader, _ := h.view.Leader(); leader == h.self.ReplicaID {
		e.Voters = []string{h.self.ReplicaID}
	}
}

// Done implements Source.
func (h *testHost) Done() <-chan struct{} { return h.done }

// Watch implements rpc.PeerServer.
func (h *testHost) Watch(r *rpc.WatchRequest, stream grpc.ServerStreamingServer[rpc.WatchEvent]) error {
	return Serve(h.view, r, stream, h)
}

// startTestHost starts a host at ip. Only store hosts serve on listener.
func startTestHost(t *testing.T, ip string, port int, isStore bool, listener net.Listener, seeds ...string) *testHost {
	t.Helper()
	const token = "t"
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	h := &testHost{self: StoreHost{ReplicaID: ReplicaID(ip, "x"), Host: ip}, view: newTestView(seeds...), done: make(chan struct{})}
	pool := rpc.NewPool(rpc.Options{Self: func() rpc.Sender { return rpc.Sender{Host: h.self.ReplicaID} }, Token: token, Log: log,
		Address: func(host string) (string, bool) { return Address(host, port), true }})
	t.Cleanup(pool.Close)
	if isStore {
		server := rpc.NewServer(rpc.ServerOptions{Token: token, Log: log})
		rpc.RegisterPeerServer(server, h)
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(listener) })
		t.Cleanup(func() { close(h.done); server.Stop(); serving.Wait() })
	}
	k := kernel.New(log)
	if err := k.Register("watch", &Watcher{View: h.view, Self: ip, IsStoreHost: isStore, Peer: pool.Peer, Log: log}); err != nil {
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

// listenAll listens on the same free port on all addresses.
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

// Guards against a leader that other hosts never discover after a restart of all hosts. If all seeds
// have lost their disks or left the group, none of them knows a member. The members watched the
// seeds, but neither the seeds nor any other host learned of the members.
func TestSeedsDiscoverStoreHostsThatWatchThem(t *testing.T) {
	const seed, member, other, entry = "127.83.0.1", "127.83.0.2", "127.83.0.3", "127.83.0.4"
	port, listeners := listenAll(t, seed, member, other)
	s := startTestHost(t, seed, port, true, listeners[0], seed)
	m := startTestHost(t, member, port, true, listeners[1], seed)
	o := startTestHost(t, other, port, true, listeners[2], seed)
	e := startTestHost(t, entry, port, false, nil, seed)
	m.view.SetLeader(m.self.ReplicaID, 3)
	deadline := time.Now().Add(10 * time.Second)
	for _, h := range []*testHost{s, o, e} {
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

// Guards against a host that goes on using a target whose departure its store hosts know, because they have no
// report of the target.
func TestDeparturesAreSentWithoutReports(t *testing.T) {
	port, listeners := listenAll(t, "127.0.0.1")
	store := startTestHost(t, "127.0.0.1", port, true, listeners[0], "127.0.0.1")
	known := fleet.Departure{Target: "t1", Incarnation: 7}
	store.view.RecordDeparture(known, "own replica")
	host := startTestHost(t, "127.0.0.2", port, false, nil, "127.0.0.1")
	for _, id := range []string{"t1", "t2"} {
		host.view.UpdateTarget(fleet.Target{ID: id, Service: "s", Address: "10.0.0.9:" + id[1:], State: fleet.Ready, Incarnation: 7, Sequence: 1})
	}
	awaitDeparture := func(d fleet.Departure) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); !host.view.HasDeparted(d); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("the host does not learn of the departure of %s; it uses %v", d.Target, host.view.Serving(""))
			}
		}
	}
	awaitDeparture(known)
	later := fleet.Departure{Target: "t2", Incarnation: 7}
	store.view.RecordDeparture(later, "own replica") // while the watch is open
	awaitDeparture(later)
	if serving := host.view.Serving(""); len(serving) != 0 {
		t.Errorf("the host uses %v", serving)
	}
}
