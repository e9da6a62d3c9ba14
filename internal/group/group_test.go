package group

import (
	"bytes"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
	"fuchsiaflow/storage/faultfs"
)

// register is a state machine that keeps the applied commands.
type register struct {
	commands [][]byte
	indexes  []uint64
}

func (r *register) Apply(index uint64, cmd []byte) []byte {
	r.commands, r.indexes = append(r.commands, cmd), append(r.indexes, index)
	return binary.AppendUvarint(nil, uint64(len(r.commands)))
}

func (r *register) Snapshot() ([]byte, error) { return bytes.Join(r.commands, []byte{0}), nil }

func (r *register) Restore(b []byte) error {
	r.commands, r.indexes = nil, nil
	if len(b) > 0 {
		r.commands = bytes.Split(b, []byte{0})
	}
	return nil
}

// mesh delivers messages between the replicas of a test.
type mesh struct {
	mu     sync.Mutex
	groups map[string]*Group
	cut    map[string]bool
	// limit is the size of commands and snapshots above which a message is lost; 0 for none.
	limit int
	// lose tells of a message that is lost; nil loses none.
	lose func(consensus.Message) bool
}

// interfere changes limit or lose while the replicas run.
func (n *mesh) interfere(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// lost is called with the lock.
func (n *mesh) lost(m consensus.Message) bool {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return n.limit > 0 && size > n.limit || n.lose != nil && n.lose(m)
}

func (n *mesh) Send(_ string, msgs []consensus.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range msgs {
		if to := n.groups[m.To]; to != nil && !n.cut[m.From] && !n.cut[m.To] && !n.lost(m) {
			to.Deliver([]consensus.Message{m})
		}
	}
}

func (n *mesh) isolate(id string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = cut
}

type replicaUnderTest struct {
	*Group
	sm   *register
	fs   *faultfs.FS
	stop func() error
}

type bench struct {
	t    testing.TB
	net  *mesh
	seed uint64
}

// newBench must be called inside a synctest bubble, with the t of the bubble.
func newBench(t testing.TB) *bench {
	return &bench{t: t, net: &mesh{groups: map[string]*Group{}, cut: map[string]bool{}}}
}

func (b *bench) options(id string, fs storage.FS, start storage.StartMode, voters []string) (Options, *register) {
	sm := &register{}
	b.seed++
	return Options{Group: "g", ID: id, Voters: voters, Start: start, FS: fs, Dir: "data", StateMachine: sm,
		Transport: b.net, Rand: rand.New(rand.NewPCG(b.seed, 1)), SnapshotEvery: 50, SegmentBytes: 4096}, sm
}

func (b *bench) start(id string, fs *faultfs.FS, start storage.StartMode, voters ...string) *replicaUnderTest {
	b.t.Helper()
	opt, sm := b.options(id, fs, start, voters)
	g, err := Open(opt)
	if err != nil {
		b.t.Fatal(err)
	}
	b.net.mu.Lock()
	b.net.groups[id] = g
	b.net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	return &replicaUnderTest{g, sm, fs, sync.OnceValue(func() error { cancel(); return <-ended })}
}

func (b *bench) three() []*replicaUnderTest {
	var rs []*replicaUnderTest
	for _, id := range []string{"a", "b", "c"} {
		r := b.start(id, faultfs.New(nil), storage.Bootstrap, "a", "b", "c")
		b.t.Cleanup(func() { _ = r.stop() })
		rs = append(rs, r)
	}
	return rs
}

func leaderOf(rs []*replicaUnderTest) (leader *replicaUnderTest, others []*replicaUnderTest) {
	for _, r := range rs {
		if r.IsLeader() {
			leader = r
		} else {
			others = append(others, r)
		}
	}
	return leader, others
}

const settleTime = 5 * time.Second

// newLedBench returns a bench with three replicas, of which one leads.
func newLedBench(t *testing.T) (b *bench, leader *replicaUnderTest, others []*replicaUnderTest) {
	t.Helper()
	b = newBench(t)
	rs := b.three()
	time.Sleep(settleTime)
	leader, others = leaderOf(rs)
	return b, leader, others
}

// Guards against a group of one voter that needs a transport or waits for an election, and
// against losing acknowledged commands at a restart.
func TestOneVoterElectsItselfAndSurvivesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, fs := newBench(t), faultfs.New(nil)
		r := b.start("a", fs, storage.Bootstrap, "a")
		for range 130 {
			if _, err := r.Propose(t.Context(), []byte("x")); err != nil {
				t.Fatal(err)
			}
		}
		if _, ok := r.Lease(time.Now()); !ok {
			t.Error("the first leader of a new group has no lease")
		}
		_ = r.stop()
		fs.Crash()
		r = b.start("a", fs, storage.Existing)
		defer func() { _ = r.stop() }()
		if err := r.Barrier(t.Context()); err != nil {
			t.Fatal(err)
		}
		r.View(func() {
			if len(r.sm.commands) != 130 {
				t.Errorf("%d commands after restart, want 130", len(r.sm.commands))
			}
		})
	})
}

// Guards against losing progress when the leader is cut off, against an isolated leader that
// keeps its lease, and against a replica that does not catch up.
func TestLeaderIsolationAndCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, old, others := newLedBench(t)
		if _, err := old.Propose(t.Context(), []byte("1")); err != nil {
			t.Fatal(err)
		}
		b.net.isolate(old.opt.ID, true)
		ctx, cancel := context.WithTimeout(t.Context(), settleTime)
		defer cancel()
		if _, err := old.Propose(ctx, []byte("lost")); errs.OutcomeOf(err) != errs.Unknown {
			t.Errorf("proposal on an isolated leader: %v, want outcome unknown", err)
		}
		time.Sleep(settleTime)
		if _, ok := old.Lease(time.Now()); ok {
			t.Error("an isolated leader still has a lease")
		}
		leader, _ := leaderOf(others)
		if leader == nil {
			t.Fatalf("no leader among %+v and %+v", others[0].Status(), others[1].Status())
		}
		for range 400 {
			if _, err := leader.Propose(t.Context(), []byte("2")); err != nil {
				t.Fatal(err)
			}
		}
		b.net.isolate(old.opt.ID, false)
		time.Sleep(settleTime)
		old.View(func() {
			if len(old.sm.commands) != 401 {
				t.Errorf("%d commands after catching up, want 401", len(old.sm.commands))
			}
		})
		if _, err := old.Propose(t.Context(), nil); errs.OutcomeOf(err) != errs.NotRun {
			t.Errorf("proposal on a follower: %v, want outcome not_run", err)
		}
	})
}

// Guards against a transfer that does not move the leadership, and against a promotion or
// removal that leaves the group unable to commit.
func TestTransferAndMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, old, others := newLedBench(t)
		if err := old.TransferLeadership(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settleTime)
		leader, _ := leaderOf(others)
		d := b.start("d", faultfs.New(nil), storage.Join)
		defer func() { _ = d.stop() }()
		change := func(kind consensus.ConfChangeType, id string) {
			if err := leader.ChangeMember(t.Context(), consensus.ConfChange{Type: kind, ID: id}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(settleTime)
		}
		change(consensus.AddLearner, "d")
		change(consensus.Promote, "d")
		change(consensus.Remove, old.opt.ID)
		_ = old.stop()
		if _, err := leader.Propose(t.Context(), []byte("x")); err != nil {
			t.Fatal(err)
		}
		if got := d.Status().Voters; len(got) != 3 {
			t.Errorf("voters = %v, want three", got)
		}
	})
}

// Guards against one sync per command, and against two commands with one log index.
func TestConcurrentProposalsShareSyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, fs := newBench(t), faultfs.New(nil)
		opt, sm := b.options("a", fs, storage.Bootstrap, []string{"a"})
		r, err := Open(opt)
		if err != nil {
			t.Fatal(err)
		}
		const proposals = 40 // below SnapshotEvery, which adds syncs
		before := fs.Syncs()
		var wg sync.WaitGroup
		for range proposals {
			wg.Go(func() {
				if _, err := r.Propose(t.Context(), []byte("x")); err != nil {
					t.Error(err)
				}
			})
		}
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		wg.Wait()
		cancel()
		<-ended
		if got := fs.Syncs() - before; got > proposals/4 {
			t.Errorf("%d syncs for %d concurrent proposals", got, proposals)
		}
		for i := 1; i < len(sm.indexes); i++ {
			if sm.indexes[i] <= sm.indexes[i-1] {
				t.Errorf("index %d applied after %d", sm.indexes[i], sm.indexes[i-1])
			}
		}
	})
}

// Guards against losing acknowledged commands or dying on a full disk, and against a claim
// that a command did not run when it may be in the log.
func TestFullDiskPausesAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, fs := newBench(t), faultfs.New(nil)
		r := b.start("a", fs, storage.Bootstrap, "a")
		if _, err := r.Propose(t.Context(), []byte("1")); err != nil {
			t.Fatal(err)
		}
		fs.SetCapacity(fs.Used() + 10)
		if _, err := r.Propose(t.Context(), []byte("2")); errs.OutcomeOf(err) != errs.Unknown {
			t.Errorf("command in a refused append: %v, want outcome unknown", err)
		}
		if _, err := r.Propose(t.Context(), []byte("3")); errs.CodeOf(err) != errs.CodeOverloaded || errs.OutcomeOf(err) != errs.NotRun {
			t.Errorf("command on a full disk: %v, want overloaded and not_run", err)
		}
		if !r.Health().Stalled {
			t.Error("a full disk is not reported")
		}
		fs.SetCapacity(0)
		time.Sleep(settleTime)
		if _, err := r.Propose(t.Context(), []byte("4")); err != nil {
			t.Fatal(err)
		}
		_ = r.stop()
		if got := string(bytes.Join(r.sm.commands, nil)); got != "124" {
			t.Errorf("applied %q, want 124", got)
		}
	})
}

// Guards against a replica that goes on after a failed sync, and against a command in the
// failed batch that is reported as not run.
func TestFailedSyncStopsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, fs := newBench(t), faultfs.New(nil)
		r := b.start("a", fs, storage.Bootstrap, "a")
		synctest.Wait()
		fs.FailSyncs(1)
		if _, err := r.Propose(t.Context(), []byte("1")); errs.OutcomeOf(err) != errs.Unknown {
			t.Errorf("command in a failed sync: %v, want outcome unknown", err)
		}
		if err := r.stop(); errs.CodeOf(err) != errs.CodeUnavailable {
			t.Errorf("Run returned %v, want unusable", err)
		}
		if _, err := r.Propose(t.Context(), []byte("2")); errs.OutcomeOf(err) != errs.NotRun {
			t.Errorf("command to a stopped replica: %v, want outcome not_run", err)
		}
	})
}

// Guards against a voter that lost its disk and votes under its old name, whether or not
// the bootstrap setting was left on.
func TestLostDiskDoesNotVote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, leader, others := newLedBench(t)
		victim := others[0]
		_ = victim.stop()
		victim.fs.Lose()
		opt, _ := b.options(victim.opt.ID, victim.fs, storage.Existing, nil)
		if _, err := Open(opt); errs.CodeOf(err) != errs.CodeNotFound {
			t.Errorf("open of an empty folder: %v, want disk lost", err)
		}
		again := b.start(victim.opt.ID, victim.fs, storage.Bootstrap, "a", "b", "c")
		time.Sleep(settleTime)
		if err := again.stop(); errs.CodeOf(err) != errs.CodeConflict {
			t.Errorf("Run of a replica with a new identity returned %v, want identity refused", err)
		}
		if _, err := leader.Propose(t.Context(), []byte("x")); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a log that grows without bound, and against a caller that gave up whose
// command runs although it was told not_run.
func TestLogIsBoundedAndCancelledCommandsDoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		opt, sm := b.options("a", faultfs.New(nil), storage.Bootstrap, []string{"a"})
		g, err := Open(opt)
		if err != nil {
			t.Fatal(err)
		}
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := g.Propose(gone, []byte("cancelled")); errs.OutcomeOf(err) != errs.NotRun {
			t.Errorf("cancelled command: %v, want outcome not_run", err)
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- g.Run(ctx) }()
		for range 1000 {
			if _, err := g.Propose(t.Context(), make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if len(sm.commands) != 1000 || g.log.Segments() > 4 {
			t.Errorf("%d commands applied, %d segments kept", len(sm.commands), g.log.Segments())
		}
	})
}

// BenchmarkCommit compares group commit with one sync per commit on the operating system's
// files.
func BenchmarkCommit(b *testing.B) {
	for name, maxBatch := range map[string]int{"group": 0, "single": 1} {
		b.Run(name, func(b *testing.B) {
			bench := newBench(b)
			opt, _ := bench.options("a", storage.OS{}, storage.Bootstrap, []string{"a"})
			opt.Dir, opt.MaxBatch, opt.SnapshotEvery, opt.SegmentBytes = b.TempDir(), maxBatch, 1<<20, 0
			g, err := Open(opt)
			if err != nil {
				b.Fatal(err)
			}
			ctx, cancel := context.WithCancel(b.Context())
			ended := make(chan error)
			go func() { ended <- g.Run(ctx) }()
			b.SetParallelism(16)
			cmd := make([]byte, 200)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := g.Propose(ctx, cmd); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			cancel()
			<-ended
		})
	}
}

// Guards against a new replica at the address of a lost one that stops because the messages for
// the lost one, with that one's identity, still arrive there.
func TestMessagesForTheEarlierReplicaAtAnAddressAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, leader, others := newLedBench(t)
		victim := others[0]
		_ = victim.stop()
		again := b.start("new", faultfs.New(nil), storage.Join)
		b.net.mu.Lock()
		b.net.groups[victim.opt.ID] = again.Group
		b.net.mu.Unlock()
		time.Sleep(settleTime)
		if err := leader.ChangeMember(t.Context(), consensus.ConfChange{Type: consensus.AddLearner, ID: "new"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settleTime)
		if err := again.stop(); err != nil {
			t.Errorf("the new replica ended with %v", err)
		}
		if have, want := again.Status().Commit, leader.Status().Commit; have != want {
			t.Errorf("the new replica knows %d committed entries of %d", have, want)
		}
	})
}

// Guards against replicas that all encode and store their snapshots at the same entry, which
// leaves a group without a majority that answers for that time.
func TestReplicasTakeSnapshotsAtDifferentTimes(t *testing.T) {
	seen := make(map[uint64]string)
	for _, id := range []string{"10.1.0.33~first", "10.2.0.63~first", "10.3.0.43~first", "10.4.0.34~de97465add8b", "10.1.0.34~ba2fbd333fa3"} {
		n := snapshotInterval(10_000, id)
		if n < 10_000 || n >= 15_000 {
			t.Errorf("replica %s takes one every %d entries", id, n)
		}
		if other, ok := seen[n/100]; ok {
			t.Errorf("replicas %s and %s take theirs within 100 entries", id, other)
		}
		seen[n/100] = id
	}
}
