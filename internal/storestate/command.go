package storestate

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// A command is encoded as the length of its head, the head in CBOR, and the texts of its results
// one after the other. The state refers to the texts where they stand in the command, so that
// the log and the state share one copy of them in memory.

// EncodeCommand returns the encoding of a command.
func EncodeCommand(c *Command) []byte {
	head, texts := *c, 0
	if c.Finish != nil {
		f := Finish{Job: c.Finish.Job}
		for _, r := range c.Finish.Results {
			texts += len(r.Text)
			f.Lengths = append(f.Lengths, len(r.Text))
			r.Text = nil
			f.Results = append(f.Results, r)
		}
		head.Finish = &f
	}
	h := Encode(head)
	out := make([]byte, 0, binary.MaxVarintLen64+len(h)+texts)
	out = binary.AppendUvarint(out, uint64(len(h)))
	out = append(out, h...)
	if c.Finish != nil {
		for _, r := range c.Finish.Results {
			out = append(out, r.Text...)
		}
	}
	return out
}

// decodeCommand decodes a command whose texts refer to data.
func decodeCommand(data []byte) (Command, error) {
	var c Command
	n, used := binary.Uvarint(data)
	if used <= 0 || n > uint64(len(data)-used) {
		return c, &errs.Corrupt{What: "command", Detail: "its head is incomplete"}
	}
	head, rest := data[used:used+int(n)], data[used+int(n):]
	if err := cbor.Unmarshal(head, &c); err != nil {
		return c, &errs.Corrupt{What: "command", Detail: err.Error()}
	}
	if c.Finish == nil {
		return c, nil
	}
	return c, c.Finish.attach(rest)
}

// attach gives each result its text.
func (f *Finish) attach(texts []byte) error {
	if len(f.Lengths) != len(f.Results) {
		return &errs.Corrupt{What: "command", Detail: "results without a length"}
	}
	for i, n := range f.Lengths {
		if n < 0 || n > len(texts) {
			return &errs.Corrupt{What: "command", Detail: "the texts are incomplete"}
		}
		f.Results[i].Text, texts = texts[:n:n], texts[n:]
	}
	return nil
}
