package storestate

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/jobs"
	"fuchsiaflow/storage"
	"fuchsiaflow/usage"
)

// randomBytes returns bytes that package pack cannot compress.
func randomBytes(n int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, seed))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

// populatedState returns a state with a weight version, two ended jobs, and an open job with a partial
// text.
func populatedState(t testing.TB, items, textBytes int) *State {
	t.Helper()
	s, index := New(), uint64(1)
	apply := func(c *Command) {
		s.Apply(index, EncodeCommand(c))
		index++
	}
	apply(&Command{PutVersion: &PutVersion{Model: "m", Version: 2}})
	for j := range 3 {
		job := jobs.Job{ID: fmt.Sprintf("j%d", j), Host: "h", Path: "/p/", Model: "m", MinVersion: 1, WantedGroups: 2}
		for i := range items {
			job.Items = append(job.Items, jobs.Item{ID: fmt.Sprintf("j%d-%d", j, i), Path: "/p/x", Headers: map[string]string{"Name": "value"},
				Body: []byte("body"), Group: "g"})
		}
		submitted := job.Items
		apply(&Command{SubmitJob: &job})
		for i, it := range submitted[:len(submitted)-1] {
			text := jobs.NewText(randomBytes(textBytes, uint64(i)))
			apply(&Command{FinishItem: &FinishItem{Job: job.ID, Result: jobs.Result{ID: it.ID, State: jobs.Completed, Text: text, Versions: []uint64{1, 2}}}})
		}
		if j < 2 {
			apply(&Command{EndJob: &EndJob{Job: job.ID}})
			continue
		}
		apply(&Command{Progress: &Progress{Items: []ItemProgress{{Job: job.ID, Item: submitted[len(submitted)-1].ID,
			Partial: jobs.PartialText{Text: jobs.NewText([]byte("so far")), LastEventID: 1, EventCount: 1, Versions: []uint64{1}}}}}})
	}
	return s
}

func encodeSnapshot(t testing.TB, s *State) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := s.WriteSnapshot(&out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against a state that differs after a replica restarts from a snapshot, and against one that is
// changed by a snapshot that cannot be read.
func TestSnapshotRoundTrip(t *testing.T) {
	s := populatedState(t, 5, 100)
	data := encodeSnapshot(t, s)
	restored := New()
	if err := restored.ReadSnapshot(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	if again := encodeSnapshot(t, restored); !bytes.Equal(data, again) {
		t.Errorf("a snapshot of %d bytes differs after a restore: %d bytes", len(data), len(again))
	}
	for job := range 3 {
		q := Query{Results: &ReadPage{Job: fmt.Sprintf("j%d", job), MaxBytes: 1 << 20}}
		if got, want := Encode(restored.Answer(&q)), Encode(s.Answer(&q)); !bytes.Equal(got, want) {
			t.Errorf("results of job %d differ after a restore", job)
		}
	}
	if _, ok := restored.Jobs().PartialText(jobs.Key{ID: "j2-4"}); !ok {
		t.Error("the partial text of an item is lost")
	}
	for _, n := range []int{0, 3, len(data) / 2, len(data) - 3} {
		if err := restored.ReadSnapshot(bytes.NewReader(data[:n])); errs.CodeOf(err) != errs.CodeCorrupt {
			t.Errorf("snapshot truncated after %d bytes: got error %v, want errs.Corrupt", n, err)
		}
	}
	oversized := binary.AppendUvarint(nil, 1<<40)
	if err := restored.ReadSnapshot(bytes.NewReader(oversized)); errs.CodeOf(err) != errs.CodeCorrupt {
		t.Errorf("record of 1 TiB: got error %v, want errs.Corrupt", err)
	}
	ioErr := &storage.FileOpFailed{Operation: "read", File: "snapshot", Cause: "lost"}
	if err := restored.ReadSnapshot(iotest.ErrReader(ioErr)); !errors.Is(err, ioErr) {
		t.Errorf("failed read: got error %v, want the error of the reader", err)
	}
	if again := encodeSnapshot(t, restored); !bytes.Equal(data, again) {
		t.Error("a snapshot that cannot be read changed the state")
	}
}

// Guards against usage that a replica loses or counts twice when it restarts from a snapshot, between a count and its
// repeat and between the seal of a window and its report, and against a later count that changes a sealed report.
func TestSnapshotWithUsage(t *testing.T) {
	s := New()
	record := func(s *State, window, count, revision uint64) Reply {
		return mustApply(t, s, &Command{RecordUsage: &RecordUsage{Source: usage.Source{Host: "h", Incarnation: 1}, Windows: []usage.WindowCounts{
			{Window: window, Counts: []usage.AccountCount{{Account: "a", Count: count}}, Revision: revision}}}})
	}
	mustApply(t, s, &Command{StartUsage: &UsageWindow{Window: 7}})
	record(s, 7, 3, 1)
	record(s, 8, 5, 4)
	if r := mustApply(t, s, &Command{SealUsage: &UsageWindow{Window: 7}}); r.SealedWindows != 1 {
		t.Errorf("reply to the seal: %+v", r)
	}
	data := encodeSnapshot(t, s)
	restored := New()
	if err := restored.ReadSnapshot(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	if again := encodeSnapshot(t, restored); !bytes.Equal(data, again) {
		t.Error("the snapshot differs after a restore")
	}
	if record(restored, 7, 4, 2).Changed || record(restored, 8, 4, 3).Changed || !record(restored, 8, 6, 5).Changed {
		t.Error("counts of a sealed window or of an old revision changed the state, or new ones did not")
	}
	mustApply(t, restored, &Command{SealUsage: &UsageWindow{Window: 8}})
	want := []usage.WindowCounts{{Window: 7, Counts: []usage.AccountCount{{Account: "a", Count: 3}}}, {Window: 8, Counts: []usage.AccountCount{{Account: "a", Count: 6}}}}
	if d := cmp.Diff(want, restored.Usage().Unsent()); d != "" {
		t.Error(d)
	}
	if mustApply(t, restored, &Command{UsageSent: &UsageWindow{Window: 7}}); len(restored.Usage().Unsent()) != 1 {
		t.Error("a report that was sent is kept")
	}
}

// Guards against a snapshot that allocates a copy of the state. Voters take snapshots while they serve;
// with 35 MB of state such copies drove them into their memory limit, where garbage collection left
// no time for the consensus group.
func TestWriteSnapshotDoesNotCopyState(t *testing.T) {
	s := populatedState(t, 500, 4000)
	const limit = 1 << 20 // bytes: the buffers, one record and a part of the file
	probe := &heapProbe{}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	if err := s.WriteSnapshot(probe); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if minBytes := 3 * 499 * 4000; probe.bytes < minBytes {
		t.Fatalf("a snapshot of %d bytes, want at least %d", probe.bytes, minBytes)
	}
	if live := int64(probe.maxLiveBytes) - int64(before.HeapAlloc); live > limit {
		t.Errorf("a snapshot of %d bytes needs %d bytes of heap, want at most %d", probe.bytes, live, limit)
	}
	maxTotal := uint64(limit)
	if raceEnabled {
		// The encoder takes its buffers from a sync.Pool, which drops a quarter of them under the race detector.
		maxTotal = uint64(probe.bytes / 2)
	}
	if total := after.TotalAlloc - before.TotalAlloc; total > maxTotal {
		t.Errorf("a snapshot of %d bytes allocates %d, want at most %d", probe.bytes, total, maxTotal)
	}
}

// heapProbe is a writer that counts bytes and measures the live heap every few writes.
type heapProbe struct {
	bytes, writes int
	maxLiveBytes  uint64 // largest live heap that was measured
}

func (p *heapProbe) Write(b []byte) (int, error) {
	const every = 16 // writes, of 64 kB each
	p.bytes += len(b)
	if p.writes++; p.writes%every == 0 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		p.maxLiveBytes = max(p.maxLiveBytes, m.HeapAlloc)
	}
	return len(b), nil
}

// Guards against a reader that allocates a multiple of the state, for which a restarting host has no
// memory.
func TestReadSnapshotAllocations(t *testing.T) {
	data := encodeSnapshot(t, populatedState(t, 500, 4000))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if err := New().ReadSnapshot(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if got, limit := after.TotalAlloc-before.TotalAlloc, uint64(len(data)*3/2); got > limit {
		t.Errorf("reading %d bytes allocates %d, want at most %d", len(data), got, limit)
	}
}
