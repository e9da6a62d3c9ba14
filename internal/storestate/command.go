package storestate

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
	"fuchsiaflow/fleet"
	"fuchsiaflow/jobs"
)

// A command is encoded as the length of its header, the header in CBOR, and the concatenated pieces
// of its texts. The state references the texts within the encoded command, so that the log and the
// state share one copy of them in memory.

// commandHeader is a command without its texts.
type commandHeader struct {
	Command `cbor:"1,keyasint"`
	// TextPieceLengths holds the lengths of the pieces of each text, in the order of Command.texts.
	TextPieceLengths [][]int `cbor:"2,keyasint,omitempty"`
}

// texts returns the texts of a command, which are encoded after the header.
func (c *Command) texts() []*jobs.Text {
	switch {
	case c.FinishItem != nil:
		return []*jobs.Text{&c.FinishItem.Result.Text}
	case c.Progress != nil:
		list := make([]*jobs.Text, 0, len(c.Progress.Items))
		for i := range c.Progress.Items {
			list = append(list, &c.Progress.Items[i].Partial.Text)
		}
		return list
	}
	return nil
}

// EncodeCommand returns the encoding of a command. It removes the texts of c while it encodes the
// header and puts them back before it returns; it does not retain c.
func EncodeCommand(c *Command) []byte {
	header := commandHeader{Command: *c}
	var texts []jobs.Text
	textBytes := 0
	for _, t := range c.texts() {
		texts = append(texts, *t)
		header.TextPieceLengths = append(header.TextPieceLengths, pieceLengths(*t))
		textBytes += t.PackedLen()
		*t = nil
	}
	encodedHeader := Encode(header)
	out := make([]byte, 0, binary.MaxVarintLen32+len(encodedHeader)+textBytes)
	out = binary.AppendUvarint(out, uint64(len(encodedHeader)))
	out = append(out, encodedHeader...)
	for i, t := range c.texts() {
		*t = texts[i]
		for _, piece := range texts[i] {
			out = append(out, piece...)
		}
	}
	return out
}

func pieceLengths(t jobs.Text) []int {
	var lengths []int
	for _, piece := range t {
		lengths = append(lengths, len(piece))
	}
	return lengths
}

// splitCommand returns the header of an encoded command and what follows it. ok is false if the header is truncated.
func splitCommand(data []byte) (header, rest []byte, ok bool) {
	headerLen, prefixLen := binary.Uvarint(data)
	if prefixLen <= 0 || headerLen > uint64(len(data)-prefixLen) {
		return nil, nil, false
	}
	end := prefixLen + int(headerLen)
	return data[prefixLen:end], data[end:], true
}

// SubmittedJob returns the key of the job that an encoded command submits. ok is false for other
// commands and for those that cannot be decoded.
func SubmittedJob(data []byte) (job jobs.Key, ok bool) {
	encodedHeader, _, ok := splitCommand(data)
	if !ok {
		return job, false
	}
	var header struct {
		Command struct {
			Submit *struct {
				ID    string `cbor:"1,keyasint"`
				Owner string `cbor:"10,keyasint"`
			} `cbor:"3,keyasint"`
		} `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(encodedHeader, &header); err != nil || header.Command.Submit == nil {
		return job, false // Apply ignores a command that cannot be decoded
	}
	return jobs.Key{Owner: header.Command.Submit.Owner, ID: header.Command.Submit.ID}, true
}

// maxDepartureHeader is the size in bytes that the header of a command with a departure cannot exceed. Larger ones
// need not be decoded.
const maxDepartureHeader = 1024

// StoredDeparture returns the departure that an encoded command stores. ok is false for other commands and for those
// that cannot be decoded.
func StoredDeparture(data []byte) (d fleet.Departure, ok bool) {
	encodedHeader, _, ok := splitCommand(data)
	if !ok || len(encodedHeader) > maxDepartureHeader {
		return d, false
	}
	var header struct {
		Command struct {
			DepartTarget *fleet.Departure `cbor:"9,keyasint"`
		} `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(encodedHeader, &header); err != nil || header.Command.DepartTarget == nil {
		return d, false // Apply ignores a command that cannot be decoded
	}
	return *header.Command.DepartTarget, true
}

// decodeCommand decodes a command. The texts of the result share memory with data.
func decodeCommand(data []byte) (Command, error) {
	encodedHeader, rest, ok := splitCommand(data)
	if !ok {
		return Command{}, &errs.Corrupt{What: "command", Detail: "the header is truncated"}
	}
	var header commandHeader
	if err := cbor.Unmarshal(encodedHeader, &header); err != nil {
		return Command{}, &errs.Corrupt{What: "command", Detail: err.Error()}
	}
	texts := header.texts()
	if len(texts) != len(header.TextPieceLengths) {
		return Command{}, &errs.Corrupt{What: "command", Detail: "the number of texts does not match the header"}
	}
	for i, lengths := range header.TextPieceLengths {
		for _, n := range lengths {
			if n < 0 || n > len(rest) {
				return Command{}, &errs.Corrupt{What: "command", Detail: "a text is truncated"}
			}
			*texts[i] = append(*texts[i], jobs.Piece(rest[:n:n]))
			rest = rest[n:]
		}
	}
	return header.Command, nil
}
