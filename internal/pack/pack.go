// Package pack encodes byte strings compactly, compressed with zstd if that makes them shorter. The
// packed form includes the length, so that hosts that only forward it need not unpack it: the host
// that creates a string packs it, and the one that uses it unpacks it. Replicated strings are packed
// before they are proposed, so that all replicas hold the same bytes whatever version of the
// compression library they have.
package pack

import (
	"encoding/binary"
	"sync"

	"github.com/klauspost/compress/zstd"

	"fuchsiaflow/errs"
)

// A packed string starts with a uvarint: the length of the unpacked string in bytes, shifted left by
// one, with the lowest bit set if the bytes that follow are compressed.

// minCompressBytes is the shortest string to compress. Below it, compression saves less than its header
// takes.
const minCompressBytes = 128

// maxUnpackedBytes limits the unpacked length, so that a corrupted string cannot exhaust the memory.
const maxUnpackedBytes = 64 << 20

// zstdCodec creates the encoder and the decoder on first use, because most hosts need only one of
// them.
var zstdCodec = struct {
	encoder func() (*zstd.Encoder, error)
	decoder func() (*zstd.Decoder, error)
}{
	encoder: sync.OnceValues(func() (*zstd.Encoder, error) {
		return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
			zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false), zstd.WithAllLitEntropyCompression(true))
	}),
	decoder: sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	}),
}

// Pack returns the packed form of data.
func Pack(data []byte) []byte {
	header := binary.AppendUvarint(nil, uint64(len(data))<<1)
	if len(data) >= minCompressBytes {
		if encoder, err := zstdCodec.encoder(); err == nil {
			packed := encoder.EncodeAll(data, binary.AppendUvarint(nil, uint64(len(data))<<1|1))
			if len(packed) < len(header)+len(data) {
				return packed
			}
		}
	}
	return append(header, data...)
}

// parseHeader returns the unpacked length, whether the string is compressed, and the bytes after the
// header.
func parseHeader(packed []byte) (length int, compressed bool, payload []byte, ok bool) {
	header, n := binary.Uvarint(packed)
	if n <= 0 || header>>1 > maxUnpackedBytes {
		return 0, false, nil, false
	}
	return int(header >> 1), header&1 != 0, packed[n:], true
}

// UnpackedLen returns the length of the unpacked string in bytes, or 0 if the header is invalid.
func UnpackedLen(packed []byte) int {
	length, _, _, _ := parseHeader(packed)
	return length
}

// AppendUnpacked appends the unpacked string to out. If the packed form is corrupted, it returns out unchanged
// and errs.Corrupt.
func AppendUnpacked(out, packed []byte) ([]byte, error) {
	length, compressed, payload, ok := parseHeader(packed)
	if !ok {
		return out, corrupt("invalid header")
	}
	unpacked := out
	if !compressed {
		unpacked = append(unpacked, payload...)
	} else {
		decoder, err := zstdCodec.decoder()
		if err == nil {
			unpacked, err = decoder.DecodeAll(payload, unpacked)
		}
		if err != nil {
			return out, corrupt(err.Error())
		}
	}
	if len(unpacked)-len(out) != length {
		return out, corrupt("length differs from the header")
	}
	return unpacked, nil
}

func corrupt(detail string) error { return &errs.Corrupt{What: "packed bytes", Detail: detail} }
