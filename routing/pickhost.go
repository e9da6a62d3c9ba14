package routing

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadBound is how far above the mean load of its domain a host may be and still receive
	// requests for the sake of its prefix caches.
	loadBound = 1.25
	// summaryStale is the age from which a summary's load says nothing any more.
	summaryStale = 10 * time.Second
)

// PoolSummary is a host's state of one pool, as spread by gossip.
type PoolSummary struct {
	Capacity int               // sum of the dispatch windows of healthy targets
	Load     int               // queued and in flight
	Versions map[string]uint64 // newest loaded version of each model
}

// HostSummary is what a host tells the others about its targets.
type HostSummary struct {
	Host       string
	Domain     string
	ReceivedAt time.Time
	Pools      map[string]PoolSummary
}

func (s *HostSummary) serves(r *Request) (PoolSummary, bool) {
	p, ok := s.Pools[r.Pool]
	if !ok || p.Capacity <= 0 {
		return p, false
	}
	if v, loaded := p.Versions[r.Model]; r.Model != "" && (!loaded || v < r.MinVersion) {
		return p, false
	}
	return p, true
}

// PickHost chooses the host that is to queue a request. In the request's own failure domain
// the prompt's prefix decides, among the hosts whose load is within a bound of the mean. When
// all of these are full, the request spills to the less loaded of two random hosts of other
// domains with room. Where only stale summaries name a suitable host, one of them is chosen
// by prefix alone. A host in r.Avoid is chosen only if no other one is suitable. It returns
// false when no summary names a suitable host; the caller then serves the request itself or
// refuses it.
func PickHost(now time.Time, r Request, hosts []HostSummary, random *rand.Rand) (string, bool) {
	if len(r.AvoidHosts) > 0 {
		others := slices.DeleteFunc(slices.Clone(hosts), func(h HostSummary) bool { return slices.Contains(r.AvoidHosts, h.Host) })
		if host, ok := pickHost(now, r, others, random); ok {
			return host, true
		}
	}
	return pickHost(now, r, hosts, random)
}

func pickHost(now time.Time, r Request, hosts []HostSummary, random *rand.Rand) (string, bool) {
	key := affinityKey(&r)
	if i := pickOwnDomain(now, &r, hosts, key); i >= 0 {
		return hosts[i].Host, true
	}
	if i := pickSpill(now, &r, hosts, random); i >= 0 {
		return hosts[i].Host, true
	}
	if i := pickFull(now, &r, hosts); i >= 0 {
		return hosts[i].Host, true
	}
	if i := pickStale(&r, hosts, key); i >= 0 {
		return hosts[i].Host, true
	}
	return "", false
}

// affinityKey is equal for requests that share a prompt prefix. The first block is used,
// because later blocks differ between requests that still share most of their prompt.
func affinityKey(r *Request) uint64 {
	switch {
	case len(r.PrefixKeys) > 0:
		return r.PrefixKeys[0]
	case r.Group != "":
		return xxhash.Sum64String(r.Group)
	}
	return xxhash.Sum64String(r.ID)
}

func rendezvous(key uint64, host string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(host)
	return d.Sum64()
}

func fresh(now time.Time, s *HostSummary) bool { return now.Sub(s.ReceivedAt) <= summaryStale }

func relative(p PoolSummary) float64 { return float64(p.Load) / float64(p.Capacity) }

func pickOwnDomain(now time.Time, r *Request, hosts []HostSummary, key uint64) int {
	load, capacity := 1, 0
	for i := range hosts {
		if p, ok := hosts[i].serves(r); ok && hosts[i].Domain == r.Domain && fresh(now, &hosts[i]) {
			load += p.Load
			capacity += p.Capacity
		}
	}
	if capacity == 0 {
		return -1
	}
	bound := min(1, loadBound*float64(load)/float64(capacity))
	best, bestWeight := -1, uint64(0)
	for i := range hosts {
		p, ok := hosts[i].serves(r)
		if !ok || hosts[i].Domain != r.Domain || !fresh(now, &hosts[i]) || p.Load >= p.Capacity {
			continue
		}
		if relative(p) > bound {
			continue
		}
		if w := rendezvous(key, hosts[i].Host); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// pickSpill takes the less loaded of two random hosts, so that entry hosts with the same
// summaries do not all choose the same one.
func pickSpill(now time.Time, r *Request, hosts []HostSummary, random *rand.Rand) int {
	chosen := [2]int{-1, -1}
	seen := 0
	for i := range hosts {
		p, ok := hosts[i].serves(r)
		if !ok || hosts[i].Domain == r.Domain || !fresh(now, &hosts[i]) || p.Load >= p.Capacity {
			continue
		}
		seen++ // reservoir sampling of two
		if seen <= 2 {
			chosen[seen-1] = i
		} else if j := random.IntN(seen); j < 2 {
			chosen[j] = i
		}
	}
	if chosen[1] >= 0 && relative(hosts[chosen[1]].Pools[r.Pool]) < relative(hosts[chosen[0]].Pools[r.Pool]) {
		return chosen[1]
	}
	return chosen[0]
}

// pickFull takes the least loaded host when all are full; its queue decides.
func pickFull(now time.Time, r *Request, hosts []HostSummary) int {
	best, bestLoad := -1, 0.0
	for i := range hosts {
		p, ok := hosts[i].serves(r)
		if !ok || !fresh(now, &hosts[i]) {
			continue
		}
		load := relative(p)
		if hosts[i].Domain != r.Domain {
			load++ // a full host of the own domain is preferred to an equally full one elsewhere
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// pickStale takes the host that the prefix points to, own domain first.
func pickStale(r *Request, hosts []HostSummary, key uint64) int {
	best, bestOwn, bestWeight := -1, false, uint64(0)
	for i := range hosts {
		if _, ok := hosts[i].serves(r); !ok {
			continue
		}
		own, w := hosts[i].Domain == r.Domain, rendezvous(key, hosts[i].Host)
		if best < 0 || (own && !bestOwn) || (own == bestOwn && w > bestWeight) {
			best, bestOwn, bestWeight = i, own, w
		}
	}
	return best
}
