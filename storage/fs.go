package storage

import (
	"io"
	"os"
	"slices"
)

// FS has the file system operations that the log needs. Paths are separated by "/".
type FS interface {
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in dir, sorted.
	ReadDir(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// ReadAt fills p, starting at offset. It returns io.ErrUnexpectedEOF if the file ends before p
	// is full.
	ReadAt(name string, p []byte, offset int64) error
	// Create creates or truncates a file and opens it for appending.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creation, renaming and removal of files in dir durable.
	SyncDir(dir string) error
}

// File is a file opened for appending. What is written is durable after Sync.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OS is the FS of the operating system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// ReadDir implements FS.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadAt implements FS.
func (OS) ReadAt(name string, p []byte, offset int64) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	if _, err = f.ReadAt(p, offset); err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append implements FS.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate implements FS.
func (OS) Truncate(name string, size int64) error { return os.Truncate(name, size) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return err
}
