package jobs

import "fuchsiaflow/internal/pack"

// Text is a text in pieces, each in its packed form, which stay where they were received: the log, the
// state and the messages between hosts all carry the short form.
type Text []Piece

// Piece is a part of a text as package pack stores it.
type Piece []byte

// NewText returns a text of one piece; an empty one has no piece.
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
		n += pack.Len(p)
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
		if out, err = pack.Append(out, p); err != nil {
			return nil, err
		}
	}
	return out, nil
}
