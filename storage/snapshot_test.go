package storage_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
)

// Guards against a snapshot of several chunks that is not recovered or read byte for byte, and against
// sending a corrupted chunk to another replica.
func TestSnapshotIsReadInChunks(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, n := range []int{0, 1, 512 << 10, 512<<10 + 1, 3<<20 + 17} {
		l := newFaultyLog(uint64(n))
		data := make([]byte, n)
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		meta := storage.SnapshotMeta{Index: 9, Term: 2, Extra: []byte("x")}
		if err := l.log.Snapshot(meta, data); err != nil {
			t.Fatal(err)
		}
		if err := l.log.Close(); err != nil {
			t.Fatal(err)
		}
		log, recovered, err := storage.Open(l.fs, "d", options(storage.Existing))
		if err != nil || !bytes.Equal(recovered.SnapshotData, data) {
			t.Fatalf("%d bytes stored, %d recovered: %v", n, len(recovered.SnapshotData), err)
		}
		var got []byte
		for {
			chunk, size, err := log.ReadSnapshot(9, uint64(len(got)))
			if err != nil || size != uint64(n) {
				t.Fatalf("%d bytes: chunk at %d of %d: %v", n, len(got), size, err)
			}
			if len(chunk) == 0 {
				break
			}
			got = append(got, chunk[:min(len(chunk), 400<<10)]...) // later reads also start inside a chunk
		}
		if !bytes.Equal(got, data) {
			t.Errorf("%d bytes: the chunks differ from the stored data", n)
		}
		if _, _, err := log.ReadSnapshot(8, 0); errs.CodeOf(err) != errs.CodeConflict {
			t.Errorf("index of another snapshot: error %v, want conflict", err)
		}
		if n > 1 {
			l.fs.FlipBit("d/snap-0000000000000009-0000000000000002", int64(n/2)*8)
			if _, _, err := log.ReadSnapshot(9, 0); n <= 512<<10 && errs.CodeOf(err) != errs.CodeCorrupt {
				t.Errorf("%d bytes: read of a corrupted chunk: error %v, want corrupt", n, err)
			}
			if _, _, err := storage.Open(l.fs, "d", options(storage.Existing)); errs.CodeOf(err) != errs.CodeCorrupt {
				t.Errorf("%d bytes: open with a corrupted snapshot: error %v, want corrupt", n, err)
			}
		}
	}
}
