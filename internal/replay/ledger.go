package replay

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"fuchsiaflow/ledger"
)

// OpenStep opens a step. The deadline is an offset from the start of the trace, as at_ms is.
type OpenStep struct {
	Tenancy        string  `json:"tenancy"`
	Step           string  `json:"step"`
	Model          string  `json:"model"`
	StalenessBound uint64  `json:"bound"`
	DeadlineMS     int64   `json:"deadline_ms"`
	Groups         []Group `json:"groups"`
}

// Group requests several samples of one prompt.
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

// Lease leases attempts to a host with free slots. AttemptNames are the names by which later events
// refer to the attempts, in ascending order of slots.
type Lease struct {
	Host         string   `json:"host"`
	Model        string   `json:"model"`
	Version      uint64   `json:"version"`
	FreeSlots    int      `json:"free"`
	AttemptNames []string `json:"as"`
}

// Accept reports the output of a leased attempt.
type Accept struct {
	Attempt  string   `json:"attempt"`
	Versions []uint64 `json:"versions"`
	Holders  []string `json:"holders"`
}

// HostGone ends the attempts of a lost host and reopens the slots whose payload no other host holds,
// as the leader does.
type HostGone struct {
	Host string `json:"host"`
}

// HostBack means that a lost host runs again, without the payloads that it had in memory.
type HostBack struct {
	Host string `json:"host"`
}

// Fetch is a fetch by the trainer. Lost means that the answer did not arrive.
type Fetch struct {
	Tenancy     string `json:"tenancy"`
	Step        string `json:"step"`
	Ack         uint64 `json:"ack"`
	AckRevision uint64 `json:"ack_revision"`
	Max         int    `json:"max"`
	Version     uint64 `json:"version"`
	Lost        bool   `json:"lost"`
}

// PayloadLost reports that no host holds the payload of a slot any more.
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
	"open_step": newEvent[OpenStep], "publish": newEvent[Publish], "lease": newEvent[Lease], "accept": newEvent[Accept],
	"host_gone": newEvent[HostGone], "host_back": newEvent[HostBack], "fetch": newEvent[Fetch], "payload_lost": newEvent[PayloadLost],
	"close_step": newEvent[CloseStep], "new_leader": newEvent[NewLeader],
}

type stepKey struct{ tenancy, step string }

// ledgerReplayer replays the ledger and scheduler of a domain group's leader, and tracks which samples
// the trainers have received.
type ledgerReplayer struct {
	ledger          *ledger.Ledger
	scheduler       *ledger.Scheduler
	attempts        map[string]ledger.Work // by name
	lostHosts       map[string]bool
	stalenessBounds map[stepKey]uint64
	lastBatch       map[stepKey][]int     // slots of the last batch that arrived, until it is acknowledged
	deliveries      map[ledger.SlotID]int // number of acknowledged deliveries
	cancelled       int                   // attempts
	overBound       int                   // fetched samples over the staleness bound
	failures        int                   // failed commands
}

func newLedgerReplayer() replayer {
	rp := &ledgerReplayer{
		ledger: ledger.New(), scheduler: ledger.NewScheduler(ledger.SchedulerConfig{}), attempts: map[string]ledger.Work{},
		lostHosts:       map[string]bool{},
		stalenessBounds: map[stepKey]uint64{}, lastBatch: map[stepKey][]int{}, deliveries: map[ledger.SlotID]int{},
	}
	rp.scheduler.Rebuild(startTime, 1, rp.ledger)
	return rp
}

func (rp *ledgerReplayer) applyCommand(now time.Time, c ledger.Command) ledger.Result {
	r := rp.ledger.Apply(c)
	rp.cancelled += len(rp.scheduler.Observe(now, c, r))
	if r.Failure != nil {
		rp.failures++
	}
	return r
}

func (rp *ledgerReplayer) handle(now time.Time, event any) (string, error) {
	switch e := event.(type) {
	case *OpenStep:
		return rp.openStep(now, e), nil
	case *Publish:
		r := rp.applyCommand(now, ledger.Command{Publish: &ledger.Publish{Tenancy: e.Tenancy, Model: e.Model, Version: e.Version}})
		if r.Failure != nil {
			return errorVerdict(r.Failure), nil
		}
		return fmt.Sprintf("newest %d", r.NewestVersion), nil
	case *Lease:
		return rp.lease(now, e), nil
	case *Accept:
		return rp.accept(now, e)
	case *HostGone:
		return rp.hostGone(now, e.Host), nil
	case *HostBack:
		delete(rp.lostHosts, e.Host)
		return "back", nil
	case *Fetch:
		return rp.fetch(now, e), nil
	case *PayloadLost:
		return rp.payloadLost(now, ledger.PayloadLost{Tenancy: e.Tenancy, Step: e.Step, Slot: e.Slot}), nil
	case *CloseStep:
		return rp.closeStep(now, e), nil
	default:
		return rp.newLeader(now, event.(*NewLeader).Term)
	}
}

func (rp *ledgerReplayer) openStep(now time.Time, e *OpenStep) string {
	c := &ledger.OpenStep{Tenancy: e.Tenancy, Step: e.Step, Model: e.Model, StalenessBound: e.StalenessBound,
		DeadlineMs: startTime.UnixMilli() + e.DeadlineMS}
	for _, g := range e.Groups {
		c.Groups = append(c.Groups, ledger.Group{Prompt: g.Prompt, Samples: g.Samples, MaxTokens: g.MaxTokens})
	}
	r := rp.applyCommand(now, ledger.Command{OpenStep: c})
	switch {
	case r.Failure != nil:
		return errorVerdict(r.Failure)
	case r.Opened.Repeated:
		return "repeated"
	}
	rp.stalenessBounds[stepKey{e.Tenancy, e.Step}] = e.StalenessBound
	return fmt.Sprintf("opened %d", r.Opened.Slots)
}

func (rp *ledgerReplayer) lease(now time.Time, e *Lease) string {
	work := rp.scheduler.Lease(now, e.Host, []ledger.Capacity{{Model: e.Model, Version: e.Version, FreeSlots: e.FreeSlots}})
	// Sort, because the order of slots with equal priority is not part of the outcome.
	slices.SortFunc(work, func(a, b ledger.Work) int { return a.Slot - b.Slot })
	var slots []int
	for i, w := range work {
		slots = append(slots, w.Slot)
		if i < len(e.AttemptNames) {
			rp.attempts[e.AttemptNames[i]] = w
		}
	}
	return "slots " + formatList(slots)
}

func (rp *ledgerReplayer) accept(now time.Time, e *Accept) (string, error) {
	w, ok := rp.attempts[e.Attempt]
	if !ok {
		return unknownReference("attempt", e.Attempt)
	}
	r := rp.applyCommand(now, ledger.Command{Accept: &ledger.Accept{Produced: []ledger.AttemptOutput{{
		Tenancy: w.Tenancy, Step: w.Step, Slot: w.Slot, Attempt: w.Attempt, Versions: e.Versions,
		Digest: sha256.Sum256([]byte(e.Attempt)), Tokens: uint32(w.MaxTokens), Holders: e.Holders,
	}}}})
	return r.Verdicts[0].String(), nil
}

func (rp *ledgerReplayer) hostGone(now time.Time, host string) string {
	before := rp.scheduler.Stats().InFlight
	rp.scheduler.HostLost(host)
	ended := before - rp.scheduler.Stats().InFlight
	rp.lostHosts[host] = true
	var lost []int
	for _, h := range rp.ledger.HeldBy(host) {
		if !slices.ContainsFunc(h.Holders, func(holder string) bool { return !rp.lostHosts[holder] }) {
			lost = append(lost, h.Slot)
			rp.payloadLost(now, ledger.PayloadLost{Tenancy: h.Tenancy, Step: h.Step, Slot: h.Slot, Attempt: h.Attempt})
		}
	}
	return fmt.Sprintf("ended %d, lost %s", ended, formatList(lost))
}

func (rp *ledgerReplayer) fetch(now time.Time, e *Fetch) string {
	key := stepKey{e.Tenancy, e.Step}
	before, _ := rp.ledger.Step(e.Tenancy, e.Step)
	r := rp.applyCommand(now, ledger.Command{Fetch: &ledger.Fetch{Tenancy: e.Tenancy, Step: e.Step, Ack: e.Ack, MaxSamples: e.Max,
		TrainerVersion: e.Version, AckRevision: e.AckRevision}})
	if after, _ := rp.ledger.Step(e.Tenancy, e.Step); after.Cursor > before.Cursor {
		for _, slot := range rp.lastBatch[key] {
			rp.deliveries[ledger.SlotID{Tenancy: e.Tenancy, Step: e.Step, Slot: slot}]++
		}
		delete(rp.lastBatch, key)
	}
	if r.Failure != nil {
		return errorVerdict(r.Failure)
	}
	var slots []int
	for _, s := range r.Batch.Samples {
		slots = append(slots, s.Slot)
		if oldest := slices.Min(s.Versions); r.NewestVersion > oldest && r.NewestVersion-oldest > rp.stalenessBounds[key] {
			rp.overBound++
		}
	}
	if e.Lost {
		return "answer lost"
	}
	rp.lastBatch[key] = slots
	return describeBatch(r.Batch, slots)
}

func describeBatch(b *ledger.Batch, slots []int) string {
	text := "no samples"
	if len(slots) > 0 {
		text = fmt.Sprintf("batch %d.%d slots %s", b.Number, b.Revision, formatList(slots))
	}
	if len(b.Withdrawn) > 0 {
		text += ", withdrawn " + formatList(b.Withdrawn)
	}
	if b.Closed {
		text += ", missing " + formatList(b.Missing)
	}
	if b.Complete {
		text += ", complete"
	}
	return text
}

func (rp *ledgerReplayer) payloadLost(now time.Time, c ledger.PayloadLost) string {
	r := rp.applyCommand(now, ledger.Command{PayloadLost: &c})
	switch {
	case r.Failure != nil:
		return errorVerdict(r.Failure)
	case len(r.ReopenedSlots) == 0:
		return "unchanged"
	}
	return "planned again"
}

func (rp *ledgerReplayer) closeStep(now time.Time, e *CloseStep) string {
	r := rp.applyCommand(now, ledger.Command{CloseStep: &ledger.CloseStep{Tenancy: e.Tenancy, Step: e.Step, NowMs: now.UnixMilli()}})
	if r.Failure != nil {
		return errorVerdict(r.Failure)
	}
	return "missing " + formatList(r.Closed.Missing)
}

func (rp *ledgerReplayer) newLeader(now time.Time, term uint64) (string, error) {
	data, err := rp.ledger.Snapshot()
	if err != nil {
		return "", err
	}
	restored := ledger.New()
	if err := restored.Restore(data); err != nil {
		return "", err
	}
	rp.ledger = restored
	rp.scheduler.Rebuild(now, term, restored)
	return fmt.Sprintf("open %d", rp.scheduler.Stats().OpenSlots), nil
}

func (rp *ledgerReplayer) counts() map[string]int {
	c := rp.ledger.Counters()
	counts := map[string]int{
		"withdrawn": int(c.Withdrawn), "payloads_lost": int(c.PayloadsLost), "cancelled": rp.cancelled,
		"over_bound": rp.overBound, "failures": rp.failures, "in_flight": rp.scheduler.Stats().InFlight,
	}
	for v, n := range c.Verdicts {
		if n > 0 {
			counts[ledger.Verdict(v).String()] = int(n)
		}
	}
	for _, n := range rp.deliveries {
		counts["delivered"]++
		if n > 1 {
			counts["delivered_twice"]++
		}
	}
	for _, s := range rp.ledger.Steps() {
		counts["planned"] += s.Planned
		counts["missing"] += s.Missing
	}
	return counts
}
