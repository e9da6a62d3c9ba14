package clusterview

import (
	"context"
	"log/slog"
	"time"

	"google.golang.org/grpc"

	"fuchsiaflow/internal/bootclock"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/internal/rpc"
)

// Timeouts and intervals of a watch.
const (
	// watchHeartbeat is the longest time between two events of a stream.
	watchHeartbeat = 500 * time.Millisecond
	// watchTimeout is the time without an event after which a stream is considered broken: three
	// heartbeats.
	watchTimeout = 1500 * time.Millisecond
	// watchRetryDelay is the delay before a broken stream is reopened.
	watchRetryDelay = 200 * time.Millisecond
	// discoverInterval is the interval at which the view is checked for new store hosts.
	discoverInterval = 250 * time.Millisecond
	// majorityTimeout is the time without events from a majority of the voters after which a host also
	// watches other store hosts: two heartbeats.
	majorityTimeout = 2 * watchHeartbeat
	// watchLinger is how long a watch stays open after its store host was last selected, so that a short
	// disturbance does not close and open streams.
	watchLinger = 5 * time.Second
)

// Watcher watches the store hosts that View.Sources selects. It implements kernel.Service.
type Watcher struct {
	View   *View
	Self   string // IP address of this host, which is not watched
	Domain string // failure domain of this host
	Peer   func(host string) (rpc.PeerClient, error)
	// IsStoreHost reports whether this host is a store host.
	IsStoreHost bool
	Log         *slog.Logger

	watches map[string]*watch // by IP address
}

// watch is a store host that is being watched.
type watch struct {
	cancel     context.CancelFunc
	selectedAt time.Time // when View.Sources last contained the store host
}

// Start implements kernel.Service.
func (w *Watcher) Start(_ context.Context, k *kernel.Kernel) error {
	w.watches = make(map[string]*watch)
	w.discover(k)
	k.Every("watch/discover", discoverInterval, func(context.Context) {
		w.View.Expire()
		w.discover(k)
	})
	return nil
}

// Stop implements kernel.Service.
func (w *Watcher) Stop(context.Context) error { return nil }

// discover opens and closes watches as View.Sources selects.
func (w *Watcher) discover(k *kernel.Kernel) {
	now := bootclock.Now()
	for _, ip := range w.View.Sources(w.Self, w.Domain, w.IsStoreHost) {
		if ip == w.Self {
			continue
		}
		if w.watches[ip] == nil {
			w.watches[ip] = w.openWatch(k, ip)
		}
		w.watches[ip].selectedAt = now
	}
	for ip, open := range w.watches {
		if now.Sub(open.selectedAt) > watchLinger {
			open.cancel()
			delete(w.watches, ip)
		}
	}
}

func (w *Watcher) openWatch(k *kernel.Kernel, ip string) *watch {
	ctx, cancel := context.WithCancel(k.Context())
	k.Go("watch/"+ip, func(context.Context) error {
		w.watchStore(ctx, ip)
		return nil
	})
	return &watch{cancel: cancel}
}

// watchStore watches one store host until ctx is done.
func (w *Watcher) watchStore(ctx context.Context, ip string) {
	connected := false
	for ctx.Err() == nil {
		events, err := w.readStream(ctx, ip, func() {
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
		case <-time.After(watchRetryDelay):
		}
	}
}

// readStream reads events from one stream until it fails or times out. It returns the number of
// events.
func (w *Watcher) readStream(ctx context.Context, ip string, onEvent func()) (events int, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(watchTimeout, cancel)
	defer timeout.Stop()
	peer, err := w.Peer(ip)
	if err != nil {
		return 0, err
	}
	// WaitForReady opens the stream as soon as the host becomes reachable.
	stream, err := peer.Watch(ctx, &rpc.WatchRequest{Store: w.IsStoreHost}, grpc.WaitForReady(true))
	if err != nil {
		return 0, err
	}
	var previous Event
	for {
		m, err := stream.Recv()
		if err != nil {
			return events, err
		}
		timeout.Reset(watchTimeout)
		e, err := Decode[Event]("watch event", m.Event)
		if err != nil {
			return events, err
		}
		e.restoreOmitted(&previous)
		previous = e.header()
		events++
		onEvent()
		w.View.Merge(&e)
	}
}

// Source is a store host that serves watches.
type Source interface {
	// Describe sets From, Voters and Stores as known to the host.
	Describe(e *Event)
	// Done returns a channel that is closed when the host stops.
	Done() <-chan struct{}
}

// Serve sends the events of a watch until the stream ends or the source stops. If the client is a
// store host, Serve also adds it to the view: after a restart of all hosts, it may be the only one
// that knows the members of the state group, and no other host would discover it.
func Serve(v *View, r *rpc.WatchRequest, stream grpc.ServerStreamingServer[rpc.WatchEvent], source Source) error {
	recordWatchingStore(v, r, stream)
	var revision, departureRevision, rateRevision, quarantineRevision, capacityRevision, version uint64
	var previous Event
	for {
		changed := v.Changed()
		e := Event{Config: v.ConfigAfter(version)}
		source.Describe(&e)
		e.Leader, e.Term = v.Leader()
		e.Targets, revision = v.TargetsSince(revision)
		e.Departures, departureRevision = v.DeparturesSince(departureRevision)
		e.RateLimits, rateRevision = v.RateLimitsSince(rateRevision)
		e.Quarantine, quarantineRevision = v.QuarantineSince(quarantineRevision)
		e.Capacity, capacityRevision = v.CapacitySince(capacityRevision)
		if e.Config != nil {
			version = e.Config.Version
		}
		if err := stream.Send(&rpc.WatchEvent{Event: Encode(e.omitUnchanged(&previous))}); err != nil {
			return err
		}
		previous = e.header()
		select {
		case <-stream.Context().Done():
			return nil
		case <-source.Done():
			return nil
		case <-changed:
		case <-time.After(watchHeartbeat):
		}
	}
}

// recordWatchingStore adds the client of a watch to the view if it is a store host.
func recordWatchingStore(v *View, r *rpc.WatchRequest, stream grpc.ServerStreamingServer[rpc.WatchEvent]) {
	if sender, ok := rpc.SenderFromContext(stream.Context()); ok && r.Store {
		v.RecordStore(StoreHost{ReplicaID: sender.Host})
	}
}

// ServeDirectory sends the store hosts that this host hears until the stream ends or done is closed. It serves the
// watches of a host that is a seed without being a store host: others find the store hosts through it.
func ServeDirectory(v *View, r *rpc.WatchRequest, stream grpc.ServerStreamingServer[rpc.WatchEvent], done <-chan struct{}) error {
	recordWatchingStore(v, r, stream)
	for {
		if err := stream.Send(&rpc.WatchEvent{Event: Encode(Event{Stores: v.HeardStores(watchTimeout)})}); err != nil {
			return err
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-done:
			return nil
		case <-time.After(watchHeartbeat):
		}
	}
}
