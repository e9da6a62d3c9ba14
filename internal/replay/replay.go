// Package replay replays recorded traces against the real core packages and compares the result with
// the outcome that the trace states. It uses no network, files or clock: the time of an event is its
// offset from a fixed start time.
//
// A trace is a JSONL document. The first line is a Header. Each further line is an event: an
// object with at_ms, the offset in milliseconds, and one field that names the event and holds
// its data, such as {"at_ms": 20, "publish": {"tenancy": "t", "model": "m", "version": 2}}.
// A core is a deterministic state machine such as the ledger. Its events are types of this package.
package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fuchsiaflow/errs"
)

// startTime is the time at offset 0.
var startTime = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// Outcome is the expected result of a trace.
type Outcome struct {
	// Verdicts holds the verdict of each event in order.
	Verdicts []string `json:"verdicts"`
	// Counts holds every nonzero count of the core by name.
	Counts map[string]int `json:"counts"`
}

// Header is the first line of a trace.
type Header struct {
	Name       string  `json:"name"`
	Deployment string  `json:"deployment"`
	Core       string  `json:"core"`
	Outcome    Outcome `json:"outcome"`
}

// Event is one decoded line after the header.
type Event struct {
	Line int
	At   time.Duration
	Name string
	data any
}

// Trace is a decoded trace.
type Trace struct {
	Header
	Events []Event
}

// Step is a replayed event.
type Step struct {
	AtMS    int64  `json:"at_ms"`
	Event   string `json:"event"`
	Verdict string `json:"verdict"`
}

// Report is the result of a replay.
type Report struct {
	Name        string         `json:"name"`
	Deployment  string         `json:"deployment"`
	Core        string         `json:"core"`
	Steps       []Step         `json:"steps"`
	Counts      map[string]int `json:"counts"`
	Differences []string       `json:"differences"`
}

// Mismatch reports a replay whose outcome differs from the stated one.
type Mismatch struct {
	Name        string
	Differences []string
}

func (e *Mismatch) Error() string {
	return fmt.Sprintf("trace %q has another outcome than stated: %s", e.Name, strings.Join(e.Differences, "; "))
}

// FailureCode implements errs.Failure.
func (e *Mismatch) FailureCode() errs.Code { return errs.CodeInternal }

// FailureOutcome implements errs.Failure.
func (e *Mismatch) FailureOutcome() errs.Outcome { return errs.Ran }

// Malformed reports a line that cannot be decoded.
type Malformed struct {
	Line int
	// Path is a JSON path within the line.
	Path   string
	Reason string
}

func (e *Malformed) Error() string {
	return fmt.Sprintf("line %d, %s: %s", e.Line, e.Path, e.Reason)
}

// FailureCode implements errs.Failure.
func (e *Malformed) FailureCode() errs.Code { return errs.CodeInvalid }

// FailureOutcome implements errs.Failure.
func (e *Malformed) FailureOutcome() errs.Outcome { return errs.NotRun }

// replayer applies the events of a trace to a core and to the simulated parts of its environment.
type replayer interface {
	// handle applies an event and returns its verdict. The error is a failed snapshot or restore.
	handle(now time.Time, event any) (string, error)
	counts() map[string]int
}

// coreType describes a core: its replayer and the constructors of its events by name.
type coreType struct {
	newReplayer func() replayer
	events      map[string]func() any
}

var cores = map[string]coreType{
	"ledger":  {newLedgerReplayer, ledgerEvents},
	"claims":  {newClaimsReplayer, claimsEvents},
	"config":  {newConfigReplayer, configEvents},
	"targets": {newTargetsReplayer, targetsEvents},
	"weights": {newWeightsReplayer, weightsEvents},
}

// newEvent returns a new *T; it is the constructor in the tables of events.
func newEvent[T any]() any { return new(T) }

// Run replays a trace. If the outcome differs from the stated one, it returns the complete report and
// a *Mismatch.
func Run(t *Trace) (*Report, error) {
	rp := cores[t.Core].newReplayer()
	r := &Report{Name: t.Name, Deployment: t.Deployment, Core: t.Core, Differences: []string{}}
	for _, e := range t.Events {
		verdict, err := rp.handle(startTime.Add(e.At), e.data)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", e.Line)
		}
		r.Steps = append(r.Steps, Step{AtMS: e.At.Milliseconds(), Event: e.Name, Verdict: verdict})
	}
	r.Counts = nonzero(rp.counts())
	r.Differences = append(r.Differences, differences(t, r)...)
	if len(r.Differences) > 0 {
		return r, &Mismatch{Name: t.Name, Differences: r.Differences}
	}
	return r, nil
}

// differences describes how a report differs from the stated outcome.
func differences(t *Trace, r *Report) []string {
	var out []string
	if len(t.Outcome.Verdicts) != len(r.Steps) {
		out = append(out, fmt.Sprintf("%d verdicts are stated for %d events", len(t.Outcome.Verdicts), len(r.Steps)))
	}
	for i := range min(len(t.Outcome.Verdicts), len(r.Steps)) {
		if want, got := t.Outcome.Verdicts[i], r.Steps[i].Verdict; want != got {
			out = append(out, fmt.Sprintf("line %d, %s: stated %q, got %q", t.Events[i].Line, r.Steps[i].Event, want, got))
		}
	}
	names := maps.Clone(r.Counts)
	maps.Copy(names, t.Outcome.Counts)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if want, got := t.Outcome.Counts[name], r.Counts[name]; want != got {
			out = append(out, fmt.Sprintf("count %s: stated %d, got %d", name, want, got))
		}
	}
	return out
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s: core %s of deployment %s\n", r.Name, r.Core, r.Deployment)
	for _, s := range r.Steps {
		fmt.Fprintf(w, "%8.3f s  %-12s %s\n", time.Duration(s.AtMS*int64(time.Millisecond)).Seconds(), s.Event, s.Verdict)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(w, "%-16s %d\n", name, r.Counts[name])
	}
	if len(r.Differences) == 0 {
		fmt.Fprintln(w, "the outcome is as stated")
	}
}

func nonzero(counts map[string]int) map[string]int {
	out := maps.Clone(counts)
	maps.DeleteFunc(out, func(_ string, n int) bool { return n == 0 })
	return out
}

// unknownReference returns the verdict for a name that no earlier event has defined, such as an attempt
// that the core did not lease in this replay.
func unknownReference(kind, name string) (string, error) {
	return fmt.Sprintf("%s %q does not exist", kind, name), nil
}

// errorVerdict returns the verdict for an error.
func errorVerdict(err error) string { return string(errs.CodeOf(err)) }

// formatList formats numbers or names for a verdict.
func formatList[T any](items []T) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(items)), ","), "[]")
}
