package ledger

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/errs"
)

// maxArrayElements is the decoder's limit. It admits a snapshot array of MaxSlots elements
// with room for larger future steps.
const maxArrayElements = 1 << 22

var encMode, decMode = mustModes()

func mustModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxArrayElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Encode returns the log form of a command.
func (c Command) Encode() ([]byte, error) { return marshal("ledger command", c) }

// Encode returns the wire form of a result without its Failure.
func (r Result) Encode() ([]byte, error) { return marshal("ledger result", r) }

func marshal(what string, v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, &errs.Corrupt{What: what, Detail: err.Error()}
	}
	return b, nil
}

// DecodeCommand reads the form that Command.Encode writes.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	if err := decMode.Unmarshal(b, &c); err != nil {
		return Command{}, &errs.Corrupt{What: "ledger command", Detail: err.Error()}
	}
	return c, nil
}

// DecodeResult reads the form that Result.Encode writes.
func DecodeResult(b []byte) (Result, error) {
	var r Result
	if err := decMode.Unmarshal(b, &r); err != nil {
		return Result{}, &errs.Corrupt{What: "ledger result", Detail: err.Error()}
	}
	return r, nil
}

// acceptWire holds the names and version lists of an Accept once per entry. They repeat
// through the samples of an entry and would otherwise be most of its size.
type acceptWire struct {
	_        struct{} `cbor:",toarray"`
	Steps    [][2]string
	Versions [][]uint64
	Holders  [][]string
	Samples  []producedWire
}

type producedWire struct {
	_        struct{} `cbor:",toarray"`
	Step     int
	Slot     int
	Attempt  uint64
	Versions int
	Digest   Digest
	Tokens   uint32
	Holders  int
}

// MarshalCBOR implements cbor.Marshaler.
func (a Accept) MarshalCBOR() ([]byte, error) {
	w := acceptWire{Samples: make([]producedWire, 0, len(a.Produced))}
	steps := map[[2]string]int{}
	for _, p := range a.Produced {
		key := [2]string{p.Tenancy, p.Step}
		if _, ok := steps[key]; !ok {
			steps[key] = len(w.Steps)
			w.Steps = append(w.Steps, key)
		}
		w.Samples = append(w.Samples, producedWire{
			Step: steps[key], Slot: p.Slot, Attempt: p.Attempt, Digest: p.Digest, Tokens: p.Tokens,
			Versions: intern(&w.Versions, p.Versions), Holders: intern(&w.Holders, p.Holders),
		})
	}
	return encMode.Marshal(w)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (a *Accept) UnmarshalCBOR(b []byte) error {
	var w acceptWire
	if err := decMode.Unmarshal(b, &w); err != nil {
		return err
	}
	a.Produced = make([]AttemptOutput, 0, len(w.Samples))
	for _, s := range w.Samples {
		if !within(s.Step, len(w.Steps)) || !within(s.Versions, len(w.Versions)) || !within(s.Holders, len(w.Holders)) {
			return &errs.Corrupt{What: "accept entry", Detail: "table index out of range"}
		}
		a.Produced = append(a.Produced, AttemptOutput{
			Tenancy: w.Steps[s.Step][0], Step: w.Steps[s.Step][1], Slot: s.Slot, Attempt: s.Attempt,
			Versions: w.Versions[s.Versions], Digest: s.Digest, Tokens: s.Tokens, Holders: w.Holders[s.Holders],
		})
	}
	return nil
}

func within(i, n int) bool { return i >= 0 && i < n }

// intern returns the index of list in table and adds it when it is new. Tables are short:
// a step sees a few versions and the pairs of hosts of a failure domain.
func intern[T comparable](table *[][]T, list []T) int {
	for i := len(*table) - 1; i >= 0; i-- {
		if slices.Equal((*table)[i], list) {
			return i
		}
	}
	*table = append(*table, slices.Clone(list))
	return len(*table) - 1
}

// Slots is an ascending list of slot numbers. Its CBOR form is a list of runs, because
// most slots of a young step are missing.
type Slots []int

// MarshalCBOR implements cbor.Marshaler.
func (s Slots) MarshalCBOR() ([]byte, error) {
	var runs []int
	for i, slot := range s {
		if i > 0 && slot == s[i-1]+1 {
			runs[len(runs)-1]++
			continue
		}
		runs = append(runs, slot, 1)
	}
	return encMode.Marshal(runs)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (s *Slots) UnmarshalCBOR(b []byte) error {
	var runs []int
	if err := decMode.Unmarshal(b, &runs); err != nil {
		return err
	}
	*s = nil
	total := 0
	for i := 0; i+1 < len(runs); i += 2 {
		if total += runs[i+1]; runs[i+1] < 0 || total > maxArrayElements {
			return &errs.Corrupt{What: "slot list", Detail: "run length out of range"}
		}
		for j := range runs[i+1] {
			*s = append(*s, runs[i]+j)
		}
	}
	return nil
}
