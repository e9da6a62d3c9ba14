package store

import (
	"time"

	"fuchsiaflow/internal/observe"
	"fuchsiaflow/storage"
)

// instrumentedFS is a file system that records the durations of file syncs.
type instrumentedFS struct {
	storage.FS
	syncSeconds *observe.Histogram
}

// Create implements storage.FS.
func (fs instrumentedFS) Create(name string) (storage.File, error) {
	return fs.wrap(fs.FS.Create(name))
}

// Append implements storage.FS.
func (fs instrumentedFS) Append(name string) (storage.File, error) {
	return fs.wrap(fs.FS.Append(name))
}

func (fs instrumentedFS) wrap(f storage.File, err error) (storage.File, error) {
	if err != nil {
		return nil, err
	}
	return instrumentedFile{File: f, syncSeconds: fs.syncSeconds}, nil
}

type instrumentedFile struct {
	storage.File
	syncSeconds *observe.Histogram
}

// Sync implements storage.File.
func (f instrumentedFile) Sync() error {
	start := time.Now()
	err := f.File.Sync()
	f.syncSeconds.Observe(time.Since(start).Seconds())
	return err
}
