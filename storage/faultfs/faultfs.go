// Package faultfs is an in-memory file system for tests. It distinguishes written from durable data,
// so that a crash loses unsynced data, and it injects failures.
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

// sectorBytes is the unit in which a torn write loses data.
const sectorBytes = 512

// Fault reports an injected failure or a file that does not exist.
type Fault struct{ Operation, File, Reason string }

func (e *Fault) Error() string { return fmt.Sprintf("%s %s: %s", e.Operation, e.File, e.Reason) }

// FailureCode implements errs.Failure.
func (e *Fault) FailureCode() errs.Code { return errs.CodeUnavailable }

// FailureOutcome implements errs.Failure.
func (e *Fault) FailureOutcome() errs.Outcome { return errs.Unknown }

type inode struct {
	data       []byte // as read
	synced     []byte // as after a crash
	cleanLen   int    // length of the prefix of data that is unchanged since the last sync
	syncFailed bool   // later syncs succeed without making the data durable
}

// FS implements storage.FS in memory. It is safe for concurrent use.
type FS struct {
	mu      sync.Mutex
	rand    *rand.Rand
	files   map[string]*inode // directory entries as read
	durable map[string]*inode // directory entries as after a crash
	epoch   int               // incremented at a crash; files opened before it fail

	syncs         int
	failNextSyncs int
	failCountdown int   // successful syncs before one fails; negative for none
	capacity      int64 // in bytes; zero for no limit
	ignoreSyncs   bool
}

// New returns an empty file system. The source determines what a torn write leaves; with a nil source
// a crash loses unsynced writes completely.
func New(source *rand.Rand) *FS {
	return &FS{rand: source, files: make(map[string]*inode), durable: make(map[string]*inode), failCountdown: -2}
}

// FailSyncs makes the next n syncs fail. The data of a file whose sync failed is lost at the next
// crash, even if a later sync succeeds.
func (f *FS) FailSyncs(n int) { f.withLock(func() { f.failNextSyncs = n }) }

// FailSyncAfter makes one sync of a file or directory fail after n successful ones.
func (f *FS) FailSyncAfter(n int) { f.withLock(func() { f.failCountdown = n }) }

// SetCapacity limits the total size of the files in bytes; zero removes the limit.
func (f *FS) SetCapacity(bytes int64) { f.withLock(func() { f.capacity = bytes }) }

// IgnoreSyncs makes syncs succeed without effect, like a disk that acknowledges before it writes.
func (f *FS) IgnoreSyncs(on bool) { f.withLock(func() { f.ignoreSyncs = on }) }

// Syncs returns the number of file syncs so far.
func (f *FS) Syncs() (n int) {
	f.withLock(func() { n = f.syncs })
	return n
}

// Used returns the total size of the files in bytes.
func (f *FS) Used() (n int64) {
	f.withLock(func() { n = f.used() })
	return n
}

// LoseDisk removes all files, as the loss of the disk does.
func (f *FS) LoseDisk() {
	f.withLock(func() {
		f.files, f.durable = make(map[string]*inode), make(map[string]*inode)
		f.epoch++
	})
}

// FlipBit inverts a bit of a file, in the written and in the durable data.
func (f *FS) FlipBit(name string, bit int64) {
	f.withLock(func() {
		for _, b := range [][]byte{f.files[name].data, f.files[name].synced} {
			if int(bit/8) < len(b) {
				b[bit/8] ^= 1 << (bit % 8)
			}
		}
	})
}

// Crash discards what is not synced, and removes pending sync failures and the capacity limit. With a
// random source, a prefix of the unsynced appends to each file may survive, with some of its sectors
// zeroed.
func (f *FS) Crash() {
	f.withLock(func() {
		f.epoch++
		f.files = make(map[string]*inode, len(f.durable))
		for _, name := range slices.Sorted(maps.Keys(f.durable)) {
			n := f.durable[name]
			n.data = f.afterCrash(n)
			n.synced, n.cleanLen, n.syncFailed = slices.Clone(n.data), len(n.data), false
			f.files[name] = n
		}
		f.failNextSyncs, f.failCountdown, f.capacity = 0, -2, 0
	})
}

// afterCrash returns the content that a file has after a crash.
func (f *FS) afterCrash(n *inode) []byte {
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

func (f *FS) withLock(fn func()) {
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

func notFound(op, name string) error { return &Fault{op, name, "file does not exist"} }

// MkdirAll implements storage.FS. Directories exist implicitly.
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
		return nil, notFound("read", name)
	}
	return slices.Clone(n.data), nil
}

// ReadAt implements storage.FS.
func (f *FS) ReadAt(name string, p []byte, offset int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[name]
	if !ok {
		return notFound("read", name)
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
	return &file{fs: f, inode: n, name: name, epoch: f.epoch}, nil
}

// Append implements storage.FS.
func (f *FS) Append(name string) (storage.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[name]
	if !ok {
		return nil, notFound("open", name)
	}
	return &file{fs: f, inode: n, name: name, epoch: f.epoch}, nil
}

// Truncate implements storage.FS.
func (f *FS) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[name]
	if !ok {
		return notFound("truncate", name)
	}
	n.data = n.data[:min(size, int64(len(n.data)))]
	n.cleanLen = min(n.cleanLen, len(n.data))
	return nil
}

// Rename implements storage.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[from]
	if !ok {
		return notFound("rename", from)
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
		return notFound("remove", name)
	}
	delete(f.files, name)
	return nil
}

// SyncDir implements storage.FS.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.takeSyncFailure() {
		return &Fault{"sync", dir, "injected failure"}
	}
	if f.ignoreSyncs {
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

// takeSyncFailure reports whether the current sync fails, and counts it.
func (f *FS) takeSyncFailure() bool {
	f.failCountdown = max(f.failCountdown-1, -2)
	if f.failCountdown == -1 {
		return true
	}
	if f.failNextSyncs == 0 {
		return false
	}
	f.failNextSyncs--
	return true
}

type file struct {
	fs    *FS
	inode *inode
	name  string
	epoch int
}

// checkOpen fails if the file system crashed after the file was opened.
func (h *file) checkOpen() error {
	if h.epoch != h.fs.epoch {
		return &Fault{"use", h.name, "the file was opened before a crash"}
	}
	return nil
}

// Write implements io.Writer. On a full disk it writes the part that fits.
func (h *file) Write(b []byte) (int, error) {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.checkOpen(); err != nil {
		return 0, err
	}
	writable := int64(len(b))
	if h.fs.capacity > 0 {
		writable = max(0, min(writable, h.fs.capacity-h.fs.used()))
	}
	h.inode.data = append(h.inode.data, b[:writable]...)
	if writable < int64(len(b)) {
		return int(writable), &Fault{"write", h.name, "no space left"}
	}
	return len(b), nil
}

// Sync implements storage.File.
func (h *file) Sync() error {
	h.fs.mu.Lock()
	defer h.fs.mu.Unlock()
	if err := h.checkOpen(); err != nil {
		return err
	}
	h.fs.syncs++
	n := h.inode
	if h.fs.takeSyncFailure() {
		n.syncFailed = true
		return &Fault{"sync", h.name, "injected failure"}
	}
	if !h.fs.ignoreSyncs && !n.syncFailed {
		n.synced = append(n.synced[:n.cleanLen], n.data[n.cleanLen:]...)
		n.cleanLen = len(n.data)
	}
	return nil
}

// Close implements storage.File.
func (h *file) Close() error { return nil }
