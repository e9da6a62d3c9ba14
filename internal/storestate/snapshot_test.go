package storestate

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/jobs"
	"fuchsiaflow/storage"
)

// incompressible returns bytes that are stored as they are.
func incompressible(n int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, seed))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

// filled returns a state with ended jobs, an open one and the text of an item so far.
func filled(t testing.TB, items, textBytes int) *State {
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
		list := job.Items
		apply(&Command{SubmitJob: &job})
		for i, it := range list[:len(list)-1] {
			text := jobs.NewText(incompressible(textBytes, uint64(i)))
			apply(&Command{FinishItem: &FinishItem{Job: job.ID, Result: jobs.Result{ID: it.ID, State: jobs.Completed, Text: text, Versions: []uint64{1, 2}}}})
		}
		if j < 2 {
			apply(&Command{EndJob: &EndJob{Job: job.ID}})
			continue
		}
		apply(&Command{Progress: &Progress{Items: []ItemProgress{{Job: job.ID, Item: list[len(list)-1].ID,
			Partial: jobs.PartialText{Text: jobs.NewText([]byte("so far")), LastEventID: 1, EventCount: 1, Versions: []uint64{1}}}}}})
	}
	return s
}

func snapshotOf(t testing.TB, s *State) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := s.WriteSnapshot(&out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// Guards against a state that changes when a replica restarts from a snapshot, and against one that a
// snapshot which cannot be read has changed.
func TestSnapshotRoundTrip(t *testing.T) {
	s := filled(t, 5, 100)
	data := snapshotOf(t, s)
	restored := New()
	if err := restored.ReadSnapshot(bytes.NewReader(data)); err != nil {
		t.Fatal(err)
	}
	if again := snapshotOf(t, restored); !bytes.Equal(data, again) {
		t.Errorf("snapshot of %d bytes becomes one of %d bytes", len(data), len(again))
	}
	for job := range 3 {
		q := Query{Results: &ReadPage{Job: fmt.Sprintf("j%d", job), MaxBytes: 1 << 20}}
		if got, want := Encode(restored.Answer(&q)), Encode(s.Answer(&q)); !bytes.Equal(got, want) {
			t.Errorf("job %d reads differently", job)
		}
	}
	if _, ok := restored.Jobs().PartialText("j2-4"); !ok {
		t.Error("the text of a running item is lost")
	}
	for _, n := range []int{0, 3, len(data) / 2, len(data) - 3} {
		if err := restored.ReadSnapshot(bytes.NewReader(data[:n])); errs.CodeOf(err) != errs.CodeCorrupt {
			t.Errorf("a snapshot that is cut off after %d bytes: %v", n, err)
		}
	}
	absurd := binary.AppendUvarint(nil, 1<<40)
	if err := restored.ReadSnapshot(bytes.NewReader(absurd)); errs.CodeOf(err) != errs.CodeCorrupt {
		t.Errorf("a record of absurd length: %v", err)
	}
	lost := &storage.IO{Operation: "read", File: "snapshot", Cause: "lost"}
	if err := restored.ReadSnapshot(iotest.ErrReader(lost)); !errors.Is(err, lost) {
		t.Errorf("failure of the disk: %v, which counts as damage", err)
	}
	if again := snapshotOf(t, restored); !bytes.Equal(data, again) {
		t.Error("a snapshot that cannot be read changes the state")
	}
}

// Guards against a snapshot that allocates a copy of the state: voters take theirs while they serve,
// and with 35 MB of state they ran into the memory limit of their host, where the garbage
// collector left them no time for the group.
func TestSnapshotNeedsNoCopyOfTheState(t *testing.T) {
	s := filled(t, 500, 4000)
	const limit = 1 << 20 // a part of the file, the buffers, and one record
	written := &heapProbe{}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	if err := s.WriteSnapshot(written); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if least := 3 * 499 * 4000; written.bytes < least {
		t.Fatalf("a snapshot of %d bytes, want at least %d", written.bytes, least)
	}
	if live := int64(written.live) - int64(before.HeapAlloc); live > limit {
		t.Errorf("a snapshot of %d bytes needs %d bytes of heap, want at most %d", written.bytes, live, limit)
	}
	maxTotal := uint64(limit)
	if raceDetector {
		// The encoder takes its buffers from a pool, which drops a quarter of them under the detector.
		maxTotal = uint64(written.bytes / 2)
	}
	if total := after.TotalAlloc - before.TotalAlloc; total > maxTotal {
		t.Errorf("a snapshot of %d bytes allocates %d, want at most %d", written.bytes, total, maxTotal)
	}
}

// heapProbe counts what is written and looks at the live heap every few writes.
type heapProbe struct {
	bytes, writes int
	live          uint64 // the largest that was seen
}

func (p *heapProbe) Write(b []byte) (int, error) {
	const every = 16 // writes of 64 kB
	p.bytes += len(b)
	if p.writes++; p.writes%every == 0 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		p.live = max(p.live, m.HeapAlloc)
	}
	return len(b), nil
}

// Guards against a reader that needs several times the state: a host that starts again has no memory
// for it.
func TestReadingASnapshotNeedsTheMemoryOfTheState(t *testing.T) {
	data := snapshotOf(t, filled(t, 500, 4000))
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
