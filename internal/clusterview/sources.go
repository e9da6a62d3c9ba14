package clusterview

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFullMesh is the number of store hosts up to which every host watches all of them. Above it the
	// streams of the system would grow with the product of hosts and store hosts.
	maxFullMesh = 7
	// fallbackPerDomain and fallbackElsewhere are the numbers of store hosts of the own and of the other
	// failure domains that an entry host watches while it hears no majority of the voters.
	fallbackPerDomain = 3
	fallbackElsewhere = 3
)

// sourceInput is what the choice of the store hosts to watch depends on. Hosts are given by IP address.
type sourceInput struct {
	self, domain string
	isStoreHost  bool
	seeds        []string
	voters       []string
	leader       string // empty if unknown
	stores       []StoreHost
	// hearsMajority reports whether more than half of the voters have sent an event recently.
	hearsMajority bool
}

// all returns all known store hosts, sorted.
func (in *sourceInput) all() []string {
	ips := slices.Concat(in.seeds, in.voters)
	for _, s := range in.stores {
		ips = append(ips, s.IP())
	}
	if in.leader != "" {
		ips = append(ips, in.leader)
	}
	slices.Sort(ips)
	return slices.Compact(ips)
}

// selectSources returns the store hosts to watch, sorted. In a small system these are all. In a larger one
// the voters pass news on: they watch all store hosts, and every other host watches only the voters. A host
// that hears no majority of them, as when it starts or its failure domain is cut off, also watches others,
// from which it learns of new voters and of the targets that still reach its own failure domain.
func selectSources(in *sourceInput) []string {
	all := in.all()
	if len(all) <= maxFullMesh || in.isHub() || in.isStoreHost && !in.hearsMajority {
		return all
	}
	ips := slices.Clone(in.voters)
	if in.leader != "" {
		ips = append(ips, in.leader)
	}
	if !in.hearsMajority {
		ips = slices.Concat(ips, in.seeds, in.fallback())
	}
	slices.Sort(ips)
	return slices.Compact(ips)
}

// isHub reports whether the host passes news on to all others.
func (in *sourceInput) isHub() bool {
	return in.self == in.leader || slices.Contains(in.voters, in.self)
}

// publishes reports whether news that reaches a store host also reaches the entry hosts that can reach it or
// a voter that it hears. voterAge is the time since any voter sent an event to the host.
func publishes(in *sourceInput, voterAge time.Duration) bool {
	return len(in.all()) <= maxFullMesh || in.isHub() || voterAge < majorityTimeout
}

// fallback returns some store hosts of the own and of other failure domains. Rendezvous hashing spreads the
// hosts over them.
func (in *sourceInput) fallback() []string {
	ranked := slices.Clone(in.stores)
	weight := func(s StoreHost) uint64 { return xxhash.Sum64String(in.self + " " + s.IP()) }
	slices.SortFunc(ranked, func(a, b StoreHost) int { return cmp.Compare(weight(a), weight(b)) })
	var own, elsewhere []string
	for _, s := range ranked {
		switch {
		case s.Domain == in.domain && len(own) < fallbackPerDomain:
			own = append(own, s.IP())
		case s.Domain != in.domain && len(elsewhere) < fallbackElsewhere:
			elsewhere = append(elsewhere, s.IP())
		}
	}
	return append(own, elsewhere...)
}
