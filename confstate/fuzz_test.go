package confstate

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"fuchsiaflow/internal/faultcheck"
)

// TestMain fixes the seed, so that every run gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// simulation has a control group of three replicas, two domain groups that copy its log with a
// delay, and hosts that receive entries late, repeatedly and out of order.
type simulation struct {
	fault            string
	replicas         []*Store
	log              []Entry
	committedDigests map[uint64]string // digest of each committed version
	copiedEntries    [2]int            // number of log entries that each domain group has copied
	hosts            []*simHost
}

type simHost struct {
	activator     *Activator
	domain        int
	pendingRead   *Entry // result of a read that the host has not received yet
	highestServed uint64 // highest version served by the host, including before restarts
}

// apply applies a change to all replicas. It returns a description of a violated guarantee, or "".
func (s *simulation) apply(c Change) string {
	var first Result
	for i, replica := range s.replicas {
		if s.fault == "last write wins" && c.Version == replica.current.Version {
			replica.commit(c)
		}
		r := replica.Apply(c)
		if i == 0 {
			first = r
		} else if r != first || replica.Current().Digest != s.replicas[0].Current().Digest {
			return fmt.Sprintf("replica %d decided %+v, replica 0 %+v", i, r, first)
		}
	}
	if first.Kind == Committed {
		s.log = append(s.log, s.replicas[0].Current())
		s.committedDigests[c.Version] = c.Digest
	}
	if cur := s.replicas[0].Current(); s.committedDigests[cur.Version] != cur.Digest {
		return fmt.Sprintf("the digest of version %d changed after the commit", cur.Version)
	}
	accepted := first.Kind == Committed || first.Kind == Repeated
	if accepted != (s.committedDigests[c.Version] == c.Digest) {
		return fmt.Sprintf("decision %s for version %d, digest equals the committed one: %v", first.Kind, c.Version, !accepted)
	}
	return ""
}

func (s *simulation) restoreReplica(i int) {
	data, _ := s.replicas[i].Snapshot()
	s.replicas[i] = NewStore()
	if err := s.replicas[i].Restore(data); err != nil {
		panic(err)
	}
	if s.fault == "snapshot without history" {
		s.replicas[i].history = nil
	}
}

func (s *simulation) restartHost(h *simHost) {
	h.activator, h.pendingRead = NewActivator(), nil
	h.activator.confirmed = s.fault == "ready without a read"
}

func (s *simulation) offer(h *simHost, index int) {
	if s.fault == "older offer accepted" && index < s.copiedEntries[h.domain] {
		h.activator.active = Entry{}
	}
	_, _ = h.activator.Offer(s.log[index], index < s.copiedEntries[h.domain])
}

// checkHost checks that the version which the host serves never decreases and has the committed
// digest. It returns a description of a violated guarantee, or "".
func (s *simulation) checkHost(h *simHost) string {
	if !h.activator.Ready() {
		return ""
	}
	active := h.activator.Active()
	if active.Version < h.highestServed {
		return fmt.Sprintf("host was downgraded from version %d to %d", h.highestServed, active.Version)
	}
	if active.Version != 0 && s.committedDigests[active.Version] != active.Digest {
		return fmt.Sprintf("host serves version %d with a digest that was not committed", active.Version)
	}
	h.highestServed = active.Version
	return ""
}

// step performs one random action. It returns a description of a violated guarantee, or "".
func (s *simulation) step(t *rapid.T) string {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0, 1:
		version := rapid.Uint64Range(1, uint64(len(s.log)+3)).Draw(t, "version")
		return s.apply(testChange(version, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "body")))
	case 2:
		s.restoreReplica(rapid.IntRange(0, 2).Draw(t, "replica"))
	case 3:
		s.copiedEntries[h.domain] = rapid.IntRange(s.copiedEntries[h.domain], len(s.log)).Draw(t, "copied")
	case 4:
		if len(s.log) > 0 {
			s.offer(h, rapid.IntRange(0, len(s.log)-1).Draw(t, "entry"))
		}
	case 5:
		s.restartHost(h)
	case 6:
		var e Entry
		if n := s.copiedEntries[h.domain]; n > 0 {
			e = s.log[n-1]
		}
		h.pendingRead = &e
	case 7:
		if h.pendingRead != nil {
			if _, err := h.activator.Confirm(*h.pendingRead); err != nil {
				return err.Error()
			}
			h.pendingRead = nil
		}
	}
	return s.checkHost(h)
}

func runSimulation(t *rapid.T, fault string) string {
	s := &simulation{fault: fault, committedDigests: map[uint64]string{}, replicas: []*Store{NewStore(), NewStore(), NewStore()}}
	for i := range 3 {
		s.hosts = append(s.hosts, &simHost{activator: NewActivator(), domain: i % 2})
	}
	for range 120 {
		if violation := s.step(t); violation != "" {
			return violation
		}
	}
	return ""
}

// Guards against a host that is downgraded to an older configuration, and against replicas that
// decide differently on concurrent changes with the same version (P9).
func TestConfigurationIsNeverDowngraded(t *testing.T) {
	faultcheck.Verify(t, runSimulation, "last write wins", "snapshot without history", "ready without a read", "older offer accepted")
}

// Guards against a panic on a corrupted file, and against an accepted file whose canonical form
// does not parse to the same configuration.
func TestParseCorruptedFile(t *testing.T) {
	text := []byte(sampleConfig())
	rapid.Check(t, func(rt *rapid.T) {
		data := append([]byte{}, text...)
		for range rapid.IntRange(1, 3).Draw(rt, "edits") {
			data[rapid.IntRange(0, len(data)-1).Draw(rt, "at")] = rapid.SampledFrom([]byte(`"{}[],:01-.eax `)).Draw(rt, "byte")
		}
		c, err := Parse(data)
		if err != nil {
			return
		}
		reparsed, err := Parse(CanonicalJSON(c))
		if err != nil {
			rt.Fatal(err)
		}
		if diff := cmp.Diff(c, reparsed); diff != "" {
			rt.Fatal(diff)
		}
	})
}
