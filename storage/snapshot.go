package storage

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// A snapshot file consists of a frame with its header, frames with the chunks of the data, each of
// snapshotChunkBytes but the last, and an end frame. Chunks are written, verified and read one by
// one, so that the whole data is never needed in memory. The first byte of each payload after the
// header is its kind.
const (
	snapshotChunkBytes = 512 << 10

	chunkKind byte = 'd'
	// endKind is followed by the length of the data in bytes as a uvarint.
	endKind byte = 'e'
)

// fullChunkFrameBytes is the length of a frame with a chunk of full length.
const fullChunkFrameBytes = headerBytes + 1 + snapshotChunkBytes

// snapshotFile describes the layout of a snapshot file.
type snapshotFile struct {
	name string
	// dataOffset is the offset of the first chunk's frame, size the length of the data in bytes.
	dataOffset, size int64
}

// chunkFrame returns the position of the frame whose chunk contains the byte at offset of the data,
// and the length of its payload.
func (f snapshotFile) chunkFrame(offset int64) (frameOffset int64, length int) {
	chunk := offset / snapshotChunkBytes
	return f.dataOffset + chunk*fullChunkFrameBytes, 1 + int(min(snapshotChunkBytes, f.size-chunk*snapshotChunkBytes))
}

// chunkWriter splits what is written to it into chunks.
type chunkWriter struct {
	out  *frameWriter
	buf  []byte // kind and data of the next chunk
	size int64
	err  error
}

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (int, error) {
	for rest := p; len(rest) > 0 && w.err == nil; {
		n := min(len(rest), 1+snapshotChunkBytes-len(w.buf))
		w.buf = append(w.buf, rest[:n]...)
		rest = rest[n:]
		w.size += int64(n)
		if len(w.buf) == 1+snapshotChunkBytes {
			w.flush()
		}
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

// flush writes the buffered chunk, if it has data, and starts the next one.
func (w *chunkWriter) flush() {
	if len(w.buf) > 1 && w.err == nil {
		w.err = w.out.writeFrame(w.buf)
	}
	w.buf = append(w.buf[:0], chunkKind)
}

// finish writes the last chunk and the end frame.
func (w *chunkWriter) finish() error {
	w.flush()
	if w.err != nil {
		return w.err
	}
	return w.out.writeFrame(binary.AppendUvarint([]byte{endKind}, uint64(w.size)))
}

// writeSnapshot writes a snapshot file. An error of write is returned as it is.
func (l *Log) writeSnapshot(header snapshotHeader, write func(io.Writer) error) (snapshotFile, error) {
	file := snapshotFile{name: snapshotName(header.Index, header.Term)}
	encodedHeader, err := cbor.Marshal(header)
	if err != nil {
		return file, ioError("encode", file.name, err)
	}
	file.dataOffset = int64(headerBytes + len(encodedHeader))
	var writeErr error
	err = l.replaceFile(file.name, func(out *frameWriter) error {
		if err := out.writeFrame(encodedHeader); err != nil {
			return err
		}
		w := &chunkWriter{out: out, buf: append(make([]byte, 0, 1+snapshotChunkBytes), chunkKind)}
		if err := write(w); err != nil && w.err == nil {
			writeErr = err
			return err
		}
		file.size = w.size
		return w.finish()
	})
	if writeErr != nil {
		return file, writeErr
	}
	return file, err
}

// openSnapshot reads the header of a snapshot file and determines the length of its data.
func (l *Log) openSnapshot(name string) (snapshotHeader, snapshotFile, error) {
	var header snapshotHeader
	length, _, err := l.peekFrame(name, 0)
	if err != nil {
		return header, snapshotFile{}, err
	}
	payload, err := l.readFrameAt(name, 0, length)
	if err != nil {
		return header, snapshotFile{}, err
	}
	if err := cbor.Unmarshal(payload, &header); err != nil {
		return header, snapshotFile{}, corrupt(name, headerBytes, err.Error())
	}
	if name != snapshotName(header.Index, header.Term) {
		return header, snapshotFile{}, corrupt(name, headerBytes, "file name does not match the snapshot header")
	}
	file := snapshotFile{name: name, dataOffset: int64(headerBytes + length)}
	file.size, err = l.snapshotSize(file)
	return header, file, err
}

// peekFrame reads the length and the first byte of the payload of a frame, without verifying it.
func (l *Log) peekFrame(name string, offset int64) (length int, kind byte, err error) {
	var b [headerBytes + 1]byte
	if err := l.readAt(name, b[:], offset); err != nil {
		return 0, 0, err
	}
	n := binary.LittleEndian.Uint32(b[4:])
	if n == 0 || n > 1+snapshotChunkBytes {
		return 0, 0, corrupt(name, offset, "frame has an invalid length")
	}
	return int(n), b[headerBytes], nil
}

// snapshotSize scans the chunks up to the end frame and returns the length of the data.
func (l *Log) snapshotSize(f snapshotFile) (int64, error) {
	size, offset := int64(0), f.dataOffset
	for {
		length, kind, err := l.peekFrame(f.name, offset)
		if err != nil {
			return 0, err
		}
		if kind == chunkKind {
			size += int64(length - 1)
			offset += int64(headerBytes + length)
			continue
		}
		payload, err := l.readFrameAt(f.name, offset, length)
		if err != nil {
			return 0, err
		}
		if want, n := binary.Uvarint(payload[1:]); payload[0] != endKind || n <= 0 || want != uint64(size) {
			return 0, corrupt(f.name, offset, "end frame does not match the length of the data")
		}
		return size, nil
	}
}

// readChunk verifies the chunk that contains the byte at offset of the data and returns its bytes
// from there on.
func (l *Log) readChunk(f snapshotFile, offset int64) ([]byte, error) {
	frameOffset, length := f.chunkFrame(offset)
	payload, err := l.readFrameAt(f.name, frameOffset, length)
	if err != nil {
		return nil, err
	}
	if payload[0] != chunkKind {
		return nil, corrupt(f.name, frameOffset, "chunk is missing")
	}
	return payload[1+offset%snapshotChunkBytes:], nil
}

// ReadSnapshot returns the data of the stored snapshot from offset up to the end of its chunk, and the
// length of the whole data. It returns errs.Conflict if index is not that of the stored snapshot, and
// errs.Corrupt if the chunk is corrupted.
func (l *Log) ReadSnapshot(index, offset uint64) (chunk []byte, size uint64, err error) {
	if l.snapshot.Index != index {
		return nil, 0, &errs.Conflict{Kind: "snapshot", ID: l.dir, Stored: fmt.Sprint(l.snapshot.Index), Received: fmt.Sprint(index)}
	}
	size = uint64(l.snapshotFile.size)
	if offset >= size {
		return nil, size, nil
	}
	chunk, err = l.readChunk(l.snapshotFile, int64(offset))
	return chunk, size, err
}

// SnapshotReader returns a reader of the data of the stored snapshot. It must not be used after the
// next snapshot is stored.
func (l *Log) SnapshotReader() io.Reader { return &chunkReader{log: l, file: l.snapshotFile} }

type chunkReader struct {
	log      *Log
	file     snapshotFile
	offset   int64
	buffered []byte
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	if len(r.buffered) == 0 {
		if r.offset >= r.file.size {
			return 0, io.EOF
		}
		chunk, err := r.log.readChunk(r.file, r.offset)
		if err != nil {
			return 0, err
		}
		r.buffered = chunk
	}
	n := copy(p, r.buffered)
	r.buffered = r.buffered[n:]
	r.offset += int64(n)
	return n, nil
}
