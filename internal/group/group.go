// Package group runs one replica of a consensus group: it joins the consensus state machine
// with storage, a transport and a replicated state machine. One goroutine, Run, owns the
// replica; the other methods may be called from any goroutine.
//
// Proposals that arrive while a batch is being synced form the next batch, so that many
// proposals share one sync. Each committed command is applied once per log index in the
// life of a replica; after a restart the state machine is rebuilt from the last snapshot
// and the log.
//
// When the disk refuses a write because it is full, the replica stops taking part until a
// retry succeeds. Every other failure of the log ends Run.
package group

import (
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

// StateMachine is what the group replicates. Its methods are never called concurrently.
type StateMachine interface {
	// Apply executes a command. It must be deterministic.
	Apply(index uint64, cmd []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// StreamingStateMachine is implemented by state machines that may be large. Their snapshots are written and
// read piece by piece, without a copy of the state in memory.
type StreamingStateMachine interface {
	WriteSnapshot(w io.Writer) error
	ReadSnapshot(r io.Reader) error
}

// writeSnapshot writes the snapshot of a state machine.
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

// readSnapshot replaces the state of a state machine by a snapshot.
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

// Transport sends messages to peers. Send must not block; it may drop messages.
type Transport interface {
	Send(group string, msgs []consensus.Message)
}

// Clock is the source of time of a group.
type Clock interface {
	Now() time.Time
	// Ticker delivers ticks until stop is called.
	Ticker(interval time.Duration) (ticks <-chan time.Time, stop func())
}

// Options sets up a Group. Zero values of the tuning fields select the defaults below.
type Options struct {
	Group string
	ID    string
	// Voters are the initial voters; used only at a Bootstrap start.
	Voters []string
	// Start tells whether the data folder may be empty; see package storage.
	Start storage.StartMode
	FS    storage.FS
	Dir   string

	StateMachine StateMachine
	// Transport may be nil in a group with one voter.
	Transport Transport
	Clock     Clock // system clock when nil
	Rand      *rand.Rand
	Logger    *slog.Logger

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration // ten heartbeat intervals
	MaxClockDrift     time.Duration // a tenth of ElectionTimeout
	// SnapshotEvery is the least number of applied entries between two snapshots. Each replica
	// adds up to half of it, so that not all of them are busy with theirs at the same time.
	SnapshotEvery uint64
	MaxBatch      int // proposals that share one sync
	RequestRing   int // waiting proposals and barriers; a full ring refuses
	MessageRing   int // received messages; a full ring drops the oldest
	SegmentBytes  int64
	NewNodeID     func() string
}

const (
	defaultHeartbeat      = 100 * time.Millisecond
	defaultElectionFactor = 10
	defaultDriftDivisor   = 10
	defaultSnapshotEvery  = 4096
	defaultMaxBatch       = 1024
	defaultRequestRing    = 4096
	defaultMessageRing    = 1024
)

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (o *Options) fill() error {
	switch {
	case o.FS == nil:
		return &errs.Invalid{Path: "$.FS", Want: "a file system", Got: "nil"}
	case o.StateMachine == nil:
		return &errs.Invalid{Path: "$.StateMachine", Want: "a state machine", Got: "nil"}
	case o.Start == storage.Bootstrap && !slices.Contains(o.Voters, o.ID):
		return &errs.Invalid{Path: "$.Voters", Want: "a list that contains " + o.ID, Got: "others"}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.Transport == nil {
		o.Transport = noTransport{}
	}
	orDefault(&o.HeartbeatInterval, defaultHeartbeat)
	orDefault(&o.ElectionTimeout, defaultElectionFactor*o.HeartbeatInterval)
	orDefault(&o.MaxClockDrift, o.ElectionTimeout/defaultDriftDivisor)
	orDefault(&o.SnapshotEvery, defaultSnapshotEvery)
	orDefault(&o.MaxBatch, defaultMaxBatch)
	orDefault(&o.RequestRing, defaultRequestRing)
	orDefault(&o.MessageRing, defaultMessageRing)
	o.Logger = o.Logger.With("group", o.Group, "replica", o.ID)
	return nil
}

// snapshotInterval returns the number of applied entries between two snapshots of a replica.
func snapshotInterval(every uint64, id string) uint64 {
	return every + xxhash.Sum64String(id)%max(every/2, 1)
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) Ticker(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTicker(d)
	return t.C, t.Stop
}

type noTransport struct{}

func (noTransport) Send(string, []consensus.Message) {}

// Group is one replica of a consensus group.
type Group struct {
	opt      Options
	requests *kernel.Ring[*request]
	inbox    *kernel.Ring[consensus.Message]
	stopped  chan struct{}
	running  atomic.Bool

	// apply serializes the state machine between Run and View.
	apply sync.Mutex
	// published is what other goroutines may know about the node.
	published atomic.Pointer[published]
	rejected  atomic.Uint64
	// misaddressed counts messages for another replica than this one.
	misaddressed atomic.Uint64

	replica // owned by Run
}

// published is a copy of the node's state after the last turn of Run.
type published struct {
	status     consensus.Status
	leaseUntil time.Time
	leaseOK    bool
	stalled    bool
}

// Open recovers the replica from its data folder. The replica takes part once Run is called.
func Open(opt Options) (*Group, error) {
	if err := opt.fill(); err != nil {
		return nil, err
	}
	g := &Group{
		opt:      opt,
		requests: kernel.NewRing[*request](opt.Group+"/requests", opt.RequestRing, kernel.Refuse),
		inbox:    kernel.NewRing[consensus.Message](opt.Group+"/messages", opt.MessageRing, kernel.DropOldest),
		stopped:  make(chan struct{}),
	}
	if err := g.open(); err != nil {
		return nil, err
	}
	g.publish()
	return g, nil
}

// Run operates the replica until ctx ends. It may be called once.
func (g *Group) Run(ctx context.Context) error {
	if g.running.Swap(true) {
		return &errs.Conflict{Kind: "group", ID: g.opt.Group, Have: "running", Got: "a second Run"}
	}
	ticks, stop := g.opt.Clock.Ticker(g.opt.HeartbeatInterval / 2)
	defer stop()
	defer g.close()
	for {
		if err := g.turn(); err != nil {
			g.opt.Logger.Error("replica stopped", "error", err)
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case m := <-g.inbox.C():
			g.receive(m)
		case r := <-g.requests.C():
			g.take(r)
		}
	}
}

// Deliver hands over messages from the transport. It never blocks; when the ring is full,
// the oldest messages are dropped.
func (g *Group) Deliver(msgs []consensus.Message) {
	for _, m := range msgs {
		_ = g.inbox.Push(context.Background(), m) // a DropOldest ring never fails
	}
}

// Propose commits and applies a command and returns the result of Apply. A failure with
// outcome not_run means that the command was not appended to the log or lost its place to
// another leader's entry; a failure with outcome unknown means that it may be applied.
func (g *Group) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	return g.submit(ctx, &request{kind: requestPropose, cmd: cmd})
}

// Barrier returns once everything that was committed in the group before the call is
// applied to this replica's state machine. Only the leader can answer.
func (g *Group) Barrier(ctx context.Context) error {
	_, err := g.submit(ctx, &request{kind: requestBarrier})
	return err
}

// ChangeMember changes the membership by one member and returns once the change is
// committed.
func (g *Group) ChangeMember(ctx context.Context, c consensus.ConfChange) error {
	_, err := g.submit(ctx, &request{kind: requestChange, change: c})
	return err
}

// TransferLeadership hands the leadership to the voter with the most complete log and returns once
// this replica no longer leads.
func (g *Group) TransferLeadership(ctx context.Context) error {
	_, err := g.submit(ctx, &request{kind: requestTransfer})
	return err
}

// View runs fn serialized with Apply. It must not call other methods of the group that wait.
func (g *Group) View(fn func()) {
	g.apply.Lock()
	defer g.apply.Unlock()
	fn()
}

// Leader returns the leader that this replica knows of and the term.
func (g *Group) Leader() (id string, term uint64, known bool) {
	s := g.published.Load().status
	return s.Leader, s.Term, s.Leader != ""
}

// IsLeader reports whether this replica leads, as far as it knows.
func (g *Group) IsLeader() bool { return g.published.Load().status.Role == consensus.Leader }

// Lease returns the time until which no other replica can hold a lease; see
// consensus.Node.Lease.
func (g *Group) Lease(now time.Time) (until time.Time, ok bool) {
	p := g.published.Load()
	if !p.leaseOK || !now.Before(p.leaseUntil) {
		return time.Time{}, false
	}
	return p.leaseUntil, true
}

// Status describes the replica.
func (g *Group) Status() consensus.Status { return g.published.Load().status }

// Health describes the replica's rings and faults for metrics.
type Health struct {
	RequestDepth, MessageDepth    int
	RequestsRefused, MessagesLost uint64
	MessagesRejected              uint64 // from peers with another node identity
	MessagesMisaddressed          uint64 // for another replica at this address
	Stalled                       bool   // the disk refuses writes
}

// Health returns ring depths, drops and faults.
func (g *Group) Health() Health {
	p := g.published.Load()
	return Health{
		RequestDepth: g.requests.Depth(), MessageDepth: g.inbox.Depth(),
		RequestsRefused: g.requests.Dropped(), MessagesLost: g.inbox.Dropped(),
		MessagesRejected: g.rejected.Load(), MessagesMisaddressed: g.misaddressed.Load(), Stalled: p.stalled,
	}
}
