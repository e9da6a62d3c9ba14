package jobs

import "fuchsiaflow/internal/pack"

// Text is a text in packed pieces. The pieces are referenced where they were received and not copied:
// the log, the state and the messages between hosts all hold the packed form.
type Text []Piece

// Piece is a part of a text, as encoded by package pack.
type Piece []byte

// NewText returns data as a text of one piece, or of none if data is empty.
func NewText(data []byte) Text {
	if len(data) == 0 {
		return nil
	}
	return Text{pack.Pack(data)}
}

// Len returns the length of the unpacked text in bytes.
func (t Text) Len() int {
	n := 0
	for _, p := range t {
		n += pack.UnpackedLen(p)
	}
	return n
}

// PackedLen returns the total length of the packed pieces in bytes.
func (t Text) PackedLen() int {
	n := 0
	for _, p := range t {
		n += len(p)
	}
	return n
}

// Bytes returns the unpacked text.
func (t Text) Bytes() ([]byte, error) {
	out := make([]byte, 0, t.Len())
	for _, p := range t {
		var err error
		if out, err = pack.AppendUnpacked(out, p); err != nil {
			return nil, err
		}
	}
	return out, nil
}
