package main

import (
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"fuchsiaflow/internal/gctuner"
	"fuchsiaflow/internal/settings"
)

// Guards against outdated seeds after the settings file has changed without a signal, and against a
// reload at each poll.
func TestFileWatcher(t *testing.T) {
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
		t.Error("changed() = true for an unchanged file")
	}
	write(path, "longer")
	if !w.changed() {
		t.Error("changed() = false for a rewritten file")
	}
	if err := os.Chtimes(path, time.Time{}, time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if !w.changed() || w.changed() {
		t.Error("a new modification time is not reported exactly once")
	}
	write(path+".new", "longer")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if w.changed() {
		t.Error("changed() = true for a missing file")
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	if !w.changed() {
		t.Error("changed() = false for a replaced file")
	}
}

// Guards against continuous garbage collection because the state of a store is near the memory limit.
// With 154 MB of memory and 80 MB of state it used a third of the CPU, and leaders lost their leadership.
func TestMemoryLimitLeavesRoomForState(t *testing.T) {
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
	// Between two collections the heap grows by gctuner.MinPercent.
	if cycles, expected := after.NumGC-before.NumGC, uint32(garbage*100/(state*gctuner.MinPercent)); cycles > 3*expected {
		t.Errorf("%d collections, expected about %d", cycles, expected)
	}
	runtime.KeepAlive(live)
}

// allocate returns n bytes in chunks of the size of a result.
func allocate(n int) [][]byte {
	const chunkBytes = 4 << 10
	chunks := make([][]byte, 0, n/chunkBytes)
	for range n / chunkBytes {
		chunks = append(chunks, make([]byte, chunkBytes))
	}
	return chunks
}
