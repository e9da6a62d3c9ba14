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

// FUCHSIAFLOW_FUZZ_CHECKS and FUCHSIAFLOW_FUZZ_SEED select longer runs and other seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, v := range map[string][2]string{"rapid.seed": {"FUCHSIAFLOW_FUZZ_SEED", "1"},
		"rapid.checks": {"FUCHSIAFLOW_FUZZ_CHECKS", "200"}} {
		if set, ok := os.LookupEnv(v[0]); ok {
			v[1] = set
		}
		_ = flag.Set(name, v[1])
	}
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "5s")
	os.Exit(m.Run())
}

// content is what a log must return.
type content struct {
	HardState []byte
	Snapshot  storage.SnapshotMeta
	Entries   []storage.Entry
}

func (c content) append(b storage.Batch) content {
	if b.HardState != nil {
		c.HardState = b.HardState
	}
	if len(b.Entries) > 0 {
		keep := b.Entries[0].Index - c.Snapshot.Index - 1
		c.Entries = slices.Concat(c.Entries[:keep], b.Entries)
	}
	return c
}

func (c content) last() uint64 { return c.Snapshot.Index + uint64(len(c.Entries)) }

func (c content) snapshot(m storage.SnapshotMeta) content {
	if i := int(m.Index - c.Snapshot.Index); i <= len(c.Entries) && c.Entries[i-1].Term == m.Term {
		c.Entries = slices.Clone(c.Entries[i:])
	} else {
		c.Entries = nil
	}
	c.Snapshot = m
	return c
}

// disk is a log on a faulty disk, with the contents that are allowed after a restart. More
// than one is allowed after an operation with an unknown outcome.
type disk struct {
	fs      *faultfs.FS
	log     *storage.Log
	allowed []content
	term    uint64
}

func options(start storage.StartMode) storage.Options {
	return storage.Options{Group: "g", Voter: "v", Start: start, SegmentBytes: 600,
		First: storage.Batch{HardState: []byte("first")}, NewNodeID: func() string { return "n" }}
}

// open recovers the log and returns a description of a difference to what is allowed.
func (d *disk) open(start storage.StartMode) string {
	log, r, err := storage.Open(d.fs, "d", options(start))
	if err != nil {
		return err.Error()
	}
	got := content{r.HardState, r.Snapshot, r.Entries}
	diff := ""
	for _, c := range d.allowed {
		if reflect.DeepEqual(c, got) || reflect.DeepEqual(c, content{got.HardState, got.Snapshot, []storage.Entry{}}) && len(got.Entries) == 0 {
			d.log, d.allowed = log, []content{got}
			return ""
		}
		diff += cmp.Diff(c, got)
	}
	return diff
}

func newDisk(seed uint64) *disk {
	d := &disk{fs: faultfs.New(rand.New(rand.NewPCG(seed, 1))), allowed: []content{{HardState: []byte("first")}}, term: 1}
	if diff := d.open(storage.Bootstrap); diff != "" {
		panic(diff)
	}
	return d
}

// did notes the result of an operation that changes the content to next.
func (d *disk) did(next content, err error) error {
	switch {
	case err == nil:
		d.allowed = []content{next}
	case errs.OutcomeOf(err) == errs.Unknown:
		d.allowed = append(d.allowed, next)
	case errs.CodeOf(err) != errs.CodeOverloaded && errs.CodeOf(err) != errs.CodeUnavailable:
		return err
	}
	return nil
}

func (d *disk) step(r *rand.Rand) error {
	now := d.allowed[0]
	switch r.IntN(8) {
	default:
		d.term += r.Uint64N(2)
		b := storage.Batch{}
		if r.IntN(3) == 0 {
			b.HardState = fmt.Appendf(nil, "state %d", r.Uint32())
		}
		first := now.last() + 1
		if back := uint64(r.IntN(4)); r.IntN(4) == 0 && back <= uint64(len(now.Entries)) {
			first -= back
		}
		for i := range uint64(r.IntN(4)) {
			b.Entries = append(b.Entries, storage.Entry{Index: first + i, Term: d.term, Data: bytes.Repeat([]byte{byte(r.IntN(3))}, r.IntN(900))})
		}
		return d.did(now.append(b), d.log.Append(b))
	case 4:
		m := storage.SnapshotMeta{Index: now.Snapshot.Index + 1 + r.Uint64N(uint64(len(now.Entries))+3), Term: d.term, Extra: []byte("x")}
		if i := int(m.Index - now.Snapshot.Index); i <= len(now.Entries) && r.IntN(3) > 0 {
			m.Term = now.Entries[i-1].Term
		}
		return d.did(now.snapshot(m), d.log.Snapshot(m, []byte("data")))
	case 5:
		d.fs.FailSyncs(1)
	case 6:
		d.fs.SetCapacity(d.fs.Used() + r.Int64N(1500))
	case 7:
		d.fs.Crash()
		if diff := d.open(storage.Existing); diff != "" {
			return &errs.Corrupt{What: "recovered log", Detail: diff}
		}
	}
	return nil
}

// Guards against losing acknowledged data, and against inventing data, over crashes, torn
// writes, failed syncs and full disks.
func TestLogUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		d, r := newDisk(seed), rand.New(rand.NewPCG(seed, 2))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if err := d.step(r); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards the check above: a disk that only pretends to sync must make it fail.
func TestLostSyncsAreDetected(t *testing.T) {
	d, r := newDisk(1), rand.New(rand.NewPCG(1, 2))
	d.fs.IgnoreSyncs(true)
	for range 200 {
		if err := d.step(r); err != nil {
			return
		}
	}
	t.Error("the loss of acknowledged data was not detected")
}

// Guards against returning damaged data, and against taking damage of acknowledged data for
// a torn tail: every flipped bit is refused or without effect.
func TestFlippedBitsAreRefused(t *testing.T) {
	build := func() *disk {
		d, r := newDisk(3), rand.New(rand.NewPCG(3, 2))
		for range 12 {
			b := storage.Batch{Entries: []storage.Entry{{Index: d.allowed[0].last() + 1, Term: 1, Data: make([]byte, r.IntN(700))}}}
			if err := d.did(d.allowed[0].append(b), d.log.Append(b)); err != nil {
				t.Fatal(err)
			}
		}
		m := storage.SnapshotMeta{Index: 6, Term: 1, Extra: []byte("x")}
		if err := d.did(d.allowed[0].snapshot(m), d.log.Snapshot(m, []byte("data"))); err != nil {
			t.Fatal(err)
		}
		return d
	}
	names, _ := build().fs.ReadDir("d")
	flips := 0
	for _, name := range names {
		b, _ := build().fs.ReadFile("d/" + name)
		for bit := 0; bit < 8*len(b); bit += 41 { // coprime to 8, so all bit positions occur
			d := build()
			d.fs.Flip("d/"+name, int64(bit))
			_, _, err := storage.Open(d.fs, "d", options(storage.Existing))
			if flips++; errs.CodeOf(err) != errs.CodeCorrupt {
				t.Errorf("bit %d of %s: error %v, want corrupt", bit, name, err)
			}
		}
	}
	t.Logf("%d flips in %d files refused", flips, len(names))
}

// Guards against a voter that votes without its data, and against using the folder of
// another replica.
func TestIdentity(t *testing.T) {
	d := newDisk(1)
	if err := d.log.RememberPeer("p", "n1"); err != nil {
		t.Fatal(err)
	}
	if d.fs.Crash(); d.open(storage.Existing) != "" {
		t.Fatal("the log is not recovered")
	}
	if err := d.log.RememberPeer("p", "n2"); errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("peer with another identity: %v, want a conflict", err)
	}
	other := options(storage.Existing)
	other.Voter = "w"
	if _, _, err := storage.Open(d.fs, "d", other); errs.CodeOf(err) != errs.CodeConflict {
		t.Errorf("folder of another voter: %v, want a conflict", err)
	}
	if err := d.fs.Remove("d/identity"); err != nil {
		t.Fatal(err)
	}
	if _, _, err := storage.Open(d.fs, "d", options(storage.Bootstrap)); errs.CodeOf(err) != errs.CodeCorrupt {
		t.Errorf("folder without its identity: %v, want corrupt", err)
	}
	d.fs.Lose()
	if _, _, err := storage.Open(d.fs, "d", options(storage.Existing)); errs.CodeOf(err) != errs.CodeNotFound {
		t.Errorf("empty folder: %v, want disk lost", err)
	}
}

// Guards against a first start that cannot be repeated after it was interrupted, or that
// counts as formed before its data is stored.
func TestInterruptedFirstStart(t *testing.T) {
	for failAt := 1; ; failAt++ {
		fs := faultfs.New(nil)
		fs.FailSyncAfter(failAt)
		if _, _, err := storage.Open(fs, "d", options(storage.Bootstrap)); err == nil {
			return // all syncs of a first start were tried
		}
		fs.Crash()
		d := &disk{fs: fs, allowed: []content{{HardState: []byte("first")}}}
		if diff := d.open(storage.Bootstrap); diff != "" {
			t.Fatalf("after a failure of sync %d: %s", failAt, diff)
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
