package jobs

import (
	"cmp"
	"slices"
)

// Snapshot is the serializable form of a Table.
type Snapshot struct {
	Entries      []*Entry `cbor:"1,keyasint"`
	LastSequence uint64   `cbor:"2,keyasint"`
	// Partials holds the texts of items without an owner by item ID, and OwnedPartials the others.
	Partials      map[string]*PartialText `cbor:"3,keyasint,omitempty"`
	OwnedPartials []OwnedPartial          `cbor:"4,keyasint,omitempty"`
}

// OwnedPartial is the stored text of an item that has an owner.
type OwnedPartial struct {
	Owner string       `cbor:"1,keyasint"`
	Item  string       `cbor:"2,keyasint"`
	Text  *PartialText `cbor:"3,keyasint"`
}

// Snapshot returns a snapshot that shares its memory with b.
func (b *Table) Snapshot() Snapshot {
	s := Snapshot{Entries: b.inOrder, LastSequence: b.lastSequence, Partials: make(map[string]*PartialText)}
	for key, p := range b.partials {
		if key.Owner == "" {
			s.Partials[key.ID] = p
			continue
		}
		s.OwnedPartials = append(s.OwnedPartials, OwnedPartial{Owner: key.Owner, Item: key.ID, Text: p})
	}
	slices.SortFunc(s.OwnedPartials, func(a, b OwnedPartial) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Item, b.Item))
	})
	return s
}

// Restore returns the jobs of a snapshot. It takes over the entries of the snapshot.
func Restore(snapshot Snapshot) *Table {
	b := NewTable()
	b.lastSequence = snapshot.LastSequence
	for item, p := range snapshot.Partials {
		b.partials[Key{ID: item}] = p
	}
	for _, p := range snapshot.OwnedPartials {
		b.partials[Key{p.Owner, p.Item}] = p.Text
	}
	for _, e := range snapshot.Entries {
		b.restoreEntry(e)
	}
	return b
}

func (b *Table) restoreEntry(e *Entry) {
	e.resultIndex = make(map[string]int, len(e.Results))
	b.entries[e.Key()] = e
	b.inOrder = append(b.inOrder, e)
	for i, r := range e.Results {
		e.resultIndex[r.ID] = i
		if r.State == Completed {
			b.completedIn[e.ItemKey(r.ID)] = e.Key()
		}
	}
}
