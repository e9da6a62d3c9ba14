package main

import (
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"fuchsiaflow/internal/settings"
)

// Guards against seeds that stay old because the settings file changed without a signal, and
// against a reload at each look.
func TestFileWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(name, content string) {
		t.Helper()
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(path, "one")
	w := newFileWatcher(path)
	if w.changed() {
		t.Error("an unchanged file counts as changed")
	}
	write(path, "longer")
	if !w.changed() {
		t.Error("a rewritten file is not noticed")
	}
	if err := os.Chtimes(path, time.Time{}, time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if !w.changed() || w.changed() {
		t.Error("a new time of the file is noticed never or twice")
	}
	write(path+".new", "longer")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if w.changed() {
		t.Error("a missing file counts as changed")
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	if !w.changed() {
		t.Error("a file that replaces another is not noticed")
	}
}

// Guards against a garbage collector that runs all the time because the state of a store comes near
// its limit: with 154 MB of memory and 80 MB of state it took a third of the processor, and leaders
// lost their leadership.
func TestCollectorHasRoomForTheState(t *testing.T) {
	const memory, state, garbage = 154 << 20, 80 << 20, 100 << 20
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		debug.SetGCPercent(percent)
		debug.SetMemoryLimit(limit)
	}()
	limitMemory(&settings.Role{MemoryBytes: memory})
	live := allocate(state)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range garbage / (1 << 20) {
		allocate(1 << 20)
	}
	runtime.ReadMemStats(&after)
	// The heap grows by gcPercent between two collections.
	if cycles, usual := after.NumGC-before.NumGC, uint32(garbage*100/(state*gcPercent)); cycles > 3*usual {
		t.Errorf("%d collections, usual are %d", cycles, usual)
	}
	runtime.KeepAlive(live)
}

// allocate returns n bytes in pieces of the size of a result.
func allocate(n int) [][]byte {
	const piece = 4 << 10
	list := make([][]byte, 0, n/piece)
	for range n / piece {
		list = append(list, make([]byte, piece))
	}
	return list
}
