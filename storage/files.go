package storage

import (
	"fmt"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

const (
	identityName   = "identity"
	peersName      = "peers"
	segmentPrefix  = "wal-"
	snapshotPrefix = "snap-"
	tempSuffix     = ".tmp"
)

type identity struct {
	Group  string `cbor:"1,keyasint"`
	Voter  string `cbor:"2,keyasint"`
	Node   string `cbor:"3,keyasint"`
	Formed bool   `cbor:"4,keyasint"`
}

// snapshotHead is the first part of a snapshot file.
type snapshotHead struct {
	SnapshotMeta
	// Reset tells that the log did not contain the snapshot's last entry, so that none of
	// the entries stored before the snapshot may be used.
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

// folder is a data folder.
type folder struct {
	fs  FS
	dir string
}

func (d folder) path(name string) string { return d.dir + "/" + name }

// frameWriter writes frames one after the other into a file.
type frameWriter struct {
	file   File
	offset uint64
	header [headerBytes]byte
}

func (w *frameWriter) frame(payload []byte) error {
	fillHeader(w.header[:], payload, 0, w.offset)
	w.offset += uint64(headerBytes + len(payload))
	if _, err := w.file.Write(w.header[:]); err != nil {
		return err
	}
	_, err := w.file.Write(payload)
	return err
}

// replace writes a file so that after a crash either the old or the new content is found.
func (d folder) replace(name string, write func(*frameWriter) error) error {
	temp := d.path(name + tempSuffix)
	f, err := d.fs.Create(temp)
	if err != nil {
		return &Refused{Operation: "create " + name, Cause: err.Error()}
	}
	if err := write(&frameWriter{file: f}); err != nil {
		_ = f.Close()
		_ = d.fs.Remove(temp)
		return &Refused{Operation: "write " + name, Cause: err.Error()}
	}
	err = f.Sync()
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return &Unusable{Operation: "sync " + name, Cause: err.Error(), First: true}
	}
	if err := d.fs.Rename(temp, d.path(name)); err != nil {
		return &Unusable{Operation: "rename " + name, Cause: err.Error(), First: true}
	}
	return d.sync()
}

func (d folder) sync() error {
	if err := d.fs.SyncDir(d.dir); err != nil {
		return &Unusable{Operation: "sync folder " + d.dir, Cause: err.Error(), First: true}
	}
	return nil
}

// read returns the content of a file of one frame written by replace.
func (d folder) read(name string) ([]byte, error) {
	b, err := d.fs.ReadFile(d.path(name))
	if err != nil {
		return nil, ioError("read", name, err)
	}
	payload, size, state := readFrame(b, 0, 0)
	if state != frameGood {
		return nil, corrupt(name, 0, "frame fails its checksum or is cut short")
	}
	if size != len(b) {
		return nil, corrupt(name, int64(size), "unexpected data after the last frame")
	}
	return payload, nil
}

// readAt fills b with the content of a file from offset on.
func (d folder) readAt(name string, b []byte, offset int64) error {
	err := d.fs.ReadAt(d.path(name), b, offset)
	if err == io.ErrUnexpectedEOF {
		return corrupt(name, offset, "the file is cut short")
	}
	return ioError("read", name, err)
}

// readFrameAt returns the payload of length bytes of the frame at offset of a file.
func (d folder) readFrameAt(name string, offset int64, length int) ([]byte, error) {
	b := make([]byte, headerBytes+length)
	if err := d.readAt(name, b, offset); err != nil {
		return nil, err
	}
	payload, size, state := readFrame(b, 0, uint64(offset))
	if state != frameGood || size != len(b) {
		return nil, corrupt(name, offset, "frame fails its checksum or is cut short")
	}
	return payload, nil
}

func (d folder) replaceCBOR(name string, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return ioError("encode", name, err)
	}
	return d.replace(name, func(w *frameWriter) error { return w.frame(b) })
}

func (d folder) readCBOR(name string, v any) error {
	b, err := d.read(name)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return corrupt(name, headerBytes, err.Error())
	}
	return nil
}

// listing is the content of a data folder, by kind.
type listing struct {
	identity, peers bool
	segments        []uint64 // ascending
	snapshots       []string // ascending by index
}

// list reads the folder and removes temporary files of interrupted writes.
func (d folder) list() (listing, error) {
	var l listing
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
		l.identity = l.identity || name == identityName
		l.peers = l.peers || name == peersName
	}
	return l, nil
}
