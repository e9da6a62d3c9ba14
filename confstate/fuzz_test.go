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

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// world is a control group of three replicas, two domain groups that copy its log with a lag,
// and hosts that receive entries late, repeated and out of order.
type world struct {
	fault    string
	replicas []*Store
	log      []Entry
	decided  map[uint64]string // first committed digest of each version
	domains  [2]int            // entries that each domain group has copied
	hosts    []*worldHost
}

type worldHost struct {
	a       *Activator
	domain  int
	read    *Entry // result of a read that has not reached the host
	highest uint64 // greatest version served in any life of the host
}

func (w *world) apply(c Change) string {
	var first Result
	for i, s := range w.replicas {
		if w.fault == "last write wins" && c.Version == s.current.Version {
			s.commit(c)
		}
		r := s.Apply(c)
		if i == 0 {
			first = r
		} else if r != first || s.Current().Digest != w.replicas[0].Current().Digest {
			return fmt.Sprintf("replica %d decided %+v, replica 0 %+v", i, r, first)
		}
	}
	if first.Kind == Committed {
		w.log = append(w.log, w.replicas[0].Current())
		w.decided[c.Version] = c.Digest
	}
	if cur := w.replicas[0].Current(); w.decided[cur.Version] != cur.Digest {
		return fmt.Sprintf("version %d changed its digest after it was decided", cur.Version)
	}
	accepted := first.Kind == Committed || first.Kind == Repeated
	if accepted != (w.decided[c.Version] == c.Digest) {
		return fmt.Sprintf("%s for version %d, digest decided first: %v", first.Kind, c.Version, !accepted)
	}
	return ""
}

func (w *world) restore(i int) {
	data, _ := w.replicas[i].Snapshot()
	w.replicas[i] = NewStore()
	if err := w.replicas[i].Restore(data); err != nil {
		panic(err)
	}
	if w.fault == "snapshot without history" {
		w.replicas[i].history = nil
	}
}

func (w *world) restart(h *worldHost) {
	h.a, h.read = NewActivator(), nil
	h.a.confirmed = w.fault == "ready without a read"
}

func (w *world) offer(h *worldHost, at int) {
	if w.fault == "older offer accepted" && at < w.domains[h.domain] {
		h.a.active = Entry{}
	}
	_, _ = h.a.Offer(w.log[at], at < w.domains[h.domain])
}

// check compares what the host serves with the oracle: the version never goes back.
func (w *world) check(h *worldHost) string {
	if !h.a.Ready() {
		return ""
	}
	v := h.a.Active()
	if v.Version < h.highest {
		return fmt.Sprintf("host went back from version %d to %d", h.highest, v.Version)
	}
	if v.Version != 0 && w.decided[v.Version] != v.Digest {
		return fmt.Sprintf("host serves version %d with a digest that was not decided", v.Version)
	}
	h.highest = v.Version
	return ""
}

func (w *world) step(t *rapid.T) string {
	h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0, 1:
		version := rapid.Uint64Range(1, uint64(len(w.log)+3)).Draw(t, "version")
		return w.apply(change(version, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "body")))
	case 2:
		w.restore(rapid.IntRange(0, 2).Draw(t, "replica"))
	case 3:
		w.domains[h.domain] = rapid.IntRange(w.domains[h.domain], len(w.log)).Draw(t, "copied")
	case 4:
		if len(w.log) > 0 {
			w.offer(h, rapid.IntRange(0, len(w.log)-1).Draw(t, "entry"))
		}
	case 5:
		w.restart(h)
	case 6:
		var e Entry
		if n := w.domains[h.domain]; n > 0 {
			e = w.log[n-1]
		}
		h.read = &e
	case 7:
		if h.read != nil {
			if _, err := h.a.Confirm(*h.read); err != nil {
				return err.Error()
			}
			h.read = nil
		}
	}
	return w.check(h)
}

func runWorld(t *rapid.T, fault string) string {
	w := &world{fault: fault, decided: map[uint64]string{}, replicas: []*Store{NewStore(), NewStore(), NewStore()}}
	for i := range 3 {
		w.hosts = append(w.hosts, &worldHost{a: NewActivator(), domain: i % 2})
	}
	for range 120 {
		if bad := w.step(t); bad != "" {
			return bad
		}
	}
	return ""
}

// Guards against a configuration that goes backwards on a host, and against replicas that
// decide a race of equal versions differently (P9).
func TestConfigurationNeverGoesBack(t *testing.T) {
	faultcheck.Verify(t, runWorld, "last write wins", "snapshot without history", "ready without a read", "older offer accepted")
}

// Guards against a panic or an accepted value that does not survive its canonical form, for
// files with random damage.
func TestParseDamaged(t *testing.T) {
	text := []byte(sampleText())
	rapid.Check(t, func(rt *rapid.T) {
		data := append([]byte{}, text...)
		for range rapid.IntRange(1, 3).Draw(rt, "edits") {
			data[rapid.IntRange(0, len(data)-1).Draw(rt, "at")] = rapid.SampledFrom([]byte(`"{}[],:01-.eax `)).Draw(rt, "byte")
		}
		c, err := Parse(data)
		if err != nil {
			return
		}
		again, err := Parse(CanonicalJSON(c))
		if err != nil {
			rt.Fatal(err)
		}
		if diff := cmp.Diff(c, again); diff != "" {
			rt.Fatal(diff)
		}
	})
}
