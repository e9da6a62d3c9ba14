package replay

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"fuchsiaflow/ledger"
)

// OpenStep opens a step. Its deadline is an offset like at_ms.
type OpenStep struct {
	Tenancy    string  `json:"tenancy"`
	Step       string  `json:"step"`
	Model      string  `json:"model"`
	Bound      uint64  `json:"bound"`
	DeadlineMS int64   `json:"deadline_ms"`
	Groups     []Group `json:"groups"`
}

// Group asks for samples of one prompt.
type Group struct {
	Prompt    string `json:"prompt"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
}

// Publish publishes a weight version.
type Publish struct {
	Tenancy string `json:"tenancy"`
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// Lease offers the free room of a host. As names the attempts by ascending slot.
type Lease struct {
	Host    string   `json:"host"`
	Model   string   `json:"model"`
	Version uint64   `json:"version"`
	Free    int      `json:"free"`
	As      []string `json:"as"`
}

// Accept reports the output of a leased attempt.
type Accept struct {
	Attempt  string   `json:"attempt"`
	Versions []uint64 `json:"versions"`
	Holders  []string `json:"holders"`
}

// HostGone ends the attempts of a lost host and plans the slots again whose payload it held
// alone, as the leader does.
type HostGone struct {
	Host string `json:"host"`
}

// HostBack states that a lost host runs again, without the payloads that it had in memory.
type HostBack struct {
	Host string `json:"host"`
}

// Fetch is a fetch of the trainer. Lost states that the answer did not arrive.
type Fetch struct {
	Tenancy     string `json:"tenancy"`
	Step        string `json:"step"`
	Ack         uint64 `json:"ack"`
	AckRevision uint64 `json:"ack_revision"`
	Max         int    `json:"max"`
	Version     uint64 `json:"version"`
	Lost        bool   `json:"lost"`
}

// PayloadLost reports a payload that no holder has any more.
type PayloadLost struct {
	Tenancy string `json:"tenancy"`
	Step    string `json:"step"`
	Slot    int    `json:"slot"`
}

// CloseStep closes a step at the time of the event.
type CloseStep struct {
	Tenancy string `json:"tenancy"`
	Step    string `json:"step"`
}

// NewLeader restores the ledger from its snapshot and rebuilds the scheduler.
type NewLeader struct {
	Term uint64 `json:"term"`
}

var ledgerEvents = map[string]func() any{
	"open_step": new1[OpenStep], "publish": new1[Publish], "lease": new1[Lease], "accept": new1[Accept],
	"host_gone": new1[HostGone], "host_back": new1[HostBack], "fetch": new1[Fetch], "payload_lost": new1[PayloadLost],
	"close_step": new1[CloseStep], "new_leader": new1[NewLeader],
}

type stepName struct{ tenancy, step string }

// ledgerMachine plays the leader of a domain group and the trainers' view of their batches.
type ledgerMachine struct {
	ledger    *ledger.Ledger
	scheduler *ledger.Scheduler
	attempts  map[string]ledger.Work
	gone      map[string]bool
	bounds    map[stepName]uint64
	answer    map[stepName][]int    // slots of the last answer that arrived
	used      map[ledger.SlotID]int // acknowledged deliveries
	cancelled int
	overBound int
	failures  int
}

func newLedgerMachine() machine {
	m := &ledgerMachine{
		ledger: ledger.New(), scheduler: ledger.NewScheduler(ledger.SchedulerConfig{}), attempts: map[string]ledger.Work{},
		gone:   map[string]bool{},
		bounds: map[stepName]uint64{}, answer: map[stepName][]int{}, used: map[ledger.SlotID]int{},
	}
	m.scheduler.Rebuild(start, 1, m.ledger)
	return m
}

func (m *ledgerMachine) apply(now time.Time, c ledger.Command) ledger.Result {
	r := m.ledger.Apply(c)
	m.cancelled += len(m.scheduler.Observe(now, c, r))
	if r.Failure != nil {
		m.failures++
	}
	return r
}

func (m *ledgerMachine) play(now time.Time, event any) (string, error) {
	switch e := event.(type) {
	case *OpenStep:
		return m.openStep(now, e), nil
	case *Publish:
		r := m.apply(now, ledger.Command{Publish: &ledger.Publish{Tenancy: e.Tenancy, Model: e.Model, Version: e.Version}})
		if r.Failure != nil {
			return failed(r.Failure), nil
		}
		return fmt.Sprintf("newest %d", r.NewestVersion), nil
	case *Lease:
		return m.lease(now, e), nil
	case *Accept:
		return m.accept(now, e)
	case *HostGone:
		return m.hostGone(now, e.Host), nil
	case *HostBack:
		delete(m.gone, e.Host)
		return "back", nil
	case *Fetch:
		return m.fetch(now, e), nil
	case *PayloadLost:
		return m.payloadLost(now, ledger.PayloadLost{Tenancy: e.Tenancy, Step: e.Step, Slot: e.Slot}), nil
	case *CloseStep:
		return m.closeStep(now, e), nil
	default:
		return m.newLeader(now, event.(*NewLeader).Term)
	}
}

func (m *ledgerMachine) openStep(now time.Time, e *OpenStep) string {
	c := &ledger.OpenStep{Tenancy: e.Tenancy, Step: e.Step, Model: e.Model, StalenessBound: e.Bound,
		DeadlineMs: start.UnixMilli() + e.DeadlineMS}
	for _, g := range e.Groups {
		c.Groups = append(c.Groups, ledger.Group{Prompt: g.Prompt, Samples: g.Samples, MaxTokens: g.MaxTokens})
	}
	r := m.apply(now, ledger.Command{OpenStep: c})
	switch {
	case r.Failure != nil:
		return failed(r.Failure)
	case r.Opened.Repeated:
		return "repeated"
	}
	m.bounds[stepName{e.Tenancy, e.Step}] = e.Bound
	return fmt.Sprintf("opened %d", r.Opened.Slots)
}

func (m *ledgerMachine) lease(now time.Time, e *Lease) string {
	work := m.scheduler.Lease(now, e.Host, []ledger.Capacity{{Model: e.Model, Version: e.Version, FreeSlots: e.Free}})
	// The order of equal slots is not part of an outcome.
	slices.SortFunc(work, func(a, b ledger.Work) int { return a.Slot - b.Slot })
	var slots []int
	for i, w := range work {
		slots = append(slots, w.Slot)
		if i < len(e.As) {
			m.attempts[e.As[i]] = w
		}
	}
	return "slots " + list(slots)
}

func (m *ledgerMachine) accept(now time.Time, e *Accept) (string, error) {
	w, ok := m.attempts[e.Attempt]
	if !ok {
		return unknownName("attempt", e.Attempt)
	}
	r := m.apply(now, ledger.Command{Accept: &ledger.Accept{Produced: []ledger.AttemptOutput{{
		Tenancy: w.Tenancy, Step: w.Step, Slot: w.Slot, Attempt: w.Attempt, Versions: e.Versions,
		Digest: sha256.Sum256([]byte(e.Attempt)), Tokens: uint32(w.MaxTokens), Holders: e.Holders,
	}}}})
	return r.Verdicts[0].String(), nil
}

func (m *ledgerMachine) hostGone(now time.Time, host string) string {
	before := m.scheduler.Stats().InFlight
	m.scheduler.HostLost(host)
	ended := before - m.scheduler.Stats().InFlight
	m.gone[host] = true
	var lost []int
	for _, h := range m.ledger.HeldBy(host) {
		if !slices.ContainsFunc(h.Holders, func(holder string) bool { return !m.gone[holder] }) {
			lost = append(lost, h.Slot)
			m.payloadLost(now, ledger.PayloadLost{Tenancy: h.Tenancy, Step: h.Step, Slot: h.Slot, Attempt: h.Attempt})
		}
	}
	return fmt.Sprintf("ended %d, lost %s", ended, list(lost))
}

func (m *ledgerMachine) fetch(now time.Time, e *Fetch) string {
	name := stepName{e.Tenancy, e.Step}
	before, _ := m.ledger.Step(e.Tenancy, e.Step)
	r := m.apply(now, ledger.Command{Fetch: &ledger.Fetch{Tenancy: e.Tenancy, Step: e.Step, Ack: e.Ack, MaxSamples: e.Max,
		TrainerVersion: e.Version, AckRevision: e.AckRevision}})
	if after, _ := m.ledger.Step(e.Tenancy, e.Step); after.Cursor > before.Cursor {
		for _, slot := range m.answer[name] {
			m.used[ledger.SlotID{Tenancy: e.Tenancy, Step: e.Step, Slot: slot}]++
		}
		delete(m.answer, name)
	}
	if r.Failure != nil {
		return failed(r.Failure)
	}
	var slots []int
	for _, s := range r.Batch.Samples {
		slots = append(slots, s.Slot)
		if oldest := slices.Min(s.Versions); r.NewestVersion > oldest && r.NewestVersion-oldest > m.bounds[name] {
			m.overBound++
		}
	}
	if e.Lost {
		return "answer lost"
	}
	m.answer[name] = slots
	return describeBatch(r.Batch, slots)
}

func describeBatch(b *ledger.Batch, slots []int) string {
	text := "no samples"
	if len(slots) > 0 {
		text = fmt.Sprintf("batch %d.%d slots %s", b.Number, b.Revision, list(slots))
	}
	if len(b.Withdrawn) > 0 {
		text += ", withdrawn " + list(b.Withdrawn)
	}
	if b.Closed {
		text += ", missing " + list(b.Missing)
	}
	if b.Complete {
		text += ", complete"
	}
	return text
}

func (m *ledgerMachine) payloadLost(now time.Time, c ledger.PayloadLost) string {
	r := m.apply(now, ledger.Command{PayloadLost: &c})
	switch {
	case r.Failure != nil:
		return failed(r.Failure)
	case len(r.ReopenedSlots) == 0:
		return "unchanged"
	}
	return "planned again"
}

func (m *ledgerMachine) closeStep(now time.Time, e *CloseStep) string {
	r := m.apply(now, ledger.Command{CloseStep: &ledger.CloseStep{Tenancy: e.Tenancy, Step: e.Step, NowMs: now.UnixMilli()}})
	if r.Failure != nil {
		return failed(r.Failure)
	}
	return "missing " + list(r.Closed.Missing)
}

func (m *ledgerMachine) newLeader(now time.Time, term uint64) (string, error) {
	data, err := m.ledger.Snapshot()
	if err != nil {
		return "", err
	}
	restored := ledger.New()
	if err := restored.Restore(data); err != nil {
		return "", err
	}
	m.ledger = restored
	m.scheduler.Rebuild(now, term, restored)
	return fmt.Sprintf("open %d", m.scheduler.Stats().OpenSlots), nil
}

func (m *ledgerMachine) counts() map[string]int {
	c := m.ledger.Counters()
	counts := map[string]int{
		"withdrawn": int(c.Withdrawn), "payloads_lost": int(c.PayloadsLost), "cancelled": m.cancelled,
		"over_bound": m.overBound, "failures": m.failures, "in_flight": m.scheduler.Stats().InFlight,
	}
	for v, n := range c.Verdicts {
		if n > 0 {
			counts[ledger.Verdict(v).String()] = int(n)
		}
	}
	for _, n := range m.used {
		counts["delivered"]++
		if n > 1 {
			counts["delivered_twice"]++
		}
	}
	for _, s := range m.ledger.Steps() {
		counts["planned"] += s.Planned
		counts["missing"] += s.Missing
	}
	return counts
}
