package storage

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// snapshotFile tells where the data of a snapshot stands.
type snapshotFile struct {
	name string
	// start is the offset of the first frame of data and size the length of the data.
	start, size int64
}

// frame returns the offset and the length of the payload of the frame with the byte at offset of
// the data.
func (f snapshotFile) frame(offset int64) (at int64, length int) {
	part := offset / snapshotPartBytes
	return f.start + part*(headerBytes+snapshotPartBytes), int(min(snapshotPartBytes, f.size-part*snapshotPartBytes))
}

// writeSnapshot stores a snapshot file.
func (l *Log) writeSnapshot(head snapshotHead, data []byte) (snapshotFile, error) {
	name := snapshotName(head.Index, head.Term)
	encoded, err := cbor.Marshal(head)
	if err != nil {
		return snapshotFile{}, ioError("encode", name, err)
	}
	if err := l.replace(name, append([][]byte{encoded}, parts(data)...)...); err != nil {
		return snapshotFile{}, err
	}
	return snapshotFile{name: name, start: int64(headerBytes + len(encoded)), size: head.Size}, nil
}

// openSnapshot reads the head of a snapshot file.
func (l *Log) openSnapshot(name string) (snapshotHead, snapshotFile, error) {
	var head snapshotHead
	header := make([]byte, headerBytes)
	if err := l.readAt(name, header, 0); err != nil {
		return head, snapshotFile{}, err
	}
	length := binary.LittleEndian.Uint32(header[4:])
	if length > maxPayloadBytes {
		return head, snapshotFile{}, corrupt(name, 0, "the head has an absurd length")
	}
	payload, err := l.readFrameAt(name, 0, int(length))
	if err != nil {
		return head, snapshotFile{}, err
	}
	if err := cbor.Unmarshal(payload, &head); err != nil {
		return head, snapshotFile{}, corrupt(name, headerBytes, err.Error())
	}
	if name != snapshotName(head.Index, head.Term) {
		return head, snapshotFile{}, corrupt(name, headerBytes, "the content belongs to another snapshot")
	}
	return head, snapshotFile{name: name, start: int64(headerBytes) + int64(length), size: head.Size}, nil
}

// snapshotData reads the whole data of a snapshot.
func (l *Log) snapshotData(file snapshotFile) ([]byte, error) {
	data := make([]byte, 0, file.size)
	for int64(len(data)) < file.size {
		at, length := file.frame(int64(len(data)))
		part, err := l.readFrameAt(file.name, at, length)
		if err != nil {
			return nil, err
		}
		data = append(data, part...)
	}
	return data, nil
}

// ReadSnapshot returns a part of the data of the stored snapshot, which must be the one of index: the
// bytes from offset on, as many as are checked together, and the length of the whole data. It returns
// errs.Conflict if another snapshot is stored and errs.Corrupt if the part is damaged.
func (l *Log) ReadSnapshot(index, offset uint64) (part []byte, size uint64, err error) {
	if l.snapshot.Index != index {
		return nil, 0, &errs.Conflict{Kind: "snapshot", ID: l.dir, Have: fmt.Sprint(l.snapshot.Index), Got: fmt.Sprint(index)}
	}
	size = uint64(l.stored.size)
	if offset >= size {
		return nil, size, nil
	}
	at, length := l.stored.frame(int64(offset))
	part, err = l.readFrameAt(l.stored.name, at, length)
	if err != nil {
		return nil, size, err
	}
	return part[offset%snapshotPartBytes:], size, nil
}
