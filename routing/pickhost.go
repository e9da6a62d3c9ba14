package routing

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLoadRatio is the ratio of a host's utilization to the mean of its failure domain above
	// which the host is not chosen by prefix.
	maxLoadRatio = 1.25
	// maxSummaryAge is the age above which the load in a summary is ignored.
	maxSummaryAge = 10 * time.Second
)

// PoolSummary is the state of one pool on a host. It is spread by gossip, and its fields are encoded
// under their Go names.
type PoolSummary struct {
	Capacity int               // sum of the dispatch windows of healthy targets
	Load     int               // queued requests and requests in flight
	Versions map[string]uint64 // newest loaded version of each model
}

// HostSummary is the state of the pools of a host, as received at ReceivedAt.
type HostSummary struct {
	Host       string
	Domain     string
	ReceivedAt time.Time
	Pools      map[string]PoolSummary
}

// poolFor returns the summary of the request's pool and whether the host can serve the request.
func (s *HostSummary) poolFor(r *Request) (PoolSummary, bool) {
	p, ok := s.Pools[r.Pool]
	if !ok || p.Capacity <= 0 {
		return p, false
	}
	if v, loaded := p.Versions[r.Model]; r.Model != "" && (!loaded || v < r.MinVersion) {
		return p, false
	}
	return p, true
}

// PickHost chooses the host that queues a request:
//
//   - Within the request's failure domain, it uses rendezvous hashing of the prompt prefix with
//     bounded loads: hosts with utilization too far above the mean are skipped.
//   - If no host there has free capacity, it picks the less loaded of two random hosts in other
//     failure domains that have free capacity.
//   - If all hosts are full, it picks the least loaded one.
//   - If all summaries of suitable hosts are stale, it picks by prefix alone.
//
// A host in r.AvoidHosts is chosen only if no other host is suitable. PickHost returns false if no host
// is suitable; the caller then serves the request itself or refuses it.
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
	if i := pickOtherDomain(now, &r, hosts, random); i >= 0 {
		return hosts[i].Host, true
	}
	if i := pickLeastLoaded(now, &r, hosts); i >= 0 {
		return hosts[i].Host, true
	}
	if i := pickStale(&r, hosts, key); i >= 0 {
		return hosts[i].Host, true
	}
	return "", false
}

// affinityKey returns the same key for requests that share a prompt prefix. It uses the first block
// only, because later blocks differ between requests that still share most of their prompt.
func affinityKey(r *Request) uint64 {
	switch {
	case len(r.PrefixKeys) > 0:
		return r.PrefixKeys[0]
	case r.Group != "":
		return xxhash.Sum64String(r.Group)
	}
	return xxhash.Sum64String(r.ID)
}

// rendezvousHash returns the weight of a host for a key; the host with the highest weight is chosen.
func rendezvousHash(key uint64, host string) uint64 {
	var keyBytes [8]byte
	binary.LittleEndian.PutUint64(keyBytes[:], key)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(keyBytes[:])
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}

func isFresh(now time.Time, s *HostSummary) bool { return now.Sub(s.ReceivedAt) <= maxSummaryAge }

func utilization(p PoolSummary) float64 { return float64(p.Load) / float64(p.Capacity) }

// pickOwnDomain returns the index of the host in the request's failure domain that has the highest
// rendezvous weight among those with free capacity and bounded load, or -1.
func pickOwnDomain(now time.Time, r *Request, hosts []HostSummary, key uint64) int {
	load, capacity := 1, 0 // the load includes the new request
	for i := range hosts {
		if p, ok := hosts[i].poolFor(r); ok && hosts[i].Domain == r.Domain && isFresh(now, &hosts[i]) {
			load += p.Load
			capacity += p.Capacity
		}
	}
	if capacity == 0 {
		return -1
	}
	maxUtilization := min(1, maxLoadRatio*float64(load)/float64(capacity))
	best, bestWeight := -1, uint64(0)
	for i := range hosts {
		p, ok := hosts[i].poolFor(r)
		if !ok || hosts[i].Domain != r.Domain || !isFresh(now, &hosts[i]) || p.Load >= p.Capacity {
			continue
		}
		if utilization(p) > maxUtilization {
			continue
		}
		if w := rendezvousHash(key, hosts[i].Host); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// pickOtherDomain returns the less loaded of two random hosts in other failure domains, so that entry
// hosts with the same summaries do not all choose the same host.
func pickOtherDomain(now time.Time, r *Request, hosts []HostSummary, random *rand.Rand) int {
	chosen := [2]int{-1, -1}
	seen := 0
	for i := range hosts {
		p, ok := hosts[i].poolFor(r)
		if !ok || hosts[i].Domain == r.Domain || !isFresh(now, &hosts[i]) || p.Load >= p.Capacity {
			continue
		}
		seen++ // reservoir sampling of two hosts
		if seen <= 2 {
			chosen[seen-1] = i
		} else if j := random.IntN(seen); j < 2 {
			chosen[j] = i
		}
	}
	if chosen[1] >= 0 && utilization(hosts[chosen[1]].Pools[r.Pool]) < utilization(hosts[chosen[0]].Pools[r.Pool]) {
		return chosen[1]
	}
	return chosen[0]
}

// pickLeastLoaded returns the index of the least loaded host in any failure domain, or -1. PickHost
// uses it if all hosts are full; the host accepts or refuses the request according to its queue limit.
func pickLeastLoaded(now time.Time, r *Request, hosts []HostSummary) int {
	best, bestLoad := -1, 0.0
	for i := range hosts {
		p, ok := hosts[i].poolFor(r)
		if !ok || !isFresh(now, &hosts[i]) {
			continue
		}
		load := utilization(p)
		if hosts[i].Domain != r.Domain {
			load++ // prefers a full host in the request's failure domain to an equally full one elsewhere
		}
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// pickStale returns the host with the highest rendezvous weight, regardless of load. Hosts in the
// request's failure domain take precedence.
func pickStale(r *Request, hosts []HostSummary, key uint64) int {
	best, bestLocal, bestWeight := -1, false, uint64(0)
	for i := range hosts {
		if _, ok := hosts[i].poolFor(r); !ok {
			continue
		}
		local, w := hosts[i].Domain == r.Domain, rendezvousHash(key, hosts[i].Host)
		if best < 0 || (local && !bestLocal) || (local == bestLocal && w > bestWeight) {
			best, bestLocal, bestWeight = i, local, w
		}
	}
	return best
}
