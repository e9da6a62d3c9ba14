package storestate

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
	"fuchsiaflow/jobs"
)

// A command is encoded as the length of its head, the head in CBOR, and the pieces of its texts
// one after the other. The state refers to the texts where they stand in the command, so that
// the log and the state share one copy of them in memory.

// envelope is the head of a command.
type envelope struct {
	Command `cbor:"1,keyasint"`
	// Lengths has the lengths of the pieces of each text in the order of texts.
	Lengths [][]int `cbor:"2,keyasint,omitempty"`
}

// texts lists the texts of a command.
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

// EncodeCommand returns the encoding of a command. It does not keep the command.
func EncodeCommand(c *Command) []byte {
	e := envelope{Command: *c}
	var texts []jobs.Text
	size := 0
	for _, t := range c.texts() {
		texts = append(texts, *t)
		e.Lengths = append(e.Lengths, pieceLengths(*t))
		size += t.Stored()
		*t = nil
	}
	head := Encode(e)
	out := make([]byte, 0, binary.MaxVarintLen32+len(head)+size)
	out = binary.AppendUvarint(out, uint64(len(head)))
	out = append(out, head...)
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

// SubmittedJob returns the id of the job that a command submits; ok is false for other commands.
func SubmittedJob(data []byte) (id string, ok bool) {
	n, used := binary.Uvarint(data)
	if used <= 0 || n > uint64(len(data)-used) {
		return "", false
	}
	var e struct {
		Command struct {
			Submit *struct {
				ID string `cbor:"1,keyasint"`
			} `cbor:"3,keyasint"`
		} `cbor:"1,keyasint"`
	}
	if err := cbor.Unmarshal(data[used:used+int(n)], &e); err != nil || e.Command.Submit == nil {
		return "", false // a command that cannot be decoded changes nothing
	}
	return e.Command.Submit.ID, true
}

// decodeCommand decodes a command whose texts refer to data.
func decodeCommand(data []byte) (Command, error) {
	n, used := binary.Uvarint(data)
	if used <= 0 || n > uint64(len(data)-used) {
		return Command{}, &errs.Corrupt{What: "command", Detail: "its head is incomplete"}
	}
	var e envelope
	head, rest := data[used:used+int(n)], data[used+int(n):]
	if err := cbor.Unmarshal(head, &e); err != nil {
		return Command{}, &errs.Corrupt{What: "command", Detail: err.Error()}
	}
	texts := e.texts()
	if len(texts) != len(e.Lengths) {
		return Command{}, &errs.Corrupt{What: "command", Detail: "texts without a length"}
	}
	for i, lengths := range e.Lengths {
		for _, n := range lengths {
			if n < 0 || n > len(rest) {
				return Command{}, &errs.Corrupt{What: "command", Detail: "the texts are incomplete"}
			}
			*texts[i] = append(*texts[i], jobs.Piece(rest[:n:n]))
			rest = rest[n:]
		}
	}
	return e.Command, nil
}
