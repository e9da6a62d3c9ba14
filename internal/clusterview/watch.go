package clusterview

import (
	"context"
	"log/slog"
	"time"

	"google.golang.org/grpc"

	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
)

// The times of a watch.
const (
	// watchPing is the longest pause between two events of a stream.
	watchPing = 500 * time.Millisecond
	// watchSilence is the pause after which a stream counts as broken: three pings.
	watchSilence = 1500 * time.Millisecond
	// watchRetry is the pause before a broken stream is opened again.
	watchRetry = 200 * time.Millisecond
	// discoverInterval is how often new store hosts are looked for in the view.
	discoverInterval = 250 * time.Millisecond
)

// Watcher keeps a watch on each store host that the view knows. It implements kernel.Service.
type Watcher struct {
	View *View
	Self string // own address, which is not watched
	Peer func(host string) (rpc.PeerClient, error)
	// IsStoreHost is set when this host is a store host itself.
	IsStoreHost bool
	Log         *slog.Logger

	running map[string]context.CancelFunc
}

// Start implements kernel.Service.
func (w *Watcher) Start(_ context.Context, k *kernel.Kernel) error {
	w.running = make(map[string]context.CancelFunc)
	w.discover(k)
	k.Every("watch/discover", discoverInterval, func(context.Context) {
		w.View.Expire()
		w.discover(k)
	})
	return nil
}

// Stop implements kernel.Service.
func (w *Watcher) Stop(context.Context) error { return nil }

func (w *Watcher) discover(k *kernel.Kernel) {
	known := make(map[string]bool)
	for _, ip := range w.View.StoreIPs() {
		known[ip] = true
		if ip == w.Self || w.running[ip] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(k.Context())
		w.running[ip] = cancel
		k.Go("watch/"+ip, func(context.Context) error {
			w.keep(ctx, ip)
			return nil
		})
	}
	for ip, cancel := range w.running {
		if !known[ip] {
			cancel()
			delete(w.running, ip)
		}
	}
}

// keep watches one store host until ctx ends.
func (w *Watcher) keep(ctx context.Context, ip string) {
	connected := false
	for ctx.Err() == nil {
		events, err := w.follow(ctx, ip, func() {
			if !connected {
				connected = true
				w.Log.Info("store host connected", "store", ip)
			}
		})
		if connected && ctx.Err() == nil {
			connected = false
			w.Log.Warn("store host lost", "store", ip, "events", events, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

// follow reads one stream until it fails or falls silent.
func (w *Watcher) follow(ctx context.Context, ip string, onEvent func()) (events int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	peer, err := w.Peer(ip)
	if err != nil {
		return 0, err
	}
	// The stream waits for the connection, so that it opens as soon as the host can be reached.
	stream, err := peer.Watch(ctx, &rpc.WatchRequest{Store: w.IsStoreHost}, grpc.WaitForReady(true))
	if err != nil {
		return 0, err
	}
	var before Event
	for {
		m, err := stream.Recv()
		if err != nil {
			return events, err
		}
		silence.Reset(watchSilence)
		e, err := Decode[Event]("watch event", m.Event)
		if err != nil {
			return events, err
		}
		e.complete(&before)
		before = e.standing()
		events++
		onEvent()
		w.View.Merge(&e)
	}
}

// Source is the store host that answers a watch.
type Source interface {
	// Describe fills in what the host knows of itself, the voters and the live store hosts.
	Describe(e *Event)
	// Done is closed when the host stops.
	Done() <-chan struct{}
}

// Serve answers a watch from a view until the stream ends or the source stops. The view takes in
// a store host that watches: after a restart of all hosts it may be the only one that knows the
// members of the state group, and nobody looks for it otherwise.
func Serve(v *View, r *rpc.WatchRequest, stream grpc.ServerStreamingServer[rpc.WatchEvent], source Source) error {
	if sender, ok := rpc.SenderFrom(stream.Context()); ok && r.Store {
		v.RecordStore(StoreHost{ReplicaID: sender.Host})
	}
	var revision, version uint64
	var before Event
	for {
		changed := v.Changed()
		e := Event{Config: v.ConfigAfter(version)}
		source.Describe(&e)
		e.Leader, e.Term = v.Leader()
		e.Targets, revision = v.TargetsSince(revision)
		if e.Config != nil {
			version = e.Config.Version
		}
		if err := stream.Send(&rpc.WatchEvent{Event: Encode(e.shorten(&before))}); err != nil {
			return err
		}
		before = e.standing()
		select {
		case <-stream.Context().Done():
			return nil
		case <-source.Done():
			return nil
		case <-changed:
		case <-time.After(watchPing):
		}
	}
}
