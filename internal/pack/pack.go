// Package pack stores byte strings short. A packed string carries its length, so that whoever passes
// it on needs not unpack it; only the host that makes it packs it and only the one that uses it
// unpacks it. What is replicated is packed before it is proposed: replicas then hold the same bytes
// whatever version of the library they have.
package pack

import (
	"encoding/binary"
	"sync"

	"github.com/klauspost/compress/zstd"

	"fuchsiaflow/errs"
)

// A packed string is a uvarint with the length of the string, shifted by one, and in the lowest bit
// whether the bytes that follow are compressed with zstd.

// minCompressed is the length below which compression gains nothing over its own header, in bytes.
const minCompressed = 128

// maxUnpacked bounds what a string may unpack to, so that a damaged one cannot exhaust the memory, in
// bytes.
const maxUnpacked = 64 << 20

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
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpacked))
	}),
}

// Pack returns the packed form of a string.
func Pack(data []byte) []byte {
	head := binary.AppendUvarint(nil, uint64(len(data))<<1)
	if len(data) >= minCompressed {
		if encoder, err := codec.encoder(); err == nil {
			packed := encoder.EncodeAll(data, binary.AppendUvarint(nil, uint64(len(data))<<1|1))
			if len(packed) < len(head)+len(data) {
				return packed
			}
		}
	}
	return append(head, data...)
}

// head returns the length of the string, whether it is compressed, and the bytes that follow.
func head(packed []byte) (length int, compressed bool, rest []byte, ok bool) {
	v, n := binary.Uvarint(packed)
	if n <= 0 || v>>1 > maxUnpacked {
		return 0, false, nil, false
	}
	return int(v >> 1), v&1 != 0, packed[n:], true
}

// Len returns the length of the unpacked string in bytes; 0 for a damaged one.
func Len(packed []byte) int {
	length, _, _, _ := head(packed)
	return length
}

// Append appends the unpacked string to out. It returns errs.Corrupt and out as it was if the packed
// form is damaged.
func Append(out, packed []byte) ([]byte, error) {
	length, compressed, rest, ok := head(packed)
	if !ok {
		return out, corrupt("its length cannot be read")
	}
	whole := out
	if !compressed {
		whole = append(whole, rest...)
	} else {
		decoder, err := codec.decoder()
		if err == nil {
			whole, err = decoder.DecodeAll(rest, whole)
		}
		if err != nil {
			return out, corrupt(err.Error())
		}
	}
	if len(whole)-len(out) != length {
		return out, corrupt("its length is not the stated one")
	}
	return whole, nil
}

func corrupt(detail string) error { return &errs.Corrupt{What: "packed bytes", Detail: detail} }
