// Package group runs one replica of a consensus group: it connects the consensus algorithm
// to storage, a transport and a replicated state machine. The goroutine that calls Run owns
// the replica; the other methods are safe for concurrent use.
//
// Proposals that arrive while a batch is being synced form the next batch (group commit).
// Each committed command is applied exactly once per log index while the process runs; after
// a restart the state machine is rebuilt from the last snapshot and the log.
//
// When the disk rejects a write because it is full, the replica pauses until a retry
// succeeds. Any other log failure ends Run.
package group

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/kernel"
	"fuchsiaflow/storage"
)

// StateMachine is the replicated state machine. Its methods are never called concurrently.
type StateMachine interface {
	// Apply executes a command. It must be deterministic.
	Apply(index uint64, cmd []byte) []byte
	Snapshot() ([]byte, error)
	// Restore replaces the state with a snapshot.
	Restore(data []byte) error
}

// StreamingStateMachine is implemented by state machines whose state may be large. It writes and reads
// snapshots as streams, without a second copy of the state in memory.
type StreamingStateMachine interface {
	WriteSnapshot(w io.Writer) error
	ReadSnapshot(r io.Reader) error
}

// LogReader is implemented by state machines that look at the stored commands of a replica when it starts, before
// it is known which of them are committed.
type LogReader interface {
	ReadStored(cmd []byte)
}

// writeSnapshot writes a snapshot of sm to w, streaming it if sm supports that.
func writeSnapshot(sm StateMachine, w io.Writer) error {
	if s, ok := sm.(StreamingStateMachine); ok {
		return s.WriteSnapshot(w)
	}
	data, err := sm.Snapshot()
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// readSnapshot restores sm from a snapshot, streaming it if sm supports that.
func readSnapshot(sm StateMachine, r io.Reader) error {
	if s, ok := sm.(StreamingStateMachine); ok {
		return s.ReadSnapshot(r)
	}
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	return sm.Restore(data)
}

// Transport sends messages to other replicas. Send must not block and may drop messages.
type Transport interface {
	Send(group string, msgs []consensus.Message)
}

// Clock provides the current time and tickers, so that tests can control time.
type Clock interface {
	Now() time.Time
	// Ticker sends on ticks at each interval until stop is called.
	Ticker(interval time.Duration) (ticks <-chan time.Time, stop func())
}

// Options configures a Group. A zero value of a tuning field selects its default.
type Options struct {
	Group string
	ID    string
	// Voters are the initial voters, used only if Start is storage.Bootstrap.
	Voters []string
	// Start determines whether the data directory may be empty; see package storage.
	Start storage.StartMode
	FS    storage.FS
	Dir   string

	StateMachine StateMachine
	// Transport may be nil in a group with a single voter.
	Transport Transport
	Clock     Clock // system clock when nil
	Rand      *rand.Rand
	Logger    *slog.Logger

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // default: ten heartbeat intervals
	MaxClockDrift     time.Duration // default: a tenth of ElectionTimeout
	// SnapshotEvery is the minimum number of applied entries between two snapshots. Each replica
	// adds up to half of it, so that the replicas do not take snapshots at the same time.
	SnapshotEvery   uint64
	MaxBatch        int // maximum number of requests per sync
	RequestRingSize int // capacity for waiting requests; a full ring rejects new ones
	MessageRingSize int // capacity for received messages; a full ring drops the oldest
	SegmentBytes    int64
	NewNodeID       func() string
}

const (
	defaultHeartbeat       = 100 * time.Millisecond
	defaultElectionFactor  = 10
	defaultDriftDivisor    = 10
	defaultSnapshotEvery   = 4096
	defaultMaxBatch        = 1024
	defaultRequestRingSize = 4096
	defaultMessageRingSize = 1024
)

// normalize validates the options and fills in the defaults.
func (o *Options) normalize() error {
	switch {
	case o.FS == nil:
		return &errs.Invalid{Path: "$.FS", Want: "a file system", Got: "nil"}
	case o.StateMachine == nil:
		return &errs.Invalid{Path: "$.StateMachine", Want: "a state machine", Got: "nil"}
	case o.Start == storage.Bootstrap && !slices.Contains(o.Voters, o.ID):
		return &errs.Invalid{Path: "$.Voters", Want: "a list that contains " + o.ID, Got: "a list without it"}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.Transport == nil {
		o.Transport = discardTransport{}
	}
	o.HeartbeatInterval = cmp.Or(o.HeartbeatInterval, defaultHeartbeat)
	o.ElectionTimeout = cmp.Or(o.ElectionTimeout, defaultElectionFactor*o.HeartbeatInterval)
	o.MaxClockDrift = cmp.Or(o.MaxClockDrift, o.ElectionTimeout/defaultDriftDivisor)
	o.SnapshotEvery = cmp.Or(o.SnapshotEvery, defaultSnapshotEvery)
	o.MaxBatch = cmp.Or(o.MaxBatch, defaultMaxBatch)
	o.RequestRingSize = cmp.Or(o.RequestRingSize, defaultRequestRingSize)
	o.MessageRingSize = cmp.Or(o.MessageRingSize, defaultMessageRingSize)
	o.Logger = o.Logger.With("group", o.Group, "replica", o.ID)
	return nil
}

// snapshotInterval returns the number of applied entries between two snapshots of a replica:
// minimum plus an offset of up to half of it that depends on the replica ID.
func snapshotInterval(minimum uint64, id string) uint64 {
	return minimum + xxhash.Sum64String(id)%max(minimum/2, 1)
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

type discardTransport struct{}

func (discardTransport) Send(string, []consensus.Message) {}

// Group is one replica of a consensus group.
type Group struct {
	opt      Options
	requests *kernel.Ring[*request]
	inbox    *kernel.Ring[consensus.Message]
	stopped  chan struct{}
	running  atomic.Bool

	// applyMu serializes access to the state machine by Run and View.
	applyMu sync.Mutex
	// published is the node state that other goroutines can read.
	published atomic.Pointer[publishedState]
	// rejected counts messages from peers whose node identity does not match the known one.
	rejected atomic.Uint64
	// misaddressed counts messages that are addressed to another replica.
	misaddressed atomic.Uint64

	replica // accessed only by Run, and by Open before it
}

// publishedState is a copy of the node's state after the last iteration of Run.
type publishedState struct {
	status     consensus.Status
	leaseUntil time.Time
	leaseOK    bool
	stalled    bool
}

// Open recovers the replica from its data directory. It does not process messages or requests
// until Run is called.
func Open(opt Options) (*Group, error) {
	if err := opt.normalize(); err != nil {
		return nil, err
	}
	g := &Group{
		opt:      opt,
		requests: kernel.NewRing[*request](opt.Group+"/requests", opt.RequestRingSize, kernel.Reject),
		inbox:    kernel.NewRing[consensus.Message](opt.Group+"/messages", opt.MessageRingSize, kernel.DropOldest),
		stopped:  make(chan struct{}),
	}
	if err := g.open(); err != nil {
		return nil, err
	}
	g.publish()
	return g, nil
}

// Run processes ticks, messages and requests until ctx is done or a fatal error occurs. It may
// be called only once.
func (g *Group) Run(ctx context.Context) error {
	if g.running.Swap(true) {
		return &errs.Conflict{Kind: "group", ID: g.opt.Group, Stored: "running", Received: "a second call of Run"}
	}
	ticks, stop := g.opt.Clock.Ticker(g.opt.HeartbeatInterval / 2)
	defer stop()
	defer g.close()
	for {
		if err := g.iterate(); err != nil {
			g.opt.Logger.Error("replica stopped", "error", err)
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case m := <-g.inbox.C():
			g.handleMessage(m)
		case r := <-g.requests.C():
			g.startRequest(r)
		}
	}
}

// Deliver queues messages received by the transport. It never blocks; when the ring is full,
// the oldest messages are dropped.
func (g *Group) Deliver(msgs []consensus.Message) {
	for _, m := range msgs {
		_ = g.inbox.Push(context.Background(), m) // cannot fail on a DropOldest ring
	}
}

// Propose replicates a command, waits until it is applied and returns the result of Apply. A
// failure with outcome not_run means that the command was not appended to the log or that its
// entry was replaced by another leader; with outcome unknown the command may still be applied.
func (g *Group) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	return g.submit(ctx, &request{kind: requestPropose, cmd: cmd})
}

// Barrier waits until this replica has applied every entry that was committed in the group
// before the call. It fails on a replica that is not the leader.
func (g *Group) Barrier(ctx context.Context) error {
	_, err := g.submit(ctx, &request{kind: requestBarrier})
	return err
}

// ChangeMember adds, promotes or removes one member and returns once the change is
// committed.
func (g *Group) ChangeMember(ctx context.Context, c consensus.ConfChange) error {
	_, err := g.submit(ctx, &request{kind: requestConfChange, change: c})
	return err
}

// TransferLeadership transfers leadership to the voter with the most up-to-date log and returns once
// this replica is no longer the leader.
func (g *Group) TransferLeadership(ctx context.Context) error {
	_, err := g.submit(ctx, &request{kind: requestTransfer})
	return err
}

// Bootstrap makes this replica an initial voter of its group. Options.Voters and Options.Start of later starts must say the same
// before the call. It has no effect on a replica that has a log.
func (g *Group) Bootstrap(ctx context.Context, voters []string) error {
	_, err := g.submit(ctx, &request{kind: requestBootstrap, voters: voters})
	return err
}

// View runs fn while no command is being applied. fn must not call methods of the group that
// block.
func (g *Group) View(fn func()) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	fn()
}

// Leader returns the leader and the term known to this replica.
func (g *Group) Leader() (id string, term uint64, known bool) {
	s := g.published.Load().status
	return s.Leader, s.Term, s.Leader != ""
}

// IsLeader reports whether this replica considers itself the leader. Another replica may
// already lead a newer term.
func (g *Group) IsLeader() bool { return g.published.Load().status.Role == consensus.Leader }

// Lease returns the time until which no other replica can hold the leader lease. ok is false
// if this replica holds none at now; see consensus.Node.Lease.
func (g *Group) Lease(now time.Time) (until time.Time, ok bool) {
	p := g.published.Load()
	if !p.leaseOK || !now.Before(p.leaseUntil) {
		return time.Time{}, false
	}
	return p.leaseUntil, true
}

// Status returns the consensus status of the replica.
func (g *Group) Status() consensus.Status { return g.published.Load().status }

// Health holds queue depths, counters of lost input and the disk state, for metrics.
type Health struct {
	RequestDepth, MessageDepth       int
	RequestsRefused, MessagesDropped uint64
	MessagesRejected                 uint64 // from peers with an unexpected node identity
	MessagesMisaddressed             uint64 // addressed to another replica
	Stalled                          bool   // the disk rejects writes
}

// Health returns the current health of the replica.
func (g *Group) Health() Health {
	p := g.published.Load()
	return Health{
		RequestDepth: g.requests.Depth(), MessageDepth: g.inbox.Depth(),
		RequestsRefused: g.requests.Dropped(), MessagesDropped: g.inbox.Dropped(),
		MessagesRejected: g.rejected.Load(), MessagesMisaddressed: g.misaddressed.Load(), Stalled: p.stalled,
	}
}
