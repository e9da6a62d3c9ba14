package store

import (
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/storage"
)

// openStore opens a seed's disk as at the first start of the system and returns its replica.
func openStore(t *testing.T, dir string) string {
	t.Helper()
	return openStoreWith(t, dir, observe.NewMetrics())
}

func openStoreWith(t *testing.T, dir string, m *observe.Metrics) string {
	t.Helper()
	return newStore(t, dir, m).disk.ID
}

func newStore(t *testing.T, dir string, m *observe.Metrics) *Store {
	t.Helper()
	s := &settings.Role{Host: "h", IP: "127.0.0.1", PeerPort: 1, Seeds: []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}, FirstStart: true,
		DataDir: dir, LostDisks: 1, Timing: settings.RoleTiming{Grace: time.Second}}
	st, err := New(Options{Settings: s, Control: func(*Control) http.Handler { return http.NotFoundHandler() },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: m, Tracing: observe.NoTracing(), FS: storage.OS{}})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return st
}

// Guards against a host that does not start any more because a file is damaged, and against one
// that then votes again under the identity of the replica whose votes and log it has lost.
func TestDamagedDiskStartsAnew(t *testing.T) {
	intact := t.TempDir()
	first := openStore(t, intact)
	if again := openStore(t, intact); again != first {
		t.Fatalf("an intact disk has replica %s, before %s", again, first)
	}
	names, err := storage.OS{}.ReadDir(intact)
	if err != nil || len(names) < 2 {
		t.Fatalf("files %v, %v; want the replica and its log", names, err)
	}
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.CopyFS(dir, os.DirFS(intact)); err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(dir, name)
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			data[len(data)/2] ^= 0xff
			if err := os.WriteFile(path, data, 0o600); err != nil {
				t.Fatal(err)
			}
			id := openStore(t, dir)
			if id == first {
				t.Errorf("the damaged disk still is replica %s", id)
			}
			if again := openStore(t, dir); again != id {
				t.Errorf("the new disk has replica %s, before %s", again, id)
			}
		})
	}
}

// Guards against a first start that was interrupted before the replica file was whole, and that
// leaves the group without one of its first voters.
func TestInterruptedFirstStartIsRepeated(t *testing.T) {
	want := openStore(t, t.TempDir())
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, replicaFile+newSuffix), []byte(`{"id`), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := openStore(t, dir); got != want {
		t.Errorf("replica %s, want %s", got, want)
	}
}
