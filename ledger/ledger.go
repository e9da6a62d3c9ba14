package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"time"

	"fuchsiaflow/errs"
)

const (
	// DefaultBatchSize is the maximum number of samples in a batch if Fetch.MaxSamples is 0.
	DefaultBatchSize = 1024
	// MaxSlotsPerStep is the maximum number of samples in a step: eight times the 16,384 of
	// the intended workload.
	MaxSlotsPerStep = 8 * 16384
	// MaxOpenSteps is the maximum number of unfinished steps of a tenancy. It bounds the
	// memory that a trainer can occupy without fetching.
	MaxOpenSteps = 16
	// MaxFinishedSteps is the number of finished steps of a tenancy that are retained to
	// answer Fetch and CloseStep. It exceeds MaxOpenSteps, so that a trainer can still read
	// the missing slots of each step when all open steps close at the same deadline.
	MaxFinishedSteps = 2 * MaxOpenSteps
	// MaxRemovedSteps is the number of removed steps of a tenancy whose name and content
	// digest are retained, so that a late retry of OpenStep does not run the step again.
	MaxRemovedSteps = 1024
	// openStepRetryDelay is the retry delay advised to a tenancy at MaxOpenSteps.
	openStepRetryDelay = time.Second
)

// Counters counts verdicts and withdrawn or lost samples since the ledger was created.
type Counters struct {
	_            struct{}             `cbor:",toarray"`
	Verdicts     [verdictCount]uint64 // by Verdict
	Withdrawn    uint64
	PayloadsLost uint64
}

// Ledger is the replicated state machine. It is not safe for concurrent use.
type Ledger struct{ state ledgerState }

type ledgerState struct {
	_         struct{} `cbor:",toarray"`
	Tenancies map[string]*tenancy
	Counters  Counters
}

type tenancy struct {
	_              struct{}          `cbor:",toarray"`
	NewestVersions map[string]uint64 // by model
	Steps          map[string]*step
	Finished       []string      // names of retained finished steps, oldest first
	Removed        []removedStep // oldest first
}

// removedStep identifies a finished step that is no longer retained.
type removedStep struct {
	_             struct{} `cbor:",toarray"`
	Step          string
	ContentDigest Digest
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{state: ledgerState{Tenancies: map[string]*tenancy{}}} }

// Apply executes a command. The result depends only on the command and on those applied
// before it.
func (l *Ledger) Apply(c Command) Result {
	switch {
	case c.OpenStep != nil:
		return l.openStep(c.OpenStep)
	case c.Publish != nil:
		return l.publish(c.Publish)
	case c.Accept != nil:
		return l.accept(c.Accept)
	case c.Fetch != nil:
		return l.fetch(c.Fetch)
	case c.PayloadLost != nil:
		return l.payloadLost(c.PayloadLost)
	case c.CloseStep != nil:
		return l.closeStep(c.CloseStep)
	}
	return fail(&errs.Invalid{Path: "$", Want: "a ledger command", Got: "an empty command"})
}

func fail(err error) Result { return Result{Failure: err} }

func (l *Ledger) getOrCreateTenancy(name string) *tenancy {
	t := l.state.Tenancies[name]
	if t == nil {
		t = &tenancy{NewestVersions: map[string]uint64{}, Steps: map[string]*step{}}
		l.state.Tenancies[name] = t
	}
	return t
}

func (l *Ledger) findStep(tenancy, name string) (*tenancy, *step) {
	t := l.state.Tenancies[tenancy]
	if t == nil {
		return nil, nil
	}
	return t, t.Steps[name]
}

func (l *Ledger) openStep(c *OpenStep) Result {
	slots, err := validateOpenStep(c)
	if err != nil {
		return fail(err)
	}
	content, err := contentDigest(c)
	if err != nil {
		return fail(err)
	}
	t := l.getOrCreateTenancy(c.Tenancy)
	if s := t.Steps[c.Step]; s != nil {
		return repeatedOpenResult(c, s.ContentDigest, content, slots, s.Finished)
	}
	for _, removed := range t.Removed {
		if removed.Step == c.Step {
			return repeatedOpenResult(c, removed.ContentDigest, content, slots, true)
		}
	}
	if len(t.Steps)-len(t.Finished) >= MaxOpenSteps {
		return fail(&errs.Overloaded{Resource: "open steps of tenancy " + c.Tenancy, After: openStepRetryDelay})
	}
	t.Steps[c.Step] = newStep(c, content, slots)
	return Result{Opened: &Opened{Slots: slots}}
}

func repeatedOpenResult(c *OpenStep, existing, received Digest, slots int, finished bool) Result {
	if existing != received {
		return fail(&errs.Conflict{Kind: "step", ID: c.Step, Stored: existing.String(), Received: received.String()})
	}
	return Result{Opened: &Opened{Slots: slots, Repeated: true, Finished: finished}}
}

func validateOpenStep(c *OpenStep) (slots int, err error) {
	switch {
	case c.Tenancy == "":
		return 0, &errs.Invalid{Path: "$.tenancy", Want: "a name", Got: `""`}
	case c.Step == "":
		return 0, &errs.Invalid{Path: "$.step", Want: "a name", Got: `""`}
	case c.Model == "":
		return 0, &errs.Invalid{Path: "$.model", Want: "a name", Got: `""`}
	case c.DeadlineMs <= 0:
		return 0, &errs.Invalid{Path: "$.deadline_ms", Want: "Unix milliseconds above 0", Got: strconv.FormatInt(c.DeadlineMs, 10)}
	}
	for i, g := range c.Groups {
		path := "$.groups[" + strconv.Itoa(i) + "]"
		if g.Samples < 1 || g.Samples > MaxSlotsPerStep {
			return 0, &errs.Invalid{Path: path + ".samples", Want: "1 to " + strconv.Itoa(MaxSlotsPerStep), Got: strconv.Itoa(g.Samples)}
		}
		if g.MaxTokens < 1 {
			return 0, &errs.Invalid{Path: path + ".max_tokens", Want: "at least 1", Got: strconv.Itoa(g.MaxTokens)}
		}
		if slots += g.Samples; slots > MaxSlotsPerStep {
			break
		}
	}
	if slots < 1 || slots > MaxSlotsPerStep {
		return 0, &errs.Invalid{Path: "$.groups", Want: "1 to " + strconv.Itoa(MaxSlotsPerStep) + " samples", Got: strconv.Itoa(slots)}
	}
	return slots, nil
}

// contentDigest returns the digest of a step without its deadline, because the serving host
// computes a new deadline when a caller resends the step.
func contentDigest(c *OpenStep) (Digest, error) {
	content := *c
	content.DeadlineMs = 0
	b, err := marshal("step content", &content)
	if err != nil {
		return Digest{}, err
	}
	return sha256.Sum256(b), nil
}

func (l *Ledger) publish(c *Publish) Result {
	if c.Tenancy == "" || c.Model == "" || c.Version == 0 {
		return fail(&errs.Invalid{Path: "$", Want: "a tenancy, a model and a version above 0", Got: c.Tenancy + "/" + c.Model + "/" + strconv.FormatUint(c.Version, 10)})
	}
	t := l.getOrCreateTenancy(c.Tenancy)
	var r Result
	l.advanceVersion(&r, c.Tenancy, t, c.Model, c.Version)
	r.NewestVersion = t.NewestVersions[c.Model]
	return r
}

// advanceVersion raises the newest version of a model and withdraws samples that are now outside
// the staleness bound. It keeps those of open batches: the trainer may have used a batch
// already and acknowledges it with its next Fetch.
func (l *Ledger) advanceVersion(r *Result, tenancyName string, t *tenancy, model string, version uint64) {
	if version <= t.NewestVersions[model] {
		return
	}
	t.NewestVersions[model] = version
	for _, id := range slices.Sorted(maps.Keys(t.Steps)) {
		s := t.Steps[id]
		if s.Model != model || s.Finished {
			continue
		}
		slots := s.withdrawStale(version, false)
		l.state.Counters.Withdrawn += uint64(len(slots))
		r.addWithdrawn(tenancyName, id, s, slots)
		l.finishIfDone(t, id, s)
	}
}

// addWithdrawn adds slots whose samples were withdrawn or lost to a result.
func (r *Result) addWithdrawn(tenancy, id string, s *step, slots []int) {
	r.Released = s.appendHeld(r.Released, tenancy, id, slots)
	if s.Closed {
		return
	}
	for _, slot := range slots {
		r.ReopenedSlots = append(r.ReopenedSlots, SlotID{Tenancy: tenancy, Step: id, Slot: slot})
	}
}

func (l *Ledger) accept(c *Accept) Result {
	r := Result{Verdicts: make([]Verdict, len(c.Produced))}
	for i := range c.Produced {
		output := &c.Produced[i]
		verdict := UnknownSlot
		if t, s := l.findStep(output.Tenancy, output.Step); s != nil {
			verdict = s.accept(output, t.NewestVersions[s.Model])
		}
		r.Verdicts[i] = verdict
		l.state.Counters.Verdicts[verdict]++
	}
	return r
}

func (l *Ledger) fetch(c *Fetch) Result {
	t, s := l.findStep(c.Tenancy, c.Step)
	if s == nil {
		return fail(&errs.NotFound{Kind: "step", ID: c.Step})
	}
	if c.MaxSamples < 0 {
		return fail(&errs.Invalid{Path: "$.max", Want: "0 or more", Got: strconv.Itoa(c.MaxSamples)})
	}
	// The acknowledgement is applied before the withdrawal, because the trainer used the
	// acknowledged samples to produce the version that it now reports.
	var r Result
	acknowledged, err := s.acknowledge(c)
	r.Released = s.appendHeld(nil, c.Tenancy, c.Step, acknowledged)
	l.advanceVersion(&r, c.Tenancy, t, s.Model, c.TrainerVersion)
	r.NewestVersion = t.NewestVersions[s.Model]
	if err != nil {
		r.Failure = err
		return r
	}
	slots := s.withdrawStale(r.NewestVersion, true)
	l.state.Counters.Withdrawn += uint64(len(slots))
	r.addWithdrawn(c.Tenancy, c.Step, s, slots)
	s.openBatch(c.MaxSamples)
	l.finishIfDone(t, c.Step, s)
	r.Batch = s.batch()
	return r
}

func (l *Ledger) payloadLost(c *PayloadLost) Result {
	t, s := l.findStep(c.Tenancy, c.Step)
	if s == nil || !inRange(c.Slot, s.SlotCount) {
		return fail(&errs.NotFound{Kind: "slot", ID: c.Step + "/" + strconv.Itoa(c.Slot)})
	}
	if !s.losePayload(c.Slot, c.Attempt) {
		return Result{}
	}
	l.state.Counters.PayloadsLost++
	var r Result
	r.addWithdrawn(c.Tenancy, c.Step, s, []int{c.Slot})
	l.finishIfDone(t, c.Step, s)
	return r
}

func (l *Ledger) closeStep(c *CloseStep) Result {
	t, s := l.findStep(c.Tenancy, c.Step)
	if s == nil {
		return fail(&errs.NotFound{Kind: "step", ID: c.Step})
	}
	if !s.Closed && !c.Abandon && s.StateCounts[slotPlanned] > 0 && c.NowMs < s.DeadlineMs {
		return fail(&DeadlineNotReached{Step: c.Step, DeadlineMs: s.DeadlineMs, NowMs: c.NowMs})
	}
	released := s.appendHeld(nil, c.Tenancy, c.Step, s.close(c.Abandon))
	l.finishIfDone(t, c.Step, s)
	return Result{Closed: &Closed{Missing: s.missingSlots()}, Released: released}
}

// finishIfDone finishes a step that has no slots left to generate, deliver or acknowledge, and
// removes the oldest finished steps above the retention limits.
func (l *Ledger) finishIfDone(t *tenancy, id string, s *step) {
	if s.Finished || !s.isDone() {
		return
	}
	s.finish()
	t.Finished = append(t.Finished, id)
	for len(t.Finished) > MaxFinishedSteps {
		oldest := t.Finished[0]
		t.Finished = slices.Delete(t.Finished, 0, 1)
		t.Removed = append(t.Removed, removedStep{Step: oldest, ContentDigest: t.Steps[oldest].ContentDigest})
		delete(t.Steps, oldest)
	}
	if excess := len(t.Removed) - MaxRemovedSteps; excess > 0 {
		t.Removed = slices.Delete(t.Removed, 0, excess)
	}
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (l *Ledger) Snapshot() ([]byte, error) { return marshal("ledger snapshot", &l.state) }

// Restore replaces the state with that of a snapshot. On failure the state is unchanged.
func (l *Ledger) Restore(b []byte) error {
	var st ledgerState
	if err := decMode.Unmarshal(b, &st); err != nil {
		return &errs.Corrupt{What: "ledger snapshot", Detail: err.Error()}
	}
	if st.Tenancies == nil {
		st.Tenancies = map[string]*tenancy{}
	}
	for name, t := range st.Tenancies {
		if t == nil {
			return &errs.Corrupt{What: "ledger snapshot", Detail: "tenancy " + name + " is empty"}
		}
		if t.NewestVersions == nil {
			t.NewestVersions = map[string]uint64{}
		}
		if t.Steps == nil {
			t.Steps = map[string]*step{}
		}
		for id, s := range t.Steps {
			if s == nil || !s.isConsistent() {
				return &errs.Corrupt{What: "ledger snapshot", Detail: "step " + id + " is inconsistent"}
			}
		}
	}
	l.state = st
	return nil
}

// String returns a prefix of the hex digest of the state, for logs and comparisons.
func (l *Ledger) String() string {
	b, err := l.Snapshot()
	if err != nil {
		return "unencodable"
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}
