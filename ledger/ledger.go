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
	// DefaultBatch is the number of samples in a batch when Fetch.Max is 0.
	DefaultBatch = 1024
	// MaxSlots is the limit of samples in a step, eight times the planned 16,384.
	MaxSlots = 8 * 16384
	// MaxOpenSteps is the limit of unfinished steps of a tenancy. It bounds the memory
	// that a trainer can take without fetching.
	MaxOpenSteps = 16
	// KeepFinished is the number of finished steps of a tenancy that still answer Fetch and
	// CloseStep. It is above MaxOpenSteps: when all open steps close at one deadline, the
	// trainer can still read what is missing from each.
	KeepFinished = 2 * MaxOpenSteps
	// KeepNames is the number of removed steps of a tenancy whose name and content digest
	// are kept, so that a late repetition of OpenStep does not run the step again.
	KeepNames = 1024
	// openStepRetry is the advised delay for a tenancy at MaxOpenSteps.
	openStepRetry = time.Second
)

// Counters count decisions since the ledger was created.
type Counters struct {
	_            struct{} `cbor:",toarray"`
	Verdicts     [verdictCount]uint64
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
	_        struct{}          `cbor:",toarray"`
	Newest   map[string]uint64 // by model
	Steps    map[string]*step
	Finished []string // retained finished steps, oldest first
	Names    []pastStep
}

type pastStep struct {
	_       struct{} `cbor:",toarray"`
	Step    string
	Content Digest
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{state: ledgerState{Tenancies: map[string]*tenancy{}}} }

// Apply executes a command. The result depends only on the commands applied before.
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
	return fail(&errs.Invalid{Path: "$", Want: "a ledger command", Got: "an empty envelope"})
}

func fail(err error) Result { return Result{Failure: err} }

func (l *Ledger) tenancy(name string) *tenancy {
	t := l.state.Tenancies[name]
	if t == nil {
		t = &tenancy{Newest: map[string]uint64{}, Steps: map[string]*step{}}
		l.state.Tenancies[name] = t
	}
	return t
}

func (l *Ledger) step(tenancy, name string) (*tenancy, *step) {
	t := l.state.Tenancies[tenancy]
	if t == nil {
		return nil, nil
	}
	return t, t.Steps[name]
}

func (l *Ledger) openStep(c *OpenStep) Result {
	slots, err := validate(c)
	if err != nil {
		return fail(err)
	}
	content, err := contentDigest(c)
	if err != nil {
		return fail(err)
	}
	t := l.tenancy(c.Tenancy)
	if s := t.Steps[c.Step]; s != nil {
		return repeatedOpen(c, s.Content, content, slots, s.Finished)
	}
	for _, p := range t.Names {
		if p.Step == c.Step {
			return repeatedOpen(c, p.Content, content, slots, true)
		}
	}
	if len(t.Steps)-len(t.Finished) >= MaxOpenSteps {
		return fail(&errs.Overloaded{Resource: "open steps of tenancy " + c.Tenancy, After: openStepRetry})
	}
	t.Steps[c.Step] = newStep(c, content, slots)
	return Result{Opened: &Opened{Slots: slots}}
}

func repeatedOpen(c *OpenStep, have, got Digest, slots int, finished bool) Result {
	if have != got {
		return fail(&errs.Conflict{Kind: "step", ID: c.Step, Have: have.String(), Got: got.String()})
	}
	return Result{Opened: &Opened{Slots: slots, Repeated: true, Finished: finished}}
}

func validate(c *OpenStep) (slots int, err error) {
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
		if g.Samples < 1 || g.Samples > MaxSlots {
			return 0, &errs.Invalid{Path: path + ".samples", Want: "1 to " + strconv.Itoa(MaxSlots), Got: strconv.Itoa(g.Samples)}
		}
		if g.MaxTokens < 1 {
			return 0, &errs.Invalid{Path: path + ".max_tokens", Want: "at least 1", Got: strconv.Itoa(g.MaxTokens)}
		}
		if slots += g.Samples; slots > MaxSlots {
			break
		}
	}
	if slots < 1 || slots > MaxSlots {
		return 0, &errs.Invalid{Path: "$.groups", Want: "1 to " + strconv.Itoa(MaxSlots) + " samples", Got: strconv.Itoa(slots)}
	}
	return slots, nil
}

// contentDigest leaves out the deadline, which the serving host computes anew when a caller
// resends the same step.
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
	t := l.tenancy(c.Tenancy)
	var r Result
	l.raise(&r, c.Tenancy, t, c.Model, c.Version)
	r.NewestVersion = t.Newest[c.Model]
	return r
}

// raise sets the newest version and withdraws what became too old. It spares open batches:
// the trainer may have used one already and acknowledges it with its next Fetch.
func (l *Ledger) raise(r *Result, name string, t *tenancy, model string, version uint64) {
	if version <= t.Newest[model] {
		return
	}
	t.Newest[model] = version
	for _, id := range slices.Sorted(maps.Keys(t.Steps)) {
		s := t.Steps[id]
		if s.Model != model || s.Finished {
			continue
		}
		slots := s.withdraw(version, false)
		l.state.Counters.Withdrawn += uint64(len(slots))
		r.takenBack(name, id, s, slots)
		l.finishIfDone(t, id, s)
	}
}

// takenBack adds slots that were withdrawn or lost to a result.
func (r *Result) takenBack(tenancy, id string, s *step, slots []int) {
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
		p := &c.Produced[i]
		v := UnknownSlot
		if t, s := l.step(p.Tenancy, p.Step); s != nil {
			v = s.accept(p, t.Newest[s.Model])
		}
		r.Verdicts[i] = v
		l.state.Counters.Verdicts[v]++
	}
	return r
}

func (l *Ledger) fetch(c *Fetch) Result {
	t, s := l.step(c.Tenancy, c.Step)
	if s == nil {
		return fail(&errs.NotFound{Kind: "step", ID: c.Step})
	}
	if c.MaxSamples < 0 {
		return fail(&errs.Invalid{Path: "$.max", Want: "0 or more", Got: strconv.Itoa(c.MaxSamples)})
	}
	// The acknowledgement comes before the withdrawal, because the trainer used the
	// acknowledged samples before it made the version that it now reports.
	var r Result
	acknowledged, err := s.acknowledge(c)
	r.Released = s.appendHeld(nil, c.Tenancy, c.Step, acknowledged)
	l.raise(&r, c.Tenancy, t, s.Model, c.TrainerVersion)
	r.NewestVersion = t.Newest[s.Model]
	if err != nil {
		r.Failure = err
		return r
	}
	slots := s.withdraw(r.NewestVersion, true)
	l.state.Counters.Withdrawn += uint64(len(slots))
	r.takenBack(c.Tenancy, c.Step, s, slots)
	s.fillBatch(c.MaxSamples)
	l.finishIfDone(t, c.Step, s)
	r.Batch = s.batch()
	return r
}

func (l *Ledger) payloadLost(c *PayloadLost) Result {
	t, s := l.step(c.Tenancy, c.Step)
	if s == nil || !within(c.Slot, s.Size) {
		return fail(&errs.NotFound{Kind: "slot", ID: c.Step + "/" + strconv.Itoa(c.Slot)})
	}
	if !s.lose(c.Slot, c.Attempt) {
		return Result{}
	}
	l.state.Counters.PayloadsLost++
	var r Result
	r.takenBack(c.Tenancy, c.Step, s, []int{c.Slot})
	l.finishIfDone(t, c.Step, s)
	return r
}

func (l *Ledger) closeStep(c *CloseStep) Result {
	t, s := l.step(c.Tenancy, c.Step)
	if s == nil {
		return fail(&errs.NotFound{Kind: "step", ID: c.Step})
	}
	if !s.Closed && !c.Abandon && s.Counts[slotPlanned] > 0 && c.NowMs < s.DeadlineMs {
		return fail(&BeforeDeadline{Step: c.Step, DeadlineMs: s.DeadlineMs, NowMs: c.NowMs})
	}
	released := s.appendHeld(nil, c.Tenancy, c.Step, s.close(c.Abandon))
	l.finishIfDone(t, c.Step, s)
	return Result{Closed: &Closed{Missing: s.missing()}, Released: released}
}

// finishIfDone releases the slots of a step that has nothing left to deliver or to
// generate, and removes the oldest finished step above the retention limit.
func (l *Ledger) finishIfDone(t *tenancy, id string, s *step) {
	if s.Finished || !s.done() {
		return
	}
	s.finish()
	t.Finished = append(t.Finished, id)
	for len(t.Finished) > KeepFinished {
		old := t.Finished[0]
		t.Finished = slices.Delete(t.Finished, 0, 1)
		t.Names = append(t.Names, pastStep{Step: old, Content: t.Steps[old].Content})
		delete(t.Steps, old)
	}
	if excess := len(t.Names) - KeepNames; excess > 0 {
		t.Names = slices.Delete(t.Names, 0, excess)
	}
}

// Snapshot returns the whole state. Equal states have equal snapshots.
func (l *Ledger) Snapshot() ([]byte, error) { return marshal("ledger snapshot", &l.state) }

// Restore replaces the state with a snapshot. On failure the state is unchanged.
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
		if t.Newest == nil {
			t.Newest = map[string]uint64{}
		}
		if t.Steps == nil {
			t.Steps = map[string]*step{}
		}
		for id, s := range t.Steps {
			if s == nil || !s.consistent() {
				return &errs.Corrupt{What: "ledger snapshot", Detail: "step " + id + " is inconsistent"}
			}
		}
	}
	l.state = st
	return nil
}

// String returns the first bytes of the state's digest, for logs and comparisons.
func (l *Ledger) String() string {
	b, err := l.Snapshot()
	if err != nil {
		return "unencodable"
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}
