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
	"fuchsiaflow/fleet"
	"fuchsiaflow/jobs"
	"fuchsiaflow/origins"
	"fuchsiaflow/quarantine"
	"fuchsiaflow/usage"
)

// A snapshot is a sequence of records: first a snapshotHeader, then for each batch job an entryHeader
// and its results. A record is its length as a uvarint, followed by its CBOR encoding. Records are
// written and read one by one, so that neither needs a copy of the state in memory. The CBOR library
// can decode a sequence without lengths, but its decoder doubles its buffer with each read.

// snapshotHeader is the state without the entries of the batch jobs.
type snapshotHeader struct {
	Config   PutConfig         `cbor:"1,keyasint"`
	Versions map[string]uint64 `cbor:"2,keyasint"`
	Retiring map[string]string `cbor:"3,keyasint"`
	Jobs     jobs.Snapshot     `cbor:"4,keyasint"`
	Index    uint64            `cbor:"5,keyasint"`
	// EntryCount is the number of batch jobs that follow.
	EntryCount int `cbor:"6,keyasint"`
	// Departures holds the departures of targets, the oldest first.
	Departures []fleet.Departure `cbor:"7,keyasint,omitempty"`
	Notices    []fleet.Notice    `cbor:"8,keyasint,omitempty"`
	// Quarantine holds the requests under which targets have crashed.
	Quarantine []quarantine.Entry `cbor:"9,keyasint,omitempty"`
	// Origins holds what began the newest streams, the oldest first.
	Origins []origins.Origin `cbor:"10,keyasint,omitempty"`
	// Usage holds the usage of client accounts; nil if none is reported.
	Usage *usage.State `cbor:"30,keyasint,omitempty"`
}

// entryHeader is the entry of a batch job without its results.
type entryHeader struct {
	Entry jobs.Entry `cbor:"1,keyasint"`
	// ResultCount is the number of results that follow.
	ResultCount int `cbor:"2,keyasint"`
}

const (
	// snapshotBufferBytes is the size of the I/O buffers. Most results have a few kB.
	snapshotBufferBytes = 64 << 10
	// maxRecordBytes bounds the length of a record, so that a corrupt length is rejected before memory
	// is allocated.
	maxRecordBytes = 1 << 30
)

// recordWriter writes length-prefixed records.
type recordWriter struct {
	out *bufio.Writer
	buf bytes.Buffer
	enc *cbor.Encoder
}

func newRecordWriter(w io.Writer) *recordWriter {
	r := &recordWriter{out: bufio.NewWriterSize(w, snapshotBufferBytes)}
	r.enc = cbor.NewEncoder(&r.buf)
	return r
}

func (w *recordWriter) write(v any) error {
	w.buf.Reset()
	if err := w.enc.Encode(v); err != nil {
		return &errs.Corrupt{What: "snapshot record", Detail: err.Error()}
	}
	var length [binary.MaxVarintLen64]byte
	if _, err := w.out.Write(length[:binary.PutUvarint(length[:], uint64(w.buf.Len()))]); err != nil {
		return err
	}
	_, err := w.out.Write(w.buf.Bytes())
	return err
}

// recordReader reads what a recordWriter wrote.
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
		return &errs.Corrupt{What: "snapshot record", Detail: fmt.Sprintf("its length of %d bytes exceeds the limit", n)}
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

// WriteSnapshot writes a snapshot of the state.
func (s *State) WriteSnapshot(w io.Writer) error {
	header := snapshotHeader{Config: s.config, Versions: s.versions, Retiring: s.retiring, Jobs: s.jobs.Snapshot(), Index: s.index, Departures: s.departures.All(), Notices: s.notices.All(), Quarantine: s.quarantine.All(), Origins: s.origins.All(),
		Usage: s.usage.State()}
	entries := header.Jobs.Entries
	header.Jobs.Entries = nil
	header.EntryCount = len(entries)
	records := newRecordWriter(w)
	if err := records.write(&header); err != nil {
		return err
	}
	for _, e := range entries {
		entry := entryHeader{Entry: *e, ResultCount: len(e.Results)}
		entry.Entry.Results = nil
		if err := records.write(&entry); err != nil {
			return err
		}
		for i := range e.Results {
			if err := records.write(&e.Results[i]); err != nil {
				return err
			}
		}
	}
	return records.out.Flush()
}

// ReadSnapshot replaces the state with a snapshot. If it returns an error, the state is unchanged; the
// error is errs.Corrupt if the snapshot cannot be decoded, or the failure of the reader.
func (s *State) ReadSnapshot(r io.Reader) error {
	records := &recordReader{in: bufio.NewReaderSize(r, snapshotBufferBytes)}
	var header snapshotHeader
	err := records.read(&header)
	for range header.EntryCount {
		if err != nil {
			break
		}
		var e *jobs.Entry
		e, err = records.readEntry()
		header.Jobs.Entries = append(header.Jobs.Entries, e)
	}
	if err != nil {
		return classifySnapshotError(err)
	}
	restored := New()
	restored.config, restored.index = header.Config, header.Index
	maps.Copy(restored.versions, header.Versions)
	maps.Copy(restored.retiring, header.Retiring)
	restored.jobs = jobs.Restore(header.Jobs)
	restored.departures = fleet.NewDepartures(header.Departures)
	restored.notices = fleet.NewNotices(header.Notices)
	restored.quarantine = quarantine.NewTable(header.Quarantine)
	restored.origins = origins.NewTable(header.Origins)
	restored.usage = usage.Restore(header.Usage)
	*s = *restored
	return nil
}

// readEntry reads the entry of a batch job with its results.
func (r *recordReader) readEntry() (*jobs.Entry, error) {
	var header entryHeader
	err := r.read(&header)
	for range header.ResultCount {
		if err != nil {
			break
		}
		var result jobs.Result
		err = r.read(&result)
		header.Entry.Results = append(header.Entry.Results, result)
	}
	return &header.Entry, err
}

// classifySnapshotError returns a typed failure, such as one of the disk, as it is. All other errors
// mean that the snapshot cannot be decoded and become errs.Corrupt.
func classifySnapshotError(err error) error {
	var failure errs.Failure
	if errors.As(err, &failure) {
		return err
	}
	return &errs.Corrupt{What: "store state snapshot", Detail: err.Error()}
}
