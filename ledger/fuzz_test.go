package ledger

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"fuchsiaflow/internal/faultcheck"
)

// TestMain fixes the seed, so that every run gives the same verdict. Flags on the command
// line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261204", "checks": "300", "steps": "80", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// ignoreMarkers skips the blank fields that carry the CBOR array option.
var ignoreMarkers = cmp.FilterPath(func(p cmp.Path) bool { return p.Last().String() == "._" }, cmp.Ignore())

// fault breaks one guarantee on purpose.
type fault struct {
	want      string // part of the message of the check that must fail
	before    func(l *Ledger, c *Command)
	after     func(l *Ledger, c *Command, r *Result)
	restored  func(l *Ledger)
	rebuilt   func(s *Scheduler)
	loseHosts bool // losses of hosts do not reach the scheduler
}

type produceKey struct {
	step    string
	slot    int
	attempt uint64
}

// trainer is the oracle of one step: what a correct client received and acknowledged.
type trainer struct {
	id       string
	bound    uint64
	deadline int64
	slots    int
	cursor   uint64
	last     *Batch
	have     map[int]bool // accepted and not withdrawn
	acked    map[int]bool
	closed   bool
}

// world drives a leader's ledger and scheduler, a replica that is restored from snapshots,
// hosts and trainers.
type world struct {
	*rapid.T
	f          fault
	l, replica *Ledger
	s          *Scheduler
	now        time.Time
	term       uint64
	newest     uint64
	nextStep   int
	trainers   []*trainer
	flights    map[string][]Work // by host
	numbers    map[uint64]bool
	made       map[produceKey]AttemptOutput
	old        []AttemptOutput
	kept       map[produceKey]bool // accepted payloads that are not released
}

var fuzzHosts = []string{"a", "b", "c"}

func newWorld(t *rapid.T, f fault) *world {
	w := &world{T: t, f: f, l: New(), replica: New(), now: t0, term: 1, flights: map[string][]Work{}, numbers: map[uint64]bool{}, made: map[produceKey]AttemptOutput{}, kept: map[produceKey]bool{},
		// Leases outlast everything but expireLeases, and half of the cases have no second
		// attempts, so that neither can hide a lost slot.
		s: NewScheduler(SchedulerConfig{MinLease: 1000 * time.Hour, MaxLease: 1000 * time.Hour, SecondsPerToken: 1,
			HedgeAfter: rapid.SampledFrom([]float64{3, 1e9}).Draw(t, "hedge after")})}
	w.s.SetPolicy("kolfe", SchedulingPolicy{IdleWeight: float64(rapid.IntRange(0, 1).Draw(t, "idle")), StalenessWeight: 1})
	w.s.Rebuild(w.now, w.term, w.l)
	return w
}

func (w *world) apply(c Command) Result {
	var results [2][]byte
	var r Result
	for i, l := range []*Ledger{w.replica, w.l} {
		b, err := c.Encode()
		w.ok(err)
		own, err := DecodeCommand(b)
		w.ok(err)
		if w.f.before != nil {
			w.f.before(l, &own)
		}
		r = l.Apply(own)
		if w.f.after != nil {
			w.f.after(l, &own, &r)
		}
		results[i], err = r.Encode()
		w.ok(err)
	}
	if !bytes.Equal(results[0], results[1]) {
		w.Fatalf("the replica's result of %+v differs", c)
	}
	w.s.Observe(w.now, c, r)
	for _, h := range r.Released {
		if key := (produceKey{h.Step, h.Slot, h.Attempt}); !w.kept[key] {
			w.Fatalf("payload %+v was released and is not held", key)
		} else {
			delete(w.kept, key)
		}
	}
	for _, id := range r.ReopenedSlots {
		if t := w.trainer(id.Step); t != nil {
			delete(t.have, id.Slot)
		}
	}
	return r
}

func (w *world) ok(err error) {
	if err != nil {
		w.Fatalf("unexpected failure: %v", err)
	}
}

func (w *world) trainer(id string) *trainer {
	for _, t := range w.trainers {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (w *world) pick() *trainer {
	if len(w.trainers) == 0 {
		w.Skip("no step")
	}
	return rapid.SampledFrom(w.trainers).Draw(w.T, "step")
}

func (w *world) openStep() {
	if len(w.trainers) >= 5 {
		w.Skip("enough steps")
	}
	w.nextStep++
	t := &trainer{id: fmt.Sprint("s", w.nextStep), bound: rapid.Uint64Range(0, 2).Draw(w.T, "bound"), deadline: w.now.Add(time.Hour).UnixMilli(), have: map[int]bool{}, acked: map[int]bool{}}
	c := &OpenStep{Tenancy: "kolfe", Step: t.id, Model: "sorter", StalenessBound: t.bound, DeadlineMs: t.deadline}
	for range rapid.IntRange(1, 3).Draw(w.T, "groups") {
		c.Groups = append(c.Groups, Group{Prompt: "p", Samples: rapid.IntRange(1, 3).Draw(w.T, "samples"), MaxTokens: 30})
		t.slots += c.Groups[len(c.Groups)-1].Samples
	}
	w.trainers = append(w.trainers, t)
	for i := range 2 {
		if r := w.apply(Command{OpenStep: c}); r.Failure != nil || r.Opened.Repeated != (i == 1) {
			w.Fatalf("open %d: %+v", i, r)
		}
	}
}

func (w *world) publish() {
	w.newest++
	w.apply(publish(w.newest))
}

func (w *world) lease() { w.leaseTo(rapid.SampledFrom(fuzzHosts).Draw(w.T, "host"), 3) }

func (w *world) leaseTo(host string, n int) int {
	w.now = w.now.Add(time.Second)
	work := w.s.Lease(w.now, host, []Capacity{{Model: "sorter", Version: w.newest, FreeSlots: n}})
	for _, x := range work {
		if w.numbers[x.Attempt] {
			w.Fatalf("attempt number %d was given twice", x.Attempt)
		}
		w.numbers[x.Attempt] = true
		x.MinVersion = w.newest // remembers the version at the start
		w.flights[host] = append(w.flights[host], x)
	}
	return len(work)
}

// land removes an attempt from a host.
func (w *world) land() Work {
	host := rapid.SampledFrom(fuzzHosts).Draw(w.T, "host")
	if len(w.flights[host]) == 0 {
		w.Skip("idle")
	}
	i := rapid.IntRange(0, len(w.flights[host])-1).Draw(w.T, "flight")
	x := w.flights[host][i]
	w.flights[host] = slices.Delete(w.flights[host], i, i+1)
	return x
}

// finish ends an attempt, possibly on two versions, or with a label that is missing or
// above the newest version.
func (w *world) finish() {
	x := w.land()
	versions, bad := []uint64{x.MinVersion}, false
	switch rapid.IntRange(0, 5).Draw(w.T, "labels") {
	case 0:
		versions, bad = nil, true
	case 1:
		versions, bad = append(versions, w.newest+1), true
	case 2:
		if x.MinVersion < w.newest {
			versions = append(versions, w.newest)
		}
	}
	if v := w.offer(x, versions); bad && v == Accepted {
		w.Fatalf("output with labels %v was accepted", versions)
	}
}

func (w *world) offer(x Work, versions []uint64) Verdict {
	p := AttemptOutput{Tenancy: x.Tenancy, Step: x.Step, Slot: x.Slot, Attempt: x.Attempt, Versions: versions, Digest: Digest{byte(x.Attempt), byte(x.Attempt >> 8), byte(x.Slot)}, Tokens: 9, Holders: []string{"a"}}
	w.made[produceKey{p.Step, p.Slot, p.Attempt}] = p
	w.old = append(w.old, p)
	return w.accept(p)
}

func (w *world) accept(p AttemptOutput) Verdict {
	v := w.apply(accept(p)).Verdicts[0]
	if v == Accepted {
		w.kept[produceKey{p.Step, p.Slot, p.Attempt}] = true
	}
	if t := w.trainer(p.Step); t != nil && v == Accepted {
		t.have[p.Slot] = true
	}
	return v
}

// repeat offers an earlier output again, as a host does after a lost answer.
func (w *world) repeat() {
	if len(w.old) == 0 {
		w.Skip("nothing produced")
	}
	w.accept(rapid.SampledFrom(w.old).Draw(w.T, "output"))
}

func (w *world) hostLost() { w.lose(rapid.SampledFrom(fuzzHosts).Draw(w.T, "host")) }

func (w *world) lose(host string) {
	w.flights[host] = nil
	if !w.f.loseHosts {
		w.s.HostLost(host)
	}
}

func (w *world) attemptFailed() {
	x := w.land()
	w.s.AttemptFailed(SlotID{Tenancy: x.Tenancy, Step: x.Step, Slot: x.Slot}, x.Attempt)
}

// leaderChange leaves attempts of the former leader running: they may still deliver.
func (w *world) leaderChange() {
	w.term++
	w.s.Rebuild(w.now, w.term, w.l)
	if w.f.rebuilt != nil {
		w.f.rebuilt(w.s)
	}
}

func (w *world) expireLeases() { w.now = w.now.Add(1001 * time.Hour) }

func (w *world) restoreReplica() {
	b, err := w.replica.Snapshot()
	w.ok(err)
	w.replica = New()
	w.ok(w.replica.Restore(b))
	if w.f.restored != nil {
		w.f.restored(w.replica)
	}
}

func (w *world) payloadLost() {
	t := w.pick()
	w.apply(Command{PayloadLost: &PayloadLost{Tenancy: "kolfe", Step: t.id, Slot: rapid.IntRange(0, t.slots-1).Draw(w.T, "slot")}})
}

func (w *world) closeStep() {
	t := w.pick()
	c := &CloseStep{Tenancy: "kolfe", Step: t.id, NowMs: w.now.UnixMilli(), Abandon: rapid.IntRange(0, 4).Draw(w.T, "abandon") == 0}
	r := w.apply(Command{CloseStep: c})
	if early := c.NowMs < t.deadline && len(t.have) < t.slots && !t.closed && !c.Abandon; early != (r.Failure != nil) {
		w.Fatalf("close: early %v, failure %v", early, r.Failure)
	} else if early {
		return
	}
	if c.Abandon {
		t.have = maps.Clone(t.acked)
	}
	if want := t.missing(); (!t.closed || c.Abandon) && !slices.Equal(r.Closed.Missing, want) {
		w.Fatalf("step %s closed without %v, want %v", t.id, r.Closed.Missing, want)
	}
	t.closed = true
}

func (t *trainer) missing() Slots {
	var list Slots
	for slot := range t.slots {
		if !t.have[slot] {
			list = append(list, slot)
		}
	}
	return list
}

func (w *world) wrongAck() {
	t := w.pick()
	wrong := t.cursor + 2 + rapid.Uint64Range(0, 1).Draw(w.T, "ahead")
	if t.cursor > 0 && rapid.Bool().Draw(w.T, "behind") {
		wrong = t.cursor - 1
	}
	var mismatch *CursorMismatch
	if err := w.apply(fetch(t.id, wrong, 1)).Failure; !errors.As(err, &mismatch) || mismatch.Behind() != (wrong < t.cursor) {
		w.Fatalf("ack %d at cursor %d: %v", wrong, t.cursor, err)
	}
}

func (w *world) fetch() {
	t := w.pick()
	use := rapid.Bool().Draw(w.T, "answer arrived")
	w.newest += uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(w.T, "trained"))
	w.fetchFor(t, use, rapid.IntRange(0, 4).Draw(w.T, "max"))
}

// fetchFor asks for the next batch and acknowledges the last one when use is set; otherwise
// it asks again as after a lost answer.
func (w *world) fetchFor(t *trainer, use bool, limit int) (complete bool) {
	c := &Fetch{Tenancy: "kolfe", Step: t.id, Ack: t.cursor, MaxSamples: limit, TrainerVersion: w.newest}
	use = use && t.last != nil
	if use {
		c.Ack, c.AckRevision = t.last.Number, t.last.Revision
	}
	r := w.apply(Command{Fetch: c})
	if r.Failure != nil {
		var mismatch *CursorMismatch
		if !use || !errors.As(r.Failure, &mismatch) {
			w.Fatalf("fetch: %v", r.Failure)
		}
		t.last = nil // samples were withdrawn from the answer; it must not be used
		return false
	}
	if use {
		for _, s := range t.last.Samples {
			if t.acked[s.Slot] {
				w.Fatalf("step %s slot %d was delivered twice", t.id, s.Slot)
			}
			t.acked[s.Slot] = true
		}
		t.cursor, t.last = t.last.Number, nil
	}
	w.check(t, r.Batch)
	if r.Batch.Complete {
		for slot := range t.slots {
			if missing := slices.Contains(r.Batch.Missing, slot); t.acked[slot] == missing || missing && !t.closed {
				w.Fatalf("complete step %s: slot %d acknowledged %v, missing %v", t.id, slot, t.acked[slot], missing)
			}
		}
		w.trainers = slices.DeleteFunc(w.trainers, func(o *trainer) bool { return o == t })
	}
	return r.Batch.Complete
}

func (w *world) check(t *trainer, b *Batch) {
	want := t.cursor
	if len(b.Samples) > 0 {
		want++
	}
	if b.Number != want {
		w.Fatalf("batch %d after cursor %d", b.Number, t.cursor)
	}
	for _, s := range b.Samples {
		made := w.made[produceKey{t.id, s.Slot, s.Attempt}]
		if !slices.Equal(made.Versions, s.Versions) || made.Digest != s.Digest {
			w.Fatalf("slot %d is labelled %v, the target reported %v", s.Slot, s.Versions, made.Versions)
		}
		if oldest := slices.Min(s.Versions); w.newest-oldest > t.bound {
			w.Fatalf("slot %d has version %d with newest %d and bound %d", s.Slot, oldest, w.newest, t.bound)
		}
	}
	if t.last != nil && len(b.Samples) > 0 {
		// A batch only shrinks. One that lost all samples is filled again, maybe with new
		// attempts at the same slots, under another revision.
		kept := slices.DeleteFunc(slices.Clone(t.last.Samples), func(s SampleRef) bool {
			return slices.Contains(b.Withdrawn, s.Slot) || slices.ContainsFunc(b.Samples, func(o SampleRef) bool { return o.Slot == s.Slot && o.Attempt != s.Attempt })
		})
		if len(kept) > 0 && !cmp.Equal(kept, b.Samples, ignoreMarkers) || (len(kept) == len(t.last.Samples)) != (b.Revision == t.last.Revision) {
			w.Fatalf("batch %d changed from %+v to %+v", b.Number, t.last, b)
		}
	}
	if missing := t.missing(); !t.closed && !slices.Equal(b.Missing, missing) {
		w.Fatalf("missing %v, want %v", b.Missing, missing)
	}
	t.last = nil
	if len(b.Samples) > 0 {
		t.last = b
	}
}

// drain lets healthy hosts and trainers go on: every step must then become complete.
func (w *world) drain() {
	if w.newest == 0 {
		w.publish()
	}
	w.s.SetPolicy("kolfe", SchedulingPolicy{IdleWeight: 1})
	w.leaseTo("a", 3)
	w.lose("a") // a loss that no later lease expiry or leader change can hide
	for range 40 {
		for _, host := range fuzzHosts {
			w.leaseTo(host, 50)
			for _, x := range w.flights[host] {
				w.offer(x, []uint64{w.newest})
			}
			w.flights[host] = nil
		}
		for _, t := range slices.Clone(w.trainers) {
			w.fetchFor(t, true, 0)
		}
	}
	for _, t := range w.trainers {
		w.Fatalf("step %s lost slots: %d of %d acknowledged", t.id, len(t.acked), t.slots)
	}
	if len(w.kept) > 0 {
		w.Fatalf("payloads are never released: %v", w.kept)
	}
	if w.l.String() != w.replica.String() {
		w.Fatalf("the replica's state differs")
	}
}

func property(f fault) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, f)
		t.Repeat(map[string]func(*rapid.T){
			"openStep": func(*rapid.T) { w.openStep() }, "publish": func(*rapid.T) { w.publish() },
			"lease": func(*rapid.T) { w.lease() }, "lease2": func(*rapid.T) { w.lease() },
			"finish": func(*rapid.T) { w.finish() }, "finish2": func(*rapid.T) { w.finish() }, "finish3": func(*rapid.T) { w.finish() },
			"repeat": func(*rapid.T) { w.repeat() }, "hostLost": func(*rapid.T) { w.hostLost() },
			"attemptFailed": func(*rapid.T) { w.attemptFailed() }, "leaderChange": func(*rapid.T) { w.leaderChange() },
			"expireLeases": func(*rapid.T) { w.expireLeases() }, "restoreReplica": func(*rapid.T) { w.restoreReplica() },
			"payloadLost": func(*rapid.T) { w.payloadLost() }, "closeStep": func(*rapid.T) { w.closeStep() },
			"wrongAck": func(*rapid.T) { w.wrongAck() }, "fetch": func(*rapid.T) { w.fetch() }, "fetch2": func(*rapid.T) { w.fetch() },
		})
		w.drain()
	}
}

// Guards against samples lost, duplicated, too old or wrongly labelled, under losses of
// hosts and leaders, repeated messages and restored snapshots at any moment (P1 to P3).
func TestDeliveryProperty(t *testing.T) { rapid.Check(t, property(fault{})) }

// Guards against checks that cannot fail: each deliberate fault must be found.
func TestDeliberateFaults(t *testing.T) {
	stepOf := func(l *Ledger, id string) *step { _, s := l.step("kolfe", id); return s }
	faults := map[string]fault{
		"acknowledged slot is delivered again": {want: "was delivered twice", after: func(l *Ledger, c *Command, r *Result) {
			if c.Fetch != nil && c.Fetch.AckRevision != 0 && r.Batch != nil && !r.Batch.Closed {
				s := stepOf(l, c.Fetch.Step)
				if r.Released = nil; c.Fetch.Ack == 1 { // released with the second delivery
					s.set(slices.Index(s.States, slotAcked), slotReady)
				}
			}
		}},
		"accepted sample is not delivered": {want: "acknowledged false, missing false", after: func(l *Ledger, c *Command, r *Result) {
			for i, v := range r.Verdicts {
				if p := c.Accept.Produced[i]; v == Accepted && p.Slot == 1 {
					stepOf(l, p.Step).set(p.Slot, slotAcked)
				}
			}
		}},
		"bound is one too large": {want: "and bound", after: func(l *Ledger, c *Command, r *Result) {
			if c.OpenStep != nil && !r.Opened.Repeated {
				stepOf(l, c.OpenStep.Step).Bound++
			}
		}},
		"label is the newest version": {want: "the target reported", before: func(l *Ledger, c *Command) {
			for i := 0; c.Accept != nil && i < len(c.Accept.Produced); i++ {
				if p := &c.Accept.Produced[i]; len(p.Versions) == 1 {
					p.Versions = []uint64{l.NewestVersion("kolfe", "sorter")}
				}
			}
		}},
		"missing label is accepted": {want: "was accepted", before: func(l *Ledger, c *Command) {
			for i := 0; c.Accept != nil && i < len(c.Accept.Produced); i++ {
				if p := &c.Accept.Produced[i]; len(p.Versions) == 0 {
					p.Versions = []uint64{l.NewestVersion("kolfe", "sorter")}
				}
			}
		}},
		"cursor skips a batch": {want: "after cursor", after: func(l *Ledger, c *Command, r *Result) {
			if c.Fetch != nil && c.Fetch.AckRevision != 0 && r.Batch != nil && len(r.Batch.Samples) > 0 {
				stepOf(l, c.Fetch.Step).Acked++
				r.Batch.Number++
			}
		}},
		"snapshot forgets attempts": {want: "replica's", restored: func(l *Ledger) {
			for _, t := range l.state.Tenancies {
				for _, s := range t.Steps {
					clear(s.Attempts)
				}
			}
		}},
		"new leader forgets steps": {want: "lost slots", rebuilt: func(s *Scheduler) { clear(s.tenancies) }},
		"withdrawn payload is not released": {want: "never released", after: func(_ *Ledger, _ *Command, r *Result) {
			if len(r.ReopenedSlots) > 0 {
				r.Released = nil
			}
		}},
		"host loss is not seen": {want: "lost slots", loseHosts: true},
		"closed step hides a missing slot": {want: "closed without", after: func(_ *Ledger, _ *Command, r *Result) {
			if r.Closed != nil && len(r.Closed.Missing) > 0 {
				r.Closed.Missing = r.Closed.Missing[1:]
			}
		}},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			if got := faultcheck.Failure(t, property(f)); !strings.Contains(got, f.want) {
				t.Errorf("the check says %q, want %q", got, f.want)
			}
		})
	}
}
