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
}

func (n *mesh) Send(_ string, msgs []consensus.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range msgs {
		if to := n.groups[m.To]; to != nil && !n.cut[m.From] && !n.cut[m.To] {
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
		b := newBench(t)
		rs := b.three()
		time.Sleep(settleTime)
		old, others := leaderOf(rs)
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
		b := newBench(t)
		rs := b.three()
		time.Sleep(settleTime)
		old, others := leaderOf(rs)
		if err := old.Transfer(t.Context()); err != nil {
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
