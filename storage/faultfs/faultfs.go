// Package faultfs is a file system in memory for tests. It keeps apart what is written and
// what is durable, so that a crash loses unsynced data, and it injects failures.
package faultfs

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"path"
	"slices"
	"strings"
	"sync"

	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
)

// sectorBytes is the unit in which a torn write may be lost.
const sectorBytes = 512

// Fault reports a failure that the file system injects or a file that does not exist.
type Fault struct{ Operation, File, Reason string }

func (e *Fault) Error() string { return fmt.Sprintf("%s %s: %s", e.Operation, e.File, e.Reason) }

// FailureCode implements errs.Failure.
func (e *Fault) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *Fault) FailureOutcome() errs.Outcome { return errs.Unknown }

type inode struct {
	data   []byte // as written
	synced []byte // as durable
	clean  int    // length of the part of data that did not change since the last sync
	lost   bool   // a sync failed; later syncs do not make the data durable
}

// FS implements storage.FS in memory. It is safe for concurrent use.
type FS struct {
	mu      sync.Mutex
	rand    *rand.Rand
	files   map[string]*inode // folder entries as seen
	durable map[string]*inode // folder entries after a crash
	epoch   int               // rises at a crash; older open files fail

	syncs     int
	failSyncs int
	failAfter int // successful syncs before the next failure; -2 for none
	capacity  int64
	ignore    bool
}

// New returns an empty file system. The source decides what a torn write leaves; a nil
// source loses unsynced writes whole.
func New(source *rand.Rand) *FS {
	return &FS{rand: source, files: make(map[string]*inode), durable: make(map[string]*inode), failAfter: -2}
}

// FailSyncs makes the next n syncs fail. What they should have made durable is lost at the
// next crash even if a later sync succeeds.
func (f *FS) FailSyncs(n int) { f.locked(func() { f.failSyncs = n }) }

// FailSyncAfter makes one sync of a file or folder fail after n successful ones.
func (f *FS) FailSyncAfter(n int) { f.locked(func() { f.failAfter = n }) }

// SetCapacity limits the total size of the files; zero removes the limit.
func (f *FS) SetCapacity(bytes int64) { f.locked(func() { f.capacity = bytes }) }

// IgnoreSyncs makes syncs succeed without effect, as a lying disk does.
func (f *FS) IgnoreSyncs(on bool) { f.locked(func() { f.ignore = on }) }

// Syncs returns the number of file syncs so far.
func (f *FS) Syncs() (n int) {
	f.locked(func() { n = f.syncs })
	return n
}

// Used returns the total size of the files.
func (f *FS) Used() (n int64) {
	f.locked(func() { n = f.used() })
	return n
}

// Lose removes everything, as the loss of the disk does.
func (f *FS) Lose() {
	f.locked(func() {
		f.files, f.durable = make(map[string]*inode), make(map[string]*inode)
		f.epoch++
	})
}

// Flip inverts a bit of a file, both as written and as durable.
func (f *FS) Flip(name string, bit int64) {
	f.locked(func() {
		for _, b := range [][]byte{f.files[name].data, f.files[name].synced} {
			if int(bit/8) < len(b) {
				b[bit/8] ^= 1 << (bit % 8)
			}
		}
	})
}

// Crash loses what is not synced. With a random source, a prefix of the last unsynced write
// of each file may survive, with some of its sectors zero.
func (f *FS) Crash() {
	f.locked(func() {
		f.epoch++
		f.files = make(map[string]*inode, len(f.durable))
		for _, name := range slices.Sorted(maps.Keys(f.durable)) {
			n := f.durable[name]
			n.data = f.torn(n)
			n.synced, n.clean, n.lost = slices.Clone(n.data), len(n.data), false
			f.files[name] = n
		}
		f.failSyncs, f.failAfter, f.capacity = 0, -2, 0
	})
}

func (f *FS) torn(n *inode) []byte {
	kept := slices.Clone(n.synced)
	if f.rand == nil || len(n.data) <= len(kept) || !slices.Equal(n.data[:len(kept)], kept) {
		return kept
	}
	end := len(kept) + f.rand.IntN(len(n.data)-len(kept)+1)
	start := len(kept)
	kept = append(kept, n.data[start:end]...)
	for at := start; at < end; at = at/sectorBytes*sectorBytes + sectorBytes {
		if f.rand.IntN(4) == 0 {
			clear(kept[at:min(end, at/sectorBytes*sectorBytes+sectorBytes)])
		}
	}
	return kept
}

func (f *FS) locked(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

func (f *FS) used() (n int64) {
	for _, i := range f.files {
		n += int64(len(i.data))
	}
	return n
}

func missing(op, name string) error { return &Fault{op, name, "file does not exist"} }

// MkdirAll implements storage.FS. Folders exist implicitly.
func (f *FS) MkdirAll(string) error { return nil }

// ReadDir implements storage.FS.
func (f *FS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.files {
		if path.Dir(name) == path.Clean(dir) {
			names = append(names, path.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements storage.FS.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[name]
	if !ok {
		return nil, missing("read", name)
	}
	return slices.Clone(n.data), nil
}

// ReadAt implements storage.FS.
func (f *FS) ReadAt(name string, p []byte, offset int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[name]
	if !ok {
		return missing("read", name)
	}
	if offset < 0 || offset+int64(len(p)) > int64(len(n.data)) {
		return io.ErrUnexpectedEOF
	}
	copy(p, n.data[offset:])
	return nil
}

// Create implements storage.FS.
func (f *FS) Create(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &inode{}
	f.files[name] = n
	return &file{fs: f, node: n, name: name, epoch: f.epoch}, nil
}

// Append implements storage.FS.
func (f *FS) Append(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[name]
	if !ok {
		return nil, missing("open", name)
	}
	return &file{fs: f, node: n, name: name, epoch: f.epoch}, nil
}

// Truncate implements storage.FS.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[name]
	if !ok {
		return missing("truncate", name)
	}
	n.data = n.data[:min(size, int64(len(n.data)))]
	n.clean = min(n.clean, len(n.data))
	return nil
}

// Rename implements storage.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[from]
	if !ok {
		return missing("rename", from)
	}
	delete(f.files, from)
	f.files[to] = n
	return nil
}

// Remove implements storage.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.files[name]; !ok {
		return missing("remove", name)
	}
	delete(f.files, name)
	return nil
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.syncFails() {
		return &Fault{"sync", dir, "injected failure"}
	}
	if f.ignore {
		return nil
	}
	prefix := path.Clean(dir) + "/"
	for name := range f.durable {
		if strings.HasPrefix(name, prefix) {
			delete(f.durable, name)
		}
	}
	for name, n := range f.files {
		if strings.HasPrefix(name, prefix) {
			f.durable[name] = n
		}
	}
	return nil
}

func (f *FS) syncFails() bool {
	f.failAfter = max(f.failAfter-1, -2)
	if f.failAfter == -1 {
		return true
	}
	if f.failSyncs == 0 {
		return false
	}
	f.failSyncs--
	return true
}

type file struct {
	fs    *FS
	node  *inode
	name  string
	epoch int
}

func (h *file) stale() error {
	if h.epoch != h.fs.epoch {
		return &Fault{"use", h.name, "the file was opened before a crash"}
	}
	return nil
}

// Write implements io.Writer. On a full disk it writes what fits.
func (h *file) Write(b []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.stale(); err != nil {
		return 0, err
	}
	room := int64(len(b))
	if h.fs.capacity > 0 {
		room = max(0, min(room, h.fs.capacity-h.fs.used()))
	}
	h.node.data = append(h.node.data, b[:room]...)
	if room < int64(len(b)) {
		return int(room), &Fault{"write", h.name, "no space left"}
	}
	return len(b), nil
}

// Sync implements storage.File.
func (h *file) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.stale(); err != nil {
		return err
	}
	h.fs.syncs++
	n := h.node
	if h.fs.syncFails() {
		n.lost = true
		return &Fault{"sync", h.name, "injected failure"}
	}
	if !h.fs.ignore && !n.lost {
		n.synced = append(n.synced[:n.clean], n.data[n.clean:]...)
		n.clean = len(n.data)
	}
	return nil
}

// Close implements storage.File.
func (h *file) Close() error { return nil }
