package group

import (
	"github.com/fxamacker/cbor/v2"

	"fuchsiaflow/consensus"
	"fuchsiaflow/errs"
	"fuchsiaflow/storage"
)

// An entry is stored as its type in one byte, followed by the command or the CBOR encoding
// of the membership.

// mustMarshal encodes types of this project, which always have a CBOR encoding.
func mustMarshal(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// encodeBatch encodes a hard state, unless it is zero, and entries.
func encodeBatch(in consensus.InitialState) storage.Batch {
	var b storage.Batch
	if in.HardState != (consensus.HardState{}) {
		b.HardState = mustMarshal(in.HardState)
	}
	for _, e := range in.Entries {
		data := append(make([]byte, 0, 1+len(e.Data)), byte(e.Type))
		if e.Conf != nil {
			data = append(data, mustMarshal(e.Conf)...)
		} else {
			data = append(data, e.Data...)
		}
		b.Entries = append(b.Entries, storage.Entry{Index: e.Index, Term: e.Term, Data: data})
	}
	return b
}

func encodeSnapshot(s consensus.Snapshot) storage.SnapshotMeta {
	return storage.SnapshotMeta{Index: s.Index, Term: s.Term, Extra: mustMarshal(s.Conf)}
}

func decodeRecovered(r storage.Recovered) (consensus.InitialState, error) {
	var in consensus.InitialState
	if len(r.HardState) > 0 {
		if err := decode("hard state", 0, r.HardState, &in.HardState); err != nil {
			return in, err
		}
	}
	if m := r.Snapshot; m.Index > 0 {
		in.Snapshot = consensus.Snapshot{Index: m.Index, Term: m.Term, Data: r.SnapshotData}
		if err := decode("snapshot membership", m.Index, m.Extra, &in.Snapshot.Conf); err != nil {
			return in, err
		}
	}
	for _, s := range r.Entries {
		if len(s.Data) == 0 {
			return in, &errs.Corrupt{What: "log entry", Offset: int64(s.Index), Detail: "the type is missing"}
		}
		e := consensus.Entry{Index: s.Index, Term: s.Term, Type: consensus.EntryType(s.Data[0])}
		if e.Type == consensus.EntryConf {
			e.Conf = &consensus.Conf{}
			if err := decode("log entry", s.Index, s.Data[1:], e.Conf); err != nil {
				return in, err
			}
		} else {
			e.Data = s.Data[1:]
		}
		in.Entries = append(in.Entries, e)
	}
	return in, nil
}

func decode(what string, index uint64, b []byte, v any) error {
	if err := cbor.Unmarshal(b, v); err != nil {
		return &errs.Corrupt{What: what, Offset: int64(index), Detail: err.Error()}
	}
	return nil
}
