package jobs

import (
	"encoding/binary"
	"sync"

	"github.com/klauspost/compress/zstd"

	"fuchsiaflow/errs"
)

// Text is a text in pieces, which stay where they were received. The replicas pass pieces on as they
// are; only the host that makes a text packs it and only the one that delivers it unpacks it, so
// that the log, the state and the messages between hosts all carry the short form.
type Text []Piece

// Piece is a part of a text in its stored form: a uvarint with the length of the part, shifted by
// one, and in the lowest bit whether the bytes that follow are compressed with zstd.
type Piece []byte

// minPackBytes is the length below which compression gains nothing over its own header.
const minPackBytes = 128

// maxPieceBytes bounds what a piece may unpack to, so that a damaged one cannot exhaust the memory.
const maxPieceBytes = 64 << 20

// codec has the compressor and the decompressor, each made when it is first used: most hosts need
// only one of them.
var codec = struct {
	encoder func() (*zstd.Encoder, error)
	decoder func() (*zstd.Decoder, error)
}{
	encoder: sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false), zstd.WithAllLitEntropyCompression(true))
	}),
	decoder: sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxPieceBytes))
	}),
}

// NewText returns a text of one packed piece; an empty one has no piece.
func NewText(data []byte) Text {
	if len(data) == 0 {
		return nil
	}
	return Text{pack(data)}
}

func pack(data []byte) Piece {
	head := binary.AppendUvarint(nil, uint64(len(data))<<1)
	if len(data) >= minPackBytes {
		if encoder, err := codec.encoder(); err == nil {
			packed := encoder.EncodeAll(data, binary.AppendUvarint(nil, uint64(len(data))<<1|1))
			if len(packed) < len(head)+len(data) {
				return packed
			}
		}
	}
	return append(head, data...)
}

// head returns the length of the part, whether it is compressed, and the bytes that follow.
func (p Piece) head() (length int, compressed bool, rest []byte, ok bool) {
	v, n := binary.Uvarint(p)
	if n <= 0 || v>>1 > maxPieceBytes {
		return 0, false, nil, false
	}
	return int(v >> 1), v&1 != 0, p[n:], true
}

func (p Piece) appendTo(out []byte) ([]byte, error) {
	length, compressed, rest, ok := p.head()
	if !ok {
		return out, &errs.Corrupt{What: "piece of a text", Detail: "its length cannot be read"}
	}
	before := len(out)
	if !compressed {
		out = append(out, rest...)
	} else {
		decoder, err := codec.decoder()
		if err == nil {
			out, err = decoder.DecodeAll(rest, out)
		}
		if err != nil {
			return out[:before], &errs.Corrupt{What: "piece of a text", Detail: err.Error()}
		}
	}
	if len(out)-before != length {
		return out[:before], &errs.Corrupt{What: "piece of a text", Detail: "its length is not the stated one"}
	}
	return out, nil
}

// Len returns the length of the unpacked text in bytes.
func (t Text) Len() int {
	n := 0
	for _, p := range t {
		length, _, _, _ := p.head()
		n += length
	}
	return n
}

// Stored returns the length of the packed text in bytes.
func (t Text) Stored() int {
	n := 0
	for _, p := range t {
		n += len(p)
	}
	return n
}

// Bytes returns the whole text unpacked.
func (t Text) Bytes() ([]byte, error) {
	out := make([]byte, 0, t.Len())
	for _, p := range t {
		var err error
		if out, err = p.appendTo(out); err != nil {
			return nil, err
		}
	}
	return out, nil
}
