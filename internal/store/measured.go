package store

import (
	"time"

	"fuchsiaflow/internal/observe"
	"fuchsiaflow/storage"
)

// measuredFS is a file system that measures how long syncs of files take.
type measuredFS struct {
	storage.FS
	syncs *observe.Histogram
}

// Create implements storage.FS.
func (m measuredFS) Create(name string) (storage.File, error) { return m.wrap(m.FS.Create(name)) }

// Append implements storage.FS.
func (m measuredFS) Append(name string) (storage.File, error) { return m.wrap(m.FS.Append(name)) }

func (m measuredFS) wrap(f storage.File, err error) (storage.File, error) {
	if err != nil {
		return nil, err
	}
	return measuredFile{File: f, syncs: m.syncs}, nil
}

type measuredFile struct {
	storage.File
	syncs *observe.Histogram
}

// Sync implements storage.File.
func (f measuredFile) Sync() error {
	begin := time.Now()
	err := f.File.Sync()
	f.syncs.Observe(time.Since(begin).Seconds())
	return err
}
