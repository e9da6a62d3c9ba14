package clusterview

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// fleetSize is a deployment of store hosts that are spread over failure domains; the first stores of each
// domain vote.
type fleetSize struct{ stores, domains, voters, entries int }

var largeFleet = fleetSize{stores: 45, domains: 5, voters: 5, entries: 250}

func (f fleetSize) domain(i int) string { return fmt.Sprint("d", i%f.domains) }

func storeIP(i int) string { return fmt.Sprintf("10.0.0.%d", i) }

// input returns what a host in steady state knows.
func (f fleetSize) input(self, domain string, isStoreHost bool) *sourceInput {
	in := &sourceInput{self: self, domain: domain, isStoreHost: isStoreHost, leader: storeIP(0), hearsMajority: true,
		seeds: []string{storeIP(f.stores - 1), storeIP(f.stores - 2), storeIP(f.stores - 3)}}
	for i := range f.stores {
		in.stores = append(in.stores, StoreHost{ReplicaID: ReplicaID(storeIP(i), "x"), Domain: f.domain(i)})
		if i < f.voters {
			in.voters = append(in.voters, storeIP(i))
		}
	}
	return in
}

// Guards against streams that grow with the product of hosts and store hosts, and against a store host
// whose news reaches nobody.
func TestSourcesAreBoundedInSteadyState(t *testing.T) {
	f := largeFleet
	streams := 0
	for i := range f.entries {
		got := selectSources(f.input(fmt.Sprint("10.1.0.", i), f.domain(i), false))
		if len(got) != f.voters {
			t.Fatalf("an entry host watches %d store hosts, want the %d voters", len(got), f.voters)
		}
		streams += len(got)
	}
	watchedBy := make(map[string]int)
	for i := range f.stores {
		got := selectSources(f.input(storeIP(i), f.domain(i), true))
		streams += len(got)
		for _, ip := range got {
			if ip != storeIP(i) {
				watchedBy[ip]++
			}
		}
	}
	for i := range f.stores {
		if watchedBy[storeIP(i)] < f.voters-1 {
			t.Errorf("store %d is watched by %d store hosts, want at least the other voters", i, watchedBy[storeIP(i)])
		}
	}
	if limit := (f.entries + 2*f.stores) * f.voters; streams > limit {
		t.Errorf("%d streams, want at most %d", streams, limit)
	}
}

// Guards against a small system in which news takes a second hop, and against a host that watches only
// voters although none of them can tell it more than it knows.
func TestSourcesOfSmallSystemAreAll(t *testing.T) {
	f := fleetSize{stores: 6, domains: 3, voters: 3}
	if got := selectSources(f.input("10.1.0.1", "d0", false)); len(got) != f.stores {
		t.Errorf("an entry host watches %v, want all", got)
	}
}

// Guards against a host that cannot find new voters or its own failure domain's targets while it hears no
// majority: when it starts, when its failure domain is cut off, or when all voters were replaced.
func TestSourcesWithoutMajority(t *testing.T) {
	f := largeFleet
	t.Run("start", func(t *testing.T) {
		in := &sourceInput{self: "10.1.0.1", domain: "d0", seeds: []string{storeIP(1), storeIP(2), storeIP(3)}}
		if got := selectSources(in); !slices.Equal(got, in.seeds) {
			t.Errorf("sources %v, want the seeds", got)
		}
	})
	for i := range f.entries {
		in := f.input(fmt.Sprint("10.1.0.", i), f.domain(i), false)
		in.hearsMajority = false
		got := selectSources(in)
		own := 0
		for _, s := range in.stores {
			if s.Domain == in.domain && slices.Contains(got, s.IP()) {
				own++
			}
		}
		if own < fallbackPerDomain || !slices.Contains(got, in.seeds[0]) || len(got) > f.voters+len(in.seeds)+fallbackPerDomain+fallbackElsewhere {
			t.Fatalf("sources %v: %d of the own failure domain", got, own)
		}
	}
	in := f.input(storeIP(20), f.domain(20), true)
	in.hearsMajority = false
	if got := selectSources(in); len(got) != f.stores {
		t.Errorf("a store host without a majority watches %d store hosts, want all", len(got))
	}
}

// Guards against hosts that all fall back to the same few store hosts.
func TestFallbackIsSpread(t *testing.T) {
	f := largeFleet
	watchers := make(map[string]int)
	for i := range f.entries {
		in := f.input(fmt.Sprint("10.1.0.", i), f.domain(i), false)
		in.hearsMajority = false
		for _, ip := range in.fallback() {
			watchers[ip]++
		}
	}
	mean := f.entries * (fallbackPerDomain + fallbackElsewhere) / f.stores
	for ip, n := range watchers {
		if n > 2*mean {
			t.Errorf("%s is the fallback of %d hosts, the mean is %d", ip, n, mean)
		}
	}
}

// Guards against a departure of a target that is acknowledged by a store host that nobody watches, and
// against one that nobody acknowledges in a failure domain that is cut off with its voter.
func TestPublishes(t *testing.T) {
	f := largeFleet
	plain, voter := storeIP(20), storeIP(2)
	for _, c := range []struct {
		name     string
		in       *sourceInput
		voterAge time.Duration
		want     bool
	}{
		{"in contact", f.input(plain, f.domain(20), true), 100 * time.Millisecond, true},
		{"hears no voter", f.input(plain, f.domain(20), true), 2 * time.Second, false},
		{"is a voter", f.input(voter, f.domain(2), true), 2 * time.Second, true},
		{"small system", fleetSize{stores: 5, domains: 3, voters: 3}.input(storeIP(4), "d1", true), 2 * time.Second, true},
	} {
		if got := publishes(c.in, c.voterAge); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a store host that loses its failure domain when it announces itself without it, and is then
// no fallback of the hosts there.
func TestAnnouncementKeepsDomain(t *testing.T) {
	v := newTestView()
	v.Merge(&Event{From: StoreHost{ReplicaID: "10.0.0.1~x", Domain: "d1"}})
	v.RecordStore(StoreHost{ReplicaID: "10.0.0.1~x"})
	if in := v.sourceInput(); len(in.stores) != 1 || in.stores[0].Domain != "d1" {
		t.Errorf("stores %+v, want the failure domain d1", in.stores)
	}
}
