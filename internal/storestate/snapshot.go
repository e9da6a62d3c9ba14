package storestate

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"maps"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"fuchsiaflow/errs"
	"fuchsiaflow/jobs"
)

// A snapshot is a sequence of records, each a uvarint with its length and its CBOR encoding: first an
// image, then for each batch job its entry and its results. Records are written and read one by one,
// so that neither needs a copy of the state in memory. A decoder of a CBOR sequence would serve as
// well, but that of the library doubles its buffer with each read.

type image struct {
	Config   PutConfig         `cbor:"1,keyasint"`
	Versions map[string]uint64 `cbor:"2,keyasint"`
	Retiring map[string]string `cbor:"3,keyasint"`
	Book     jobs.Snapshot     `cbor:"4,keyasint"`
	Index    uint64            `cbor:"5,keyasint"`
	// Jobs is the number of entries of the book that follow.
	Jobs int `cbor:"6,keyasint"`
}

// entryHead stands in a snapshot for an entry whose results follow it.
type entryHead struct {
	Entry   jobs.Entry `cbor:"1,keyasint"`
	Results int        `cbor:"2,keyasint"`
}

const (
	// snapshotBuffer is the size of the buffers between records and disk, in bytes. Most results have
	// a few kB.
	snapshotBuffer = 64 << 10
	// maxRecordBytes rejects absurd lengths before memory is allocated.
	maxRecordBytes = 1 << 30
)

// recordWriter writes records.
type recordWriter struct {
	out *bufio.Writer
	buf bytes.Buffer
	enc *cbor.Encoder
}

func newRecordWriter(w io.Writer) *recordWriter {
	r := &recordWriter{out: bufio.NewWriterSize(w, snapshotBuffer)}
	r.enc = cbor.NewEncoder(&r.buf)
	return r
}

func (w *recordWriter) write(v any) error {
	w.buf.Reset()
	if err := w.enc.Encode(v); err != nil {
		return &errs.Corrupt{What: "record of a snapshot", Detail: err.Error()}
	}
	var length [binary.MaxVarintLen64]byte
	if _, err := w.out.Write(length[:binary.PutUvarint(length[:], uint64(w.buf.Len()))]); err != nil {
		return err
	}
	_, err := w.out.Write(w.buf.Bytes())
	return err
}

// recordReader reads records.
type recordReader struct {
	in  *bufio.Reader
	buf []byte
}

func (r *recordReader) read(v any) error {
	n, err := binary.ReadUvarint(r.in)
	if err != nil {
		return err
	}
	if n > maxRecordBytes {
		return &errs.Corrupt{What: "record of a snapshot", Detail: fmt.Sprintf("it has %d bytes", n)}
	}
	if uint64(cap(r.buf)) < n {
		r.buf = make([]byte, n)
	}
	r.buf = r.buf[:n]
	if _, err := io.ReadFull(r.in, r.buf); err != nil {
		return err
	}
	return cbor.Unmarshal(r.buf, v)
}

// WriteSnapshot writes the state.
func (s *State) WriteSnapshot(w io.Writer) error {
	im := image{Config: s.config, Versions: s.versions, Retiring: s.retiring, Book: s.book.Snapshot(), Index: s.index}
	entries := im.Book.Entries
	im.Book.Entries = nil
	im.Jobs = len(entries)
	out := newRecordWriter(w)
	if err := out.write(&im); err != nil {
		return err
	}
	for _, e := range entries {
		h := entryHead{Entry: *e, Results: len(e.Results)}
		h.Entry.Results = nil
		if err := out.write(&h); err != nil {
			return err
		}
		for i := range e.Results {
			if err := out.write(&e.Results[i]); err != nil {
				return err
			}
		}
	}
	return out.out.Flush()
}

// ReadSnapshot replaces the state by what WriteSnapshot wrote. After a failure the state is as it was.
func (s *State) ReadSnapshot(r io.Reader) error {
	in := &recordReader{in: bufio.NewReaderSize(r, snapshotBuffer)}
	var im image
	err := in.read(&im)
	for range im.Jobs {
		if err != nil {
			break
		}
		var e *jobs.Entry
		e, err = in.entry()
		im.Book.Entries = append(im.Book.Entries, e)
	}
	if err != nil {
		return snapshotFailure(err)
	}
	fresh := New()
	fresh.config, fresh.index = im.Config, im.Index
	maps.Copy(fresh.versions, im.Versions)
	maps.Copy(fresh.retiring, im.Retiring)
	fresh.book = jobs.Restore(im.Book)
	*s = *fresh
	return nil
}

// entry reads an entry and its results.
func (r *recordReader) entry() (*jobs.Entry, error) {
	var h entryHead
	err := r.read(&h)
	for range h.Results {
		if err != nil {
			break
		}
		var result jobs.Result
		err = r.read(&result)
		h.Entry.Results = append(h.Entry.Results, result)
	}
	return &h.Entry, err
}

// snapshotFailure keeps a failure of the disk apart from a snapshot that cannot be decoded.
func snapshotFailure(err error) error {
	var failure errs.Failure
	if errors.As(err, &failure) {
		return err
	}
	return &errs.Corrupt{What: "snapshot of the store state", Detail: err.Error()}
}
