package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of bucket digests by which differences between two tables are located.
// With 410 hosts, a bucket holds about 13, which fit into one Sync packet.
const bucketCount = 32

// record is the table entry of one host. The field index is its position in table.live or
// table.gone, and domainIndex its position in table.domainLive.
type record struct {
	Update
	index           int
	domainIndex     int
	meta            []byte
	metaIncarnation uint64
	metaVersion     uint64
	suspectUntil    time.Time
	goneSince       time.Time
}

func (r *record) member() Member {
	m := Member{Host: r.Host, State: r.State}
	if r.metaIncarnation == r.Host.Incarnation {
		m.Meta, m.MetaVersion = r.meta, r.metaVersion
	}
	return m
}

// table holds all known hosts except the local one. The lists are slices rather than maps, so that
// random choices depend only on the random source.
type table struct {
	domain        string // of the local host
	records       map[string]*record
	live          []*record
	domainLive    []*record      // live hosts of domain
	gone          []*record      // dead and left hosts
	liveAddrs     map[string]int // number of live hosts by address
	bucketDigests [bucketCount]uint64
	digest        uint64
}

func newTable(domain string) *table {
	return &table{domain: domain, records: map[string]*record{}, liveAddrs: map[string]int{}}
}

// set stores an update and moves the record to the list for its state.
func (t *table) set(u Update) *record {
	r := t.records[u.Host.ID]
	if r == nil {
		r = &record{}
		t.records[u.Host.ID] = r
	} else {
		t.detach(r)
	}
	r.Update = u
	t.attach(r)
	return r
}

func (t *table) attach(r *record) {
	if r.State.Live() {
		t.live = appendRecord(t.live, r)
		if r.Host.Domain == t.domain {
			r.domainIndex = len(t.domainLive)
			t.domainLive = append(t.domainLive, r)
		}
		t.liveAddrs[r.Host.Addr]++
		t.toggleDigest(r.Update)
		return
	}
	t.gone = appendRecord(t.gone, r)
}

func (t *table) detach(r *record) {
	if !r.State.Live() {
		t.gone = removeRecord(t.gone, r)
		return
	}
	t.live = removeRecord(t.live, r)
	if r.Host.Domain == t.domain {
		last := len(t.domainLive) - 1
		t.domainLive[r.domainIndex] = t.domainLive[last]
		t.domainLive[r.domainIndex].domainIndex = r.domainIndex
		t.domainLive = t.domainLive[:last]
	}
	t.toggleDigest(r.Update)
	if t.liveAddrs[r.Host.Addr]--; t.liveAddrs[r.Host.Addr] <= 0 {
		delete(t.liveAddrs, r.Host.Addr)
	}
}

func (t *table) remove(r *record) {
	t.detach(r)
	delete(t.records, r.Host.ID)
}

// toggleDigest adds a live host to the digests, or removes it if it is already included. Digests
// cover neither suspicion, which is temporary, nor dead hosts, which hosts forget at different
// times.
func (t *table) toggleDigest(u Update) {
	h := hashUpdate(u)
	t.bucketDigests[bucketOf(u.Host.ID)] ^= h
	t.digest ^= h
}

func hashUpdate(u Update) uint64 {
	var buf [160]byte
	b := append(buf[:0], u.Host.ID...)
	b = append(b, 0)
	b = append(b, u.Host.Addr...)
	b = append(b, 0)
	b = binary.LittleEndian.AppendUint64(b, u.Host.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, u.Refutation)
	return xxhash.Sum64(b)
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % bucketCount) }

func appendRecord(list []*record, r *record) []*record {
	r.index = len(list)
	return append(list, r)
}

func removeRecord(list []*record, r *record) []*record {
	last := len(list) - 1
	list[r.index] = list[last]
	list[r.index].index = r.index
	list[last] = nil
	return list[:last]
}

func shuffle(rng *rand.Rand, list []*record) {
	rng.Shuffle(len(list), func(i, j int) {
		list[i], list[j] = list[j], list[i]
		list[i].index, list[j].index = i, j
	})
}

// pickRandom returns up to count distinct random records that accept selects. The number of attempts
// is limited, so that the cost does not depend on the length of the list; it may return fewer.
func pickRandom(rng *rand.Rand, list []*record, count int, accept func(*record) bool) []*record {
	var out []*record
	for tries := 0; tries < 4*count && len(out) < count && len(list) > 0; tries++ {
		r := list[rng.IntN(len(list))]
		if accept(r) && !containsRecord(out, r) {
			out = append(out, r)
		}
	}
	return out
}

func containsRecord(list []*record, r *record) bool {
	for _, x := range list {
		if x == r {
			return true
		}
	}
	return false
}
