package storage

import (
	"fmt"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

const (
	identityFile   = "identity"
	peersFile      = "peers"
	segmentPrefix  = "wal-"
	snapshotPrefix = "snap-"
	tempSuffix     = ".tmp"
)

// identity is the content of the identity file.
type identity struct {
	Group       string `cbor:"1,keyasint"`
	Voter       string `cbor:"2,keyasint"`
	NodeID      string `cbor:"3,keyasint"`
	Initialized bool   `cbor:"4,keyasint"`
}

// snapshotHeader is the payload of the first frame of a snapshot file.
type snapshotHeader struct {
	SnapshotMeta
	// Reset is set if the log did not contain the snapshot's last entry. Entries stored before
	// the snapshot must then not be used.
	Reset bool `cbor:"4,keyasint,omitempty"`
}

func segmentName(seq uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, seq) }

func snapshotName(index, term uint64) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, index, term)
}

func segmentSeq(name string) (seq uint64, ok bool) {
	n, err := fmt.Sscanf(name, segmentPrefix+"%016x", &seq)
	return seq, err == nil && n == 1 && name == segmentName(seq)
}

func snapshotID(name string) (index, term uint64, ok bool) {
	n, err := fmt.Sscanf(name, snapshotPrefix+"%016x-%016x", &index, &term)
	return index, term, err == nil && n == 2 && name == snapshotName(index, term)
}

// directory gives access to the files of a data directory.
type directory struct {
	fs  FS
	dir string
}

func (d directory) path(name string) string { return d.dir + "/" + name }

// frameWriter writes consecutive frames to a new file.
type frameWriter struct {
	file   File
	offset uint64
	header [headerBytes]byte
}

func (w *frameWriter) writeFrame(payload []byte) error {
	putHeader(w.header[:], payload, 0, w.offset)
	w.offset += uint64(headerBytes + len(payload))
	if _, err := w.file.Write(w.header[:]); err != nil {
		return err
	}
	_, err := w.file.Write(payload)
	return err
}

// replaceFile replaces a file atomically and durably: after a crash it has either the old or the
// new content.
func (d directory) replaceFile(name string, write func(*frameWriter) error) error {
	temp := d.path(name + tempSuffix)
	f, err := d.fs.Create(temp)
	if err != nil {
		return &WriteFailed{Operation: "create " + name, Cause: err.Error()}
	}
	if err := write(&frameWriter{file: f}); err != nil {
		_ = f.Close()
		_ = d.fs.Remove(temp)
		return &WriteFailed{Operation: "write " + name, Cause: err.Error()}
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &Unusable{Operation: "sync " + name, Cause: err.Error(), MayBeStored: true}
	}
	if err := d.fs.Rename(temp, d.path(name)); err != nil {
		return &Unusable{Operation: "rename " + name, Cause: err.Error(), MayBeStored: true}
	}
	return d.sync()
}

func (d directory) sync() error {
	if err := d.fs.SyncDir(d.dir); err != nil {
		return &Unusable{Operation: "sync directory " + d.dir, Cause: err.Error(), MayBeStored: true}
	}
	return nil
}

// readSingleFrame returns the payload of a file that consists of one frame.
func (d directory) readSingleFrame(name string) ([]byte, error) {
	b, err := d.fs.ReadFile(d.path(name))
	if err != nil {
		return nil, ioError("read", name, err)
	}
	payload, size, state := readFrame(b, 0, 0)
	if state != frameValid {
		return nil, corrupt(name, 0, "frame is truncated or has a wrong checksum")
	}
	if size != len(b) {
		return nil, corrupt(name, int64(size), "unexpected data after the frame")
	}
	return payload, nil
}

// readAt fills b from a file, starting at offset.
func (d directory) readAt(name string, b []byte, offset int64) error {
	err := d.fs.ReadAt(d.path(name), b, offset)
	if err == io.ErrUnexpectedEOF {
		return corrupt(name, offset, "file is truncated")
	}
	return ioError("read", name, err)
}

// readFrameAt returns the payload of the frame that starts at offset and has a payload of length
// bytes.
func (d directory) readFrameAt(name string, offset int64, length int) ([]byte, error) {
	b := make([]byte, headerBytes+length)
	if err := d.readAt(name, b, offset); err != nil {
		return nil, err
	}
	payload, size, state := readFrame(b, 0, uint64(offset))
	if state != frameValid || size != len(b) {
		return nil, corrupt(name, offset, "frame is truncated or has a wrong checksum")
	}
	return payload, nil
}

func (d directory) replaceCBORFile(name string, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return ioError("encode", name, err)
	}
	return d.replaceFile(name, func(w *frameWriter) error { return w.writeFrame(b) })
}

func (d directory) readCBORFile(name string, v any) error {
	b, err := d.readSingleFrame(name)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return corrupt(name, headerBytes, err.Error())
	}
	return nil
}

// dirListing has the files of a data directory by kind.
type dirListing struct {
	identity, peers bool
	segments        []uint64 // ascending
	snapshots       []string // ascending by index
}

// list lists the directory and removes the temporary files of interrupted writes.
func (d directory) list() (dirListing, error) {
	var l dirListing
	names, err := d.fs.ReadDir(d.dir)
	if err != nil {
		return l, ioError("list", d.dir, err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := d.fs.Remove(d.path(name)); err != nil {
				return l, ioError("remove", name, err)
			}
			continue
		}
		if seq, ok := segmentSeq(name); ok {
			l.segments = append(l.segments, seq)
		} else if _, _, ok := snapshotID(name); ok {
			l.snapshots = append(l.snapshots, name)
		}
		l.identity = l.identity || name == identityFile
		l.peers = l.peers || name == peersFile
	}
	return l, nil
}
