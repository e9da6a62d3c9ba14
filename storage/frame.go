package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"fuchsiaflow/errs"
)

// A frame is a header of 20 bytes, little endian, and a payload:
//
//	0  magic
//	4  length of the payload
//	8  number of sectors of the frame that are entirely zero
//	12 CRC-32C of the payload
//	16 CRC-32C of bytes 0 to 15 and of the position (file number, offset)
//
// The header has its own checksum so that a damaged length is not mistaken for a frame that
// was cut short.
const (
	frameMagic  = 0x31574c46
	headerBytes = 20
	// sectorBytes is the smallest unit that a disk writes or loses as a whole.
	sectorBytes = 512
	// maxPayloadBytes rejects absurd lengths before memory is allocated.
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func positionSum(header []byte, file, offset uint64) uint32 {
	var pos [16]byte
	binary.LittleEndian.PutUint64(pos[:8], file)
	binary.LittleEndian.PutUint64(pos[8:], offset)
	return crc32.Update(crc32.Checksum(header[:16], castagnoli), castagnoli, pos[:])
}

// sealFrame fills the header of a buffer that has headerBytes of space before its payload.
func sealFrame(buf []byte, file, offset uint64) {
	fillHeader(buf[:headerBytes], buf[headerBytes:], file, offset)
}

// fillHeader fills the header h of a frame with a payload, which starts at offset of a file.
func fillHeader(h, payload []byte, file, offset uint64) {
	binary.LittleEndian.PutUint32(h, frameMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[8:], uint32(zeroSectors(payload, offset+headerBytes)))
	binary.LittleEndian.PutUint32(h[12:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[16:], positionSum(h, file, offset))
}

// zeroSectors counts the sectors of which the part inside b, stored at offset, is zero.
func zeroSectors(b []byte, offset uint64) int {
	n := 0
	for len(b) > 0 {
		k := min(len(b), int(sectorBytes-offset%sectorBytes))
		if len(bytes.TrimLeft(b[:k], "\x00")) == 0 {
			n++
		}
		b, offset = b[k:], offset+uint64(k)
	}
	return n
}

type frameState uint8

const (
	frameGood frameState = iota
	// frameTorn is the remainder of a write that was never synced.
	frameTorn
	frameDamaged
)

// readFrame decodes the frame at the start of b, which is stored at offset of a file.
func readFrame(b []byte, file, offset uint64) (payload []byte, size int, state frameState) {
	if len(b) < headerBytes {
		return nil, 0, frameTorn
	}
	h := b[:headerBytes]
	length := int(binary.LittleEndian.Uint32(h[4:]))
	if binary.LittleEndian.Uint32(h) != frameMagic || length > maxPayloadBytes ||
		binary.LittleEndian.Uint32(h[16:]) != positionSum(h, file, offset) {
		if zeroSectors(h, offset) > 0 {
			return nil, 0, frameTorn
		}
		return nil, 0, frameDamaged
	}
	size = headerBytes + length
	if len(b) < size {
		return nil, 0, frameTorn
	}
	payload = b[headerBytes:size]
	if binary.LittleEndian.Uint32(h[12:]) == crc32.Checksum(payload, castagnoli) {
		return payload, size, frameGood
	}
	if zeroSectors(payload, offset+headerBytes) > int(binary.LittleEndian.Uint32(h[8:])) {
		return nil, 0, frameTorn
	}
	return nil, 0, frameDamaged
}

// frameAfter reports whether a good frame starts anywhere after the start of b.
func frameAfter(b []byte, file, offset uint64) bool {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for at := 1; at < len(b); at++ {
		i := bytes.Index(b[at:], magic[:])
		if i < 0 {
			return false
		}
		at += i
		if _, _, state := readFrame(b[at:], file, offset+uint64(at)); state == frameGood {
			return true
		}
	}
	return false
}

// The items of a log frame: a kind, then uvarints and bytes.
const (
	itemHardState = 'h'
	itemEntry     = 'e'
	// itemSnapshot records that a snapshot file replaced the log up to an entry, or the
	// whole log.
	itemSnapshot = 's'
)

func appendBytes(buf, data []byte) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(data)))
	return append(buf, data...)
}

func appendHardState(buf, hs []byte) []byte {
	return appendBytes(append(buf, itemHardState), hs)
}

func appendEntry(buf []byte, e Entry) []byte {
	buf = append(buf, itemEntry)
	buf = binary.AppendUvarint(buf, e.Index)
	buf = binary.AppendUvarint(buf, e.Term)
	return appendBytes(buf, e.Data)
}

func appendMarker(buf []byte, index uint64, reset bool) []byte {
	buf = append(buf, itemSnapshot)
	buf = binary.AppendUvarint(buf, index)
	if reset {
		return append(buf, 1)
	}
	return append(buf, 0)
}

// decoder reads items. It remembers the first failure.
type decoder struct {
	b   []byte
	bad bool
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.bad, d.b = true, nil
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if d.bad || n > uint64(len(d.b)) {
		d.bad, d.b = true, nil
		return nil
	}
	out := bytes.Clone(d.b[:n])
	d.b = d.b[n:]
	return out
}

func corrupt(file string, offset int64, detail string) error {
	return &errs.Corrupt{What: file, Offset: offset, Detail: detail}
}
