package storage_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
)

// Guards against a snapshot of several parts that is recovered or read in parts with other bytes
// than were stored, and against a damaged part that is passed on to a replica.
func TestSnapshotIsReadInParts(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, n := range []int{0, 1, 512 << 10, 512<<10 + 1, 3<<20 + 17} {
		d := newDisk(uint64(n))
		data := make([]byte, n)
		for i := range data {
			data[i] = byte(rng.Uint32())
		}
		meta := storage.SnapshotMeta{Index: 9, Term: 2, Extra: []byte("x")}
		if err := d.log.Snapshot(meta, data); err != nil {
			t.Fatal(err)
		}
		if err := d.log.Close(); err != nil {
			t.Fatal(err)
		}
		log, r, err := storage.Open(d.fs, "d", options(storage.Existing))
		if err != nil || !bytes.Equal(r.SnapshotData, data) {
			t.Fatalf("%d bytes: %d recovered, %v", n, len(r.SnapshotData), err)
		}
		var got []byte
		for {
			part, size, err := log.ReadSnapshot(9, uint64(len(got)))
			if err != nil || size != uint64(n) {
				t.Fatalf("%d bytes: part at %d of %d, %v", n, len(got), size, err)
			}
			if len(part) == 0 {
				break
			}
			got = append(got, part[:min(len(part), 400<<10)]...) // also from the middle of a part
		}
		if !bytes.Equal(got, data) {
			t.Errorf("%d bytes: the parts differ", n)
		}
		if _, _, err := log.ReadSnapshot(8, 0); errs.CodeOf(err) != errs.CodeConflict {
			t.Errorf("another snapshot: %v", err)
		}
		if n > 1 {
			d.fs.Flip("d/snap-0000000000000009-0000000000000002", int64(n/2)*8)
			if _, _, err := log.ReadSnapshot(9, 0); n <= 512<<10 && errs.CodeOf(err) != errs.CodeCorrupt {
				t.Errorf("%d bytes: damaged part: %v", n, err)
			}
			if _, _, err := storage.Open(d.fs, "d", options(storage.Existing)); errs.CodeOf(err) != errs.CodeCorrupt {
				t.Errorf("%d bytes: damaged snapshot: %v", n, err)
			}
		}
	}
}
