// Package origins records which software version of which service began a stream, so that any host lets the stream go
// on at that version only. It is a part of the replicated state: deterministic, and without a clock.
package origins

// Limits of a Table. An entry takes some 200 bytes.
const (
	// MaxEntries is the number of streams that are remembered. Beyond it the oldest is forgotten.
	MaxEntries = 1 << 15
	// MaxIDBytes is the maximum length of the ID of a stream. Longer ones are not remembered.
	MaxIDBytes = 256
)

// Origin is what began a stream.
type Origin struct {
	// Stream identifies the request that brought the first event: its ID, made unique among client accounts.
	Stream string `cbor:"1,keyasint"`
	// Service and Release are the service and the software version of the target that made it.
	Service string `cbor:"2,keyasint"`
	Release string `cbor:"3,keyasint,omitempty"`
	// Target and Incarnation name that target, so that others can ask it whether it has started anew since.
	Target      string `cbor:"4,keyasint,omitempty"`
	Incarnation int64  `cbor:"5,keyasint,omitempty"`
	// AnsweredAt is when its answer began, in Unix milliseconds.
	AnsweredAt int64 `cbor:"6,keyasint,omitempty"`
}

// Table holds the origins of the newest streams. It is not safe for concurrent use.
type Table struct {
	byStream map[string]Origin
	order    []string // streams in the order of their first record; a ring once it has MaxEntries
	oldest   int      // position of the oldest stream in a full ring
}

// NewTable returns a table with the given origins, the oldest first.
func NewTable(list []Origin) *Table {
	t := &Table{byStream: make(map[string]Origin, len(list))}
	for _, o := range list {
		t.Record(o)
	}
	return t
}

// Record stores the origin of a stream and reports whether the table has it then.
func (t *Table) Record(o Origin) bool {
	if o.Stream == "" || len(o.Stream) > MaxIDBytes {
		return false
	}
	_, known := t.byStream[o.Stream]
	t.byStream[o.Stream] = o
	switch {
	case known:
	case len(t.order) < MaxEntries:
		t.order = append(t.order, o.Stream)
	default:
		delete(t.byStream, t.order[t.oldest])
		t.order[t.oldest] = o.Stream
		t.oldest = (t.oldest + 1) % MaxEntries
	}
	return true
}

// Get returns the origin of a stream.
func (t *Table) Get(stream string) (o Origin, known bool) {
	o, known = t.byStream[stream]
	return o, known
}

// All returns all origins, the oldest first.
func (t *Table) All() []Origin {
	list := make([]Origin, 0, len(t.order))
	for i := range t.order {
		list = append(list, t.byStream[t.order[(t.oldest+i)%len(t.order)]])
	}
	return list
}
