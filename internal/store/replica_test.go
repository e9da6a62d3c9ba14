package store

import (
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"fuchsiaflow/internal/control"
	"fuchsiaflow/internal/observe"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/storage"
)

// openReplicaID starts a seed on a data directory as at the first start of the system and returns the ID
// of its replica.
func openReplicaID(t *testing.T, dir string) string {
	t.Helper()
	return openReplicaIDWith(t, dir, observe.NewMetrics())
}

func openReplicaIDWith(t *testing.T, dir string, m *observe.Metrics) string {
	t.Helper()
	return mustNewStore(t, dir, m).replica.ID
}

// mustNewStore returns the Store of a seed on a data directory, as at the first start of the system.
func mustNewStore(t *testing.T, dir string, m *observe.Metrics) *Store {
	t.Helper()
	s := &settings.Role{Host: "h", IP: "127.0.0.1", PeerPort: 1, Seeds: []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}, Bootstrap: true,
		DataDir: dir, ToleratedDiskLosses: 1, Timing: settings.RoleTiming{Grace: time.Second}}
	st, err := New(Options{Settings: s, Control: func(*control.Control) http.Handler { return http.NotFoundHandler() },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: m, Tracing: observe.NewNoopTracing(), FS: storage.OS{}})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return st
}

// Guards against a host that cannot start because a file is corrupt, and against one that votes again
// under the identity of the replica whose votes and log it has lost.
func TestCorruptFileCreatesNewReplica(t *testing.T) {
	intact := t.TempDir()
	first := openReplicaID(t, intact)
	if again := openReplicaID(t, intact); again != first {
		t.Fatalf("an intact data directory has replica %s, before %s", again, first)
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
			id := openReplicaID(t, dir)
			if id == first {
				t.Errorf("the corrupt data directory still has replica %s", id)
			}
			if again := openReplicaID(t, dir); again != id {
				t.Errorf("the new data directory has replica %s, before %s", again, id)
			}
		})
	}
}

// Guards against a group without one of its initial voters, after a first start that was interrupted
// before the replica file was complete.
func TestInterruptedFirstStartKeepsBootstrapIdentity(t *testing.T) {
	want := openReplicaID(t, t.TempDir())
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, replicaFile+tempSuffix), []byte(`{"id`), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := openReplicaID(t, dir); got != want {
		t.Errorf("replica %s, want %s", got, want)
	}
}
