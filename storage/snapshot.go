package storage

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// A snapshot file has a frame with its head, frames with parts of the data, each of snapshotPartBytes
// but the last, and a frame that ends it. Parts are written, checked and read one by one, so that
// neither needs the whole data in memory. The first byte of a payload behind the head tells its kind.
const (
	snapshotPartBytes = 512 << 10

	partData byte = 'd'
	// partEnd is followed by the length of the data as a uvarint.
	partEnd byte = 'e'
)

// partFrameBytes is the length of the frame of a whole part.
const partFrameBytes = headerBytes + 1 + snapshotPartBytes

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
	return f.start + part*partFrameBytes, 1 + int(min(snapshotPartBytes, f.size-part*snapshotPartBytes))
}

// partWriter cuts what is written to it into parts.
type partWriter struct {
	out  *frameWriter
	buf  []byte // kind and data of the next part
	size int64
	err  error
}

// Write implements io.Writer.
func (w *partWriter) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0 && w.err == nil; {
		n := min(len(rest), 1+snapshotPartBytes-len(w.buf))
		w.buf = append(w.buf, rest[:n]...)
		rest = rest[n:]
		w.size += int64(n)
		if len(w.buf) == 1+snapshotPartBytes {
			w.flush()
		}
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

func (w *partWriter) flush() {
	if len(w.buf) > 1 && w.err == nil {
		w.err = w.out.frame(w.buf)
	}
	w.buf = append(w.buf[:0], partData)
}

// end writes the last part and the frame that ends the file.
func (w *partWriter) end() error {
	w.flush()
	if w.err != nil {
		return w.err
	}
	return w.out.frame(binary.AppendUvarint([]byte{partEnd}, uint64(w.size)))
}

// writeSnapshot stores a snapshot file.
func (l *Log) writeSnapshot(head snapshotHead, write func(io.Writer) error) (snapshotFile, error) {
	file := snapshotFile{name: snapshotName(head.Index, head.Term)}
	encoded, err := cbor.Marshal(head)
	if err != nil {
		return file, ioError("encode", file.name, err)
	}
	file.start = int64(headerBytes + len(encoded))
	var failed error
	err = l.replace(file.name, func(out *frameWriter) error {
		if err := out.frame(encoded); err != nil {
			return err
		}
		w := &partWriter{out: out, buf: append(make([]byte, 0, 1+snapshotPartBytes), partData)}
		if err := write(w); err != nil && w.err == nil {
			failed = err
			return err
		}
		file.size = w.size
		return w.end()
	})
	if failed != nil {
		return file, failed
	}
	return file, err
}

// openSnapshot reads the head of a snapshot file and finds its end.
func (l *Log) openSnapshot(name string) (snapshotHead, snapshotFile, error) {
	var head snapshotHead
	length, _, err := l.peek(name, 0)
	if err != nil {
		return head, snapshotFile{}, err
	}
	payload, err := l.readFrameAt(name, 0, length)
	if err != nil {
		return head, snapshotFile{}, err
	}
	if err := cbor.Unmarshal(payload, &head); err != nil {
		return head, snapshotFile{}, corrupt(name, headerBytes, err.Error())
	}
	if name != snapshotName(head.Index, head.Term) {
		return head, snapshotFile{}, corrupt(name, headerBytes, "the content belongs to another snapshot")
	}
	file := snapshotFile{name: name, start: int64(headerBytes + length)}
	file.size, err = l.snapshotSize(file)
	return head, file, err
}

// peek reads the length of the payload of a frame and the first byte of it.
func (l *Log) peek(name string, offset int64) (length int, kind byte, err error) {
	var b [headerBytes + 1]byte
	if err := l.readAt(name, b[:], offset); err != nil {
		return 0, 0, err
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n == 0 || n > 1+snapshotPartBytes {
		return 0, 0, corrupt(name, offset, "a frame has an absurd length")
	}
	return int(n), b[headerBytes], nil
}

// snapshotSize walks over the frames of data to the end of the file.
func (l *Log) snapshotSize(f snapshotFile) (int64, error) {
	size, offset := int64(0), f.start
	for {
		length, kind, err := l.peek(f.name, offset)
		if err != nil {
			return 0, err
		}
		if kind == partData {
			size += int64(length - 1)
			offset += int64(headerBytes + length)
			continue
		}
		payload, err := l.readFrameAt(f.name, offset, length)
		if err != nil {
			return 0, err
		}
		if want, n := binary.Uvarint(payload[1:]); payload[0] != partEnd || n <= 0 || want != uint64(size) {
			return 0, corrupt(f.name, offset, "the end does not fit the data")
		}
		return size, nil
	}
}

// part reads and checks the frame with the byte at offset of the data. It returns the data from there
// to the end of the frame.
func (l *Log) part(f snapshotFile, offset int64) ([]byte, error) {
	at, length := f.frame(offset)
	payload, err := l.readFrameAt(f.name, at, length)
	if err != nil {
		return nil, err
	}
	if payload[0] != partData {
		return nil, corrupt(f.name, at, "a part of the data is missing")
	}
	return payload[1+offset%snapshotPartBytes:], nil
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
	part, err = l.part(l.stored, int64(offset))
	return part, size, err
}

// SnapshotReader returns a reader of the data of the stored snapshot. The reader must not be used
// after the next snapshot.
func (l *Log) SnapshotReader() io.Reader { return &partReader{log: l, file: l.stored} }

type partReader struct {
	log  *Log
	file snapshotFile
	at   int64
	rest []byte
}

// Read implements io.Reader.
func (r *partReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		if r.at >= r.file.size {
			return 0, io.EOF
		}
		part, err := r.log.part(r.file, r.at)
		if err != nil {
			return 0, err
		}
		r.rest = part
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	r.at += int64(n)
	return n, nil
}
