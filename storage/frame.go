package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"fuchsiaflow/errs"
)

// A frame consists of a header of 20 bytes (little endian) and a payload:
//
//	0  magic
//	4  length of the payload
//	8  number of sectors whose part of the payload is all zero
//	12 CRC-32C of the payload
//	16 CRC-32C of bytes 0 to 15 and of the position (segment number, or zero in other files, and
//	   offset)
//
// The header has its own checksum so that a corrupted length is not mistaken for a truncated
// frame.
const (
	frameMagic  = 0x31574c46
	headerBytes = 20
	// sectorBytes is the smallest unit that a disk writes or loses as a whole.
	sectorBytes = 512
	// maxPayloadBytes rejects implausible lengths before memory is allocated.
	maxPayloadBytes = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// headerChecksum includes the position: a copy of a frame is not valid elsewhere.
func headerChecksum(header []byte, segment, offset uint64) uint32 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:8], segment)
	binary.LittleEndian.PutUint64(position[8:], offset)
	return crc32.Update(crc32.Checksum(header[:16], castagnoli), castagnoli, position[:])
}

// sealFrame writes the header of a frame into the first headerBytes of buf; the payload follows.
func sealFrame(buf []byte, segment, offset uint64) {
	putHeader(buf[:headerBytes], buf[headerBytes:], segment, offset)
}

// putHeader encodes into h the header of a frame that starts at offset.
func putHeader(h, payload []byte, segment, offset uint64) {
	binary.LittleEndian.PutUint32(h, frameMagic)
	binary.LittleEndian.PutUint32(h[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(h[8:], uint32(zeroSectors(payload, offset+headerBytes)))
	binary.LittleEndian.PutUint32(h[12:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(h[16:], headerChecksum(h, segment, offset))
}

// zeroSectors counts the sectors whose part of b is all zero, where b is stored at offset.
func zeroSectors(b []byte, offset uint64) int {
	count := 0
	for len(b) > 0 {
		n := min(len(b), int(sectorBytes-offset%sectorBytes))
		if len(bytes.TrimLeft(b[:n], "\x00")) == 0 {
			count++
		}
		b, offset = b[n:], offset+uint64(n)
	}
	return count
}

type frameState uint8

const (
	frameValid frameState = iota
	// frameIncomplete is what a write that was never synced may leave.
	frameIncomplete
	frameCorrupt
)

// readFrame decodes the frame at the start of b, where b is stored at offset.
func readFrame(b []byte, segment, offset uint64) (payload []byte, size int, state frameState) {
	if len(b) < headerBytes {
		return nil, 0, frameIncomplete
	}
	h := b[:headerBytes]
	length := int(binary.LittleEndian.Uint32(h[4:]))
	if binary.LittleEndian.Uint32(h) != frameMagic || length > maxPayloadBytes ||
		binary.LittleEndian.Uint32(h[16:]) != headerChecksum(h, segment, offset) {
		if zeroSectors(h, offset) > 0 {
			return nil, 0, frameIncomplete
		}
		return nil, 0, frameCorrupt
	}
	size = headerBytes + length
	if len(b) < size {
		return nil, 0, frameIncomplete
	}
	payload = b[headerBytes:size]
	if binary.LittleEndian.Uint32(h[12:]) == crc32.Checksum(payload, castagnoli) {
		return payload, size, frameValid
	}
	if zeroSectors(payload, offset+headerBytes) > int(binary.LittleEndian.Uint32(h[8:])) {
		return nil, 0, frameIncomplete
	}
	return nil, 0, frameCorrupt
}

// containsFrame reports whether a valid frame starts anywhere after the first byte of b.
func containsFrame(b []byte, segment, offset uint64) bool {
	var magic [4]byte
	binary.LittleEndian.PutUint32(magic[:], frameMagic)
	for at := 1; at < len(b); at++ {
		i := bytes.Index(b[at:], magic[:])
		if i < 0 {
			return false
		}
		at += i
		if _, _, state := readFrame(b[at:], segment, offset+uint64(at)); state == frameValid {
			return true
		}
	}
	return false
}

// Kinds of the items in a log frame. The fields of an item follow its kind as uvarints and as byte
// strings with a length prefix.
const (
	itemHardState = 'h'
	itemEntry     = 'e'
	// itemSnapshot marks that a snapshot replaced the entries up to its index, or all entries
	// before the marker.
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

func appendSnapshotMarker(buf []byte, index uint64, reset bool) []byte {
	buf = append(buf, itemSnapshot)
	buf = binary.AppendUvarint(buf, index)
	if reset {
		return append(buf, 1)
	}
	return append(buf, 0)
}

// decoder reads the fields of items. After a failure it returns zero values.
type decoder struct {
	b      []byte
	failed bool
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.failed, d.b = true, nil
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if d.failed || n > uint64(len(d.b)) {
		d.failed, d.b = true, nil
		return nil
	}
	out := bytes.Clone(d.b[:n])
	d.b = d.b[n:]
	return out
}

func corrupt(file string, offset int64, detail string) error {
	return &errs.Corrupt{What: file, Offset: offset, Detail: detail}
}
