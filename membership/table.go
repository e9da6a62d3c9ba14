package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of digests that locate a difference between two tables. At 410
// hosts a bucket holds 13 hosts, which fit into one Sync packet.
const bucketCount = 32

// record is the state of one host. Index is its position in the live or gone list, and
// peerIndex its position in the list of live hosts of the own failure domain.
type record struct {
	Update
	index           int
	peerIndex       int
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

// table holds all known hosts but the local one. Lists are slices and not maps, because the
// order of random choices must depend on the random source only.
type table struct {
	domain  string // of the local host
	records map[string]*record
	live    []*record
	peers   []*record // the live hosts of domain
	gone    []*record
	addrs   map[string]int // live hosts by address
	buckets [bucketCount]uint64
	view    uint64
}

func newTable(domain string) *table {
	return &table{domain: domain, records: map[string]*record{}, addrs: map[string]int{}}
}

// set stores an update and moves the record between the lists.
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
		t.live = push(t.live, r)
		if r.Host.Domain == t.domain {
			r.peerIndex = len(t.peers)
			t.peers = append(t.peers, r)
		}
		t.addrs[r.Host.Addr]++
		t.toggle(r.Update)
		return
	}
	t.gone = push(t.gone, r)
}

func (t *table) detach(r *record) {
	if !r.State.Live() {
		t.gone = pull(t.gone, r)
		return
	}
	t.live = pull(t.live, r)
	if r.Host.Domain == t.domain {
		last := len(t.peers) - 1
		t.peers[r.peerIndex] = t.peers[last]
		t.peers[r.peerIndex].peerIndex = r.peerIndex
		t.peers = t.peers[:last]
	}
	t.toggle(r.Update)
	if t.addrs[r.Host.Addr]--; t.addrs[r.Host.Addr] <= 0 {
		delete(t.addrs, r.Host.Addr)
	}
}

func (t *table) remove(r *record) {
	t.detach(r)
	delete(t.records, r.Host.ID)
}

// toggle adds a live host to the digests or takes it out. Suspicion is left out, because it
// passes by itself; dead hosts are left out, because hosts forget them at different times.
func (t *table) toggle(u Update) {
	h := identity(u)
	t.buckets[bucketOf(u.Host.ID)] ^= h
	t.view ^= h
}

func identity(u Update) uint64 {
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

func push(list []*record, r *record) []*record {
	r.index = len(list)
	return append(list, r)
}

func pull(list []*record, r *record) []*record {
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

// pick returns up to k different records for which accept holds. It gives up after a few
// draws, so its cost does not depend on the length of the list.
func pick(rng *rand.Rand, list []*record, k int, accept func(*record) bool) []*record {
	var out []*record
	for tries := 0; tries < 4*k && len(out) < k && len(list) > 0; tries++ {
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
