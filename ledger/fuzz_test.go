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

// TestMain fixes the seed of rapid, so that runs are reproducible. Flags on the command line take
// precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "20261204", "checks": "300", "steps": "80", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// ignoreBlankFields ignores the blank fields that hold the toarray option of CBOR.
var ignoreBlankFields = cmp.FilterPath(func(p cmp.Path) bool { return p.Last().String() == "._" }, cmp.Ignore())

// fault injects a violation of one guarantee.
type fault struct {
	wantMessage  string // part of the failure message of the check that must detect the fault
	beforeApply  func(l *Ledger, c *Command)
	afterApply   func(l *Ledger, c *Command, r *Result)
	afterRestore func(l *Ledger)
	afterRebuild func(s *Scheduler)
	dropHostLoss bool // the scheduler is not told about lost hosts
}

type outputKey struct {
	step    string
	slot    int
	attempt uint64
}

// trainer is the reference model of one step: what a correct client received and acknowledged.
type trainer struct {
	id             string
	stalenessBound uint64
	deadline       int64
	slots          int
	cursor         uint64
	lastBatch      *Batch
	accepted       map[int]bool // slots accepted and not withdrawn
	acked          map[int]bool
	closed         bool
}

// simulation drives a leader's ledger and scheduler, a replica that is restored from snapshots,
// hosts and trainers.
type simulation struct {
	*rapid.T
	fault           fault
	ledger, replica *Ledger
	scheduler       *Scheduler
	now             time.Time
	term            uint64
	newest          uint64
	nextStep        int
	trainers        []*trainer
	inFlight        map[string][]Work // by host
	attemptNumbers  map[uint64]bool
	outputs         map[outputKey]AttemptOutput
	submitted       []AttemptOutput
	heldPayloads    map[outputKey]bool // payloads of accepted outputs that are not released
}

var simulatedHosts = []string{"a", "b", "c"}

func newSimulation(t *rapid.T, f fault) *simulation {
	sim := &simulation{T: t, fault: f, ledger: New(), replica: New(), now: startTime, term: 1, inFlight: map[string][]Work{}, attemptNumbers: map[uint64]bool{}, outputs: map[outputKey]AttemptOutput{}, heldPayloads: map[outputKey]bool{},
		// Leases expire only in expireLeases, and half of the cases have no second attempts,
		// because either would hide a lost slot.
		scheduler: NewScheduler(SchedulerConfig{MinLease: 1000 * time.Hour, MaxLease: 1000 * time.Hour, InitialSecondsPerToken: 1,
			StragglerFactor: rapid.SampledFrom([]float64{3, 1e9}).Draw(t, "straggler factor")})}
	sim.scheduler.SetPolicy("kolfe", SchedulingPolicy{IdleWeight: float64(rapid.IntRange(0, 1).Draw(t, "idle")), StalenessWeight: 1})
	sim.scheduler.Rebuild(sim.now, sim.term, sim.ledger)
	return sim
}

func (sim *simulation) apply(c Command) Result {
	var results [2][]byte
	var r Result
	for i, l := range []*Ledger{sim.replica, sim.ledger} {
		b, err := c.Encode()
		sim.requireNoError(err)
		own, err := DecodeCommand(b)
		sim.requireNoError(err)
		if sim.fault.beforeApply != nil {
			sim.fault.beforeApply(l, &own)
		}
		r = l.Apply(own)
		if sim.fault.afterApply != nil {
			sim.fault.afterApply(l, &own, &r)
		}
		results[i], err = r.Encode()
		sim.requireNoError(err)
	}
	if !bytes.Equal(results[0], results[1]) {
		sim.Fatalf("the replica's result of %+v differs from the leader's", c)
	}
	sim.scheduler.Observe(sim.now, c, r)
	for _, h := range r.Released {
		if key := (outputKey{h.Step, h.Slot, h.Attempt}); !sim.heldPayloads[key] {
			sim.Fatalf("payload %+v was released but is not held", key)
		} else {
			delete(sim.heldPayloads, key)
		}
	}
	for _, id := range r.ReopenedSlots {
		if t := sim.trainer(id.Step); t != nil {
			delete(t.accepted, id.Slot)
		}
	}
	return r
}

func (sim *simulation) requireNoError(err error) {
	if err != nil {
		sim.Fatalf("unexpected error: %v", err)
	}
}

func (sim *simulation) trainer(id string) *trainer {
	for _, t := range sim.trainers {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (sim *simulation) pickTrainer() *trainer {
	if len(sim.trainers) == 0 {
		sim.Skip("no open step")
	}
	return rapid.SampledFrom(sim.trainers).Draw(sim.T, "step")
}

func (sim *simulation) openStep() {
	if len(sim.trainers) >= 5 {
		sim.Skip("too many open steps")
	}
	sim.nextStep++
	t := &trainer{id: fmt.Sprint("s", sim.nextStep), stalenessBound: rapid.Uint64Range(0, 2).Draw(sim.T, "bound"), deadline: sim.now.Add(time.Hour).UnixMilli(), accepted: map[int]bool{}, acked: map[int]bool{}}
	c := &OpenStep{Tenancy: "kolfe", Step: t.id, Model: "sorter", StalenessBound: t.stalenessBound, DeadlineMs: t.deadline}
	for range rapid.IntRange(1, 3).Draw(sim.T, "groups") {
		c.Groups = append(c.Groups, Group{Prompt: "p", Samples: rapid.IntRange(1, 3).Draw(sim.T, "samples"), MaxTokens: 30})
		t.slots += c.Groups[len(c.Groups)-1].Samples
	}
	sim.trainers = append(sim.trainers, t)
	for i := range 2 {
		if r := sim.apply(Command{OpenStep: c}); r.Failure != nil || r.Opened.Repeated != (i == 1) {
			sim.Fatalf("open %d: %+v", i, r)
		}
	}
}

func (sim *simulation) publish() {
	sim.newest++
	sim.apply(publishCommand(sim.newest))
}

func (sim *simulation) lease() { sim.leaseTo(rapid.SampledFrom(simulatedHosts).Draw(sim.T, "host"), 3) }

func (sim *simulation) leaseTo(host string, n int) int {
	sim.now = sim.now.Add(time.Second)
	work := sim.scheduler.Lease(sim.now, host, []Capacity{{Model: "sorter", Version: sim.newest, FreeSlots: n}})
	for _, x := range work {
		if sim.attemptNumbers[x.Attempt] {
			sim.Fatalf("attempt number %d was assigned twice", x.Attempt)
		}
		sim.attemptNumbers[x.Attempt] = true
		x.MinVersion = sim.newest // the version that the target has loaded at the start
		sim.inFlight[host] = append(sim.inFlight[host], x)
	}
	return len(work)
}

// takeAttempt removes a random attempt in flight from a random host and returns it.
func (sim *simulation) takeAttempt() Work {
	host := rapid.SampledFrom(simulatedHosts).Draw(sim.T, "host")
	if len(sim.inFlight[host]) == 0 {
		sim.Skip("no attempt in flight")
	}
	i := rapid.IntRange(0, len(sim.inFlight[host])-1).Draw(sim.T, "flight")
	work := sim.inFlight[host][i]
	sim.inFlight[host] = slices.Delete(sim.inFlight[host], i, i+1)
	return work
}

// finish reports the output of an attempt. It may have two versions, no version, or one that is
// not published.
func (sim *simulation) finish() {
	work := sim.takeAttempt()
	versions, bad := []uint64{work.MinVersion}, false
	switch rapid.IntRange(0, 5).Draw(sim.T, "labels") {
	case 0:
		versions, bad = nil, true
	case 1:
		versions, bad = append(versions, sim.newest+1), true
	case 2:
		if work.MinVersion < sim.newest {
			versions = append(versions, sim.newest)
		}
	}
	if v := sim.submitOutput(work, versions); bad && v == Accepted {
		sim.Fatalf("output with labels %v was accepted", versions)
	}
}

func (sim *simulation) submitOutput(work Work, versions []uint64) Verdict {
	p := AttemptOutput{Tenancy: work.Tenancy, Step: work.Step, Slot: work.Slot, Attempt: work.Attempt, Versions: versions, Digest: Digest{byte(work.Attempt), byte(work.Attempt >> 8), byte(work.Slot)}, Tokens: 9, Holders: []string{"a"}}
	sim.outputs[outputKey{p.Step, p.Slot, p.Attempt}] = p
	sim.submitted = append(sim.submitted, p)
	return sim.accept(p)
}

func (sim *simulation) accept(p AttemptOutput) Verdict {
	v := sim.apply(acceptCommand(p)).Verdicts[0]
	if v == Accepted {
		sim.heldPayloads[outputKey{p.Step, p.Slot, p.Attempt}] = true
	}
	if t := sim.trainer(p.Step); t != nil && v == Accepted {
		t.accepted[p.Slot] = true
	}
	return v
}

// repeatOutput submits an earlier output again, as a host does after a lost answer.
func (sim *simulation) repeatOutput() {
	if len(sim.submitted) == 0 {
		sim.Skip("no output yet")
	}
	sim.accept(rapid.SampledFrom(sim.submitted).Draw(sim.T, "output"))
}

func (sim *simulation) hostLost() {
	sim.loseHost(rapid.SampledFrom(simulatedHosts).Draw(sim.T, "host"))
}

func (sim *simulation) loseHost(host string) {
	sim.inFlight[host] = nil
	if !sim.fault.dropHostLoss {
		sim.scheduler.HostLost(host)
	}
}

func (sim *simulation) attemptFailed() {
	work := sim.takeAttempt()
	sim.scheduler.AttemptFailed(SlotID{Tenancy: work.Tenancy, Step: work.Step, Slot: work.Slot}, work.Attempt)
}

// leaderChange rebuilds the scheduler under a new term. Attempts of the former leader keep running
// and may still report their output.
func (sim *simulation) leaderChange() {
	sim.term++
	sim.scheduler.Rebuild(sim.now, sim.term, sim.ledger)
	if sim.fault.afterRebuild != nil {
		sim.fault.afterRebuild(sim.scheduler)
	}
}

func (sim *simulation) expireLeases() { sim.now = sim.now.Add(1001 * time.Hour) }

func (sim *simulation) restoreReplica() {
	b, err := sim.replica.Snapshot()
	sim.requireNoError(err)
	sim.replica = New()
	sim.requireNoError(sim.replica.Restore(b))
	if sim.fault.afterRestore != nil {
		sim.fault.afterRestore(sim.replica)
	}
}

func (sim *simulation) payloadLost() {
	t := sim.pickTrainer()
	sim.apply(Command{PayloadLost: &PayloadLost{Tenancy: "kolfe", Step: t.id, Slot: rapid.IntRange(0, t.slots-1).Draw(sim.T, "slot")}})
}

func (sim *simulation) closeStep() {
	t := sim.pickTrainer()
	c := &CloseStep{Tenancy: "kolfe", Step: t.id, NowMs: sim.now.UnixMilli(), Abandon: rapid.IntRange(0, 4).Draw(sim.T, "abandon") == 0}
	r := sim.apply(Command{CloseStep: c})
	if early := c.NowMs < t.deadline && len(t.accepted) < t.slots && !t.closed && !c.Abandon; early != (r.Failure != nil) {
		sim.Fatalf("close: early %v, failure %v", early, r.Failure)
	} else if early {
		return
	}
	if c.Abandon {
		t.accepted = maps.Clone(t.acked)
	}
	if want := t.missingSlots(); (!t.closed || c.Abandon) && !slices.Equal(r.Closed.Missing, want) {
		sim.Fatalf("step %s was closed without %v, want %v", t.id, r.Closed.Missing, want)
	}
	t.closed = true
}

func (t *trainer) missingSlots() Slots {
	var list Slots
	for slot := range t.slots {
		if !t.accepted[slot] {
			list = append(list, slot)
		}
	}
	return list
}

func (sim *simulation) wrongAck() {
	t := sim.pickTrainer()
	wrong := t.cursor + 2 + rapid.Uint64Range(0, 1).Draw(sim.T, "ahead")
	if t.cursor > 0 && rapid.Bool().Draw(sim.T, "behind") {
		wrong = t.cursor - 1
	}
	var mismatch *CursorMismatch
	if err := sim.apply(fetchCommand(t.id, wrong, 1)).Failure; !errors.As(err, &mismatch) || mismatch.AckBehind() != (wrong < t.cursor) {
		sim.Fatalf("ack %d at cursor %d: %v", wrong, t.cursor, err)
	}
}

func (sim *simulation) fetch() {
	t := sim.pickTrainer()
	use := rapid.Bool().Draw(sim.T, "answer arrived")
	sim.newest += uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(sim.T, "trained"))
	sim.fetchFor(t, use, rapid.IntRange(0, 4).Draw(sim.T, "max"))
}

// fetchFor fetches the next batch. If use is set, it acknowledges the last one; otherwise it
// repeats the last fetch, as after a lost answer.
func (sim *simulation) fetchFor(t *trainer, use bool, limit int) (complete bool) {
	c := &Fetch{Tenancy: "kolfe", Step: t.id, Ack: t.cursor, MaxSamples: limit, TrainerVersion: sim.newest}
	use = use && t.lastBatch != nil
	if use {
		c.Ack, c.AckRevision = t.lastBatch.Number, t.lastBatch.Revision
	}
	r := sim.apply(Command{Fetch: c})
	if r.Failure != nil {
		var mismatch *CursorMismatch
		if !use || !errors.As(r.Failure, &mismatch) {
			sim.Fatalf("fetch: %v", r.Failure)
		}
		t.lastBatch = nil // samples were withdrawn from the batch, so it must not be used
		return false
	}
	if use {
		for _, s := range t.lastBatch.Samples {
			if t.acked[s.Slot] {
				sim.Fatalf("step %s slot %d was delivered twice", t.id, s.Slot)
			}
			t.acked[s.Slot] = true
		}
		t.cursor, t.lastBatch = t.lastBatch.Number, nil
	}
	sim.checkBatch(t, r.Batch)
	if r.Batch.Complete {
		for slot := range t.slots {
			if missing := slices.Contains(r.Batch.Missing, slot); t.acked[slot] == missing || missing && !t.closed {
				sim.Fatalf("complete step %s: slot %d acknowledged %v, missing %v", t.id, slot, t.acked[slot], missing)
			}
		}
		sim.trainers = slices.DeleteFunc(sim.trainers, func(o *trainer) bool { return o == t })
	}
	return r.Batch.Complete
}

func (sim *simulation) checkBatch(t *trainer, b *Batch) {
	want := t.cursor
	if len(b.Samples) > 0 {
		want++
	}
	if b.Number != want {
		sim.Fatalf("batch %d after cursor %d", b.Number, t.cursor)
	}
	for _, s := range b.Samples {
		output := sim.outputs[outputKey{t.id, s.Slot, s.Attempt}]
		if !slices.Equal(output.Versions, s.Versions) || output.Digest != s.Digest {
			sim.Fatalf("slot %d has versions %v, the target reported %v", s.Slot, s.Versions, output.Versions)
		}
		if oldest := slices.Min(s.Versions); sim.newest-oldest > t.stalenessBound {
			sim.Fatalf("slot %d has version %d with newest %d and bound %d", s.Slot, oldest, sim.newest, t.stalenessBound)
		}
	}
	if t.lastBatch != nil && len(b.Samples) > 0 {
		// Samples can only be removed from an open batch. When all are removed, it is
		// refilled under a new revision, possibly with new attempts at the same slots.
		kept := slices.DeleteFunc(slices.Clone(t.lastBatch.Samples), func(s SampleRef) bool {
			return slices.Contains(b.Withdrawn, s.Slot) || slices.ContainsFunc(b.Samples, func(o SampleRef) bool { return o.Slot == s.Slot && o.Attempt != s.Attempt })
		})
		if len(kept) > 0 && !cmp.Equal(kept, b.Samples, ignoreBlankFields) || (len(kept) == len(t.lastBatch.Samples)) != (b.Revision == t.lastBatch.Revision) {
			sim.Fatalf("batch %d changed from %+v to %+v", b.Number, t.lastBatch, b)
		}
	}
	if missing := t.missingSlots(); !t.closed && !slices.Equal(b.Missing, missing) {
		sim.Fatalf("missing %v, want %v", b.Missing, missing)
	}
	t.lastBatch = nil
	if len(b.Samples) > 0 {
		t.lastBatch = b
	}
}

// drain continues with healthy hosts and trainers only, so that every step must complete.
func (sim *simulation) drain() {
	if sim.newest == 0 {
		sim.publish()
	}
	sim.scheduler.SetPolicy("kolfe", SchedulingPolicy{IdleWeight: 1})
	sim.leaseTo("a", 3)
	sim.loseHost("a") // no later lease expiry or leader change can hide this loss
	for range 40 {
		for _, host := range simulatedHosts {
			sim.leaseTo(host, 50)
			for _, work := range sim.inFlight[host] {
				sim.submitOutput(work, []uint64{sim.newest})
			}
			sim.inFlight[host] = nil
		}
		for _, t := range slices.Clone(sim.trainers) {
			sim.fetchFor(t, true, 0)
		}
	}
	for _, t := range sim.trainers {
		sim.Fatalf("step %s lost slots: %d of %d acknowledged", t.id, len(t.acked), t.slots)
	}
	if len(sim.heldPayloads) > 0 {
		sim.Fatalf("payloads are never released: %v", sim.heldPayloads)
	}
	if sim.ledger.String() != sim.replica.String() {
		sim.Fatalf("the replica's state differs from the leader's")
	}
}

func deliveryProperty(f fault) func(*rapid.T) {
	return func(t *rapid.T) {
		sim := newSimulation(t, f)
		t.Repeat(map[string]func(*rapid.T){
			"openStep": func(*rapid.T) { sim.openStep() }, "publish": func(*rapid.T) { sim.publish() },
			"lease": func(*rapid.T) { sim.lease() }, "lease2": func(*rapid.T) { sim.lease() },
			"finish": func(*rapid.T) { sim.finish() }, "finish2": func(*rapid.T) { sim.finish() }, "finish3": func(*rapid.T) { sim.finish() },
			"repeat": func(*rapid.T) { sim.repeatOutput() }, "hostLost": func(*rapid.T) { sim.hostLost() },
			"attemptFailed": func(*rapid.T) { sim.attemptFailed() }, "leaderChange": func(*rapid.T) { sim.leaderChange() },
			"expireLeases": func(*rapid.T) { sim.expireLeases() }, "restoreReplica": func(*rapid.T) { sim.restoreReplica() },
			"payloadLost": func(*rapid.T) { sim.payloadLost() }, "closeStep": func(*rapid.T) { sim.closeStep() },
			"wrongAck": func(*rapid.T) { sim.wrongAck() }, "fetch": func(*rapid.T) { sim.fetch() }, "fetch2": func(*rapid.T) { sim.fetch() },
		})
		sim.drain()
	}
}

// Guards against samples that are lost, duplicated, stale or labelled with wrong versions when
// hosts or leaders are lost, messages are repeated or snapshots are restored at any time.
func TestDeliveryProperty(t *testing.T) { rapid.Check(t, deliveryProperty(fault{})) }

// Guards against checks of the simulation that cannot fail: each injected fault must be detected.
func TestInjectedFaultsAreDetected(t *testing.T) {
	stepOf := func(l *Ledger, id string) *step { _, s := l.findStep("kolfe", id); return s }
	faults := map[string]fault{
		"acknowledged slot is delivered again": {wantMessage: "was delivered twice", afterApply: func(l *Ledger, c *Command, r *Result) {
			if c.Fetch != nil && c.Fetch.AckRevision != 0 && r.Batch != nil && !r.Batch.Closed {
				s := stepOf(l, c.Fetch.Step)
				if r.Released = nil; c.Fetch.Ack == 1 { // the second delivery releases it
					s.setState(slices.Index(s.States, slotAcked), slotReady)
				}
			}
		}},
		"accepted sample is not delivered": {wantMessage: "acknowledged false, missing false", afterApply: func(l *Ledger, c *Command, r *Result) {
			for i, v := range r.Verdicts {
				if p := c.Accept.Produced[i]; v == Accepted && p.Slot == 1 {
					stepOf(l, p.Step).setState(p.Slot, slotAcked)
				}
			}
		}},
		"bound is one too large": {wantMessage: "and bound", afterApply: func(l *Ledger, c *Command, r *Result) {
			if c.OpenStep != nil && !r.Opened.Repeated {
				stepOf(l, c.OpenStep.Step).StalenessBound++
			}
		}},
		"label is the newest version": {wantMessage: "the target reported", beforeApply: func(l *Ledger, c *Command) {
			for i := 0; c.Accept != nil && i < len(c.Accept.Produced); i++ {
				if p := &c.Accept.Produced[i]; len(p.Versions) == 1 {
					p.Versions = []uint64{l.NewestVersion("kolfe", "sorter")}
				}
			}
		}},
		"missing label is accepted": {wantMessage: "was accepted", beforeApply: func(l *Ledger, c *Command) {
			for i := 0; c.Accept != nil && i < len(c.Accept.Produced); i++ {
				if p := &c.Accept.Produced[i]; len(p.Versions) == 0 {
					p.Versions = []uint64{l.NewestVersion("kolfe", "sorter")}
				}
			}
		}},
		"cursor skips a batch": {wantMessage: "after cursor", afterApply: func(l *Ledger, c *Command, r *Result) {
			if c.Fetch != nil && c.Fetch.AckRevision != 0 && r.Batch != nil && len(r.Batch.Samples) > 0 {
				stepOf(l, c.Fetch.Step).AckedBatch++
				r.Batch.Number++
			}
		}},
		"snapshot forgets attempts": {wantMessage: "replica's", afterRestore: func(l *Ledger) {
			for _, t := range l.state.Tenancies {
				for _, s := range t.Steps {
					clear(s.Attempts)
				}
			}
		}},
		"new leader forgets steps": {wantMessage: "lost slots", afterRebuild: func(s *Scheduler) { clear(s.tenancies) }},
		"withdrawn payload is not released": {wantMessage: "never released", afterApply: func(_ *Ledger, _ *Command, r *Result) {
			if len(r.ReopenedSlots) > 0 {
				r.Released = nil
			}
		}},
		"host loss is not seen": {wantMessage: "lost slots", dropHostLoss: true},
		"closed step hides a missing slot": {wantMessage: "closed without", afterApply: func(_ *Ledger, _ *Command, r *Result) {
			if r.Closed != nil && len(r.Closed.Missing) > 0 {
				r.Closed.Missing = r.Closed.Missing[1:]
			}
		}},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			if got := faultcheck.FailureMessage(t, deliveryProperty(f)); !strings.Contains(got, f.wantMessage) {
				t.Errorf("failure message %q does not contain %q", got, f.wantMessage)
			}
		})
	}
}
