package storage_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
	"fuchsiaflow/storage/faultfs"
)

// FUCHSIAFLOW_FUZZ_CHECKS sets the number of random runs, FUCHSIAFLOW_FUZZ_SEED their seed.
func TestMain(m *testing.M) {
	flag.Parse()
	for flagName, variable := range map[string][2]string{"rapid.seed": {"FUCHSIAFLOW_FUZZ_SEED", "1"},
		"rapid.checks": {"FUCHSIAFLOW_FUZZ_CHECKS", "200"}} {
		if value, ok := os.LookupEnv(variable[0]); ok {
			variable[1] = value
		}
		_ = flag.Set(flagName, variable[1])
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	os.Exit(m.Run())
}

// logState is the content that a recovered log must have.
type logState struct {
	HardState []byte
	Snapshot  storage.SnapshotMeta
	Entries   []storage.Entry
}

func (s logState) withBatch(b storage.Batch) logState {
	if b.HardState != nil {
		s.HardState = b.HardState
	}
	if len(b.Entries) > 0 {
		kept := b.Entries[0].Index - s.Snapshot.Index - 1
		s.Entries = slices.Concat(s.Entries[:kept], b.Entries)
	}
	return s
}

func (s logState) lastIndex() uint64 { return s.Snapshot.Index + uint64(len(s.Entries)) }

func (s logState) withSnapshot(m storage.SnapshotMeta) logState {
	if i := int(m.Index - s.Snapshot.Index); i <= len(s.Entries) && s.Entries[i-1].Term == m.Term {
		s.Entries = slices.Clone(s.Entries[i:])
	} else {
		s.Entries = nil
	}
	s.Snapshot = m
	return s
}

// faultyLog is a log on a faulty disk, with the states that are allowed after a restart. More than
// one is allowed after an operation with an unknown outcome.
type faultyLog struct {
	fs      *faultfs.FS
	log     *storage.Log
	allowed []logState
	term    uint64
}

func options(start storage.StartMode) storage.Options {
	return storage.Options{Group: "g", Voter: "v", Start: start, SegmentBytes: 600,
		InitialBatch: storage.Batch{HardState: []byte("first")}, NewNodeID: func() string { return "n" }}
}

// reopen recovers the log. It returns the error or the difference from the allowed states, or "".
func (l *faultyLog) reopen(start storage.StartMode) string {
	log, recovered, err := storage.Open(l.fs, "d", options(start))
	if err != nil {
		return err.Error()
	}
	got := logState{recovered.HardState, recovered.Snapshot, recovered.Entries}
	diff := ""
	for _, c := range l.allowed {
		if reflect.DeepEqual(c, got) || reflect.DeepEqual(c, logState{got.HardState, got.Snapshot, []storage.Entry{}}) && len(got.Entries) == 0 {
			l.log, l.allowed = log, []logState{got}
			return ""
		}
		diff += cmp.Diff(c, got)
	}
	return diff
}

func newFaultyLog(seed uint64) *faultyLog {
	l := &faultyLog{fs: faultfs.New(rand.New(rand.NewPCG(seed, 1))), allowed: []logState{{HardState: []byte("first")}}, term: 1}
	if diff := l.reopen(storage.Bootstrap); diff != "" {
		panic(diff)
	}
	return l
}

// recordResult updates the allowed states after an operation that changes the log to next. It returns
// an error that the injected faults do not explain.
func (l *faultyLog) recordResult(next logState, err error) error {
	switch {
	case err == nil:
		l.allowed = []logState{next}
	case errs.OutcomeOf(err) == errs.Unknown:
		l.allowed = append(l.allowed, next)
	case errs.CodeOf(err) != errs.CodeOverloaded && errs.CodeOf(err) != errs.CodeUnavailable:
		return err
	}
	return nil
}

// randomStep runs a random operation or injects a random fault.
func (l *faultyLog) randomStep(r *rand.Rand) error {
	current := l.allowed[0]
	switch r.IntN(8) {
	default:
		l.term += r.Uint64N(2)
		b := storage.Batch{}
		if r.IntN(3) == 0 {
			b.HardState = fmt.Appendf(nil, "state %d", r.Uint32())
		}
		first := current.lastIndex() + 1
		if back := uint64(r.IntN(4)); r.IntN(4) == 0 && back <= uint64(len(current.Entries)) {
			first -= back
		}
		for i := range uint64(r.IntN(4)) {
			b.Entries = append(b.Entries, storage.Entry{Index: first + i, Term: l.term, Data: bytes.Repeat([]byte{byte(r.IntN(3))}, r.IntN(900))})
		}
		return l.recordResult(current.withBatch(b), l.log.Append(b))
	case 4:
		m := storage.SnapshotMeta{Index: current.Snapshot.Index + 1 + r.Uint64N(uint64(len(current.Entries))+3), Term: l.term, Extra: []byte("x")}
		if i := int(m.Index - current.Snapshot.Index); i <= len(current.Entries) && r.IntN(3) > 0 {
			m.Term = current.Entries[i-1].Term
		}
		return l.recordResult(current.withSnapshot(m), l.log.Snapshot(m, []byte("data")))
	case 5:
		l.fs.FailSyncs(1)
	case 6:
		l.fs.SetCapacity(l.fs.Used() + r.Int64N(1500))
	case 7:
		l.fs.Crash()
		if diff := l.reopen(storage.Existing); diff != "" {
			return &errs.Corrupt{What: "recovered log", Detail: diff}
		}
	}
	return nil
}

// Guards against losing acknowledged data and against recovering data that was never written, after
// crashes, torn writes, failed syncs and full disks.
func TestLogUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		l, r := newFaultyLog(seed), rand.New(rand.NewPCG(seed, 2))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if err := l.randomStep(r); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a TestLogUnderFaults that cannot fail: it must detect a disk that ignores syncs.
func TestLostSyncsAreDetected(t *testing.T) {
	l, r := newFaultyLog(1), rand.New(rand.NewPCG(1, 2))
	l.fs.IgnoreSyncs(true)
	for range 200 {
		if err := l.randomStep(r); err != nil {
			return
		}
	}
	t.Error("the loss of acknowledged data was not detected")
}

// Guards against returning corrupted data, and against treating corrupted acknowledged data as a torn
// tail: Open must fail with errs.Corrupt for every flipped bit.
func TestFlippedBitsAreDetected(t *testing.T) {
	build := func() *faultyLog {
		l, r := newFaultyLog(3), rand.New(rand.NewPCG(3, 2))
		for range 12 {
			b := storage.Batch{Entries: []storage.Entry{{Index: l.allowed[0].lastIndex() + 1, Term: 1, Data: make([]byte, r.IntN(700))}}}
			if err := l.recordResult(l.allowed[0].withBatch(b), l.log.Append(b)); err != nil {
				t.Fatal(err)
			}
		}
		m := storage.SnapshotMeta{Index: 6, Term: 1, Extra: []byte("x")}
		if err := l.recordResult(l.allowed[0].withSnapshot(m), l.log.Snapshot(m, []byte("data"))); err != nil {
			t.Fatal(err)
		}
		return l
	}
	names, _ := build().fs.ReadDir("d")
	flips := 0
	for _, name := range names {
		b, _ := build().fs.ReadFile("d/" + name)
		for bit := 0; bit < 8*len(b); bit += 41 { // 41 is coprime to 8, so that all bit positions in a byte occur
			l := build()
			l.fs.FlipBit("d/"+name, int64(bit))
			_, _, err := storage.Open(l.fs, "d", options(storage.Existing))
			if flips++; errs.CodeOf(err) != errs.CodeCorrupt {
				t.Errorf("bit %d of %s: error %v, want corrupt", bit, name, err)
			}
		}
	}
	t.Logf("%d flipped bits in %d files tested", flips, len(names))
}

// Guards against a voter that votes after it lost its data, and against using the directory of another
// replica.
func TestIdentity(t *testing.T) {
	l := newFaultyLog(1)
	if err := l.log.RememberPeer("p", "n1"); err != nil {
		t.Fatal(err)
	}
	if l.fs.Crash(); l.reopen(storage.Existing) != "" {
		t.Fatal("the log was not recovered")
	}
	if err := l.log.RememberPeer("p", "n2"); errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("peer with another identity: %v, want a conflict", err)
	}
	other := options(storage.Existing)
	other.Voter = "w"
	if _, _, err := storage.Open(l.fs, "d", other); errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("directory of another voter: %v, want a conflict", err)
	}
	if err := l.fs.Remove("d/identity"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := storage.Open(l.fs, "d", options(storage.Bootstrap)); errs.CodeOf(err) != errs.CodeCorrupt {
		t.Errorf("directory without its identity: %v, want corrupt", err)
	}
	l.fs.LoseDisk()
	if _, _, err := storage.Open(l.fs, "d", options(storage.Existing)); errs.CodeOf(err) != errs.CodeNotFound {
		t.Errorf("empty directory: %v, want disk lost", err)
	}
}

// Guards against a first start that cannot be repeated after an interruption, or that counts as
// complete before its data is durable.
func TestInterruptedFirstStart(t *testing.T) {
	for failAt := 1; ; failAt++ {
		fs := faultfs.New(nil)
		fs.FailSyncAfter(failAt)
		if _, _, err := storage.Open(fs, "d", options(storage.Bootstrap)); err == nil {
			return // every sync of a first start has failed once
		}
		fs.Crash()
		l := &faultyLog{fs: fs, allowed: []logState{{HardState: []byte("first")}}}
		if diff := l.reopen(storage.Bootstrap); diff != "" {
			t.Fatalf("after sync %d failed: %s", failAt, diff)
		}
	}
}

func BenchmarkAppend(b *testing.B) {
	for _, size := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			log, _, err := storage.Open(storage.OS{}, b.TempDir(), storage.Options{Group: "g", Voter: "v", Start: storage.Bootstrap})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = log.Close() }()
			batch := storage.Batch{Entries: make([]storage.Entry, size)}
			index := uint64(0)
			for b.Loop() {
				for i := range batch.Entries {
					index++
					batch.Entries[i] = storage.Entry{Index: index, Term: 1, Data: make([]byte, 200)}
				}
				if err := log.Append(batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(index), "ns/entry")
		})
	}
}
