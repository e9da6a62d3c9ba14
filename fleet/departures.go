package fleet

import "slices"

// MaxDepartures is the number of departures that a set keeps. Those that are dropped are so old that no report
// of the incarnation can still arrive.
const MaxDepartures = 8192

// Departure states that an incarnation of a target has announced that it leaves: it accepts no new work.
// That is final, and it holds for all earlier incarnations of the target.
type Departure struct {
	Target      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// Departures is a set of departures with the latest one of each target. It keeps the newest MaxDepartures.
// It is deterministic and not safe for concurrent use.
type Departures struct {
	byAge    []Departure // oldest first
	latest   map[string]int64
	revision uint64
}

// NewDepartures returns a set with the given departures, the oldest first.
func NewDepartures(list []Departure) *Departures {
	d := &Departures{latest: make(map[string]int64)}
	for _, departure := range list {
		d.Add(departure)
	}
	return d
}

// Add adds a departure. It returns false if the set covers it already.
func (d *Departures) Add(departure Departure) bool {
	previous, known := d.latest[departure.Target]
	if known && previous >= departure.Incarnation {
		return false
	}
	if known {
		i := slices.Index(d.byAge, Departure{departure.Target, previous})
		d.byAge = slices.Delete(d.byAge, i, i+1)
	}
	if len(d.byAge) == MaxDepartures {
		delete(d.latest, d.byAge[0].Target)
		d.byAge = slices.Delete(d.byAge, 0, 1)
	}
	d.byAge = append(d.byAge, departure)
	d.latest[departure.Target] = departure.Incarnation
	d.revision++
	return true
}

// Covers reports whether an incarnation of a target, or a later one, has announced that it leaves.
func (d *Departures) Covers(target string, incarnation int64) bool {
	last, known := d.latest[target]
	return known && incarnation <= last
}

// All returns the departures, the oldest first. The caller must not change the slice.
func (d *Departures) All() []Departure { return d.byAge }

// Revision returns the number of departures that were ever added to the set.
func (d *Departures) Revision() uint64 { return d.revision }

// AddedAfter returns the departures that were added after a revision and are still in the set. The caller must
// not change the slice.
func (d *Departures) AddedAfter(revision uint64) []Departure {
	if revision >= d.revision {
		return nil
	}
	added := min(d.revision-revision, uint64(len(d.byAge)))
	return d.byAge[uint64(len(d.byAge))-added:]
}
