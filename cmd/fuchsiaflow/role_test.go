package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"
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
	w := watchFile(path)
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
